"""Two processes of an upgrade each get an operator's call at once: do both hosts stay out?"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    Deployment,
    Process,
    Record,
    ask_steadily,
    call,
    main,
    trouble,
)

HOSTS = 10
HOST_S = 0.03
CLIENTS = 8  # connections, each with a request at a time
PAUSE_S = 0.02  # of a client between two requests
UPGRADES = 8
OUT_S = 2.5  # for which the hosts stay out by hand, of which the last part is judged
GRACE_S = 0.55  # of the rule on drains, with the 50 ms that sockets get
DEADLINE_S = 1.9
KILL_AFTER_S = DEADLINE_S + 0.7


class Out(NamedTuple):
    """A host out by hand: from the yes until the call that puts it back."""

    host: str
    yes_at: float
    until: float


async def take_out(record: Record, process: Process, host: str) -> Out | None:
    """Call a process to take a host out of service; return from when it is out."""
    status = await call(process.admin, "POST", f"/hosts/{host}/maint")
    record.note(f"operator: maint {host} at {process.name}: {status}")
    return Out(host, time.monotonic(), 0.0) if status == 200 else None


async def put_back(record: Record, process: Process, host: str) -> None:
    """Call a process to put a host back into service."""
    status = await call(process.admin, "POST", f"/hosts/{host}/ready")
    record.note(f"operator: ready {host} at {process.name}: {status}")


async def upgrade(
    deployment: Deployment, old: Process, new: Process, record: Record, number: int
) -> list[Out]:
    """Take two hosts out during the overlap, end the old process, and put both back later.

    With the disruption the two calls go to the two processes at the same time; without it, one goes
    to each after the other was answered.
    """
    names = [deployment.hosts[(2 * number + i) % HOSTS].name for i in range(2)]
    if trouble():
        taken = await asyncio.gather(
            take_out(record, old, names[0]), take_out(record, new, names[1])
        )
    else:
        taken = [await take_out(record, old, names[0]), await take_out(record, new, names[1])]
    old.signal(signal.SIGTERM)
    if not await old.wait(KILL_AFTER_S):
        await old.kill()
    await asyncio.sleep(OUT_S)
    until = time.monotonic()
    for name in names:
        await put_back(record, new, name)
    return [out._replace(until=until) for out in taken if out is not None]


async def case(record: Record, folder: Path, processes: list[Process]) -> list[str]:
    """Play the case; return one line for each host that got requests while out by hand."""
    deployment = Deployment(record, folder, HOSTS, HOST_S)
    await deployment.start()
    serving = await deployment.start_process("process-0", processes)
    stop = asyncio.Event()
    clients = [
        asyncio.create_task(ask_steadily(deployment.port, f"c{number}", PAUSE_S, stop, record))
        for number in range(CLIENTS)
    ]
    outs: list[Out] = []
    for number in range(UPGRADES):
        new = await deployment.start_process(f"process-{number + 1}", processes)
        outs += await upgrade(deployment, serving, new, record, number)
        serving = new
        await asyncio.sleep(0.5)
    stop.set()
    await asyncio.gather(*clients)
    deployment.stop()
    broken = []
    for out in outs:
        late = [
            receipt
            for receipt in deployment.receipts()
            if receipt.host == out.host and out.yes_at + GRACE_S < receipt.at < out.until
        ]
        if late:
            broken.append(
                f"host {out.host} was out by hand from {record.at(out.yes_at):.3f} to "
                f"{record.at(out.until):.3f} and got {len(late)} requests after the grace, the "
                f"first at {record.at(late[0].at):.3f} ({late[0].request})"
            )
    return broken


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().with_name("record.txt")))
