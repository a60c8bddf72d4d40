"""Defines the root command and adds the other commands to it."""

import pathlib
from typing import Annotated

import typer

from sardinehill import errors
from sardinehill import settings
from sardinehill.cli import accounts
from sardinehill.cli import config
from sardinehill.cli import console
from sardinehill.cli import exit_codes
from sardinehill.cli import observe
from sardinehill.cli import placement
from sardinehill.core import fleet

application = typer.Typer(no_args_is_help=True, add_completion=False)
application.add_typer(config.config_commands, name="config")
application.add_typer(placement.zone_commands, name="zone")
application.add_typer(placement.host_commands, name="host")
application.add_typer(accounts.account_commands, name="account")
application.add_typer(accounts.key_commands, name="key")
application.command()(observe.status)
application.command()(observe.owners)
application.command()(observe.events)


@application.callback()
def root(
    context: typer.Context,
    platform: Annotated[
        str,
        typer.Option(
            envvar="SARDINEHILL_PLATFORM", help="The platform's object API."
        ),
    ] = "",
    account_key_secret: Annotated[
        str,
        typer.Option(
            envvar="SARDINEHILL_ACCOUNT_KEY_SECRET",
            help="The hosts' account_key_secret; needed to issue keys.",
            show_default=False,
            hidden=True,
        ),
    ] = "",
) -> None:
    """A router for servers that own keys exclusively."""
    context.obj = console.RootOptions(platform, account_key_secret)


@application.command()
def daemon(settings_file: pathlib.Path) -> None:
    """Runs a daemon with the settings of a host file."""
    # Importing the daemon is slow, and no other command needs it.
    from sardinehill.daemon import application as daemon_application

    daemon_application.run(_read_host_settings(settings_file))


def _read_host_settings(path: pathlib.Path) -> fleet.HostSettings:
    try:
        text = path.read_text(encoding="utf-8")
        return settings.read_host_settings(text, str(path))
    except (OSError, UnicodeDecodeError) as error:
        message = f"{path}: {error}; the daemon was not started"
    except errors.SettingsErrors as group:
        lines = [group.message, *(str(error) for error in group.exceptions)]
        message = "\n".join(lines)
    typer.echo(message, err=True)
    raise typer.Exit(exit_codes.REFUSED)
