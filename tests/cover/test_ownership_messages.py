"""Tests of the codecs of grants, grant answers and vote messages."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sardinehill import errors
from sardinehill.core import grants
from sardinehill.core import load_estimation
from sardinehill.core import quorum
from sardinehill.wire import ownership

COUNTS = st.integers(0, 2**31)
UNITS = st.frozensets(st.one_of(st.integers(-1, 5000), st.text(max_size=9)))
HYPOTHESIS_SETTINGS = settings(derandomize=True, deadline=None, max_examples=50)


@given(units=UNITS, except_keys=st.frozensets(st.text(max_size=9)), term=COUNTS)
@HYPOTHESIS_SETTINGS
def test_grant_round_trips(
    units: frozenset[grants.Unit], except_keys: frozenset[str], term: int
) -> None:
    grant = grants.Grant(
        target=grants.GrantTarget("up", "host"),
        term=term,
        sequence=3,
        units=units,
        except_keys=except_keys,
        ttl_s=1.5,
        incarnation="i",
        stamp_ms=2**40,
    )
    assert ownership.decode_grant(ownership.encode_grant("s", grant)) == (
        "s",
        grant,
    )


@given(
    shards=st.dictionaries(st.integers(0, 9999), COUNTS),
    keys=st.dictionaries(st.text(max_size=9), COUNTS),
)
@HYPOTHESIS_SETTINGS
def test_grant_answer_and_report_round_trip(
    shards: dict[int, int], keys: dict[str, int]
) -> None:
    answer = grants.GrantAnswer(True, 4, 5, "i", 2**40, 6)
    report = load_estimation.UsageReport(shards, keys)
    data = ownership.encode_grant_answer(answer, report)
    assert ownership.decode_grant_answer(data) == (answer, report)


def test_vote_messages_round_trip() -> None:
    request = quorum.VoteRequest("s", 9, True)
    assert (
        ownership.decode_vote_request(ownership.encode_vote_request(request))
        == request
    )
    response = quorum.VoteResponse(True, 9, True, 0.25)
    assert (
        ownership.decode_vote_response(ownership.encode_vote_response(response))
        == response
    )


@given(data=st.binary(max_size=200))
@HYPOTHESIS_SETTINGS
def test_malformed_bytes_raise_peer_frame_error(data: bytes) -> None:
    for decode in (
        ownership.decode_vote_request,
        ownership.decode_vote_response,
        ownership.decode_grant,
        ownership.decode_grant_answer,
    ):
        try:
            decode(data)
        except errors.PeerFrameError:
            continue


def test_grant_with_too_many_shards_is_rejected() -> None:
    message = ownership._SCHEMA.GatewayGrant.new_message(
        shards=[{"first": 0, "last": 2**30}]
    )
    with pytest.raises(errors.PeerFrameError):
        ownership.decode_grant(bytes(message.to_bytes()))
