"""Relays one daemon's connections to one upstream until a test cuts them."""

import asyncio
from collections.abc import Callable
import socket
import struct

HOST = "127.0.0.1"
HANG = "hang"
RESET = "reset"
REFUSE = "refuse"
# A daemon's kernel drops a connection whose data stay unacknowledged this long
# (`TCP_USER_TIMEOUT`). Gates acknowledge all, so they drop it themselves.
UNACKNOWLEDGED_LIMIT_S = 1.5
_LINGER_AND_RESET = struct.pack("ii", 1, 0)


class _End(asyncio.Protocol):
    """One end of a relayed connection, and what it holds for the other.

    Attributes:
      transport: the connection, once it is open.
      other: the other end.
      has_ended: whether the connection has ended or is to end.
    """

    def __init__(
        self, is_cut: Callable[[], bool], on_relayed: Callable[[bytes], None]
    ):
        self._is_cut = is_cut
        self._on_relayed = on_relayed
        self._held: list[bytes] = []
        self.transport: asyncio.Transport | None = None
        self.other: _End | None = None
        self.has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Relays what the other end holds for this one."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.other is not None:
            self.other.relay()

    def data_received(self, data: bytes) -> None:
        """Relays bytes, or holds them while the link is cut."""
        self._held.append(data)
        self.relay()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the other end too, once the link is no longer cut."""
        self.has_ended = True
        if exc is not None:
            # A sender that resets its connection drops what was not delivered.
            self._held.clear()
        self.relay()

    @property
    def is_holding(self) -> bool:
        """Whether bytes of this end have not been relayed."""
        return bool(self._held)

    def relay(self) -> None:
        """Passes on to the other end what is held, unless the link is cut."""
        other = self.other
        if self._is_cut() or other is None or other.transport is None:
            return
        for data in self._held:
            if not other.has_ended:
                self._on_relayed(data)
                other.transport.write(data)
        self._held.clear()
        if self.has_ended:
            other.transport.close()

    def reset(self) -> None:
        """Resets the connection and drops what it holds."""
        self._held.clear()
        self.has_ended = True
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_AND_RESET
            )
            self.transport.abort()


class UpstreamGate:
    """Relays one daemon's connections to one upstream.

    The launcher `cut_off_daemon` opens none while the daemon is cut off; the
    gate decides what becomes of those that are open.

    Public attributes:
      port: where the daemon's connections arrive.
      relayed: all bytes that have gone to the upstream.
    """

    def __init__(self, upstream_port: int):
        self._upstream_port = upstream_port
        self._cut: str | None = None
        self._pairs: set[tuple[_End, _End]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.port = 0
        self.relayed = bytearray()

    async def open(self, port: int) -> None:
        """Accepts connections on a port."""
        self.port = port
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, HOST, port)

    def close(self) -> None:
        """Accepts nothing more, and resets what is open."""
        if self._server is not None:
            self._server.close()
        for daemon_end, upstream_end in self._pairs:
            daemon_end.reset()
            upstream_end.reset()

    def set_cut(self, cut: str | None) -> None:
        """Cuts the link, or restores it if `cut` is None."""
        self._cut = cut
        for daemon_end, upstream_end in list(self._pairs):
            if cut == RESET:
                daemon_end.reset()
                upstream_end.reset()
            daemon_end.relay()
            upstream_end.relay()

    def _is_cut(self) -> bool:
        return self._cut == HANG

    def _accept(self) -> _End:
        daemon_end = _End(self._is_cut, self.relayed.extend)
        upstream_end = _End(self._is_cut, lambda data: None)
        daemon_end.other, upstream_end.other = upstream_end, daemon_end
        self._pairs.add((daemon_end, upstream_end))
        task = asyncio.ensure_future(self._carry(daemon_end, upstream_end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return daemon_end

    async def _carry(self, daemon_end: _End, upstream_end: _End) -> None:
        """Opens the way to the upstream and watches for bytes held too long."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(
                lambda: upstream_end, HOST, self._upstream_port
            )
        except OSError:
            daemon_end.reset()
        held_since_s: float | None = None
        while not (daemon_end.has_ended and upstream_end.has_ended):
            await asyncio.sleep(0.05)
            if not daemon_end.is_holding:
                held_since_s = None
            elif held_since_s is None:
                held_since_s = loop.time()
            elif loop.time() - held_since_s > UNACKNOWLEDGED_LIMIT_S:
                daemon_end.reset()
                daemon_end.relay()
        self._pairs.discard((daemon_end, upstream_end))
