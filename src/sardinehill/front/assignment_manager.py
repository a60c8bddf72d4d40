"""Plans and stores the key assignment of one divided service.

An assignment is written to the store before any order that follows from it is
sent. Owners hold their keys by short grants that are renewed. When keys move,
the former owner is asked to release them; the new owner is granted the keys
once the former one has answered or its last grant has lapsed.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import fractions
import math

from sardinehill import events
from sardinehill.core import fleet_messages
from sardinehill.core import key_load
from sardinehill.core import key_orders
from sardinehill.core import key_plan
from sardinehill.core import key_support
from sardinehill.core import keyspace
from sardinehill.core import leader_confirmation
from sardinehill.core.load import close_plan
from sardinehill.core.load import hot_ranges
from sardinehill.core.load import named_limits
from sardinehill.core.load import steady_capacity
from sardinehill.front import assignment_store
from sardinehill.front import key_owners
from sardinehill.front import order_sender

# The planning loop and the order loop run at least this often.
LOOP_INTERVAL_S = 0.05
PLAN_INTERVAL_S = 0.3
# After a plan starts, the next one starts no earlier than this many times the
# duration of planning, so that planning takes at most one eighth of the
# leader's time.
PLAN_INTERVAL_RATIO = 8
# A load, in requests under way, that is spread over all keys, so that unused
# keys are divided evenly as well.
BASE_LOAD_REQUESTS = 0.5
# After a former owner is gone, the assignment is stored without it this much
# later.
CLEAN_UP_DELAY_S = 0.3
# The first plan of a service waits until no upstream has joined for this long.
FIRST_PLAN_QUIET_S = 1.0
# A new leader waits at most this long for owners to confirm its epochs.
CONFIRM_TIMEOUT_S = 0.6
# After a new leader has failed to read or store the assignment, it pauses for
# this long before it tries again, beginning with the read.
READ_RETRY_S = 0.2
# After an upstream was found unreachable, nothing is planned for this long. A
# leader that is cut off finds all of them unreachable one after the other, and
# must notice the cut before it moves their keys. The moves gain nothing from an
# earlier plan, as the last grants of an unreachable upstream must lapse first.
UNREACHABLE_SETTLING_S = 0.3


class AssignmentManager:
    """Assigns one service's keys to upstreams while this daemon leads.

    Public attributes:
      moved_keys: the number of keys that were given a new owner.
    """

    def __init__(
        self,
        service: str,
        store: assignment_store.AssignmentStore,
        owners: key_owners.KeyOwners,
        may_send_orders: Callable[[], bool],
        is_exclusive: Callable[[], bool],
        on_spans_changed: Callable[[], None],
        clock_s: Callable[[], float],
        rate_limit_per_s: Callable[[str], float | None],
        has_support: Callable[
            [Callable[[], fractions.Fraction]], bool
        ] = lambda share: True,
        store_silent_s: Callable[[], float] = lambda: 0.0,
        excludes_earlier: Callable[
            [
                leader_confirmation.KeyExclusion,
                Callable[[], fractions.Fraction],
            ],
            bool,
        ] = lambda exclusion, share: False,
        balances_closely: Callable[[], bool] = lambda: False,
    ):
        self._service = service
        self._rate_limit_per_s = rate_limit_per_s
        self._store = store
        self._owners = owners
        self._is_term_confirmed = may_send_orders
        self._has_support = has_support
        self._store_silent_s = store_silent_s
        self._support = key_support.KeySupport()
        self._is_term_exclusive = is_exclusive
        self._excludes_earlier = excludes_earlier
        self._exclusion = leader_confirmation.KeyExclusion()
        self._on_spans_changed = on_spans_changed
        self._clock_s = clock_s
        self._assignment: keyspace.KeyAssignment | None = None
        self._order_sender: order_sender.OrderSender | None = None
        self._key_load = key_load.KeyLoadTracker(clock_s())
        self._balances_closely = balances_closely
        # None while keys are not balanced closely.
        self._hot_ranges: hot_ranges.HotRangeTracker | None = None
        self._capacity_filter = steady_capacity.CapacityFilter(clock_s())
        self._plan_due_s = 0.0
        self._first_stored_at_s = 0.0
        self._plan_wanted = asyncio.Event()
        self._orders_wanted = asyncio.Event()
        self._write_lock = asyncio.Lock()
        # The first and last key and the epoch of the spans being raised.
        self._raising: set[tuple[int, int, int]] = set()
        self._clean_up_due_s: float | None = None
        # Set after an upstream was found unreachable: until then it may turn
        # out that this daemon is cut off.
        self._no_plan_until_s: float | None = None
        self.moved_keys = 0

    # interface to the leader's other tasks

    def table_spans(self) -> list[fleet_messages.OwnerSpan]:
        """Returns the owned spans for the leader table."""
        if self._assignment is None:
            return []
        return [
            fleet_messages.OwnerSpan(
                span.first, span.last, span.owner[0], span.epoch, span.confirmed
            )
            for span in self._assignment.spans
            if span.owner is not None
        ]

    def note_key_use(self, use: fleet_messages.KeyUse) -> None:
        """Adds a daemon's report of requested keys to the load estimate."""
        now_s = self._clock_s()
        self._key_load.add(use.keys, max(use.latency_s, 0.001), now_s)
        if not self._balances_closely():
            self._hot_ranges = None
            return
        if self._hot_ranges is None:
            self._hot_ranges = hot_ranges.HotRangeTracker(now_s)
        self._hot_ranges.add(use.keys, now_s)

    def note_upstream_use(self, use: fleet_messages.UpstreamUse) -> None:
        """Updates how slow an upstream is compared with the others."""
        self._owners.update_slowness(use)

    @property
    def orders_sent(self) -> int:
        """The number of orders sent to upstreams."""
        return self._owners.orders_sent

    def regrant_refused(self, refused: fleet_messages.RefusedKey) -> None:
        """Schedules a new grant for a span whose owner refused a request."""
        if self._assignment is None:
            return
        span = keyspace.find_span(self._assignment.spans, refused.key)
        if (
            span.confirmed
            and span.first_epoch <= refused.epoch <= span.epoch
            and not span.order_pending
        ):
            span.next_order_s = 0.0

    def replan(self) -> None:
        """Schedules a new plan at once."""
        self._plan_due_s = 0.0
        self._plan_wanted.set()

    def _note_unreachable(self) -> None:
        """Schedules a plan without an upstream that was found unreachable."""
        if self._no_plan_until_s is None:
            self._no_plan_until_s = self._clock_s() + UNREACHABLE_SETTLING_S
        self.replan()

    # support by the owners of the keys

    def _may_send_orders(self) -> bool:
        """Returns whether the term is confirmed for this service's orders."""
        return self._is_term_confirmed() and self._has_support(
            self.accepted_share
        )

    def is_exclusive(self) -> bool:
        """Returns whether no earlier leader sends orders for this service."""
        return self._is_term_exclusive() or self._excludes_earlier(
            self._exclusion, self.held_share
        )

    @property
    def has_owners(self) -> bool:
        """Whether any key has an owner."""
        return self._assignment is not None and keyspace.has_owners(
            self._assignment
        )

    def accepted_share(self) -> fractions.Fraction:
        """Returns the share of the keys whose grants support this leader."""
        if self._assignment is None:
            return fractions.Fraction(0)
        self._forget_refusals()
        return key_support.accepted_share(
            self._support, self._assignment, self._clock_s()
        )

    def held_share(self) -> fractions.Fraction:
        """Returns the share of the keys that support no earlier leader."""
        if self._assignment is None:
            return fractions.Fraction(0)
        return key_support.held_share(self._assignment, self._clock_s())

    def refuses_half_of_keys(self) -> bool:
        """Returns whether owners of half of the keys follow a later leader.

        They have refused grants since the store last named this leader.
        """
        self._forget_refusals()
        return key_support.refuses_half(self._support)

    def _forget_refusals(self) -> None:
        self._support.forget_before(self._clock_s() - self._store_silent_s())

    # planning and orders

    async def run(self) -> None:
        """Assigns keys and sends orders to their owners until cancelled."""
        assignment = await self._read_and_store()
        self._assignment = assignment
        self._first_stored_at_s = self._clock_s()
        self._on_spans_changed()
        try:
            async with asyncio.TaskGroup() as group:
                self._order_sender = order_sender.OrderSender(
                    self._service,
                    assignment,
                    self._owners,
                    group,
                    self._may_send_orders,
                    self.is_exclusive,
                    self._on_spans_changed,
                    self.replan,
                    self._note_unreachable,
                    self._schedule_clean_up,
                    lambda grant: self._schedule_epoch_raise(group, grant),
                    self._clock_s,
                    self._support,
                )
                group.create_task(self._run_planning(assignment))
                await self._run_orders(self._order_sender)
        finally:
            self._order_sender = None
            self._owners.close()

    async def _read_and_store(self) -> keyspace.KeyAssignment:
        """Reads the assignment and stores it with new, higher epochs."""
        while True:
            now_s = self._clock_s()
            assignment = await self._store.read(
                order_sender.earlier_orders_end_s(now_s),
                order_sender.earlier_orders_arrived_s(now_s),
            )
            if assignment is not None:
                keyspace.renew_epochs(assignment)
                keyspace.merge_spans(assignment)
                if await self._store.write(assignment):
                    return assignment
            await asyncio.sleep(READ_RETRY_S)

    async def _run_planning(self, assignment: keyspace.KeyAssignment) -> None:
        """Plans periodically and stores plans that improve the assignment.

        This runs apart from the orders, so that a store that does not answer
        does not delay the renewal of grants.
        """
        while True:
            try:
                await self._plan_if_due(assignment, self._clock_s())
            except Exception as error:
                # Owners keep their keys when planning fails.
                events.log_with_traceback(
                    events.TASK_FAILED, error, task="plan"
                )
                await asyncio.sleep(PLAN_INTERVAL_S)
            await self._pause(self._plan_wanted)

    async def _plan_if_due(
        self, assignment: keyspace.KeyAssignment, now_s: float
    ) -> None:
        async with self._write_lock:
            if now_s >= self._plan_due_s:
                self._plan_due_s = now_s + PLAN_INTERVAL_S
                if self._store.is_lost:
                    await self._store.write_again(assignment)
                elif self._store.is_trusted_late:
                    await self._store.write(assignment)
                else:
                    await self._plan(assignment, now_s)
            elif self._clean_up_due_s and now_s >= self._clean_up_due_s:
                await self._clean_up(assignment)

    async def _run_orders(self, orders: order_sender.OrderSender) -> None:
        """Sends the grants and releases that are due."""
        while True:
            orders.send_due()
            await self._pause(self._orders_wanted)

    async def _pause(self, event: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(LOOP_INTERVAL_S):
                await event.wait()
        except TimeoutError:
            return
        event.clear()

    async def _plan(
        self, assignment: keyspace.KeyAssignment, now_s: float
    ) -> None:
        if not self._may_plan(assignment, now_s):
            return
        if self._balances_closely():
            keyspace.join_confirmed_spans(assignment)
        capacities = self._capacities(now_s)
        began_s = self._clock_s()
        moves = self._planned_moves(assignment, capacities)
        planning_s = self._clock_s() - began_s
        self._plan_due_s = max(
            self._plan_due_s, now_s + PLAN_INTERVAL_RATIO * planning_s
        )
        if not moves:
            return
        planned = _copy(assignment)
        transfers = keyspace.apply_moves(planned, moves)
        if not transfers:
            return
        if await self._store.write(planned):
            # Answers to orders during the write were recorded in the original
            # assignment, so the changes are applied to it and not replaced by
            # the copy.
            keyspace.apply_transfers(assignment, transfers)
            self._clean_up_due_s = None
            self._orders_wanted.set()
            self._on_spans_changed()
            self._log_moves(moves, capacities)

    def _capacities(
        self, now_s: float
    ) -> dict[keyspace.Incarnation, key_plan.UpstreamCapacity]:
        """Returns the capacities of the upstreams that may get keys."""
        # Until the leader is exclusive, keys that an upstream has released for
        # one that is not reached could not be moved on.
        capacities = self._owners.capacities(
            now_s, self._max_load, may_try_failing=self.is_exclusive()
        )
        if self._balances_closely():
            return self._capacity_filter.smoothed(capacities, now_s)
        return capacities

    def _planned_moves(
        self,
        assignment: keyspace.KeyAssignment,
        capacities: dict[keyspace.Incarnation, key_plan.UpstreamCapacity],
    ) -> list[keyspace.KeyMove]:
        loads = self._key_loads()
        if not self._balances_closely():
            return key_plan.plan(
                assignment, capacities, loads, key_plan.PlanPolicy()
            )
        is_hot = self._hot_ranges is not None and self._hot_ranges.ranges
        policy = (
            close_plan.HOT_RANGE_POLICY if is_hot else close_plan.ClosePolicy()
        )
        return close_plan.plan(assignment, capacities, loads, policy)

    def _may_plan(
        self, assignment: keyspace.KeyAssignment, now_s: float
    ) -> bool:
        """Returns whether enough is known of the upstreams for a plan now."""
        if (
            not keyspace.has_owners(assignment)
            and now_s - self._owners.last_joined_s < FIRST_PLAN_QUIET_S
        ):
            return False
        if not self._has_confirmed_owners(assignment, now_s):
            self._plan_due_s = now_s + LOOP_INTERVAL_S
            return False
        if self._no_plan_until_s is not None and now_s < self._no_plan_until_s:
            self._plan_due_s = self._no_plan_until_s
            return False
        self._no_plan_until_s = None
        return True

    def _has_confirmed_owners(
        self, assignment: keyspace.KeyAssignment, now_s: float
    ) -> bool:
        """Returns whether owners have confirmed this leader's epochs.

        Before that, an order of an earlier leader could still take effect at
        an owner that has released its keys. After `CONFIRM_TIMEOUT_S`, planning
        no longer waits for owners that do not answer: their keys move when
        their last grant has lapsed.
        """
        if now_s - self._first_stored_at_s > CONFIRM_TIMEOUT_S:
            return True
        return all(
            span.granted_until_s > 0 or span.former_owner is not None
            for span in assignment.spans
            if span.owner in self._owners.by_incarnation
        )

    def _log_moves(
        self,
        moves: list[keyspace.KeyMove],
        capacities: dict[keyspace.Incarnation, key_plan.UpstreamCapacity],
    ) -> None:
        keys = sum(move.last - move.first + 1 for move in moves)
        self.moved_keys += keys
        events.log(
            events.KEYS_MOVED,
            service=self._service,
            moves=[
                [move.first, move.last, move.new_owner[0]] for move in moves[:8]
            ],
            keys=keys,
            upstreams=len(capacities),
            revision=self._store.revision,
        )

    def _schedule_clean_up(self) -> None:
        self._clean_up_due_s = self._clock_s() + CLEAN_UP_DELAY_S

    async def _clean_up(self, assignment: keyspace.KeyAssignment) -> None:
        """Stores the assignment once no span has a former owner."""
        self._clean_up_due_s = None
        if any(span.former_owner is not None for span in assignment.spans):
            self._schedule_clean_up()
            return
        await self._store.write(assignment)

    def _max_load(self, upstream: str) -> float:
        """Returns the load that an upstream takes, which it may limit."""
        rate_per_s = self._rate_limit_per_s(upstream)
        if rate_per_s is None:
            return math.inf
        return self._key_load.load_at_rate(
            max(rate_per_s, named_limits.MIN_RATE_PER_S)
        )

    def _key_loads(self) -> key_plan.KeyLoads:
        return key_plan.KeyLoads(
            self._used_key_loads(self._clock_s()),
            BASE_LOAD_REQUESTS / keyspace.KEY_COUNT,
        )

    def _used_key_loads(self, now_s: float) -> dict[int, float]:
        """Returns the load of each used key, in requests in flight."""
        tracker = self._hot_ranges
        if tracker is None or not tracker.is_ready(now_s):
            return self._key_load.loads(now_s)
        load_per_rate = self._key_load.load_at_rate(1.0)
        return {
            key: rate * load_per_rate
            for key, rate in tracker.rates(now_s).items()
        }

    def _schedule_epoch_raise(
        self, group: asyncio.TaskGroup, grant: key_orders.KeyGrant
    ) -> None:
        """Raises an epoch in a task, unless one is waiting for the store."""
        keys = (grant.first, grant.last, grant.epoch)
        if keys in self._raising:
            return
        self._raising.add(keys)
        task = group.create_task(self._raise_epoch(grant))
        task.add_done_callback(lambda _: self._raising.discard(keys))

    async def _raise_epoch(self, grant: key_orders.KeyGrant) -> None:
        """Raises the epoch of keys whose owner has seen a higher epoch."""
        assignment = self._assignment
        assert assignment is not None
        async with self._write_lock:
            raised = _copy(assignment)
            if not key_orders.raise_epoch(
                raised, grant, order_sender.FENCED_EPOCH_STEP
            ):
                return
            if await self._store.write(raised):
                key_orders.raise_epoch(
                    assignment, grant, order_sender.FENCED_EPOCH_STEP
                )


def _copy(assignment: keyspace.KeyAssignment) -> keyspace.KeyAssignment:
    spans = [
        dataclasses.replace(
            span,
            former_owner=dataclasses.replace(span.former_owner)
            if span.former_owner
            else None,
        )
        for span in assignment.spans
    ]
    return keyspace.KeyAssignment(spans, assignment.top_epoch)
