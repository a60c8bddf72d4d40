"""Determines which daemons schedule requests, and for which upstreams."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum
import math

import xxhash

from sardinehill.core import routes
from sardinehill.core.load import slot_messages

# At most this many daemons schedule requests in each zone.
MAX_SCHEDULERS_PER_ZONE = 8
# The groups of an undivided service have about this many upstreams.
GROUP_SIZE = 16
# Requests are scheduled if the fleet has more than this many daemons for each
# slot of an upstream.
MIN_DAEMONS_PER_SLOT = 8


class SchedulingMode(enum.Enum):
    """Whether requests are scheduled.

    Attributes:
      AUTO: where the configuration and the fleet's size call for it.
      ON: always.
      OFF: never.
    """

    AUTO = "auto"
    ON = "on"
    OFF = "off"


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonCapacity:
    """What a daemon has reported that decides whether it schedules requests.

    Attributes:
      daemon: its name.
      address: where its peers connect to it.
      zone: its availability zone.
      cpu_capacity: its CPU capacity in standard cores; 0 if it does not
        schedule requests.
    """

    daemon: str
    address: str
    zone: str
    cpu_capacity: float


def choose(
    daemons: Sequence[DaemonCapacity],
    current: Sequence[slot_messages.SchedulerEntry],
    leader: str,
) -> list[slot_messages.SchedulerEntry]:
    """Returns the daemons that are to schedule requests, sorted.

    Daemons that do so already are kept, so that few groups of upstreams change
    their scheduler. The others are those with the most CPU capacity.

    Args:
      daemons: the daemons that report to the leader, and the leader.
      current: the daemons that schedule requests now.
      leader: the leader's name. It is chosen only if its zone has no other.
    """
    by_zone: dict[str, list[DaemonCapacity]] = collections.defaultdict(list)
    for daemon in daemons:
        if daemon.cpu_capacity > 0:
            by_zone[daemon.zone].append(daemon)
    current_zones = {entry.daemon: entry.zone for entry in current}

    def preference(daemon: DaemonCapacity) -> tuple[bool, float, str]:
        is_kept = current_zones.get(daemon.daemon) == daemon.zone
        return not is_kept, -daemon.cpu_capacity, daemon.daemon

    chosen: list[slot_messages.SchedulerEntry] = []
    for zone, candidates in sorted(by_zone.items()):
        others = [item for item in candidates if item.daemon != leader]
        best = sorted(others or candidates, key=preference)
        chosen.extend(
            slot_messages.SchedulerEntry(item.daemon, item.address, zone)
            for item in sorted(
                best[:MAX_SCHEDULERS_PER_ZONE], key=lambda item: item.daemon
            )
        )
    return chosen


def is_called_for(
    mode: SchedulingMode,
    has_rate_limits: bool,
    daemon_count: int,
    typical_slots: float,
) -> bool:
    """Returns whether the fleet's requests are to be scheduled.

    Rate limits bound the fleet's load where it enters. With few daemons, each
    one knows the load of the upstreams from its own responses.

    Args:
      mode: the leader's setting.
      has_rate_limits: whether any client account has a rate limit.
      daemon_count: the number of daemons.
      typical_slots: the slots of a typical upstream; 0 without upstreams.
    """
    if mode is not SchedulingMode.AUTO:
        return mode is SchedulingMode.ON
    if has_rate_limits or typical_slots <= 0:
        return False
    return daemon_count > MIN_DAEMONS_PER_SLOT * typical_slots


def group_of(
    upstream: routes.Upstream, is_divided: bool, count: int
) -> slot_messages.SlotGroup:
    """Returns the group that an upstream belongs to.

    The number of parts of a zone is a power of two. If it grows, each part is
    split and no upstream moves to another of the former parts.

    Args:
      upstream: the upstream.
      is_divided: whether its service's keys are divided among upstreams.
      count: the number of listed upstreams of the same service and zone.
    """
    if is_divided:
        return slot_messages.SlotGroup(
            upstream.service, upstream.zone, upstream=upstream.id
        )
    parts = 2 ** max(0, round(math.log2(max(count, 1) / GROUP_SIZE)))
    part = xxhash.xxh3_64_intdigest(upstream.id.encode()) % parts
    return slot_messages.SlotGroup(upstream.service, upstream.zone, part)


def ranked(
    group: slot_messages.SlotGroup,
    schedulers: Iterable[slot_messages.SchedulerEntry],
) -> list[slot_messages.SchedulerEntry]:
    """Returns the schedulers of a group of upstreams, the preferred one first.

    Rendezvous hashing ranks them, so that a change of the schedulers moves only
    the groups of those that are added or removed.
    """
    schedulers = list(schedulers)
    in_zone = [entry for entry in schedulers if entry.zone == group.zone]
    key = f"{group.service}\0{group.zone}\0{group.part}\0{group.upstream}\0"

    def weight(entry: slot_messages.SchedulerEntry) -> tuple[int, str]:
        digest = xxhash.xxh3_64_intdigest(f"{key}{entry.daemon}".encode())
        return digest, entry.daemon

    return sorted(in_zone or schedulers, key=weight, reverse=True)
