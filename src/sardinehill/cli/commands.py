"""The command line's root, to which each noun adds its commands."""

import pathlib

import typer

from sardinehill import settings
from sardinehill.daemon import application as daemon_application

application = typer.Typer(no_args_is_help=True)


@application.callback()
def root() -> None:
    """A router for servers that own keys exclusively."""


@application.command()
def daemon(settings_file: pathlib.Path) -> None:
    """Runs a daemon with the settings of its host."""
    text = settings_file.read_text(encoding="utf-8")
    host_settings = settings.read_host_settings(text, str(settings_file))
    daemon_application.run(host_settings)
