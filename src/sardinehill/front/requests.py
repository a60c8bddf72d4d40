"""A request on its way through a daemon, and what comes back."""

import dataclasses

from sardinehill import errors
from sardinehill import http1
from sardinehill.core import room as room_module
from sardinehill.core import routes
from sardinehill.front import pool as pool_module
from sardinehill.platform import exchanges


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
        self.inputs = inputs


@dataclasses.dataclass(slots=True)
class Work:
    """One request on its way.

    Attributes:
      request: as the caller sent it.
      fields: what its headers say.
      route: the route that it takes.
      service: the service that it goes to.
      account: the client account it belongs to, or None.
      rank: 0 goes first.
      deadline_s: when the caller is told that there is no answer.
      ticket: its place among requests of its rank.
      sends: how often it was sent to an upstream.
      tried: upstreams that were sent it.
      may_have_run: whether an upstream may have run it.
      in_flight: whether an upstream has it now.
      idle_there: whether nothing waited at the upstream that answered.
      sent_s: when it was last sent.
      waited_from_s: when it first had to wait for room, or None.
      last_failure: why it was not answered so far.
    """

    request: Request
    fields: exchanges.CallerFields
    route: routes.Route
    service: str
    account: routes.ClientAccount | None
    rank: int
    deadline_s: float
    ticket: int
    sends: int = 0
    tried: list[str] = dataclasses.field(default_factory=list)
    may_have_run: bool = False
    in_flight: bool = False
    idle_there: bool = False
    sent_s: float = 0.0
    waited_from_s: float | None = None
    last_failure: str = ""


@dataclasses.dataclass(slots=True)
class Target:
    """Where a request goes next."""

    upstream: routes.Upstream
    room: room_module.Room
    pool: pool_module.Pool
    epoch: int


def refusal_reply(
    fields: exchanges.CallerFields, refusal: RefusedError
) -> Reply:
    """Returns what the caller of a refused request gets."""
    return Reply(
        refusal.status,
        exchanges.refusal_headers(fields.request_id, refusal.retry_after_s),
    )
