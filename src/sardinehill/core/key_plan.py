"""Plans which upstream should own which keys.

A plan gives every key an owner and lowers the expected latency of all requests
together, by Little's law and an approximation of the wait for a slot.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import itertools
import math

from sardinehill.core import keyspace

# The use of its slots beyond which an upstream counts as saturated, and what
# one more request costs there, in service times.
SATURATION_RATIO = 0.95
# Work varies more than the approximation assumes, and machines are slow for
# moments, so waits are longer.
QUEUE_WAIT_FACTOR = 2.5
SATURATED_COST_FACTOR = 40.0
MARGINAL_STEP_SHARE = 0.02
# Keys without an owner are given away in pieces of this part of a mean load.
UNOWNED_PIECE_SHARE = 0.5
# So few keys with so much load are taken as one popular key.
POPULAR_SPAN_MAX_KEYS = 3
POPULAR_SPAN_LOAD_REQUESTS = 1.0
# Parts of an upstream's load that are tried as a move.
MOVE_LOAD_SHARES = (0.05, 0.12, 0.25, 0.5, 1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class PlanPolicy:
    """When keys are worth moving.

    Attributes:
      min_gain_share: a move must lower the latency of all requests
        together by this part.
      key_move_cost_share: each key that moves must add this part to that.
      max_moves: how many moves are planned at once.
      max_spans: an upstream with so many spans gets no further one.
      min_load_share: each upstream is to have this part of an even load.
    """

    min_gain_share: float = 0.006
    key_move_cost_share: float = 1e-6
    max_moves: int = 10
    max_spans: int = 16
    min_load_share: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCapacity:
    """What an upstream bears.

    Attributes:
      slots: how many requests it runs at once.
      slowness: its latency against the mean of all upstreams, when idle.
    """

    slots: int
    slowness: float

    def cost(self, load: float) -> float:
        """Returns how many requests are under way there, waiting or running.

        By Little's law that is rate times latency. The wait for one of
        several slots is Sakasegawa's approximation; near saturation it goes
        on as a straight line, as queues are bounded.

        Args:
          load: requests under way, were the upstream of mean speed and idle.
        """
        # A load that was taken away again may leave a rounding error.
        running = max(load, 0.0) * self.slowness
        use = running / self.slots
        if use <= SATURATION_RATIO:
            return running * (1 + _wait(use, self.slots))
        edge = (
            SATURATION_RATIO
            * self.slots
            * (1 + _wait(SATURATION_RATIO, self.slots))
        )
        return (
            edge
            + (running - SATURATION_RATIO * self.slots) * SATURATED_COST_FACTOR
        )


def _wait(use: float, slots: int) -> float:
    """Returns the mean wait for a slot, in mean service times."""
    exponent = math.sqrt(2 * (slots + 1)) - 1
    return float(QUEUE_WAIT_FACTOR * use**exponent / (slots * (1 - use)))


class KeyLoads:
    """How much each key is used, with sums over any span of keys."""

    def __init__(self, loads: Mapping[int, float], base_load: float):
        """Sums up the use of keys.

        Args:
          loads: the load of the keys that are used at all.
          base_load: what is added for each key.
        """
        self._keys = sorted(loads)
        self._sums = [
            0.0,
            *itertools.accumulate(loads[key] for key in self._keys),
        ]
        self._base = base_load

    def _below(self, key: int) -> float:
        """Returns the load of all keys below one."""
        return (
            self._base * key + self._sums[bisect.bisect_left(self._keys, key)]
        )

    def span_load(self, first: int, last: int) -> float:
        """Returns the load of keys `first` to `last`."""
        return self._below(last + 1) - self._below(first)

    def tail_start(self, first: int, last: int, load: float) -> int:
        """Returns where the tail of a span with at most `load` begins."""
        wanted = self._below(last + 1) - load
        key = bisect.bisect_left(
            range(keyspace.KEY_COUNT + 1),
            wanted,
            first,
            last + 1,
            key=self._below,
        )
        return min(max(key, first), last)

    def head_end(self, first: int, last: int, load: float) -> int:
        """Returns where the head of a span with at most `load` ends."""
        wanted = self._below(first) + load
        end = bisect.bisect_right(
            range(keyspace.KEY_COUNT + 1),
            wanted,
            first + 1,
            last + 2,
            key=self._below,
        )
        return min(max(end - 2, first), last)


def plan(
    assignment: keyspace.KeyAssignment,
    capacities: Mapping[keyspace.Incarnation, UpstreamCapacity],
    loads: KeyLoads,
    policy: PlanPolicy,
) -> list[keyspace.KeyMove]:
    """Returns the moves that give each key an owner and lower latency.

    Args:
      assignment: as it is; it is not changed.
      capacities: the upstreams that may own keys.
      loads: the load of each key: requests under way at mean speed.
      policy: when keys are worth moving.
    """
    if not capacities:
        return []
    planner = _Planner(assignment, capacities, loads, policy)
    planner.place_orphans()
    planner.improve()
    return planner.moves


class _Planner:
    """The loads as the moves planned so far would leave them."""

    def __init__(
        self,
        assignment: keyspace.KeyAssignment,
        capacities: Mapping[keyspace.Incarnation, UpstreamCapacity],
        weights: KeyLoads,
        policy: PlanPolicy,
    ):
        self._capacities = capacities
        self._weights = weights
        self._policy = policy
        self._loads = dict.fromkeys(capacities, 0.0)
        self._spans: dict[keyspace.Incarnation, list[tuple[int, int]]]
        self._spans = {life: [] for life in capacities}
        self._orphans: list[tuple[int, int]] = []
        self._total = weights.span_load(0, keyspace.KEY_COUNT - 1)
        self._fastest = min(capacities, key=self._speed_rank)
        self.moves: list[keyspace.KeyMove] = []
        for span in assignment.spans:
            self._count(span)
        self._marginals = {life: self._marginal(life) for life in capacities}

    def _count(self, span: keyspace.Span) -> None:
        if span.owner in self._capacities:
            assert span.owner is not None
            self._loads[span.owner] += self._weights.span_load(
                span.first, span.last
            )
            if keyspace.may_move(span):
                self._spans[span.owner].append((span.first, span.last))
        elif keyspace.may_move(span):
            self._orphans.append((span.first, span.last))

    def _marginal(self, life: keyspace.Incarnation) -> float:
        """Returns what a little more load costs at an upstream."""
        capacity, load = self._capacities[life], self._loads[life]
        step = capacity.slots * MARGINAL_STEP_SHARE
        return (capacity.cost(load + step) - capacity.cost(load)) / step

    def _target(self) -> keyspace.Incarnation:
        """Returns the upstream that more load costs least at.

        One with next to no load goes first, or it would stay unknown.
        """
        least = self._total / len(self._loads) * self._policy.min_load_share
        idle = [life for life, load in self._loads.items() if load < least]
        return min(idle or self._loads, key=self._marginals.__getitem__)

    def place_orphans(self) -> None:
        """Gives keys without a usable owner away in pieces."""
        piece = self._total / len(self._loads) * UNOWNED_PIECE_SHARE
        for first, last in self._orphans:
            while first <= last:
                end = self._weights.head_end(first, last, piece)
                self._move(first, end, None, self._target())
                first = end + 1
        self.moves[:] = _joined(self.moves)

    def improve(self) -> None:
        """Moves keys while that lowers the latency of all together."""
        given_up: set[keyspace.Incarnation] = set()
        left = self._policy.max_moves
        while left > 0:
            sources = [
                life
                for life in self._loads
                if life not in given_up and self._spans[life]
            ]
            if not sources:
                return
            source = max(sources, key=self._marginals.__getitem__)
            best = self._best_piece(source)
            if best is None:
                given_up.add(source)
                continue
            self._move(best[0], best[1], source, best[2])
            left -= 1

    def _best_piece(
        self, source: keyspace.Incarnation
    ) -> tuple[int, int, keyspace.Incarnation] | None:
        """Returns the piece of an upstream's keys that is best moved."""
        target = self._target()
        all_cost = self._all_cost()
        price = self._policy.key_move_cost_share * all_cost
        best: tuple[int, int, keyspace.Incarnation] | None = None
        best_gain = self._policy.min_gain_share * all_cost
        for share in MOVE_LOAD_SHARES:
            wanted = self._loads[source] * share
            for first, last in self._pieces(source, wanted):
                for to in self._targets(source, target, first, last):
                    gain = self._gain(first, last, source, to)
                    gain -= price * (last - first + 1)
                    if gain > best_gain:
                        best, best_gain = (first, last, to), gain
        return best

    def _targets(
        self,
        source: keyspace.Incarnation,
        target: keyspace.Incarnation,
        first: int,
        last: int,
    ) -> set[keyspace.Incarnation]:
        """Returns the upstreams that are worth trying as a target.

        A single key that is much used is best on the fastest one, whatever
        else that one has at the moment: the next moves take that away.
        """
        targets = {target}
        is_popular = (
            self._weights.span_load(first, last) > POPULAR_SPAN_LOAD_REQUESTS
        )
        if is_popular and last - first < POPULAR_SPAN_MAX_KEYS:
            targets.add(self._fastest)
        return {
            life
            for life in targets
            if life != source
            and len(self._spans[life]) < self._policy.max_spans
        }

    def _speed_rank(self, life: keyspace.Incarnation) -> float:
        capacity = self._capacities[life]
        return capacity.slowness / capacity.slots

    def _pieces(
        self, source: keyspace.Incarnation, wanted: float
    ) -> Iterable[tuple[int, int]]:
        for first, last in self._spans[source]:
            yield self._weights.tail_start(first, last, wanted), last
            yield first, self._weights.head_end(first, last, wanted)

    def _gain(
        self,
        first: int,
        last: int,
        source: keyspace.Incarnation,
        to: keyspace.Incarnation,
    ) -> float:
        load = self._weights.span_load(first, last)
        return self._cost_change(source, -load) + self._cost_change(to, load)

    def _cost_change(self, life: keyspace.Incarnation, load: float) -> float:
        capacity, before = self._capacities[life], self._loads[life]
        return capacity.cost(before) - capacity.cost(max(before + load, 0.0))

    def _all_cost(self) -> float:
        return sum(
            self._capacities[life].cost(load)
            for life, load in self._loads.items()
        )

    def _move(
        self,
        first: int,
        last: int,
        source: keyspace.Incarnation | None,
        to: keyspace.Incarnation,
    ) -> None:
        load = self._weights.span_load(first, last)
        self._loads[to] += load
        if source is not None:
            self._loads[source] -= load
            self._spans[source] = _without(self._spans[source], first, last)
            self._marginals[source] = self._marginal(source)
        self._marginals[to] = self._marginal(to)
        self.moves.append(keyspace.KeyMove(first, last, to))


def _joined(moves: list[keyspace.KeyMove]) -> list[keyspace.KeyMove]:
    """Joins moves of neighbouring keys to the same upstream."""
    joined: list[keyspace.KeyMove] = []
    for move in moves:
        before = joined[-1] if joined else None
        if (
            before
            and before.new_owner == move.new_owner
            and before.last + 1 == move.first
        ):
            joined[-1] = keyspace.KeyMove(
                before.first, move.last, move.new_owner
            )
        else:
            joined.append(move)
    return joined


def _without(
    spans: list[tuple[int, int]], first: int, last: int
) -> list[tuple[int, int]]:
    left = []
    for low, high in spans:
        if high < first or low > last:
            left.append((low, high))
            continue
        if low < first:
            left.append((low, first - 1))
        if high > last:
            left.append((last + 1, high))
    return left
