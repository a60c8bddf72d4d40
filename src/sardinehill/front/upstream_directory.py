"""Determines where requests can go: usable upstreams, owners and capacity.

It combines the stored upstreams and zones with the leader table.
"""

import asyncio
import bisect
import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import functools

from sardinehill import events
from sardinehill.core import byte_budget
from sardinehill.core import crash_suspects
from sardinehill.core import fleet_messages
from sardinehill.core import keyspace
from sardinehill.core import leaving_upstreams
from sardinehill.core import routes
from sardinehill.core.load import group_upstreams
from sardinehill.core.load import named_limits
from sardinehill.core.load import scheduler_choice
from sardinehill.core.load import slot_messages
from sardinehill.core.load import upstream_state
from sardinehill.front import pool as pool_module
from sardinehill.front import store_view
from sardinehill.front.load import wait_queues

# An owner that is leaving is used until its keys have moved, but no longer than
# this part of the time that an upstream has to drain. The rest is for the way
# of a request to the upstream.
DRAIN_GRACE_RATIO = 0.75
# A waiting request that is not woken checks for an upstream this often.
RECHECK_INTERVAL_S = 0.05
# Quotas are divided among this many daemons until a leader has been heard.
DEFAULT_DAEMON_COUNT = 16
# Requests for a key are held back after its owner refused one: at first for the
# minimum, doubled by each further refusal up to the maximum.
MIN_REFUSAL_PAUSE_S = 0.03
MAX_REFUSAL_PAUSE_S = 0.5
SWEEP_INTERVAL_S = 1.0
# An upstream that has left the store is kept for this long. Until a newer table
# arrives, the table of a silent leader still names it as an owner; upstreams
# refuse keys that they do not hold.
UPSTREAM_RETENTION_S = 15.0


def _ignore_attempt(upstream_id: str, is_success: bool, began_s: float) -> None:
    """Ignores an attempt to connect to an upstream."""


@dataclasses.dataclass(slots=True)
class _UpstreamEntry:
    """One incarnation of an upstream, as this daemon uses it.

    Attributes:
      upstream: the upstream as last read from the store.
      state: its load and availability.
      pool: the connections to it.
      leaving_since_s: the earliest time at which it may have begun to drain or
        left the store, or None.
      said_leaving_s: when it first said in an answer to any daemon that it
        leaves, or None.
      has_ended: whether its address belongs to another upstream now.
    """

    upstream: routes.Upstream
    state: upstream_state.UpstreamState
    pool: pool_module.ConnectionPool
    leaving_since_s: float | None = None
    said_leaving_s: float | None = None
    has_ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _RefusalPause:
    """A pause of the requests for a span after its owner refused one.

    Attributes:
      until_s: when the pause ends.
      pause_s: its length, which is doubled by the next refusal.
    """

    until_s: float
    pause_s: float


class UpstreamDirectory:
    """Combines the view of the store with the leader table.

    Public attributes:
      waiting: queues of requests that wait for capacity or an owner.
      daemon_count: the number of daemons that share quotas and limits, as the
        leader counts them.
    """

    def __init__(
        self,
        view: store_view.StoreView,
        drain_limit_s: float,
        clock_s: Callable[[], float],
        limits: named_limits.NamedLimits,
        suspects: crash_suspects.CrashSuspects,
        leaving: leaving_upstreams.LeavingUpstreams,
        on_attempt: Callable[[str, bool, float], None] = _ignore_attempt,
        budget: byte_budget.ByteBudget | None = None,
    ):
        """Creates a directory of the upstreams in a view.

        Args:
          view: the view of the store.
          drain_limit_s: the time that an upstream has to drain.
          clock_s: the event loop's clock.
          limits: the limits that upstreams name.
          suspects: the requests that may end upstreams.
          leaving: the upstreams that have said that they leave.
          on_attempt: is told of attempts to connect to upstreams: the
            upstream's id, whether it succeeded, and when it began.
          budget: what the bodies of answers may hold together, or None.
        """
        self._view = view
        self._limits = limits
        self._suspects = suspects
        self._leaving = leaving
        self._on_attempt = on_attempt
        self._budget = budget
        self._drain_grace_s = drain_limit_s * DRAIN_GRACE_RATIO
        self._clock_s = clock_s
        self._entries: dict[str, _UpstreamEntry] = {}
        self._by_service: dict[str, list[routes.Upstream]] = {}
        self._table: fleet_messages.LeaderTable | None = None
        self._first_keys: dict[str, list[int]] = {}
        self._refusal_pauses: dict[tuple[str, int, int], _RefusalPause] = {}
        self._zones_out_since_s: dict[str, float] = {}
        # The members of the groups of upstreams, and the groups of upstreams.
        self._group_members: dict[slot_messages.SlotGroup, list[str]] = {}
        self._groups: dict[str, slot_messages.SlotGroup] = {}
        self._change_listeners: list[Callable[[], None]] = []
        self.waiting = wait_queues.WaitQueues()
        self.daemon_count = DEFAULT_DAEMON_COUNT
        view.subscribe(self.refresh)

    @property
    def configuration(self) -> routes.Configuration | None:
        """The configuration in force."""
        return self._view.configuration

    def store_lost_for_s(self) -> float:
        """Returns the time since the store stopped answering, or 0."""
        return round(self._view.store_lost_for_s(), 3)

    def table_label(self) -> str:
        """Returns the term and serial of the table in use, for logs."""
        if self._table is None:
            return "none"
        return f"{self._table.term}.{self._table.serial}"

    def quota_share(self, account: str) -> float:
        """Returns this daemon's share of a client account's quota."""
        if self._table is not None:
            share = self._table.shares.get(account)
            if share is not None:
                return share
        return 1.0 / max(self.daemon_count, 1)

    # changes

    def refresh(self) -> None:
        """Updates upstreams and zones from the view of the store."""
        now_s = self._clock_s()
        left_after_s = self._view.upstreams_changed_after_s
        zones_out = self._view.zones_out
        for zone in zones_out:
            self._zones_out_since_s.setdefault(
                zone, self._view.zones_changed_after_s
            )
        for zone in list(self._zones_out_since_s):
            if zone not in zones_out:
                del self._zones_out_since_s[zone]
        for upstream in self._view.upstreams.values():
            self._update_upstream(upstream, now_s, left_after_s)
        for name, entry in self._entries.items():
            is_listed = name in self._view.upstreams
            if not is_listed and entry.leaving_since_s is None:
                entry.leaving_since_s = left_after_s
        by_service: dict[str, list[routes.Upstream]] = {}
        for upstream in self._view.upstreams.values():
            if not upstream.is_draining and upstream.zone not in zones_out:
                by_service.setdefault(upstream.service, []).append(upstream)
        self._by_service = by_service
        self._refresh_groups()
        self._note_change()

    def _refresh_groups(self) -> None:
        """Determines the groups of upstreams that have a common scheduler."""
        counts = collections.Counter(
            (upstream.service, upstream.zone)
            for upstream in self._view.upstreams.values()
        )
        self._groups = {}
        self._group_members = {}
        for upstream in self._view.upstreams.values():
            group = scheduler_choice.group_of(
                upstream,
                self.is_divided(upstream.service),
                counts[upstream.service, upstream.zone],
            )
            self._groups[upstream.id] = group
            self._group_members.setdefault(group, []).append(upstream.id)

    def subscribe_changes(self, listener: Callable[[], None]) -> None:
        """Makes a function be called after upstreams or owners changed."""
        self._change_listeners.append(listener)

    def _note_change(self) -> None:
        self.waiting.wake_all()
        for listener in self._change_listeners:
            listener()

    def _update_upstream(
        self, upstream: routes.Upstream, now_s: float, left_after_s: float
    ) -> None:
        entry = self._entries.get(upstream.id)
        if entry is None or entry.upstream.incarnation != upstream.incarnation:
            if entry is not None:
                entry.pool.close()
            entry = _UpstreamEntry(
                upstream,
                upstream_state.UpstreamState(upstream.slots),
                pool_module.ConnectionPool(
                    upstream.address,
                    functools.partial(self._on_attempt, upstream.id),
                    self._budget,
                ),
            )
            self._entries[upstream.id] = entry
            entry.state.cold_until_s = now_s + upstream.cold_remaining_s
            self._apply_leaving(upstream.incarnation)
        elif upstream != entry.upstream:
            entry.state.cold_until_s = now_s + upstream.cold_remaining_s
        entry.upstream = upstream
        if not upstream.is_draining:
            entry.leaving_since_s = None
        elif entry.leaving_since_s is None:
            entry.leaving_since_s = left_after_s

    def apply_table(self, table: fleet_messages.LeaderTable) -> None:
        """Applies a leader table."""
        previous_table = self._table
        self._table = table
        self.daemon_count = max(table.daemons, 1)
        now_s = self._clock_s()
        heard_s = now_s - table.age_s
        self._limits.record_news(table.limits, heard_s)
        self._suspects.record_news(table.suspects, heard_s, is_passed_on=False)
        # Also a forwarding daemon counts their age up to when it sends them.
        self._leaving.record_news(table.leaving, now_s, is_passed_on=False)
        for news in table.leaving:
            self._apply_leaving(news.incarnation)
        if previous_table is not None and previous_table.spans is table.spans:
            return
        self._first_keys = {
            service: [span.first for span in spans]
            for service, spans in (table.spans or {}).items()
        }
        self._note_change()

    def note_refused(
        self, service: str, key: int, epoch: int, now_s: float
    ) -> None:
        """Pauses requests for a key whose owner does not hold it."""
        span = self._span(service, key)
        if span is None or span.epoch != epoch:
            return
        span_key = (service, span.first, epoch)
        pause = self._refusal_pauses.get(span_key)
        if pause is None:
            pause_s = MIN_REFUSAL_PAUSE_S
        elif now_s < pause.until_s:
            return
        else:
            pause_s = min(pause.pause_s * 2, MAX_REFUSAL_PAUSE_S)
        self._refusal_pauses[span_key] = _RefusalPause(now_s + pause_s, pause_s)

    def note_accepted(self, service: str, key: int, epoch: int) -> None:
        """Ends the pause after a key's owner accepted a request."""
        if self._refusal_pauses:
            span = self._span(service, key)
            if span is not None:
                self._refusal_pauses.pop((service, span.first, epoch), None)

    def note_ended(self, upstream: routes.Upstream) -> None:
        """Excludes an upstream whose address belongs to another one now."""
        entry = self._entries.get(upstream.id)
        if (
            entry is not None
            and entry.upstream.incarnation == upstream.incarnation
        ):
            entry.has_ended = True
            events.log(
                events.UPSTREAM_UNREACHABLE,
                upstream=upstream.id,
                error="its address answers for another upstream",
            )

    def note_leaving(self, upstream: routes.Upstream) -> None:
        """Records that an upstream has said in an answer that it leaves.

        The store may say so later, or not at all.
        """
        entry = self._entries.get(upstream.id)
        if (
            entry is not None
            and entry.upstream.incarnation == upstream.incarnation
            and entry.said_leaving_s is None
        ):
            self._leaving.record_answer(upstream.incarnation, self._clock_s())
            self._apply_leaving(upstream.incarnation)

    def _apply_leaving(self, incarnation: keyspace.Incarnation) -> None:
        """Sends an upstream nothing more after the grace if it leaves."""
        entry = self._entries.get(incarnation[0])
        said_s = self._leaving.said_s(incarnation)
        if (
            entry is None
            or said_s is None
            or entry.upstream.incarnation != incarnation
        ):
            return
        if entry.said_leaving_s is None:
            events.log(
                events.UPSTREAM_LEAVES,
                upstream=incarnation[0],
                said_ago_s=round(self._clock_s() - said_s, 3),
            )
        entry.said_leaving_s = said_s

    def forget_failures(self) -> None:
        """Ends all pauses that followed from failures to reach upstreams.

        To be called when these were failures of this daemon's own links.
        """
        for entry in self._entries.values():
            entry.state.forget_failures()
        self.waiting.wake_all()

    def close_idle_connections(self) -> None:
        """Closes all idle connections to upstreams.

        To be called when this daemon's own links are broken.
        """
        for entry in self._entries.values():
            entry.pool.close()

    def wake_next(self, upstream: routes.Upstream, service: str) -> None:
        """Wakes the next waiting request after capacity became free."""
        if not self.waiting.wake_one(("room", upstream.id)):
            self.waiting.wake_one(("any", service))

    def recheck_due_s(self, wait_key: object, now_s: float) -> float:
        """Returns when a waiting request checks again without a wake-up."""
        return now_s + RECHECK_INTERVAL_S

    # lookups

    def is_divided(self, service: str) -> bool:
        """Returns whether the service's keys are divided among upstreams."""
        configuration = self._view.configuration
        if configuration is None:
            return False
        service_config = configuration.services.get(service)
        return service_config is not None and service_config.is_divided

    def _span(self, service: str, key: int) -> fleet_messages.OwnerSpan | None:
        first_keys = self._first_keys.get(service)
        if not first_keys or self._table is None or self._table.spans is None:
            return None
        index = bisect.bisect_right(first_keys, key) - 1
        if index < 0:
            return None
        span = self._table.spans[service][index]
        return span if span.last >= key else None

    def owner(
        self, service: str, key: int, now_s: float
    ) -> tuple[routes.Upstream, int] | None:
        """Returns a key's owner and epoch, or None while it has no owner.

        A key has no usable owner while its grant is unconfirmed, during a
        pause after a refusal, or when the owner has ended or left.
        """
        span = self._span(service, key)
        if span is None or not span.live:
            return None
        pause = self._refusal_pauses.get((service, span.first, span.epoch))
        if pause is not None and now_s < pause.until_s:
            return None
        entry = self._entries.get(span.upstream)
        if entry is None or entry.has_ended or self._has_left(entry):
            return None
        return entry.upstream, span.epoch

    def has_left(self, upstream: routes.Upstream) -> bool:
        """Returns whether an incarnation of an upstream gets no more requests.

        It has ended, or the grace for an upstream that leaves is over.
        """
        entry = self._entries.get(upstream.id)
        return (
            entry is None
            or entry.upstream.incarnation != upstream.incarnation
            or entry.has_ended
            or self._has_left(entry)
        )

    def _has_left(self, entry: _UpstreamEntry) -> bool:
        """Returns whether the grace for an upstream that leaves is over."""
        left_times_s = (
            entry.leaving_since_s,
            entry.said_leaving_s,
            self._zones_out_since_s.get(entry.upstream.zone),
        )
        now_s = self._clock_s()
        return any(
            since_s is not None and now_s - since_s > self._drain_grace_s
            for since_s in left_times_s
        )

    def usable_upstreams(
        self, service: str, now_s: float
    ) -> list[routes.Upstream]:
        """Returns the upstreams of a service that may get requests."""
        return [
            upstream
            for upstream in self._by_service.get(service, ())
            if not self._entries[upstream.id].has_ended
            and self._entries[upstream.id].said_leaving_s is None
        ]

    def find(self, incarnation: keyspace.Incarnation) -> routes.Upstream | None:
        """Returns the upstream with an incarnation, or None if it is unknown.

        One that left the store a while ago is unknown.
        """
        entry = self._entries.get(incarnation[0])
        if entry is None or entry.upstream.incarnation != incarnation:
            return None
        return entry.upstream

    def state_and_pool(
        self, upstream: routes.Upstream
    ) -> tuple[upstream_state.UpstreamState, pool_module.ConnectionPool]:
        """Returns an upstream's state and its connection pool."""
        entry = self._entries[upstream.id]
        return entry.state, entry.pool

    def pool(
        self, upstream: routes.Upstream
    ) -> pool_module.ConnectionPool | None:
        """Returns the pool of an upstream, or None if it is not known."""
        entry = self._entries.get(upstream.id)
        return entry.pool if entry is not None else None

    def has_capacity(
        self,
        upstream: routes.Upstream,
        now_s: float,
        service_time_s: float,
        objective_s: float,
    ) -> bool:
        """Returns whether an upstream may be sent one more request now.

        Args:
          upstream: the upstream.
          now_s: the current time.
          service_time_s: the usual time that the request takes, without waits.
          objective_s: the request's latency objective.
        """
        if not self.may_send(upstream, now_s):
            return False
        state = self._entries[upstream.id].state
        return state.has_room(now_s, service_time_s, objective_s)

    def may_send(self, upstream: routes.Upstream, now_s: float) -> bool:
        """Returns whether this daemon may send an upstream a request now.

        The load of the upstream is not considered.
        """
        state = self._entries[upstream.id].state
        service = self._service(upstream.service)
        if service is None:
            return False
        if self.is_limited(upstream) and now_s < state.no_limited_sends_until_s:
            return False
        return state.may_send(
            now_s,
            upstream_state.connection_limit(
                service.connection_limit, self.daemon_count
            ),
        )

    def slot_group(
        self, upstream: routes.Upstream
    ) -> slot_messages.SlotGroup | None:
        """Returns the group of an upstream, or None if it is not listed."""
        return self._groups.get(upstream.id)

    def is_listed(self, name: str) -> bool:
        """Returns whether the store lists an upstream with an id."""
        return name in self._groups

    def slot_info(
        self, name: str, group: slot_messages.SlotGroup, now_s: float
    ) -> group_upstreams.UpstreamInfo | None:
        """Returns an upstream's slots; None if they are not to be granted.

        The owner of keys is used until the grace for one that leaves is over,
        as its keys have no other owner yet.

        Args:
          name: the upstream's id.
          group: the group that it must be in.
          now_s: the current time.
        """
        entry = self._entries.get(name)
        if entry is None or self._groups.get(name) != group or entry.has_ended:
            return None
        upstream = entry.upstream
        if group.upstream:
            is_leaving = self._has_left(entry)
        else:
            is_leaving = (
                upstream.is_draining
                or entry.said_leaving_s is not None
                or upstream.zone in self._zones_out_since_s
            )
        if is_leaving:
            return None
        return group_upstreams.UpstreamInfo(
            upstream.slots, entry.state.is_cold(now_s)
        )

    def group_members(self, group: slot_messages.SlotGroup) -> Sequence[str]:
        """Returns the ids of the listed upstreams of a group."""
        return self._group_members.get(group, ())

    def is_limited(self, upstream: routes.Upstream) -> bool:
        """Returns whether an upstream names a limit, so that sends are lent."""
        return self._limits.rate_per_s(upstream.id) is not None

    def pause_s(self, upstream: routes.Upstream, now_s: float) -> float:
        """Returns for how long an upstream still wants no requests, or 0."""
        state = self._entries[upstream.id].state
        return max(state.refuses_until_s - now_s, 0.0)

    def limited_wait_s(
        self,
        upstream: routes.Upstream,
        queue_key: object,
        priority: int,
        now_s: float,
    ) -> float:
        """Returns the shortest wait for a send to an upstream with a limit.

        It is longer if other daemons have requests for the upstream.

        Args:
          upstream: the upstream.
          queue_key: the queue of the requests that wait for it.
          priority: the priority of the request that would wait.
          now_s: the current time.
        """
        rate_per_s = self._limits.rate_per_s(upstream.id)
        if rate_per_s is None:
            return 0.0
        rate_per_s = max(rate_per_s, named_limits.MIN_RATE_PER_S)
        next_send_s = self._entries[upstream.id].state.no_limited_sends_until_s
        ahead = self.waiting.count_ahead(queue_key, priority)
        return max(next_send_s - now_s, 0.0) + ahead / rate_per_s

    def note_limit(
        self,
        upstream: routes.Upstream,
        rate_per_s: float | None,
        sent_s: float,
        answered_s: float,
    ) -> bool:
        """Records the limit that an answer names, or that it names none.

        Args:
          upstream: the upstream that answered.
          rate_per_s: the limit, or None.
          sent_s: when the request was sent.
          answered_s: when the answer arrived.

        Returns:
          Whether the upstream has a limit now and had none, or the reverse.
        """
        was_limited = self.is_limited(upstream)
        self._limits.record_answer(upstream.id, rate_per_s, sent_s, answered_s)
        return self.is_limited(upstream) != was_limited

    def _service(self, name: str) -> routes.Service | None:
        configuration = self._view.configuration
        if configuration is None:
            return None
        return configuration.services.get(name)

    async def sweep(self) -> None:
        """Closes stale connections and removes expired entries periodically.

        Runs until cancelled.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            loop_now_s = loop.time()
            now_s = self._clock_s()
            for name, entry in list(self._entries.items()):
                entry.pool.close_stale(loop_now_s)
                leaving_since_s = entry.leaving_since_s
                if (
                    name not in self._view.upstreams
                    and leaving_since_s is not None
                    and now_s - leaving_since_s > UPSTREAM_RETENTION_S
                ):
                    entry.pool.close()
                    del self._entries[name]
            self._refusal_pauses = {
                span_key: pause
                for span_key, pause in self._refusal_pauses.items()
                if pause.until_s + SWEEP_INTERVAL_S > loop_now_s
            }
