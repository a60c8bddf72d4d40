"""Searches for faults under which a unit has two owners or none."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sardinehill.core import grants
from tests.common import ownership_simulation

# Simulated time from the end of the faults and of all messages in flight until
# every shard must be served again.
RECOVERY_LIMIT_S = 5.0
# A planned move interrupts a shard for less than the timeout of one call.
MAX_MOVE_GAP_S = ownership_simulation.GRANT_TIMEOUT_S
# After the limit, shards are observed for this long, in steps.
OBSERVED_S = 1.0
OBSERVATION_STEP_S = MAX_MOVE_GAP_S / 10

DAEMONS = st.sampled_from(["d0", "d1", "d2"])
UPSTREAMS = st.sampled_from(["u0", "u1", "u2"])
PROCESSES = st.one_of(DAEMONS, UPSTREAMS)


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Applies any faults to a simulated fleet, which checks its invariants."""

    broken_rules = ownership_simulation.BrokenRules()
    check_liveness = True

    def __init__(self) -> None:
        super().__init__()
        self.simulation: ownership_simulation.FleetSimulation

    @stateful.initialize(seed=st.integers(0, 2**32), fencing=st.booleans())
    def start_fleet(self, seed: int, fencing: bool) -> None:
        """Starts a fleet and lets it run without faults."""
        self.simulation = ownership_simulation.FleetSimulation(
            seed, fencing=fencing, broken_rules=self.broken_rules
        )
        self.simulation.advance(1.5)

    def process(self, name: str) -> ownership_simulation.Process:
        """Returns a daemon or an upstream."""
        return (
            self.simulation.daemons.get(name) or self.simulation.upstreams[name]
        )

    @stateful.rule(seconds=st.sampled_from([0.05, 0.3, 0.7, 1.5, 3.0]))
    def let_time_pass(self, seconds: float) -> None:
        """Runs the fleet under the present faults."""
        self.simulation.advance(seconds)

    @stateful.rule(name=PROCESSES)
    def freeze(self, name: str) -> None:
        """Freezes a process, which cannot notice it."""
        self.process(name).frozen = True

    @stateful.rule()
    def freeze_controller(self) -> None:
        """Freezes the daemon that holds the lease."""
        self.process(self.simulation.lease.holder or "d0").frozen = True

    @stateful.rule(name=PROCESSES)
    def resume(self, name: str) -> None:
        """Resumes a frozen process."""
        self.process(name).resume()

    @stateful.rule()
    def resume_all(self) -> None:
        """Resumes all frozen processes."""
        for name in (*self.simulation.daemons, *self.simulation.upstreams):
            self.process(name).resume()

    @stateful.rule(name=PROCESSES)
    def restart(self, name: str) -> None:
        """Kills a process and restarts it at once."""
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
    def cut_link(self, first: str, second: str, both: bool) -> None:
        """Cuts the link from one party to another, or in both directions."""
        self.simulation.cut_links.add((first, second))
        if both:
            self.simulation.cut_links.add((second, first))

    @stateful.rule(reads=st.booleans())
    def cut_controller_from_store(self, reads: bool) -> None:
        """Cuts the controller's requests to the store, or replies as well."""
        holder = self.simulation.lease.holder
        self.simulation.cut_links.add((holder, "store"))
        if reads:
            self.simulation.cut_links.add(("store", holder))

    @stateful.rule()
    def lose_store_replies(self) -> None:
        """Lets requests to the store take effect without a reply."""
        self.simulation.cut_links.update(
            ("store", name) for name in self.simulation.daemons
        )

    @stateful.rule(name=DAEMONS)
    def isolate(self, name: str) -> None:
        """Cuts a daemon off from the store and the other daemons."""
        parties = ["store", *self.simulation.daemons]
        for other in parties:
            self.simulation.cut_links.update([(name, other), (other, name)])

    @stateful.rule(
        names=st.sets(PROCESSES, min_size=1, max_size=4),
        seconds=st.sampled_from([0.0, 1.0, 3.0]),
    )
    def partition(self, names: set[str], seconds: float) -> None:
        """Cuts some processes off from all others and from the store."""
        parties = {
            "store",
            *self.simulation.daemons,
            *self.simulation.upstreams,
        }
        for name in names:
            for other in parties - names:
                self.simulation.cut_links.update([(name, other), (other, name)])
        self.simulation.advance(seconds)

    @stateful.rule(
        daemons=st.sets(DAEMONS, max_size=1),
        upstreams=st.sets(UPSTREAMS, max_size=2),
        seconds=st.sampled_from([1.0, 6.0]),
    )
    def partition_controller(
        self, daemons: set[str], upstreams: set[str], seconds: float
    ) -> None:
        """Partitions a healthy fleet, with the controller cut off the store."""
        self.simulation.end_faults()
        self.simulation.advance(1.0)
        holder = self.simulation.lease.holder or "d0"
        self.partition({holder, *daemons, *upstreams}, seconds)

    @stateful.rule(name=UPSTREAMS)
    def partition_controller_from_store_only(self, name: str) -> None:
        """Lets a successor move keys while the old controller is running."""
        self.simulation.end_faults()
        self.simulation.advance(1.0)
        holder = self.simulation.lease.holder or "d0"
        self.simulation.cut_links.update([(holder, "store"), ("store", holder)])
        self.simulation.taken_out.add(name)
        self.simulation.advance(6.0)

    @stateful.rule(name=PROCESSES, seconds=st.sampled_from([0.5, 1.5, 3.0]))
    def freeze_for(self, name: str, seconds: float) -> None:
        """Freezes a process for a while."""
        self.process(name).frozen = True
        self.simulation.advance(seconds)
        self.process(name).resume()

    @stateful.rule()
    def restore_network(self) -> None:
        """Restores all cut links."""
        self.simulation.cut_links.clear()

    @stateful.rule(up=st.booleans())
    def set_store_availability(self, up: bool) -> None:
        """Starts or ends an outage of the store."""
        self.simulation.store_up = up

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.1, 0.5]),
        doubling=st.sampled_from([0.0, 0.3]),
        slow_s=st.sampled_from([0.0, 0.3, 4.0]),
    )
    def degrade_network(
        self, loss: float, doubling: float, slow_s: float
    ) -> None:
        """Sets how messages are lost, duplicated, delayed and reordered."""
        self.simulation.loss_probability = loss
        self.simulation.duplication_probability = doubling
        self.simulation.max_extra_delay_s = slow_s

    @stateful.rule(name=PROCESSES)
    def take_out(self, name: str) -> None:
        """Takes a host out of service."""
        self.simulation.taken_out.add(name)

    @stateful.rule()
    def return_all_hosts(self) -> None:
        """Puts all hosts back into service."""
        self.simulation.taken_out.clear()

    @stateful.rule(hot=st.sets(st.sampled_from(ownership_simulation.HOT_KEYS)))
    def change_hot_keys(self, hot: set[str]) -> None:
        """Changes which keys are placed separately from their shards."""
        self.simulation.hot_keys = hot

    @stateful.rule(
        names=st.sampled_from(
            [("d0",), ("d0", "d1"), ("d1", "d2"), ("d0", "d1", "d2")]
        )
    )
    def change_electorate(self, names: tuple[str, ...]) -> None:
        """Changes the electorate that all daemons see."""
        self.simulation.electorate = names

    def teardown(self) -> None:
        """Ends all faults and checks that every shard is served again."""
        if not self.check_liveness or not hasattr(self, "simulation"):
            return
        self.simulation.end_faults()
        self.simulation.taken_out.clear()
        self.simulation.electorate = tuple(self.simulation.daemons)
        # Messages sent before the faults ended may still be in flight.
        self.simulation.advance(ownership_simulation.MAX_DELAY_S)
        self.simulation.advance(RECOVERY_LIMIT_S - MAX_MOVE_GAP_S)
        self.expect_all_served(MAX_MOVE_GAP_S + OBSERVED_S)

    def expect_all_served(self, seconds: float) -> None:
        """Fails if a shard is unserved for longer than a planned move takes."""
        unserved_since_s: dict[grants.Unit, float] = {}
        for _ in range(round(seconds / OBSERVATION_STEP_S) + 1):
            now_s = self.simulation.now_s
            unserved = self.simulation.unserved_shards()
            unserved_since_s = {
                shard: unserved_since_s.get(shard, now_s) for shard in unserved
            }
            too_long = [
                shard
                for shard, since_s in unserved_since_s.items()
                if now_s - since_s > MAX_MOVE_GAP_S - OBSERVATION_STEP_S / 2
            ]
            assert not too_long, f"not served after the faults: {too_long}"
            self.simulation.advance(OBSERVATION_STEP_S)


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
    """Fails unless the search finds a violation with these broken rules."""

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

    def forgets_unresponsive_holders(
        holder: grants.HolderState,
        unit: grants.Unit,
        shard_count: int,
        now_s: float,
    ) -> bool:
        return holder.unanswered_calls < 2 and may_hold(
            holder, unit, shard_count, now_s
        )

    monkeypatch.setattr(grants, "may_hold", forgets_unresponsive_holders)
    expect_violation_found(ownership_simulation.BrokenRules())
