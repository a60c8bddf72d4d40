"""Encodes and decodes forwarded requests and their answers."""

from typing import Any

import capnp

from sardinehill import errors
from sardinehill.core import forward_messages
from sardinehill.wire import schemas

MAX_UINT16 = 65535

_SCHEMA = schemas.load("forward")


def encode_request(request: forward_messages.ForwardRequest) -> bytes:
    """Returns the message for a forwarded request."""
    message = _SCHEMA.ForwardRequest.new_message(
        requestId=request.request_id,
        service=request.service,
        key=request.key,
        account=request.account,
        method=request.method,
        path=request.path,
        headers=_header_dicts(request.headers),
        body=request.body,
        deadlineMs=request.deadline_ms,
        upstream=request.upstream,
        assignmentVersion=request.assignment_version,
        idempotencyKey=request.idempotency_key,
    )
    return bytes(message.to_bytes())


def decode_request(data: bytes) -> forward_messages.ForwardRequest:
    """Returns the forwarded request in a message.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = schemas.read(_SCHEMA.ForwardRequest, data)
        return forward_messages.ForwardRequest(
            request_id=message.requestId,
            service=message.service,
            key=message.key,
            account=message.account,
            method=message.method,
            path=message.path,
            headers=_header_pairs(message.headers),
            body=bytes(message.body),
            deadline_ms=message.deadlineMs,
            upstream=message.upstream,
            assignment_version=message.assignmentVersion,
            idempotency_key=message.idempotencyKey,
        )
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a request: {error}") from error


def encode_answer(answer: forward_messages.ForwardAnswer) -> bytes:
    """Returns the message for an answer to a forwarded request."""
    reason = "" if answer.reason is None else answer.reason.value
    message = _SCHEMA.ForwardAnswer.new_message(
        requestId=answer.request_id,
        verdict=answer.verdict.value,
        reason=reason,
        status=answer.status,
        headers=_header_dicts(answer.headers),
        body=answer.body,
        retryAfterMs=answer.retry_after_ms,
        detail=answer.detail,
        waitingRequests=min(answer.load.waiting_requests, MAX_UINT16),
        latencyUs=int(answer.load.latency_s * 1e6),
        limitRequests=answer.load.limit_requests,
    )
    return bytes(message.to_bytes())


def decode_answer(data: bytes) -> forward_messages.ForwardAnswer:
    """Returns the answer in a message.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = schemas.read(_SCHEMA.ForwardAnswer, data)
        reason = errors.Reason(message.reason) if message.reason else None
        return forward_messages.ForwardAnswer(
            request_id=message.requestId,
            verdict=errors.Verdict(message.verdict),
            reason=reason,
            status=message.status,
            headers=_header_pairs(message.headers),
            body=bytes(message.body),
            retry_after_ms=message.retryAfterMs,
            detail=message.detail,
            load=forward_messages.UpstreamQueueLoad(
                message.waitingRequests,
                message.latencyUs / 1e6,
                message.limitRequests,
            ),
        )
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not an answer: {error}") from error


def _header_dicts(headers: forward_messages.Headers) -> list[dict[str, str]]:
    return [{"name": name, "value": value} for name, value in headers]


def _header_pairs(headers: Any) -> forward_messages.Headers:
    return tuple((header.name, header.value) for header in headers)
