"""Writes structured log lines to standard output without blocking.

Pending bytes and lines about requests are limited; lines beyond the limits are
dropped and counted.
"""

import collections
from collections.abc import Callable
import logging
import os
from typing import Any

from sardinehill import events
from sardinehill.front import standard_streams

REQUEST_LINES_PER_S = 60.0
REQUEST_LINES_BURST = 200.0
# A `KeyedLog` logs at most one line for each key in this time.
KEYED_LINE_INTERVAL_S = 1.0
# Lines of further keys are dropped while it knows this many.
MAX_KEYS = 1000
MAX_PENDING_BYTES = 256 * 1024


class NonBlockingHandler(logging.Handler):
    """A log handler that never blocks on its reader.

    Public attributes:
      dropped_lines: lines dropped because too many bytes were pending.
    """

    def __init__(self, file_descriptor: int):
        super().__init__()
        self._file_descriptor = file_descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self.dropped_lines = 0
        os.set_blocking(file_descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line and writes as much as the descriptor accepts."""
        line = self.format(record).encode() + b"\n"
        if self._pending_bytes + len(line) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        self.write_pending()

    def write_pending(self) -> None:
        """Writes queued lines until the descriptor would block."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._file_descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so the error cannot be logged either.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()


class RequestLog:
    """Logs events of requests up to a rate, with a token bucket.

    Public attributes:
      dropped_lines: lines dropped because they exceeded the rate.
    """

    def __init__(self, clock_s: Callable[[], float]):
        self._clock_s = clock_s
        self._available_lines = REQUEST_LINES_BURST
        self._refilled_s = clock_s()
        self.dropped_lines = 0

    def __call__(self, event: events.Event, **fields: Any) -> None:
        """Logs an event of a request, or counts its line as dropped."""
        now_s = self._clock_s()
        self._available_lines = min(
            self._available_lines
            + (now_s - self._refilled_s) * REQUEST_LINES_PER_S,
            REQUEST_LINES_BURST,
        )
        self._refilled_s = now_s
        # Half of the burst is reserved for warnings and errors.
        reserve = (
            REQUEST_LINES_BURST / 2 if event.level <= logging.INFO else 0.0
        )
        if self._available_lines < 1.0 + reserve:
            self.dropped_lines += 1
            return
        self._available_lines -= 1.0
        request = fields.get("request")
        if isinstance(request, bytes):
            fields["request"] = request.decode("latin-1")
        events.log(event, **fields)


class KeyedLog:
    """Logs at most one line a second for each event and key."""

    def __init__(self, clock_s: Callable[[], float]):
        self._clock_s = clock_s
        self._logged_s: dict[tuple[events.Event, str], float] = {}

    def __call__(self, event: events.Event, key: str, **fields: Any) -> None:
        """Logs an event, unless one was logged for this key lately."""
        now_s = self._clock_s()
        logged_s = self._logged_s.get((event, key))
        if logged_s is not None and now_s - logged_s < KEYED_LINE_INTERVAL_S:
            return
        if len(self._logged_s) >= MAX_KEYS:
            self._logged_s = {
                known: time_s
                for known, time_s in self._logged_s.items()
                if now_s - time_s < KEYED_LINE_INTERVAL_S
            }
        if len(self._logged_s) < MAX_KEYS:
            self._logged_s[event, key] = now_s
            events.log(event, **fields)


def configure() -> NonBlockingHandler:
    """Sends all logs to standard output as JSON lines."""
    output = NonBlockingHandler(standard_streams.OUTPUT)
    output.setFormatter(events.JsonFormatter())
    logging.basicConfig(level=logging.INFO, handlers=[output], force=True)
    return output
