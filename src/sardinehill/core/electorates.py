"""Counts majorities of a set of daemons that changes only as a whole.

Two majorities of one electorate share a member. Majorities of a member list
that each daemon keeps for itself need not: the copies differ while daemons
join, and a leader that does not hear half of the fleet removes it from the
list.
"""

import dataclasses
import fractions


@dataclasses.dataclass(frozen=True)
class Electorate:
    """The daemons whose support confirms a leader or a controller.

    Attributes:
      voters: the daemons that vote.
      previous_voters: the daemons that voted before, while an earlier leader
        may still count them instead. A majority of both groups is needed then.
    """

    voters: frozenset[str]
    previous_voters: frozenset[str] = frozenset()

    def has_majority(self, chosen: set[str]) -> bool:
        """Tells whether the chosen daemons are a majority.

        With an empty electorate this is always true, since nobody can ever
        have been authorized by votes.
        """
        if not self.all_voters:
            return True
        return _is_majority(chosen, self.voters) and (
            not self.previous_voters
            or _is_majority(chosen, self.previous_voters)
        )

    def blocks_majorities(self, chosen: set[str]) -> bool:
        """Tells whether each majority includes one of the chosen daemons.

        While the electorate changes, this holds for both groups, as an earlier
        leader may rely on either alone. With an empty electorate it is always
        true, as nobody can be authorized by votes.
        """
        return not any(
            _is_majority(set(group) - chosen, group)
            for group in (self.voters, self.previous_voters)
        )

    def share(self, chosen: set[str]) -> fractions.Fraction:
        """Returns which share of the voters are chosen, of the lower group."""
        return min(
            fractions.Fraction(len(chosen & group), max(1, len(group)))
            for group in (self.voters, self.previous_voters or self.voters)
        )

    @property
    def all_voters(self) -> frozenset[str]:
        """The present and previous voters."""
        return self.voters | self.previous_voters


def _is_majority(chosen: set[str], voters: frozenset[str]) -> bool:
    return len(chosen & voters) > len(voters) // 2
