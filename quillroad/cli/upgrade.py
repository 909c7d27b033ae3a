"""`quillroad upgrade`, `rollback` and `status`: say a command to the gateway whose socket a file names."""

from __future__ import annotations

import socket
import sys
from pathlib import Path

import click

from quillroad.config import ConfigError
from quillroad.upgrade.settings import load_upgrades

WAIT_S = (
    4200.0  # for an upgrade to hold or fail: the longest times that a file can tell, and some more
)


def say(control: Path, command: str) -> int:
    """Print what the gateway answers; status 0 only where that is no error."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(WAIT_S)
        try:
            sock.connect(str(control))
            sock.sendall(f"{command}\n".encode())
            text = ""
            while data := sock.recv(4096):
                print(data.decode(), end="", flush=True)
                text += data.decode()
        except OSError as error:
            print(f"quillroad: no gateway at {control}: {error.strerror or error}", file=sys.stderr)
            return 1
    last = text.rstrip().rpartition("\n")[2]
    return 1 if not last or last.startswith("error") else 0


def _say(upgrades: Path, name: str, command: str) -> int:
    try:
        return say(load_upgrades(upgrades, 1 << 20, name).control, command)
    except ConfigError as error:
        print(f"quillroad: {error}", file=sys.stderr)
        return 2


_file = click.option(
    "--upgrades",
    type=click.Path(path_type=Path),
    envvar="QUILLROAD_UPGRADES",
    required=True,
    help="the file that the gateway was started with",
)

_name = click.option(
    "--name", default="", help="of the gateway, where `control` in that file has {name}"
)


@click.command()
@_file
@_name
@click.option("--check", is_flag=True, help="only start it, let it prove itself, and end it again")
def upgrade(upgrades: Path, name: str, check: bool) -> int:
    """Start the build that is on the disk now and let it take over; wait until it holds."""
    return _say(upgrades, name, "check" if check else "upgrade")


@click.command()
@_file
@_name
def rollback(upgrades: Path, name: str) -> int:
    """Give up an upgrade on its way, or go back while the process before stands by."""
    return _say(upgrades, name, "rollback")


@click.command()
@_file
@_name
def status(upgrades: Path, name: str) -> int:
    """Who serves, who stands by, and what became of the last upgrade."""
    return _say(upgrades, name, "status")
