"""Routes callers' requests to upstreams.

The relay selects an upstream for each request, decides whether a failed
request may be sent again, and builds the reply when no upstream serves it.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from sardinehill import errors
from sardinehill import events
from sardinehill import http1
from sardinehill.core import stop_window
from sardinehill.core.load import slot_messages
from sardinehill.core.load import upstream_state as state_module
from sardinehill.front import admission as admission_module
from sardinehill.front import front_metrics as metrics_module
from sardinehill.front import requests
from sardinehill.front import sending
from sardinehill.front import upstream_directory as directory_module
from sardinehill.front.load import scheduled_targets
from sardinehill.front.load import target_selection
from sardinehill.platform import http_messages

# The Retry-After of refusals without a more precise estimate.
DEFAULT_RETRY_AFTER_S = 0.25
# The Retry-After of refusals because this daemon stops. A retry goes to
# another daemon.
STOPPING_RETRY_AFTER_S = 0.05
# The Retry-After of refusals because the upstream's queue is full.
QUEUE_FULL_RETRY_AFTER_S = 0.5
MAX_SENDS_PER_REQUEST = 8
# Each daemon spends only this part of its retry budget, because a restarted
# daemon no longer knows which retries it has sent.
RETRY_BUDGET_SAFETY_RATIO = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class _ActiveRequest:
    """An admitted request that is being served.

    Attributes:
      context: the request.
      timeout: ends it at its deadline, or at the end of a stop.
    """

    context: requests.RequestContext
    timeout: asyncio.Timeout


class Relay:
    """Serves callers' requests.

    Public attributes:
      in_flight: requests that are being served now.
      cut_short: requests at upstreams that the end of a stop has ended.
    """

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        metrics: metrics_module.FrontMetrics,
        log_request: Callable[..., None],
        retry_ratio: float,
        retry_slack: float,
        retry_window_s: float,
        admission: admission_module.Admission,
        sender: sending.Sender,
        zone: str,
        scheduled: scheduled_targets.ScheduledTargets | None = None,
    ):
        self._directory = directory
        self._metrics = metrics
        self._log = log_request
        self._retry_limits = (retry_ratio, retry_slack, retry_window_s)
        self._admission = admission
        self._sender = sender
        self._selector = target_selection.TargetSelector(
            directory, sender, zone
        )
        self._scheduled = scheduled
        self._retry_budgets: dict[str, state_module.WindowedRetryBudget] = {}
        self._stop_window: stop_window.StopWindow | None = None
        # By sequence number.
        self._active: dict[int, _ActiveRequest] = {}
        self.in_flight = 0
        self.cut_short = 0

    # stopping

    def stop(self, window: stop_window.StopWindow) -> None:
        """Answers every request within a window, and refuses when it is over.

        A request that might not be answered in time is not sent any more. One
        that is at an upstream when the window ends is reported as uncertain.
        """
        self._stop_window = window
        for active in self._active.values():
            self._limit_to_stop_window(active)
        if self._scheduled is not None:
            self._scheduled.limit_waits()

    def _limit_to_stop_window(self, active: _ActiveRequest) -> None:
        """Limits when a request is sent and answered if this daemon stops."""
        window = self._stop_window
        if window is None:
            return
        context, timeout = active.context, active.timeout
        context.stop_end_s = window.end_s
        context.latest_send_s = stop_window.latest_send_s(
            window,
            context.deadline_s,
            self._sender.mean_latency_s(context.route.name),
        )
        if window.end_s < context.deadline_s and not timeout.expired():
            timeout.reschedule(window.end_s)

    def _refuse_if_stopping(
        self, context: requests.RequestContext, now_s: float
    ) -> None:
        """Refuses a request that might outlast this daemon.

        Raises:
          requests.RefusedError: the request is not to be sent.
        """
        if now_s > context.latest_send_s:
            raise requests.RefusedError(
                errors.Reason.DRAINING, 503, STOPPING_RETRY_AFTER_S
            )

    # serving

    async def serve(self, request: requests.Request) -> requests.Reply:
        """Returns the reply to a request, which may be a refusal."""
        metadata = http_messages.parse_request_metadata(request.headers)
        context: requests.RequestContext | None = None
        self.in_flight += 1
        try:
            context = self._admission.admit(request, metadata)
            return await self._serve_admitted(context)
        except requests.RefusedError as refusal:
            self._record_refusal(request, metadata, refusal, None)
            return requests.refusal_reply(metadata, refusal)
        except Exception as error:
            events.log_with_traceback(
                events.REQUEST_FAILED_INSIDE,
                error,
                request=metadata.request_id.decode("latin-1"),
            )
            internal = _internal_refusal(context)
            self._record_refusal(request, metadata, internal, context)
            return requests.refusal_reply(metadata, internal)
        finally:
            self.in_flight -= 1

    async def _serve_admitted(
        self, context: requests.RequestContext
    ) -> requests.Reply:
        self._retry_budget(context.service).record_request(
            context.request.arrived_s
        )
        try:
            async with asyncio.timeout_at(context.deadline_s) as timeout:
                active = _ActiveRequest(context, timeout)
                self._active[context.sequence_number] = active
                self._limit_to_stop_window(active)
                self._refuse_if_stopping(
                    context, asyncio.get_running_loop().time()
                )
                self._sender.refuse_if_quarantined(context)
                await self._admission.take_token(context)
                self._sender.count_arrival(context)
                answer = await self._send_until_answered(context)
        except TimeoutError:
            return self._refuse(context, self._deadline_refusal(context))
        except requests.RefusedError as refusal:
            # A variable of this frame must not keep the exception, whose
            # traceback refers to the frame: only the cyclic garbage collector
            # would free both, and the request with its body.
            return self._refuse(
                context, self._without_not_run_promise(context, refusal)
            )
        finally:
            self._active.pop(context.sequence_number, None)
        return self._finish_answered(context, answer)

    def _refuse(
        self, context: requests.RequestContext, refusal: requests.RefusedError
    ) -> requests.Reply:
        """Records a refusal and returns the reply."""
        self._record_refusal(
            context.request, context.metadata, refusal, context
        )
        return requests.refusal_reply(context.metadata, refusal)

    def _deadline_refusal(
        self, context: requests.RequestContext
    ) -> requests.RefusedError:
        """Returns the refusal of a request whose time is over.

        That is its deadline, or the end of this daemon's stop if that is first.
        """
        window = self._stop_window
        is_stop = window is not None and window.end_s < context.deadline_s
        reason = errors.Reason.DEADLINE_PASSED
        retry_after_s = DEFAULT_RETRY_AFTER_S
        if is_stop:
            reason = errors.Reason.DRAINING
            retry_after_s = STOPPING_RETRY_AFTER_S
            self.cut_short += context.in_flight
        if context.in_flight or context.may_have_run:
            return requests.RefusedError(reason, 504)
        return requests.RefusedError(reason, 503, retry_after_s)

    def _without_not_run_promise(
        self, context: requests.RequestContext, refused: requests.RefusedError
    ) -> requests.RefusedError:
        """Returns a refusal with status 502 if the request may have run.

        The statuses of other refusals tell the caller that it has not run.
        """
        if not context.may_have_run:
            return refused
        return requests.RefusedError(
            refused.reason, 502, None, **refused.log_fields
        )

    async def _send_until_answered(
        self, context: requests.RequestContext
    ) -> http1.Response:
        # The sends that the budget allows this request so far.
        allowed_sends = 1
        while True:
            target = await self._wait_for_target(context)
            try:
                self._sender.refuse_if_quarantined(context)
                if context.sends >= allowed_sends:
                    self._spend_retry(context)
                    allowed_sends += 1
                answer = await self._sender.send(context, target)
            finally:
                if target.slot is not None:
                    target.slot.release(slot_messages.SlotOutcome.UNUSED)
            if answer is not None:
                return answer

    def _spend_retry(self, context: requests.RequestContext) -> None:
        """Takes a retry from the budget.

        Raises:
          requests.RefusedError: the request is not to be sent again.
        """
        if not self._take_retry(context):
            raise requests.RefusedError(
                errors.Reason.RETRY_BUDGET_SPENT, 503, DEFAULT_RETRY_AFTER_S
            )

    def _take_retry(self, context: requests.RequestContext) -> bool:
        if context.sends >= MAX_SENDS_PER_REQUEST:
            return False
        now_s = asyncio.get_running_loop().time()
        if not self._retry_budget(context.service).try_spend(
            now_s, self._directory.daemon_count
        ):
            return False
        self._metrics.increment("repeats", context.last_failure)
        return True

    def _retry_budget(self, service: str) -> state_module.WindowedRetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            ratio, slack, window_s = self._retry_limits
            budget = state_module.WindowedRetryBudget(
                ratio * RETRY_BUDGET_SAFETY_RATIO,
                slack * RETRY_BUDGET_SAFETY_RATIO,
                window_s,
            )
            self._retry_budgets[service] = budget
        return budget

    # selecting an upstream

    async def _wait_for_target(
        self, context: requests.RequestContext
    ) -> requests.Target:
        """Waits until an upstream has capacity for a request.

        Raises:
          requests.RefusedError: no upstream has capacity in time.
        """
        loop = asyncio.get_running_loop()
        latest_send_s = self._sender.latest_useful_send_s(context)
        while True:
            now_s = loop.time()
            self._refuse_if_stopping(context, now_s)
            if now_s >= latest_send_s:
                raise requests.RefusedError(
                    errors.Reason.DEADLINE_PASSED, 503, DEFAULT_RETRY_AFTER_S
                )
            self._sender.refuse_if_cut_off()
            found = await self._find_target(context, now_s, latest_send_s)
            if found is None:
                continue
            if isinstance(found, requests.Target):
                return found
            if context.waiting_since_s is None:
                context.waiting_since_s = now_s
            wait_until_s = min(
                context.waiting_since_s + found.max_wait_s,
                latest_send_s,
            )
            if now_s >= wait_until_s:
                is_full = found.reason is errors.Reason.QUEUE_FULL
                raise requests.RefusedError(
                    found.reason,
                    503,
                    QUEUE_FULL_RETRY_AFTER_S
                    if is_full
                    else DEFAULT_RETRY_AFTER_S,
                )
            await self._directory.waiting.wait(
                found.queue_key,
                context.priority,
                min(
                    wait_until_s,
                    self._directory.recheck_due_s(found.queue_key, now_s),
                ),
                context.sequence_number,
            )

    async def _find_target(
        self,
        context: requests.RequestContext,
        now_s: float,
        latest_send_s: float,
    ) -> requests.Target | target_selection.Wait | None:
        """Returns a target, how to wait for one, or None to look again."""
        if self._scheduled is not None and self._scheduled.is_scheduling:
            return await self._scheduled.find(context, now_s, latest_send_s)
        return self._selector.find(context, now_s)

    # replies

    def _finish_answered(
        self, context: requests.RequestContext, answer: http1.Response
    ) -> requests.Reply:
        now_s = asyncio.get_running_loop().time()
        latency_s = now_s - context.request.arrived_s
        self._metrics.increment("answers", f"{answer.status // 100}xx")
        self._metrics.record_latency(context.service, latency_s)
        is_late = latency_s > context.route.latency_objective_s
        if (
            answer.status >= http1.MIN_SERVER_ERROR_STATUS
            or context.sends > 1
            or is_late
            or context.peer
        ):
            load = http_messages.parse_load(answer)
            self._log(
                events.REQUEST_ANSWERED,
                request=context.metadata.request_id,
                status=answer.status,
                route=context.route.name,
                service=context.service,
                upstreams=context.tried_upstreams,
                sends=context.sends,
                peer=context.peer,
                key=context.metadata.shard_key,
                latency_s=round(latency_s, 4),
                at_upstream_s=round(now_s - context.sent_s, 4),
                upstream_running=load.running if load else None,
                upstream_waiting=load.waiting if load else None,
                upstream_slowness=load.slowness if load else None,
            )
        headers = b"".join(
            b"%b: %b\r\n" % (name, value)
            for name, value in http_messages.returned_headers(answer)
        )
        return requests.Reply(
            answer.status, headers, answer.body, answer.ends_with_connection
        )

    def _record_refusal(
        self,
        request: requests.Request,
        metadata: http_messages.RequestMetadata,
        refusal: requests.RefusedError,
        context: requests.RequestContext | None,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self._metrics.increment("refusals", refusal.reason.value)
        self._metrics.increment("own_answers", str(refusal.status))
        configuration = self._directory.configuration
        verdict = errors.Verdict.NOT_RUN
        if context is not None and (context.may_have_run or context.in_flight):
            verdict = errors.Verdict.MAY_HAVE_RUN
        event = events.REQUEST_REFUSED
        if verdict is errors.Verdict.MAY_HAVE_RUN:
            event = events.REQUEST_UNCERTAIN
        self._log(
            event,
            request=metadata.request_id,
            status=refusal.status,
            reason=refusal.reason.value,
            verdict=verdict.value,
            config=configuration.version if configuration else None,
            route=context.route.name if context else None,
            service=context.service if context else None,
            account=context.account.name
            if context and context.account
            else None,
            key=metadata.shard_key,
            upstreams=context.tried_upstreams if context else [],
            sends=context.sends if context else 0,
            failure=context.last_failure if context else "",
            idempotent=context.route.is_idempotent if context else None,
            **_last_send_fields(context, now_s),
            table=self._directory.table_label(),
            store_lost_s=self._directory.store_lost_for_s(),
            held_s=round(now_s - request.arrived_s, 4),
            **refusal.log_fields,
        )


def _internal_refusal(
    context: requests.RequestContext | None,
) -> requests.RefusedError:
    """Returns the refusal of a request that met an unexpected error.

    What the error has interrupted is not known, so one that was sent may have
    run, whatever is known of its sends.
    """
    if context is None or not context.sends:
        return requests.RefusedError(
            errors.Reason.INTERNAL, 503, DEFAULT_RETRY_AFTER_S
        )
    context.verdict.record(errors.Verdict.MAY_HAVE_RUN)
    return requests.RefusedError(errors.Reason.INTERNAL, 500)


def _last_send_fields(
    context: requests.RequestContext | None, now_s: float
) -> dict[str, object]:
    """Returns when a request was last sent, with how much time, and how."""
    if context is None or not context.sends:
        return {}
    connection = context.used_connections[-1]
    return {
        "on_new_connection": connection.exchange_count == 1,
        "sent_ago_s": round(now_s - context.sent_s, 4),
        "left_at_send_s": round(context.deadline_s - context.sent_s, 4),
    }
