"""The controller of one service: who owns what, and who may be told so.

It is given events and the time, and returns commands. Its rules:

* An assignment is in force once the store acknowledged it, or it was read
  back with this controller's own nonce; no grant follows any other.
* A unit that moves stays noted as moving in the store until its old holder
  gave it up, so that a new controller starts from the same knowledge.
* The new owner is granted a unit only after the old holder accepted a newer
  grant without it and runs nothing of it, or was started anew, or its
  longest possible grant lapsed.
* After a takeover the assignment changes only once a majority of the
  electorate sealed the new term and the predecessor's licence is over.
"""

from collections.abc import Mapping
import dataclasses

from sardinehill.core import balancing
from sardinehill.core import grants
from sardinehill.core import licence
from sardinehill.core import placement

# The share of keys that a new upstream begins with, and grows by.
WARM_STEP = 0.1
EMPTY: tuple[frozenset[grants.Unit], frozenset[str]] = (
    frozenset(),
    frozenset(),
)
# Shards moved in one change for balance alone, and off hosts taken out.
LEVEL_BUDGET_SHARDS = 16
DRAIN_BUDGET_SHARDS = 64


@dataclasses.dataclass(frozen=True)
class OwnershipTiming:
    """Durations of grants.

    Attributes:
      grant_ttl_s: seconds that a grant lasts from its stamp.
      renew_s: seconds between renewals of an unchanged grant.
      retry_s: seconds before an unanswered call is followed by another.
      poll_s: seconds between calls while an answer is about to change.
      suspect_s: seconds of unanswered calls before a holder is given up.
      unfenced_gap_s: seconds added where nobody checks orders.
      write_interval_s: the shortest time between two changes.
      warm_s: seconds in which a new upstream's share of keys grows.
      drift_ratio: by how much two clocks' rates may differ.
    """

    grant_ttl_s: float = 1.8
    renew_s: float = 0.4
    retry_s: float = 0.1
    poll_s: float = 0.02
    suspect_s: float = 0.8
    unfenced_gap_s: float = 2.0
    write_interval_s: float = 0.03
    warm_s: float = 10.0
    drift_ratio: float = 0.02


@dataclasses.dataclass(frozen=True)
class UpstreamView:
    """An upstream as the controller's daemon sees it.

    Attributes:
      availability_zone: where it runs.
      out: whether it or its zone was taken out, or it leaves.
    """

    availability_zone: str
    out: bool = False


@dataclasses.dataclass(frozen=True)
class DaemonView:
    """A daemon that may be a gateway.

    Attributes:
      availability_zone: where it runs.
      out: whether it or its zone was taken out, or it leaves.
      alive: whether membership takes it as running.
    """

    availability_zone: str
    out: bool = False
    alive: bool = True


@dataclasses.dataclass(frozen=True)
class View:
    """The world as the controller's daemon sees it; all of it may lag.

    Attributes:
      shard_count: shards of the service.
      checks_fencing: whether its upstreams check who gives them an order.
      upstreams: the service's upstreams by name.
      daemons: members by name.
      electorate: the daemons that should vouch from now on.
      shard_loads: the load of shards where it is known.
      hot_keys: keys that should be placed alone, and their load.
    """

    shard_count: int
    checks_fencing: bool
    upstreams: Mapping[str, UpstreamView]
    daemons: Mapping[str, DaemonView]
    electorate: tuple[str, ...]
    shard_loads: Mapping[int, float] = dataclasses.field(default_factory=dict)
    hot_keys: Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class SendGrant:
    """The daemon shall send a grant to its target."""

    grant: grants.Grant


@dataclasses.dataclass(frozen=True)
class ReadAssignment:
    """The daemon shall read the assignment."""


@dataclasses.dataclass(frozen=True)
class WriteAssignment:
    """The daemon shall write this if the version is still `expected`."""

    expected: int
    assignment: placement.Assignment


Command = SendGrant | ReadAssignment | WriteAssignment


@dataclasses.dataclass
class Controller:
    """The state of one service's controller on one daemon.

    Attributes:
      service: the service's name.
      me: the daemon's name.
      timing: durations.
      term: the lease's term, 0 while this daemon is not the controller.
      sequence: the last sequence used in this term.
      newest_term: the highest term seen anywhere.
      committed: the assignment in force, None before it was read.
      writing: the change on its way or whose reply was lost.
      busy: whether a read or write of the assignment is on its way.
      unsure: whether the assignment has to be read before anything else.
      written_s: own clock at the last write.
      settled: whether no predecessor can act any more.
      holders: upstreams and gateways by target.
      known_since_s: own clock when an upstream without keys was first heard
        of in its present start; one that had keys counts as long known.
      suspects: daemons that stopped answering and have not answered since.
    """

    service: str
    me: str
    timing: OwnershipTiming
    term: int = 0
    sequence: int = 0
    newest_term: int = 0
    committed: placement.Assignment | None = None
    writing: placement.Assignment | None = None
    busy: bool = False
    unsure: bool = True
    written_s: float = float("-inf")
    settled: bool = False
    holders: dict[grants.Target, grants.Holder] = dataclasses.field(
        default_factory=dict
    )
    known_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    suspects: set[str] = dataclasses.field(default_factory=set)


def empty_assignment(service: str, shard_count: int) -> placement.Assignment:
    """Returns the assignment of a service that never had one."""
    return placement.Assignment(
        service=service,
        version=0,
        term=0,
        upstreams=(),
        owners=(-1,) * shard_count,
        gateways={},
        hot_owners={},
        writer_id="",
        nonce="",
    )


def begin_term(controller: Controller, term: int) -> None:
    """Becomes the controller of a term, or of none when it is 0.

    Everything known about holders is dropped: what others granted in between
    is in the store's assignment and nowhere else.
    """
    if controller.term == term:
        return
    controller.term = term
    controller.newest_term = max(controller.newest_term, term)
    controller.sequence = 0
    controller.committed = None
    controller.writing = None
    controller.unsure = True
    controller.settled = False
    controller.holders = {}
    controller.suspects = set()


def electorate_of(
    assignment: placement.Assignment | None,
) -> licence.Electorate:
    """Returns whose majority counts under an assignment."""
    if assignment is None:
        return licence.Electorate(frozenset())
    return licence.Electorate(
        frozenset(assignment.electorate),
        frozenset(assignment.electorate_before),
    )


def is_new_service(controller: Controller, view: View) -> bool:
    """Tells whether no upstream was ever granted anything by anybody."""
    holders = [
        controller.holders.get(grants.Target(name)) for name in view.upstreams
    ]
    return bool(holders) and all(
        holder is not None and holder.earlier_term == 0 for holder in holders
    )


# Events from the store.


def on_assignment_read(
    controller: Controller,
    assignment: placement.Assignment,
    by_store: bool,
    term: int,
) -> None:
    """Takes in what a read of the assignment returned.

    Args:
      controller: the state.
      assignment: what was read.
      by_store: whether the lease, by the store's own word, is still held now.
        A controller that only peers vouch for adopts nothing: a successor may
        have read an older version than this one.
      term: the term in which the read was asked for.
    """
    controller.busy = False
    if term != controller.term or not by_store:
        return
    controller.unsure = False
    controller.writing = None
    _adopt(controller, assignment)


def on_assignment_written(
    controller: Controller,
    assignment: placement.Assignment,
    by_store: bool,
) -> None:
    """Takes in an acknowledged write, with the version it was given."""
    controller.busy = False
    if assignment.term != controller.term or not by_store:
        controller.unsure = True
        return
    controller.writing = None
    _adopt(controller, assignment)


def on_assignment_unknown(controller: Controller) -> None:
    """Takes in a conflict or a lost reply: only a read settles either."""
    controller.busy = False
    controller.unsure = True


def _adopt(controller: Controller, assignment: placement.Assignment) -> None:
    known = controller.committed
    if known is not None and assignment.version < known.version:
        return
    controller.committed = assignment
    if known is None:
        _inherit(controller, assignment)


def _inherit(controller: Controller, assignment: placement.Assignment) -> None:
    held: dict[grants.Target, set[grants.Unit]] = {}
    for unit, owner in _owned_units(assignment):
        held.setdefault(grants.Target(owner), set()).add(unit)
    for unit, owner in _moving_units(assignment):
        held.setdefault(grants.Target(owner), set()).add(unit)
    for upstream, daemon in _all_gateways(assignment):
        units = set(held.get(grants.Target(upstream), ()))
        units.add(grants.GATEWAY_ROLE)
        held[grants.Target(upstream, daemon)] = units
    for target, units in held.items():
        holder = _holder(controller, target)
        holder.sent = [_inherited_grant(target, units)]
        holder.lapse_s = float("inf")


def _inherited_grant(
    target: grants.Target, units: set[grants.Unit]
) -> grants.Grant:
    return grants.Grant(target, 0, 0, frozenset(units), frozenset(), 0.0, "", 0)


def _owned_units(
    assignment: placement.Assignment,
) -> list[tuple[grants.Unit, str]]:
    units: list[tuple[grants.Unit, str]] = [
        (shard, assignment.upstreams[owner])
        for shard, owner in enumerate(assignment.owners)
        if owner >= 0
    ]
    units.extend(assignment.hot_owners.items())
    return units


def _moving_units(
    assignment: placement.Assignment,
) -> list[tuple[grants.Unit, str]]:
    units: list[tuple[grants.Unit, str]] = []
    units.extend(assignment.moving_shards.items())
    units.extend(assignment.moving_keys.items())
    return units


def _all_gateways(
    assignment: placement.Assignment,
) -> list[tuple[str, str]]:
    return [
        *assignment.gateways.items(),
        *assignment.moving_gateways.items(),
    ]


def _holder(controller: Controller, target: grants.Target) -> grants.Holder:
    holder = controller.holders.get(target)
    if holder is None:
        holder = grants.Holder(target)
        controller.holders[target] = holder
    return holder


# Events from holders.


def on_grant_answer(
    controller: Controller,
    grant: grants.Grant,
    answer: grants.GrantAnswer,
    now_s: float,
) -> None:
    """Takes in a holder's answer."""
    controller.newest_term = max(controller.newest_term, answer.term)
    holder = controller.holders.get(grant.target)
    if grant.term != controller.term or holder is None:
        return
    before = holder.incarnation
    if not grants.on_answer(holder, grant, answer, now_s):
        return
    name = grant.target.upstream
    if grant.target.daemon or before == answer.incarnation:
        return
    if name in _owning(controller.committed):
        controller.known_since_s.setdefault(name, float("-inf"))
    else:
        controller.known_since_s[name] = now_s


def on_grant_lost(controller: Controller, grant: grants.Grant) -> None:
    """Takes in that a holder did not answer in time."""
    holder = controller.holders.get(grant.target)
    if grant.term == controller.term and holder is not None:
        grants.on_lost(holder, grant)


def on_settled(controller: Controller, now_s: float) -> None:
    """Takes in that from now on no predecessor can send anything.

    What a predecessor sent before lapses one ttl later.
    """
    if controller.settled:
        return
    controller.settled = True
    for holder in controller.holders.values():
        if holder.lapse_s == float("inf"):
            holder.lapse_s = now_s + _full_ttl_s(controller.timing)


def _full_ttl_s(timing: OwnershipTiming) -> float:
    return timing.grant_ttl_s * (1.0 + 2.0 * timing.drift_ratio)


# What to do now.


def tick(
    controller: Controller,
    view: View,
    now_s: float,
    by_store: bool,
    nonce: str,
) -> list[Command]:
    """Returns what to do now.

    Call it only with a clock read since the last wait, while the licence
    lasts by that clock, and carry the commands out without waiting.

    Args:
      controller: the state, changed in place.
      view: the world as it looks now.
      now_s: own clock.
      by_store: whether the lease is held by the store's own word.
      nonce: a text that was never used before.
    """
    if controller.term == 0 or controller.newest_term > controller.term:
        return []
    if controller.committed is None:
        return _read(controller, by_store)
    _judge_daemons(controller, now_s)
    commands: list[Command] = []
    if by_store:
        commands.extend(_change(controller, view, now_s, nonce))
    commands.extend(_grants(controller, view, now_s))
    return commands


def _read(controller: Controller, by_store: bool) -> list[Command]:
    if controller.busy or not by_store:
        return []
    controller.busy = True
    return [ReadAssignment()]


def _change(
    controller: Controller, view: View, now_s: float, nonce: str
) -> list[Command]:
    if controller.unsure:
        return _read(controller, True)
    too_soon = now_s - controller.written_s < controller.timing.write_interval_s
    if controller.busy or not controller.settled or too_soon:
        return []
    committed = controller.committed
    assert committed is not None
    wanted = next_assignment(controller, view, now_s)
    if wanted == committed:
        return []
    wanted = dataclasses.replace(
        wanted,
        version=committed.version,
        term=controller.term,
        writer_id=controller.me,
        nonce=nonce,
    )
    controller.busy = True
    controller.writing = wanted
    controller.written_s = now_s
    return [WriteAssignment(committed.version, wanted)]


def next_assignment(
    controller: Controller, view: View, now_s: float
) -> placement.Assignment:
    """Returns the assignment that should follow the committed one."""
    assignment = controller.committed
    assert assignment is not None
    assignment = _clear_moves(controller, assignment, view, now_s)
    assignment = _change_electorate(assignment, view)
    assignment = _change_gateways(controller, assignment, view, now_s)
    assignment = _move_shards(controller, assignment, view, now_s)
    return _move_keys(controller, assignment, view, now_s)


def _clear_moves(
    controller: Controller,
    assignment: placement.Assignment,
    view: View,
    now_s: float,
) -> placement.Assignment:
    shards = {
        shard: old
        for shard, old in assignment.moving_shards.items()
        if not _given_up(controller, view, shard, old, now_s)
    }
    keys = {
        key: old
        for key, old in assignment.moving_keys.items()
        if not _given_up(controller, view, key, old, now_s)
    }
    gateways = {
        upstream: old
        for upstream, old in assignment.moving_gateways.items()
        if not _role_given_up(controller, upstream, old, now_s)
    }
    return dataclasses.replace(
        assignment,
        moving_shards=shards,
        moving_keys=keys,
        moving_gateways=gateways,
    )


def _given_up(
    controller: Controller,
    view: View,
    unit: grants.Unit,
    upstream: str,
    now_s: float,
) -> bool:
    """Tells whether nobody can use a unit on its old upstream any more."""
    if view.checks_fencing:
        holder = controller.holders.get(grants.Target(upstream))
        return holder is None or not grants.may_hold(
            holder, unit, view.shard_count, now_s
        )
    return not any(
        grants.may_hold(holder, unit, view.shard_count, now_s)
        for target, holder in controller.holders.items()
        if target.upstream == upstream and target.daemon
    )


def _role_given_up(
    controller: Controller, upstream: str, daemon: str, now_s: float
) -> bool:
    holder = controller.holders.get(grants.Target(upstream, daemon))
    return holder is None or not grants.may_hold(
        holder, grants.GATEWAY_ROLE, 1, now_s
    )


def _change_electorate(
    assignment: placement.Assignment, view: View
) -> placement.Assignment:
    if assignment.electorate_before:
        # The change in force includes the old majority; now that it is
        # committed the old one is no longer needed.
        return dataclasses.replace(assignment, electorate_before=())
    if not view.electorate or assignment.electorate == view.electorate:
        return assignment
    return dataclasses.replace(
        assignment,
        electorate=view.electorate,
        electorate_before=assignment.electorate,
    )


def usable_upstreams(
    controller: Controller, view: View, now_s: float
) -> dict[str, float]:
    """Returns the weight of each upstream that may own keys.

    One that was just started begins with a tenth of its share, and the rest
    follows in steps, since it is cold and the moved keys are cold as well.
    """
    timing = controller.timing
    weights: dict[str, float] = {}
    for name, upstream in view.upstreams.items():
        holder = controller.holders.get(grants.Target(name))
        if upstream.out or holder is None:
            continue
        if not grants.is_answering(holder, now_s, timing.suspect_s):
            continue
        age_s = now_s - controller.known_since_s.get(name, now_s)
        share = WARM_STEP * (1 + int(min(1.0, age_s / timing.warm_s) * 10))
        weights[name] = min(1.0, share)
    return weights


def _owning(assignment: placement.Assignment | None) -> list[str]:
    if assignment is None:
        return []
    indexes = {owner for owner in assignment.owners if owner >= 0}
    return [assignment.upstreams[index] for index in indexes]


def _gone_upstreams(
    controller: Controller,
    assignment: placement.Assignment,
    view: View,
    now_s: float,
) -> frozenset[str]:
    """Returns owners that do not answer, so that no release can be had."""
    gone = set()
    for name in assignment.upstreams:
        holder = controller.holders.get(grants.Target(name))
        if holder is None or not grants.is_answering(
            holder, now_s, controller.timing.suspect_s
        ):
            gone.add(name)
    return frozenset(gone)


def _move_shards(
    controller: Controller,
    assignment: placement.Assignment,
    view: View,
    now_s: float,
) -> placement.Assignment:
    waiting = _unheard_upstreams(controller, assignment, view, now_s)
    gone = _gone_upstreams(controller, assignment, view, now_s) - waiting
    usable = usable_upstreams(controller, view, now_s)
    owners = [
        assignment.upstreams[owner] if owner >= 0 else None
        for owner in assignment.owners
    ]
    pinned = set(assignment.moving_shards)
    pinned.update(
        shard for shard, owner in enumerate(owners) if owner in waiting
    )
    if not any(owners) and _unasked(controller, view):
        # The first to answer would be given everything, only to lose most
        # of it again a moment later.
        return assignment
    idle = not assignment.moving_shards
    moves = balancing.plan(
        balancing.Problem(
            owners=owners,
            loads=[
                view.shard_loads.get(shard, 1.0) for shard in range(len(owners))
            ],
            weights=usable,
            pinned=frozenset(pinned),
            extra_loads=_key_loads(assignment, view),
            budget=LEVEL_BUDGET_SHARDS if idle else 0,
            orphan_budget=DRAIN_BUDGET_SHARDS if idle else 0,
            gone=gone,
        )
    )
    return _apply(assignment, moves, owners)


def _unheard_upstreams(
    controller: Controller,
    assignment: placement.Assignment,
    view: View,
    now_s: float,
) -> frozenset[str]:
    """Returns owners that were not asked for long enough to be judged."""
    waiting = set()
    for name in assignment.upstreams:
        holder = controller.holders.get(grants.Target(name))
        asked = holder is not None and holder.lost >= 2
        heard = holder is not None and holder.answered_s is not None
        known = name in view.upstreams and not view.upstreams[name].out
        if known and not asked and not heard:
            waiting.add(name)
    return frozenset(waiting)


def _unasked(controller: Controller, view: View) -> bool:
    """Tells whether an upstream has neither answered nor failed to."""
    holders = (
        controller.holders.get(grants.Target(name))
        for name, upstream in view.upstreams.items()
        if not upstream.out
    )
    return any(
        holder is None or (holder.answered_s is None and holder.lost < 2)
        for holder in holders
    )


def _key_loads(
    assignment: placement.Assignment, view: View
) -> dict[str, float]:
    loads: dict[str, float] = {}
    for key, owner in assignment.hot_owners.items():
        loads[owner] = loads.get(owner, 0.0) + view.hot_keys.get(key, 0.0)
    return loads


def _apply(
    assignment: placement.Assignment,
    moves: dict[int, str],
    owners: list[str | None],
) -> placement.Assignment:
    if not moves:
        return assignment
    moving = dict(assignment.moving_shards)
    for shard, new in moves.items():
        old = owners[shard]
        if old is not None:
            moving[shard] = old
        owners[shard] = new
    used = {owner for owner in owners if owner is not None}
    names = tuple(
        [name for name in assignment.upstreams if name in used]
        + sorted(used.difference(assignment.upstreams))
    )
    index_of = {name: index for index, name in enumerate(names)}
    return dataclasses.replace(
        assignment,
        upstreams=names,
        owners=tuple(
            -1 if owner is None else index_of[owner] for owner in owners
        ),
        moving_shards=moving,
    )


def _move_keys(
    controller: Controller,
    assignment: placement.Assignment,
    view: View,
    now_s: float,
) -> placement.Assignment:
    usable = usable_upstreams(controller, view, now_s)
    hot = dict(assignment.hot_owners)
    moving = dict(assignment.moving_keys)
    bearing = _bearing(assignment, view, usable)
    shard_count = view.shard_count
    for key in sorted(set(hot) | set(view.hot_keys)):
        shard = placement.shard_of(key, shard_count)
        if key in moving or shard in assignment.moving_shards:
            continue
        home = _owner_name(assignment, shard)
        owner = hot.get(key, home)
        if key not in view.hot_keys and owner == home:
            hot.pop(key, None)
            continue
        new = _key_owner(key, owner, home, view, usable, bearing)
        if new is None or new == owner:
            continue
        load = view.hot_keys.get(key, 0.0)
        bearing[new] = bearing.get(new, 0.0) + load
        if owner in bearing:
            bearing[owner] -= load
        hot[key] = new
        if owner is not None:
            moving[key] = owner
    return dataclasses.replace(assignment, hot_owners=hot, moving_keys=moving)


def _key_owner(
    key: str,
    owner: str | None,
    home: str | None,
    view: View,
    usable: Mapping[str, float],
    bearing: Mapping[str, float],
) -> str | None:
    """Returns where a key should be; where it is, if that is good enough."""
    if key not in view.hot_keys:
        return home
    if not usable:
        return None
    load = view.hot_keys[key]
    best = min(usable, key=lambda name: (bearing[name] / usable[name], name))
    if owner is None or owner not in usable:
        return best
    # The key's own load goes along with it, so a move pays only when the
    # receiver ends below where the present owner is now.
    if bearing[best] + load < bearing[owner] * (
        1.0 - balancing.HYSTERESIS_RATIO
    ):
        return best
    return owner


def _bearing(
    assignment: placement.Assignment,
    view: View,
    usable: Mapping[str, float],
) -> dict[str, float]:
    bearing = dict.fromkeys(usable, 0.0)
    for shard, owner in enumerate(assignment.owners):
        name = assignment.upstreams[owner] if owner >= 0 else ""
        if name in bearing:
            bearing[name] += view.shard_loads.get(shard, 1.0)
    for name, load in _key_loads(assignment, view).items():
        if name in bearing:
            bearing[name] += load
    return bearing


def _owner_name(assignment: placement.Assignment, shard: int) -> str | None:
    owner = assignment.owners[shard]
    return assignment.upstreams[owner] if owner >= 0 else None


def _change_gateways(
    controller: Controller,
    assignment: placement.Assignment,
    view: View,
    now_s: float,
) -> placement.Assignment:
    gateways = dict(assignment.gateways)
    moving = dict(assignment.moving_gateways)
    usable = {
        name: daemon
        for name, daemon in view.daemons.items()
        if daemon.alive and not daemon.out and name not in controller.suspects
    }
    counts = dict.fromkeys(usable, 0)
    for daemon in gateways.values():
        if daemon in counts:
            counts[daemon] += 1
    for upstream, upstream_view in sorted(view.upstreams.items()):
        if upstream in moving:
            continue
        old = gateways.get(upstream)
        zone = upstream_view.availability_zone
        new = choose_gateway(upstream, old, zone, usable, counts)
        if new is None or new == old:
            continue
        gateways[upstream] = new
        counts[new] += 1
        if old is not None:
            moving[upstream] = old
            counts[old] = counts.get(old, 0) - 1
    for upstream in sorted(set(gateways) - set(view.upstreams)):
        if upstream not in moving and upstream not in assignment.upstreams:
            moving[upstream] = gateways.pop(upstream)
    return dataclasses.replace(
        assignment, gateways=gateways, moving_gateways=moving
    )


def choose_gateway(
    upstream: str,
    old: str | None,
    zone: str,
    usable: Mapping[str, DaemonView],
    counts: Mapping[str, int],
) -> str | None:
    """Returns the daemon that should be an upstream's gateway.

    One in the upstream's zone saves a hop between zones. It changes only
    when it must or when it has two more than another of its zone, since each
    change costs the upstream's keys a moment.
    """
    near = [
        name
        for name, daemon in usable.items()
        if daemon.availability_zone == zone
    ]
    candidates = near or list(usable)
    if not candidates:
        return None
    fewest = min(counts[name] for name in candidates)
    if old in candidates and counts[old] <= fewest + 1:
        return old
    return placement.rendezvous(
        upstream, [name for name in candidates if counts[name] == fewest]
    )


def _judge_daemons(controller: Controller, now_s: float) -> None:
    """Notes which daemons stopped answering, and which answer again.

    Without this memory a silent daemon, once rid of its upstreams, would
    look as good as new and be given them back.
    """
    timing = controller.timing
    by_daemon: dict[str, list[grants.Holder]] = {}
    for target, holder in controller.holders.items():
        if target.daemon:
            by_daemon.setdefault(target.daemon, []).append(holder)
    for daemon, holders in by_daemon.items():
        if any(_has_answered(one, now_s, timing.suspect_s) for one in holders):
            controller.suspects.discard(daemon)
        elif all(one.lost >= 2 for one in holders):
            controller.suspects.add(daemon)


def _has_answered(
    holder: grants.Holder, now_s: float, suspect_s: float
) -> bool:
    return holder.answered_s is not None and grants.is_answering(
        holder, now_s, suspect_s
    )


# Grants.


def _grants(controller: Controller, view: View, now_s: float) -> list[Command]:
    committed = controller.committed
    assert committed is not None
    _know_targets(controller, committed, view, now_s)
    wanted = wanted_units(controller, committed, view, now_s)
    commands: list[Command] = []
    for target in sorted(controller.holders):
        units = wanted.get(target, frozenset())
        grant = _due_grant(controller, view, target, units, now_s)
        if grant is not None:
            commands.append(SendGrant(grant))
    return commands


def _know_targets(
    controller: Controller,
    assignment: placement.Assignment,
    view: View,
    now_s: float,
) -> None:
    gap_s = 0.0 if view.checks_fencing else controller.timing.unfenced_gap_s
    needed = {grants.Target(name) for name in view.upstreams}
    needed.update(grants.Target(name) for name in assignment.upstreams)
    needed.update(
        grants.Target(upstream, daemon)
        for upstream, daemon in _all_gateways(assignment)
    )
    needed.update(
        grants.Target("", daemon)
        for daemon in controller.suspects
        if daemon in view.daemons
    )
    for target in needed:
        holder = _holder(controller, target)
        holder.gap_s = gap_s if target.daemon else 0.0
    for target, holder in list(controller.holders.items()):
        # A holder is forgotten only once it can hold nothing, or its unit
        # would be taken as free.
        if target not in needed and not grants.may_hold_any(holder, now_s):
            del controller.holders[target]


def wanted_units(
    controller: Controller,
    assignment: placement.Assignment,
    view: View,
    now_s: float,
) -> dict[grants.Target, frozenset[grants.Unit]]:
    """Returns what each target should be granted now."""
    moving = dict(_moving_units(assignment))
    owned: dict[str, set[grants.Unit]] = {}
    for unit, owner in _owned_units(assignment):
        old = moving.get(unit)
        if old is not None and not _given_up(
            controller, view, unit, old, now_s
        ):
            continue
        owned.setdefault(owner, set()).add(unit)
    wanted = {
        grants.Target(name): frozenset(units) for name, units in owned.items()
    }
    for upstream, daemon in assignment.gateways.items():
        old_daemon = assignment.moving_gateways.get(upstream)
        if old_daemon is not None and not _role_given_up(
            controller, upstream, old_daemon, now_s
        ):
            continue
        units = _gateway_units(controller, view, upstream, owned)
        wanted[grants.Target(upstream, daemon)] = units
    return wanted


def _gateway_units(
    controller: Controller,
    view: View,
    upstream: str,
    owned: dict[str, set[grants.Unit]],
) -> frozenset[grants.Unit]:
    units = set(owned.get(upstream, ()))
    if view.checks_fencing:
        # Before its upstream accepted a unit a gateway could only collect
        # refusals for it.
        holder = controller.holders[grants.Target(upstream)]
        accepted = holder.accepted
        units &= accepted.units if accepted is not None else frozenset()
    units.add(grants.GATEWAY_ROLE)
    return frozenset(units)


def _due_grant(
    controller: Controller,
    view: View,
    target: grants.Target,
    units: frozenset[grants.Unit],
    now_s: float,
) -> grants.Grant | None:
    holder = controller.holders[target]
    if not holder.incarnation:
        # Nothing can be granted before a first answer; only ask.
        units = frozenset()
    except_keys = _except_keys(controller, view, units)
    content = (units, except_keys)
    waited_s = now_s - holder.sent_s
    if waited_s < _wait_s(controller.timing, holder, content):
        return None
    return _grant(controller, holder, units, except_keys, now_s)


def _wait_s(
    timing: OwnershipTiming,
    holder: grants.Holder,
    content: tuple[frozenset[grants.Unit], frozenset[str]],
) -> float:
    """Returns how long after the last call the next one is due."""
    last = holder.sent[-1] if holder.sent else None
    if holder.awaiting:
        # A newer grant makes the answer on its way worthless, so one is sent
        # only to say something else.
        asked = (last.units, last.except_keys) if last else EMPTY
        changed = asked != content
        return timing.poll_s if changed else timing.renew_s
    if holder.lost:
        return timing.retry_s * min(4, holder.lost)
    in_force = holder.accepted
    if holder.refused or in_force is None:
        return timing.poll_s if holder.answered_s is not None else 0.0
    if (in_force.units, in_force.except_keys) != content:
        return 0.0
    return timing.renew_s if len(holder.sent) <= 1 else timing.poll_s


def _except_keys(
    controller: Controller, view: View, units: frozenset[grants.Unit]
) -> frozenset[str]:
    committed = controller.committed
    assert committed is not None
    return frozenset(
        key
        for key in committed.hot_owners
        if key not in units
        and placement.shard_of(key, view.shard_count) in units
    )


def _grant(
    controller: Controller,
    holder: grants.Holder,
    units: frozenset[grants.Unit],
    except_keys: frozenset[str],
    now_s: float,
) -> grants.Grant:
    controller.sequence += 1
    grant = grants.Grant(
        target=holder.target,
        term=controller.term,
        sequence=controller.sequence,
        units=units,
        except_keys=except_keys,
        ttl_s=controller.timing.grant_ttl_s,
        incarnation=holder.incarnation,
        stamp_ms=holder.stamp_ms,
    )
    grants.on_sent(holder, grant, now_s, controller.timing.drift_ratio)
    return grant
