"""What the controller of one service knows, and what it may ask for."""

from collections.abc import Mapping
import dataclasses

from sardinehill.core import grants
from sardinehill.core import licence
from sardinehill.core import placement


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
    poll_s: float = 0.01
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


@dataclasses.dataclass(frozen=True)
class Situation:
    """All that the next assignment depends on while nothing moves.

    Working the assignment out anew costs milliseconds with a thousand shards,
    and the loop that does it also carries requests.

    Attributes:
      version: the version of the committed assignment.
      weights: the usable upstreams.
      gone: upstreams that do not answer.
      suspects: daemons that do not answer.
      view: the rest of the world.
    """

    version: int
    weights: Mapping[str, float]
    gone: frozenset[str]
    suspects: frozenset[str]
    view: View


@dataclasses.dataclass(frozen=True)
class Owned:
    """Units by owner, as one committed assignment has them.

    Attributes:
      assignment: the assignment.
      by_upstream: each upstream's units.
      with_role: the same with the role of the gateway.
      except_keys: for each of these sets the keys that it does not cover.
    """

    assignment: placement.Assignment
    by_upstream: Mapping[str, frozenset[grants.Unit]]
    with_role: Mapping[str, frozenset[grants.Unit]]
    except_keys: dict[frozenset[grants.Unit], frozenset[str]]


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
      planned: the situation in which nothing was left to change.
      known: what the present targets were worked out from.
      owned: the units of the committed assignment by owner.
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
    planned: Situation | None = None
    known: tuple[object, ...] = ()
    owned: Owned | None = None


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


def is_moving(assignment: placement.Assignment) -> bool:
    """Tells whether anything is on its way to its owner."""
    return bool(
        assignment.moving_shards
        or assignment.moving_keys
        or assignment.moving_gateways
    )


def owned_units(
    assignment: placement.Assignment,
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
    assignment: placement.Assignment,
) -> list[tuple[grants.Unit, str]]:
    """Returns what is on its way, with who may still hold it."""
    units: list[tuple[grants.Unit, str]] = []
    units.extend(assignment.moving_shards.items())
    units.extend(assignment.moving_keys.items())
    return units


def all_gateways(
    assignment: placement.Assignment,
) -> list[tuple[str, str]]:
    """Returns upstreams with their gateways, also those given up."""
    return [
        *assignment.gateways.items(),
        *assignment.moving_gateways.items(),
    ]


def holder_of(controller: Controller, target: grants.Target) -> grants.Holder:
    """Returns what is known of a target, from now on."""
    holder = controller.holders.get(target)
    if holder is None:
        holder = grants.Holder(target)
        controller.holders[target] = holder
    return holder


def full_ttl_s(timing: OwnershipTiming) -> float:
    """Returns how long a grant lasts by the slowest clock allowed."""
    return timing.grant_ttl_s * (1.0 + 2.0 * timing.drift_ratio)


def is_given_up(
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


def is_role_given_up(
    controller: Controller, upstream: str, daemon: str, now_s: float
) -> bool:
    """Tells whether a daemon is no longer an upstream's gateway."""
    holder = controller.holders.get(grants.Target(upstream, daemon))
    return holder is None or not grants.may_hold(
        holder, grants.GATEWAY_ROLE, 1, now_s
    )
