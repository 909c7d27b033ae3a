"""Upgrade by a second process while clients send bodies slowly: is each request answered?"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import sys
import time
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    LOOPBACK,
    Deployment,
    Process,
    Record,
    main,
    post_request,
    read_answer,
    trouble,
)

HOSTS = 9
HOST_S = 0.5  # a host's time to an answer, well within the wanted 750 ms
BODY_BYTES = 120_000
PIECE_S = 0.05
PIECE_BYTES = 3_200  # a piece: 64 kB a second, as the pages allow, so a body takes 1.9 s
START_INTERVAL_S = 0.05  # between two clients
QUIET_S = 2.5  # of clients before the upgrade
AFTER_S = 3.0  # of clients after it
DEADLINE_S = 1.9  # the longest deadline of the settings
KILL_AFTER_S = DEADLINE_S + 0.7  # from SIGTERM to SIGKILL: the shortest that the pages allow
IN_TRANSIT_S = 0.1  # a request that ended later than this before the close may have crossed it


class Sent(NamedTuple):
    """What a client saw: when its last byte was written (0: never), its status, and when."""

    request: str
    sent_at: float
    status: int
    answered_at: float


async def upload(port: int, request: str, record: Record) -> Sent:
    """Send one seat-checkout at 64 kB a second on a new connection, and read its answer."""
    sent_at = 0.0
    try:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
    except OSError:
        record.note(f"client {request} could not connect")
        return Sent(request, 0.0, 0, time.monotonic())
    with contextlib.suppress(ConnectionError):
        head, body = post_request(request, BODY_BYTES)
        began_at = time.monotonic()
        writer.write(head)
        for number in itertools.count():
            piece = body[number * PIECE_BYTES : (number + 1) * PIECE_BYTES]
            if not piece:
                break
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(max(0.0, began_at + (number + 1) * PIECE_S - time.monotonic()))
        sent_at = time.monotonic() - PIECE_S
    answer = await read_answer(reader)
    writer.close()
    sent = Sent(request, sent_at, answer.status, answer.at)
    shown = f"last byte at {record.at(sent_at):.3f}" if sent_at else "not sent whole"
    record.note(f"client {request}: {shown}, answer {answer.status or 'none: connection ended'}")
    return sent


async def upgrade(
    deployment: Deployment, first: Process, record: Record, processes: list[Process]
) -> None:
    """Start a second process beside the first, and end that one at the yes."""
    await deployment.start_process("second", processes)
    first.signal(signal.SIGTERM)
    told_at = time.monotonic()
    if not await first.wait(KILL_AFTER_S):
        await first.kill()
    record.note(f"the first process ended {time.monotonic() - told_at:.2f} s after SIGTERM")


async def case(record: Record, folder: Path, processes: list[Process]) -> list[str]:
    """Play the case; return the requests that got no answer."""
    deployment = Deployment(record, folder, HOSTS, HOST_S)
    await deployment.start()
    first = await deployment.start_process("first", processes)
    clients: list[asyncio.Task[Sent]] = []
    stop = asyncio.Event()

    async def load() -> None:
        while not stop.is_set():
            request = f"r{len(clients)}"
            clients.append(asyncio.create_task(upload(deployment.port, request, record)))
            await asyncio.sleep(START_INTERVAL_S)

    loading = asyncio.create_task(load())
    await asyncio.sleep(QUIET_S)
    if trouble():
        await upgrade(deployment, first, record, processes)
    await asyncio.sleep(AFTER_S)
    stop.set()
    await loading
    sent = await asyncio.gather(*clients)
    lost = [
        one
        for one in sent
        if one.sent_at and not one.status and one.answered_at - one.sent_at > IN_TRANSIT_S
    ]
    served = sum(one.status == 200 for one in sent)
    record.note(f"{len(sent)} requests, {served} served, {len(lost)} lost")
    deployment.stop()
    return [
        f"{one.request}: last byte sent at {record.at(one.sent_at):.3f}, connection ended with no "
        f"answer at {record.at(one.answered_at):.3f}"
        for one in lost
    ]


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().with_name("record.txt")))
