"""Parses and validates the operators' INI files.

There are two kinds. A host file configures the daemon of one host; the fleet
file is the single configuration of all daemons. Sections are validated as
pydantic models and converted to the plain data of `core.fleet`. All problems
of a file are raised in one `errors.SettingsErrors`, and nothing of it is used.
"""

from collections.abc import Sequence
import difflib
import ipaddress
import re
from typing import Annotated
from typing import Any
from typing import TypeVar

import pydantic

from sardinehill import errors
from sardinehill import ini
from sardinehill.core import fleet

# The store accepts values of up to one megabyte, and encoding the text as JSON
# makes it longer.
MAX_FLEET_TEXT_BYTES = 900_000

_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_MIN_SECRET_LENGTH = 16
_SECRET_OPTIONS = frozenset({"account_key_secret", "secrets"})
_HIDDEN_VALUE = "(not shown)"


def _split_list(value: object) -> object:
    if not isinstance(value, str):
        return value
    return tuple(part.strip() for part in value.split(",") if part.strip())


def _check_name(name: str) -> str:
    if not _NAME_PATTERN.fullmatch(name):
        raise ValueError("lower-case letters, digits and hyphens, up to 63")
    return name


def _parse_address(value: object) -> object:
    if not isinstance(value, str):
        return value
    ip, separator, port = value.rpartition(":")
    if not separator or not port.isdecimal() or int(port) > 65535:
        raise ValueError("an IP number, a colon and a port")
    address = ipaddress.ip_address(ip.strip("[]"))
    return fleet.Address(str(address), int(port))


def _check_url(url: str) -> str:
    if not re.fullmatch(r"https?://[^/\s]+", url):
        raise ValueError("http://host:port without a path")
    return url


def _check_secret(secret: str) -> str:
    if len(secret) < _MIN_SECRET_LENGTH:
        raise ValueError(f"at least {_MIN_SECRET_LENGTH} characters")
    return secret


def _check_prefix(prefix: str) -> str:
    if not prefix.startswith("/") or prefix.startswith("/-/"):
        raise ValueError("a path that starts with / and not with /-/")
    return prefix


Name = Annotated[str, pydantic.AfterValidator(_check_name)]
Names = Annotated[tuple[Name, ...], pydantic.BeforeValidator(_split_list)]
Secret = Annotated[str, pydantic.AfterValidator(_check_secret)]
Secrets = Annotated[tuple[Secret, ...], pydantic.BeforeValidator(_split_list)]
IpAddress = Annotated[fleet.Address, pydantic.BeforeValidator(_parse_address)]
IpAddresses = Annotated[
    tuple[IpAddress, ...], pydantic.BeforeValidator(_split_list)
]
Url = Annotated[str, pydantic.AfterValidator(_check_url)]
PathPrefix = Annotated[str, pydantic.AfterValidator(_check_prefix)]


def _required_field(description: str, **bounds: Any) -> Any:
    """Returns a required field.

    Args:
      description: what a valid value is; shown for a missing or invalid one.
      **bounds: constraints for `pydantic.Field`.
    """
    return pydantic.Field(description=description, **bounds)


class _Section(pydantic.BaseModel):
    """The base class of sections; unknown options are rejected."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )


class HostSection(_Section):
    """`[host]` of the host file."""

    name: Name = _required_field("the host's name, unique in the fleet")
    availability_zone: Name = _required_field("the zone that this host runs in")
    region: str = pydantic.Field(default="", description="a region's name")


class AddressesSection(_Section):
    """`[addresses]` of the host file."""

    callers: IpAddress = _required_field(
        "IP:PORT where the balancer sends callers"
    )
    operators: IpAddress = _required_field(
        "IP:PORT of health, status and metrics"
    )
    peers: IpAddress = _required_field(
        "IP:PORT where other daemons reach this one"
    )


class PlatformSection(_Section):
    """`[platform]` of the host file."""

    url: Url = _required_field(
        "http://host:port of the object API, without a path"
    )
    account_key_secret: Secret = _required_field(
        "a secret of at least 16 characters, the same on all hosts"
    )


class PeersSection(_Section):
    """`[peers]` of the host file."""

    bootstrap: IpAddresses = pydantic.Field(
        default=(), description="IP:PORT, ... of peers to try in an outage"
    )
    secrets: Secrets = _required_field(
        "secrets of at least 16 characters, the newest first", min_length=1
    )


class LimitsSection(_Section):
    """`[limits]` of the host file."""

    body_limit_bytes: int = pydantic.Field(
        default=8 * 1024 * 1024,
        ge=1024,
        le=1024**3,
        description="bytes, from 1024 to 1073741824",
    )
    header_limit_bytes: int = pydantic.Field(
        default=16 * 1024,
        ge=1024,
        le=1024**2,
        description="bytes, from 1024 to 1048576",
    )


class FleetSection(_Section):
    """`[fleet]` of the fleet file."""

    availability_zones: Names = _required_field(
        "zone, ... with each of the deployment's zones once", min_length=1
    )


class ServiceSection(_Section):
    """`[service NAME]` of the fleet file."""

    divided_by_key: bool = _required_field("yes when each key has one upstream")
    depends_on: Names = pydantic.Field(
        default=(), description="names of other services"
    )
    checks_fencing: bool = pydantic.Field(default=True, description="yes or no")
    shard_count: int = pydantic.Field(
        default=1024, ge=1, le=65536, description="from 1 to 65536"
    )
    slots: int = pydantic.Field(
        default=3, ge=1, le=10_000, description="from 1 to 10000"
    )
    connections: int = pydantic.Field(
        default=50, ge=2, le=100_000, description="from 2 to 100000"
    )
    cold_start_requests: int = pydantic.Field(
        default=1, ge=1, description="at least 1, and at most `slots`"
    )
    default_deadline_ms: int = pydantic.Field(
        default=5000, ge=1, le=3_600_000, description="from 1 to 3600000"
    )
    queue_requests: int = pydantic.Field(
        default=64, ge=0, le=100_000, description="from 0 to 100000"
    )
    hedge: bool = pydantic.Field(default=False, description="yes or no")


class RouteSection(_Section):
    """`[route NAME]` of the fleet file."""

    path_prefix: PathPrefix = _required_field(
        "a path that starts with /, not /-/"
    )
    service: Name = _required_field("the name of a [service NAME] section")
    open_to_all_callers: bool = pydantic.Field(
        default=True, description="yes or no"
    )
    accounts: Names = pydantic.Field(
        default=(), description="names of [account NAME] sections"
    )


class AccountSection(_Section):
    """`[account NAME]` of the fleet file."""

    rate_per_s: float = _required_field("requests a second, above 0", gt=0)
    burst_requests: float = _required_field(
        "requests at once, at least 1", ge=1
    )
    weight: float = pydantic.Field(
        default=1.0, gt=0, le=1000, description="above 0, up to 1000"
    )


_SectionT = TypeVar("_SectionT", bound=_Section)


class _SectionReader:
    """Validates the sections of one text and collects its problems."""

    def __init__(self, text: str, file_name: str):
        parsed = ini.parse(text, file_name)
        self.file_name = file_name
        self.sections = parsed.sections
        self.problems = parsed.problems
        self._sections_read: set[str] = set()

    def add_problem(
        self, section: str, option: str, value: str, expected: str
    ) -> None:
        """Records one problem."""
        self.problems.append(
            errors.SettingsProblem(
                self.file_name, section, option, value, expected
            )
        )

    def read_required_section(
        self, section: str, model: type[_SectionT]
    ) -> _SectionT | None:
        """Returns a validated section; its absence is a problem too."""
        if section not in self.sections:
            self.add_problem(section, "", "", "this section is required")
            return None
        return self.read_section(section, model)

    def read_section(
        self, section: str, model: type[_SectionT]
    ) -> _SectionT | None:
        """Returns a validated section, or None after recording its problems."""
        self._sections_read.add(section)
        options = self.sections.get(section, {})
        try:
            return model.model_validate(options)
        except pydantic.ValidationError as error:
            self._add_validation_problems(section, options, model, error)
            return None

    def read_named_sections(
        self, noun: str, model: type[_SectionT]
    ) -> dict[str, _SectionT]:
        """Returns the valid `[noun NAME]` sections by name.

        Problems of these sections are recorded.
        """
        valid_sections: dict[str, _SectionT] = {}
        for section in self.sections:
            section_noun, _, name = section.partition(" ")
            if section_noun != noun:
                continue
            if not _NAME_PATTERN.fullmatch(name):
                self._sections_read.add(section)
                self.add_problem(
                    section,
                    "",
                    name,
                    f"[{noun} NAME], NAME of lower-case letters, digits and"
                    " hyphens",
                )
                continue
            validated = self.read_section(section, model)
            if validated is not None:
                valid_sections[name] = validated
        return valid_sections

    def has_section(self, section: str) -> bool:
        """Returns whether the text contains a section, valid or not."""
        return section in self.sections

    def raise_collected_problems(self, valid_headers: str) -> None:
        """Records unknown sections, then raises if there are any problems.

        Args:
          valid_headers: the section headers to name in messages.

        Raises:
          errors.SettingsErrors: with every problem recorded.
        """
        for section in self.sections:
            if section not in self._sections_read:
                self.add_problem(
                    section, "", f"[{section}]", f"one of {valid_headers}"
                )
        raise_if_problems(self.file_name, self.problems)

    def _add_validation_problems(
        self,
        section: str,
        options: dict[str, str],
        model: type[_Section],
        error: pydantic.ValidationError,
    ) -> None:
        reported_options: set[str] = set()
        for detail in error.errors(include_url=False, include_input=False):
            option = str(detail["loc"][0])
            # pydantic reports each invalid item of a list separately.
            if option in reported_options:
                continue
            reported_options.add(option)
            value = options.get(option, "")
            if option in _SECRET_OPTIONS:
                value = _HIDDEN_VALUE
            expected = _describe_expected(option, model, detail["type"])
            self.add_problem(section, option, value, expected)


def _describe_expected(
    option: str, model: type[_Section], error_type: str
) -> str:
    if error_type == "extra_forbidden":
        names = sorted(model.model_fields)
        close_matches = difflib.get_close_matches(option, names, 1)
        hint = f"; did you mean `{close_matches[0]}`?" if close_matches else ""
        return f"the valid options are {', '.join(names)}{hint}"
    description = model.model_fields[option].description or ""
    if error_type == "missing":
        return f"this option is required: {description}"
    return description


def raise_if_problems(
    file_name: str, problems: Sequence[errors.SettingsProblem]
) -> None:
    """Raises all problems as one group, if there are any.

    Raises:
      errors.SettingsErrors: if `problems` is not empty.
    """
    if problems:
        raise errors.SettingsErrors(
            f"{file_name}: nothing was applied",
            [errors.SettingError(problem) for problem in problems],
        )


def read_host_settings(text: str, file_name: str) -> fleet.HostSettings:
    """Parses a host file.

    Args:
      text: the host file's INI text.
      file_name: the file name to report problems under.

    Raises:
      errors.SettingsErrors: with every problem of the text.
    """
    reader = _SectionReader(text, file_name)
    host = reader.read_required_section("host", HostSection)
    addresses = reader.read_required_section("addresses", AddressesSection)
    platform = reader.read_required_section("platform", PlatformSection)
    peers = reader.read_required_section("peers", PeersSection)
    limits = reader.read_section("limits", LimitsSection)
    reader.raise_collected_problems(
        "[host], [addresses], [platform], [peers], [limits]"
    )
    # `raise_collected_problems` raises if any of these is None, which the type
    # checker cannot infer.
    assert host
    assert addresses
    assert platform
    assert peers
    assert limits
    return fleet.HostSettings(
        name=host.name,
        availability_zone=host.availability_zone,
        region=host.region,
        callers_address=addresses.callers,
        operators_address=addresses.operators,
        peers_address=addresses.peers,
        platform_url=platform.url,
        bootstrap_peers=peers.bootstrap,
        peer_secrets=peers.secrets,
        account_key_secret=platform.account_key_secret,
        body_limit_bytes=limits.body_limit_bytes,
        header_limit_bytes=limits.header_limit_bytes,
    )


def read_fleet_config(
    text: str, file_name: str, version: int
) -> fleet.FleetConfig:
    """Parses a fleet file.

    Args:
      text: the fleet file's INI text.
      file_name: the file name to report problems under.
      version: the store's version of the text, 0 if it is not yet stored.

    Raises:
      errors.SettingsErrors: with every problem of the text.
    """
    size_bytes = len(text.encode())
    if size_bytes > MAX_FLEET_TEXT_BYTES:
        problem = errors.SettingsProblem(
            file_name,
            "fleet",
            "",
            f"{size_bytes} bytes",
            f"a text of at most {MAX_FLEET_TEXT_BYTES} bytes",
        )
        raise_if_problems(file_name, [problem])
    reader = _SectionReader(text, file_name)
    fleet_section = reader.read_required_section("fleet", FleetSection)
    services = reader.read_named_sections("service", ServiceSection)
    routes = reader.read_named_sections("route", RouteSection)
    accounts = reader.read_named_sections("account", AccountSection)
    if fleet_section is not None:
        _check_zones(reader, fleet_section)
    _check_services(reader, services)
    _check_routes(reader, routes)
    reader.raise_collected_problems(
        "[fleet], [service NAME], [route NAME], [account NAME]"
    )
    assert fleet_section
    return fleet.FleetConfig(
        version=version,
        availability_zones=fleet_section.availability_zones,
        services={
            name: fleet.ServiceConfig(name=name, **service.model_dump())
            for name, service in services.items()
        },
        routes={
            name: fleet.RouteConfig(name=name, **route.model_dump())
            for name, route in routes.items()
        },
        accounts={
            name: fleet.ClientAccountConfig(name=name, **account.model_dump())
            for name, account in accounts.items()
        },
    )


def _check_zones(reader: _SectionReader, fleet_section: FleetSection) -> None:
    zones = fleet_section.availability_zones
    for zone in sorted({zone for zone in zones if zones.count(zone) > 1}):
        reader.add_problem(
            "fleet", "availability_zones", zone, "each zone once"
        )


def _check_services(
    reader: _SectionReader, services: dict[str, ServiceSection]
) -> None:
    for name, service in services.items():
        section = f"service {name}"
        for dependency in service.depends_on:
            if not reader.has_section(f"service {dependency}"):
                reader.add_problem(
                    section,
                    "depends_on",
                    dependency,
                    "a service of this file; there is no"
                    f" [service {dependency}]",
                )
        if service.cold_start_requests > service.slots:
            reader.add_problem(
                section,
                "cold_start_requests",
                str(service.cold_start_requests),
                f"at most its slots, {service.slots}",
            )
        if service.hedge and service.divided_by_key:
            reader.add_problem(
                section,
                "hedge",
                "yes",
                "no, since each key of a divided service has one upstream",
            )
    for cycle in _find_cycles(services):
        reader.add_problem(
            f"service {cycle[0]}",
            "depends_on",
            " -> ".join(cycle),
            "a service that does not depend on itself, directly or indirectly",
        )


def _find_cycles(services: dict[str, ServiceSection]) -> list[list[str]]:
    """Returns dependency cycles, at least one if there are any.

    A cycle begins and ends with the service whose name sorts first in it; for
    each such service only its shortest cycle is returned.
    """
    cycles = []
    for start in sorted(services):
        path = _find_cycle_through(services, start)
        if path and min(path) == start:
            cycles.append(path)
    return cycles


def _find_cycle_through(
    services: dict[str, ServiceSection], start: str
) -> list[str] | None:
    paths = [[start]]
    visited: set[str] = set()
    while paths:
        path = paths.pop(0)
        for dependency in services[path[-1]].depends_on:
            if dependency == start:
                return [*path, start]
            if dependency in services and dependency not in visited:
                visited.add(dependency)
                paths.append([*path, dependency])
    return None


def _check_routes(
    reader: _SectionReader, routes: dict[str, RouteSection]
) -> None:
    first_by_prefix: dict[str, str] = {}
    for name, route in routes.items():
        section = f"route {name}"
        if not reader.has_section(f"service {route.service}"):
            reader.add_problem(
                section,
                "service",
                route.service,
                "a service of this file; there is no"
                f" [service {route.service}]",
            )
        first_name = first_by_prefix.setdefault(route.path_prefix, name)
        if first_name != name:
            reader.add_problem(
                section,
                "path_prefix",
                route.path_prefix,
                f"a unique prefix; [route {first_name}] has the same",
            )
        _check_route_accounts(reader, section, route)


def _check_route_accounts(
    reader: _SectionReader, section: str, route: RouteSection
) -> None:
    for account in route.accounts:
        if not reader.has_section(f"account {account}"):
            reader.add_problem(
                section,
                "accounts",
                account,
                f"an account of this file; there is no [account {account}]",
            )
    if route.open_to_all_callers and route.accounts:
        reader.add_problem(
            section,
            "accounts",
            ", ".join(route.accounts),
            "no accounts, or open_to_all_callers = no",
        )
    if not route.open_to_all_callers and not route.accounts:
        reader.add_problem(
            section,
            "accounts",
            "",
            "at least one account, since the route is not open to all",
        )


def find_forbidden_changes(
    old: fleet.FleetConfig, new: fleet.FleetConfig, file_name: str
) -> list[errors.SettingsProblem]:
    """Returns the changes that a valid configuration must not make.

    Args:
      old: the configuration in force.
      new: the configuration that is to replace it.
      file_name: the file name to report problems under.
    """
    problems = []
    for name, service in new.services.items():
        old_service = old.services.get(name)
        if (
            old_service is None
            or old_service.shard_count == service.shard_count
        ):
            continue
        # With another shard count, daemons that have read the new text would
        # map keys to other shards, and so to other upstreams, than daemons
        # that have not.
        problems.append(
            errors.SettingsProblem(
                file_name,
                f"service {name}",
                "shard_count",
                str(service.shard_count),
                f"{old_service.shard_count}, as before: it cannot change"
                " once the service exists",
            )
        )
    return problems
