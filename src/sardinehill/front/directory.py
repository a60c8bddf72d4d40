"""Where requests can go now: upstreams, owners of keys, shares, room."""

import asyncio
import bisect
from collections.abc import Callable
import dataclasses

from sardinehill import events
from sardinehill.core import fleet_messages
from sardinehill.core import room as room_module
from sardinehill.core import routes
from sardinehill.front import pool as pool_module
from sardinehill.front import view as view_module
from sardinehill.front import waiting as waiting_module

# An upstream may have so many requests beyond its slots, from all daemons.
QUEUE_REQUESTS = 5
# An owner that is leaving is used until its keys have moved, at most so long;
# well within what an upstream is given to drain.
LEAVING_GRACE_SHARE = 0.6
NEXT_CHANGE_S = 0.05
# Until a leader was heard, allowances are divided among so many daemons.
UNKNOWN_DAEMONS = 16
# How long requests for a key are held after its owner refused one, at first
# and at most; each further refusal doubles it.
FIRST_REFUSED_PAUSE_S = 0.03
LONGEST_REFUSED_PAUSE_S = 0.5
SWEEP_INTERVAL_S = 1.0
# A table of a leader that fell silent is used for so long as nothing newer
# comes; upstreams refuse what they do not hold.
FORGET_LIFE_S = 15.0


@dataclasses.dataclass(slots=True)
class _Place:
    """One life of an upstream, as this daemon uses it."""

    upstream: routes.Upstream
    room: room_module.Room
    pool: pool_module.Pool
    leaving_since_s: float | None = None
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    """Until when requests for a span are held, and how long that is."""

    until_s: float
    pause_s: float


class Directory:
    """Joins the view of the store with the leader's table.

    Public attributes:
      waiting: requests that wait for a change here.
      daemons: how many daemons the leader hears.
    """

    def __init__(
        self,
        view: view_module.View,
        drain_limit_s: float,
        cold_ratio: float,
        cold_slack: float,
        clock_s: Callable[[], float],
    ):
        self._view = view
        self._drain_grace_s = drain_limit_s * LEAVING_GRACE_SHARE
        self._cold_terms = (cold_ratio, cold_slack)
        self._clock_s = clock_s
        self._places: dict[str, _Place] = {}
        self._by_service: dict[str, list[routes.Upstream]] = {}
        self._table: fleet_messages.Table | None = None
        self._firsts: dict[str, list[int]] = {}
        self._refused: dict[tuple[str, int, int], _Held] = {}
        self._zones_out_since_s: dict[str, float] = {}
        self.waiting = waiting_module.WaitingRooms()
        self.daemons = UNKNOWN_DAEMONS
        view.subscribe(self.refresh)

    @property
    def configuration(self) -> routes.Configuration | None:
        """The configuration in force."""
        return self._view.configuration

    def store_lost_s(self) -> float:
        """Returns for how long the store has not answered."""
        return round(self._view.store_lost_for_s(), 3)

    def table_label(self) -> str:
        """Returns which table is in use, for logs."""
        if self._table is None:
            return "none"
        return f"{self._table.term}.{self._table.serial}"

    def share(self, account: str) -> float:
        """Returns this daemon's part of a client account's allowance."""
        if self._table is not None:
            found = self._table.shares.get(account)
            if found is not None:
                return found
        return 1.0 / max(self.daemons, 1)

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
            self._take_in(upstream, now_s)
        for name, place in self._places.items():
            is_listed = name in self._view.upstreams
            if not is_listed and place.leaving_since_s is None:
                place.leaving_since_s = now_s
        by_service: dict[str, list[routes.Upstream]] = {}
        for upstream in self._view.upstreams.values():
            if not upstream.is_draining and upstream.zone not in zones_out:
                by_service.setdefault(upstream.service, []).append(upstream)
        self._by_service = by_service
        self.waiting.wake_all()

    def _take_in(self, upstream: routes.Upstream, now_s: float) -> None:
        place = self._places.get(upstream.id)
        if place is None or place.upstream.life != upstream.life:
            if place is not None:
                place.pool.close()
            place = _Place(
                upstream,
                room_module.Room(upstream.slots),
                pool_module.Pool(upstream.address),
            )
            self._places[upstream.id] = place
            place.room.cold_until_s = now_s + upstream.cold_left_s
        elif upstream != place.upstream:
            place.room.cold_until_s = now_s + upstream.cold_left_s
        place.upstream = upstream
        if not upstream.is_draining:
            place.leaving_since_s = None
        elif place.leaving_since_s is None:
            place.leaving_since_s = now_s

    def take_table(self, table: fleet_messages.Table) -> None:
        """Takes in the leader's table."""
        before = self._table
        self._table = table
        self.daemons = max(table.daemons, 1)
        if before is not None and before.spans is table.spans:
            return
        self._firsts = {
            service: [span.first for span in spans]
            for service, spans in (table.spans or {}).items()
        }
        self.waiting.wake_all()

    def refused(self, service: str, key: int, epoch: int, now_s: float) -> None:
        """Holds requests for a key that its owner says it does not hold."""
        span = self._span(service, key)
        if span is None or span.epoch != epoch:
            return
        place = (service, span.first, epoch)
        held = self._refused.get(place)
        if held is None:
            pause_s = FIRST_REFUSED_PAUSE_S
        elif now_s < held.until_s:
            return
        else:
            pause_s = min(held.pause_s * 2, LONGEST_REFUSED_PAUSE_S)
        self._refused[place] = _Held(now_s + pause_s, pause_s)

    def accepted(self, service: str, key: int, epoch: int) -> None:
        """Notes that a key's owner does hold it."""
        if self._refused:
            span = self._span(service, key)
            if span is not None:
                self._refused.pop((service, span.first, epoch), None)

    def ended(self, upstream: routes.Upstream) -> None:
        """Notes that an upstream's address belongs to another one now."""
        place = self._places.get(upstream.id)
        if place is not None and place.upstream.life == upstream.life:
            place.ended = True
            events.log(
                events.UPSTREAM_UNREACHABLE,
                upstream=upstream.id,
                error="its address answers for another upstream",
            )

    def room_freed(self, upstream: routes.Upstream, service: str) -> None:
        """Lets the next request in line have a place that became free."""
        if not self.waiting.wake_one(("room", upstream.id)):
            self.waiting.wake_one(("any", service))

    def next_change_s(self, place: object, now_s: float) -> float:
        """Returns when to look again, if nothing wakes a request before."""
        return now_s + NEXT_CHANGE_S

    # questions

    def is_divided(self, service: str) -> bool:
        """Returns whether keys of a service belong to single upstreams."""
        configuration = self._view.configuration
        if configuration is None:
            return False
        found = configuration.services.get(service)
        return found is not None and found.is_divided

    def _span(self, service: str, key: int) -> fleet_messages.TableSpan | None:
        firsts = self._firsts.get(service)
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
        held = self._refused.get((service, span.first, span.epoch))
        if held is not None and now_s < held.until_s:
            return None
        place = self._places.get(span.upstream)
        if place is None or place.ended or self._has_left(place):
            return None
        return place.upstream, span.epoch

    def _has_left(self, place: _Place) -> bool:
        """Returns whether an upstream may get nothing more at all."""
        since_s = place.leaving_since_s
        zone_since_s = self._zones_out_since_s.get(place.upstream.zone)
        if zone_since_s is not None:
            since_s = min(since_s or zone_since_s, zone_since_s)
        if since_s is None:
            return False
        return self._clock_s() - since_s > self._drain_grace_s

    def usable(self, service: str, now_s: float) -> list[routes.Upstream]:
        """Returns the upstreams of a service that may get requests."""
        return [
            upstream
            for upstream in self._by_service.get(service, ())
            if not self._places[upstream.id].ended
        ]

    def room_of(
        self, upstream: routes.Upstream
    ) -> tuple[room_module.Room, pool_module.Pool]:
        """Returns what is known of an upstream's room, and its connections."""
        place = self._places[upstream.id]
        return place.room, place.pool

    def has_room(self, upstream: routes.Upstream, now_s: float) -> bool:
        """Returns whether one more request may be sent to an upstream now."""
        room = self._places[upstream.id].room
        service = self._service(upstream.service)
        if service is None:
            return False
        if not room.may_send(
            now_s,
            room_module.connection_limit(
                service.connection_limit, self.daemons
            ),
            self._cold_limit(service),
        ):
            return False
        if room.in_flight == 0:
            return True
        return room.queue(now_s) < room.slots + QUEUE_REQUESTS

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
        ratio, slack = self._cold_terms
        bound = service.cold_per_s * ratio + slack
        return int(bound / self.daemons)

    async def sweep(self) -> None:
        """Ends stale connections and forgets what is gone, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            loop_now_s = loop.time()
            now_s = self._clock_s()
            for name, place in list(self._places.items()):
                place.pool.close_stale(loop_now_s)
                left_s = place.leaving_since_s
                if (
                    name not in self._view.upstreams
                    and left_s is not None
                    and now_s - left_s > FORGET_LIFE_S
                ):
                    place.pool.close()
                    del self._places[name]
            self._refused = {
                place: held
                for place, held in self._refused.items()
                if held.until_s + SWEEP_INTERVAL_S > loop_now_s
            }
