"""Sends a request to an upstream once, and judges what came of it."""

import asyncio
from collections.abc import Callable

from sardinehill import errors
from sardinehill import events
from sardinehill import http1
from sardinehill.front import directory as directory_module
from sardinehill.front import requests
from sardinehill.front import stats as stats_module
from sardinehill.front import usage as usage_module
from sardinehill.platform import exchanges

LATENCY_MEMORY = 0.95
FIRST_LATENCY_S = 0.05
SERVER_ERROR = 500


class Sender:
    """Sends requests, and learns from answers how upstreams are."""

    def __init__(
        self,
        directory: directory_module.Directory,
        stats: stats_module.Stats,
        log_request: Callable[..., None],
        usage: usage_module.Usage,
    ):
        self._directory = directory
        self._stats = stats
        self._log = log_request
        self._usage = usage
        self._usual_s: dict[str, float] = {}

    def usual_s(self, route: str) -> float:
        """Returns a route's mean latency over all upstreams."""
        return self._usual_s.get(route, FIRST_LATENCY_S)

    async def send(
        self, work: requests.Work, target: requests.Target
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
        target.pool.give(connection)
        latency_s = asyncio.get_running_loop().time() - work.sent_s
        return self._judge(work, target, answer, latency_s)

    async def _connect(
        self, work: requests.Work, target: requests.Target
    ) -> http1.Connection | None:
        """Takes a place and a connection at an upstream, if it is reached."""
        loop = asyncio.get_running_loop()
        target.room.sent(loop.time())
        try:
            return await target.pool.take(work.deadline_s - loop.time())
        except http1.ConnectionFailedError as error:
            target.room.ended()
            self._unreachable(work, target, error)
            return None
        except BaseException:
            target.room.ended()
            raise

    async def _exchange(
        self,
        work: requests.Work,
        target: requests.Target,
        connection: http1.Connection,
    ) -> http1.Answer | None:
        """Sends a request over a connection; returns its whole answer."""
        loop = asyncio.get_running_loop()
        work.sent_s = loop.time()
        work.sends += 1
        if target.upstream.id not in work.tried:
            work.tried.append(target.upstream.id)
        request_id = work.fields.request_id
        work.in_flight = True
        try:
            answer = await connection.exchange(
                _encoded(work, target),
                lambda found: exchanges.is_answer_to(found, request_id),
                work.request.method == b"HEAD",
            )
        except http1.ConnectionFailedError as error:
            if connection.exchanges == 1 and not error.answered:
                target.room.connection_reset(loop.time())
            self._broken_off(work, target, error)
            return None
        finally:
            work.in_flight = work.in_flight and not connection.usable
            target.room.ended()
            self._directory.room_freed(target.upstream, work.service)
        work.in_flight = False
        return answer

    def _unreachable(
        self,
        work: requests.Work,
        target: requests.Target,
        error: http1.ConnectionFailedError,
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        target.room.unreachable(now_s)
        work.last_failure = "connect-failed"
        self._stats.count("connect_failures", target.upstream.service)
        self._log(
            events.REQUEST_TRIED_AGAIN,
            request=work.fields.request_id,
            reason="connect-failed",
            upstream=target.upstream.id,
            error=str(error),
        )

    def _broken_off(
        self,
        work: requests.Work,
        target: requests.Target,
        error: http1.ConnectionFailedError,
    ) -> None:
        """Judges an exchange without an answer: it may have run."""
        work.in_flight = False
        target.room.answered(0.0, 1.0, ok=False)
        if not error.written:
            work.last_failure = "connection-lost"
            return
        work.may_have_run = True
        work.last_failure = "connection-lost"
        if not work.route.is_idempotent:
            raise requests.RefusedError(errors.Reason.CONNECTION_LOST, 502)
        self._log(
            events.REQUEST_TRIED_AGAIN,
            request=work.fields.request_id,
            reason="connection-lost",
            upstream=target.upstream.id,
            error=str(error),
        )

    def _judge(
        self,
        work: requests.Work,
        target: requests.Target,
        answer: http1.Answer,
        latency_s: float,
    ) -> http1.Answer | None:
        now_s = asyncio.get_running_loop().time()
        load = exchanges.load_of(answer)
        if load is not None:
            target.room.told_load(
                load.running, load.waiting, load.slowness, now_s
            )
        work.idle_there = load is not None and load.waiting == 0
        if exchanges.says_not_run(answer):
            self._not_run(work, target, answer, now_s)
            return None
        genuine = exchanges.is_genuine(answer)
        ok = genuine and answer.status < SERVER_ERROR
        usual_s = self.usual_s(work.route.name)
        target.room.answered(latency_s, usual_s, ok)
        if ok:
            self._learn(work, target, latency_s, usual_s)
            return answer
        work.may_have_run = True
        work.last_failure = f"status-{answer.status}" if genuine else "garbled"
        if work.route.is_idempotent and self._worth_repeating(work, now_s):
            self._log(
                events.REQUEST_TRIED_AGAIN,
                request=work.fields.request_id,
                reason=work.last_failure,
                upstream=target.upstream.id,
            )
            return None
        if genuine and not exchanges.would_promise_not_run(answer):
            return answer
        raise requests.RefusedError(errors.Reason.CONNECTION_LOST, 502)

    def _worth_repeating(self, work: requests.Work, now_s: float) -> bool:
        return (
            work.sends < work.route.max_attempts
            and work.deadline_s - now_s > self.usual_s(work.route.name)
        )

    def _not_run(
        self,
        work: requests.Work,
        target: requests.Target,
        answer: http1.Answer,
        now_s: float,
    ) -> None:
        """Learns why an upstream did not run a request."""
        self._stats.count("upstream_refusals", str(answer.status))
        if answer.status != 421:
            target.room.full(now_s)
            work.last_failure = "shed"
            return
        work.last_failure = "fenced"
        other = exchanges.answering_upstream(answer)
        if other is not None and other != target.upstream.id:
            self._directory.ended(target.upstream)
            return
        key = work.fields.shard_key
        if key is not None:
            self._usage.refused(work.service, key, target.epoch)
            self._directory.refused(work.service, key, target.epoch, now_s)

    def _learn(
        self,
        work: requests.Work,
        target: requests.Target,
        latency_s: float,
        usual_s: float,
    ) -> None:
        name = work.route.name
        self._usual_s[name] = usual_s + (1 - LATENCY_MEMORY) * (
            latency_s - usual_s
        )
        if work.idle_there:
            self._usage.answered(target.upstream.id, latency_s / usual_s)
        key = work.fields.shard_key
        if key is not None:
            self._directory.accepted(work.service, key, target.epoch)
            self._usage.asked(work.service, key, usual_s)


def _encoded(work: requests.Work, target: requests.Target) -> bytes:
    """Returns a request as an upstream gets it."""
    request = work.request
    return exchanges.upstream_request(
        request.method,
        request.target,
        exchanges.forwarded_headers(request.headers),
        request.body,
        request.has_body,
        work.deadline_s - work.sent_s,
        target.upstream.id,
        work.account.name if work.account else None,
    )
