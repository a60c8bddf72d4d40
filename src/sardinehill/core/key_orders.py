"""Orders to the owners of keys, and what may still come of them.

An order is decided at one moment and sent at a later one. Owners may change in
between, so an order keeps what it was decided for, and is sent only while that
still holds. Until it is answered it counts as taken.
"""

from collections.abc import Iterator
import dataclasses
import enum

from sardinehill.core import keyspace

# An upstream's clock may run this much slow while it measures a grant.
CLOCK_DRIFT_RATIO = 0.02
# How long an order may still be on its way once its connection is closed.
IN_FLIGHT_MARGIN_S = 0.15


class GrantOutcome(enum.Enum):
    """How a grant ended.

    `TAKEN`: the owner has the keys. `REFUSED`: it answered that it does not
    take them. `UNSENT`: no byte of the grant has left. `UNANSWERED`: its
    connection was closed, and it may still take effect.
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
      incarnation: the upstream's id and start.
      epoch: under which it gets the keys.
      handover: what the former owner left for it, or None.
      created_s: when the grant was decided.
      delivery_deadline_s: by then it has arrived, or its connection is closed.
      previous_may_hold_until_s: until when the owner might hold the keys without it.
      previous_in_flight_until_s: until when an earlier grant might take effect.
    """

    first: int
    last: int
    incarnation: keyspace.Incarnation
    epoch: int
    handover: str | None
    created_s: float
    delivery_deadline_s: float
    previous_may_hold_until_s: float
    previous_in_flight_until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRelease:
    """An order to a former owner to give up the keys `first` to `last`.

    Attributes:
      first: the lowest key.
      last: the highest key.
      incarnation: the former owner's id and start.
      former_epoch: under which it had the keys.
      epoch: under which the next owner gets them.
      created_s: when the release was decided.
    """

    first: int
    last: int
    incarnation: keyspace.Incarnation
    former_epoch: int
    epoch: int
    created_s: float


def latest_expiry_s(sent_s: float, hold_s: float) -> float:
    """Returns when a grant that was on its way until `sent_s` has lapsed."""
    return sent_s + hold_s * (1 + CLOCK_DRIFT_RATIO) + IN_FLIGHT_MARGIN_S


def create_grant(
    span: keyspace.Span, now_s: float, delivery_deadline_s: float, hold_s: float
) -> KeyGrant:
    """Decides to grant a span to its owner.

    Args:
      span: one with an owner and no former owner; it counts as granted.
      now_s: the time.
      delivery_deadline_s: by then the grant has arrived, or its connection is closed.
      hold_s: how long it holds from its arrival.
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
        span.may_hold_until_s,
        span.in_flight_until_s,
    )
    end_s = latest_expiry_s(delivery_deadline_s, hold_s)
    span.may_hold_until_s = max(span.may_hold_until_s, end_s)
    span.in_flight_until_s = max(span.in_flight_until_s, end_s)
    span.order_pending = True
    return grant


def is_current(assignment: keyspace.KeyAssignment, grant: KeyGrant) -> bool:
    """Returns whether all of a grant's keys still are as it was decided for."""
    keys = sum(
        span.last - span.first + 1 for span in _granted(assignment, grant)
    )
    return keys == grant.last - grant.first + 1


def record_grant_outcome(
    assignment: keyspace.KeyAssignment,
    grant: KeyGrant,
    outcome: GrantOutcome,
    now_s: float,
    hold_s: float,
) -> list[keyspace.Span]:
    """Notes how a grant ended, also for keys that have moved meanwhile.

    Args:
      assignment: as it is now.
      grant: what was sent, or was to be sent.
      outcome: how it ended.
      now_s: the time of the answer, or of the connection's end.
      hold_s: how long the grant holds from its arrival.

    Returns:
      The spans that still are as the grant was decided for.
    """
    spans = list(_granted(assignment, grant))
    for span in spans:
        span.order_pending = False
        _conclude(span, grant, outcome, now_s, hold_s)
        if outcome is GrantOutcome.ACCEPTED:
            span.may_hold_until_s = max(
                latest_expiry_s(now_s, hold_s), span.in_flight_until_s
            )
            span.previous_leader_until_s = 0.0
    for former in _taken_away(assignment, grant):
        _conclude(former, grant, outcome, now_s, hold_s)
        if outcome is GrantOutcome.ACCEPTED:
            # It may have overtaken a release, which then counts no more.
            former.last_granted_s = now_s
            former.may_hold_until_s = max(
                latest_expiry_s(now_s, hold_s), former.in_flight_until_s
            )
            former.released = False
    return spans


def _conclude(
    holder: keyspace.Span | keyspace.FormerOwner,
    grant: KeyGrant,
    outcome: GrantOutcome,
    now_s: float,
    hold_s: float,
) -> None:
    if outcome is GrantOutcome.UNANSWERED:
        # Its connection may have been closed later than was meant.
        end_s = latest_expiry_s(now_s, hold_s)
        holder.may_hold_until_s = max(holder.may_hold_until_s, end_s)
        holder.in_flight_until_s = max(holder.in_flight_until_s, end_s)
        return
    # Other grants before it may still be unanswered.
    holder.in_flight_until_s = grant.previous_in_flight_until_s
    if outcome is GrantOutcome.UNSENT:
        holder.may_hold_until_s = grant.previous_may_hold_until_s


def _granted(
    assignment: keyspace.KeyAssignment, grant: KeyGrant
) -> Iterator[keyspace.Span]:
    """Yields what is left of the span that a grant was decided for."""
    for span in _within(assignment, grant):
        if span.owner == grant.incarnation and span.epoch == grant.epoch:
            yield span


def _taken_away(
    assignment: keyspace.KeyAssignment, grant: KeyGrant
) -> Iterator[keyspace.FormerOwner]:
    """Yields former owners that had keys of a grant."""
    for span in _within(assignment, grant):
        former = span.former_owner
        if former is None:
            continue
        if (
            former.incarnation == grant.incarnation
            and former.epoch == grant.epoch
        ):
            yield former


def _within(
    assignment: keyspace.KeyAssignment, order: KeyGrant | KeyRelease
) -> Iterator[keyspace.Span]:
    for span in assignment.spans:
        if order.first <= span.first and span.last <= order.last:
            yield span


def create_release(span: keyspace.Span, now_s: float) -> KeyRelease:
    """Decides to ask the former owner of a span to give it up."""
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
    """Notes how a release ended.

    Args:
      assignment: as it is now.
      release: what was sent.
      is_released: whether the former owner answered that it gave up the keys.
      handover: what it left for the next owner, or None.

    Returns:
      The spans that still wait for that former owner.
    """
    spans = []
    for span in _within(assignment, release):
        former = span.former_owner
        if span.epoch != release.epoch or former is None:
            continue
        if former.incarnation != release.incarnation:
            continue
        span.order_pending = False
        spans.append(span)
        if is_released:
            span.handover = handover
            if release.created_s >= former.last_granted_s:
                former.released = True
    return spans


def former_owner_is_gone(
    span: keyspace.Span, now_s: float, is_dead: bool
) -> bool:
    """Returns whether a span's former owner holds it no more.

    Args:
      span: one that waits for a former owner.
      now_s: the time by the clock that `holds_until_s` is in.
      is_dead: whether that life of the upstream has certainly ended.
    """
    former = span.former_owner
    if former is None or is_dead or now_s >= former.may_hold_until_s:
        return True
    return former.released and now_s >= former.in_flight_until_s


def clear_former_owner(span: keyspace.Span) -> None:
    """Notes that the former owner is gone: the owner may be granted."""
    span.former_owner = None
    span.next_order_s = 0.0


def extend_for_previous_leader(
    assignment: keyspace.KeyAssignment, may_hold_until_s: float
) -> None:
    """Notes that an earlier leader may have given orders until lately.

    Args:
      assignment: as read from the store, with this leader's first changes.
      may_hold_until_s: until then such an order may still have an effect.
    """
    for span in assignment.spans:
        if span.previous_leader_until_s > 0:
            span.previous_leader_until_s = max(
                span.previous_leader_until_s, may_hold_until_s
            )
            span.may_hold_until_s = max(span.may_hold_until_s, may_hold_until_s)
        former = span.former_owner
        if former is not None:
            former.may_hold_until_s = max(
                former.may_hold_until_s, may_hold_until_s
            )
            former.in_flight_until_s = max(
                former.in_flight_until_s, may_hold_until_s
            )


def raise_epoch(
    assignment: keyspace.KeyAssignment, grant: KeyGrant, increment: int
) -> bool:
    """Gives keys of a refused grant epochs well above all that were used.

    The same call on a copy and on the original gives the same epochs, if
    nothing was moved in between.

    Returns:
      Whether any of the grant's keys still are as it was decided for.
    """
    spans = list(_granted(assignment, grant))
    if not spans:
        return False
    assignment.top_epoch += increment
    for span in spans:
        span.epoch = assignment.next_epoch()
        # A later grant under the lower epoch concludes nothing here any more.
        span.order_pending = False
        span.next_order_s = 0.0
    return True
