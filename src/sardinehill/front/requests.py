"""Requests in a daemon, their state, and the replies to callers."""

import dataclasses
import math
from typing import Protocol

from sardinehill import errors
from sardinehill import http1
from sardinehill.core import request_digests
from sardinehill.core import request_verdict
from sardinehill.core import routes
from sardinehill.core.load import slot_messages
from sardinehill.core.load import upstream_state as state_module
from sardinehill.front import forwarding
from sardinehill.front import pool as pool_module
from sardinehill.platform import http_messages

AnyConnection = http1.Connection | forwarding.ForwardedConnection


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's complete request.

    Attributes:
      method: the HTTP method.
      target: path and query.
      headers: names in lower case, and values.
      body: the complete body.
      has_body: whether the caller sent a body, also an empty one.
      arrived_s: when the last byte arrived, by the loop's clock.
    """

    method: bytes
    target: bytes
    headers: http1.Headers
    body: bytes
    has_body: bool
    arrived_s: float


@dataclasses.dataclass(slots=True)
class Reply:
    """The response to a caller.

    Attributes:
      status: the status code.
      headers: complete header lines, without the content length.
      body: the complete body.
      ends_with_connection: whether only the end of the connection marks the
        end of the body, as in the upstream's answer. The upstream may have
        died while it sent the body, so a content length would state that a
        possibly truncated body is complete.
    """

    status: int
    headers: bytes
    body: bytes = b""
    ends_with_connection: bool = False


class RefusedError(Exception):
    """Raised to answer a request with a refusal by the daemon itself.

    Attributes:
      reason: why the request is refused.
      status: the status code of the reply.
      retry_after_s: when the caller should try again, or None.
      log_fields: further fields of the log line.
    """

    def __init__(
        self,
        reason: errors.Reason,
        status: int,
        retry_after_s: float | None = None,
        **log_fields: object,
    ):
        super().__init__(reason.value)
        self.reason = reason
        self.status = status
        self.retry_after_s = retry_after_s
        self.log_fields = log_fields


@dataclasses.dataclass(slots=True)
class RequestContext:
    """The state of one admitted request.

    Attributes:
      request: the request as the caller sent it.
      metadata: the values of its headers.
      route: the route that matches it.
      service: the service that the route selected.
      account: the client account it belongs to, or None.
      priority: its priority in queues; 0 is the highest.
      deadline_s: when the request times out, by the loop's clock.
      sequence_number: orders requests of the same priority by arrival.
      latest_send_s: when it may be sent to an upstream at the latest; infinity
        unless the daemon stops.
      stop_end_s: when it is answered at the latest because this daemon stops;
        infinity unless it does.
      sends: how often it was sent to an upstream.
      tried_upstreams: the ids of upstreams that it was sent to.
      used_connections: the connections that it was sent over. An upstream may
        repeat its refusal there, which would pass for a later answer.
      verdict: whether an upstream may have run it, over all attempts.
      in_flight: whether it is at an upstream now.
      sent_s: when it was last sent.
      waiting_since_s: when it first had to wait for capacity, or None.
      last_failure: why the last attempt failed; empty if none has.
      peer: the peer through which it was last sent; empty if it was sent
        directly.
      has_returned: whether its caller seems to have been refused before, or
        None while that is not determined.
    """

    request: Request
    metadata: http_messages.RequestMetadata
    route: routes.Route
    service: str
    account: routes.ClientAccount | None
    priority: int
    deadline_s: float
    sequence_number: int
    latest_send_s: float = math.inf
    stop_end_s: float = math.inf
    sends: int = 0
    tried_upstreams: list[str] = dataclasses.field(default_factory=list)
    used_connections: list[AnyConnection] = dataclasses.field(
        default_factory=list
    )
    verdict: request_verdict.RequestVerdict = dataclasses.field(
        default_factory=request_verdict.RequestVerdict
    )
    in_flight: bool = False
    sent_s: float = 0.0
    waiting_since_s: float | None = None
    last_failure: str = ""
    peer: str = ""
    has_returned: bool | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream has run it or may have run it."""
        return self.verdict.may_have_run


def head_digest(context: RequestContext) -> bytes:
    """Returns the beginning of the digest of a request."""
    return request_digests.head_digest(
        context.account.name if context.account else None,
        context.request.method,
        context.request.target,
    )


def digest(context: RequestContext) -> bytes:
    """Returns the digest of a request, which its repetitions share."""
    return request_digests.digest(
        context.account.name if context.account else None,
        context.request.method,
        context.request.target,
        context.request.body,
    )


class HeldSlot(Protocol):
    """The right to send one request to an upstream."""

    def release(
        self,
        outcome: slot_messages.SlotOutcome,
        latency_s: float = 0.0,
        load: slot_messages.LoadReport | None = None,
    ) -> None:
        """Gives the right back; a second call does nothing."""


@dataclasses.dataclass(slots=True)
class Target:
    """The upstream that a request is sent to next.

    Attributes:
      upstream: the upstream.
      upstream_state: what this daemon knows of the upstream's load.
      pool: connections to the upstream.
      epoch: the epoch of the key's grant, or 0 if any upstream may serve the
        request.
      slot: the slot that was granted for the request, or None without one.
    """

    upstream: routes.Upstream
    upstream_state: state_module.UpstreamState
    pool: pool_module.ConnectionPool
    epoch: int
    slot: HeldSlot | None = None

    @property
    def is_owner(self) -> bool:
        """Whether only this upstream may serve the request, for its key."""
        return self.epoch > 0


def refusal_reply(
    metadata: http_messages.RequestMetadata, refusal: RefusedError
) -> Reply:
    """Returns the reply to a refused request."""
    return Reply(
        refusal.status,
        http_messages.refusal_headers(
            metadata.request_id, refusal.retry_after_s
        ),
    )
