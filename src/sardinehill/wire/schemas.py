"""Loads the schemas in this package and reads messages with them."""

import pathlib
from typing import Any

import capnp

# The traversal limit is in words of 8 bytes. Both limits bound the work that a
# malicious frame can cause in the reader.
TRAVERSAL_LIMIT_WORDS = 4 * 1024 * 1024
NESTING_LIMIT = 16

_DIRECTORY = pathlib.Path(__file__).parent


def load(name: str) -> Any:
    """Returns the schema of `name`.capnp."""
    return capnp.load(str(_DIRECTORY / f"{name}.capnp"))


def read(struct: Any, data: bytes) -> Any:
    """Returns a reader of a message, with limits against malicious input.

    Raises:
      capnp.KjException: the bytes are not a message of this struct.
    """
    return struct.from_bytes(
        data,
        traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
        nesting_limit=NESTING_LIMIT,
    ).__enter__()
