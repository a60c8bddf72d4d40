"""Determines which grants are due under the committed assignment."""

from collections.abc import Mapping

from sardinehill.core import controller_state
from sardinehill.core import grants
from sardinehill.core import placement

HOLDER_CLEANUP_INTERVAL_S = 1.0
# The units and excluded keys of an empty grant.
EMPTY_CONTENT: tuple[frozenset[grants.Unit], frozenset[str]] = (
    frozenset(),
    frozenset(),
)


def update_suspected_daemons(
    controller: controller_state.ControllerState, now_s: float
) -> None:
    """Updates which daemons are suspected because they do not answer.

    A daemon stays suspected after it has lost its upstreams: otherwise an
    unresponsive daemon would then look like a new one and would get them back.
    """
    timing = controller.timing
    by_daemon: dict[str, list[grants.HolderState]] = {}
    for target, holder in controller.holders.items():
        if target.daemon:
            by_daemon.setdefault(target.daemon, []).append(holder)
    for daemon, holders in by_daemon.items():
        if any(
            _has_answered(one, now_s, timing.suspect_after_s) for one in holders
        ):
            controller.suspected_daemons.discard(daemon)
        elif all(one.unanswered_calls >= 2 for one in holders):
            controller.suspected_daemons.add(daemon)


def _has_answered(
    holder: grants.HolderState, now_s: float, suspect_after_s: float
) -> bool:
    return holder.answered_s is not None and grants.is_responsive(
        holder, now_s, suspect_after_s
    )


def due_grants(
    controller: controller_state.ControllerState,
    view: controller_state.ServiceView,
    now_s: float,
) -> list[controller_state.OwnershipCommand]:
    """Returns the grants that are due now and records them as sent."""
    committed = controller.committed
    assert committed is not None
    _update_targets(controller, committed, view, now_s)
    desired = desired_units(controller, committed, view, now_s)
    commands: list[controller_state.OwnershipCommand] = []
    for target, holder in controller.holders.items():
        just_sent = (
            now_s - holder.last_sent_s < controller.timing.poll_interval_s
        )
        if just_sent and (holder.awaited_sequence or not holder.incarnation):
            continue
        units = desired.get(target, EMPTY_CONTENT[0])
        grant = _due_grant(controller, view, target, units, now_s)
        if grant is not None:
            commands.append(controller_state.SendGrant(grant))
    return commands


def _update_targets(
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
    view: controller_state.ServiceView,
    now_s: float,
) -> None:
    basis = (
        assignment.version,
        tuple(view.upstreams),
        frozenset(controller.suspected_daemons),
        # Forces a periodic removal of holders that are no longer needed.
        int(now_s / HOLDER_CLEANUP_INTERVAL_S),
    )
    if basis == controller.targets_basis:
        return
    controller.targets_basis = basis
    margin_s = (
        0.0 if view.checks_fencing else controller.timing.unfenced_margin_s
    )
    needed = _needed_targets(controller, assignment, view)
    for target in sorted(needed):
        holder = controller_state.get_or_add_holder(controller, target)
        holder.unfenced_margin_s = margin_s if target.daemon else 0.0
    for target, holder in list(controller.holders.items()):
        # A holder is removed only once it can hold nothing; otherwise its
        # units would count as free.
        if target not in needed and not grants.may_hold_any(holder, now_s):
            del controller.holders[target]


def _needed_targets(
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
    view: controller_state.ServiceView,
) -> set[grants.GrantTarget]:
    needed = {grants.GrantTarget(name) for name in view.upstreams}
    needed.update(grants.GrantTarget(name) for name in assignment.upstreams)
    needed.update(
        grants.GrantTarget(upstream, daemon)
        for upstream, daemon in controller_state.all_gateways(assignment)
    )
    needed.update(
        grants.GrantTarget("", daemon)
        for daemon in controller.suspected_daemons
        if daemon in view.daemons
    )
    return needed


def _units_by_owner(
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
) -> controller_state.UnitsByOwner:
    cached = controller.units_by_owner
    if cached is not None and cached.assignment is assignment:
        return cached
    owned: dict[str, set[grants.Unit]] = {}
    for unit, owner in controller_state.owned_units(assignment):
        owned.setdefault(owner, set()).add(unit)
    by_upstream = {name: frozenset(units) for name, units in owned.items()}
    with_role = {
        name: units | {grants.GATEWAY_ROLE}
        for name, units in by_upstream.items()
    }
    controller.units_by_owner = controller_state.UnitsByOwner(
        assignment, by_upstream, with_role, {}
    )
    return controller.units_by_owner


def desired_units(
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
    view: controller_state.ServiceView,
    now_s: float,
) -> dict[grants.GrantTarget, frozenset[grants.Unit]]:
    """Returns the units that each target should be granted now.

    A unit or a gateway role that moves is left out until its former holder
    has released it.
    """
    held_back: dict[str, set[grants.Unit]] = {}
    owner_of = (
        dict(controller_state.owned_units(assignment))
        if controller_state.is_moving(assignment)
        else {}
    )
    for unit, old in controller_state.moving_units(assignment):
        if not controller_state.is_unit_released(
            controller, view, unit, old, now_s
        ):
            held_back.setdefault(owner_of.get(unit, ""), set()).add(unit)
    owned = _units_by_owner(controller, assignment)
    desired: dict[grants.GrantTarget, frozenset[grants.Unit]] = {}
    for name, units in owned.by_upstream.items():
        held_units = held_back.get(name)
        desired[grants.GrantTarget(name)] = (
            units - held_units if held_units else units
        )
    for upstream, daemon in assignment.gateways.items():
        old_daemon = assignment.moving_gateways.get(upstream)
        if old_daemon is not None and not controller_state.is_gateway_released(
            controller, upstream, old_daemon, now_s
        ):
            continue
        desired[grants.GrantTarget(upstream, daemon)] = _gateway_units(
            upstream, desired, owned
        )
    return desired


def _gateway_units(
    upstream: str,
    desired: Mapping[grants.GrantTarget, frozenset[grants.Unit]],
    owned: controller_state.UnitsByOwner,
) -> frozenset[grants.Unit]:
    # The gateway gets its grant at the same time as the upstream. Waiting for
    # the upstream to accept would cost each moved key another round trip, and
    # the upstream refuses requests that come too early anyway.
    units = desired.get(grants.GrantTarget(upstream), EMPTY_CONTENT[0])
    if units is owned.by_upstream.get(upstream):
        return owned.with_gateway_role[upstream]
    return units | {grants.GATEWAY_ROLE}


def _due_grant(
    controller: controller_state.ControllerState,
    view: controller_state.ServiceView,
    target: grants.GrantTarget,
    units: frozenset[grants.Unit],
    now_s: float,
) -> grants.Grant | None:
    holder = controller.holders[target]
    if not holder.incarnation:
        # Before the first answer nothing can be granted; an empty grant asks
        # for the holder's incarnation.
        units = frozenset()
    except_keys = _except_keys(controller, view, units)
    content = (units, except_keys)
    since_last_call_s = now_s - holder.last_sent_s
    if since_last_call_s < _resend_delay_s(controller.timing, holder, content):
        return None
    return _create_grant(controller, holder, units, except_keys, now_s)


def _resend_delay_s(
    timing: controller_state.GrantTiming,
    holder: grants.HolderState,
    content: tuple[frozenset[grants.Unit], frozenset[str]],
) -> float:
    """Returns the delay between the last call to a holder and the next one."""
    last = holder.outstanding[-1] if holder.outstanding else None
    if holder.awaited_sequence:
        # A newer grant invalidates the pending answer, so one is sent early
        # only if its content differs.
        pending_content = (
            (last.units, last.except_keys) if last else EMPTY_CONTENT
        )
        changed = pending_content != content
        return timing.poll_interval_s if changed else timing.renew_interval_s
    if holder.unanswered_calls:
        return timing.retry_interval_s * min(4, holder.unanswered_calls)
    in_force = holder.last_accepted
    if holder.last_refused or in_force is None:
        return timing.poll_interval_s if holder.answered_s is not None else 0.0
    if (in_force.units, in_force.except_keys) != content:
        return 0.0
    return (
        timing.renew_interval_s
        if len(holder.outstanding) <= 1
        else timing.poll_interval_s
    )


def _except_keys(
    controller: controller_state.ControllerState,
    view: controller_state.ServiceView,
    units: frozenset[grants.Unit],
) -> frozenset[str]:
    committed = controller.committed
    assert committed is not None
    if not committed.hot_owners:
        return EMPTY_CONTENT[1]
    cache = _units_by_owner(controller, committed).except_keys
    if units not in cache:
        cache[units] = frozenset(
            key
            for key in committed.hot_owners
            if key not in units
            and placement.shard_of(key, view.shard_count) in units
        )
    return cache[units]


def _create_grant(
    controller: controller_state.ControllerState,
    holder: grants.HolderState,
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
    grants.on_sent(holder, grant, now_s, controller.timing.clock_drift_ratio)
    return grant
