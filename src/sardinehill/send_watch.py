"""Notices that a peer's host has vanished while something is sent to it."""

import asyncio
from collections.abc import Callable
import math

from sardinehill import socket_state
from sardinehill.core import send_progress

CHECK_INTERVAL_S = 0.5


class SendWatch:
    """Watches one connection from each write until the peer has taken all.

    It stands for the kernel's timeout for unacknowledged data where the peer
    may read slowly.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        transport: asyncio.WriteTransport,
        on_gone: Callable[[], None],
        on_taken: Callable[[], None] | None = None,
        max_unacknowledged_s: float = send_progress.MAX_UNACKNOWLEDGED_S,
        max_stalled_s: float = math.inf,
    ):
        """Creates a watch that does nothing before the first write.

        Args:
          loop: the event loop.
          transport: the connection.
          on_gone: called when the peer's host does not answer any more, or
            the peer takes nothing.
          on_taken: called when the peer has acknowledged all.
          max_unacknowledged_s: how long the peer's host may owe an
            acknowledgement and send none.
          max_stalled_s: how long the peer may take nothing of what waits.
        """
        self._max_stalled_s = max_stalled_s
        self._loop = loop
        self._transport = transport
        self._on_gone = on_gone
        self._on_taken = on_taken
        self._progress = send_progress.SendProgress(
            loop.time(), max_unacknowledged_s
        )
        self._timer: asyncio.TimerHandle | None = None

    def note_written(self, size_bytes: int) -> None:
        """Records that something was written to the connection."""
        self._progress.note_written(size_bytes, self._loop.time())
        if self._timer is None:
            self._schedule()

    def stop(self) -> None:
        """Ends the watch; to be called when the connection has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        state = socket_state.send_state(self._transport)
        if state is None:
            return
        now_s = self._loop.time()
        self._progress.update(state, now_s)
        if (
            self._progress.is_gone(now_s)
            or self._progress.stalled_s(now_s) > self._max_stalled_s
        ):
            self._on_gone()
        elif self._progress.waiting_bytes:
            self._schedule()
        elif self._on_taken is not None:
            self._on_taken()
