"""Claims about how a leader sends what it has decided."""

import asyncio
import dataclasses
import json

import pytest

from sardinehill.core import key_orders
from sardinehill.core import keyspace
from sardinehill.core import routes
from sardinehill.front import orders as orders_module
from sardinehill.front import owners as owners_module

A, B = ("a", 1), ("b", 1)


class FakeOwners(owners_module.Owners):
    """Notes each order that is sent; answers when the test says so."""

    def __init__(self):
        upstreams = {
            life[0]: routes.Upstream(
                id=life[0],
                service="stock",
                address=f"127.0.0.1:{index}",
                zone="z",
                slots=3,
                is_draining=False,
                cold_left_s=0.0,
                born_ms=life[1],
            )
            for index, life in enumerate((A, B))
        }
        super().__init__("stock", lambda: upstreams, frozenset, 0.0)
        self.sent = []
        self.answers = asyncio.Event()
        self.result = owners_module.OrderResult(status=200, written=True)

    async def order(
        self, owner, request, timeout_s, may_send, on_new_connection=False
    ):
        if not may_send():
            return owners_module.OrderResult(error="overtaken", overtaken=True)
        head, _, body = request.partition(b"\r\n\r\n")
        self.sent.append((head.split(b" ")[1], owner.life, json.loads(body)))
        await self.answers.wait()
        return self.result


@dataclasses.dataclass
class Scene:
    """A leader's orders for one assignment, at a time that the test sets."""

    owners: FakeOwners
    assignment: keyspace.Assignment
    now_s: float = 10.0
    fenced: list = dataclasses.field(default_factory=list)

    def orders(self, group):
        return orders_module.Orders(
            "stock",
            self.assignment,
            self.owners,
            group,
            lambda: True,
            lambda: True,
            lambda: None,
            lambda: None,
            lambda: None,
            self.fenced.append,
            lambda: self.now_s,
        )

    def move(self, to):
        moves = [keyspace.Move(0, keyspace.KEY_COUNT - 1, to)]
        planned = keyspace.Assignment(
            [dataclasses.replace(span) for span in self.assignment.spans],
            self.assignment.top_epoch,
        )
        transfers = keyspace.apply_moves(planned, moves)
        keyspace.apply_transfers(self.assignment, transfers)

    @property
    def span(self):
        return self.assignment.spans[0]


async def settle_tasks():
    for _ in range(5):
        await asyncio.sleep(0)


def run(story):
    async def body():
        scene = Scene(FakeOwners(), keyspace.empty())
        scene.move(A)
        async with asyncio.TaskGroup() as group:
            sender = scene.orders(group)
            scene.owners.answers.set()
            sender.serve()
            await settle_tasks()
            assert scene.span.live
            scene.owners.sent.clear()
            await story(scene, sender)
            scene.owners.answers.set()

    asyncio.run(body())


def test_a_grant_that_a_move_overtakes_reaches_no_new_owner():
    # A renewal was decided, and the move was written before its task ran: the
    # new owner was granted the keys while the former one still held them.
    async def story(scene, sender):
        scene.now_s += orders_module.RENEW_S
        scene.owners.answers.clear()
        sender.serve()
        scene.move(B)
        sender.serve()
        await settle_tasks()
        assert [(path, life) for path, life, _ in scene.owners.sent] == [
            (b"/release", A)
        ]

    run(story)


def test_a_new_owner_is_granted_once_the_former_has_answered():
    async def story(scene, sender):
        scene.move(B)
        sender.serve()
        await settle_tasks()
        assert [(path, life) for path, life, _ in scene.owners.sent] == [
            (b"/release", A),
            (b"/grant", B),
        ]

    run(story)


def test_a_grant_that_could_not_be_sent_in_time_is_dropped():
    async def story(scene, sender):
        scene.now_s += orders_module.RENEW_S
        sender.serve()
        scene.now_s += 2 * owners_module.CONNECT_TIMEOUT_S
        await settle_tasks()
        assert scene.owners.sent == []
        assert not scene.span.ordering

    run(story)


def test_keys_with_a_raised_epoch_are_granted_again_after_a_late_answer():
    async def story(scene, sender):
        scene.now_s += orders_module.RENEW_S
        scene.owners.answers.clear()
        sender.serve()
        await settle_tasks()
        (_, _, before) = scene.owners.sent[0]
        refused = key_orders.decide_grant(
            scene.span, scene.now_s, scene.now_s, orders_module.HOLD_S
        )
        assert key_orders.raise_epoch(scene.assignment, refused, 1000)
        sender.serve()
        await settle_tasks()
        assert scene.owners.sent[1][2]["fence"] > before["fence"] + 999

    run(story)


@pytest.mark.parametrize("status", [409, 421])
def test_a_refused_grant_does_not_make_keys_live(status):
    async def story(scene, sender):
        scene.owners.result = owners_module.OrderResult(
            status=status, written=True
        )
        scene.move(B)
        scene.span.former = None
        sender.serve()
        await settle_tasks()
        assert not scene.span.live
        assert bool(scene.fenced) == (status == 409)
        assert (B in scene.owners.dead) == (status == 421)

    run(story)
