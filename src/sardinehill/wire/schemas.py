"""Loads the schemas that ship beside this module."""

import pathlib
from typing import Any

import capnp

# Bounds what a hostile frame may make the reader walk through.
TRAVERSAL_LIMIT_WORDS = 4 * 1024 * 1024
NESTING_LIMIT = 16

_DIRECTORY = pathlib.Path(__file__).parent


def load(name: str) -> Any:
    """Returns the schema of `name`.capnp."""
    return capnp.load(str(_DIRECTORY / f"{name}.capnp"))


def read(struct: Any, data: bytes) -> Any:
    """Returns a reader of a message, bounded against hostile input.

    Raises:
      capnp.KjException: the bytes are not such a message.
    """
    return struct.from_bytes(
        data,
        traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
        nesting_limit=NESTING_LIMIT,
    ).__enter__()
