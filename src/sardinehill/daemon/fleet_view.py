"""What one daemon knows of the fleet at the moment."""

import dataclasses

from sardinehill.core import account_keys
from sardinehill.core import fleet
from sardinehill.core import placement


@dataclasses.dataclass
class FleetView:
    """A daemon's knowledge; `daemon.news` is its only writer.

    Attributes:
      settings: the settings of this daemon's host, ports as bound.
      config: the fleet's accepted configuration, or None before the first.
      config_text: the text that `config` was read from.
      exclusions: availability zones and hosts taken out.
      assignments: the accepted assignment of each service.
      upstreams: upstreams by name, from the platform's lagging list.
      members: daemons by name.
      key_ring: records of account keys, checked on every request.
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
        """Whether an upstream may get no new work."""
        return (
            upstream.leaving
            or upstream.name in self.exclusions.hosts_out
            or upstream.availability_zone in self.exclusions.zones_out
        )
