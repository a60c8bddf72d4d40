"""A timer service that parts subscribe to, with the clock handed in.

Parts never read a clock of their own: they ask the service for the time and
subscribe to be called. The daemon drives one service from its event loop;
tests drive one by hand with `advance_to`.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools


@dataclasses.dataclass
class Subscription:
    """One part's standing or single wish to be called.

    Attributes:
      due_s: the time of the next call, in seconds of the service's clock.
      interval_s: seconds between calls, or 0 for a single call.
      callback: called with no argument at or after `due_s`.
      active: False once cancelled.
    """

    due_s: float
    interval_s: float
    callback: Callable[[], None]
    active: bool = True

    def cancel(self) -> None:
        """Ends the subscription; a cancelled callback is never called."""
        self.active = False


class TimerService:
    """Calls subscribers when their time has come."""

    def __init__(self, clock_s: Callable[[], float]):
        self._clock_s = clock_s
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Subscription]] = []

    def now_s(self) -> float:
        """Returns the time in seconds of a clock that never goes back."""
        return self._clock_s()

    def every(
        self,
        interval_s: float,
        callback: Callable[[], None],
        first_delay_s: float | None = None,
    ) -> Subscription:
        """Subscribes to a call each `interval_s` seconds."""
        delay_s = interval_s if first_delay_s is None else first_delay_s
        return self._push(
            Subscription(self.now_s() + delay_s, interval_s, callback)
        )

    def after(
        self, delay_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Subscribes to a single call in `delay_s` seconds."""
        return self._push(Subscription(self.now_s() + delay_s, 0.0, callback))

    def next_due_s(self) -> float | None:
        """Returns when `run_due` next has work, or None."""
        while self._heap and not self._heap[0][2].active:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def run_due(self) -> int:
        """Calls every subscriber that is due, and returns how many.

        A standing subscriber that was late, for instance because the process
        was frozen, is called once and not once for each missed interval.
        """
        now_s = self.now_s()
        called = 0
        while self._heap and self._heap[0][0] <= now_s:
            subscription = heapq.heappop(self._heap)[2]
            if not subscription.active:
                continue
            if subscription.interval_s > 0:
                subscription.due_s = now_s + subscription.interval_s
                self._push(subscription)
            called += 1
            subscription.callback()
        return called

    def _push(self, subscription: Subscription) -> Subscription:
        entry = (subscription.due_s, next(self._order), subscription)
        heapq.heappush(self._heap, entry)
        return subscription
