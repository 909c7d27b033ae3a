"""Carries every gateway's datagrams to every other, with faults by a script or a test's command.

Each gateway has an address of its own here for each other one: what it sends there goes on to that
other's own socket, and comes from the address that this other has for it. So nothing passes that
was not let through. Runs as a process (`python -m testbed relay JSON`), which is given the
gateways' addresses, prints where each reaches the others, and then takes one JSON object a line.
Losses and delays come from one seed.
"""

from __future__ import annotations

import asyncio
import json
import socket
import sys
from collections import Counter
from functools import partial
from random import Random
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from testbed.lines import LineRule, Lines

Part = Annotated[float, Meta(ge=0, le=1)]
MOST_DELAYED = 10_000  # datagrams that wait out a delay; those beyond are lost
MOST_DATAGRAM_BYTES = 65536


class Rule(Struct, forbid_unknown_fields=True):
    """What happens to datagrams from `sources` to `targets`; empty: from or to all.

    `loss` and `doubled` are parts from 0 to 1, delays are seconds. With `both` the rule is for the
    other direction, too.
    """

    sources: list[int] = []
    targets: list[int] = []
    both: bool = False
    cut: bool = False
    loss: Part = 0.0
    doubled: Part = 0.0
    delay_s: Annotated[float, Meta(ge=0, le=60)] = 0.0
    jitter_s: Annotated[float, Meta(ge=0, le=60)] = 0.0

    def holds(self, source: int, target: int) -> bool:
        """Whether this rule is for datagrams from this gateway to that one."""

        def between(a: int, b: int) -> bool:
            """Whether the rule names this way, whatever `both` says."""
            return (not self.sources or a in self.sources) and (
                not self.targets or b in self.targets
            )

        return between(source, target) or (self.both and between(target, source))


class Phase(Struct, forbid_unknown_fields=True):
    """From `at_s` seconds of the script on these rules hold, and none of those before."""

    at_s: Annotated[float, Meta(ge=0, le=3600)]
    rules: list[Rule] = []


class Script(Struct, forbid_unknown_fields=True):
    """The faults of one run, as TOML."""

    seed: int = 1
    phases: list[Phase] = []


def read_script(text: str) -> Script:
    """Read a script; raises `msgspec.MsgspecError` where it is not valid."""
    return msgspec.toml.decode(text, type=Script)


class Relay:
    """The relay inside its process; `listens` are the gateways' own addresses, by number."""

    def __init__(self, listens: list[tuple[str, int]], seed: int) -> None:
        self._listens = listens
        self._random = Random(seed)
        self._loop = asyncio.get_running_loop()
        self._rules: list[Rule] = []
        self._waiting = 0
        self.counts: Counter[str] = Counter()
        self.bytes = Counter[int]()  # that each gateway has sent
        size = len(listens)
        self._sockets = {
            (a, b): self._open(a, b) for a in range(size) for b in range(size) if a != b
        }
        self._all = [self._open(a, None) for a in range(size)]  # what comes here goes to all others

    def _open(self, source: int, target: int | None) -> socket.socket:
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setblocking(False)
        opened.bind(("127.0.0.1", 0))
        self._loop.add_reader(opened, partial(self._readable, source, target, opened))
        return opened

    def peers(self, number: int) -> list[str]:
        """Where this gateway reaches and hears each other one; its own entry is its own address."""
        addresses = []
        for other in range(len(self._listens)):
            at = (
                self._listens[number]
                if other == number
                else self._sockets[number, other].getsockname()
            )
            addresses.append(f"{at[0]}:{at[1]}")
        return addresses

    def everyone(self, number: int) -> str:
        """Where this gateway reaches all others with one datagram."""
        host, port = self._all[number].getsockname()
        return f"{host}:{port}"

    def rule(self, rules: list[Rule]) -> None:
        """From now on these hold, the first that fits, and no others."""
        self._rules = rules

    def run(self, script: Script) -> None:
        """Let the script's phases follow each other from now on."""
        self._random.seed(script.seed)
        for phase in script.phases:
            self._loop.call_later(phase.at_s, self.rule, phase.rules)

    def inject(self, source: int, target: int, data: bytes, times: int = 1) -> None:
        """Send a gateway a datagram as if from another, so many times at one moment."""
        for _ in range(times):
            self._pass(source, target, data)

    def _readable(self, source: int, target: int | None, opened: socket.socket) -> None:
        while True:
            try:
                data, sender = opened.recvfrom(MOST_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue  # ICMP's answer to an earlier datagram: no gateway listened there
            if sender != self._listens[source]:
                self.counts["stranger"] += 1
                continue
            self.counts["sent"] += 1
            self.bytes[source] += len(data)
            if target is None:
                self.counts["to all"] += 1
            for to in range(len(self._listens)) if target is None else (target,):
                if to != source:
                    self._carry(source, to, data)

    def _carry(self, source: int, target: int, data: bytes) -> None:
        rule = next((rule for rule in self._rules if rule.holds(source, target)), None)
        if rule is None:
            self._pass(source, target, data)
            return
        for _ in range(1 + (self._random.random() < rule.doubled)):
            if rule.cut or self._random.random() < rule.loss or self._waiting >= MOST_DELAYED:
                self.counts["lost"] += 1
                continue
            late_s = rule.delay_s + rule.jitter_s * self._random.random()
            if late_s:
                self._waiting += 1
                self._loop.call_later(late_s, self._later, source, target, data)
            else:
                self._pass(source, target, data)

    def _later(self, source: int, target: int, data: bytes) -> None:
        self._waiting -= 1
        self._pass(source, target, data)

    def _pass(self, source: int, target: int, data: bytes) -> None:
        try:
            self._sockets[target, source].sendto(data, self._listens[target])
            self.counts["passed"] += 1
        except OSError:
            self.counts["refused"] += 1

    def close(self) -> None:
        """Close all sockets."""
        for opened in (*self._sockets.values(), *self._all):
            self._loop.remove_reader(opened)
            opened.close()


async def run_relay(options: dict[str, Any]) -> None:
    """Serve until standard input ends; prints one line of counts after each command."""
    relay = Relay([(host, port) for host, port in options["listens"]], options.get("seed", 1))
    lines = await Lines(len(options["listens"]), options.get("lines", {})).start()
    numbers = range(len(options["listens"]))
    print(json.dumps([(relay.peers(n), relay.everyone(n)) for n in numbers]), flush=True)
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        _obey(relay, lines, json.loads(line))
        report = {
            "counts": relay.counts,
            "bytes": relay.bytes,
            "lines": lines.counts,
            "open": lines.open,
        }
        print(json.dumps(report), flush=True)
    relay.close()
    lines.close()


def _obey(relay: Relay, lines: Lines, command: dict[str, Any]) -> None:
    """Carry out one command; an empty one only asks for the counts."""
    if "rules" in command:
        relay.rule(msgspec.convert(command["rules"], list[Rule]))
    elif "lines" in command:
        lines.rule(msgspec.convert(command["lines"], list[LineRule]))
    elif "script" in command:
        relay.run(read_script(command["script"]))
    elif "inject" in command:
        source, target, data = command["inject"]
        relay.inject(source, target, bytes.fromhex(data), command.get("times", 1))


class RelayProcess:
    """The relay, from a test's side.

    `lines` are the ports of discovery and hosts, by name, whose connections go through it, too.
    """

    def __init__(
        self, listens: list[tuple[str, int]], seed: int = 1, lines: dict[str, int] | None = None
    ) -> None:
        """`lines` are the ports of discovery and hosts, by name, whose lines go through here."""
        self._options = {"listens": listens, "seed": seed, "lines": lines or {}}
        self.peers: list[list[str]] = []  # what each gateway is told of the others
        self.everyone: list[str] = []

    async def start(self) -> RelayProcess:
        """Start the process; returns once the addresses are known."""
        from testbed.processes import start_part  # noqa: PLC0415

        self._process = await start_part("relay", json.dumps(self._options))
        assert self._process.stdout is not None
        reached = json.loads(await self._process.stdout.readline())
        self.peers, self.everyone = [list(part) for part in zip(*reached, strict=True)]
        return self

    async def send_command(self, **command: Any) -> dict[str, Any]:
        """Send a command, or an empty one; returns the relay's counts right after it."""
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write(json.dumps(command).encode() + b"\n")
        report: dict[str, Any] = json.loads(await self._process.stdout.readline())
        return report

    async def rule(self, *rules: dict[str, Any]) -> None:
        """Let these rules hold from now on and no others; without any, all passes."""
        await self.send_command(rules=rules)

    async def lines(self, *rules: dict[str, Any]) -> None:
        """The same for connections to hosts and discovery."""
        await self.send_command(lines=rules)

    async def apart(self, *groups: list[int]) -> None:
        """Cut every group of gateways off from every other."""
        await self.rule(
            *(
                {"sources": a, "targets": b, "cut": True, "both": True}
                for i, a in enumerate(groups)
                for b in groups[i + 1 :]
            )
        )

    async def stop(self) -> None:
        """End the process."""
        await self._process.communicate(b"")
