"""Tests of which daemon is asked about a request after its shard has moved."""

import asyncio
import dataclasses
import time
import uuid

from sardinehill import errors
from sardinehill.core import account_keys
from sardinehill.core import deduplication
from sardinehill.core import fleet
from sardinehill.core import forward_messages
from sardinehill.core import placement
from sardinehill.daemon import deduplicator as deduplicator_module
from sardinehill.daemon import fleet_view
from sardinehill.wire import accounts
from sardinehill.wire import forwards
from sardinehill.wire import message_kinds

UNUSED_ADDRESS = fleet.Address("127.0.0.1", 0)
SETTINGS = fleet.HostSettings(
    name="here",
    availability_zone="pa-1",
    region="",
    callers_address=UNUSED_ADDRESS,
    operators_address=UNUSED_ADDRESS,
    peers_address=UNUSED_ADDRESS,
    platform_url="",
    bootstrap_peers=(),
    peer_secrets=("secret",),
    account_key_secret="secret",
)
ASSIGNMENT = placement.ShardAssignment(
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


class RecordingBus:
    """Records each query and answers like a daemon that saw no request."""

    def __init__(self):
        self.handlers = {}
        self.asked = []

    def register(self, kind, handler):
        self.handlers[kind] = handler

    async def ask(self, peer, kind, payload, timeout_s):
        self.asked.append((peer, kind))
        return accounts.encode_lookup_result(
            deduplication.LookupResult(
                deduplication.LookupStatus.NOT_SEEN, complete_since_s=0.0
            )
        )


def current_uuid7():
    made_ms = time.time_ns() // 1_000_000
    return str(uuid.UUID(int=(made_ms << 80) | (7 << 76) | (2 << 62) | 1))


def booking_request():
    return forward_messages.ForwardRequest(
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
        idempotency_key=current_uuid7(),
    )


async def answer_after_gateways(changes):
    """Returns the answer to a request and the lookups that it caused.

    Args:
      changes: the gateways that successive assignments name. When the request
        arrives, only the grant for the last assignment has arrived.
    """
    view = fleet_view.FleetView(SETTINGS, account_keys.KeyRing("secret"))
    bus = RecordingBus()
    granted = []

    async def send(request):
        return forward_messages.ForwardAnswer(
            request.request_id, errors.Verdict.RAN, status=200
        )

    deduplicator = deduplicator_module.Deduplicator(
        view,
        bus,
        send,
        send,
        lambda *scope: bool(granted),
        lambda role: None,
        lambda: 0.0,
    )
    for number, gateway in enumerate(changes):
        view.assignments["prenota"] = dataclasses.replace(
            ASSIGNMENT, version=1 + number, gateways={"up-1": gateway}
        )
        deduplicator.on_object_changed("assignment", "prenota")
    granted.append(True)
    deduplicator.on_object_changed("assignment", "prenota")
    deduplicator.start()
    payload = forwards.encode_request(booking_request())
    answered = await bus.handlers[message_kinds.MessageKind.FORWARD](
        "entry", payload
    )
    await deduplicator.close()
    return forwards.decode_answer(answered), bus.asked


def test_previous_gateway_is_asked_when_the_assignment_precedes_the_grant():
    lookup = ("there", message_kinds.MessageKind.DUPLICATE_LOOKUP)
    for changes in (["there", "here"], ["there", "here", "here", "here"]):
        answer, asked = asyncio.run(answer_after_gateways(changes))
        assert answer.verdict is errors.Verdict.RAN
        assert asked == [lookup]
