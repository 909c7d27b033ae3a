"""`quillroad upgrade`, `rollback` and `status`: send a command to the gateway's control socket.

The upgrades file has the path of the socket. A command is one line of text. The gateway answers
with lines of text and closes the connection after the last one.
"""

from __future__ import annotations

import socket
import sys
from pathlib import Path

import click

from quillroad.cli.exit_status import ExitStatus
from quillroad.config import ConfigError
from quillroad.upgrade.settings import load_upgrades

ANSWER_TIMEOUT_S = 4200.0
"""Timeout of each receive. It exceeds the longest step of an upgrade that a file can set: one hour,
for `canary.time`."""
RECEIVE_BYTES = 4096
"""Size of one receive: a few lines of the answer."""
DESCRIPTOR_LIMIT = 1 << 20
"""Stands in for the gateway's limit of descriptors and is above that of any process: only the path
of the socket is needed here, so `limits.first_descriptors` must not be rejected."""


def send_command(control: Path, command: str) -> int:
    """Send a command to the socket `control` and print the answer; return the exit status.

    The status is 0 only if there is an answer and its last line does not start with "error".
    """
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(ANSWER_TIMEOUT_S)
        try:
            sock.connect(str(control))
            sock.sendall(f"{command}\n".encode())
            answer = _print_answer(sock)
        except OSError as error:
            print(f"quillroad: no gateway at {control}: {error.strerror or error}", file=sys.stderr)
            return ExitStatus.FAILED
    last_line = answer.rstrip().rpartition("\n")[2]
    if not last_line or last_line.startswith("error"):
        return ExitStatus.FAILED
    return ExitStatus.OK


def _print_answer(sock: socket.socket) -> str:
    """Print the answer while it arrives, until the gateway closes the connection; return it."""
    answer = ""
    while data := sock.recv(RECEIVE_BYTES):
        print(data.decode(), end="", flush=True)
        answer += data.decode()
    return answer


def _send_command_by_file(upgrades: Path, name: str, command: str) -> int:
    """Send a command to the gateway `name`; the file `upgrades` has the path of its socket."""
    try:
        settings = load_upgrades(upgrades, DESCRIPTOR_LIMIT, name)
    except ConfigError as error:
        print(f"quillroad: {error}", file=sys.stderr)
        return ExitStatus.BAD_INPUT
    return send_command(settings.control, command)


_upgrades_option = click.option(
    "--upgrades",
    type=click.Path(path_type=Path),
    envvar="QUILLROAD_UPGRADES",
    required=True,
    help="the file that the gateway was started with",
)

_name_option = click.option(
    "--name", default="", help="of the gateway, where `control` in that file has {name}"
)


@click.command()
@_upgrades_option
@_name_option
@click.option("--check", is_flag=True, help="only start it, let it prove itself, and end it again")
def upgrade(upgrades: Path, name: str, check: bool) -> int:
    """Start the build that is on the disk now and let it take over; wait until it holds."""
    return _send_command_by_file(upgrades, name, "check" if check else "upgrade")


@click.command()
@_upgrades_option
@_name_option
def rollback(upgrades: Path, name: str) -> int:
    """Give up an upgrade on its way, or go back while the process before stands by."""
    return _send_command_by_file(upgrades, name, "rollback")


@click.command()
@_upgrades_option
@_name_option
def status(upgrades: Path, name: str) -> int:
    """Who serves, who stands by, and what became of the last upgrade."""
    return _send_command_by_file(upgrades, name, "status")
