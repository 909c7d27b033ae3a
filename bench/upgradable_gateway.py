"""A gateway that can be upgraded, under steady load, for the measurements of upgrades."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections.abc import AsyncIterator, Iterable
from pathlib import Path

from bench.request_classes import MIX, REQUEST_CLASSES
from testbed.account import Record
from testbed.builds import Builds
from testbed.clients import Load
from testbed.environment import Environment
from testbed.schedule import steady

HOSTS = 6
HOST_DELAY_S = 0.02
DESCRIPTORS = 1024
MAX_CONNECTIONS = 400  # of all clients
LOAD_S = 3600.0  # longer than any run: the load ends with the run

UPGRADES_FILE = """
[times]
start = "4 s"
[canary]
time = "{canary}"
silence = "500 ms"
[limits]
memory_mb = 250.0
"""


@contextlib.asynccontextmanager
async def upgradable_gateway(canary: str) -> AsyncIterator[tuple[Environment, Builds]]:
    """An environment whose gateway can be upgraded, and the build on its disk.

    `canary` is how long the process before stands by, as the upgrades file has it ("500 ms").
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        builds = Builds(folder / "build")
        async with Environment(
            folder,
            REQUEST_CLASSES,
            hosts=HOSTS,
            delay=HOST_DELAY_S,
            sockets=DESCRIPTORS,
            upgrades=UPGRADES_FILE.format(canary=canary),
            path=builds.folder,
        ) as environment:
            yield environment, builds


@contextlib.asynccontextmanager
async def steady_load(environment: Environment, rate: float) -> AsyncIterator[Load]:
    """A load of `rate` requests a second, until the end of the block; then it is settled."""
    load = environment.load(weights=MIX, most=MAX_CONNECTIONS)
    sending = asyncio.ensure_future(load.open_loop(steady(rate, LOAD_S)))
    try:
        yield load
    finally:
        sending.cancel()
        await load.settle()


def sent_within(records: Iterable[Record], began: float, ended: float) -> list[Record]:
    """The requests that were sent from `began` to before `ended` (monotonic clock, seconds)."""
    return [record for record in records if began <= record.sent < ended]
