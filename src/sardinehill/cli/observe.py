"""Implements `sardinehill status`, `owners` and `events`."""

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
    """Shows each daemon's state and the versions it has in force."""

    async def task(client: platform.PlatformClient) -> None:
        addresses = await fleet_status.read_operators_addresses(client)
        statuses = await fleet_status.query_daemons(addresses, "/-/status")
        if as_json:
            console.print_json({"daemons": statuses})
            return
        console.print_table(
            ("daemon", "zone", "ready", "config", "placement", "store"),
            [
                _status_row(name, daemon_status)
                for name, daemon_status in sorted(statuses.items())
            ],
        )

    console.run_with_client(context, task)


def _status_row(
    name: str, daemon_status: fleet_status.Status | None
) -> tuple[Any, ...]:
    if daemon_status is None:
        return (name, "-", "does not answer", "-", "-", "-")
    return (
        name,
        daemon_status.get("availability_zone", ""),
        "yes" if daemon_status.get("ready") else "no",
        fleet_status.version_in_force(daemon_status, "config/fleet"),
        fleet_status.version_in_force(daemon_status, "placement/fleet"),
        "reachable" if daemon_status.get("store_reachable") else "lost",
    )


def owners(
    context: typer.Context,
    service: Annotated[str, typer.Argument(help="The service.")],
    key: Annotated[str, typer.Argument(help="The booking or order key.")],
    as_json: console.Json = False,
) -> None:
    """Shows the owner of a key, since when, and the term of its grant."""

    async def task(client: platform.PlatformClient) -> None:
        addresses = await fleet_status.read_operators_addresses(client)
        query = parse.urlencode({"service": service, "key": key})
        responses = await fleet_status.query_daemons(
            addresses, f"/-/owner?{query}"
        )
        answers = [
            answer
            for answer in responses.values()
            if answer and answer.get("upstream")
        ]
        if not answers:
            raise errors.CommandFailedError(
                f"no daemon knows an owner of {key!r} in {service!r}",
                exit_codes.REFUSED,
            )
        newest = max(int(answer["version"]) for answer in answers)
        current = [answer for answer in answers if answer["version"] == newest]
        # A daemon that joined later learned of the owner later, so the earliest
        # time is the most accurate.
        earliest = min(current, key=lambda answer: float(answer["since_s"]))
        since = time.strftime(
            "%Y-%m-%d %H:%M:%S", time.gmtime(float(earliest["since_s"]))
        )
        behind_count = len(answers) - len(current)
        console.print_result(
            {
                **earliest,
                "daemons_asked": len(responses),
                "daemons_behind": behind_count,
            },
            as_json,
            f"{key} is in shard {earliest['shard']} of {service}, owned by"
            f" {earliest['upstream']} since {since} UTC by term"
            f" {earliest['term']}, version {earliest['version']}, through"
            f" {earliest['gateway']}",
        )

    console.run_with_client(context, task)


def events(
    context: typer.Context,
    daemon: Annotated[
        str, typer.Option(help="Show only this daemon's events.")
    ] = "",
    since_s: Annotated[
        float, typer.Option(help="Show only events of this many past seconds.")
    ] = 3600.0,
    limit: Annotated[
        int, typer.Option(help="The maximum number of events.")
    ] = DEFAULT_EVENT_LIMIT,
    as_json: console.Json = False,
) -> None:
    """Shows the most recent events of the daemons, the newest last."""

    async def task(client: platform.PlatformClient) -> None:
        addresses = await fleet_status.read_operators_addresses(client)
        if daemon:
            addresses = {daemon: addresses.get(daemon, "")}
        cutoff_s = time.time() - since_s
        responses = await fleet_status.query_daemons(
            addresses, f"/-/events?since_s={cutoff_s}"
        )
        lines = [
            {"daemon": name, **line}
            for name, answer in responses.items()
            for line in (answer or {}).get("events", [])
        ]
        lines.sort(key=lambda line: float(line["time_s"]))
        lines = lines[-limit:]
        if as_json:
            console.print_json({"events": lines})
            return
        for line in lines:
            typer.echo(_format_event(line))

    console.run_with_client(context, task)


def _format_event(line: dict[str, Any]) -> str:
    shown = ("daemon", "time_s", "level", "event", "event_name", "message")
    fields = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in shown
    )
    clock = time.strftime("%H:%M:%S", time.gmtime(float(line["time_s"])))
    text = line.get("event_name", line.get("message", ""))
    event = f"{line.get('event', '-')} {text}"
    return f"{clock} {line['daemon']} {line['level']} {event} {fields}".rstrip()
