"""Requests that wait for room at an upstream, or for a key's owner.

Of one rank the newest goes first: when there is more than can be served, those
that have waited long are late already, and serving them makes all others late.
"""

import asyncio
from collections.abc import Hashable
import heapq
import itertools


class WaitingRooms:
    """One queue for each place, ordered by rank and then newest first."""

    def __init__(self) -> None:
        self._order = itertools.count()
        self._queues: dict[
            Hashable, list[tuple[int, int, int, asyncio.Future[None]]]
        ] = {}

    async def wait(
        self, place: Hashable, rank: int, until_s: float, ticket: int
    ) -> None:
        """Waits until woken, or until a time of the loop's clock.

        Args:
          place: what is waited for.
          rank: 0 is woken first.
          until_s: the latest time.
          ticket: the request's place in line among its rank.
        """
        loop = asyncio.get_running_loop()
        woken: asyncio.Future[None] = loop.create_future()
        queue = self._queues.setdefault(place, [])
        # The last number keeps apart the waits of one request.
        entry = (rank, -ticket, next(self._order), woken)
        heapq.heappush(queue, entry)
        timer = loop.call_at(until_s, _wake, woken)
        try:
            await woken
        finally:
            timer.cancel()
            if not woken.done():
                woken.cancel()

    def next_ticket(self) -> int:
        """Returns a ticket behind all that were given out."""
        return next(self._order)

    def wake_one(self, place: Hashable) -> bool:
        """Wakes the first in line; returns whether there was one."""
        queue = self._queues.get(place)
        while queue:
            woken = heapq.heappop(queue)[-1]
            if not woken.done():
                woken.set_result(None)
                return True
        if queue is not None:
            del self._queues[place]
        return False

    def wake_all(self) -> None:
        """Wakes everybody, as after a change of owners."""
        queues, self._queues = self._queues, {}
        for queue in queues.values():
            for *_, woken in sorted(queue):
                if not woken.done():
                    woken.set_result(None)


def _wake(woken: asyncio.Future[None]) -> None:
    if not woken.done():
        woken.set_result(None)
