"""Remembers the longest time limits of requests.

Callers keep their deadline when they come back after a refusal. A request with
clearly less time than others of its route has therefore probably returned.
"""

import dataclasses

# A request has returned if its time limit is less than this part of the longest
# one.
RETURNED_RATIO = 0.85
# The longest limit is that of the present period and the one before it, each of
# this length.
PERIOD_S = 30.0


@dataclasses.dataclass(slots=True)
class _LongestLimits:
    """The longest time limit of a route.

    Attributes:
      began_s: when the period began.
      current_s: the longest limit of the period.
      previous_s: that of the period before it.
    """

    began_s: float
    current_s: float = 0.0
    previous_s: float = 0.0


class TimeLimits:
    """The longest time limit of each route in about the last minute."""

    def __init__(self) -> None:
        self._routes: dict[str, _LongestLimits] = {}

    def record_arrival(self, route: str, limit_s: float, now_s: float) -> bool:
        """Records a request; returns whether it has probably returned.

        Args:
          route: the name of its route.
          limit_s: its time from arrival to deadline.
          now_s: the current time.
        """
        longest = self._routes.get(route)
        if longest is None:
            longest = self._routes[route] = _LongestLimits(now_s)
        age_s = now_s - longest.began_s
        if age_s >= PERIOD_S:
            is_next = age_s < 2 * PERIOD_S
            longest.previous_s = longest.current_s if is_next else 0.0
            longest.current_s = 0.0
            longest.began_s = now_s
        longest.current_s = max(longest.current_s, limit_s)
        longest_s = max(longest.current_s, longest.previous_s)
        return limit_s < longest_s * RETURNED_RATIO
