"""Holds one daemon's current view of the fleet."""

import dataclasses

from sardinehill.core import account_keys
from sardinehill.core import fleet
from sardinehill.core import placement


@dataclasses.dataclass
class FleetView:
    """One daemon's view of the fleet.

    Only `daemon.replication` writes to it, except that `daemon.application`
    sets the settings once.

    Attributes:
      settings: the settings of this daemon's host, with the ports as bound.
      config: the accepted fleet configuration, or None before the first one.
      config_text: the text that `config` was read from.
      exclusions: the availability zones and hosts excluded by operators.
      assignments: the accepted assignment of each service.
      upstreams: upstreams by name; the platform's list may lag behind.
      members: the daemons in the member list by name.
      key_ring: the account key records that every request is checked against.
    """

    settings: fleet.HostSettings
    key_ring: account_keys.KeyRing
    config: fleet.FleetConfig | None = None
    config_text: str = ""
    exclusions: fleet.PlacementExclusions = dataclasses.field(
        default_factory=fleet.PlacementExclusions
    )
    assignments: dict[str, placement.ShardAssignment] = dataclasses.field(
        default_factory=dict
    )
    upstreams: dict[str, fleet.UpstreamHost] = dataclasses.field(
        default_factory=dict
    )
    members: dict[str, fleet.DaemonHost] = dataclasses.field(
        default_factory=dict
    )

    def is_excluded(self, upstream: fleet.UpstreamHost) -> bool:
        """Returns whether an upstream must not get new work."""
        return (
            upstream.leaving
            or upstream.name in self.exclusions.hosts_out
            or upstream.availability_zone in self.exclusions.zones_out
        )
