"""Which grants are due under the assignment in force."""

from collections.abc import Mapping

from sardinehill.core import control_state
from sardinehill.core import grants
from sardinehill.core import placement

FORGET_INTERVAL_S = 1.0
EMPTY: tuple[frozenset[grants.Unit], frozenset[str]] = (
    frozenset(),
    frozenset(),
)


def judge_daemons(controller: control_state.Controller, now_s: float) -> None:
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


def due_grants(
    controller: control_state.Controller, view: control_state.View, now_s: float
) -> list[control_state.Command]:
    """Returns the grants that are due now, and notes them as sent."""
    committed = controller.committed
    assert committed is not None
    _know_targets(controller, committed, view, now_s)
    wanted = wanted_units(controller, committed, view, now_s)
    commands: list[control_state.Command] = []
    for target, holder in controller.holders.items():
        just_sent = now_s - holder.sent_s < controller.timing.poll_s
        if just_sent and (holder.awaiting or not holder.incarnation):
            continue
        units = wanted.get(target, EMPTY[0])
        grant = _due_grant(controller, view, target, units, now_s)
        if grant is not None:
            commands.append(control_state.SendGrant(grant))
    return commands


def _know_targets(
    controller: control_state.Controller,
    assignment: placement.Assignment,
    view: control_state.View,
    now_s: float,
) -> None:
    basis = (
        assignment.version,
        tuple(view.upstreams),
        frozenset(controller.suspects),
        # Holders that may be forgotten are looked for now and then.
        int(now_s / FORGET_INTERVAL_S),
    )
    if basis == controller.known:
        return
    controller.known = basis
    gap_s = 0.0 if view.checks_fencing else controller.timing.unfenced_gap_s
    needed = _needed_targets(controller, assignment, view)
    for target in sorted(needed):
        holder = control_state.holder_of(controller, target)
        holder.gap_s = gap_s if target.daemon else 0.0
    for target, holder in list(controller.holders.items()):
        # A holder is forgotten only once it can hold nothing, or its unit
        # would be taken as free.
        if target not in needed and not grants.may_hold_any(holder, now_s):
            del controller.holders[target]


def _needed_targets(
    controller: control_state.Controller,
    assignment: placement.Assignment,
    view: control_state.View,
) -> set[grants.Target]:
    needed = {grants.Target(name) for name in view.upstreams}
    needed.update(grants.Target(name) for name in assignment.upstreams)
    needed.update(
        grants.Target(upstream, daemon)
        for upstream, daemon in control_state.all_gateways(assignment)
    )
    needed.update(
        grants.Target("", daemon)
        for daemon in controller.suspects
        if daemon in view.daemons
    )
    return needed


def _owned(
    controller: control_state.Controller, assignment: placement.Assignment
) -> control_state.Owned:
    known = controller.owned
    if known is not None and known.assignment is assignment:
        return known
    owned: dict[str, set[grants.Unit]] = {}
    for unit, owner in control_state.owned_units(assignment):
        owned.setdefault(owner, set()).add(unit)
    by_upstream = {name: frozenset(units) for name, units in owned.items()}
    with_role = {
        name: units | {grants.GATEWAY_ROLE}
        for name, units in by_upstream.items()
    }
    controller.owned = control_state.Owned(
        assignment, by_upstream, with_role, {}
    )
    return controller.owned


def wanted_units(
    controller: control_state.Controller,
    assignment: placement.Assignment,
    view: control_state.View,
    now_s: float,
) -> dict[grants.Target, frozenset[grants.Unit]]:
    """Returns what each target should be granted now."""
    held_back: dict[str, set[grants.Unit]] = {}
    owner_of = (
        dict(control_state.owned_units(assignment))
        if control_state.is_moving(assignment)
        else {}
    )
    for unit, old in control_state.moving_units(assignment):
        if not control_state.is_given_up(controller, view, unit, old, now_s):
            held_back.setdefault(owner_of.get(unit, ""), set()).add(unit)
    owned = _owned(controller, assignment)
    wanted: dict[grants.Target, frozenset[grants.Unit]] = {}
    for name, units in owned.by_upstream.items():
        back = held_back.get(name)
        wanted[grants.Target(name)] = units - back if back else units
    for upstream, daemon in assignment.gateways.items():
        old_daemon = assignment.moving_gateways.get(upstream)
        if old_daemon is not None and not control_state.is_role_given_up(
            controller, upstream, old_daemon, now_s
        ):
            continue
        wanted[grants.Target(upstream, daemon)] = _gateway_units(
            upstream, wanted, owned
        )
    return wanted


def _gateway_units(
    upstream: str,
    wanted: Mapping[grants.Target, frozenset[grants.Unit]],
    owned: control_state.Owned,
) -> frozenset[grants.Unit]:
    # The gateway is told at the same time as its upstream. To wait until the
    # upstream accepted was tried: it cost each moved key another round trip,
    # and the upstream refuses what comes too early in any case.
    units = wanted.get(grants.Target(upstream), EMPTY[0])
    if units is owned.by_upstream.get(upstream):
        return owned.with_role[upstream]
    return units | {grants.GATEWAY_ROLE}


def _due_grant(
    controller: control_state.Controller,
    view: control_state.View,
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
    timing: control_state.OwnershipTiming,
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
    controller: control_state.Controller,
    view: control_state.View,
    units: frozenset[grants.Unit],
) -> frozenset[str]:
    committed = controller.committed
    assert committed is not None
    if not committed.hot_owners:
        return EMPTY[1]
    known = _owned(controller, committed).except_keys
    if units not in known:
        known[units] = frozenset(
            key
            for key in committed.hot_owners
            if key not in units
            and placement.shard_of(key, view.shard_count) in units
        )
    return known[units]


def _grant(
    controller: control_state.Controller,
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
