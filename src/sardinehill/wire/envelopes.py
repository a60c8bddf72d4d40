"""Encodes and decodes frames, which are a length followed by an envelope."""

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
      kind: a number of `message_kinds.MessageKind`, not yet validated.
      message_id: an id by which an answer is matched to its request, or 0 for a
        message without an answer.
      is_answer: whether the message is an answer.
      sender: the name of the sending daemon.
      payload: a message in the kind's schema.
    """

    kind: int
    message_id: int
    is_answer: bool
    sender: str
    payload: bytes


def encode(envelope: Envelope) -> bytes:
    """Returns an envelope as a frame, including the length."""
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
    """Returns the length of the envelope in the frame at the buffer's start.

    Returns None if the buffer doesn't contain the complete length yet.

    Raises:
      PeerFrameError: the envelope is longer than `MAX_FRAME_BYTES`.
    """
    if len(buffer) < LENGTH_PREFIX_BYTES:
        return None
    length_bytes = int(_LENGTH.unpack_from(buffer)[0])
    if length_bytes > MAX_FRAME_BYTES:
        raise errors.PeerFrameError(
            f"a frame of {length_bytes} bytes is too long"
        )
    return length_bytes


def decode(data: bytes) -> Envelope:
    """Returns the envelope in the bytes of a frame after its length.

    Raises:
      PeerFrameError: the bytes are not a valid envelope.
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
