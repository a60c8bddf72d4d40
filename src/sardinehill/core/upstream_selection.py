"""Selects the upstream of an undivided service that gets a request.

Each selector is a function from the usable upstreams to one of them. The
daemons use `least_expected_latency`, which falls back to another selector; the
remaining selectors are baselines for comparison.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
import random

Selector = Callable[[Sequence[str]], str]


def random_choice(rng: random.Random) -> Selector:
    """Returns a selector that takes any upstream with equal probability."""
    return rng.choice


def round_robin() -> Selector:
    """Returns a selector that takes the upstreams in turn."""
    turns = itertools.count()

    def select(usable: Sequence[str]) -> str:
        return usable[next(turns) % len(usable)]

    return select


def power_of_two_choices(
    rng: random.Random, load_of: Callable[[str], float]
) -> Selector:
    """Returns a selector that takes the less loaded of two random upstreams.

    Args:
      rng: draws the two upstreams.
      load_of: returns the requests that this daemon has in flight at an
        upstream.
    """

    def select(usable: Sequence[str]) -> str:
        if len(usable) < 2:
            return usable[0]
        return min(rng.sample(usable, 2), key=load_of)

    return select


@dataclasses.dataclass
class LoadReport:
    """A gateway's report on its upstream, sent with an answer or a probe.

    Attributes:
      upstream: the upstream's name.
      pending_requests: requests in flight and queued at its gateway.
      latency_s: its recent latency.
      limit_requests: the maximum number of requests in flight at it.
      received_s: when the report arrived.
      remaining_uses: how many more selections may use the report.
    """

    upstream: str
    pending_requests: float
    latency_s: float
    limit_requests: int
    received_s: float
    remaining_uses: int

    def expected_latency_s(self) -> float:
        """Returns the expected time until one more request is answered."""
        rounds = (self.pending_requests + 1) / max(1, self.limit_requests)
        return max(1.0, rounds) * self.latency_s


class LoadReportPool:
    """The newest load report of each upstream, with a limit on its uses.

    A gateway sees all requests of its upstream, so its count is exact when it
    is sent, and ages from then on. Without a limit on its uses, a report would
    send every daemon to the upstream that was idle last. With a single use,
    each request would need a probe.
    """

    def __init__(self, uses_per_report: int = 1, max_age_s: float = 1.0):
        """Creates an empty pool.

        Args:
          uses_per_report: how many selections may use one report.
          max_age_s: the age from which a report is no longer used.
        """
        self._uses_per_report = uses_per_report
        self._max_age_s = max_age_s
        self._reports: dict[str, LoadReport] = {}

    def add(
        self,
        upstream: str,
        pending_requests: float,
        latency_s: float,
        limit_requests: int,
        now_s: float,
    ) -> None:
        """Replaces the report of an upstream."""
        self._reports[upstream] = LoadReport(
            upstream,
            pending_requests,
            latency_s,
            limit_requests,
            now_s,
            self._uses_per_report,
        )

    def discard(self, upstream: str) -> None:
        """Discards the report of an upstream that failed."""
        self._reports.pop(upstream, None)

    def usable_reports(
        self, names: Sequence[str], now_s: float
    ) -> list[LoadReport]:
        """Returns usable reports of the given upstreams, in the given order."""
        reports = (self._reports.get(name) for name in names)
        return [
            report
            for report in reports
            if report is not None
            and report.remaining_uses > 0
            and now_s - report.received_s <= self._max_age_s
        ]

    def without_report(self, names: Sequence[str], now_s: float) -> list[str]:
        """Returns the given upstreams that have no usable report."""
        known = {
            report.upstream for report in self.usable_reports(names, now_s)
        }
        return [name for name in names if name not in known]

    def consume(self, report: LoadReport) -> None:
        """Counts one selection made by a report.

        The selected request is added to the pending requests, so that
        selections that use the same report spread over the upstreams.
        """
        report.remaining_uses -= 1
        report.pending_requests += 1


def least_expected_latency(
    rng: random.Random,
    pool: LoadReportPool,
    clock_s: Callable[[], float],
    extra_cost_s: Callable[[str], float],
    fallback: Selector,
    sample_size: int = 6,
) -> Selector:
    """Returns a selector that takes the lowest expected latency in a sample.

    Args:
      rng: draws the sample of reports.
      pool: the reports.
      clock_s: returns the time in seconds.
      extra_cost_s: returns the cost of reaching an upstream, such as the hop
        into another availability zone. The hop is taken only when it saves a
        longer wait.
      fallback: selects while fewer than two reports are usable.
      sample_size: how many reports are compared. All daemons see nearly the
        same reports, so with all of them every daemon would select the same
        upstream.
    """

    def select(usable: Sequence[str]) -> str:
        reports = pool.usable_reports(usable, clock_s())
        if len(reports) < min(2, len(usable)):
            return fallback(usable)
        sampled = rng.sample(reports, min(sample_size, len(reports)))
        best = min(
            sampled,
            key=lambda report: (
                report.expected_latency_s() + extra_cost_s(report.upstream)
            ),
        )
        pool.consume(best)
        return best.upstream

    return select


def zone_hop_cost(
    zone_of: Mapping[str, str], own_zone: str, hop_s: float
) -> Callable[[str], float]:
    """Returns a function for the cost of reaching an upstream, by its zone.

    Args:
      zone_of: the availability zone of each upstream.
      own_zone: the availability zone of this daemon.
      hop_s: the cost of the hop into another availability zone.
    """

    def extra_cost_s(upstream: str) -> float:
        return 0.0 if zone_of.get(upstream) == own_zone else hop_s

    return extra_cost_s
