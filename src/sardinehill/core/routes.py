"""The text of services in force: routes, services, client accounts."""

import dataclasses
import functools


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One service that a route sends to.

    Attributes:
      service: its name.
      weight: its part of the route's requests, against the other weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What is asked of requests under one path of one host name.

    Attributes:
      name: the route's name.
      prefix: the path's beginning, with a slash at both ends.
      services: where requests go; one entry when the route is not split.
      is_idempotent: whether a request may run more than once.
      timeout_s: the longest that a caller is kept waiting.
      latency_objective_s: within this an answer is worth most.
      max_attempts: how many upstreams may get one request.
      priority: the rank, 0 first.
      needs_account: whether callers must present an account key.
    """

    name: str
    prefix: bytes
    services: tuple[WeightedService, ...]
    is_idempotent: bool
    timeout_s: float
    latency_objective_s: float
    max_attempts: int
    priority: int
    needs_account: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service.

    Attributes:
      name: its name.
      health_path: where an upstream tells of its health.
      connection_limit: how many connections an upstream takes, from all.
      cold_start_s: how long an upstream is cold after its start.
      cold_rate_per_s: requests a second that a cold upstream bears.
      is_divided: whether keys are granted to single upstreams.
      warm_up_s: how long a key is slow that came without a handover.
    """

    name: str
    health_path: bytes
    connection_limit: int
    cold_start_s: float
    cold_rate_per_s: float
    is_divided: bool
    warm_up_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account.

    Attributes:
      name: its name, as upstreams are told.
      rate_per_s: requests a second over the whole fleet; 0 for no limit.
      burst: requests beyond the rate at one moment.
      priority: the rank that replaces the route's, or None.
    """

    name: str
    rate_per_s: float
    burst: float
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send.

    Attributes:
      header_bytes: of all headers together.
      body_bytes: of the body.
      header_timeout_s: for a request's headers to arrive.
      idle_timeout_s: for a connection without a request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the operators' text.

    Attributes:
      version: a higher one replaces a lower one.
      routes: by host name in lower case; of each, longest prefix first.
      services: by name.
      accounts: by account key; holds secrets and must not be logged.
      limits: what callers may send.
    """

    version: int
    routes: dict[bytes, tuple[Route, ...]]
    services: dict[str, Service]
    accounts: dict[bytes, ClientAccount]
    limits: CallerLimits

    def __repr__(self) -> str:
        return f"Configuration(version={self.version})"

    def account(self, name: str) -> ClientAccount | None:
        """Returns a client account by its name, or None."""
        return self._accounts_by_name.get(name)

    @functools.cached_property
    def _accounts_by_name(self) -> dict[str, ClientAccount]:
        return {account.name: account for account in self.accounts.values()}


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream as the platform's store lists it.

    Attributes:
      id: a new one for most starts.
      started_at_ms: the Unix millisecond of its start; tells lives apart.
      service: the service it belongs to.
      address: IP address and port.
      zone: its availability zone.
      slots: how many requests it runs at once.
      is_draining: whether it is leaving.
      cold_remaining_s: how long it stayed cold when it wrote this.
    """

    id: str
    started_at_ms: int
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    cold_remaining_s: float

    @property
    def incarnation(self) -> tuple[str, int]:
        """Tells this start of the upstream from every other."""
        return (self.id, self.started_at_ms)


def find_route(
    configuration: Configuration, host: bytes, path: bytes
) -> Route | None:
    """Returns the route with the longest prefix that begins the path."""
    name = host.partition(b":")[0].lower()
    bare_path = path.partition(b"?")[0]
    for route in configuration.routes.get(name, ()):
        if bare_path.startswith(route.prefix):
            return route
    return None


class WeightedSplitter:
    """Divides a route's requests among its services by weight.

    Each service falls behind or gets ahead of its part by less than one
    request, which a random choice would not give in a short window.
    """

    def __init__(self) -> None:
        self._deficits: dict[
            tuple[str, tuple[WeightedService, ...]], list[float]
        ]
        self._deficits = {}

    def choose(self, route: Route) -> str:
        """Returns the service of the next request."""
        if len(route.services) == 1:
            return route.services[0].service
        key = (route.name, route.services)
        due = self._deficits.get(key)
        if due is None:
            due = self._deficits[key] = [0.0] * len(route.services)
        total = sum(part.weight for part in route.services) or 1.0
        for index, part in enumerate(route.services):
            due[index] += part.weight / total
        chosen = max(range(len(due)), key=due.__getitem__)
        due[chosen] -= 1.0
        return route.services[chosen].service

    def remove_unused(self, configuration: Configuration) -> None:
        """Drops what it knows of routes that a change has removed."""
        used = {
            (route.name, route.services)
            for routes in configuration.routes.values()
            for route in routes
        }
        self._deficits = {
            key: due for key, due in self._deficits.items() if key in used
        }
