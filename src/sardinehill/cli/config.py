"""`sardinehill config`: the fleet's one text."""

import dataclasses
import pathlib
import re
import time
from typing import Annotated
from typing import Any
import uuid

import typer

from sardinehill import errors
from sardinehill import settings
from sardinehill.adapters import platform
from sardinehill.cli import config_diff
from sardinehill.cli import console
from sardinehill.cli import exit_codes
from sardinehill.cli import fleet_status

OBJECT_KIND = "config"
OBJECT_NAME = "fleet"
HISTORY_KIND = "config-history"
MAX_HISTORY_VERSIONS = 50

_VERSION_LINE = re.compile(r"#\s*version\s+(\d+)\s*$", re.MULTILINE)

config_commands = typer.Typer(
    no_args_is_help=True, help="The fleet's one text."
)

TextFile = Annotated[pathlib.Path, typer.Argument(help="The fleet's text.")]
Expect = Annotated[
    int | None,
    typer.Option(
        help="Apply only when this version is in force; by default the one"
        " that a line `# version N` of the text names, else the newest."
    ),
]


def _read_file(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.CommandFailedError(
            f"{path}: {error}; nothing was applied", exit_codes.REFUSED
        ) from error


async def _read_current(
    client: platform.PlatformClient,
) -> tuple[int, str, dict[str, Any]]:
    found = await client.get(OBJECT_KIND, OBJECT_NAME)
    if found is None:
        return 0, "", {}
    return found.version, str(found.value.get("text", "")), found.value


@config_commands.command()
def check(text_file: TextFile, as_json: console.Json = False) -> None:
    """Reports every mistake of a text; asks nobody and changes nothing."""
    problems: list[dict[str, str]] = []
    lines: list[str] = []
    try:
        settings.read_fleet_config(_read_file(text_file), str(text_file), 0)
    except errors.CommandFailedError as error:
        console.exit_with_error(str(error), error.exit_status)
    except errors.SettingsErrors as group:
        for one in group.exceptions:
            if isinstance(one, errors.SettingError):
                problems.append(dataclasses.asdict(one.problem))
            lines.append(str(one))
    if as_json:
        console.print_json({"valid": not lines, "problems": problems})
    elif not lines:
        typer.echo(f"{text_file}: valid")
    if lines and not as_json:
        console.exit_with_error("\n".join(lines), exit_codes.REFUSED)
    if lines:
        raise typer.Exit(exit_codes.REFUSED)


@config_commands.command()
def diff(
    context: typer.Context, text_file: TextFile, as_json: console.Json = False
) -> None:
    """Shows what a text would change about the one in force."""

    async def work(client: platform.PlatformClient) -> None:
        text = _read_file(text_file)
        version, current, _ = await _read_current(client)
        found = config_diff.find_changes(current, text)
        changes = [dataclasses.asdict(change) for change in found]
        console.print_result(
            {"version": version, "changes": changes},
            as_json,
            f"against version {version}:\n{config_diff.format_changes(found)}",
        )

    console.run_with_client(context, work)


@config_commands.command()
def show(
    context: typer.Context,
    version: Annotated[
        int | None, typer.Option(help="An older version of the history.")
    ] = None,
    as_json: console.Json = False,
) -> None:
    """Prints the text in force, under a line that names its version."""

    async def work(client: platform.PlatformClient) -> None:
        number, text, value = await _read_current(client)
        if version is not None and version != number:
            found = await client.get(HISTORY_KIND, str(version))
            if found is None:
                raise errors.CommandFailedError(
                    f"version {version} is not in the history; see `config"
                    " history`",
                    exit_codes.REFUSED,
                )
            number, text = version, str(found.value["text"])
            value = found.value
        if number == 0:
            raise errors.CommandFailedError(
                "no configuration was ever applied", exit_codes.REFUSED
            )
        body = _VERSION_LINE.sub("", text).lstrip("\n")
        console.print_result(
            {
                "version": number,
                "applied_by": value.get("applied_by", ""),
                "applied_at_s": value.get("applied_at_s", 0),
                "text": text,
            },
            as_json,
            f"# version {number}\n{body}",
        )

    console.run_with_client(context, work)


@config_commands.command()
def history(context: typer.Context, as_json: console.Json = False) -> None:
    """Lists the texts that were in force, the newest first."""

    async def work(client: platform.PlatformClient) -> None:
        number, _, value = await _read_current(client)
        older = await client.list_kind(HISTORY_KIND)
        rows = [_history_row(number, value)] if number else []
        rows += [_history_row(int(o.name), o.value) for o in older.objects]
        rows.sort(key=lambda row: -int(row["version"]))
        if as_json:
            console.print_json({"versions": rows})
            return
        console.print_table(
            ("version", "applied at", "by"),
            [
                (row["version"], row["applied_at"], row["applied_by"])
                for row in rows
            ],
        )

    console.run_with_client(context, work)


def _history_row(version: int, value: dict[str, Any]) -> dict[str, Any]:
    applied_at_s = float(value.get("applied_at_s", 0.0))
    applied_at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(applied_at_s))
    return {
        "version": version,
        "applied_at_s": applied_at_s,
        "applied_at": applied_at,
        "applied_by": str(value.get("applied_by", "")),
    }


@config_commands.command()
def apply(
    context: typer.Context,
    text_file: TextFile,
    expect: Expect = None,
    wait_s: console.WaitSeconds = console.DEFAULT_WAIT_S,
    as_json: console.Json = False,
) -> None:
    """Puts a text in force, and waits until every daemon has it."""

    async def work(client: platform.PlatformClient) -> None:
        text = _read_file(text_file)
        version = await _write_text(client, text, str(text_file), expect)
        found = await fleet_status.wait_for_rollout(
            client, f"{OBJECT_KIND}/{OBJECT_NAME}", version, wait_s
        )
        console.print_result(
            {"version": version, **found.as_dict()},
            as_json,
            f"version {version} is accepted and {found.summary()}",
        )
        fleet_status.exit_if_incomplete(found)

    console.run_with_client(context, work)


async def _write_text(
    client: platform.PlatformClient,
    text: str,
    file_name: str,
    expect: int | None,
) -> int:
    """Returns the version under which the store accepted a text."""
    new = settings.read_fleet_config(text, file_name, 0)
    version, current, value = await _read_current(client)
    base = _base_version(text, expect, version)
    if base != version:
        raise _conflict_error(
            base, version, await _read_history_text(client, base), current
        )
    if version:
        old = settings.read_fleet_config(current, "the text in force", version)
        settings.raise_if_problems(
            file_name, settings.find_forbidden_changes(old, new, file_name)
        )
        await _save_to_history(client, version, value)
    wanted = {
        "text": text,
        "applied_by": console.operator_name(),
        "applied_at_s": time.time(),
        "nonce": uuid.uuid4().hex,
    }
    try:
        return await platform.put_and_confirm(
            client, OBJECT_KIND, OBJECT_NAME, wanted, version
        )
    except errors.StoreConflictError as error:
        now, after, _ = await _read_current(client)
        raise _conflict_error(version, now, current, after) from error


def _base_version(text: str, expect: int | None, newest: int) -> int:
    if expect is not None:
        return expect
    line = _VERSION_LINE.search(text)
    return int(line.group(1)) if line else newest


async def _read_history_text(
    client: platform.PlatformClient, version: int
) -> str | None:
    found = await client.get(HISTORY_KIND, str(version))
    return None if found is None else str(found.value["text"])


def _conflict_error(
    base: int, now: int, before: str | None, after: str
) -> errors.CommandFailedError:
    changed = "the text it was based on is no longer in the history"
    if before is not None:
        found = config_diff.find_changes(before, after)
        changed = config_diff.format_changes(found)
    return errors.CommandFailedError(
        f"version {now} is in force, and yours is based on version {base};"
        " nothing of yours was applied. What changed meanwhile:\n"
        f"{changed}\n"
        "Take these into your text and apply it again.",
        exit_codes.CONFLICT,
    )


async def _save_to_history(
    client: platform.PlatformClient, version: int, value: dict[str, Any]
) -> None:
    """Keeps a text in the history before another takes its place."""
    try:
        await client.put(HISTORY_KIND, str(version), value, 0)
    except errors.StoreConflictError:
        # An operator who lost the race after this step has kept it already.
        return
    kept = await client.list_kind(HISTORY_KIND)
    oldest_first = sorted(kept.objects, key=lambda one: int(one.name))
    for old in oldest_first[:-MAX_HISTORY_VERSIONS]:
        await client.delete(HISTORY_KIND, old.name, old.version)
