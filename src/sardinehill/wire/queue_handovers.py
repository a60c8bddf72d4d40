"""Encodes and decodes the handover of an upstream queue between gateways."""

import capnp

from sardinehill import errors
from sardinehill.core import ramp
from sardinehill.wire import schemas

_SCHEMA = schemas.load("forward")


def encode_handover_query(upstream: str, assignment_version: int) -> bytes:
    """Returns the message for a new gateway's query to its predecessor."""
    message = _SCHEMA.LaneQuestion.new_message(
        upstream=upstream, assignmentVersion=assignment_version
    )
    return bytes(message.to_bytes())


def decode_handover_query(data: bytes) -> tuple[str, int]:
    """Returns the upstream and the assignment version in a handover query.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
    """
    try:
        message = schemas.read(_SCHEMA.LaneQuestion, data)
        return message.upstream, message.assignmentVersion
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not a handover query: {error}") from error


def encode_handover(handover: ramp.Handover | None) -> bytes:
    """Returns the message for a previous gateway's answer."""
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
    """Returns the handover in a message, or None if the sender has none.

    Raises:
      PeerFrameError: the bytes are not a valid message of this kind.
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
