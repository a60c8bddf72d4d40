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
from sardinehill.core import room as room_module
from sardinehill.front import admission as admission_module
from sardinehill.front import directory as directory_module
from sardinehill.front import requests
from sardinehill.front import sending
from sardinehill.front import stats as stats_module
from sardinehill.platform import exchanges

# A request with less time left than this part of its usual latency is not
# worth sending.
HOPELESS_SHARE = 0.3
# Refusals say to come back after this, unless something better is known.
RETRY_AFTER_S = 0.25
# How much of its time a request waits for a key's owner to be known.
OWNER_PATIENCE_SHARE = 0.5
# A request waits for room at least this part of its latency objective.
LEAST_PATIENCE_SHARE = 0.3
# A caller whom a full upstream refuses is to come back after this.
FULL_RETRY_AFTER_S = 0.5
SENDS_LIMIT = 8
# Daemons that were restarted have forgotten what they spent.
BUDGET_SHARE = 0.75
# Bytes between zones are paid for: an upstream elsewhere must be this much
# faster.
OTHER_ZONE_COST_RATIO = 1.3


class Relay:
    """Serves callers' requests."""

    def __init__(
        self,
        directory: directory_module.Directory,
        stats: stats_module.Stats,
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
        self._retry_terms = (retry_ratio, retry_slack, retry_window_s)
        self._admission = admission
        self._sender = sender
        self._zone = zone
        self._budgets: dict[str, room_module.RepeatBudget] = {}
        self._random = random.Random()
        self.in_flight = 0

    # serving

    async def serve(self, request: requests.Request) -> requests.Reply:
        """Returns the answer to a request, also when it cannot be served."""
        fields = exchanges.caller_fields(request.headers)
        self.in_flight += 1
        try:
            work = self._admission.admit(request, fields)
        except requests.RefusedError as refusal:
            self._note_refusal(request, fields, refusal, None)
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

    async def _serve_admitted(self, work: requests.Work) -> requests.Reply:
        self._budget(work.service).requested(work.request.arrived_s)
        try:
            async with asyncio.timeout_at(work.deadline_s):
                await self._admission.meter(work)
                answer = await self._until_answered(work)
        except TimeoutError:
            refusal = self._out_of_time(work)
            self._note_refusal(work.request, work.fields, refusal, work)
            return requests.refusal_reply(work.fields, refusal)
        except requests.RefusedError as refused:
            refusal = self._safe(work, refused)
            self._note_refusal(work.request, work.fields, refusal, work)
            return requests.refusal_reply(work.fields, refusal)
        return self._answered(work, answer)

    def _out_of_time(self, work: requests.Work) -> requests.RefusedError:
        if work.in_flight or work.may_have_run:
            return requests.RefusedError(errors.Reason.DEADLINE_PASSED, 504)
        return requests.RefusedError(
            errors.Reason.DEADLINE_PASSED, 503, RETRY_AFTER_S
        )

    def _safe(
        self, work: requests.Work, refused: requests.RefusedError
    ) -> requests.RefusedError:
        """Turns a promise that nothing has run into none if it may have."""
        if not work.may_have_run:
            return refused
        return requests.RefusedError(refused.reason, 502)

    async def _until_answered(self, work: requests.Work) -> http1.Answer:
        while True:
            target = await self._choose(work)
            if work.sends > 0 and not self._may_repeat(work):
                raise requests.RefusedError(
                    errors.Reason.RETRY_BUDGET_SPENT, 503, RETRY_AFTER_S
                )
            answer = await self._sender.send(work, target)
            if answer is not None:
                return answer

    def _may_repeat(self, work: requests.Work) -> bool:
        if work.sends >= SENDS_LIMIT:
            return False
        now_s = asyncio.get_running_loop().time()
        if not self._budget(work.service).take(now_s, self._directory.daemons):
            return False
        self._stats.count("repeats", work.last_failure)
        return True

    def _budget(self, service: str) -> room_module.RepeatBudget:
        budget = self._budgets.get(service)
        if budget is None:
            ratio, slack, window_s = self._retry_terms
            budget = room_module.RepeatBudget(
                ratio * BUDGET_SHARE, slack * BUDGET_SHARE, window_s
            )
            self._budgets[service] = budget
        return budget

    # where to

    async def _choose(self, work: requests.Work) -> requests.Target:
        """Waits until an upstream has room for a request.

        Raises:
          requests.RefusedError: none will have in time.
        """
        loop = asyncio.get_running_loop()
        needed_s = self._sender.usual_s(work.route.name) * HOPELESS_SHARE
        while True:
            now_s = loop.time()
            left_s = work.deadline_s - now_s
            if left_s <= needed_s:
                raise requests.RefusedError(
                    errors.Reason.DEADLINE_PASSED, 503, RETRY_AFTER_S
                )
            found = self._find(work, now_s)
            if isinstance(found, requests.Target):
                return found
            place, patience_s, reason = found
            if work.waited_from_s is None:
                work.waited_from_s = now_s
            until_s = min(
                work.waited_from_s + patience_s, work.deadline_s - needed_s
            )
            if now_s >= until_s:
                is_full = reason is errors.Reason.QUEUE_FULL
                raise requests.RefusedError(
                    reason,
                    503,
                    FULL_RETRY_AFTER_S if is_full else RETRY_AFTER_S,
                )
            await self._directory.waiting.wait(
                place,
                work.rank,
                min(until_s, self._directory.next_change_s(place, now_s)),
                work.ticket,
            )

    def _find(
        self, work: requests.Work, now_s: float
    ) -> requests.Target | tuple[object, float, errors.Reason]:
        """Returns an upstream with room, or what to wait for and how long."""
        time_s = work.deadline_s - work.request.arrived_s
        if self._directory.is_divided(work.service):
            return self._find_owner(work, now_s, time_s)
        return self._find_any(work, now_s, time_s)

    def _find_owner(
        self, work: requests.Work, now_s: float, time_s: float
    ) -> requests.Target | tuple[object, float, errors.Reason]:
        key = work.fields.shard_key
        if key is None:
            return self._find_any(work, now_s, time_s)
        owned = self._directory.owner(work.service, key, now_s)
        if owned is None:
            return (
                ("owner", work.service),
                time_s * OWNER_PATIENCE_SHARE,
                errors.Reason.UNOWNED,
            )
        upstream, epoch = owned
        room, pool = self._directory.room_of(upstream)
        if not self._directory.has_room(upstream, now_s):
            return (
                ("room", upstream.id),
                self._room_patience_s(work, room.slowness),
                errors.Reason.QUEUE_FULL,
            )
        return requests.Target(upstream, room, pool, epoch)

    def _find_any(
        self, work: requests.Work, now_s: float, time_s: float
    ) -> requests.Target | tuple[object, float, errors.Reason]:
        usable = self._directory.usable(work.service, now_s)
        if not usable:
            return (
                ("any", work.service),
                time_s * OWNER_PATIENCE_SHARE,
                errors.Reason.NO_UPSTREAM,
            )
        candidates = [
            upstream
            for upstream in usable
            if self._directory.has_room(upstream, now_s)
        ]
        tried = set(work.tried)
        if len(tried) >= work.route.max_attempts:
            candidates = [one for one in candidates if one.id in tried]
        else:
            fresh = [one for one in candidates if one.id not in tried]
            candidates = fresh or candidates
        by_id = {one.id: one for one in candidates}
        name = room_module.cheapest(
            (
                (
                    one.id,
                    self._directory.room_of(one)[0],
                    1.0 if one.zone == self._zone else OTHER_ZONE_COST_RATIO,
                )
                for one in candidates
            ),
            now_s,
            self._random.random,
        )
        if name is None:
            return (
                ("any", work.service),
                self._room_patience_s(work, 1.0),
                errors.Reason.QUEUE_FULL,
            )
        upstream = by_id[name]
        room, pool = self._directory.room_of(upstream)
        return requests.Target(upstream, room, pool, 0)

    def _room_patience_s(self, work: requests.Work, slowness: float) -> float:
        """Returns how long a request waits for room at a full upstream.

        Longer than this it would be late anyhow, and keep others waiting.
        """
        objective_s = work.route.objective_s
        in_time_s = (
            objective_s - self._sender.usual_s(work.route.name) * slowness
        )
        return max(in_time_s, objective_s * LEAST_PATIENCE_SHARE)

    # answering

    def _answered(
        self, work: requests.Work, answer: http1.Answer
    ) -> requests.Reply:
        now_s = asyncio.get_running_loop().time()
        latency_s = now_s - work.request.arrived_s
        self._stats.count("answers", f"{answer.status // 100}xx")
        self._stats.latency(work.service, latency_s)
        is_late = latency_s > work.route.objective_s
        if answer.status >= sending.SERVER_ERROR or work.sends > 1 or is_late:
            load = exchanges.load_of(answer)
            self._log(
                events.REQUEST_ANSWERED,
                request=work.fields.request_id,
                status=answer.status,
                route=work.route.name,
                service=work.service,
                upstreams=work.tried,
                sends=work.sends,
                key=work.fields.shard_key,
                latency_s=round(latency_s, 4),
                at_upstream_s=round(now_s - work.sent_s, 4),
                upstream_running=load.running if load else None,
                upstream_waiting=load.waiting if load else None,
                upstream_slowness=load.slowness if load else None,
            )
        headers = b"".join(
            b"%b: %b\r\n" % (name, value)
            for name, value in exchanges.returned_headers(answer)
        )
        return requests.Reply(
            answer.status, headers, answer.body, answer.ends_with_connection
        )

    def _note_refusal(
        self,
        request: requests.Request,
        fields: exchanges.CallerFields,
        refusal: requests.RefusedError,
        work: requests.Work | None,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        self._stats.count("refusals", refusal.reason.value)
        self._stats.count("own_answers", str(refusal.status))
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
            upstreams=work.tried if work else [],
            sends=work.sends if work else 0,
            failure=work.last_failure if work else "",
            table=self._directory.table_label(),
            store_lost_s=self._directory.store_lost_s(),
            held_s=round(now_s - request.arrived_s, 4),
            **refusal.inputs,
        )
