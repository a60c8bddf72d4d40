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
from sardinehill import http1
from sardinehill.core import fleet_messages
from sardinehill.core import key_plan
from sardinehill.core import key_use
from sardinehill.core import keyspace
from sardinehill.front import assignment_store
from sardinehill.front import owners as owners_module
from sardinehill.platform import exchanges

# Short enough that the keys of an upstream that vanished are served again in
# seconds, long enough for another leader to take over before they lapse.
HOLD_S = 2.4
RENEW_S = 0.65
ORDER_TIMEOUT_S = 0.5
RELEASE_TIMEOUT_S = 1.5
ORDER_RETRY_S = 0.15
TICK_S = 0.05
PLAN_INTERVAL_S = 0.3
# A leader that is replaced may send orders for so long after its last word
# with the store or a majority of daemons.
LICENCE_S = 1.6
# An upstream that confirmed no grant for so long gets no keys.
SILENT_OWNER_S = 1.1
UNUSABLE_S = 2.0
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
        self._use = key_use.KeyUse(clock_s())
        self._plan_due_s = 0.0
        self._loaded_s = 0.0
        self._plan_now = asyncio.Event()
        self._order_now = asyncio.Event()
        self._writing = asyncio.Lock()
        self._clean_due_s: float | None = None
        self._group: asyncio.TaskGroup | None = None
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
    def orders(self) -> int:
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
        await self._load()
        self._on_change()
        try:
            async with asyncio.TaskGroup() as group:
                self._group = group
                group.create_task(self._keep_planned())
                await self._keep_ordered()
        finally:
            self._group = None
            self._owners.close()

    async def _load(self) -> None:
        """Reads the assignment and raises its epochs above any other's."""
        while True:
            sent_s = self._clock_s() + LICENCE_S
            found = await self._store.read(
                keyspace.latest_end_s(sent_s, HOLD_S)
            )
            if found is not None:
                keyspace.renew_epochs(found)
                keyspace.merge(found)
                if await self._store.write(found):
                    self._assignment = found
                    self._loaded_s = self._clock_s()
                    return
            await asyncio.sleep(CONFLICT_RETRY_S)

    async def _keep_planned(self) -> None:
        """Writes new owners down when there are better ones.

        Apart from the orders: a store that does not answer must not keep
        owners from being granted what they have.
        """
        while True:
            try:
                await self._plan_if_due(self._clock_s())
            except Exception as error:
                # Owners keep what they have, whatever is wrong with a plan.
                events.log_failure(events.TASK_FAILED, error, task="plan")
                await asyncio.sleep(PLAN_INTERVAL_S)
            await self._pause(self._plan_now)

    async def _plan_if_due(self, now_s: float) -> None:
        async with self._writing:
            if now_s >= self._plan_due_s:
                self._plan_due_s = now_s + PLAN_INTERVAL_S
                await self._plan(now_s)
            elif self._clean_due_s and now_s >= self._clean_due_s:
                await self._clean_up()

    async def _keep_ordered(self) -> None:
        """Sends the grants and releases that are due."""
        while True:
            self._owners.learn(self._clock_s())
            if self._is_licensed():
                assert self._assignment is not None
                for span in self._assignment.spans:
                    self._serve_span(span, self._clock_s())
            await self._pause(self._order_now)

    async def _pause(self, wanted: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(TICK_S):
                await wanted.wait()
        except TimeoutError:
            return
        wanted.clear()

    async def _plan(self, now_s: float) -> None:
        assignment = self._assignment
        assert assignment is not None
        if (
            assignment.top_epoch == 0
            and now_s - self._owners.joined_s < GATHERING_S
        ):
            return
        if not self._has_confirmed_owners(now_s):
            self._plan_due_s = now_s + TICK_S
            return
        capacities = self._owners.capacities(now_s)
        moves = key_plan.plan(
            assignment, capacities, self._weights(), key_plan.PlanPolicy()
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

    def _has_confirmed_owners(self, now_s: float) -> bool:
        """Returns whether owners have seen this leader's epochs.

        Before that, an earlier leader's order could still take effect at an
        owner that has released its keys. One that does not answer is not
        waited for: its keys move when its last grant has lapsed.
        """
        assert self._assignment is not None
        if now_s - self._loaded_s > CONFIRM_LIMIT_S:
            return True
        return all(
            span.granted_until_s > 0 or span.former is not None
            for span in self._assignment.spans
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

    async def _clean_up(self) -> None:
        """Writes down that former owners are gone."""
        self._clean_due_s = None
        assignment = self._assignment
        assert assignment is not None
        if any(span.former is not None for span in assignment.spans):
            self._clean_due_s = self._clock_s() + CLEAN_UP_S
            return
        await self._store.write(assignment)

    def _weights(self) -> key_plan.Weights:
        return key_plan.Weights(
            self._use.loads(self._clock_s()),
            BASE_LOAD_REQUESTS / keyspace.KEY_COUNT,
        )

    # orders

    def _serve_span(self, span: keyspace.Span, now_s: float) -> None:
        if span.owner is None or span.ordering or now_s < span.next_order_s:
            return
        assert self._group is not None
        if span.former is not None:
            is_dead = span.former.life in self._owners.dead
            # While an earlier leader may still renew grants, only the former
            # owner's own word counts.
            judged_s = now_s if self._is_settled() else 0.0
            if not keyspace.former_is_gone(span, judged_s, is_dead):
                if not span.former.released:
                    span.ordering = True
                    self._group.create_task(self._release(span))
                return
            if not span.former.released:
                events.log(
                    events.KEYS_LAPSED,
                    service=self._service,
                    first=span.first,
                    last=span.last,
                    upstream=span.former.life[0],
                    ended=is_dead,
                )
            keyspace.settle(span, span.handover)
            self._clean_due_s = now_s + CLEAN_UP_S
        if span.live and span.granted_until_s < now_s:
            span.live = False
            self._on_change()
        if span.owner in self._owners.dead:
            return
        span.ordering = True
        self._group.create_task(self._grant(span))

    async def _grant(self, span: keyspace.Span) -> None:
        assert span.owner is not None
        owner = self._owners.by_life.get(span.owner)
        if owner is None:
            span.ordering = False
            span.next_order_s = self._clock_s() + ORDER_RETRY_S
            return
        life, epoch = span.owner, span.epoch
        first, last = span.first, span.last
        sent_s = self._clock_s()
        pending = keyspace.grant_sent(
            span,
            sent_s + owners_module.CONNECT_TIMEOUT_S + ORDER_TIMEOUT_S,
            HOLD_S,
        )
        request = exchanges.grant_request(
            owner.address, life[0], first, last, epoch, HOLD_S, span.handover
        )
        status, failure, _ = await self._owners.order(
            owner,
            request,
            ORDER_TIMEOUT_S,
            lambda: (
                self._is_licensed() and self._is_whole(first, last, life, epoch)
            ),
        )
        arrived_s = self._clock_s()
        never_sent = failure is not None and not failure.written
        for part in self._parts(first, last, life, epoch):
            part.ordering = False
            if never_sent:
                keyspace.grant_never_sent(part, pending)
            elif status is not None:
                keyspace.grant_answered(part, pending)
            if status == 200:
                self._confirmed(part, owner, sent_s, arrived_s)
            else:
                part.next_order_s = arrived_s + ORDER_RETRY_S
                if status == 409:
                    # Not before its epoch has been raised in the store.
                    part.next_order_s = arrived_s + 2 * CONFLICT_RETRY_S
        for former in self._former_parts(first, last, life, epoch):
            if never_sent:
                keyspace.grant_never_sent(former, pending)
            elif status is not None:
                keyspace.grant_answered(former, pending)
            if status == 200:
                keyspace.note_regranted(former, arrived_s, HOLD_S)
        self._judge(owner, status, failure, first, last, epoch)

    def _confirmed(
        self,
        span: keyspace.Span,
        owner: owners_module.Owner,
        sent_s: float,
        arrived_s: float,
    ) -> None:
        span.granted_until_s = sent_s + HOLD_S
        keyspace.grant_taken(span, arrived_s, HOLD_S)
        span.next_order_s = sent_s + RENEW_S
        span.handover = None
        if not span.live:
            span.live = True
            self._on_change()
            events.log(
                events.KEYS_GRANTED,
                service=self._service,
                first=span.first,
                last=span.last,
                upstream=owner.life[0],
                epoch=span.epoch,
            )

    def _parts(
        self, first: int, last: int, life: keyspace.Life, epoch: int
    ) -> list[keyspace.Span]:
        """Returns what is left of a span that an order was sent for."""
        assert self._assignment is not None
        return [
            span
            for span in self._assignment.spans
            if first <= span.first
            and span.last <= last
            and span.owner == life
            and span.epoch == epoch
        ]

    def _is_whole(
        self, first: int, last: int, life: keyspace.Life, epoch: int
    ) -> bool:
        """Returns whether a span is still as an order for it says."""
        keys = sum(
            part.last - part.first + 1
            for part in self._parts(first, last, life, epoch)
        )
        return keys == last - first + 1

    def _former_parts(
        self, first: int, last: int, life: keyspace.Life, epoch: int
    ) -> list[keyspace.Former]:
        assert self._assignment is not None
        return [
            span.former
            for span in self._assignment.spans
            if first <= span.first
            and span.last <= last
            and span.former is not None
            and span.former.life == life
            and span.former.epoch == epoch
        ]

    def _judge(
        self,
        owner: owners_module.Owner,
        status: int | None,
        failure: http1.ConnectionFailedError | None,
        first: int,
        last: int,
        epoch: int,
    ) -> None:
        """Learns from an order's outcome whether the owner is any good."""
        now_s = self._clock_s()
        if status == 200:
            if owner.failing_since_s is not None:
                owner.failing_since_s = None
                events.log(events.UPSTREAM_REACHED, upstream=owner.life[0])
            owner.confirmed_s = now_s
            return
        if status == 409:
            self._fenced(owner, first, last, epoch)
            return
        if status == 421:
            # The address belongs to another upstream: this one has ended.
            self._owners.dead.add(owner.life)
            self.upstreams_changed()
            return
        if owner.failing_since_s is None:
            owner.failing_since_s = now_s
            events.log(
                events.GRANT_UNANSWERED,
                service=self._service,
                upstream=owner.life[0],
                status=status,
                error=str(failure),
            )
        if now_s - owner.confirmed_s > SILENT_OWNER_S:
            if now_s >= owner.unusable_until_s:
                events.log(
                    events.UPSTREAM_UNREACHABLE,
                    upstream=owner.life[0],
                    error=str(failure),
                )
                self._plan_due_s = 0.0
            owner.unusable_until_s = now_s + UNUSABLE_S

    def _fenced(
        self, owner: owners_module.Owner, first: int, last: int, epoch: int
    ) -> None:
        """Raises the epoch of a span whose owner has seen a higher one."""
        events.log(
            events.GRANT_FENCED,
            service=self._service,
            upstream=owner.life[0],
            first=first,
            last=last,
            epoch=epoch,
        )
        assert self._group is not None
        self._group.create_task(self._raise_epoch(first, last, owner, epoch))

    async def _raise_epoch(
        self, first: int, last: int, owner: owners_module.Owner, epoch: int
    ) -> None:
        assignment = self._assignment
        assert assignment is not None
        async with self._writing:
            if not self._parts(first, last, owner.life, epoch):
                return
            raised = _copy(assignment)
            raised.top_epoch += FENCED_LEAP
            for span in raised.spans:
                if first <= span.first and span.last <= last:
                    span.epoch = raised.next_epoch()
            if not await self._store.write(raised):
                return
            for part in self._parts(first, last, owner.life, epoch):
                part.epoch = keyspace.find(raised.spans, part.first).epoch
                part.next_order_s = 0.0
            assignment.top_epoch = raised.top_epoch

    async def _release(self, span: keyspace.Span) -> None:
        former = span.former
        assert former is not None
        first, last, epoch = span.first, span.last, span.epoch
        owner = self._owners.by_life.get(former.life)
        if owner is None:
            span.ordering = False
            span.next_order_s = self._clock_s() + ORDER_RETRY_S
            return
        request = exchanges.release_request(
            owner.address, former.life[0], first, last, former.epoch
        )
        sent_s = self._clock_s()
        status, failure, answer = await self._owners.order(
            owner, request, RELEASE_TIMEOUT_S, self._is_licensed
        )
        now_s = self._clock_s()
        handover = exchanges.handover_of(answer) if answer else None
        assert self._assignment is not None
        for part in self._assignment.spans:
            if not (first <= part.first and part.last <= last):
                continue
            if part.epoch != epoch or part.former is None:
                continue
            part.ordering = False
            if status == 200:
                if part.former.life == former.life:
                    keyspace.note_released(part.former, sent_s)
                part.handover = handover
                part.next_order_s = 0.0
            elif status == 421:
                self._owners.dead.add(former.life)
                part.next_order_s = 0.0
            else:
                part.next_order_s = now_s + ORDER_RETRY_S
        if status == 200:
            events.log(
                events.KEYS_RELEASED,
                service=self._service,
                first=first,
                last=last,
                upstream=former.life[0],
                handover=handover is not None,
            )
        elif failure is not None and owner.failing_since_s is None:
            owner.failing_since_s = now_s
        self._order_now.set()


def _copy(assignment: keyspace.Assignment) -> keyspace.Assignment:
    spans = [
        dataclasses.replace(
            span,
            former=dataclasses.replace(span.former) if span.former else None,
        )
        for span in assignment.spans
    ]
    return keyspace.Assignment(spans, assignment.top_epoch)
