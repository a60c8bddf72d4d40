"""Runs all short sequences of coarse steps on a simulated fleet.

A sequence begins with a fleet that serves all keys. After each step but the
last the fleet runs for one of several times, after the last for a longer one.
The world checks after each tick that no keys are held twice. Sequences share
what they have in common: each step continues in a copy of the process.

Run as `python -m tests.common.electorate_search --daemons 3 --steps 2`.
"""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import functools
import itertools
import logging
import time

from tests.common import electorate_world
from tests.common import process_copy

FIRST_SERVED_S = 8.0
# On both sides of the bounds of 10 s and 30 s without the store; a wait of 10 s
# by the later leader's clock takes 10.4 s.
WAITS_S = (5.0, 10.5, 31.25)

World = electorate_world.World
# Upstreams that the side without the store loses, and those that the others do.
LostPair = tuple[tuple[str, ...], tuple[str, ...]]


@dataclasses.dataclass(frozen=True)
class Step:
    """Something that happens to a fleet."""

    name: str
    apply: Callable[[World], None]


@dataclasses.dataclass(frozen=True)
class Violation:
    """A sequence after which keys were held twice, and how."""

    sequence: tuple[str, ...]
    error: str


@dataclasses.dataclass(frozen=True)
class SearchPlan:
    """Which sequences are run.

    Attributes:
      steps: what may happen.
      length: the number of steps in a sequence.
      waits_s: for how long the fleet may run after each step but the last.
      last_wait_s: for how long it runs after the last.
    """

    steps: Sequence[Step]
    length: int
    waits_s: Sequence[float] = WAITS_S
    last_wait_s: float = WAITS_S[-1]

    def sequence_count(self) -> int:
        return len(self.steps) ** self.length * len(self.waits_s) ** (
            self.length - 1
        )


@dataclasses.dataclass
class SearchResult:
    """What a search has covered.

    Attributes:
      sequences: the number of sequences that were run.
      ticks: the number of moments at which a world was checked.
      end_states: the distinct states of fleets after their last wait.
      violation: the first that was found; the search ends with it.
    """

    sequences: int = 0
    ticks: int = 0
    end_states: set[object] = dataclasses.field(default_factory=set)
    violation: Violation | None = None

    def add(self, other: "SearchResult") -> None:
        """Adds what another search has covered."""
        self.sequences += other.sequences
        self.ticks += other.ticks
        self.end_states |= other.end_states
        self.violation = self.violation or other.violation


def part(
    side: frozenset[str],
    lost_by_side: Sequence[str],
    lost_by_others: Sequence[str],
    world: World,
) -> None:
    """Parts a side from the store and the rest; each may lose upstreams."""
    others = set(world.daemons) - side
    world.cut_links.clear()
    world.cut_sides(set(side), others)
    world.cut_from_store = set(side)
    world.cut_sides(set(side), set(lost_by_side))
    world.cut_sides(others, set(lost_by_others))


def _leader(world: World) -> str:
    """Returns the leader of the highest term, or else the first daemon."""
    leaders = world.leaders()
    if not leaders:
        return min(world.daemons, default="")
    return max(leaders, key=lambda daemon: daemon.known.term).name


def _remove_leader(world: World) -> None:
    world.remove_daemon(_leader(world))


def _restart_leader(world: World) -> None:
    if world.daemons:
        world.start_daemon(_leader(world))


def _remove_last(world: World) -> None:
    world.remove_daemon(max(world.daemons, default=""))


def _restart_last(world: World) -> None:
    if world.daemons:
        world.start_daemon(max(world.daemons))


def _add_daemon(world: World) -> None:
    world.add_daemon()


def _let_lease_write_be_late(world: World) -> None:
    world.store.lease_outcome = "late-unread"


def _carry_out_late_write(world: World) -> None:
    world.store.carry_out_late_write()


def _restart_upstream(world: World) -> None:
    world.upstreams["u0"].forget()


OTHER_STEPS = (
    Step("all cuts heal", World.heal),
    Step("the leader is lost", _remove_leader),
    Step("the leader restarts", _restart_leader),
    Step("the last daemon is removed", _remove_last),
    Step("the last daemon restarts", _restart_last),
    Step("a daemon is added", _add_daemon),
    Step("the next lease write is late", _let_lease_write_be_late),
    Step("the late lease write arrives", _carry_out_late_write),
    Step("u0 restarts", _restart_upstream),
)


def parting_steps(
    sides: Sequence[frozenset[str]], lost_pairs: Sequence[LostPair]
) -> list[Step]:
    """Returns the steps that part the fleet.

    Args:
      sides: the daemons that may lose the store.
      lost_pairs: the upstreams that this side does not reach, and those that
        the other side does not reach.
    """
    return [
        Step(
            f"{sorted(side)} lose the store, the others and {lost_by_side},"
            f" the others lose {lost_by_others}",
            functools.partial(part, side, lost_by_side, lost_by_others),
        )
        for side in sides
        for lost_by_side, lost_by_others in lost_pairs
    ]


def _names(daemons: int) -> list[str]:
    return [f"d{index}" for index in range(daemons)]


def all_sides(daemons: int) -> list[frozenset[str]]:
    """Returns all subsets of the daemons."""
    return [
        frozenset(side)
        for size in range(daemons + 1)
        for side in itertools.combinations(_names(daemons), size)
    ]


def some_sides(daemons: int) -> list[frozenset[str]]:
    """Returns the first few daemons and the last few by their names."""
    names = _names(daemons)
    return [frozenset(names[:size]) for size in range(1, daemons)] + [
        frozenset(names[size:]) for size in range(1, daemons)
    ]


SOME_LOST: tuple[LostPair, ...] = (
    (("u0",), ("u1",)),
    (("u1",), ("u0",)),
    ((), ("u0", "u1")),
)
MORE_LOST: tuple[LostPair, ...] = (
    *SOME_LOST,
    *itertools.product(((), ("u0",)), ((), ("u0",))),
    *(((), ("u1",)), (("u1",), ()), (("u1",), ("u1",))),
)


def search(
    plan: SearchPlan,
    daemons: int,
    upstreams: int = 2,
    first_steps: Sequence[Step] = (),
) -> SearchResult:
    """Runs sequences until keys are held twice.

    Args:
      plan: the sequences.
      daemons: the number of daemons at first.
      upstreams: the number of upstreams.
      first_steps: with which sequences begin, if not with all.
    """
    world = World(daemons, upstreams)
    world.run(FIRST_SERVED_S)
    result = SearchResult()
    for step in first_steps or plan.steps:
        _explore_in_copy(plan, world, step, (), result)
    world.close()
    return result


def _explore_in_copy(
    plan: SearchPlan,
    world: World,
    step: Step,
    path: tuple[str, ...],
    result: SearchResult,
) -> None:
    """Runs the sequences that go on with a step, in a copy of this process."""
    if result.violation is not None:
        return
    found = process_copy.call_in_copy(
        functools.partial(_explore, plan, world, step, path)
    )
    result.add(found)


def _explore(
    plan: SearchPlan, world: World, step: Step, path: tuple[str, ...]
) -> SearchResult:
    """Runs the sequences that go on with a step."""
    result = SearchResult()
    is_last = len(path) + 1 == plan.length
    waits_s = (plan.last_wait_s,) if is_last else plan.waits_s
    began_s = world.now_s
    path = (*path, step.name)
    try:
        step.apply(world)
        for wait_s in waits_s:
            world.run(began_s + wait_s - world.now_s)
            if not is_last:
                _explore_further(plan, world, path, wait_s, result)
    except electorate_world.KeyHeldTwiceError as error:
        result.violation = result.violation or Violation(path, str(error))
    if is_last:
        result.sequences += 1
        result.end_states.add(hash(_state(world)))
    result.ticks += round((world.now_s - began_s) / world.tick_s)
    return result


def _explore_further(
    plan: SearchPlan,
    world: World,
    path: tuple[str, ...],
    wait_s: float,
    result: SearchResult,
) -> None:
    path = (*path[:-1], f"{path[-1]}; wait {wait_s} s")
    for step in plan.steps:
        _explore_in_copy(plan, world, step, path, result)


def _state(world: World) -> object:
    """Returns what daemons know and which upstreams hold what."""
    daemons = tuple(
        (name, daemon.known.term, daemon.leader, daemon.has_started)
        for name, daemon in sorted(world.daemons.items())
    )
    leaders = tuple(
        (name, term, is_exclusive, tuple(voters))
        for name, term, is_exclusive, voters in world.describe_leaders()
    )
    holders = tuple(
        tuple(world.holders(index))
        for index in range(electorate_world.RANGE_COUNT)
    )
    cuts = frozenset(world.cut_links), frozenset(world.cut_from_store)
    return daemons, leaders, holders, cuts


def main() -> None:
    """Runs a search by hand and prints what it covered."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--steps", type=int, default=2)
    parser.add_argument("--waits", type=float, nargs="+", default=WAITS_S)
    parser.add_argument("--all-sides", action="store_true")
    parser.add_argument("--more-lost", action="store_true")
    parser.add_argument("--part", type=int, default=0)
    parser.add_argument("--parts", type=int, default=1)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    choose_sides = all_sides if options.all_sides else some_sides
    lost_pairs = MORE_LOST if options.more_lost else SOME_LOST
    steps = [
        *parting_steps(choose_sides(options.daemons), lost_pairs),
        *OTHER_STEPS,
    ]
    plan = SearchPlan(steps, options.steps, options.waits)
    began_s = time.monotonic()
    result = search(
        plan,
        options.daemons,
        first_steps=steps[options.part :: options.parts],
    )
    print(
        f"{result.sequences} of {plan.sequence_count()} sequences,"
        f" {result.ticks} ticks, {len(result.end_states)} end states,"
        f" {time.monotonic() - began_s:.0f} s"
    )
    print(result.violation or "no key was held twice")


if __name__ == "__main__":
    main()
