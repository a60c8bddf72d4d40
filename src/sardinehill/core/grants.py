"""What a holder of grants may hold, as its controller must assume.

A grant lapses a ttl after a moment that the holder itself named in an earlier
answer, its stamp. Counting from the receipt instead was tried in the state
machine and lost: a grant that waits in the socket of a frozen holder, or is
sent by a controller that was frozen between check and send, would then begin
its life long after everybody else had written it off.
"""

from collections.abc import Iterable
import dataclasses

from sardinehill.core import placement

# A shard's number, or a key that was split out of its shard.
Unit = int | str

# The unit of being an upstream's gateway, apart from any shard.
GATEWAY_ROLE = -1

MAX_GRANT_SHARDS = 1 << 20


def shard_ranges(shards: Iterable[int]) -> list[tuple[int, int]]:
    """Returns shards as inclusive ranges, in ascending order."""
    found: list[tuple[int, int]] = []
    for shard in sorted(shards):
        if found and found[-1][1] == shard - 1:
            found[-1] = (found[-1][0], shard)
        else:
            found.append((shard, shard))
    return found


@dataclasses.dataclass(frozen=True, order=True)
class GrantTarget:
    """Who is granted something.

    Attributes:
      upstream: the upstream's name.
      daemon: its gateway, or empty when the upstream itself is meant.
    """

    upstream: str
    daemon: str = ""


@dataclasses.dataclass(frozen=True)
class Grant:
    """One order to a holder; a higher (term, sequence) replaces a lower.

    Attributes:
      target: whom it is for.
      term: the controller's term.
      sequence: grows with each grant of the term, over all targets.
      units: what is granted.
      except_keys: keys of granted shards that are not granted.
      ttl_s: seconds that it lasts, from its stamp.
      incarnation: the holder's incarnation; another refuses the grant.
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
      term: the highest term that it has accepted.
      sequence: the highest sequence in that term.
      incarnation: which start of the holder answers.
      clock_ms: the holder's clock, which also runs while it is frozen.
      running_outside: requests that still run and that the grant in force
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
    """What the controller knows of one target.

    Attributes:
      target: whom this is about.
      unfenced_margin_s: added to each lapse, for holders whose orders nobody checks.
      outstanding: grants that may be in force, the oldest first.
      expires_s: own clock after which none of `sent` is in force.
      incarnation: the holder's, empty before its first answer.
      stamp_ms: the holder's clock in its newest answer.
      stamp_s: own clock when that answer came.
      awaited_sequence: sequence of the only call whose answer counts, or 0.
      last_sent_s: own clock when that call was sent.
      answered_sequence: sequence of the newest call that was answered.
      answered_s: own clock at the newest answer, None before the first.
      unanswered_calls: calls without an answer since then.
      last_accepted: the newest grant that it accepted.
      last_refused: whether it refused the newest.
      first_known_term: the highest term that it knew when it was first asked.
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
    """Tells whether a unit must still be taken as held."""
    if now_s > holder.expires_s + holder.unfenced_margin_s:
        return False
    return any(covers(grant, unit, shard_count) for grant in holder.outstanding)


def may_hold_any(holder: HolderState, now_s: float) -> bool:
    """Tells whether anything at all must still be taken as held."""
    if now_s > holder.expires_s + holder.unfenced_margin_s:
        return False
    return any(grant.units for grant in holder.outstanding)


def on_sent(
    holder: HolderState, grant: Grant, now_s: float, drift_ratio: float
) -> None:
    """Takes in that a grant is being sent."""
    if now_s > holder.expires_s + holder.unfenced_margin_s:
        holder.outstanding = []
    holder.awaited_sequence = grant.sequence
    holder.last_sent_s = now_s
    if not grant.units and not holder.outstanding:
        return
    holder.outstanding.append(grant)
    if not grant.units:
        # It gives nothing that could lapse. Counting it kept the role of a
        # dead gateway for as long as anybody asked after it.
        return
    # A holder that names no clock counts from the receipt. What a grant may
    # wait on its way is then not covered; its gateway's grant is the guard.
    begin_s = holder.stamp_s if holder.stamp_ms else now_s
    lapse_s = begin_s + grant.ttl_s * (1.0 + 2.0 * drift_ratio)
    holder.expires_s = max(holder.expires_s, lapse_s)


def on_answer(
    holder: HolderState, grant: Grant, answer: GrantAnswer, now_s: float
) -> bool:
    """Takes in an answer; returns False for one that does not count.

    Only the first answer to the newest call counts. Answers that count are
    then in the order in which the holder gave them, so the incarnation learnt
    last is the one that runs, and it proves that earlier ones are gone.
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
            _forget_before(holder, grant)
    return True


def _forget_before(holder: HolderState, grant: Grant) -> None:
    holder.outstanding = [
        one
        for one in holder.outstanding
        if one.term == grant.term and one.sequence >= grant.sequence
    ]


def on_unanswered(holder: HolderState, grant: Grant) -> None:
    """Takes in that a call had no answer in time; none will count later."""
    if holder.awaited_sequence == grant.sequence:
        holder.awaited_sequence = 0
    if grant.sequence > holder.answered_sequence:
        holder.unanswered_calls += 1


def is_responsive(holder: HolderState, now_s: float, suspect_s: float) -> bool:
    """Tells whether a holder answers; one never heard of does not."""
    if holder.answered_s is None:
        return False
    # Silence alone proves nothing: this process may have been frozen itself.
    return holder.unanswered_calls < 2 or now_s - holder.answered_s < suspect_s


@dataclasses.dataclass
class HeldGrant:
    """The holder's own side: what it was granted.

    Attributes:
      incarnation: unique for each start of the holder.
      grant: the grant in force, until it lapses.
      highest_accepted: the highest (term, sequence) that was accepted.
    """

    incarnation: str
    grant: Grant | None = None
    highest_accepted: tuple[int, int] = (0, 0)


def expires_ms(grant: Grant) -> int:
    """Returns the holder's clock at which a grant ends."""
    return grant.stamp_ms + int(grant.ttl_s * 1000)


def try_accept(
    held: HeldGrant, grant: Grant, clock_ms: int, running_outside: int = 0
) -> GrantAnswer:
    """Takes a grant, unless it is older, stale or for another start.

    `running_outside` counts, as if the grant were accepted, the requests
    that still run and that it does not cover.
    """
    rank = (grant.term, grant.sequence)
    accepted = (
        rank >= held.highest_accepted
        and grant.incarnation == held.incarnation
        and clock_ms < expires_ms(grant)
    )
    if accepted:
        held.highest_accepted = rank
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
    """Tells whether the holder may act on a unit now."""
    if held.grant is None or clock_ms >= expires_ms(held.grant):
        return False
    return covers(held.grant, unit, shard_count)
