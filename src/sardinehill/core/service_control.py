"""One daemon's part in controlling one service: lease, licence, ownership.

The daemon calls `step` often, each time with the clock read since its last
wait, and carries out what it returns without waiting in between. Each answer
comes back through one of the other functions.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

import xxhash

from sardinehill.core import controller_state
from sardinehill.core import grants
from sardinehill.core import lease
from sardinehill.core import load_estimation
from sardinehill.core import ownership
from sardinehill.core import placement
from sardinehill.core import quorum

# Two of five may be lost at once while the store is down.
ELECTORATE_SIZE = 5


@dataclasses.dataclass(frozen=True)
class ControlTiming:
    """All durations of control."""

    lease_timing: lease.LeaseTiming = lease.LeaseTiming()
    quorum_timing: quorum.QuorumTiming = quorum.QuorumTiming()
    grant_timing: controller_state.GrantTiming = controller_state.GrantTiming()


@dataclasses.dataclass(frozen=True)
class SendVoteRequest:
    """The daemon shall put a question to a member, or to itself."""

    voter: str
    request: quorum.VoteRequest
    sent_s: float


Command = (
    lease.LeaseCommand | controller_state.OwnershipCommand | SendVoteRequest
)


@dataclasses.dataclass
class ServiceControl:
    """All state of one daemon for one service.

    Attributes:
      daemon_name: the daemon's name.
      timing: durations.
      new_nonce: returns a text that was never used before.
      lease: the controller's lease.
      voter: this daemon's own memory as one that vouches.
      votes: what it collected as a controller.
      controller: the ownership it controls.
      popularity: how much shards and keys are used.
      newest_assignment: the newest assignment known from anywhere.
      last_vote_round_s: own clock of the last round of questions.
      term_started_s: own clock when the present term began here.
    """

    daemon_name: str
    timing: ControlTiming
    new_nonce: Callable[[], str]
    lease: lease.LeaseState
    voter: quorum.Voter
    votes: quorum.QuorumVotes
    controller: controller_state.ControllerState
    popularity: load_estimation.LoadEstimator
    newest_assignment: placement.ShardAssignment | None = None
    last_vote_round_s: float = float("-inf")
    term_started_s: float = float("-inf")


def new_service_control(
    service: str,
    shard_count: int,
    daemon_name: str,
    timing: ControlTiming,
    new_nonce: Callable[[], str],
    now_s: float,
) -> ServiceControl:
    """Returns the duty of a daemon that has just started."""
    return ServiceControl(
        daemon_name=daemon_name,
        timing=timing,
        new_nonce=new_nonce,
        lease=lease.LeaseState(daemon_name, timing.lease_timing),
        voter=quorum.Voter(started_s=now_s),
        votes=quorum.QuorumVotes(),
        controller=controller_state.ControllerState(
            service, daemon_name, timing.grant_timing
        ),
        popularity=load_estimation.LoadEstimator(shard_count),
    )


def candidate_rank(
    service: str, daemon_name: str, members: Sequence[str]
) -> int:
    """Returns a daemon's place among the candidates for a service's lease.

    A daemon that is no member comes after all that are.
    """
    ordered = sorted(
        members, key=lambda name: _score(service, name), reverse=True
    )
    return (
        ordered.index(daemon_name) if daemon_name in ordered else len(ordered)
    )


def _score(service: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{service}".encode())


def choose_electorate(
    service: str,
    current: Sequence[str],
    zones: Mapping[str, str],
    daemon_name: str,
) -> tuple[str, ...]:
    """Returns the daemons that should vouch for a service's controller.

    A few are enough however large the fleet is. They are spread over the
    availability zones, so that losing one zone never loses the majority when
    there are three or more, and those that are there already stay.

    Args:
      service: the service's name.
      current: the present electorate.
      zones: each member's availability zone.
      daemon_name: the controller's daemon.
    """
    chosen: list[str] = []
    in_zone = dict.fromkeys(zones.values(), 0)
    candidates = sorted(
        zones,
        key=lambda name: (name not in current, -_score(service, name)),
    )
    while candidates and len(chosen) < ELECTORATE_SIZE:
        fewest = min(in_zone[zones[name]] for name in candidates)
        name = next(
            name for name in candidates if in_zone[zones[name]] == fewest
        )
        candidates.remove(name)
        in_zone[zones[name]] += 1
        chosen.append(name)
    if len(chosen) % 2 == 0:
        _make_odd(chosen, current, zones, daemon_name)
    return tuple(sorted(chosen))


def _make_odd(
    chosen: list[str], current: Sequence[str], zones: Mapping[str, str], me: str
) -> None:
    """Makes an even electorate odd, which never needs more to agree."""
    absent = [name for name in current if name not in zones]
    if len(chosen) == 2 and me in chosen:
        # Of two the other one alone counts: if it is lost the controller
        # replaces it, and if the controller is lost it can seal. Both were
        # tried first: a frozen daemon and a killed controller, seconds apart,
        # left one of two, and nobody could move anything.
        chosen.remove(me)
    elif absent:
        # One that was lost a moment ago is often back the next.
        chosen.append(absent[0])
    elif len(chosen) > 2:
        chosen.pop()


def is_moving(duty: ServiceControl) -> bool:
    """Tells whether a move is on its way, so that answers are urgent."""
    committed = duty.controller.committed
    return committed is not None and controller_state.is_moving(committed)


def resign(duty: ServiceControl) -> lease.WriteLease | None:
    """Gives the lease up; nothing may be sent from now on.

    Returns the write that tells candidates not to wait, if it was held.
    """
    command = lease.resign(duty.lease, duty.new_nonce())
    ownership.begin_term(duty.controller, 0)
    quorum.begin_term(duty.votes, 0)
    return command


def holds_store_lease(duty: ServiceControl, now_s: float) -> bool:
    """Tells whether the lease is held by the store's own word."""
    return duty.lease.term > 0 and now_s < duty.lease.valid_until_s


def is_authorized(duty: ServiceControl, now_s: float) -> bool:
    """Tells whether this daemon may act as the controller now."""
    if duty.lease.term == 0:
        return False
    return holds_store_lease(duty, now_s) or now_s < quorum.quorum_until_s(
        duty.votes, _electorate(duty), duty.timing.quorum_timing
    )


@dataclasses.dataclass(frozen=True)
class ControlStatus:
    """What a daemon is for a service, as operators are told.

    Attributes:
      term: the term it controls in, or 0.
      is_authorized: whether it may act.
      is_quorum_only: whether only peers say so, not the store.
    """

    term: int = 0
    is_authorized: bool = False
    is_quorum_only: bool = False


def control_status(duty: ServiceControl, now_s: float) -> ControlStatus:
    """Returns what this daemon is for the service now."""
    licensed = is_authorized(duty, now_s)
    return ControlStatus(
        duty.lease.term,
        licensed,
        licensed and not holds_store_lease(duty, now_s),
    )


def unanswered_calls(duty: ServiceControl, grant: grants.Grant) -> int:
    """Returns how many calls in a row a grant's target left unanswered."""
    holder = duty.controller.holders.get(grant.target)
    return 0 if holder is None else holder.unanswered_calls


def step(
    duty: ServiceControl,
    view: controller_state.ServiceView,
    now_s: float,
    rank: int,
) -> list[Command]:
    """Returns what to do now.

    Args:
      duty: the state, changed in place.
      view: the world as it looks now.
      now_s: own clock, read since the last wait.
      rank: this daemon's place among the lease's candidates.
    """
    commands: list[Command] = []
    duty.lease.highest_seen_term = max(
        duty.lease.highest_seen_term, duty.controller.highest_term
    )
    lease_command = lease.step(duty.lease, now_s, rank, duty.new_nonce())
    if lease_command is not None:
        commands.append(lease_command)
    if duty.lease.term != duty.controller.term:
        duty.term_started_s = now_s
    ownership.begin_term(duty.controller, duty.lease.term)
    quorum.begin_term(duty.votes, duty.lease.term)
    commands.extend(_questions(duty, now_s))
    if not is_authorized(duty, now_s):
        return commands
    _settle(duty, view, now_s)
    committed = duty.controller.committed
    split = committed.hot_owners if committed is not None else ()
    duty.popularity.update(now_s, len(view.upstreams), split)
    commands.extend(
        ownership.step(
            duty.controller,
            view,
            now_s,
            holds_store_lease(duty, now_s),
            duty.new_nonce(),
        )
    )
    return commands


def _electorate(duty: ServiceControl) -> quorum.Electorate:
    return controller_state.electorate_of(duty.controller.committed)


def _settle(
    duty: ServiceControl, view: controller_state.ServiceView, now_s: float
) -> None:
    if duty.controller.committed is None:
        return
    if _electorate(duty).all_voters:
        settled = now_s >= quorum.predecessors_fenced_s(duty.votes)
    else:
        # There is no assignment: either this is a new service, or operators
        # deleted it, and what a predecessor granted must lapse unseen.
        timing = duty.timing.grant_timing
        wait_s = duty.timing.lease_timing.ttl_s + timing.grant_ttl_s
        wait_s *= 1.0 + 2.0 * timing.clock_drift_ratio
        settled = now_s >= duty.term_started_s + wait_s
        settled = settled or ownership.is_new_service(duty.controller, view)
    if settled:
        ownership.on_predecessors_fenced(duty.controller, now_s)


def _questions(duty: ServiceControl, now_s: float) -> list[SendVoteRequest]:
    """Returns the questions of one round, if a round is due and needed."""
    if (
        now_s - duty.last_vote_round_s
        < duty.timing.quorum_timing.request_interval_s
    ):
        return []
    if duty.lease.term == 0:
        return _priming_questions(duty, now_s)
    if duty.controller.committed is None:
        return []
    # While the store answers, its word is enough and peers are not asked.
    # The first question goes out as soon as one renewal is late.
    left_s = duty.lease.valid_until_s - now_s
    in_doubt = (
        left_s
        < duty.timing.lease_timing.ttl_s
        - 2 * duty.timing.lease_timing.renew_interval_s
    )
    seal = (
        not duty.controller.predecessors_fenced and duty.votes.sealed_s is None
    )
    if not seal and not in_doubt:
        return []
    duty.last_vote_round_s = now_s
    queries = [seal] if not (seal and in_doubt) else [True, False]
    return [
        SendVoteRequest(
            name,
            quorum.VoteRequest(duty.controller.service, duty.lease.term, one),
            now_s,
        )
        for one in queries
        for name in sorted(_electorate(duty).all_voters)
    ]


def _priming_questions(
    duty: ServiceControl, now_s: float
) -> list[SendVoteRequest]:
    if duty.voter.primed or duty.newest_assignment is None:
        return []
    duty.last_vote_round_s = now_s
    query = quorum.VoteRequest(duty.controller.service, 0, False)
    everyone = controller_state.electorate_of(duty.newest_assignment).all_voters
    return [
        SendVoteRequest(name, query, now_s)
        for name in sorted(everyone)
        if name != duty.daemon_name
    ]


# Answers.


def on_assignment_seen(
    duty: ServiceControl, assignment: placement.ShardAssignment
) -> None:
    """Takes in an assignment that came as news."""
    if (
        duty.newest_assignment is None
        or assignment.version > duty.newest_assignment.version
    ):
        duty.newest_assignment = assignment


def on_vote_request(
    duty: ServiceControl, query: quorum.VoteRequest, now_s: float
) -> quorum.VoteResponse:
    """Answers another daemon's question, or this daemon's own."""
    return quorum.answer_request(duty.voter, query, now_s)


def on_vote_response(
    duty: ServiceControl,
    ask: SendVoteRequest,
    answer: quorum.VoteResponse,
    now_s: float,
) -> None:
    """Takes in the answer to a question."""
    controller = duty.controller
    controller.highest_term = max(controller.highest_term, answer.highest_term)
    if ask.request.term == 0:
        if answer.primed and duty.newest_assignment is not None:
            electorate = controller_state.electorate_of(duty.newest_assignment)
            quorum.on_reported_term(
                duty.voter, ask.voter, electorate, answer.highest_term
            )
        return
    if not answer.granted:
        return
    if ask.request.seal:
        quorum.on_seal(
            duty.votes,
            ask.voter,
            _electorate(duty),
            ask.request,
            answer,
            now_s,
            duty.timing.quorum_timing,
        )
    else:
        quorum.on_vote(duty.votes, ask.voter, ask.request, ask.sent_s)


def on_lease_read(
    duty: ServiceControl, record: lease.LeaseRecord, now_s: float
) -> None:
    """Takes in the lease as read; `lease.ABSENT` when there is none."""
    lease.on_read(duty.lease, record, now_s)
    quorum.on_store_term(duty.voter, record.term)


def on_lease_written(
    duty: ServiceControl, record: lease.LeaseRecord, now_s: float
) -> None:
    """Takes in an acknowledged write of the lease, with its new version."""
    lease.on_written(duty.lease, record, now_s)
    quorum.on_store_term(duty.voter, record.term)


def on_assignment_read(
    duty: ServiceControl,
    assignment: placement.ShardAssignment,
    term: int,
    now_s: float,
) -> None:
    """Takes in the assignment as read under the given term."""
    ownership.on_assignment_read(
        duty.controller, assignment, holds_store_lease(duty, now_s), term
    )


def on_assignment_written(
    duty: ServiceControl, assignment: placement.ShardAssignment, now_s: float
) -> None:
    """Takes in an acknowledged write, with its new version."""
    ownership.on_assignment_written(
        duty.controller, assignment, holds_store_lease(duty, now_s)
    )


def on_grant_answer(
    duty: ServiceControl,
    grant: grants.Grant,
    answer: grants.GrantAnswer,
    now_s: float,
) -> None:
    """Takes in a holder's answer to a grant."""
    ownership.on_grant_answer(duty.controller, grant, answer, now_s)


def on_usage_report(
    duty: ServiceControl, report: load_estimation.UsageReport
) -> None:
    """Takes in what a gateway counted."""
    duty.popularity.add_report(report)
