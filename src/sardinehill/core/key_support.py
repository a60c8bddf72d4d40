"""Counts the keys whose owners support a leader's term.

An owner that has accepted a leader's grant refuses the same keys to any earlier
leader. A key therefore supports one leader at a time, as a daemon does that
follows it; see `leader_confirmation`.
"""

import dataclasses
import fractions

from sardinehill.core import keyspace
from sardinehill.core import leader_confirmation


@dataclasses.dataclass(frozen=True)
class RefusedKeys:
    """The keys `first` to `last`, whose owner refused their grant.

    It has seen a higher epoch, which may be a later leader's.
    """

    first: int
    last: int
    at_s: float


@dataclasses.dataclass
class KeySupport:
    """Which grants of one service were refused since the store was reached.

    A refusal counts until the store has named the leader again, also if a later
    grant is accepted: the owner may have started again and forgotten epochs.

    Attributes:
      refused: the refused grants, the oldest first.
    """

    refused: list[RefusedKeys] = dataclasses.field(default_factory=list)

    def note_refused(self, first: int, last: int, now_s: float) -> None:
        """Records that the grant of keys was refused for a higher epoch."""
        self.refused = [
            keys
            for keys in self.refused
            if not (first <= keys.first and keys.last <= last)
        ]
        self.refused.append(RefusedKeys(first, last, now_s))

    def forget_before(self, lease_read_s: float) -> None:
        """Forgets refusals of before the store last named this leader."""
        self.refused = [
            keys for keys in self.refused if keys.at_s >= lease_read_s
        ]


def accepted_share(
    support: KeySupport, assignment: keyspace.KeyAssignment, now_s: float
) -> fractions.Fraction:
    """Returns the share of the keys whose grants support this leader.

    They were accepted lately, and not refused since the store was reached.
    """
    keys = sum(
        _unrefused_count(support, span)
        for span in assignment.spans
        if _is_accepted(span, now_s, leader_confirmation.KEY_SUPPORT_VALIDITY_S)
    )
    return fractions.Fraction(keys, keyspace.KEY_COUNT)


def held_share(
    assignment: keyspace.KeyAssignment, now_s: float
) -> fractions.Fraction:
    """Returns the share of the keys that support no earlier leader.

    Grants of them were accepted lately, or they had no owner when the
    assignment was written last, which only this leader still may do.
    """
    keys = sum(
        span.last - span.first + 1
        for span in assignment.spans
        if _is_accepted(span, now_s, leader_confirmation.TERM_VALIDITY_S)
        or (span.owner is None and span.former_owner is None)
    )
    return fractions.Fraction(keys, keyspace.KEY_COUNT)


def refuses_half(support: KeySupport) -> bool:
    """Returns whether half of the keys were refused since a lease was read."""
    refused = _joined(support.refused)
    return 2 * sum(last - first + 1 for first, last in refused) >= (
        keyspace.KEY_COUNT
    )


def _is_accepted(span: keyspace.Span, now_s: float, validity_s: float) -> bool:
    return span.accepted_s > 0 and now_s - span.accepted_s < validity_s


def _unrefused_count(support: KeySupport, span: keyspace.Span) -> int:
    count = span.last - span.first + 1
    for first, last in _joined(support.refused):
        count -= max(0, min(last, span.last) - max(first, span.first) + 1)
    return count


def _joined(refused: list[RefusedKeys]) -> list[tuple[int, int]]:
    """Returns ranges without overlaps that cover the refused keys."""
    joined: list[tuple[int, int]] = []
    for keys in sorted(refused, key=lambda keys: keys.first):
        if joined and keys.first <= joined[-1][1] + 1:
            joined[-1] = (joined[-1][0], max(joined[-1][1], keys.last))
        else:
            joined.append((keys.first, keys.last))
    return joined
