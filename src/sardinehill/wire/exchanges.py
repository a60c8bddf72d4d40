"""Encodes and decodes the messages in `core.exchange_messages`."""

from typing import Any

import capnp

from sardinehill import errors
from sardinehill.core import exchange_messages
from sardinehill.wire import schemas

_SCHEMA = schemas.load("exchange")
_US_PER_S = 1_000_000
_MAX_UINT32 = 2**32 - 1


def _microseconds(time_s: float) -> int:
    return max(0, int(time_s * _US_PER_S))


def encode_request(request: exchange_messages.ExchangeRequest) -> bytes:
    """Returns the message for a request that a peer is to send."""
    message = _SCHEMA.ExchangeRequest.new_message(
        upstream=request.upstream_id,
        startedAtMs=request.started_at_ms,
        requestId=request.request_id,
        data=request.data,
        isHead=request.is_head,
        needsNewConnection=request.needs_new_connection,
        remainingUs=_microseconds(request.remaining_s),
        serviceTimeUs=min(_microseconds(request.service_time_s), _MAX_UINT32),
        writtenUs=_microseconds(request.written_s),
    )
    return bytes(message.to_bytes())


def decode_request(data: bytes) -> exchange_messages.ExchangeRequest:
    """Returns the request in a message.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = schemas.read(_SCHEMA.ExchangeRequest, data)
        return exchange_messages.ExchangeRequest(
            message.upstream,
            message.startedAtMs,
            bytes(message.requestId),
            bytes(message.data),
            message.isHead,
            message.needsNewConnection,
            message.remainingUs / _US_PER_S,
            message.serviceTimeUs / _US_PER_S,
            message.writtenUs / _US_PER_S,
        )
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not an exchange: {error}") from error


def encode_result(result: exchange_messages.ExchangeResult) -> bytes:
    """Returns the message for the result of an exchange."""
    message = _SCHEMA.ExchangeResult.new_message()
    match result:
        case exchange_messages.UpstreamAnswer():
            message.answer = _answer_message(result)
        case exchange_messages.NotSent():
            message.notSent = _SCHEMA.NotSent.new_message(
                reason=result.reason.value,
                retryAfterUs=_microseconds(result.retry_after_s),
            )
        case exchange_messages.Broken():
            message.broken = _SCHEMA.Broken.new_message(
                detail=result.detail,
                responseStarted=result.response_started,
                wasReset=result.was_reset,
                wasNewConnection=result.was_new_connection,
            )
    return bytes(message.to_bytes())


def _answer_message(answer: exchange_messages.UpstreamAnswer) -> Any:
    return _SCHEMA.UpstreamAnswer.new_message(
        status=answer.status,
        headers=[
            {"name": name, "value": value} for name, value in answer.headers
        ],
        body=answer.body,
        endsWithConnection=answer.ends_with_connection,
    )


def decode_result(data: bytes) -> exchange_messages.ExchangeResult:
    """Returns the result of an exchange in a message.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = schemas.read(_SCHEMA.ExchangeResult, data)
        match message.which():
            case "answer":
                answer = message.answer
                return exchange_messages.UpstreamAnswer(
                    answer.status,
                    [
                        (bytes(header.name), bytes(header.value))
                        for header in answer.headers
                    ],
                    bytes(answer.body),
                    answer.endsWithConnection,
                )
            case "notSent":
                return exchange_messages.NotSent(
                    exchange_messages.NotSentReason(message.notSent.reason),
                    message.notSent.retryAfterUs / _US_PER_S,
                )
        return exchange_messages.Broken(
            message.broken.detail,
            message.broken.responseStarted,
            message.broken.wasReset,
            message.broken.wasNewConnection,
        )
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a result: {error}") from error


def encode_status(status: exchange_messages.ForwardingStatus) -> bytes:
    """Returns the message for what a daemon would do for peers."""
    message = _SCHEMA.ForwardingStatus.new_message(
        refusal=status.refusal.value if status.refusal is not None else "",
        zone=status.zone,
    )
    return bytes(message.to_bytes())


def decode_status(data: bytes) -> exchange_messages.ForwardingStatus:
    """Returns what a daemon would do for peers.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = schemas.read(_SCHEMA.ForwardingStatus, data)
        refusal = None
        if message.refusal:
            refusal = exchange_messages.NotSentReason(message.refusal)
        return exchange_messages.ForwardingStatus(refusal, message.zone)
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a status: {error}") from error
