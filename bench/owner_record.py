"""Judges from upstreams' own records who held keys at the same time."""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import itertools

from standins import users_platform_upstream as upstream_module

# Grants that arrive this long after a daemon was thawed do not count.
THAW_S = 0.3
# A grant that is carried out this long after its arrival is late.
MAX_DELAY_S = 0.3


@dataclasses.dataclass
class Hold:
    """A time for which one incarnation held keys without a gap.

    Attributes:
      upstream: the incarnation.
      start_s: when it began to hold them.
      until_s: when it no longer held them.
      epoch: the last epoch under which it held them.
    """

    upstream: upstream_module.UsersPlatformUpstream
    start_s: float
    until_s: float
    epoch: int


@dataclasses.dataclass
class DoubleHold:
    """Keys that two incarnations held at the same time.

    Attributes:
      first: the lowest key.
      last: the highest key.
      start_s: when both held them.
      until_s: when one of them no longer did.
      holds: what both held.
      both_ran: whether both began requests for these keys in that time.
    """

    first: int
    last: int
    start_s: float
    until_s: float
    holds: tuple[Hold, Hold]
    both_ran: bool = False

    def runs_of(self, hold: Hold) -> list[upstream_module.ExecutedRequest]:
        """Returns what a holder began to run for these keys in that time."""
        return [
            run
            for run in hold.upstream.runs
            if run.key is not None
            and self.first <= run.key <= self.last
            and self.start_s <= run.at_s <= self.until_s
        ]


@dataclasses.dataclass(frozen=True)
class LowEpoch:
    """Keys taken under an epoch that is not above that of another holder."""

    first: int
    last: int
    upstream: str
    other: str
    epoch: int
    other_epoch: int
    taken_s: float


class OwnerRecord:
    """What incarnations of upstreams have held.

    Args:
      upstreams: all incarnations of one service.
      thawed_s: when daemons were thawed.
      counts_late_grants: whether grants count that were carried out late.
    """

    def __init__(
        self,
        upstreams: Sequence[upstream_module.UsersPlatformUpstream],
        thawed_s: Collection[float] = (),
        counts_late_grants: bool = True,
    ):
        self._upstreams = upstreams
        self._thawed_s = thawed_s
        self._counts_late_grants = counts_late_grants
        orders = [order for item in upstreams for order in item.orders]
        self._bounds = sorted(
            {order.first for order in orders}
            | {order.last + 1 for order in orders}
        )
        self._index = {key: index for index, key in enumerate(self._bounds)}

    def counts(self, grant: upstream_module.TakenGrant) -> bool:
        """Returns whether a grant counts."""
        is_late = grant.taken_s - grant.arrived_s > MAX_DELAY_S
        if is_late and not self._counts_late_grants:
            return False
        return not any(
            thawed_s <= grant.arrived_s <= thawed_s + THAW_S
            for thawed_s in self._thawed_s
        )

    def double_holds(self) -> list[DoubleHold]:
        """Returns where two incarnations held the same keys."""
        found: list[DoubleHold] = []
        for index, holds in enumerate(self._holds()):
            for one, other in itertools.combinations(holds, 2):
                start_s = max(one.start_s, other.start_s)
                until_s = min(one.until_s, other.until_s)
                if one.upstream is other.upstream or start_s >= until_s:
                    continue
                first, last = self._bounds[index], self._bounds[index + 1] - 1
                _add_double(
                    found,
                    DoubleHold(first, last, start_s, until_s, (one, other)),
                )
        for double in found:
            double.both_ran = all(map(double.runs_of, double.holds))
        return found

    def low_epochs(self) -> list[LowEpoch]:
        """Returns grants under epochs not above those of other holders."""
        grants = sorted(
            (
                (order, number)
                for number, upstream in enumerate(self._upstreams)
                for order in upstream.orders
                if isinstance(order, upstream_module.TakenGrant)
                and self.counts(order)
                and order.taken_s < order.until_s
            ),
            key=lambda item: item[0].taken_s,
        )
        # The highest epoch by part of the keys and incarnation.
        seen: list[dict[int, int]] = [{} for _ in self._bounds]
        found: dict[tuple[int, int, int], LowEpoch] = {}
        for grant, number in grants:
            is_late = grant.taken_s - grant.arrived_s > MAX_DELAY_S
            for part in self._parts(grant):
                epochs = seen[part]
                is_same = epochs.get(number, 0) >= grant.epoch
                for other, epoch in epochs.items():
                    if (
                        other == number
                        or epoch < grant.epoch
                        or is_same
                        or is_late
                    ):
                        continue
                    found.setdefault(
                        (number, other, grant.epoch),
                        LowEpoch(
                            grant.first,
                            grant.last,
                            self._upstreams[number].name,
                            self._upstreams[other].name,
                            grant.epoch,
                            epoch,
                            grant.taken_s,
                        ),
                    )
                epochs[number] = max(epochs.get(number, 0), grant.epoch)
        return list(found.values())

    def _parts(
        self,
        order: upstream_module.TakenGrant | upstream_module.TakenRelease,
    ) -> range:
        return range(self._index[order.first], self._index[order.last + 1])

    def _holds(self) -> list[list[Hold]]:
        """Returns the holds of each part of the keys between two bounds."""
        parts: list[list[Hold]] = [[] for _ in self._bounds]
        for upstream in self._upstreams:
            current: dict[int, Hold] = {}
            for order in upstream.orders:
                if isinstance(order, upstream_module.TakenRelease):
                    for part in self._parts(order):
                        if part in current:
                            hold = current.pop(part)
                            hold.until_s = min(hold.until_s, order.taken_s)
                    continue
                if order.until_s <= order.taken_s or not self.counts(order):
                    continue
                for part in self._parts(order):
                    held = current.get(part)
                    if held is None or held.until_s < order.taken_s:
                        held = Hold(
                            upstream, order.taken_s, order.until_s, order.epoch
                        )
                        current[part] = held
                        parts[part].append(held)
                    held.until_s = max(held.until_s, order.until_s)
                    held.epoch = order.epoch
        for holds in parts:
            for hold in holds:
                if hold.upstream.ended_s is not None:
                    hold.until_s = min(hold.until_s, hold.upstream.ended_s)
        return parts


def _add_double(found: list[DoubleHold], double: DoubleHold) -> None:
    """Adds a double hold, or extends the one of the keys below it."""
    for earlier in found:
        if (
            earlier.last + 1 == double.first
            and abs(earlier.start_s - double.start_s) < 0.01
            and abs(earlier.until_s - double.until_s) < 0.01
            and all(
                one.upstream is other.upstream
                for one, other in zip(earlier.holds, double.holds, strict=True)
            )
        ):
            earlier.last = double.last
            return
    found.append(double)
