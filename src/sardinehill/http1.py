"""HTTP/1.1 towards servers: one connection, one exchange at a time.

Parsing is `httptools`'. aiohttp, which the rest of the project uses, costs
15 MB a process that entry hosts cannot spare.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import socket
from typing import cast

import httptools

# A peer that acknowledges nothing for so long is taken as cut off.
TCP_USER_TIMEOUT_MS = 1500
# Probes of an idle connection, for peers that vanish without a reset.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2
MAX_RESPONSE_BODY_BYTES = 64 * 1024 * 1024

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True)
class Response:
    """One whole HTTP answer.

    Attributes:
      status: the status code.
      headers: names in lower case, with values, in the order received.
      body: the whole body.
      keep_alive: whether the connection may carry another exchange.
      ends_with_connection: whether nothing but the connection's end marked
        the body's end.
    """

    status: int = 0
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = False
    ends_with_connection: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Returns the last value of a header, or None."""
        for known, value in reversed(self.headers):
            if known == name:
                return value
        return None


class ConnectionFailedError(Exception):
    """An exchange ended without a whole answer.

    Attributes:
      written: whether any byte of the request may have left this host.
      refused: whether nobody listened at the address.
      response_started: whether a byte of an answer had come.
    """

    def __init__(
        self,
        reason: str,
        written: bool,
        refused: bool = False,
        response_started: bool = False,
    ):
        super().__init__(reason)
        self.written = written
        self.refused = refused
        self.response_started = response_started


def set_tcp_options(transport: asyncio.BaseTransport, keepalive: bool) -> None:
    """Makes the kernel end a connection whose peer has vanished.

    Args:
      transport: a TCP transport.
      keepalive: whether to probe the peer while the connection is idle.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    if keepalive:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT
        )


class Connection(asyncio.Protocol):
    """A client's connection to one server.

    Public attributes:
      idle_since_s: the loop's time at which the last exchange ended.
      server_idle_timeout_s: how long the server said it keeps an idle connection.
      usable: False once the connection may carry no further exchange.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_lost: Callable[["Connection"], None] | None = None,
        keepalive: bool = False,
    ):
        self._loop = loop
        self._on_lost = on_lost
        self._keepalive = keepalive
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._response = Response()
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._has_body_length = False
        self._headers_done = False
        self._has_no_body = False
        self._pending_response: asyncio.Future[Response] | None = None
        self._matches_request: Callable[[Response], bool] | None = None
        self._response_started = False
        self.exchange_count = 0
        self.idle_since_s = loop.time()
        self.server_idle_timeout_s: float | None = None
        self.usable = True

    # asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket's options."""
        # uvloop's transports do not inherit from asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        set_tcp_options(transport, self._keepalive)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; unexpected bytes end the connection."""
        if self._pending_response is None or self._parser is None:
            self.close()
            return
        self._response_started = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"not an HTTP answer: {error}")

    def eof_received(self) -> bool:
        """Ends an answer that has no length; anything else is cut short."""
        if self._pending_response is not None and self._headers_done:
            if not self._has_body_length:
                self._response.keep_alive = False
                self._response.ends_with_connection = True
                self._complete()
                return False
            self._fail("the answer was cut short")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails what still waits for an answer."""
        self._fail(f"connection lost: {exc}" if exc else "connection closed")
        self.usable = False
        if self._on_lost is not None:
            self._on_lost(self)

    # the parser's callbacks

    def on_message_begin(self) -> None:
        """Starts an answer."""
        self._response = Response()
        self._body = []
        self._body_bytes = 0
        self._has_body_length = False
        self._headers_done = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header."""
        lower = name.lower()
        self._response.headers.append((lower, value))
        if lower in (b"content-length", b"transfer-encoding"):
            self._has_body_length = True

    def on_headers_complete(self) -> None:
        """Learns the status and whether the body's end is marked."""
        assert self._parser is not None
        self._response.status = self._parser.get_status_code()
        self._headers_done = True
        if self._response.status in (204, 304):
            self._has_body_length = True
        if self._has_no_body and self._response.status >= 200:
            # The parser would wait for a body that never comes.
            self._response.keep_alive = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Keeps a piece of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > MAX_RESPONSE_BODY_BYTES:
            self._fail("the answer is too long")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hands the answer over."""
        if self._pending_response is None:
            self.close()
            return
        assert self._parser is not None
        if self._response.status // 100 == 1:
            return
        self._response.keep_alive = self._parser.should_keep_alive()
        if self._headers_done and self._has_body_length:
            self._complete()

    # for callers

    async def exchange(
        self,
        data: bytes,
        matches_request: Callable[[Response], bool] | None = None,
        has_no_body: bool = False,
    ) -> Response:
        """Sends one request and returns its whole answer.

        A caller that is cancelled ends the connection with it.

        Args:
          data: the whole request.
          matches_request: tells the answer to this request from a stray one, which is
            dropped and makes the connection unusable afterwards.
          has_no_body: whether the answer has no body, as to HEAD.

        Raises:
          ConnectionFailedError: no whole answer came.
        """
        if not self.usable or self._transport is None:
            raise ConnectionFailedError("connection closed", written=False)
        if self._transport.is_closing():
            raise ConnectionFailedError("connection closed", written=False)
        self._parser = httptools.HttpResponseParser(self)
        self._matches_request = matches_request
        self._has_no_body = has_no_body
        self._response_started = False
        self._headers_done = False
        self._pending_response = self._loop.create_future()
        self.exchange_count += 1
        self._transport.write(data)
        try:
            return await self._pending_response
        except asyncio.CancelledError:
            self.close()
            raise

    def close(self) -> None:
        """Ends the connection at once, without waiting for the peer."""
        self.usable = False
        if self._transport is not None:
            self._transport.abort()

    def is_reusable(self, now_s: float, idle_timeout_s: float) -> bool:
        """Returns whether the server likely still keeps the connection."""
        limit_s = idle_timeout_s
        if self.server_idle_timeout_s is not None:
            limit_s = min(limit_s, self.server_idle_timeout_s)
        return (
            self.usable
            and self._pending_response is None
            and self._transport is not None
            and not self._transport.is_closing()
            and now_s - self.idle_since_s < limit_s
        )

    # inside

    def _complete(self) -> None:
        answer = self._response
        answer.body = b"".join(self._body)
        self._body = []
        if self._pending_response is None or self._pending_response.done():
            self.close()
            return
        if self._matches_request is not None and not self._matches_request(
            answer
        ):
            self.usable = False
            if not answer.keep_alive:
                self._fail("an answer to another request")
            return
        pending, self._pending_response = self._pending_response, None
        self.idle_since_s = self._loop.time()
        assert self._transport is not None
        unsent = self._transport.get_write_buffer_size() > 0
        if not answer.keep_alive or unsent or not self.usable:
            self.close()
        else:
            self._read_server_idle_timeout(answer)
        pending.set_result(answer)

    def _read_server_idle_timeout(self, answer: Response) -> None:
        value = answer.header(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.server_idle_timeout_s = float(number)

    def _fail(self, reason: str) -> None:
        pending, self._pending_response = self._pending_response, None
        if pending is not None and not pending.done():
            pending.set_exception(
                ConnectionFailedError(
                    reason,
                    written=True,
                    response_started=self._response_started,
                )
            )
        self.close()


async def connect(
    address: str,
    timeout_s: float,
    on_lost: Callable[[Connection], None] | None = None,
    keepalive: bool = False,
) -> Connection:
    """Opens a connection.

    Args:
      address: an IP address and a port, joined by a colon.
      timeout_s: how long the opening may take.
      on_lost: called once the connection has ended.
      keepalive: whether to probe the peer while the connection is idle.

    Raises:
      ConnectionFailedError: it could not be opened; nothing was written.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: Connection(loop, on_lost, keepalive), host, int(port)
            )
    except ConnectionRefusedError as error:
        raise ConnectionFailedError(
            f"refused: {error}", written=False, refused=True
        ) from error
    except (OSError, TimeoutError, ValueError) as error:
        raise ConnectionFailedError(
            f"cannot connect: {error!r}", written=False
        ) from error
    return connection
