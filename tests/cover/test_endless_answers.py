"""Tests of servers that send bytes without end in place of an answer."""

import asyncio
from collections.abc import Coroutine
import contextlib
import gc
import tracemalloc
from typing import Any

import pytest

from sardinehill import http1
from sardinehill.core import byte_budget
from sardinehill.front import key_owners

REQUEST = b"GET / HTTP/1.1\r\nhost: test\r\n\r\n"
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
FILLER = b"x" * 16384
MAX_MEMORY_BYTES = 3 * http1.MAX_RESPONSE_BODY_BYTES
TEST_TIMEOUT_S = 30.0

ENDLESS_ANSWERS = {
    "status-line": (b"HTTP/1.1 200 ", FILLER),
    "header-name": (OK_HEAD, FILLER),
    "header-value": (OK_HEAD + b"a: ", FILLER),
    "headers": (OK_HEAD, b"a: b\r\n" * 4096),
    "interim-responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1024),
    "chunk-extension": (
        OK_HEAD + b"transfer-encoding: chunked\r\n\r\n1;",
        FILLER,
    ),
    "trailers": (
        OK_HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\n",
        b"a: b\r\n" * 4096,
    ),
    "chunks": (
        OK_HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"4000\r\n" + FILLER + b"\r\n",
    ),
    "tiny-chunks": (
        OK_HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"2\r\nxy\r\n" * 2048,
    ),
    "body-without-length": (OK_HEAD + b"\r\n", FILLER),
    "body-with-a-huge-length": (
        OK_HEAD + b"content-length: 99999999999\r\n\r\n",
        FILLER,
    ),
    "no-protocol": (b"", b"\x00\x01\x02" * 4096),
}


async def _exchange_with_endless_server(
    start: bytes, filler: bytes, budget: byte_budget.ByteBudget | None = None
) -> None:
    closed = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            writer.write(start)
            while True:
                writer.write(filler)
                await writer.drain()
        closed.set()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = await http1.connect(f"127.0.0.1:{port}", 1.0, budget=budget)
    with pytest.raises(http1.ConnectionFailedError) as caught:
        await connection.exchange(REQUEST)
    assert caught.value.written
    assert not connection.usable
    # The server sees the end of the connection.
    await closed.wait()
    server.close()


def _peak_bytes(body: Coroutine[Any, Any, None]) -> int:
    """Runs a coroutine and returns the most memory that it allocated."""
    tracemalloc.start()
    try:
        asyncio.run(body)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("name", sorted(ENDLESS_ANSWERS))
def test_an_endless_answer_is_cut_off_within_bounded_memory(name: str):
    async def body() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await _exchange_with_endless_server(*ENDLESS_ANSWERS[name])

    assert _peak_bytes(body()) < MAX_MEMORY_BYTES


@pytest.fixture
def no_cyclic_collection():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


# Guards against this failure: an endless answer was cut off, but what had
# arrived of it stayed in memory until the cyclic garbage collector ran. Under
# load that is seldom, so a daemon exceeded its memory, and the requests of
# other callers ended with it.
@pytest.mark.parametrize(
    "name", ["body-with-a-huge-length", "body-without-length", "chunks"]
)
def test_endless_answers_one_after_the_other_do_not_add_up_in_memory(
    name: str, no_cyclic_collection: None
):
    async def body() -> int:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            for _ in range(4):
                await _exchange_with_endless_server(*ENDLESS_ANSWERS[name])
        return tracemalloc.get_traced_memory()[0]

    tracemalloc.start()
    try:
        retained_bytes = asyncio.run(body())
    finally:
        tracemalloc.stop()
    assert retained_bytes < http1.MAX_RESPONSE_BODY_BYTES


# Guards against this failure: each endless answer stayed within its limit, but
# many at once exceeded the daemon's memory.
def test_endless_answers_at_once_stay_within_a_budget_together():
    budget = byte_budget.ByteBudget(http1.MAX_RESPONSE_BODY_BYTES)

    async def body() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await asyncio.gather(
                *(
                    _exchange_with_endless_server(
                        *ENDLESS_ANSWERS["body-without-length"], budget
                    )
                    for _ in range(8)
                )
            )

    assert _peak_bytes(body()) < MAX_MEMORY_BYTES
    assert budget.held_bytes == 0


# Guards against this failure: an endless body in tiny chunks stayed within the
# limits on bytes, but each chunk took an object and processor time.
def test_endless_body_in_tiny_chunks_is_cut_off_early():
    start, filler = ENDLESS_ANSWERS["tiny-chunks"]

    async def body() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await _exchange_with_endless_server(start, filler)

    assert _peak_bytes(body()) < http1.MAX_RESPONSE_BODY_BYTES / 4


def test_answer_that_proves_no_origin_is_cut_off_by_the_limit_of_its_head():
    async def body() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK_HEAD + b"content-length: 2000\r\n\r\n")
            writer.write(b"x" * 1001)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await http1.connect(f"127.0.0.1:{port}", 1.0)
        with pytest.raises(http1.ConnectionFailedError, match="too large"):
            await connection.exchange(
                REQUEST, body_limit_bytes=lambda head: 1000
            )
        server.close()

    asyncio.run(asyncio.wait_for(body(), TEST_TIMEOUT_S))


def test_an_answer_in_chunks_of_one_byte_is_complete():
    async def body() -> bytes:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK_HEAD + b"transfer-encoding: chunked\r\n\r\n")
            writer.write(b"1\r\nx\r\n" * 40_000 + b"0\r\n\r\n")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await http1.connect(f"127.0.0.1:{port}", 1.0)
        response = await connection.exchange(REQUEST)
        connection.close()
        server.close()
        return response.body

    assert asyncio.run(body()) == b"x" * 40_000


# Guards against this failure: each answer to an order could hold 16 MB of a
# body that nothing reads, without a bound for all orders together.
def test_answer_to_an_order_holds_little_memory() -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK_HEAD + b"content-length: 9999999\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(FILLER)
                await writer.drain()

    async def body() -> key_owners.OrderResult:
        server = await asyncio.start_server(serve, "127.0.0.1")
        port = server.sockets[0].getsockname()[1]
        owner = key_owners.KeyOwner(("a", 1), f"127.0.0.1:{port}", 3)
        owners = key_owners.KeyOwners("s", dict, frozenset, 0.0)
        return await owners.send_order(owner, REQUEST, 5.0, lambda: True)

    tracemalloc.start()
    try:
        result = asyncio.run(body())
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # It may have been taken, and there is no answer.
    assert (result.status, result.written) == (None, True)
    assert peak_bytes < 2 * 1024 * 1024
