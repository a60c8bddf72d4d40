"""Where requests can go now: upstreams, owners of keys, shares, room."""

import asyncio
import bisect
from collections.abc import Callable
import dataclasses

from sardinehill import events
from sardinehill.core import fleet_messages
from sardinehill.core import routes
from sardinehill.core import upstream_state as room_module
from sardinehill.front import pool as pool_module
from sardinehill.front import store_view as view_module
from sardinehill.front import wait_queues as waiting_module

# An upstream may have so many requests beyond its slots, from all daemons.
MAX_QUEUED_REQUESTS = 5
# An owner that is leaving is used until its keys have moved, at most so long;
# well within what an upstream is given to drain.
DRAIN_GRACE_RATIO = 0.6
RECHECK_INTERVAL_S = 0.05
# Until a leader was heard, allowances are divided among so many daemons.
DEFAULT_DAEMON_COUNT = 16
# How long requests for a key are held after its owner refused one, at first
# and at most; each further refusal doubles it.
MIN_REFUSAL_PAUSE_S = 0.03
MAX_REFUSAL_PAUSE_S = 0.5
SWEEP_INTERVAL_S = 1.0
# A table of a leader that fell silent is used for so long as nothing newer
# comes; upstreams refuse what they do not hold.
UPSTREAM_RETENTION_S = 15.0


@dataclasses.dataclass(slots=True)
class _UpstreamEntry:
    """One life of an upstream, as this daemon uses it."""

    upstream: routes.Upstream
    state: room_module.UpstreamState
    pool: pool_module.ConnectionPool
    leaving_since_s: float | None = None
    has_ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _RefusalPause:
    """Until when requests for a span are held, and how long that is."""

    until_s: float
    pause_s: float


class UpstreamDirectory:
    """Joins the view of the store with the leader's table.

    Public attributes:
      waiting: requests that wait for a change here.
      daemon_count: how many daemons the leader hears.
    """

    def __init__(
        self,
        view: view_module.StoreView,
        drain_limit_s: float,
        cold_ratio: float,
        cold_slack: float,
        clock_s: Callable[[], float],
    ):
        self._view = view
        self._drain_grace_s = drain_limit_s * DRAIN_GRACE_RATIO
        self._cold_ratio_and_slack = (cold_ratio, cold_slack)
        self._clock_s = clock_s
        self._entries: dict[str, _UpstreamEntry] = {}
        self._by_service: dict[str, list[routes.Upstream]] = {}
        self._table: fleet_messages.LeaderTable | None = None
        self._first_keys: dict[str, list[int]] = {}
        self._refusal_pauses: dict[tuple[str, int, int], _RefusalPause] = {}
        self._zones_out_since_s: dict[str, float] = {}
        self.waiting = waiting_module.WaitQueues()
        self.daemon_count = DEFAULT_DAEMON_COUNT
        view.subscribe(self.refresh)

    @property
    def configuration(self) -> routes.Configuration | None:
        """The configuration in force."""
        return self._view.configuration

    def store_lost_for_s(self) -> float:
        """Returns for how long the store has not answered."""
        return round(self._view.store_lost_for_s(), 3)

    def table_label(self) -> str:
        """Returns which table is in use, for logs."""
        if self._table is None:
            return "none"
        return f"{self._table.term}.{self._table.serial}"

    def quota_share(self, account: str) -> float:
        """Returns this daemon's part of a client account's allowance."""
        if self._table is not None:
            found = self._table.shares.get(account)
            if found is not None:
                return found
        return 1.0 / max(self.daemon_count, 1)

    # changes

    def refresh(self) -> None:
        """Takes in what the store says of upstreams and zones."""
        now_s = self._clock_s()
        zones_out = self._view.zones_out
        for zone in zones_out:
            self._zones_out_since_s.setdefault(zone, now_s)
        for zone in list(self._zones_out_since_s):
            if zone not in zones_out:
                del self._zones_out_since_s[zone]
        for upstream in self._view.upstreams.values():
            self._update_upstream(upstream, now_s)
        for name, place in self._entries.items():
            is_listed = name in self._view.upstreams
            if not is_listed and place.leaving_since_s is None:
                place.leaving_since_s = now_s
        by_service: dict[str, list[routes.Upstream]] = {}
        for upstream in self._view.upstreams.values():
            if not upstream.is_draining and upstream.zone not in zones_out:
                by_service.setdefault(upstream.service, []).append(upstream)
        self._by_service = by_service
        self.waiting.wake_all()

    def _update_upstream(self, upstream: routes.Upstream, now_s: float) -> None:
        place = self._entries.get(upstream.id)
        if place is None or place.upstream.incarnation != upstream.incarnation:
            if place is not None:
                place.pool.close()
            place = _UpstreamEntry(
                upstream,
                room_module.UpstreamState(upstream.slots),
                pool_module.ConnectionPool(upstream.address),
            )
            self._entries[upstream.id] = place
            place.state.cold_until_s = now_s + upstream.cold_remaining_s
        elif upstream != place.upstream:
            place.state.cold_until_s = now_s + upstream.cold_remaining_s
        place.upstream = upstream
        if not upstream.is_draining:
            place.leaving_since_s = None
        elif place.leaving_since_s is None:
            place.leaving_since_s = now_s

    def apply_table(self, table: fleet_messages.LeaderTable) -> None:
        """Takes in the leader's table."""
        before = self._table
        self._table = table
        self.daemon_count = max(table.daemons, 1)
        if before is not None and before.spans is table.spans:
            return
        self._first_keys = {
            service: [span.first for span in spans]
            for service, spans in (table.spans or {}).items()
        }
        self.waiting.wake_all()

    def note_refused(
        self, service: str, key: int, epoch: int, now_s: float
    ) -> None:
        """Holds requests for a key that its owner says it does not hold."""
        span = self._span(service, key)
        if span is None or span.epoch != epoch:
            return
        place = (service, span.first, epoch)
        held = self._refusal_pauses.get(place)
        if held is None:
            pause_s = MIN_REFUSAL_PAUSE_S
        elif now_s < held.until_s:
            return
        else:
            pause_s = min(held.pause_s * 2, MAX_REFUSAL_PAUSE_S)
        self._refusal_pauses[place] = _RefusalPause(now_s + pause_s, pause_s)

    def note_accepted(self, service: str, key: int, epoch: int) -> None:
        """Notes that a key's owner does hold it."""
        if self._refusal_pauses:
            span = self._span(service, key)
            if span is not None:
                self._refusal_pauses.pop((service, span.first, epoch), None)

    def note_ended(self, upstream: routes.Upstream) -> None:
        """Notes that an upstream's address belongs to another one now."""
        place = self._entries.get(upstream.id)
        if (
            place is not None
            and place.upstream.incarnation == upstream.incarnation
        ):
            place.has_ended = True
            events.log(
                events.UPSTREAM_UNREACHABLE,
                upstream=upstream.id,
                error="its address answers for another upstream",
            )

    def wake_next(self, upstream: routes.Upstream, service: str) -> None:
        """Lets the next request in line have a place that became free."""
        if not self.waiting.wake_one(("room", upstream.id)):
            self.waiting.wake_one(("any", service))

    def recheck_due_s(self, place: object, now_s: float) -> float:
        """Returns when to look again, if nothing wakes a request before."""
        return now_s + RECHECK_INTERVAL_S

    # questions

    def is_divided(self, service: str) -> bool:
        """Returns whether keys of a service belong to single upstreams."""
        configuration = self._view.configuration
        if configuration is None:
            return False
        found = configuration.services.get(service)
        return found is not None and found.is_divided

    def _span(self, service: str, key: int) -> fleet_messages.OwnerSpan | None:
        firsts = self._first_keys.get(service)
        if not firsts or self._table is None or self._table.spans is None:
            return None
        index = bisect.bisect_right(firsts, key) - 1
        if index < 0:
            return None
        span = self._table.spans[service][index]
        return span if span.last >= key else None

    def owner(
        self, service: str, key: int, now_s: float
    ) -> tuple[routes.Upstream, int] | None:
        """Returns a key's owner and epoch, or None while there is none."""
        span = self._span(service, key)
        if span is None or not span.live:
            return None
        held = self._refusal_pauses.get((service, span.first, span.epoch))
        if held is not None and now_s < held.until_s:
            return None
        place = self._entries.get(span.upstream)
        if place is None or place.has_ended or self._has_left(place):
            return None
        return place.upstream, span.epoch

    def _has_left(self, place: _UpstreamEntry) -> bool:
        """Returns whether an upstream may get nothing more at all."""
        since_s = place.leaving_since_s
        zone_since_s = self._zones_out_since_s.get(place.upstream.zone)
        if zone_since_s is not None:
            since_s = min(since_s or zone_since_s, zone_since_s)
        if since_s is None:
            return False
        return self._clock_s() - since_s > self._drain_grace_s

    def usable_upstreams(
        self, service: str, now_s: float
    ) -> list[routes.Upstream]:
        """Returns the upstreams of a service that may get requests."""
        return [
            upstream
            for upstream in self._by_service.get(service, ())
            if not self._entries[upstream.id].has_ended
        ]

    def state_and_pool(
        self, upstream: routes.Upstream
    ) -> tuple[room_module.UpstreamState, pool_module.ConnectionPool]:
        """Returns what is known of an upstream's room, and its connections."""
        place = self._entries[upstream.id]
        return place.state, place.pool

    def has_capacity(self, upstream: routes.Upstream, now_s: float) -> bool:
        """Returns whether one more request may be sent to an upstream now."""
        room = self._entries[upstream.id].state
        service = self._service(upstream.service)
        if service is None:
            return False
        if not room.may_send(
            now_s,
            room_module.connection_limit(
                service.connection_limit, self.daemon_count
            ),
            self._cold_limit(service),
        ):
            return False
        if room.in_flight == 0:
            return True
        return room.estimated_requests(now_s) < room.slots + MAX_QUEUED_REQUESTS

    def _service(self, name: str) -> routes.Service | None:
        configuration = self._view.configuration
        if configuration is None:
            return None
        return configuration.services.get(name)

    def _cold_limit(self, service: routes.Service) -> int:
        """Returns how many requests a second this daemon may send while cold.

        Each daemon keeps to a whole number, so that all together stay below
        the bound in any second.
        """
        ratio, slack = self._cold_ratio_and_slack
        bound = service.cold_rate_per_s * ratio + slack
        return int(bound / self.daemon_count)

    async def sweep(self) -> None:
        """Ends stale connections and forgets what is gone, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            loop_now_s = loop.time()
            now_s = self._clock_s()
            for name, place in list(self._entries.items()):
                place.pool.close_stale(loop_now_s)
                left_s = place.leaving_since_s
                if (
                    name not in self._view.upstreams
                    and left_s is not None
                    and now_s - left_s > UPSTREAM_RETENTION_S
                ):
                    place.pool.close()
                    del self._entries[name]
            self._refusal_pauses = {
                place: held
                for place, held in self._refusal_pauses.items()
                if held.until_s + SWEEP_INTERVAL_S > loop_now_s
            }
