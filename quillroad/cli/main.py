"""The command group: `python -m quillroad [--config FILE] [COMMAND]`."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from quillroad.cli.check import check
from quillroad.cli.demo import demo
from quillroad.cli.exit_status import ExitStatus
from quillroad.cli.fleet import fleet as show_fleet
from quillroad.cli.run import run_file
from quillroad.cli.upgrade import rollback, status, upgrade
from quillroad.cli.zones import zones as show_zones

Command = Callable[..., Any]


def _file_option(option: str, variable: str, help_text: str) -> Callable[[Command], Command]:
    """Return an option for a file path that defaults to the environment variable `variable`."""
    return click.option(option, type=click.Path(path_type=Path), envvar=variable, help=help_text)


@click.group(
    invoke_without_command=True,
    help="A gateway that serves by a configuration file. "
    "Without arguments it is what the platform starts.",
)
@_file_option("--config", "QUILLROAD_CONFIG", "file to run by (TOML)")
@_file_option("--upgrades", "QUILLROAD_UPGRADES", "file that turns upgrades without loss on (TOML)")
@_file_option(
    "--zones", "QUILLROAD_ZONES", "file that holds traffic to other zones to a budget (TOML)"
)
@_file_option(
    "--fleet",
    "QUILLROAD_FLEET",
    "file that turns the view of which gateways are there on (TOML)",
)
@click.pass_context
def commands(
    context: click.Context,
    config: Path | None,
    upgrades: Path | None,
    zones: Path | None,
    fleet: Path | None,
) -> None:
    """Run a gateway if no command is given; otherwise click runs the command."""
    if context.invoked_subcommand is None:
        if config is None:
            raise click.UsageError("--config or a command is needed")
        context.exit(run_file(config, upgrades, zones, fleet))


for command in (check, demo, show_fleet, show_zones, upgrade, rollback, status):
    commands.add_command(command)


def main() -> int:
    """Run the command line; return the exit status.

    The status is 2 for an invalid configuration file or command line.
    """
    try:
        result = commands.main(prog_name="quillroad", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return ExitStatus.BAD_INPUT
    except click.Abort:
        return ExitStatus.INTERRUPTED
    return result if isinstance(result, int) else ExitStatus.OK
