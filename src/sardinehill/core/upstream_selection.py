"""Which upstream of an undivided service gets a request.

Each way of choosing is a function from the usable upstreams to one of them.
The daemons use `by_reports`; the others are the ways it was compared with
and what it falls back to.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
import random

Selector = Callable[[Sequence[str]], str]


def random_choice(rng: random.Random) -> Selector:
    """Returns a chooser that takes any upstream with equal chance."""
    return rng.choice


def round_robin() -> Selector:
    """Returns a chooser that takes the upstreams in turn."""
    turns = itertools.count()

    def choose(usable: Sequence[str]) -> str:
        return usable[next(turns) % len(usable)]

    return choose


def power_of_two_choices(
    rng: random.Random, load_of: Callable[[str], float]
) -> Selector:
    """Returns a chooser that takes the less loaded of two drawn upstreams.

    Args:
      rng: draws the two.
      load_of: requests that this daemon has in flight at an upstream.
    """

    def choose(usable: Sequence[str]) -> str:
        if len(usable) < 2:
            return usable[0]
        return min(rng.sample(usable, 2), key=load_of)

    return choose


@dataclasses.dataclass
class LoadReport:
    """What an upstream's gateway said about it, with an answer or a probe.

    Attributes:
      upstream: the upstream's name.
      pending_requests: requests in flight and queued at its gateway.
      latency_s: its latency of late.
      limit_requests: requests that it may have in flight.
      received_s: when the report arrived.
      remaining_uses: choices for which it still serves.
    """

    upstream: str
    pending_requests: float
    latency_s: float
    limit_requests: int
    received_s: float
    remaining_uses: int

    def expected_latency_s(self) -> float:
        """Returns the expected time until an answer of one more request."""
        rounds = (self.pending_requests + 1) / max(1, self.limit_requests)
        return max(1.0, rounds) * self.latency_s


class LoadReportPool:
    """The newest report of each upstream, each used a few times.

    A gateway sees all requests of its upstream, so its own count is true
    when it is sent; it ages on the way. Reusing a report without end would
    send every daemon to the upstream that was idle last; using each only
    once would ask for a probe with each request.
    """

    def __init__(self, uses_per_report: int = 1, max_age_s: float = 1.0):
        """Makes an empty pool.

        Args:
          uses_per_report: choices for which a report serves.
          max_age_s: the age at which a report no longer serves.
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
        """Replaces what is known of an upstream."""
        self._reports[upstream] = LoadReport(
            upstream,
            pending_requests,
            latency_s,
            limit_requests,
            now_s,
            self._uses_per_report,
        )

    def discard(self, upstream: str) -> None:
        """Drops the report of an upstream that failed."""
        self._reports.pop(upstream, None)

    def usable_reports(
        self, names: Sequence[str], now_s: float
    ) -> list[LoadReport]:
        """Returns fresh reports of these upstreams, in their order."""
        reports = (self._reports.get(name) for name in names)
        return [
            report
            for report in reports
            if report is not None
            and report.remaining_uses > 0
            and now_s - report.received_s <= self._max_age_s
        ]

    def without_report(self, names: Sequence[str], now_s: float) -> list[str]:
        """Returns those of the upstreams that a probe would tell about."""
        known = {
            report.upstream for report in self.usable_reports(names, now_s)
        }
        return [name for name in names if name not in known]

    def consume(self, report: LoadReport) -> None:
        """Counts one choice by a report.

        The request adds to what waits there, so that the choices by one
        report spread.
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
    """Returns a chooser that takes the least expected time of a few reports.

    Args:
      rng: draws which reports are looked at.
      pool: the reports.
      clock_s: returns the time in seconds.
      extra_cost_s: the cost of the way to an upstream, such as the hop into
        another availability zone. The hop is paid when the wait it saves is
        longer, and only then.
      fallback: chooses while fewer than two reports are usable.
      sample_size: reports looked at. All daemons see nearly the same reports, and
        the best of all of them would be everyone's choice at once.
    """

    def choose(usable: Sequence[str]) -> str:
        reports = pool.usable_reports(usable, clock_s())
        if len(reports) < min(2, len(usable)):
            return fallback(usable)
        drawn = rng.sample(reports, min(sample_size, len(reports)))
        best = min(
            drawn,
            key=lambda report: (
                report.expected_latency_s() + extra_cost_s(report.upstream)
            ),
        )
        pool.consume(best)
        return best.upstream

    return choose


def zone_hop_cost(
    zone_of: Mapping[str, str], own_zone: str, hop_s: float
) -> Callable[[str], float]:
    """Returns the cost of the way to an upstream, by availability zone."""

    def extra_s(upstream: str) -> float:
        return 0.0 if zone_of.get(upstream) == own_zone else hop_s

    return extra_s
