"""HTTP messages between callers, daemons and upstreams."""

from collections.abc import Iterable
import dataclasses
import json
import math

from sardinehill import http1
from sardinehill.platform import names

_MS_PER_S = 1000
_PERCENT = 100
# Longer numbers in headers are malformed.
_MAX_COUNT_DIGITS = 12
SHARD_KEY_COUNT = 65536
# An upstream that names a longer time is tried again after this one.
MAX_RETRY_AFTER_S = 300.0

# Hop-by-hop headers, and those that a daemon sets itself or keeps secret.
_NOT_FORWARDED_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        names.DEADLINE_MS,
        names.ACCOUNT_KEY,
        names.CLIENT_ACCOUNT,
        names.UPSTREAM_ID,
    }
)
_NOT_RETURNED_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        names.LOAD,
        names.COLD_MS,
        names.ANSWERING_UPSTREAM_ID,
    }
)
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """The values of a caller's headers.

    Attributes:
      host: the requested host name.
      request_id: unique for each attempt of the caller.
      timeout_s: how long the caller waits for the reply, or None.
      account_key: the caller's secret, or None.
      shard_key: the key that the request concerns, or None.
    """

    host: bytes
    request_id: bytes
    timeout_s: float | None
    account_key: bytes | None
    shard_key: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that an upstream reports in a header of its answer.

    Attributes:
      running: how many requests it is running.
      waiting: how many requests wait for a slot.
      slots: how many requests it runs at once.
      slowness: the current service time as a ratio to the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowness: float


def parse_request_metadata(headers: http1.Headers) -> RequestMetadata:
    """Parses a caller's headers; malformed values are treated as missing."""
    header_values = dict(headers)
    timeout_ms = _parse_count(header_values.get(names.DEADLINE_MS, b""))
    shard_key = _parse_count(header_values.get(names.SHARD_KEY, b""))
    if shard_key is not None and shard_key >= SHARD_KEY_COUNT:
        shard_key = None
    return RequestMetadata(
        host=header_values.get(b"host", b""),
        request_id=header_values.get(names.REQUEST_ID, b""),
        timeout_s=None if timeout_ms is None else timeout_ms / _MS_PER_S,
        account_key=header_values.get(names.ACCOUNT_KEY),
        shard_key=shard_key,
    )


def _parse_count(value: bytes) -> int | None:
    """Returns the number that a header holds; None if it is malformed."""
    if not value.isdigit() or len(value) > _MAX_COUNT_DIGITS:
        return None
    return int(value)


def forwarded_headers(headers: http1.Headers) -> bytes:
    """Returns the header lines that are forwarded to an upstream unchanged."""
    dropped = _NOT_FORWARDED_HEADERS
    connection = dict(headers).get(b"connection")
    if connection:
        connection_headers = {
            part.strip().lower() for part in connection.split(b",")
        }
        dropped = dropped | (connection_headers - {b"host", names.REQUEST_ID})
    return b"".join(
        b"%b: %b\r\n" % (name, value)
        for name, value in headers
        if name not in dropped
    )


def encode_upstream_request(
    method: bytes,
    target: bytes,
    forwarded: bytes,
    body_bytes: int,
    has_body: bool,
    remaining_s: float,
    upstream_id: str,
    account: str | None,
) -> bytes:
    """Returns the head of a request for an upstream; its body follows.

    Args:
      method: as the caller sent it.
      target: path and query as the caller sent them.
      forwarded: the result of `forwarded_headers`.
      body_bytes: the length of the body.
      has_body: whether the caller sent a body, also an empty one.
      remaining_s: the time until the request's deadline.
      upstream_id: the id of the intended upstream; others refuse the request.
      account: the caller's client account, or None.
    """
    lines = [
        b"%b %b HTTP/1.1\r\n" % (method, target),
        forwarded,
        b"%b: %d\r\n"
        % (names.DEADLINE_MS, max(1, int(remaining_s * _MS_PER_S))),
        b"%b: %b\r\n" % (names.UPSTREAM_ID, upstream_id.encode()),
    ]
    if account is not None:
        lines.append(b"%b: %b\r\n" % (names.CLIENT_ACCOUNT, account.encode()))
    if has_body:
        lines.append(b"content-length: %d\r\n" % body_bytes)
    lines.append(b"\r\n")
    return b"".join(lines)


def is_answer_to(answer: http1.Response, request_id: bytes) -> bool:
    """Returns whether an answer carries the id of a request, and no other."""
    return answer.header_values(names.REQUEST_ID) == {request_id}


def answering_upstream_id(answer: http1.Response) -> str | None:
    """Returns the id of the upstream that answered, or None if not stated."""
    value = answer.header(names.ANSWERING_UPSTREAM_ID)
    return None if value is None else value.decode("latin-1")


def reports_not_run(answer: http1.Response) -> bool:
    """Returns whether the upstream states that it did not run the request.

    One that is not the addressed upstream says so with its status only. An
    answer that an upstream has stamped is that of a request that it has run.
    """
    if answer.header(names.NOT_RUN) is not None:
        return True
    return answer.status == 421 and answer.header(names.RESPONSE_STAMP) is None


def is_from_upstream(answer: http1.Response) -> bool:
    """Returns whether an answer was sent by an upstream and not re-encoded."""
    return (
        answer.header(names.RESPONSE_STAMP) is not None
        and answer.header(b"content-encoding") is None
    )


def status_implies_not_run(answer: http1.Response) -> bool:
    """Returns whether the status tells callers that the request has not run."""
    return answer.status in _NOT_RUN_STATUSES


def is_success(answer: http1.Response) -> bool:
    """Returns whether an upstream has run a request to a good end.

    Statuses below 500 are good ends, but for those that tell callers that the
    request has not run: of one that has run, they report a failure.
    """
    return (
        is_from_upstream(answer)
        and answer.status < http1.MIN_SERVER_ERROR_STATUS
        and not status_implies_not_run(answer)
    )


def parse_load(answer: http1.Response) -> ReportedLoad | None:
    """Returns the load that an answer reports, or None without valid load."""
    value = answer.header(names.LOAD)
    if value is None:
        return None
    numbers = []
    for part in value.split(b","):
        number = _parse_count(part.strip())
        if number is None:
            return None
        numbers.append(number)
    if len(numbers) < 3:
        return None
    slowness = numbers[3] / _PERCENT if len(numbers) > 3 else 1.0
    return ReportedLoad(numbers[0], numbers[1], max(1, numbers[2]), slowness)


def parse_retry_after_s(answer: http1.Response) -> float | None:
    """Returns for how long an upstream that refuses wants no requests.

    Returns:
      The time, at most `MAX_RETRY_AFTER_S`, or None if the answer names none
      or a malformed one.
    """
    value = answer.header(names.RETRY_AFTER)
    if value is None:
        return None
    try:
        retry_after_s = float(value)
    except ValueError:
        return None
    if not retry_after_s > 0:
        return None
    return min(retry_after_s, MAX_RETRY_AFTER_S)


def says_leaving(answer: http1.Response) -> bool:
    """Returns whether the upstream says that it is leaving."""
    return answer.header(names.LEAVING) == b"1"


def names_rate_limit(answer: http1.Response) -> bool:
    """Returns whether an answer names a limit, which may be malformed."""
    return answer.header(names.RATE_LIMIT) is not None


def parse_rate_limit(answer: http1.Response) -> float | None:
    """Returns the requests a second that the upstream takes.

    They are for all daemons together, for as long as answers name them.

    Returns:
      The limit, or None if the answer names none or a malformed one.
    """
    value = answer.header(names.RATE_LIMIT)
    if value is None:
        return None
    try:
        rate_per_s = float(value)
    except ValueError:
        return None
    return rate_per_s if 0 <= rate_per_s < math.inf else None


def returned_headers(answer: http1.Response) -> Iterable[tuple[bytes, bytes]]:
    """Yields the headers of an answer that are returned to the caller."""
    for name, value in answer.headers:
        if name not in _NOT_RETURNED_HEADERS:
            yield name, value


def refusal_headers(request_id: bytes, retry_after_s: float | None) -> bytes:
    """Returns the header lines of a refusal by the daemon itself."""
    lines = b""
    if request_id:
        lines += b"%b: %b\r\n" % (names.REQUEST_ID, request_id)
    if retry_after_s is not None:
        lines += b"%b: %.3f\r\n" % (names.RETRY_AFTER, retry_after_s)
    return lines


def _encode_key_command(
    address: str, path: str, upstream_id: str, body: object
) -> bytes:
    payload = json.dumps(body).encode()
    return (
        f"POST {path} HTTP/1.1\r\nhost: {address}\r\n"
        f"{names.UPSTREAM_ID.decode()}: {upstream_id}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(payload)}\r\n"
        "\r\n"
    ).encode() + payload


def encode_grant_request(
    address: str,
    upstream_id: str,
    first: int,
    last: int,
    epoch: int,
    hold_s: float,
    handover_token: str | None,
) -> bytes:
    """Returns the request that grants the keys `first` to `last`."""
    body: dict[str, object] = {
        "from": first,
        "to": last,
        "fence": epoch,
        "holdS": hold_s,
    }
    if handover_token:
        body["handover"] = handover_token
    return _encode_key_command(address, "/grant", upstream_id, body)


def encode_release_request(
    address: str, upstream_id: str, first: int, last: int, epoch: int
) -> bytes:
    """Returns the request that withdraws keys from an upstream."""
    body = {"from": first, "to": last, "fence": epoch}
    return _encode_key_command(address, "/release", upstream_id, body)


def parse_handover_token(answer: http1.Response) -> str | None:
    """Returns the token to pass to the next holder of released keys."""
    value = answer.header(names.HANDOVER)
    return None if value is None else value.decode("latin-1")
