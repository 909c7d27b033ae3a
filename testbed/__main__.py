"""`python -m testbed PART JSON`: stand-ins and load as processes.

PART is one of hosts, load, flood, ration, relay, soak, flood-soak and drawn-soak.

`hosts` starts stand-in hosts and a discovery, prints one JSON line with their ports, and serves
until its standard input ends; then it prints how many requests each host received. `load` sends
what its JSON says and prints one JSON line with the account. `flood` sends one kind of flood
(`floods.py`) and prints what its clients did. `core` pins the process. `ration`
prints a line, and holds a process to a part of its core from then on. `relay` carries gateways'
datagrams. `soak` runs a gateway between hosts with faults for `seconds`, with draws by `seed`,
prints the account as one JSON line, and ends with 1 where a rule was broken. `flood-soak` makes a
run for each of `seeds` (`flood_soak.py`), prints a JSON line for each, and ends the same way.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import asdict
from http import HTTPStatus
from pathlib import Path
from typing import Any

import uvloop

from testbed import schedule
from testbed.account import Record, RequestClass, count_outcomes
from testbed.clients import Load
from testbed.drawn.soak import play, play_and_shrink
from testbed.flood_soak import flood_soak
from testbed.floods import Flood, FloodKind
from testbed.hosts import Discovery, Host
from testbed.ration import ration
from testbed.relay import run_relay
from testbed.soak import soak

SLOTS_PER_S = 10  # resolution of a load's picture over time


async def run_hosts(options: dict[str, Any]) -> None:
    """Serve as hosts and discovery until standard input ends.

    `options`: `count` hosts, each of which answers after `delay` seconds, with `answer_bytes` to
    requests for a long answer.
    """
    hosts = [
        await Host(f"s-{i}", options.get("delay", 0.0)).start() for i in range(options["count"])
    ]
    for host in hosts:
        host.long_answer_bytes = options.get("answer_bytes", 0)
    discovery = await Discovery(hosts).start()
    print(
        json.dumps({"discovery": discovery.port, "hosts": [host.port for host in hosts]}),
        flush=True,
    )
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    print(json.dumps({host.name: len(host.receipts) for host in hosts}), flush=True)


async def run_load(options: dict[str, Any]) -> None:
    """Send a load and print its account.

    `options`: the gateway's `host` and `port`, `request_classes` (fields of `RequestClass`), their
    `weights` in the mix, and a `kind`: `closed` with `connections` and `seconds`, `open` with
    `rate` and `seconds`, `steps` with `parts` of (rate, seconds). Raises ValueError for any other
    kind.
    """
    request_classes = [
        RequestClass(**request_class) for request_class in options["request_classes"]
    ]
    load = Load(
        (options["host"], options["port"]),
        request_classes,
        options["weights"],
        tenants=options.get("tenants", ["acme"]),
        most=options.get("most", 1000),
        seed=options.get("seed", 1),
        prefix=options.get("prefix", "c"),
    )
    kind, seconds = options["kind"], options["seconds"]
    if kind == "closed":
        await load.closed_loop(options["connections"], seconds)
    elif kind == "open":
        await load.open_loop(schedule.poisson(options["rate"], seconds, options.get("seed", 1)))
    elif kind == "steps":
        await load.open_loop(schedule.steps(*[(rate, length) for rate, length in options["parts"]]))
    else:
        raise ValueError(f"kind: {kind!r} is none of closed, open, steps")
    print(json.dumps(_report(load, request_classes)))


async def run_flood(options: dict[str, Any]) -> None:
    """Flood a gateway and print what the clients did.

    `options`: the gateway's `host` and `port`, the `kind`, `connections` and `seconds`.
    """
    address = (options["host"], options["port"])
    flood = Flood(address, FloodKind(options["kind"]), options["connections"])
    print(json.dumps(asdict(await flood.run(options["seconds"]))))


async def run_soak(options: dict[str, Any]) -> int:
    """Run a soak and print its account; returns the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        result = await soak(Path(folder), options["seconds"], options["seed"])
    print(json.dumps(result.report()))
    return 1 if result.violations or result.outcomes.unanswered else 0


async def run_flood_soak(options: dict[str, Any]) -> int:
    """Run flood soaks, one for each of `seeds`, and print their accounts; returns the status."""
    status = 0
    for seed in options["seeds"]:
        with tempfile.TemporaryDirectory() as folder:
            (result,) = await flood_soak(Path(folder), [seed])
        print(json.dumps(result.report()), flush=True)
        status |= bool(result.violations)
    return status


async def run_drawn_soak(options: dict[str, Any]) -> int:
    """Run drawn deployments, one for each of `seeds`, and print their results; returns the status.

    With `shrink`, runs that break a rule are played again with fewer faults; `logs` names a folder
    for the gateways' logs of these runs.
    """
    status = 0
    for seed in options["seeds"]:
        result = await (play_and_shrink if options.get("shrink") else play)(seed)
        print(json.dumps(result.report()), flush=True)
        status |= not result.holds
        if "logs" in options and not result.holds:
            (Path(options["logs"]) / f"{seed}.log").write_text(result.log)
    return status


def _report(load: Load, request_classes: Sequence[RequestClass]) -> dict[str, Any]:
    """The account of a load as one JSON object; durations in seconds."""
    rows = {
        name: asdict(row) for name, row in count_outcomes(load.records, request_classes).items()
    }
    firsts = [r.took for r in load.records if r.first_on_connection and r.done]
    return {
        "rows": rows,
        "unsent": load.unsent,
        "lag": load.lag,
        "slots": _slots(load.records, request_classes),
        "firsts": firsts,
    }


def _slots(
    records: Sequence[Record], request_classes: Sequence[RequestClass]
) -> list[tuple[int, list[float]]]:
    """By tenths of a second since the first request: requests sent, value of answers in time."""
    began = min((record.sent for record in records), default=0.0)
    slots: dict[int, list[float]] = {}
    for record in records:
        slot = slots.setdefault(int((record.sent - began) * SLOTS_PER_S), [0, 0.0])
        slot[0] += 1
        request_class = request_classes[record.class_index]
        if record.status == HTTPStatus.OK and record.took <= request_class.latency_objective:
            slot[1] += request_class.priority_weight
    return sorted(slots.items())


def main() -> int:
    """Run the part that the first argument names, with options from the JSON in the second."""
    options = json.loads(sys.argv[2])
    if "core" in options:
        os.sched_setaffinity(0, {options["core"]})
    if sys.argv[1] == "ration":
        print(flush=True)
        ration(options["pid"], options["share"], options["period"], options["seconds"])
        return 0
    if sys.argv[1] == "soak":
        return uvloop.run(run_soak(options))
    if sys.argv[1] == "flood-soak":
        return uvloop.run(run_flood_soak(options))
    if sys.argv[1] == "drawn-soak":
        return uvloop.run(run_drawn_soak(options))
    parts = {"hosts": run_hosts, "load": run_load, "flood": run_flood, "relay": run_relay}
    uvloop.run(parts[sys.argv[1]](options))
    return 0


if __name__ == "__main__":
    sys.exit(main())
