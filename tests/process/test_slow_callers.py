"""Tests callers that send their requests slowly over real sockets."""

import asyncio

from aiohttp import web
import pytest

from sardinehill.daemon import caller_server


async def _send_and_read(request_bytes: bytes) -> bytes:
    async def serve(request: web.BaseRequest) -> web.Response:
        server.record_header(request.protocol)
        await asyncio.sleep(2 * caller_server.HEADER_TIMEOUT_S)
        return web.Response(text="served")

    server = caller_server._HeaderTimeoutServer(serve)
    listening = await asyncio.get_running_loop().create_server(
        server, "127.0.0.1", 0
    )
    address = listening.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(request_bytes)
    try:
        async with asyncio.timeout(30):
            return await reader.read(4096)
    except ConnectionResetError:
        return b""
    finally:
        writer.close()
        listening.close()
        await server.shutdown()


@pytest.mark.parametrize("sent", [b"", b"GET / HTTP/1.1\r\nHost: a\r\nX-"])
def test_a_connection_without_a_complete_header_is_closed(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(caller_server, "HEADER_TIMEOUT_S", 0.05)
    assert asyncio.run(_send_and_read(sent)) == b""


def test_a_slow_request_is_not_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(caller_server, "HEADER_TIMEOUT_S", 1.0)
    answer = asyncio.run(_send_and_read(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
    assert answer.startswith(b"HTTP/1.1 200")
