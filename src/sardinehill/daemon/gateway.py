"""The one daemon through which an upstream's requests pass.

What is sent when is decided by `core.lane`; this module moves requests
between the lanes, the upstreams and the other daemons.
"""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
import dataclasses
from typing import Any

from sardinehill import errors
from sardinehill.adapters import upstream
from sardinehill.core import fair_queue
from sardinehill.core import fleet
from sardinehill.core import forward_messages
from sardinehill.core import gateway_grants
from sardinehill.core import placement
from sardinehill.core import ramp
from sardinehill.core import upstream_queue
from sardinehill.daemon import fleet_view
from sardinehill.daemon import grant_receiver
from sardinehill.daemon import peer_bus
from sardinehill.wire import forwards
from sardinehill.wire import message_kinds
from sardinehill.wire import queue_handovers

QUEUE_CHECK_INTERVAL_S = 0.02
HEALTH_CHECK_INTERVAL_S = 1.0
CANCEL_RETRY_INTERVAL_S = 0.25
HANDOVER_TIMEOUT_S = 0.5
MIN_RETRY_AFTER_MS = 200
# Covers the time between the news of a new owner and its grant.
MAX_GRANT_WAIT_S = 0.3
# A lost gateway's grant lapses long before this.
TAKEOVER_TIMEOUT_S = 15.0


@dataclasses.dataclass(eq=False)
class _Job:
    """One request at this gateway.

    Attributes:
      request: the request.
      deadline_s: by the loop's clock.
      answer: set exactly once.
      send_count: how often it was sent.
      queued: its place in the queue, while it waits.
    """

    request: forward_messages.ForwardRequest
    deadline_s: float
    answer: asyncio.Future[forward_messages.ForwardAnswer]
    send_count: int = 0
    queued: fair_queue.QueuedRequest["_Job"] | None = None


@dataclasses.dataclass(eq=False)
class _UpstreamChannel:
    """One upstream's lane with what the loop needs around it."""

    name: str
    service: str
    queue: upstream_queue.UpstreamQueue[_Job]
    jobs: dict[str, _Job] = dataclasses.field(default_factory=dict)
    check_timer: asyncio.TimerHandle | None = None


class Gateway:
    """Takes forwarded requests and sends them to their upstreams."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        client: upstream.UpstreamClient,
        bus: peer_bus.PeerBus,
        grant_receiver: grant_receiver.GrantReceiver,
    ) -> None:
        self._view = view
        self._client = client
        self._bus = bus
        self._grant_receiver = grant_receiver
        self._channels: dict[str, _UpstreamChannel] = {}
        self._opening: dict[str, asyncio.Future[_UpstreamChannel]] = {}
        self._previous_gateways: dict[str, str] = {}
        self._handed_over_versions: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing = False
        bus.register(message_kinds.MessageKind.FORWARD, self._handle_forward)
        bus.register(message_kinds.MessageKind.CANCEL, self._handle_cancel)
        bus.register(
            message_kinds.MessageKind.QUEUE_HANDOVER, self._handle_handover
        )
        bus.register(
            message_kinds.MessageKind.QUEUE_LOAD_QUERY, self._handle_report
        )

    async def forward(
        self, request: forward_messages.ForwardRequest
    ) -> forward_messages.ForwardAnswer:
        """Runs a request on the upstream that owns its key or was chosen."""
        name, reason = self._find_upstream(request)
        if reason is not None:
            return _refusal_answer(request, reason)
        deadline_s = _now_s() + request.deadline_ms / 1000
        reason = await self._wait_for_grant(request, name)
        if reason is not None:
            return _refusal_answer(request, reason)
        line = await self._get_or_open_channel(request.service, name)
        if not line.queue.is_open:
            return _refusal_answer(request, errors.Reason.NOT_GATEWAY)
        job = line.jobs.get(request.request_id)
        if job is None:
            answer = asyncio.get_running_loop().create_future()
            job = _Job(request, deadline_s, answer)
            self._enqueue(line, job)
            self._dispatch(line)
        return await asyncio.shield(job.answer)

    def on_object_changed(self, kind: str, name: str) -> None:
        """Follows the view: gives lanes away and stops work taken out."""
        if kind == "assignment":
            self._apply_assignment(name)
        elif kind == "placement":
            self._drain_excluded()

    async def close(self) -> None:
        """Refuses what waits and lets everything in flight end."""
        self._closing = True
        for line in self._channels.values():
            self._refuse_all(line, line.queue.close(errors.Reason.DRAINING))
        in_flight = [
            job.answer
            for line in self._channels.values()
            for job in line.jobs.values()
        ]
        await asyncio.gather(*in_flight)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _find_upstream(
        self, request: forward_messages.ForwardRequest
    ) -> tuple[str, errors.Reason | None]:
        assignment = self._view.assignments.get(request.service)
        config = self._view.config
        service = config.services.get(request.service) if config else None
        if assignment is None or service is None:
            return "", errors.Reason.CONFIGURATION_MISSING
        name: str | None = request.upstream
        if service.divided_by_key:
            name = placement.owner_of(assignment, request.key)
        if not name:
            return "", errors.Reason.UNOWNED
        if self._handed_over_versions.get(name, 0) > assignment.version:
            return "", errors.Reason.NOT_GATEWAY
        host = self._view.upstreams.get(name)
        if host is None:
            return "", errors.Reason.NO_UPSTREAM
        if self._closing or self._view.is_excluded(host):
            return "", errors.Reason.DRAINING
        return name, None

    async def _wait_for_grant(
        self, request: forward_messages.ForwardRequest, name: str
    ) -> errors.Reason | None:
        fence = await self._grant_receiver.wait_for_fencing_token(
            request.service,
            name,
            request.key,
            self._shard_count(request.service),
            min(MAX_GRANT_WAIT_S, request.deadline_ms / 1000),
        )
        if fence is not None:
            return None
        if self._grant_receiver.is_gateway(request.service, name):
            return errors.Reason.FENCED
        return errors.Reason.NOT_GATEWAY

    def _shard_count(self, service: str) -> int:
        return len(self._view.assignments[service].owners)

    async def _get_or_open_channel(
        self, service: str, name: str
    ) -> _UpstreamChannel:
        line = self._channels.get(name)
        # A lane that was given away and has come back begins anew, once
        # what it still had in flight has ended.
        if line is not None and (line.queue.is_open or line.jobs):
            return line
        opening = self._opening.get(name)
        if opening is None:
            opening = asyncio.ensure_future(self._open_channel(service, name))
            self._opening[name] = opening
            opening.add_done_callback(
                lambda done: self._opening.pop(name, None)
            )
        return await asyncio.shield(opening)

    async def _open_channel(self, service: str, name: str) -> _UpstreamChannel:
        now_s = _now_s()
        handover = await self._ask_for_handover(service, name)
        config = self._view.config
        assert config is not None
        opened: upstream_queue.UpstreamQueue[_Job] = (
            upstream_queue.UpstreamQueue(
                config.services[service], now_s, handover
            )
        )
        line = self._channels[name] = _UpstreamChannel(name, service, opened)
        self._spawn(self._watch_health(line))
        return line

    async def _ask_for_handover(
        self, service: str, name: str
    ) -> ramp.Handover | None:
        before = self._previous_gateways.get(name, "")
        if not before or before == self._view.settings.name:
            return None
        version = self._view.assignments[service].version
        try:
            answer = await self._bus.ask(
                before,
                message_kinds.MessageKind.QUEUE_HANDOVER,
                queue_handovers.encode_handover_query(name, version),
                HANDOVER_TIMEOUT_S,
            )
            return queue_handovers.decode_handover(answer)
        except errors.PeerError:
            return None

    def _enqueue(self, line: _UpstreamChannel, job: _Job) -> None:
        request = job.request
        line.jobs[request.request_id] = job
        config = self._view.config
        account = config.accounts.get(request.account) if config else None
        job.queued, refused = line.queue.push(
            request.account,
            account.weight if account else 1.0,
            job,
            job.deadline_s,
            _now_s(),
        )
        self._refuse_all(line, refused)

    def _dispatch(self, line: _UpstreamChannel) -> None:
        """Sends everything that the lane lets go now."""
        while True:
            job, refused = line.queue.pop(_now_s())
            self._refuse_all(line, refused)
            if job is None:
                break
            job.queued = None
            job.send_count += 1
            line.queue.record_send(
                job.request.request_id, _now_s(), job.deadline_s
            )
            self._spawn(self._send(line, job))
        if line.queue.queued_requests() and line.check_timer is None:
            # Deadlines and pauses end without any answer arriving.
            line.check_timer = asyncio.get_running_loop().call_later(
                QUEUE_CHECK_INTERVAL_S, self._check_queue, line
            )

    def _check_queue(self, line: _UpstreamChannel) -> None:
        line.check_timer = None
        self._dispatch(line)

    async def _send(self, line: _UpstreamChannel, job: _Job) -> None:
        request = job.request
        host = self._view.upstreams.get(line.name)
        fence = self._grant_receiver.fencing_token(
            line.service,
            line.name,
            request.key,
            self._shard_count(line.service),
        )
        left_s = job.deadline_s - _now_s()
        if host is None or fence is None or left_s <= 0:
            line.queue.record_orphan_end(request.request_id)
            self._complete(line, job, _not_sent_answer(request, host, fence))
            self._dispatch(line)
            return
        try:
            async with self._grant_receiver.track_request(
                line.service, line.name, fence.shard, request.key
            ):
                outcome = await self._client.send(
                    host, request, _fence_headers(fence), left_s
                )
        except BaseException:
            # Only the end of the daemon or a fault of its own leads here.
            line.queue.record_result(
                request.request_id,
                _now_s(),
                upstream_queue.SendDisposition.LOST,
                "",
            )
            self._complete(line, job, _internal_error_answer(request))
            raise
        line.queue.record_result(
            request.request_id,
            _now_s(),
            outcome.disposition,
            outcome.incarnation,
        )
        if outcome.disposition in (
            upstream_queue.SendDisposition.LOST,
            upstream_queue.SendDisposition.TIMED_OUT,
        ):
            self._spawn(self._cancel_orphan(line, request.request_id))
        if line.queue.is_open and upstream_queue.may_requeue(
            outcome, job.send_count
        ):
            self._enqueue(line, job)
        else:
            self._complete(line, job, outcome.answer)
        self._dispatch(line)

    async def _cancel_orphan(
        self, line: _UpstreamChannel, request_id: str
    ) -> None:
        """Asks until the upstream says that a request has ended."""
        while request_id in line.queue.orphan_ids(_now_s()):
            host = self._view.upstreams.get(line.name)
            if host is None:
                return
            state = await self._client.cancel(host, request_id)
            if state is upstream.CancelState.RUNNING:
                line.queue.record_orphan_cancel(request_id, _now_s())
            elif state is not None:
                line.queue.record_orphan_end(request_id)
                self._dispatch(line)
                return
            await asyncio.sleep(CANCEL_RETRY_INTERVAL_S)
        self._dispatch(line)

    async def _watch_health(self, line: _UpstreamChannel) -> None:
        while line.queue.is_open:
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)
            host = self._view.upstreams.get(line.name)
            if host is None:
                continue
            report = await self._client.health(host)
            stale = report.get("incarnation") != line.queue.ramp.incarnation
            if report.get("state") == "cold" and not stale:
                line.queue.ramp.record_cold_report(_now_s())

    def _apply_assignment(self, service: str) -> None:
        assignment = self._view.assignments[service]
        own_name = self._view.settings.name
        for name, line in self._channels.items():
            moved = assignment.gateways.get(name) != own_name
            if line.service == service and moved and line.queue.is_open:
                closed = line.queue.close(errors.Reason.NOT_GATEWAY)
                self._refuse_all(line, closed)
        for name, daemon in assignment.gateways.items():
            if daemon != own_name:
                self._previous_gateways[name] = daemon
            elif self._view.config is not None and not self._closing:
                # Taken over before the first request asks for it, so that
                # the wait for a lost gateway's requests begins early.
                self._spawn(self._take_over(service, name))

    async def _take_over(self, service: str, name: str) -> None:
        fence = await self._grant_receiver.wait_for_fencing_token(
            service, name, "", 1, TAKEOVER_TIMEOUT_S
        )
        if fence is not None and service in self._view.assignments:
            await self._get_or_open_channel(service, name)

    def _drain_excluded(self) -> None:
        for line in self._channels.values():
            host = self._view.upstreams.get(line.name)
            if host is None or self._view.is_excluded(host):
                self._refuse_all(line, line.queue.drain(errors.Reason.DRAINING))

    def _refuse_all(
        self,
        line: _UpstreamChannel,
        refused: Iterable[fair_queue.RefusedRequest[_Job]],
    ) -> None:
        for one in refused:
            retry_after_ms = max(
                MIN_RETRY_AFTER_MS, int(one.retry_after_s * 1000)
            )
            answer = forward_messages.refusal_answer(
                one.item.request.request_id,
                one.reason,
                one.verdict,
                retry_after_ms=retry_after_ms,
            )
            self._complete(line, one.item, answer)

    def _complete(
        self,
        line: _UpstreamChannel,
        job: _Job,
        answer: forward_messages.ForwardAnswer,
    ) -> None:
        line.jobs.pop(job.request.request_id, None)
        if not job.answer.done():
            job.answer.set_result(
                dataclasses.replace(answer, load=_load_of(line))
            )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_forward(self, sender: str, payload: bytes) -> bytes:
        request = forwards.decode_request(payload)
        return forwards.encode_answer(await self.forward(request))

    async def _handle_cancel(self, sender: str, payload: bytes) -> None:
        """Ends a request that no caller waits for any more."""
        request_id = payload.decode(errors="replace")
        for line in self._channels.values():
            job = line.jobs.get(request_id)
            if job is None:
                continue
            if job.queued is not None and line.queue.remove(job.queued):
                self._complete(line, job, _cancelled_answer(job.request))
                return
            host = self._view.upstreams.get(line.name)
            if host is not None:
                await self._client.cancel(host, request_id)
            return

    async def _handle_handover(self, sender: str, payload: bytes) -> bytes:
        """Stops sending to an upstream and says what is known of it."""
        name, version = queue_handovers.decode_handover_query(payload)
        known = self._handed_over_versions.get(name, 0)
        self._handed_over_versions[name] = max(known, version)
        line = self._channels.get(name)
        if line is None:
            return queue_handovers.encode_handover(None)
        self._refuse_all(line, line.queue.close(errors.Reason.NOT_GATEWAY))
        return queue_handovers.encode_handover(
            line.queue.make_handover(_now_s())
        )

    async def _handle_report(self, sender: str, payload: bytes) -> bytes:
        """Says how much waits at an upstream, without touching it."""
        line = self._channels.get(payload.decode(errors="replace"))
        load = (
            forward_messages.UpstreamQueueLoad()
            if line is None
            else _load_of(line)
        )
        answer = forward_messages.ForwardAnswer(
            "", errors.Verdict.NOT_RUN, load=load
        )
        return forwards.encode_answer(answer)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _load_of(line: _UpstreamChannel) -> forward_messages.UpstreamQueueLoad:
    now_s = _now_s()
    return forward_messages.UpstreamQueueLoad(
        line.queue.pending_requests(now_s),
        line.queue.latency_s(now_s),
        line.queue.allowed_in_flight(now_s),
    )


def _fence_headers(fence: gateway_grants.FencingToken) -> dict[str, str]:
    headers = {
        "Sardinehill-Term": str(fence.term),
        "Sardinehill-Sequence": str(fence.sequence),
    }
    if fence.shard >= 0:
        headers["Sardinehill-Shard"] = str(fence.shard)
    return headers


def _refusal_answer(
    request: forward_messages.ForwardRequest, reason: errors.Reason
) -> forward_messages.ForwardAnswer:
    return forward_messages.refusal_answer(
        request.request_id,
        reason,
        errors.Verdict.NOT_RUN,
        retry_after_ms=MIN_RETRY_AFTER_MS,
    )


def _not_sent_answer(
    request: forward_messages.ForwardRequest,
    host: fleet.UpstreamHost | None,
    fence: gateway_grants.FencingToken | None,
) -> forward_messages.ForwardAnswer:
    if host is None:
        return _refusal_answer(request, errors.Reason.NO_UPSTREAM)
    if fence is None:
        return _refusal_answer(request, errors.Reason.FENCED)
    return _refusal_answer(request, errors.Reason.DEADLINE_PASSED)


def _cancelled_answer(
    request: forward_messages.ForwardRequest,
) -> forward_messages.ForwardAnswer:
    return _refusal_answer(request, errors.Reason.CANCELLED)


def _internal_error_answer(
    request: forward_messages.ForwardRequest,
) -> forward_messages.ForwardAnswer:
    return forward_messages.refusal_answer(
        request.request_id,
        errors.Reason.INTERNAL,
        errors.Verdict.MAY_HAVE_RUN,
    )
