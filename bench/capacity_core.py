"""Measures costs of large fleets within a single process.

Run as `python -m bench.capacity_core`. Prints the peer protocol's cost for
one member among many, the codec's cost for one forwarded request, and the
sizes of the store's objects.
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
            f"host-{index:03}",
            fleet.Address(f"10.1.{index // 250}.{index % 250}", 7400),
            f"zone-{index % 6}",
            f"region-{index % 3}",
            1_796_373_561_286_540_254 + index,
        )
        for index in range(count)
    )


def _print_member_cost(count: int) -> None:
    hosts = _make_hosts(count)
    member = peer_protocol.PeerProtocol(hosts[0], lambda item: None)
    start_s = time.process_time()
    member.set_members(membership.MemberList(1, hosts), 0.0)
    list_ms = (time.process_time() - start_s) * 1000
    now_s = 0.0
    start_s = time.process_time()
    for _ in range(round(SIMULATED_S / peer_protocol.TICK_INTERVAL_S)):
        now_s += peer_protocol.TICK_INTERVAL_S
        for outgoing in member.tick(now_s):
            if isinstance(outgoing.message, peer_messages.Heartbeat):
                answer = peer_messages.HeartbeatAnswer(
                    outgoing.message.probe_id,
                    outgoing.recipient,
                    hosts[0].incarnation
                    + int(outgoing.recipient.split("-")[1]),
                    member.replica.digest,
                    0,
                )
                member.receive(outgoing.recipient, answer, now_s)
        member.proposed_hosts(now_s)
    second_ms = (time.process_time() - start_s) * 1000 / SIMULATED_S
    print(
        f"one member of {count}: {second_ms:.3f} ms per second, "
        f"{list_ms:.1f} ms for a new member list"
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
    start_s = time.process_time()
    for number in range(REQUEST_COUNT):
        request_frame = _encode_frame(
            number, False, forwards.encode_request(request)
        )
        forwards.decode_request(_decode_payload(request_frame))
        answer_frame = _encode_frame(
            number, True, forwards.encode_answer(answer)
        )
        forwards.decode_answer(_decode_payload(answer_frame))
    request_us = (time.process_time() - start_s) / REQUEST_COUNT * 1e6
    print(
        f"codec of one forwarded request at both ends: {request_us:.0f} us, "
        f"{len(request_frame)} bytes there and {len(answer_frame)} back"
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
    members = {
        host.name: records.encode_member(host) for host in _make_hosts(640)
    }
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
    """Prints all measurements."""
    for count in MEMBER_COUNTS:
        _print_member_cost(count)
    _print_codec_cost()
    _print_object_sizes()


if __name__ == "__main__":
    main()
