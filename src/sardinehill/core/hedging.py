"""Decides when a request is also sent to a second upstream.

Only safe methods on undivided services are hedged. A key has only one owner, so
there is no second upstream for it, and a request with side effects must run at
most once.
"""

import dataclasses

from hdrh import histogram

from sardinehill.core import fleet

_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_MIN_LATENCY_US = 1
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 2


@dataclasses.dataclass(frozen=True)
class HedgePolicy:
    """The delay and the budget of hedged requests.

    Attributes:
      budget_ratio: hedges per request in the long run.
      burst_hedges: hedges that can be saved up for a burst.
      median_factor: the delay is at most this multiple of the median latency.
      percentile: the delay is at most this percentile of the latency.
      min_delay_s: the minimum delay.
      window_s: the window over which latencies are measured.
      min_samples: answers needed before anything is hedged.
    """

    budget_ratio: float = 0.05
    burst_hedges: float = 10.0
    median_factor: float = 3.0
    percentile: float = 95.0
    min_delay_s: float = 0.005
    window_s: float = 10.0
    min_samples: int = 50


def may_hedge(service: fleet.ServiceConfig, method: str) -> bool:
    """Returns whether requests of a method may go to two upstreams."""
    return (
        service.hedge
        and not service.divided_by_key
        and method.upper() in _SAFE_METHODS
    )


class Hedger:
    """The latencies, hedging delay and hedging budget of one service."""

    def __init__(self, policy: HedgePolicy, now_s: float):
        self._policy = policy
        self._available_hedges = policy.burst_hedges
        self._window_began_s = now_s
        self._current = _new_histogram()
        self._previous = _new_histogram()

    def record_request(self) -> None:
        """Records a request that could be hedged and adds to the budget."""
        available = self._available_hedges + self._policy.budget_ratio
        self._available_hedges = min(self._policy.burst_hedges, available)

    def record_answer(self, now_s: float, latency_s: float) -> None:
        """Records the latency of a good answer to either of two requests."""
        self._rotate_window(now_s)
        latency_us = max(_MIN_LATENCY_US, int(latency_s * 1e6))
        self._current.record_value(min(_MAX_LATENCY_US, latency_us))

    def delay_s(self, now_s: float) -> float | None:
        """Returns how long to wait before hedging, or None to never hedge.

        A high percentile alone fails when hedging is needed most: with a
        quarter of the upstreams slow, the 95th percentile is the latency of a
        slow answer. The median is not affected by a quarter of the upstreams.
        """
        self._rotate_window(now_s)
        latencies = self._current
        if latencies.get_total_count() < self._policy.min_samples:
            latencies = self._previous
        if latencies.get_total_count() < self._policy.min_samples:
            return None
        median_s = _percentile_s(latencies, 50.0)
        high_s = _percentile_s(latencies, self._policy.percentile)
        delay_s = min(high_s, median_s * self._policy.median_factor)
        return max(self._policy.min_delay_s, delay_s)

    def try_spend(self) -> bool:
        """Spends one hedge of the budget; returns False when none is left."""
        if self._available_hedges < 1:
            return False
        self._available_hedges -= 1
        return True

    def _rotate_window(self, now_s: float) -> None:
        if now_s - self._window_began_s < self._policy.window_s:
            return
        self._previous = self._current
        self._current = _new_histogram()
        self._window_began_s = now_s


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
    )


def _percentile_s(
    latencies: histogram.HdrHistogram, percentile: float
) -> float:
    return float(latencies.get_value_at_percentile(percentile)) / 1e6
