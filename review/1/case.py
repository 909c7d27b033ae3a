"""Case 1: clients are served with the answers to other clients' requests."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import (
    Client,
    Discovery,
    Gateway,
    Host,
    Journal,
    answer_body,
    run_case,
    wait_for_yes,
)

HOSTS = 9
CLIENTS = 24
PAUSE_S = 0.02  # between an answer and the client's next request
LOAD_S = 15.0
ANSWER_S = 0.06  # work of 51 to 120 ms, at a speed of 0.77 to 2.1
SECOND_COPY_SHARE = 0.02  # of the answers; the pages say "some"
SEED = 50
STATUS_CHECK_SHARE = 0.56


async def run(folder: Path, journal: Journal, trouble: bool) -> int:
    """Run the case; return its exit status."""
    draw = random.Random(SEED)
    hosts = [Host(f"s-{number}", ANSWER_S) for number in range(HOSTS)]
    for host in hosts:
        host.writes_second_copy = lambda: trouble and draw.random() < SECOND_COPY_SHARE
        await host.start()
    discovery = Discovery(hosts)
    await discovery.start()
    gateway = Gateway(folder, discovery.port, journal)
    try:
        gateway.start()
        await wait_for_yes("GET", "/up", gateway.port)
        clients = [
            Client(
                gateway.port,
                "status-check" if number < STATUS_CHECK_SHARE * CLIENTS else "seat-checkout",
                f"c{number}",
                PAUSE_S,
            )
            for number in range(CLIENTS)
        ]
        until = time.monotonic() + LOAD_S
        await asyncio.gather(*(client.run(until) for client in clients))
    finally:
        gateway.end()
    return judge(journal, hosts, clients)


def judge(journal: Journal, hosts: list[Host], clients: list[Client]) -> int:
    """Write all requests down; return 1 if a client got an answer made for another request."""
    receipts = {one.request_id: one for host in hosts for one in host.receipts}
    for host in hosts:
        for copy in host.second_copies:
            journal.note_line(
                f"{copy.request_id}: {host.name} wrote a second copy of its answer "
                f"{(copy.written - copy.answered) * 1000:.1f} ms after it, "
                f"at {journal.at(copy.written):.3f}"
            )
    sent = [one for client in clients for one in client.sent]
    foreign = 0
    for one in sent:
        journal.note_request(one, receipts.get(one.request_id))
        if one.status == 200 and one.body != answer_body(one.request_id):
            foreign += 1
            journal.note_line(f"{one.request_id}: FOREIGN ANSWER, its body is {one.body!r}")
    copies = sum(len(host.second_copies) for host in hosts)
    journal.note(
        f"{len(sent)} requests, {copies} second copies by hosts, "
        f"{foreign} clients served with the answer to another request"
    )
    return 1 if foreign else 0


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).with_name("record.txt"), run))
