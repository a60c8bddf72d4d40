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
alone confirms a leader that has lost the store only for `MAX_WITHOUT_STORE_S`.
After that it also needs *support*: the share of the voters that report to it
and the share of the keys whose grants were accepted lately. An upstream that
has accepted a later leader's grant refuses the earlier leader's, so what
supports one leader does not support another. The longer the store has not named
a leader, the more support it needs, and the less excludes it.
"""

import dataclasses
import fractions

from sardinehill.core import electorates

# A confirmation lasts for this long, from when the store was asked or a report
# arrived. A leader may still act for so long while it is being replaced.
TERM_VALIDITY_S = 1.6
# A daemon whose last report is older than this does not count as a follower.
FOLLOWER_TIMEOUT_S = 1.0
# A voter that has been silent for this long is removed from the electorate.
VOTER_EXPIRY_S = 10.0
MAX_WITHOUT_STORE_S = 10.0
# For how long the store has not named a leader, and how much the shares of its
# voters and of its keys must exceed together from then on.
SUPPORT_STEPS = (
    (30.0, fractions.Fraction(3, 2)),
    (300.0, fractions.Fraction(9, 5)),
)
HALF = fractions.Fraction(1, 2)
# An accepted grant supports a leader that has lost the store for this long. It
# covers pauses of the leader, after which nothing could be accepted any more.
KEY_SUPPORT_VALIDITY_S = 5.0
# A leader waits for this long once keys exclude earlier ones, beside the
# `TERM_VALIDITY_S` for which those may still act on what they heard before.
EXCLUSION_WAIT_S = KEY_SUPPORT_VALIDITY_S - TERM_VALIDITY_S
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


def needs_support(confirmation: LeaderConfirmation, now_s: float) -> bool:
    """Returns whether a majority alone no longer confirms the term."""
    return now_s - confirmation.lease_read_s > MAX_WITHOUT_STORE_S


def has_support(
    confirmation: LeaderConfirmation,
    now_s: float,
    key_share: fractions.Fraction,
) -> bool:
    """Returns whether a leader that the store does not name may still act.

    Args:
      confirmation: the term.
      now_s: the time.
      key_share: the share of a service's keys whose grants were accepted within
        `KEY_SUPPORT_VALIDITY_S` and not refused since the store was reached.
    """
    silent_s = now_s - confirmation.lease_read_s
    if silent_s <= MAX_WITHOUT_STORE_S:
        return True
    heard = heard_within(confirmation, now_s, TERM_VALIDITY_S)
    support = confirmation.electorate.share(heard) + key_share
    return key_share > HALF and all(
        support > needed
        for after_s, needed in SUPPORT_STEPS
        if silent_s > after_s
    )


def update_exclusive(confirmation: LeaderConfirmation, now_s: float) -> bool:
    """Returns whether the voters exclude all earlier leaders.

    Once that is the case, it stays so for the rest of the term.
    """
    followers = heard_within(confirmation, now_s, FOLLOWER_TIMEOUT_S)
    if confirmation.electorate.blocks_majorities(followers):
        confirmation.is_exclusive = True
    return confirmation.is_exclusive


@dataclasses.dataclass
class KeyExclusion:
    """Whether the keys of one service exclude earlier leaders' orders for it.

    Attributes:
      since_s: when the support first sufficed, by the time that a leader must
        have held the lease. What has supported it supports no earlier leader
        again.
      is_complete: whether no earlier leader may send orders any more.
    """

    since_s: dict[float, float] = dataclasses.field(default_factory=dict)
    is_complete: bool = False


def update_exclusion(
    exclusion: KeyExclusion,
    confirmation: LeaderConfirmation,
    now_s: float,
    key_share: fractions.Fraction,
) -> bool:
    """Returns whether keys exclude all earlier leaders' orders for a service.

    Once that is the case, it stays so for the rest of the term.

    Args:
      exclusion: the service's, changed in place.
      confirmation: the term.
      now_s: the time.
      key_share: the share of the service's keys whose grants were accepted
        within `TERM_VALIDITY_S`, or that nobody can have been granted.
    """
    followers = heard_within(confirmation, now_s, FOLLOWER_TIMEOUT_S)
    support = confirmation.electorate.share(followers) + key_share
    suffices = {
        MAX_WITHOUT_STORE_S: key_share >= HALF,
        **{after_s: support >= 2 - needed for after_s, needed in SUPPORT_STEPS},
    }
    # The earlier leader's clock may be slower.
    held_s = (now_s - confirmation.began_s) / (1 + 2 * CLOCK_DRIFT_RATIO)
    for after_s, is_enough in suffices.items():
        if is_enough:
            exclusion.since_s.setdefault(after_s, now_s)
    exclusion.is_complete |= any(
        held_s > after_s and now_s - since_s >= EXCLUSION_WAIT_S
        for after_s, since_s in exclusion.since_s.items()
    )
    return exclusion.is_complete


def wanted_electorate(
    confirmation: LeaderConfirmation, now_s: float, keys_exclude_earlier: bool
) -> electorates.Electorate | None:
    """Returns the electorate to write now, or None if it need not change.

    An outcome that is not known is settled by the same write again.

    Args:
      confirmation: the term.
      now_s: the time.
      keys_exclude_earlier: whether the keys of all services do.
    """
    if confirmation.proposed is not None:
        return confirmation.proposed
    if not confirmation.is_exclusive and not keys_exclude_earlier:
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
    # A leader that counts both groups of the stored electorate is excluded by
    # the previous one alone.
    return electorates.Electorate(
        stored.all_voters | known_daemons,
        stored.previous_voters or stored.voters,
    )
