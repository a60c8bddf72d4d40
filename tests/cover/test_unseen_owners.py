"""Tests of owners that a new leader reads of and has never seen."""

from tests.cover import test_orders
from tests.cover import test_unknown_owners

harness = test_unknown_owners.harness


def test_an_owner_that_the_leader_never_saw_may_hold_what_a_restore_lost(
    harness,
):
    # It is cut off from the store, and a lost move may have given it any key.
    listed = harness.owners._upstreams()
    a = test_orders.A
    harness.owners._upstreams = lambda: {a[0]: listed[a[0]]}
    harness.owners.by_incarnation.pop(test_orders.B, None)
    times_s = [
        test_unknown_owners.ORDERS_ARRIVED_S,
        test_unknown_owners.MAY_HOLD_UNTIL_S - 0.1,
    ]
    sent = test_unknown_owners.orders_sent(harness, times_s)
    assert "/grant" not in {path for path, _, _ in sent}
