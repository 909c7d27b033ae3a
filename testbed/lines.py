"""Connections of gateways to hosts and discovery, with faults: silence, resets and delays.

Each gateway has a loopback address of its own here, at which every host and discovery listens under
its own port. The connection goes on from that address, so that discovery can tell each gateway
where it reaches the hosts, and hosts know whose request they have got. A cut line stays open and
carries nothing: what was sent waits, as it does in the kernel while a cable is out, and arrives
once the line is whole, unless the line is reset.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Annotated, Any, Literal, NamedTuple

from msgspec import Meta, Struct

READ_BYTES = 65536  # at most of one read
ADDRESS = "127.3.0.{}"  # of a gateway's side of its lines, by its number plus 1
MOST_OPEN = 4000  # ends of lines at once; a line beyond that is reset, which bounds descriptors

Way = Literal["there", "back"]


class LineRule(Struct, forbid_unknown_fields=True):
    """What happens to connections from `gateways` to `targets`; empty: from or to all.

    A target is `discovery` or a host's name. `cut` says in which directions nothing passes;
    `delay_s` (seconds) is added to each piece of data.
    """

    gateways: list[int] = []
    targets: list[str] = []
    cut: list[Way] = []
    reset: bool = False
    delay_s: Annotated[float, Meta(ge=0, le=60)] = 0.0

    def holds(self, gateway: int, target: str) -> bool:
        """Whether this rule is for a connection of this gateway to this target."""
        return (not self.gateways or gateway in self.gateways) and (
            not self.targets or target in self.targets
        )


def address_of(gateway: int) -> str:
    """Where this gateway reaches hosts and discovery, and from where it is connected to them."""
    return ADDRESS.format(gateway + 1)


def gateway_at(host: str) -> int:
    """The number of the gateway whose connections come from this address; -1: none."""
    prefix, _, last = host.rpartition(".")
    return int(last) - 1 if f"{prefix}.{{}}" == ADDRESS else -1


def _abort(writer: asyncio.StreamWriter) -> None:
    if not writer.transport.is_closing():
        writer.transport.abort()


class _Route(NamedTuple):
    """Whose line it is and where it leads: a gateway's number, `discovery` or a host's name."""

    gateway: int
    target: str


class Lines:
    """All connections of so many gateways; `targets` are ports on 127.0.0.1, by name."""

    def __init__(self, gateways: int, targets: dict[str, int]) -> None:
        self._gateways = gateways
        self._targets = targets
        self._rules: list[LineRule] = []
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._open: dict[asyncio.StreamWriter, _Route] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()

    async def start(self) -> Lines:
        """Listen for every gateway and target; raises OSError where a port is taken."""
        for gateway in range(self._gateways):
            for target, port in self._targets.items():
                serve = self._server(gateway, target, port)
                self._servers.append(await asyncio.start_server(serve, address_of(gateway), port))
        return self

    def rule(self, rules: list[LineRule]) -> None:
        """Let these rules hold from now on, the first that fits, and no others."""
        self._rules = rules
        self._changed.set()
        self._changed = asyncio.Event()
        for writer, (gateway, target) in list(self._open.items()):
            if self._rule(gateway, target).reset:
                self._reset(writer)

    @property
    def open(self) -> int:
        """How many ends of connections are open."""
        return len(self._open)

    def close(self) -> None:
        """Close the listeners and all connections."""
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._open):
            _abort(writer)

    def _rule(self, gateway: int, target: str) -> LineRule:
        return next((rule for rule in self._rules if rule.holds(gateway, target)), LineRule())

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        self.counts["reset"] += 1
        # The kernel then says so, in place of an orderly end.
        opened = writer.get_extra_info("socket")
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        _abort(writer)

    def _server(
        self, gateway: int, target: str, port: int
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            """Carry one connection until either end closes it."""
            if self._rule(gateway, target).reset or len(self._open) >= MOST_OPEN:
                self._reset(writer)
                return
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            self._open[writer] = _Route(gateway, target)
            self.counts["opened"] += 1
            onward: asyncio.StreamWriter | None = None
            try:
                back, onward = await asyncio.open_connection(
                    "127.0.0.1", port, local_addr=(address_of(gateway), 0)
                )
                self._open[onward] = _Route(gateway, target)
                await asyncio.gather(
                    self._pump(gateway, target, "there", reader, onward),
                    self._pump(gateway, target, "back", back, writer),
                )
            except (OSError, asyncio.CancelledError):
                pass  # an end was reset, or the testbed ends: so does the other end
            finally:
                self._tasks.discard(task)
                for end in (writer, onward):
                    if end is not None:
                        self._open.pop(end, None)
                        _abort(end)

        return serve

    async def _pump(
        self,
        gateway: int,
        target: str,
        way: Way,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass on data until its end; what a rule holds back waits here and in the kernel."""
        while True:
            data = await reader.read(READ_BYTES)
            while way in (rule := self._rule(gateway, target)).cut:
                await self._changed.wait()
            if rule.delay_s:
                await asyncio.sleep(rule.delay_s)
            if not data:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
            self.counts[f"bytes {way}"] += len(data)
