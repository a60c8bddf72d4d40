"""Plans the evacuation of availability zones and hosts, and their return.

Two guarantees determine the order of an evacuation: within seconds, no new
request reaches the zone, and no request in flight is interrupted. New work
therefore stops first. Then ownership moves at a rate that the other zones can
sustain. Gateways move last, because requests in flight complete through them.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import math

from sardinehill.core import fleet

# Queues at the remaining upstreams stay short up to this utilization.
_MAX_UTILIZATION = 0.8


@dataclasses.dataclass(frozen=True)
class UpstreamLoad:
    """The measured load of an upstream and the figures for its capacity.

    Attributes:
      name: the upstream's name.
      service: its service.
      availability_zone: where it runs.
      offered_per_s: requests per second that were intended for it.
      typical_latency_s: its typical latency, or 0 if it was not measured.
      slots: requests that it processes concurrently.
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
    """The load of a service and the capacity of its remaining upstreams.

    Attributes:
      service: the service's name.
      offered_per_s: requests per second for the whole service.
      capacity_per_s: requests per second that the remaining upstreams can
        serve; infinite if upstreams remain and no latency of the service was
        measured.
      remaining_upstreams: the number of remaining upstreams.
    """

    service: str
    offered_per_s: float
    capacity_per_s: float
    remaining_upstreams: int

    @property
    def utilization(self) -> float:
        """The ratio of load to capacity; infinite if no upstream remains."""
        if self.remaining_upstreams == 0:
            return math.inf
        return self.offered_per_s / self.capacity_per_s

    @property
    def is_sufficient(self) -> bool:
        """Whether the remaining upstreams serve the load with short queues."""
        return self.utilization <= _MAX_UTILIZATION


def is_excluded(
    exclusions: fleet.PlacementExclusions, name: str, availability_zone: str
) -> bool:
    """Returns whether operators have excluded a host or its zone."""
    return (
        name in exclusions.hosts_out
        or availability_zone in exclusions.zones_out
    )


def remaining_capacity(
    loads: Iterable[UpstreamLoad], exclusions: fleet.PlacementExclusions
) -> list[ServiceCapacity]:
    """Returns the remaining capacity of each service, sorted by name.

    An upstream without a measured latency is assumed to have the mean latency
    of the measured upstreams of its service.

    Args:
      loads: the measured loads of all upstreams.
      exclusions: the excluded zones and hosts.
    """
    by_service: dict[str, list[UpstreamLoad]] = {}
    for load in loads:
        by_service.setdefault(load.service, []).append(load)
    return [
        _service_capacity(service, by_service[service], exclusions)
        for service in sorted(by_service)
    ]


def _service_capacity(
    service: str,
    loads: Sequence[UpstreamLoad],
    placement: fleet.PlacementExclusions,
) -> ServiceCapacity:
    remaining = [
        load
        for load in loads
        if not is_excluded(placement, load.name, load.availability_zone)
    ]
    measured = [
        load.typical_latency_s for load in loads if load.typical_latency_s
    ]
    typical_s = sum(measured) / len(measured) if measured else 0.0
    remaining_per_s = 0.0
    for load in remaining:
        latency_s = load.typical_latency_s or typical_s
        remaining_per_s += load.slots / latency_s if latency_s else math.inf
    return ServiceCapacity(
        service=service,
        offered_per_s=sum(load.offered_per_s for load in loads),
        capacity_per_s=remaining_per_s,
        remaining_upstreams=len(remaining),
    )


@dataclasses.dataclass(frozen=True)
class ReleaseBatch:
    """Shards that are released at the same time.

    Attributes:
      offset_s: the time of the release, in seconds after the zone's exclusion.
      shards: the shards, in ascending order.
    """

    offset_s: float
    shards: tuple[int, ...]


def plan_release_batches(
    load_per_s: Mapping[int, float], deadline_s: float, min_interval_s: float
) -> list[ReleaseBatch]:
    """Spreads the release of shards so that load moves in equal steps.

    A single batch would move the whole zone's queue to the other upstreams
    before their concurrency limits can adapt. Releasing the shards one by one
    would take too long.

    Args:
      load_per_s: requests per second of each shard that moves.
      deadline_s: the latest offset of the last batch.
      min_interval_s: the minimum time between batches.
    """
    if not load_per_s:
        return []
    batch_count = min(len(load_per_s), int(deadline_s / min_interval_s) + 1)
    batches: list[list[int]] = [[] for _ in range(batch_count)]
    loads = [0.0] * batch_count
    heaviest_first = sorted(load_per_s, key=lambda s: (-load_per_s[s], s))
    for shard in heaviest_first:
        # Ties are broken by the number of shards. Otherwise all shards without
        # measured load would end up in one batch.
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
    """The next step in the evacuation of an upstream."""

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
    """Returns the next step for an excluded upstream.

    Args:
      takes_new_work: whether new requests may still be sent to it.
      owned_shards: the number of shards that it still owns.
      in_flight: the number of requests that it may still be processing.
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
    """Returns the fraction of its fair load that a returning upstream gets.

    The weight follows the ramp, so that a zone returns as its upstreams warm up
    and not on a fixed schedule.

    Args:
      limit_requests: the upstream's current concurrency limit.
      full_requests: its concurrency limit when it is warm.
      min_weight: the weight of a cold upstream, which needs some requests in
        order to warm up.
    """
    if full_requests <= 0:
        return min_weight
    return max(min_weight, min(1.0, limit_requests / full_requests))
