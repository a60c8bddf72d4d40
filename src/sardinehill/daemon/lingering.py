"""Closes connections only once their callers have taken the answers.

If both sides of a connection are closed and the caller sends anything more, the
kernel resets the connection and discards what the caller has not taken yet.
"""

import asyncio
from collections.abc import Callable
from typing import Any
from typing import cast

from sardinehill import socket_state
from sardinehill import tcp_options
from sardinehill.core import send_progress

CHECK_INTERVAL_S = 0.1
# A caller that takes nothing for this long is given up.
MAX_STALLED_S = 15.0


class _Transport:
    """A transport whose `close` leaves it open while the caller reads."""

    def __init__(
        self, transport: asyncio.Transport, on_close: Callable[[], None]
    ):
        self._transport = transport
        self._on_close = on_close
        self._is_closed = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def close(self) -> None:
        """Ends the connection behind what was written."""
        if not self._is_closed:
            self._is_closed = True
            self._on_close()

    def is_closing(self) -> bool:
        """Returns whether the connection ends."""
        return self._is_closed or self._transport.is_closing()


class LingeringProtocol(asyncio.Protocol):
    """Stands between a connection and the protocol that serves it.

    When that closes the connection, this ends only the sending side. What the
    caller sends then is dropped until it has taken all and ends its side, or
    for `send_progress.TAKEN_WAIT_S`.
    """

    def __init__(
        self, served_by: asyncio.Protocol, lingering: set["LingeringProtocol"]
    ):
        """Creates the protocol of a connection that is not open yet.

        Args:
          served_by: the protocol that serves it.
          lingering: holds this protocol while its connection only waits for
            the caller.
        """
        self._served_by = served_by
        self._lingering = lingering
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._progress = send_progress.SendProgress(self._loop.time())
        self._received_s = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Passes a transport on that is closed later than it is told."""
        # uvloop's transports do not inherit from asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        self._served_by.connection_made(
            cast(
                asyncio.Transport,
                _Transport(self._transport, self._end_sending),
            )
        )

    def data_received(self, data: bytes) -> None:
        """Passes data on, or drops it once the connection ends."""
        self._received_s = self._loop.time()
        if self not in self._lingering:
            self._served_by.data_received(data)

    def eof_received(self) -> bool | None:
        """Passes the end of the caller's side on."""
        if self in self._lingering:
            return False
        return self._served_by.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the wait, and passes the end on."""
        self._lingering.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        self._served_by.connection_lost(exc)

    def pause_writing(self) -> None:
        """Passes it on."""
        self._served_by.pause_writing()

    def resume_writing(self) -> None:
        """Passes it on."""
        self._served_by.resume_writing()

    def _end_sending(self) -> None:
        transport = self._transport
        assert transport is not None
        state = socket_state.send_state(transport)
        if state is None or transport.is_closing() or not state.waiting_bytes:
            # Idle connections are closed so, too: what the caller sends at that
            # moment stays unread, so that it may send it again.
            transport.close()
            return
        self._lingering.add(self)
        self._progress.note_written(state.waiting_bytes, self._loop.time())
        transport.write_eof()
        # aiohttp pauses it while many requests wait.
        transport.resume_reading()
        self._check_later()

    def _check_later(self) -> None:
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        assert self._transport is not None
        state = socket_state.send_state(self._transport)
        if state is None:
            return
        now_s = self._loop.time()
        self._progress.update(state, now_s)
        if self._progress.may_close(self._received_s, now_s):
            self._transport.close()
        elif (
            self._progress.is_gone(now_s)
            or self._progress.stalled_s(now_s) > MAX_STALLED_S
        ):
            tcp_options.reset(self._transport)
        else:
            self._check_later()
