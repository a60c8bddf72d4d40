"""Queues of requests that wait for an upstream's capacity or a key's owner.

Within a priority the newest request is woken first. Under overload the oldest
requests have missed their latency objective already, and serving them first
would delay all others beyond theirs.
"""

import asyncio
from collections.abc import Hashable
import heapq
import itertools


class WaitQueues:
    """One queue per key, ordered by priority and then newest first."""

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
        """Waits until woken, or until a deadline.

        Args:
          queue_key: identifies the upstream or service that is waited for.
          priority: the request's priority; 0 is woken first.
          deadline_s: when the wait ends at the latest, by the loop's clock.
          sequence_number: orders requests of the same priority by arrival.
        """
        loop = asyncio.get_running_loop()
        woken: asyncio.Future[None] = loop.create_future()
        queue = self._queues.setdefault(queue_key, [])
        # One request may wait in a queue more than once. The third number is
        # unique, so that futures are never compared.
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

    def count_ahead(self, queue_key: Hashable, priority: int) -> int:
        """Returns how many requests of at least a priority wait in a queue."""
        return sum(
            entry_priority <= priority and not woken.done()
            for entry_priority, *_, woken in self._queues.get(queue_key, ())
        )

    def next_sequence_number(self) -> int:
        """Returns a number above all that were returned before."""
        return next(self._sequence_numbers)

    def wake_one(self, queue_key: Hashable) -> bool:
        """Wakes the first request of a queue; returns whether there was one."""
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
        """Wakes all requests, for example after owners have changed."""
        queues, self._queues = self._queues, {}
        for queue in queues.values():
            for *_, woken in sorted(queue):
                if not woken.done():
                    woken.set_result(None)


def _wake(woken: asyncio.Future[None]) -> None:
    if not woken.done():
        woken.set_result(None)
