"""A stand-in for Consul's agents: the health API with true index semantics, and faults on command.

One `Catalogue` stands for the servers, and any number of agents answer from it: blocking queries
return when the index of the service passes theirs, or after their wait. Faults are an agent's own
(`Fault`), or the catalogue's: an index that goes back.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus
from time import monotonic
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

SERVICE = "licence-node"
MOST_REMEMBERED = 100  # of the latest requests, for tests to look at
ENDLESS_BYTES = 10**9  # length that an endless body announces


class Fault(StrEnum):
    """What an agent does in place of answering."""

    NONE = ""
    SILENT = "silent"  # accepts, and never answers
    NO_LEADER = "no-leader"
    DENIED = "denied"
    BUSY = "busy"
    HALF = "half"  # ends the connection in the middle of a body
    ENDLESS = "endless"  # a body that goes on beyond all bounds
    GARBAGE = "garbage"  # 200 with a body that is no JSON


class _Refusal(NamedTuple):
    """An error response of the API."""

    status: int
    body: bytes


REFUSALS = {
    Fault.NO_LEADER: _Refusal(500, b"No cluster leader"),
    Fault.DENIED: _Refusal(403, b"Permission denied"),
    Fault.BUSY: _Refusal(429, b"rate limit reached"),
}


def seconds(text: str) -> float:
    """A duration as the API takes it (200ms, 10s, 5m), in seconds; raises ValueError."""
    for unit, factor in (("ms", 0.001), ("s", 1.0), ("m", 60.0)):
        if text.endswith(unit):
            return float(text.removesuffix(unit)) * factor
    raise ValueError(f"no duration: {text!r}")


@dataclass
class Registered:
    """One instance in the catalogue; `status` is that of its own check."""

    node: str
    service_id: str
    host: str
    port: int
    status: str = "passing"
    maintenance: str = ""  # "node" or "service"
    meta: dict[str, str] = field(default_factory=dict)
    weights: tuple[int, int] = (1, 1)
    service_address: bool = True  # else the service has none of its own, and the node's counts

    def entry(self) -> dict[str, Any]:
        """Its entry in an answer of `/v1/health/service/:name`."""
        checks = [
            {"Node": self.node, "CheckID": "serfHealth", "Status": "passing", "ServiceID": ""},
            {
                "Node": self.node,
                "CheckID": f"service:{self.service_id}",
                "Status": self.status,
                "ServiceID": self.service_id,
            },
        ]
        if self.maintenance:
            of_node = self.maintenance == "node"
            name = "_node_maintenance" if of_node else f"_service_maintenance:{self.service_id}"
            checks.append(
                {"Node": self.node, "CheckID": name, "Status": "critical", "ServiceID": ""}
            )
        return {
            "Node": {
                "ID": f"id-{self.node}",
                "Node": self.node,
                "Address": self.host,
                "Datacenter": "dc1",
            },
            "Service": {
                "ID": self.service_id,
                "Service": SERVICE,
                "Tags": ["v1"],
                "Port": self.port,
                "Address": self.host if self.service_address else "",
                "Meta": self.meta,
                "Weights": {"Passing": self.weights[0], "Warning": self.weights[1]},
            },
            "Checks": checks,
        }


class Catalogue:
    """What the servers hold.

    Methods that change it return when that was written (monotonic clock, seconds).
    """

    def __init__(self) -> None:
        self.index = 10
        self.instances: dict[tuple[str, str], Registered] = {}
        self._changed = asyncio.Event()

    def register(self, one: Registered) -> float:
        """Add an instance, or replace the one of the same node and id."""
        self.instances[one.node, one.service_id] = one
        return self._touch()

    def deregister(self, node: str, service_id: str) -> float:
        """Remove an instance; raises KeyError where there is none."""
        del self.instances[node, service_id]
        return self._touch()

    def change(self, node: str, service_id: str, **changes: Any) -> float:
        """Set fields of an instance, as an operator or a check does; raises KeyError."""
        for name, value in changes.items():
            setattr(self.instances[node, service_id], name, value)
        return self._touch()

    def restore(self, index: int = 3) -> float:
        """Servers restored from a snapshot: the index starts again from below."""
        self.index = index
        return self._touch()

    def _touch(self) -> float:
        self.index += 1
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
        return monotonic()

    async def past(self, index: int, wait_s: float) -> None:
        """Wait until the index is another than `index`, at most for `wait_s`."""
        end = monotonic() + wait_s
        while self.index == index and (left := end - monotonic()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                return

    def body(self) -> bytes:
        """The answer to a query of the service, as JSON."""
        return json.dumps([one.entry() for one in self.instances.values()]).encode()


async def _for_ever() -> None:
    """Until the agent stops, which cancels the task."""
    await asyncio.Event().wait()


class Agent:
    """One agent on a free port of 127.0.0.1.

    `fault` is what it does in place of answering; `token` is the one that it wants, empty for none.
    """

    def __init__(self, catalogue: Catalogue, token: str = "") -> None:
        self.catalogue = catalogue
        self.token = token
        self.fault = Fault.NONE
        self.asked = 0
        self.node = "own"
        self.own: dict[str, float] = {}  # its own services, and their time to live
        self.words: list[str] = []  # the latest that were said of them
        self._ttls: dict[str, asyncio.TimerHandle] = {}
        self.targets: list[str] = []
        self._open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Agent:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port: int = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of its API."""
        return "127.0.0.1", self.port

    def fail(self, fault: str) -> None:
        """Let it fail like this from now on, for open queries too; raises ValueError.

        `fault` is a value of `Fault`, empty for none.
        """
        self.fault = Fault(fault)

    def drop(self) -> None:
        """Break off all that is open, as an agent that dies does."""
        for writer in self._open:
            writer.transport.abort()

    def stop(self) -> None:
        """Close the listener and all connections, and forget its own services."""
        self._server.close()
        self.drop()
        for task in self._tasks:
            task.cancel()
        for one in list(self.own):
            self.forget(one)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def put(self, path: str, body: bytes) -> int:
        """Carry out a PUT about this agent's own services; returns the status.

        Source: Consul's api-docs/agent/service and agent/check.
        """
        self.words.append(path)
        del self.words[:-MOST_REMEMBERED]
        what, _, name = path.removeprefix("/v1/agent/").rpartition("/")
        if what == "service" and name == "register":
            registration = json.loads(body)
            service_id = registration["ID"]
            self._register(service_id, registration)
        else:
            service_id = unquote(name).removeprefix("service:" if what == "check/update" else "")
            if service_id not in self.own:
                return HTTPStatus.NOT_FOUND
            if what == "service/deregister":
                self.forget(service_id)
                self.catalogue.deregister(self.node, service_id)
                return HTTPStatus.OK
            self.catalogue.change(self.node, service_id, status=json.loads(body)["Status"])
        self._restart_ttl(service_id)
        return HTTPStatus.OK

    def _register(self, service_id: str, registration: dict[str, Any]) -> None:
        check = registration["Check"]
        self.own[service_id] = seconds(check["TTL"])
        self.catalogue.register(
            Registered(
                self.node,
                service_id,
                registration["Address"],
                registration["Port"],
                check["Status"],
                meta=registration["Meta"],
            )
        )

    def _restart_ttl(self, service_id: str) -> None:
        self._cancel_ttl(service_id)
        loop = asyncio.get_running_loop()
        self._ttls[service_id] = loop.call_later(self.own[service_id], self._expired, service_id)

    def _cancel_ttl(self, service_id: str) -> None:
        if (timer := self._ttls.pop(service_id, None)) is not None:
            timer.cancel()

    def _expired(self, service_id: str) -> None:
        self.catalogue.change(self.node, service_id, status="critical")

    def forget(self, one: str) -> None:
        """Lose a service, as an agent does whose disk was lost."""
        self.own.pop(one, None)
        self._cancel_ttl(one)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            if head.startswith("PUT "):
                size = int(head.lower().partition("content-length:")[2].partition("\r\n")[0])
                await self._put(head, await reader.readexactly(size), writer)
            else:
                await self._answer(head, writer)
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _put(self, head: str, body: bytes, writer: asyncio.StreamWriter) -> None:
        if self.fault is Fault.SILENT:
            await _for_ever()
        path = urlsplit(head.split()[1]).path
        refusal = REFUSALS.get(self.fault)
        self._write(writer, self.put(path, body) if refusal is None else refusal.status, b"")

    async def _answer(self, head: str, writer: asyncio.StreamWriter) -> None:
        line, *headers = head.strip().split("\r\n")
        target = line.split()[1]
        self.asked += 1
        self.targets.append(target)
        del self.targets[:-MOST_REMEMBERED]
        query = parse_qs(urlsplit(target).query, keep_blank_values=True)
        values = {
            name.strip().lower(): value.strip()
            for name, _, value in (header.partition(":") for header in headers)
        }
        if self.token and values.get("x-consul-token") != self.token:
            self._write(writer, *REFUSALS[Fault.DENIED])
            return
        if index := int(query.get("index", ["0"])[0]):
            await self.catalogue.past(index, seconds(query.get("wait", ["5m"])[0]))
        if self.fault is Fault.SILENT:
            await _for_ever()
        await self._write_list(writer)

    async def _write_list(self, writer: asyncio.StreamWriter) -> None:
        """Answer with the list of instances, or as the fault of this moment has it."""
        body = self.catalogue.body()
        if self.fault in REFUSALS:
            self._write(writer, *REFUSALS[self.fault])
        elif self.fault is Fault.GARBAGE:
            self._write(writer, HTTPStatus.OK, b"{]")
        elif self.fault is Fault.HALF:
            self._write(writer, HTTPStatus.OK, body[: len(body) // 2], len(body))
        elif self.fault is Fault.ENDLESS:
            self._write(writer, HTTPStatus.OK, b"[" + b" " * 1000, ENDLESS_BYTES)
            await _for_ever()
        else:
            self._write(writer, HTTPStatus.OK, body)

    def _write(
        self, writer: asyncio.StreamWriter, status: int, body: bytes, length: int | None = None
    ) -> None:
        lines = [
            f"HTTP/1.1 {int(status)} Told",
            "Content-Type: application/json",
            "X-Consul-KnownLeader: true",
            f"X-Consul-Index: {self.catalogue.index}",
            "X-Consul-LastContact: 0",
            f"Content-Length: {len(body) if length is None else length}",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
