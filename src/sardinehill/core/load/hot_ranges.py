"""Estimates the request rate of each key, with hot ranges in time.

The requests of the last half second are compared with a long-term estimate.
Ranges of adjacent keys that have clearly risen are hot: their rate is counted
from their beginning, and their requests are kept out of the long-term estimate,
which is as before when a range has cooled down.
"""

import collections
from collections.abc import Mapping
import dataclasses
import itertools
import math

from sardinehill.core import key_load
from sardinehill.core import key_plan
from sardinehill.core import keyspace
from sardinehill.core.load import range_search

# Requests are counted in intervals of this length.
BUCKET_S = 0.1
# The requests of this time are compared with the long-term estimate.
RECENT_S = 0.5
# The share of a long-term count that is left after one second.
RETENTION_PER_S = 0.9
# The tracker has no estimate before it has counted for this long.
WARM_UP_S = 3.0
# The log-likelihood ratio from which a hot range has cooled down. It is lower
# than that for a rise, as there are few hot ranges to compare.
MIN_END_EVIDENCE = 7.0
# This part of all requests is expected to be spread evenly over all keys, as
# some are for keys that were never requested before.
UNSEEN_SHARE = 0.1
# The keys of a hot range are assumed to be equally popular, with the weight of
# this many requests for each key.
EVEN_REQUESTS = 12.0
# The total rate of other keys is assumed to be unchanged, with the weight of
# this many requests.
UNCHANGED_REQUESTS = 20.0
# For this long after a range was found, keys next to it may join it.
NEW_RANGE_S = 0.8
# A hot range that has lasted this long becomes part of the long-term estimate.
MAX_HISTORY_S = 10.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """The requests that were reported within one interval, by key."""

    begin_s: float
    counts: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(slots=True)
class HotRange:
    """A range of adjacent keys that is requested more than usual.

    Attributes:
      first: the lowest key.
      last: the highest key.
      found_s: when it was found.
      begin_s: when it began to be requested more.
      counts: its requests since then by key, without recent ones.
    """

    first: int
    last: int
    found_s: float
    begin_s: float
    counts: dict[int, float] = dataclasses.field(default_factory=dict)

    def all_keys(self) -> range:
        """Returns all keys of the range."""
        return range(self.first, self.last + 1)

    def is_new(self, now_s: float) -> bool:
        """Returns whether its ends may not be known yet."""
        return now_s - self.found_s <= NEW_RANGE_S

    def count_in(self, counts: Mapping[int, float]) -> float:
        """Returns how many of some requests are for the range."""
        return sum(counts.get(key, 0) for key in self.all_keys())


class HotRangeTracker:
    """Estimates the request rate of each key of a service.

    Public attributes:
      ranges: the present hot ranges.
    """

    def __init__(self, now_s: float):
        self._began_s = now_s
        self._long_term = key_load.DecayingCounts(RETENTION_PER_S, now_s)
        self._recent: collections.deque[_Bucket] = collections.deque()
        self.ranges: list[HotRange] = []

    def add(self, keys: list[int], now_s: float) -> None:
        """Counts requests, given the key of each."""
        self._settle(now_s)
        begin_s = math.floor(now_s / BUCKET_S) * BUCKET_S
        if not self._recent or self._recent[-1].begin_s < begin_s:
            self._recent.append(_Bucket(begin_s))
        self._recent[-1].counts.update(keys)

    def is_ready(self, now_s: float) -> bool:
        """Returns whether there is a long-term estimate."""
        return now_s - self._began_s >= WARM_UP_S

    def rates(self, now_s: float) -> dict[int, float]:
        """Returns the requests per second of each used key.

        Each call searches for hot ranges.
        """
        self._settle(now_s)
        rates = self._long_term_rates(now_s)
        if not self._recent or not self.is_ready(now_s):
            return rates
        recent: collections.Counter[int] = collections.Counter()
        for bucket in self._recent:
            recent.update(bucket.counts)
        known = [hot for hot in self.ranges if not hot.is_new(now_s)]
        self._find_ranges(
            self._rates_with(known, rates, recent, now_s), recent, now_s
        )
        self._end_ranges(recent, now_s)
        return self._rates_with(self.ranges, rates, recent, now_s)

    def _rates_with(
        self,
        ranges: list[HotRange],
        rates: dict[int, float],
        recent: Mapping[int, int],
        now_s: float,
    ) -> dict[int, float]:
        """Returns the rates of all keys, given the hot ranges."""
        if not ranges:
            return rates
        factor = self._change_of_others(ranges, rates, recent, now_s)
        combined = {key: rate * factor for key, rate in rates.items()}
        for hot in ranges:
            combined.update(self._range_rates(hot, now_s))
        return combined

    # long-term estimate

    def _settle(self, now_s: float) -> None:
        """Moves requests that are no longer recent to the estimates."""
        while self._recent and now_s - self._recent[0].begin_s > RECENT_S:
            bucket = self._recent.popleft()
            for hot in self.ranges:
                if bucket.begin_s < hot.begin_s:
                    continue
                for key in hot.all_keys():
                    if count := bucket.counts.pop(key, 0):
                        hot.counts[key] = hot.counts.get(key, 0.0) + count
            self._long_term.add(bucket.counts.elements(), 1.0, now_s)

    def _long_term_rates(self, now_s: float) -> dict[int, float]:
        counted_s = now_s - self._began_s - RECENT_S
        if counted_s <= 0:
            return {}
        known_ratio = 1 - RETENTION_PER_S**counted_s
        return {
            key: rate / known_ratio
            for key, rate in self._long_term.loads(now_s).items()
        }

    def _change_of_others(
        self,
        ranges: list[HotRange],
        rates: Mapping[int, float],
        recent: Mapping[int, int],
        now_s: float,
    ) -> float:
        """Returns how the total rate of all other keys has changed lately.

        A hot range may add to the requests for other keys or replace them.
        """
        expected = sum(rates.values())
        seen = float(sum(recent.values()))
        for hot in ranges:
            expected -= hot.count_in(rates)
            seen -= hot.count_in(recent)
        expected *= now_s - self._recent[0].begin_s
        return (seen + UNCHANGED_REQUESTS) / (
            max(expected, 0.0) + UNCHANGED_REQUESTS
        )

    # hot ranges

    def _find_ranges(
        self,
        rates: Mapping[int, float],
        recent: Mapping[int, int],
        now_s: float,
    ) -> None:
        """Adds ranges that have risen and extends new ones."""
        expected_count = _expected_count(rates, sum(recent.values()))
        for first, last in range_search.risen_ranges(expected_count, recent):
            found = HotRange(first, last, now_s, now_s)
            for hot in list(self.ranges):
                if hot.first <= last and first <= hot.last:
                    self.ranges.remove(hot)
                    if hot.is_new(now_s):
                        found = _joined(hot, found)
            self.ranges.append(found)
            if self._recent[0].begin_s <= found.begin_s:
                found.begin_s = self._begin_s(found)

    def _begin_s(self, hot: HotRange) -> float:
        """Returns when a range began, which is not long ago.

        Daemons report at different times, so its rate appears to grow over one
        report interval. Half of it is reached in the middle of that.
        """
        counts = [hot.count_in(bucket.counts) for bucket in self._recent]
        return next(
            bucket.begin_s
            for bucket, count in zip(self._recent, counts, strict=True)
            if count >= max(counts) / 2
        )

    def _end_ranges(self, recent: Mapping[int, int], now_s: float) -> None:
        """Ends the ranges that have cooled down or have lasted long."""
        seen_s = now_s - self._recent[0].begin_s
        for hot in list(self.ranges):
            history_s = now_s - hot.begin_s
            if history_s <= seen_s:
                continue
            total = sum(self._counts(hot).values())
            expected = total / history_s * seen_s
            evidence = expected * (1 - 1 / range_search.RISE_RATIO)
            evidence -= hot.count_in(recent) * math.log(range_search.RISE_RATIO)
            if evidence > MIN_END_EVIDENCE:
                self.ranges.remove(hot)
                self._forget_recent(hot)
            elif history_s > MAX_HISTORY_S:
                self._long_term.set_loads(self._range_rates(hot, now_s), now_s)
                self.ranges.remove(hot)

    def _forget_recent(self, hot: HotRange) -> None:
        """Drops a range's recent requests, which would start it again."""
        for bucket, key in itertools.product(self._recent, hot.all_keys()):
            bucket.counts.pop(key, None)

    def _counts(self, hot: HotRange) -> dict[int, float]:
        """Returns a range's requests since it began, by key."""
        counts = dict(hot.counts)
        for bucket in self._recent:
            if bucket.begin_s < hot.begin_s:
                continue
            for key in hot.all_keys():
                if count := bucket.counts.get(key):
                    counts[key] = counts.get(key, 0.0) + count
        return counts

    def _range_rates(self, hot: HotRange, now_s: float) -> dict[int, float]:
        """Returns the request rate of each key of a hot range.

        This is the mean of a Gamma-Poisson model whose prior is that all keys
        of the range are equally popular.
        """
        counts = self._counts(hot)
        mean = sum(counts.values()) / len(hot.all_keys())
        factor = mean / (mean + EVEN_REQUESTS)
        factor /= max(now_s - hot.begin_s, BUCKET_S)
        return {
            key: (counts.get(key, 0.0) + EVEN_REQUESTS) * factor
            for key in hot.all_keys()
        }


def _joined(hot: HotRange, found: HotRange) -> HotRange:
    """Returns the keys of two ranges with the history of the first."""
    return HotRange(
        min(hot.first, found.first),
        max(hot.last, found.last),
        hot.found_s,
        min(hot.begin_s, found.begin_s),
        hot.counts | found.counts,
    )


def _expected_count(
    rates: Mapping[int, float], total_count: int
) -> range_search.ExpectedCount:
    """Returns how many of some requests a range of keys should have."""
    total_rate = sum(rates.values())
    if not total_rate:
        return lambda first, last: math.inf
    unseen_rate = UNSEEN_SHARE / (1 - UNSEEN_SHARE) * total_rate
    return (
        key_plan.KeyLoads(rates, unseen_rate / keyspace.KEY_COUNT)
        .scaled((1 - UNSEEN_SHARE) * total_count / total_rate)
        .span_load
    )
