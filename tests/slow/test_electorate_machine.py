"""Searches for two leaders whose orders give one key to two upstreams.

Daemons are cut off from each other, the store and the upstreams, they end,
restart and come under new names, and the store goes back to older copies.
"""

import logging

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sardinehill.core import leader_confirmation
from sardinehill.front import leader_term
from tests.common import counted_registrations
from tests.common import electorate_world

FIRST_SERVED_S = 8.0
SERVED_AGAIN_S = 5.0
# With most voters gone, a leader waits until no earlier one is confirmed, and
# then until the last orders have lapsed.
WITHOUT_VOTERS_S = 10.4 + 4.6
PLANNING_S = 2.0
MAX_DAEMONS = 6
WAITS_S = (0.25, 1.0, 2.5, 5.0, 12.0, 20.0)

indexes = st.integers(0, MAX_DAEMONS - 1)
masks = st.integers(0, 2**MAX_DAEMONS - 1)


@pytest.fixture(autouse=True)
def _without_log():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


class ElectorateMachine(stateful.RuleBasedStateMachine):
    """A fleet that is divided in all ways, and checked after each tick."""

    term_class = leader_term.LeaderTerm

    def __init__(self) -> None:
        super().__init__()
        self.world: electorate_world.World

    @stateful.initialize(daemons=st.integers(3, 5), upstreams=st.integers(2, 3))
    def start(self, daemons: int, upstreams: int) -> None:
        self.world = electorate_world.World(daemons, upstreams, self.term_class)
        self.world.run(FIRST_SERVED_S)

    def _name(self, index: int) -> str:
        names = sorted(self.world.daemons)
        return names[index % len(names)]

    def _upstream(self, index: int) -> str:
        return f"u{index % len(self.world.upstreams)}"

    def _side(self, mask: int) -> set[str]:
        return {
            name
            for index, name in enumerate(sorted(self.world.daemons))
            if mask >> index & 1
        }

    @stateful.rule(wait_s=st.sampled_from(WAITS_S))
    def time_passes(self, wait_s: float) -> None:
        self.world.run(wait_s)

    # cuts

    @stateful.rule(first=indexes, second=indexes)
    def cut_daemons(self, first: int, second: int) -> None:
        self.world.cut(self._name(first), self._name(second))

    @stateful.rule(mask=masks, also_from_store=st.booleans())
    def cut_a_side(self, mask: int, also_from_store: bool) -> None:
        """Parts the daemons, of whom one side may lose the store as well."""
        side = self._side(mask)
        self.world.cut_sides(side, set(self.world.daemons) - side)
        if also_from_store:
            self.world.cut_from_store = side

    @stateful.rule(
        mask=masks,
        upstream=indexes,
        parts_upstreams=st.booleans(),
        wait_s=st.sampled_from(WAITS_S),
    )
    def part(
        self, mask: int, upstream: int, parts_upstreams: bool, wait_s: float
    ) -> None:
        """Parts the fleet: one side has the store, and not all upstreams.

        The other side may reach all upstreams, or all but the next one.
        """
        side = self._side(mask)
        others = set(self.world.daemons) - side
        self.world.cut_links.clear()
        self.world.cut_sides(side, others)
        self.world.cut_from_store = side
        for name in others:
            self.world.cut(name, self._upstream(upstream))
        if parts_upstreams:
            for name in side:
                self.world.cut(name, self._upstream(upstream + 1))
        self.world.run(wait_s)

    @stateful.rule(mask=masks)
    def cut_from_store(self, mask: int) -> None:
        """Lets some daemons reach the store and the others not."""
        self.world.cut_from_store = self._side(mask)

    @stateful.rule(mask=masks, upstream=indexes)
    def cut_from_upstream(self, mask: int, upstream: int) -> None:
        for name in self._side(mask):
            self.world.cut(name, self._upstream(upstream))

    @stateful.rule()
    def links_heal(self) -> None:
        self.world.cut_links.clear()

    # daemons

    @stateful.precondition(lambda self: len(self.world.daemons) < MAX_DAEMONS)
    @stateful.rule()
    def add_daemon(self) -> None:
        self.world.add_daemon()

    @stateful.precondition(lambda self: len(self.world.daemons) > 1)
    @stateful.rule(index=indexes)
    def remove_daemon(self, index: int) -> None:
        self.world.remove_daemon(self._name(index))

    @stateful.rule(index=indexes)
    def restart_daemon(self, index: int) -> None:
        self.world.start_daemon(self._name(index))

    @stateful.rule()
    def lose_power(self) -> None:
        self.world.lose_power()

    # the store and the upstreams

    @stateful.rule(
        outcome=st.sampled_from(["lost", "lost-unread", "late", "late-unread"])
    )
    def next_lease_write_is_not_answered(self, outcome: str) -> None:
        self.world.store.lease_outcome = outcome

    @stateful.rule()
    def late_write_is_carried_out(self) -> None:
        self.world.store.carry_out_late_write()

    @stateful.rule(come_late=st.booleans())
    def grants_come_late(self, come_late: bool) -> None:
        self.world.grants_come_late = come_late

    @stateful.rule(index=indexes, is_alive=st.booleans())
    def upstream_ends_or_starts(self, index: int, is_alive: bool) -> None:
        """Ends an upstream, or starts it again, when it holds no keys."""
        upstream = self.world.upstreams[self._upstream(index)]
        if is_alive and not upstream.is_alive:
            upstream.forget()
        upstream.is_alive = is_alive

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.check_at_end()
            self.world.close()

    def check_at_end(self) -> None:
        """Checks nothing more than was checked after each tick."""


class ServedMachine(ElectorateMachine):
    """The same, until all keys are served again after the cuts have healed."""

    def check_at_end(self) -> None:
        self.world.heal()
        if not any(item.is_alive for item in self.world.upstreams.values()):
            return
        limit_s = SERVED_AGAIN_S
        if not self._has_most_voters():
            limit_s = WITHOUT_VOTERS_S + PLANNING_S
        self.world.check_served_within(limit_s)

    def _has_most_voters(self) -> bool:
        """Returns whether most voters of each leader and of the lease run."""
        running = {
            name
            for name, daemon in self.world.daemons.items()
            if daemon.has_started
        }
        return all(
            electorate.has_majority(running)
            for electorate in self.world.electorates()
        )


class RestoreMachine(ElectorateMachine):
    """The same while the store goes back to older copies now and then."""

    @stateful.rule()
    def take_copy(self) -> None:
        self.world.store.take_copy()

    @stateful.rule(age=st.integers(0, 2))
    def restore(self, age: int) -> None:
        self.world.store.restore(age)

    @stateful.rule(mask=masks, upstream=indexes, age=st.integers(0, 2))
    def part_and_restore(self, mask: int, upstream: int, age: int) -> None:
        """Restores the store while one side does not reach it."""
        self.part(mask, upstream, parts_upstreams=False, wait_s=0.25)
        self.world.store.restore(age)
        self.world.run(12.0)


SEARCH = hypothesis.settings(
    max_examples=200,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
    # What fails is shrunk by hand, as each run covers minutes of the fleet.
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


def search(machine):
    stateful.run_state_machine_as_test(machine, settings=SEARCH)


def test_no_key_is_held_twice():
    search(ElectorateMachine)


def test_keys_are_served_again_in_time():
    search(ServedMachine)


def test_no_key_is_held_twice_over_restores():
    search(RestoreMachine)


_wanted_electorate = leader_confirmation.wanted_electorate
_update_exclusion = leader_confirmation.update_exclusion


def _changed_by_any_leader(confirmation, now_s, keys_exclude_earlier):
    """A mutant: a leader that is not exclusive changes the electorate."""
    del keys_exclude_earlier
    return _wanted_electorate(confirmation, now_s, True)


def _done_before_the_answer(confirmation, electorate):
    """A mutant: only the new electorate counts while no answer has come."""
    confirmation.electorate = confirmation.proposed = electorate


def _never_needs_support(confirmation, now_s):
    """A mutant: a majority alone confirms a leader without a bound."""
    return False


def _exclusive_without_wait(exclusion, confirmation, now_s, key_share):
    """A mutant: grants of half of the keys suffice at once."""
    exclusion.is_complete |= key_share >= leader_confirmation.HALF
    return _update_exclusion(exclusion, confirmation, now_s, key_share)


def part_by_name(world, side, lost_by_side, lost_by_others):
    """Parts a side from the store and the rest; each loses an upstream."""
    others = set(world.daemons) - side
    world.cut_sides(side, others)
    world.cut_from_store = set(side)
    for lost, names in ((lost_by_side, side), (lost_by_others, others)):
        for name in names:
            world.cut(name, lost)


def change_is_not_answered(world):
    """Lets a change of the electorate get lost before the fleet is parted."""
    for name in ("d3", "d4"):
        world.remove_daemon(name)
    world.run(9.0)
    world.store.lease_outcome = "late-unread"
    while not world.store.late_writes:
        world.tick()
    for name in ("d3", "d4"):
        world.start_daemon(name)
    part_by_name(world, {"d0", "d1"}, "u0", "u1")
    world.run(20.0)


def run_scenario(scenario):
    world = electorate_world.World(daemons=5, upstreams=2)
    world.run(FIRST_SERVED_S)
    try:
        scenario(world)
    finally:
        world.close()


def test_a_change_that_is_not_answered_counts_both(monkeypatch):
    run_scenario(change_is_not_answered)
    monkeypatch.setattr(
        leader_confirmation, "begin_change", _done_before_the_answer
    )
    with pytest.raises(electorate_world.KeyHeldTwiceError):
        run_scenario(change_is_not_answered)


MUTANTS = [
    (leader_confirmation, "wanted_electorate", _changed_by_any_leader),
    (leader_confirmation, "needs_support", _never_needs_support),
    (leader_confirmation, "update_exclusion", _exclusive_without_wait),
]


class CountingMachine(ElectorateMachine):
    """The machine with the count of ac9eea9."""

    term_class = counted_registrations.CountsRegistrations


def test_search_finds_the_count_of_registrations():
    with pytest.raises(electorate_world.KeyHeldTwiceError):
        search(CountingMachine)


@pytest.mark.parametrize(("owner", "name", "mutant"), MUTANTS)
def test_search_finds_each_mutant(owner, name, mutant, monkeypatch):
    monkeypatch.setattr(owner, name, mutant)
    with pytest.raises(electorate_world.KeyHeldTwiceError):
        search(ElectorateMachine)
