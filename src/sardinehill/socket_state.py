"""Reads what the kernel knows of a TCP connection."""

import asyncio
import errno
import fcntl
import os
import select
import socket
import struct
import termios

from sardinehill.core import send_progress

# The beginning of `struct tcp_info` of <linux/tcp.h>: eight bytes, and then
# fields of four bytes.
_TCP_INFO = struct.Struct("=8B13I")
_PROBES_FIELD = 3
_UNACKNOWLEDGED_FIELD = 12
_LAST_ACKNOWLEDGEMENT_FIELD = 20
_INT = struct.Struct("=i")
_MS_PER_S = 1000


def send_state(
    transport: asyncio.WriteTransport,
) -> send_progress.SendState | None:
    """Returns how the peer takes what was written to a transport.

    Returns:
      The state, or None without an open TCP socket.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return None
    try:
        unsent = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
        (kernel_bytes,) = _INT.unpack(unsent)
        waiting_bytes = kernel_bytes + transport.get_write_buffer_size()
        if not waiting_bytes:
            return send_progress.SendState(0, False, 0.0)
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
        fields = _TCP_INFO.unpack(info)
    except (OSError, ValueError, struct.error):
        # The socket is closed, or no TCP socket.
        return None
    return send_progress.SendState(
        waiting_bytes,
        fields[_UNACKNOWLEDGED_FIELD] > 0 or fields[_PROBES_FIELD] > 0,
        fields[_LAST_ACKNOWLEDGEMENT_FIELD] / _MS_PER_S,
    )


def end_error(transport: asyncio.BaseTransport) -> OSError | None:
    """Returns the error that has ended what arrives, None if it ended in order.

    To be called when the event loop reports an end. libuv reports one, and no
    error, if the last bytes and a reset have come between two of its passes.

    Returns:
      The kernel's pending error. Not the one of a reset that came behind the
      peer's end in order: all bytes had arrived then.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return None
    try:
        number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except (OSError, ValueError):
        # The socket is closed.
        return None
    if number in (0, errno.EPIPE):
        return None
    return OSError(number, os.strerror(number))


def has_unread_events(transport: asyncio.BaseTransport) -> bool:
    """Returns whether the kernel has bytes, an end or an error to report.

    The event loop may be busy and not know of them yet.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    poll = select.poll()
    # An end in order makes a socket readable, too; errors are always reported.
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
