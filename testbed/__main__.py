"""`python -m testbed hosts|load|ration|relay JSON`: stand-ins and load as processes, each with its core.

`hosts` starts stand-in hosts and a discovery, prints one JSON line with its port, and serves until its
standard input ends; then it prints how much each host received. `load` sends what its JSON says and prints
one JSON line with the account. `ration` prints a line, and holds a process to a part of its core from then
on. `relay` carries gateways' datagrams.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from dataclasses import asdict
from typing import Any

import uvloop

from testbed import schedule
from testbed.account import Work, tally
from testbed.clients import Load
from testbed.hosts import Discovery, Host
from testbed.ration import ration
from testbed.relay import run_relay


async def run_hosts(told: dict[str, Any]) -> None:
    hosts = [await Host(f"s-{i}", told.get("delay", 0.0)).start() for i in range(told["count"])]
    discovery = await Discovery(hosts).start()
    print(
        json.dumps({"discovery": discovery.port, "hosts": [host.port for host in hosts]}),
        flush=True,
    )
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    print(json.dumps({host.name: len(host.receipts) for host in hosts}), flush=True)


async def run_load(told: dict[str, Any]) -> None:
    works = [Work(**work) for work in told["works"]]
    load = Load(
        (told["host"], told["port"]),
        works,
        told["shares"],
        tenants=told.get("tenants", ["acme"]),
        most=told.get("most", 1000),
        seed=told.get("seed", 1),
        prefix=told.get("prefix", "c"),
    )
    kind, seconds = told["kind"], told["seconds"]
    if kind == "closed":
        await load.closed_loop(told["connections"], seconds)
    elif kind == "open":
        await load.open_loop(schedule.poisson(told["rate"], seconds, told.get("seed", 1)))
    elif kind == "steps":
        await load.open_loop(schedule.steps(*[(rate, length) for rate, length in told["parts"]]))
    else:
        raise ValueError(f"kind: {kind!r} is none of closed, open, steps")
    began = min((record.sent for record in load.records), default=0.0)
    rows = {name: asdict(row) for name, row in tally(load.records, works).items()}
    slots: dict[int, list[float]] = {}  # by tenths of a second since the start: sent, worth in aim
    for record in load.records:
        slot = slots.setdefault(int((record.sent - began) * 10), [0, 0.0])
        slot[0] += 1
        if record.status == 200 and record.took <= works[record.work].aim:
            slot[1] += works[record.work].worth
    firsts = [r.took for r in load.records if r.first_on_connection and r.done]
    print(
        json.dumps(
            {
                "rows": rows,
                "unsent": load.unsent,
                "lag": load.lag,
                "slots": sorted(slots.items()),
                "firsts": firsts,
            }
        )
    )


def main() -> int:
    told = json.loads(sys.argv[2])
    if "core" in told:
        os.sched_setaffinity(0, {told["core"]})
    if sys.argv[1] == "ration":
        print(flush=True)
        ration(told["pid"], told["share"], told["period"], told["seconds"])
        return 0
    uvloop.run({"hosts": run_hosts, "load": run_load, "relay": run_relay}[sys.argv[1]](told))
    return 0


if __name__ == "__main__":
    sys.exit(main())
