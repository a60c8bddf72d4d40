"""Tracks the granted slots, the load and the speed of one upstream."""

import collections
from collections.abc import Hashable
import dataclasses
import heapq
import math

from sardinehill.core.load import service_times
from sardinehill.core.load import short_queue
from sardinehill.core.load import slot_bounds
from sardinehill.core.load import slot_messages
from sardinehill.core.load import slot_queue
from sardinehill.core.load import upstream_state

# A scheduler that knows nothing of an upstream counts all of its slots as busy,
# with a weight that decays over this time.
ASSUMED_BUSY_S = 0.4
# An upstream that has refused or reset a request gets no queue for this time.
NO_QUEUE_S = 5.0
# The bodies that are at one upstream have at most this size in total.
MAX_BODY_BYTES = 16 * 1024 * 1024
# An upstream gets no requests after this many daemons failed to reach it.
# Failures of a single daemon may be its own.
MIN_UNREACHED_DAEMONS = 2
# The part of its duration that a request still needs if it takes longer than
# expected.
OVERDUE_RATIO = 0.1
# The weight of the earlier value when a request's work is averaged in.
WORK_RETENTION_RATIO = 0.9
# The part of a request's duration by which an upstream is less preferred while
# all of its slots are busy. It spreads requests over idle upstreams.
BUSY_COST_RATIO = 0.05
# The estimated requests may exceed the limit by less than this, as the load
# from others decays continuously.
_ROUNDING = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class Grant:
    """A granted slot.

    Attributes:
      key: identifies the request.
      upstream: the id of the upstream.
      work_s: the usual time that the request takes.
      route_id: identifies its route.
      priority: its priority.
      body_bytes: the length of its body.
      granted_s: when the slot was granted.
      started_s: when the upstream is thought to have begun to run it; None
        while it is in the upstream's queue.
      expires_s: when the slot counts as lost.
    """

    key: slot_queue.RequestKey
    upstream: str
    work_s: float
    route_id: int
    priority: int
    body_bytes: int
    granted_s: float
    started_s: float | None
    expires_s: float


class SlotUpstream:
    """One upstream of a scheduler's group."""

    def __init__(self, name: str, slots: int, now_s: float):
        """Creates the state of an upstream of which nothing is known.

        Args:
          name: its id.
          slots: how many requests it runs at once; positive.
          now_s: the current time.
        """
        self.name = name
        self.state = upstream_state.UpstreamState(
            slots=slots,
            other_requests=float(slots),
            load_reported_s=now_s,
            load_report_ttl_s=ASSUMED_BUSY_S,
        )
        self.is_usable = True
        self.is_cold = False
        # Whether its load or speed is known from an answer.
        self.is_measured = False
        self.grants: dict[slot_queue.RequestKey, Grant] = {}
        self._unstarted: collections.deque[Grant] = collections.deque()
        self._body_bytes = 0
        self._mean_work_s: float | None = None
        self._no_queue_until_s = now_s + ASSUMED_BUSY_S
        self._unreached_by: set[Hashable] = set()
        # The last result of `slowness`, and the time that it is of.
        self._slowness = 1.0
        self._slowness_at_s = math.nan

    def set_info(self, slots: int, is_cold: bool) -> None:
        """Sets how many slots it has and whether it is cold."""
        self.state.slots = slots
        self.is_cold = is_cold

    def others(self, now_s: float) -> float:
        """Returns the estimated number of requests of others."""
        return self.state.estimated_requests(now_s) - self.state.in_flight

    def free_slots(self, now_s: float) -> float:
        """Returns the estimated number of free slots; may be negative."""
        return self.state.slots - self.state.estimated_requests(now_s)

    def has_room(self, now_s: float, may_queue: bool) -> bool:
        """Returns whether one more request may be granted.

        Args:
          now_s: the current time.
          may_queue: whether a short queue is allowed beyond the slots.
        """
        state = self.state
        if not self.is_usable or now_s < state.blocked_until_s:
            return False
        if state.in_flight >= state.slots + short_queue.max_length(state.slots):
            return False
        room = state.slots - state.estimated_requests(now_s)
        if may_queue and room < _ROUNDING:
            room += self.queue_slots(now_s)
        return room >= _ROUNDING

    def queue_slots(self, now_s: float) -> int:
        """Returns how many requests may be there beyond its slots."""
        if self.is_cold or now_s < self._no_queue_until_s:
            return 0
        if self._mean_work_s is None:
            return 0
        duration_s = self._mean_work_s * self.slowness(now_s)
        return short_queue.length(self.state.slots, duration_s)

    def queue_wait_s(self, now_s: float) -> float:
        """Returns how long the last request of a full queue waits there."""
        state = self.state
        if self._mean_work_s is None or self.free_slots(now_s) >= 1.0:
            return 0.0
        duration_s = self._mean_work_s * self.slowness(now_s)
        return self.queue_slots(now_s) * duration_s / state.slots

    def fits(self, body_bytes: int) -> bool:
        """Returns whether a body may be sent beside those that are there."""
        return (
            self._body_bytes == 0
            or body_bytes == 0
            or self._body_bytes + body_bytes <= MAX_BODY_BYTES
        )

    def slowness(self, now_s: float) -> float:
        """Returns how long work takes there, relative to the usual time."""
        if now_s == self._slowness_at_s:
            return self._slowness
        state = self.state
        age_s = now_s - state.load_reported_s
        if age_s < upstream_state.MIN_LOAD_REPORT_TTL_S:
            host_slowness = state.host_slowness
        else:
            host_slowness = state.mean_host_slowness or 1.0
        self._slowness = min(
            max(state.slowness * host_slowness, slot_bounds.MIN_SLOWNESS),
            slot_bounds.MAX_SLOWNESS,
        )
        self._slowness_at_s = now_s
        return self._slowness

    def lasting_slowness(self) -> float:
        """Returns the slowness without short changes of its host's speed.

        Hosts are slow for short times only. Requests that have more time than
        that must not be refused because of it.
        """
        state = self.state
        return min(
            max(
                state.slowness * (state.mean_host_slowness or 1.0),
                slot_bounds.MIN_SLOWNESS,
            ),
            slot_bounds.MAX_SLOWNESS,
        )

    def cost_ratio(self, now_s: float) -> float:
        """Returns the expected time of one more request, relative to its work.

        A failure counts as time.
        """
        state = self.state
        requests = state.estimated_requests(now_s)
        excess = max(0.0, requests + 1 - state.slots)
        busy_ratio = min(requests / state.slots, 1.0)
        ratio = self.slowness(now_s) * (1 + excess / state.slots)
        ratio *= 1 + BUSY_COST_RATIO * busy_ratio
        ratio *= 1 + upstream_state.FAILURE_COST_FACTOR * state.failure_ratio
        return (
            ratio * upstream_state.COLD_COST_FACTOR if self.is_cold else ratio
        )

    def grant(self, grant: Grant, now_s: float) -> None:
        """Records a granted slot."""
        if self.free_slots(now_s) >= _ROUNDING:
            grant.started_s = now_s
        else:
            self._unstarted.append(grant)
        self.grants[grant.key] = grant
        self._body_bytes += grant.body_bytes
        self.state.record_send()
        if self._mean_work_s is None:
            self._mean_work_s = grant.work_s
        self._mean_work_s += (1 - WORK_RETENTION_RATIO) * (
            grant.work_s - self._mean_work_s
        )

    def end(self, grant: Grant, now_s: float) -> None:
        """Records that a granted slot is free again."""
        del self.grants[grant.key]
        self._body_bytes -= grant.body_bytes
        self.state.record_end()
        while self._unstarted:
            first = self._unstarted.popleft()
            if first.key not in self.grants:
                continue
            if grant.started_s is None:
                self._unstarted.appendleft(first)
            else:
                first.started_s = now_s
            return

    def record_load(
        self,
        load: slot_messages.LoadReport,
        includes_unknown: bool,
        now_s: float,
    ) -> None:
        """Records the load that the upstream stated in an answer.

        It counts the answered request itself, so this is called before its slot
        is released.

        Args:
          load: the report.
          includes_unknown: whether the answered request is not one of `grants`.
          now_s: the current time.
        """
        self.is_measured = True
        self._slowness_at_s = math.nan
        self.state.record_load_report(
            max(0, load.running - includes_unknown),
            load.waiting,
            load.slowness,
            self._mean_work_s or 0.0,
            now_s,
        )

    def record_latency(
        self,
        grant: Grant,
        latency_s: float,
        load: slot_messages.LoadReport | None,
        now_s: float,
    ) -> float | None:
        """Records the latency of an answer if it shows the upstream's speed.

        The wait behind other granted requests is subtracted. A latency that
        includes a wait behind requests of others shows nothing.

        Returns:
          How long the request would have taken at an upstream of usual speed,
          by the speed known before; None if the answer shows nothing.
        """
        if grant.started_s is None or self.others(now_s) >= 1.0:
            return None
        latency_s -= grant.started_s - grant.granted_s
        if latency_s <= 0.0:
            return None
        self.is_measured = True
        self._slowness_at_s = math.nan
        host_slowness = 1.0 if load is None else load.slowness
        work_s = latency_s / (self.state.slowness * host_slowness)
        ratio = latency_s / (grant.work_s * host_slowness)
        ratio = min(ratio, service_times.MAX_SLOWNESS_RATIO)
        self.state.slowness += (1 - upstream_state.LATENCY_RETENTION_RATIO) * (
            ratio - self.state.slowness
        )
        return work_s

    def record_failure(self) -> None:
        """Records a failed answer or a broken connection."""
        ratio = upstream_state.FAILURE_RETENTION_RATIO
        self.state.failure_ratio *= ratio
        self.state.failure_ratio += 1 - ratio

    def record_success(self) -> None:
        """Records an answer that is not a failure."""
        self.state.failure_ratio *= upstream_state.FAILURE_RETENTION_RATIO

    def record_response(self, now_s: float) -> None:
        """Records that a daemon had a response."""
        self._unreached_by.clear()
        if self.state.consecutive_unreachable:
            self.state.record_reached()
            self.state.blocked_until_s = now_s

    def record_unreachable(self, daemon: Hashable, now_s: float) -> None:
        """Records that a daemon could not reach the upstream."""
        if len(self._unreached_by) < MIN_UNREACHED_DAEMONS:
            self._unreached_by.add(daemon)
        if len(self._unreached_by) < MIN_UNREACHED_DAEMONS:
            return
        # Failures of requests that were sent together count once.
        if now_s >= self.state.blocked_until_s:
            self.state.record_unreachable(now_s)

    def record_refusal(
        self, load: slot_messages.LoadReport | None, now_s: float
    ) -> None:
        """Records that it refused a request as if it were full.

        Faulty upstreams refuse requests while slots are free. This counts as a
        failure: if the slots counted as busy, requests that the upstream would
        serve would be held back as well.

        Args:
          load: the load that it stated in the refusal, or None.
          now_s: the current time.
        """
        if load is not None and load.running < self.state.slots:
            self.record_failure()
            return
        self._no_queue_until_s = now_s + NO_QUEUE_S
        self.state.record_full(now_s)
        self._add_others(
            max(0.0, self.free_slots(now_s)),
            upstream_state.MIN_LOAD_REPORT_TTL_S,
            now_s,
        )

    def record_reset(self, now_s: float) -> None:
        """Records that it reset a connection, which long queues cause."""
        self._no_queue_until_s = now_s + NO_QUEUE_S
        self.state.record_reset(now_s, on_new_connection=False)

    def record_abandoned(self, grant: Grant, now_s: float) -> None:
        """Records that a request without a caller may still run.

        It counts as load from others until the next report.
        """
        self._add_others(
            1.0,
            max(
                upstream_state.MIN_LOAD_REPORT_TTL_S,
                self.remaining_s(grant, now_s),
            ),
            now_s,
        )

    def remaining_s(self, grant: Grant, now_s: float) -> float:
        """Returns how long a granted request is expected to take from now."""
        duration_s = grant.work_s * self.lasting_slowness()
        elapsed_s = 0.0 if grant.started_s is None else now_s - grant.started_s
        return max(duration_s - elapsed_s, OVERDUE_RATIO * duration_s)

    def free_times_s(self, now_s: float, max_free: int) -> list[float]:
        """Returns when each of its slots is expected to be free for new work.

        Args:
          now_s: the current time.
          max_free: the result has at most this many slots that are free now.
        """
        slots = self.state.slots
        slowness = self.lasting_slowness()
        times_s = []
        queued_s = []
        for grant in self.grants.values():
            if grant.started_s is None:
                queued_s.append(grant.work_s * slowness)
            else:
                times_s.append(now_s + self.remaining_s(grant, now_s))
        # Load that is only assumed does not refuse requests.
        others = round(self.others(now_s)) if self.is_measured else 0
        mean_s = (self._mean_work_s or 0.0) * slowness
        times_s += [now_s + mean_s / 2] * min(others, slots)
        times_s += [now_s] * min(slots - len(times_s), max_free)
        heapq.heapify(times_s)
        while len(times_s) > slots:
            heapq.heappop(times_s)
        for duration_s in queued_s:
            heapq.heapreplace(times_s, times_s[0] + duration_s)
        blocked_until_s = self.state.blocked_until_s
        return [max(time_s, blocked_until_s) for time_s in times_s]

    def _add_others(self, count: float, ttl_s: float, now_s: float) -> None:
        state = self.state
        state.other_requests = self.others(now_s) + count
        state.load_reported_s = now_s
        state.load_report_ttl_s = min(
            ttl_s, upstream_state.MAX_LOAD_REPORT_TTL_S
        )
