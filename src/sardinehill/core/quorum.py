"""The licence of a controller to send grants, also while the store is down.

A controller may send while its lease was renewed in the store within the
ttl, or while a majority of the service's electorate vouched for its term.
A controller that took the lease over collects seals from a majority of the
same list before it changes any assignment. Two majorities share a member,
and a member that sealed a term vouches for no lower one; so from then on only
the new controller can be licensed. Nothing is replicated and no log is kept:
members remember one number, and the store alone says what is assigned.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class QuorumTiming:
    """How long a vouch lasts.

    Attributes:
      vote_ttl_s: seconds that a vouch licenses, from when it was asked for.
      request_interval_s: seconds between two rounds of questions.
      clock_drift_ratio: by how much two clocks' rates may differ.
    """

    vote_ttl_s: float = 1.2
    request_interval_s: float = 0.3
    clock_drift_ratio: float = 0.02


@dataclasses.dataclass(frozen=True)
class Electorate:
    """The daemons whose majority counts for one service.

    It is kept in the service's assignment, since it must change in step with
    what a predecessor relied on; the fleet's member list changes on its own
    and two of its versions that are far apart need not share a majority.

    Attributes:
      voters: the daemons that count.
      previous_voters: those that counted before, until the change is known to be over;
        while there are any, a majority of both is needed.
    """

    voters: frozenset[str]
    previous_voters: frozenset[str] = frozenset()

    def has_majority(self, chosen: set[str]) -> bool:
        """Tells whether these daemons are a majority.

        Under an empty electorate nobody can ever have vouched.
        """
        if not self.all_voters:
            return True
        return _is_majority(chosen, self.voters) and (
            not self.previous_voters
            or _is_majority(chosen, self.previous_voters)
        )

    @property
    def all_voters(self) -> frozenset[str]:
        """All daemons that may be asked."""
        return self.voters | self.previous_voters


def _is_majority(chosen: set[str], names: frozenset[str]) -> bool:
    return len(chosen & names) > len(names) // 2


@dataclasses.dataclass(frozen=True)
class VoteRequest:
    """Asks a member to vouch for a term, or to seal it.

    Attributes:
      service: the service whose controller asks.
      term: the asking controller's term.
      seal: whether lower terms shall be refused from now on.
    """

    service: str
    term: int
    seal: bool


@dataclasses.dataclass(frozen=True)
class VoteResponse:
    """A member's answer.

    Attributes:
      granted: whether the member vouches, or has sealed.
      highest_term: the highest term that it knows.
      primed: whether that term is as high as any it ever sealed.
      last_vote_age_s: seconds since it may last have vouched for a lower
        term; counts in a seal's answer only.
    """

    granted: bool
    highest_term: int
    primed: bool = False
    last_vote_age_s: float = 0.0


@dataclasses.dataclass
class Voter:
    """What one daemon remembers, for one service, as a member.

    Attributes:
      started_s: own clock at the start of the process.
      highest_term: the highest term sealed or read from the store.
      primed: whether it has learnt, since its start, a term at least as high
        as any it may have sealed before.
      last_vote_s: own clock when it last vouched. A process that has just
        started may have vouched an instant before, so it begins with its
        start and not with "never".
      reported_terms: terms told by primed members while this one is not.
    """

    started_s: float
    highest_term: int = 0
    primed: bool = False
    last_vote_s: float = 0.0
    reported_terms: dict[str, int] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        self.last_vote_s = self.started_s


def on_store_term(member: Voter, term: int) -> None:
    """Takes in the lease's term as just read from the store.

    Every seal follows the lease's write in the store, so the term found by a
    read after the start is at least as high as any that was sealed before.
    """
    member.highest_term = max(member.highest_term, term)
    member.primed = True


def on_reported_term(
    member: Voter, name: str, electorate: Electorate, term: int
) -> None:
    """Takes in the highest term known to another, primed member.

    It is for a daemon that was restarted while the store is down.
    A majority of primed members includes one of each majority that sealed.
    """
    member.reported_terms[name] = term
    member.highest_term = max(member.highest_term, term)
    if electorate.has_majority(set(member.reported_terms)):
        member.primed = True


def answer_request(
    member: Voter, query: VoteRequest, now_s: float
) -> VoteResponse:
    """Answers a controller that asks for a vouch or a seal."""
    known = member.highest_term
    if query.term < known:
        return VoteResponse(False, known, member.primed)
    if query.seal:
        # A seal raises the number, so it is safe without having been primed.
        member.highest_term = query.term
        ago_s = max(0.0, now_s - member.last_vote_s)
        return VoteResponse(True, query.term, member.primed, ago_s)
    if not member.primed or query.term == 0:
        return VoteResponse(False, known, member.primed)
    member.highest_term = query.term
    member.last_vote_s = now_s
    return VoteResponse(True, query.term, True)


@dataclasses.dataclass
class QuorumVotes:
    """What a controller has collected for its present term.

    Attributes:
      term: the term, 0 while it is no controller.
      vote_requested_s: own clock when each member's vouch was asked for.
      sealed: members that sealed this term.
      sealed_s: own clock when the seals reached a majority, else None.
      predecessor_until_s: until when the predecessor may have been vouched for.
    """

    term: int = 0
    vote_requested_s: dict[str, float] = dataclasses.field(default_factory=dict)
    sealed: set[str] = dataclasses.field(default_factory=set)
    sealed_s: float | None = None
    predecessor_until_s: float = float("-inf")


def begin_term(licence: QuorumVotes, term: int) -> None:
    """Starts a term; nothing collected for another counts."""
    if licence.term == term:
        return
    licence.term = term
    licence.vote_requested_s = {}
    licence.sealed = set()
    licence.sealed_s = None
    licence.predecessor_until_s = float("-inf")


def on_vote(
    licence: QuorumVotes, name: str, query: VoteRequest, asked_s: float
) -> None:
    """Takes in a vouch, counted from when it was asked for."""
    if query.term == licence.term:
        known_s = licence.vote_requested_s.get(name, asked_s)
        licence.vote_requested_s[name] = max(known_s, asked_s)


def on_seal(
    licence: QuorumVotes,
    name: str,
    electorate: Electorate,
    query: VoteRequest,
    response: VoteResponse,
    now_s: float,
    timing: QuorumTiming,
) -> None:
    """Takes in a seal; the first majority of them opens the way to moves."""
    # Asked again, a member would count vouches for the new term as well, and
    # the wait would never end; each counts once, and only until a majority.
    done = licence.sealed_s is not None or name in licence.sealed
    if query.term != licence.term or done:
        return
    licence.sealed.add(name)
    left_s = max(0.0, timing.vote_ttl_s - response.last_vote_age_s)
    until_s = now_s + left_s * (1.0 + 2.0 * timing.clock_drift_ratio)
    licence.predecessor_until_s = max(licence.predecessor_until_s, until_s)
    if licence.sealed_s is None and electorate.has_majority(licence.sealed):
        licence.sealed_s = now_s


def quorum_until_s(
    licence: QuorumVotes, electorate: Electorate, timing: QuorumTiming
) -> float:
    """Returns until when a majority's vouches license the controller."""
    for asked_s in sorted(set(licence.vote_requested_s.values()), reverse=True):
        chosen = {
            name
            for name, at_s in licence.vote_requested_s.items()
            if at_s >= asked_s
        }
        if electorate.has_majority(chosen):
            return asked_s + timing.vote_ttl_s
    return float("-inf")


def predecessors_fenced_s(licence: QuorumVotes) -> float:
    """Returns from when no other controller can be licensed, or infinity."""
    if licence.sealed_s is None:
        return float("inf")
    return max(licence.sealed_s, licence.predecessor_until_s)
