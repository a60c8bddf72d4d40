"""Sets how the kernel treats a TCP connection."""

import asyncio
import contextlib
import socket
import struct

# The kernel drops a connection whose sent data stays unacknowledged this long.
USER_TIMEOUT_MS = 1500
# Keepalive probes detect peers that disappear without closing the connection.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2
# For connections that are kept idle. The kernel takes a user timeout in place
# of the probe count, and ends such a connection when a probe is due later than
# this after the last answer.
KEEPALIVE_USER_TIMEOUT_MS = 2500


def set_options(
    transport: asyncio.BaseTransport,
    keepalive: bool,
    user_timeout_ms: int | None = USER_TIMEOUT_MS,
) -> None:
    """Disables Nagle's algorithm and makes the kernel detect lost peers.

    Args:
      transport: a TCP transport; one without a socket is left as it is.
      keepalive: whether to send TCP keepalive probes while it is idle.
      user_timeout_ms: how long sent data may stay unacknowledged, or None for
        the kernel's usual limits. The kernel also ends connections to peers
        that have read too little for so long.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if user_timeout_ms is not None:
        set_user_timeout(transport, user_timeout_ms)
    if keepalive:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT
        )


def set_user_timeout(transport: asyncio.BaseTransport, timeout_ms: int) -> None:
    """Sets how long sent data may stay unacknowledged; 0 for no limit."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def set_discard_unsent_on_close(
    transport: asyncio.BaseTransport, discards: bool
) -> None:
    """Sets whether data that the peer has not acknowledged is discarded.

    By default the kernel keeps sending it after the connection is closed,
    also when the process has ended, so that it may arrive much later.

    Args:
      transport: a TCP transport; one without a socket is left as it is.
      discards: whether closing resets the connection and discards such data.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            struct.pack("ii", int(discards), 0),
        )


def reset(transport: asyncio.WriteTransport) -> None:
    """Ends a connection at once; the kernel discards what waits for the peer.

    Args:
      transport: a transport, which may be closing.
    """
    # The socket may be closed already.
    with contextlib.suppress(OSError, ValueError):
        set_discard_unsent_on_close(transport, True)
    transport.abort()
