"""Defines the messages in which a daemon sends requests through a peer.

Only the exchange with the upstream is forwarded. The daemon that received the
request chooses the upstream and decides whether the request is sent again.
"""

import dataclasses
import enum

# The longest request or answer that is forwarded.
MAX_FORWARDED_BYTES = 8 * 1024 * 1024


class NotSentReason(enum.Enum):
    """Why a peer did not send a request; no byte of it reached the upstream."""

    # These say something of the peer; another one may send the request.
    CUT_OFF = "cut-off"
    STOPPING = "stopping"
    BUSY = "busy"
    # These say something of the upstream, as the peer sees it.
    LEFT = "left"
    PAUSED = "paused"
    UNREACHABLE = "unreachable"
    # The request's time was used up on the way to the peer.
    EXPIRED = "expired"

    @property
    def concerns_peer(self) -> bool:
        """Whether another peer may send the request."""
        return self in (
            NotSentReason.CUT_OFF,
            NotSentReason.STOPPING,
            NotSentReason.BUSY,
        )


@dataclasses.dataclass(frozen=True)
class ExchangeRequest:
    """A request that a peer sends to an upstream once.

    Attributes:
      upstream_id: the id of the upstream.
      started_at_ms: the Unix time of the upstream's start in milliseconds.
      request_id: the request's id, which the answer repeats.
      data: the request as it is written to the upstream.
      is_head: whether the answer has no body, as after HEAD.
      needs_new_connection: whether the peer must open a connection. On one
        that the same request was sent over, the upstream may repeat an
        earlier refusal.
      remaining_s: the time until the request's deadline.
      service_time_s: the usual time that the request takes.
      written_s: when the message was written, by the sender's clock.
    """

    upstream_id: str
    started_at_ms: int
    request_id: bytes
    data: bytes
    is_head: bool
    needs_new_connection: bool
    remaining_s: float
    service_time_s: float
    written_s: float


@dataclasses.dataclass(frozen=True)
class UpstreamAnswer:
    """An upstream's complete answer.

    Attributes:
      status: the status code.
      headers: pairs of lower-case name and value, in the order received.
      body: the complete body.
      ends_with_connection: whether only the end of the connection marked the
        end of the body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    ends_with_connection: bool


@dataclasses.dataclass(frozen=True)
class NotSent:
    """The peer did not send the request.

    Attributes:
      reason: why.
      retry_after_s: how long the upstream wants no requests, or 0.
    """

    reason: NotSentReason
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Broken:
    """The exchange ended without a complete answer; the request may have run.

    Attributes:
      detail: what happened, for logs.
      response_started: whether any byte of an answer was received.
      was_reset: whether the upstream has reset the connection.
      was_new_connection: whether the connection was opened for this exchange.
    """

    detail: str
    response_started: bool = False
    was_reset: bool = False
    was_new_connection: bool = False


@dataclasses.dataclass(frozen=True)
class ForwardingStatus:
    """What a daemon would do for peers now.

    Attributes:
      refusal: why it would not send a request, or None if it would.
      zone: its availability zone.
    """

    refusal: NotSentReason | None
    zone: str


ExchangeResult = UpstreamAnswer | NotSent | Broken
