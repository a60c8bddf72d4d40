"""Decides which waiting request gets the next slot of a group of upstreams."""

import collections
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses
import heapq
import math

from sardinehill.core.load import group_upstreams
from sardinehill.core.load import slot_bounds
from sardinehill.core.load import slot_choice
from sardinehill.core.load import slot_demand
from sardinehill.core.load import slot_messages
from sardinehill.core.load import slot_queue
from sardinehill.core.load import slot_upstream
from sardinehill.core.load import slot_waits
from sardinehill.core.load import slot_work

# A slot counts as lost this long after the deadline of its request.
LOST_SLOT_S = 0.5
# Waits are estimated again after this time multiplied by the number of waiting
# and granted requests, which bounds the CPU time that estimates take.
ESTIMATE_INTERVAL_S = 50e-6
# While requests wait, a decision is due at least this often.
MAX_DECISION_INTERVAL_S = 0.02
# The ids of ended requests are remembered for this time, so that a message that
# arrives late or twice changes nothing.
ENDED_RETENTION_S = 5.0
# At most this many requests wait for one group.
MAX_WAITING = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What a daemon is told about one of its requests.

    Attributes:
      daemon: the sender of the request.
      message: the decision.
    """

    daemon: Hashable
    message: (
        slot_messages.SlotGrant
        | slot_messages.SlotRefusal
        | slot_messages.SlotQueued
    )


@dataclasses.dataclass(frozen=True, slots=True)
class SlotStatus:
    """The state of a scheduler, for metrics.

    Attributes:
      granted: the slots that are granted now.
      waiting: the requests that wait now.
      granted_total: all slots that were granted.
      lost_total: the granted slots that were never released.
      refused_total: all refusals by reason and priority.
    """

    granted: int
    waiting: int
    granted_total: int
    lost_total: int
    refused_total: dict[tuple[slot_messages.SlotRefusalReason, int], int]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUsage:
    """Who uses a group's slots, for logs.

    Attributes:
      held: the requests that hold a slot, by priority.
      waiting: the requests that wait for one, by priority.
      work_rates: the seconds of work that were granted in a second lately, by
        priority.
      capacity: the seconds of work that the upstreams can do in a second.
    """

    held: dict[int, int]
    waiting: dict[int, int]
    work_rates: dict[int, float]
    capacity: float


_Waiting = slot_queue.WaitingRequest
_Upstream = slot_upstream.SlotUpstream


class SlotScheduler:
    """Grants the slots of one group of upstreams.

    Requests and releases are recorded by `submit` and `release`. Decisions are
    made by `decide`, which is to be called after each batch of them and at the
    time that `next_decision_s` returns.
    """

    def __init__(
        self,
        find_upstream: Callable[[str], group_upstreams.UpstreamInfo | None],
    ) -> None:
        """Creates a scheduler that has granted nothing.

        Args:
          find_upstream: returns what is known of an upstream, or None if it is
            not usable.
        """
        self._bounds = slot_bounds.Bounds()
        self._is_first = True
        self._upstreams = group_upstreams.GroupUpstreams(
            find_upstream, self._bounds
        )
        self._queue = slot_queue.SlotQueue()
        self._demand = slot_demand.SlotDemand()
        self._choice = slot_choice.SlotChoice(
            self._queue, self._upstreams, self._demand
        )
        self._work = slot_work.SlotWork()
        self._retries = slot_waits.RetryTimes()
        self._new: list[_Waiting] = []
        self._only_if_free: list[_Waiting] = []
        self._grants: dict[slot_queue.RequestKey, slot_upstream.Grant] = {}
        self._expiries: list[tuple[float, int, slot_upstream.Grant]] = []
        self._ended_s: dict[slot_queue.RequestKey, float] = {}
        self._estimated_s = -math.inf
        self._decided_s = -math.inf
        self._last_number = 0
        self._granted_total = 0
        self._lost_total = 0
        self._refused_total: collections.Counter[
            tuple[slot_messages.SlotRefusalReason, int]
        ] = collections.Counter()

    def set_is_first(self, is_first: bool) -> None:
        """Sets whether no other daemon is ranked before for this group.

        A scheduler that is not first grants no queue beyond the slots.
        """
        self._is_first = is_first

    def set_upstreams(self, ids: Iterable[str], now_s: float) -> None:
        """Sets the members of an undivided group."""
        self._upstreams.set_members(ids, now_s)

    def submit(
        self,
        daemon: Hashable,
        request: slot_messages.SlotRequest,
        now_s: float,
    ) -> None:
        """Records a request for a slot.

        A request that was submitted before changes nothing.

        Args:
          daemon: identifies the sender.
          request: the request.
          now_s: the current time.
        """
        key = (daemon, request.request_id)
        if key in self._queue or key in self._grants or key in self._ended_s:
            return
        request = self._bounds.request(request)
        request = dataclasses.replace(
            request,
            work_s=self._work.work_s(request.route_id, request.work_s),
        )
        self._last_number += 1
        waiting = _Waiting(
            daemon,
            request,
            self._last_number,
            now_s,
            now_s + request.time_left_s,
            now_s + request.objective_left_s,
        )
        if request.group.upstream:
            self._upstreams.get_or_add(request.group.upstream, now_s)
        if request.only_if_free:
            self._ended_s[key] = now_s
            self._only_if_free.append(waiting)
            return
        self._demand.record_arrival(request, now_s)
        self._queue.add(waiting, now_s)
        self._new.append(waiting)
        if len(self._queue) > MAX_WAITING:
            # The next decision refuses it, as its deadline has passed.
            self._queue.set_deadline(waiting, now_s)

    def release(
        self,
        daemon: Hashable,
        release: slot_messages.SlotRelease,
        now_s: float,
    ) -> None:
        """Records the end of a request, and the load that it reports.

        Args:
          daemon: identifies the sender.
          release: the end.
          now_s: the current time.
        """
        key = (daemon, release.request_id)
        outcome = release.outcome
        waiting = self._queue.get(key)
        if waiting is not None:
            if outcome == slot_messages.SlotOutcome.UNUSED:
                self._queue.remove(waiting)
                self._ended_s[key] = now_s
            return
        grant = self._grants.get(key)
        if grant is not None and release.upstream not in ("", grant.upstream):
            # The outcome is that of a request that was sent elsewhere.
            self._end(grant, now_s)
            grant = None
        name = release.upstream if grant is None else grant.upstream
        upstream = self._upstreams.get_or_add(name, now_s)
        if upstream is None:
            return
        load = self._bounds.load(name, release.load)
        if load is not None:
            upstream.record_load(load, grant is None, now_s)
        if grant is not None:
            latency_s = self._bounds.latency(name, release.latency_s)
            if outcome == slot_messages.SlotOutcome.ANSWERED and latency_s:
                work_s = upstream.record_latency(grant, latency_s, load, now_s)
                if work_s is not None:
                    self._work.record_answer(grant.route_id, work_s)
            self._end(grant, now_s)
            _record_outcome(upstream, grant, outcome, load, now_s)

    def remove_daemon(self, daemon: Hashable, now_s: float) -> None:
        """Records that the link of a daemon was lost.

        Its requests no longer wait. Its slots count for the time that they are
        expected to need, as its requests may still run.

        Args:
          daemon: identifies the daemon.
          now_s: the current time.
        """
        self._queue.remove_daemon(daemon)
        self._only_if_free = [
            waiting
            for waiting in self._only_if_free
            if waiting.daemon != daemon
        ]
        for grant in self._grants.values():
            if grant.key[0] != daemon:
                continue
            upstream = self._upstreams[grant.upstream]
            duration_s = grant.work_s * upstream.slowness(now_s)
            if now_s + duration_s < grant.expires_s:
                grant.expires_s = now_s + duration_s
                self._push_expiry(grant)

    def decide(self, now_s: float) -> list[Decision]:
        """Makes the decisions that are due and returns them.

        Args:
          now_s: the current time.
        """
        decisions: list[Decision] = []
        self._decided_s = now_s
        self._expire(now_s)
        self._upstreams.refresh_if_due(now_s)
        if self._queue:
            self._queue.update_classes(
                self._upstreams.min_slowness,
                self._upstreams.min_queue_wait_s,
                now_s,
            )
            self._refuse_past_deadline(decisions, now_s)
            self._refuse_unknown(decisions, now_s)
            self._grant_waiting(decisions, now_s)
        if self._only_if_free:
            self._decide_only_if_free(decisions, now_s)
        if self._queue:
            self._estimate(decisions, now_s)
        else:
            self._new.clear()
        return decisions

    def next_decision_s(self, now_s: float) -> float | None:
        """Returns when `decide` is to be called without news, None if never.

        Args:
          now_s: the current time.
        """
        if self._only_if_free:
            return now_s
        deadline_s = self._queue.next_deadline_s()
        if deadline_s is None:
            return None
        next_s = min(deadline_s, self._decided_s + MAX_DECISION_INTERVAL_S)
        if self._new:
            next_s = min(next_s, self._next_estimate_s())
        return max(next_s, now_s)

    def status(self) -> SlotStatus:
        """Returns the state for metrics."""
        return SlotStatus(
            len(self._grants),
            len(self._queue),
            self._granted_total,
            self._lost_total,
            dict(self._refused_total),
        )

    def usage(self, now_s: float) -> SlotUsage:
        """Returns who uses the slots."""
        held = collections.Counter(
            grant.priority for grant in self._grants.values()
        )
        waiting = {
            priority: len(self._queue.of_priority(priority))
            for priority in self._queue.priorities()
        }
        work_rates = self._demand.work_rates(now_s)
        capacity = slot_waits.Capacity(self._upstreams.usable, now_s).work_rate
        return SlotUsage(dict(held), waiting, work_rates, capacity)

    def drain_out_of_range(self) -> list[slot_bounds.OutOfRange]:
        """Returns the stated values that were out of range since last asked."""
        return self._bounds.drain()

    def _expire(self, now_s: float) -> None:
        """Frees lost slots and forgets the ids of requests that ended."""
        while self._expiries and self._expiries[0][0] <= now_s:
            expires_s, _, grant = heapq.heappop(self._expiries)
            is_current = self._grants.get(grant.key) is grant
            if is_current and grant.expires_s == expires_s:
                self._lost_total += 1
                self._end(grant, now_s)
        oldest_s = now_s - ENDED_RETENTION_S
        while self._ended_s:
            key = next(iter(self._ended_s))
            if self._ended_s[key] > oldest_s:
                return
            del self._ended_s[key]

    def _end(self, grant: slot_upstream.Grant, now_s: float) -> None:
        del self._grants[grant.key]
        self._ended_s[grant.key] = now_s
        self._upstreams[grant.upstream].end(grant, now_s)

    def _push_expiry(self, grant: slot_upstream.Grant) -> None:
        self._last_number += 1
        heapq.heappush(
            self._expiries, (grant.expires_s, self._last_number, grant)
        )
        if len(self._expiries) > 4 * len(self._grants) + 64:
            self._expiries = [
                item
                for item in self._expiries
                if self._grants.get(item[2].key) is item[2]
                and item[0] == item[2].expires_s
            ]
            heapq.heapify(self._expiries)

    def _refuse_past_deadline(
        self, decisions: list[Decision], now_s: float
    ) -> None:
        for waiting in self._queue.past_deadline(now_s):
            wait_s = now_s - waiting.arrived_s
            self._refuse(
                decisions,
                slot_waits.Unserved(waiting, wait_s, 0, waiting.request.work_s),
                now_s,
            )

    def _refuse_unknown(self, decisions: list[Decision], now_s: float) -> None:
        """Refuses requests that no usable upstream may serve."""
        requests = self._new if self._upstreams.usable else self._all_waiting()
        for waiting in requests:
            if waiting.is_waiting and not self._upstreams.candidates(
                waiting.request
            ):
                self._queue.remove(waiting)
                self._ended_s[waiting.key] = now_s
                decisions.append(
                    self._refusal(
                        waiting,
                        slot_messages.SlotRefusalReason.UNKNOWN_UPSTREAM,
                    )
                )

    def _all_waiting(self) -> list[_Waiting]:
        return [
            waiting
            for priority in self._queue.priorities()
            for waiting in self._queue.of_priority(priority)
        ]

    def _grant_waiting(self, decisions: list[Decision], now_s: float) -> None:
        """Grants slots while an upstream has room for a waiting request."""
        open_upstreams = [
            upstream
            for upstream in self._upstreams.usable
            if upstream.has_room(now_s, self._is_first)
        ]
        while open_upstreams and self._queue:
            picked = self._choice.pick(open_upstreams, now_s)
            if picked is None:
                return
            waiting, upstream = picked
            self._queue.remove(waiting)
            self._grant(decisions, waiting, upstream, now_s)
            self._demand.record_grant(
                waiting.request,
                waiting.arrived_s,
                self._upstreams.work_rate,
                now_s,
            )
            if not upstream.has_room(now_s, self._is_first):
                open_upstreams.remove(upstream)

    def _grant(
        self,
        decisions: list[Decision],
        waiting: _Waiting,
        upstream: _Upstream,
        now_s: float,
    ) -> None:
        request = waiting.request
        grant = slot_upstream.Grant(
            waiting.key,
            upstream.name,
            request.work_s,
            request.route_id,
            request.priority,
            request.body_bytes,
            now_s,
            None,
            waiting.deadline_s + LOST_SLOT_S,
        )
        self._ended_s.pop(waiting.key, None)
        self._grants[waiting.key] = grant
        upstream.grant(grant, now_s)
        self._push_expiry(grant)
        self._granted_total += 1
        decisions.append(
            Decision(
                waiting.daemon,
                slot_messages.SlotGrant(request.request_id, upstream.name),
            )
        )

    def _decide_only_if_free(
        self, decisions: list[Decision], now_s: float
    ) -> None:
        """Grants slots that no waiting request could use, or refuses."""
        requests, self._only_if_free = self._only_if_free, []
        for waiting in requests:
            reason = slot_messages.SlotRefusalReason.NOT_FREE
            candidates = self._upstreams.candidates(waiting.request)
            if not candidates:
                reason = slot_messages.SlotRefusalReason.UNKNOWN_UPSTREAM
            upstream = None
            if waiting.deadline_s > now_s and not self._queue:
                upstream = self._choice.choose_free(waiting, candidates, now_s)
            if upstream is None:
                decisions.append(self._refusal(waiting, reason))
            else:
                self._grant(decisions, waiting, upstream, now_s)

    def _next_estimate_s(self) -> float:
        count = len(self._queue) + len(self._grants)
        return self._estimated_s + count * ESTIMATE_INTERVAL_S

    def _estimate(self, decisions: list[Decision], now_s: float) -> None:
        """Estimates all waits, refuses requests and announces new waits."""
        if now_s < self._next_estimate_s() or not self._upstreams.usable:
            return
        self._estimated_s = now_s
        capacity = slot_waits.Capacity(self._upstreams.usable, now_s)
        unserved = slot_waits.estimate_starts(
            self._queue, self._demand, capacity, now_s
        )
        for item in unserved:
            self._refuse(decisions, item, now_s)
        requests, self._new = self._new, []
        for waiting in requests:
            if waiting.is_waiting:
                decisions.append(
                    Decision(
                        waiting.daemon,
                        slot_messages.SlotQueued(
                            waiting.request.request_id,
                            waiting.expected_start_s - now_s,
                        ),
                    )
                )

    def _refuse(
        self,
        decisions: list[Decision],
        unserved: slot_waits.Unserved,
        now_s: float,
    ) -> None:
        """Refuses a waiting request that cannot be served in its time."""
        waiting = unserved.waiting
        request = waiting.request
        self._queue.remove(waiting)
        self._ended_s[waiting.key] = now_s
        self._demand.record_refusal(request.priority, now_s)
        possible_wait_s = waiting.deadline_s - unserved.duration_s - now_s
        slots = sum(
            upstream.state.slots
            for upstream in self._upstreams.candidates(waiting.request)
        )
        retry_after_s = self._retries.retry_after_s(
            request.priority,
            unserved.expected_wait_s - max(0.0, possible_wait_s),
            unserved.duration_s / max(slots, 1),
            now_s,
        )
        decisions.append(
            self._refusal(
                waiting,
                slot_messages.SlotRefusalReason.FULL,
                retry_after_s,
                unserved.expected_wait_s,
                unserved.requests_ahead,
                slots,
            )
        )

    def _refusal(
        self,
        waiting: _Waiting,
        reason: slot_messages.SlotRefusalReason,
        retry_after_s: float = slot_waits.MIN_RETRY_AFTER_S,
        expected_wait_s: float = 0.0,
        requests_ahead: int = 0,
        slots: int = 0,
    ) -> Decision:
        self._refused_total[reason, waiting.request.priority] += 1
        return Decision(
            waiting.daemon,
            slot_messages.SlotRefusal(
                waiting.request.request_id,
                reason,
                retry_after_s,
                expected_wait_s,
                requests_ahead,
                slots,
            ),
        )


def _record_outcome(
    upstream: _Upstream,
    grant: slot_upstream.Grant,
    outcome: slot_messages.SlotOutcome,
    load: slot_messages.LoadReport | None,
    now_s: float,
) -> None:
    """Records what an outcome says of the upstream."""
    outcomes = slot_messages.SlotOutcome
    if outcome == outcomes.UNREACHABLE:
        upstream.record_unreachable(grant.key[0], now_s)
    elif outcome == outcomes.ABANDONED:
        upstream.record_abandoned(grant, now_s)
    elif outcome == outcomes.RESET:
        upstream.record_response(now_s)
        upstream.record_reset(now_s)
    elif outcome == outcomes.REFUSED:
        upstream.record_response(now_s)
        upstream.record_refusal(load, now_s)
    elif outcome == outcomes.FAILED:
        upstream.record_failure()
    elif outcome == outcomes.ANSWERED:
        upstream.record_response(now_s)
        upstream.record_success()
