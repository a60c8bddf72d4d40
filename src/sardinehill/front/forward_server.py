"""Sends requests to upstreams for peers that reach none.

Only one exchange is carried out for each message of a peer. It is sent directly
or not at all, and never forwarded again.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

from sardinehill import events
from sardinehill import http1
from sardinehill.core import exchange_messages
from sardinehill.core import routes
from sardinehill.core import transit_delay
from sardinehill.core.load import upstream_state as state_module
from sardinehill.daemon import boot_clock
from sardinehill.front import answer_signals
from sardinehill.front import front_metrics as metrics_module
from sardinehill.front import peer_links
from sardinehill.front import pool as pool_module
from sardinehill.front import reach_monitor
from sardinehill.front import upstream_directory as directory_module
from sardinehill.platform import http_messages
from sardinehill.wire import envelopes
from sardinehill.wire import exchanges
from sardinehill.wire import message_kinds

# Limits on the exchanges that are under way for all peers together. Another one
# is begun while their requests have less than `MAX_TOTAL_REQUEST_BYTES`.
MAX_IN_FLIGHT = 128
MAX_TOTAL_REQUEST_BYTES = 32 * 1024 * 1024

# A request is sent at the latest so long before its deadline, so that the peer
# learns in time that it was not sent; at most a part of the time it has here.
NOT_SENT_RETURN_MARGIN_S = 0.03
MAX_RETURN_MARGIN_RATIO = 0.25
# Event loops may run a timer early by their clock's resolution.
TIMER_TOLERANCE_S = 0.01

_KINDS = frozenset(
    {
        message_kinds.MessageKind.FORWARDING_STATUS_QUERY,
        message_kinds.MessageKind.EXCHANGE,
        message_kinds.MessageKind.EXCHANGE_CANCEL,
    }
)
_Reason = exchange_messages.NotSentReason


@dataclasses.dataclass(slots=True)
class _Exchange:
    """An exchange for a peer.

    Attributes:
      task: carries it out.
      request_bytes: the length of the request.
    """

    task: asyncio.Task[None]
    request_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class _DirectSend:
    """A peer's request that is to be sent to its upstream.

    Attributes:
      request: the message.
      upstream: the upstream that it names.
      state: the upstream's state.
      pool: the connections to it.
      deadline_s: when the request times out, by the loop's clock.
      latest_send_s: when it may be sent at the latest.
    """

    request: exchange_messages.ExchangeRequest
    upstream: routes.Upstream
    state: state_module.UpstreamState
    pool: pool_module.ConnectionPool
    deadline_s: float
    latest_send_s: float


class _NotSentError(Exception):
    """Raised to answer that a request was not sent."""

    def __init__(self, reason: _Reason, retry_after_s: float = 0.0):
        super().__init__(reason.value)
        self.result = exchange_messages.NotSent(reason, retry_after_s)


@contextlib.contextmanager
def _errors_as_not_sent(
    request: exchange_messages.ExchangeRequest,
) -> Iterator[None]:
    """Makes unexpected errors say that a request was not sent.

    To be used only for what comes before the request is written.
    """
    try:
        yield
    except _NotSentError:
        raise
    except Exception as error:
        events.log_with_traceback(
            events.REQUEST_FAILED_INSIDE,
            error,
            request=request.request_id.decode("latin-1"),
        )
        raise _NotSentError(_Reason.BUSY) from error


class ForwardServer:
    """Carries out exchanges with upstreams for peers."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        reach: reach_monitor.ReachMonitor,
        metrics: metrics_module.FrontMetrics,
        log_request: Callable[..., None],
        zone: str,
    ):
        """Creates a server that carries out nothing yet.

        Args:
          directory: the upstreams.
          reach: whether this daemon reaches the upstreams.
          metrics: counts the results.
          log_request: logs events of requests.
          zone: this daemon's availability zone.
        """
        self._zone = zone
        self._directory = directory
        self._reach = reach
        self._metrics = metrics
        self._log = log_request
        self._signals = answer_signals.AnswerSignals(directory, log_request)
        self._exchanges: dict[peer_links.PeerLink, dict[int, _Exchange]] = {}
        self._delays: dict[peer_links.PeerLink, transit_delay.TransitDelay] = {}
        self._is_stopping = False

    @property
    def in_flight(self) -> int:
        """How many exchanges are carried out now."""
        return sum(len(ongoing) for ongoing in self._exchanges.values())

    def stop(self) -> None:
        """Refuses new requests; those under way go on."""
        self._is_stopping = True

    # messages from peers

    def receive(
        self, link: peer_links.PeerLink, envelope: envelopes.Envelope
    ) -> bool:
        """Handles a message from a peer if it concerns forwarding.

        Returns:
          Whether it was handled.

        Raises:
          PeerFrameError: the message is malformed.
        """
        if envelope.kind not in _KINDS:
            return False
        match envelope.kind:
            case message_kinds.MessageKind.FORWARDING_STATUS_QUERY:
                link.send(
                    message_kinds.MessageKind.FORWARDING_STATUS,
                    exchanges.encode_status(
                        exchange_messages.ForwardingStatus(
                            self._own_refusal(), self._zone
                        )
                    ),
                    envelope.message_id,
                    is_answer=True,
                )
            case message_kinds.MessageKind.EXCHANGE:
                self._begin(
                    link,
                    envelope.message_id,
                    exchanges.decode_request(envelope.payload),
                )
            case message_kinds.MessageKind.EXCHANGE_CANCEL:
                ongoing = self._exchanges.get(link, {})
                if envelope.message_id in ongoing:
                    ongoing[envelope.message_id].task.cancel()
        return True

    def link_lost(self, link: peer_links.PeerLink) -> None:
        """Ends what is carried out for a peer whose link has closed."""
        self._delays.pop(link, None)
        for exchange in self._exchanges.get(link, {}).values():
            exchange.task.cancel()

    def _begin(
        self,
        link: peer_links.PeerLink,
        message_id: int,
        request: exchange_messages.ExchangeRequest,
    ) -> None:
        delay_s = self._delays.setdefault(
            link, transit_delay.TransitDelay()
        ).record(request.written_s, boot_clock.now_s())
        deadline_s = (
            asyncio.get_running_loop().time() + request.remaining_s - delay_s
        )
        ongoing = self._exchanges.setdefault(link, {})
        # Before this exchange is counted itself.
        refusal = self._own_refusal()
        task = asyncio.ensure_future(
            self._serve(link, message_id, request, deadline_s, refusal)
        )
        ongoing[message_id] = _Exchange(task, len(request.data))
        task.add_done_callback(lambda _task: self._end(link, message_id))

    def _end(self, link: peer_links.PeerLink, message_id: int) -> None:
        ongoing = self._exchanges[link]
        del ongoing[message_id]
        if not ongoing:
            del self._exchanges[link]

    def _own_refusal(self) -> _Reason | None:
        """Returns why this daemon sends nothing for peers, if it does not."""
        if self._reach.is_cut_off():
            return _Reason.CUT_OFF
        if self._is_stopping:
            return _Reason.STOPPING
        request_bytes = sum(
            exchange.request_bytes
            for ongoing in self._exchanges.values()
            for exchange in ongoing.values()
        )
        if (
            self.in_flight >= MAX_IN_FLIGHT
            or request_bytes >= MAX_TOTAL_REQUEST_BYTES
        ):
            return _Reason.BUSY
        return None

    # one exchange

    async def _serve(
        self,
        link: peer_links.PeerLink,
        message_id: int,
        request: exchange_messages.ExchangeRequest,
        deadline_s: float,
        refusal: _Reason | None,
    ) -> None:
        """Carries out an exchange and answers the peer."""
        try:
            if refusal is not None:
                raise _NotSentError(refusal)
            result = await self._exchange(request, deadline_s)
        except _NotSentError as error:
            result = error.result
            self._log(
                events.FORWARD_REFUSED,
                request=request.request_id,
                peer=link.peer,
                upstream=request.upstream_id,
                reason=error.result.reason.value,
            )
        except Exception as error:
            # The peer must not wait until the deadline.
            events.log_with_traceback(
                events.REQUEST_FAILED_INSIDE,
                error,
                request=request.request_id.decode("latin-1"),
                peer=link.peer,
            )
            result = exchange_messages.Broken("the peer has failed")
        self._metrics.increment("peer_requests", _label(result))
        # Answers to peers that read slowly must not pile up.
        await link.drain()
        link.send(
            message_kinds.MessageKind.EXCHANGE_RESULT,
            exchanges.encode_result(result),
            message_id,
            is_answer=True,
        )

    async def _exchange(
        self, request: exchange_messages.ExchangeRequest, deadline_s: float
    ) -> exchange_messages.ExchangeResult:
        """Sends a request to its upstream once.

        Raises:
          _NotSentError: no byte of it was sent.
        """
        with _errors_as_not_sent(request):
            send = self._prepare(request, deadline_s)
        send.state.record_forward()
        try:
            while True:
                with _errors_as_not_sent(request):
                    connection = await self._connect(send)
                try:
                    return await self._exchange_over(send, connection)
                except http1.ConnectionFailedError as error:
                    # An idle connection may have ended before the request.
                    if error.written:
                        return self._record_broken(send, connection, error)
        finally:
            send.state.record_forward_end()
            self._directory.wake_next(send.upstream, send.upstream.service)

    def _prepare(
        self, request: exchange_messages.ExchangeRequest, deadline_s: float
    ) -> _DirectSend:
        """Returns how a request is sent.

        Raises:
          _NotSentError: its upstream has left.
        """
        upstream = self._directory.find(
            (request.upstream_id, request.started_at_ms)
        )
        if upstream is None:
            raise _NotSentError(_Reason.LEFT)
        state, pool = self._directory.state_and_pool(upstream)
        latest_send_s = _latest_send_s(deadline_s)
        return _DirectSend(
            request, upstream, state, pool, deadline_s, latest_send_s
        )

    def _check(self, send: _DirectSend) -> None:
        """Raises `_NotSentError` if the request must not be sent now."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= send.latest_send_s:
            raise _NotSentError(_Reason.EXPIRED)
        if self._directory.has_left(send.upstream):
            raise _NotSentError(_Reason.LEFT)
        if send.state.is_refusing(now_s):
            raise _NotSentError(
                _Reason.PAUSED, self._directory.pause_s(send.upstream, now_s)
            )

    async def _connect(self, send: _DirectSend) -> http1.Connection:
        self._check(send)
        timeout_s = send.latest_send_s - asyncio.get_running_loop().time()
        try:
            if send.request.needs_new_connection:
                connection = await send.pool.open(
                    min(timeout_s, pool_module.CONNECT_TIMEOUT_S)
                )
            else:
                connection = await send.pool.acquire(timeout_s)
        except http1.ConnectionFailedError as error:
            raise _NotSentError(self._record_connect_failure(send)) from error
        try:
            self._check(send)
        except _NotSentError:
            send.pool.release(connection)
            raise
        return connection

    def _record_connect_failure(self, send: _DirectSend) -> _Reason:
        """Records that connecting failed; returns what the peer is told."""
        now_s = asyncio.get_running_loop().time()
        # The upstream may have had too little time to accept the connection.
        if now_s >= send.latest_send_s - TIMER_TOLERANCE_S:
            return _Reason.EXPIRED
        # If this daemon may be cut off, too, the failure says nothing of the
        # upstream, and the peer asks another daemon.
        if not self._reach.hears_upstreams():
            return _Reason.CUT_OFF
        send.state.record_unreachable(now_s)
        return _Reason.UNREACHABLE

    async def _exchange_over(
        self, send: _DirectSend, connection: http1.Connection
    ) -> exchange_messages.ExchangeResult:
        """Sends a request over a connection.

        Raises:
          http1.ConnectionFailedError: there is no complete answer.
        """
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        self._reach.note_sent(connection)
        try:
            async with asyncio.timeout_at(send.deadline_s):
                answer = await connection.exchange(
                    send.request.data,
                    lambda head: http_messages.is_answer_to(
                        head, send.request.request_id
                    ),
                    send.request.is_head,
                    lambda head: exchange_messages.MAX_FORWARDED_BYTES,
                )
        except TimeoutError:
            return exchange_messages.Broken("no answer in time")
        finally:
            self._reach.note_done(connection)
        send.pool.release(connection)
        send.state.record_reached()
        self._reach.note_answer(send.upstream.id)
        self._signals.note(
            send.upstream,
            send.state,
            answer,
            send.request.request_id,
            sent_s,
            send.request.service_time_s,
        )
        if len(answer.body) > exchange_messages.MAX_FORWARDED_BYTES:
            return exchange_messages.Broken(
                "the answer is too long", response_started=True
            )
        return exchange_messages.UpstreamAnswer(
            answer.status,
            answer.headers,
            answer.body,
            answer.ends_with_connection,
        )

    def _record_broken(
        self,
        send: _DirectSend,
        connection: http1.Connection,
        error: http1.ConnectionFailedError,
    ) -> exchange_messages.Broken:
        """Records that an exchange failed; returns what the peer is told."""
        now_s = asyncio.get_running_loop().time()
        is_new = connection.exchange_count == 1
        if error.reset and not error.response_started:
            send.state.record_reset(now_s, is_new)
        self._reach.note_broken(send.upstream.id)
        return exchange_messages.Broken(
            str(error), error.response_started, error.reset, is_new
        )


def _latest_send_s(deadline_s: float) -> float:
    """Returns until when a request that has come now may be sent."""
    remaining_s = deadline_s - asyncio.get_running_loop().time()
    return deadline_s - min(
        NOT_SENT_RETURN_MARGIN_S, remaining_s * MAX_RETURN_MARGIN_RATIO
    )


def _label(result: exchange_messages.ExchangeResult) -> str:
    """Returns the label under which a result is counted."""
    match result:
        case exchange_messages.UpstreamAnswer():
            return "answered"
        case exchange_messages.NotSent():
            return result.reason.value
    return "broken"
