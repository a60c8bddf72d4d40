"""Defines the operators' configuration and the fleet's hosts as plain data.

The models in `settings` validate the INI files and create these objects.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Address:
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True)
class ClientAccountConfig:
    """The limits of a client account, counted over all hosts together.

    Attributes:
      name: the account's name.
      rate_per_s: sustained requests per second that it may submit.
      burst_requests: requests that it may submit at once.
      weight: its share of a saturated upstream, relative to other accounts.
    """

    name: str
    rate_per_s: float
    burst_requests: float
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class ServiceConfig:
    """One service and the limits of its upstreams.

    Attributes:
      name: the service's name.
      divided_by_key: whether each key has one owning upstream.
      depends_on: names of services that this one needs in order to be served.
      checks_fencing: whether its upstreams check the fencing token of requests.
      shard_count: number of shards; fixed once the service has keys.
      slots: requests that one upstream processes concurrently.
      connections: connections that one upstream accepts.
      cold_start_requests: concurrent requests that a cold upstream can serve.
      default_deadline_ms: time limit for a request that specifies none.
      queue_requests: requests that may wait at one upstream's gateway.
      hedge: whether idempotent requests may be sent to a second upstream.
    """

    name: str
    divided_by_key: bool
    depends_on: tuple[str, ...] = ()
    checks_fencing: bool = True
    shard_count: int = 1024
    slots: int = 3
    connections: int = 50
    cold_start_requests: int = 1
    default_deadline_ms: int = 5000
    queue_requests: int = 64
    hedge: bool = False


@dataclasses.dataclass(frozen=True)
class RouteConfig:
    """A rule that maps requests to a service by their path.

    Attributes:
      name: the route's name.
      path_prefix: the beginning of the path; the longest match applies.
      service: the service's name.
      open_to_all_callers: whether any client account may use it.
      accounts: accounts that may use a route that is not open to all.
    """

    name: str
    path_prefix: str
    service: str
    open_to_all_callers: bool = True
    accounts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class FleetConfig:
    """The operators' validated configuration of the fleet.

    Attributes:
      version: the store's version of the configuration; 0 before the first one
        is accepted.
      availability_zones: names of the zones of this deployment.
      services: services by name.
      routes: routes by name.
      accounts: client accounts by name.
    """

    version: int
    availability_zones: tuple[str, ...]
    services: dict[str, ServiceConfig]
    routes: dict[str, RouteConfig]
    accounts: dict[str, ClientAccountConfig]


@dataclasses.dataclass(frozen=True)
class PlacementExclusions:
    """Availability zones and hosts that operators have taken out of service.

    Attributes:
      version: the store's version of the object.
      zones_out: names of the excluded availability zones.
      hosts_out: names of the excluded hosts.
    """

    version: int = 0
    zones_out: frozenset[str] = frozenset()
    hosts_out: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class UpstreamHost:
    """An upstream according to the platform's host list, which lags behind.

    Attributes:
      name: the upstream's name.
      service: the service it serves.
      address: where it accepts requests.
      availability_zone: where it runs.
      leaving: whether the platform reports that it is leaving.
    """

    name: str
    service: str
    address: Address
    availability_zone: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class DaemonHost:
    """A daemon of the fleet.

    Attributes:
      name: the host's name.
      peer_address: where it accepts connections from other daemons.
      availability_zone: where it runs.
      region: the region of that zone.
      incarnation: a number that increases with each start of the daemon.
    """

    name: str
    peer_address: Address
    availability_zone: str
    region: str = ""
    incarnation: int = 0


@dataclasses.dataclass(frozen=True)
class HostSettings:
    """The settings of one daemon's own host.

    Attributes:
      name: the host's name, unique in the fleet.
      availability_zone: the zone it runs in.
      region: the region of that zone.
      callers_address: where the load balancer sends callers' requests.
      operators_address: where health, status and metrics are served.
      peers_address: where other daemons connect to this one.
      platform_url: the URL of the platform's object API.
      bootstrap_peers: peers to contact while the store is unavailable.
      peer_secrets: secrets shared between peers, the newest first.
      account_key_secret: the key of the digests of account keys.
      body_limit_bytes: the longest body accepted from a caller.
      header_limit_bytes: the longest header field accepted from a caller.
    """

    name: str
    availability_zone: str
    region: str
    callers_address: Address
    operators_address: Address
    peers_address: Address
    platform_url: str
    bootstrap_peers: tuple[Address, ...]
    peer_secrets: tuple[str, ...]
    account_key_secret: str
    body_limit_bytes: int = 8 * 1024 * 1024
    header_limit_bytes: int = 16 * 1024
