"""Pools a daemon's connections to one incarnation of an upstream."""

import asyncio
from collections.abc import Callable
from collections.abc import Container

from sardinehill import http1
from sardinehill.core import byte_budget

# Idle connections are closed earlier than the upstream closes them: after this
# time, or after this part of the idle timeout that the upstream announced.
DEFAULT_IDLE_TIMEOUT_S = 8.0
IDLE_TIMEOUT_RATIO = 0.7
CONNECT_TIMEOUT_S = 0.3

# Is told whether an attempt to connect succeeded, and when it began. Not told
# of one that had less time than `CONNECT_TIMEOUT_S`, or whose end this process
# noticed late.
AttemptListener = Callable[[bool, float], None]
# A timeout that is noticed later than this shows that the process was paused.
MAX_TIMEOUT_DELAY_S = 0.2
# Event loops may run a timer early by their clock's resolution.
_TIMER_TOLERANCE_S = 0.01


class ConnectionPool:
    """Idle connections to one address; the most recently used is reused first.

    Public attributes:
      address: the upstream's IP and port.
      opened_count: how many attempts to open a connection were made.
    """

    def __init__(
        self,
        address: str,
        on_attempt: AttemptListener | None = None,
        budget: byte_budget.ByteBudget | None = None,
    ):
        self._budget = budget
        self.address = address
        self._on_attempt = on_attempt
        self._idle: list[http1.Connection] = []
        self.opened_count = 0

    def acquire_idle(
        self, now_s: float, avoided: Container[object] = ()
    ) -> http1.Connection | None:
        """Returns an idle connection within its idle timeout, or None.

        Args:
          now_s: the event loop's time.
          avoided: connections that stay idle.
        """
        skipped = []
        found = None
        while self._idle and found is None:
            connection = self._idle.pop()
            if not connection.is_reusable(now_s, _idle_limit_s(connection)):
                connection.close()
            elif connection in avoided:
                skipped.append(connection)
            else:
                found = connection
        self._idle.extend(reversed(skipped))
        return found

    async def acquire(
        self, timeout_s: float, avoided: Container[object] = ()
    ) -> http1.Connection:
        """Returns an idle connection, or opens one.

        Args:
          timeout_s: how long opening a connection may take.
          avoided: idle connections that are not returned.

        Raises:
          ConnectionFailedError: the upstream could not be reached.
        """
        now_s = asyncio.get_running_loop().time()
        connection = self.acquire_idle(now_s, avoided)
        if connection is not None:
            return connection
        return await self.open(min(timeout_s, CONNECT_TIMEOUT_S))

    async def open(self, timeout_s: float) -> http1.Connection:
        """Opens a connection, although there may be an idle one.

        Raises:
          ConnectionFailedError: the upstream could not be reached.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self.opened_count += 1
        try:
            connection = await http1.connect(
                self.address, timeout_s, budget=self._budget, reads_slowly=True
            )
        except http1.ConnectionFailedError as error:
            took_s = loop.time() - began_s
            is_timeout = isinstance(error.__cause__, TimeoutError)
            if self._on_attempt is not None and (
                not is_timeout or _is_full_timeout(took_s)
            ):
                self._on_attempt(False, began_s)
            raise
        if self._on_attempt is not None:
            self._on_attempt(True, began_s)
        return connection

    def has_idle(self) -> bool:
        """Returns whether there is an idle connection, perhaps a stale one."""
        return bool(self._idle)

    def release(self, connection: http1.Connection) -> None:
        """Returns a connection to the pool, or closes it if it is unusable."""
        if connection.usable:
            self._idle.append(connection)
        else:
            connection.close()

    def close_stale(self, now_s: float) -> None:
        """Closes connections that have exceeded their idle timeout."""
        reusable = []
        for connection in self._idle:
            if connection.is_reusable(now_s, _idle_limit_s(connection)):
                reusable.append(connection)
            else:
                connection.close()
        self._idle = reusable

    def close(self) -> None:
        """Closes all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle = []


def _is_full_timeout(took_s: float) -> bool:
    delay_s = took_s - CONNECT_TIMEOUT_S
    return -_TIMER_TOLERANCE_S < delay_s < MAX_TIMEOUT_DELAY_S


def _idle_limit_s(connection: http1.Connection) -> float:
    if connection.server_idle_timeout_s is None:
        return DEFAULT_IDLE_TIMEOUT_S
    return connection.server_idle_timeout_s * IDLE_TIMEOUT_RATIO
