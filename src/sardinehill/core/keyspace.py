"""Which upstream of a divided service owns which keys.

An assignment covers all keys with spans. A span that moves names the upstream
that had it before, until that one has certainly given it up; only then may the
new owner be granted it. Epochs only grow: each change of owner, and each
change of leader, takes a higher one.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
import math
from typing import Any

KEY_COUNT = 65536
# The use of its slots beyond which an upstream counts as saturated, and what
# one more request costs there, in service times.
SATURATION = 0.95
# Work varies more than the approximation assumes, and machines are slow for
# moments, so waits are longer.
WAIT_FACTOR = 2.5
SATURATED_COST = 40.0
MARGINAL_STEP_SHARE = 0.02
# Keys without an owner are given away in pieces of this part of a mean load.
ORPHAN_PIECE_SHARE = 0.5
# So few keys with so much load are taken as one popular key.
POPULAR_SPAN_KEYS = 3
POPULAR_LOAD_REQUESTS = 1.0
# Parts of an upstream's load that are tried as a move.
PIECE_SHARES = (0.05, 0.12, 0.25, 0.5, 1.0)
# An upstream's clock may run this much slow while it measures a grant.
CLOCK_DRIFT_RATIO = 0.02
# How long an order may still be on its way once its connection is closed.
IN_FLIGHT_MARGIN_S = 0.15

Life = tuple[str, int]


@dataclasses.dataclass(slots=True)
class Former:
    """Who had a span before, and may still hold it.

    Attributes:
      life: the upstream's id and start.
      epoch: under which it had the span.
      holds_until_s: by then it holds the span no more, whatever happens.
      unanswered_until_s: until then an order that was sent may still give it
        the span again.
      released: whether it answered that it has given the span up.
      regranted_s: when it last answered a grant of the span. A grant that was
        on its way may reach it behind a release, which then counts no more.
    """

    life: Life
    epoch: int
    holds_until_s: float
    unanswered_until_s: float = 0.0
    released: bool = False
    regranted_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Span:
    """Keys `first` to `last` and their owner.

    Attributes:
      first: the lowest key.
      last: the highest key.
      owner: the upstream's id and start, or None.
      epoch: under which the owner is granted the span.
      former: who must give it up first, or None.
      handover: what the former owner left for the next.
      live: whether the owner has confirmed the grant.
      granted_until_s: until then the owner certainly holds the span.
      holds_until_s: from then on the owner certainly does not hold it.
      unanswered_until_s: until then an unanswered grant under this epoch may
        still take effect.
      earlier_until_s: until then one of an earlier leader, under a lower epoch,
        may take effect, unless the owner has seen this epoch.
      next_order_s: when the next grant or release is due.
      ordering: whether an order is on its way.
    """

    first: int
    last: int
    owner: Life | None
    epoch: int
    former: Former | None = None
    handover: str | None = None
    live: bool = False
    granted_until_s: float = 0.0
    holds_until_s: float = 0.0
    unanswered_until_s: float = 0.0
    earlier_until_s: float = 0.0
    next_order_s: float = 0.0
    ordering: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Keys that are to have another owner."""

    first: int
    last: int
    to: Life


@dataclasses.dataclass(slots=True)
class Assignment:
    """Who owns the keys of one service.

    Attributes:
      spans: in the order of their keys, covering all of them.
      top_epoch: the highest epoch ever used.
    """

    spans: list[Span]
    top_epoch: int

    def next_epoch(self) -> int:
        """Returns an epoch above all that were ever used."""
        self.top_epoch += 1
        return self.top_epoch


def empty() -> Assignment:
    """Returns an assignment in which nobody owns any key."""
    return Assignment([Span(0, KEY_COUNT - 1, None, 0)], 0)


def find(spans: Sequence[Span], key: int) -> Span:
    """Returns the span that a key belongs to."""
    index = bisect.bisect_right(spans, key, key=lambda span: span.first)
    return spans[index - 1]


def latest_end_s(sent_s: float, hold_s: float) -> float:
    """Returns when a grant that was on its way until `sent_s` has lapsed."""
    return sent_s + hold_s * (1 + CLOCK_DRIFT_RATIO) + IN_FLIGHT_MARGIN_S


def to_document(assignment: Assignment) -> dict[str, Any]:
    """Returns what the store keeps of an assignment."""
    return {
        "topEpoch": assignment.top_epoch,
        "spans": [
            [
                span.first,
                span.last,
                span.epoch,
                list(span.owner) if span.owner else None,
                [*span.former.life, span.former.epoch] if span.former else None,
            ]
            for span in assignment.spans
        ],
    }


def from_document(document: Any, holds_until_s: float) -> Assignment:
    """Reads back what `to_document` returned.

    Args:
      document: the stored text.
      holds_until_s: until then any owner or former owner may hold its spans,
        since nobody knows what an earlier leader granted last.

    Raises:
      ValueError: it is not such a document.
    """
    try:
        spans = [_span(row, holds_until_s) for row in document["spans"]]
        assignment = Assignment(spans, int(document["topEpoch"]))
    except (KeyError, TypeError, IndexError) as error:
        raise ValueError(f"not an assignment: {error!r}") from error
    expected = 0
    for span in spans:
        if span.first != expected or span.last < span.first:
            raise ValueError(f"the spans leave a gap at key {expected}")
        expected = span.last + 1
    if expected != KEY_COUNT:
        raise ValueError(f"the spans end at key {expected}")
    return assignment


def _span(row: Sequence[Any], holds_until_s: float) -> Span:
    first, last, epoch, owner, former = row
    span = Span(int(first), int(last), None, int(epoch))
    if owner is not None:
        span.owner = (str(owner[0]), int(owner[1]))
        span.holds_until_s = holds_until_s
        span.earlier_until_s = holds_until_s
    if former is not None:
        span.former = Former(
            (str(former[0]), int(former[1])),
            int(former[2]),
            holds_until_s,
            holds_until_s,
        )
    return span


def split_at(assignment: Assignment, key: int) -> None:
    """Makes a span begin at `key`; both parts keep what is known of them."""
    if key <= 0 or key >= KEY_COUNT:
        return
    span = find(assignment.spans, key)
    if span.first == key:
        return
    index = assignment.spans.index(span)
    former = dataclasses.replace(span.former) if span.former else None
    tail = dataclasses.replace(span, first=key, former=former)
    span.last = key - 1
    assignment.spans.insert(index + 1, tail)


def may_move(span: Span) -> bool:
    """Returns whether a span's owner may be changed now.

    One change at a time: a span that still waits for a former owner keeps its
    new one until then, or there would be two former owners to wait for.
    """
    return span.former is None


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """A move with the epoch that the new owner gets its keys under."""

    first: int
    last: int
    to: Life
    epoch: int


def apply_moves(
    assignment: Assignment, moves: Iterable[Move]
) -> list[Transfer]:
    """Changes owners as planned; returns what was changed."""
    transfers = []
    for move in moves:
        split_at(assignment, move.first)
        split_at(assignment, move.last + 1)
        for span in assignment.spans:
            if span.first < move.first or span.last > move.last:
                continue
            if span.owner == move.to or not may_move(span):
                continue
            transfer = Transfer(
                span.first, span.last, move.to, assignment.next_epoch()
            )
            _change_owner(span, transfer.to, transfer.epoch)
            transfers.append(transfer)
    return transfers


def apply_transfers(
    assignment: Assignment, transfers: Iterable[Transfer]
) -> None:
    """Repeats changes that were made to a copy and then written down."""
    for transfer in transfers:
        split_at(assignment, transfer.first)
        split_at(assignment, transfer.last + 1)
        for span in assignment.spans:
            if transfer.first <= span.first and span.last <= transfer.last:
                _change_owner(span, transfer.to, transfer.epoch)
        assignment.top_epoch = max(assignment.top_epoch, transfer.epoch)


def _change_owner(span: Span, owner: Life, epoch: int) -> None:
    if span.owner is not None and span.holds_until_s > 0:
        span.former = Former(
            span.owner,
            span.epoch,
            span.holds_until_s,
            max(span.unanswered_until_s, span.earlier_until_s),
        )
    span.owner = owner
    span.epoch = epoch
    span.handover = None
    span.live = False
    span.granted_until_s = 0.0
    span.holds_until_s = 0.0
    span.unanswered_until_s = 0.0
    span.earlier_until_s = 0.0
    span.next_order_s = 0.0
    span.ordering = False


def renew_epochs(assignment: Assignment) -> None:
    """Gives every owned span a higher epoch, so that older orders fail."""
    for span in assignment.spans:
        if span.owner is not None:
            span.epoch = assignment.next_epoch()


def merge(assignment: Assignment) -> None:
    """Joins neighbours of one owner that nothing is pending for."""
    joined: list[Span] = []
    for span in assignment.spans:
        before = joined[-1] if joined else None
        if before is not None and _may_join(before, span):
            before.last = span.last
            before.epoch = assignment.next_epoch()
            before.granted_until_s = min(
                before.granted_until_s, span.granted_until_s
            )
            before.holds_until_s = max(before.holds_until_s, span.holds_until_s)
            before.unanswered_until_s = max(
                before.unanswered_until_s, span.unanswered_until_s
            )
            before.earlier_until_s = max(
                before.earlier_until_s, span.earlier_until_s
            )
            before.next_order_s = 0.0
        else:
            joined.append(span)
    assignment.spans[:] = joined


def _may_join(before: Span, span: Span) -> bool:
    return (
        before.owner == span.owner
        and before.live == span.live
        and before.former is None
        and span.former is None
        and before.handover is None
        and span.handover is None
        and not before.ordering
        and not span.ordering
    )


def former_is_gone(span: Span, now_s: float, is_dead: bool) -> bool:
    """Returns whether a span's former owner holds it no more.

    Args:
      span: one that waits for a former owner.
      now_s: the time by the clock that `holds_until_s` is in.
      is_dead: whether that life of the upstream has certainly ended.
    """
    former = span.former
    if former is None or is_dead or now_s >= former.holds_until_s:
        return True
    return former.released and now_s >= former.unanswered_until_s


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """What was known of a holder before a grant was sent to it."""

    holds_until_s: float
    unanswered_until_s: float


def grant_sent(span: Span, closed_by_s: float, hold_s: float) -> Pending:
    """Notes that a grant goes out; it counts as taken until it is answered.

    Args:
      span: what is granted.
      closed_by_s: by then it has arrived, or its connection is closed.
      hold_s: how long it holds from its arrival.
    """
    pending = Pending(span.holds_until_s, span.unanswered_until_s)
    end_s = latest_end_s(closed_by_s, hold_s)
    span.holds_until_s = max(span.holds_until_s, end_s)
    span.unanswered_until_s = max(span.unanswered_until_s, end_s)
    return pending


def grant_never_sent(holder: Span | Former, pending: Pending) -> None:
    """Notes that no byte of a grant has left."""
    holder.holds_until_s = pending.holds_until_s
    holder.unanswered_until_s = pending.unanswered_until_s


def grant_answered(holder: Span | Former, pending: Pending) -> None:
    """Notes that a grant was answered; others may still be unanswered."""
    holder.unanswered_until_s = pending.unanswered_until_s


def grant_taken(span: Span, arrived_s: float, hold_s: float) -> None:
    """Notes that the owner has taken a grant, and so has seen the epoch."""
    span.holds_until_s = max(
        latest_end_s(arrived_s, hold_s), span.unanswered_until_s
    )
    span.earlier_until_s = 0.0


def note_regranted(former: Former, now_s: float, hold_s: float) -> None:
    """Notes that a former owner has answered a grant that was on its way."""
    former.regranted_s = now_s
    former.holds_until_s = latest_end_s(now_s, hold_s)
    former.released = False


def note_released(former: Former, sent_s: float) -> None:
    """Notes that a former owner has answered a release sent at `sent_s`."""
    if sent_s >= former.regranted_s:
        former.released = True


def settle(span: Span, handover: str | None) -> None:
    """Notes that the former owner is gone: the owner may be granted."""
    span.former = None
    span.handover = handover
    span.next_order_s = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlanPolicy:
    """When keys are worth moving.

    Attributes:
      least_gain_share: a move must lower the latency of all requests
        together by this part.
      key_price_share: each key that moves must add this part to that.
      moves: how many moves are planned at once.
      spans_limit: an upstream with so many spans gets no further one.
      least_load_share: each upstream is to have this part of an even load.
    """

    least_gain_share: float = 0.006
    key_price_share: float = 1e-6
    moves: int = 10
    spans_limit: int = 16
    least_load_share: float = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
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
        if use <= SATURATION:
            return running * (1 + _wait(use, self.slots))
        edge = SATURATION * self.slots * (1 + _wait(SATURATION, self.slots))
        return edge + (running - SATURATION * self.slots) * SATURATED_COST


def _wait(use: float, slots: int) -> float:
    """Returns the mean wait for a slot, in mean service times."""
    exponent = math.sqrt(2 * (slots + 1)) - 1
    return float(WAIT_FACTOR * use**exponent / (slots * (1 - use)))


class Weights:
    """How much each key is used, with sums over any span of keys."""

    def __init__(self, use: Mapping[int, float], base: float):
        """Sums up the use of keys.

        Args:
          use: the load of the keys that are used at all.
          base: what is added for each key.
        """
        self._keys = sorted(use)
        self._sums = [
            0.0,
            *itertools.accumulate(use[key] for key in self._keys),
        ]
        self._base = base

    def _below(self, key: int) -> float:
        """Returns the load of all keys below one."""
        return (
            self._base * key + self._sums[bisect.bisect_left(self._keys, key)]
        )

    def of(self, first: int, last: int) -> float:
        """Returns the load of keys `first` to `last`."""
        return self._below(last + 1) - self._below(first)

    def first_for(self, first: int, last: int, load: float) -> int:
        """Returns where the tail of a span with at most `load` begins."""
        wanted = self._below(last + 1) - load
        key = bisect.bisect_left(
            range(KEY_COUNT + 1), wanted, first, last + 1, key=self._below
        )
        return min(max(key, first), last)

    def last_for(self, first: int, last: int, load: float) -> int:
        """Returns where the head of a span with at most `load` ends."""
        wanted = self._below(first) + load
        end = bisect.bisect_right(
            range(KEY_COUNT + 1), wanted, first + 1, last + 2, key=self._below
        )
        return min(max(end - 2, first), last)


def plan(
    assignment: Assignment,
    capacities: Mapping[Life, Capacity],
    weights: Weights,
    policy: PlanPolicy,
) -> list[Move]:
    """Returns the moves that give each key an owner and lower latency.

    Args:
      assignment: as it is; it is not changed.
      capacities: the upstreams that may own keys.
      weights: the load of each key: requests under way at mean speed.
      policy: when keys are worth moving.
    """
    if not capacities:
        return []
    planner = _Planner(assignment, capacities, weights, policy)
    planner.place_orphans()
    planner.improve()
    return planner.moves


class _Planner:
    """The loads as the moves planned so far would leave them."""

    def __init__(
        self,
        assignment: Assignment,
        capacities: Mapping[Life, Capacity],
        weights: Weights,
        policy: PlanPolicy,
    ):
        self._capacities = capacities
        self._weights = weights
        self._policy = policy
        self._loads = dict.fromkeys(capacities, 0.0)
        self._spans: dict[Life, list[tuple[int, int]]]
        self._spans = {life: [] for life in capacities}
        self._orphans: list[tuple[int, int]] = []
        self._total = weights.of(0, KEY_COUNT - 1)
        self.moves: list[Move] = []
        for span in assignment.spans:
            self._count(span)

    def _count(self, span: Span) -> None:
        if span.owner in self._capacities:
            assert span.owner is not None
            self._loads[span.owner] += self._weights.of(span.first, span.last)
            if may_move(span):
                self._spans[span.owner].append((span.first, span.last))
        elif may_move(span):
            self._orphans.append((span.first, span.last))

    def _marginal(self, life: Life) -> float:
        """Returns what a little more load costs at an upstream."""
        capacity, load = self._capacities[life], self._loads[life]
        step = capacity.slots * MARGINAL_STEP_SHARE
        return (capacity.cost(load + step) - capacity.cost(load)) / step

    def _target(self) -> Life:
        """Returns the upstream that more load costs least at.

        One with next to no load goes first, or it would stay unknown.
        """
        least = self._total / len(self._loads) * self._policy.least_load_share
        idle = [life for life, load in self._loads.items() if load < least]
        return min(idle or self._loads, key=self._marginal)

    def place_orphans(self) -> None:
        """Gives keys without a usable owner away in pieces."""
        piece = self._total / len(self._loads) * ORPHAN_PIECE_SHARE
        for first, last in self._orphans:
            while first <= last:
                end = self._weights.last_for(first, last, piece)
                self._move(first, end, None, self._target())
                first = end + 1
        self.moves[:] = _joined(self.moves)

    def improve(self) -> None:
        """Moves keys while that lowers the latency of all together."""
        given_up: set[Life] = set()
        left = self._policy.moves
        while left > 0:
            sources = [
                life
                for life in self._loads
                if life not in given_up and self._spans[life]
            ]
            if not sources:
                return
            source = max(sources, key=self._marginal)
            best = self._best_piece(source)
            if best is None:
                given_up.add(source)
                continue
            self._move(best[0], best[1], source, best[2])
            left -= 1

    def _best_piece(self, source: Life) -> tuple[int, int, Life] | None:
        """Returns the piece of an upstream's keys that is best moved."""
        all_cost = self._all_cost()
        price = self._policy.key_price_share * all_cost
        best: tuple[int, int, Life] | None = None
        best_gain = self._policy.least_gain_share * all_cost
        for share in PIECE_SHARES:
            wanted = self._loads[source] * share
            for first, last in self._pieces(source, wanted):
                for to in self._targets(source, first, last):
                    gain = self._gain(first, last, source, to)
                    gain -= price * (last - first + 1)
                    if gain > best_gain:
                        best, best_gain = (first, last, to), gain
        return best

    def _targets(self, source: Life, first: int, last: int) -> set[Life]:
        """Returns the upstreams that are worth trying as a target.

        A single key that is much used is best on the fastest one, whatever
        else that one has at the moment: the next moves take that away.
        """
        targets = {self._target()}
        is_popular = self._weights.of(first, last) > POPULAR_LOAD_REQUESTS
        if is_popular and last - first < POPULAR_SPAN_KEYS:
            targets.add(min(self._capacities, key=self._speed_rank))
        return {
            life
            for life in targets
            if life != source
            and len(self._spans[life]) < self._policy.spans_limit
        }

    def _speed_rank(self, life: Life) -> float:
        capacity = self._capacities[life]
        return capacity.slowness / capacity.slots

    def _pieces(self, source: Life, wanted: float) -> Iterable[tuple[int, int]]:
        for first, last in self._spans[source]:
            yield self._weights.first_for(first, last, wanted), last
            yield first, self._weights.last_for(first, last, wanted)

    def _gain(self, first: int, last: int, source: Life, to: Life) -> float:
        load = self._weights.of(first, last)
        return self._cost_change(source, -load) + self._cost_change(to, load)

    def _cost_change(self, life: Life, load: float) -> float:
        capacity, before = self._capacities[life], self._loads[life]
        return capacity.cost(before) - capacity.cost(max(before + load, 0.0))

    def _all_cost(self) -> float:
        return sum(
            self._capacities[life].cost(load)
            for life, load in self._loads.items()
        )

    def _move(
        self, first: int, last: int, source: Life | None, to: Life
    ) -> None:
        load = self._weights.of(first, last)
        self._loads[to] += load
        if source is not None:
            self._loads[source] -= load
            self._spans[source] = _without(self._spans[source], first, last)
        self.moves.append(Move(first, last, to))


def _joined(moves: list[Move]) -> list[Move]:
    """Joins moves of neighbouring keys to the same upstream."""
    joined: list[Move] = []
    for move in moves:
        before = joined[-1] if joined else None
        if before and before.to == move.to and before.last + 1 == move.first:
            joined[-1] = Move(before.first, move.last, move.to)
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
