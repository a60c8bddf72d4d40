"""Stands in for an upstream that runs a few requests at once."""

import asyncio
from collections.abc import Callable
import dataclasses
import time

from aiohttp import web

from standins import journal as journal_module
from standins import users_platform_upstream as upstream_module


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that has reached an upstream.

    Attributes:
      at_s: when it arrived.
      request_id: its id.
      is_rejected: whether it was refused as the queue was full.
    """

    at_s: float
    request_id: str
    is_rejected: bool


class SlottedUpstream(upstream_module.UsersPlatformUpstream):
    """Runs as many requests at once as it has slots, the others in turn.

    Attributes:
      arrivals: the requests that it ran, queued or refused.
      most: the most requests that it had at a time.
      duration_s: returns how long a request for a path takes.
    """

    def __init__(
        self,
        name: str,
        is_divided: bool = False,
        journal: journal_module.Journal | None = None,
        slots: int = 3,
        max_queue: int = 3,
    ):
        """Creates an upstream that has run nothing.

        Args:
          name: its id.
          is_divided: whether it serves only the keys that it is granted.
          journal: records what it runs, or None.
          slots: how many requests it runs at once.
          max_queue: how many requests wait; it refuses further ones.
        """
        super().__init__(name, is_divided, journal)
        self._slot_count = slots
        self._max_queue = max_queue
        self._slots = asyncio.Semaphore(slots)
        self._count = 0
        self.arrivals: list[Arrival] = []
        self.most = 0
        self.duration_s: Callable[[str], float] = lambda path: (
            self.service_time_s
        )

    @property
    def rejected_count(self) -> int:
        """How many requests it refused as its queue was full."""
        return sum(arrival.is_rejected for arrival in self.arrivals)

    async def _run(
        self, request: web.Request, request_id: str, key: int | None
    ) -> web.StreamResponse:
        is_rejected = self._count >= self._slot_count + self._max_queue
        self.arrivals.append(Arrival(time.monotonic(), request_id, is_rejected))
        if is_rejected:
            return self._answer(request_id, 503, {"X-Not-Executed": "1"})
        self._count += 1
        self.most = max(self.most, self._count)
        try:
            async with self._slots:
                self._note_run(request, request_id, key)
                await asyncio.sleep(self.duration_s(request.path))
        finally:
            self._count -= 1
        return self._answer(request_id, 200, {"X-Response-Stamp": "s"})

    def _answer(
        self, request_id: str, status: int, headers: dict[str, str]
    ) -> web.Response:
        running = min(self._count, self._slot_count)
        waiting = self._count - running
        return web.Response(
            status=status,
            headers={
                **headers,
                "X-Request-Id": request_id,
                "X-Server-Load": f"{running},{waiting},{self._slot_count},100",
            },
        )
