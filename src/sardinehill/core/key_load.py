"""How much each key of a divided service is used, as the leader sees it.

Two memories are kept: a long one, which is steady enough to plan by, and a
short one, which shows within a second that a key has become popular.
"""

from collections.abc import Iterable
import math

# How much of the use is still counted after a second.
LONG_TERM_RETENTION_PER_S = 0.8
SHORT_TERM_RETENTION_PER_S = 0.3
NEGLIGIBLE_COUNT = 1e-4
# A key is taken as popular from this load on, in requests under way.
POPULAR_KEY_LOAD_REQUESTS = 0.5


class _Memory:
    """Counts that fade; the fading is kept as one factor for all."""

    def __init__(self, memory_per_s: float, now_s: float):
        self._memory_per_s = memory_per_s
        self._scale = 1.0
        self._at_s = now_s
        self._use: dict[int, float] = {}

    def add(self, keys: Iterable[int], amount: float, now_s: float) -> None:
        self._age(now_s)
        for key in keys:
            self._use[key] = self._use.get(key, 0.0) + amount / self._scale

    def loads(self, now_s: float) -> dict[int, float]:
        """Returns the requests under way for each key, by Little's law."""
        self._age(now_s)
        scale = self._scale * -math.log(self._memory_per_s)
        return {key: use * scale for key, use in self._use.items()}

    def _age(self, now_s: float) -> None:
        self._scale *= self._memory_per_s ** max(0.0, now_s - self._at_s)
        self._at_s = now_s
        if self._scale < NEGLIGIBLE_COUNT:
            self._use = {
                key: use * self._scale
                for key, use in self._use.items()
                if use * self._scale > NEGLIGIBLE_COUNT
            }
            self._scale = 1.0


class KeyLoadTracker:
    """The use of one service's keys."""

    def __init__(self, now_s: float):
        self._long = _Memory(LONG_TERM_RETENTION_PER_S, now_s)
        self._short = _Memory(SHORT_TERM_RETENTION_PER_S, now_s)

    def add(self, keys: list[int], latency_s: float, now_s: float) -> None:
        """Counts requests.

        Args:
          keys: the key of each.
          latency_s: how long such a request takes at a mean upstream.
          now_s: the time.
        """
        self._long.add(keys, latency_s, now_s)
        self._short.add(keys, latency_s, now_s)

    def loads(self, now_s: float) -> dict[int, float]:
        """Returns the load of each used key, in requests under way."""
        loads = self._long.loads(now_s)
        for key, load in self._short.loads(now_s).items():
            if load > POPULAR_KEY_LOAD_REQUESTS:
                loads[key] = max(loads.get(key, 0.0), load)
        return loads
