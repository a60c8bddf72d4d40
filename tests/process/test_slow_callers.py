"""Claims about callers that send slowly, on real sockets."""

import asyncio

from aiohttp import web
import pytest

from sardinehill.daemon import entry


async def _open(sent: bytes) -> bytes:
    async def serve(request: web.BaseRequest) -> web.Response:
        server.heard(request.protocol)
        await asyncio.sleep(2 * entry.HEADER_LIMIT_S)
        return web.Response(text="served")

    server = entry._Server(serve)
    listening = await asyncio.get_running_loop().create_server(
        server, "127.0.0.1", 0
    )
    address = listening.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(sent)
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
def test_a_connection_without_a_whole_header_is_ended(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(entry, "HEADER_LIMIT_S", 0.05)
    assert asyncio.run(_open(sent)) == b""


def test_a_request_that_takes_long_is_not_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(entry, "HEADER_LIMIT_S", 1.0)
    answer = asyncio.run(_open(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
    assert answer.startswith(b"HTTP/1.1 200")
