"""The codec of what one gateway tells the next about an upstream."""

import capnp

from sardinehill import errors
from sardinehill.core import ramp
from sardinehill.wire import schemas

_SCHEMA = schemas.load("forward")


def encode_handover_query(upstream: str, assignment_version: int) -> bytes:
    """Returns the message of a new gateway's question."""
    message = _SCHEMA.LaneQuestion.new_message(
        upstream=upstream, assignmentVersion=assignment_version
    )
    return bytes(message.to_bytes())


def decode_handover_query(data: bytes) -> tuple[str, int]:
    """Returns the upstream and the version of the assignment.

    Raises:
      PeerFrameError: the bytes are not such a message.
    """
    try:
        message = schemas.read(_SCHEMA.LaneQuestion, data)
        return message.upstream, message.assignmentVersion
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a question: {error}") from error


def encode_handover(handover: ramp.Handover | None) -> bytes:
    """Returns the message of an old gateway's answer."""
    if handover is None:
        return bytes(_SCHEMA.LaneHandover.new_message().to_bytes())
    message = _SCHEMA.LaneHandover.new_message(
        known=True,
        incarnation=handover.incarnation,
        limitRequests=handover.limit_requests,
        inFlight=handover.in_flight,
        inFlightMs=int(handover.in_flight_remaining_s * 1000) + 1,
        usualLatencyUs=int(handover.baseline_latency_s * 1e6),
    )
    return bytes(message.to_bytes())


def decode_handover(data: bytes) -> ramp.Handover | None:
    """Returns what the old gateway said, or None when it knew nothing.

    Raises:
      PeerFrameError: the bytes are not such a message.
    """
    try:
        message = schemas.read(_SCHEMA.LaneHandover, data)
        if not message.known:
            return None
        return ramp.Handover(
            incarnation=message.incarnation,
            limit_requests=message.limitRequests,
            in_flight=message.inFlight,
            in_flight_remaining_s=message.inFlightMs / 1000,
            baseline_latency_s=message.usualLatencyUs / 1e6,
        )
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a handover: {error}") from error
