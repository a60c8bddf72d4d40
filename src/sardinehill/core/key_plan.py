"""Plans which upstream should own which keys.

A plan gives every key an owner and lowers the total expected latency of all
requests, which is estimated by Little's law and an approximation of the wait
for a slot.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
import copy
import dataclasses
import itertools
import math

from sardinehill.core import keyspace

# The utilization of its slots above which an upstream counts as saturated.
SATURATION_RATIO = 0.95
# Waits are longer than the approximation says, since work varies more than it
# assumes and machines slow down for moments.
QUEUE_WAIT_FACTOR = 2.5
# The cost of one more request at a saturated upstream, in service times.
SATURATED_COST_FACTOR = 40.0
# A load that would use more than this part of all slots is planned for as if it
# used this part. Above saturation all upstreams cost the same, so an overloaded
# fleet would not be balanced.
MAX_PLANNED_UTILIZATION = 0.7
# The load step by which the marginal cost is measured, as a share of an
# upstream's slots.
MARGINAL_STEP_SHARE = 0.02
# Keys without an owner are assigned in pieces of this share of the mean load.
UNOWNED_PIECE_SHARE = 0.5
# A span with at most this many keys and more than this load, in requests in
# flight, is treated as one hot key.
HOT_SPAN_MAX_KEYS = 3
HOT_SPAN_LOAD_REQUESTS = 1.0
# The shares of an upstream's load that are tried as the size of a move.
MOVE_LOAD_SHARES = (0.05, 0.12, 0.25, 0.5, 1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class PlanPolicy:
    """The conditions under which keys are moved.

    Attributes:
      min_gain_share: the least gain of a move, as a share of the mean cost of
        an upstream, so that it does not depend on the number of upstreams.
      key_move_cost_share: the further gain that each moved key requires, as a
        share of the total cost of all upstreams.
      min_moves: how many moves may be planned at once with few upstreams.
      upstreams_per_move: with many upstreams, one move is planned at once for
        this many of them.
      max_spans: an upstream with this many movable spans gets no further one.
      min_load_share: an upstream with less than this share of the mean load is
        preferred as a target.
    """

    min_gain_share: float = 0.13
    key_move_cost_share: float = 1e-6
    min_moves: int = 10
    upstreams_per_move: int = 4
    max_spans: int = 16
    min_load_share: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCapacity:
    """How much load an upstream can serve.

    Attributes:
      slots: how many requests it runs at once.
      slowness: its latency when idle, relative to the mean of all upstreams.
      max_load: the load that it takes if it limits its requests, in requests
        that would be in flight at mean speed.
    """

    slots: int
    slowness: float
    max_load: float = math.inf

    @property
    def servable_load(self) -> float:
        """The load that it can serve at most."""
        return min(self.slots / self.slowness, self.max_load)

    def cost(self, load: float) -> float:
        """Returns how many requests are waiting or running at the upstream.

        By Little's law this is rate times latency. The wait for one of several
        slots is Sakasegawa's approximation. Above saturation the cost grows
        linearly, since queues are bounded.

        Args:
          load: the requests that would be in flight if the upstream were of
            mean speed and without waits.
        """
        # Rounding errors of subtracted loads may make the load negative.
        running = max(load, 0.0) * self.slowness
        utilization = max(load, 0.0) / self.servable_load
        if utilization <= SATURATION_RATIO:
            return running * (1 + _mean_wait(utilization, self.slots))
        saturated_running = running * SATURATION_RATIO / utilization
        saturated_cost = saturated_running * (
            1 + _mean_wait(SATURATION_RATIO, self.slots)
        )
        return (
            saturated_cost
            + (running - saturated_running) * SATURATED_COST_FACTOR
        )


def _mean_wait(utilization: float, slots: int) -> float:
    """Returns the mean wait for a slot, in mean service times."""
    exponent = math.sqrt(2 * (slots + 1)) - 1
    return float(
        QUEUE_WAIT_FACTOR * utilization**exponent / (slots * (1 - utilization))
    )


class KeyLoads:
    """The load of each key, with fast sums over spans of keys."""

    def __init__(self, loads: Mapping[int, float], base_load: float):
        """Computes the prefix sums of the loads.

        Args:
          loads: the load of each used key.
          base_load: the load that is added for every key.
        """
        self._keys = sorted(loads)
        self._prefix_sums = [
            0.0,
            *itertools.accumulate(loads[key] for key in self._keys),
        ]
        self._base_load = base_load
        self._scale = 1.0

    def scaled(self, factor: float) -> "KeyLoads":
        """Returns the same loads multiplied by a factor."""
        scaled = copy.copy(self)
        scaled._scale = self._scale * factor
        return scaled

    def _load_below(self, key: int) -> float:
        """Returns the load of all keys below `key`."""
        return self._scale * (
            self._base_load * key
            + self._prefix_sums[bisect.bisect_left(self._keys, key)]
        )

    def span_load(self, first: int, last: int) -> float:
        """Returns the load of the keys `first` to `last`."""
        return self._load_below(last + 1) - self._load_below(first)

    def tail_start(self, first: int, last: int, load: float) -> int:
        """Returns the first key of a span's longest tail with at most `load`.

        The tail has at least one key.
        """
        target_sum = self._load_below(last + 1) - load
        key = bisect.bisect_left(
            range(keyspace.KEY_COUNT + 1),
            target_sum,
            first,
            last + 1,
            key=self._load_below,
        )
        return min(max(key, first), last)

    def head_end(self, first: int, last: int, load: float) -> int:
        """Returns the last key of a span's longest head with at most `load`.

        The head has at least one key.
        """
        target_sum = self._load_below(first) + load
        index = bisect.bisect_right(
            range(keyspace.KEY_COUNT + 1),
            target_sum,
            first + 1,
            last + 2,
            key=self._load_below,
        )
        return min(max(index - 2, first), last)


def plan(
    assignment: keyspace.KeyAssignment,
    capacities: Mapping[keyspace.Incarnation, UpstreamCapacity],
    loads: KeyLoads,
    policy: PlanPolicy,
) -> list[keyspace.KeyMove]:
    """Returns the moves that give each key an owner and lower the latency.

    Args:
      assignment: the present assignment, which is not changed.
      capacities: the capacity of each upstream that may own keys.
      loads: the load of each key: requests in flight at mean speed.
      policy: the conditions under which keys are moved.
    """
    if not capacities:
        return []
    planned_loads = loads.scaled(planned_ratio(capacities, loads))
    planner = _Planner(assignment, capacities, planned_loads, policy)
    planner.place_unowned_keys()
    planner.improve()
    return planner.moves


def planned_ratio(
    capacities: Mapping[keyspace.Incarnation, UpstreamCapacity],
    loads: KeyLoads,
) -> float:
    """Returns the part of the loads to plan for, at most 1."""
    servable_load = sum(
        capacity.servable_load for capacity in capacities.values()
    )
    total_load = loads.span_load(0, keyspace.KEY_COUNT - 1)
    if total_load <= 0:
        return 1.0
    return min(1.0, MAX_PLANNED_UTILIZATION * servable_load / total_load)


class _Planner:
    """Plans moves one by one, each for the loads after the earlier moves."""

    def __init__(
        self,
        assignment: keyspace.KeyAssignment,
        capacities: Mapping[keyspace.Incarnation, UpstreamCapacity],
        key_loads: KeyLoads,
        policy: PlanPolicy,
    ):
        self._capacities = capacities
        self._key_loads = key_loads
        self._policy = policy
        self._loads = dict.fromkeys(capacities, 0.0)
        self._spans: dict[keyspace.Incarnation, list[tuple[int, int]]]
        self._spans = {upstream: [] for upstream in capacities}
        self._unowned: list[tuple[int, int]] = []
        self._total_load = key_loads.span_load(0, keyspace.KEY_COUNT - 1)
        self._fastest = min(capacities, key=self._speed_rank)
        self.moves: list[keyspace.KeyMove] = []
        for span in assignment.spans:
            self._add_span(span)
        self._marginals = {
            upstream: self._marginal(upstream) for upstream in capacities
        }

    def _add_span(self, span: keyspace.Span) -> None:
        if span.owner in self._capacities:
            assert span.owner is not None
            self._loads[span.owner] += self._key_loads.span_load(
                span.first, span.last
            )
            if keyspace.may_move(span):
                self._spans[span.owner].append((span.first, span.last))
        elif keyspace.may_move(span):
            self._unowned.append((span.first, span.last))

    def _marginal(self, upstream: keyspace.Incarnation) -> float:
        """Returns an upstream's marginal cost of load."""
        capacity, load = self._capacities[upstream], self._loads[upstream]
        step = min(capacity.slots, capacity.max_load) * MARGINAL_STEP_SHARE
        return (capacity.cost(load + step) - capacity.cost(load)) / step

    def _cheapest_target(self) -> keyspace.Incarnation:
        """Returns the upstream with the lowest marginal cost of load.

        An upstream with almost no load is preferred; otherwise its latency
        would never be measured.
        """
        min_load = (
            self._total_load / len(self._loads) * self._policy.min_load_share
        )
        nearly_idle = [
            upstream
            for upstream, load in self._loads.items()
            if load < min_load
        ]
        return min(nearly_idle or self._loads, key=self._marginals.__getitem__)

    def place_unowned_keys(self) -> None:
        """Assigns the keys without a usable owner, piece by piece."""
        piece_load = self._total_load / len(self._loads) * UNOWNED_PIECE_SHARE
        for first, last in self._unowned:
            while first <= last:
                piece_last = self._key_loads.head_end(first, last, piece_load)
                self._move(first, piece_last, None, self._cheapest_target())
                first = piece_last + 1
        self.moves[:] = _join_adjacent_moves(self.moves)

    def improve(self) -> None:
        """Plans moves while they lower the total latency."""
        exhausted: set[keyspace.Incarnation] = set()
        moves_left = max(
            self._policy.min_moves,
            len(self._loads) // self._policy.upstreams_per_move,
        )
        while moves_left > 0:
            sources = [
                upstream
                for upstream in self._loads
                if upstream not in exhausted and self._spans[upstream]
            ]
            if not sources:
                return
            source = max(sources, key=self._marginals.__getitem__)
            best = self._best_piece(source)
            if best is None:
                exhausted.add(source)
                continue
            self._move(best[0], best[1], source, best[2])
            moves_left -= 1

    def _best_piece(
        self, source: keyspace.Incarnation
    ) -> tuple[int, int, keyspace.Incarnation] | None:
        """Finds the move away from an upstream that gains the most.

        Returns:
          The first key, the last key and the target, or None if no move gains
          enough.
        """
        target = self._cheapest_target()
        total_cost = self._total_cost()
        cost_per_key = self._policy.key_move_cost_share * total_cost
        best: tuple[int, int, keyspace.Incarnation] | None = None
        best_gain = self._policy.min_gain_share * total_cost / len(self._loads)
        for share in MOVE_LOAD_SHARES:
            piece_load = self._loads[source] * share
            for first, last in self._candidate_pieces(source, piece_load):
                for candidate in self._candidate_targets(
                    source, target, first, last
                ):
                    gain = self._gain(first, last, source, candidate)
                    gain -= cost_per_key * (last - first + 1)
                    if gain > best_gain:
                        best, best_gain = (first, last, candidate), gain
        return best

    def _candidate_targets(
        self,
        source: keyspace.Incarnation,
        target: keyspace.Incarnation,
        first: int,
        last: int,
    ) -> set[keyspace.Incarnation]:
        """Returns the upstreams to try as the target of a move.

        A hot key is best on the fastest upstream, whatever load that has at
        present: the next moves take the other load away.
        """
        targets = {target}
        is_hot = self._key_loads.span_load(first, last) > HOT_SPAN_LOAD_REQUESTS
        if is_hot and last - first < HOT_SPAN_MAX_KEYS:
            targets.add(self._fastest)
        return {
            upstream
            for upstream in targets
            if upstream != source
            and len(self._spans[upstream]) < self._policy.max_spans
        }

    def _speed_rank(self, upstream: keyspace.Incarnation) -> float:
        return -self._capacities[upstream].servable_load

    def _candidate_pieces(
        self, source: keyspace.Incarnation, load: float
    ) -> Iterable[tuple[int, int]]:
        for first, last in self._spans[source]:
            yield self._key_loads.tail_start(first, last, load), last
            yield first, self._key_loads.head_end(first, last, load)

    def _gain(
        self,
        first: int,
        last: int,
        source: keyspace.Incarnation,
        new_owner: keyspace.Incarnation,
    ) -> float:
        load = self._key_loads.span_load(first, last)
        return self._cost_change(source, -load) + self._cost_change(
            new_owner, load
        )

    def _cost_change(
        self, upstream: keyspace.Incarnation, load: float
    ) -> float:
        capacity, before = self._capacities[upstream], self._loads[upstream]
        return capacity.cost(before) - capacity.cost(max(before + load, 0.0))

    def _total_cost(self) -> float:
        return sum(
            self._capacities[upstream].cost(load)
            for upstream, load in self._loads.items()
        )

    def _move(
        self,
        first: int,
        last: int,
        source: keyspace.Incarnation | None,
        new_owner: keyspace.Incarnation,
    ) -> None:
        load = self._key_loads.span_load(first, last)
        self._loads[new_owner] += load
        if source is not None:
            self._loads[source] -= load
            self._spans[source] = subtract_keys(
                self._spans[source], first, last
            )
            self._marginals[source] = self._marginal(source)
        self._marginals[new_owner] = self._marginal(new_owner)
        self.moves.append(keyspace.KeyMove(first, last, new_owner))


def _join_adjacent_moves(
    moves: list[keyspace.KeyMove],
) -> list[keyspace.KeyMove]:
    """Joins moves of adjacent key ranges to the same upstream."""
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


def subtract_keys(
    spans: list[tuple[int, int]], first: int, last: int
) -> list[tuple[int, int]]:
    """Returns ranges of keys without the keys `first` to `last`."""
    remaining = []
    for low, high in spans:
        if high < first or low > last:
            remaining.append((low, high))
            continue
        if low < first:
            remaining.append((low, first - 1))
        if high > last:
            remaining.append((last + 1, high))
    return remaining
