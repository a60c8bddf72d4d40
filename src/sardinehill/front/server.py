"""Serves callers' HTTP/1.1 connections.

Requests are read completely before they are handled, and replies are written
as a whole. A budget bounds what all connections hold: bodies that are arriving,
requests that are served, and replies that callers have not read.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import cast
from typing import NoReturn

import httptools

from sardinehill import events
from sardinehill import http1
from sardinehill.core import byte_budget
from sardinehill.core import routes
from sardinehill.front import caller_output
from sardinehill.front import log as log_module
from sardinehill.front import replies
from sardinehill.front import requests

# The number of requests that may wait on one connection while an earlier one is
# served.
MAX_PIPELINED_REQUESTS = 8
LIMIT_CHECK_INTERVAL_S = 0.5
DEFAULT_MAX_CONNECTIONS = 1000
# Which part of the connections is closed at most to make room for new ones.
CLOSED_AT_ONCE_RATIO = 0.05
MAX_QUEUED_CONNECTIONS = 1024
# The loop accepts one connection a pass and reports it in a later one.
PASSES_PER_CONNECTION = 3
# A new connection whose first request has not arrived is not yet idle.
FIRST_REQUEST_WAIT_S = 1.0
# The limit on a request's header does not count separators and line ends.
MAX_SEPARATOR_BYTES = 8192
# Longer numbers are no lengths.
MAX_LENGTH_DIGITS = 12
# What a header field takes beside its bytes: two objects and a pair.
HEADER_OVERHEAD_BYTES = 140

Handler = Callable[[requests.Request], Awaitable[requests.Reply]]
# Logs an event, at most one line a second for each key: its second argument.
EventLog = Callable[..., None]


@dataclasses.dataclass(slots=True)
class _QueuedRequest:
    """A request that has arrived.

    Attributes:
      request: the request.
      keep_alive: whether the connection may carry another one.
      share: what it holds of the budget.
    """

    request: requests.Request
    keep_alive: bool
    share: byte_budget.ByteShare


class CallerConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, server: "Server"):
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._output = caller_output.CallerOutput(self._loop, server.budget)
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._target = b""
        self._headers: http1.Headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._has_body = False
        self._body_share = byte_budget.ByteShare(server.budget)
        self._pipeline: list[_QueuedRequest] = []
        self._serving_task: asyncio.Task[None] | None = None
        # Why the parser was stopped, if a callback stopped it.
        self._error = replies.MALFORMED
        self._expected_body_bytes = 0
        self._in_message = False
        self._headers_complete = False
        self._bytes_before_body = 0
        self._refusal: replies.Refusal | None = None
        self._opened_s = self._loop.time()
        self._phase_started_s = self._opened_s
        # When bytes last arrived, or when the connection was opened.
        self._received_s = self._opened_s
        self.closing = False

    # asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket's options."""
        # uvloop's transports do not inherit from asyncio's.
        self._output.connect(cast(asyncio.Transport, transport))
        self._server.connections.add(self)
        self._server.accepted_count += 1

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; malformed ones end the connection.

        What comes behind the last request is dropped.
        """
        self._received_s = self._loop.time()
        if self.closing or self._refusal is not None:
            return
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
            self._limit_bytes_before_body(len(data))
        except httptools.HttpParserUpgrade:
            self._refuse(replies.MALFORMED)
        except httptools.HttpParserError:
            self._refuse(self._error)
        if self.closing:
            # The parser has gone on behind the request that was refused.
            self._drop_incomplete_request()
            self._drop_queued_requests()

    def _limit_bytes_before_body(self, size: int) -> None:
        """Refuses a request whose header does not end within its limit.

        The parser reports a header only when it is complete, so the limit on
        the reported ones does not stop a header without end.
        """
        if self._headers_complete or not self._in_message:
            self._bytes_before_body = 0
            return
        self._bytes_before_body += size
        limit = self._server.limits().header_bytes + MAX_SEPARATOR_BYTES
        if self._bytes_before_body > limit:
            self._refuse(replies.HEADER_TOO_LONG)

    def eof_received(self) -> bool:
        """Closes the connection when the caller has ended its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request of a caller that has disconnected."""
        self._server.connections.discard(self)
        if exc is not None:
            self._report_untaken(repr(exc))
        self.closing = True
        self._drop_incomplete_request()
        self._drop_queued_requests()
        self._output.release()
        # The parser refers to this connection. If both kept referring to each
        # other, only the cyclic garbage collector would free them.
        self._parser = None
        if self._serving_task is not None:
            self._serving_task.cancel()

    def pause_writing(self) -> None:
        """Serves no further request until the caller has read replies."""
        self._output.pause()

    def resume_writing(self) -> None:
        """Goes on with the next request."""
        self._output.resume()

    def _report_untaken(self, error: str) -> None:
        """Reports replies that an error of the connection has cut off.

        What was written just before it is not reported, as what the caller has
        taken is looked at only periodically.
        """
        progress = self._output.progress
        now_s = self._loop.time()
        is_old = now_s - self._phase_started_s >= LIMIT_CHECK_INTERVAL_S
        if not progress.waiting_bytes or not is_old:
            return
        self._server.log(
            events.REPLIES_NOT_TAKEN,
            "",
            waiting_bytes=progress.waiting_bytes,
            untaken_s=round(progress.stalled_s(now_s), 3),
            requests_waiting=len(self._pipeline),
            error=error,
        )

    # the parser's callbacks

    def on_message_begin(self) -> None:
        """Resets the state for the next request."""
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._has_body = False
        self._expected_body_bytes = 0
        self._in_message = True
        self._headers_complete = False
        self._phase_started_s = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the path and query."""
        self._target += url
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header, and sends 100 Continue to a caller that expects it."""
        lower_name = name.lower()
        self._headers.append((lower_name, value))
        self._count_header_bytes(len(name) + len(value))
        self._hold_memory(len(self._body))
        if (
            lower_name == b"content-length"
            or lower_name == b"transfer-encoding"
        ):
            self._has_body = True
        if lower_name == b"content-length":
            digits = value.strip()
            if digits.isdigit() and len(digits) <= MAX_LENGTH_DIGITS:
                self._expected_body_bytes = int(digits)
        if lower_name == b"expect":
            self._output.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits().header_bytes:
            self._stop_parsing(replies.HEADER_TOO_LONG)

    def on_headers_complete(self) -> None:
        """Notes that only the body is missing, if there is room for it."""
        self._headers_complete = True
        self._hold_body(self._expected_body_bytes)

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body."""
        self._hold_body(
            max(len(self._body) + len(body), self._expected_body_bytes)
        )
        self._body += body

    def _hold_body(self, size_bytes: int) -> None:
        if size_bytes > self._server.limits().body_bytes:
            self._stop_parsing(replies.BODY_TOO_LONG)
        self._hold_memory(size_bytes)

    def _hold_memory(self, body_bytes: int) -> None:
        """Takes memory for a head as far as it has come, and for a body."""
        head_bytes = self._header_bytes + HEADER_OVERHEAD_BYTES * len(
            self._headers
        )
        if not self._body_share.try_hold(head_bytes + body_bytes):
            self._stop_parsing(replies.NO_MEMORY)

    def _stop_parsing(self, refusal: replies.Refusal) -> NoReturn:
        self._error = refusal
        raise ValueError("the request is refused")

    def on_message_complete(self) -> None:
        """Queues the request behind earlier ones of the connection."""
        assert self._parser is not None
        self._in_message = False
        request = requests.Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
            self._has_body,
            self._loop.time(),
        )
        self._body = bytearray()
        keep_alive = bool(self._parser.should_keep_alive())
        if len(self._pipeline) >= MAX_PIPELINED_REQUESTS:
            self._refuse(replies.TOO_MANY)
            return
        self._pipeline.append(
            _QueuedRequest(request, keep_alive, self._body_share)
        )
        self._body_share = byte_budget.ByteShare(self._server.budget)
        if self._serving_task is None:
            self._serving_task = self._loop.create_task(self._serve())

    # serving

    async def _serve(self) -> None:
        try:
            while self._pipeline and not self.closing:
                await self._output.may_write.wait()
                if not self._pipeline:
                    break
                queued = self._pipeline.pop(0)
                try:
                    await self._serve_request(queued)
                finally:
                    queued.share.release()
        finally:
            self._serving_task = None
        if self._refusal is not None and not self.closing:
            self._refuse(self._refusal)

    async def _serve_request(self, queued: _QueuedRequest) -> None:
        reply = await self._reply_to(queued.request)
        is_last = not queued.keep_alive or reply.ends_with_connection
        is_last = is_last or (
            self._server.draining and not self._has_next_request()
        )
        is_head = queued.request.method == b"HEAD"
        data = replies.encode(reply, is_last, is_head)
        if reply.ends_with_connection:
            await self._output.write_until_end(data)
        else:
            self._output.write(data)
        self._phase_started_s = self._loop.time()
        if is_last:
            self._close()

    async def _reply_to(self, request: requests.Request) -> requests.Reply:
        """Returns the handler's reply, or 500 if it fails.

        Otherwise the caller would wait for an answer that never comes.
        """
        try:
            return await self._server.handle(request)
        except Exception as error:
            events.log_with_traceback(events.REQUEST_FAILED_INSIDE, error)
            return requests.Reply(500, b"")

    def _refuse(self, refusal: replies.Refusal) -> None:
        """Refuses a request and closes the connection.

        Earlier requests of the connection are answered first.
        """
        self._drop_incomplete_request()
        if self._serving_task is not None:
            self._refusal = refusal
            return
        self._output.write(replies.encode_refusal(refusal))
        self._close()

    def _close(self) -> None:
        """Ends the connection behind a reply that has said so.

        It stays open until the caller has taken the reply; what the caller
        sends meanwhile is dropped.
        """
        self.closing = True
        self._in_message = False
        self._drop_incomplete_request()
        self._drop_queued_requests()
        self._output.finish()

    def _close_idle(self) -> None:
        """Ends a connection on which nothing is under way.

        What the caller sends at the same moment stays unread, so that it knows
        that it may send that again.
        """
        self.closing = True
        self._output.close()

    def _give_up(self) -> None:
        """Ends the connection of a caller that takes no replies any more."""
        progress = self._output.progress
        now_s = self._loop.time()
        self._report_untaken(
            "vanished" if progress.is_gone(now_s) else "too slow"
        )
        self.closing = True
        self._output.reset()

    def _drop_incomplete_request(self) -> None:
        self._headers = []
        self._body = bytearray()
        self._body_share.release()

    def _drop_queued_requests(self) -> None:
        for queued in self._pipeline:
            queued.share.release()
        self._pipeline.clear()

    def _has_next_request(self) -> bool:
        """Returns whether a further request has arrived, or its beginning."""
        return bool(self._pipeline) or self._in_message

    def refuse_if_incomplete(self, refusal: replies.Refusal) -> None:
        """Refuses a request of which only a part has arrived."""
        if self._in_message and not self.closing:
            self._refuse(refusal)

    def is_idle(self) -> bool:
        """Returns whether no request is being received, served or answered."""
        if self._serving_task is not None or self._in_message:
            return False
        self._output.follow()
        return not self._output.progress.waiting_bytes

    @property
    def received_s(self) -> float:
        """When bytes last arrived, or when the connection was opened."""
        return self._received_s

    def close_if_idle(self) -> None:
        """Closes the connection if it has no request, and is not new."""
        now_s = self._loop.time()
        if self.closing:
            self._close_if_taken(now_s)
            return
        is_new = (
            self._received_s == self._opened_s
            and now_s - self._opened_s < FIRST_REQUEST_WAIT_S
        )
        if self.is_idle() and not is_new:
            self._close_idle()

    def make_room(self) -> None:
        """Closes a connection that is idle, or has ended, at once."""
        if self.closing:
            self._output.close()
        else:
            self.close_if_idle()

    def waits_only_for_reader(self, min_time_s: float) -> bool:
        """Returns whether its caller has had all answers for some time."""
        answered_s = self._loop.time() - self._phase_started_s
        return (
            self._serving_task is None
            and not self._in_message
            and answered_s >= min_time_s
        )

    def report_untaken(self) -> None:
        """Reports replies that the end of this process cuts off."""
        self._output.follow()
        self._report_untaken("stopped")

    def _close_if_taken(self, now_s: float) -> None:
        """Closes a connection whose last reply the caller has taken."""
        self._output.follow()
        if self._output.progress.may_close(self._received_s, now_s):
            self._output.close()

    def enforce_limits(self, limits: routes.CallerLimits, now_s: float) -> None:
        """Closes the connection if it exceeds a time limit.

        A caller that takes nothing of its replies for `idle_timeout_s`, or
        whose host has vanished, is given up; so is one that takes them too
        slowly while memory is short. A connection without a request
        may be idle for `idle_timeout_s`. A request that has no complete header
        after `header_timeout_s`, or of whose body nothing has come for
        `idle_timeout_s`, is refused with 408.
        """
        self._output.follow()
        is_memory_short = not self._server.budget.has_room(1, 1)
        if self._output.gives_up(limits.idle_timeout_s, is_memory_short, now_s):
            self._give_up()
        if self.closing:
            self._close_if_taken(now_s)
            return
        elapsed_s = now_s - self._phase_started_s
        if self._in_message:
            is_late = elapsed_s > limits.header_timeout_s
            if self._headers_complete:
                is_late = now_s - self._received_s > limits.idle_timeout_s
            if is_late:
                self._refuse(replies.TOO_SLOW)
        elif self.is_idle():
            # The time for which the caller still reads is no idle one.
            elapsed_s = min(
                elapsed_s, now_s - self._output.progress.progressed_s
            )
            if elapsed_s > limits.idle_timeout_s:
                self._close_idle()


class Server:
    """Accepts connections and passes their requests to a handler.

    Public attributes:
      handle: returns the reply to a request.
      limits: returns the current limits of connections.
      connections: the open connections.
      budget: what the connections may hold.
      log: logs an event.
      accepted_count: how many connections it has accepted.
      draining: whether connections are closed after the reply to the last
        request that has arrived.
    """

    def __init__(
        self,
        handle: Handler,
        limits: Callable[[], routes.CallerLimits],
        budget: byte_budget.ByteBudget,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        log: EventLog | None = None,
    ):
        """Creates a server that does not listen yet.

        Args:
          handle: returns the reply to a request.
          limits: returns the current limits of connections.
          budget: what the connections may hold.
          max_connections: with so many open connections, idle ones are closed
            for new ones.
          log: logs an event, a line a second at most; None for a log of its
            own.
        """
        self._max_connections = max_connections
        self.handle = handle
        self.limits = limits
        self.budget = budget
        self.log = log or log_module.KeyedLog(asyncio.get_running_loop().time)
        self.connections: set[CallerConnection] = set()
        self.accepted_count = 0
        self.draining = False

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Starts to accept connections on an address."""
        return await asyncio.get_running_loop().create_server(
            self._new_connection,
            host,
            port,
            backlog=MAX_QUEUED_CONNECTIONS,
            reuse_address=True,
        )

    def _new_connection(self) -> CallerConnection:
        if len(self.connections) >= self._max_connections:
            self._close_longest_idle()
        return CallerConnection(self)

    def _close_longest_idle(self) -> None:
        idle = [
            connection
            for connection in self.connections
            if connection.is_idle()
        ]
        idle.sort(key=lambda connection: connection.received_s)
        closed_count = max(1, int(self._max_connections * CLOSED_AT_ONCE_RATIO))
        for connection in idle[:closed_count]:
            connection.make_room()

    async def stop_listening(self, listening: asyncio.Server) -> None:
        """Accepts the connections that wait in the kernel, then no more.

        After a delay of the loop some may wait. They would be reset.

        Args:
          listening: what `listen` has returned.
        """
        for _ in range(MAX_QUEUED_CONNECTIONS):
            accepted = self.accepted_count
            for _ in range(PASSES_PER_CONNECTION):
                await asyncio.sleep(0)
            if accepted == self.accepted_count:
                break
        listening.close()

    async def enforce_limits(self) -> None:
        """Applies the time limits periodically, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LIMIT_CHECK_INTERVAL_S)
            limits = self.limits()
            for connection in list(self.connections):
                connection.enforce_limits(limits, loop.time())

    def close_idle_connections(self) -> None:
        """Closes the connections that have no request, except new ones.

        Those that have ended and whose callers still read stay open.
        """
        for connection in list(self.connections):
            connection.close_if_idle()

    def waits_only_for_readers(self, min_time_s: float) -> bool:
        """Returns whether all callers have had their answers for some time."""
        return all(
            connection.waits_only_for_reader(min_time_s)
            for connection in self.connections
        )

    def report_untaken(self) -> None:
        """Reports the replies that callers have not taken, as they end."""
        for connection in list(self.connections):
            connection.report_untaken()

    def refuse_incomplete_requests(self, refusal: replies.Refusal) -> None:
        """Refuses requests that callers are still sending, and closes."""
        for connection in list(self.connections):
            connection.refuse_if_incomplete(refusal)
