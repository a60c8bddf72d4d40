"""Tests of the epochs of grants to an upstream that starts again."""

import asyncio
import contextlib
import dataclasses
import json

import pytest

from sardinehill.core import fleet_messages
from sardinehill.core import keyspace
from sardinehill.core import routes
from sardinehill.front import assignment_manager
from sardinehill.front import key_owners as key_owners_module
from sardinehill.front import order_sender as order_sender_module

TEST_TIMEOUT_S = 10.0
HALF = keyspace.KEY_COUNT // 2


@dataclasses.dataclass
class Life:
    """One start of an upstream.

    Attributes:
      grants: the first key and the epoch of each grant, in their order.
    """

    grants: list = dataclasses.field(default_factory=list)

    def __post_init__(self):
        self._writers = set()
        self._server = None

    async def start(self, port):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, reuse_address=True
        )
        return self._server.sockets[0].getsockname()[1]

    async def kill(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def close_connections(self):
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.lower().split(b"content-length:")[1].split()[0])
                body = json.loads(await reader.readexactly(size))
                self.grants.append((body["from"], body["fence"]))
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    async def wait_for_grants(self, count):
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while True:
                if len(self.grants) >= count:
                    return
                await asyncio.sleep(0.01)


@pytest.fixture
def assignment():
    spans = [
        keyspace.Span(0, HALF - 1, ("a", 1), 1),
        keyspace.Span(HALF, keyspace.KEY_COUNT - 1, ("a", 1), 2),
    ]
    return keyspace.KeyAssignment(spans, 2)


@contextlib.asynccontextmanager
async def granting(assignment):
    """Grants keys to an upstream; yields its first life and its port."""
    life = Life()
    port = await life.start(0)
    upstream = routes.Upstream(
        id="a",
        service="stock",
        address=f"127.0.0.1:{port}",
        zone="z",
        slots=3,
        is_draining=False,
        cold_remaining_s=0.0,
        started_at_ms=1,
    )
    owners = key_owners_module.KeyOwners(
        "stock", lambda: {"a": upstream}, frozenset, 0.0
    )
    loop = asyncio.get_running_loop()
    async with asyncio.TaskGroup() as group:
        orders = order_sender_module.OrderSender(
            "stock",
            assignment,
            owners,
            group,
            lambda: True,
            lambda: True,
            lambda: None,
            lambda: None,
            lambda: None,
            lambda: None,
            lambda grant: None,
            loop.time,
        )

        async def send():
            while True:
                orders.send_due()
                await asyncio.sleep(0.05)

        sending = group.create_task(send())
        try:
            yield life, port
        finally:
            sending.cancel()
    owners.close()


# Guards against this failure: a grant names only an upstream's id, so a later
# life of the upstream accepted renewals that were meant for the earlier one,
# under the epoch that this one had.
@pytest.mark.parametrize("down_s", [0.0, 0.4])
def test_restarted_upstream_gets_keys_under_a_higher_epoch(assignment, down_s):
    async def scenario():
        async with granting(assignment) as (earlier, port):
            await earlier.wait_for_grants(6)
            await earlier.kill()
            await asyncio.sleep(down_s)
            later = Life()
            await later.start(port)
            await later.wait_for_grants(4)
            await later.kill()
        for first in (0, HALF):
            highest = max(e for key, e in earlier.grants if key == first)
            lowest = min(e for key, e in later.grants if key == first)
            assert lowest > highest

    asyncio.run(scenario())


def test_renewals_over_open_connections_keep_their_epochs(assignment):
    async def scenario():
        async with granting(assignment) as (life, _):
            await life.wait_for_grants(10)
            await life.kill()
        for first in (0, HALF):
            epochs = [epoch for key, epoch in life.grants if key == first]
            # The second connection is opened after the first grant was sent.
            assert len(set(epochs[1:])) == 1

    asyncio.run(scenario())


def test_grants_go_on_when_the_upstream_closes_its_connections(assignment):
    async def scenario():
        async with granting(assignment) as (life, _):
            for count in (4, 8, 12):
                await life.wait_for_grants(count)
                life.close_connections()
            await life.wait_for_grants(16)
            await life.kill()
        for first in (0, HALF):
            epochs = [epoch for key, epoch in life.grants if key == first]
            assert epochs == sorted(epochs)
            assert len(set(epochs)) > 3

    asyncio.run(scenario())


def test_key_refused_under_an_earlier_epoch_of_its_owner_is_granted_again():
    manager = assignment_manager.AssignmentManager(
        "stock",
        None,
        None,
        lambda: True,
        lambda: True,
        lambda: None,
        lambda: 0.0,
        lambda upstream: None,
    )
    span = keyspace.Span(0, keyspace.KEY_COUNT - 1, ("a", 1), 9, 7)
    span.confirmed = True
    manager._assignment = keyspace.KeyAssignment([span], 9)
    for epoch, is_due in ((6, False), (7, True), (9, True), (10, False)):
        span.next_order_s = 5.0
        manager.regrant_refused(fleet_messages.RefusedKey("stock", 1, epoch))
        assert (span.next_order_s == 0.0) == is_due


def test_changes_that_epochs_have_overtaken_take_higher_ones(assignment):
    planned = keyspace.KeyAssignment(
        [dataclasses.replace(span) for span in assignment.spans],
        assignment.top_epoch,
    )
    moves = [keyspace.KeyMove(0, HALF - 1, ("b", 1))]
    transfers = keyspace.apply_moves(planned, moves)
    assignment.spans[0].epoch = assignment.next_epoch()
    raised = assignment.spans[0].epoch
    keyspace.apply_transfers(assignment, transfers)
    assert assignment.spans[0].owner == ("b", 1)
    assert assignment.spans[0].epoch > raised
    assert assignment.spans[0].former_owner.epoch == raised
