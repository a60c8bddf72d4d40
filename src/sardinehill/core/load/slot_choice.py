"""Chooses which waiting request gets the next slot, and at which upstream."""

import math

from sardinehill.core.load import group_upstreams
from sardinehill.core.load import slot_demand
from sardinehill.core.load import slot_messages
from sardinehill.core.load import slot_queue
from sardinehill.core.load import slot_upstream
from sardinehill.core.load import slot_waits

# The last slot is reserved if at least this many more urgent requests are
# expected at the upstream that could not wait for the next slot.
MIN_EXPECTED_REQUESTS = 0.5

_Waiting = slot_queue.WaitingRequest
_Upstream = slot_upstream.SlotUpstream


class SlotChoice:
    """Chooses requests and upstreams by the state of a scheduler."""

    def __init__(
        self,
        queue: slot_queue.SlotQueue,
        upstreams: group_upstreams.GroupUpstreams,
        demand: slot_demand.SlotDemand,
    ) -> None:
        """Creates a choice for one group, whose state it only reads.

        Args:
          queue: the waiting requests.
          upstreams: the upstreams of the group.
          demand: the demand for their slots.
        """
        self._queue = queue
        self._upstreams = upstreams
        self._demand = demand

    def pick(
        self, open_upstreams: list[_Upstream], now_s: float
    ) -> tuple[_Waiting, _Upstream] | None:
        """Returns the request that gets the next slot, and its upstream."""
        priorities = self._queue.priorities()
        if len(priorities) > 1:
            for priority in priorities:
                if self._demand.overdue_grants(priority, now_s) == 0:
                    continue
                for waiting in self._queue.of_priority(priority):
                    upstream = self._choose(waiting, open_upstreams, now_s)
                    if upstream is not None:
                        return waiting, upstream
        for priority in priorities:
            # If a slot is reserved from a request, so it is from longer ones.
            reserved_work_s = math.inf
            for waiting in self._queue.of_priority(priority):
                work_s = waiting.request.work_s
                if work_s >= reserved_work_s:
                    continue
                upstream = self._choose(waiting, open_upstreams, now_s)
                if upstream is None:
                    continue
                if not self._reserves_last_slot(
                    waiting, upstream, open_upstreams, now_s
                ):
                    return waiting, upstream
                reserved_work_s = work_s
        return None

    def _choose(
        self,
        waiting: _Waiting,
        open_upstreams: list[_Upstream],
        now_s: float,
    ) -> _Upstream | None:
        """Returns the upstream that will answer soonest, None if none may."""
        request = waiting.request
        only = request.group.upstream
        best = None
        best_ratio = math.inf
        for upstream in open_upstreams:
            if only and upstream.name != only:
                continue
            if upstream.name in request.avoided:
                continue
            if not upstream.fits(request.body_bytes):
                continue
            ratio = upstream.cost_ratio(now_s)
            if ratio < best_ratio:
                best, best_ratio = upstream, ratio
        if best is None or len(self._upstreams.usable) < 2:
            return best
        end_s = now_s + request.work_s * best_ratio
        if end_s <= waiting.objective_s or waiting.objective_s <= now_s:
            return best
        is_better_soon = any(
            self._meets_objective(waiting, upstream, now_s)
            for upstream in self._upstreams.candidates(waiting.request)
            if upstream not in open_upstreams
        )
        return None if is_better_soon else best

    def _meets_objective(
        self, waiting: _Waiting, upstream: _Upstream, now_s: float
    ) -> bool:
        """Returns whether a busy upstream will be free in time."""
        duration_s = waiting.request.work_s * upstream.slowness(now_s)
        if now_s + duration_s > waiting.objective_s:
            return False
        free_s = min(upstream.free_times_s(now_s, 1))
        return free_s + duration_s <= waiting.objective_s

    def _reserves_last_slot(
        self,
        waiting: _Waiting,
        upstream: _Upstream,
        open_upstreams: list[_Upstream],
        now_s: float,
    ) -> bool:
        """Returns whether a slot is reserved for more urgent requests.

        It is if these would have to wait too long for the next slot after
        it, and if one of them is expected meanwhile.
        """
        request = waiting.request
        duration_s = request.work_s * upstream.slowness(now_s)
        if not self._is_urgent_expected(request, duration_s, upstream, now_s):
            return False
        free_slots = 0.0
        for item in open_upstreams:
            free_slots += max(0.0, item.free_slots(now_s))
            # One more than the request takes.
            if free_slots >= 1.5:
                return False
        wait_s = slot_waits.next_wait_s(
            self._upstreams.usable, upstream, duration_s, now_s
        )
        return self._is_urgent_expected(request, wait_s, upstream, now_s)

    def _is_urgent_expected(
        self,
        request: slot_messages.SlotRequest,
        wait_s: float,
        upstream: _Upstream,
        now_s: float,
    ) -> bool:
        """Returns whether a request is expected that cannot wait so long."""
        rate = self._demand.more_urgent_rate(
            request.priority, wait_s, upstream.slowness(now_s), now_s
        )
        return rate * wait_s >= MIN_EXPECTED_REQUESTS * len(
            self._upstreams.usable
        )

    def choose_free(
        self, waiting: _Waiting, candidates: list[_Upstream], now_s: float
    ) -> _Upstream | None:
        """Returns a candidate with a slot that no other request needs."""
        free = [
            upstream
            for upstream in candidates
            if upstream.has_room(now_s, may_queue=False)
        ]
        if not free:
            return None
        upstream = self._choose(waiting, free, now_s)
        if upstream is None or self._reserves_last_slot(
            waiting, upstream, free, now_s
        ):
            return None
        return upstream
