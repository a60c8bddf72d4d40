"""Estimates the load of each shard and of each hot key.

Gateways count requests and send the counts along with their answers to grants;
the controller adds them up. A lost report is not sent again, because loads are
estimates and the next report follows soon.
"""

import collections
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import TypeVar

from sardinehill.core import balancing

Name = TypeVar("Name", bound=Hashable)

# The maximum number of keys in one report of a gateway.
MAX_REPORTED_KEYS = 32
# How long the controller collects reports before it updates the loads.
REPORT_WINDOW_S = 2.0
# The weight of the newest window relative to all earlier ones together.
NEWEST_WINDOW_WEIGHT = 0.5
# With fewer requests in a window, no loads are estimated.
MIN_WINDOW_REQUESTS = 200.0
# A key is split out when it alone makes up this ratio of an upstream's load.
HOT_KEY_UPSTREAM_RATIO = 0.2
# The load that is added for each shard, relative to the mean, because even an
# idle shard may be used at any moment.
IDLE_SHARD_LOAD_RATIO = 0.1


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """What one gateway counted since its last report.

    Attributes:
      shard_requests: requests for each shard, without those for split keys.
      key_requests: requests for the most used keys, split or not.
    """

    shard_requests: Mapping[int, int] = dataclasses.field(default_factory=dict)
    key_requests: Mapping[str, int] = dataclasses.field(default_factory=dict)


class UsageCounter:
    """One gateway's request counts for one upstream."""

    def __init__(self) -> None:
        self._shards: collections.Counter[int] = collections.Counter()
        self._split: collections.Counter[str] = collections.Counter()
        self._top = balancing.TopKeys()

    def add(self, shard: int, key: str, is_split: bool) -> None:
        """Counts a request; a split key does not count for its shard."""
        if is_split:
            self._split[key] += 1
            return
        self._shards[shard] += 1
        self._top.add(key)

    def flush(self) -> UsageReport:
        """Returns the counts and resets them."""
        keys = {key: int(count) for key, count in self._top.most_frequent()}
        keys.update(self._split.most_common(MAX_REPORTED_KEYS))
        report = UsageReport(dict(self._shards), keys)
        self._shards = collections.Counter()
        self._split = collections.Counter()
        self._top = balancing.TopKeys()
        return report


class LoadEstimator:
    """The controller's load estimates over all gateways of a service.

    Attributes:
      shard_loads: the load of each shard, the mean being about 1.
      hot_keys: the load of each key that should be split out, in the same unit.
    """

    def __init__(
        self, shard_count: int, window_s: float = REPORT_WINDOW_S
    ) -> None:
        self._shard_count = shard_count
        self._window_s = window_s
        self._window_began_s: float | None = None
        self._window_shards: collections.Counter[int] = collections.Counter()
        self._window_keys: collections.Counter[str] = collections.Counter()
        self._shards: dict[int, float] = {}
        self._keys: dict[str, float] = {}
        self.shard_loads: dict[int, float] = {}
        self.hot_keys: dict[str, float] = {}

    def add_report(self, report: UsageReport) -> None:
        """Adds a gateway's report to the current window."""
        self._window_shards.update(report.shard_requests)
        self._window_keys.update(report.key_requests)

    def update(
        self, now_s: float, upstreams: int, split: Iterable[str]
    ) -> bool:
        """Updates the loads from the reports once a window has passed.

        Args:
          now_s: the time by this daemon's clock.
          upstreams: how many upstreams share the load.
          split: keys that are currently split out of their shard.

        Returns:
          Whether the loads were updated.
        """
        if self._window_began_s is None:
            self._window_began_s = now_s
        if now_s - self._window_began_s < self._window_s:
            return False
        self._window_began_s = now_s
        self._shards = _blend(self._shards, self._window_shards)
        self._keys = _blend(self._keys, self._window_keys)
        self._window_shards = collections.Counter()
        self._window_keys = collections.Counter()
        self._update_loads(max(1, upstreams), frozenset(split))
        return True

    def _update_loads(self, upstreams: int, split: frozenset[str]) -> None:
        total = sum(self._shards.values())
        total += sum(self._keys.get(key, 0.0) for key in split)
        if total < MIN_WINDOW_REQUESTS:
            self.shard_loads = {}
            self.hot_keys = {}
            return
        scale = self._shard_count / total
        self.shard_loads = {
            shard: IDLE_SHARD_LOAD_RATIO + self._shards.get(shard, 0.0) * scale
            for shard in range(self._shard_count)
        }
        shares = {key: count / total for key, count in self._keys.items()}
        hot = balancing.select_hot_keys(
            shares, split, HOT_KEY_UPSTREAM_RATIO / upstreams
        )
        self.hot_keys = {key: self._keys[key] * scale for key in hot}


def _blend(
    old: Mapping[Name, float], new: Mapping[Name, int]
) -> dict[Name, float]:
    blended = {
        name: (1.0 - NEWEST_WINDOW_WEIGHT) * old.get(name, 0.0)
        + NEWEST_WINDOW_WEIGHT * new.get(name, 0)
        for name in {*old, *new}
    }
    return {name: count for name, count in blended.items() if count >= 0.5}
