"""Measures the demand of each priority for the slots of one group."""

import dataclasses
import math

from sardinehill.core.load import short_queue
from sardinehill.core.load import slot_messages

# The time constant of the rate at which requests arrive.
RATE_TIME_S = 2.0
# The time constant of the rate at which work arrives that is granted slots. It
# counts from its arrival, so that a burst that waits is not taken for a rate.
WORK_RATE_TIME_S = 1.0
# Of the work that arrives at once, only what all slots do in this time counts
# for the rate, as a larger burst does not last.
MAX_BURST_S = 0.1
# The time constant of the shares that are granted: a request counts for 10 s,
# with a weight that falls off.
SHARE_TIME_S = 5.0
# A priority whose granted share is below this part of the share of all goes
# first for the next slot. It is above a quarter, as the next slot comes late.
MIN_SHARE_RATIO = 0.35
# The time from a grant to the arrival of the request, and from the answer to
# the arrival of the release or to the caller.
TRANSIT_S = short_queue.TURNAROUND_S / 2
# A request may take this multiple of its expected duration.
DURATION_MARGIN = 1.25
# The weight of the earlier mean when a request's times are averaged in.
MEAN_RETENTION_RATIO = 0.9


class DecayingSum:
    """A sum whose terms lose their weight exponentially with age."""

    __slots__ = ("_sum", "_time_constant_s", "_updated_s")

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._sum = 0.0
        self._updated_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Adds a term."""
        self._sum = self.at(now_s) + amount
        self._updated_s = now_s

    def at(self, now_s: float) -> float:
        """Returns the sum at a time."""
        if self._sum == 0.0:
            return 0.0
        age_s = max(0.0, now_s - self._updated_s)
        return self._sum * math.exp(-age_s / self._time_constant_s)

    def rate(self, now_s: float) -> float:
        """Returns the terms added in a second."""
        return self.at(now_s) / self._time_constant_s


def _rate_sum() -> DecayingSum:
    return DecayingSum(RATE_TIME_S)


def _work_sum() -> DecayingSum:
    return DecayingSum(WORK_RATE_TIME_S)


def _share_sum() -> DecayingSum:
    return DecayingSum(SHARE_TIME_S)


@dataclasses.dataclass(slots=True)
class PriorityDemand:
    """The demand of one priority.

    Attributes:
      arrivals: its requests.
      granted_work: the work in seconds of those that were granted a slot.
      counted_until_s: the end of the time in which the slots do the work that
        was counted.
      work_s: the mean work of its requests.
      objective_s: the mean time from their arrival to their objective.
      granted: its requests that were granted a slot.
      decided: its requests that were granted a slot or refused.
    """

    arrivals: DecayingSum = dataclasses.field(default_factory=_rate_sum)
    granted_work: DecayingSum = dataclasses.field(default_factory=_work_sum)
    counted_until_s: float = -math.inf
    work_s: float = 0.0
    objective_s: float = 0.0
    granted: DecayingSum = dataclasses.field(default_factory=_share_sum)
    decided: DecayingSum = dataclasses.field(default_factory=_share_sum)


class SlotDemand:
    """The demand of all priorities for the slots of one group."""

    def __init__(self) -> None:
        self._priorities: dict[int, PriorityDemand] = {}
        self._granted = _share_sum()
        self._decided = _share_sum()

    def record_arrival(
        self, request: slot_messages.SlotRequest, now_s: float
    ) -> None:
        """Records that a request has arrived."""
        demand = self._priorities.get(request.priority)
        if demand is None:
            demand = PriorityDemand(
                work_s=request.work_s, objective_s=request.objective_left_s
            )
            self._priorities[request.priority] = demand
        demand.arrivals.add(1.0, now_s)
        if not request.has_returned:
            weight = 1 - MEAN_RETENTION_RATIO
            demand.work_s += weight * (request.work_s - demand.work_s)
            demand.objective_s += weight * (
                request.objective_left_s - demand.objective_s
            )

    def record_grant(
        self,
        request: slot_messages.SlotRequest,
        arrived_s: float,
        work_rate: float,
        now_s: float,
    ) -> None:
        """Records that a request was granted a slot.

        Args:
          request: the request.
          arrived_s: when it arrived.
          work_rate: the seconds of work that all slots do in a second.
          now_s: the current time.
        """
        demand = self._priorities[request.priority]
        if demand.counted_until_s <= arrived_s:
            earliest_s = max(demand.counted_until_s, arrived_s - MAX_BURST_S)
            demand.counted_until_s = earliest_s + request.work_s / work_rate
            weight = math.exp((arrived_s - now_s) / WORK_RATE_TIME_S)
            demand.granted_work.add(request.work_s * weight, now_s)
        demand.granted.add(1.0, now_s)
        demand.decided.add(1.0, now_s)
        self._granted.add(1.0, now_s)
        self._decided.add(1.0, now_s)

    def record_refusal(self, priority: int, now_s: float) -> None:
        """Records that a request was refused as its time does not suffice."""
        self._priorities[priority].decided.add(1.0, now_s)
        self._decided.add(1.0, now_s)

    def overdue_grants(self, priority: int, now_s: float) -> int:
        """Returns how many requests of a priority go before all others.

        Args:
          priority: the priority.
          now_s: the current time.

        Returns:
          The grants that the priority lacks to the smallest share that it is
          due; 0 if it has that share.
        """
        demand = self._priorities.get(priority)
        decided = self._decided.at(now_s)
        if demand is None or decided <= 0.0:
            return 0
        due_ratio = MIN_SHARE_RATIO * self._granted.at(now_s) / decided
        lacking = due_ratio * demand.decided.at(now_s)
        lacking -= demand.granted.at(now_s)
        if lacking <= 0.0:
            return 0
        return math.ceil(lacking / (1.0 - due_ratio))

    def work_rates(self, now_s: float) -> dict[int, float]:
        """Returns the work of each priority that is expected to go on arriving.

        Args:
          now_s: the current time.

        Returns:
          Seconds of work in a second by priority.
        """
        return {
            priority: demand.granted_work.rate(now_s)
            for priority, demand in self._priorities.items()
        }

    def more_urgent_rate(
        self, priority: int, wait_s: float, slowness: float, now_s: float
    ) -> float:
        """Returns the rate of more urgent requests that cannot wait so long.

        Args:
          priority: those of lower numbers are more urgent.
          wait_s: how long they would have to wait.
          slowness: how long work takes, relative to the usual time.
          now_s: the current time.
        """
        rate = 0.0
        for other, demand in self._priorities.items():
            if other >= priority:
                continue
            needed_s = wait_s + demand.work_s * slowness
            needed_s = needed_s * DURATION_MARGIN + 2 * TRANSIT_S
            if needed_s > demand.objective_s:
                rate += demand.arrivals.rate(now_s)
        return rate
