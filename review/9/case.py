"""Both Consul agents stop responding after one of them reported a drain: does the drain hold?"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    ENDS,
    LOOPBACK,
    CannotRunError,
    Host,
    Process,
    Record,
    free_port,
    get_request,
    main,
    read_answer,
    read_head,
    trouble,
    until_yes,
)

HOSTS = 9
HOST_S = 0.03
CLIENTS = 6
PAUSE_S = 0.02  # of a client between two requests
SERVICE = "licence-node"
HANG_BEFORE_DRAIN_S = 0.3
DRAIN_BEFORE_DEATH_S = 1.0
WATCHED_S = 4.0  # after the death of the second agent
GRACE_S = 0.55  # of the rule on drains, with the 50 ms that sockets get
DRAINED = "s-3"
# `run` of the deploy file with QUILLROAD_CONFIG reads the same file by the same function, but needs
# the package click for it, which the build of the deploy file does not install.
COMMAND = """exec .venv/bin/python -P -c '
import sys
from functools import partial
from pathlib import Path
from quillroad.config.file import load_file
from quillroad.start import start
load = partial(load_file, Path(sys.argv[1]))
sys.exit(start(load, load))' """


class Catalogue:
    """What Consul's servers hold: the instances, and the index of the last change."""

    def __init__(self, hosts: list[Host]) -> None:
        self.index = 10
        self.in_maintenance: set[str] = set()
        self._hosts = hosts
        self._changed = asyncio.Event()

    def maintain(self, name: str) -> None:
        """Put an instance into maintenance mode."""
        self.in_maintenance.add(name)
        self.index += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def past(self, index: int, wait_s: float) -> None:
        """Wait until the index is another one, for `wait_s` at most."""
        if index == self.index:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()

    def entries(self) -> list[dict[str, Any]]:
        """Return the answer of the health API."""
        return [self._entry(host) for host in self._hosts]

    def _entry(self, host: Host) -> dict[str, Any]:
        checks = [{"CheckID": "serfHealth", "Status": "passing"}]
        if host.name in self.in_maintenance:
            checks.append({"CheckID": f"_service_maintenance:{host.name}", "Status": "critical"})
        return {
            "Node": {"Node": f"node-{host.name}", "Address": LOOPBACK},
            "Service": {"ID": host.name, "Address": LOOPBACK, "Port": host.port, "Meta": {}},
            "Checks": checks,
        }


class Agent:
    """An agent: answers blocking queries of the health API, until it hangs or dies."""

    def __init__(self, name: str, catalogue: Catalogue, record: Record) -> None:
        self.name = name
        self.port = 0
        self.hangs = False
        self.maintenance_reported_at = 0.0
        self._catalogue = catalogue
        self._record = record
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(*ENDS):
            head = await read_head(reader)
            query = parse_qs(urlsplit(head.line.split()[1]).query, keep_blank_values=True)
            wait_s = float(query.get("wait", ["0ms"])[0].removesuffix("ms")) / 1000
            await self._catalogue.past(int(query.get("index", ["0"])[0]), wait_s)
            if self.hangs:
                await asyncio.Event().wait()
            body = json.dumps(self._catalogue.entries()).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b"X-Consul-KnownLeader: true\r\nX-Consul-LastContact: 0\r\n"
                b"X-Consul-Index: %d\r\nContent-Length: %d\r\n\r\n%b"
                % (self._catalogue.index, len(body), body)
            )
            await writer.drain()
            out = sorted(self._catalogue.in_maintenance)
            if out and not self.maintenance_reported_at:
                self.maintenance_reported_at = time.monotonic()
            self._record.note(f"agent {self.name} answers: {HOSTS} hosts, in maintenance: {out}")
        self._writers.discard(writer)
        writer.close()

    def hang(self) -> None:
        """Accept and answer nothing from now on, on open connections too."""
        self.hangs = True
        self._record.note(f"agent {self.name} answers nothing any more")

    def die(self) -> None:
        """Reset all connections and refuse new ones, as a process that dies does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record.note(f"agent {self.name} dies")

    def stop(self) -> None:
        """Close the listener."""
        self._server.close()


def configuration(port: int, agents: list[Agent]) -> str:
    """Return the file that people write; its fields are those of deploy/quillroad.toml."""
    addresses = ", ".join(f'"{LOOPBACK}:{agent.port}"' for agent in agents)
    return f"""
[gateway]
listen = "{LOOPBACK}:{port}"
name = "n0"
[limits]
sockets = 1024
[[classes]]
name = "status-check"
repeat = "safe"
deadline = "1.4 s"
aim = "580 ms"
[connections]
connect = "200 ms"
[hosts]
source = "consul"
[hosts.consul]
agents = [{addresses}]
service = "{SERVICE}"
"""


async def client(port: int, name: str, stop: asyncio.Event) -> None:
    """Send one status-check after the other on a kept connection."""
    number = 0
    while not stop.is_set():
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        keep = True
        while keep and not stop.is_set():
            number += 1
            writer.write(get_request(f"{name}-{number}"))
            keep = (await read_answer(reader)).keep
            await asyncio.sleep(PAUSE_S)
        writer.close()


async def case(record: Record, folder: Path, processes: list[Process]) -> list[str]:
    """Play the case; return a line if the draining host got requests after the grace."""
    hosts = [Host(f"s-{number}", record, HOST_S) for number in range(HOSTS)]
    for host in hosts:
        await host.start()
    catalogue = Catalogue(hosts)
    agents = [Agent(name, catalogue, record) for name in ("a", "b")]
    for agent in agents:
        await agent.start()
    port = free_port()
    path = folder / "quillroad.toml"
    path.write_text(configuration(port, agents), encoding="utf-8")
    gateway = Process("gateway", folder, record)
    processes.append(gateway)
    await gateway.start({}, f"{COMMAND}{path}")
    await until_yes(gateway, port, "/up")
    stop = asyncio.Event()
    clients = [asyncio.create_task(client(port, f"c{number}", stop)) for number in range(CLIENTS)]
    await asyncio.sleep(2.0)
    if trouble():
        agents[1].hang()
    await asyncio.sleep(HANG_BEFORE_DRAIN_S)
    record.note(f"{DRAINED} goes into maintenance")
    catalogue.maintain(DRAINED)
    await asyncio.sleep(DRAIN_BEFORE_DEATH_S)
    told_at = agents[0].maintenance_reported_at
    if not told_at:
        raise CannotRunError("the agent did not report the drain")
    if trouble():
        agents[0].die()
    await asyncio.sleep(WATCHED_S)
    stop.set()
    await asyncio.gather(*clients)
    for one in (*hosts, *agents):
        one.stop()
    late = [
        receipt
        for host in hosts
        for receipt in host.receipts
        if host.name == DRAINED and receipt.at > told_at + GRACE_S
    ]
    record.note(f"the drain was told at {record.at(told_at):.3f}")
    if not late:
        return []
    return [
        f"{DRAINED} drains since {record.at(told_at):.3f} and got {len(late)} requests after the "
        f"grace, from {record.at(late[0].at):.3f} to {record.at(late[-1].at):.3f}"
    ]


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().parent))
