"""Structured lines on standard output, bounded and never waited for."""

import collections
from collections.abc import Callable
import logging
import os
import sys
from typing import Any

from sardinehill import events

LINES_PER_S = 60.0
LINES_BURST = 200.0
PENDING_LIMIT_BYTES = 256 * 1024


class Output(logging.Handler):
    """Writes lines without ever blocking; what does not fit is counted."""

    def __init__(self, file_descriptor: int):
        super().__init__()
        self._file_descriptor = file_descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self.dropped = 0
        os.set_blocking(file_descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line and writes what the reader takes."""
        line = self.format(record).encode() + b"\n"
        if self._pending_bytes + len(line) > PENDING_LIMIT_BYTES:
            self.dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        self.drain()

    def drain(self) -> None:
        """Writes queued lines until the reader takes no more."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._file_descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()


class RequestLog:
    """Lines about requests, within a budget a second."""

    def __init__(self, clock_s: Callable[[], float]):
        self._clock_s = clock_s
        self._lines = LINES_BURST
        self._at_s = clock_s()
        self.dropped = 0

    def __call__(self, event: events.Event, **fields: Any) -> None:
        """Logs an event of a request, or counts it as dropped."""
        now_s = self._clock_s()
        self._lines = min(
            self._lines + (now_s - self._at_s) * LINES_PER_S, LINES_BURST
        )
        self._at_s = now_s
        # Failures go before what ended well: those are kept a reserve.
        reserve = LINES_BURST / 2 if event.level <= logging.INFO else 0.0
        if self._lines < 1.0 + reserve:
            self.dropped += 1
            return
        self._lines -= 1.0
        request = fields.get("request")
        if isinstance(request, bytes):
            fields["request"] = request.decode("latin-1")
        events.log(event, **fields)


def configure() -> Output:
    """Sends all logs to standard output as JSON lines."""
    output = Output(sys.stdout.fileno())
    output.setFormatter(events.JsonFormatter())
    logging.basicConfig(level=logging.INFO, handlers=[output], force=True)
    return output
