"""Tests of parsing callers' requests and of the responses, with fuzzing."""

import json
import os

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import multidict
import pytest

from sardinehill import errors
from sardinehill.adapters import callers
from sardinehill.core import forward_messages
from sardinehill.wire import accounts as accounts_wire

# SARDINEHILL_FUZZ_EXAMPLES=100000 pytest tests/cover/... runs more examples.
FUZZ_SETTINGS = settings(
    max_examples=int(os.environ.get("SARDINEHILL_FUZZ_EXAMPLES", "400")),
    derandomize=True,
    deadline=None,
)

TOKENS = st.text(
    st.characters(codec="ascii", categories=("L", "N")) | st.sampled_from("-_"),
    min_size=1,
    max_size=20,
)
NAMES = TOKENS | st.sampled_from(
    [
        "Authorization",
        "Connection",
        "Content-Length",
        "Idempotency-Key",
        "SARDINEHILL_ACCOUNT",
        "Sardinehill-Account",
        "Sardinehill-Deadline-Ms",
        "Sardinehill-Key",
        "Transfer-Encoding",
        "Upstream-Not-Run",
        "X-Forwarded-For",
    ]
)
VALUES = st.text(max_size=40) | st.sampled_from(
    ["Bearer hotel.x", "5", "chunked", "x-secret, close", "0", "9" * 12]
)
HEADERS = st.lists(st.tuples(NAMES, VALUES), max_size=8)
TARGETS = st.one_of(
    st.text(max_size=40),
    st.lists(
        st.sampled_from(
            ["", ".", "..", "-", "%2e", "%2E%2e", "%2d", "a", "b?c", "%00"]
        )
    ).map(lambda parts: "/" + "/".join(parts)),
)


def headers_proxy(
    headers: list[tuple[str, str]],
) -> "multidict.CIMultiDictProxy[str]":
    return multidict.CIMultiDictProxy(multidict.CIMultiDict(headers))


@given(TARGETS, HEADERS)
@FUZZ_SETTINGS
def test_any_request_is_refused_or_parsed_without_reserved_headers(
    target: str, headers: list[tuple[str, str]]
) -> None:
    try:
        parsed = callers.parse_request(target, headers_proxy(headers))
    except errors.RequestRefusedError as error:
        refusal: errors.RequestRefusedError | None = error
    else:
        refusal = None
    if refusal is not None:
        assert refusal.verdict is errors.Verdict.NOT_RUN
        return
    assert parsed.path.startswith("/")
    assert not {"", ".", "..", "-"} & set(parsed.path.split("/")[1:-1])
    for name, _ in parsed.headers:
        normalized = name.lower().replace("_", "-")
        assert not normalized.startswith(("sardinehill-", "upstream-"))
        assert normalized not in (
            "authorization",
            "connection",
            "content-length",
        )
    if parsed.account_key is not None:
        assert f"account_key={parsed.account_key!r}" not in repr(parsed)


@given(HEADERS, st.integers(min_value=200, max_value=599), st.binary())
@FUZZ_SETTINGS
def test_upstream_answers_cannot_set_sardinehill_headers(
    headers: list[tuple[str, str]], status: int, body: bytes
) -> None:
    printable = tuple(
        (name, value) for name, value in headers if value.isprintable()
    )
    answer = forward_messages.ForwardAnswer(
        "id-1", errors.Verdict.RAN, None, status, printable, body
    )
    response = callers.build_response(answer, close=False)
    assert response.headers.getall("Sardinehill-Verdict") == ["ran"]
    assert response.headers.getall("Sardinehill-Request-Id") == ["id-1"]
    assert "Sardinehill-Reason" not in response.headers
    assert "Sardinehill_Account" not in response.headers


@pytest.mark.parametrize("reason", list(errors.Reason))
def test_every_reason_has_a_complete_problem_document(
    reason: errors.Reason,
) -> None:
    answer = forward_messages.refusal_answer(
        "id-1", reason, errors.Verdict.NOT_RUN, "why", retry_after_ms=1200
    )
    response = callers.build_response(answer, close=True)
    assert isinstance(response.body, bytes)
    problem = json.loads(response.body)
    assert problem["title"] == reason.value
    assert problem["status"] == response.status >= 400
    assert problem["verdict"] == "not-run"
    assert response.headers["Retry-After"] == "2"


@pytest.mark.parametrize(
    ("target", "value"), [("/a?\udcff", "x"), ("/a", "\udcff")]
)
def test_invalid_utf8_is_refused_as_malformed(target: str, value: str) -> None:
    with pytest.raises(errors.RequestRefusedError) as raised:
        callers.parse_request(target, headers_proxy([("X-One", value)]))
    assert raised.value.reason is errors.Reason.MALFORMED
    assert raised.value.verdict is errors.Verdict.NOT_RUN


def test_headers_named_by_connection_are_not_forwarded() -> None:
    headers = headers_proxy(
        [("Connection", "X-Hop, close"), ("x-hop", "1"), ("X-Stays", "2")]
    )
    assert callers.forwarded_headers(headers) == (("X-Stays", "2"),)


@given(st.binary(max_size=200))
@FUZZ_SETTINGS
def test_malformed_peer_bytes_raise_only_peer_frame_error(data: bytes) -> None:
    for decode in (
        accounts_wire.decode_loan_request,
        accounts_wire.decode_loan_answer,
        accounts_wire.decode_duplicate_query,
        accounts_wire.decode_lookup_result,
    ):
        try:
            decode(data)
        except errors.PeerFrameError:
            continue


@pytest.mark.parametrize("reason", list(errors.Reason))
def test_refusals_for_temporary_states_have_a_retry_after(
    reason: errors.Reason,
) -> None:
    answer = forward_messages.refusal_answer(
        "id", reason, errors.Verdict.NOT_RUN
    )
    response = callers.build_response(answer, close=False)
    if response.status in (429, 503, 504):
        assert int(response.headers["Retry-After"]) >= 1
    else:
        assert "Retry-After" not in response.headers
