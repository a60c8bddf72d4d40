"""Frames between daemons: a length, then an envelope."""

import dataclasses
import struct

import capnp

from sardinehill import errors
from sardinehill.wire import schemas

MAX_FRAME_BYTES = 16 * 1024 * 1024
LENGTH_PREFIX_BYTES = 4

_SCHEMA = schemas.load("envelope")
_LENGTH = struct.Struct(">I")


@dataclasses.dataclass(frozen=True)
class Envelope:
    """One message between two daemons.

    Attributes:
      kind: a number of `kinds.Kind`, not yet checked.
      message_id: pairs an answer with its question; 0 wants no answer.
      is_answer: whether this is the answer.
      sender: the sending daemon's name.
      payload: a message of the kind's own schema.
    """

    kind: int
    message_id: int
    is_answer: bool
    sender: str
    payload: bytes


def encode(envelope: Envelope) -> bytes:
    """Returns the frame of an envelope, its length first."""
    message = _SCHEMA.Envelope.new_message(
        kind=envelope.kind,
        id=envelope.message_id,
        isAnswer=envelope.is_answer,
        sender=envelope.sender,
        payload=envelope.payload,
    )
    data = bytes(message.to_bytes())
    return _LENGTH.pack(len(data)) + data


def envelope_length_bytes(buffer: bytes | bytearray) -> int | None:
    """Returns the length in bytes of the envelope that the buffer begins.

    Returns None while the length itself has not arrived.

    Raises:
      PeerFrameError: the frame is longer than `FRAME_LIMIT_BYTES`.
    """
    if len(buffer) < LENGTH_PREFIX_BYTES:
        return None
    length_bytes = int(_LENGTH.unpack_from(buffer)[0])
    if length_bytes > MAX_FRAME_BYTES:
        raise errors.PeerFrameError(f"a frame of {length_bytes} bytes")
    return length_bytes


def decode(data: bytes) -> Envelope:
    """Returns the envelope of a frame without its length.

    Raises:
      PeerFrameError: the bytes are not an envelope.
    """
    try:
        message = schemas.read(_SCHEMA.Envelope, data)
        return Envelope(
            kind=message.kind,
            message_id=message.id,
            is_answer=message.isAnswer,
            sender=message.sender,
            payload=bytes(message.payload),
        )
    except (capnp.KjException, ValueError) as error:
        raise errors.PeerFrameError(f"not an envelope: {error}") from error
