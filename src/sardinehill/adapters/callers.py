"""The callers' HTTP format: what is read, passed on and answered.

The only module that knows this format. Whatever a caller could use to pose
as an account, to name a verdict or to reach an upstream's own interface ends
here.
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

# The longest booking key or idempotency key that is taken.
MAX_KEY_CHARS = 256
# The longest time that a caller may ask a daemon to wait.
MAX_DEADLINE_MS = 120_000
# Seconds named in a refusal that names no time of its own.
MIN_RETRY_AFTER_S = 1

# A second one of these could be read differently here and by an upstream.
_SINGLE_HEADERS = (
    "Authorization",
    "Content-Length",
    "Transfer-Encoding",
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    KEY_HEADER,
)
# These describe one connection and end there.
_HOP_HEADERS = frozenset(
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
# By these a caller could claim an address, an account or a credential.
_CLAIM_HEADERS = frozenset({"authorization", "forwarded", "via", "x-real-ip"})
_CLAIM_PREFIXES = ("sardinehill-", "upstream-", "x-forwarded-")
# An upstream's own headers that must not reach a caller as Sardinehill's.
_ANSWER_PREFIXES = ("sardinehill-",)

_STATUS_OF_REASON: Mapping[errors.Reason, int] = {
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
# Statuses of a state that may be over when the caller tries again.
_PASSING_STATUSES = frozenset({429, 503, 504})
_DEFAULT_STATUS = 503


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """What a caller's headers and path say.

    Attributes:
      account_key: the account key, or None; hidden from `repr`.
      path: the path without its query, percent signs decoded.
      target: the path with its query, as it was sent.
      key: the booking or order key, or empty.
      idempotency_key: the caller's own id of the request, or empty.
      deadline_ms: how long the caller will wait, or None.
      headers: the headers that an upstream may see.
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
    """Returns what a caller asks for.

    Raises:
      RequestRefusedError: the request could be read in two ways, or asks for
        something that is not a caller's to ask for; nothing was run.
    """
    for name in _SINGLE_HEADERS:
        if len(headers.getall(name, ())) > 1:
            raise _malformed(f"more than one {name} header")
    if "Content-Length" in headers and "Transfer-Encoding" in headers:
        raise _malformed("both Content-Length and Transfer-Encoding")
    for text in (target, *headers.values()):
        _check_is_text(text)
    return CallerRequest(
        account_key=_account_key(headers.get("Authorization", "")),
        path=_path(target),
        target=target,
        key=_name(headers, KEY_HEADER),
        idempotency_key=_name(headers, IDEMPOTENCY_HEADER),
        deadline_ms=_deadline_ms(headers.get(DEADLINE_HEADER)),
        headers=forwarded_headers(headers),
    )


def forwarded_headers(
    headers: "multidict.CIMultiDictProxy[str]",
) -> forward_messages.Headers:
    """Returns the headers of a caller that an upstream may see."""
    named = {
        token.strip().lower()
        for value in headers.getall("Connection", ())
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers.items()
        if _may_pass(name, named)
    )


def build_response(
    answer: forward_messages.ForwardAnswer, close: bool
) -> web.Response:
    """Returns the HTTP answer to a caller.

    Args:
      answer: an upstream's answer or a refusal.
      close: whether the caller is asked to use another connection next.
    """
    if answer.reason is None:
        response = _upstreams_response(answer)
    else:
        response = _problem(answer, answer.reason)
    response.headers[VERDICT_HEADER] = answer.verdict.value
    response.headers[REQUEST_ID_HEADER] = answer.request_id
    if close:
        response.force_close()
    return response


def http_status(reason: errors.Reason) -> int:
    """Returns the HTTP status that goes with a reason."""
    return _STATUS_OF_REASON.get(reason, _DEFAULT_STATUS)


def _upstreams_response(answer: forward_messages.ForwardAnswer) -> web.Response:
    response = web.Response(status=answer.status, body=answer.body)
    # The library's own default would name a type that no upstream gave.
    response.headers.popall("Content-Type", None)
    for name, value in _answer_headers(answer.headers):
        response.headers.add(name, value)
    return response


def _answer_headers(
    headers: forward_messages.Headers,
) -> Iterable[tuple[str, str]]:
    for name, value in headers:
        folded = _folded(name)
        if folded in _HOP_HEADERS or folded.startswith(_ANSWER_PREFIXES):
            continue
        yield name, value


def _problem(
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
    """Returns whole seconds, at least one where another try may help.

    Refusals come from many parts, and one that forgot the time would be read
    by callers as leave to try again at once.
    """
    told_s = -(-answer.retry_after_ms // 1000)
    is_passing = status in _PASSING_STATUSES
    if is_passing and answer.verdict is errors.Verdict.NOT_RUN:
        return max(told_s, MIN_RETRY_AFTER_S)
    return told_s


def _may_pass(name: str, named: set[str]) -> bool:
    folded = _folded(name)
    return not (
        folded in _HOP_HEADERS
        or folded in _CLAIM_HEADERS
        or folded in named
        or folded.startswith(_CLAIM_PREFIXES)
    )


def _folded(name: str) -> str:
    # Many upstreams read Sardinehill_Account as Sardinehill-Account.
    return name.lower().replace("_", "-")


def _account_key(authorization: str) -> str | None:
    scheme, _, account_key = authorization.partition(" ")
    if scheme.lower() != "bearer":
        return None
    return account_key.strip() or None


def _path(target: str) -> str:
    raw_path, _, _ = target.partition("?")
    if not raw_path.startswith("/"):
        raise _malformed("the target is not a path")
    path = urllib.parse.unquote(raw_path)
    if not path.isprintable() or "\\" in path:
        raise _malformed("the path has a character that no path has")
    # An upstream that resolves dots or drops empty segments would be led to
    # another route, or to its own interface below `/-/`.
    segments = path.split("/")[1:]
    if {".", "..", "-"} & set(segments) or "" in segments[:-1]:
        raise _malformed("the path has a segment that is reserved or empty")
    return path


def _name(headers: "multidict.CIMultiDictProxy[str]", header: str) -> str:
    value = headers.get(header, "")
    if len(value) > MAX_KEY_CHARS:
        raise _malformed(f"{header} is longer than {MAX_KEY_CHARS}")
    if not value.isprintable():
        raise _malformed(f"{header} has a character that is not printable")
    return value


def _check_is_text(text: str) -> None:
    # Bytes that are no UTF-8 come as lone surrogates, and no message between
    # daemons can hold those.
    try:
        text.encode()
    except UnicodeEncodeError:
        raise _malformed("a header or the target is not UTF-8") from None


def _deadline_ms(value: str | None) -> int | None:
    if value is None:
        return None
    if not (value.isascii() and value.isdigit() and len(value) <= 9):
        raise _malformed(f"{DEADLINE_HEADER} is not a number of milliseconds")
    return min(int(value), MAX_DEADLINE_MS)


def _malformed(detail: str) -> errors.RequestRefusedError:
    return errors.RequestRefusedError(
        errors.Reason.MALFORMED, errors.Verdict.NOT_RUN, detail
    )
