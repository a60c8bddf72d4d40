"""Tests of how keys are taken back from owners that are not known."""

import asyncio

import pytest

from sardinehill.core import keyspace
from tests.cover import test_orders

A, B = test_orders.A, test_orders.B
LAST = keyspace.KEY_COUNT - 1
HALF = keyspace.KEY_COUNT // 2
ORDERS_ARRIVED_S = 12.0
MAY_HOLD_UNTIL_S = 15.0


@pytest.fixture
def harness():
    assignment = keyspace.KeyAssignment(
        [keyspace.Span(0, HALF - 1, A, 5), keyspace.Span(HALF, LAST, B, 6)], 6
    )
    keyspace.suspect_unknown_owners(
        assignment, MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S
    )
    return test_orders.OrdersHarness(test_orders.FakeOwners(), assignment)


def orders_sent(harness, times_s, answers=True):
    """Sends what is due at each time; returns paths, receivers and keys."""

    async def body():
        if answers:
            harness.owners.answers.set()
        async with asyncio.TaskGroup() as group:
            orders = harness.orders(group)
            # Exclusivity extends the times by what an earlier leader may do.
            orders._was_exclusive = True
            for harness.now_s in times_s:
                orders.send_due()
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                orders.send_due()
                await asyncio.sleep(0)
            harness.owners.answers.set()

    asyncio.run(body())
    return [
        (path.decode(), receiver, (body["from"], body["to"]))
        for path, receiver, body in harness.owners.sent
    ]


def test_nothing_is_granted_or_released_while_earlier_orders_may_arrive(
    harness,
):
    assert orders_sent(harness, [10.0, ORDERS_ARRIVED_S - 0.1]) == []


def test_each_upstream_releases_what_is_not_its_own_before_any_grant(harness):
    sent = orders_sent(harness, [ORDERS_ARRIVED_S, ORDERS_ARRIVED_S + 0.1])
    releases = [item for item in sent if item[0] == "/release"]
    assert set(releases) == {
        ("/release", A, (HALF, LAST)),
        ("/release", B, (0, HALF - 1)),
    }
    assert sent[: len(releases)] == releases
    grants = [item for item in sent if item[0] == "/grant"]
    assert set(grants) == {
        ("/grant", A, (0, HALF - 1)),
        ("/grant", B, (HALF, LAST)),
    }


def test_without_all_answers_keys_wait_until_earlier_grants_have_lapsed(
    harness,
):
    times_s = [ORDERS_ARRIVED_S, MAY_HOLD_UNTIL_S - 0.1]
    sent = orders_sent(harness, times_s, answers=False)
    assert {path for path, _, _ in sent} == {"/release"}
    harness.owners.sent.clear()
    sent = orders_sent(harness, [MAY_HOLD_UNTIL_S + 0.2], answers=False)
    assert "/grant" in {path for path, _, _ in sent}


def test_upstream_that_is_not_listed_any_more_is_waited_for_as_well(harness):
    # It may only have lost the store, and holds what the lost assignment gave.
    listed = harness.owners._upstreams()
    harness.owners.refresh(harness.now_s)
    harness.owners._upstreams = lambda: {A[0]: listed[A[0]]}
    harness.owners.silent = {B}
    times_s = [ORDERS_ARRIVED_S, MAY_HOLD_UNTIL_S - 0.1]
    sent = orders_sent(harness, times_s)
    assert ("/release", B, (0, HALF - 1)) in sent
    assert "/grant" not in {path for path, _, _ in sent}


def test_ranges_of_others_cover_all_keys_but_the_owners():
    spans = [
        keyspace.Span(0, 9, A, 1),
        keyspace.Span(10, 19, B, 1),
        keyspace.Span(20, 29, None, 0),
        keyspace.Span(30, LAST, A, 1),
    ]
    assignment = keyspace.KeyAssignment(spans, 1)
    assert keyspace.ranges_of_others(assignment, A) == [(10, 29)]
    assert keyspace.ranges_of_others(assignment, B) == [(0, 9), (20, LAST)]
