"""Defines the routing configuration and maps requests to routes and services.

This is the configuration of daemons that send to upstreams directly.
"""

import dataclasses
import functools

from sardinehill.core import store_versions


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that a route sends to, with its weight.

    Attributes:
      service: the service's name.
      weight: its share of the route's requests, relative to the other weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The rules for requests under one path prefix of one host name.

    Attributes:
      name: the route's name.
      prefix: the beginning of the path, with a slash at both ends.
      services: the target services; a single entry if the route is not split.
      is_idempotent: whether a request may run more than once.
      timeout_s: the longest time that a caller waits for an answer.
      latency_objective_s: the latency objective; later answers have less value.
      max_attempts: the maximum number of upstreams that get one request.
      priority: the priority; 0 is the highest.
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
    """A service and the limits of its upstreams.

    Attributes:
      name: the service's name.
      health_path: the path of the upstreams' health endpoint.
      connection_limit: connections that an upstream accepts from all daemons
        together.
      cold_start_s: how long an upstream is cold after its start.
      cold_rate_per_s: requests per second that a cold upstream can serve.
      is_divided: whether each key is granted to a single upstream.
      warm_up_s: how long requests for a key are slow after it has changed its
        owner without a handover.
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
    """A client account and its limits.

    Attributes:
      name: the account's name, which upstreams receive with each request.
      rate_per_s: sustained requests per second over the whole fleet; 0 for no
        limit.
      burst: requests at once beyond the sustained rate.
      priority: the priority that replaces the route's, or None.
    """

    name: str
    rate_per_s: float
    burst: float
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on a caller's requests and connections.

    Attributes:
      header_bytes: the maximum size of all headers together.
      body_bytes: the maximum size of the body.
      header_timeout_s: the time within which a request's headers must arrive.
      idle_timeout_s: the time after which an idle connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
      version: the version; a higher one replaces a lower one.
      routes: the routes of each host name in lower case, longest prefix first.
      services: the services by name.
      accounts: the client accounts by account key. The keys are secrets and
        must not be logged.
      limits: the limits on callers' requests and connections.
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
    """An upstream as the platform's store lists it.

    Attributes:
      id: the upstream's id, which most restarts change.
      started_at_ms: the Unix time of its start in milliseconds by its host's
        clock; distinguishes starts with the same id and does not order them.
      service: the service it belongs to.
      address: its IP address and port.
      zone: its availability zone.
      slots: the number of requests that it processes concurrently.
      is_draining: whether it is leaving.
      cold_remaining_s: how long it expected to stay cold when it wrote this
        entry.
      report_number: counts what it has written since its start, or None if it
        does not count.
      listed_at: the version of the store that first listed this start, or
        listed it again after it had ended.
    """

    id: str
    started_at_ms: int
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    cold_remaining_s: float
    report_number: int | None = dataclasses.field(default=None, compare=False)
    listed_at: store_versions.StoreVersion = dataclasses.field(
        default=store_versions.NEVER_READ, compare=False
    )

    def is_outdated_by(self, other: "Upstream") -> bool:
        """Returns whether the same incarnation wrote `other` after this."""
        return (
            self._counts_with(other)
            and other.report_number is not None
            and self.report_number is not None
            and self.report_number < other.report_number
        )

    def is_later_report_than(self, other: "Upstream") -> bool:
        """Returns whether the same incarnation may have written this later.

        That is assumed where their numbers do not compare.
        """
        return (
            not self._counts_with(other)
            or other.report_number is None
            or self.report_number is None
            or self.report_number > other.report_number
        )

    def _counts_with(self, other: "Upstream") -> bool:
        """Returns whether the report numbers of two entries compare.

        Without a valid start time they may be of different incarnations.
        """
        return self.started_at_ms != 0 and self.incarnation == other.incarnation

    @property
    def incarnation(self) -> tuple[str, int]:
        """The id and the time of the start, which identify one start."""
        return (self.id, self.started_at_ms)


def find_route(
    configuration: Configuration, host: bytes, path: bytes
) -> Route | None:
    """Returns the route with the longest matching path prefix, or None.

    Args:
      configuration: the configuration in force.
      host: the request's host name, with or without a port, in any case.
      path: the request's path, with or without a query.
    """
    name = host.partition(b":")[0].lower()
    bare_path = path.partition(b"?")[0]
    for route in configuration.routes.get(name, ()):
        if bare_path.startswith(route.prefix):
            return route
    return None


class WeightedSplitter:
    """Divides a route's requests among its services by weight.

    The choice is deterministic: each service's count differs from its exact
    share by less than one request. A random choice would not achieve this over
    a short window.
    """

    def __init__(self) -> None:
        self._deficits: dict[
            tuple[str, tuple[WeightedService, ...]], list[float]
        ]
        self._deficits = {}

    def choose(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        if len(route.services) == 1:
            return route.services[0].service
        key = (route.name, route.services)
        deficits = self._deficits.get(key)
        if deficits is None:
            deficits = self._deficits[key] = [0.0] * len(route.services)
        total = sum(part.weight for part in route.services) or 1.0
        for index, part in enumerate(route.services):
            deficits[index] += part.weight / total
        chosen = max(range(len(deficits)), key=deficits.__getitem__)
        deficits[chosen] -= 1.0
        return route.services[chosen].service

    def remove_unused(self, configuration: Configuration) -> None:
        """Discards the state of routes that are no longer configured."""
        used = {
            (route.name, route.services)
            for routes in configuration.routes.values()
            for route in routes
        }
        self._deficits = {
            key: deficits
            for key, deficits in self._deficits.items()
            if key in used
        }
