"""Creates orders to the owners of keys and records their outcomes.

An order is created at one moment and sent later, and owners may change in
between. An order therefore keeps the state that it was created for and is sent
only while that state is current. Until its outcome is known it counts as
accepted.
"""

from collections.abc import Iterator
import dataclasses
import enum

from sardinehill.core import keyspace

# How much slower an upstream's clock may run while it measures a grant.
CLOCK_DRIFT_RATIO = 0.02
# How long an order may still be in flight after its connection is closed.
IN_FLIGHT_MARGIN_S = 0.15
# A grant whose only purpose is its epoch lasts for this long at least.
MIN_FENCE_HOLD_S = 0.1


class GrantOutcome(enum.Enum):
    """The outcome of a grant.

    `ACCEPTED`: the owner has the keys. `REFUSED`: the owner answered that it
    does not take them. `UNSENT`: no byte of the grant was sent. `UNANSWERED`:
    the connection was closed, and the grant may still take effect.
    """

    ACCEPTED = "taken"
    REFUSED = "refused"
    UNSENT = "unsent"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyGrant:
    """A grant of the keys `first` to `last`.

    Attributes:
      first: the lowest key.
      last: the highest key.
      incarnation: the upstream's id and start time.
      epoch: the epoch under which it gets the keys.
      handover: what the former owner left for it, or None.
      created_s: when the grant was created.
      delivery_deadline_s: by then the grant has arrived, or its connection is
        closed.
      hold_s: how long it lasts from its arrival.
    """

    first: int
    last: int
    incarnation: keyspace.Incarnation
    epoch: int
    handover: str | None
    created_s: float
    delivery_deadline_s: float
    hold_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRelease:
    """An order to a former owner to give up the keys `first` to `last`.

    Attributes:
      first: the lowest key.
      last: the highest key.
      incarnation: the former owner's id and start time.
      former_epoch: the epoch under which it had the keys.
      epoch: the epoch under which the next owner gets them.
      created_s: when the release was created.
    """

    first: int
    last: int
    incarnation: keyspace.Incarnation
    former_epoch: int
    epoch: int
    created_s: float


def latest_expiry_s(sent_s: float, hold_s: float) -> float:
    """Returns when a grant that was in flight until `sent_s` has expired."""
    return sent_s + hold_s * (1 + CLOCK_DRIFT_RATIO) + IN_FLIGHT_MARGIN_S


def create_grant(
    span: keyspace.Span, now_s: float, delivery_deadline_s: float, hold_s: float
) -> KeyGrant:
    """Creates a grant of a span to its owner.

    Args:
      span: a span with an owner and no former owner; it counts as granted from
        now on.
      now_s: the time.
      delivery_deadline_s: by then the grant has arrived, or its connection is
        closed.
      hold_s: how long the grant lasts from its arrival.
    """
    assert span.owner is not None
    assert span.former_owner is None
    grant = KeyGrant(
        span.first,
        span.last,
        span.owner,
        span.epoch,
        span.handover,
        now_s,
        delivery_deadline_s,
        hold_s,
    )
    span.pending_until_s = latest_expiry_s(delivery_deadline_s, hold_s)
    span.order_pending = True
    return grant


def refused_grant(span: keyspace.Span, now_s: float) -> KeyGrant:
    """Returns what was refused of a span, which counts as sent by now."""
    assert span.owner is not None
    return KeyGrant(
        span.first, span.last, span.owner, span.epoch, None, now_s, now_s, 0.0
    )


def is_current(assignment: keyspace.KeyAssignment, grant: KeyGrant) -> bool:
    """Returns whether all keys of a grant still have its owner and epoch."""
    keys = sum(
        span.last - span.first + 1 for span in _current_spans(assignment, grant)
    )
    return keys == grant.last - grant.first + 1


def record_grant_outcome(
    assignment: keyspace.KeyAssignment,
    grant: KeyGrant,
    outcome: GrantOutcome,
    now_s: float,
    hold_s: float,
) -> list[keyspace.Span]:
    """Records the outcome of a grant, also for keys that have since moved.

    Args:
      assignment: the present assignment, changed in place.
      grant: the grant that was sent or was to be sent.
      outcome: the outcome.
      now_s: the time of the answer, or of the connection's end.
      hold_s: how long the grant lasts from its arrival.

    Returns:
      The spans that still have the grant's owner and epoch.
    """
    spans = list(_current_spans(assignment, grant))
    for span in spans:
        span.order_pending = False
        _record_outcome(span, outcome, now_s, hold_s)
        if outcome is GrantOutcome.ACCEPTED:
            span.may_hold_until_s = max(
                latest_expiry_s(now_s, hold_s), span.in_flight_until_s
            )
            span.previous_leader_until_s = 0.0
    for former in _former_owners(assignment, grant):
        _record_outcome(former, outcome, now_s, hold_s)
        if outcome is GrantOutcome.ACCEPTED:
            # The grant may have arrived after a release and thus undone it.
            former.last_granted_s = now_s
            former.previous_leader_until_s = 0.0
            former.may_hold_until_s = max(
                latest_expiry_s(now_s, hold_s), former.in_flight_until_s
            )
            former.released = False
    return spans


def _record_outcome(
    holder: keyspace.Span | keyspace.FormerOwner,
    outcome: GrantOutcome,
    now_s: float,
    hold_s: float,
) -> None:
    """Ends the wait for a grant's outcome.

    What was learnt of other orders since the grant was created is kept.
    """
    pending_until_s, holder.pending_until_s = holder.pending_until_s, 0.0
    if outcome is GrantOutcome.UNANSWERED:
        # The connection may have been closed later than planned.
        pending_until_s = max(pending_until_s, latest_expiry_s(now_s, hold_s))
        _add_in_flight(holder, pending_until_s)
    elif outcome is GrantOutcome.REFUSED:
        holder.may_hold_until_s = max(holder.may_hold_until_s, pending_until_s)


def _add_in_flight(
    holder: keyspace.Span | keyspace.FormerOwner, until_s: float
) -> None:
    """Records that a grant may take effect until a time."""
    holder.may_hold_until_s = max(holder.may_hold_until_s, until_s)
    holder.in_flight_until_s = max(holder.in_flight_until_s, until_s)


def _current_spans(
    assignment: keyspace.KeyAssignment, grant: KeyGrant
) -> Iterator[keyspace.Span]:
    """Yields the spans that still have a grant's owner and epoch."""
    for span in _spans_within(assignment, grant):
        if span.owner == grant.incarnation and span.epoch == grant.epoch:
            yield span


def _former_owners(
    assignment: keyspace.KeyAssignment, grant: KeyGrant
) -> Iterator[keyspace.FormerOwner]:
    """Yields the former owners that had a grant's keys under its epoch."""
    for span in _spans_within(assignment, grant):
        former = span.former_owner
        if former is None:
            continue
        if (
            former.incarnation == grant.incarnation
            and former.epoch == grant.epoch
        ):
            yield former


def _spans_within(
    assignment: keyspace.KeyAssignment, order: KeyGrant | KeyRelease
) -> Iterator[keyspace.Span]:
    for span in assignment.spans:
        if order.first <= span.first and span.last <= order.last:
            yield span


def create_fence(
    assignment: keyspace.KeyAssignment,
    span: keyspace.Span,
    now_s: float,
    delivery_deadline_s: float,
    hold_s: float,
) -> KeyGrant:
    """Creates a grant that gives a span's former owner a higher epoch.

    Once it has accepted that epoch, it refuses all grants that were sent
    before, also those whose answer was taken from another order. The next
    owner's epoch rises above it. The grant lasts no longer than what the former
    owner may hold already, so that the move is not delayed.

    Args:
      assignment: the assignment, changed in place.
      span: a span whose former owner has no grant without an outcome.
      now_s: the time.
      delivery_deadline_s: by then the grant has arrived, or its connection is
        closed.
      hold_s: how long grants last at most.
    """
    former = span.former_owner
    assert former is not None
    left_s = former.may_hold_until_s - now_s
    hold_s = min(max(left_s, MIN_FENCE_HOLD_S), hold_s)
    former.epoch = assignment.next_epoch()
    former.pending_until_s = latest_expiry_s(delivery_deadline_s, hold_s)
    span.epoch = span.first_epoch = assignment.next_epoch()
    span.sent_at_connection = None
    span.order_pending = True
    return KeyGrant(
        span.first,
        span.last,
        former.incarnation,
        former.epoch,
        None,
        now_s,
        delivery_deadline_s,
        hold_s,
    )


def record_fence_outcome(
    assignment: keyspace.KeyAssignment,
    fence: KeyGrant,
    outcome: GrantOutcome,
    now_s: float,
) -> list[keyspace.Span]:
    """Records the outcome of a grant that `create_fence` created.

    One that is refused or unanswered is not sent again, as it could put off the
    end of what the former owner may hold each time. The release then counts
    once the grant can take no effect any more.

    Returns:
      The spans that still wait for that former owner.
    """
    held_until_s = [
        (former, former.may_hold_until_s)
        for former in _former_owners(assignment, fence)
    ]
    # No later epoch was sent, so one that is refused gives the owner nothing.
    is_refused = outcome is GrantOutcome.REFUSED
    record_grant_outcome(
        assignment,
        fence,
        GrantOutcome.UNSENT if is_refused else outcome,
        now_s,
        fence.hold_s,
    )
    for fenced, until_s in held_until_s:
        # It lasts no longer than an earlier grant, which it does not shorten.
        fenced.may_hold_until_s = max(fenced.may_hold_until_s, until_s)
    spans = []
    for span in _spans_within(assignment, fence):
        former = span.former_owner
        if former is None or (former.incarnation, former.epoch) != (
            fence.incarnation,
            fence.epoch,
        ):
            continue
        span.order_pending = False
        former.needs_fence = outcome is GrantOutcome.UNSENT
        spans.append(span)
    return spans


def create_release(span: keyspace.Span, now_s: float) -> KeyRelease:
    """Creates an order to the former owner of a span to give it up."""
    assert span.former_owner is not None
    span.order_pending = True
    return KeyRelease(
        span.first,
        span.last,
        span.former_owner.incarnation,
        span.former_owner.epoch,
        span.epoch,
        now_s,
    )


def record_release_outcome(
    assignment: keyspace.KeyAssignment,
    release: KeyRelease,
    is_released: bool,
    handover: str | None,
) -> list[keyspace.Span]:
    """Records the outcome of a release.

    Args:
      assignment: the present assignment, changed in place.
      release: the release that was sent.
      is_released: whether the former owner answered that it gave up the keys.
      handover: what it left for the next owner, or None.

    Returns:
      The spans that still wait for that former owner.
    """
    spans = []
    for span in _spans_within(assignment, release):
        former = span.former_owner
        if span.epoch != release.epoch or former is None:
            continue
        if former.incarnation != release.incarnation:
            continue
        span.order_pending = False
        spans.append(span)
        if is_released:
            span.handover = handover or span.handover
            is_overtaken = release.created_s < former.last_granted_s
            if not former.needs_fence and not is_overtaken:
                former.released = True
    return spans


def former_owner_no_longer_holds(
    span: keyspace.Span,
    now_s: float,
    is_elsewhere: bool,
    is_exclusive: bool = True,
) -> bool:
    """Returns whether a span's former owner no longer holds it.

    Args:
      span: a span that waits for a former owner.
      now_s: the time, by the same clock as `may_hold_until_s`.
      is_exclusive: whether no earlier leader may renew grants any more. Until
        then only an owner that has seen this leader's epoch counts, and only
        by its release, or one that was never granted the keys.
      is_elsewhere: whether another upstream answers at the address to which
        this leader's orders went, so that none of them has an effect any more.
    """
    former = span.former_owner
    if former is None:
        return True
    if not is_exclusive and (
        former.previous_leader_until_s > 0
        or former.incarnation == keyspace.UNKNOWN_OWNER
    ):
        return False
    if is_elsewhere:
        # An earlier leader may have known it at another address.
        return now_s >= former.previous_leader_until_s
    arrived_s = max(
        former.in_flight_until_s,
        former.pending_until_s,
        former.previous_leader_until_s,
    )
    if now_s < arrived_s:
        return False
    was_never_granted = former.may_hold_until_s == 0
    return (
        former.released
        or was_never_granted
        or (is_exclusive and now_s >= former.may_hold_until_s)
    )


def clear_former_owner(span: keyspace.Span) -> None:
    """Removes the former owner, so that the owner may be granted the span.

    If both are starts of one upstream, the owner may hold what was granted to
    the former one, also if it is never granted the span itself.
    """
    former = span.former_owner
    if (
        former is not None
        and not former.released
        and span.owner is not None
        and span.owner[0] == former.incarnation[0]
    ):
        _take_over_times(span, former)
    span.former_owner = None
    span.next_order_s = 0.0


def _take_over_times(span: keyspace.Span, former: keyspace.FormerOwner) -> None:
    span.may_hold_until_s = max(span.may_hold_until_s, former.may_hold_until_s)
    _add_in_flight(span, max(former.in_flight_until_s, former.pending_until_s))
    span.previous_leader_until_s = max(
        span.previous_leader_until_s, former.previous_leader_until_s
    )


def extend_for_previous_leader(
    assignment: keyspace.KeyAssignment,
    may_hold_until_s: float,
    in_flight_until_s: float,
) -> None:
    """Extends all times by which orders of a previous leader have expired.

    Args:
      assignment: the assignment as read from the store, with this leader's
        first changes.
      may_hold_until_s: until then such an order may still have an effect.
      in_flight_until_s: until then such an order may still arrive.
    """
    for span in assignment.spans:
        if span.previous_leader_until_s > 0:
            span.previous_leader_until_s = max(
                span.previous_leader_until_s, may_hold_until_s
            )
            span.may_hold_until_s = max(span.may_hold_until_s, may_hold_until_s)
        former = span.former_owner
        if former is None:
            continue
        if former.incarnation == keyspace.UNKNOWN_OWNER:
            former.may_hold_until_s = max(
                former.may_hold_until_s, may_hold_until_s
            )
            former.in_flight_until_s = max(
                former.in_flight_until_s, in_flight_until_s
            )
        elif former.previous_leader_until_s > 0:
            # It is asked to release its keys before they have arrived.
            former.may_hold_until_s = max(
                former.may_hold_until_s, may_hold_until_s
            )
            former.previous_leader_until_s = max(
                former.previous_leader_until_s, may_hold_until_s
            )


def record_released_by_all(
    assignment: keyspace.KeyAssignment, asked_s: float
) -> None:
    """Records that no upstream holds keys of another any more.

    Args:
      assignment: the present assignment, changed in place.
      asked_s: when the first upstream was asked to release them.
    """
    for span in assignment.spans:
        former = span.former_owner
        if (
            former is not None
            and former.incarnation == keyspace.UNKNOWN_OWNER
            and asked_s >= former.in_flight_until_s
        ):
            former.released = True
            span.next_order_s = 0.0


def renew_epoch(
    assignment: keyspace.KeyAssignment, span: keyspace.Span
) -> None:
    """Gives a span that no order is pending for a new epoch of this term.

    It need not be stored: the epochs of a later term are higher anyway.
    """
    assert not span.order_pending
    span.epoch = assignment.next_epoch()
    span.sent_at_connection = None


def may_send_at_connection(
    assignment: keyspace.KeyAssignment, grant: KeyGrant, connection: int
) -> bool:
    """Returns whether a grant's epoch may be sent over open connections.

    Args:
      assignment: the present assignment.
      grant: the grant.
      connection: how many connections to the owner have been opened.
    """
    return all(
        span.sent_at_connection in (None, connection)
        for span in _current_spans(assignment, grant)
    )


def raise_epoch(
    assignment: keyspace.KeyAssignment, grant: KeyGrant, increment: int
) -> bool:
    """Gives the keys of a refused grant epochs well above all used ones.

    The same call on a copy and on the original gives the same epochs, if
    nothing was moved in between.

    Returns:
      Whether any of the keys still had the grant's owner and epoch.
    """
    spans = list(_current_spans(assignment, grant))
    if not spans:
        return False
    assignment.top_epoch += increment
    for span in spans:
        span.epoch = assignment.next_epoch()
        span.sent_at_connection = None
        # The outcome of a grant under the lower epoch no longer changes this
        # span.
        _add_in_flight(span, span.pending_until_s)
        span.pending_until_s = 0.0
        span.order_pending = False
        span.next_order_s = 0.0
    return True
