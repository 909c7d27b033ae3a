"""The platform's discovery: watches the list of hosts and turns each document into a `ServerList`.

The last list stands whatever happens to the watch: a fleet that runs is not given up because nobody tells of
it. Of a line that broke off or makes no sense no more is taken than which hosts leave; the watch starts again
from the last version understood.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Mapping
from time import monotonic
from typing import Any

import httptools

from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, UpdateKind
from quillroad.config import Address, Config, ConfigError, read_address
from quillroad.discovery.feed import Update
from quillroad.discovery.freshness import SILENCE_S, Currency
from quillroad.discovery.json_stream import BrokenDocument, Documents
from quillroad.discovery.partial_line_recovery import leaving
from quillroad.discovery.poll_schedule import Pacing
from quillroad.discovery.reducer import server_number

log = logging.getLogger("quillroad.discovery.platform")

STATES = {
    "up": EndpointStatus.READY,
    "draining": EndpointStatus.DRAINING,
    "removed": EndpointStatus.REMOVED,
}
SILENT = "silent"
LATE_S = 0.05  # for what lies in the kernel when a time is up: timers run before sockets are read
CONNECT_S = 1.0
LIST_LIMIT = 4 * 1024 * 1024  # bytes of one list


class Malformed(Exception):
    """The watch sent what is no list."""


class _Reader(asyncio.StreamReader):
    """Gives what came before a reset, too: it has been told, and the library's own drops it."""

    def set_exception(self, exc: BaseException) -> None:
        self.feed_eof()


async def _connect(address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    loop = asyncio.get_running_loop()
    reader = _Reader(loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, *address)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


class Discovery:
    """One watch after another."""

    def __init__(self, config: Config, update: Update) -> None:
        assert config.discovery is not None
        self.address, self._update = config.discovery, update
        self._zones = {name: i for i, name in enumerate(config.zones)}
        self._kinds = {name: i for i, name in enumerate(config.kinds)}
        self._generation = 0
        self._held: dict[str, Endpoint] = {}  # the list as it stands
        self._addresses: dict[str, Address] = {}
        self._whole_due = False  # the version held is another discovery's
        self._documents = Documents(LIST_LIMIT)
        self._body = b""  # of an answer, and not looked at yet
        self._status = 0
        self._ended = False
        self._heard = self._unread = (
            False  # of the last call: a list has come; part of one has, or one amiss
        )
        self._parser: httptools.HttpResponseParser | None = None
        self._task: asyncio.Task[None] | None = None
        told = config.settings
        # Where lists are pushed each gateway has an agent of its own, and company with nobody.
        self._shared = told.discovery_is_polled
        self._pacing = Pacing(
            told.gateway_count if self._shared else 1,
            told.gateway_index,
            random.Random(config.seed).random,
            own=not self._shared,
        )
        self._currency = Currency(monotonic(), own=not self._shared)

    def divide(self, number: int, balancers: int) -> None:
        if self._shared:
            self._pacing.divide(number, balancers)

    def begin(self, config: Config) -> None:
        """Serve by the list as this gateway last had it until discovery's first answer."""
        if config.known:
            try:
                self._take(config.known, UpdateKind.CACHED)
            except Malformed as error:
                raise ConfigError(f"known: {error}") from None

    @property
    def position(self) -> tuple[str, int]:
        return (
            ("", 0)
            if self._whole_due
            else (f"{self.address[0]}:{self.address[1]}", self._generation)
        )

    def resume(self, position: int) -> None:
        if position > self._generation and not self._whole_due:
            self._generation = position
            if self._task is not None:
                self.stop()
                self._begin(0.0)  # one gateway's own matter: nobody else asks for this reason

    def start(self) -> None:
        self._begin(self._pacing.start_s(self._currency.left_s(monotonic())))

    def _begin(self, wait_s: float) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run(wait_s))

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def follow(self, config: Config) -> None:
        """Watch another discovery from now on; the list held stands until its first answer.

        The old watch takes no step more, so that nothing left in its buffers can undo what the new one tells.
        Generations of two discoveries cannot be compared: the new one is asked for its whole list. (Changes
        from version 0 on are no substitute: they leave out what was there at version 0.)
        """
        assert config.discovery is not None
        self.address, self._whole_due = config.discovery, True
        self._currency.moved(monotonic())
        if self._task is not None:
            self.stop()
            self.start()

    async def _run(self, wait_s: float) -> None:
        """Watch for ever; a broken, silent or malformed watch is begun again, later each time."""
        pacing, currency = self._pacing, self._currency
        while True:
            await asyncio.sleep(wait_s)
            self._heard, self._unread = False, False
            self._documents, self._body = Documents(LIST_LIMIT), b""
            began = monotonic()
            try:
                await self._watch()
                reason = "ended"
            except (
                OSError,
                TimeoutError,
                Malformed,
                BrokenDocument,
                httptools.HttpParserError,
            ) as error:
                reason = str(error) or (
                    SILENT if isinstance(error, TimeoutError) else type(error).__name__
                )
            except Exception:
                # With no watch a drain would go unheard while all else seems well: no fault may end it.
                log.exception("the watch of hosts failed")
                reason = "a fault of ours"
            # Here, where a watch that was called off for another's never comes.
            rest = self._documents.rest + self._body
            if rest.strip():
                self._unread = True
                self._salvage(rest)
            took_s = monotonic() - began
            if self._heard:
                pacing.succeeded(took_s)
            else:
                currency.failed(began)
            # Silence is most often everybody's at once, and an end one gateway's own.
            ended = self._heard and reason != SILENT
            left_s = currency.left_s(began + took_s)
            wait_s = pacing.wait_s(left_s, self._unread or ended, 0.0 if self._heard else took_s)
            log.warning("watch of hosts lost: %s; again in %.1f s", reason, wait_s)

    async def _watch(self) -> None:
        """One watch until its connection ends."""
        if self._whole_due:
            await self._ask("/discovery/hosts")
            if self._whole_due:
                raise Malformed("no list")
        await self._ask(f"/discovery/hosts?watch=1&from={self._generation}")

    async def _ask(self, target: str) -> None:
        """Take each line of an answer as it comes."""
        async with asyncio.timeout(min(CONNECT_S, self._currency.first_byte_s())):
            reader, writer = await _connect(self.address)
        try:
            self._documents, self._body = Documents(LIST_LIMIT), b""
            self._status, self._ended = 0, False
            self._parser = httptools.HttpResponseParser(self)
            host = f"{self.address[0]}:{self.address[1]}"
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            while not self._ended:
                data = await self._read(reader)
                if not data:
                    break
                if self._heard:
                    self._currency.heard(monotonic())
                self._parser.feed_data(data)
                if self._status not in (0, 200):
                    raise Malformed(f"status {self._status}")
                body, self._body = self._body, b""
                for document in self._documents.feed(body):
                    self._hear(document)
            if self._ended:
                for document in self._documents.finish():
                    self._hear(document)
        finally:
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        """Some bytes; none at the end. Raises `TimeoutError`."""
        try:
            async with asyncio.timeout(SILENCE_S if self._heard else self._currency.first_byte_s()):
                return await reader.read(65536)
        except TimeoutError:
            async with asyncio.timeout(LATE_S):
                return await reader.read(65536)

    # Callbacks of the parser.

    def on_headers_complete(self) -> None:
        if self._parser is not None:
            self._status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._ended = True

    def _hear(self, document: bytes) -> None:
        """One list has come whole."""
        try:
            self._take_document(document)
        except Malformed:
            self._unread = True
            self._salvage(document)
            raise
        self._heard = True
        self._currency.heard(monotonic())

    def _take_document(self, document: bytes) -> None:
        try:
            data = json.loads(document)
        except ValueError:
            raise Malformed(f"not JSON: {document[:60]!r}") from None
        if not isinstance(data, dict):
            raise Malformed(f"no object: {document[:60]!r}")
        whole = data.get("reset") or self._whole_due
        self._take(data, UpdateKind.FULL if whole else UpdateKind.INCREMENTAL)
        self._whole_due = False

    def _take(self, data: Mapping[str, Any], kind: UpdateKind) -> None:
        generation, entries = data.get("generation"), data.get("instances")
        if type(generation) is not int or not isinstance(entries, list):
            raise Malformed("generation or instances missing")
        servers: list[Endpoint] = []
        names: dict[int, str] = {}
        addresses: dict[int, Address] = {}
        for entry in entries:
            server, name, address = self._entry(entry)
            servers.append(server)
            names[server.id] = name
            if address is not None:
                addresses[server.id] = address
        self._generation = generation
        if kind is not UpdateKind.INCREMENTAL:
            self._held, self._addresses = {}, {}
        for server in servers:
            name = names[server.id]
            if server.status is EndpointStatus.REMOVED:
                self._held.pop(name, None)
                self._addresses.pop(name, None)
            else:
                self._held[name], self._addresses[name] = server, addresses[server.id]
        shown = ", ".join(f"{names[s.id]} ({s.id}) {s.status.name.lower()}" for s in servers)
        log.info("list %d (%s): %s", generation, kind.name.lower(), shown[:2000] or "nothing")
        self._update(EndpointUpdate(kind, tuple(servers), generation), names, addresses)

    def _salvage(self, line: bytes) -> None:
        """Stop sending to the hosts that a broken line says are leaving. They count as draining, so that a
        later whole line can say otherwise; where the list stands is not moved on."""
        servers = [
            self._held[name]._replace(status=EndpointStatus.DRAINING)
            for name in leaving(line)
            if name in self._held and self._held[name].status is EndpointStatus.READY
        ]
        if not servers:
            return
        names = {server_number(name): name for name in self._held}
        log.warning("of a broken line: %s draining", ", ".join(names[s.id] for s in servers)[:2000])
        self._held.update({names[s.id]: s for s in servers})
        told = {s.id: names[s.id] for s in servers}
        self._update(
            EndpointUpdate(UpdateKind.INCREMENTAL, tuple(servers), self._generation),
            told,
            {number: self._addresses[name] for number, name in told.items()},
        )

    def _entry(self, entry: Any) -> tuple[Endpoint, str, Address | None]:
        try:
            name, state = str(entry["instanceId"]), STATES[entry["lifecycle"]]
            address = (
                None
                if state is EndpointStatus.REMOVED
                else read_address(entry.get("hostPort"), "hostPort")
            )
            server = Endpoint(
                id=server_number(name),
                status=state,
                zone=self._zones.get(entry.get("zone"), -1),
                cell=int(entry.get("cell") or 0),
                machine_type=self._kinds.get(entry.get("machineType"), -1),
                weight=float(entry.get("weight") or 1.0),
                started_us=int(entry.get("startedAtMs") or 0) * 1000,
            )
        except (KeyError, TypeError, ValueError, AttributeError, ConfigError) as error:
            raise Malformed(f"an entry cannot be read: {error!r}") from None
        return server, name, address
