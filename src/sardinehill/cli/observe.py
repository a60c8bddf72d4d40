"""`sardinehill status`, `owners` and `events`: ask the daemons."""

import time
from typing import Annotated
from typing import Any
from urllib import parse

import typer

from sardinehill import errors
from sardinehill.adapters import platform
from sardinehill.cli import console
from sardinehill.cli import exit_codes
from sardinehill.cli import fleet_status

DEFAULT_EVENT_LIMIT = 50


def status(context: typer.Context, as_json: console.Json = False) -> None:
    """Shows what each daemon has in force and does."""

    async def work(client: platform.PlatformClient) -> None:
        addresses = await fleet_status.read_operators_addresses(client)
        found = await fleet_status.query_daemons(addresses, "/-/status")
        if as_json:
            console.print_json({"daemons": found})
            return
        console.print_table(
            ("daemon", "zone", "ready", "config", "placement", "store"),
            [_status_row(name, one) for name, one in sorted(found.items())],
        )

    console.run_with_client(context, work)


def _status_row(name: str, one: fleet_status.Status | None) -> tuple[Any, ...]:
    if one is None:
        return (name, "-", "does not answer", "-", "-", "-")
    return (
        name,
        one.get("availability_zone", ""),
        "yes" if one.get("ready") else "no",
        fleet_status.version_in_force(one, "config/fleet"),
        fleet_status.version_in_force(one, "placement/fleet"),
        "reachable" if one.get("store_reachable") else "lost",
    )


def owners(
    context: typer.Context,
    service: Annotated[str, typer.Argument(help="The service.")],
    key: Annotated[str, typer.Argument(help="The booking or order key.")],
    as_json: console.Json = False,
) -> None:
    """Tells who owns a key, since when and by which term."""

    async def work(client: platform.PlatformClient) -> None:
        addresses = await fleet_status.read_operators_addresses(client)
        query = parse.urlencode({"service": service, "key": key})
        found = await fleet_status.query_daemons(addresses, f"/-/owner?{query}")
        answers = [one for one in found.values() if one and one.get("upstream")]
        if not answers:
            raise errors.CommandFailedError(
                f"no daemon knows an owner of {key!r} in {service!r}",
                exit_codes.REFUSED,
            )
        newest = max(int(one["version"]) for one in answers)
        current = [one for one in answers if one["version"] == newest]
        # A daemon that joined later saw the owner later; the first one to
        # have seen it knows best.
        best = min(current, key=lambda one: float(one["since_s"]))
        since = time.strftime(
            "%Y-%m-%d %H:%M:%S", time.gmtime(float(best["since_s"]))
        )
        behind = len(answers) - len(current)
        console.print_result(
            {**best, "daemons_asked": len(found), "daemons_behind": behind},
            as_json,
            f"{key} is in shard {best['shard']} of {service}, owned by"
            f" {best['upstream']} since {since} UTC by term {best['term']},"
            f" version {best['version']}, through {best['gateway']}",
        )

    console.run_with_client(context, work)


def events(
    context: typer.Context,
    daemon: Annotated[str, typer.Option(help="Only of this daemon.")] = "",
    since_s: Annotated[
        float, typer.Option(help="Only of the last so many seconds.")
    ] = 3600.0,
    limit: Annotated[int, typer.Option(help="So many.")] = DEFAULT_EVENT_LIMIT,
    as_json: console.Json = False,
) -> None:
    """Shows the last events of the daemons, the newest last."""

    async def work(client: platform.PlatformClient) -> None:
        addresses = await fleet_status.read_operators_addresses(client)
        if daemon:
            addresses = {daemon: addresses.get(daemon, "")}
        after_s = time.time() - since_s
        found = await fleet_status.query_daemons(
            addresses, f"/-/events?since_s={after_s}"
        )
        lines = [
            {"daemon": name, **line}
            for name, answer in found.items()
            for line in (answer or {}).get("events", [])
        ]
        lines.sort(key=lambda line: float(line["time_s"]))
        lines = lines[-limit:]
        if as_json:
            console.print_json({"events": lines})
            return
        for line in lines:
            typer.echo(_format_event(line))

    console.run_with_client(context, work)


def _format_event(line: dict[str, Any]) -> str:
    told = ("daemon", "time_s", "level", "event", "event_name", "message")
    fields = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in told
    )
    at = time.strftime("%H:%M:%S", time.gmtime(float(line["time_s"])))
    text = line.get("event_name", line.get("message", ""))
    what = f"{line.get('event', '-')} {text}"
    return f"{at} {line['daemon']} {line['level']} {what} {fields}".rstrip()
