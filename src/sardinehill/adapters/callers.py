"""Parses the requests of callers and builds the HTTP responses to them.

This is the only module that knows the callers' format. It removes or rejects
everything with which a caller could impersonate a client account, forge a
verdict or reach an upstream's own interface.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import json
import urllib.parse

from aiohttp import web
import multidict

from sardinehill import errors
from sardinehill.core import forward_messages

KEY_HEADER = "Sardinehill-Key"
DEADLINE_HEADER = "Sardinehill-Deadline-Ms"
IDEMPOTENCY_HEADER = "Idempotency-Key"
VERDICT_HEADER = "Sardinehill-Verdict"
REASON_HEADER = "Sardinehill-Reason"
REQUEST_ID_HEADER = "Sardinehill-Request-Id"

READY_PATH = "/-/ready"

# The maximum length of a booking or order key and of an idempotency key.
MAX_KEY_CHARS = 256
# The longest deadline that a caller can set; longer ones are reduced to it.
MAX_DEADLINE_MS = 120_000
# The `Retry-After` of a refusal that has no time of its own.
MIN_RETRY_AFTER_S = 1

# If one of these headers were repeated, this daemon and an upstream could use
# different values.
_SINGLE_HEADERS = (
    "Authorization",
    "Content-Length",
    "Transfer-Encoding",
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    KEY_HEADER,
)
# Headers that apply to a single connection and are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# With these headers a caller could claim an address, a client account or a
# credential.
_IDENTITY_HEADERS = frozenset(
    {"authorization", "forwarded", "via", "x-real-ip"}
)
_RESERVED_REQUEST_PREFIXES = ("sardinehill-", "upstream-", "x-forwarded-")
# Headers that an upstream must not be able to set in Sardinehill's name.
_RESERVED_ANSWER_PREFIXES = ("sardinehill-",)

_STATUS_BY_REASON: Mapping[errors.Reason, int] = {
    errors.Reason.ACCOUNT_KEY_MISSING: 401,
    errors.Reason.ACCOUNT_KEY_REVOKED: 401,
    errors.Reason.ACCOUNT_KEY_UNKNOWN: 401,
    errors.Reason.BODY_CUT_SHORT: 400,
    errors.Reason.BODY_TOO_LARGE: 413,
    errors.Reason.DEADLINE_PASSED: 504,
    errors.Reason.DUPLICATE_UNKNOWN: 409,
    errors.Reason.INTERNAL: 500,
    errors.Reason.KEY_MISSING: 400,
    errors.Reason.MALFORMED: 400,
    errors.Reason.OVER_RATE: 429,
    errors.Reason.ROUTE_FORBIDDEN: 403,
    errors.Reason.SERVICE_UNKNOWN: 404,
}
# Statuses for temporary states, for which the caller may try again later.
_TEMPORARY_STATUSES = frozenset({429, 503, 504})
_DEFAULT_STATUS = 503


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """The parsed headers and path of a caller's request.

    Attributes:
      account_key: the account key, or None; excluded from `repr`.
      path: the percent-decoded path without its query.
      target: the path with its query, as received.
      key: the booking or order key, or empty.
      idempotency_key: the caller's own id of the request, or empty.
      deadline_ms: milliseconds for which the caller waits, or None.
      headers: the headers to forward to an upstream.
    """

    account_key: str | None = dataclasses.field(repr=False)
    path: str
    target: str
    key: str
    idempotency_key: str
    deadline_ms: int | None
    headers: forward_messages.Headers


def parse_request(
    target: str, headers: "multidict.CIMultiDictProxy[str]"
) -> CallerRequest:
    """Returns the parsed request of a caller.

    Args:
      target: the path with its query, as received.
      headers: the headers, as received.

    Raises:
      RequestRefusedError: the request is malformed or ambiguous, or its path is
        reserved; nothing was run.
    """
    for name in _SINGLE_HEADERS:
        if len(headers.getall(name, ())) > 1:
            raise _malformed(f"more than one {name} header")
    if "Content-Length" in headers and "Transfer-Encoding" in headers:
        raise _malformed("both Content-Length and Transfer-Encoding")
    for text in (target, *headers.values()):
        _check_is_utf8(text)
    return CallerRequest(
        account_key=_parse_account_key(headers.get("Authorization", "")),
        path=_parse_path(target),
        target=target,
        key=_key_header(headers, KEY_HEADER),
        idempotency_key=_key_header(headers, IDEMPOTENCY_HEADER),
        deadline_ms=_parse_deadline_ms(headers.get(DEADLINE_HEADER)),
        headers=forwarded_headers(headers),
    )


def forwarded_headers(
    headers: "multidict.CIMultiDictProxy[str]",
) -> forward_messages.Headers:
    """Returns the headers of a caller that are forwarded to an upstream."""
    connection_tokens = {
        token.strip().lower()
        for value in headers.getall("Connection", ())
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers.items()
        if _is_forwarded(name, connection_tokens)
    )


def build_response(
    answer: forward_messages.ForwardAnswer, close: bool
) -> web.Response:
    """Returns the HTTP response to a caller.

    Args:
      answer: an upstream's answer or a refusal.
      close: whether the connection is closed after the response.
    """
    if answer.reason is None:
        response = _upstream_response(answer)
    else:
        response = _problem_response(answer, answer.reason)
    response.headers[VERDICT_HEADER] = answer.verdict.value
    response.headers[REQUEST_ID_HEADER] = answer.request_id
    if close:
        response.force_close()
    return response


def http_status(reason: errors.Reason) -> int:
    """Returns the HTTP status of a refusal for a reason."""
    return _STATUS_BY_REASON.get(reason, _DEFAULT_STATUS)


def _upstream_response(answer: forward_messages.ForwardAnswer) -> web.Response:
    response = web.Response(status=answer.status, body=answer.body)
    # aiohttp sets a default content type, which the upstream didn't send.
    response.headers.popall("Content-Type", None)
    for name, value in _answer_headers(answer.headers):
        response.headers.add(name, value)
    return response


def _answer_headers(
    headers: forward_messages.Headers,
) -> Iterable[tuple[str, str]]:
    for name, value in headers:
        normalized = _normalized(name)
        if normalized in _HOP_BY_HOP_HEADERS or normalized.startswith(
            _RESERVED_ANSWER_PREFIXES
        ):
            continue
        yield name, value


def _problem_response(
    answer: forward_messages.ForwardAnswer, reason: errors.Reason
) -> web.Response:
    status = http_status(reason)
    problem = {
        "type": "about:blank",
        "title": reason.value,
        "status": status,
        "detail": answer.detail,
        "verdict": answer.verdict.value,
        "request_id": answer.request_id,
    }
    response = web.Response(
        status=status,
        body=json.dumps(problem).encode(),
        content_type="application/problem+json",
    )
    response.headers[REASON_HEADER] = reason.value
    if status == 401:
        response.headers["WWW-Authenticate"] = "Bearer"
    retry_after_s = _retry_after_s(answer, status)
    if retry_after_s:
        response.headers["Retry-After"] = str(retry_after_s)
    return response


def _retry_after_s(answer: forward_messages.ForwardAnswer, status: int) -> int:
    """Returns the `Retry-After` in whole seconds, or 0 for no such header.

    If a request didn't run because of a temporary state, the value is positive.
    Refusals are created in many modules, and callers would take a refusal for
    which one of them set no time as permission to try again immediately.
    """
    retry_after_s = -(-answer.retry_after_ms // 1000)
    is_temporary = status in _TEMPORARY_STATUSES
    if is_temporary and answer.verdict is errors.Verdict.NOT_RUN:
        return max(retry_after_s, MIN_RETRY_AFTER_S)
    return retry_after_s


def _is_forwarded(name: str, connection_tokens: set[str]) -> bool:
    normalized = _normalized(name)
    return not (
        normalized in _HOP_BY_HOP_HEADERS
        or normalized in _IDENTITY_HEADERS
        or normalized in connection_tokens
        or normalized.startswith(_RESERVED_REQUEST_PREFIXES)
    )


def _normalized(name: str) -> str:
    # Many upstreams treat Sardinehill_Account as Sardinehill-Account.
    return name.lower().replace("_", "-")


def _parse_account_key(authorization: str) -> str | None:
    scheme, _, account_key = authorization.partition(" ")
    if scheme.lower() != "bearer":
        return None
    return account_key.strip() or None


def _parse_path(target: str) -> str:
    raw_path, _, _ = target.partition("?")
    if not raw_path.startswith("/"):
        raise _malformed("the target is not a path")
    path = urllib.parse.unquote(raw_path)
    if not path.isprintable() or "\\" in path:
        raise _malformed("the path has a character that no path has")
    # An upstream that resolves dot segments or removes empty segments would
    # serve another route, or its own interface below `/-/`.
    segments = path.split("/")[1:]
    if {".", "..", "-"} & set(segments) or "" in segments[:-1]:
        raise _malformed("the path has a segment that is reserved or empty")
    return path


def _key_header(headers: "multidict.CIMultiDictProxy[str]", header: str) -> str:
    value = headers.get(header, "")
    if len(value) > MAX_KEY_CHARS:
        raise _malformed(f"{header} is longer than {MAX_KEY_CHARS}")
    if not value.isprintable():
        raise _malformed(f"{header} has a character that is not printable")
    return value


def _check_is_utf8(text: str) -> None:
    # Bytes that are not UTF-8 are received as lone surrogates, which cannot be
    # encoded in messages between daemons.
    try:
        text.encode()
    except UnicodeEncodeError:
        raise _malformed("a header or the target is not UTF-8") from None


def _parse_deadline_ms(value: str | None) -> int | None:
    if value is None:
        return None
    if not (value.isascii() and value.isdigit() and len(value) <= 9):
        raise _malformed(f"{DEADLINE_HEADER} is not a number of milliseconds")
    return min(int(value), MAX_DEADLINE_MS)


def _malformed(detail: str) -> errors.RequestRefusedError:
    return errors.RequestRefusedError(
        errors.Reason.MALFORMED, errors.Verdict.NOT_RUN, detail
    )
