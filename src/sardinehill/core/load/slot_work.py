"""Learns how long the requests of each route take at a group's upstreams.

A daemon knows the service time of a route only from the answers that it got
itself: none after its start, and few in a large fleet. The scheduler sees the
answers that all daemons got from the upstreams of its group.
"""

import functools

import xxhash

from sardinehill.core.load import slot_bounds
from sardinehill.core.load import slot_messages

# The weight of the earlier estimate when a service time is averaged in.
HISTORY_WEIGHT = 0.95
# The first answers count alike.
MIN_ANSWERS = 10
# A service time beyond this multiple of the estimate counts as this multiple,
# which limits the weight of a single very late answer.
MAX_CHANGE_RATIO = 5.0
# Service times of at most this many routes are learned. For others, those that
# daemons state are used.
MAX_ROUTES = 1024


@functools.lru_cache(MAX_ROUTES)
def route_id(route: str) -> int:
    """Returns the number by which schedulers know a route."""
    return xxhash.xxh32_intdigest(route.encode()) or 1


class SlotWork:
    """The service time of each route at an upstream of usual speed."""

    def __init__(self) -> None:
        self._work_s: dict[int, float] = {}
        self._answer_counts: dict[int, int] = {}

    def work_s(self, route_id: int, stated_s: float) -> float:
        """Returns a route's service time; as stated while it is not known."""
        return self._work_s.get(route_id, stated_s)

    def record_answer(self, route_id: int, work_s: float) -> None:
        """Records the service time that an answer shows.

        Args:
          route_id: identifies the route.
          work_s: the time from sending to the answer, without waits, at an
            upstream of usual speed.
        """
        if route_id == slot_messages.NO_ROUTE:
            return
        work_s = min(
            max(work_s, slot_bounds.MIN_WORK_S), slot_bounds.MAX_WORK_S
        )
        known_s = self._work_s.get(route_id)
        if known_s is None:
            if len(self._work_s) < MAX_ROUTES:
                self._work_s[route_id] = work_s
                self._answer_counts[route_id] = 1
            return
        count = self._answer_counts[route_id]
        self._answer_counts[route_id] = count + 1
        weight = 1 - HISTORY_WEIGHT
        if count < MIN_ANSWERS:
            weight = 1 / (count + 1)
        else:
            work_s = min(work_s, known_s * MAX_CHANGE_RATIO)
        self._work_s[route_id] = known_s + weight * (work_s - known_s)
