"""Tracks the upstreams that may own keys of one divided service.

The leader uses this module to choose owners and to send them orders.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from sardinehill import events
from sardinehill import http1
from sardinehill.core import fleet_messages
from sardinehill.core import key_plan
from sardinehill.core import keyspace
from sardinehill.core import routes
from sardinehill.core import upstream_lives

CONNECT_TIMEOUT_S = 0.3
# A release is answered when the requests that are running have ended.
RELEASE_TIMEOUT_S = 1.5
ORDER_RETRY_S = 0.15
MAX_IDLE_S = 5.0
# Nothing is read of an answer's body.
MAX_ANSWER_BODY_BYTES = 64 * 1024
# The kernel discards an order that stays unacknowledged this long, also while
# this process does not run. It counts from its first repetition, which follows
# the order by at least 0.2 s.
MAX_UNACKNOWLEDGED_S = 0.2
# The weight of an upstream's earlier slowness when an answer is averaged in.
SLOWNESS_DECAY_RATIO = 0.95
MIN_SLOWNESS_RATIO = 0.4
MAX_SLOWNESS_RATIO = 8.0


@dataclasses.dataclass
class KeyOwner:
    """One incarnation of an upstream that may own keys.

    Attributes:
      incarnation: the upstream's id and the time of its start.
      address: the address that accepts orders.
      slots: the number of requests it runs at once.
      slowness: the ratio of its latency to the mean of all upstreams.
      confirmed_s: when it last confirmed a grant, or when it was first seen.
      failing_since_s: when it stopped answering, or None.
      unusable_until_s: it gets no new keys before this time.
      says_leaving: whether it has said in an answer that it leaves.
      opened_connections: how many connections to it have been opened.
      connections: idle connections to it.
    """

    incarnation: keyspace.Incarnation
    address: str
    slots: int
    slowness: float = 1.0
    confirmed_s: float = 0.0
    failing_since_s: float | None = None
    unusable_until_s: float = 0.0
    says_leaving: bool = False
    opened_connections: int = 0
    connections: list[http1.Connection] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """The result of one order.

    Attributes:
      status: the answer's HTTP status, or None without an answer.
      error: the reason why there is no answer.
      written: whether any byte of the order may have left this host.
      superseded: whether the order was not sent because it was outdated.
      answer: the whole answer, or None.
      at_connection: how many connections to the receiver had been opened when
        the order was sent.
    """

    status: int | None = None
    error: str = ""
    written: bool = False
    superseded: bool = False
    answer: http1.Response | None = None
    at_connection: int = 0


class KeyOwners:
    """All incarnations of the service's upstreams that were seen.

    Public attributes:
      by_incarnation: the known owners.
      ended: incarnations whose address answers for another upstream, so that
        neither they nor a later incarnation hold the keys they were granted.
      last_joined_s: when the newest incarnation was first seen.
      orders_sent: the number of orders sent.
    """

    def __init__(
        self,
        service: str,
        upstreams: Callable[[], dict[str, routes.Upstream]],
        zones_out: Callable[[], frozenset[str]],
        now_s: float,
    ):
        self._service = service
        self._upstreams = upstreams
        self._zones_out = zones_out
        self.by_incarnation: dict[keyspace.Incarnation, KeyOwner] = {}
        self.ended: set[keyspace.Incarnation] = set()
        # The present incarnation of each upstream as last listed, by its id.
        self._latest: dict[str, routes.Upstream] = {}
        # Why upstreams are left out of plans, as was logged, by their ids.
        self._left_out: dict[str, tuple[keyspace.Incarnation, str]] = {}
        self.last_joined_s = now_s
        self.orders_sent = 0
        self._under_way: set[http1.Connection] = set()

    def abandon_orders(self) -> None:
        """Discards all orders under way that have not been delivered."""
        for connection in self._under_way:
            connection.close()

    def close(self) -> None:
        """Closes all connections."""
        for owner in self.by_incarnation.values():
            for connection in owner.connections:
                connection.close()

    def refresh(self, now_s: float) -> None:
        """Adds upstreams that joined and updates changed addresses."""
        for upstream in self._upstreams().values():
            if upstream.service != self._service:
                continue
            owner = self.by_incarnation.get(upstream.incarnation)
            if owner is None:
                self._add(upstream, now_s)
            elif owner.address != upstream.address:
                owner.address = upstream.address
                self.ended.discard(upstream.incarnation)
            self._note_listed(upstream, now_s)

    def _add(self, upstream: routes.Upstream, now_s: float) -> None:
        incarnation = upstream.incarnation
        self.by_incarnation[incarnation] = KeyOwner(
            incarnation, upstream.address, upstream.slots, confirmed_s=now_s
        )
        self.last_joined_s = now_s

    def _note_listed(self, upstream: routes.Upstream, now_s: float) -> None:
        """Records which incarnation of an upstream is the present one."""
        earlier = self._latest.get(upstream.id)
        if earlier is not None and earlier.listed_at < upstream.listed_at:
            # What was known of its address need not hold for the new entry.
            self.ended.discard(upstream.incarnation)
        if earlier is not None and earlier.incarnation != upstream.incarnation:
            if not upstream_lives.replaces(upstream, earlier):
                return
            confirmed_s = self.by_incarnation[earlier.incarnation].confirmed_s
            events.log(
                events.UPSTREAM_RESTARTED,
                service=self._service,
                upstream=upstream.id,
                started_at_ms=upstream.started_at_ms,
                earlier_started_at_ms=earlier.started_at_ms,
                earlier_confirmed_ago_s=round(now_s - confirmed_s, 3),
                listed_at=str(upstream.listed_at),
                earlier_listed_at=str(earlier.listed_at),
            )
        self._latest[upstream.id] = upstream

    def is_replaced(self, incarnation: keyspace.Incarnation) -> bool:
        """Returns whether another incarnation of the upstream is listed.

        An order names only the id, so that one may have accepted grants that
        were meant for this one.
        """
        latest = self._latest.get(incarnation[0])
        return latest is not None and latest.incarnation != incarnation

    def holds_what_was_granted(
        self, owner: keyspace.Incarnation, former: keyspace.Incarnation
    ) -> bool:
        """Returns whether only `owner` may hold what was granted to `former`.

        That is so if they are starts of one upstream at one address, which is
        known without their order.
        """
        if owner[0] != former[0] or not self.is_replaced(former):
            return False
        present = self.by_incarnation.get(owner)
        earlier = self.by_incarnation.get(former)
        return (
            present is not None
            and earlier is not None
            and present.address == earlier.address
        )

    def note_address_reused(
        self, owner: KeyOwner, former: keyspace.Incarnation
    ) -> None:
        """Records that an owner's address answers for another upstream.

        Args:
          owner: the owner, which has ended.
          former: the incarnation whose keys it was asked to release. It has
            ended, too, if it had the same address.
        """
        if self.holds_what_was_granted(owner.incarnation, former):
            self.ended.add(former)
        self.ended.add(owner.incarnation)

    def may_own_keys(self, incarnation: keyspace.Incarnation) -> bool:
        """Returns whether an incarnation may be granted keys."""
        return incarnation not in self.ended and not self.is_replaced(
            incarnation
        )

    def holder_of_grants(
        self, incarnation: keyspace.Incarnation
    ) -> KeyOwner | None:
        """Returns the upstream that may hold an incarnation's keys now.

        This is the present incarnation of its id, or None if it is not known.
        """
        if self.is_replaced(incarnation):
            return self.by_incarnation[self._latest[incarnation[0]].incarnation]
        return self.by_incarnation.get(incarnation)

    def not_ended(self) -> list[KeyOwner]:
        """Returns the upstreams that were seen and may still run.

        One that is not listed any more may only have lost the store.
        """
        return [
            owner
            for incarnation, owner in self.by_incarnation.items()
            if self.may_own_keys(incarnation)
        ]

    def capacities(
        self,
        now_s: float,
        max_load_of: Callable[[str], float],
        may_try_failing: bool = True,
    ) -> dict[keyspace.Incarnation, key_plan.UpstreamCapacity]:
        """Returns the capacities of the upstreams that may get keys.

        Cold upstreams are included only if there is no warm one.

        Args:
          now_s: the current time.
          max_load_of: returns the load that an upstream takes, by its id.
          may_try_failing: whether upstreams that did not answer may get keys
            again after a while.
        """
        zones_out = self._zones_out()
        warm: dict[keyspace.Incarnation, key_plan.UpstreamCapacity] = {}
        cold: dict[keyspace.Incarnation, key_plan.UpstreamCapacity] = {}
        for upstream in self._upstreams().values():
            owner = self.by_incarnation.get(upstream.incarnation)
            if owner is None or upstream.service != self._service:
                continue
            reason = self._reason_left_out(upstream, owner, zones_out, now_s)
            self._note_left_out(upstream, reason)
            is_failing = owner.failing_since_s is not None
            if reason is not None or (is_failing and not may_try_failing):
                continue
            capacity = key_plan.UpstreamCapacity(
                owner.slots, owner.slowness, max_load_of(upstream.id)
            )
            if upstream.cold_remaining_s > 0:
                cold[upstream.incarnation] = capacity
            else:
                warm[upstream.incarnation] = capacity
        return warm or cold

    def _reason_left_out(
        self,
        upstream: routes.Upstream,
        owner: KeyOwner,
        zones_out: frozenset[str],
        now_s: float,
    ) -> str | None:
        """Returns why a listed upstream gets no keys, or None if it may."""
        if upstream.is_draining:
            return "draining"
        if upstream.zone in zones_out:
            return "zone-out"
        if owner.says_leaving:
            return "says-leaving"
        if now_s < owner.unusable_until_s:
            return "unreachable"
        if upstream.incarnation in self.ended:
            return "address-reused"
        if self.is_replaced(upstream.incarnation):
            return "replaced"
        return None

    def _note_left_out(
        self, upstream: routes.Upstream, reason: str | None
    ) -> None:
        """Logs once why an upstream is left out, until the reason changes."""
        told = self._left_out.get(upstream.id)
        if reason is None:
            self._left_out.pop(upstream.id, None)
        elif told != (upstream.incarnation, reason):
            self._left_out[upstream.id] = (upstream.incarnation, reason)
            events.log(
                events.UPSTREAM_LEFT_OUT,
                service=self._service,
                upstream=upstream.id,
                started_at_ms=upstream.started_at_ms,
                listed_at=str(upstream.listed_at),
                reason=reason,
            )

    def update_slowness(self, use: fleet_messages.UpstreamUse) -> None:
        """Updates the smoothed slowness of an upstream from a report."""
        for incarnation, owner in self.by_incarnation.items():
            if incarnation[0] == use.upstream and use.answers > 0:
                mean = use.slowness_sum / use.answers
                retained_ratio = SLOWNESS_DECAY_RATIO**use.answers
                slowness = owner.slowness * retained_ratio + mean * (
                    1 - retained_ratio
                )
                owner.slowness = min(
                    max(slowness, MIN_SLOWNESS_RATIO), MAX_SLOWNESS_RATIO
                )

    def opens_connection(self, owner: KeyOwner) -> bool:
        """Returns whether a grant to an owner needs a new connection."""
        now_s = asyncio.get_running_loop().time()
        return owner.failing_since_s is not None or not any(
            connection.is_reusable(now_s, MAX_IDLE_S)
            for connection in owner.connections
        )

    async def send_order(
        self,
        owner: KeyOwner,
        request: bytes,
        timeout_s: float,
        may_send: Callable[[], bool],
        on_new_connection: bool = False,
    ) -> OrderResult:
        """Sends one order and waits for the answer.

        Args:
          owner: the receiver.
          request: the encoded request.
          timeout_s: the time to wait for the answer.
          may_send: returns whether the order is still valid; called once the
            connection is open, as opening one may take long.
          on_new_connection: whether to open a new connection. On an idle one,
            a late answer to an earlier order could be taken as the answer to
            this order.
        """
        self.orders_sent += 1
        at_connection = 0
        connection: http1.Connection | None = None
        if not on_new_connection:
            connection = _take_idle(owner)
        try:
            if connection is None:
                connection = await http1.connect(
                    owner.address,
                    CONNECT_TIMEOUT_S,
                    user_timeout_ms=int(MAX_UNACKNOWLEDGED_S * 1000),
                )
                owner.opened_connections += 1
            if not may_send():
                owner.connections.append(connection)
                return OrderResult(error="overtaken", superseded=True)
            at_connection = owner.opened_connections
            self._under_way.add(connection)
            try:
                async with asyncio.timeout(timeout_s):
                    answer = await connection.exchange(
                        request,
                        body_limit_bytes=lambda _head: MAX_ANSWER_BODY_BYTES,
                    )
            finally:
                self._under_way.discard(connection)
        except TimeoutError:
            return OrderResult(
                error="no answer", written=True, at_connection=at_connection
            )
        except http1.ConnectionFailedError as error:
            if connection is not None:
                connection.close()
            return OrderResult(
                error=str(error),
                written=error.written,
                at_connection=at_connection,
            )
        if connection.usable:
            owner.connections.append(connection)
        return OrderResult(
            status=answer.status,
            written=True,
            answer=answer,
            at_connection=at_connection,
        )


def _take_idle(owner: KeyOwner) -> http1.Connection | None:
    now_s = asyncio.get_running_loop().time()
    while owner.connections:
        connection = owner.connections.pop()
        if connection.is_reusable(now_s, MAX_IDLE_S):
            return connection
        connection.close()
    return None
