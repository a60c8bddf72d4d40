"""How much each shard and each popular key is used.

Gateways count, and send what they counted along with their answers to grants;
the controller adds it up. A report that is lost is not sent again: loads are
estimates, and the next one is due in a moment.
"""

import collections
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import TypeVar

from sardinehill.core import balancing

Name = TypeVar("Name", bound=Hashable)

# Keys that one gateway reports at once.
REPORTED_KEYS = 32
# Time that the controller collects reports before loads change.
WINDOW_S = 2.0
# Weight of the newest window against all before it.
NEWEST_WEIGHT = 0.5
# Below this many requests in a window the loads say nothing.
LEAST_REQUESTS = 200.0
# A key is split out when it alone is this share of an upstream's load.
SPLIT_SHARE_OF_UPSTREAM = 0.2
# Every shard weighs at least this much of the mean, however little it is used:
# it may be used the next moment.
IDLE_LOAD = 0.1


@dataclasses.dataclass(frozen=True)
class Report:
    """What one gateway counted since its last report.

    Attributes:
      shards: requests for each shard, without those for split keys.
      keys: requests for the most used keys, split or not.
    """

    shards: Mapping[int, int] = dataclasses.field(default_factory=dict)
    keys: Mapping[str, int] = dataclasses.field(default_factory=dict)


class Counts:
    """One gateway's counts for one upstream."""

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

    def take(self) -> Report:
        """Returns the counts and begins anew."""
        keys = {key: int(count) for key, count in self._top.most()}
        keys.update(self._split.most_common(REPORTED_KEYS))
        report = Report(dict(self._shards), keys)
        self._shards = collections.Counter()
        self._split = collections.Counter()
        self._top = balancing.TopKeys()
        return report


class Popularity:
    """The controller's estimate over all gateways of a service."""

    def __init__(self, shard_count: int, window_s: float = WINDOW_S) -> None:
        self._shard_count = shard_count
        self._window_s = window_s
        self._since_s: float | None = None
        self._fresh_shards: collections.Counter[int] = collections.Counter()
        self._fresh_keys: collections.Counter[str] = collections.Counter()
        self._shards: dict[int, float] = {}
        self._keys: dict[str, float] = {}
        self.shard_loads: dict[int, float] = {}
        self.hot_keys: dict[str, float] = {}

    def add(self, report: Report) -> None:
        """Takes in a report."""
        self._fresh_shards.update(report.shards)
        self._fresh_keys.update(report.keys)

    def update(
        self, now_s: float, upstreams: int, split: Iterable[str]
    ) -> bool:
        """Works the collected reports in, once a window has passed.

        Args:
          now_s: own clock.
          upstreams: how many upstreams share the load.
          split: keys that are split out of their shard now.

        Returns:
          Whether the loads are new.
        """
        if self._since_s is None:
            self._since_s = now_s
        if now_s - self._since_s < self._window_s:
            return False
        self._since_s = now_s
        self._shards = _blend(self._shards, self._fresh_shards)
        self._keys = _blend(self._keys, self._fresh_keys)
        self._fresh_shards = collections.Counter()
        self._fresh_keys = collections.Counter()
        self._judge(max(1, upstreams), frozenset(split))
        return True

    def _judge(self, upstreams: int, split: frozenset[str]) -> None:
        total = sum(self._shards.values())
        total += sum(self._keys.get(key, 0.0) for key in split)
        if total < LEAST_REQUESTS:
            self.shard_loads = {}
            self.hot_keys = {}
            return
        unit = self._shard_count / total
        self.shard_loads = {
            shard: IDLE_LOAD + self._shards.get(shard, 0.0) * unit
            for shard in range(self._shard_count)
        }
        shares = {key: count / total for key, count in self._keys.items()}
        wanted = balancing.wanted_hot_keys(
            shares, split, SPLIT_SHARE_OF_UPSTREAM / upstreams
        )
        self.hot_keys = {key: self._keys[key] * unit for key in wanted}


def _blend(
    old: Mapping[Name, float], new: Mapping[Name, int]
) -> dict[Name, float]:
    blended = {
        name: (1.0 - NEWEST_WEIGHT) * old.get(name, 0.0)
        + NEWEST_WEIGHT * new.get(name, 0)
        for name in {*old, *new}
    }
    return {name: count for name, count in blended.items() if count >= 0.5}
