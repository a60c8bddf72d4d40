"""Encodes replies to callers, and the refusals of requests not yet arrived."""

import dataclasses
import http

from sardinehill.front import requests

# The Retry-After of a request for which this daemon has no room now.
BUSY_RETRY_AFTER_S = 0.5

_REASON_PHRASES = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


def encode(
    reply: requests.Reply, closes_connection: bool, is_head: bool = False
) -> bytes:
    """Returns the bytes of a reply.

    Args:
      reply: the reply.
      closes_connection: whether the connection ends after it.
      is_head: whether it answers a HEAD request, so that its body is omitted.
    """
    reason = _REASON_PHRASES.get(reply.status, b"Unknown")
    head = b"HTTP/1.1 %d %b\r\n" % (reply.status, reason)
    length = b"content-length: %d\r\n" % len(reply.body)
    if reply.status in (204, 304) or reply.ends_with_connection:
        length = b""
    connection = b"connection: close\r\n" if closes_connection else b""
    body = b"" if is_head else reply.body
    return b"".join((head, reply.headers, length, connection, b"\r\n", body))


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal of a request that has not arrived in full.

    Attributes:
      status: the status code of the reply.
      retry_after_s: when the caller should try again, or None.
    """

    status: int
    retry_after_s: float | None = None


MALFORMED = Refusal(400)
HEADER_TOO_LONG = Refusal(431)
BODY_TOO_LONG = Refusal(413)
TOO_SLOW = Refusal(408)
TOO_MANY = Refusal(503, BUSY_RETRY_AFTER_S)
NO_MEMORY = Refusal(503, BUSY_RETRY_AFTER_S)


def encode_refusal(refusal: Refusal) -> bytes:
    """Returns the bytes of a refusal, behind which the connection ends."""
    headers = b""
    if refusal.retry_after_s is not None:
        headers = b"retry-after: %g\r\n" % refusal.retry_after_s
    reply = requests.Reply(refusal.status, headers)
    return encode(reply, closes_connection=True)
