"""Sends key grants and releases to the owners of one divided service."""

import asyncio
from collections.abc import Callable
import math

from sardinehill import events
from sardinehill.core import key_orders
from sardinehill.core import key_support
from sardinehill.core import keyspace
from sardinehill.core import leader_confirmation
from sardinehill.front import key_owners
from sardinehill.front import unknown_owners
from sardinehill.platform import http_messages

# The duration of a grant. It is short enough that keys of a vanished upstream
# are served again within seconds, and long enough that a new leader takes over
# before grants lapse.
GRANT_HOLD_S = 2.4
# A confirmed grant is renewed this long after it was created.
GRANT_RENEWAL_S = 0.65
ORDER_TIMEOUT_S = 0.4
TERM_VALIDITY_S = leader_confirmation.TERM_VALIDITY_S
# An upstream that has confirmed no grant for `OWNER_TIMEOUT_S` gets no new keys
# for `OWNER_EXCLUSION_S`.
OWNER_TIMEOUT_S = 1.1
OWNER_EXCLUSION_S = 2.0
# The time until a grant whose epoch was refused is sent again. It leaves time
# to raise the epoch in the store first.
FENCED_RETRY_S = 0.4
# How far epochs are raised when an owner has refused a grant because it has
# seen a higher epoch.
FENCED_EPOCH_STEP = 1000
MAX_NAMES_LOGGED = 16
# The statuses that say that a grant has not taken effect and will not: it is
# malformed, an epoch is higher, or another upstream has the address. After any
# other failure it may still be carried out.
GRANT_REFUSALS = (400, 409, 421)


def earlier_orders_end_s(now_s: float) -> float:
    """Returns when grants of an earlier leader have certainly lapsed.

    Args:
      now_s: the latest time at which that leader's term was confirmed.
    """
    return key_orders.latest_expiry_s(
        now_s + TERM_VALIDITY_S + ORDER_TIMEOUT_S, GRANT_HOLD_S
    )


def earlier_orders_arrived_s(now_s: float) -> float:
    """Returns when orders of an earlier leader have certainly arrived.

    Args:
      now_s: the latest time at which that leader's term was confirmed.
    """
    return (
        now_s
        + TERM_VALIDITY_S
        + ORDER_TIMEOUT_S
        + key_orders.IN_FLIGHT_MARGIN_S
    )


class OrderSender:
    """Renews the grants of one assignment's owners during one term.

    Public attributes:
      assignment: the assignment whose spans are granted.
    """

    def __init__(
        self,
        service: str,
        assignment: keyspace.KeyAssignment,
        owners: key_owners.KeyOwners,
        group: asyncio.TaskGroup,
        may_send_orders: Callable[[], bool],
        is_exclusive: Callable[[], bool],
        on_spans_changed: Callable[[], None],
        on_owners_changed: Callable[[], None],
        on_unreachable: Callable[[], None],
        on_former_gone: Callable[[], None],
        on_fenced: Callable[[key_orders.KeyGrant], None],
        clock_s: Callable[[], float],
        support: key_support.KeySupport | None = None,
    ):
        self._support = support or key_support.KeySupport()
        self._service = service
        self.assignment = assignment
        self._owners = owners
        self._group = group
        self._may_send_orders = may_send_orders
        self._is_exclusive = is_exclusive
        self._on_spans_changed = on_spans_changed
        self._on_owners_changed = on_owners_changed
        self._on_unreachable = on_unreachable
        self._on_former_gone = on_former_gone
        self._on_fenced = on_fenced
        self._clock_s = clock_s
        self._was_exclusive = False
        # Until then an order of an earlier leader may take effect.
        self._earlier_orders_end_s = math.inf
        # The upstreams for whose keys this leader waits, as last logged.
        self._waits_for: list[str] = []
        self._unknown_owners = unknown_owners.UnknownOwners(
            service, assignment, owners, group, may_send_orders, clock_s
        )

    def send_due(self) -> None:
        """Sends the grants and releases that are due."""
        self._owners.refresh(self._clock_s())
        if not self._may_send_orders():
            # This host may have been suspended with them in its kernel.
            self._owners.abandon_orders()
            return
        self._note_exclusive()
        if self._was_exclusive:
            self._unknown_owners.release_due()
        for span in self.assignment.spans:
            self._send_due_for_span(span, self._clock_s())
        if not self._was_exclusive:
            self._log_waiting(self._clock_s())

    def _log_waiting(self, now_s: float) -> None:
        """Logs for whose keys only an earlier leader's end is missing."""
        waits_for = sorted(
            {
                former.incarnation[0]
                for span in self.assignment.spans
                if (former := span.former_owner) is not None
                and not former.released
                and now_s >= former.may_hold_until_s
            }
        )
        if waits_for and waits_for != self._waits_for:
            events.log(
                events.LEADER_WAITS,
                service=self._service,
                upstreams=waits_for[:MAX_NAMES_LOGGED],
                count=len(waits_for),
            )
        self._waits_for = waits_for

    def _note_exclusive(self) -> None:
        """Extends the expiry of earlier leaders' orders.

        This happens once, when no earlier leader's term can be confirmed any
        more, because such a leader may have sent orders until then.
        """
        if not self._was_exclusive and self._is_exclusive():
            self._was_exclusive = True
            now_s = self._clock_s()
            self._earlier_orders_end_s = earlier_orders_end_s(now_s)
            key_orders.extend_for_previous_leader(
                self.assignment,
                self._earlier_orders_end_s,
                earlier_orders_arrived_s(now_s),
            )

    def _send_due_for_span(self, span: keyspace.Span, now_s: float) -> None:
        if (
            span.owner is None
            or span.order_pending
            or now_s < span.next_order_s
        ):
            return
        if span.former_owner is not None and not self._clear_former(
            span, now_s
        ):
            return
        if span.confirmed and span.granted_until_s < now_s:
            span.confirmed = False
            self._on_spans_changed()
        if not self._owners.may_own_keys(span.owner):
            return
        owner = self._owners.by_incarnation.get(span.owner)
        if owner is None:
            span.next_order_s = now_s + key_owners.ORDER_RETRY_S
            return
        if span.refused_epoch == span.epoch:
            self._ask_for_higher_epoch(span, now_s)
            return
        if self._needs_new_epoch(span, owner):
            key_orders.renew_epoch(self.assignment, span)
        delivery_deadline_s = (
            now_s + key_owners.CONNECT_TIMEOUT_S + ORDER_TIMEOUT_S
        )
        grant = key_orders.create_grant(
            span, now_s, delivery_deadline_s, GRANT_HOLD_S
        )
        self._group.create_task(self._grant(grant, owner))

    def _ask_for_higher_epoch(self, span: keyspace.Span, now_s: float) -> None:
        """Asks for a higher epoch of a span whose epoch was refused.

        A later leader may have sent the one that the owner has seen. This
        leader's is then raised only once the store has named it.
        """
        span.next_order_s = now_s + FENCED_RETRY_S
        self._on_fenced(key_orders.refused_grant(span, now_s))

    def _needs_new_epoch(
        self, span: keyspace.Span, owner: key_owners.KeyOwner
    ) -> bool:
        """Returns whether the next grant may reach a later incarnation.

        An order names only the id. A connection that was opened after an epoch
        was first sent may lead to a later incarnation, which must get the keys
        under a higher epoch than the earlier one had them.
        """
        sent_at = span.sent_at_connection
        if sent_at is None:
            return False
        return (
            sent_at != owner.opened_connections
            or self._owners.opens_connection(owner)
        )

    # former owners

    def _clear_former(self, span: keyspace.Span, now_s: float) -> bool:
        """Clears a span's former owner if it is gone, else asks it to release.

        Returns:
          Whether the former owner is gone, so that the new owner may be
          granted the span.
        """
        former = span.former_owner
        assert former is not None
        is_elsewhere = former.incarnation in self._owners.ended
        is_earlier_life = self._is_earlier_life(former.incarnation, span)
        if not is_earlier_life and not key_orders.former_owner_no_longer_holds(
            span, now_s, is_elsewhere, self._was_exclusive
        ):
            if is_elsewhere:
                span.next_order_s = now_s + key_owners.ORDER_RETRY_S
            elif not former.released:
                self._request_former(span, former, now_s)
            return False
        if not former.released and former.may_hold_until_s > 0:
            events.log(
                events.KEYS_LAPSED,
                service=self._service,
                first=span.first,
                last=span.last,
                upstream=former.incarnation[0],
                started_at_ms=former.incarnation[1],
                epoch=former.epoch,
                ended=is_elsewhere or is_earlier_life,
                exclusive=self._was_exclusive,
            )
        key_orders.clear_former_owner(span)
        self._on_former_gone()
        return True

    def _is_earlier_life(
        self, former: keyspace.Incarnation, span: keyspace.Span
    ) -> bool:
        """Returns whether a former owner was an earlier life of the owner.

        Then the owner may hold what was granted to the former one, and nobody
        has to give up the keys.
        """
        return span.owner is not None and self._owners.holds_what_was_granted(
            span.owner, former
        )

    def _request_former(
        self, span: keyspace.Span, former: keyspace.FormerOwner, now_s: float
    ) -> None:
        """Sends the former owner a higher epoch, then asks it to release.

        A grant of an earlier leader that arrives later cannot undo the release
        then. Later in a term the epoch is left out. An owner that does not
        answer is not sent epochs, as it may accept each of them later; it is
        asked to release until it answers.
        """
        if now_s >= self._earlier_orders_end_s:
            former.needs_fence = False
        owner = self._owners.holder_of_grants(former.incarnation)
        if owner is None:
            span.next_order_s = now_s + key_owners.ORDER_RETRY_S
        elif (
            not former.needs_fence
            or owner.failing_since_s is not None
            or owner.incarnation in self._owners.ended
        ):
            self._request_release(span, owner, now_s)
        elif former.pending_until_s == 0:
            self._request_fence(span, owner, now_s)

    def _request_fence(
        self, span: keyspace.Span, owner: key_owners.KeyOwner, now_s: float
    ) -> None:
        fence = key_orders.create_fence(
            self.assignment,
            span,
            now_s,
            now_s + key_owners.CONNECT_TIMEOUT_S + ORDER_TIMEOUT_S,
            GRANT_HOLD_S,
        )
        self._group.create_task(self._fence(fence, owner))

    async def _fence(
        self, fence: key_orders.KeyGrant, owner: key_owners.KeyOwner
    ) -> None:
        result = await self._owners.send_order(
            owner,
            _encode_grant(fence, owner),
            ORDER_TIMEOUT_S,
            lambda: (
                self._may_send_orders()
                and self._clock_s()
                < fence.delivery_deadline_s - ORDER_TIMEOUT_S
            ),
            on_new_connection=True,
        )
        now_s = self._clock_s()
        outcome = _grant_outcome(result)
        spans = key_orders.record_fence_outcome(
            self.assignment, fence, outcome, now_s
        )
        if result.status == 421:
            self._owners.note_address_reused(owner, fence.incarnation)
        elif result.status == 409:
            self._note_fenced(fence, now_s)
        elif (
            result.status is None
            and not result.superseded
            and owner.failing_since_s is None
        ):
            owner.failing_since_s = now_s
        is_settled = (
            outcome is key_orders.GrantOutcome.ACCEPTED
            or fence.incarnation in self._owners.ended
        )
        for span in spans:
            span.next_order_s = (
                0.0 if is_settled else now_s + key_owners.ORDER_RETRY_S
            )
        if self._may_send_orders():
            for span in spans:
                self._send_due_for_span(span, now_s)

    def _note_fenced(self, grant: key_orders.KeyGrant, now_s: float) -> None:
        """Records that an owner has refused a grant for a higher epoch."""
        self._support.note_refused(grant.first, grant.last, now_s)
        events.log(
            events.GRANT_FENCED,
            service=self._service,
            upstream=grant.incarnation[0],
            first=grant.first,
            last=grant.last,
            epoch=grant.epoch,
        )

    def _request_release(
        self, span: keyspace.Span, owner: key_owners.KeyOwner, now_s: float
    ) -> None:
        release = key_orders.create_release(span, now_s)
        self._group.create_task(self._release(release, owner))

    async def _release(
        self, release: key_orders.KeyRelease, owner: key_owners.KeyOwner
    ) -> None:
        request = http_messages.encode_release_request(
            owner.address,
            release.incarnation[0],
            release.first,
            release.last,
            release.former_epoch,
        )
        result = await self._owners.send_order(
            owner,
            request,
            key_owners.RELEASE_TIMEOUT_S,
            self._may_send_orders,
            on_new_connection=True,
        )
        now_s = self._clock_s()
        is_released = result.status == 200
        handover = None
        if is_released and result.answer is not None:
            handover = http_messages.parse_handover_token(result.answer)
        spans = key_orders.record_release_outcome(
            self.assignment, release, is_released, handover
        )
        if result.status == 421:
            self._owners.note_address_reused(owner, release.incarnation)
        is_settled = is_released or release.incarnation in self._owners.ended
        for span in spans:
            span.next_order_s = (
                0.0 if is_settled else now_s + key_owners.ORDER_RETRY_S
            )
        if is_released:
            self._note_reached(owner)
            events.log(
                events.KEYS_RELEASED,
                service=self._service,
                first=release.first,
                last=release.last,
                upstream=release.incarnation[0],
                started_at_ms=owner.incarnation[1],
                epoch=release.former_epoch,
                age_s=round(now_s - release.created_s, 3),
                handover=handover is not None,
            )
        elif result.status is None and owner.failing_since_s is None:
            owner.failing_since_s = now_s
        if self._may_send_orders():
            for span in spans:
                self._send_due_for_span(span, now_s)

    # current owners

    async def _grant(
        self, grant: key_orders.KeyGrant, owner: key_owners.KeyOwner
    ) -> None:
        result = await self._owners.send_order(
            owner,
            _encode_grant(grant, owner),
            ORDER_TIMEOUT_S,
            lambda: self._is_still_valid(grant, owner),
            # An unanswered grant may still be accepted, which delays the move
            # of its keys. A grant for which no connection opens is not sent.
            on_new_connection=owner.failing_since_s is not None,
        )
        now_s = self._clock_s()
        outcome = _grant_outcome(result)
        if outcome is key_orders.GrantOutcome.UNANSWERED:
            events.log(
                events.GRANT_ABANDONED,
                service=self._service,
                upstream=grant.incarnation[0],
                first=grant.first,
                last=grant.last,
                epoch=grant.epoch,
                age_s=round(now_s - grant.created_s, 3),
                status=result.status,
                error=result.error,
            )
        spans = key_orders.record_grant_outcome(
            self.assignment, grant, outcome, now_s, GRANT_HOLD_S
        )
        for span in spans:
            if result.written:
                span.sent_at_connection = result.at_connection
            if outcome is key_orders.GrantOutcome.ACCEPTED:
                self._note_granted(span, grant)
            elif result.superseded:
                span.next_order_s = 0.0
            elif result.status == 409:
                span.refused_epoch = grant.epoch
                span.next_order_s = now_s + FENCED_RETRY_S
            else:
                span.next_order_s = now_s + key_owners.ORDER_RETRY_S
        if not result.superseded:
            self._update_owner(owner, grant, result)

    def _is_still_valid(
        self, grant: key_orders.KeyGrant, owner: key_owners.KeyOwner
    ) -> bool:
        """Returns whether a grant may still be sent.

        It may not after its term lost its confirmation, when an answer could
        come only after its delivery deadline, when its keys have moved, or when
        a later incarnation would receive it, or might under the same epoch.
        """
        return (
            self._may_send_orders()
            and self._owners.may_own_keys(grant.incarnation)
            and self._clock_s() < grant.delivery_deadline_s - ORDER_TIMEOUT_S
            and key_orders.is_current(self.assignment, grant)
            and key_orders.may_send_at_connection(
                self.assignment, grant, owner.opened_connections
            )
        )

    def _note_granted(
        self, span: keyspace.Span, grant: key_orders.KeyGrant
    ) -> None:
        span.granted_until_s = grant.created_s + GRANT_HOLD_S
        span.accepted_s = grant.created_s
        span.next_order_s = grant.created_s + GRANT_RENEWAL_S
        span.handover = None
        if not span.confirmed:
            span.confirmed = True
            self._on_spans_changed()
            events.log(
                events.KEYS_GRANTED,
                service=self._service,
                first=span.first,
                last=span.last,
                upstream=grant.incarnation[0],
                epoch=span.epoch,
            )

    def _update_owner(
        self,
        owner: key_owners.KeyOwner,
        grant: key_orders.KeyGrant,
        result: key_owners.OrderResult,
    ) -> None:
        """Updates an owner's availability from the outcome of a grant."""
        now_s = self._clock_s()
        if result.status != 421 and _says_leaving(result):
            self._note_leaving(owner)
        if result.status == 200:
            self._note_reached(owner)
            owner.confirmed_s = now_s
            return
        if result.status == 409:
            self._note_fenced(grant, now_s)
            self._on_fenced(grant)
            return
        if result.status == 421:
            # Another upstream has this address, so this incarnation has ended.
            self._owners.ended.add(owner.incarnation)
            self._on_owners_changed()
            return
        self._note_unanswered(owner, result, now_s)

    def _note_reached(self, owner: key_owners.KeyOwner) -> None:
        if owner.failing_since_s is not None:
            owner.failing_since_s = None
            events.log(events.UPSTREAM_REACHED, upstream=owner.incarnation[0])

    def _note_leaving(self, owner: key_owners.KeyOwner) -> None:
        if not owner.says_leaving:
            owner.says_leaving = True
            events.log(events.UPSTREAM_LEAVES, upstream=owner.incarnation[0])
            self._on_owners_changed()

    def _note_unanswered(
        self,
        owner: key_owners.KeyOwner,
        result: key_owners.OrderResult,
        now_s: float,
    ) -> None:
        if owner.failing_since_s is None:
            owner.failing_since_s = now_s
            events.log(
                events.GRANT_UNANSWERED,
                service=self._service,
                upstream=owner.incarnation[0],
                status=result.status,
                error=result.error,
            )
        if now_s - owner.confirmed_s > OWNER_TIMEOUT_S:
            if now_s >= owner.unusable_until_s:
                events.log(
                    events.UPSTREAM_UNREACHABLE,
                    upstream=owner.incarnation[0],
                    error=result.error,
                )
                self._on_unreachable()
            owner.unusable_until_s = now_s + OWNER_EXCLUSION_S


def _encode_grant(
    grant: key_orders.KeyGrant, owner: key_owners.KeyOwner
) -> bytes:
    return http_messages.encode_grant_request(
        owner.address,
        grant.incarnation[0],
        grant.first,
        grant.last,
        grant.epoch,
        grant.hold_s,
        grant.handover,
    )


def _says_leaving(result: key_owners.OrderResult) -> bool:
    return result.answer is not None and http_messages.says_leaving(
        result.answer
    )


def _grant_outcome(
    result: key_owners.OrderResult,
) -> key_orders.GrantOutcome:
    if result.status == 200:
        return key_orders.GrantOutcome.ACCEPTED
    if result.status in GRANT_REFUSALS:
        return key_orders.GrantOutcome.REFUSED
    if result.written:
        return key_orders.GrantOutcome.UNANSWERED
    return key_orders.GrantOutcome.UNSENT
