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

from sardinehill.core import assigning
from sardinehill.core import control_state
from sardinehill.core import granting
from sardinehill.core import grants
from sardinehill.core import placement


def is_new_service(
    controller: control_state.Controller, view: control_state.View
) -> bool:
    """Tells whether no upstream was ever granted anything by anybody."""
    holders = [
        controller.holders.get(grants.Target(name)) for name in view.upstreams
    ]
    return bool(holders) and all(
        holder is not None and holder.earlier_term == 0 for holder in holders
    )


def begin_term(controller: control_state.Controller, term: int) -> None:
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
    controller.planned = None
    controller.known = ()
    controller.owned = None


def on_assignment_read(
    controller: control_state.Controller,
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
    controller: control_state.Controller,
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


def on_assignment_unknown(controller: control_state.Controller) -> None:
    """Takes in a conflict or a lost reply: only a read settles either."""
    controller.busy = False
    controller.unsure = True


def _adopt(
    controller: control_state.Controller, assignment: placement.Assignment
) -> None:
    known = controller.committed
    if known is not None and assignment.version < known.version:
        return
    controller.committed = assignment
    if known is None:
        _inherit(controller, assignment)


def _inherit(
    controller: control_state.Controller, assignment: placement.Assignment
) -> None:
    held: dict[grants.Target, set[grants.Unit]] = {}
    for unit, owner in control_state.owned_units(assignment):
        held.setdefault(grants.Target(owner), set()).add(unit)
    for unit, owner in control_state.moving_units(assignment):
        held.setdefault(grants.Target(owner), set()).add(unit)
    for upstream, daemon in control_state.all_gateways(assignment):
        units = set(held.get(grants.Target(upstream), ()))
        units.add(grants.GATEWAY_ROLE)
        held[grants.Target(upstream, daemon)] = units
    for target, units in held.items():
        holder = control_state.holder_of(controller, target)
        holder.sent = [_inherited_grant(target, units)]
        holder.lapse_s = float("inf")


def _inherited_grant(
    target: grants.Target, units: set[grants.Unit]
) -> grants.Grant:
    return grants.Grant(target, 0, 0, frozenset(units), frozenset(), 0.0, "", 0)


def on_grant_answer(
    controller: control_state.Controller,
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
    if name in assigning.owning_upstreams(controller.committed):
        controller.known_since_s.setdefault(name, float("-inf"))
    else:
        controller.known_since_s[name] = now_s


def on_grant_lost(
    controller: control_state.Controller, grant: grants.Grant
) -> None:
    """Takes in that a holder did not answer in time."""
    holder = controller.holders.get(grant.target)
    if grant.term == controller.term and holder is not None:
        grants.on_lost(holder, grant)


def on_settled(controller: control_state.Controller, now_s: float) -> None:
    """Takes in that from now on no predecessor can send anything.

    What a predecessor sent before lapses one ttl later.
    """
    if controller.settled:
        return
    controller.settled = True
    for holder in controller.holders.values():
        if holder.lapse_s == float("inf"):
            holder.lapse_s = now_s + control_state.full_ttl_s(controller.timing)


def tick(
    controller: control_state.Controller,
    view: control_state.View,
    now_s: float,
    by_store: bool,
    nonce: str,
) -> list[control_state.Command]:
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
    granting.judge_daemons(controller, now_s)
    commands: list[control_state.Command] = []
    if by_store:
        commands.extend(_change(controller, view, now_s, nonce))
    commands.extend(granting.due_grants(controller, view, now_s))
    return commands


def _read(
    controller: control_state.Controller, by_store: bool
) -> list[control_state.Command]:
    if controller.busy or not by_store:
        return []
    controller.busy = True
    return [control_state.ReadAssignment()]


def _change(
    controller: control_state.Controller,
    view: control_state.View,
    now_s: float,
    nonce: str,
) -> list[control_state.Command]:
    if controller.unsure:
        return _read(controller, True)
    too_soon = now_s - controller.written_s < controller.timing.write_interval_s
    if controller.busy or not controller.settled or too_soon:
        return []
    committed = controller.committed
    assert committed is not None
    situation = assigning.situation_of(controller, view, now_s)
    if situation == controller.planned:
        return []
    wanted = assigning.next_assignment(controller, view, now_s)
    if wanted == committed:
        if not control_state.is_moving(committed):
            controller.planned = situation
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
    return [control_state.WriteAssignment(committed.version, wanted)]
