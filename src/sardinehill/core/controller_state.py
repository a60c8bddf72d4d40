"""What the controller of one service knows, and what it may ask for."""

from collections.abc import Mapping
import dataclasses

from sardinehill.core import grants
from sardinehill.core import placement
from sardinehill.core import quorum


@dataclasses.dataclass(frozen=True)
class GrantTiming:
    """Durations of grants.

    Attributes:
      grant_ttl_s: seconds that a grant lasts from its stamp.
      renew_interval_s: seconds between renewals of an unchanged grant.
      retry_interval_s: seconds before an unanswered call is followed by another.
      poll_interval_s: seconds between calls while an answer is about to change.
      suspect_after_s: seconds of unanswered calls before a holder is given up.
      unfenced_margin_s: seconds added where nobody checks orders.
      min_write_interval_s: the shortest time between two changes.
      warm_up_s: seconds in which a new upstream's share of keys grows.
      clock_drift_ratio: by how much two clocks' rates may differ.
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
      availability_zone: where it runs.
      is_out: whether it or its zone was taken out, or it leaves.
    """

    availability_zone: str
    is_out: bool = False


@dataclasses.dataclass(frozen=True)
class DaemonView:
    """A daemon that may be a gateway.

    Attributes:
      availability_zone: where it runs.
      is_out: whether it or its zone was taken out, or it leaves.
      is_alive: whether membership takes it as running.
    """

    availability_zone: str
    is_out: bool = False
    is_alive: bool = True


@dataclasses.dataclass(frozen=True)
class ServiceView:
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

    expected_version: int
    assignment: placement.ShardAssignment


OwnershipCommand = SendGrant | ReadAssignment | WriteAssignment


@dataclasses.dataclass(frozen=True)
class PlanningInputs:
    """All that the next assignment depends on while nothing moves.

    Working the assignment out anew costs milliseconds with a thousand shards,
    and the loop that does it also carries requests.

    Attributes:
      version: the version of the committed assignment.
      weights: the usable upstreams.
      unresponsive: upstreams that do not answer.
      suspected_daemons: daemons that do not answer.
      view: the rest of the world.
    """

    version: int
    weights: Mapping[str, float]
    unresponsive: frozenset[str]
    suspected_daemons: frozenset[str]
    view: ServiceView


@dataclasses.dataclass(frozen=True)
class UnitsByOwner:
    """Units by owner, as one committed assignment has them.

    Attributes:
      assignment: the assignment.
      by_upstream: each upstream's units.
      with_gateway_role: the same with the role of the gateway.
      except_keys: for each of these sets the keys that it does not cover.
    """

    assignment: placement.ShardAssignment
    by_upstream: Mapping[str, frozenset[grants.Unit]]
    with_gateway_role: Mapping[str, frozenset[grants.Unit]]
    except_keys: dict[frozenset[grants.Unit], frozenset[str]]


@dataclasses.dataclass
class ControllerState:
    """The state of one service's controller on one daemon.

    Attributes:
      service: the service's name.
      daemon_name: the daemon's name.
      timing: durations.
      term: the lease's term, 0 while this daemon is not the controller.
      sequence: the last sequence used in this term.
      highest_term: the highest term seen anywhere.
      committed: the assignment in force, None before it was read.
      pending_write: the change on its way or whose reply was lost.
      store_call_pending: whether a read or write of the assignment is on its way.
      needs_read: whether the assignment has to be read before anything else.
      last_write_s: own clock at the last write.
      predecessors_fenced: whether no predecessor can act any more.
      holders: upstreams and gateways by target.
      warm_up_began_s: own clock when an upstream without keys was first heard
        of in its present start; one that had keys counts as long known.
      suspected_daemons: daemons that stopped answering and have not answered since.
      converged_inputs: the situation in which nothing was left to change.
      targets_basis: what the present targets were worked out from.
      units_by_owner: the units of the committed assignment by owner.
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
    """Returns the assignment of a service that never had one."""
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
) -> quorum.Electorate:
    """Returns whose majority counts under an assignment."""
    if assignment is None:
        return quorum.Electorate(frozenset())
    return quorum.Electorate(
        frozenset(assignment.electorate),
        frozenset(assignment.electorate_before),
    )


def is_moving(assignment: placement.ShardAssignment) -> bool:
    """Tells whether anything is on its way to its owner."""
    return bool(
        assignment.moving_shards
        or assignment.moving_keys
        or assignment.moving_gateways
    )


def owned_units(
    assignment: placement.ShardAssignment,
) -> list[tuple[grants.Unit, str]]:
    """Returns each shard and split key that has an owner, with it."""
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
    """Returns what is on its way, with who may still hold it."""
    units: list[tuple[grants.Unit, str]] = []
    units.extend(assignment.moving_shards.items())
    units.extend(assignment.moving_keys.items())
    return units


def all_gateways(
    assignment: placement.ShardAssignment,
) -> list[tuple[str, str]]:
    """Returns upstreams with their gateways, also those given up."""
    return [
        *assignment.gateways.items(),
        *assignment.moving_gateways.items(),
    ]


def get_or_add_holder(
    controller: ControllerState, target: grants.GrantTarget
) -> grants.HolderState:
    """Returns what is known of a target, from now on."""
    holder = controller.holders.get(target)
    if holder is None:
        holder = grants.HolderState(target)
        controller.holders[target] = holder
    return holder


def max_grant_ttl_s(timing: GrantTiming) -> float:
    """Returns how long a grant lasts by the slowest clock allowed."""
    return timing.grant_ttl_s * (1.0 + 2.0 * timing.clock_drift_ratio)


def is_unit_released(
    controller: ControllerState,
    view: ServiceView,
    unit: grants.Unit,
    upstream: str,
    now_s: float,
) -> bool:
    """Tells whether nobody can use a unit on its old upstream any more."""
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
    """Tells whether a daemon is no longer an upstream's gateway."""
    holder = controller.holders.get(grants.GrantTarget(upstream, daemon))
    return holder is None or not grants.may_hold(
        holder, grants.GATEWAY_ROLE, 1, now_s
    )
