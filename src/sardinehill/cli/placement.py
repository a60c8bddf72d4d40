"""Implements `sardinehill zone` and `sardinehill host`.

These commands exclude availability zones and upstreams' hosts from placement
and include them again.
"""

import collections
from collections.abc import Callable
import dataclasses
from typing import Annotated
import uuid

import typer

from sardinehill import errors
from sardinehill import settings
from sardinehill.adapters import platform
from sardinehill.adapters import records
from sardinehill.cli import console
from sardinehill.cli import exit_codes
from sardinehill.cli import fleet_status
from sardinehill.core import fleet

OBJECT_KIND = "placement"
OBJECT_NAME = "fleet"

zone_commands = typer.Typer(no_args_is_help=True, help="Availability zones.")
host_commands = typer.Typer(no_args_is_help=True, help="Upstreams' hosts.")

ZoneName = Annotated[str, typer.Argument(help="The availability zone.")]
HostName = Annotated[str, typer.Argument(help="The upstream's host.")]
Force = Annotated[
    bool,
    typer.Option(help="Apply it even if a service has no upstream left."),
]

PlacementEdit = Callable[[fleet.PlacementExclusions], fleet.PlacementExclusions]


@dataclasses.dataclass(frozen=True)
class _PlacementContext:
    """The state that a change of the placement is checked against.

    Attributes:
      placement: the exclusions in force.
      zones: the zones of the configuration in force.
      hosts: the upstreams' hosts on the platform's list.
    """

    placement: fleet.PlacementExclusions
    zones: tuple[str, ...]
    hosts: tuple[fleet.UpstreamHost, ...]


async def _read_placement(
    client: platform.PlatformClient,
) -> fleet.PlacementExclusions:
    stored = await client.get(OBJECT_KIND, OBJECT_NAME)
    if stored is None:
        return fleet.PlacementExclusions()
    return records.decode_placement_exclusions(stored.version, stored.value)


async def _read_context(client: platform.PlatformClient) -> _PlacementContext:
    stored = await client.get("config", "fleet")
    if stored is None:
        raise errors.CommandFailedError(
            "no configuration has been applied, so no zone is known",
            exit_codes.REFUSED,
        )
    config = settings.read_fleet_config(
        str(stored.value["text"]), "the text in force", stored.version
    )
    return _PlacementContext(
        await _read_placement(client),
        config.availability_zones,
        tuple(platform.parse_upstreams({"hosts": await client.list_hosts()})),
    )


def _check_zone(current: _PlacementContext, zone: str) -> None:
    if zone not in current.zones:
        raise errors.CommandFailedError(
            f"{zone!r} is not a zone of this deployment"
            f" ({', '.join(current.zones)}); nothing was changed",
            exit_codes.REFUSED,
        )


def _check_host(current: _PlacementContext, host: str) -> None:
    if host in current.placement.hosts_out:
        return
    names = sorted(known_host.name for known_host in current.hosts)
    if host not in names:
        raise errors.CommandFailedError(
            f"{host!r} is not in the platform's list of hosts"
            f" ({', '.join(names)}); nothing was changed",
            exit_codes.REFUSED,
        )


def _check_upstreams_left(
    current: _PlacementContext, wanted: fleet.PlacementExclusions
) -> None:
    """Checks that every service keeps an upstream.

    Raises:
      errors.CommandFailedError: a service has none left, or all zones are out.
    """
    upstreams_left: collections.Counter[str] = collections.Counter()
    for host in current.hosts:
        is_out = (
            host.leaving
            or host.name in wanted.hosts_out
            or host.availability_zone in wanted.zones_out
        )
        upstreams_left[host.service] += not is_out
    unserved = sorted(
        service for service, count in upstreams_left.items() if not count
    )
    if unserved or not set(current.zones) - wanted.zones_out:
        raise errors.CommandFailedError(
            f"no upstream would be left for {', '.join(unserved) or 'anything'}"
            "; nothing was changed (--force applies it anyway)",
            exit_codes.REFUSED,
        )


async def _write_placement(
    client: platform.PlatformClient,
    before: fleet.PlacementExclusions,
    wanted: fleet.PlacementExclusions,
) -> int:
    """Writes a placement and returns its version.

    Raises:
      errors.CommandFailedError: another operator changed it meanwhile.
    """
    if wanted == before and before.version:
        return before.version
    value = {
        "zones_out": sorted(wanted.zones_out),
        "hosts_out": sorted(wanted.hosts_out),
        "nonce": uuid.uuid4().hex,
    }
    try:
        return await platform.put_and_confirm(
            client, OBJECT_KIND, OBJECT_NAME, value, before.version
        )
    except errors.StoreConflictError as error:
        # Two changes that are valid separately may be invalid together, for
        # instance if each takes out one of the last two zones, so the write
        # is not retried and the operator has to decide.
        newest = await _read_placement(client)
        raise fleet_status.conflict_error(
            error, _describe_changes(before, newest)
        ) from error


def _describe_changes(
    before: fleet.PlacementExclusions, after: fleet.PlacementExclusions
) -> str:
    lines = []
    for noun, old, new in (
        ("zone", before.zones_out, after.zones_out),
        ("host", before.hosts_out, after.hosts_out),
    ):
        lines += [f"{noun} {name} was taken out" for name in sorted(new - old)]
        lines += [f"{noun} {name} was put back" for name in sorted(old - new)]
    return "\n".join(lines) or "the same placement was written again"


def _change_placement(
    context: typer.Context,
    check: Callable[[_PlacementContext], None],
    change: PlacementEdit,
    result: str,
    force: bool,
    wait_s: float,
    as_json: bool,
) -> None:
    async def task(client: platform.PlatformClient) -> None:
        current = await _read_context(client)
        check(current)
        wanted = change(current.placement)
        if not force and wanted != current.placement:
            _check_upstreams_left(current, wanted)
        version = await _write_placement(client, current.placement, wanted)
        rollout = await fleet_status.wait_for_rollout(
            client, f"{OBJECT_KIND}/{OBJECT_NAME}", version, wait_s
        )
        console.print_result(
            {"version": version, **rollout.as_dict()},
            as_json,
            f"{result}: accepted as version {version}, {rollout.summary()}",
        )
        fleet_status.exit_if_incomplete(rollout)

    console.run_with_client(context, task)


@zone_commands.command("out")
def zone_out(
    context: typer.Context,
    zone: ZoneName,
    force: Force = False,
    wait_s: console.WaitSeconds = console.DEFAULT_WAIT_S,
    as_json: console.Json = False,
) -> None:
    """Takes a zone out, so that its upstreams get no new work."""
    _change_placement(
        context,
        lambda current: _check_zone(current, zone),
        lambda before: dataclasses.replace(
            before, zones_out=before.zones_out | {zone}
        ),
        f"zone {zone} is out",
        force,
        wait_s,
        as_json,
    )


@zone_commands.command("in")
def zone_in(
    context: typer.Context,
    zone: ZoneName,
    wait_s: console.WaitSeconds = console.DEFAULT_WAIT_S,
    as_json: console.Json = False,
) -> None:
    """Puts a zone back."""
    _change_placement(
        context,
        lambda current: _check_zone(current, zone),
        lambda before: dataclasses.replace(
            before, zones_out=before.zones_out - {zone}
        ),
        f"zone {zone} is in",
        True,
        wait_s,
        as_json,
    )


@host_commands.command("out")
def host_out(
    context: typer.Context,
    host: HostName,
    force: Force = False,
    wait_s: console.WaitSeconds = console.DEFAULT_WAIT_S,
    as_json: console.Json = False,
) -> None:
    """Takes an upstream's host out, so that it gets no new work."""
    _change_placement(
        context,
        lambda current: _check_host(current, host),
        lambda before: dataclasses.replace(
            before, hosts_out=before.hosts_out | {host}
        ),
        f"host {host} is out",
        force,
        wait_s,
        as_json,
    )


@host_commands.command("in")
def host_in(
    context: typer.Context,
    host: HostName,
    wait_s: console.WaitSeconds = console.DEFAULT_WAIT_S,
    as_json: console.Json = False,
) -> None:
    """Puts a host back."""
    _change_placement(
        context,
        lambda current: _check_host(current, host),
        lambda before: dataclasses.replace(
            before, hosts_out=before.hosts_out - {host}
        ),
        f"host {host} is in",
        True,
        wait_s,
        as_json,
    )


@zone_commands.command("list")
def zone_list(context: typer.Context, as_json: console.Json = False) -> None:
    """Lists the zones, and which are out."""

    async def task(client: platform.PlatformClient) -> None:
        current = await _read_context(client)
        hosts = collections.Counter(
            host.availability_zone for host in current.hosts
        )
        rows = [
            (
                zone,
                _exclusion_state(zone, current.placement.zones_out),
                hosts[zone],
            )
            for zone in current.zones
        ]
        if as_json:
            zones = [
                {"zone": zone, "state": state, "upstreams": count}
                for zone, state, count in rows
            ]
            console.print_json(
                {"version": current.placement.version, "zones": zones}
            )
            return
        console.print_table(("zone", "state", "upstreams"), rows)

    console.run_with_client(context, task)


@host_commands.command("list")
def host_list(context: typer.Context, as_json: console.Json = False) -> None:
    """Lists the upstreams' hosts, and which are out or leaving."""

    async def task(client: platform.PlatformClient) -> None:
        current = await _read_context(client)
        rows = [
            {
                "host": host.name,
                "service": host.service,
                "availability_zone": host.availability_zone,
                "address": str(host.address),
                "state": "leaving"
                if host.leaving
                else _exclusion_state(host.name, current.placement.hosts_out),
            }
            for host in sorted(
                current.hosts, key=lambda known_host: known_host.name
            )
        ]
        if as_json:
            console.print_json(
                {"version": current.placement.version, "hosts": rows}
            )
            return
        console.print_table(
            ("host", "service", "zone", "address", "state"),
            [tuple(row.values()) for row in rows],
        )

    console.run_with_client(context, task)


def _exclusion_state(name: str, out: frozenset[str]) -> str:
    return "out" if name in out else "in"
