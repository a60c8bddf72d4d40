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
    """Tells whether no upstream was ever granted anything by anybody."""
    holders = [
        controller.holders.get(grants.GrantTarget(name))
        for name in view.upstreams
    ]
    return bool(holders) and all(
        holder is not None and holder.first_known_term == 0
        for holder in holders
    )


def begin_term(controller: controller_state.ControllerState, term: int) -> None:
    """Becomes the controller of a term, or of none when it is 0.

    Everything known about holders is dropped: what others granted in between
    is in the store's assignment and nowhere else.
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
    """Takes in what a read of the assignment returned.

    Args:
      controller: the state.
      assignment: what was read.
      holds_store_lease: whether the lease, by the store's own word, is still held now.
        A controller that only peers vouch for adopts nothing: a successor may
        have read an older version than this one.
      term: the term in which the read was asked for.
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
    """Takes in an acknowledged write, with the version it was given."""
    controller.store_call_pending = False
    if assignment.term != controller.term or not holds_store_lease:
        controller.needs_read = True
        return
    controller.pending_write = None
    _adopt(controller, assignment)


def on_assignment_call_failed(
    controller: controller_state.ControllerState,
) -> None:
    """Takes in a conflict or a lost reply: only a read settles either."""
    controller.store_call_pending = False
    controller.needs_read = True


def _adopt(
    controller: controller_state.ControllerState,
    assignment: placement.ShardAssignment,
) -> None:
    known = controller.committed
    if known is not None and assignment.version < known.version:
        return
    controller.committed = assignment
    if known is None:
        _inherit(controller, assignment)


def _inherit(
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
    """Takes in a holder's answer."""
    controller.highest_term = max(controller.highest_term, answer.term)
    holder = controller.holders.get(grant.target)
    if grant.term != controller.term or holder is None:
        return
    before = holder.incarnation
    if not grants.on_answer(holder, grant, answer, now_s):
        return
    name = grant.target.upstream
    if grant.target.daemon or before == answer.incarnation:
        return
    if name in assignment_planning.owning_upstreams(controller.committed):
        controller.warm_up_began_s.setdefault(name, float("-inf"))
    else:
        controller.warm_up_began_s[name] = now_s


def on_grant_unanswered(
    controller: controller_state.ControllerState, grant: grants.Grant
) -> None:
    """Takes in that a holder did not answer in time."""
    holder = controller.holders.get(grant.target)
    if grant.term == controller.term and holder is not None:
        grants.on_unanswered(holder, grant)


def on_predecessors_fenced(
    controller: controller_state.ControllerState, now_s: float
) -> None:
    """Takes in that from now on no predecessor can send anything.

    What a predecessor sent before lapses one ttl later.
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
    """Returns what to do now.

    Call it only with a clock read since the last wait, while the licence
    lasts by that clock, and carry the commands out without waiting.

    Args:
      controller: the state, changed in place.
      view: the world as it looks now.
      now_s: own clock.
      holds_store_lease: whether the lease is held by the store's own word.
      nonce: a text that was never used before.
    """
    if controller.term == 0 or controller.highest_term > controller.term:
        return []
    if controller.committed is None:
        return _read(controller, holds_store_lease)
    grant_scheduling.update_suspected_daemons(controller, now_s)
    assignment_planning.reset_warm_up(controller, view, now_s)
    commands: list[controller_state.OwnershipCommand] = []
    if holds_store_lease:
        commands.extend(_change(controller, view, now_s, nonce))
    commands.extend(grant_scheduling.due_grants(controller, view, now_s))
    return commands


def _read(
    controller: controller_state.ControllerState, by_store: bool
) -> list[controller_state.OwnershipCommand]:
    if controller.store_call_pending or not by_store:
        return []
    controller.store_call_pending = True
    return [controller_state.ReadAssignment()]


def _change(
    controller: controller_state.ControllerState,
    view: controller_state.ServiceView,
    now_s: float,
    nonce: str,
) -> list[controller_state.OwnershipCommand]:
    if controller.needs_read:
        return _read(controller, True)
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
    situation = assignment_planning.planning_inputs(controller, view, now_s)
    if situation == controller.converged_inputs:
        return []
    wanted = assignment_planning.next_assignment(controller, view, now_s)
    if wanted == committed:
        if not controller_state.is_moving(committed):
            controller.converged_inputs = situation
        return []
    wanted = dataclasses.replace(
        wanted,
        version=committed.version,
        term=controller.term,
        writer_id=controller.daemon_name,
        nonce=nonce,
    )
    controller.store_call_pending = True
    controller.pending_write = wanted
    controller.last_write_s = now_s
    return [controller_state.WriteAssignment(committed.version, wanted)]
