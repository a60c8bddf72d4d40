"""Estimates the load of each key of a divided service, on its leader.

Two decaying counts are kept: a long-term one, which is steady enough for
planning, and a short-term one, which shows within a second that a key has
become hot.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

# The share of a count that is left after one second.
LONG_TERM_RETENTION_PER_S = 0.8
SHORT_TERM_RETENTION_PER_S = 0.3
# The weight of the earlier mean when a request's latency is averaged in.
LATENCY_RETENTION_RATIO = 0.99
# When the common decay factor falls below this value, counts up to it are
# dropped.
NEGLIGIBLE_COUNT = 1e-4
# A key with more short-term load than this, in requests in flight, is hot.
HOT_KEY_LOAD_REQUESTS = 0.5


class DecayingCounts:
    """Exponentially decaying counts that share one decay factor."""

    def __init__(self, retention_per_s: float, now_s: float):
        self._retention_per_s = retention_per_s
        self._scale = 1.0
        self._updated_s = now_s
        self._counts: dict[int, float] = {}

    def add(self, keys: Iterable[int], amount: float, now_s: float) -> None:
        """Adds an amount to the count of each of some keys."""
        self._decay(now_s)
        for key in keys:
            self._counts[key] = (
                self._counts.get(key, 0.0) + amount / self._scale
            )

    def loads(self, now_s: float) -> dict[int, float]:
        """Returns the requests in flight for each key, by Little's law."""
        self._decay(now_s)
        scale = self._scale * -math.log(self._retention_per_s)
        return {key: count * scale for key, count in self._counts.items()}

    def set_loads(self, loads: Mapping[int, float], now_s: float) -> None:
        """Sets the loads of some keys, as `loads` returns them."""
        self._decay(now_s)
        scale = self._scale * -math.log(self._retention_per_s)
        for key, load in loads.items():
            self._counts[key] = load / scale

    def _decay(self, now_s: float) -> None:
        self._scale *= self._retention_per_s ** max(
            0.0, now_s - self._updated_s
        )
        self._updated_s = now_s
        if self._scale < NEGLIGIBLE_COUNT:
            self._counts = {
                key: count * self._scale
                for key, count in self._counts.items()
                if count * self._scale > NEGLIGIBLE_COUNT
            }
            self._scale = 1.0


class KeyLoadTracker:
    """Tracks the load of one service's keys."""

    def __init__(self, now_s: float):
        self._long_term = DecayingCounts(LONG_TERM_RETENTION_PER_S, now_s)
        self._short_term = DecayingCounts(SHORT_TERM_RETENTION_PER_S, now_s)
        self._mean_latency_s: float | None = None

    def add(self, keys: list[int], latency_s: float, now_s: float) -> None:
        """Counts requests.

        Args:
          keys: the key of each request.
          latency_s: how long such a request takes at an upstream of mean speed.
          now_s: the time.
        """
        if self._mean_latency_s is None:
            self._mean_latency_s = latency_s
        retained_ratio = LATENCY_RETENTION_RATIO ** len(keys)
        self._mean_latency_s += (1 - retained_ratio) * (
            latency_s - self._mean_latency_s
        )
        self._long_term.add(keys, latency_s, now_s)
        self._short_term.add(keys, latency_s, now_s)

    def load_at_rate(self, rate_per_s: float) -> float:
        """Returns the load of a rate of requests, in requests in flight.

        It is infinite while no request has been counted.
        """
        if self._mean_latency_s is None:
            return math.inf
        return rate_per_s * self._mean_latency_s

    def loads(self, now_s: float) -> dict[int, float]:
        """Returns the load of each used key, in requests in flight."""
        loads = self._long_term.loads(now_s)
        for key, load in self._short_term.loads(now_s).items():
            if load > HOT_KEY_LOAD_REQUESTS:
                loads[key] = max(loads.get(key, 0.0), load)
        return loads
