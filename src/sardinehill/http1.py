"""Implements an HTTP/1.1 client connection with one exchange at a time.

Responses are parsed by `httptools`. aiohttp, which other parts of the project
use, takes 15 MB per process, which entry hosts cannot spare.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import re
from typing import cast

import httptools

from sardinehill import send_watch
from sardinehill import socket_state
from sardinehill import tcp_options
from sardinehill.core import byte_budget

# The range of HTTP statuses. A response with another status comes from a faulty
# server and is not handed to a caller.
MIN_STATUS = 100
MAX_STATUS = 599
# The lowest status that reports a failure of the server.
MIN_SERVER_ERROR_STATUS = 500
# A faulty server may send a head or a body without end.
MAX_RESPONSE_BODY_BYTES = 16 * 1024 * 1024
# A request of one segment fits into any receive window.
MAX_UNWATCHED_REQUEST_BYTES = 1400
# Longer request bodies are not copied behind their heads.
MAX_COPIED_BODY_BYTES = 64 * 1024
# Bounds what is received beside the body: heads, also of interim responses,
# trailers and the framing of chunks.
MAX_RESPONSE_OVERHEAD_BYTES = 64 * 1024
# Chunks of one byte have a framing of five bytes. Each chunk takes processor
# time, so a body of many small ones is bounded apart from its length.
MAX_FRAMING_RATIO = 8
MAX_SMALL_CHUNKS_FRAMING_BYTES = 256 * 1024
MAX_LONG_BODY_FRAMING_RATIO = 1 / 64

Headers = list[tuple[bytes, bytes]]

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def has_status_line(text: bytes) -> bool:
    """Returns whether a part of a head has the beginning of another head in it.

    A faulty server may send the beginning of an earlier response before a
    response. If it breaks off within a header or the reason phrase, parsers
    take both heads for one, and that part has the second one's status line.

    Args:
      text: a reason phrase or the value of a header.
    """
    return _STATUS_LINE.search(text) is not None


@dataclasses.dataclass(slots=True)
class Response:
    """A complete HTTP response.

    Attributes:
      status: the status code.
      headers: pairs of lower-case name and value, in the order received.
      body: the complete body.
      keep_alive: whether the connection may carry another exchange.
      ends_with_connection: whether the body was delimited only by the end of
        the connection.
    """

    status: int = 0
    headers: Headers = dataclasses.field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = False
    ends_with_connection: bool = False

    def header_values(self, name: bytes) -> set[bytes]:
        """Returns the different values of a header.

        Args:
          name: the header's name in lower case.
        """
        return {value for known, value in self.headers if known == name}

    def header(self, name: bytes) -> bytes | None:
        """Returns the last value of a header, None if it is absent.

        Args:
          name: the header's name in lower case.
        """
        for header_name, value in reversed(self.headers):
            if header_name == name:
                return value
        return None


class ConnectionFailedError(Exception):
    """Raised when an exchange ends without a complete response.

    Attributes:
      written: whether any byte of the request may have left this host.
      refused: whether the connection was refused.
      response_started: whether any byte of a response was received.
      reset: whether the peer has reset the connection.
    """

    def __init__(
        self,
        reason: str,
        written: bool,
        refused: bool = False,
        response_started: bool = False,
        reset: bool = False,
    ):
        super().__init__(reason)
        self.written = written
        self.refused = refused
        self.response_started = response_started
        self.reset = reset


class BodyTooLargeError(ConnectionFailedError):
    """Raised when a response's body is longer than the caller allows."""


class Connection(asyncio.Protocol):
    """A client's connection to one server.

    A connection that ends during an exchange is reset, so that a request that
    was given up does not arrive later.

    Where the server may read long requests slowly, the kernel's timeout for
    unacknowledged data is lifted while one is sent, and the connection itself
    notices that the server's host has vanished.

    Attributes:
      exchange_count: number of exchanges begun.
      idle_since_s: event loop time at which the last exchange ended.
      server_idle_timeout_s: the idle timeout that the server announced in its
        Keep-Alive header, None if it announced none.
      usable: False once the connection cannot carry another exchange.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_lost: Callable[["Connection"], None] | None = None,
        keepalive: bool = False,
        user_timeout_ms: int = tcp_options.USER_TIMEOUT_MS,
        budget: byte_budget.ByteBudget | None = None,
        reads_slowly: bool = False,
    ):
        self._reads_slowly = reads_slowly
        self._send_watch: send_watch.SendWatch | None = None
        self._share = byte_budget.ByteShare(budget) if budget else None
        self._loop = loop
        self._on_lost = on_lost
        self._keepalive = keepalive
        self._user_timeout_ms = user_timeout_ms
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._response = Response()
        self._body = bytearray()
        self._body_bytes = 0
        self._received_bytes = 0
        self._has_body_length = False
        self._headers_done = False
        self._reason_phrase = b""
        self._has_no_body = False
        self._pending_response: asyncio.Future[Response] | None = None
        self._matches_request: Callable[[Response], bool] | None = None
        self._body_limit_of: Callable[[Response], int] | None = None
        self._body_limit_bytes = MAX_RESPONSE_BODY_BYTES
        self._response_started = False
        self.exchange_count = 0
        self.idle_since_s = loop.time()
        self.server_idle_timeout_s: float | None = None
        self.usable = True

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets its socket options."""
        # uvloop's transports are not subclasses of `asyncio.Transport`.
        self._transport = cast(asyncio.Transport, transport)
        tcp_options.set_options(
            transport, self._keepalive, self._user_timeout_ms
        )
        tcp_options.set_discard_unsent_on_close(transport, True)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; unsolicited data closes the connection."""
        if self._pending_response is None or self._parser is None:
            self.close()
            return
        self._response_started = True
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"invalid HTTP response: {error}")
            return
        if self._pending_response is not None:
            self._check_overhead()

    def _check_overhead(self) -> None:
        overhead_bytes = self._received_bytes - self._body_bytes
        allowed_bytes = (
            MAX_RESPONSE_OVERHEAD_BYTES
            + min(
                MAX_FRAMING_RATIO * self._body_bytes,
                MAX_SMALL_CHUNKS_FRAMING_BYTES,
            )
            + MAX_LONG_BODY_FRAMING_RATIO * self._body_bytes
        )
        if overhead_bytes > allowed_bytes:
            self._fail("the response head or framing is too long")

    def eof_received(self) -> bool:
        """Completes a response without a length and fails any other.

        One without a length has ended early if an error has ended it.
        """
        assert self._transport is not None
        error = socket_state.end_error(self._transport)
        if error is not None:
            self._fail_with(error)
            return False
        if self._pending_response is not None and self._headers_done:
            if not self._has_body_length:
                self._response.keep_alive = False
                self._response.ends_with_connection = True
                self._complete()
                return False
            self._fail("the response was truncated")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails a pending exchange and reports the connection's end."""
        self._fail_with(exc)
        self.usable = False
        if self._send_watch is not None:
            self._send_watch.stop()
            self._send_watch = None
        if self._on_lost is not None:
            self._on_lost(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Resets the state for a new response; closes if none is expected."""
        if self._pending_response is None:
            # The rest of this unexpected response would be taken for the
            # beginning of the next one.
            self.close()
        self._response = Response()
        self._body = bytearray()
        self._body_bytes = 0
        self._has_body_length = False
        self._headers_done = False
        self._reason_phrase = b""

    def on_status(self, status: bytes) -> None:
        """Stores a part of the reason phrase."""
        self._reason_phrase += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header and notes whether it delimits the body.

        Trailers, which come after a body in chunks, are dropped.
        """
        if self._headers_done or self._pending_response is None:
            return
        if has_status_line(value):
            self._fail("a header has another response's head in it")
            return
        lower = name.lower()
        self._response.headers.append((lower, value))
        if lower in (b"content-length", b"transfer-encoding"):
            self._has_body_length = True

    def on_headers_complete(self) -> None:
        """Stores the status and completes a response without a body."""
        if self._pending_response is None:
            return
        assert self._parser is not None
        self._response.status = self._parser.get_status_code()
        if has_status_line(self._reason_phrase):
            self._fail("the status has another response's head in it")
            return
        if not MIN_STATUS <= self._response.status <= MAX_STATUS:
            self._fail(f"{self._response.status:03} is no HTTP status")
            return
        self._headers_done = True
        if self._body_limit_of is not None:
            self._body_limit_bytes = self._body_limit_of(self._response)
        if self._response.status in (204, 304):
            self._has_body_length = True
        if self._has_no_body and self._response.status >= 200:
            # The parser would wait for a body that is not sent.
            self._response.keep_alive = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Stores a chunk of the body, up to the size limit."""
        if self._pending_response is None:
            # The exchange has failed within the bytes that are being parsed.
            return
        self._body_bytes += len(body)
        if self._body_bytes > self._body_limit_bytes:
            self._fail(
                "the response body is too large", error_type=BodyTooLargeError
            )
            return
        if self._share and not self._share.try_hold(self._body_bytes):
            self._fail("there is no memory for the response body")
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Completes a response that is not interim (1xx) and has a length."""
        if self._pending_response is None:
            self.close()
            return
        assert self._parser is not None
        if self._response.status // 100 == 1:
            # The connection may end before the final response begins.
            self._headers_done = False
            return
        self._response.keep_alive = self._parser.should_keep_alive()
        if self._headers_done and self._has_body_length:
            self._complete()

    # Methods for callers.

    async def exchange(
        self,
        data: bytes,
        matches_request: Callable[[Response], bool] | None = None,
        has_no_body: bool = False,
        body_limit_bytes: Callable[[Response], int] | None = None,
        body: bytes = b"",
    ) -> Response:
        """Sends one request and returns its complete response.

        The connection is closed if the caller is cancelled.

        Args:
          data: the request, complete or up to its body.
          matches_request: returns whether a response belongs to this request.
            One that does not is dropped, and the connection is not reused.
          has_no_body: whether the response has no body, as after HEAD.
          body_limit_bytes: returns how long the body may be, from the
            response's head; `MAX_RESPONSE_BODY_BYTES` if None.
          body: the request's body, unless `data` has it.

        Raises:
          ConnectionFailedError: no complete response was received.
        """
        if not self.usable or self._transport is None:
            raise ConnectionFailedError("connection closed", written=False)
        if self._transport.is_closing():
            raise ConnectionFailedError("connection closed", written=False)
        self._parser = httptools.HttpResponseParser(self)
        self._matches_request = matches_request
        self._has_no_body = has_no_body
        self._body_limit_of = body_limit_bytes
        self._body_limit_bytes = MAX_RESPONSE_BODY_BYTES
        self._response_started = False
        self._received_bytes = 0
        self._body_bytes = 0
        self._headers_done = False
        self._pending_response = self._loop.create_future()
        self.exchange_count += 1
        self._watch_sending(len(data) + len(body))
        if len(body) > MAX_COPIED_BODY_BYTES:
            self._transport.writelines((data, body))
        else:
            self._transport.write(data + body)
        try:
            return await self._pending_response
        except asyncio.CancelledError:
            self.close()
            raise

    def close(self) -> None:
        """Aborts the connection without waiting for the peer."""
        self.usable = False
        self._drop_received()
        if self._transport is None:
            return
        is_written = self._transport.get_write_buffer_size() == 0
        is_idle = self._pending_response is None and is_written
        # A transport that is closing may still be writing what it has buffered.
        if is_idle and not self._transport.is_closing():
            tcp_options.set_discard_unsent_on_close(self._transport, False)
        self._transport.abort()

    def is_reusable(self, now_s: float, idle_timeout_s: float) -> bool:
        """Returns whether the server probably still keeps the connection.

        Args:
          now_s: event loop time.
          idle_timeout_s: the longest idle time; the timeout that the server
            announced applies if it is shorter.
        """
        limit_s = idle_timeout_s
        if self.server_idle_timeout_s is not None:
            limit_s = min(limit_s, self.server_idle_timeout_s)
        return (
            self.usable
            and self._pending_response is None
            and self._transport is not None
            and not self._transport.is_closing()
            and now_s - self.idle_since_s < limit_s
            and not socket_state.has_unread_events(self._transport)
        )

    # Internal methods.

    def _watch_sending(self, size_bytes: int) -> None:
        """Watches whether a slow server takes a request of some size."""
        is_long = size_bytes > MAX_UNWATCHED_REQUEST_BYTES
        if self._transport is None or not self._reads_slowly:
            return
        if self._send_watch is None:
            if not is_long:
                return
            self._send_watch = send_watch.SendWatch(
                self._loop,
                self._transport,
                lambda: self._fail("the server's host does not answer"),
                self._end_watch,
            )
            tcp_options.set_user_timeout(self._transport, 0)
        self._send_watch.note_written(size_bytes)

    def _end_watch(self) -> None:
        """Leaves it to the kernel again to notice that the host vanishes."""
        self._send_watch = None
        if self._transport is not None and not self._transport.is_closing():
            tcp_options.set_user_timeout(self._transport, self._user_timeout_ms)

    def _complete(self) -> None:
        response = self._response
        response.body = bytes(self._body)
        self._body = bytearray()
        self._response = Response()
        if self._share:
            self._share.release()
        if self._pending_response is None or self._pending_response.done():
            self.close()
            return
        if self._matches_request is not None and not self._matches_request(
            response
        ):
            self.usable = False
            if not response.keep_alive:
                self._fail("the response belongs to another request")
            return
        pending, self._pending_response = self._pending_response, None
        self.idle_since_s = self._loop.time()
        assert self._transport is not None
        unsent = self._transport.get_write_buffer_size() > 0
        if not response.keep_alive or unsent or not self.usable:
            self.close()
        else:
            self._read_server_idle_timeout(response)
        pending.set_result(response)

    def _drop_received(self) -> None:
        """Frees what was received.

        The parser refers to the connection. If both kept referring to each
        other, only the cyclic garbage collector would free them.
        """
        self._parser = None
        self._response = Response()
        self._body = bytearray()
        if self._share:
            self._share.release()

    def _read_server_idle_timeout(self, response: Response) -> None:
        value = response.header(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                self.server_idle_timeout_s = float(number)

    def _fail_with(self, error: Exception | None) -> None:
        """Fails a pending exchange as the connection has ended."""
        self._fail(
            f"connection lost: {error}" if error else "connection closed",
            reset=isinstance(error, ConnectionResetError),
        )

    def _fail(
        self,
        reason: str,
        reset: bool = False,
        error_type: type[ConnectionFailedError] = ConnectionFailedError,
    ) -> None:
        self.close()
        pending, self._pending_response = self._pending_response, None
        if pending is not None and not pending.done():
            pending.set_exception(
                error_type(
                    reason,
                    written=True,
                    response_started=self._response_started,
                    reset=reset,
                )
            )


async def connect(
    address: str,
    timeout_s: float,
    on_lost: Callable[[Connection], None] | None = None,
    keepalive: bool = False,
    user_timeout_ms: int = tcp_options.USER_TIMEOUT_MS,
    budget: byte_budget.ByteBudget | None = None,
    reads_slowly: bool = False,
) -> Connection:
    """Opens a connection.

    Args:
      address: an IP address and a port, joined by a colon.
      timeout_s: maximum time for opening the connection.
      on_lost: called once the connection has ended.
      keepalive: whether to send TCP keepalive probes while it is idle.
      user_timeout_ms: how long sent data may stay unacknowledged.
      budget: what response bodies may hold together; None if they are not
        bounded together.
      reads_slowly: whether the server may take a long request slowly. A part of
        one that was given up may then arrive later than `user_timeout_ms`.

    Raises:
      ConnectionFailedError: it could not be opened; nothing was written.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: Connection(
                    loop,
                    on_lost,
                    keepalive,
                    user_timeout_ms,
                    budget,
                    reads_slowly,
                ),
                host,
                int(port),
            )
    except ConnectionRefusedError as error:
        raise ConnectionFailedError(
            f"refused: {error}", written=False, refused=True
        ) from error
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        raise ConnectionFailedError(
            f"cannot connect: {error!r}", written=False
        ) from error
    return connection
