"""What the state of the old process is worth to the one that takes over in an upgrade.

One host of six hangs, which the old process has learned; counted are the requests that go there in
the first seconds after the switch. The columns:

    told              what the process that serves was given of the old one's state (state
                      snapshot): all, nothing, or "no upgrade": the old one serves on
    requests in 5 s   requests that clients sent in that time
    sent to the host that hangs  attempts that this host received in that time
    p50 / p99 ms      latency of those requests that were answered 200
"""

from __future__ import annotations

import asyncio
import time
from enum import StrEnum
from http import HTTPStatus

from bench.tables import header, percentiles_ms, row
from bench.upgradable_gateway import sent_within, steady_load, upgradable_gateway
from testbed.gateway import GatewayProcess


class Successor(StrEnum):
    """What the process that takes over knows of the hosts; the value is the cell of the table."""

    NO_UPGRADE = "no upgrade"  # there is none: the old one serves on
    HAS_STATE = "all"
    HAS_NO_STATE = "nothing"


CANARY = "500 ms"
LEARN_S = 4.0  # of load with the host that hangs, before the switch
SWITCH_POLL_S = 0.002  # between two looks at whether another process serves
# Added to a build: it takes over no section of the old process's state, and learns all anew.
NO_STATE_BUILD = """
    import quillroad.upgrade.worker_process as w
    w.read = lambda gateway, sections, trial: []
"""


async def compare_successors(count: int, rate: float, seconds: float) -> None:
    """Print a row for each kind of successor, `count` times; `seconds` after each switch count."""
    columns = ("told", f"requests in {seconds:g} s", "sent to the host that hangs", "p50 / p99 ms")
    print(header(*columns))
    for _ in range(count):
        for successor in Successor:
            print(await successor_row(successor, rate, seconds), flush=True)


async def successor_row(successor: Successor, rate: float, seconds: float) -> str:
    """One row: requests of the first `seconds` after a switch, and how many went to a hanging host.

    `rate` is of the load, in requests a second. Without an upgrade the seconds follow the time in
    which the gateway learns that the host hangs.
    """
    async with (
        upgradable_gateway(CANARY) as (environment, builds),
        steady_load(environment, rate) as load,
    ):
        hanging = environment.hosts[0]
        hanging.hangs = True
        await asyncio.sleep(LEARN_S)
        if successor is Successor.HAS_NO_STATE:
            module = builds.folder / "sitecustomize.py"
            module.write_text(module.read_text() + NO_STATE_BUILD)
        async with asyncio.TaskGroup() as tasks:
            if successor is not Successor.NO_UPGRADE:
                tasks.create_task(environment.gateway.send_command("upgrade"))
                await _wait_for_switch(environment.gateway)
            began = time.monotonic()
            await asyncio.sleep(seconds)
    ended = began + seconds
    sent = sent_within(load.records, began, ended)
    to_hanging = sum(began <= receipt.at < ended for receipt in hanging.receipts)
    served_s = [record.took for record in sent if record.status == HTTPStatus.OK]
    return row(successor, len(sent), to_hanging, percentiles_ms(served_s))


async def _wait_for_switch(gateway: GatewayProcess) -> None:
    """Return as soon as the new process serves and the old one stands by."""
    while not any("stands by" in line for line in await gateway.send_command("status")):
        await asyncio.sleep(SWITCH_POLL_S)
