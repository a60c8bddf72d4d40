"""Messages that a request becomes on its way through the fleet."""

import dataclasses

from sardinehill import errors

Headers = tuple[tuple[str, str], ...]

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})


@dataclasses.dataclass(frozen=True)
class ForwardRequest:
    """A caller's request, authenticated, on its way to a gateway.

    Attributes:
      request_id: unique for each request that a caller submitted.
      service: the service's name.
      key: the booking or order key, empty on an undivided service.
      account: the client account it runs for.
      method: the HTTP method.
      path: the path with its query.
      headers: the headers that the upstream may see.
      body: the whole body.
      deadline_ms: milliseconds left for it.
      upstream: the upstream that the entry daemon believes owns the key.
      assignment_version: the version which that belief rests on.
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
        """Whether running it twice does no more than running it once."""
        return self.method in IDEMPOTENT_METHODS


@dataclasses.dataclass(frozen=True)
class UpstreamQueueLoad:
    """What a gateway says of an upstream with each answer.

    Attributes:
      waiting_requests: requests in flight at it and queued before it.
      latency_s: its latency of late, 0 when there is none.
      limit_requests: requests that may be in flight, 0 when unknown.
    """

    waiting_requests: int = 0
    latency_s: float = 0.0
    limit_requests: int = 0


@dataclasses.dataclass(frozen=True)
class ForwardAnswer:
    """What became of a request.

    Attributes:
      request_id: the id of the request that this answers.
      verdict: whether it may have run.
      reason: why it was refused, or None with an upstream's answer.
      status: the upstream's HTTP status, 0 for a refusal.
      headers: the upstream's headers.
      body: the whole body.
      retry_after_ms: when a refused caller may try again, 0 if unknown.
      detail: a sentence for the caller.
      load: what the gateway says of the upstream.
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
