"""Sends a request to an upstream once and evaluates the result.

The result updates the state of the upstream and the counters for the leader,
and decides whether the request is answered, retried or refused.
"""

import asyncio
from collections.abc import Callable

from sardinehill import errors
from sardinehill import events
from sardinehill import http1
from sardinehill.core import crash_suspects
from sardinehill.core import exchange_messages
from sardinehill.core.load import service_times
from sardinehill.core.load import slot_messages
from sardinehill.front import answer_signals
from sardinehill.front import borrowing
from sardinehill.front import connecting
from sardinehill.front import crash_evidence
from sardinehill.front import forwarding
from sardinehill.front import front_metrics as metrics_module
from sardinehill.front import reach_monitor
from sardinehill.front import report_counters as counters_module
from sardinehill.front import requests
from sardinehill.front import upstream_directory as directory_module
from sardinehill.front.load import slot_release
from sardinehill.platform import http_messages

# The weight of the earlier mean when a latency is averaged in.
LATENCY_HISTORY_WEIGHT = 0.95
# The mean latency of a route that has had no answer yet.
INITIAL_LATENCY_S = 0.05
# A request is refused when the time to its deadline is at most this part of
# its route's mean latency, because it would most likely time out.
MIN_REMAINING_TIME_RATIO = 0.3
# Upstreams are given this much less time than is left, so that the refusal of a
# request that waited there for all of its time arrives before the deadline. A
# refusal through a peer passes one more link.
ANSWER_RETURN_MARGIN_S = 0.03
FORWARDED_ANSWER_RETURN_MARGIN_S = 0.06
# The most of the time left that this may take.
MAX_RETURN_MARGIN_RATIO = 0.25
# A body that is no upstream's is not handed on, so no more of it is read.
MAX_UNPROVEN_BODY_BYTES = 64 * 1024
# The Retry-After of a request that was lost and is not sent again.
QUARANTINE_RETRY_AFTER_S = 1.0

_Outcome = slot_messages.SlotOutcome


class Sender:
    """Sends requests and records how upstreams answer them."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        metrics: metrics_module.FrontMetrics,
        log_request: Callable[..., None],
        counters: counters_module.ReportCounters,
        cold_sends: borrowing.TokenBorrower,
        limited_sends: borrowing.TokenBorrower,
        suspects: crash_suspects.CrashSuspects,
        evidence: crash_evidence.CrashEvidence,
        reach: reach_monitor.ReachMonitor,
        forwarder: forwarding.Forwarder,
    ):
        self._directory = directory
        self._metrics = metrics
        self._log = log_request
        self._counters = counters
        self._signals = answer_signals.AnswerSignals(directory, log_request)
        self._suspects = suspects
        self._evidence = evidence
        self._reach = reach
        self._connector = connecting.Connector(
            directory,
            metrics,
            log_request,
            cold_sends,
            limited_sends,
            reach,
            forwarder,
            self.service_time_s,
        )
        # The open connections with a request that may be repeated.
        self._repeatable: set[http1.Connection] = set()
        self._mean_latencies_s: dict[str, float] = {}
        self._service_times = service_times.ServiceTimes()

    def mean_latency_s(self, route: str) -> float:
        """Returns a route's moving mean latency over all upstreams."""
        return self._mean_latencies_s.get(route, INITIAL_LATENCY_S)

    def latest_useful_send_s(self, context: requests.RequestContext) -> float:
        """Returns until when a request may still be answered if it is sent."""
        total_s = context.deadline_s - context.request.arrived_s
        min_remaining_s = max(
            self.mean_latency_s(context.route.name) * MIN_REMAINING_TIME_RATIO,
            min(ANSWER_RETURN_MARGIN_S, total_s * MAX_RETURN_MARGIN_RATIO),
        )
        return context.deadline_s - min_remaining_s

    def service_time_s(self, route: str) -> float:
        """Returns a route's service time at an upstream of usual speed."""
        return self._service_times.service_time_s(route)

    def refuse_if_quarantined(self, context: requests.RequestContext) -> None:
        """Refuses a request that ends the upstreams that run it.

        One that is only suspected is sent, but not again after it was lost.

        Raises:
          requests.RefusedError: the request is not to be sent.
        """
        if self._suspects.is_empty or not self._suspects.may_include(
            requests.head_digest(context)
        ):
            return
        digest = requests.digest(context)
        now_s = asyncio.get_running_loop().time()
        quarantine_s = self._suspects.quarantine_s(digest, now_s)
        is_repeated = (
            context.may_have_run and self._suspects.ending_count(digest) > 1
        )
        if quarantine_s > 0 or is_repeated:
            raise requests.RefusedError(
                errors.Reason.QUARANTINED,
                503,
                max(quarantine_s, QUARANTINE_RETRY_AFTER_S),
                digest=digest.hex(),
            )

    def _note_survived(
        self,
        context: requests.RequestContext,
        target: requests.Target,
        answer: http1.Response,
    ) -> None:
        """Clears a suspect that an upstream has run to an end."""
        if answer.ends_with_connection:
            self._evidence.note_end_of_answer(
                target.upstream, requests.digest(context)
            )
        elif not self._suspects.is_empty and self._suspects.may_include(
            requests.head_digest(context)
        ):
            self._suspects.record_survival(
                requests.digest(context), asyncio.get_running_loop().time()
            )

    def count_arrival(self, context: requests.RequestContext) -> None:
        """Counts a request for a key, whether or not it will be served.

        The leader places keys by the requests that arrive for them. Requests
        that were refused because an upstream was full would be missing among
        the served ones.
        """
        key = context.metadata.shard_key
        if key is not None and self._directory.is_divided(context.service):
            self._counters.count_key_request(
                context.service, key, self.service_time_s(context.route.name)
            )

    def refuse_if_cut_off(self) -> None:
        """Refuses a request that this daemon cannot send in any way.

        Raises:
          requests.RefusedError: neither this daemon nor a peer reaches the
            upstreams.
        """
        self._connector.refuse_if_cut_off()

    def give_up_repeatable(self) -> None:
        """Ends the exchanges that another upstream may repeat.

        To be called when upstreams can no longer answer over the connections
        that are open. They may still run the requests, so a request for a key
        would run twice at the key's owner; it waits for its answer.
        """
        for connection in list(self._repeatable):
            connection.close()

    async def send(
        self, context: requests.RequestContext, target: requests.Target
    ) -> http1.Response | None:
        """Sends a request once, and releases the slot of its target.

        Returns:
          The answer for the caller, or None if the request can be retried.

        Raises:
          requests.RefusedError: the request has no answer for the caller and
            must not be retried.
        """
        try:
            return await self._send(context, target)
        finally:
            # A slot that is still held was not used.
            slot_release.release(target, _Outcome.UNUSED)

    async def _send(
        self, context: requests.RequestContext, target: requests.Target
    ) -> http1.Response | None:
        if not await self._connector.may_send_within_limit(target):
            return None
        connection = await self._connector.connect(context, target)
        if connection is None:
            if not self._reach.is_cut_off():
                slot_release.release(target, _Outcome.UNREACHABLE)
            return None
        may_send = False
        try:
            # Time has passed, and the upstream may have left, while the
            # connection was opened.
            is_lent = await self._connector.may_send_while_cold(target)
            self.refuse_if_quarantined(context)
            now_s = asyncio.get_running_loop().time()
            may_send = (
                is_lent
                and now_s <= context.latest_send_s
                and now_s < self.latest_useful_send_s(context)
                and not self._directory.has_left(target.upstream)
                and not target.upstream_state.is_refusing(now_s)
            )
        finally:
            if not may_send:
                target.upstream_state.record_end()
                _release(target, connection)
        if not may_send:
            return None
        answer = await self._exchange(context, target, connection)
        if answer is None:
            return None
        _release(target, connection)
        latency_s = asyncio.get_running_loop().time() - context.sent_s
        return self._evaluate_answer(context, target, answer, latency_s)

    async def _exchange(
        self,
        context: requests.RequestContext,
        target: requests.Target,
        connection: requests.AnyConnection,
    ) -> http1.Response | None:
        """Sends a request over a connection; returns the complete answer."""
        is_first_try = _record_send(context, target, connection)
        request_id = context.metadata.request_id
        answer: http1.Response | None = None
        if isinstance(connection, http1.Connection):
            self._reach.note_sent(connection)
            if context.route.is_idempotent and not target.is_owner:
                self._repeatable.add(connection)
        try:
            answer = await connection.exchange(
                _encode_request(context, target),
                lambda answer_head: http_messages.is_answer_to(
                    answer_head, request_id
                ),
                context.request.method == b"HEAD",
                _body_limit_bytes,
                context.request.body,
            )
            slot_release.release_answered(context, target, answer)
        except forwarding.NotForwardedError as error:
            if error.reason is exchange_messages.NotSentReason.UNREACHABLE:
                slot_release.release(target, _Outcome.UNREACHABLE)
            else:
                slot_release.release(target, _Outcome.UNUSED)
            if is_first_try:
                context.tried_upstreams.remove(target.upstream.id)
            self._record_not_forwarded(context, target, error)
            return None
        except asyncio.CancelledError:
            # The time is over, or the caller has left.
            is_forwarded = isinstance(
                connection, forwarding.ForwardedConnection
            )
            if is_forwarded or not self._reach.is_cut_off():
                self._evidence.note_given_up(
                    target.upstream, requests.digest(context)
                )
            raise
        except http1.ConnectionFailedError as error:
            slot_release.release(
                target, self._broken_outcome(connection, error)
            )
            self._record_broken_exchange(context, target, connection, error)
            return None
        finally:
            # The upstream may still run a request that got no answer.
            if answer is None:
                slot_release.release(target, _Outcome.ABANDONED)
            # After a cancelled exchange the upstream may still run the request.
            if isinstance(connection, http1.Connection):
                self._reach.note_done(connection)
                self._repeatable.discard(connection)
            context.in_flight = context.in_flight and not connection.usable
            target.upstream_state.record_end()
            self._directory.wake_next(target.upstream, context.service)
        context.in_flight = False
        if isinstance(connection, http1.Connection):
            self._reach.note_answer(target.upstream.id)
        else:
            self._metrics.increment("forwards", "answered")
        return answer

    def _broken_outcome(
        self,
        connection: requests.AnyConnection,
        error: http1.ConnectionFailedError,
    ) -> slot_messages.SlotOutcome:
        """Returns the outcome of an exchange that ended without an answer."""
        is_own_fault = (
            self._reach.is_cut_off()
            if isinstance(connection, http1.Connection)
            else isinstance(error, forwarding.PeerFailedError)
        )
        if is_own_fault:
            return _Outcome.ABANDONED if error.written else _Outcome.UNUSED
        if error.reset and not error.response_started:
            return _Outcome.RESET
        return _Outcome.FAILED

    def _record_not_forwarded(
        self,
        context: requests.RequestContext,
        target: requests.Target,
        error: forwarding.NotForwardedError,
    ) -> None:
        """Records that a peer did not send a request."""
        now_s = asyncio.get_running_loop().time()
        context.in_flight = False
        context.sends -= 1
        context.used_connections.pop()
        context.last_failure = f"not-forwarded-{error.reason.value}"
        state = target.upstream_state
        match error.reason:
            case exchange_messages.NotSentReason.LEFT:
                # Paused briefly, as this daemon has not learnt of it yet.
                state.record_full(now_s)
            case exchange_messages.NotSentReason.PAUSED:
                state.record_retry_after(now_s, error.retry_after_s)
            case exchange_messages.NotSentReason.UNREACHABLE:
                state.record_unreachable(now_s)
        self._metrics.increment("forwards", error.reason.value)
        self._log(
            events.REQUEST_NOT_FORWARDED,
            request=context.metadata.request_id,
            peer=context.peer,
            upstream=target.upstream.id,
            reason=error.reason.value,
        )

    def _record_broken_exchange(
        self,
        context: requests.RequestContext,
        target: requests.Target,
        connection: requests.AnyConnection,
        error: http1.ConnectionFailedError,
    ) -> None:
        """Records an exchange that ended without an answer.

        A request that was written to the connection may have run.

        Raises:
          requests.RefusedError: the request may have run and is not idempotent.
        """
        context.in_flight = False
        if isinstance(connection, http1.Connection):
            self._reach.note_broken(target.upstream.id)
            is_upstreams_fault = not self._reach.is_cut_off()
        else:
            self._metrics.increment("forwards", "broken")
            is_upstreams_fault = not isinstance(
                error, forwarding.PeerFailedError
            )
        if is_upstreams_fault:
            _record_failure(target, connection, error)
        context.last_failure = "connection-lost"
        if not error.written:
            return
        context.verdict.record(errors.Verdict.MAY_HAVE_RUN)
        digest = requests.digest(context)
        if is_upstreams_fault:
            self._evidence.note_broken(target.upstream, digest)
        if not context.route.is_idempotent:
            raise requests.RefusedError(
                errors.Reason.CONNECTION_LOST,
                502,
                digest=digest.hex(),
                peer=context.peer,
                error=str(error),
            )
        self._log(
            events.REQUEST_TRIED_AGAIN,
            request=context.metadata.request_id,
            reason="connection-lost",
            upstream=target.upstream.id,
            peer=context.peer,
            error=str(error),
            digest=digest.hex(),
        )

    def _evaluate_answer(
        self,
        context: requests.RequestContext,
        target: requests.Target,
        answer: http1.Response,
        latency_s: float,
    ) -> http1.Response | None:
        now_s = asyncio.get_running_loop().time()
        self._signals.note(
            target.upstream,
            target.upstream_state,
            answer,
            context.metadata.request_id,
            context.sent_s,
            self.service_time_s(context.route.name),
        )
        if http_messages.reports_not_run(answer):
            self._record_upstream_refusal(context, target, answer, now_s)
            return None
        is_genuine = http_messages.is_from_upstream(answer)
        if is_genuine:
            self._note_survived(context, target, answer)
        elif answer.ends_with_connection:
            self._evidence.note_broken(
                target.upstream, requests.digest(context)
            )
        ok = http_messages.is_success(answer)
        mean_s = self.mean_latency_s(context.route.name)
        target.upstream_state.record_answer(latency_s, mean_s, ok)
        if ok:
            self._record_success(context, target, answer, latency_s, mean_s)
            return answer
        context.verdict.record(errors.Verdict.MAY_HAVE_RUN)
        context.last_failure = (
            f"status-{answer.status}" if is_genuine else "garbled"
        )
        if context.route.is_idempotent and self._is_worth_retrying(
            context, now_s
        ):
            self._log(
                events.REQUEST_TRIED_AGAIN,
                request=context.metadata.request_id,
                reason=context.last_failure,
                upstream=target.upstream.id,
            )
            return None
        if is_genuine and not http_messages.status_implies_not_run(answer):
            return answer
        raise requests.RefusedError(errors.Reason.CONNECTION_LOST, 502)

    def _is_worth_retrying(
        self, context: requests.RequestContext, now_s: float
    ) -> bool:
        return (
            context.sends < context.route.max_attempts
            and context.deadline_s - now_s
            > self.mean_latency_s(context.route.name)
        )

    def _record_upstream_refusal(
        self,
        context: requests.RequestContext,
        target: requests.Target,
        answer: http1.Response,
        now_s: float,
    ) -> None:
        """Records why an upstream did not run a request."""
        self._metrics.increment("upstream_refusals", str(answer.status))
        if answer.status != 421:
            context.last_failure = "shed"
            return
        context.last_failure = "fenced"
        if answer_signals.is_from_another(target.upstream, answer):
            return
        key = context.metadata.shard_key
        if key is not None:
            self._counters.count_refused_key(context.service, key, target.epoch)
            self._directory.note_refused(
                context.service, key, target.epoch, now_s
            )

    def _record_success(
        self,
        context: requests.RequestContext,
        target: requests.Target,
        answer: http1.Response,
        latency_s: float,
        mean_s: float,
    ) -> None:
        name = context.route.name
        load = http_messages.parse_load(answer)
        self._mean_latencies_s[name] = mean_s + (1 - LATENCY_HISTORY_WEIGHT) * (
            latency_s - mean_s
        )
        slowness = self._service_times.record_answer(
            name,
            latency_s,
            load.slowness if load is not None else None,
            has_queue=load is None or load.waiting > 0,
        )
        if slowness is not None:
            self._counters.count_slowness(target.upstream.id, slowness)
        key = context.metadata.shard_key
        if key is not None:
            self._directory.note_accepted(context.service, key, target.epoch)


def _body_limit_bytes(answer_head: http1.Response) -> int:
    if http_messages.is_from_upstream(answer_head):
        return http1.MAX_RESPONSE_BODY_BYTES
    return MAX_UNPROVEN_BODY_BYTES


def _encode_request(
    context: requests.RequestContext, target: requests.Target
) -> bytes:
    """Returns the head of the request that is sent to the upstream."""
    request = context.request
    return http_messages.encode_upstream_request(
        request.method,
        request.target,
        http_messages.forwarded_headers(request.headers),
        len(request.body),
        request.has_body,
        _time_at_upstream_s(context),
        target.upstream.id,
        context.account.name if context.account else None,
    )


def _time_at_upstream_s(context: requests.RequestContext) -> float:
    """Returns how long the upstream may keep a request that is sent now."""
    return time_left_s(context, context.sent_s)


def time_left_s(context: requests.RequestContext, now_s: float) -> float:
    """Returns the time within which a request has to be answered.

    An answer that arrives then still reaches the caller before the deadline.
    """
    end_s = min(context.deadline_s, context.stop_end_s)
    left_s = end_s - now_s
    margin_s = (
        FORWARDED_ANSWER_RETURN_MARGIN_S
        if context.peer
        else ANSWER_RETURN_MARGIN_S
    )
    return left_s - min(margin_s, left_s * MAX_RETURN_MARGIN_RATIO)


def _record_send(
    context: requests.RequestContext,
    target: requests.Target,
    connection: requests.AnyConnection,
) -> bool:
    """Records that a request is about to be sent.

    Returns:
      Whether it was not sent to this upstream before.
    """
    context.sent_s = asyncio.get_running_loop().time()
    context.sends += 1
    context.used_connections.append(connection)
    context.peer = (
        connection.peer
        if isinstance(connection, forwarding.ForwardedConnection)
        else ""
    )
    context.in_flight = True
    if target.upstream.id in context.tried_upstreams:
        return False
    context.tried_upstreams.append(target.upstream.id)
    return True


def _release(
    target: requests.Target, connection: requests.AnyConnection
) -> None:
    """Gives back a connection without an exchange."""
    if isinstance(connection, forwarding.ForwardedConnection):
        connection.close()
    else:
        target.pool.release(connection)


def _record_failure(
    target: requests.Target,
    connection: requests.AnyConnection,
    error: http1.ConnectionFailedError,
) -> None:
    """Records a broken exchange in the state of the upstream."""
    if error.reset and not error.response_started:
        target.upstream_state.record_reset(
            asyncio.get_running_loop().time(), connection.exchange_count == 1
        )
    target.upstream_state.record_answer(0.0, 1.0, ok=False)
