"""What all commands share: the platform, output and failures."""

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
    """What the options of the root command say.

    Attributes:
      platform_url: the platform's object API, empty when not given.
      account_key_secret: the secret of account keys' hashes, or empty.
    """

    platform_url: str = ""
    account_key_secret: str = ""


ClientTask = Callable[[platform.PlatformClient], Awaitable[None]]


def root_options(context: typer.Context) -> RootOptions:
    """Returns the root command's options."""
    found = context.find_object(RootOptions)
    return found if found is not None else RootOptions()


def run_with_client(context: typer.Context, work: ClientTask) -> None:
    """Runs a command's work with a client, and ends with its status."""
    try:
        asyncio.run(_run(root_options(context), work))
    except errors.CommandFailedError as error:
        exit_with_error(str(error), error.exit_status)
    except errors.SettingsErrors as group:
        lines = [group.message, *(str(error) for error in group.exceptions)]
        exit_with_error("\n".join(lines), exit_codes.REFUSED)
    except errors.StoreUnavailableError as error:
        exit_with_error(
            f"the platform's store does not answer ({error}); a change may"
            " have taken effect: look before you repeat it",
            exit_codes.STORE_DOWN,
        )
    except errors.StoreError as error:
        exit_with_error(f"the platform's store: {error}", exit_codes.FAILED)


async def _run(settings: RootOptions, work: ClientTask) -> None:
    if not settings.platform_url:
        raise errors.CommandFailedError(
            "--platform or SARDINEHILL_PLATFORM must name the platform's"
            " object API, for instance http://10.0.0.10:9000",
            exit_codes.REFUSED,
        )
    client = platform.PlatformClient(settings.platform_url)
    try:
        await work(client)
    finally:
        await client.close()


def exit_with_error(message: str, status: int) -> None:
    """Tells why a command failed, and ends it."""
    typer.echo(message, err=True)
    raise typer.Exit(status)


def print_json(value: Any) -> None:
    """Prints a value as JSON."""
    typer.echo(json.dumps(value, indent=2, default=str))


def print_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Prints rows under a header, in columns."""
    cells = [[str(cell) for cell in row] for row in [header, *rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    for row in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        typer.echo("  ".join(padded).rstrip())


def print_result(value: Mapping[str, Any], as_json: bool, text: str) -> None:
    """Prints a result as JSON or as a sentence."""
    if as_json:
        print_json(dict(value))
    else:
        typer.echo(text)


def operator_name() -> str:
    """Returns who runs the command, for the record of changes."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"
