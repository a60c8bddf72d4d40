"""Which shards move: orphans at once, others only when it pays.

A move costs its keys a moment of service and its new owner a cold start. So
shards stay where they are until the most loaded upstream is clearly above its
share, and each pass moves no more than a budget.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import heapq

# An upstream must be this much above its share before anything leaves it,
# and a move must leave the receiver below that share by the same measure.
HYSTERESIS_RATIO = 0.1


@dataclasses.dataclass(frozen=True)
class RebalanceInput:
    """What one pass looks at.

    Attributes:
      owners: each shard's owner, None for an orphan.
      loads: each shard's load in any unit; all above 0.
      weights: how much each usable upstream can take, relative to others.
      pinned_shards: shards that must not move in this pass.
      extra_loads: load that an upstream bears apart from its shards.
      move_budget: how many shards may move that are not orphans.
      orphan_budget: how many shards of upstreams taken out may move.
      lost_upstreams: upstreams that do not answer; their shards are always moved.
    """

    owners: Sequence[str | None]
    loads: Sequence[float]
    weights: Mapping[str, float]
    pinned_shards: frozenset[int] = frozenset()
    extra_loads: Mapping[str, float] = dataclasses.field(default_factory=dict)
    move_budget: int = 16
    orphan_budget: int = 64
    lost_upstreams: frozenset[str] = frozenset()


def plan_moves(problem: RebalanceInput) -> dict[int, str]:
    """Returns the new owner of each shard that shall move."""
    if not problem.weights:
        return {}
    bearing = _current_loads(problem)
    moves = _place_orphans(problem, bearing)
    if len(moves) < problem.orphan_budget:
        _rebalance(problem, bearing, moves)
    return moves


def _current_loads(problem: RebalanceInput) -> dict[str, float]:
    bearing = {
        name: problem.extra_loads.get(name, 0.0) for name in problem.weights
    }
    for shard, owner in enumerate(problem.owners):
        if owner in bearing:
            bearing[owner] += problem.loads[shard]
    return bearing


def _place_orphans(
    problem: RebalanceInput, bearing: dict[str, float]
) -> dict[int, str]:
    orphans = [
        shard
        for shard, owner in enumerate(problem.owners)
        if owner not in bearing and shard not in problem.pinned_shards
    ]
    orphans.sort(key=lambda shard: (-problem.loads[shard], shard))
    heap = [
        (load / problem.weights[name], name) for name, load in bearing.items()
    ]
    heapq.heapify(heap)
    moves: dict[int, str] = {}
    paced = 0
    for shard in orphans:
        owner = problem.owners[shard]
        if owner is not None and owner not in problem.lost_upstreams:
            if paced >= problem.orphan_budget:
                continue
            paced += 1
        _, name = heapq.heappop(heap)
        moves[shard] = name
        bearing[name] += problem.loads[shard]
        heapq.heappush(heap, (bearing[name] / problem.weights[name], name))
    return moves


def _rebalance(
    problem: RebalanceInput, bearing: dict[str, float], moves: dict[int, str]
) -> None:
    share = sum(bearing.values()) / sum(problem.weights.values())
    held: dict[str, list[int]] = {name: [] for name in bearing}
    for shard, owner in enumerate(problem.owners):
        if owner in held and shard not in problem.pinned_shards:
            held[owner].append(shard)
    for _ in range(problem.move_budget):
        order = sorted(
            bearing, key=lambda name: bearing[name] / problem.weights[name]
        )
        low, high = order[0], order[-1]
        surplus = bearing[high] - share * problem.weights[high]
        deficit = share * problem.weights[low] - bearing[low]
        slack = HYSTERESIS_RATIO * share
        if surplus <= slack * problem.weights[high] and (
            deficit <= slack * problem.weights[low]
        ):
            return
        best = _best_shard(held[high], problem.loads, surplus, deficit, slack)
        if best is None:
            return
        held[high].remove(best)
        moves[best] = low
        bearing[high] -= problem.loads[best]
        bearing[low] += problem.loads[best]


def _best_shard(
    shards: list[int],
    loads: Sequence[float],
    surplus: float,
    deficit: float,
    slack: float,
) -> int | None:
    """Returns the largest shard whose move makes the two more alike."""
    # The receiver must not end above its share. The giver may end a little
    # below: when each upstream has few shards none would ever leave else.
    room = min(deficit, surplus + slack, (surplus + deficit) / 1.5)
    fitting = [shard for shard in shards if loads[shard] <= room]
    if not fitting:
        return None
    return max(fitting, key=lambda shard: (loads[shard], -shard))


class TopKeys:
    """The keys seen most often lately, counted in bounded space.

    This is the space-saving sketch: a new key takes the place of the least
    one and inherits its count, so a key's count is never too low, and too
    high by at most the least count. Halving it now and then lets it forget.
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
        least = min(self._counts, key=self._counts.__getitem__)
        self._counts[key] = self._counts.pop(least) + weight

    def most_frequent(self, limit: int = 32) -> list[tuple[str, float]]:
        """Returns the keys counted most, and their counts."""
        ordered = sorted(self._counts, key=self._counts.__getitem__)
        return [(key, self._counts[key]) for key in ordered[-limit:]]

    def shares(self) -> dict[str, float]:
        """Returns each key's share of all requests, never too low."""
        if self.total <= 0.0:
            return {}
        return {key: count / self.total for key, count in self._counts.items()}


def select_hot_keys(
    shares: Mapping[str, float],
    current: frozenset[str],
    split_share: float,
    limit: int = 64,
) -> frozenset[str]:
    """Returns the keys that should be placed alone.

    A key is split out above `split_share` and goes back below half of it, so
    one that hovers round the threshold does not move each time.
    """
    wanted = [
        key
        for key, share in shares.items()
        if share >= (split_share / 2.0 if key in current else split_share)
    ]
    wanted.sort(key=lambda key: (-shares[key], key))
    return frozenset(wanted[:limit])
