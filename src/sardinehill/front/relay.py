"""From a caller's request to an upstream's answer.

Decides where a request goes, whether it may be sent again, and what the
caller is told when it cannot be served.
"""

import asyncio
from collections.abc import Callable
import random

from sardinehill import errors
from sardinehill import events
from sardinehill import http1
from sardinehill.core import upstream_state as room_module
from sardinehill.front import admission as admission_module
from sardinehill.front import front_metrics as stats_module
from sardinehill.front import requests
from sardinehill.front import sending
from sardinehill.front import upstream_directory as directory_module
from sardinehill.platform import http_messages

# A request with less time left than this part of its usual latency is not
# worth sending.
MIN_REMAINING_TIME_RATIO = 0.3
# Refusals say to come back after this, unless something better is known.
DEFAULT_RETRY_AFTER_S = 0.25
# How much of its time a request waits for a key's owner to be known.
MAX_OWNER_WAIT_RATIO = 0.5
# A request waits for room at least this part of its latency objective.
MIN_CAPACITY_WAIT_RATIO = 0.3
# A caller whom a full upstream refuses is to come back after this.
QUEUE_FULL_RETRY_AFTER_S = 0.5
MAX_SENDS_PER_REQUEST = 8
# Daemons that were restarted have forgotten what they spent.
RETRY_BUDGET_SAFETY_RATIO = 0.75
# Bytes between zones are paid for: an upstream elsewhere must be this much
# faster.
CROSS_ZONE_COST_FACTOR = 1.3


class Relay:
    """Serves callers' requests."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        stats: stats_module.FrontMetrics,
        log_request: Callable[..., None],
        retry_ratio: float,
        retry_slack: float,
        retry_window_s: float,
        admission: admission_module.Admission,
        sender: sending.Sender,
        zone: str,
    ):
        self._directory = directory
        self._stats = stats
        self._log = log_request
        self._retry_limits = (retry_ratio, retry_slack, retry_window_s)
        self._admission = admission
        self._sender = sender
        self._zone = zone
        self._retry_budgets: dict[str, room_module.WindowedRetryBudget] = {}
        self._random = random.Random()
        self.in_flight = 0

    # serving

    async def serve(self, request: requests.Request) -> requests.Reply:
        """Returns the answer to a request, also when it cannot be served."""
        fields = http_messages.parse_request_metadata(request.headers)
        self.in_flight += 1
        try:
            work = self._admission.admit(request, fields)
        except requests.RefusedError as refusal:
            self._record_refusal(request, fields, refusal, None)
            self.in_flight -= 1
            return requests.refusal_reply(fields, refusal)
        try:
            return await self._serve_admitted(work)
        except Exception as error:
            events.log_failure(
                events.REQUEST_FAILED_INSIDE,
                error,
                request=fields.request_id.decode("latin-1"),
            )
            return requests.refusal_reply(
                fields, requests.RefusedError(errors.Reason.INTERNAL, 500)
            )
        finally:
            self.in_flight -= 1

    async def _serve_admitted(
        self, work: requests.RequestContext
    ) -> requests.Reply:
        self._retry_budget(work.service).record_request(work.request.arrived_s)
        try:
            async with asyncio.timeout_at(work.deadline_s):
                await self._admission.take_token(work)
                answer = await self._send_until_answered(work)
        except TimeoutError:
            refusal = self._deadline_refusal(work)
            self._record_refusal(work.request, work.metadata, refusal, work)
            return requests.refusal_reply(work.metadata, refusal)
        except requests.RefusedError as refused:
            refusal = self._without_not_run_promise(work, refused)
            self._record_refusal(work.request, work.metadata, refusal, work)
            return requests.refusal_reply(work.metadata, refusal)
        return self._finish_answered(work, answer)

    def _deadline_refusal(
        self, work: requests.RequestContext
    ) -> requests.RefusedError:
        if work.in_flight or work.may_have_run:
            return requests.RefusedError(errors.Reason.DEADLINE_PASSED, 504)
        return requests.RefusedError(
            errors.Reason.DEADLINE_PASSED, 503, DEFAULT_RETRY_AFTER_S
        )

    def _without_not_run_promise(
        self, work: requests.RequestContext, refused: requests.RefusedError
    ) -> requests.RefusedError:
        """Turns a promise that nothing has run into none if it may have."""
        if not work.may_have_run:
            return refused
        return requests.RefusedError(refused.reason, 502)

    async def _send_until_answered(
        self, work: requests.RequestContext
    ) -> http1.Answer:
        while True:
            target = await self._wait_for_target(work)
            if work.sends > 0 and not self._take_retry(work):
                raise requests.RefusedError(
                    errors.Reason.RETRY_BUDGET_SPENT, 503, DEFAULT_RETRY_AFTER_S
                )
            answer = await self._sender.send(work, target)
            if answer is not None:
                return answer

    def _take_retry(self, work: requests.RequestContext) -> bool:
        if work.sends >= MAX_SENDS_PER_REQUEST:
            return False
        now_s = asyncio.get_running_loop().time()
        if not self._retry_budget(work.service).try_spend(
            now_s, self._directory.daemon_count
        ):
            return False
        self._stats.increment("repeats", work.last_failure)
        return True

    def _retry_budget(self, service: str) -> room_module.WindowedRetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            ratio, slack, window_s = self._retry_limits
            budget = room_module.WindowedRetryBudget(
                ratio * RETRY_BUDGET_SAFETY_RATIO,
                slack * RETRY_BUDGET_SAFETY_RATIO,
                window_s,
            )
            self._retry_budgets[service] = budget
        return budget

    # where to

    async def _wait_for_target(
        self, work: requests.RequestContext
    ) -> requests.Target:
        """Waits until an upstream has room for a request.

        Raises:
          requests.RefusedError: none will have in time.
        """
        loop = asyncio.get_running_loop()
        needed_s = (
            self._sender.mean_latency_s(work.route.name)
            * MIN_REMAINING_TIME_RATIO
        )
        while True:
            now_s = loop.time()
            left_s = work.deadline_s - now_s
            if left_s <= needed_s:
                raise requests.RefusedError(
                    errors.Reason.DEADLINE_PASSED, 503, DEFAULT_RETRY_AFTER_S
                )
            found = self._find_target(work, now_s)
            if isinstance(found, requests.Target):
                return found
            place, patience_s, reason = found
            if work.waiting_since_s is None:
                work.waiting_since_s = now_s
            until_s = min(
                work.waiting_since_s + patience_s, work.deadline_s - needed_s
            )
            if now_s >= until_s:
                is_full = reason is errors.Reason.QUEUE_FULL
                raise requests.RefusedError(
                    reason,
                    503,
                    QUEUE_FULL_RETRY_AFTER_S
                    if is_full
                    else DEFAULT_RETRY_AFTER_S,
                )
            await self._directory.waiting.wait(
                place,
                work.priority,
                min(until_s, self._directory.recheck_due_s(place, now_s)),
                work.sequence_number,
            )

    def _find_target(
        self, work: requests.RequestContext, now_s: float
    ) -> requests.Target | tuple[object, float, errors.Reason]:
        """Returns an upstream with room, or what to wait for and how long."""
        time_s = work.deadline_s - work.request.arrived_s
        if self._directory.is_divided(work.service):
            return self._find_owner_target(work, now_s, time_s)
        return self._find_any_target(work, now_s, time_s)

    def _find_owner_target(
        self, work: requests.RequestContext, now_s: float, time_s: float
    ) -> requests.Target | tuple[object, float, errors.Reason]:
        key = work.metadata.shard_key
        if key is None:
            return self._find_any_target(work, now_s, time_s)
        owned = self._directory.owner(work.service, key, now_s)
        if owned is None:
            return (
                ("owner", work.service),
                time_s * MAX_OWNER_WAIT_RATIO,
                errors.Reason.UNOWNED,
            )
        upstream, epoch = owned
        room, pool = self._directory.state_and_pool(upstream)
        if not self._directory.has_capacity(upstream, now_s):
            return (
                ("room", upstream.id),
                self._max_capacity_wait_s(work, room.slowness),
                errors.Reason.QUEUE_FULL,
            )
        return requests.Target(upstream, room, pool, epoch)

    def _find_any_target(
        self, work: requests.RequestContext, now_s: float, time_s: float
    ) -> requests.Target | tuple[object, float, errors.Reason]:
        usable = self._directory.usable_upstreams(work.service, now_s)
        if not usable:
            return (
                ("any", work.service),
                time_s * MAX_OWNER_WAIT_RATIO,
                errors.Reason.NO_UPSTREAM,
            )
        candidates = [
            upstream
            for upstream in usable
            if self._directory.has_capacity(upstream, now_s)
        ]
        tried = set(work.tried_upstreams)
        if len(tried) >= work.route.max_attempts:
            candidates = [one for one in candidates if one.id in tried]
        else:
            fresh = [one for one in candidates if one.id not in tried]
            candidates = fresh or candidates
        by_id = {one.id: one for one in candidates}
        name = room_module.choose_upstream(
            (
                (
                    one.id,
                    self._directory.state_and_pool(one)[0],
                    1.0 if one.zone == self._zone else CROSS_ZONE_COST_FACTOR,
                )
                for one in candidates
            ),
            now_s,
            self._random.random,
        )
        if name is None:
            return (
                ("any", work.service),
                self._max_capacity_wait_s(work, 1.0),
                errors.Reason.QUEUE_FULL,
            )
        upstream = by_id[name]
        room, pool = self._directory.state_and_pool(upstream)
        return requests.Target(upstream, room, pool, 0)

    def _max_capacity_wait_s(
        self, work: requests.RequestContext, slowness: float
    ) -> float:
        """Returns how long a request waits for room at a full upstream.

        Longer than this it would be late anyhow, and keep others waiting.
        """
        objective_s = work.route.latency_objective_s
        in_time_s = (
            objective_s
            - self._sender.mean_latency_s(work.route.name) * slowness
        )
        return max(in_time_s, objective_s * MIN_CAPACITY_WAIT_RATIO)

    # answering

    def _finish_answered(
        self, work: requests.RequestContext, answer: http1.Answer
    ) -> requests.Reply:
        now_s = asyncio.get_running_loop().time()
        latency_s = now_s - work.request.arrived_s
        self._stats.increment("answers", f"{answer.status // 100}xx")
        self._stats.record_latency(work.service, latency_s)
        is_late = latency_s > work.route.latency_objective_s
        if (
            answer.status >= sending.MIN_SERVER_ERROR_STATUS
            or work.sends > 1
            or is_late
        ):
            load = http_messages.parse_load(answer)
            self._log(
                events.REQUEST_ANSWERED,
                request=work.metadata.request_id,
                status=answer.status,
                route=work.route.name,
                service=work.service,
                upstreams=work.tried_upstreams,
                sends=work.sends,
                key=work.metadata.shard_key,
                latency_s=round(latency_s, 4),
                at_upstream_s=round(now_s - work.sent_s, 4),
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
        fields: http_messages.RequestMetadata,
        refusal: requests.RefusedError,
        work: requests.RequestContext | None,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self._stats.increment("refusals", refusal.reason.value)
        self._stats.increment("own_answers", str(refusal.status))
        configuration = self._directory.configuration
        verdict = errors.Verdict.NOT_RUN
        if work is not None and (work.may_have_run or work.in_flight):
            verdict = errors.Verdict.MAY_HAVE_RUN
        event = events.REQUEST_REFUSED
        if verdict is errors.Verdict.MAY_HAVE_RUN:
            event = events.REQUEST_UNCERTAIN
        self._log(
            event,
            request=fields.request_id,
            status=refusal.status,
            reason=refusal.reason.value,
            verdict=verdict.value,
            config=configuration.version if configuration else None,
            route=work.route.name if work else None,
            service=work.service if work else None,
            account=work.account.name if work and work.account else None,
            key=fields.shard_key,
            upstreams=work.tried_upstreams if work else [],
            sends=work.sends if work else 0,
            failure=work.last_failure if work else "",
            table=self._directory.table_label(),
            store_lost_s=self._directory.store_lost_for_s(),
            held_s=round(now_s - request.arrived_s, 4),
            **refusal.log_fields,
        )
