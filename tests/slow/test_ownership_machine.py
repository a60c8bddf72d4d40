"""Claims about ownership under any faults, in any order, also twice."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sardinehill.core import grants
from tests.common import ownership_simulation

# Simulated time in which every shard is served again once faults stop.
RECOVERY_LIMIT_S = 5.0

DAEMONS = st.sampled_from(["d0", "d1", "d2"])
UPSTREAMS = st.sampled_from(["u0", "u1", "u2"])
PROCESSES = st.one_of(DAEMONS, UPSTREAMS)


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Any faults; the world itself checks its claims at every event."""

    broken_rules = ownership_simulation.BrokenRules()
    check_liveness = True

    def __init__(self) -> None:
        super().__init__()
        self.world: ownership_simulation.FleetSimulation

    @stateful.initialize(seed=st.integers(0, 2**32), fencing=st.booleans())
    def begin(self, seed: int, fencing: bool) -> None:
        """Starts a fleet and lets it settle."""
        self.world = ownership_simulation.FleetSimulation(
            seed, fencing=fencing, rules=self.broken_rules
        )
        self.world.advance(1.5)

    def process(self, name: str) -> ownership_simulation.Process:
        """Returns a daemon or an upstream."""
        return self.world.daemons.get(name) or self.world.upstreams[name]

    @stateful.rule(seconds=st.sampled_from([0.05, 0.3, 0.7, 1.5, 3.0]))
    def let_time_pass(self, seconds: float) -> None:
        """Lets the fleet work under the present faults."""
        self.world.advance(seconds)

    @stateful.rule(name=PROCESSES)
    def freeze(self, name: str) -> None:
        """Stops a process without its noticing."""
        self.process(name).frozen = True

    @stateful.rule()
    def freeze_controller(self) -> None:
        """Stops the daemon that holds the lease."""
        self.process(self.world.lease.holder or "d0").frozen = True

    @stateful.rule(name=PROCESSES)
    def thaw(self, name: str) -> None:
        """Lets a process go on as if nothing had happened."""
        self.process(name).resume()

    @stateful.rule()
    def thaw_all(self) -> None:
        """Lets all frozen processes go on."""
        for name in (*self.world.daemons, *self.world.upstreams):
            self.process(name).resume()

    @stateful.rule(name=PROCESSES)
    def restart(self, name: str) -> None:
        """Kills a process and starts it anew at once."""
        self.process(name).restart()

    @stateful.rule(name=PROCESSES)
    def kill(self, name: str) -> None:
        """Kills a process."""
        self.process(name).dead = True

    @stateful.rule(
        first=st.one_of(PROCESSES, st.just("store")),
        second=st.one_of(PROCESSES, st.just("store")),
        both=st.booleans(),
    )
    def cut(self, first: str, second: str, both: bool) -> None:
        """Cuts the way from one party to another, or both ways."""
        self.world.cut_links.add((first, second))
        if both:
            self.world.cut_links.add((second, first))

    @stateful.rule(reads=st.booleans())
    def cut_controller_from_store(self, reads: bool) -> None:
        """Cuts writes off, or replies as well."""
        holder = self.world.lease.holder
        self.world.cut_links.add((holder, "store"))
        if reads:
            self.world.cut_links.add(("store", holder))

    @stateful.rule()
    def lose_replies_of_store(self) -> None:
        """Lets writes take effect without a reply."""
        self.world.cut_links.update(
            ("store", name) for name in self.world.daemons
        )

    @stateful.rule(name=DAEMONS)
    def isolate(self, name: str) -> None:
        """Cuts a daemon off the store and the other daemons."""
        others = ["store", *self.world.daemons]
        for other in others:
            self.world.cut_links.update([(name, other), (other, name)])

    @stateful.rule(
        names=st.sets(PROCESSES, min_size=1, max_size=4),
        seconds=st.sampled_from([0.0, 1.0, 3.0]),
    )
    def partition(self, names: set[str], seconds: float) -> None:
        """Cuts some processes off from all others and from the store."""
        everyone = {"store", *self.world.daemons, *self.world.upstreams}
        for name in names:
            for other in everyone - names:
                self.world.cut_links.update([(name, other), (other, name)])
        self.world.advance(seconds)

    @stateful.rule(
        daemons=st.sets(DAEMONS, max_size=1),
        upstreams=st.sets(UPSTREAMS, max_size=2),
        seconds=st.sampled_from([1.0, 6.0]),
    )
    def partition_controller(
        self, daemons: set[str], upstreams: set[str], seconds: float
    ) -> None:
        """Cuts a healthy fleet in two, the store on the other side."""
        self.world.heal()
        self.world.advance(1.0)
        holder = self.world.lease.holder or "d0"
        self.partition({holder, *daemons, *upstreams}, seconds)

    @stateful.rule(name=UPSTREAMS)
    def partition_controller_from_store_only(self, name: str) -> None:
        """Lets a successor move keys while the old one meets all others."""
        self.world.heal()
        self.world.advance(1.0)
        holder = self.world.lease.holder or "d0"
        self.world.cut_links.update([(holder, "store"), ("store", holder)])
        self.world.taken_out.add(name)
        self.world.advance(6.0)

    @stateful.rule(name=PROCESSES, seconds=st.sampled_from([0.5, 1.5, 3.0]))
    def freeze_for(self, name: str, seconds: float) -> None:
        """Stops a process for a while without its noticing."""
        self.process(name).frozen = True
        self.world.advance(seconds)
        self.process(name).resume()

    @stateful.rule()
    def restore_network(self) -> None:
        """Ends all cuts."""
        self.world.cut_links.clear()

    @stateful.rule(up=st.booleans())
    def switch_store(self, up: bool) -> None:
        """Begins or ends an outage of the store."""
        self.world.store_up = up

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.1, 0.5]),
        doubling=st.sampled_from([0.0, 0.3]),
        slow_s=st.sampled_from([0.0, 0.3, 4.0]),
    )
    def degrade_network(
        self, loss: float, doubling: float, slow_s: float
    ) -> None:
        """Loses, doubles, delays and reorders messages."""
        self.world.loss = loss
        self.world.duplication = doubling
        self.world.max_extra_delay_s = slow_s

    @stateful.rule(name=PROCESSES)
    def take_out(self, name: str) -> None:
        """Takes a host out."""
        self.world.taken_out.add(name)

    @stateful.rule()
    def take_all_back(self) -> None:
        """Takes all hosts back."""
        self.world.taken_out.clear()

    @stateful.rule(hot=st.sets(st.sampled_from(ownership_simulation.HOT_KEYS)))
    def shift_popularity(self, hot: set[str]) -> None:
        """Changes which keys are to be placed alone."""
        self.world.hot_keys = hot

    @stateful.rule(
        names=st.sampled_from(
            [("d0",), ("d0", "d1"), ("d1", "d2"), ("d0", "d1", "d2")]
        )
    )
    def change_members(self, names: tuple[str, ...]) -> None:
        """Changes the electorate that the fleet should have."""
        self.world.electorate = names

    def teardown(self) -> None:
        """Ends all faults and demands service."""
        if not self.check_liveness or not hasattr(self, "world"):
            return
        self.world.heal()
        self.world.taken_out.clear()
        self.world.electorate = tuple(self.world.daemons)
        # What was sent before the faults stopped may still be on its way.
        self.world.advance(ownership_simulation.MAX_DELAY_S)
        self.world.advance(RECOVERY_LIMIT_S)
        missing = self.world.unowned()
        assert not missing, f"not served after the faults: {missing}"


SEARCH_SETTINGS = hypothesis.settings(
    max_examples=40,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

TestOwnership = OwnershipMachine.TestCase
TestOwnership.settings = SEARCH_SETTINGS


@pytest.fixture(
    params=[
        field.name
        for field in dataclasses.fields(ownership_simulation.BrokenRules)
    ]
)
def broken_rules(
    request: pytest.FixtureRequest,
) -> ownership_simulation.BrokenRules:
    return ownership_simulation.BrokenRules(**{request.param: True})


def expect_violation_found(rules: ownership_simulation.BrokenRules) -> None:
    """Fails unless the search breaks a claim under the given rules."""

    class Broken(OwnershipMachine):
        broken_rules = rules
        check_liveness = False

    search = hypothesis.settings(
        SEARCH_SETTINGS, max_examples=300, phases=[hypothesis.Phase.generate]
    )
    with pytest.raises(AssertionError, match="has the"):
        stateful.run_state_machine_as_test(Broken, settings=search)


def test_search_finds_each_broken_rule(
    broken_rules: ownership_simulation.BrokenRules,
) -> None:
    expect_violation_found(broken_rules)


def test_search_finds_a_move_before_expiry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    may_hold = grants.may_hold

    def forgets_silent_holders(
        holder: grants.HolderState,
        unit: grants.Unit,
        shard_count: int,
        now_s: float,
    ) -> bool:
        return holder.unanswered_calls < 2 and may_hold(
            holder, unit, shard_count, now_s
        )

    monkeypatch.setattr(grants, "may_hold", forgets_silent_holders)
    expect_violation_found(ownership_simulation.BrokenRules())
