"""Sends requests, grants and releases to upstreams over HTTP.

This is the only module that knows the upstreams' format. The rest of the daemon
uses the typed methods of `UpstreamClient`.
"""

from collections.abc import Mapping
import enum
from typing import Any

import aiohttp
import multidict

from sardinehill import errors
from sardinehill import http1
from sardinehill.adapters import answer_ends
from sardinehill.core import fleet
from sardinehill.core import forward_messages
from sardinehill.core import grants
from sardinehill.core import upstream_queue

CONTROL_CALL_TIMEOUT_S = 0.5
# Upstreams are given this much less time than is left, at most a part of it, so
# that the refusal of a request that waited there to the end arrives in time.
ANSWER_RETURN_MARGIN_S = 0.03
MAX_RETURN_MARGIN_RATIO = 0.25
NOT_RUN_HEADER = "Upstream-Not-Run"
REQUEST_ID_HEADER = "Upstream-Request-Id"
INCARNATION_HEADER = "Upstream-Incarnation"

_NOT_RUN_STATUSES = frozenset({409, 503})
_NOT_RUN_REASONS: Mapping[str, errors.Reason] = {
    "shed": errors.Reason.SHED,
    "cold": errors.Reason.SHED,
    "draining": errors.Reason.DRAINING,
    "fenced": errors.Reason.FENCED,
    "deadline": errors.Reason.DEADLINE_PASSED,
    "cancelled": errors.Reason.CANCELLED,
}
_DISPOSITION_BY_NOT_RUN_REASON: Mapping[str, upstream_queue.SendDisposition] = {
    "shed": upstream_queue.SendDisposition.SHED,
    "cold": upstream_queue.SendDisposition.COLD,
}
# Headers that apply to a single connection and are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-encoding",
        "content-length",
        "keep-alive",
        "transfer-encoding",
        "upgrade",
    }
)


class CancelState(enum.Enum):
    """The state of a request that an upstream was asked to cancel.

    `UNKNOWN` proves nothing, because the request may never have arrived.
    """

    NOT_STARTED = "not-started"
    CANCELLED = "cancelled"
    RUNNING = "running"
    UNKNOWN = "unknown"


class UpstreamClient:
    """Calls upstreams with one connection pool."""

    def __init__(self, connections_per_upstream: int) -> None:
        self._connections_per_upstream = connections_per_upstream
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self,
        upstream: fleet.UpstreamHost,
        request: forward_messages.ForwardRequest,
        fence: Mapping[str, str],
        timeout_s: float,
    ) -> upstream_queue.SendResult:
        """Sends a request once and returns how that ended.

        If no connection could be made, the request did not run. After any later
        failure it may have run, unless the upstream reports in a complete
        answer to this request that it did not.

        Args:
          upstream: the upstream to send to.
          request: the request.
          fence: headers by which the upstream checks the sender's grant.
          timeout_s: seconds to wait for the complete answer; the upstream
            receives a little less as the deadline of the request.
        """
        headers = multidict.CIMultiDict(request.headers)
        headers.update(fence)
        headers["Sardinehill-Account"] = request.account
        headers["Sardinehill-Key"] = request.key
        headers["Sardinehill-Request-Id"] = request.request_id
        margin_s = min(
            ANSWER_RETURN_MARGIN_S, timeout_s * MAX_RETURN_MARGIN_RATIO
        )
        headers["Sardinehill-Deadline-Ms"] = str(
            int((timeout_s - margin_s) * 1000)
        )
        try:
            async with self._open_session().request(
                request.method,
                _url(upstream, request.path),
                headers=headers,
                data=request.body,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                if _has_two_heads(response):
                    # What follows would be taken for the next answer.
                    response.close()
                    return _failure(
                        request,
                        upstream_queue.SendDisposition.LOST,
                        errors.Reason.CONNECTION_LOST,
                        detail="the answer has another one's head in it",
                    )
                body = await response.read()
                return _send_result(request, response, body)
        except aiohttp.ClientConnectorError:
            return _failure(
                request,
                upstream_queue.SendDisposition.NOT_SENT,
                errors.Reason.CONNECT_FAILED,
                errors.Verdict.NOT_RUN,
            )
        except TimeoutError:
            return _failure(
                request,
                upstream_queue.SendDisposition.TIMED_OUT,
                errors.Reason.DEADLINE_PASSED,
            )
        except (aiohttp.ClientError, OSError):
            return _failure(
                request,
                upstream_queue.SendDisposition.LOST,
                errors.Reason.CONNECTION_LOST,
            )

    async def cancel(
        self, upstream: fleet.UpstreamHost, request_id: str
    ) -> CancelState | None:
        """Asks to cancel a request; returns None if no valid answer came."""
        body = await self._control(
            "POST", upstream, "/-/cancel", {"request_id": request_id}
        )
        try:
            return CancelState(body.get("state"))
        except ValueError:
            return None

    async def send_grant(
        self,
        upstream: fleet.UpstreamHost,
        service: str,
        grant: grants.Grant,
        sent_by: str,
        timeout_s: float,
    ) -> grants.GrantAnswer | None:
        """Sends a grant; returns None if no valid answer came.

        If the upstream's answer has no clock, its clock counts as 0. Such an
        upstream counts the ttl of a grant from its receipt and ignores
        `as_of_ms`.
        """
        shards = [unit for unit in grant.units if isinstance(unit, int)]
        keys = [unit for unit in grant.units if isinstance(unit, str)]
        body = await self._control(
            "PUT",
            upstream,
            "/-/grant",
            {
                "service": service,
                "term": grant.term,
                "sequence": grant.sequence,
                "shards": [list(span) for span in grants.shard_ranges(shards)],
                "hot_keys": sorted(keys),
                "except_keys": sorted(grant.except_keys),
                "ttl_ms": int(grant.ttl_s * 1000),
                "incarnation": grant.incarnation,
                "as_of_ms": grant.stamp_ms,
                "sent_by": sent_by,
            },
            timeout_s,
        )
        try:
            return grants.GrantAnswer(
                accepted=bool(body["accepted"]),
                term=int(body["term"]),
                sequence=int(body["sequence"]),
                incarnation=str(body["incarnation"]),
                clock_ms=int(body.get("clock_ms", 0)),
                running_outside=int(body.get("running_outside", 0)),
            )
        except (KeyError, TypeError, ValueError):
            return None

    async def release_grant(
        self,
        upstream: fleet.UpstreamHost,
        service: str,
        term: int,
        sequence: int,
    ) -> bool:
        """Makes an upstream release its grant; returns whether it confirmed."""
        body = await self._control(
            "POST",
            upstream,
            "/-/release",
            {"service": service, "term": term, "sequence": sequence},
        )
        return body.get("released") is True

    async def health(self, upstream: fleet.UpstreamHost) -> dict[str, Any]:
        """Returns an upstream's health report, or `{}` if none came."""
        return await self._control("GET", upstream, "/-/health", None)

    async def _control(
        self,
        method: str,
        upstream: fleet.UpstreamHost,
        path: str,
        value: dict[str, Any] | None,
        timeout_s: float = CONTROL_CALL_TIMEOUT_S,
    ) -> dict[str, Any]:
        try:
            async with self._open_session().request(
                method,
                _url(upstream, path),
                json=value,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                body = await response.json(content_type=None)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return {}
        return body if isinstance(body, dict) else {}

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = answer_ends.Connector(
                limit=0, limit_per_host=self._connections_per_upstream
            )
            self._session = aiohttp.ClientSession(
                connector=connector, auto_decompress=False
            )
            # By default the session silently repeats an idempotent request
            # when a kept connection turns out to be closed. The upstream queue
            # would count one request in flight instead of two, and would not
            # notice the lost connection, which may mean that the upstream
            # restarted. The session has no public option to turn this off.
            self._session._retry_connection = False
        return self._session


def _url(upstream: fleet.UpstreamHost, path: str) -> str:
    return f"http://{upstream.address}{path}"


def _failure(
    request: forward_messages.ForwardRequest,
    disposition: upstream_queue.SendDisposition,
    reason: errors.Reason,
    verdict: errors.Verdict = errors.Verdict.MAY_HAVE_RUN,
    detail: str = "",
) -> upstream_queue.SendResult:
    answer = forward_messages.refusal_answer(
        request.request_id, reason, verdict, detail
    )
    return upstream_queue.SendResult(disposition, answer)


def _has_two_heads(response: aiohttp.ClientResponse) -> bool:
    """Returns whether the upstream sent the beginning of another answer."""
    reason = (response.reason or "").encode("utf-8", "surrogateescape")
    return http1.has_status_line(reason) or any(
        http1.has_status_line(value) for _, value in response.raw_headers
    )


def _send_result(
    request: forward_messages.ForwardRequest,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> upstream_queue.SendResult:
    if response.headers.get(REQUEST_ID_HEADER) != request.request_id:
        return _failure(
            request,
            upstream_queue.SendDisposition.LOST,
            errors.Reason.CONNECTION_LOST,
            detail="the upstream answered another request",
        )
    incarnation = response.headers.get(INCARNATION_HEADER, "")
    not_run_reason = response.headers.get(NOT_RUN_HEADER)
    if not_run_reason is not None and response.status in _NOT_RUN_STATUSES:
        reason = _NOT_RUN_REASONS.get(not_run_reason)
        if reason is not None:
            refusal = forward_messages.refusal_answer(
                request.request_id, reason, errors.Verdict.NOT_RUN
            )
            disposition = _DISPOSITION_BY_NOT_RUN_REASON.get(
                not_run_reason, upstream_queue.SendDisposition.OTHER_NOT_RUN
            )
            return upstream_queue.SendResult(disposition, refusal, incarnation)
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in _HOP_BY_HOP_HEADERS
    )
    answer = forward_messages.ForwardAnswer(
        request.request_id,
        errors.Verdict.RAN,
        status=response.status,
        headers=headers,
        body=body,
    )
    return upstream_queue.SendResult(
        upstream_queue.SendDisposition.ANSWERED, answer, incarnation
    )
