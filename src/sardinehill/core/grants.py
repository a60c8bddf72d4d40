"""Tracks grants at the controller and at the holders that accept them.

The controller records which units each holder may hold, and a holder records
the grant that it has accepted. A grant expires one ttl after its stamp, which
is the holder's own clock in an earlier answer. Counting from the receipt would
not be safe: a grant that waits in the socket of a frozen holder, or that is
sent by a controller that was frozen between check and send, would then become
valid long after its controller has considered it expired.
"""

from collections.abc import Iterable
import dataclasses

from sardinehill.core import placement

# A shard's number, or a hot key that is placed apart from its shard.
Unit = int | str

# The unit that stands for the role of an upstream's gateway.
GATEWAY_ROLE = -1

# A received grant with more shards than this is malformed.
MAX_GRANT_SHARDS = 1 << 20


def shard_ranges(shards: Iterable[int]) -> list[tuple[int, int]]:
    """Returns shards as inclusive ranges, in ascending order."""
    joined: list[tuple[int, int]] = []
    for shard in sorted(shards):
        if joined and joined[-1][1] == shard - 1:
            joined[-1] = (joined[-1][0], shard)
        else:
            joined.append((shard, shard))
    return joined


@dataclasses.dataclass(frozen=True, order=True)
class GrantTarget:
    """The recipient of grants: an upstream or its gateway.

    Attributes:
      upstream: the upstream's name.
      daemon: the gateway's name, or empty if the target is the upstream.
    """

    upstream: str
    daemon: str = ""


@dataclasses.dataclass(frozen=True)
class Grant:
    """A grant to a holder; it replaces one with a lower (term, sequence).

    Attributes:
      target: the recipient.
      term: the controller's term.
      sequence: grows with each grant of the term, over all targets.
      units: the granted units.
      except_keys: keys of granted shards that are not granted themselves.
      ttl_s: seconds that the grant lasts, from its stamp.
      incarnation: the holder's incarnation; any other one refuses the grant.
      stamp_ms: the holder's own clock when it last answered.
    """

    target: GrantTarget
    term: int
    sequence: int
    units: frozenset[Unit]
    except_keys: frozenset[str]
    ttl_s: float
    incarnation: str
    stamp_ms: int


@dataclasses.dataclass(frozen=True)
class GrantAnswer:
    """A holder's answer to a grant, accepted or not.

    Attributes:
      accepted: whether the grant is now in force.
      term: the highest term that the holder has accepted.
      sequence: the highest sequence in that term.
      incarnation: the incarnation of the holder that answers.
      clock_ms: the holder's clock, which also runs while it is frozen.
      running_outside: how many requests still run that the grant in force
        does not cover.
    """

    accepted: bool
    term: int
    sequence: int
    incarnation: str
    clock_ms: int
    running_outside: int = 0


def covers(grant: Grant, unit: Unit, shard_count: int) -> bool:
    """Tells whether a grant covers a shard or a key."""
    if unit in grant.units:
        return True
    if isinstance(unit, int) or unit in grant.except_keys:
        return False
    return placement.shard_of(unit, shard_count) in grant.units


@dataclasses.dataclass
class HolderState:
    """What the controller knows about one target.

    Times are by the controller's own clock.

    Attributes:
      target: the target.
      unfenced_margin_s: seconds added to each expiry, for holders whose
        upstreams do not check fencing.
      outstanding: grants that may be in force, oldest first.
      expires_s: when the last of the `outstanding` grants expires.
      incarnation: the holder's incarnation, empty before its first answer.
      stamp_ms: the holder's clock in its newest answer.
      stamp_s: when that answer arrived.
      awaited_sequence: the sequence of the only call whose answer counts, or 0.
      last_sent_s: when the last call was sent.
      answered_sequence: the sequence of the newest answered call.
      answered_s: when the newest answer arrived, None before the first.
      unanswered_calls: how many calls had no answer since then.
      last_accepted: the newest grant that the holder accepted.
      last_refused: whether the holder refused the newest answered grant.
      first_known_term: the highest term in the holder's first answer.
    """

    target: GrantTarget
    unfenced_margin_s: float = 0.0
    outstanding: list[Grant] = dataclasses.field(default_factory=list)
    expires_s: float = float("-inf")
    incarnation: str = ""
    stamp_ms: int = 0
    stamp_s: float = float("-inf")
    awaited_sequence: int = 0
    last_sent_s: float = float("-inf")
    answered_sequence: int = 0
    answered_s: float | None = None
    unanswered_calls: int = 0
    last_accepted: Grant | None = None
    last_refused: bool = False
    first_known_term: int | None = None


def may_hold(
    holder: HolderState, unit: Unit, shard_count: int, now_s: float
) -> bool:
    """Tells whether a holder may still hold a unit."""
    if now_s > holder.expires_s + holder.unfenced_margin_s:
        return False
    return any(covers(grant, unit, shard_count) for grant in holder.outstanding)


def may_hold_any(holder: HolderState, now_s: float) -> bool:
    """Tells whether a holder may still hold any unit."""
    if now_s > holder.expires_s + holder.unfenced_margin_s:
        return False
    return any(grant.units for grant in holder.outstanding)


def on_sent(
    holder: HolderState, grant: Grant, now_s: float, clock_drift_ratio: float
) -> None:
    """Records that a grant is being sent."""
    if now_s > holder.expires_s + holder.unfenced_margin_s:
        holder.outstanding = []
    holder.awaited_sequence = grant.sequence
    holder.last_sent_s = now_s
    if not grant.units and not holder.outstanding:
        return
    holder.outstanding.append(grant)
    if not grant.units:
        # An empty grant gives nothing that could expire. If it extended the
        # expiry, calls to a dead gateway would keep its role held.
        return
    # A holder without a stamp counts the ttl from the receipt. A delay of the
    # grant in transit is then not covered; the gateway's own grant protects
    # against it.
    begin_s = holder.stamp_s if holder.stamp_ms else now_s
    expiry_s = begin_s + grant.ttl_s * (1.0 + 2.0 * clock_drift_ratio)
    holder.expires_s = max(holder.expires_s, expiry_s)


def on_answer(
    holder: HolderState, grant: Grant, answer: GrantAnswer, now_s: float
) -> bool:
    """Records an answer; returns False for one that is ignored.

    Only the first answer to the newest call counts. The counted answers are
    thus in the order in which the holder gave them, so the last incarnation
    seen is the running one, and earlier ones have ended.
    """
    if holder.awaited_sequence != grant.sequence:
        return False
    holder.awaited_sequence = 0
    holder.answered_sequence = grant.sequence
    holder.unanswered_calls = 0
    holder.answered_s = now_s
    if holder.first_known_term is None:
        holder.first_known_term = answer.term
    if holder.incarnation not in ("", answer.incarnation):
        holder.outstanding = [
            one
            for one in holder.outstanding
            if one.incarnation == answer.incarnation
        ]
        holder.last_accepted = None
    holder.incarnation = answer.incarnation
    holder.stamp_ms = answer.clock_ms
    holder.stamp_s = now_s
    holder.last_refused = not answer.accepted
    if answer.accepted:
        holder.last_accepted = grant
        if answer.running_outside == 0:
            _drop_older_grants(holder, grant)
    return True


def _drop_older_grants(holder: HolderState, grant: Grant) -> None:
    holder.outstanding = [
        one
        for one in holder.outstanding
        if one.term == grant.term and one.sequence >= grant.sequence
    ]


def on_unanswered(holder: HolderState, grant: Grant) -> None:
    """Records that a call timed out; a later answer to it is ignored."""
    if holder.awaited_sequence == grant.sequence:
        holder.awaited_sequence = 0
    if grant.sequence > holder.answered_sequence:
        holder.unanswered_calls += 1


def is_responsive(
    holder: HolderState, now_s: float, suspect_after_s: float
) -> bool:
    """Tells whether a holder answers; False before its first answer."""
    if holder.answered_s is None:
        return False
    # Elapsed time alone proves nothing: this process may have been frozen.
    return (
        holder.unanswered_calls < 2
        or now_s - holder.answered_s < suspect_after_s
    )


@dataclasses.dataclass
class HeldGrant:
    """The holder's own record of what it was granted.

    Attributes:
      incarnation: a text that is unique for each start of the holder.
      grant: the last accepted grant, which may have expired.
      highest_accepted: the highest accepted (term, sequence).
    """

    incarnation: str
    grant: Grant | None = None
    highest_accepted: tuple[int, int] = (0, 0)


def expires_ms(grant: Grant) -> int:
    """Returns the time, by the holder's clock, at which a grant expires."""
    return grant.stamp_ms + int(grant.ttl_s * 1000)


def try_accept(
    held: HeldGrant, grant: Grant, clock_ms: int, running_outside: int = 0
) -> GrantAnswer:
    """Accepts a grant, unless it is older, expired or for another incarnation.

    Args:
      held: the holder's record, changed in place.
      grant: the grant.
      clock_ms: the holder's clock.
      running_outside: how many running requests the grant does not cover.

    Returns:
      The answer to the controller.
    """
    order = (grant.term, grant.sequence)
    accepted = (
        order >= held.highest_accepted
        and grant.incarnation == held.incarnation
        and clock_ms < expires_ms(grant)
    )
    if accepted:
        held.highest_accepted = order
        held.grant = grant
    return GrantAnswer(
        accepted,
        held.highest_accepted[0],
        held.highest_accepted[1],
        held.incarnation,
        clock_ms,
        running_outside,
    )


def holds(held: HeldGrant, unit: Unit, shard_count: int, clock_ms: int) -> bool:
    """Tells whether the holder may use a unit now."""
    if held.grant is None or clock_ms >= expires_ms(held.grant):
        return False
    return covers(held.grant, unit, shard_count)
