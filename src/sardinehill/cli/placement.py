"""`sardinehill zone` and `sardinehill host`: take out and put back."""

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
    typer.Option(help="Do it although a service keeps no upstream."),
]

PlacementEdit = Callable[[fleet.PlacementExclusions], fleet.PlacementExclusions]


@dataclasses.dataclass(frozen=True)
class _PlacementContext:
    """What a change of the placement is checked against."""

    placement: fleet.PlacementExclusions
    zones: tuple[str, ...]
    hosts: tuple[fleet.UpstreamHost, ...]


async def _read_placement(
    client: platform.PlatformClient,
) -> fleet.PlacementExclusions:
    found = await client.get(OBJECT_KIND, OBJECT_NAME)
    if found is None:
        return fleet.PlacementExclusions()
    return records.decode_placement_exclusions(found.version, found.value)


async def _read_context(client: platform.PlatformClient) -> _PlacementContext:
    stored = await client.get("config", "fleet")
    if stored is None:
        raise errors.CommandFailedError(
            "no configuration was ever applied, so no zone is known",
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


def _check_zone(known: _PlacementContext, zone: str) -> None:
    if zone not in known.zones:
        raise errors.CommandFailedError(
            f"{zone!r} is not a zone of this deployment"
            f" ({', '.join(known.zones)}); nothing was changed",
            exit_codes.REFUSED,
        )


def _check_host(known: _PlacementContext, host: str) -> None:
    if host in known.placement.hosts_out:
        return
    names = sorted(one.name for one in known.hosts)
    if host not in names:
        raise errors.CommandFailedError(
            f"{host!r} is not in the platform's list of hosts"
            f" ({', '.join(names)}); nothing was changed",
            exit_codes.REFUSED,
        )


def _check_upstreams_left(
    known: _PlacementContext, wanted: fleet.PlacementExclusions
) -> None:
    """Refuses a change that leaves a service without an upstream."""
    left: collections.Counter[str] = collections.Counter()
    for host in known.hosts:
        is_out = (
            host.leaving
            or host.name in wanted.hosts_out
            or host.availability_zone in wanted.zones_out
        )
        left[host.service] += not is_out
    empty = sorted(service for service, count in left.items() if not count)
    if empty or not set(known.zones) - wanted.zones_out:
        raise errors.CommandFailedError(
            f"no upstream would be left for {', '.join(empty) or 'anything'};"
            " nothing was changed (--force does it all the same)",
            exit_codes.REFUSED,
        )


async def _write_placement(
    client: platform.PlatformClient,
    before: fleet.PlacementExclusions,
    wanted: fleet.PlacementExclusions,
) -> int:
    """Returns the version under which the placement was accepted."""
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
        # Two changes that are right apart may be wrong together, as when
        # each takes out one of the last two zones: a person has to look.
        now = await _read_placement(client)
        raise fleet_status.conflict_error(
            error, _describe_changes(before, now)
        ) from error


def _describe_changes(
    before: fleet.PlacementExclusions, now: fleet.PlacementExclusions
) -> str:
    lines = []
    for noun, old, new in (
        ("zone", before.zones_out, now.zones_out),
        ("host", before.hosts_out, now.hosts_out),
    ):
        lines += [f"{noun} {name} was taken out" for name in sorted(new - old)]
        lines += [f"{noun} {name} was put back" for name in sorted(old - new)]
    return "\n".join(lines) or "the same was set again"


def _change_placement(
    context: typer.Context,
    check: Callable[[_PlacementContext], None],
    change: PlacementEdit,
    done: str,
    force: bool,
    wait_s: float,
    as_json: bool,
) -> None:
    async def work(client: platform.PlatformClient) -> None:
        known = await _read_context(client)
        check(known)
        wanted = change(known.placement)
        if not force and wanted != known.placement:
            _check_upstreams_left(known, wanted)
        version = await _write_placement(client, known.placement, wanted)
        found = await fleet_status.wait_for_rollout(
            client, f"{OBJECT_KIND}/{OBJECT_NAME}", version, wait_s
        )
        console.print_result(
            {"version": version, **found.as_dict()},
            as_json,
            f"{done}: accepted as version {version}, {found.summary()}",
        )
        fleet_status.exit_if_incomplete(found)

    console.run_with_client(context, work)


@zone_commands.command("out")
def zone_out(
    context: typer.Context,
    zone: ZoneName,
    force: Force = False,
    wait_s: console.WaitSeconds = console.DEFAULT_WAIT_S,
    as_json: console.Json = False,
) -> None:
    """Takes a zone out: its upstreams get no new work."""
    _change_placement(
        context,
        lambda known: _check_zone(known, zone),
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
        lambda known: _check_zone(known, zone),
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
    """Takes an upstream's host out: it gets no new work."""
    _change_placement(
        context,
        lambda known: _check_host(known, host),
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
        lambda known: _check_host(known, host),
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

    async def work(client: platform.PlatformClient) -> None:
        known = await _read_context(client)
        hosts = collections.Counter(h.availability_zone for h in known.hosts)
        rows = [
            (
                zone,
                _exclusion_state(zone, known.placement.zones_out),
                hosts[zone],
            )
            for zone in known.zones
        ]
        if as_json:
            zones = [
                {"zone": zone, "state": state, "upstreams": count}
                for zone, state, count in rows
            ]
            console.print_json(
                {"version": known.placement.version, "zones": zones}
            )
            return
        console.print_table(("zone", "state", "upstreams"), rows)

    console.run_with_client(context, work)


@host_commands.command("list")
def host_list(context: typer.Context, as_json: console.Json = False) -> None:
    """Lists the upstreams' hosts, and which are out or leaving."""

    async def work(client: platform.PlatformClient) -> None:
        known = await _read_context(client)
        rows = [
            {
                "host": host.name,
                "service": host.service,
                "availability_zone": host.availability_zone,
                "address": str(host.address),
                "state": "leaving"
                if host.leaving
                else _exclusion_state(host.name, known.placement.hosts_out),
            }
            for host in sorted(known.hosts, key=lambda one: one.name)
        ]
        if as_json:
            console.print_json(
                {"version": known.placement.version, "hosts": rows}
            )
            return
        console.print_table(
            ("host", "service", "zone", "address", "state"),
            [tuple(row.values()) for row in rows],
        )

    console.run_with_client(context, work)


def _exclusion_state(name: str, out: frozenset[str]) -> str:
    return "out" if name in out else "in"
