"""Plans the assignment that follows the committed one.

A plan drops finished moves, changes the electorate, chooses gateways and
rebalances shards and hot keys.
"""

from collections.abc import Mapping
import dataclasses

from sardinehill.core import balancing
from sardinehill.core import controller_state
from sardinehill.core import grants
from sardinehill.core import placement

# A new upstream starts with this part of its share, which then grows by the
# same step.
WARM_UP_STEP_RATIO = 0.1
# The most shards that one change moves to improve balance.
REBALANCE_BATCH_SHARDS = 16
# The most shards that one change moves off upstreams that still answer but may
# no longer own any.
DRAIN_BATCH_SHARDS = 64


def planning_inputs(
    controller: controller_state.ControllerState,
    view: controller_state.ServiceView,
    now_s: float,
) -> controller_state.PlanningInputs:
    """Returns all that the next assignment depends on while nothing moves."""
    committed = controller.committed
    assert committed is not None
    return controller_state.PlanningInputs(
        committed.version,
        upstream_weights(controller, view, now_s),
        _unresponsive_owners(controller, committed, view, now_s),
        frozenset(controller.suspected_daemons),
        view,
    )


def next_assignment(
    controller: controller_state.ControllerState,
    view: controller_state.ServiceView,
    now_s: float,
) -> placement.ShardAssignment:
    """Returns the next assignment, or an equal one if nothing changes."""
    assignment = controller.committed
    assert assignment is not None
    assignment = _drop_finished_moves(controller, assignment, view, now_s)
    assignment = _change_electorate(assignment, view)
    assignment = _change_gateways(controller, assignment, view, now_s)
    assignment = _move_shards(controller, assignment, view, now_s)
    return _move_keys(controller, assignment, view, now_s)


def _drop_finished_moves(
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
    view: controller_state.ServiceView,
    now_s: float,
) -> placement.ShardAssignment:
    shards = {
        shard: old
        for shard, old in assignment.moving_shards.items()
        if not controller_state.is_unit_released(
            controller, view, shard, old, now_s
        )
    }
    keys = {
        key: old
        for key, old in assignment.moving_keys.items()
        if not controller_state.is_unit_released(
            controller, view, key, old, now_s
        )
    }
    gateways = {
        upstream: old
        for upstream, old in assignment.moving_gateways.items()
        if not controller_state.is_gateway_released(
            controller, upstream, old, now_s
        )
    }
    return dataclasses.replace(
        assignment,
        moving_shards=shards,
        moving_keys=keys,
        moving_gateways=gateways,
    )


def _change_electorate(
    assignment: placement.ShardAssignment, view: controller_state.ServiceView
) -> placement.ShardAssignment:
    if assignment.electorate_before:
        # The committed change required a majority of the old electorate too.
        # Once it is committed, the old electorate is no longer needed.
        return dataclasses.replace(assignment, electorate_before=())
    if not view.electorate or assignment.electorate == view.electorate:
        return assignment
    return dataclasses.replace(
        assignment,
        electorate=view.electorate,
        electorate_before=assignment.electorate,
    )


def reset_warm_up(
    controller: controller_state.ControllerState,
    view: controller_state.ServiceView,
    now_s: float,
) -> None:
    """Restarts the warm-up of upstreams that are taken out.

    An upstream that is taken out receives no requests, so when it comes back
    its caches are as cold as those of a new one.
    """
    for name, upstream in view.upstreams.items():
        if upstream.is_out:
            controller.warm_up_began_s[name] = now_s


def upstream_weights(
    controller: controller_state.ControllerState,
    view: controller_state.ServiceView,
    now_s: float,
) -> dict[str, float]:
    """Returns the weight of each upstream that may own keys.

    A new upstream starts with a tenth of its share and gets the rest in
    steps, because its caches are cold and so are the keys that move to it.
    """
    timing = controller.timing
    weights: dict[str, float] = {}
    for name, upstream in view.upstreams.items():
        holder = controller.holders.get(grants.GrantTarget(name))
        if upstream.is_out or holder is None:
            continue
        if not grants.is_responsive(holder, now_s, timing.suspect_after_s):
            continue
        age_s = now_s - controller.warm_up_began_s.get(name, now_s)
        ratio = WARM_UP_STEP_RATIO * (
            1 + int(min(1.0, age_s / timing.warm_up_s) * 10)
        )
        weights[name] = min(1.0, ratio)
    return weights


def owning_upstreams(assignment: placement.ShardAssignment | None) -> list[str]:
    """Returns the upstreams that own at least one shard."""
    if assignment is None:
        return []
    indexes = {owner for owner in assignment.owners if owner >= 0}
    return [assignment.upstreams[index] for index in indexes]


def _unresponsive_owners(
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
    view: controller_state.ServiceView,
    now_s: float,
) -> frozenset[str]:
    """Returns upstreams of the assignment that do not answer.

    They cannot release anything.
    """
    unresponsive = set()
    for name in assignment.upstreams:
        holder = controller.holders.get(grants.GrantTarget(name))
        if holder is None or not grants.is_responsive(
            holder, now_s, controller.timing.suspect_after_s
        ):
            unresponsive.add(name)
    return frozenset(unresponsive)


def _move_shards(
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
    view: controller_state.ServiceView,
    now_s: float,
) -> placement.ShardAssignment:
    unverified = _unverified_owners(controller, assignment, view, now_s)
    unresponsive = (
        _unresponsive_owners(controller, assignment, view, now_s) - unverified
    )
    usable = upstream_weights(controller, view, now_s)
    owners = [
        assignment.upstreams[owner] if owner >= 0 else None
        for owner in assignment.owners
    ]
    pinned = set(assignment.moving_shards)
    pinned.update(
        shard for shard, owner in enumerate(owners) if owner in unverified
    )
    if not any(owners) and _has_unverified_upstream(controller, view):
        # Otherwise the first upstream to answer would get all shards and
        # lose most of them again a moment later.
        return assignment
    nothing_moves = not assignment.moving_shards
    moves = balancing.plan_moves(
        balancing.RebalanceInput(
            owners=owners,
            loads=[
                view.shard_loads.get(shard, 1.0) for shard in range(len(owners))
            ],
            weights=usable,
            pinned_shards=frozenset(pinned),
            extra_loads=_key_loads(assignment, view),
            move_budget=REBALANCE_BATCH_SHARDS if nothing_moves else 0,
            orphan_budget=DRAIN_BATCH_SHARDS if nothing_moves else 0,
            lost_upstreams=unresponsive,
        )
    )
    return _apply_shard_moves(assignment, moves, owners)


def _unverified_owners(
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
    view: controller_state.ServiceView,
    now_s: float,
) -> frozenset[str]:
    """Returns owners that have neither answered nor failed to answer twice.

    Upstreams that may no longer own anything are left out.
    """
    unverified = set()
    for name in assignment.upstreams:
        holder = controller.holders.get(grants.GrantTarget(name))
        failed = holder is not None and holder.unanswered_calls >= 2
        answered = holder is not None and holder.answered_s is not None
        in_service = name in view.upstreams and not view.upstreams[name].is_out
        if in_service and not failed and not answered:
            unverified.add(name)
    return frozenset(unverified)


def _has_unverified_upstream(
    controller: controller_state.ControllerState,
    view: controller_state.ServiceView,
) -> bool:
    """Tells whether some upstream has neither answered nor failed twice."""
    holders = (
        controller.holders.get(grants.GrantTarget(name))
        for name, upstream in view.upstreams.items()
        if not upstream.is_out
    )
    return any(
        holder is None
        or (holder.answered_s is None and holder.unanswered_calls < 2)
        for holder in holders
    )


def _key_loads(
    assignment: placement.ShardAssignment, view: controller_state.ServiceView
) -> dict[str, float]:
    loads: dict[str, float] = {}
    for key, owner in assignment.hot_owners.items():
        loads[owner] = loads.get(owner, 0.0) + view.hot_keys.get(key, 0.0)
    return loads


def _apply_shard_moves(
    assignment: placement.ShardAssignment,
    moves: dict[int, str],
    owners: list[str | None],
) -> placement.ShardAssignment:
    if not moves:
        return assignment
    moving = dict(assignment.moving_shards)
    for shard, new in moves.items():
        old = owners[shard]
        if old is not None:
            moving[shard] = old
        owners[shard] = new
    owning = {owner for owner in owners if owner is not None}
    names = tuple(
        [name for name in assignment.upstreams if name in owning]
        + sorted(owning.difference(assignment.upstreams))
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
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
    view: controller_state.ServiceView,
    now_s: float,
) -> placement.ShardAssignment:
    usable = upstream_weights(controller, view, now_s)
    hot_owners = dict(assignment.hot_owners)
    moving = dict(assignment.moving_keys)
    upstream_loads = _upstream_loads(assignment, view, usable)
    shard_count = view.shard_count
    for key in sorted(set(hot_owners) | set(view.hot_keys)):
        shard = placement.shard_of(key, shard_count)
        if key in moving or shard in assignment.moving_shards:
            continue
        shard_owner = _owner_name(assignment, shard)
        owner = hot_owners.get(key, shard_owner)
        if key not in view.hot_keys and owner == shard_owner:
            hot_owners.pop(key, None)
            continue
        new = _key_owner(key, owner, shard_owner, view, usable, upstream_loads)
        if new is None or new == owner:
            continue
        load = view.hot_keys.get(key, 0.0)
        upstream_loads[new] = upstream_loads.get(new, 0.0) + load
        if owner in upstream_loads:
            upstream_loads[owner] -= load
        hot_owners[key] = new
        if owner is not None:
            moving[key] = owner
    return dataclasses.replace(
        assignment, hot_owners=hot_owners, moving_keys=moving
    )


def _key_owner(
    key: str,
    owner: str | None,
    shard_owner: str | None,
    view: controller_state.ServiceView,
    usable: Mapping[str, float],
    upstream_loads: Mapping[str, float],
) -> str | None:
    """Returns the best owner of a key, or None if there is none.

    A hot key keeps its owner unless another one would be clearly less loaded. A
    key that is no longer hot goes back to the owner of its shard.
    """
    if key not in view.hot_keys:
        return shard_owner
    if not usable:
        return None
    load = view.hot_keys[key]
    best = min(
        usable, key=lambda name: (upstream_loads[name] / usable[name], name)
    )
    if owner is None or owner not in usable:
        return best
    # A key takes its load with it, so a move helps only if the new owner ends
    # up with less load than the present owner has now.
    if upstream_loads[best] + load < upstream_loads[owner] * (
        1.0 - balancing.HYSTERESIS_RATIO
    ):
        return best
    return owner


def _upstream_loads(
    assignment: placement.ShardAssignment,
    view: controller_state.ServiceView,
    usable: Mapping[str, float],
) -> dict[str, float]:
    loads = dict.fromkeys(usable, 0.0)
    for shard, owner in enumerate(assignment.owners):
        name = assignment.upstreams[owner] if owner >= 0 else ""
        if name in loads:
            loads[name] += view.shard_loads.get(shard, 1.0)
    for name, load in _key_loads(assignment, view).items():
        if name in loads:
            loads[name] += load
    return loads


def _owner_name(
    assignment: placement.ShardAssignment, shard: int
) -> str | None:
    owner = assignment.owners[shard]
    return assignment.upstreams[owner] if owner >= 0 else None


def _change_gateways(
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
    view: controller_state.ServiceView,
    now_s: float,
) -> placement.ShardAssignment:
    gateways = dict(assignment.gateways)
    moving = dict(assignment.moving_gateways)
    usable = {
        name: daemon
        for name, daemon in view.daemons.items()
        if daemon.is_alive
        and not daemon.is_out
        and name not in controller.suspected_daemons
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
    current: str | None,
    zone: str,
    usable: Mapping[str, controller_state.DaemonView],
    counts: Mapping[str, int],
) -> str | None:
    """Returns the daemon that should be an upstream's gateway.

    A daemon in the upstream's zone saves a hop between zones. The gateway
    changes only if it is unusable or serves at least two upstreams more than
    another candidate, since each change briefly interrupts the upstream's
    keys.

    Args:
      upstream: the upstream's name.
      current: the present gateway, or None.
      zone: the upstream's availability zone.
      usable: the daemons that may be gateways, by name.
      counts: how many upstreams each of them serves.
    """
    same_zone = [
        name
        for name, daemon in usable.items()
        if daemon.availability_zone == zone
    ]
    candidates = same_zone or list(usable)
    if not candidates:
        return None
    fewest = min(counts[name] for name in candidates)
    if current in candidates and counts[current] <= fewest + 1:
        return current
    return placement.rendezvous(
        upstream, [name for name in candidates if counts[name] == fewest]
    )
