"""Loads the package's Cap'n Proto schemas."""

import importlib.resources
from typing import Any

import capnp

capnp.remove_import_hook()


def load(name: str) -> Any:
    """Returns the schema module of `wire/{name}.capnp`."""
    package = importlib.resources.files("sardinehill.wire")
    with importlib.resources.as_file(package / f"{name}.capnp") as path:
        return capnp.load(str(path))
