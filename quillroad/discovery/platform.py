"""The platform's discovery service: watches the endpoint list over HTTP.

The last list stays in use whatever happens to the watch (static stability): a fleet that runs is
not given up because nobody tells of it. A watch that broke, fell silent or made no sense is begun
again from the last generation understood.
"""

from __future__ import annotations

import asyncio
import logging
import random
from time import monotonic

import httptools

from quillroad.balancing.events import UpdateKind
from quillroad.config import Address, Config, ConfigError
from quillroad.discovery.feed import Update
from quillroad.discovery.freshness import SILENCE_S, EndpointFreshness
from quillroad.discovery.json_stream import BrokenDocumentError, JsonDocumentStream
from quillroad.discovery.platform_list import ListChange, MalformedListError, PlatformList
from quillroad.discovery.poll_schedule import PollSchedule

log = logging.getLogger("quillroad.discovery.platform")

SILENT = "silent"
# After a timeout, for bytes that already lie in the kernel: timers run before sockets are read.
LATE_READ_S = 0.05
CONNECT_TIMEOUT_S = 1.0
LIST_LIMIT_BYTES = 4 * 1024 * 1024  # of one document: a list of 10,000 hosts has about 2 MB
READ_BYTES = 65536
SHOWN_CHARACTERS = 2000  # of a list, in the log


class _Reader(asyncio.StreamReader):
    """Gives what came before a reset, too.

    It counts as notified, and the library's reader drops it.
    """

    def set_exception(self, exc: BaseException) -> None:
        """Take the loss of the connection for the end of what came."""
        self.feed_eof()


async def _connect(address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    loop = asyncio.get_running_loop()
    reader = _Reader(loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, *address)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


class _Answer:
    """One answer as the HTTP parser reports it."""

    def __init__(self) -> None:
        self.status = 0  # 0: the head has not come yet
        self.ended = False
        self.body = b""  # that was not cut into documents yet
        self.documents = JsonDocumentStream(LIST_LIMIT_BYTES)
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> bytes:
        """Parse `data`; returns the bytes of the body in it."""
        self._parser.feed_data(data)
        if self.status not in (0, 200):
            raise MalformedListError(f"status {self.status}")
        body, self.body = self.body, b""
        return body

    @property
    def unread(self) -> bytes:
        """What came and is no whole document."""
        return self.documents.rest + self.body

    # Callbacks of the parser.

    def on_headers_complete(self) -> None:
        """Note the status."""
        self.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Keep the bytes of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Note the end."""
        self.ended = True


class PlatformSource:
    """Watches the endpoint list, one watch after another.

    `update` is called with each change. Raises `ConfigError` from `begin` where the known list of
    the configuration is no list.
    """

    def __init__(self, config: Config, update: Update) -> None:
        assert config.discovery is not None
        self.address = config.discovery
        self._update = update
        self._endpoint_list = PlatformList(config.zones, config.machine_types)
        self._answer = _Answer()
        self._list_received = False  # by the last call
        self._partly_received = (
            False  # by the last call: a part of a list, or one that is malformed
        )
        self._task: asyncio.Task[None] | None = None
        settings = config.settings
        # Where lists are pushed, each gateway has an agent of its own and shares it with nobody.
        self._is_shared = settings.discovery_is_polled
        self._schedule = PollSchedule(
            settings.gateway_count if self._is_shared else 1,
            settings.gateway_index,
            random.Random(config.seed).random,
            has_own_agent=not self._is_shared,
        )
        self._freshness = EndpointFreshness(monotonic(), has_own_agent=not self._is_shared)

    def set_gateway_count(self, gateway_index: int, gateway_count: int) -> None:
        """So many gateways poll this service now, and which of them this is, from 0."""
        if self._is_shared:
            self._schedule.set_gateway_count(gateway_index, gateway_count)

    def load_known_hosts(self, config: Config) -> None:
        """Serve by the list as this gateway last had it until discovery's first answer."""
        if config.known_hosts:
            try:
                self._apply(self._endpoint_list.read(config.known_hosts, UpdateKind.CACHED))
            except MalformedListError as error:
                raise ConfigError(f"known: {error}") from None

    @property
    def position(self) -> tuple[str, int]:
        """The service's address and the newest generation; ("", 0) if it is another service's."""
        if self._endpoint_list.needs_full_list:
            return "", 0
        host, port = self.address
        return f"{host}:{port}", self._endpoint_list.generation

    def resume(self, position: int) -> None:
        """Go on from this generation of the same service, whose list is in use already."""
        if position > self._endpoint_list.generation and not self._endpoint_list.needs_full_list:
            self._endpoint_list.generation = position
            if self._task is not None:
                self.stop()
                self._start_watch(0.0)  # this concerns one gateway alone: no round of polls is due

    def start(self) -> None:
        """Begin to watch, when it is this gateway's part of the round."""
        self._start_watch(self._schedule.start_s(self._freshness.left_s(monotonic())))

    def _start_watch(self, wait_s: float) -> None:
        self._task = asyncio.get_running_loop().create_task(self._watch_forever(wait_s))

    def stop(self) -> None:
        """End the watch; nothing is reported after that."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def switch_to(self, config: Config) -> None:
        """Watch another discovery service; the list stays in use until its first answer.

        The old watch takes no further step, so that nothing left in its buffers can undo what the
        new one tells. Generations of two services cannot be compared, so the new one is asked for
        its whole list. (Changes since generation 0 are no substitute: they leave out what was there
        at generation 0.)
        """
        assert config.discovery is not None
        self.address = config.discovery
        self._endpoint_list.needs_full_list = True
        self._freshness.moved(monotonic())
        if self._task is not None:
            self.stop()
            self.start()

    async def _watch_forever(self, wait_s: float) -> None:
        """One watch after another, each after the wait that the schedule gives."""
        while True:
            await asyncio.sleep(wait_s)
            self._list_received = self._partly_received = False
            self._answer = _Answer()
            began = monotonic()
            reason = await self._watch_until_it_ends()
            # Here, where a watch that was cancelled for another never comes.
            if self._answer.unread.strip():
                self._partly_received = True
                self._recover_drains(self._answer.unread)
            wait_s = self._next_wait_s(began, reason)
            log.warning("watch of hosts lost: %s; again in %.1f s", reason, wait_s)

    async def _watch_until_it_ends(self) -> str:
        """Why it ended, as one plain line."""
        try:
            await self._watch()
        except TimeoutError as error:
            return str(error) or SILENT
        except (
            OSError,
            MalformedListError,
            BrokenDocumentError,
            httptools.HttpParserError,
        ) as error:
            return str(error) or type(error).__name__
        except Exception:
            # Without a watch a drain would go unheard while all else seems well: no fault may end
            # it.
            log.exception("the watch of hosts failed")
            return "a fault of ours"
        return "ended"

    def _next_wait_s(self, began: float, reason: str) -> float:
        took_s = monotonic() - began
        if self._list_received:
            self._schedule.succeeded(took_s)
        else:
            self._freshness.failed(began)
        # Silence mostly concerns all gateways at once, an end mostly this one alone.
        ended_alone = self._list_received and reason != SILENT
        return self._schedule.wait_s(
            self._freshness.left_s(began + took_s),
            self._partly_received or ended_alone,
            0.0 if self._list_received else took_s,
        )

    async def _watch(self) -> None:
        """One watch until its connection ends."""
        if self._endpoint_list.needs_full_list:
            await self._request("/discovery/hosts")
            if self._endpoint_list.needs_full_list:
                raise MalformedListError("no list")
        await self._request(f"/discovery/hosts?watch=1&from={self._endpoint_list.generation}")

    async def _request(self, target: str) -> None:
        """Take over each document of an answer as it comes."""
        async with asyncio.timeout(min(CONNECT_TIMEOUT_S, self._freshness.first_byte_s())):
            reader, writer = await _connect(self.address)
        try:
            answer = self._answer = _Answer()
            host = f"{self.address[0]}:{self.address[1]}"
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            while not answer.ended:
                data = await self._read(reader)
                if not data:
                    break
                if self._list_received:
                    self._freshness.heard(monotonic())
                for document in answer.documents.feed(answer.feed(data)):
                    self._take_document(document)
            if answer.ended:
                for document in answer.documents.finish():
                    self._take_document(document)
        finally:
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        """Some bytes; none at the end. Raises `TimeoutError`."""
        timeout_s = SILENCE_S if self._list_received else self._freshness.first_byte_s()
        try:
            async with asyncio.timeout(timeout_s):
                return await reader.read(READ_BYTES)
        except TimeoutError:
            async with asyncio.timeout(LATE_READ_S):
                return await reader.read(READ_BYTES)

    def _take_document(self, document: bytes) -> None:
        try:
            change = self._endpoint_list.read_document(document)
        except MalformedListError:
            self._partly_received = True
            self._recover_drains(document)
            raise
        self._apply(change)
        self._list_received = True
        self._freshness.heard(monotonic())

    def _apply(self, change: ListChange) -> None:
        update, names, _ = change
        shown = ", ".join(
            f"{names[endpoint.id]} ({endpoint.id}) {endpoint.status.name.lower()}"
            for endpoint in update.endpoints
        )
        log.info(
            "list %d (%s): %s",
            update.version,
            update.kind.name.lower(),
            shown[:SHOWN_CHARACTERS] or "nothing",
        )
        self._update(*change)

    def _recover_drains(self, document: bytes) -> None:
        change = self._endpoint_list.recover_drains(document)
        if change is None:
            return
        shown = ", ".join(change.names[endpoint.id] for endpoint in change.update.endpoints)
        log.warning("of a broken line: %s draining", shown[:SHOWN_CHARACTERS])
        self._update(*change)
