"""A stand-in for Consul's agents: the health API with true index semantics, and faults on command.

One `Catalogue` stands for the servers, and any number of agents answer from it: blocking queries return when
the index of the service passes theirs, or after their wait. Faults are an agent's own: silence (accepts and
says nothing), no leader, denied, half a body, an endless body, delays; or the catalogue's: an index that goes
back.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from time import monotonic
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

SERVICE = "licence-node"


def seconds(text: str) -> float:
    """A duration as the API takes it: 200ms, 10s, 5m."""
    for unit, factor in (("ms", 0.001), ("s", 1.0), ("m", 60.0)):
        if text.endswith(unit):
            return float(text.removesuffix(unit)) * factor
    raise ValueError(f"no duration: {text!r}")


@dataclass
class Registered:
    """One instance in the catalogue."""

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
    """What the servers hold. `change` is what an operator or a check does; returns when it was written."""

    def __init__(self) -> None:
        self.index = 10
        self.instances: dict[tuple[str, str], Registered] = {}
        self._changed = asyncio.Event()

    def register(self, one: Registered) -> float:
        self.instances[one.node, one.service_id] = one
        return self._touch()

    def deregister(self, node: str, service_id: str) -> float:
        del self.instances[node, service_id]
        return self._touch()

    def change(self, node: str, service_id: str, **changes: Any) -> float:
        for name, value in changes.items():
            setattr(self.instances[node, service_id], name, value)
        return self._touch()

    def restore(self, index: int = 3) -> float:
        """Servers restored from a snapshot: the index starts again from below."""
        self.index = index
        return self._touch()

    def _touch(self) -> float:
        self.index += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return monotonic()

    async def past(self, index: int, wait_s: float) -> None:
        """Until the index is another than `index`, or for so long."""
        end = monotonic() + wait_s
        while self.index == index and (left := end - monotonic()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                return

    def body(self) -> bytes:
        return json.dumps([one.entry() for one in self.instances.values()]).encode()


class Agent:
    """One agent. `fault` is what it does instead of answering: "" for none, "silent", "no-leader", "denied",
    "busy", "half", "endless", "garbage"; `token` is the one that it wants, where it wants one."""

    def __init__(self, catalogue: Catalogue, token: str = "") -> None:
        self.catalogue, self.token, self.fault = catalogue, token, ""
        self.asked = 0
        self.node = "own"
        self.own: dict[str, float] = {}  # its own services, and their time to live
        self.words: list[str] = []  # the latest that were said of them
        self._ttls: dict[str, asyncio.TimerHandle] = {}
        self.targets: list[str] = []
        self._open: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Agent:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port: int = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.port

    def fail(self, fault: str) -> None:
        """From now on, for queries that are open too: a silent agent says nothing more to anybody."""
        self.fault = fault

    def drop(self) -> None:
        """Break off all that is open, as an agent that dies does."""
        for writer in self._open:
            writer.transport.abort()

    def stop(self) -> None:
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
        """A word about this agent's own services; returns the status
        (api-docs/agent/service, agent/check)."""
        self.words.append(path)
        del self.words[:-100]
        what, _, name = path.removeprefix("/v1/agent/").rpartition("/")
        if what == "service" and name == "register":
            told = json.loads(body)
            one = told["ID"]
            self.own[one] = seconds(told["Check"]["TTL"])
            self.catalogue.register(
                Registered(
                    self.node,
                    one,
                    told["Address"],
                    told["Port"],
                    told["Check"]["Status"],
                    meta=told["Meta"],
                )
            )
        else:
            one = unquote(name).removeprefix("service:" if what == "check/update" else "")
            if one not in self.own:
                return 404
            if what == "service/deregister":
                self.forget(one)
                self.catalogue.deregister(self.node, one)
                return 200
            self.catalogue.change(self.node, one, status=json.loads(body)["Status"])
        if (timer := self._ttls.pop(one, None)) is not None:
            timer.cancel()
        self._ttls[one] = asyncio.get_running_loop().call_later(self.own[one], self._expired, one)
        return 200

    def _expired(self, one: str) -> None:
        self.catalogue.change(self.node, one, status="critical")

    def forget(self, one: str) -> None:
        """Lose a service, as an agent does whose disk was lost."""
        self.own.pop(one, None)
        if (timer := self._ttls.pop(one, None)) is not None:
            timer.cancel()

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
        if self.fault == "silent":
            await asyncio.Event().wait()
        path = urlsplit(head.split()[1]).path
        wrong = {"no-leader": 500, "denied": 403, "busy": 429}.get(self.fault)
        self._write(writer, wrong or self.put(path, body), b"")

    async def _answer(self, head: str, writer: asyncio.StreamWriter) -> None:
        line, *headers = head.strip().split("\r\n")
        target = line.split()[1]
        self.asked += 1
        self.targets.append(target)
        del self.targets[:-100]
        query = parse_qs(urlsplit(target).query, keep_blank_values=True)
        told = {
            name.strip().lower(): value.strip()
            for name, _, value in (h.partition(":") for h in headers)
        }
        if self.token and told.get("x-consul-token") != self.token:
            return self._write(writer, 403, b"Permission denied")
        if index := int(query.get("index", ["0"])[0]):
            await self.catalogue.past(index, seconds(query.get("wait", ["5m"])[0]))
        if self.fault == "silent":
            await asyncio.Event().wait()
        body = self.catalogue.body()
        if self.fault == "no-leader":
            self._write(writer, 500, b"No cluster leader")
        elif self.fault == "denied":
            self._write(writer, 403, b"Permission denied")
        elif self.fault == "busy":
            self._write(writer, 429, b"rate limit reached")
        elif self.fault == "garbage":
            self._write(writer, 200, b"{]")
        elif self.fault == "half":
            self._write(writer, 200, body[: len(body) // 2], len(body))
        elif self.fault == "endless":
            self._write(writer, 200, b"[" + b" " * 1000, 10**9)
            await asyncio.Event().wait()
        else:
            self._write(writer, 200, body)

    def _write(
        self, writer: asyncio.StreamWriter, status: int, body: bytes, length: int | None = None
    ) -> None:
        lines = [
            f"HTTP/1.1 {status} Told",
            "Content-Type: application/json",
            "X-Consul-KnownLeader: true",
            f"X-Consul-Index: {self.catalogue.index}",
            "X-Consul-LastContact: 0",
            f"Content-Length: {len(body) if length is None else length}",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
