"""Tests of the stored assignment across a restore of the store."""

import asyncio

from aiohttp import test_utils
import pytest

from sardinehill.core import key_orders
from sardinehill.core import keyspace
from sardinehill.front import assignment_store
from sardinehill.platform import store as store_module
from standins import users_platform_store

SERVICE = "stock"
TERM = 1 << 16
A, B = ("a", 1), ("b", 1)
MAY_HOLD_UNTIL_S = 50.0
ORDERS_ARRIVED_S = 48.0


class Harness:
    """A stand-in for the store, and stored assignments of several terms."""

    def __init__(self, store, client):
        self.store = store
        self._client = client
        self.superseded = []

    def assignments(
        self,
        term,
        may_change=lambda: True,
        holds_lease=lambda: True,
        has_settled=lambda: True,
    ):
        return assignment_store.AssignmentStore(
            SERVICE,
            term,
            self._client,
            lambda: self.superseded.append(term),
            may_change,
            holds_lease,
            has_settled,
        )

    async def restore(self, copy):
        """Restores the store, and lets the client notice it."""
        await self.store.restore(copy)
        await self._client.get("any", "any")


def run(scenario):
    async def body():
        store = users_platform_store.UsersPlatformStore()
        async with test_utils.TestServer(store.application()) as server:
            client = store_module.StoreClient(f"{server.host}:{server.port}")
            try:
                await scenario(Harness(store, client))
            finally:
                client.close()

    asyncio.run(body())


async def move_all_keys(stored, owner):
    """Reads an assignment, gives all keys to an owner, and writes it."""
    assignment = await stored.read(MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S)
    for span in assignment.spans:
        span.owner, span.epoch = owner, assignment.next_epoch()
        span.former_owner = None
    assert await stored.write(assignment)
    return assignment


def waits_for_unknown_owner(span, now_s):
    is_unknown = span.former_owner.incarnation == keyspace.UNKNOWN_OWNER
    return is_unknown and not key_orders.former_owner_no_longer_holds(
        span, now_s, is_elsewhere=False
    )


def test_leader_that_hears_no_upstream_changes_no_owners():
    # Otherwise it takes keys from owners before it hands over; the next leader
    # must wait until the grants of those can no longer take effect.
    async def scenario(harness):
        stored = harness.assignments(TERM, may_change=lambda: False)
        assignment = await move_all_keys(stored, A)
        assert not await stored.write(assignment)
        assert stored.revision == harness.store.revision
        # What a restored store has lost is still written again.
        await harness.restore(harness.store.take_copy())
        assert await stored.write_again(assignment)

    run(scenario)


def test_owners_of_an_earlier_era_are_not_trusted_by_the_next_leader():
    async def scenario(harness):
        await move_all_keys(harness.assignments(TERM), A)
        copy = harness.store.take_copy()
        await move_all_keys(harness.assignments(TERM), B)
        await harness.restore(copy)
        found = await harness.assignments(2 * TERM).read(
            MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S
        )
        assert [span.owner for span in found.spans] == [A]
        for span in found.spans:
            assert waits_for_unknown_owner(span, MAY_HOLD_UNTIL_S - 1)
            assert not waits_for_unknown_owner(span, MAY_HOLD_UNTIL_S)

    run(scenario)


def test_keys_that_a_restored_store_knows_nothing_of_wait_for_any_owner():
    async def scenario(harness):
        copy = harness.store.take_copy()
        await move_all_keys(harness.assignments(TERM), A)
        await harness.restore(copy)
        found = await harness.assignments(2 * TERM).read(
            MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S
        )
        keyspace.apply_moves(
            found, [keyspace.KeyMove(0, keyspace.KEY_COUNT - 1, B)]
        )
        assert [span.owner for span in found.spans] == [B]
        for span in found.spans:
            assert waits_for_unknown_owner(span, MAY_HOLD_UNTIL_S - 1)

    run(scenario)


def test_unknown_owners_are_waited_for_by_a_further_leader():
    async def scenario(harness):
        await move_all_keys(harness.assignments(TERM), A)
        await harness.restore(harness.store.take_copy())
        second = harness.assignments(2 * TERM)
        assert await second.write(
            await second.read(MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S)
        )
        found = await harness.assignments(3 * TERM).read(
            MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S
        )
        for span in found.spans:
            assert waits_for_unknown_owner(span, MAY_HOLD_UNTIL_S - 1)

    run(scenario)


def test_owners_of_the_present_era_are_trusted():
    async def scenario(harness):
        await harness.restore(harness.store.take_copy())
        found = await move_all_keys(harness.assignments(TERM), A)
        found = await harness.assignments(2 * TERM).read(
            MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S
        )
        assert [span.former_owner for span in found.spans] == [None]

    run(scenario)


def test_owners_stored_by_an_earlier_release_are_trusted():
    async def scenario(harness):
        await move_all_keys(harness.assignments(TERM), A)
        kind = assignment_store.ASSIGNMENTS_KIND
        spec = dict(harness.store.spec(kind, SERVICE))
        del spec["era"]
        await harness.store.put(kind, SERVICE, spec=spec)
        await harness.restore(harness.store.take_copy())
        found = await harness.assignments(2 * TERM).read(
            MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S
        )
        assert [span.former_owner for span in found.spans] == [None]

    run(scenario)


@pytest.mark.parametrize("era", [None, "x", [], 10**400, {}])
def test_malformed_era_of_an_assignment_is_a_failed_read(era):
    async def scenario(harness):
        await move_all_keys(harness.assignments(TERM), A)
        kind = assignment_store.ASSIGNMENTS_KIND
        spec = {**harness.store.spec(kind, SERVICE), "era": era}
        await harness.store.put(kind, SERVICE, spec=spec)
        stored = harness.assignments(2 * TERM)
        found = await stored.read(MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S)
        assert found is None or found.spans[0].owner == A

    run(scenario)


def test_leader_writes_an_assignment_again_that_the_store_has_lost():
    async def scenario(harness):
        stored = harness.assignments(TERM)
        await move_all_keys(stored, A)
        copy = harness.store.take_copy()
        assignment = await move_all_keys(stored, B)
        assert not stored.is_lost
        await harness.restore(copy)
        assert stored.is_lost
        assert await stored.write_again(assignment)
        assert not stored.is_lost
        found = await harness.assignments(2 * TERM).read(
            MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S
        )
        assert [span.owner for span in found.spans] == [B]
        assert [span.former_owner for span in found.spans] == [None]

    run(scenario)


def test_leader_does_not_overwrite_what_a_later_one_wrote_after_a_restore():
    async def scenario(harness):
        stored = harness.assignments(TERM)
        assignment = await move_all_keys(stored, A)
        await harness.restore(harness.store.take_copy())
        await move_all_keys(harness.assignments(2 * TERM), B)
        assert not await stored.write_again(assignment)
        assert harness.superseded == [TERM]
        found = await harness.assignments(3 * TERM).read(
            MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S
        )
        assert [span.owner for span in found.spans] == [B]

    run(scenario)


def test_a_replaced_leader_does_not_hide_moves_that_a_restore_has_lost():
    # The next leader would trust an assignment of the present era.
    async def scenario(harness):
        replaced = harness.assignments(TERM, holds_lease=lambda: False)
        assignment = await move_all_keys(replaced, A)
        copy = harness.store.take_copy()
        await move_all_keys(harness.assignments(2 * TERM), B)
        await harness.restore(copy)
        assert not await replaced.write_again(assignment)
        assert replaced.is_lost
        found = await harness.assignments(3 * TERM).read(
            MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S
        )
        assert [span.owner for span in found.spans] == [A]
        for span in found.spans:
            assert waits_for_unknown_owner(span, MAY_HOLD_UNTIL_S - 1)

    run(scenario)


def test_owners_written_again_are_not_trusted_before_lost_moves_have_lapsed():
    # A leader without a majority may have moved keys, and its lease is lost.
    async def scenario(harness):
        settled = []
        stored = harness.assignments(TERM, has_settled=lambda: bool(settled))
        settled.append(True)
        assignment = await move_all_keys(stored, A)
        settled.clear()
        await harness.restore(harness.store.take_copy())
        assert await stored.write_again(assignment)
        assert await stored.write(assignment)
        assert not stored.is_lost
        found = await harness.assignments(2 * TERM).read(
            MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S
        )
        for span in found.spans:
            assert waits_for_unknown_owner(span, MAY_HOLD_UNTIL_S - 1)
        settled.append(True)
        assert stored.is_trusted_late
        assert await stored.write(assignment)
        assert not stored.is_trusted_late
        found = await harness.assignments(2 * TERM).read(
            MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S
        )
        assert [span.former_owner for span in found.spans] == [None]

    run(scenario)


def test_write_that_meets_a_revision_given_out_again_is_repeated():
    async def scenario(harness):
        stored = harness.assignments(TERM)
        copy = harness.store.take_copy()
        assignment = await move_all_keys(stored, A)
        await harness.store.restore(copy)
        await harness.store.put(
            assignment_store.ASSIGNMENTS_KIND, SERVICE, spec={}
        )
        # The client learns of the restore only from the answer to this write.
        assert await stored.write(assignment)
        assert stored.is_lost

    run(scenario)


def test_leader_that_was_replaced_does_not_overwrite_the_next_ones_owners():
    # Each of its writes that meets a conflict reads the object, and the next
    # write would be made at the revision that was found.
    async def scenario(harness):
        stored = harness.assignments(TERM)
        assignment = await move_all_keys(stored, A)
        await move_all_keys(harness.assignments(2 * TERM), B)
        assert not await stored.write(assignment)
        assert harness.superseded == [TERM]
        assert not await stored.write(assignment)
        found = await harness.assignments(3 * TERM).read(
            MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S
        )
        assert [span.owner for span in found.spans] == [B]

    run(scenario)


def test_assignment_stays_lost_until_it_is_written_again():
    async def scenario(harness):
        stored = harness.assignments(TERM)
        assignment = await move_all_keys(stored, A)
        await harness.restore(harness.store.take_copy())
        read = stored._get

        async def overtaken():
            found = await read()
            kind = assignment_store.ASSIGNMENTS_KIND
            await harness.store.put(kind, SERVICE, spec=found.spec)
            return found

        stored._get = overtaken
        assert not await stored.write_again(assignment)
        assert stored.is_lost
        stored._get = read
        assert await stored.write_again(assignment)
        assert not stored.is_lost

    run(scenario)


def test_a_replaced_leader_does_not_take_over_the_next_ones_assignment():
    # It would have given the keys epochs above those of the present leader.
    async def scenario(harness):
        await move_all_keys(harness.assignments(2 * TERM), A)
        earlier = harness.assignments(TERM)
        assert await earlier.read(MAY_HOLD_UNTIL_S, ORDERS_ARRIVED_S) is None
        assert harness.superseded == [TERM]

    run(scenario)
