"""Sends one divided service's grants and releases, and learns from answers."""

import asyncio
from collections.abc import Callable

from sardinehill import events
from sardinehill.core import key_orders
from sardinehill.core import keyspace
from sardinehill.front import owners as owners_module
from sardinehill.platform import exchanges

# Short enough that the keys of an upstream that vanished are served again in
# seconds, long enough for another leader to take over before they lapse.
HOLD_S = 2.4
RENEW_S = 0.65
ORDER_TIMEOUT_S = 0.5
RELEASE_TIMEOUT_S = 1.5
ORDER_RETRY_S = 0.15
# A leader that is replaced may send orders for so long after its last word
# with the store or a majority of daemons.
LICENCE_S = 1.6
# An upstream that confirmed no grant for so long gets no keys.
SILENT_OWNER_S = 1.1
UNUSABLE_S = 2.0
# A refused epoch is raised in the store first.
FENCED_RETRY_S = 0.4


def earlier_end_s(now_s: float) -> float:
    """Returns when orders of a leader whose licence ends now have lapsed."""
    return key_orders.latest_end_s(now_s + LICENCE_S + ORDER_TIMEOUT_S, HOLD_S)


class Orders:
    """Keeps one assignment's owners granted, in one term.

    Public attributes:
      assignment: whose spans are served.
    """

    def __init__(
        self,
        service: str,
        assignment: keyspace.Assignment,
        owners: owners_module.Owners,
        group: asyncio.TaskGroup,
        is_licensed: Callable[[], bool],
        is_settled: Callable[[], bool],
        on_change: Callable[[], None],
        on_owners_changed: Callable[[], None],
        on_settled: Callable[[], None],
        on_fenced: Callable[[key_orders.Grant], None],
        clock_s: Callable[[], float],
    ):
        self._service = service
        self.assignment = assignment
        self._owners = owners
        self._group = group
        self._is_licensed = is_licensed
        self._is_settled = is_settled
        self._on_change = on_change
        self._on_owners_changed = on_owners_changed
        self._on_settled = on_settled
        self._on_fenced = on_fenced
        self._clock_s = clock_s
        self._was_settled = False

    def serve(self) -> None:
        """Sends the grants and releases that are due."""
        self._owners.learn(self._clock_s())
        if not self._is_licensed():
            return
        self._note_settled()
        for span in self.assignment.spans:
            self._serve_span(span, self._clock_s())

    def _note_settled(self) -> None:
        """Learns when no earlier leader can have its licence renewed."""
        if not self._was_settled and self._is_settled():
            self._was_settled = True
            key_orders.extend_earlier(
                self.assignment, earlier_end_s(self._clock_s())
            )

    def _serve_span(self, span: keyspace.Span, now_s: float) -> None:
        if span.owner is None or span.ordering or now_s < span.next_order_s:
            return
        if span.former is not None and not self._settle(span, now_s):
            return
        if span.live and span.granted_until_s < now_s:
            span.live = False
            self._on_change()
        if span.owner in self._owners.dead:
            return
        owner = self._owners.by_life.get(span.owner)
        if owner is None:
            span.next_order_s = now_s + ORDER_RETRY_S
            return
        closed_by_s = now_s + owners_module.CONNECT_TIMEOUT_S + ORDER_TIMEOUT_S
        grant = key_orders.decide_grant(span, now_s, closed_by_s, HOLD_S)
        self._group.create_task(self._grant(grant, owner))

    # former owners

    def _settle(self, span: keyspace.Span, now_s: float) -> bool:
        """Returns whether a span's owner may be granted it."""
        former = span.former
        assert former is not None
        is_dead = former.life in self._owners.dead
        # While an earlier leader may still renew grants, only the former
        # owner's own word counts.
        judged_s = now_s if self._was_settled else 0.0
        if not key_orders.former_is_gone(span, judged_s, is_dead):
            if not former.released:
                self._ask_for_release(span, now_s)
            return False
        if not former.released and former.holds_until_s > 0:
            events.log(
                events.KEYS_LAPSED,
                service=self._service,
                first=span.first,
                last=span.last,
                upstream=former.life[0],
                ended=is_dead,
            )
        key_orders.settle(span)
        self._on_settled()
        return True

    def _ask_for_release(self, span: keyspace.Span, now_s: float) -> None:
        assert span.former is not None
        owner = self._owners.by_life.get(span.former.life)
        if owner is None:
            span.next_order_s = now_s + ORDER_RETRY_S
            return
        release = key_orders.decide_release(span, now_s)
        self._group.create_task(self._release(release, owner))

    async def _release(
        self, release: key_orders.Release, owner: owners_module.Owner
    ) -> None:
        request = exchanges.release_request(
            owner.address,
            release.life[0],
            release.first,
            release.last,
            release.former_epoch,
        )
        result = await self._owners.order(
            owner,
            request,
            RELEASE_TIMEOUT_S,
            self._is_licensed,
            on_new_connection=True,
        )
        now_s = self._clock_s()
        is_released = result.status == 200
        handover = None
        if is_released and result.answer is not None:
            handover = exchanges.handover_of(result.answer)
        waiting = key_orders.conclude_release(
            self.assignment, release, is_released, handover
        )
        if result.status == 421:
            self._owners.dead.add(release.life)
        is_over = result.status in (200, 421)
        for span in waiting:
            span.next_order_s = 0.0 if is_over else now_s + ORDER_RETRY_S
        if is_released:
            events.log(
                events.KEYS_RELEASED,
                service=self._service,
                first=release.first,
                last=release.last,
                upstream=release.life[0],
                handover=handover is not None,
            )
        elif result.status is None and owner.failing_since_s is None:
            owner.failing_since_s = now_s
        if self._is_licensed():
            for span in waiting:
                self._serve_span(span, now_s)

    # owners

    async def _grant(
        self, grant: key_orders.Grant, owner: owners_module.Owner
    ) -> None:
        request = exchanges.grant_request(
            owner.address,
            grant.life[0],
            grant.first,
            grant.last,
            grant.epoch,
            HOLD_S,
            grant.handover,
        )
        result = await self._owners.order(
            owner, request, ORDER_TIMEOUT_S, lambda: self._may_send(grant)
        )
        now_s = self._clock_s()
        outcome = _outcome(result)
        spans = key_orders.conclude_grant(
            self.assignment, grant, outcome, now_s, HOLD_S
        )
        for span in spans:
            if outcome is key_orders.Outcome.TAKEN:
                self._confirmed(span, grant)
            else:
                is_fenced = result.status == 409
                span.next_order_s = now_s + (
                    FENCED_RETRY_S if is_fenced else ORDER_RETRY_S
                )
        if not result.overtaken:
            self._judge(owner, grant, result)

    def _may_send(self, grant: key_orders.Grant) -> bool:
        """Returns whether a grant still holds when it is about to leave."""
        return (
            self._is_licensed()
            and self._clock_s() < grant.closed_by_s - ORDER_TIMEOUT_S
            and key_orders.is_current(self.assignment, grant)
        )

    def _confirmed(self, span: keyspace.Span, grant: key_orders.Grant) -> None:
        span.granted_until_s = grant.decided_s + HOLD_S
        span.next_order_s = grant.decided_s + RENEW_S
        span.handover = None
        if not span.live:
            span.live = True
            self._on_change()
            events.log(
                events.KEYS_GRANTED,
                service=self._service,
                first=span.first,
                last=span.last,
                upstream=grant.life[0],
                epoch=span.epoch,
            )

    def _judge(
        self,
        owner: owners_module.Owner,
        grant: key_orders.Grant,
        result: owners_module.OrderResult,
    ) -> None:
        """Learns from a grant's outcome whether the owner is any good."""
        now_s = self._clock_s()
        if result.status == 200:
            if owner.failing_since_s is not None:
                owner.failing_since_s = None
                events.log(events.UPSTREAM_REACHED, upstream=owner.life[0])
            owner.confirmed_s = now_s
            return
        if result.status == 409:
            events.log(
                events.GRANT_FENCED,
                service=self._service,
                upstream=owner.life[0],
                first=grant.first,
                last=grant.last,
                epoch=grant.epoch,
            )
            self._on_fenced(grant)
            return
        if result.status == 421:
            # The address belongs to another upstream: this one has ended.
            self._owners.dead.add(owner.life)
            self._on_owners_changed()
            return
        self._note_unanswered(owner, result, now_s)

    def _note_unanswered(
        self,
        owner: owners_module.Owner,
        result: owners_module.OrderResult,
        now_s: float,
    ) -> None:
        if owner.failing_since_s is None:
            owner.failing_since_s = now_s
            events.log(
                events.GRANT_UNANSWERED,
                service=self._service,
                upstream=owner.life[0],
                status=result.status,
                error=result.error,
            )
        if now_s - owner.confirmed_s > SILENT_OWNER_S:
            if now_s >= owner.unusable_until_s:
                events.log(
                    events.UPSTREAM_UNREACHABLE,
                    upstream=owner.life[0],
                    error=result.error,
                )
                self._on_owners_changed()
            owner.unusable_until_s = now_s + UNUSABLE_S


def _outcome(result: owners_module.OrderResult) -> key_orders.Outcome:
    if result.status == 200:
        return key_orders.Outcome.TAKEN
    if result.status is not None:
        return key_orders.Outcome.REFUSED
    if result.written:
        return key_orders.Outcome.UNANSWERED
    return key_orders.Outcome.UNSENT
