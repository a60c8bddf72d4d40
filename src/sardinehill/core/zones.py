"""Taking availability zones and hosts out, and back in, while serving.

The order on the way out is fixed by two promises: nothing new reaches the
zone within seconds, and nothing in flight is cut. So new work stops first,
then ownership moves at a pace the other zones bear, and gateways move last,
since in-flight requests end through them.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import math

from sardinehill.core import fleet

_MAX_UTILISATION = 0.8


@dataclasses.dataclass(frozen=True)
class UpstreamLoad:
    """What an upstream was measured to serve and could serve.

    Attributes:
      name: the upstream's name.
      service: its service.
      availability_zone: where it runs.
      offered_per_s: requests a second that were meant for it.
      typical_latency_s: its usual latency, 0 when it was not measured.
      slots: requests that it works on at once.
      warm: whether its cold-start ramp has ended.
    """

    name: str
    service: str
    availability_zone: str
    offered_per_s: float
    typical_latency_s: float
    slots: int
    warm: bool = True


@dataclasses.dataclass(frozen=True)
class ServiceCapacity:
    """Whether what is left of a service bears its load.

    Attributes:
      service: the service's name.
      offered_per_s: requests a second for the whole service.
      capacity_per_s: requests a second that the rest can serve; infinite when
        upstreams are left of which no latency is known.
      remaining_upstreams: how many upstreams are left.
    """

    service: str
    offered_per_s: float
    capacity_per_s: float
    remaining_upstreams: int

    @property
    def utilisation(self) -> float:
        """The load over what can be served; infinite when nothing is left."""
        if self.remaining_upstreams == 0:
            return math.inf
        return self.offered_per_s / self.capacity_per_s

    @property
    def is_sufficient(self) -> bool:
        """Whether the rest serves the load without queues that grow long."""
        return self.utilisation <= _MAX_UTILISATION


def is_excluded(
    placement: fleet.PlacementExclusions, name: str, availability_zone: str
) -> bool:
    """Returns whether operators have taken a host or its zone out."""
    return (
        name in placement.hosts_out or availability_zone in placement.zones_out
    )


def remaining_capacity(
    loads: Iterable[UpstreamLoad], placement: fleet.PlacementExclusions
) -> list[ServiceCapacity]:
    """Returns for each service what is left of it under a placement.

    An upstream whose latency was not measured is taken to be like the
    measured ones of its service.
    """
    by_service: dict[str, list[UpstreamLoad]] = {}
    for load in loads:
        by_service.setdefault(load.service, []).append(load)
    return [
        _service_capacity(service, by_service[service], placement)
        for service in sorted(by_service)
    ]


def _service_capacity(
    service: str,
    loads: Sequence[UpstreamLoad],
    placement: fleet.PlacementExclusions,
) -> ServiceCapacity:
    left = [
        load
        for load in loads
        if not is_excluded(placement, load.name, load.availability_zone)
    ]
    measured = [
        load.typical_latency_s for load in loads if load.typical_latency_s
    ]
    typical_s = sum(measured) / len(measured) if measured else 0.0
    left_per_s = 0.0
    for load in left:
        latency_s = load.typical_latency_s or typical_s
        left_per_s += load.slots / latency_s if latency_s else math.inf
    return ServiceCapacity(
        service=service,
        offered_per_s=sum(load.offered_per_s for load in loads),
        capacity_per_s=left_per_s,
        remaining_upstreams=len(left),
    )


@dataclasses.dataclass(frozen=True)
class ReleaseBatch:
    """Shards that are released together.

    Attributes:
      offset_s: seconds after the zone was taken out.
      shards: the shards, ascending.
    """

    offset_s: float
    shards: tuple[int, ...]


def plan_release_batches(
    load_per_s: Mapping[int, float], deadline_s: float, min_interval_s: float
) -> list[ReleaseBatch]:
    """Spreads the release of shards so that load moves in equal steps.

    All at once would give the other upstreams the whole zone's queue in one
    moment, before their limits can follow; one at a time would not end in
    time. The last batch leaves at the end of `within_s` at the latest.

    Args:
      load_per_s: requests a second of each shard to be moved.
      deadline_s: when the last batch must have left.
      min_interval_s: the least time between batches.
    """
    if not load_per_s:
        return []
    batch_count = min(len(load_per_s), int(deadline_s / min_interval_s) + 1)
    batches: list[list[int]] = [[] for _ in range(batch_count)]
    loads = [0.0] * batch_count
    heaviest_first = sorted(load_per_s, key=lambda s: (-load_per_s[s], s))
    for shard in heaviest_first:
        # Equal loads fall back on equal counts: shards without measured load
        # would otherwise all be put into one batch.
        lightest = min(
            range(batch_count), key=lambda i: (loads[i], len(batches[i]), i)
        )
        batches[lightest].append(shard)
        loads[lightest] += load_per_s[shard]
    return [
        ReleaseBatch(index * min_interval_s, tuple(sorted(shards)))
        for index, shards in enumerate(batches)
        if shards
    ]


class EvacuationStep(enum.Enum):
    """What has to be done next for an upstream that leaves."""

    STOP_NEW_WORK = "stop-new-work"
    MOVE_SHARDS = "move-shards"
    WAIT_IN_FLIGHT = "wait-in-flight"
    MOVE_GATEWAY = "move-gateway"
    DONE = "done"


def next_evacuation_step(
    takes_new_work: bool,
    owned_shards: int,
    in_flight: int,
    has_gateway: bool,
) -> EvacuationStep:
    """Returns the next step for an upstream that was taken out.

    Args:
      takes_new_work: whether anything may still be sent to it.
      owned_shards: shards that it still owns.
      in_flight: requests that it may be working on.
      has_gateway: whether a daemon is still its gateway.
    """
    if takes_new_work:
        return EvacuationStep.STOP_NEW_WORK
    if owned_shards:
        return EvacuationStep.MOVE_SHARDS
    if in_flight:
        return EvacuationStep.WAIT_IN_FLIGHT
    if has_gateway:
        return EvacuationStep.MOVE_GATEWAY
    return EvacuationStep.DONE


def returning_upstream_weight(
    limit_requests: int, full_requests: int, min_weight: float = 0.05
) -> float:
    """Returns the share of its fair load that a returning upstream gets.

    It follows the ramp, so the zone comes back as its upstreams prove warm
    and not by a timetable; the floor gives a cold one the trickle by which
    it proves anything.
    """
    if full_requests <= 0:
        return min_weight
    return max(min_weight, min(1.0, limit_requests / full_requests))
