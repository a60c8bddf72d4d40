"""The leader's duty for one divided service: who owns its keys.

An assignment is written to the store before any order that follows from it.
Owners are granted their keys for a short time, again and again; a former
owner is asked to release its keys, and the next one is granted them when it
has answered or when its last grant has lapsed.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from sardinehill import events
from sardinehill.core import fleet_messages
from sardinehill.core import key_orders
from sardinehill.core import key_plan
from sardinehill.core import key_use
from sardinehill.core import keyspace
from sardinehill.front import assignment_store
from sardinehill.front import orders
from sardinehill.front import owners as owners_module

TICK_S = 0.05
PLAN_INTERVAL_S = 0.3
# Planning takes at most one part in so many of a leader's time.
PLAN_TIME_PARTS = 8
# Spread over all keys, so that unused ones are divided evenly as well.
BASE_LOAD_REQUESTS = 0.5
CLEAN_UP_S = 0.3
# The very first plan waits until no upstream has joined for so long.
GATHERING_S = 1.0
# A new leader waits so long for owners to confirm its epochs.
CONFIRM_LIMIT_S = 0.6
CONFLICT_RETRY_S = 0.2
FENCED_LEAP = 1000


class Keeper:
    """Keeps one service's keys owned while this daemon leads."""

    def __init__(
        self,
        service: str,
        store: assignment_store.AssignmentStore,
        owners: owners_module.Owners,
        is_licensed: Callable[[], bool],
        is_settled: Callable[[], bool],
        on_change: Callable[[], None],
        clock_s: Callable[[], float],
    ):
        self._service = service
        self._store = store
        self._owners = owners
        self._is_licensed = is_licensed
        self._is_settled = is_settled
        self._on_change = on_change
        self._clock_s = clock_s
        self._assignment: keyspace.Assignment | None = None
        self._orders: orders.Orders | None = None
        self._use = key_use.KeyUse(clock_s())
        self._plan_due_s = 0.0
        self._loaded_s = 0.0
        self._plan_now = asyncio.Event()
        self._order_now = asyncio.Event()
        self._writing = asyncio.Lock()
        self._clean_due_s: float | None = None
        self.moved_keys = 0

    # what the rest of the daemon asks

    def table(self) -> list[fleet_messages.TableSpan]:
        """Returns the spans as daemons route by them."""
        if self._assignment is None:
            return []
        return [
            fleet_messages.TableSpan(
                span.first, span.last, span.owner[0], span.epoch, span.live
            )
            for span in self._assignment.spans
            if span.owner is not None
        ]

    def note_use(self, use: fleet_messages.KeyUse) -> None:
        """Takes in which keys were asked for."""
        self._use.add(use.keys, max(use.latency_s, 0.001), self._clock_s())

    def note_upstream(self, use: fleet_messages.UpstreamUse) -> None:
        """Takes in how slow an upstream was, against the others."""
        self._owners.note_slowness(use)

    @property
    def orders_sent(self) -> int:
        """How many orders were sent."""
        return self._owners.orders

    def note_refused(self, refused: fleet_messages.RefusedSpan) -> None:
        """Grants a span again that its owner says it does not hold."""
        if self._assignment is None:
            return
        span = keyspace.find(self._assignment.spans, refused.key)
        if span.live and span.epoch == refused.epoch and not span.ordering:
            span.next_order_s = 0.0

    def upstreams_changed(self) -> None:
        """Has the plan made again at once."""
        self._plan_due_s = 0.0
        self._plan_now.set()

    # the duty

    async def run(self) -> None:
        """Keeps the keys owned until cancelled."""
        assignment = await self._load()
        self._assignment = assignment
        self._loaded_s = self._clock_s()
        self._on_change()
        try:
            async with asyncio.TaskGroup() as group:
                self._orders = orders.Orders(
                    self._service,
                    assignment,
                    self._owners,
                    group,
                    self._is_licensed,
                    self._is_settled,
                    self._on_change,
                    self.upstreams_changed,
                    self._clean_up_soon,
                    lambda grant: self._raise_soon(group, grant),
                    self._clock_s,
                )
                group.create_task(self._keep_planned(assignment))
                await self._keep_ordered(self._orders)
        finally:
            self._orders = None
            self._owners.close()

    async def _load(self) -> keyspace.Assignment:
        """Reads the assignment and raises its epochs above any other's."""
        while True:
            found = await self._store.read(
                orders.earlier_end_s(self._clock_s())
            )
            if found is not None:
                keyspace.renew_epochs(found)
                keyspace.merge(found)
                if await self._store.write(found):
                    return found
            await asyncio.sleep(CONFLICT_RETRY_S)

    async def _keep_planned(self, assignment: keyspace.Assignment) -> None:
        """Writes new owners down when there are better ones.

        Apart from the orders: a store that does not answer must not keep
        owners from being granted what they have.
        """
        while True:
            try:
                await self._plan_if_due(assignment, self._clock_s())
            except Exception as error:
                # Owners keep what they have, whatever is wrong with a plan.
                events.log_failure(events.TASK_FAILED, error, task="plan")
                await asyncio.sleep(PLAN_INTERVAL_S)
            await self._pause(self._plan_now)

    async def _plan_if_due(
        self, assignment: keyspace.Assignment, now_s: float
    ) -> None:
        async with self._writing:
            if now_s >= self._plan_due_s:
                self._plan_due_s = now_s + PLAN_INTERVAL_S
                await self._plan(assignment, now_s)
            elif self._clean_due_s and now_s >= self._clean_due_s:
                await self._clean_up(assignment)

    async def _keep_ordered(self, sender: orders.Orders) -> None:
        """Sends the grants and releases that are due."""
        while True:
            sender.serve()
            await self._pause(self._order_now)

    async def _pause(self, wanted: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(TICK_S):
                await wanted.wait()
        except TimeoutError:
            return
        wanted.clear()

    async def _plan(
        self, assignment: keyspace.Assignment, now_s: float
    ) -> None:
        if (
            assignment.top_epoch == 0
            and now_s - self._owners.joined_s < GATHERING_S
        ):
            return
        if not self._has_confirmed_owners(assignment, now_s):
            self._plan_due_s = now_s + TICK_S
            return
        capacities = self._owners.capacities(now_s)
        began_s = self._clock_s()
        moves = key_plan.plan(
            assignment, capacities, self._weights(), key_plan.PlanPolicy()
        )
        took_s = self._clock_s() - began_s
        self._plan_due_s = max(
            self._plan_due_s, now_s + PLAN_TIME_PARTS * took_s
        )
        if not moves:
            return
        planned = _copy(assignment)
        transfers = keyspace.apply_moves(planned, moves)
        if not transfers:
            return
        if await self._store.write(planned):
            # Orders that were answered meanwhile are noted in the assignment
            # that was not copied, so the changes are made there as well.
            keyspace.apply_transfers(assignment, transfers)
            self._clean_due_s = None
            self._order_now.set()
            self._on_change()
            self._log_moves(moves, capacities)

    def _has_confirmed_owners(
        self, assignment: keyspace.Assignment, now_s: float
    ) -> bool:
        """Returns whether owners have seen this leader's epochs.

        Before that, an earlier leader's order could still take effect at an
        owner that has released its keys. One that does not answer is not
        waited for: its keys move when its last grant has lapsed.
        """
        if now_s - self._loaded_s > CONFIRM_LIMIT_S:
            return True
        return all(
            span.granted_until_s > 0 or span.former is not None
            for span in assignment.spans
            if span.owner in self._owners.by_life
        )

    def _log_moves(
        self,
        moves: list[keyspace.Move],
        capacities: dict[keyspace.Life, key_plan.Capacity],
    ) -> None:
        keys = sum(move.last - move.first + 1 for move in moves)
        self.moved_keys += keys
        events.log(
            events.KEYS_MOVED,
            service=self._service,
            moves=[[move.first, move.last, move.to[0]] for move in moves[:8]],
            keys=keys,
            upstreams=len(capacities),
            revision=self._store.revision,
        )

    def _clean_up_soon(self) -> None:
        self._clean_due_s = self._clock_s() + CLEAN_UP_S

    async def _clean_up(self, assignment: keyspace.Assignment) -> None:
        """Writes down that former owners are gone."""
        self._clean_due_s = None
        if any(span.former is not None for span in assignment.spans):
            self._clean_up_soon()
            return
        await self._store.write(assignment)

    def _weights(self) -> key_plan.Weights:
        return key_plan.Weights(
            self._use.loads(self._clock_s()),
            BASE_LOAD_REQUESTS / keyspace.KEY_COUNT,
        )

    def _raise_soon(
        self, group: asyncio.TaskGroup, grant: key_orders.Grant
    ) -> None:
        group.create_task(self._raise_epoch(grant))

    async def _raise_epoch(self, grant: key_orders.Grant) -> None:
        """Raises the epoch of keys whose owner has seen a higher one."""
        assignment = self._assignment
        assert assignment is not None
        async with self._writing:
            raised = _copy(assignment)
            if not key_orders.raise_epoch(raised, grant, FENCED_LEAP):
                return
            if await self._store.write(raised):
                key_orders.raise_epoch(assignment, grant, FENCED_LEAP)


def _copy(assignment: keyspace.Assignment) -> keyspace.Assignment:
    spans = [
        dataclasses.replace(
            span,
            former=dataclasses.replace(span.former) if span.former else None,
        )
        for span in assignment.spans
    ]
    return keyspace.Assignment(spans, assignment.top_epoch)
