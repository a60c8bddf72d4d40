"""Journals: one JSON object a line, appended as things happen."""

import json
import os
import pathlib
import time
from typing import Any

Record = dict[str, Any]


class Journal:
    """An append-only file of events that the referee reads afterwards."""

    def __init__(self, path: str, source: str):
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._descriptor = os.open(path, flags, 0o644)
        self._source = source

    def write(self, event: str, **fields: Any) -> None:
        """Appends one event with the wall and the monotonic time.

        The line leaves this process at once: a process that is killed must
        not take with it what it has already told its client.
        """
        record = {
            "event": event,
            "source": self._source,
            "wall_s": time.time(),
            "monotonic_s": time.monotonic(),
            **fields,
        }
        line = json.dumps(record) + "\n"
        os.write(self._descriptor, line.encode())

    def close(self) -> None:
        """Closes the file."""
        os.close(self._descriptor)


def read(path: pathlib.Path) -> list[Record]:
    """Returns a journal's whole records.

    Only a last line without its end is left out, which a killed process may
    leave behind; a broken line elsewhere raises ValueError.
    """
    lines = path.read_text().split("\n")
    return [json.loads(line) for line in lines[:-1] if line]
