"""Sends requests to the upstreams that this daemon is the gateway of.

All requests to an upstream pass through its gateway. `core.upstream_queue`
decides when each request is sent. This module moves requests between the
queues, the upstreams and other daemons.
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

# How often a queue with waiting requests is checked for expired deadlines and
# ended pauses.
QUEUE_CHECK_INTERVAL_S = 0.02
HEALTH_CHECK_INTERVAL_S = 1.0
CANCEL_RETRY_INTERVAL_S = 0.25
# How long a new gateway waits for the previous one to hand over a queue.
HANDOVER_TIMEOUT_S = 0.5
MIN_RETRY_AFTER_MS = 200
# How long a request waits for the grant, which may arrive after the assignment.
MAX_GRANT_WAIT_S = 0.3
# How long a new gateway waits for its grant when it takes over an upstream. The
# grant of a lost gateway expires long before this.
TAKEOVER_TIMEOUT_S = 15.0


@dataclasses.dataclass(eq=False)
class _Job:
    """One request at this gateway.

    Attributes:
      request: the request.
      deadline_s: the loop time by which it must be answered.
      answer: the future answer, which is set exactly once.
      send_count: how often the request was sent.
      queued: its entry in the queue while it waits there.
    """

    request: forward_messages.ForwardRequest
    deadline_s: float
    answer: asyncio.Future[forward_messages.ForwardAnswer]
    send_count: int = 0
    queued: fair_queue.QueuedRequest["_Job"] | None = None


@dataclasses.dataclass(eq=False)
class _UpstreamChannel:
    """One upstream's queue and the state that is needed to process it.

    Attributes:
      name: the upstream's name.
      service: the service's name.
      queue: decides which request is sent next, and when.
      jobs: the requests that have not been answered, by request id.
      check_timer: the timer of the next queue check, if one is due.
    """

    name: str
    service: str
    queue: upstream_queue.UpstreamQueue[_Job]
    jobs: dict[str, _Job] = dataclasses.field(default_factory=dict)
    check_timer: asyncio.TimerHandle | None = None


class Gateway:
    """Queues forwarded requests and sends them to their upstreams."""

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
            message_kinds.MessageKind.QUEUE_LOAD_QUERY, self._handle_load_query
        )

    async def forward(
        self, request: forward_messages.ForwardRequest
    ) -> forward_messages.ForwardAnswer:
        """Runs a request on the upstream that owns its key or was selected."""
        name, reason = self._find_upstream(request)
        if reason is not None:
            return _refusal_answer(request, reason)
        deadline_s = _now_s() + request.deadline_ms / 1000
        reason = await self._wait_for_grant(request, name)
        if reason is not None:
            return _refusal_answer(request, reason)
        channel = await self._get_or_open_channel(request.service, name)
        if not channel.queue.is_open:
            return _refusal_answer(request, errors.Reason.NOT_GATEWAY)
        job = channel.jobs.get(request.request_id)
        if job is None:
            answer = asyncio.get_running_loop().create_future()
            job = _Job(request, deadline_s, answer)
            self._enqueue(channel, job)
            self._dispatch(channel)
        return await asyncio.shield(job.answer)

    def on_object_changed(self, kind: str, name: str) -> None:
        """Applies changed assignments and exclusions to the queues."""
        if kind == "assignment":
            self._apply_assignment(name)
        elif kind == "placement":
            self._drain_excluded()

    async def close(self) -> None:
        """Refuses queued requests and waits for those in flight."""
        self._closing = True
        for channel in self._channels.values():
            self._refuse_all(
                channel, channel.queue.close(errors.Reason.DRAINING)
            )
        in_flight = [
            job.answer
            for channel in self._channels.values()
            for job in channel.jobs.values()
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
        token = await self._grant_receiver.wait_for_fencing_token(
            request.service,
            name,
            request.key,
            self._shard_count(request.service),
            min(MAX_GRANT_WAIT_S, request.deadline_ms / 1000),
        )
        if token is not None:
            return None
        if self._grant_receiver.is_gateway(request.service, name):
            return errors.Reason.FENCED
        return errors.Reason.NOT_GATEWAY

    def _shard_count(self, service: str) -> int:
        return len(self._view.assignments[service].owners)

    async def _get_or_open_channel(
        self, service: str, name: str
    ) -> _UpstreamChannel:
        channel = self._channels.get(name)
        # A closed channel whose upstream has returned to this gateway is
        # replaced by a new one once its requests in flight have ended.
        if channel is not None and (channel.queue.is_open or channel.jobs):
            return channel
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
        queue: upstream_queue.UpstreamQueue[_Job] = (
            upstream_queue.UpstreamQueue(
                config.services[service], now_s, handover
            )
        )
        channel = self._channels[name] = _UpstreamChannel(name, service, queue)
        self._spawn(self._watch_health(channel))
        return channel

    async def _ask_for_handover(
        self, service: str, name: str
    ) -> ramp.Handover | None:
        previous = self._previous_gateways.get(name, "")
        if not previous or previous == self._view.settings.name:
            return None
        version = self._view.assignments[service].version
        try:
            answer = await self._bus.ask(
                previous,
                message_kinds.MessageKind.QUEUE_HANDOVER,
                queue_handovers.encode_handover_query(name, version),
                HANDOVER_TIMEOUT_S,
            )
            return queue_handovers.decode_handover(answer)
        except errors.PeerError:
            return None

    def _enqueue(self, channel: _UpstreamChannel, job: _Job) -> None:
        request = job.request
        channel.jobs[request.request_id] = job
        config = self._view.config
        account = config.accounts.get(request.account) if config else None
        job.queued, refused = channel.queue.push(
            request.account,
            account.weight if account else 1.0,
            job,
            job.deadline_s,
            _now_s(),
        )
        self._refuse_all(channel, refused)

    def _dispatch(self, channel: _UpstreamChannel) -> None:
        """Sends all requests that the queue releases now."""
        while True:
            job, refused = channel.queue.pop(_now_s())
            self._refuse_all(channel, refused)
            if job is None:
                break
            job.queued = None
            job.send_count += 1
            channel.queue.record_send(
                job.request.request_id, _now_s(), job.deadline_s
            )
            self._spawn(self._send(channel, job))
        if channel.queue.queued_requests() and channel.check_timer is None:
            # Deadlines and pauses can end without an answer that would trigger
            # the next check.
            channel.check_timer = asyncio.get_running_loop().call_later(
                QUEUE_CHECK_INTERVAL_S, self._check_queue, channel
            )

    def _check_queue(self, channel: _UpstreamChannel) -> None:
        channel.check_timer = None
        self._dispatch(channel)

    async def _send(self, channel: _UpstreamChannel, job: _Job) -> None:
        request = job.request
        host = self._view.upstreams.get(channel.name)
        token = self._grant_receiver.fencing_token(
            channel.service,
            channel.name,
            request.key,
            self._shard_count(channel.service),
        )
        left_s = job.deadline_s - _now_s()
        if host is None or token is None or left_s <= 0:
            channel.queue.record_orphan_end(request.request_id)
            self._complete(channel, job, _not_sent_answer(request, host, token))
            self._dispatch(channel)
            return
        try:
            async with self._grant_receiver.track_request(
                channel.service, channel.name, token.shard, request.key
            ):
                result = await self._client.send(
                    host, request, _fencing_headers(token), left_s
                )
        except BaseException:
            # This only happens when the daemon stops or has an internal error.
            channel.queue.record_result(
                request.request_id,
                _now_s(),
                upstream_queue.SendDisposition.LOST,
                "",
            )
            self._complete(channel, job, _internal_error_answer(request))
            raise
        channel.queue.record_result(
            request.request_id,
            _now_s(),
            result.disposition,
            result.incarnation,
        )
        if result.disposition in (
            upstream_queue.SendDisposition.LOST,
            upstream_queue.SendDisposition.TIMED_OUT,
        ):
            self._spawn(self._cancel_orphan(channel, request.request_id))
        if channel.queue.is_open and upstream_queue.may_requeue(
            result, job.send_count
        ):
            self._enqueue(channel, job)
        else:
            self._complete(channel, job, result.answer)
        self._dispatch(channel)

    async def _cancel_orphan(
        self, channel: _UpstreamChannel, request_id: str
    ) -> None:
        """Cancels a request repeatedly until the upstream has ended it."""
        while request_id in channel.queue.orphan_ids(_now_s()):
            host = self._view.upstreams.get(channel.name)
            if host is None:
                return
            state = await self._client.cancel(host, request_id)
            if state is upstream.CancelState.RUNNING:
                channel.queue.record_orphan_cancel(request_id, _now_s())
            elif state is not None:
                channel.queue.record_orphan_end(request_id)
                self._dispatch(channel)
                return
            await asyncio.sleep(CANCEL_RETRY_INTERVAL_S)
        self._dispatch(channel)

    async def _watch_health(self, channel: _UpstreamChannel) -> None:
        while channel.queue.is_open:
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)
            host = self._view.upstreams.get(channel.name)
            if host is None:
                continue
            report = await self._client.health(host)
            stale = report.get("incarnation") != channel.queue.ramp.incarnation
            if report.get("state") == "cold" and not stale:
                channel.queue.ramp.record_cold_report(_now_s())

    def _apply_assignment(self, service: str) -> None:
        assignment = self._view.assignments[service]
        own_name = self._view.settings.name
        for name, channel in self._channels.items():
            moved = assignment.gateways.get(name) != own_name
            if channel.service == service and moved and channel.queue.is_open:
                refused = channel.queue.close(errors.Reason.NOT_GATEWAY)
                self._refuse_all(channel, refused)
        for name, daemon in assignment.gateways.items():
            if daemon != own_name:
                self._previous_gateways[name] = daemon
            elif self._view.config is not None and not self._closing:
                # The upstream is taken over before its first request arrives,
                # so that the wait for a lost gateway's requests starts early.
                self._spawn(self._take_over(service, name))

    async def _take_over(self, service: str, name: str) -> None:
        token = await self._grant_receiver.wait_for_fencing_token(
            service, name, "", 1, TAKEOVER_TIMEOUT_S
        )
        if token is not None and service in self._view.assignments:
            await self._get_or_open_channel(service, name)

    def _drain_excluded(self) -> None:
        for channel in self._channels.values():
            host = self._view.upstreams.get(channel.name)
            if host is None or self._view.is_excluded(host):
                self._refuse_all(
                    channel, channel.queue.drain(errors.Reason.DRAINING)
                )

    def _refuse_all(
        self,
        channel: _UpstreamChannel,
        refused: Iterable[fair_queue.RefusedRequest[_Job]],
    ) -> None:
        for refused_request in refused:
            retry_after_ms = max(
                MIN_RETRY_AFTER_MS, int(refused_request.retry_after_s * 1000)
            )
            answer = forward_messages.refusal_answer(
                refused_request.item.request.request_id,
                refused_request.reason,
                refused_request.verdict,
                retry_after_ms=retry_after_ms,
            )
            self._complete(channel, refused_request.item, answer)

    def _complete(
        self,
        channel: _UpstreamChannel,
        job: _Job,
        answer: forward_messages.ForwardAnswer,
    ) -> None:
        channel.jobs.pop(job.request.request_id, None)
        if not job.answer.done():
            job.answer.set_result(
                dataclasses.replace(answer, load=_load_of(channel))
            )

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle_forward(self, sender: str, payload: bytes) -> bytes:
        request = forwards.decode_request(payload)
        return forwards.encode_answer(await self.forward(request))

    async def _handle_cancel(self, sender: str, payload: bytes) -> None:
        """Cancels a request whose caller no longer waits for it."""
        request_id = payload.decode(errors="replace")
        for channel in self._channels.values():
            job = channel.jobs.get(request_id)
            if job is None:
                continue
            if job.queued is not None and channel.queue.remove(job.queued):
                self._complete(channel, job, _cancelled_answer(job.request))
                return
            host = self._view.upstreams.get(channel.name)
            if host is not None:
                await self._client.cancel(host, request_id)
            return

    async def _handle_handover(self, sender: str, payload: bytes) -> bytes:
        """Stops sending to an upstream and returns the state of its queue."""
        name, version = queue_handovers.decode_handover_query(payload)
        known = self._handed_over_versions.get(name, 0)
        self._handed_over_versions[name] = max(known, version)
        channel = self._channels.get(name)
        if channel is None:
            return queue_handovers.encode_handover(None)
        self._refuse_all(
            channel, channel.queue.close(errors.Reason.NOT_GATEWAY)
        )
        return queue_handovers.encode_handover(
            channel.queue.make_handover(_now_s())
        )

    async def _handle_load_query(self, sender: str, payload: bytes) -> bytes:
        """Returns the load of a queue without contacting its upstream."""
        channel = self._channels.get(payload.decode(errors="replace"))
        load = (
            forward_messages.UpstreamQueueLoad()
            if channel is None
            else _load_of(channel)
        )
        answer = forward_messages.ForwardAnswer(
            "", errors.Verdict.NOT_RUN, load=load
        )
        return forwards.encode_answer(answer)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _load_of(channel: _UpstreamChannel) -> forward_messages.UpstreamQueueLoad:
    now_s = _now_s()
    return forward_messages.UpstreamQueueLoad(
        channel.queue.pending_requests(now_s),
        channel.queue.latency_s(now_s),
        channel.queue.allowed_in_flight(now_s),
    )


def _fencing_headers(token: gateway_grants.FencingToken) -> dict[str, str]:
    headers = {
        "Sardinehill-Term": str(token.term),
        "Sardinehill-Sequence": str(token.sequence),
    }
    if token.shard >= 0:
        headers["Sardinehill-Shard"] = str(token.shard)
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
    token: gateway_grants.FencingToken | None,
) -> forward_messages.ForwardAnswer:
    if host is None:
        return _refusal_answer(request, errors.Reason.NO_UPSTREAM)
    if token is None:
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
