"""Defines the messages in which daemons forward requests and answers."""

import dataclasses

from sardinehill import errors

Headers = tuple[tuple[str, str], ...]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


@dataclasses.dataclass(frozen=True)
class ForwardRequest:
    """A caller's authenticated request, forwarded to a gateway.

    Attributes:
      request_id: the id of the request, unique per submission by a caller.
      service: the service's name.
      key: the booking or order key; empty for an undivided service.
      account: the client account of the caller.
      method: the HTTP method.
      path: the path with its query.
      headers: the headers that are passed on to the upstream.
      body: the complete body.
      deadline_ms: milliseconds left until the deadline.
      upstream: the owner of the key according to the daemon that received the
        caller's request.
      assignment_version: the version of the assignment that names this owner.
      idempotency_key: the caller's own id of the request, or empty.
    """

    request_id: str
    service: str
    key: str
    account: str
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline_ms: int
    upstream: str
    assignment_version: int
    idempotency_key: str

    @property
    def is_idempotent(self) -> bool:
        """Whether running the request twice has the same effect as once."""
        return self.method in IDEMPOTENT_METHODS


@dataclasses.dataclass(frozen=True)
class UpstreamQueueLoad:
    """The load of an upstream, as its gateway reports it with each answer.

    Attributes:
      waiting_requests: requests in flight at the upstream plus queued ones.
      latency_s: the upstream's recent latency, or 0 if there is none.
      limit_requests: the concurrency limit in requests, or 0 if unknown.
    """

    waiting_requests: int = 0
    latency_s: float = 0.0
    limit_requests: int = 0


@dataclasses.dataclass(frozen=True)
class ForwardAnswer:
    """An upstream's answer to a forwarded request, or a refusal.

    Attributes:
      request_id: the id of the answered request.
      verdict: whether the request may have run.
      reason: why the request was refused; None for an upstream's answer.
      status: the upstream's HTTP status, or 0 for a refusal.
      headers: the upstream's headers.
      body: the complete body.
      retry_after_ms: milliseconds after which a refused caller may try again,
        or 0 if unknown.
      detail: an explanation for the caller.
      load: the upstream's load according to its gateway.
    """

    request_id: str
    verdict: errors.Verdict
    reason: errors.Reason | None = None
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    retry_after_ms: int = 0
    detail: str = ""
    load: UpstreamQueueLoad = UpstreamQueueLoad()


def refusal_answer(
    request_id: str,
    reason: errors.Reason,
    verdict: errors.Verdict,
    detail: str = "",
    retry_after_ms: int = 0,
) -> ForwardAnswer:
    """Returns the answer to a request that no upstream answered."""
    return ForwardAnswer(
        request_id,
        verdict,
        reason,
        detail=detail,
        retry_after_ms=retry_after_ms,
    )
