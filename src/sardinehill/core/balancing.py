"""Decides which shards move between upstreams, and when.

Orphaned shards, which have no usable owner, move first. Other shards move only
to correct a clear imbalance, because a move interrupts the service of its keys
for a moment and costs the new owner a cold start. They stay where they are
until the most loaded upstream is clearly above its share or the least loaded
one clearly below, and each pass moves at most a budget of shards.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import heapq

# Shards move only while the most loaded upstream exceeds its share, or the
# least loaded one falls short of it, by more than this ratio. A hot key moves
# only if this leaves the new owner with less load than the present owner has
# now, by this ratio.
HYSTERESIS_RATIO = 0.1


@dataclasses.dataclass(frozen=True)
class RebalanceInput:
    """The input of one rebalancing pass.

    Attributes:
      owners: each shard's owner, or None. A shard without an owner, or whose
        owner has no weight, is an orphan.
      loads: each shard's load in any unit; all above 0.
      weights: the relative capacity of each usable upstream.
      pinned_shards: shards that must not move in this pass.
      extra_loads: load of an upstream that does not come from its shards.
      move_budget: how many shards other than orphans may move.
      orphan_budget: how many orphans may move whose owner still answers.
      lost_upstreams: upstreams that do not answer; their shards always move.
    """

    owners: Sequence[str | None]
    loads: Sequence[float]
    weights: Mapping[str, float]
    pinned_shards: frozenset[int] = frozenset()
    extra_loads: Mapping[str, float] = dataclasses.field(default_factory=dict)
    move_budget: int = 16
    orphan_budget: int = 64
    lost_upstreams: frozenset[str] = frozenset()


def plan_moves(inputs: RebalanceInput) -> dict[int, str]:
    """Returns the new owner of each shard that is to move."""
    if not inputs.weights:
        return {}
    loads = _current_loads(inputs)
    moves = _place_orphans(inputs, loads)
    if len(moves) < inputs.orphan_budget:
        _rebalance(inputs, loads, moves)
    return moves


def _current_loads(inputs: RebalanceInput) -> dict[str, float]:
    loads = {name: inputs.extra_loads.get(name, 0.0) for name in inputs.weights}
    for shard, owner in enumerate(inputs.owners):
        if owner in loads:
            loads[owner] += inputs.loads[shard]
    return loads


def _place_orphans(
    inputs: RebalanceInput, loads: dict[str, float]
) -> dict[int, str]:
    orphans = [
        shard
        for shard, owner in enumerate(inputs.owners)
        if owner not in loads and shard not in inputs.pinned_shards
    ]
    orphans.sort(key=lambda shard: (-inputs.loads[shard], shard))
    heap = [(load / inputs.weights[name], name) for name, load in loads.items()]
    heapq.heapify(heap)
    moves: dict[int, str] = {}
    budgeted = 0
    for shard in orphans:
        owner = inputs.owners[shard]
        if owner is not None and owner not in inputs.lost_upstreams:
            if budgeted >= inputs.orphan_budget:
                continue
            budgeted += 1
        _, name = heapq.heappop(heap)
        moves[shard] = name
        loads[name] += inputs.loads[shard]
        heapq.heappush(heap, (loads[name] / inputs.weights[name], name))
    return moves


def _rebalance(
    inputs: RebalanceInput, loads: dict[str, float], moves: dict[int, str]
) -> None:
    share = sum(loads.values()) / sum(inputs.weights.values())
    shards_of: dict[str, list[int]] = {name: [] for name in loads}
    for shard, owner in enumerate(inputs.owners):
        if owner in shards_of and shard not in inputs.pinned_shards:
            shards_of[owner].append(shard)
    for _ in range(inputs.move_budget):
        order = sorted(
            loads, key=lambda name: loads[name] / inputs.weights[name]
        )
        low, high = order[0], order[-1]
        surplus = loads[high] - share * inputs.weights[high]
        deficit = share * inputs.weights[low] - loads[low]
        tolerance = HYSTERESIS_RATIO * share
        if surplus <= tolerance * inputs.weights[high] and (
            deficit <= tolerance * inputs.weights[low]
        ):
            return
        best = _best_shard(
            shards_of[high], inputs.loads, surplus, deficit, tolerance
        )
        if best is None:
            return
        shards_of[high].remove(best)
        moves[best] = low
        loads[high] -= inputs.loads[best]
        loads[low] += inputs.loads[best]


def _best_shard(
    shards: list[int],
    loads: Sequence[float],
    surplus: float,
    deficit: float,
    tolerance: float,
) -> int | None:
    """Returns the largest shard whose move evens out the two upstreams."""
    # The new owner must not end above its share. The old owner may end slightly
    # below its share; otherwise no shard could ever leave an upstream that has
    # few.
    max_load = min(deficit, surplus + tolerance, (surplus + deficit) / 1.5)
    candidates = [shard for shard in shards if loads[shard] <= max_load]
    if not candidates:
        return None
    return max(candidates, key=lambda shard: (loads[shard], -shard))


class TopKeys:
    """The most frequent recent keys, counted in bounded space.

    This is the space-saving sketch: a new key replaces the key with the lowest
    count and inherits that count. A key's count is therefore never too low, and
    too high by at most the lowest count.
    """

    def __init__(self, capacity_keys: int = 256):
        self._capacity_keys = capacity_keys
        self._counts: dict[str, float] = {}
        self.total = 0.0

    def add(self, key: str, weight: float = 1.0) -> None:
        """Counts a request for a key."""
        self.total += weight
        if key in self._counts or len(self._counts) < self._capacity_keys:
            self._counts[key] = self._counts.get(key, 0.0) + weight
            return
        rarest = min(self._counts, key=self._counts.__getitem__)
        self._counts[key] = self._counts.pop(rarest) + weight

    def most_frequent(self, limit: int = 32) -> list[tuple[str, float]]:
        """Returns the most frequent keys and their counts."""
        ordered = sorted(self._counts, key=self._counts.__getitem__)
        return [(key, self._counts[key]) for key in ordered[-limit:]]

    def shares(self) -> dict[str, float]:
        """Returns each key's share of all requests, which is never too low."""
        if self.total <= 0.0:
            return {}
        return {key: count / self.total for key, count in self._counts.items()}


def select_hot_keys(
    shares: Mapping[str, float],
    current: frozenset[str],
    split_share: float,
    limit: int = 64,
) -> frozenset[str]:
    """Returns the keys that should be placed separately from their shard.

    A key is split out above `split_share` and merged back below half of it, so
    that a key near the threshold does not move back and forth.

    Args:
      shares: each key's share of all requests.
      current: the keys that are split out at present.
      split_share: the share from which a key is split out.
      limit: the maximum number of keys returned.
    """
    selected = [
        key
        for key, share in shares.items()
        if share >= (split_share / 2.0 if key in current else split_share)
    ]
    selected.sort(key=lambda key: (-shares[key], key))
    return frozenset(selected[:limit])
