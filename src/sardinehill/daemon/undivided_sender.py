"""Selects an upstream for each request of a service not divided by key.

The daemon that receives the request selects the upstream by the load reports
that gateways attached to earlier answers. `core.upstream_selection`,
`core.outliers` and `core.hedging` make the decisions. This module exchanges the
messages with the gateways.
"""

import asyncio
from collections.abc import Coroutine
import dataclasses
import random
from typing import Any

from sardinehill import errors
from sardinehill.core import forward_messages
from sardinehill.core import hedging
from sardinehill.core import outliers
from sardinehill.core import placement
from sardinehill.core import request_verdict
from sardinehill.core import upstream_selection
from sardinehill.daemon import fleet_view
from sardinehill.daemon import peer_bus
from sardinehill.wire import forwards
from sardinehill.wire import message_kinds

# The latency that is added to the expected latency of an upstream in another
# availability zone.
CROSS_ZONE_HOP_S = 0.001
# How long after the deadline a daemon still waits for a gateway's answer.
ANSWER_GRACE_S = 0.25
PROBE_TIMEOUT_S = 0.25
# Minimum time between two load probes for the same service.
PROBE_INTERVAL_S = 0.1
# Distinguishes the id of a hedged request's second copy from that of the first.
HEDGE_ID_SUFFIX = "-2"

_FAILURE_REASONS = frozenset(
    {
        errors.Reason.CONNECT_FAILED,
        errors.Reason.CONNECTION_LOST,
        errors.Reason.DEADLINE_PASSED,
        errors.Reason.GATEWAY_LOST,
    }
)


class _Balancer:
    """One daemon's load balancing state of one undivided service."""

    def __init__(
        self, view: fleet_view.FleetView, rng: random.Random, now_s: float
    ) -> None:
        self._view = view
        self.detector = outliers.OutlierDetector(outliers.OutlierPolicy())
        self.pool = upstream_selection.LoadReportPool(uses_per_report=1)
        self.hedger = hedging.Hedger(hedging.HedgePolicy(), now_s)
        self.in_flight: dict[str, dict[str, float]] = {}
        self.probed_at_s = now_s
        self.choose = upstream_selection.least_expected_latency(
            rng,
            self.pool,
            _now_s,
            self._hop_cost_s,
            upstream_selection.power_of_two_choices(rng, self._load_of),
        )

    def record_send(self, upstream: str, request_id: str) -> None:
        """Records that a request is sent to an upstream's gateway."""
        self.in_flight.setdefault(upstream, {})[request_id] = _now_s()
        self.detector.record_send(upstream)

    def record_end(
        self,
        upstream: str,
        request_id: str,
        answer: forward_messages.ForwardAnswer | None,
    ) -> None:
        """Records an answer, or None for a cancelled request."""
        started_s = self.in_flight[upstream].pop(request_id)
        self.detector.record_end(upstream)
        if answer is None:
            return
        now_s = _now_s()
        self.add_report(upstream, answer.load)
        if answer.verdict is errors.Verdict.RAN:
            self.detector.record_success(upstream, now_s, now_s - started_s)
            self.hedger.record_answer(now_s, now_s - started_s)
        elif answer.reason in _FAILURE_REASONS:
            self.detector.record_failure(upstream, now_s)
            self.pool.discard(upstream)

    def add_report(
        self, upstream: str, load: forward_messages.UpstreamQueueLoad
    ) -> None:
        """Adds a gateway's load report unless it is empty."""
        if load.latency_s > 0:
            self.pool.add(
                upstream,
                load.waiting_requests,
                load.latency_s,
                load.limit_requests,
                _now_s(),
            )

    def check_overdue(self) -> None:
        """Ejects upstreams whose oldest request in flight is overdue."""
        now_s = _now_s()
        for upstream, in_flight in self.in_flight.items():
            if in_flight:
                age_s = now_s - min(in_flight.values())
                self.detector.check_overdue(upstream, now_s, age_s)

    def _load_of(self, upstream: str) -> float:
        return len(self.in_flight.get(upstream, ()))

    def _hop_cost_s(self, upstream: str) -> float:
        host = self._view.upstreams.get(upstream)
        own_zone = self._view.settings.availability_zone
        is_same_zone = host is not None and host.availability_zone == own_zone
        return 0.0 if is_same_zone else CROSS_ZONE_HOP_S


class UndividedSender:
    """Sends requests to selected upstreams and hedges some of them."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        bus: peer_bus.PeerBus,
        seed: int | None = None,
    ) -> None:
        self._view = view
        self._bus = bus
        self._rng = random.Random(seed)
        self._balancers: dict[str, _Balancer] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    async def forward(
        self, request: forward_messages.ForwardRequest, timeout_s: float
    ) -> forward_messages.ForwardAnswer:
        """Sends a request to a selected upstream and returns its answer.

        Raises:
          RequestRefusedError: no upstream is available.
        """
        config = self._view.config
        assignment = self._view.assignments.get(request.service)
        if config is None or assignment is None:
            raise _refusal(errors.Reason.CONFIGURATION_MISSING)
        service = config.services[request.service]
        balancer = self._balancer(service.name)
        balancer.detector.set_upstreams(self._available_upstreams(assignment))
        balancer.check_overdue()
        self._probe_if_due(balancer, assignment)
        usable = balancer.detector.usable_upstreams(_now_s())
        if not usable:
            raise _refusal(errors.Reason.NO_UPSTREAM)
        chosen = balancer.choose(usable)
        first = self._ask(balancer, assignment, chosen, request, timeout_s)
        if not hedging.may_hedge(service, request.method):
            return await first
        balancer.hedger.record_request()
        others = [name for name in usable if name != chosen]
        return await self._hedge(
            balancer, assignment, first, others, request, timeout_s
        )

    async def close(self) -> None:
        """Cancels the requests and probes that are still running."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _balancer(self, service: str) -> _Balancer:
        balancer = self._balancers.get(service)
        if balancer is None:
            balancer = _Balancer(self._view, self._rng, _now_s())
            self._balancers[service] = balancer
        return balancer

    def _available_upstreams(
        self, assignment: placement.ShardAssignment
    ) -> list[str]:
        hosts = self._view.upstreams
        return [
            name
            for name in assignment.upstreams
            if name in hosts
            and not self._view.is_excluded(hosts[name])
            and assignment.gateways.get(name)
        ]

    def _ask(
        self,
        balancer: _Balancer,
        assignment: placement.ShardAssignment,
        upstream: str,
        request: forward_messages.ForwardRequest,
        timeout_s: float,
    ) -> asyncio.Task[forward_messages.ForwardAnswer]:
        balancer.record_send(upstream, request.request_id)
        sent = dataclasses.replace(
            request, upstream=upstream, assignment_version=assignment.version
        )
        return self._spawn(
            self._ask_gateway(
                balancer,
                assignment.gateways[upstream],
                sent,
                timeout_s + ANSWER_GRACE_S,
            )
        )

    async def _ask_gateway(
        self,
        balancer: _Balancer,
        gateway: str,
        request: forward_messages.ForwardRequest,
        timeout_s: float,
    ) -> forward_messages.ForwardAnswer:
        answer = None
        try:
            answer = await self._gateway_answer(gateway, request, timeout_s)
            return answer
        finally:
            balancer.record_end(request.upstream, request.request_id, answer)

    async def _gateway_answer(
        self,
        gateway: str,
        request: forward_messages.ForwardRequest,
        timeout_s: float,
    ) -> forward_messages.ForwardAnswer:
        try:
            payload = await self._bus.ask(
                gateway,
                message_kinds.MessageKind.FORWARD,
                forwards.encode_request(request),
                timeout_s,
            )
            return forwards.decode_answer(payload)
        except errors.PeerNotSentError:
            verdict = errors.Verdict.NOT_RUN
        except errors.PeerError:
            verdict = errors.Verdict.MAY_HAVE_RUN
        return forward_messages.refusal_answer(
            request.request_id, errors.Reason.GATEWAY_LOST, verdict
        )

    async def _hedge(
        self,
        balancer: _Balancer,
        assignment: placement.ShardAssignment,
        first: asyncio.Task[forward_messages.ForwardAnswer],
        others: list[str],
        request: forward_messages.ForwardRequest,
        timeout_s: float,
    ) -> forward_messages.ForwardAnswer:
        started_s = _now_s()
        delay_s = balancer.hedger.delay_s(started_s)
        await asyncio.wait({first}, timeout=delay_s)
        if first.done() or not others or not balancer.hedger.try_spend():
            return await first
        left_s = timeout_s - (_now_s() - started_s)
        second_request = dataclasses.replace(
            request,
            request_id=request.request_id + HEDGE_ID_SUFFIX,
            deadline_ms=max(1, int(left_s * 1000)),
        )
        second = self._ask(
            balancer,
            assignment,
            balancer.choose(others),
            second_request,
            left_s,
        )
        answer = await _first_success(first, second)
        # The answer of the slower request is no longer needed.
        for task, request_id in (
            (first, request.request_id),
            (second, second_request.request_id),
        ):
            if not task.done():
                self._cancel(assignment, task, request_id, balancer)
        return dataclasses.replace(answer, request_id=request.request_id)

    def _cancel(
        self,
        assignment: placement.ShardAssignment,
        task: asyncio.Task[forward_messages.ForwardAnswer],
        request_id: str,
        balancer: _Balancer,
    ) -> None:
        for upstream, in_flight in balancer.in_flight.items():
            if request_id in in_flight:
                self._bus.send(
                    assignment.gateways[upstream],
                    message_kinds.MessageKind.CANCEL,
                    request_id.encode(),
                )
        # The task keeps running until its answer arrives, because the upstream
        # is busy until then.

    def _probe_if_due(
        self, balancer: _Balancer, assignment: placement.ShardAssignment
    ) -> None:
        """Requests the load of one upstream without a report.

        The gateway answers from its own state, so the probe costs the upstream
        nothing and the two daemons one small message in each direction.
        """
        now_s = _now_s()
        if now_s - balancer.probed_at_s < PROBE_INTERVAL_S:
            return
        unreported = balancer.pool.without_report(
            balancer.detector.usable_upstreams(now_s), now_s
        )
        if not unreported:
            return
        balancer.probed_at_s = now_s
        upstream = self._rng.choice(unreported)
        gateway = assignment.gateways[upstream]
        self._spawn(self._probe(balancer, gateway, upstream))

    async def _probe(
        self, balancer: _Balancer, gateway: str, upstream: str
    ) -> None:
        try:
            payload = await self._bus.ask(
                gateway,
                message_kinds.MessageKind.QUEUE_LOAD_QUERY,
                upstream.encode(),
                PROBE_TIMEOUT_S,
            )
            answer = forwards.decode_answer(payload)
        except errors.PeerError:
            return
        balancer.add_report(upstream, answer.load)

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


async def _first_success(
    first: asyncio.Task[forward_messages.ForwardAnswer],
    second: asyncio.Task[forward_messages.ForwardAnswer],
) -> forward_messages.ForwardAnswer:
    """Returns the first answer to a request that ran, or else the last one.

    The last one tells whether either request may have run.
    """
    in_flight = {first, second}
    verdict = request_verdict.RequestVerdict()
    answer = None
    while in_flight:
        done, in_flight = await asyncio.wait(
            in_flight, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            answer = task.result()
            if answer.verdict is errors.Verdict.RAN:
                return answer
            verdict.record(answer.verdict)
    assert answer is not None
    return dataclasses.replace(answer, verdict=verdict.value)


def _refusal(reason: errors.Reason) -> errors.RequestRefusedError:
    return errors.RequestRefusedError(reason, errors.Verdict.NOT_RUN)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
