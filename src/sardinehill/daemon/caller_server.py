"""Serves callers' requests over HTTP.

A request is sent on only after these checks, in this order: the caller is
authenticated and authorized, the request is complete, and the account is within
its rate.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
import time
import traceback
from typing import Any
import uuid

import aiohttp
from aiohttp import web

from sardinehill import errors
from sardinehill import events
from sardinehill import metrics
from sardinehill.adapters import callers
from sardinehill.core import deduplication
from sardinehill.core import fleet
from sardinehill.core import forward_messages
from sardinehill.core import placement
from sardinehill.core import request_verdict
from sardinehill.core import retries
from sardinehill.core import token_lending
from sardinehill.daemon import account_admission
from sardinehill.daemon import deduplicator
from sardinehill.daemon import fleet_view
from sardinehill.daemon import lingering
from sardinehill.daemon import peer_bus
from sardinehill.wire import forwards
from sardinehill.wire import message_kinds

# How long after the deadline a daemon still waits for an answer, because one
# that is in transit at the deadline is still useful.
ANSWER_GRACE_S = 0.25
# Limit on the total size of all request bodies in one daemon.
MAX_BUFFERED_BODIES_BYTES = 64 * 1024 * 1024
# How long a stopping daemon reports that it isn't ready before it stops
# accepting connections.
SHUTDOWN_NOTICE_S = 1.0
# How long a stopping daemon waits for requests in flight.
SHUTDOWN_TIMEOUT_S = 130.0
# How long a stopping daemon waits for callers that still read the last answers.
MAX_LINGERING_AT_STOP_S = 5.0
# How long a connection may stay open without a complete request header.
HEADER_TIMEOUT_S = 10.0
# How long a connection may stay idle between two requests.
KEEPALIVE_TIMEOUT_S = 75.0
# The metrics label of requests that match no route.
UNMATCHED_SERVICE = "none"

SendUndivided = Callable[
    [forward_messages.ForwardRequest, float],
    Awaitable[forward_messages.ForwardAnswer],
]


@dataclasses.dataclass
class _RequestState:
    """The state of one caller's request.

    Attributes:
      request_id: the id that identifies the request on every hop and in the
        answer.
      arrived_s: the loop time at which the request arrived.
      deadline_s: the loop time by which it must be answered.
      service: the service's name, once it is known.
      buffered_bytes: the bytes of its body that are counted against the
        daemon's limit.
    """

    request_id: str
    arrived_s: float
    deadline_s: float
    service: str = UNMATCHED_SERVICE
    buffered_bytes: int = 0


class _HeaderTimeoutServer(web.Server):
    """A server that closes connections without a complete header in time.

    aiohttp limits the time between two requests on a connection, but not the
    time until the first one.

    Attributes:
      lingering: connections that have ended and whose callers still read.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._awaiting_header: set[asyncio.BaseProtocol] = set()
        self.lingering: set[lingering.LingeringProtocol] = set()

    def __call__(self) -> lingering.LingeringProtocol:  # type: ignore[override]
        """Returns the protocol of a new connection."""
        handler = super().__call__()
        self._awaiting_header.add(handler)
        loop = asyncio.get_running_loop()
        loop.call_later(HEADER_TIMEOUT_S, self._close_without_header, handler)
        return lingering.LingeringProtocol(handler, self.lingering)

    def record_header(self, handler: asyncio.BaseProtocol) -> None:
        """Records that a connection has sent a complete header."""
        self._awaiting_header.discard(handler)

    def _close_without_header(self, handler: web.RequestHandler) -> None:
        if handler not in self._awaiting_header:
            return
        self._awaiting_header.discard(handler)
        if handler.transport is not None:
            handler.transport.abort()


class CallerServer:
    """Accepts callers' requests and sends them to gateways."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        bus: peer_bus.PeerBus,
        admission: account_admission.AccountAdmission,
        send_undivided: SendUndivided | None = None,
        counters: metrics.Metrics | None = None,
        seed: int | None = None,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
          view: the daemon's view of the fleet.
          bus: carries requests to gateways.
          admission: authenticates and admits callers.
          send_undivided: sends a request of a service that is not divided by
            key, with the seconds that are left for it.
          counters: counts refusals, retries and answers.
          seed: makes the random retry backoff reproducible.
        """
        self._view = view
        self._bus = bus
        self._admission = admission
        self._counters = counters or metrics.Metrics()
        self._send_undivided = send_undivided
        self._rng = random.Random(seed)
        self._policy = retries.RetryPolicy()
        self._budgets: dict[str, retries.RetryBudget] = {}
        self._runner: web.ServerRunner | None = None
        self._server: _HeaderTimeoutServer | None = None
        self._in_flight = 0
        self._buffered_bytes = 0
        self._request_ended = asyncio.Event()
        self._is_stopping = False

    async def listen(self, address: fleet.Address) -> fleet.Address:
        """Starts to accept callers and returns the bound address."""
        limit_bytes = self._view.settings.header_limit_bytes
        self._server = _HeaderTimeoutServer(
            self._serve,
            max_line_size=limit_bytes,
            max_field_size=limit_bytes,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            access_log=None,
        )
        self._runner = web.ServerRunner(self._server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, address.ip, address.port)
        await site.start()
        ip, port = self._runner.addresses[0][:2]
        return fleet.Address(ip, port)

    async def close(self) -> None:
        """Reports not ready, completes requests in flight and stops."""
        self._is_stopping = True
        if self._runner is None:
            return
        # Requests are still served until the load balancer has had time to see
        # this. Closing the socket at once would reject requests that it has
        # already sent here.
        await asyncio.sleep(SHUTDOWN_NOTICE_S)
        for site in list(self._runner.sites):
            await site.stop()
        try:
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                while self._in_flight:
                    self._request_ended.clear()
                    await self._request_ended.wait()
        except TimeoutError:
            events.log(events.STOP_CUT_SHORT, in_flight=self._in_flight)
        await self._runner.cleanup()
        await self._wait_for_lingering()

    async def _wait_for_lingering(self) -> None:
        """Waits until callers have taken the last answers, within a limit."""
        assert self._server is not None
        loop = asyncio.get_running_loop()
        end_s = loop.time() + MAX_LINGERING_AT_STOP_S
        while self._server.lingering and loop.time() < end_s:  # noqa: ASYNC110
            await asyncio.sleep(lingering.CHECK_INTERVAL_S)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._server is not None:
            self._server.record_header(request.protocol)
        if request.path == callers.READY_PATH:
            return self._ready()
        now_s = _now_s()
        state = _RequestState(
            str(uuid.uuid4()), now_s, now_s + callers.MAX_DEADLINE_MS / 1000
        )
        self._in_flight += 1
        try:
            answer = await self._answer(request, state)
        finally:
            self._in_flight -= 1
            self._buffered_bytes -= state.buffered_bytes
            self._request_ended.set()
        latency_s = _now_s() - state.arrived_s
        self._counters.count_request(state.service, answer.verdict, latency_s)
        if answer.reason is not None:
            self._counters.count_refusal(answer.reason)
            self._log_refusal(state, request.method, answer)
        # The rest of an unread body would be parsed as the next request.
        close = self._is_stopping or not request.content.is_eof()
        return callers.build_response(answer, close)

    def _log_refusal(
        self,
        state: _RequestState,
        method: str,
        answer: forward_messages.ForwardAnswer,
    ) -> None:
        may_have_run = answer.verdict is errors.Verdict.MAY_HAVE_RUN
        event = events.REQUEST_REFUSED
        if may_have_run and not retries.is_idempotent(method):
            event = events.REQUEST_UNCERTAIN
        events.log(
            event,
            request_id=state.request_id,
            service=state.service,
            reason=answer.reason.value if answer.reason else "",
            verdict=answer.verdict.value,
        )

    def _ready(self) -> web.Response:
        return web.Response(status=200 if self.is_ready() else 503)

    def is_ready(self) -> bool:
        """Returns whether the load balancer should send callers here."""
        if self._view.config is None or self._is_stopping:
            return False
        return self._admission.has_fresh_keys()

    async def _answer(
        self, request: web.BaseRequest, state: _RequestState
    ) -> forward_messages.ForwardAnswer:
        try:
            forward = await self._admit(request, state)
            return await self._send_with_retries(forward, state)
        except errors.RequestRefusedError as error:
            return _refusal_answer(state, error)
        except Exception:
            # It isn't known where the error occurred, so the request may have
            # run.
            events.log(
                events.REQUEST_FAILED_INSIDE,
                request_id=state.request_id,
                traceback=traceback.format_exc(),
            )
            return forward_messages.refusal_answer(
                state.request_id,
                errors.Reason.INTERNAL,
                errors.Verdict.MAY_HAVE_RUN,
            )

    async def _admit(
        self, request: web.BaseRequest, state: _RequestState
    ) -> forward_messages.ForwardRequest:
        config = self._view.config
        if config is None:
            raise _refusal(errors.Reason.CONFIGURATION_MISSING)
        caller_request = callers.parse_request(
            request.raw_path, request.headers
        )
        caller = self._admission.authenticate(caller_request.account_key)
        account = config.accounts.get(caller.account)
        if account is None:
            raise _refusal(errors.Reason.ACCOUNT_KEY_UNKNOWN)
        route = _match_route(config, caller_request.path)
        if not route.open_to_all_callers and account.name not in route.accounts:
            raise _refusal(errors.Reason.ROUTE_FORBIDDEN)
        service = config.services[route.service]
        state.service = service.name
        _check_request(service, caller_request)
        deadline_ms = caller_request.deadline_ms
        if deadline_ms is None:
            deadline_ms = service.default_deadline_ms
        state.deadline_s = state.arrived_s + deadline_ms / 1000
        body = await self._read_body(request, state)
        await self._admission.admit(account, state.deadline_s)
        # The key may have been revoked while the body was being received.
        self._admission.authenticate(caller_request.account_key)
        return forward_messages.ForwardRequest(
            request_id=state.request_id,
            service=service.name,
            key=caller_request.key if service.divided_by_key else "",
            account=account.name,
            method=request.method,
            path=caller_request.target,
            headers=caller_request.headers,
            body=body,
            deadline_ms=deadline_ms,
            upstream="",
            assignment_version=0,
            idempotency_key=caller_request.idempotency_key,
        )

    async def _read_body(
        self, request: web.BaseRequest, state: _RequestState
    ) -> bytes:
        limit_bytes = self._view.settings.body_limit_bytes
        if (request.content_length or 0) > limit_bytes:
            raise _refusal(errors.Reason.BODY_TOO_LARGE)
        chunks: list[bytes] = []
        try:
            async with asyncio.timeout_at(state.deadline_s):
                async for chunk in request.content.iter_any():
                    chunks.append(chunk)
                    self._count_body_bytes(state, len(chunk), limit_bytes)
        except TimeoutError:
            raise _refusal(errors.Reason.DEADLINE_PASSED) from None
        except (aiohttp.ClientError, aiohttp.http.HttpProcessingError, OSError):
            raise _refusal(errors.Reason.BODY_CUT_SHORT) from None
        return b"".join(chunks)

    def _count_body_bytes(
        self, state: _RequestState, size_bytes: int, limit_bytes: int
    ) -> None:
        state.buffered_bytes += size_bytes
        self._buffered_bytes += size_bytes
        if state.buffered_bytes > limit_bytes:
            raise _refusal(errors.Reason.BODY_TOO_LARGE)
        if self._buffered_bytes > MAX_BUFFERED_BODIES_BYTES:
            raise _refusal(errors.Reason.OVER_LIMIT)

    async def _send_with_retries(
        self, forward: forward_messages.ForwardRequest, state: _RequestState
    ) -> forward_messages.ForwardAnswer:
        budget = self._budgets.setdefault(
            forward.service, retries.RetryBudget()
        )
        budget.record_request()
        verdict = request_verdict.RequestVerdict()
        attempts = routing_attempts = 0
        while True:
            left_s = state.deadline_s - _now_s()
            if left_s <= 0:
                raise errors.RequestRefusedError(
                    errors.Reason.DEADLINE_PASSED, verdict.value
                )
            left_ms = max(1, int(left_s * 1000))
            answer = await self._attempt(
                dataclasses.replace(forward, deadline_ms=left_ms), left_s
            )
            if answer.reason is None:
                return answer
            verdict.record(answer.verdict)
            if (
                retries.failure_kind(answer.reason)
                is retries.FailureKind.ROUTING
            ):
                routing_attempts += 1
            else:
                attempts += 1
            decision = retries.decide(
                retries.FailedAttempt(
                    answer.verdict,
                    answer.reason,
                    forward.method,
                    attempts,
                    routing_attempts,
                    _now_s(),
                    state.deadline_s,
                ),
                self._policy,
                budget,
                self._rng,
            )
            if not decision.retry:
                return dataclasses.replace(
                    answer, reason=decision.reason, verdict=verdict.value
                )
            self._counters.count_retry(answer.reason)
            await asyncio.sleep(decision.wait_s)

    async def send_undivided(
        self, forward: forward_messages.ForwardRequest
    ) -> forward_messages.ForwardAnswer:
        """Sends a request of a service that is not divided by key, once."""
        left_s = forward.deadline_ms / 1000
        send = self._send_undivided or self._ask_gateway
        return await _as_answer(forward, send(forward, left_s))

    async def _attempt(
        self, forward: forward_messages.ForwardRequest, left_s: float
    ) -> forward_messages.ForwardAnswer:
        """Sends a request once; a failure is returned as an answer."""
        if self._is_divided(forward.service):
            return await _as_answer(forward, self._ask_gateway(forward, left_s))
        if deduplicator.needs_deduplication(forward):
            return await _as_answer(
                forward, self._ask_scope_owner(forward, left_s)
            )
        return await self.send_undivided(forward)

    async def _ask_gateway(
        self, forward: forward_messages.ForwardRequest, left_s: float
    ) -> forward_messages.ForwardAnswer:
        assignment = self._view.assignments.get(forward.service)
        if assignment is None:
            raise _refusal(errors.Reason.UNOWNED)
        owner = placement.owner_of(assignment, forward.key)
        if owner is None:
            raise _refusal(errors.Reason.UNOWNED)
        gateway = assignment.gateways.get(owner)
        if gateway is None:
            raise _refusal(errors.Reason.GATEWAY_UNKNOWN)
        sent = dataclasses.replace(
            forward, upstream=owner, assignment_version=assignment.version
        )
        return await self._ask_daemon(gateway, sent, left_s)

    async def _ask_scope_owner(
        self, forward: forward_messages.ForwardRequest, left_s: float
    ) -> forward_messages.ForwardAnswer:
        """Sends a request to the daemon that owns its deduplication scope."""
        identity = deduplication.RequestIdentity(
            forward.account, forward.idempotency_key
        )
        scope = deduplication.undivided_scope(forward.service, identity)
        scope_owner = token_lending.holder_of(scope, self._admission.members())
        if scope_owner is None:
            raise _refusal(errors.Reason.GATEWAY_UNKNOWN)
        sent = dataclasses.replace(forward, key="", upstream="")
        return await self._ask_daemon(scope_owner, sent, left_s)

    async def _ask_daemon(
        self,
        daemon: str,
        forward: forward_messages.ForwardRequest,
        left_s: float,
    ) -> forward_messages.ForwardAnswer:
        payload = await self._bus.ask(
            daemon,
            message_kinds.MessageKind.FORWARD,
            forwards.encode_request(forward),
            left_s + ANSWER_GRACE_S,
        )
        answer = forwards.decode_answer(payload)
        if answer.request_id != forward.request_id:
            # This answers another request, so the outcome of this one is
            # unknown.
            raise errors.PeerLostError("the answer has another request's id")
        return answer

    def _is_divided(self, service: str) -> bool:
        config = self._view.config
        found = config.services.get(service) if config else None
        return found is None or found.divided_by_key


def _check_request(
    service: fleet.ServiceConfig, caller_request: callers.CallerRequest
) -> None:
    if service.divided_by_key and not caller_request.key:
        raise _refusal(errors.Reason.KEY_MISSING)
    if deduplication.is_created_in_future(
        caller_request.idempotency_key, time.time()
    ):
        raise errors.RequestRefusedError(
            errors.Reason.MALFORMED,
            errors.Verdict.NOT_RUN,
            "the Idempotency-Key's time lies more than"
            f" {deduplication.MAX_ID_LEAD_S:g} s ahead of this daemon's clock",
        )


def _refusal(reason: errors.Reason) -> errors.RequestRefusedError:
    return errors.RequestRefusedError(reason, errors.Verdict.NOT_RUN)


def _refusal_answer(
    state: _RequestState, error: errors.RequestRefusedError
) -> forward_messages.ForwardAnswer:
    return forward_messages.refusal_answer(
        state.request_id,
        error.reason,
        error.verdict,
        error.detail,
        int((error.retry_after_s or 0.0) * 1000),
    )


async def _as_answer(
    forward: forward_messages.ForwardRequest,
    pending_answer: Awaitable[forward_messages.ForwardAnswer],
) -> forward_messages.ForwardAnswer:
    try:
        return await pending_answer
    except errors.RequestRefusedError as error:
        return forward_messages.refusal_answer(
            forward.request_id, error.reason, error.verdict, error.detail
        )
    except errors.PeerNotSentError:
        verdict = errors.Verdict.NOT_RUN
    except errors.PeerError:
        verdict = errors.Verdict.MAY_HAVE_RUN
    return forward_messages.refusal_answer(
        forward.request_id, errors.Reason.GATEWAY_LOST, verdict
    )


def _match_route(config: fleet.FleetConfig, path: str) -> fleet.RouteConfig:
    matching = [
        route
        for route in config.routes.values()
        if path.startswith(route.path_prefix)
    ]
    if not matching:
        raise _refusal(errors.Reason.SERVICE_UNKNOWN)
    return max(matching, key=lambda route: len(route.path_prefix))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
