"""Implements `sardinehill config`, which manages the fleet's configuration."""

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
    no_args_is_help=True, help="The fleet's configuration."
)

TextFile = Annotated[pathlib.Path, typer.Argument(help="The fleet file.")]
Expect = Annotated[
    int | None,
    typer.Option(
        help="Apply only if this version is in force; by default the one"
        " named by a line `# version N` of the text, else the newest."
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
    stored = await client.get(OBJECT_KIND, OBJECT_NAME)
    if stored is None:
        return 0, "", {}
    return stored.version, str(stored.value.get("text", "")), stored.value


@config_commands.command()
def check(text_file: TextFile, as_json: console.Json = False) -> None:
    """Reports all problems of a text, without contacting the platform."""
    problems: list[dict[str, str]] = []
    lines: list[str] = []
    try:
        settings.read_fleet_config(_read_file(text_file), str(text_file), 0)
    except errors.CommandFailedError as error:
        console.exit_with_error(str(error), error.exit_status)
    except errors.SettingsErrors as group:
        for setting_error in group.exceptions:
            if isinstance(setting_error, errors.SettingError):
                problems.append(dataclasses.asdict(setting_error.problem))
            lines.append(str(setting_error))
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
    """Shows the changes of a text against the one in force."""

    async def task(client: platform.PlatformClient) -> None:
        text = _read_file(text_file)
        version, current, _ = await _read_current(client)
        differences = config_diff.find_changes(current, text)
        changes = [dataclasses.asdict(change) for change in differences]
        console.print_result(
            {"version": version, "changes": changes},
            as_json,
            f"against version {version}:\n"
            f"{config_diff.format_changes(differences)}",
        )

    console.run_with_client(context, task)


@config_commands.command()
def show(
    context: typer.Context,
    version: Annotated[
        int | None, typer.Option(help="A version from the history.")
    ] = None,
    as_json: console.Json = False,
) -> None:
    """Prints the text in force, with its version on the first line."""

    async def task(client: platform.PlatformClient) -> None:
        number, text, value = await _read_current(client)
        if version is not None and version != number:
            older = await client.get(HISTORY_KIND, str(version))
            if older is None:
                raise errors.CommandFailedError(
                    f"version {version} is not in the history; see `config"
                    " history`",
                    exit_codes.REFUSED,
                )
            number, text = version, str(older.value["text"])
            value = older.value
        if number == 0:
            raise errors.CommandFailedError(
                "no configuration has been applied", exit_codes.REFUSED
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

    console.run_with_client(context, task)


@config_commands.command()
def history(context: typer.Context, as_json: console.Json = False) -> None:
    """Lists the versions of the text, the newest first."""

    async def task(client: platform.PlatformClient) -> None:
        number, _, value = await _read_current(client)
        older = await client.list_kind(HISTORY_KIND)
        rows = [_history_row(number, value)] if number else []
        rows += [
            _history_row(int(entry.name), entry.value)
            for entry in older.objects
        ]
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

    console.run_with_client(context, task)


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
    """Applies a text and waits until it is in force on every daemon."""

    async def task(client: platform.PlatformClient) -> None:
        text = _read_file(text_file)
        version = await _write_text(client, text, str(text_file), expect)
        rollout = await fleet_status.wait_for_rollout(
            client, f"{OBJECT_KIND}/{OBJECT_NAME}", version, wait_s
        )
        console.print_result(
            {"version": version, **rollout.as_dict()},
            as_json,
            f"version {version} is accepted and {rollout.summary()}",
        )
        fleet_status.exit_if_incomplete(rollout)

    console.run_with_client(context, task)


async def _write_text(
    client: platform.PlatformClient,
    text: str,
    file_name: str,
    expect: int | None,
) -> int:
    """Writes a text to the store and returns its version.

    Raises:
      errors.CommandFailedError: the text is based on an outdated version.
      errors.SettingsErrors: with every problem of the text.
    """
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
    new_value = {
        "text": text,
        "applied_by": console.operator_name(),
        "applied_at_s": time.time(),
        "nonce": uuid.uuid4().hex,
    }
    try:
        return await platform.put_and_confirm(
            client, OBJECT_KIND, OBJECT_NAME, new_value, version
        )
    except errors.StoreConflictError as error:
        newest, newest_text, _ = await _read_current(client)
        raise _conflict_error(version, newest, current, newest_text) from error


def _base_version(text: str, expect: int | None, newest: int) -> int:
    if expect is not None:
        return expect
    match = _VERSION_LINE.search(text)
    return int(match.group(1)) if match else newest


async def _read_history_text(
    client: platform.PlatformClient, version: int
) -> str | None:
    stored = await client.get(HISTORY_KIND, str(version))
    return None if stored is None else str(stored.value["text"])


def _conflict_error(
    base: int, newest: int, before: str | None, after: str
) -> errors.CommandFailedError:
    changed = "the text it was based on is no longer in the history"
    if before is not None:
        differences = config_diff.find_changes(before, after)
        changed = config_diff.format_changes(differences)
    return errors.CommandFailedError(
        f"version {newest} is in force, and yours is based on version {base};"
        " nothing of yours was applied. Changes made meanwhile:\n"
        f"{changed}\n"
        "Merge these into your text and apply it again.",
        exit_codes.CONFLICT,
    )


async def _save_to_history(
    client: platform.PlatformClient, version: int, value: dict[str, Any]
) -> None:
    """Saves a text to the history before it is replaced."""
    try:
        await client.put(HISTORY_KIND, str(version), value, 0)
    except errors.StoreConflictError:
        # Already saved by an earlier attempt that did not replace the text.
        return
    saved = await client.list_kind(HISTORY_KIND)
    oldest_first = sorted(saved.objects, key=lambda entry: int(entry.name))
    for old in oldest_first[:-MAX_HISTORY_VERSIONS]:
        await client.delete(HISTORY_KIND, old.name, old.version)
