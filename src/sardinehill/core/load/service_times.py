"""Estimates the service times of routes and the slowness of upstreams.

A latency is the product of the work of the request, the slowness of the
upstream and, if the upstream is busy, the wait for a slot. An upstream that
always has a queue is never seen idle, so its slowness is known only from the
load that it reports.
"""

# The weight of the earlier estimate when a service time is averaged in.
HISTORY_WEIGHT = 0.95
# Before this many answers of a route, its service time is too uncertain to tell
# a slow upstream by it.
MIN_ANSWERS = 10
# The service time of a route that has had no answer yet.
INITIAL_SERVICE_TIME_S = 0.05
# An idle upstream whose latency is more than this multiple of the latency that
# its report implies is slower than it reports.
UNREPORTED_SLOWNESS_RATIO = 3.0
# A higher slowness is counted as this value, which limits the weight of a
# single very late answer.
MAX_SLOWNESS_RATIO = 10.0
_MIN_RATIO = 1e-4


class ServiceTimes:
    """The service time of each route at an upstream of usual speed."""

    def __init__(self) -> None:
        self._service_times_s: dict[str, float] = {}
        self._answer_counts: dict[str, int] = {}

    def service_time_s(self, route: str) -> float:
        """Returns a route's mean service time, without waits for a slot."""
        return self._service_times_s.get(route, INITIAL_SERVICE_TIME_S)

    def record_answer(
        self,
        route: str,
        latency_s: float,
        reported_slowness: float | None,
        has_queue: bool,
    ) -> float | None:
        """Records an answer.

        Args:
          route: the name of the route.
          latency_s: the time from sending to the complete answer.
          reported_slowness: how long work takes at the upstream, relative to
            the usual time, as it reports; None if it reports none.
          has_queue: whether requests wait for a slot there, or whether that is
            not known.

        Returns:
          The slowness of the upstream that the answer shows, or None if it
          shows none.
        """
        if has_queue:
            return reported_slowness
        slowness = max(reported_slowness or 1.0, _MIN_RATIO)
        known_s = self._service_times_s.get(route, 0.0)
        count = self._answer_counts.get(route, 0)
        self._answer_counts[route] = count + 1
        # The first answers count alike.
        weight = max(1 - HISTORY_WEIGHT, 1 / (count + 1))
        measured_s = latency_s / slowness
        if count >= MIN_ANSWERS:
            measured_s = min(measured_s, known_s * MAX_SLOWNESS_RATIO)
        self._service_times_s[route] = known_s + weight * (measured_s - known_s)
        if count < MIN_ANSWERS:
            return reported_slowness
        latency_ratio = latency_s / max(known_s, _MIN_RATIO)
        if (
            reported_slowness is None
            or latency_ratio > UNREPORTED_SLOWNESS_RATIO * slowness
        ):
            slowness = latency_ratio
        return min(slowness, MAX_SLOWNESS_RATIO)
