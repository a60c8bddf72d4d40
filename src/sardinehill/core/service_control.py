"""Combines lease, quorum and ownership into the control of one service.

A daemon calls `step` often, each time with a clock that it has read since it
last waited, and carries out the returned commands without waiting in between.
It passes the result of each command to one of the other functions.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

import xxhash

from sardinehill.core import controller_state
from sardinehill.core import electorates
from sardinehill.core import grants
from sardinehill.core import lease
from sardinehill.core import load_estimation
from sardinehill.core import ownership
from sardinehill.core import placement
from sardinehill.core import quorum

# Two of five voters may fail at once while the store is down.
ELECTORATE_SIZE = 5


@dataclasses.dataclass(frozen=True)
class ControlTiming:
    """All durations that govern the control of a service."""

    lease_timing: lease.LeaseTiming = lease.LeaseTiming()
    quorum_timing: quorum.QuorumTiming = quorum.QuorumTiming()
    grant_timing: controller_state.GrantTiming = controller_state.GrantTiming()


@dataclasses.dataclass(frozen=True)
class SendVoteRequest:
    """Command to send a vote request to a voter, which may be this daemon."""

    voter: str
    request: quorum.VoteRequest
    sent_s: float


Command = (
    lease.LeaseCommand | controller_state.OwnershipCommand | SendVoteRequest
)


@dataclasses.dataclass
class ServiceControl:
    """One daemon's state for the control of one service.

    Times are by the daemon's own clock.

    Attributes:
      daemon_name: the daemon's name.
      timing: durations.
      new_nonce: returns a text that was never used before.
      lease: the state of the controller's lease.
      voter: this daemon's state as a voter.
      votes: the votes that it has collected as a controller.
      controller: the state of its ownership decisions.
      load_estimator: estimates the load of shards and keys.
      newest_assignment: the newest assignment known from any source.
      last_vote_round_s: when the last round of vote requests was sent.
      term_started_s: when this daemon entered its present term.
    """

    daemon_name: str
    timing: ControlTiming
    new_nonce: Callable[[], str]
    lease: lease.LeaseState
    voter: quorum.Voter
    votes: quorum.QuorumVotes
    controller: controller_state.ControllerState
    load_estimator: load_estimation.LoadEstimator
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
    """Returns the state of a daemon that has just started."""
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
        load_estimator=load_estimation.LoadEstimator(shard_count),
    )


def candidate_rank(
    service: str, daemon_name: str, members: Sequence[str]
) -> int:
    """Returns a daemon's rank among the candidates for a service's lease.

    The first candidate has rank 0. A daemon that is not a member comes last.
    """
    ranked_members = sorted(
        members, key=lambda name: _score(service, name), reverse=True
    )
    return (
        ranked_members.index(daemon_name)
        if daemon_name in ranked_members
        else len(ranked_members)
    )


def _score(service: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{service}".encode())


def choose_electorate(
    service: str,
    current: Sequence[str],
    zones: Mapping[str, str],
    daemon_name: str,
) -> tuple[str, ...]:
    """Returns the daemons that should vote for a service's controller.

    A few are enough for a fleet of any size. They are spread over the
    availability zones, so that with three or more zones the loss of one never
    loses the majority. Present voters are preferred.

    Args:
      service: the service's name.
      current: the present electorate.
      zones: each member's availability zone.
      daemon_name: the name of the controller's daemon.
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
    chosen: list[str],
    current: Sequence[str],
    zones: Mapping[str, str],
    daemon_name: str,
) -> None:
    """Makes an even electorate odd, which never needs more votes."""
    absent = [name for name in current if name not in zones]
    if len(chosen) == 2 and daemon_name in chosen:
        # Of two daemons only the one that is not the controller votes: if it
        # is lost, the controller replaces it, and if the controller is lost,
        # it can seal the next term. If both voted, and one daemon froze and the
        # controller was killed within seconds, one voter of two would be left,
        # and then no majority could permit a move.
        chosen.remove(daemon_name)
    elif absent:
        # A voter that was just lost often comes back soon.
        chosen.append(absent[0])
    elif len(chosen) > 2:
        chosen.pop()


def is_moving(control: ServiceControl) -> bool:
    """Tells whether a move is in progress, which makes answers urgent."""
    committed = control.controller.committed
    return committed is not None and controller_state.is_moving(committed)


def resign(control: ServiceControl) -> lease.WriteLease | None:
    """Gives up the lease and ends the term; no grant may be sent afterwards.

    Returns:
      The write that releases the lease, so that candidates need not wait for
      its expiry, or None if it was not held.
    """
    command = lease.resign(control.lease, control.new_nonce())
    ownership.begin_term(control.controller, 0)
    quorum.begin_term(control.votes, 0)
    return command


def holds_store_lease(control: ServiceControl, now_s: float) -> bool:
    """Tells whether the lease that the store confirmed is still valid."""
    return control.lease.term > 0 and now_s < control.lease.valid_until_s


def is_authorized(control: ServiceControl, now_s: float) -> bool:
    """Tells whether this daemon may act as the controller now.

    It may while its lease in the store is valid, or while a majority of the
    electorate votes for its term.
    """
    if control.lease.term == 0:
        return False
    return holds_store_lease(control, now_s) or now_s < quorum.quorum_until_s(
        control.votes, _electorate(control), control.timing.quorum_timing
    )


@dataclasses.dataclass(frozen=True)
class ControlStatus:
    """A daemon's role in the control of a service, as reported to operators.

    Attributes:
      term: the term in which it is the controller, or 0.
      is_authorized: whether it may act as the controller.
      is_quorum_only: whether it may act by votes alone, without a valid lease.
    """

    term: int = 0
    is_authorized: bool = False
    is_quorum_only: bool = False


def control_status(control: ServiceControl, now_s: float) -> ControlStatus:
    """Returns this daemon's present role in the control of the service."""
    authorized = is_authorized(control, now_s)
    return ControlStatus(
        control.lease.term,
        authorized,
        authorized and not holds_store_lease(control, now_s),
    )


def unanswered_calls(control: ServiceControl, grant: grants.Grant) -> int:
    """Returns how many calls in a row the grant's target has not answered."""
    holder = control.controller.holders.get(grant.target)
    return 0 if holder is None else holder.unanswered_calls


def step(
    control: ServiceControl,
    view: controller_state.ServiceView,
    now_s: float,
    rank: int,
) -> list[Command]:
    """Returns the commands that are due now.

    Args:
      control: the state, changed in place.
      view: the service and the fleet as seen now.
      now_s: own clock, read since the last wait.
      rank: this daemon's rank among the candidates for the lease.
    """
    commands: list[Command] = []
    control.lease.highest_seen_term = max(
        control.lease.highest_seen_term, control.controller.highest_term
    )
    lease_command = lease.step(control.lease, now_s, rank, control.new_nonce())
    if lease_command is not None:
        commands.append(lease_command)
    if control.lease.term != control.controller.term:
        control.term_started_s = now_s
    ownership.begin_term(control.controller, control.lease.term)
    quorum.begin_term(control.votes, control.lease.term)
    commands.extend(_vote_requests(control, now_s))
    if not is_authorized(control, now_s):
        return commands
    _check_predecessors_fenced(control, view, now_s)
    committed = control.controller.committed
    hot_keys = committed.hot_owners if committed is not None else ()
    control.load_estimator.update(now_s, len(view.upstreams), hot_keys)
    commands.extend(
        ownership.step(
            control.controller,
            view,
            now_s,
            holds_store_lease(control, now_s),
            control.new_nonce(),
        )
    )
    return commands


def _electorate(control: ServiceControl) -> electorates.Electorate:
    return controller_state.electorate_of(control.controller.committed)


def _check_predecessors_fenced(
    control: ServiceControl, view: controller_state.ServiceView, now_s: float
) -> None:
    if control.controller.committed is None:
        return
    if _electorate(control).all_voters:
        fenced = now_s >= quorum.predecessors_fenced_s(control.votes)
    else:
        # There is no assignment: either the service is new, or operators
        # deleted the assignment. In the second case a predecessor's lease and
        # grants are unknown, so their longest lifetime must pass first.
        timing = control.timing.grant_timing
        wait_s = control.timing.lease_timing.ttl_s + timing.grant_ttl_s
        wait_s *= 1.0 + 2.0 * timing.clock_drift_ratio
        fenced = now_s >= control.term_started_s + wait_s
        fenced = fenced or ownership.is_new_service(control.controller, view)
    if fenced:
        ownership.on_predecessors_fenced(control.controller, now_s)


def _vote_requests(
    control: ServiceControl, now_s: float
) -> list[SendVoteRequest]:
    """Returns the vote requests of one round, if one is due and needed."""
    if (
        now_s - control.last_vote_round_s
        < control.timing.quorum_timing.request_interval_s
    ):
        return []
    if control.lease.term == 0:
        return _initialization_requests(control, now_s)
    if control.controller.committed is None:
        return []
    # While the store answers, the lease suffices and no votes are needed.
    # They are requested as soon as one renewal of the lease is late.
    lease_left_s = control.lease.valid_until_s - now_s
    needs_votes = (
        lease_left_s
        < control.timing.lease_timing.ttl_s
        - 2 * control.timing.lease_timing.renew_interval_s
    )
    needs_seals = (
        not control.controller.predecessors_fenced
        and control.votes.sealed_s is None
    )
    if not needs_seals and not needs_votes:
        return []
    control.last_vote_round_s = now_s
    seal_flags = (
        [needs_seals] if not (needs_seals and needs_votes) else [True, False]
    )
    return [
        SendVoteRequest(
            name,
            quorum.VoteRequest(
                control.controller.service, control.lease.term, seal
            ),
            now_s,
        )
        for seal in seal_flags
        for name in sorted(_electorate(control).all_voters)
    ]


def _initialization_requests(
    control: ServiceControl, now_s: float
) -> list[SendVoteRequest]:
    if control.voter.primed or control.newest_assignment is None:
        return []
    control.last_vote_round_s = now_s
    request = quorum.VoteRequest(control.controller.service, 0, False)
    all_voters = controller_state.electorate_of(
        control.newest_assignment
    ).all_voters
    return [
        SendVoteRequest(name, request, now_s)
        for name in sorted(all_voters)
        if name != control.daemon_name
    ]


# The functions below record the results of commands, and events.


def on_assignment_seen(
    control: ServiceControl, assignment: placement.ShardAssignment
) -> None:
    """Records an assignment that was learned from another daemon."""
    if (
        control.newest_assignment is None
        or assignment.version > control.newest_assignment.version
    ):
        control.newest_assignment = assignment


def on_vote_request(
    control: ServiceControl, request: quorum.VoteRequest, now_s: float
) -> quorum.VoteResponse:
    """Answers a vote request of another daemon or of this one."""
    return quorum.answer_request(control.voter, request, now_s)


def on_vote_response(
    control: ServiceControl,
    command: SendVoteRequest,
    response: quorum.VoteResponse,
    now_s: float,
) -> None:
    """Records the response to a vote request."""
    controller = control.controller
    controller.highest_term = max(
        controller.highest_term, response.highest_term
    )
    if command.request.term == 0:
        if response.primed and control.newest_assignment is not None:
            electorate = controller_state.electorate_of(
                control.newest_assignment
            )
            quorum.on_reported_term(
                control.voter, command.voter, electorate, response.highest_term
            )
        return
    if not response.granted:
        return
    if command.request.seal:
        quorum.on_seal(
            control.votes,
            command.voter,
            _electorate(control),
            command.request,
            response,
            now_s,
            control.timing.quorum_timing,
        )
    else:
        quorum.on_vote(
            control.votes, command.voter, command.request, command.sent_s
        )


def on_lease_read(
    control: ServiceControl, record: lease.LeaseRecord, now_s: float
) -> None:
    """Records the lease as read; `lease.ABSENT` means that there is none."""
    lease.on_read(control.lease, record, now_s)
    quorum.on_store_term(control.voter, record.term)


def on_lease_written(
    control: ServiceControl, record: lease.LeaseRecord, now_s: float
) -> None:
    """Records an acknowledged write of the lease, with its new version."""
    lease.on_written(control.lease, record, now_s)
    quorum.on_store_term(control.voter, record.term)


def on_assignment_read(
    control: ServiceControl,
    assignment: placement.ShardAssignment,
    term: int,
    now_s: float,
) -> None:
    """Records the assignment that a read returned.

    Args:
      control: the state, changed in place.
      assignment: the assignment as read.
      term: the term in which the read was requested.
      now_s: own clock.
    """
    ownership.on_assignment_read(
        control.controller, assignment, holds_store_lease(control, now_s), term
    )


def on_assignment_written(
    control: ServiceControl, assignment: placement.ShardAssignment, now_s: float
) -> None:
    """Records an acknowledged write of the assignment, with its version."""
    ownership.on_assignment_written(
        control.controller, assignment, holds_store_lease(control, now_s)
    )


def on_grant_answer(
    control: ServiceControl,
    grant: grants.Grant,
    answer: grants.GrantAnswer,
    now_s: float,
) -> None:
    """Records a holder's answer to a grant."""
    ownership.on_grant_answer(control.controller, grant, answer, now_s)


def on_usage_report(
    control: ServiceControl, report: load_estimation.UsageReport
) -> None:
    """Records the usage that a gateway has counted."""
    control.load_estimator.add_report(report)
