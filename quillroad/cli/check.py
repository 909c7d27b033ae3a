"""`quillroad check FILE`: validates a configuration file without starting a gateway."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from quillroad.cli.exit_status import ExitStatus
from quillroad.config import Config, ConfigError, ConsulHosts, StaticHosts
from quillroad.config.file import load_file


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def check(file: Path) -> int:
    """Check FILE: one line, and status 2 where it cannot work."""
    try:
        config = load_file(file)
    except ConfigError as error:
        print(f"quillroad: {error}", file=sys.stderr)
        return ExitStatus.BAD_INPUT
    route_count = len(config.settings.routes)
    print(f"{file}: in order: {route_count} classes, {_describe_hosts(config)}")
    return ExitStatus.OK


def _describe_hosts(config: Config) -> str:
    """Return a short description of the source of hosts, for the output."""
    hosts = config.hosts
    if isinstance(hosts, StaticHosts):
        return f"{len(hosts.hosts)} hosts"
    if isinstance(hosts, ConsulHosts):
        return f"{hosts.service} by {len(hosts.agents)} agents"
    return "no hosts"
