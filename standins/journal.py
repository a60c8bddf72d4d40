"""Writes and reads journals of events, with one JSON object per line."""

import json
import os
import pathlib
import time
from typing import Any

Record = dict[str, Any]


class Journal:
    """Appends events to a file that the referee reads afterwards."""

    def __init__(self, path: str, source: str):
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._descriptor = os.open(path, flags, 0o644)
        self._source = source

    def write(self, event: str, **fields: Any) -> None:
        """Appends one event with the wall-clock and the monotonic time.

        The line is written without buffering, so that a killed process leaves
        a record of everything that it has already told its client.
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
    """Returns a journal's complete records.

    A last line without a newline, which a killed process may leave behind, is
    ignored.

    Raises:
      ValueError: another line is not valid JSON.
    """
    lines = path.read_text().split("\n")
    return [json.loads(line) for line in lines[:-1] if line]
