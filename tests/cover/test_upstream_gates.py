"""Tests that gates between daemons and upstreams cut like a network."""

import asyncio
import contextlib
import socket
import struct

import pytest

from tests.common import platform_fleet
from tests.common import upstream_gates

SETTLE_S = 0.1


@contextlib.asynccontextmanager
async def connected_gate():
    """Yields a gate, a connection through it, and what the server received."""
    received = bytearray()

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(100):
                received.extend(data)
                writer.write(b"answer")
        writer.close()

    upstream_port, gate_port = platform_fleet.free_ports(2)
    server = await asyncio.start_server(
        serve, platform_fleet.HOST, upstream_port
    )
    gate = upstream_gates.UpstreamGate(upstream_port)
    await gate.open(gate_port)
    reader, writer = await asyncio.open_connection(
        platform_fleet.HOST, gate_port
    )
    try:
        writer.write(b"before ")
        assert await reader.readexactly(6) == b"answer"
        yield gate, reader, writer, received
    finally:
        writer.close()
        gate.close()
        server.close()


def test_bytes_in_a_hanging_cut_do_not_arrive_before_its_end():
    async def scenario():
        async with connected_gate() as (gate, reader, writer, received):
            gate.set_cut(upstream_gates.HANG)
            writer.write(b"held")
            await asyncio.sleep(SETTLE_S)
            assert bytes(received) == b"before "
            gate.set_cut(None)
            assert await reader.readexactly(6) == b"answer"
            assert bytes(received) == b"before held"

    asyncio.run(scenario())


def test_bytes_that_stay_unacknowledged_never_arrive():
    async def scenario():
        async with connected_gate() as (gate, reader, writer, received):
            gate.set_cut(upstream_gates.HANG)
            writer.write(b"lost")
            with pytest.raises(ConnectionResetError):
                async with asyncio.timeout(
                    2 * upstream_gates.UNACKNOWLEDGED_LIMIT_S
                ):
                    await reader.read(100)
            gate.set_cut(None)
            await asyncio.sleep(SETTLE_S)
            assert bytes(received) == b"before "

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("is_reset", "expected"), [(True, b"before "), (False, b"before given up")]
)
def test_bytes_of_a_closed_connection_arrive_unless_it_was_reset(
    is_reset, expected
):
    async def scenario():
        async with connected_gate() as (gate, _reader, writer, received):
            gate.set_cut(upstream_gates.HANG)
            writer.write(b"given up")
            await asyncio.sleep(SETTLE_S)
            if is_reset:
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            writer.transport.abort()
            await asyncio.sleep(SETTLE_S)
            gate.set_cut(None)
            await asyncio.sleep(SETTLE_S)
            assert bytes(received) == expected

    asyncio.run(scenario())


def test_reset_cut_leaves_no_open_connection_alive():
    async def scenario():
        async with connected_gate() as (gate, reader, _writer, _received):
            gate.set_cut(upstream_gates.RESET)
            with pytest.raises(ConnectionResetError):
                await reader.read(100)

    asyncio.run(scenario())


def test_refusing_cut_leaves_open_connections_alive():
    async def scenario():
        async with connected_gate() as (gate, reader, writer, received):
            gate.set_cut(upstream_gates.REFUSE)
            writer.write(b"still")
            assert await reader.readexactly(6) == b"answer"
            assert bytes(received) == b"before still"

    asyncio.run(scenario())
