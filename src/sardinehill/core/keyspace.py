"""Models which upstream of a divided service owns which keys.

An assignment covers all keys with spans. A span that moves names its former
owner until that upstream has certainly given it up; only then may the new
owner be granted it. Epochs only grow: each change of owner and each change of
leader takes a higher one.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
from typing import Any

KEY_COUNT = 65536

# An upstream's id and the time of its start.
Incarnation = tuple[str, int]
# Stands for any upstream, as a former owner of keys whose last owners are not
# known.
UNKNOWN_OWNER: Incarnation = ("", 0)


@dataclasses.dataclass(slots=True)
class FormerOwner:
    """The previous owner of a span, which may still hold it.

    Attributes:
      incarnation: the upstream's id and start time.
      epoch: the epoch under which it had the span.
      may_hold_until_s: from then on it certainly does not hold the span, unless
        one of the other times is later.
      in_flight_until_s: until then an unanswered grant may still give it the
        span again.
      pending_until_s: the same for a grant without an outcome yet, or 0.
      previous_leader_until_s: the same for grants by a previous leader, or 0 if
        it has seen a later epoch.
      needs_fence: whether its release does not count before it has accepted an
        epoch above that of any grant that may still arrive. One that an earlier
        leader left is sent no grant, as the owner may hold the span already.
      released: whether it answered that it has given up the span.
      last_granted_s: when it last accepted a grant of the span. A grant in
        flight may arrive after a release and thus undo it.
    """

    incarnation: Incarnation
    epoch: int
    may_hold_until_s: float
    in_flight_until_s: float = 0.0
    pending_until_s: float = 0.0
    previous_leader_until_s: float = 0.0
    needs_fence: bool = False
    released: bool = False
    last_granted_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Span:
    """The keys `first` to `last` and the state of their ownership.

    Attributes:
      first: the lowest key.
      last: the highest key.
      owner: the owner's id and start time, or None.
      epoch: the epoch under which the owner is granted the span.
      first_epoch: the first epoch under which it was the owner in this term.
      sent_at_connection: how many connections to the owner had been opened when
        this epoch was first sent, or None while it was not.
      refused_epoch: the epoch that the owner has refused for a higher one, or
        0. It is not sent again, as a later start of the owner would take it.
      former_owner: the owner that must give up the span first, or None.
      handover: what the former owner left for the next one, or None.
      confirmed: whether the owner has confirmed the grant.
      granted_until_s: until then the owner certainly holds the span.
      accepted_s: when the last grant that the owner accepted was created, or 0
        if it has accepted none in this term.
      may_hold_until_s: from then on the owner certainly does not hold it,
        unless one of the other times is later.
      in_flight_until_s: until then an unanswered grant under this epoch may
        still take effect.
      pending_until_s: the same for a grant without an outcome yet, or 0.
      previous_leader_until_s: until then a grant by a previous leader, under a
        lower epoch, may take effect, unless the owner has seen this epoch.
      next_order_s: when the next grant or release is due.
      order_pending: whether an order has been created but not answered.
    """

    first: int
    last: int
    owner: Incarnation | None
    epoch: int
    first_epoch: int = 0
    sent_at_connection: int | None = None
    refused_epoch: int = 0
    former_owner: FormerOwner | None = None
    handover: str | None = None
    confirmed: bool = False
    granted_until_s: float = 0.0
    accepted_s: float = 0.0
    may_hold_until_s: float = 0.0
    in_flight_until_s: float = 0.0
    pending_until_s: float = 0.0
    previous_leader_until_s: float = 0.0
    next_order_s: float = 0.0
    order_pending: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class KeyMove:
    """A planned change of the owner of the keys `first` to `last`."""

    first: int
    last: int
    new_owner: Incarnation


@dataclasses.dataclass(slots=True)
class KeyAssignment:
    """The owners of all keys of one service.

    Attributes:
      spans: the spans in key order, which together cover all keys.
      top_epoch: the highest epoch ever used.
    """

    spans: list[Span]
    top_epoch: int

    def next_epoch(self) -> int:
        """Returns an epoch above all that were ever used."""
        self.top_epoch += 1
        return self.top_epoch


def empty_assignment() -> KeyAssignment:
    """Returns an assignment in which no key has an owner."""
    return KeyAssignment([Span(0, KEY_COUNT - 1, None, 0)], 0)


def has_owners(assignment: KeyAssignment) -> bool:
    """Returns whether any key has an owner."""
    return any(span.owner is not None for span in assignment.spans)


def find_span(spans: Sequence[Span], key: int) -> Span:
    """Returns the span that a key belongs to."""
    index = bisect.bisect_right(spans, key, key=lambda span: span.first)
    return spans[index - 1]


def to_document(assignment: KeyAssignment) -> dict[str, Any]:
    """Returns the form of an assignment that is stored as JSON."""
    return {
        "topEpoch": assignment.top_epoch,
        "spans": [
            [
                span.first,
                span.last,
                span.epoch,
                list(span.owner) if span.owner else None,
                [*span.former_owner.incarnation, span.former_owner.epoch]
                if span.former_owner
                else None,
            ]
            for span in assignment.spans
        ],
    }


def from_document(document: Any, may_hold_until_s: float) -> KeyAssignment:
    """Returns the assignment that `to_document` converted.

    Args:
      document: the stored form.
      may_hold_until_s: until then any owner or former owner may hold its
        spans, since the last grants of the previous leader are unknown.

    Raises:
      ValueError: the document is not an assignment.
    """
    try:
        spans = [_read_span(row, may_hold_until_s) for row in document["spans"]]
        assignment = KeyAssignment(spans, int(document["topEpoch"]))
    except (KeyError, TypeError, IndexError) as error:
        raise ValueError(f"not an assignment: {error!r}") from error
    expected = 0
    for span in spans:
        if span.first != expected or span.last < span.first:
            raise ValueError(f"the spans leave a gap at key {expected}")
        expected = span.last + 1
    if expected != KEY_COUNT:
        raise ValueError(f"the spans end at key {expected}")
    return assignment


def _read_span(row: Sequence[Any], may_hold_until_s: float) -> Span:
    first, last, epoch, owner, former = row
    span = Span(int(first), int(last), None, int(epoch))
    if owner is not None:
        span.owner = (str(owner[0]), int(owner[1]))
        span.may_hold_until_s = may_hold_until_s
        span.previous_leader_until_s = may_hold_until_s
    if former is not None:
        span.former_owner = FormerOwner(
            (str(former[0]), int(former[1])),
            int(former[2]),
            may_hold_until_s,
            previous_leader_until_s=may_hold_until_s,
        )
    return span


def waits_for_unknown_owners(assignment: KeyAssignment) -> bool:
    """Returns whether any key waits for an owner that is not known."""
    return any(
        span.former_owner is not None
        and span.former_owner.incarnation == UNKNOWN_OWNER
        for span in assignment.spans
    )


def suspect_unknown_owners(
    assignment: KeyAssignment, may_hold_until_s: float, in_flight_until_s: float
) -> None:
    """Makes all keys wait for owners that the assignment does not know.

    Args:
      assignment: an assignment that may have been replaced by a later one,
        which is lost.
      may_hold_until_s: until then any upstream may hold any key.
      in_flight_until_s: until then an order of an earlier leader may still
        arrive, also after a release.
    """
    for span in assignment.spans:
        span.former_owner = FormerOwner(
            UNKNOWN_OWNER, 0, may_hold_until_s, in_flight_until_s
        )


def ranges_of_others(
    assignment: KeyAssignment, owner: Incarnation
) -> list[tuple[int, int]]:
    """Returns the first and last keys of the ranges that are not an owner's."""
    ranges: list[tuple[int, int]] = []
    for span in assignment.spans:
        if span.owner == owner:
            continue
        if ranges and ranges[-1][1] == span.first - 1:
            ranges[-1] = (ranges[-1][0], span.last)
        else:
            ranges.append((span.first, span.last))
    return ranges


def split_at(assignment: KeyAssignment, key: int) -> None:
    """Splits a span so that one begins at `key`; both parts keep its state."""
    if key <= 0 or key >= KEY_COUNT:
        return
    span = find_span(assignment.spans, key)
    if span.first == key:
        return
    index = assignment.spans.index(span)
    former = (
        dataclasses.replace(span.former_owner) if span.former_owner else None
    )
    tail = dataclasses.replace(span, first=key, former_owner=former)
    span.last = key - 1
    assignment.spans.insert(index + 1, tail)


def may_move(span: Span) -> bool:
    """Returns whether a span's owner may be changed now.

    A span that waits for a former owner may not move again; otherwise it would
    have two former owners to wait for.
    """
    return span.former_owner is None or span.owner is None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTransfer:
    """A move with the epoch under which the new owner gets the keys."""

    first: int
    last: int
    new_owner: Incarnation
    epoch: int


def apply_moves(
    assignment: KeyAssignment, moves: Iterable[KeyMove]
) -> list[KeyTransfer]:
    """Changes owners as planned and returns the changes with their epochs."""
    transfers = []
    for move in moves:
        split_at(assignment, move.first)
        split_at(assignment, move.last + 1)
        for span in assignment.spans:
            if span.first < move.first or span.last > move.last:
                continue
            if span.owner == move.new_owner or not may_move(span):
                continue
            transfer = KeyTransfer(
                span.first, span.last, move.new_owner, assignment.next_epoch()
            )
            _change_owner(span, transfer.new_owner, transfer.epoch)
            transfers.append(transfer)
    return transfers


def apply_transfers(
    assignment: KeyAssignment, transfers: Iterable[KeyTransfer]
) -> None:
    """Applies changes that were made to a copy and have since been stored.

    Epochs that were raised in between may have been used since; then the
    changes take higher ones than were stored.
    """
    for transfer in transfers:
        epoch = transfer.epoch
        if epoch <= assignment.top_epoch:
            epoch = assignment.next_epoch()
        assignment.top_epoch = epoch
        split_at(assignment, transfer.first)
        split_at(assignment, transfer.last + 1)
        for span in assignment.spans:
            if transfer.first <= span.first and span.last <= transfer.last:
                _change_owner(span, transfer.new_owner, epoch)


def _change_owner(span: Span, owner: Incarnation, epoch: int) -> None:
    if span.owner is not None:
        # This applies even if the owner has not been granted the span yet: it
        # may be granted it while this change is being written to the store.
        span.former_owner = FormerOwner(
            span.owner,
            span.epoch,
            span.may_hold_until_s,
            span.in_flight_until_s,
            span.pending_until_s,
            span.previous_leader_until_s,
            needs_fence=True,
        )
    span.owner = owner
    span.epoch = span.first_epoch = epoch
    span.sent_at_connection = None
    span.refused_epoch = 0
    span.handover = None
    span.confirmed = False
    span.granted_until_s = 0.0
    span.accepted_s = 0.0
    span.may_hold_until_s = 0.0
    span.in_flight_until_s = 0.0
    span.pending_until_s = 0.0
    span.previous_leader_until_s = 0.0
    span.next_order_s = 0.0
    span.order_pending = False


def renew_epochs(assignment: KeyAssignment) -> None:
    """Gives every owned span a new epoch, so that older orders are refused."""
    for span in assignment.spans:
        if span.owner is not None:
            span.epoch = span.first_epoch = assignment.next_epoch()


def merge_spans(assignment: KeyAssignment) -> None:
    """Joins adjacent spans of one owner for which nothing is pending."""
    joined: list[Span] = []
    for span in assignment.spans:
        previous = joined[-1] if joined else None
        if previous is not None and _may_join(previous, span):
            _join(previous, span)
            previous.epoch = previous.first_epoch = assignment.next_epoch()
        else:
            joined.append(span)
    assignment.spans[:] = joined


def join_confirmed_spans(assignment: KeyAssignment) -> None:
    """Joins adjacent confirmed spans of one owner during a term.

    A joined span has a new epoch of the term, which need not be stored: the
    owner holds the keys in any case, and the epochs of later terms are higher.
    """
    joined: list[Span] = []
    for span in assignment.spans:
        previous = joined[-1] if joined else None
        if (
            previous is not None
            and span.confirmed
            and not (previous.refused_epoch or span.refused_epoch)
            and _may_join(previous, span)
        ):
            _join(previous, span)
            previous.epoch = assignment.next_epoch()
            previous.first_epoch = min(previous.first_epoch, span.first_epoch)
            previous.sent_at_connection = None
        else:
            joined.append(span)
    assignment.spans[:] = joined


def _join(previous: Span, span: Span) -> None:
    """Extends a span by the next one, with the more cautious times of both."""
    previous.last = span.last
    previous.granted_until_s = min(
        previous.granted_until_s, span.granted_until_s
    )
    previous.accepted_s = min(previous.accepted_s, span.accepted_s)
    previous.may_hold_until_s = max(
        previous.may_hold_until_s, span.may_hold_until_s
    )
    previous.in_flight_until_s = max(
        previous.in_flight_until_s, span.in_flight_until_s
    )
    previous.previous_leader_until_s = max(
        previous.previous_leader_until_s, span.previous_leader_until_s
    )
    previous.next_order_s = 0.0


def _may_join(previous: Span, span: Span) -> bool:
    return (
        previous.owner == span.owner
        and previous.confirmed == span.confirmed
        and previous.former_owner is None
        and span.former_owner is None
        and previous.handover is None
        and span.handover is None
        and not previous.order_pending
        and not span.order_pending
    )
