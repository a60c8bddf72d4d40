"""What the operators ask for, as plain data for the core.

Validated models in `settings` read the INI texts and make these.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Address:
    """An IP number and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True)
class ClientAccountConfig:
    """A client account's share, counted over all hosts together.

    Attributes:
      name: the account's name.
      rate_per_s: requests a second that it may submit in the long run.
      burst_requests: requests that it may submit at once.
      weight: its share of a full upstream, relative to other accounts.
    """

    name: str
    rate_per_s: float
    burst_requests: float
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class ServiceConfig:
    """One service and what its upstreams can bear.

    Attributes:
      name: the service's name.
      divided_by_key: whether each key has one owning upstream.
      depends_on: names of services that must be served for this one.
      checks_fencing: whether its upstreams check who gives them an order.
      shard_count: number of shards; fixed once the service has keys.
      slots: requests that one upstream works on at once.
      connections: connections that one upstream takes.
      cold_start_requests: requests at once that a cold upstream bears.
      default_deadline_ms: time for a request that names no deadline.
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
    """Which requests go to which service.

    Attributes:
      name: the route's name.
      path_prefix: the longest matching prefix of the path wins.
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
    """The operators' one text, validated.

    Attributes:
      version: the store's version of the text; 0 when none was accepted.
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
    """Availability zones and hosts that operators have taken out.

    Attributes:
      version: the store's version of the object.
      zones_out: names of availability zones taken out.
      hosts_out: names of hosts taken out.
    """

    version: int = 0
    zones_out: frozenset[str] = frozenset()
    hosts_out: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class UpstreamHost:
    """An upstream as the platform's lagging list shows it.

    Attributes:
      name: the upstream's name.
      service: the service it serves.
      address: where it takes requests.
      availability_zone: where it runs.
      leaving: whether the platform says that it leaves.
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
      peer_address: where other daemons reach it.
      availability_zone: where it runs.
      region: the region of that zone.
      incarnation: a number that grows with each start of the daemon.
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
      callers_address: where the balancer sends callers.
      operators_address: health, status and metrics.
      peers_address: where other daemons reach this one.
      platform_url: the platform's object API.
      bootstrap_peers: peers to try while the store is down.
      peer_secrets: shared secrets of peers, the newest first.
      account_key_secret: keys the hash under which account keys are kept.
      body_limit_bytes: the longest body taken from a caller.
      header_limit_bytes: the longest header field taken from a caller.
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
