"""Decides whether a leader's term is confirmed, and whether it is exclusive.

A leader may act while its term is *confirmed*: the store said lately that the
lease names it, or a majority of the electorate has reported to it lately. The
electorate is stored with the lease. A leader that takes the lease takes over
the electorate with it, so that both count the same daemons.

A leader is *exclusive* once no earlier leader can be confirmed any more:
enough voters follow it that the others are no majority. A daemon never goes
back to a lower term. Only an exclusive leader changes the electorate, by a
conditional write of the lease; while that write may or may not have been
carried out, it needs a majority of both.

More than half of the voters may be gone for good. They cannot be told from
voters behind a cut that still confirm an earlier leader. Therefore a majority
alone confirms a leader that has lost the store only for `MAX_WITHOUT_STORE_S`;
after that, its grants of more than half of the keys must have been accepted
lately as well. An upstream that has accepted a later leader's grant refuses the
earlier leader's, so a leader whose grants of half of the keys are accepted is
exclusive once that time has passed.
"""

import dataclasses

from sardinehill.core import electorates

# A confirmation lasts for this long, from when the store was asked or a report
# arrived. A leader may still act for so long while it is being replaced.
TERM_VALIDITY_S = 1.6
# A daemon whose last report is older than this does not count as a follower.
FOLLOWER_TIMEOUT_S = 1.0
# A voter that has been silent for this long is removed from the electorate.
VOTER_EXPIRY_S = 10.0
MAX_WITHOUT_STORE_S = 10.0
# How much the rates of two clocks may differ.
CLOCK_DRIFT_RATIO = 0.02


@dataclasses.dataclass
class LeaderConfirmation:
    """What confirms one leader's term.

    Times are by the leader's own clock, which runs on while its host is
    suspended.

    Attributes:
      name: the leader.
      electorate: the voters, as written with the leader's lease.
      began_s: when the leader knew that it holds the lease.
      store_confirmed_s: when the store was last asked for a lease that confirms
        the term.
      lease_read_s: when the store was last asked for a lease that names the
        leader, which confirms nothing after a restore.
      heard_s: when each daemon last reported to the leader.
      proposed: an electorate that may or may not have been written, or None.
      is_exclusive: whether no earlier leader can be confirmed any more.
    """

    name: str
    electorate: electorates.Electorate
    began_s: float
    store_confirmed_s: float
    lease_read_s: float
    heard_s: dict[str, float] = dataclasses.field(default_factory=dict)
    proposed: electorates.Electorate | None = None
    is_exclusive: bool = False


def heard_within(
    confirmation: LeaderConfirmation, now_s: float, within_s: float
) -> set[str]:
    """Returns the daemons that have reported lately, and the leader itself."""
    heard = {
        name
        for name, heard_s in confirmation.heard_s.items()
        if now_s - heard_s < within_s
    }
    heard.add(confirmation.name)
    return heard


def has_majority(
    confirmation: LeaderConfirmation, now_s: float, within_s: float
) -> bool:
    """Returns whether a majority of the voters has reported lately."""
    heard = heard_within(confirmation, now_s, within_s)
    return confirmation.electorate.has_majority(heard) and (
        confirmation.proposed is None
        or confirmation.proposed.has_majority(heard)
    )


def is_confirmed(confirmation: LeaderConfirmation, now_s: float) -> bool:
    """Returns whether the store or a majority has confirmed the term lately."""
    if now_s - confirmation.store_confirmed_s < TERM_VALIDITY_S:
        return True
    return has_majority(confirmation, now_s, TERM_VALIDITY_S)


def needs_keys(confirmation: LeaderConfirmation, now_s: float) -> bool:
    """Returns whether a majority alone no longer confirms the term.

    Then grants of more than half of the keys must have been accepted lately.
    """
    return now_s - confirmation.lease_read_s > MAX_WITHOUT_STORE_S


def update_exclusive(
    confirmation: LeaderConfirmation, now_s: float, holds_half_of_keys: bool
) -> bool:
    """Returns whether no earlier leader can be confirmed any more.

    Once that is the case, it stays so for the rest of the term.

    Args:
      confirmation: the term, changed in place.
      now_s: the time.
      holds_half_of_keys: whether the leader's grants of at least half of the
        keys of each service were accepted within `TERM_VALIDITY_S`.
    """
    followers = heard_within(confirmation, now_s, FOLLOWER_TIMEOUT_S)
    if confirmation.electorate.blocks_majorities(followers):
        confirmation.is_exclusive = True
    wait_s = MAX_WITHOUT_STORE_S * (1 + 2 * CLOCK_DRIFT_RATIO)
    if holds_half_of_keys and now_s - confirmation.began_s > wait_s:
        confirmation.is_exclusive = True
    return confirmation.is_exclusive


def wanted_electorate(
    confirmation: LeaderConfirmation, now_s: float
) -> electorates.Electorate | None:
    """Returns the electorate to write now, or None if it need not change.

    An outcome that is not known is settled by the same write again.
    """
    if confirmation.proposed is not None:
        return confirmation.proposed
    if not confirmation.is_exclusive:
        return None
    voters = confirmation.electorate.voters
    present = {
        name
        for name in voters
        if now_s - max(confirmation.began_s, confirmation.heard_s.get(name, 0))
        <= VOTER_EXPIRY_S
    }
    wanted = electorates.Electorate(
        frozenset(
            present | heard_within(confirmation, now_s, FOLLOWER_TIMEOUT_S)
        )
    )
    return wanted if wanted != confirmation.electorate else None


def begin_change(
    confirmation: LeaderConfirmation, electorate: electorates.Electorate
) -> None:
    """Records that an electorate is about to be written with the lease."""
    confirmation.proposed = electorate


def end_change(
    confirmation: LeaderConfirmation, electorate: electorates.Electorate
) -> None:
    """Records which electorate the lease certainly names now."""
    confirmation.electorate = electorate
    confirmation.proposed = None


def electorate_to_take_over(
    stored: electorates.Electorate | None,
    known_daemons: frozenset[str],
    is_outdated: bool,
) -> electorates.Electorate:
    """Returns the electorate that a new leader writes with its lease.

    Args:
      stored: the electorate of the lease that is replaced, or None if there is
        no lease, or one of a build that knows no electorate.
      known_daemons: the daemons that are registered or known otherwise.
      is_outdated: whether the store was restored since that lease was taken,
        and may have forgotten a change of its electorate.
    """
    if stored is None:
        return electorates.Electorate(known_daemons)
    if not is_outdated:
        return stored
    return electorates.Electorate(
        stored.all_voters | known_daemons, stored.voters
    )
