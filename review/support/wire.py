"""A small HTTP/1.1 server and client for the stand-ins; needs no package."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import socket
import struct

Headers = dict[str, str]


@dataclasses.dataclass
class Message:
    """A request or an answer, complete.

    Attributes:
      start: the words of the first line.
      headers: values by name in lower case.
      body: the body.
      writer: the connection of a request that a server received.
    """

    start: list[str]
    headers: Headers
    body: bytes = b""
    writer: asyncio.StreamWriter | None = None


Handler = Callable[[Message], Awaitable[bytes | None]]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Returns the head of the next message.

    Raises:
      asyncio.IncompleteReadError: the connection ended.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(first.split(" ", 2), headers)


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Returns the next message with a body of a stated length, or none."""
    message = await read_head(reader)
    size = int(message.headers.get("content-length", "0"))
    if size:
        message.body = await reader.readexactly(size)
    return message


def encode(
    status: int, headers: Headers | None = None, body: bytes = b""
) -> bytes:
    """Returns an answer with a content length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serves one request at a time on each connection.

    A handler returns the bytes of the answer, or None if it has answered or
    ended the connection itself.
    """

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                message = await read_message(reader)
                message.writer = writer
                answer = await handler(message)
                if answer is None:
                    if writer.is_closing():
                        return
                    continue
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(
        connected, host, port, limit=1 << 20, backlog=1024
    )


async def call(
    address: str,
    method: str,
    path: str,
    headers: Headers,
    body: bytes = b"",
    timeout_s: float = 5.0,
    read_body: bool = True,
) -> Message:
    """Sends one request over a new connection and returns the answer.

    Raises:
      OSError: there is no connection, or no answer in time.
      asyncio.IncompleteReadError: the connection ended early.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            if read_body:
                return await read_message(reader)
            return await read_head(reader)
        finally:
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def free_ports(host: str, count: int) -> list[int]:
    """Returns ports of an address that nobody uses now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
