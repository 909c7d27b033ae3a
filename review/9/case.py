"""A long outage of discovery, and a drain that the agent has at its return: does the drain hold?"""

from __future__ import annotations

import asyncio
import json
import secrets
import sys
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    LOOPBACK,
    Discovery,
    Host,
    Process,
    Record,
    ask_steadily,
    free_port,
    main,
    settings,
    trouble,
    until_yes,
)

GATEWAYS = 3
HOSTS = 9
HOST_S = 0.03
CLIENTS = 6  # of each gateway, each with a connection and a request at a time
PAUSE_S = 0.02  # of a client between two requests
START_SPREAD_S = 0.6  # between the starts of two gateways: 1.2 s in all, the site has up to 1.4 s
OUTAGE_S = 40.0
WATCHED_S = 4.0  # after the return
GRACE_S = 0.55  # of the rule on drains, with the 50 ms that sockets get
DRAINED = "s-3"


class Gateway(NamedTuple):
    """A gateway with the agent on its machine."""

    process: Process
    port: int
    agent: Discovery


async def start_gateway(
    number: int, hosts: list[Host], record: Record, folder: Path, processes: list[Process]
) -> Gateway:
    """Start one gateway and its agent; return them once the gateway is ready."""
    agent = Discovery([host.entry() for host in hosts], record)
    await agent.start()
    port = free_port()
    config = {
        "name": f"n{number}",
        "listen": f"{LOOPBACK}:{port}",
        "discovery": f"{LOOPBACK}:{agent.port}",
        "seed": secrets.token_hex(8),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": agent.whole(),
        "settings": settings(balancers=GATEWAYS, my_number=number),
    }
    path = folder / f"config-{number}.json"
    path.write_text(json.dumps(config), encoding="utf-8")
    process = Process(f"gateway-{number}", folder, record)
    processes.append(process)
    await process.start(
        {
            "GW_CONFIG": str(path),
            "GW_LISTEN": str(config["listen"]),
            "GW_DISCOVERY": str(config["discovery"]),
            "GW_NAME": str(config["name"]),
            "TMPDIR": str(folder),
        }
    )
    await until_yes(process, port, "/up")
    return Gateway(process, port, agent)


async def case(record: Record, folder: Path, processes: list[Process]) -> list[str]:
    """Play the case; return a line for each gateway that sent to the draining host too late."""
    hosts = [Host(f"s-{number}", record, HOST_S) for number in range(HOSTS)]
    for host in hosts:
        await host.start()
    gateways = []
    for number in range(GATEWAYS):
        next_start = asyncio.create_task(asyncio.sleep(START_SPREAD_S))
        gateways.append(await start_gateway(number, hosts, record, folder, processes))
        await next_start
    stop = asyncio.Event()
    clients = [
        asyncio.create_task(ask_steadily(gateway.port, f"g{number}-c{i}", PAUSE_S, stop, record))
        for number, gateway in enumerate(gateways)
        for i in range(CLIENTS)
    ]
    await asyncio.sleep(2.0)
    if trouble():
        for gateway in gateways:
            gateway.agent.go_down()
    await asyncio.sleep(OUTAGE_S)
    for gateway in gateways:
        gateway.agent.come_back()
        told_at = gateway.agent.tell(DRAINED, lifecycle="draining")
    await asyncio.sleep(WATCHED_S)
    stop.set()
    await asyncio.gather(*clients)
    for one in (*hosts, *(gateway.agent for gateway in gateways)):
        one.stop()
    late = [
        receipt
        for host in hosts
        for receipt in host.receipts
        if host.name == DRAINED and receipt.at > told_at + GRACE_S
    ]
    broken = []
    for number in range(GATEWAYS):
        own = [receipt for receipt in late if receipt.request.startswith(f"g{number}-")]
        if own:
            broken.append(
                f"gateway {number}: {DRAINED} drains since {record.at(told_at):.3f} and got "
                f"{len(own)} requests after the grace, the last at {record.at(own[-1].at):.3f}"
            )
    return broken


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().with_name("record.txt")))
