"""Defines the state, inputs and commands of one service's controller."""

from collections.abc import Mapping
import dataclasses

from sardinehill.core import electorates
from sardinehill.core import grants
from sardinehill.core import placement


@dataclasses.dataclass(frozen=True)
class GrantTiming:
    """Durations that govern grants and changes of the assignment.

    Attributes:
      grant_ttl_s: seconds that a grant lasts, from its stamp.
      renew_interval_s: seconds between renewals of an unchanged grant.
      retry_interval_s: seconds between an unanswered call and the next one.
      poll_interval_s: seconds between calls while a changed answer is expected.
      suspect_after_s: seconds of unanswered calls after which a holder counts
        as unresponsive.
      unfenced_margin_s: seconds added to a grant's expiry if the upstreams do
        not check fencing.
      min_write_interval_s: the shortest time between two writes of the
        assignment.
      warm_up_s: seconds until a new upstream has its full share of keys.
      clock_drift_ratio: how much the rates of two clocks may differ.
    """

    grant_ttl_s: float = 1.8
    renew_interval_s: float = 0.4
    retry_interval_s: float = 0.1
    poll_interval_s: float = 0.01
    suspect_after_s: float = 0.8
    unfenced_margin_s: float = 2.0
    min_write_interval_s: float = 0.03
    warm_up_s: float = 10.0
    clock_drift_ratio: float = 0.02


@dataclasses.dataclass(frozen=True)
class UpstreamView:
    """An upstream as the controller's daemon sees it.

    Attributes:
      availability_zone: the zone that it runs in.
      is_out: whether it is leaving, or it or its zone was taken out.
    """

    availability_zone: str
    is_out: bool = False


@dataclasses.dataclass(frozen=True)
class DaemonView:
    """A daemon that may be a gateway.

    Attributes:
      availability_zone: the zone that it runs in.
      is_out: whether it is leaving, or it or its zone was taken out.
      is_alive: whether it is running according to the membership.
    """

    availability_zone: str
    is_out: bool = False
    is_alive: bool = True


@dataclasses.dataclass(frozen=True)
class ServiceView:
    """A service and the fleet as seen by the controller's daemon.

    Everything in it may be out of date.

    Attributes:
      shard_count: how many shards the service has.
      checks_fencing: whether its upstreams check the fencing token of requests.
      upstreams: the service's upstreams by name.
      daemons: the member daemons by name.
      electorate: the daemons that should vote from now on.
      shard_loads: the load of each shard for which it is known.
      hot_keys: the load of each key that should be placed apart from its shard.
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
    """Command to send a grant to its target."""

    grant: grants.Grant


@dataclasses.dataclass(frozen=True)
class ReadAssignment:
    """Command to read the assignment from the store."""


@dataclasses.dataclass(frozen=True)
class WriteAssignment:
    """Command to write an assignment if the version is `expected_version`."""

    expected_version: int
    assignment: placement.ShardAssignment


OwnershipCommand = SendGrant | ReadAssignment | WriteAssignment


@dataclasses.dataclass(frozen=True)
class PlanningInputs:
    """Everything that the next assignment depends on while nothing moves.

    The plan is skipped while these are unchanged: planning takes milliseconds
    with a thousand shards, and the same event loop also serves requests.

    Attributes:
      version: the version of the committed assignment.
      weights: the weight of each usable upstream.
      unresponsive: owning upstreams that do not answer.
      suspected_daemons: daemons that do not answer.
      view: the service and the fleet.
    """

    version: int
    weights: Mapping[str, float]
    unresponsive: frozenset[str]
    suspected_daemons: frozenset[str]
    view: ServiceView


@dataclasses.dataclass(frozen=True)
class UnitsByOwner:
    """The units of a committed assignment, grouped by owner.

    Attributes:
      assignment: the assignment.
      by_upstream: each upstream's units.
      with_gateway_role: the same sets with the gateway role added.
      except_keys: a cache of the keys that a set of units does not cover,
        although it contains their shards.
    """

    assignment: placement.ShardAssignment
    by_upstream: Mapping[str, frozenset[grants.Unit]]
    with_gateway_role: Mapping[str, frozenset[grants.Unit]]
    except_keys: dict[frozenset[grants.Unit], frozenset[str]]


@dataclasses.dataclass
class ControllerState:
    """The state of one service's controller on one daemon.

    Times are by the daemon's own clock.

    Attributes:
      service: the service's name.
      daemon_name: the daemon's name.
      timing: durations.
      term: the lease's term, 0 while this daemon is not the controller.
      sequence: the last grant sequence number used in this term.
      highest_term: the highest term seen anywhere.
      committed: the assignment in force, None until it has been read.
      pending_write: the assignment being written, or whose reply was lost.
      store_call_pending: whether a read or write of the assignment is in
        flight.
      needs_read: whether the assignment must be read before the next write.
      last_write_s: when the last write was sent.
      predecessors_fenced: whether no earlier controller can act any more.
      holders: the state of each upstream and gateway, by target.
      warm_up_began_s: when each upstream's warm-up began: at the first answer
        of its present incarnation or while it was last out. It is minus
        infinity for an upstream that owned keys at that answer.
      suspected_daemons: daemons that have stopped answering.
      converged_inputs: the planning inputs for which nothing is left to change.
      targets_basis: the inputs from which the present targets were computed.
      units_by_owner: a cache of the committed assignment's units by owner.
    """

    service: str
    daemon_name: str
    timing: GrantTiming
    term: int = 0
    sequence: int = 0
    highest_term: int = 0
    committed: placement.ShardAssignment | None = None
    pending_write: placement.ShardAssignment | None = None
    store_call_pending: bool = False
    needs_read: bool = True
    last_write_s: float = float("-inf")
    predecessors_fenced: bool = False
    holders: dict[grants.GrantTarget, grants.HolderState] = dataclasses.field(
        default_factory=dict
    )
    warm_up_began_s: dict[str, float] = dataclasses.field(default_factory=dict)
    suspected_daemons: set[str] = dataclasses.field(default_factory=set)
    converged_inputs: PlanningInputs | None = None
    targets_basis: tuple[object, ...] = ()
    units_by_owner: UnitsByOwner | None = None


def empty_assignment(
    service: str, shard_count: int
) -> placement.ShardAssignment:
    """Returns the assignment of a service that has none in the store."""
    return placement.ShardAssignment(
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


def electorate_of(
    assignment: placement.ShardAssignment | None,
) -> electorates.Electorate:
    """Returns the electorate of an assignment; it is empty for None."""
    if assignment is None:
        return electorates.Electorate(frozenset())
    return electorates.Electorate(
        frozenset(assignment.electorate),
        frozenset(assignment.electorate_before),
    )


def is_moving(assignment: placement.ShardAssignment) -> bool:
    """Tells whether any shard, key or gateway is being moved."""
    return bool(
        assignment.moving_shards
        or assignment.moving_keys
        or assignment.moving_gateways
    )


def owned_units(
    assignment: placement.ShardAssignment,
) -> list[tuple[grants.Unit, str]]:
    """Returns each shard and hot key that has an owner, with its owner."""
    units: list[tuple[grants.Unit, str]] = [
        (shard, assignment.upstreams[owner])
        for shard, owner in enumerate(assignment.owners)
        if owner >= 0
    ]
    units.extend(assignment.hot_owners.items())
    return units


def moving_units(
    assignment: placement.ShardAssignment,
) -> list[tuple[grants.Unit, str]]:
    """Returns each unit that moves, with the owner that may still hold it."""
    units: list[tuple[grants.Unit, str]] = []
    units.extend(assignment.moving_shards.items())
    units.extend(assignment.moving_keys.items())
    return units


def all_gateways(
    assignment: placement.ShardAssignment,
) -> list[tuple[str, str]]:
    """Returns pairs of upstream and gateway, including former gateways."""
    return [
        *assignment.gateways.items(),
        *assignment.moving_gateways.items(),
    ]


def get_or_add_holder(
    controller: ControllerState, target: grants.GrantTarget
) -> grants.HolderState:
    """Returns the state of a target, which is added if it is new."""
    holder = controller.holders.get(target)
    if holder is None:
        holder = grants.HolderState(target)
        controller.holders[target] = holder
    return holder


def max_grant_ttl_s(timing: GrantTiming) -> float:
    """Returns how long a grant lasts by the slowest permitted clock."""
    return timing.grant_ttl_s * (1.0 + 2.0 * timing.clock_drift_ratio)


def is_unit_released(
    controller: ControllerState,
    view: ServiceView,
    unit: grants.Unit,
    upstream: str,
    now_s: float,
) -> bool:
    """Tells whether a unit can no longer be used on its old upstream.

    If the upstreams check fencing, the upstream's own grants determine this,
    and otherwise those of its gateways.
    """
    if view.checks_fencing:
        holder = controller.holders.get(grants.GrantTarget(upstream))
        return holder is None or not grants.may_hold(
            holder, unit, view.shard_count, now_s
        )
    return not any(
        grants.may_hold(holder, unit, view.shard_count, now_s)
        for target, holder in controller.holders.items()
        if target.upstream == upstream and target.daemon
    )


def is_gateway_released(
    controller: ControllerState, upstream: str, daemon: str, now_s: float
) -> bool:
    """Tells whether a daemon can no longer act as an upstream's gateway."""
    holder = controller.holders.get(grants.GrantTarget(upstream, daemon))
    return holder is None or not grants.may_hold(
        holder, grants.GATEWAY_ROLE, 1, now_s
    )
