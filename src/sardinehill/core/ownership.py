"""Decides who owns the units of one service and who is granted them.

The functions take events and the time and return commands. The rules are:

* An assignment is in force once the store has acknowledged it or it has been
  read back from the store. Grants follow only the assignment in force.
* A unit that moves is marked as moving in the store until its old holder has
  released it, so that a new controller starts from the same knowledge.
* The new owner is granted a unit only after the old holder has accepted a
  newer grant without the unit and runs no request for it, or has restarted, or
  its longest possible grant has expired.
* After a takeover the assignment changes only once a majority of the
  electorate has sealed the new term and no predecessor can be authorized.
"""

import dataclasses

from sardinehill.core import assignment_planning
from sardinehill.core import controller_state
from sardinehill.core import grant_scheduling
from sardinehill.core import grants
from sardinehill.core import placement


def is_new_service(
    controller: controller_state.ControllerState,
    view: controller_state.ServiceView,
) -> bool:
    """Tells whether all upstreams answered that they never had a grant."""
    holders = [
        controller.holders.get(grants.GrantTarget(name))
        for name in view.upstreams
    ]
    return bool(holders) and all(
        holder is not None and holder.first_known_term == 0
        for holder in holders
    )


def begin_term(controller: controller_state.ControllerState, term: int) -> None:
    """Starts a term as the controller, or ends the present one if it is 0.

    The state of all holders is dropped: what other controllers granted in
    between is known from the stored assignment only.
    """
    if controller.term == term:
        return
    controller.term = term
    controller.highest_term = max(controller.highest_term, term)
    controller.sequence = 0
    controller.committed = None
    controller.pending_write = None
    controller.needs_read = True
    controller.predecessors_fenced = False
    controller.holders = {}
    controller.suspected_daemons = set()
    controller.converged_inputs = None
    controller.targets_basis = ()
    controller.units_by_owner = None


def on_assignment_read(
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
    holds_store_lease: bool,
    term: int,
) -> None:
    """Records the assignment that a read returned.

    Args:
      controller: the state, changed in place.
      assignment: the assignment as read.
      holds_store_lease: whether the lease that the store confirmed is still
        valid. A controller that is authorized only by votes ignores the
        assignment: a successor may have read an older version than this one.
      term: the term in which the read was requested.
    """
    controller.store_call_pending = False
    if term != controller.term or not holds_store_lease:
        return
    controller.needs_read = False
    controller.pending_write = None
    _adopt(controller, assignment)


def on_assignment_written(
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
    holds_store_lease: bool,
) -> None:
    """Records an acknowledged write, with the version that it was given."""
    controller.store_call_pending = False
    if assignment.term != controller.term or not holds_store_lease:
        controller.needs_read = True
        return
    controller.pending_write = None
    _adopt(controller, assignment)


def on_assignment_call_failed(
    controller: controller_state.ControllerState,
) -> None:
    """Records a conflict or a lost reply, after which a read is needed."""
    controller.store_call_pending = False
    controller.needs_read = True


def _adopt(
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
) -> None:
    previous = controller.committed
    if previous is not None and assignment.version < previous.version:
        return
    controller.committed = assignment
    if previous is None:
        _assume_inherited_grants(controller, assignment)


def _assume_inherited_grants(
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
) -> None:
    held: dict[grants.GrantTarget, set[grants.Unit]] = {}
    for unit, owner in controller_state.owned_units(assignment):
        held.setdefault(grants.GrantTarget(owner), set()).add(unit)
    for unit, owner in controller_state.moving_units(assignment):
        held.setdefault(grants.GrantTarget(owner), set()).add(unit)
    for upstream, daemon in controller_state.all_gateways(assignment):
        units = set(held.get(grants.GrantTarget(upstream), ()))
        units.add(grants.GATEWAY_ROLE)
        held[grants.GrantTarget(upstream, daemon)] = units
    for target, units in held.items():
        holder = controller_state.get_or_add_holder(controller, target)
        holder.outstanding = [_inherited_grant(target, units)]
        holder.expires_s = float("inf")


def _inherited_grant(
    target: grants.GrantTarget, units: set[grants.Unit]
) -> grants.Grant:
    return grants.Grant(target, 0, 0, frozenset(units), frozenset(), 0.0, "", 0)


def on_grant_answer(
    controller: controller_state.ControllerState,
    grant: grants.Grant,
    answer: grants.GrantAnswer,
    now_s: float,
) -> None:
    """Records a holder's answer to a grant."""
    controller.highest_term = max(controller.highest_term, answer.term)
    holder = controller.holders.get(grant.target)
    if grant.term != controller.term or holder is None:
        return
    previous_incarnation = holder.incarnation
    if not grants.on_answer(holder, grant, answer, now_s):
        return
    name = grant.target.upstream
    if grant.target.daemon or previous_incarnation == answer.incarnation:
        return
    if name in assignment_planning.owning_upstreams(controller.committed):
        controller.warm_up_began_s.setdefault(name, float("-inf"))
    else:
        controller.warm_up_began_s[name] = now_s


def on_grant_unanswered(
    controller: controller_state.ControllerState, grant: grants.Grant
) -> None:
    """Records that a holder did not answer a grant in time."""
    holder = controller.holders.get(grant.target)
    if grant.term == controller.term and holder is not None:
        grants.on_unanswered(holder, grant)


def on_predecessors_fenced(
    controller: controller_state.ControllerState, now_s: float
) -> None:
    """Records that no predecessor can send grants from now on.

    Grants that a predecessor sent before expire one ttl later.
    """
    if controller.predecessors_fenced:
        return
    controller.predecessors_fenced = True
    for holder in controller.holders.values():
        if holder.expires_s == float("inf"):
            holder.expires_s = now_s + controller_state.max_grant_ttl_s(
                controller.timing
            )


def step(
    controller: controller_state.ControllerState,
    view: controller_state.ServiceView,
    now_s: float,
    holds_store_lease: bool,
    nonce: str,
) -> list[controller_state.OwnershipCommand]:
    """Returns the commands that are due now.

    The caller must have read the clock since it last waited, must be
    authorized at that time, and must carry out the commands without waiting.

    Args:
      controller: the state, changed in place.
      view: the service and the fleet as seen now.
      now_s: own clock.
      holds_store_lease: whether the lease that the store confirmed is still
        valid.
      nonce: a text that was never used before.
    """
    if controller.term == 0 or controller.highest_term > controller.term:
        return []
    if controller.committed is None:
        return _read_command(controller, holds_store_lease)
    grant_scheduling.update_suspected_daemons(controller, now_s)
    assignment_planning.reset_warm_up(controller, view, now_s)
    commands: list[controller_state.OwnershipCommand] = []
    if holds_store_lease:
        commands.extend(_next_write(controller, view, now_s, nonce))
    commands.extend(grant_scheduling.due_grants(controller, view, now_s))
    return commands


def _read_command(
    controller: controller_state.ControllerState, holds_store_lease: bool
) -> list[controller_state.OwnershipCommand]:
    if controller.store_call_pending or not holds_store_lease:
        return []
    controller.store_call_pending = True
    return [controller_state.ReadAssignment()]


def _next_write(
    controller: controller_state.ControllerState,
    view: controller_state.ServiceView,
    now_s: float,
    nonce: str,
) -> list[controller_state.OwnershipCommand]:
    if controller.needs_read:
        return _read_command(controller, True)
    too_soon = (
        now_s - controller.last_write_s < controller.timing.min_write_interval_s
    )
    if (
        controller.store_call_pending
        or not controller.predecessors_fenced
        or too_soon
    ):
        return []
    committed = controller.committed
    assert committed is not None
    inputs = assignment_planning.planning_inputs(controller, view, now_s)
    if inputs == controller.converged_inputs:
        return []
    planned = assignment_planning.next_assignment(controller, view, now_s)
    if planned == committed:
        if not controller_state.is_moving(committed):
            controller.converged_inputs = inputs
        return []
    planned = dataclasses.replace(
        planned,
        version=committed.version,
        term=controller.term,
        writer_id=controller.daemon_name,
        nonce=nonce,
    )
    controller.store_call_pending = True
    controller.pending_write = planned
    controller.last_write_s = now_s
    return [controller_state.WriteAssignment(committed.version, planned)]
