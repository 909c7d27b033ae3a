"""`python -m quillroad [--config FILE] [COMMAND]`."""

from __future__ import annotations

from pathlib import Path

import click

from quillroad.cli.check import check
from quillroad.cli.demo import demo
from quillroad.cli.fleet import fleet as show_fleet
from quillroad.cli.run import run_file
from quillroad.cli.upgrade import rollback, status, upgrade
from quillroad.cli.zones import zones as show_zones


@click.group(invoke_without_command=True)
@click.option(
    "--config",
    type=click.Path(path_type=Path),
    envvar="QUILLROAD_CONFIG",
    help="file to run by (TOML)",
)
@click.option(
    "--upgrades",
    type=click.Path(path_type=Path),
    envvar="QUILLROAD_UPGRADES",
    help="file that turns upgrades without loss on (TOML)",
)
@click.option(
    "--zones",
    type=click.Path(path_type=Path),
    envvar="QUILLROAD_ZONES",
    help="file that holds traffic to other zones to a budget (TOML)",
)
@click.option(
    "--fleet",
    type=click.Path(path_type=Path),
    envvar="QUILLROAD_FLEET",
    help="file that turns the view of which gateways are there on (TOML)",
)
@click.pass_context
def commands(
    context: click.Context,
    config: Path | None,
    upgrades: Path | None,
    zones: Path | None,
    fleet: Path | None,
) -> None:
    """A gateway that serves by a configuration file. Without arguments it is what the platform starts."""
    if context.invoked_subcommand is None:
        if config is None:
            raise click.UsageError("--config or a command is needed")
        context.exit(run_file(config, upgrades, zones, fleet))


commands.add_command(check)
commands.add_command(demo)
commands.add_command(show_fleet)
commands.add_command(show_zones)
for command in (upgrade, rollback, status):
    commands.add_command(command)


def main() -> int:
    """Returns the status to exit with: 2 for a configuration or a command line that cannot work."""
    try:
        result = commands.main(prog_name="quillroad", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return 2
    except click.Abort:
        return 130
    return result if isinstance(result, int) else 0
