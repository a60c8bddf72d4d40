"""Sends replies to a caller, and follows how the caller takes them."""

import asyncio

from sardinehill import socket_state
from sardinehill import tcp_options
from sardinehill.core import byte_budget
from sardinehill.core import send_progress

# While there is no memory for other messages, a caller must take its replies at
# this rate, once they have been waiting for some time.
MIN_RATE_WITHOUT_MEMORY_BYTES_PER_S = 1000.0
MIN_TIME_WITHOUT_MEMORY_S = 1.5


class CallerOutput:
    """What is sent over one caller's connection.

    Public attributes:
      may_write: set unless so much waits for the caller that nothing more is to
        be written.
      progress: how the caller takes what was written.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, budget: byte_budget.ByteBudget
    ):
        """Creates an output that is not connected yet.

        Args:
          loop: the event loop.
          budget: what replies that callers have not read may hold.
        """
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._unsent_share = byte_budget.ByteShare(budget)
        self._is_finished = False
        self.progress = send_progress.SendProgress(loop.time())
        self.may_write = asyncio.Event()
        self.may_write.set()

    def connect(self, transport: asyncio.Transport) -> None:
        """Sends over a transport from now on."""
        self._transport = transport
        # Callers may read slowly; `gives_up` notices those that have vanished.
        tcp_options.set_options(
            transport, keepalive=False, user_timeout_ms=None
        )

    def write(self, data: bytes) -> None:
        """Sends bytes, or drops them if the connection is ending."""
        transport = self._transport
        if transport is None or transport.is_closing() or self._is_finished:
            return
        transport.write(data)
        self.progress.note_written(len(data), self._loop.time())
        self._unsent_share.hold(transport.get_write_buffer_size())

    async def write_until_end(self, data: bytes) -> None:
        """Sends a reply that ends with the connection.

        If this process ended before the kernel has all of it, an end of the
        connection in order would pass for the end of the reply. Until then the
        kernel is therefore to reset the connection.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.set_write_buffer_limits(high=0)
        tcp_options.set_discard_unsent_on_close(transport, True)
        self.write(data)
        await self.may_write.wait()
        if not transport.is_closing():
            tcp_options.set_discard_unsent_on_close(transport, False)

    def pause(self) -> None:
        """Notes that much waits for the caller."""
        self.may_write.clear()

    def resume(self) -> None:
        """Notes that little waits for the caller."""
        self._unsent_share.release()
        self.may_write.set()

    def follow(self) -> None:
        """Looks at what the caller has taken; to be called periodically."""
        transport = self._transport
        if transport is None or not self.progress.waiting_bytes:
            return
        state = socket_state.send_state(transport)
        if state is None:
            return
        self.progress.update(state, self._loop.time())
        # It may be less than at the last write, but not yet so little that the
        # transport calls `resume`.
        self._unsent_share.hold(transport.get_write_buffer_size())

    def gives_up(
        self, max_stalled_s: float, is_memory_short: bool, now_s: float
    ) -> bool:
        """Returns whether to wait no longer for the caller to take replies.

        Args:
          max_stalled_s: how long it may take nothing of what waits for it.
          is_memory_short: whether there is no memory for other messages. A
            caller that takes too little of what waits is not kept then.
          now_s: the event loop's time.
        """
        progress = self.progress
        return (
            progress.is_gone(now_s)
            or progress.stalled_s(now_s) > max_stalled_s
            or is_memory_short
            and progress.is_slower_than(
                MIN_RATE_WITHOUT_MEMORY_BYTES_PER_S,
                MIN_TIME_WITHOUT_MEMORY_S,
                now_s,
            )
        )

    def reset(self) -> None:
        """Ends the connection at once, and discards what waits.

        A transport that is closing may still be writing what it has buffered.
        """
        if self._transport is not None:
            tcp_options.reset(self._transport)

    def finish(self) -> None:
        """Ends this side of the connection behind what was written.

        The other side stays open. If both were closed and the caller sent
        anything more, the kernel would reset the connection and discard what
        the caller has not taken yet.
        """
        if self._transport is None or self._transport.is_closing():
            return
        self._is_finished = True
        self._transport.write_eof()

    def close(self) -> None:
        """Closes a connection whose caller has taken all that was written."""
        if self._transport is not None:
            self._transport.close()

    def release(self) -> None:
        """Frees what is held for a connection that has ended."""
        self._unsent_share.release()
        self.may_write.set()
