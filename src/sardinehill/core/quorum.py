"""Authorizes a controller by votes of peers, also while the store is down.

A controller may send grants while its lease was renewed in the store within
the ttl, or while a majority of the service's electorate has voted for its term
within the ttl of a vote. A controller that has taken over the lease collects
seals from so many of the same electorate that the others are no majority before
it changes any assignment. Each majority then includes a voter that has sealed
the term and votes for no lower one, so from then on only the new controller can
be authorized. That is a majority of an odd electorate and half of an even one,
as otherwise the loss of one of two voters would end all changes. There is
no replicated log: voters remember one term, and assignments are kept in the
store only.
"""

import dataclasses

from sardinehill.core import electorates


@dataclasses.dataclass(frozen=True)
class QuorumTiming:
    """How long a vote lasts and how often votes are requested.

    Attributes:
      vote_ttl_s: seconds that a vote lasts, from when it was requested.
      request_interval_s: seconds between two rounds of vote requests.
      clock_drift_ratio: how much the rates of two clocks may differ.
    """

    vote_ttl_s: float = 1.2
    request_interval_s: float = 0.3
    clock_drift_ratio: float = 0.02


@dataclasses.dataclass(frozen=True)
class VoteRequest:
    """A request to vote for a term, or to seal it.

    Attributes:
      service: the service whose controller sends the request.
      term: the controller's term, or 0 to only ask for the highest term.
      seal: whether the voter must refuse lower terms from now on.
    """

    service: str
    term: int
    seal: bool


@dataclasses.dataclass(frozen=True)
class VoteResponse:
    """A voter's response.

    Attributes:
      granted: whether it votes for the term, or has sealed it.
      highest_term: the highest term that it knows.
      primed: whether that term is at least as high as any that it ever sealed.
      last_vote_age_s: seconds since it may last have voted for a lower term.
        It is meaningful only in the response to a seal.
    """

    granted: bool
    highest_term: int
    primed: bool = False
    last_vote_age_s: float = 0.0


@dataclasses.dataclass
class Voter:
    """The state of one daemon as a voter of one service.

    Times are by the daemon's own clock.

    Attributes:
      started_s: when the process started.
      highest_term: the highest term that it has voted for, sealed or learned.
      primed: whether it has learned, since its start, a term that is at least
        as high as any that it may have sealed before.
      last_vote_s: when it last voted. Initially it is the time of the start,
        since the process may have voted just before it was restarted.
      reported_terms: the terms that primed voters have reported to this one
        while it was not primed.
    """

    started_s: float
    highest_term: int = 0
    primed: bool = False
    last_vote_s: float = 0.0
    reported_terms: dict[str, int] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        self.last_vote_s = self.started_s


def on_store_term(voter: Voter, term: int) -> None:
    """Records the lease's term as just read from the store.

    Every seal follows a write of the lease, so a term that is read after the
    start is at least as high as any that was sealed before the start.
    """
    voter.highest_term = max(voter.highest_term, term)
    voter.primed = True


def on_reported_term(
    voter: Voter, voter_name: str, electorate: electorates.Electorate, term: int
) -> None:
    """Records the highest term that another, primed voter knows.

    This primes a daemon that was restarted while the store is down: a majority
    of primed voters without this one includes another voter that sealed each
    term that was sealed.
    """
    voter.reported_terms[voter_name] = term
    voter.highest_term = max(voter.highest_term, term)
    if electorate.has_majority(set(voter.reported_terms)):
        voter.primed = True


def answer_request(
    voter: Voter, request: VoteRequest, now_s: float
) -> VoteResponse:
    """Responds to a controller that requests a vote or a seal."""
    highest_term = voter.highest_term
    if request.term < highest_term:
        return VoteResponse(False, highest_term, voter.primed)
    if request.seal:
        # A seal only raises the term, so it is safe even for a voter that is
        # not primed.
        voter.highest_term = request.term
        vote_age_s = max(0.0, now_s - voter.last_vote_s)
        return VoteResponse(True, request.term, voter.primed, vote_age_s)
    if not voter.primed or request.term == 0:
        return VoteResponse(False, highest_term, voter.primed)
    voter.highest_term = request.term
    voter.last_vote_s = now_s
    return VoteResponse(True, request.term, True)


@dataclasses.dataclass
class QuorumVotes:
    """The votes and seals that a controller has collected in its term.

    Times are by the controller's own clock.

    Attributes:
      term: the term, 0 while this daemon is not the controller.
      vote_requested_s: when each voter's newest vote was requested.
      sealed: the voters that have sealed this term.
      sealed_s: when the seals first blocked all majorities for lower terms,
        None before.
      predecessor_until_s: until when a predecessor may be authorized by votes.
    """

    term: int = 0
    vote_requested_s: dict[str, float] = dataclasses.field(default_factory=dict)
    sealed: set[str] = dataclasses.field(default_factory=set)
    sealed_s: float | None = None
    predecessor_until_s: float = float("-inf")


def begin_term(votes: QuorumVotes, term: int) -> None:
    """Starts a term and drops what was collected for any other term."""
    if votes.term == term:
        return
    votes.term = term
    votes.vote_requested_s = {}
    votes.sealed = set()
    votes.sealed_s = None
    votes.predecessor_until_s = float("-inf")


def on_vote(
    votes: QuorumVotes,
    voter_name: str,
    request: VoteRequest,
    requested_s: float,
) -> None:
    """Records a vote, which counts from when it was requested."""
    if request.term == votes.term:
        known_s = votes.vote_requested_s.get(voter_name, requested_s)
        votes.vote_requested_s[voter_name] = max(known_s, requested_s)


def on_seal(
    votes: QuorumVotes,
    voter_name: str,
    electorate: electorates.Electorate,
    request: VoteRequest,
    response: VoteResponse,
    now_s: float,
    timing: QuorumTiming,
) -> None:
    """Records a seal and when the seals first block all majorities."""
    # Only a voter's first seal counts, and none after enough others: a voter
    # that seals again would report its votes for the new term too, and the
    # wait for the predecessor would never end.
    is_ignored = votes.sealed_s is not None or voter_name in votes.sealed
    if request.term != votes.term or is_ignored:
        return
    votes.sealed.add(voter_name)
    vote_left_s = max(0.0, timing.vote_ttl_s - response.last_vote_age_s)
    until_s = now_s + vote_left_s * (1.0 + 2.0 * timing.clock_drift_ratio)
    votes.predecessor_until_s = max(votes.predecessor_until_s, until_s)
    if votes.sealed_s is None and electorate.blocks_majorities(votes.sealed):
        votes.sealed_s = now_s


def quorum_until_s(
    votes: QuorumVotes, electorate: electorates.Electorate, timing: QuorumTiming
) -> float:
    """Returns until when a majority's votes authorize the controller."""
    for requested_s in sorted(
        set(votes.vote_requested_s.values()), reverse=True
    ):
        chosen = {
            name
            for name, at_s in votes.vote_requested_s.items()
            if at_s >= requested_s
        }
        if electorate.has_majority(chosen):
            return requested_s + timing.vote_ttl_s
    return float("-inf")


def predecessors_fenced_s(votes: QuorumVotes) -> float:
    """Returns from when on no other controller can be authorized.

    It is infinity before enough voters have sealed the term.
    """
    if votes.sealed_s is None:
        return float("inf")
    return max(votes.sealed_s, votes.predecessor_until_s)
