"""Provides the platform client, output and error handling of commands."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import getpass
import json
from typing import Annotated
from typing import Any

import typer

from sardinehill import errors
from sardinehill.adapters import platform
from sardinehill.cli import exit_codes

Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
WaitSeconds = Annotated[
    float,
    typer.Option("--wait-s", help="Seconds to wait until it is in force."),
]

DEFAULT_WAIT_S = 10.0


@dataclasses.dataclass
class RootOptions:
    """The options of the root command.

    Attributes:
      platform_url: the URL of the platform's object API, empty if not given.
      account_key_secret: the secret for hashing account keys, empty if not
        given.
    """

    platform_url: str = ""
    account_key_secret: str = ""


ClientTask = Callable[[platform.PlatformClient], Awaitable[None]]


def root_options(context: typer.Context) -> RootOptions:
    """Returns the options given to the root command."""
    options = context.find_object(RootOptions)
    return options if options is not None else RootOptions()


def run_with_client(context: typer.Context, task: ClientTask) -> None:
    """Runs a task with a platform client; errors end the command.

    Errors are printed, and their kind determines the exit status.
    """
    try:
        asyncio.run(_run(root_options(context), task))
    except errors.CommandFailedError as error:
        exit_with_error(str(error), error.exit_status)
    except errors.SettingsErrors as group:
        lines = [group.message, *(str(error) for error in group.exceptions)]
        exit_with_error("\n".join(lines), exit_codes.REFUSED)
    except errors.StoreUnavailableError as error:
        exit_with_error(
            f"the platform's store does not answer ({error}); a change may"
            " have taken effect: check this before you retry",
            exit_codes.STORE_DOWN,
        )
    except errors.StoreError as error:
        exit_with_error(f"the platform's store: {error}", exit_codes.FAILED)


async def _run(options: RootOptions, task: ClientTask) -> None:
    if not options.platform_url:
        raise errors.CommandFailedError(
            "--platform or SARDINEHILL_PLATFORM must name the platform's"
            " object API, for instance http://10.0.0.10:9000",
            exit_codes.REFUSED,
        )
    client = platform.PlatformClient(options.platform_url)
    try:
        await task(client)
    finally:
        await client.close()


def exit_with_error(message: str, status: int) -> None:
    """Prints a message to standard error and ends the command."""
    typer.echo(message, err=True)
    raise typer.Exit(status)


def print_json(value: Any) -> None:
    """Prints a value as JSON."""
    typer.echo(json.dumps(value, indent=2, default=str))


def print_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Prints a header and rows in aligned columns."""
    cells = [[str(cell) for cell in row] for row in [header, *rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    for row in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        typer.echo("  ".join(padded).rstrip())


def print_result(value: Mapping[str, Any], as_json: bool, text: str) -> None:
    """Prints a result as JSON or as text for a person.

    Args:
      value: the result for JSON.
      as_json: whether to print JSON.
      text: the result for a person.
    """
    if as_json:
        print_json(dict(value))
    else:
        typer.echo(text)


def operator_name() -> str:
    """Returns the current user's name, for the history of changes."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"
