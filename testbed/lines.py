"""Lines of gateways to hosts and discovery, under rules: silent one way or both, reset, late.

Each gateway has a loopback address of its own here, at which every host and discovery listens under its own
port; the line goes on from that address, so that discovery can tell each gateway where it reaches the hosts,
and hosts know whose request they have got. A cut line stays open and says nothing: what was sent waits, as it
does in the kernel while a cable is out, and arrives once the line is whole, unless the line is reset.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct

READ = 65536
ADDRESS = "127.3.0.{}"
MOST_OPEN = 4000  # lines at once: what comes then is reset

Way = Literal["there", "back"]


class LineRule(Struct, forbid_unknown_fields=True):
    """What happens on lines of `gateways` to `targets` ("discovery", or a host's name); empty: of or to all.
    `cut` says on which ways nothing passes; `delay_s` is added to each piece."""

    gateways: list[int] = []
    targets: list[str] = []
    cut: list[Way] = []
    reset: bool = False
    delay_s: Annotated[float, Meta(ge=0, le=60)] = 0.0

    def holds(self, gateway: int, target: str) -> bool:
        return (not self.gateways or gateway in self.gateways) and (
            not self.targets or target in self.targets
        )


def address_of(gateway: int) -> str:
    """Where this gateway finds hosts and discovery, and from where its lines go on to them."""
    return ADDRESS.format(gateway + 1)


def gateway_at(host: str) -> int:
    """The gateway whose lines come from this address, -1: nobody's."""
    prefix, _, last = host.rpartition(".")
    return int(last) - 1 if f"{prefix}.{{}}" == ADDRESS else -1


def _abort(writer: asyncio.StreamWriter) -> None:
    if not writer.transport.is_closing():
        writer.transport.abort()


class Lines:
    """`targets` are the ports of discovery and hosts on 127.0.0.1 by name."""

    def __init__(self, gateways: int, targets: dict[str, int]) -> None:
        self._gateways, self._targets = gateways, targets
        self._rules: list[LineRule] = []
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._open: dict[asyncio.StreamWriter, tuple[int, str]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()

    async def start(self) -> Lines:
        for gateway in range(self._gateways):
            for target, port in self._targets.items():
                serve = self._server(gateway, target, port)
                self._servers.append(await asyncio.start_server(serve, address_of(gateway), port))
        return self

    def rule(self, rules: list[LineRule]) -> None:
        """From now on these hold, the first that fits, and no others."""
        self._rules = rules
        self._changed.set()
        self._changed = asyncio.Event()
        for writer, (gateway, target) in list(self._open.items()):
            if self._rule(gateway, target).reset:
                self._reset(writer)

    @property
    def open(self) -> int:
        """Ends of lines that are open."""
        return len(self._open)

    def close(self) -> None:
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
            if self._rule(gateway, target).reset or len(self._open) >= MOST_OPEN:
                self._reset(writer)
                return
            task = asyncio.current_task()
            assert task is not None
            self._tasks.add(task)
            self._open[writer] = (gateway, target)
            self.counts["opened"] += 1
            on: asyncio.StreamWriter | None = None
            try:
                back, on = await asyncio.open_connection(
                    "127.0.0.1", port, local_addr=(address_of(gateway), 0)
                )
                self._open[on] = (gateway, target)
                await asyncio.gather(
                    self._pump(gateway, target, "there", reader, on),
                    self._pump(gateway, target, "back", back, writer),
                )
            except (OSError, asyncio.CancelledError):
                pass  # an end was reset, or the testbed ends: so does the other end
            finally:
                self._tasks.discard(task)
                for end in (writer, on):
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
        """Pass on what comes until its end, in order; what is held back waits here and in the kernel."""
        while True:
            data = await reader.read(READ)
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
