"""Connections of one daemon to one life of an upstream."""

import asyncio

from sardinehill import http1

# Upstreams close idle connections; ours are given up somewhat earlier.
DEFAULT_IDLE_TIMEOUT_S = 8.0
IDLE_TIMEOUT_RATIO = 0.7
CONNECT_TIMEOUT_S = 0.3


class ConnectionPool:
    """Idle connections, newest first, and how many are open."""

    def __init__(self, address: str):
        self.address = address
        self._idle: list[http1.Connection] = []
        self.opened_count = 0

    def acquire_idle(self, now_s: float) -> http1.Connection | None:
        """Returns an idle connection that likely still works, or None."""
        while self._idle:
            connection = self._idle.pop()
            limit_s = DEFAULT_IDLE_TIMEOUT_S
            if connection.idle_limit_s is not None:
                limit_s = connection.idle_limit_s * IDLE_TIMEOUT_RATIO
            if connection.is_reusable(now_s, limit_s):
                return connection
            connection.close()
        return None

    async def acquire(self, timeout_s: float) -> http1.Connection:
        """Returns a connection, opening one if none is idle.

        Raises:
          ConnectionFailedError: none could be opened.
        """
        now_s = asyncio.get_running_loop().time()
        connection = self.acquire_idle(now_s)
        if connection is not None:
            return connection
        self.opened_count += 1
        return await http1.connect(
            self.address, min(timeout_s, CONNECT_TIMEOUT_S)
        )

    def release(self, connection: http1.Connection) -> None:
        """Keeps a connection for the next request, if it can carry one."""
        if connection.usable:
            self._idle.append(connection)
        else:
            connection.close()

    def close_stale(self, now_s: float) -> None:
        """Ends connections that have been idle for too long."""
        kept = []
        for connection in self._idle:
            limit_s = DEFAULT_IDLE_TIMEOUT_S
            if connection.idle_limit_s is not None:
                limit_s = connection.idle_limit_s * IDLE_TIMEOUT_RATIO
            if connection.is_reusable(now_s, limit_s):
                kept.append(connection)
            else:
                connection.close()
        self._idle = kept

    def close(self) -> None:
        """Ends all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle = []
