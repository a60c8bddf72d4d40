"""A request on its way through a daemon, and what comes back."""

import dataclasses

from sardinehill import errors
from sardinehill import http1
from sardinehill.core import routes
from sardinehill.core import upstream_state as room_module
from sardinehill.front import pool as pool_module
from sardinehill.platform import http_messages


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's whole request."""

    method: bytes
    target: bytes
    headers: http1.Headers
    body: bytes
    has_body: bool
    arrived_s: float


@dataclasses.dataclass(slots=True)
class Reply:
    """What the caller gets.

    Attributes:
      status: the status code.
      headers: whole header lines, without the body's length.
      body: the whole body.
      ends_with_connection: whether the end of the body is to be marked by
        the connection's end only, as the upstream did: the upstream may have
        died, and a stated length would vouch for a body that nobody knows to
        be whole.
    """

    status: int
    headers: bytes
    body: bytes = b""
    ends_with_connection: bool = False


class RefusedError(Exception):
    """Ends a request with an answer of the daemon's own."""

    def __init__(
        self,
        reason: errors.Reason,
        status: int,
        retry_after_s: float | None = None,
        **inputs: object,
    ):
        super().__init__(reason.value)
        self.reason = reason
        self.status = status
        self.retry_after_s = retry_after_s
        self.log_fields = inputs


@dataclasses.dataclass(slots=True)
class RequestContext:
    """One request on its way.

    Attributes:
      request: as the caller sent it.
      metadata: what its headers say.
      route: the route that it takes.
      service: the service that it goes to.
      account: the client account it belongs to, or None.
      priority: 0 goes first.
      deadline_s: when the caller is told that there is no answer.
      sequence_number: its place among requests of its rank.
      sends: how often it was sent to an upstream.
      tried_upstreams: upstreams that were sent it.
      may_have_run: whether an upstream may have run it.
      in_flight: whether an upstream has it now.
      upstream_was_idle: whether nothing waited at the upstream that answered.
      sent_s: when it was last sent.
      waiting_since_s: when it first had to wait for room, or None.
      last_failure: why it was not answered so far.
    """

    request: Request
    metadata: http_messages.RequestMetadata
    route: routes.Route
    service: str
    account: routes.ClientAccount | None
    priority: int
    deadline_s: float
    sequence_number: int
    sends: int = 0
    tried_upstreams: list[str] = dataclasses.field(default_factory=list)
    may_have_run: bool = False
    in_flight: bool = False
    upstream_was_idle: bool = False
    sent_s: float = 0.0
    waiting_since_s: float | None = None
    last_failure: str = ""


@dataclasses.dataclass(slots=True)
class Target:
    """Where a request goes next."""

    upstream: routes.Upstream
    upstream_state: room_module.UpstreamState
    pool: pool_module.ConnectionPool
    epoch: int


def refusal_reply(
    fields: http_messages.RequestMetadata, refusal: RefusedError
) -> Reply:
    """Returns what the caller of a refused request gets."""
    return Reply(
        refusal.status,
        http_messages.refusal_headers(fields.request_id, refusal.retry_after_s),
    )
