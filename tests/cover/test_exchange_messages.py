"""Tests of the messages for requests that are sent through peers."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from sardinehill import errors
from sardinehill.core import exchange_messages
from sardinehill.wire import exchanges

REQUEST = exchange_messages.ExchangeRequest(
    "i-1", 1700000000123, b"r\xff1", b"POST / \x00", True, True, 1.25, 0.5, 9.75
)
STATUSES = [
    exchange_messages.ForwardingStatus(refusal, "a")
    for refusal in (None, *exchange_messages.NotSentReason)
]
RESULTS = [
    exchange_messages.UpstreamAnswer(
        200, [(b"x-a", b"\xff\x00"), (b"x-a", b"")], b"\x00body", True
    ),
    exchange_messages.UpstreamAnswer(503, [], b"", False),
    exchange_messages.Broken("lost", True, True, True),
    exchange_messages.Broken(""),
    *(
        exchange_messages.NotSent(reason, 1.5)
        for reason in exchange_messages.NotSentReason
    ),
]
MESSAGES = [
    (exchanges.encode_request(REQUEST), exchanges.decode_request),
    *(
        (exchanges.encode_result(result), exchanges.decode_result)
        for result in RESULTS
    ),
    (exchanges.encode_status(STATUSES[1]), exchanges.decode_status),
]


def test_messages_keep_their_content():
    data = exchanges.encode_request(REQUEST)
    assert exchanges.decode_request(data) == REQUEST
    for result in RESULTS:
        data = exchanges.encode_result(result)
        assert exchanges.decode_result(data) == result
    for status in STATUSES:
        data = exchanges.encode_status(status)
        assert exchanges.decode_status(data) == status


def test_times_that_are_over_do_not_break_a_message():
    data = exchanges.encode_request(
        exchange_messages.ExchangeRequest(
            "i-1", 0, b"", b"", False, False, -1.0, 1e9, 0.0
        )
    )
    assert exchanges.decode_request(data).remaining_s == 0.0


@pytest.mark.parametrize(("data", "decode"), MESSAGES)
def test_truncated_message_raises_only_peer_frame_error(data, decode):
    for length in range(len(data)):
        try:
            decode(data[:length])
        except errors.PeerFrameError:
            continue


@settings(max_examples=200, deadline=None)
@given(
    strategies.sampled_from(MESSAGES),
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2**16), strategies.integers(0, 255)
        ),
        min_size=1,
        max_size=6,
    ),
)
def test_changed_message_raises_only_peer_frame_error(message, changes):
    data, decode = message
    changed = bytearray(data)
    for index, value in changes:
        changed[index % len(changed)] = value
    try:
        decode(bytes(changed))
    except errors.PeerFrameError:
        return


@settings(max_examples=200, deadline=None)
@given(strategies.binary(max_size=300))
def test_garbage_raises_only_peer_frame_error(data):
    for decode in (
        exchanges.decode_request,
        exchanges.decode_result,
        exchanges.decode_status,
    ):
        try:
            decode(data)
        except errors.PeerFrameError:
            continue
