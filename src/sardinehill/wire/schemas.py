"""Loads the schemas in this package and reads messages with them."""

import pathlib
from typing import Any

import capnp

# What a reader may visit. Lists of empty items take no bytes, so that a short
# message can claim millions of them. Each part of a valid message is visited a
# few times.
MIN_TRAVERSAL_WORDS = 1024
TRAVERSALS = 8
WORD_BYTES = 8
NESTING_LIMIT = 16

_DIRECTORY = pathlib.Path(__file__).parent


def load(name: str) -> Any:
    """Returns the schema of `name`.capnp."""
    return capnp.load(str(_DIRECTORY / f"{name}.capnp"))


def traversal_limit_words(data: bytes) -> int:
    """Returns how much of a message a reader may visit, in words."""
    return MIN_TRAVERSAL_WORDS + TRAVERSALS * len(data) // WORD_BYTES


def read(struct: Any, data: bytes) -> Any:
    """Returns a reader of a message, with limits against malicious input.

    Raises:
      capnp.KjException: the bytes are not a message of this struct.
    """
    return struct.from_bytes(
        data,
        traversal_limit_in_words=traversal_limit_words(data),
        nesting_limit=NESTING_LIMIT,
    ).__enter__()
