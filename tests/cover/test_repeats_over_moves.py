"""Claims about who is asked for repeats after a shard has moved."""

import asyncio
import dataclasses
import time
import uuid

from sardinehill import errors
from sardinehill.core import account_keys
from sardinehill.core import duplicates
from sardinehill.core import fleet
from sardinehill.core import messages
from sardinehill.core import placement
from sardinehill.daemon import duplicates as repeats
from sardinehill.daemon import view
from sardinehill.wire import accounts
from sardinehill.wire import forwards
from sardinehill.wire import kinds

NOWHERE = fleet.Address("127.0.0.1", 0)
SETTINGS = fleet.HostSettings(
    name="here",
    availability_zone="pa-1",
    region="",
    callers_address=NOWHERE,
    operators_address=NOWHERE,
    peers_address=NOWHERE,
    platform_url="",
    bootstrap_peers=(),
    peer_secrets=("secret",),
    account_key_secret="secret",
)
ASSIGNMENT = placement.Assignment(
    service="prenota",
    version=1,
    term=1,
    upstreams=("up-1",),
    owners=(0,),
    gateways={"up-1": "there"},
    hot_owners={},
    writer_id="there",
    nonce="",
)


class Bus:
    """Answers each question as a daemon that has seen nothing for long."""

    def __init__(self):
        self.handlers = {}
        self.asked = []

    def register(self, kind, handler):
        self.handlers[kind] = handler

    async def ask(self, peer, kind, payload, timeout_s):
        self.asked.append((peer, kind))
        return accounts.encode_recollection(
            duplicates.Recollection(duplicates.Seen.NOT_SEEN, since_s=0.0)
        )


def uuid_of_now():
    made_ms = time.time_ns() // 1_000_000
    return str(uuid.UUID(int=(made_ms << 80) | (7 << 76) | (2 << 62) | 1))


def booking():
    return messages.ForwardRequest(
        request_id="id",
        service="prenota",
        key="order-1",
        account="aretusa",
        method="POST",
        path="/bookings",
        headers=(),
        body=b"",
        deadline_ms=1000,
        upstream="",
        assignment_version=0,
        idempotency_key=uuid_of_now(),
    )


async def answer_after(changes):
    """Returns the answer and the questions after changes of gateway.

    Args:
      changes: gateways, of which the last one's grant has come.
    """
    knowledge = view.View(SETTINGS, account_keys.KeyRing("secret"))
    bus = Bus()
    granted = []

    async def send(request):
        return messages.ForwardAnswer(
            request.request_id, errors.Verdict.RAN, status=200
        )

    part = repeats.Duplicates(
        knowledge,
        bus,
        send,
        send,
        lambda *scope: bool(granted),
        lambda duty: None,
        lambda: 0.0,
    )
    for number, gateway in enumerate(changes):
        knowledge.assignments["prenota"] = dataclasses.replace(
            ASSIGNMENT, version=1 + number, gateways={"up-1": gateway}
        )
        part.on_news("assignment", "prenota")
    granted.append(True)
    part.on_news("assignment", "prenota")
    part.start()
    payload = forwards.encode_request(booking())
    answered = await bus.handlers[kinds.Kind.FORWARD]("entry", payload)
    await part.close()
    return forwards.decode_answer(answered), bus.asked


def test_the_gateway_before_is_asked_though_news_came_before_the_grant():
    question = ("there", kinds.Kind.DUPLICATE_LOOKUP)
    for changes in (["there", "here"], ["there", "here", "here", "here"]):
        answer, asked = asyncio.run(answer_after(changes))
        assert answer.verdict is errors.Verdict.RAN
        assert asked == [question]
