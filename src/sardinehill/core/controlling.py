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

from sardinehill.core import control_state
from sardinehill.core import grants
from sardinehill.core import lease
from sardinehill.core import licence
from sardinehill.core import ownership
from sardinehill.core import placement
from sardinehill.core import popularity

# Two of five may be lost at once while the store is down.
ELECTORATE_SIZE = 5


@dataclasses.dataclass(frozen=True)
class Timing:
    """All durations of control."""

    of_lease: lease.LeaseTiming = lease.LeaseTiming()
    of_vouches: licence.LicenceTiming = licence.LicenceTiming()
    of_grants: control_state.OwnershipTiming = control_state.OwnershipTiming()


@dataclasses.dataclass(frozen=True)
class Ask:
    """The daemon shall put a question to a member, or to itself."""

    member: str
    query: licence.VouchQuery
    asked_s: float


Command = lease.LeaseCommand | control_state.Command | Ask


@dataclasses.dataclass
class Duty:
    """All state of one daemon for one service.

    Attributes:
      me: the daemon's name.
      timing: durations.
      new_nonce: returns a text that was never used before.
      lease: the controller's lease.
      member: this daemon's own memory as one that vouches.
      licence: what it collected as a controller.
      controller: the ownership it controls.
      popularity: how much shards and keys are used.
      known: the newest assignment known from anywhere.
      asked_s: own clock of the last round of questions.
      term_began_s: own clock when the present term began here.
    """

    me: str
    timing: Timing
    new_nonce: Callable[[], str]
    lease: lease.Lease
    member: licence.Member
    licence: licence.Licence
    controller: control_state.Controller
    popularity: popularity.Popularity
    known: placement.Assignment | None = None
    asked_s: float = float("-inf")
    term_began_s: float = float("-inf")


def new_duty(
    service: str,
    shard_count: int,
    me: str,
    timing: Timing,
    new_nonce: Callable[[], str],
    now_s: float,
) -> Duty:
    """Returns the duty of a daemon that has just started."""
    return Duty(
        me=me,
        timing=timing,
        new_nonce=new_nonce,
        lease=lease.Lease(me, timing.of_lease),
        member=licence.Member(started_s=now_s),
        licence=licence.Licence(),
        controller=control_state.Controller(service, me, timing.of_grants),
        popularity=popularity.Popularity(shard_count),
    )


def rank_of(service: str, me: str, members: Sequence[str]) -> int:
    """Returns a daemon's place among the candidates for a service's lease.

    A daemon that is no member comes after all that are.
    """
    ordered = sorted(
        members, key=lambda name: _score(service, name), reverse=True
    )
    return ordered.index(me) if me in ordered else len(ordered)


def _score(service: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{service}".encode())


def choose_electorate(
    service: str,
    current: Sequence[str],
    zones: Mapping[str, str],
    me: str,
) -> tuple[str, ...]:
    """Returns the daemons that should vouch for a service's controller.

    A few are enough however large the fleet is. They are spread over the
    availability zones, so that losing one zone never loses the majority when
    there are three or more, and those that are there already stay.

    Args:
      service: the service's name.
      current: the present electorate.
      zones: each member's availability zone.
      me: the controller's daemon.
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
        _make_odd(chosen, current, zones, me)
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


def is_moving(duty: Duty) -> bool:
    """Tells whether a move is on its way, so that answers are urgent."""
    committed = duty.controller.committed
    return committed is not None and control_state.is_moving(committed)


def resign(duty: Duty) -> lease.WriteLease | None:
    """Gives the lease up; nothing may be sent from now on.

    Returns the write that tells candidates not to wait, if it was held.
    """
    command = lease.resign(duty.lease, duty.new_nonce())
    ownership.begin_term(duty.controller, 0)
    licence.begin(duty.licence, 0)
    return command


def by_store(duty: Duty, now_s: float) -> bool:
    """Tells whether the lease is held by the store's own word."""
    return duty.lease.term > 0 and now_s < duty.lease.store_until_s


def is_licensed(duty: Duty, now_s: float) -> bool:
    """Tells whether this daemon may act as the controller now."""
    if duty.lease.term == 0:
        return False
    return by_store(duty, now_s) or now_s < licence.vouched_until_s(
        duty.licence, _electorate(duty), duty.timing.of_vouches
    )


@dataclasses.dataclass(frozen=True)
class State:
    """What a daemon is for a service, as operators are told.

    Attributes:
      term: the term it controls in, or 0.
      is_licensed: whether it may act.
      is_vouched: whether only peers say so, not the store.
    """

    term: int = 0
    is_licensed: bool = False
    is_vouched: bool = False


def state_of(duty: Duty, now_s: float) -> State:
    """Returns what this daemon is for the service now."""
    licensed = is_licensed(duty, now_s)
    return State(
        duty.lease.term, licensed, licensed and not by_store(duty, now_s)
    )


def lost_calls(duty: Duty, grant: grants.Grant) -> int:
    """Returns how many calls in a row a grant's target left unanswered."""
    holder = duty.controller.holders.get(grant.target)
    return 0 if holder is None else holder.lost


def step(
    duty: Duty, view: control_state.View, now_s: float, rank: int
) -> list[Command]:
    """Returns what to do now.

    Args:
      duty: the state, changed in place.
      view: the world as it looks now.
      now_s: own clock, read since the last wait.
      rank: this daemon's place among the lease's candidates.
    """
    commands: list[Command] = []
    duty.lease.floor_term = max(
        duty.lease.floor_term, duty.controller.newest_term
    )
    lease_command = lease.tick(duty.lease, now_s, rank, duty.new_nonce())
    if lease_command is not None:
        commands.append(lease_command)
    if duty.lease.term != duty.controller.term:
        duty.term_began_s = now_s
    ownership.begin_term(duty.controller, duty.lease.term)
    licence.begin(duty.licence, duty.lease.term)
    commands.extend(_questions(duty, now_s))
    if not is_licensed(duty, now_s):
        return commands
    _settle(duty, view, now_s)
    committed = duty.controller.committed
    split = committed.hot_owners if committed is not None else ()
    duty.popularity.update(now_s, len(view.upstreams), split)
    commands.extend(
        ownership.tick(
            duty.controller,
            view,
            now_s,
            by_store(duty, now_s),
            duty.new_nonce(),
        )
    )
    return commands


def _electorate(duty: Duty) -> licence.Electorate:
    return control_state.electorate_of(duty.controller.committed)


def _settle(duty: Duty, view: control_state.View, now_s: float) -> None:
    if duty.controller.committed is None:
        return
    if _electorate(duty).everyone:
        settled = now_s >= licence.settled_s(duty.licence)
    else:
        # There is no assignment: either this is a new service, or operators
        # deleted it, and what a predecessor granted must lapse unseen.
        timing = duty.timing.of_grants
        wait_s = duty.timing.of_lease.ttl_s + timing.grant_ttl_s
        wait_s *= 1.0 + 2.0 * timing.drift_ratio
        settled = now_s >= duty.term_began_s + wait_s
        settled = settled or ownership.is_new_service(duty.controller, view)
    if settled:
        ownership.on_settled(duty.controller, now_s)


def _questions(duty: Duty, now_s: float) -> list[Ask]:
    """Returns the questions of one round, if a round is due and needed."""
    if now_s - duty.asked_s < duty.timing.of_vouches.ask_s:
        return []
    if duty.lease.term == 0:
        return _priming_questions(duty, now_s)
    if duty.controller.committed is None:
        return []
    # While the store answers, its word is enough and peers are not asked.
    # The first question goes out as soon as one renewal is late.
    left_s = duty.lease.store_until_s - now_s
    in_doubt = (
        left_s < duty.timing.of_lease.ttl_s - 2 * duty.timing.of_lease.renew_s
    )
    seal = not duty.controller.settled and duty.licence.sealed_s is None
    if not seal and not in_doubt:
        return []
    duty.asked_s = now_s
    queries = [seal] if not (seal and in_doubt) else [True, False]
    return [
        Ask(
            name,
            licence.VouchQuery(duty.controller.service, duty.lease.term, one),
            now_s,
        )
        for one in queries
        for name in sorted(_electorate(duty).everyone)
    ]


def _priming_questions(duty: Duty, now_s: float) -> list[Ask]:
    if duty.member.primed or duty.known is None:
        return []
    duty.asked_s = now_s
    query = licence.VouchQuery(duty.controller.service, 0, False)
    everyone = control_state.electorate_of(duty.known).everyone
    return [
        Ask(name, query, now_s) for name in sorted(everyone) if name != duty.me
    ]


# Answers.


def on_known(duty: Duty, assignment: placement.Assignment) -> None:
    """Takes in an assignment that came as news."""
    if duty.known is None or assignment.version > duty.known.version:
        duty.known = assignment


def on_question(
    duty: Duty, query: licence.VouchQuery, now_s: float
) -> licence.VouchAnswer:
    """Answers another daemon's question, or this daemon's own."""
    return licence.answer(duty.member, query, now_s)


def on_answer(
    duty: Duty, ask: Ask, answer: licence.VouchAnswer, now_s: float
) -> None:
    """Takes in the answer to a question."""
    controller = duty.controller
    controller.newest_term = max(controller.newest_term, answer.highest_term)
    if ask.query.term == 0:
        if answer.primed and duty.known is not None:
            electorate = control_state.electorate_of(duty.known)
            licence.on_report(
                duty.member, ask.member, electorate, answer.highest_term
            )
        return
    if not answer.granted:
        return
    if ask.query.seal:
        licence.on_sealed(
            duty.licence,
            ask.member,
            _electorate(duty),
            ask.query,
            answer,
            now_s,
            duty.timing.of_vouches,
        )
    else:
        licence.on_vouched(duty.licence, ask.member, ask.query, ask.asked_s)


def on_lease_read(duty: Duty, record: lease.LeaseRecord, now_s: float) -> None:
    """Takes in the lease as read; `lease.ABSENT` when there is none."""
    lease.on_read(duty.lease, record, now_s)
    licence.on_store_term(duty.member, record.term)


def on_lease_written(
    duty: Duty, record: lease.LeaseRecord, now_s: float
) -> None:
    """Takes in an acknowledged write of the lease, with its new version."""
    lease.on_written(duty.lease, record, now_s)
    licence.on_store_term(duty.member, record.term)


def on_assignment_read(
    duty: Duty, assignment: placement.Assignment, term: int, now_s: float
) -> None:
    """Takes in the assignment as read under the given term."""
    ownership.on_assignment_read(
        duty.controller, assignment, by_store(duty, now_s), term
    )


def on_assignment_written(
    duty: Duty, assignment: placement.Assignment, now_s: float
) -> None:
    """Takes in an acknowledged write, with its new version."""
    ownership.on_assignment_written(
        duty.controller, assignment, by_store(duty, now_s)
    )


def on_grant_answer(
    duty: Duty,
    grant: grants.Grant,
    answer: grants.GrantAnswer,
    now_s: float,
) -> None:
    """Takes in a holder's answer to a grant."""
    ownership.on_grant_answer(duty.controller, grant, answer, now_s)


def on_report(duty: Duty, report: popularity.Report) -> None:
    """Takes in what a gateway counted."""
    duty.popularity.add(report)
