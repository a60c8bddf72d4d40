"""Plans key moves that keep each upstream's load close to its share.

The share of an upstream is the part of the load that it would have if all
upstreams were equally utilized. `key_plan` lowers the total latency, for which
it suffices that no upstream is near saturation; it also tries many pieces for
each move. This planner moves pieces of a given load from the upstream that is
furthest above its share to the one with the most room below its share.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import heapq
import math

from sardinehill.core import key_plan
from sardinehill.core import keyspace

# Keys whose load exceeds the room of every upstream move in pieces of this part
# of their owner's share.
HOT_PIECE_SHARE = 0.25
# With such a piece, the target's load relative to its share is at most this
# part of the owner's before the move.
HOT_TARGET_RATIO = 0.92
# How many times in a plan all upstreams are compared for such a move.
MAX_COMPARISONS = 32
# How many targets are tried for one move.
MAX_TARGETS = 4
# Stands for the load of a service that has none.
_MIN_LOAD = 1e-9
# Only keys without an owner are placed.
_UNOWNED_ONLY = key_plan.PlanPolicy(min_moves=0, upstreams_per_move=1 << 30)


@dataclasses.dataclass(frozen=True, slots=True)
class ClosePolicy:
    """The conditions under which keys are moved for a close balance.

    Attributes:
      max_ratio: keys leave an upstream whose load exceeds this multiple of its
        share. It is below the ratio that is to be kept, since the loads are
        estimates.
      target_ratio: a move leaves its source with at least this multiple of its
        share and its target with at most this.
      min_piece_share: the least load of a move, as a part of its source's
        share.
      horizon_s: how long the load is expected to stay as it is.
      move_cost_s: the cost of moving keys, in seconds of their load: requests
        wait for the handover, and are slow without one.
      max_runs: an upstream with this many separate key ranges gets no further
        one.
      upstreams_per_move: one move is planned at once for this many upstreams.
      mean_runs: with more key ranges for each upstream on average, small ones
        move to the owner of adjacent keys, as each is granted by itself.
      small_run_share: a range with at most this part of an upstream's share of
        the load is small.
      upstreams_per_join: one small range moves at once for this many upstreams.
    """

    max_ratio: float = 1.15
    target_ratio: float = 1.02
    min_piece_share: float = 0.02
    horizon_s: float = 10.0
    move_cost_s: float = 2.0
    max_runs: int = 32
    upstreams_per_move: int = 1
    mean_runs: int = 6
    small_run_share: float = 0.02
    upstreams_per_join: int = 8


# While a range is hot, its load is known less well.
HOT_RANGE_POLICY = ClosePolicy(max_ratio=1.1)


def plan(
    assignment: keyspace.KeyAssignment,
    capacities: Mapping[keyspace.Incarnation, key_plan.UpstreamCapacity],
    loads: key_plan.KeyLoads,
    policy: ClosePolicy,
) -> list[keyspace.KeyMove]:
    """Returns moves that give each key an owner and each owner its share.

    While keys have no owner, only these are placed.

    Args:
      assignment: the present assignment, which is not changed.
      capacities: the capacity of each upstream that may own keys.
      loads: the load of each key: requests in flight at mean speed.
      policy: the conditions under which keys are moved.
    """
    if not capacities:
        return []
    placed = key_plan.plan(assignment, capacities, loads, _UNOWNED_ONLY)
    if placed:
        return placed
    planned = loads.scaled(key_plan.planned_ratio(capacities, loads))
    planner = _ClosePlanner(assignment, capacities, planned, policy)
    planner.improve()
    planner.join_small_runs(assignment)
    return planner.moves


@dataclasses.dataclass(slots=True)
class _Owner:
    """An upstream while moves are planned.

    Attributes:
      incarnation: its id and start time.
      capacity: what it can serve.
      share: the load that it should have.
      load: the load that it has after the moves so far.
      runs: the first and last keys of its movable ranges, in key order.
      run_count: the number of its ranges, also those that may not move now.
    """

    incarnation: keyspace.Incarnation
    capacity: key_plan.UpstreamCapacity
    share: float
    load: float = 0.0
    runs: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    run_count: int = 0

    @property
    def ratio(self) -> float:
        """Its load as a multiple of its share."""
        return self.load / self.share

    def gain(self, change: float) -> float:
        """Returns how many fewer requests wait or run after a change of load.

        They are counted as if it were of mean speed. Otherwise keys would stay
        with a fast upstream until it is as slow as the others.
        """
        reduction = self.capacity.cost(self.load) - self.capacity.cost(
            self.load + change
        )
        return reduction / self.capacity.slowness


class _ClosePlanner:
    """Plans moves one by one, each for the loads after the earlier moves."""

    def __init__(
        self,
        assignment: keyspace.KeyAssignment,
        capacities: Mapping[keyspace.Incarnation, key_plan.UpstreamCapacity],
        key_loads: key_plan.KeyLoads,
        policy: ClosePolicy,
    ):
        self._key_loads = key_loads
        self._policy = policy
        self._comparisons_left = MAX_COMPARISONS
        self.moves: list[keyspace.KeyMove] = []
        total_load = key_loads.span_load(0, keyspace.KEY_COUNT - 1)
        total_servable = sum(
            capacity.servable_load for capacity in capacities.values()
        )
        self._owners = {
            incarnation: _Owner(
                incarnation,
                capacity,
                max(total_load, _MIN_LOAD)
                * capacity.servable_load
                / total_servable,
            )
            for incarnation, capacity in capacities.items()
        }
        for span in assignment.spans:
            owner = self._owners.get(span.owner) if span.owner else None
            if owner is not None:
                owner.load += key_loads.span_load(span.first, span.last)
                if keyspace.may_move(span):
                    _add_run(owner, span.first, span.last)
                else:
                    owner.run_count += 1
        # The owners with room, the most room first.
        self._targets = [
            (-self._room(owner), owner.incarnation)
            for owner in self._owners.values()
            if self._room(owner) > 0
        ]
        heapq.heapify(self._targets)

    def _room(self, owner: _Owner) -> float:
        return owner.share * self._policy.target_ratio - owner.load

    def improve(self) -> None:
        """Plans moves until no upstream is far above its share."""
        moves_left = max(
            1, len(self._owners) // self._policy.upstreams_per_move
        )
        sources = [
            (-owner.ratio, owner.incarnation)
            for owner in self._owners.values()
            if owner.ratio > self._policy.max_ratio
        ]
        heapq.heapify(sources)
        while sources and moves_left > 0:
            source = self._owners[heapq.heappop(sources)[1]]
            if not self._relieve(source):
                continue
            moves_left -= 1
            if source.ratio > self._policy.max_ratio:
                heapq.heappush(sources, (-source.ratio, source.incarnation))

    def join_small_runs(self, assignment: keyspace.KeyAssignment) -> None:
        """Plans moves of small ranges if there are many ranges.

        They take the place of other moves in a plan.
        """
        runs = _owned_runs(assignment)
        excess = len(runs) - len(self._owners) * self._policy.mean_runs
        moves_left = max(
            1, len(self._owners) // self._policy.upstreams_per_join
        ) - len(self.moves)
        balanced = list(self.moves)
        joined_last = -1
        for before, run, after in zip(runs, runs[1:], runs[2:], strict=False):
            if excess <= 0 or moves_left <= 0:
                return
            if joined_last >= before.first or any(
                move.first <= after.last and before.first <= move.last
                for move in balanced
            ):
                # One of the three ranges moves already.
                continue
            neighbor = min(
                (before, after), key=lambda other: self._ratio(other.owner)
            )
            if self._may_join(run, neighbor):
                self.moves.append(
                    keyspace.KeyMove(run.first, run.last, neighbor.owner)
                )
                joined_last = run.last
                excess -= 1 + (before.owner == after.owner)
                moves_left -= 1

    def _ratio(self, incarnation: keyspace.Incarnation) -> float:
        owner = self._owners.get(incarnation)
        return owner.ratio if owner else math.inf

    def _may_join(self, run: "_OwnedRun", neighbor: "_OwnedRun") -> bool:
        """Returns whether a range is small enough for its neighbor's owner."""
        owner = self._owners.get(neighbor.owner)
        if owner is None or not run.may_move or not neighbor.may_move:
            return False
        load = self._key_loads.span_load(run.first, run.last)
        if load > owner.share * self._policy.small_run_share:
            return False
        return owner.load + load <= owner.share * self._policy.target_ratio

    def _relieve(self, source: _Owner) -> bool:
        """Plans one move away from an upstream; returns whether it did."""
        return self._fill_target(source) or self._move_hot_keys(source)

    def _fill_target(self, source: _Owner) -> bool:
        """Plans a move to an upstream that has room for it.

        Returns:
          Whether there is such a move that pays for itself.
        """
        tried: list[tuple[float, keyspace.Incarnation]] = []
        piece = None
        while self._targets and piece is None and len(tried) < MAX_TARGETS:
            entry = heapq.heappop(self._targets)
            target = self._owners[entry[1]]
            wanted = min(self._excess(source), self._room(target))
            piece = self._best_piece(
                source, target, wanted, self._policy.max_ratio
            )
            if piece is not None:
                self._move(piece, source, target)
                entry = (-self._room(target), target.incarnation)
            if entry[0] < 0:
                tried.append(entry)
        for entry in tried:
            heapq.heappush(self._targets, entry)
        return piece is not None

    def _move_hot_keys(self, source: _Owner) -> bool:
        """Plans a move of a few keys that are more than any upstream's room.

        They go to the upstream whose load is the lowest with them. As all
        upstreams are compared, this is limited to a number of times in a plan.

        Returns:
          Whether there is such a move that pays for itself.
        """
        if self._comparisons_left <= 0:
            return False
        self._comparisons_left -= 1
        wanted = min(self._excess(source), source.share * HOT_PIECE_SHARE)
        pieces = [
            (self._key_loads.span_load(first, last), first, last)
            for first, last in self._candidates(source, wanted)
        ]
        load = min(
            (
                piece[0]
                for piece in pieces
                if piece[0] >= source.share * self._policy.min_piece_share
            ),
            default=math.inf,
        )
        target = min(
            self._owners.values(),
            key=lambda owner: (owner.load + load) / owner.share,
        )
        if target is source:
            return False
        piece = self._best_piece(
            source, target, wanted, source.ratio * HOT_TARGET_RATIO
        )
        if piece is not None:
            self._move(piece, source, target)
        return piece is not None

    def _excess(self, source: _Owner) -> float:
        return source.load - source.share * self._policy.target_ratio

    def _best_piece(
        self,
        source: _Owner,
        target: _Owner,
        wanted_load: float,
        limit_ratio: float,
    ) -> tuple[int, int] | None:
        """Returns the keys whose move gains the most, or None if none pays.

        Args:
          source: the owner.
          target: the new owner.
          wanted_load: the load to move. A single key may have more.
          limit_ratio: the highest multiple of its share that the target may
            have with the keys.
        """
        best: tuple[int, int] | None = None
        best_gain = 0.0
        for first, last in self._candidates(source, wanted_load):
            load = self._key_loads.span_load(first, last)
            if (
                load < source.share * self._policy.min_piece_share
                or target.load + load > target.share * limit_ratio
                or not self._may_take(target, first, last)
            ):
                continue
            gain = source.gain(-load) + target.gain(load)
            gain = gain * self._policy.horizon_s
            gain -= load * self._policy.move_cost_s
            if gain > best_gain:
                best, best_gain = (first, last), gain
        return best

    def _candidates(
        self, source: _Owner, load: float
    ) -> Iterable[tuple[int, int]]:
        """Returns the ends of an upstream's ranges that have a given load."""
        for first, last in source.runs:
            yield self._key_loads.tail_start(first, last, load), last
            yield first, self._key_loads.head_end(first, last, load)

    def _may_take(self, target: _Owner, first: int, last: int) -> bool:
        return target.run_count < self._policy.max_runs or any(
            run_last + 1 == first or last + 1 == run_first
            for run_first, run_last in target.runs
        )

    def _move(
        self, piece: tuple[int, int], source: _Owner, target: _Owner
    ) -> None:
        load = self._key_loads.span_load(*piece)
        runs_before = len(source.runs)
        source.load -= load
        source.runs = key_plan.subtract_keys(source.runs, *piece)
        source.run_count += len(source.runs) - runs_before
        target.load += load
        target.run_count += 1
        self.moves.append(keyspace.KeyMove(*piece, target.incarnation))


@dataclasses.dataclass(slots=True)
class _OwnedRun:
    """Adjacent keys of one owner, and whether all of them may move."""

    first: int
    last: int
    owner: keyspace.Incarnation
    may_move: bool


def _owned_runs(assignment: keyspace.KeyAssignment) -> list[_OwnedRun]:
    """Returns the ranges of adjacent keys that have one owner."""
    runs: list[_OwnedRun] = []
    for span in assignment.spans:
        may_move = span.owner is not None and keyspace.may_move(span)
        owner = span.owner or keyspace.UNKNOWN_OWNER
        if runs and runs[-1].owner == owner:
            runs[-1].last = span.last
            runs[-1].may_move = runs[-1].may_move and may_move
        else:
            runs.append(_OwnedRun(span.first, span.last, owner, may_move))
    return runs


def _add_run(owner: _Owner, first: int, last: int) -> None:
    """Adds a range behind all others of an owner or to an adjacent one."""
    if owner.runs and owner.runs[-1][1] + 1 == first:
        owner.runs[-1] = (owner.runs[-1][0], last)
    else:
        owner.runs.append((first, last))
        owner.run_count += 1
