"""Measures inside one process what no small fleet can show.

`python -m bench.capacity_core` prints the cost of one member among many, of
the codec of one forwarded request, and the sizes of the store's objects.
"""

import json
import time
import zlib

from sardinehill import errors
from sardinehill.adapters import records
from sardinehill.core import fleet
from sardinehill.core import forward_messages
from sardinehill.core import membership
from sardinehill.core import peer_messages
from sardinehill.core import peer_protocol
from sardinehill.wire import envelopes
from sardinehill.wire import forwards
from sardinehill.wire import message_kinds

MEMBER_COUNTS = (11, 64, 640)
SIMULATED_S = 100
REQUEST_COUNT = 3000
SHARD_COUNTS = (1024, 4096, 65536)
UPSTREAM_COUNTS = (20, 400)


def _make_hosts(count: int) -> tuple[fleet.DaemonHost, ...]:
    return tuple(
        fleet.DaemonHost(
            f"host-{n:03}",
            fleet.Address(f"10.1.{n // 250}.{n % 250}", 7400),
            f"zone-{n % 6}",
            f"region-{n % 3}",
            1_796_373_561_286_540_254 + n,
        )
        for n in range(count)
    )


def _print_member_cost(count: int) -> None:
    hosts = _make_hosts(count)
    one = peer_protocol.PeerProtocol(hosts[0], lambda item: None)
    started_s = time.process_time()
    one.set_members(membership.MemberList(1, hosts), 0.0)
    list_ms = (time.process_time() - started_s) * 1000
    now_s = 0.0
    started_s = time.process_time()
    for _ in range(round(SIMULATED_S / peer_protocol.TICK_INTERVAL_S)):
        now_s += peer_protocol.TICK_INTERVAL_S
        for out in one.tick(now_s):
            if isinstance(out.message, peer_messages.Heartbeat):
                answer = peer_messages.HeartbeatAnswer(
                    out.message.probe_id,
                    out.recipient,
                    hosts[0].incarnation + int(out.recipient.split("-")[1]),
                    one.replica.digest,
                    0,
                )
                one.receive(out.recipient, answer, now_s)
        one.proposed_hosts(now_s)
    second_ms = (time.process_time() - started_s) * 1000 / SIMULATED_S
    print(
        f"one member of {count}: {second_ms:.3f} ms a second, "
        f"{list_ms:.1f} ms for a new list"
    )


def _print_codec_cost() -> None:
    request = forward_messages.ForwardRequest(
        request_id="0" * 36,
        service="prenota",
        key="key-123",
        account="aretusa",
        method="POST",
        path="/bookings/1",
        headers=(("Content-Type", "application/json"), ("Accept", "*/*")),
        body=b"x" * 200,
        deadline_ms=5000,
        upstream="upstream-1",
        assignment_version=7,
        idempotency_key="id-1",
    )
    answer = forward_messages.ForwardAnswer(
        "0" * 36, errors.Verdict.RAN, None, 200, (), b"y" * 200
    )
    started_s = time.process_time()
    for number in range(REQUEST_COUNT):
        there = _encode_frame(number, False, forwards.encode_request(request))
        forwards.decode_request(_decode_payload(there))
        back = _encode_frame(number, True, forwards.encode_answer(answer))
        forwards.decode_answer(_decode_payload(back))
    each_us = (time.process_time() - started_s) / REQUEST_COUNT * 1e6
    print(
        f"codec of one forwarded request at both ends: {each_us:.0f} us, "
        f"{len(there)} bytes there and {len(back)} back"
    )


def _encode_frame(number: int, is_answer: bool, payload: bytes) -> bytes:
    return envelopes.encode(
        envelopes.Envelope(
            int(message_kinds.MessageKind.FORWARD),
            number + 1,
            is_answer,
            "host-001",
            payload,
        )
    )


def _decode_payload(frame: bytes) -> bytes:
    return envelopes.decode(frame[envelopes.LENGTH_PREFIX_BYTES :]).payload


def _print_object_sizes() -> None:
    for shards in SHARD_COUNTS:
        for upstreams in UPSTREAM_COUNTS:
            names = [f"upstream-{n}" for n in range(upstreams)]
            value = {
                "upstreams": names,
                "owners": [shard % upstreams for shard in range(shards)],
                "gateways": dict.fromkeys(names, "host-001"),
            }
            print(
                f"assignment of {shards} shards to {upstreams} upstreams: "
                f"{len(_encode_json(value))} bytes"
            )
    members = {one.name: records.encode_member(one) for one in _make_hosts(640)}
    data = _encode_json({"members": members})
    print(
        f"list of 640 members: {len(data)} bytes, "
        f"{len(zlib.compress(data, 1))} compressed"
    )
    hosts = [
        {
            "name": f"upstream-{n}",
            "address": f"10.2.{n // 250}.{n % 250}:8000",
            "availability_zone": "zone-1",
            "service": "prenota",
            "state": "live",
        }
        for n in range(1000)
    ]
    print(
        f"list of 1000 upstreams: {len(_encode_json({'hosts': hosts}))} bytes"
    )


def _encode_json(value: object) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def main() -> None:
    """Prints every figure."""
    for count in MEMBER_COUNTS:
        _print_member_cost(count)
    _print_codec_cost()
    _print_object_sizes()


if __name__ == "__main__":
    main()
