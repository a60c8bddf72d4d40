"""Searches for grants that give two upstreams the same key, with all parts.

What is simulated is told in `tests.common.grants_world`.
"""

import os

import hypothesis
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from sardinehill.core import key_orders
from sardinehill.core import keyspace
from sardinehill.front import order_sender
from tests.common import grants_world

World = grants_world.GrantsWorld
# What happens to an order: it is carried out and answered at once, or after
# 0.3 s; the answer is lost; it is carried out late and not answered; it waits
# in the sender's kernel; no connection opens; a stray answer to an earlier
# order comes before its own.
FATES = ("answered", "slow", "lost", "late", "held", "cut", "stray")
STORE_FATES = ("answers", "slow", "answer-lost", "late", "down")
A_NAME = st.sampled_from(grants_world.NAMES)
AN_ADDRESS = st.sampled_from(grants_world.ADDRESSES)
A_PART = st.integers(0, grants_world.PARTS - 1)
A_PAUSE_S = st.sampled_from([0.01, 0.3, 1.0])
AN_OVERLAP_S = st.sampled_from([0.0, 0.6, 3.0])


def rule(action, **arguments):
    return stateful.rule(**arguments)(action)


class GrantsMachine(World, stateful.RuleBasedStateMachine):
    """Leaders, upstreams that start again, late orders and a restored store."""

    def __init__(self):
        stateful.RuleBasedStateMachine.__init__(self)
        World.__init__(self)

    def teardown(self):
        try:
            if not self.violations:
                self.all_is_well_again()
        finally:
            self.close()

    time_passes = rule(
        World.wait, seconds=st.sampled_from([0.05, 0.3, 0.7, 1.6, 3.0])
    )
    orders_fare = rule(
        World.orders_fare,
        name=A_NAME,
        fate=st.sampled_from(FATES),
        delay_s=st.sampled_from([2.0, 5.0, 12.0]),
        seconds=st.sampled_from([0.3, 1.0, 3.0]),
    )
    keys_move = rule(
        World.keys_move,
        part=A_PART,
        width=st.integers(1, grants_world.PARTS),
        name=A_NAME,
        seconds=A_PAUSE_S,
    )
    keys_move_on = rule(
        World.keys_move_on, name=A_NAME, fate=st.sampled_from(FATES)
    )
    upstream_ends = rule(World.upstream_ends, name=A_NAME)
    upstream_starts_again = rule(
        World.upstream_starts_again,
        name=A_NAME,
        address=AN_ADDRESS,
        step=st.integers(0, 2),
        is_listed=st.booleans(),
    )
    keys_move_after_restart = rule(
        World.keys_move_after_restart,
        name=A_NAME,
        is_moved_away=st.booleans(),
        seconds=st.sampled_from([0.3, 0.8, 1.5]),
    )
    entry_is_read = rule(World.entry_is_read, name=A_NAME)
    entry_vanishes = rule(World.entry_vanishes, name=A_NAME)
    earlier_entry_is_read = rule(
        World.earlier_entry_is_read, name=A_NAME, back=st.integers(1, 2)
    )
    connections_end = rule(World.connections_end, name=A_NAME)
    leader_is_unconfirmed = rule(
        World.leader_is_unconfirmed, is_unconfirmed=st.booleans()
    )
    another_daemon_leads = rule(
        World.another_daemon_leads,
        is_killed=st.booleans(),
        exclusive_after_s=AN_OVERLAP_S,
        validity_ratio=st.sampled_from([0.0, 1.0]),
        is_cut=st.booleans(),
    )
    store_fares = rule(World.store_fares, fate=st.sampled_from(STORE_FATES))
    store_is_restored = rule(World.store_is_restored, back=st.integers(1, 4))
    leader_is_lost_over_a_restore = rule(
        World.leader_is_lost_over_a_restore,
        name=A_NAME,
        is_killed=st.booleans(),
        exclusive_after_s=AN_OVERLAP_S,
    )

    @stateful.invariant()
    def no_key_is_held_twice(self):
        assert not self.violations, self.violations


GRANT_OUTCOME = order_sender._grant_outcome


class TakesRestartAsRelease(GrantsMachine):
    """A leader that takes a later life as proof that keys are free."""

    mutations = (
        (
            order_sender.OrderSender,
            "_is_earlier_life",
            lambda sender, former, span: sender._owners.is_replaced(former),
        ),
    )


class KeepsEpochsOverConnections(GrantsMachine):
    """A leader that sends one epoch over any connection."""

    mutations = (
        (
            order_sender.OrderSender,
            "_needs_new_epoch",
            lambda sender, span, owner: False,
        ),
        (key_orders, "may_send_at_connection", lambda *unused: True),
    )


class TrustsRestoredStore(GrantsMachine):
    """A leader that takes the owners of a restored store for the last ones."""

    mutations = ((keyspace, "suspect_unknown_owners", lambda *unused: None),)


def _unanswered_as_unsent(result):
    outcome = GRANT_OUTCOME(result)
    if outcome is key_orders.GrantOutcome.UNANSWERED:
        return key_orders.GrantOutcome.UNSENT
    return outcome


class TakesUnansweredAsUnsent(GrantsMachine):
    """A leader that takes a grant without an answer as not sent."""

    mutations = ((order_sender, "_grant_outcome", _unanswered_as_unsent),)


# What the world allows beyond its defaults; faults that these find today are in
# tests/cover/test_grants_over_restarts.py.
REACHES = {
    "restarts": {"restarts_beside_leaders": True},
    "unlisted": {"unlists_over_restores": True},
    "entries": {"has_earlier_entries": True, "clock_steps_ms": (1, 0)},
    "clocks": {"clock_steps_ms": (1, 0, -1)},
    "strays": {"has_strays": True},
}
# By hand: GRANTS_EXAMPLES=3000 GRANTS_REACH=restarts,unlisted pytest FILE
EXAMPLES = os.environ.get("GRANTS_EXAMPLES")
REACH = [name for name in os.environ.get("GRANTS_REACH", "").split(",") if name]
SEARCH = settings(
    max_examples=int(EXAMPLES or 40),
    stateful_step_count=25,
    derandomize=EXAMPLES is None,
    deadline=None,
    database=None,
)
# It is enough to find a failing example of a mutant, without shrinking it.
MUTANT_SEARCH = settings(
    SEARCH,
    max_examples=400,
    derandomize=True,
    phases=[hypothesis.Phase.generate],
)


def test_two_upstreams_never_hold_the_same_key():
    flags = {}
    for name in REACH:
        flags |= REACHES[name]
    machine = type("WiderGrantsMachine", (GrantsMachine,), flags)
    stateful.run_state_machine_as_test(machine, settings=SEARCH)


@pytest.mark.parametrize(
    "mutant",
    [
        TakesRestartAsRelease,
        KeepsEpochsOverConnections,
        TrustsRestoredStore,
        TakesUnansweredAsUnsent,
    ],
)
def test_search_finds_each_mutant(mutant):
    with pytest.raises(AssertionError, match="held twice|epoch of"):
        stateful.run_state_machine_as_test(mutant, settings=MUTANT_SEARCH)
