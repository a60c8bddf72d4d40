"""Searches for ranges of adjacent keys that are requested more than expected.

The log-likelihood ratio of "the rate has risen `RISE_RATIO` times" against "the
rate is as expected" is a sum over keys. The ranges that show a rise best are
those with the highest sums, which are found in one pass over the requested
keys.
"""

import bisect
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import math

# A rise by this factor is tested for. Ranges that have risen less than
# (RISE_RATIO - 1) / ln(RISE_RATIO) times, 1.8, show none.
RISE_RATIO = 3.0
# The log-likelihood ratio from which a range counts as risen. Some thousands of
# ranges are compared several times a second, so chance must be excluded well.
MIN_EVIDENCE = 18.0
# Wider ranges are left out: the load has changed as a whole.
MAX_RANGE_KEYS = 4096
# Stands for an expectation of no requests at all.
_MIN_COUNT = 1e-6

# Returns how many requests the keys from a first to a last one should have.
ExpectedCount = Callable[[int, int], float]


@dataclasses.dataclass(slots=True)
class _Run:
    """Adjacent keys while they are searched for a range that has risen.

    Attributes:
      first: the first key.
      last: the last key so far.
      evidence: the log-likelihood ratio of the keys so far.
      best_last: the last key of the part with the highest ratio.
      best_evidence: that ratio.
    """

    first: int
    last: int
    evidence: float
    best_last: int
    best_evidence: float

    def extend(self, key: int, evidence: float) -> None:
        """Adds a key, given the ratio of all keys up to it."""
        self.last, self.evidence = key, evidence
        if evidence > self.best_evidence:
            self.best_last, self.best_evidence = key, evidence


def risen_ranges(
    expected_count: ExpectedCount, counts: Mapping[int, int]
) -> list[tuple[int, int]]:
    """Finds the ranges of keys that are requested clearly more than expected.

    Args:
      expected_count: how many of the requests are expected.
      counts: the requests by key.

    Returns:
      The first and the last key of each range, in key order.
    """
    keys = sorted(counts)
    return [
        _dense_part(run, expected_count, counts, keys)
        for run in _find_runs(expected_count, counts, keys)
        if run.best_evidence > MIN_EVIDENCE
        and run.best_last - run.first < MAX_RANGE_KEYS
    ]


def _find_runs(
    expected_count: ExpectedCount, counts: Mapping[int, int], keys: list[int]
) -> list[_Run]:
    """Returns the runs of keys whose sum of evidence stays positive.

    A run also ends where the sum has fallen by `MIN_EVIDENCE`: what follows is
    a range of its own.
    """
    runs: list[_Run] = []
    run: _Run | None = None
    for key in keys:
        gain = counts[key] * math.log(RISE_RATIO)
        if run is not None:
            loss = (RISE_RATIO - 1) * expected_count(run.last + 1, key)
            evidence = run.evidence + gain - loss
            if evidence > max(0.0, run.best_evidence - MIN_EVIDENCE):
                run.extend(key, evidence)
                continue
            run = None
        evidence = gain - (RISE_RATIO - 1) * expected_count(key, key)
        if evidence > 0:
            run = _Run(key, key, evidence, key, evidence)
            runs.append(run)
    return runs


def _dense_part(
    run: _Run,
    expected_count: ExpectedCount,
    counts: Mapping[int, int],
    all_keys: list[int],
) -> tuple[int, int]:
    """Returns a risen range without stray requests at its ends.

    Where little is expected, single requests near the range show a rise, too.
    They are left out if this explains the requests better: that in a part of
    the range the same number of requests has been added for each key.
    """
    begin = bisect.bisect_left(all_keys, run.first)
    end = bisect.bisect_right(all_keys, run.best_last)
    keys = all_keys[begin:end]
    while True:
        first, last = keys[0], keys[-1]
        count = sum(counts[key] for key in keys)
        added = max(count - expected_count(first, last), 0.0)
        density = added / (last - first + 1)
        gains = [
            counts[key]
            * math.log1p(density / max(expected_count(key, key), _MIN_COUNT))
            for key in keys
        ]
        part, evidence = _best_part(keys, gains, density)
        if len(part) == len(keys):
            break
        keys = part
    if evidence < run.best_evidence:
        return run.first, run.best_last
    return keys[0], keys[-1]


def _best_part(
    keys: list[int], gains: list[float], loss_per_key: float
) -> tuple[list[int], float]:
    """Returns the adjacent keys with the highest evidence, and that.

    Args:
      keys: the requested keys in order.
      gains: the evidence that each of them adds.
      loss_per_key: the evidence that each key in the part takes, also one that
        was not requested.
    """
    best_begin = best_end = begin = 0
    best_evidence = evidence = -math.inf
    for index, key in enumerate(keys):
        extended = (
            evidence + gains[index] - loss_per_key * (key - keys[index - 1])
        )
        evidence = gains[index] - loss_per_key
        if extended > evidence:
            evidence = extended
        else:
            begin = index
        if evidence > best_evidence:
            best_begin, best_end, best_evidence = begin, index, evidence
    return keys[best_begin : best_end + 1], best_evidence
