"""Sends a request to an upstream once, and judges what came of it."""

import asyncio
from collections.abc import Callable

from sardinehill import errors
from sardinehill import events
from sardinehill import http1
from sardinehill.front import front_metrics as stats_module
from sardinehill.front import report_counters as usage_module
from sardinehill.front import requests
from sardinehill.front import upstream_directory as directory_module
from sardinehill.platform import http_messages

LATENCY_HISTORY_WEIGHT = 0.95
INITIAL_LATENCY_S = 0.05
MIN_SERVER_ERROR_STATUS = 500


class Sender:
    """Sends requests, and learns from answers how upstreams are."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        stats: stats_module.FrontMetrics,
        log_request: Callable[..., None],
        usage: usage_module.ReportCounters,
    ):
        self._directory = directory
        self._stats = stats
        self._log = log_request
        self._usage = usage
        self._mean_latencies_s: dict[str, float] = {}

    def mean_latency_s(self, route: str) -> float:
        """Returns a route's mean latency over all upstreams."""
        return self._mean_latencies_s.get(route, INITIAL_LATENCY_S)

    async def send(
        self, work: requests.RequestContext, target: requests.Target
    ) -> http1.Answer | None:
        """Sends a request once.

        Returns:
          The answer for the caller, or None when the request may be and is
          worth being sent again.

        Raises:
          requests.RefusedError: it may not be sent again.
        """
        connection = await self._connect(work, target)
        if connection is None:
            return None
        answer = await self._exchange(work, target, connection)
        if answer is None:
            return None
        target.pool.release(connection)
        latency_s = asyncio.get_running_loop().time() - work.sent_s
        return self._evaluate_answer(work, target, answer, latency_s)

    async def _connect(
        self, work: requests.RequestContext, target: requests.Target
    ) -> http1.Connection | None:
        """Takes a place and a connection at an upstream, if it is reached."""
        loop = asyncio.get_running_loop()
        target.upstream_state.record_send(loop.time())
        try:
            return await target.pool.acquire(work.deadline_s - loop.time())
        except http1.ConnectionFailedError as error:
            target.upstream_state.record_end()
            self._record_connect_failure(work, target, error)
            return None
        except BaseException:
            target.upstream_state.record_end()
            raise

    async def _exchange(
        self,
        work: requests.RequestContext,
        target: requests.Target,
        connection: http1.Connection,
    ) -> http1.Answer | None:
        """Sends a request over a connection; returns its whole answer."""
        loop = asyncio.get_running_loop()
        work.sent_s = loop.time()
        work.sends += 1
        if target.upstream.id not in work.tried_upstreams:
            work.tried_upstreams.append(target.upstream.id)
        request_id = work.metadata.request_id
        work.in_flight = True
        try:
            answer = await connection.exchange(
                _encode_request(work, target),
                lambda found: http_messages.is_answer_to(found, request_id),
                work.request.method == b"HEAD",
            )
        except http1.ConnectionFailedError as error:
            if connection.exchanges == 1 and not error.answered:
                target.upstream_state.record_connection_reset(loop.time())
            self._record_broken_exchange(work, target, error)
            return None
        finally:
            work.in_flight = work.in_flight and not connection.usable
            target.upstream_state.record_end()
            self._directory.wake_next(target.upstream, work.service)
        work.in_flight = False
        return answer

    def _record_connect_failure(
        self,
        work: requests.RequestContext,
        target: requests.Target,
        error: http1.ConnectionFailedError,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        target.upstream_state.record_unreachable(now_s)
        work.last_failure = "connect-failed"
        self._stats.increment("connect_failures", target.upstream.service)
        self._log(
            events.REQUEST_TRIED_AGAIN,
            request=work.metadata.request_id,
            reason="connect-failed",
            upstream=target.upstream.id,
            error=str(error),
        )

    def _record_broken_exchange(
        self,
        work: requests.RequestContext,
        target: requests.Target,
        error: http1.ConnectionFailedError,
    ) -> None:
        """Judges an exchange without an answer: it may have run."""
        work.in_flight = False
        target.upstream_state.record_answer(0.0, 1.0, ok=False)
        if not error.written:
            work.last_failure = "connection-lost"
            return
        work.may_have_run = True
        work.last_failure = "connection-lost"
        if not work.route.is_idempotent:
            raise requests.RefusedError(errors.Reason.CONNECTION_LOST, 502)
        self._log(
            events.REQUEST_TRIED_AGAIN,
            request=work.metadata.request_id,
            reason="connection-lost",
            upstream=target.upstream.id,
            error=str(error),
        )

    def _evaluate_answer(
        self,
        work: requests.RequestContext,
        target: requests.Target,
        answer: http1.Answer,
        latency_s: float,
    ) -> http1.Answer | None:
        now_s = asyncio.get_running_loop().time()
        load = http_messages.parse_load(answer)
        if load is not None:
            target.upstream_state.record_load_report(
                load.running, load.waiting, load.slowness, now_s
            )
        work.upstream_was_idle = load is not None and load.waiting == 0
        if http_messages.reports_not_run(answer):
            self._record_upstream_refusal(work, target, answer, now_s)
            return None
        genuine = http_messages.is_from_upstream(answer)
        ok = genuine and answer.status < MIN_SERVER_ERROR_STATUS
        usual_s = self.mean_latency_s(work.route.name)
        target.upstream_state.record_answer(latency_s, usual_s, ok)
        if ok:
            self._record_success(work, target, latency_s, usual_s)
            return answer
        work.may_have_run = True
        work.last_failure = f"status-{answer.status}" if genuine else "garbled"
        if work.route.is_idempotent and self._is_worth_retrying(work, now_s):
            self._log(
                events.REQUEST_TRIED_AGAIN,
                request=work.metadata.request_id,
                reason=work.last_failure,
                upstream=target.upstream.id,
            )
            return None
        if genuine and not http_messages.status_implies_not_run(answer):
            return answer
        raise requests.RefusedError(errors.Reason.CONNECTION_LOST, 502)

    def _is_worth_retrying(
        self, work: requests.RequestContext, now_s: float
    ) -> bool:
        return (
            work.sends < work.route.max_attempts
            and work.deadline_s - now_s > self.mean_latency_s(work.route.name)
        )

    def _record_upstream_refusal(
        self,
        work: requests.RequestContext,
        target: requests.Target,
        answer: http1.Answer,
        now_s: float,
    ) -> None:
        """Learns why an upstream did not run a request."""
        self._stats.increment("upstream_refusals", str(answer.status))
        if answer.status != 421:
            target.upstream_state.record_full(now_s)
            work.last_failure = "shed"
            return
        work.last_failure = "fenced"
        other = http_messages.answering_upstream_id(answer)
        if other is not None and other != target.upstream.id:
            self._directory.note_ended(target.upstream)
            return
        key = work.metadata.shard_key
        if key is not None:
            self._usage.count_refused_key(work.service, key, target.epoch)
            self._directory.note_refused(work.service, key, target.epoch, now_s)

    def _record_success(
        self,
        work: requests.RequestContext,
        target: requests.Target,
        latency_s: float,
        usual_s: float,
    ) -> None:
        name = work.route.name
        self._mean_latencies_s[name] = usual_s + (
            1 - LATENCY_HISTORY_WEIGHT
        ) * (latency_s - usual_s)
        if work.upstream_was_idle:
            self._usage.count_answer(target.upstream.id, latency_s / usual_s)
        key = work.metadata.shard_key
        if key is not None:
            self._directory.note_accepted(work.service, key, target.epoch)
            self._usage.count_key_request(work.service, key, usual_s)


def _encode_request(
    work: requests.RequestContext, target: requests.Target
) -> bytes:
    """Returns a request as an upstream gets it."""
    request = work.request
    return http_messages.encode_upstream_request(
        request.method,
        request.target,
        http_messages.forwarded_headers(request.headers),
        request.body,
        request.has_body,
        work.deadline_s - work.sent_s,
        target.upstream.id,
        work.account.name if work.account else None,
    )
