"""Estimates when waiting requests start and when refused ones may return."""

from collections.abc import Iterable
import dataclasses
import heapq
import itertools

from sardinehill.core.load import slot_demand
from sardinehill.core.load import slot_queue
from sardinehill.core.load import slot_upstream

# Waits are estimated with at least this part of the capacity, however much more
# urgent work arrives, as an estimate that is too long refuses requests.
MIN_CAPACITY_RATIO = 0.25
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 10.0
# The fractional parts of multiples of the golden ratio are evenly spread.
_GOLDEN_RATIO = 0.618034


@dataclasses.dataclass(frozen=True, slots=True)
class Unserved:
    """A waiting request that cannot be served in its time.

    Attributes:
      waiting: the request.
      expected_wait_s: how long it would have to wait.
      requests_ahead: how many requests would go before it.
      duration_s: how long it would take at the fastest upstream.
    """

    waiting: slot_queue.WaitingRequest
    expected_wait_s: float
    requests_ahead: int
    duration_s: float


class Capacity:
    """The usable upstreams of a group, summed up for one decision."""

    def __init__(
        self, upstreams: Iterable[slot_upstream.SlotUpstream], now_s: float
    ):
        """Sums up upstreams.

        Args:
          upstreams: the usable ones.
          now_s: the current time.
        """
        self.upstreams = list(upstreams)
        self._slowness = [item.lasting_slowness() for item in self.upstreams]
        self.slots = sum(item.state.slots for item in self.upstreams)
        # Seconds of work of upstreams of usual speed, done in a second.
        self.work_rate = sum(
            item.state.slots / slowness
            for item, slowness in zip(
                self.upstreams, self._slowness, strict=True
            )
        )
        self.min_slowness = min(self._slowness, default=1.0)
        self.is_measured = any(item.is_measured for item in self.upstreams)

    def free_times(
        self, now_s: float, max_free: int
    ) -> list[tuple[float, float]]:
        """Returns a heap of the times at which slots are free, with slowness.

        Args:
          now_s: the current time.
          max_free: at most this many slots of an upstream are free now.
        """
        times = [
            (time_s, slowness)
            for upstream, slowness in zip(
                self.upstreams, self._slowness, strict=True
            )
            for time_s in upstream.free_times_s(now_s, max_free)
        ]
        heapq.heapify(times)
        return times


def next_wait_s(
    upstreams: Iterable[slot_upstream.SlotUpstream],
    chosen: slot_upstream.SlotUpstream,
    duration_s: float,
    now_s: float,
) -> float:
    """Returns the wait for the next slot once a request has taken one.

    Args:
      upstreams: the usable ones.
      chosen: the one that the request is sent to.
      duration_s: how long the request takes there.
      now_s: the current time.
    """
    next_s = now_s + duration_s
    for upstream in upstreams:
        times_s = upstream.free_times_s(now_s, 2)
        heapq.heapify(times_s)
        if upstream is chosen:
            heapq.heapreplace(times_s, times_s[0] + duration_s)
        next_s = min(next_s, times_s[0])
    return next_s - now_s


def estimate_starts(
    queue: slot_queue.SlotQueue,
    demand: slot_demand.SlotDemand,
    capacity: Capacity,
    now_s: float,
) -> list[Unserved]:
    """Estimates when each waiting request starts.

    Sets `expected_start_s` of all waiting requests.

    Args:
      queue: the waiting requests.
      demand: the demand for the group's slots.
      capacity: the usable upstreams; at least one.
      now_s: the current time.

    Returns:
      Those that cannot be served in their time.
    """
    plan = _Plan(capacity, len(queue), now_s)
    priorities = queue.priorities()
    overdue: set[slot_queue.WaitingRequest] = set()
    for priority in priorities:
        requests = queue.of_priority(priority)
        count = demand.overdue_grants(priority, now_s)
        for waiting in itertools.islice(requests, count):
            overdue.add(waiting)
            plan.place(waiting, 1.0, 1.0)
    rates = demand.work_rates(now_s)
    for priority in priorities:
        more_urgent = sum(
            rate for other, rate in rates.items() if other < priority
        )
        stretch = _stretch(more_urgent, capacity)
        late_stretch = _stretch(more_urgent + rates[priority], capacity)
        for waiting in queue.of_priority(priority):
            if waiting not in overdue:
                plan.place(waiting, stretch, late_stretch)
    return plan.unserved


def _stretch(ahead_rate: float, capacity: Capacity) -> float:
    """Returns how much longer waits get by work that is yet to arrive."""
    left = 1.0 - ahead_rate / capacity.work_rate
    return 1.0 / max(left, MIN_CAPACITY_RATIO)


class _Plan:
    """Places waiting requests in the order in which they are granted."""

    def __init__(
        self,
        capacity: Capacity,
        count: int,
        now_s: float,
    ):
        self.unserved: list[Unserved] = []
        self._capacity = capacity
        self._now_s = now_s
        self._free_times = capacity.free_times(now_s, count)
        self._placed = 0

    def place(
        self,
        waiting: slot_queue.WaitingRequest,
        stretch: float,
        late_stretch: float,
    ) -> None:
        """Places the next request, unless it cannot be served in its time.

        Args:
          waiting: the request.
          stretch: how much longer its wait gets by work that is yet to arrive.
          late_stretch: the same once it cannot meet its objective.
        """
        now_s = self._now_s
        request = waiting.request
        free_s, slowness = self._free_times[0]
        wait_s = free_s - now_s
        start_s = now_s + wait_s * stretch
        is_late = start_s > waiting.objective_s - request.work_s
        if is_late and not request.has_returned:
            start_s = now_s + wait_s * late_stretch
        waiting.expected_start_s = start_s
        duration_s = request.work_s * self._capacity.min_slowness
        if (
            self._capacity.is_measured
            and start_s + duration_s > waiting.deadline_s
        ):
            self.unserved.append(
                Unserved(waiting, start_s - now_s, self._placed, duration_s)
            )
            return
        self._placed += 1
        heapq.heapreplace(
            self._free_times,
            (free_s + request.work_s * slowness, slowness),
        )


class RetryTimes:
    """Spreads the returns of refused callers."""

    def __init__(self) -> None:
        self._last_s: dict[int, float] = {}
        self._beyond = 0

    def retry_after_s(
        self,
        priority: int,
        least_s: float,
        spacing_s: float,
        now_s: float,
    ) -> float:
        """Returns when a refused caller should come back.

        It comes after those of its priority and of more urgent ones that have
        been told to come back.

        Args:
          priority: the priority of its request.
          least_s: the time until capacity is expected for it.
          spacing_s: the time in which the upstreams serve one such request.
          now_s: the current time.
        """
        time_s = now_s + max(least_s, MIN_RETRY_AFTER_S)
        for other, last_s in self._last_s.items():
            if other <= priority:
                time_s = max(time_s, last_s + spacing_s)
        if time_s > now_s + MAX_RETRY_AFTER_S:
            # No capacity is expected in time, but returns are spread as well.
            self._beyond += 1
            part = (1 + self._beyond * _GOLDEN_RATIO % 1.0) / 2
            return MAX_RETRY_AFTER_S * part
        self._last_s[priority] = time_s
        return max(time_s - now_s, MIN_RETRY_AFTER_S)
