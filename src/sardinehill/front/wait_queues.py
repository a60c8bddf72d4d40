"""Requests that wait for room at an upstream, or for a key's owner.

Of one rank the newest goes first: when there is more than can be served, those
that have waited long are late already, and serving them makes all others late.
"""

import asyncio
from collections.abc import Hashable
import heapq
import itertools


class WaitQueues:
    """One queue for each place, ordered by rank and then newest first."""

    def __init__(self) -> None:
        self._sequence_numbers = itertools.count()
        self._queues: dict[
            Hashable, list[tuple[int, int, int, asyncio.Future[None]]]
        ] = {}

    async def wait(
        self,
        queue_key: Hashable,
        priority: int,
        deadline_s: float,
        sequence_number: int,
    ) -> None:
        """Waits until woken, or until a time of the loop's clock.

        Args:
          queue_key: what is waited for.
          priority: 0 is woken first.
          deadline_s: the latest time.
          sequence_number: the request's place in line among its rank.
        """
        loop = asyncio.get_running_loop()
        woken: asyncio.Future[None] = loop.create_future()
        queue = self._queues.setdefault(queue_key, [])
        # The last number keeps apart the waits of one request.
        entry = (
            priority,
            -sequence_number,
            next(self._sequence_numbers),
            woken,
        )
        heapq.heappush(queue, entry)
        timer = loop.call_at(deadline_s, _wake, woken)
        try:
            await woken
        finally:
            timer.cancel()
            if not woken.done():
                woken.cancel()

    def next_sequence_number(self) -> int:
        """Returns a ticket behind all that were given out."""
        return next(self._sequence_numbers)

    def wake_one(self, queue_key: Hashable) -> bool:
        """Wakes the first in line; returns whether there was one."""
        queue = self._queues.get(queue_key)
        while queue:
            woken = heapq.heappop(queue)[-1]
            if not woken.done():
                woken.set_result(None)
                return True
        if queue is not None:
            del self._queues[queue_key]
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
