"""One call to the platform's discovery service: a request for the list, and then its watch."""

from __future__ import annotations

import asyncio
import logging
from time import monotonic
from typing import NamedTuple, Protocol

import httptools

from quillroad.config import Address
from quillroad.discovery.freshness import SILENCE_S
from quillroad.discovery.json_stream import BrokenDocumentError
from quillroad.discovery.list_response import ListResponse, connect
from quillroad.discovery.platform_list import MalformedListError, PlatformList

log = logging.getLogger("quillroad.discovery.platform")

SILENT = "no data before the timeout"
# After a timeout, for bytes already in the socket buffer: timers run before sockets are read.
LATE_READ_S = 0.05
CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65536


class CallEnd(NamedTuple):
    """Why a call ended, in one line; `is_silent` if it was given up for want of any byte."""

    reason: str
    is_silent: bool = False


class CallListener(Protocol):
    """Receives what a call reads."""

    def on_document(self, call: ListCall, document: bytes) -> None:
        """Apply a document of the list. Raises `MalformedListError`."""

    def on_sign_of_life(self, call: ListCall) -> None:
        """Record that all changes that discovery sent on this call before now have arrived."""


class ListCall:
    """One call to discovery at `address`, which begins now.

    `patience_s` is the longest wait for the first byte of the response, in seconds. Times are of
    the monotonic clock.
    """

    def __init__(
        self,
        address: Address,
        endpoint_list: PlatformList,
        patience_s: float,
        listener: CallListener,
    ) -> None:
        self.began_at = monotonic()
        self.list_received = False
        self.partly_received = False  # a part of a list, or a malformed one
        self.is_outdated = False  # its last document was older than the list in use
        self.received_bytes = 0
        self._address = address
        self._endpoint_list = endpoint_list
        self._patience_s = patience_s
        self._listener = listener
        self._response = ListResponse()

    @property
    def unread(self) -> bytes:
        """The received bytes that are not part of a complete document."""
        return self._response.unread

    async def run(self) -> CallEnd:
        """Make the call, until its connection ends or it is given up."""
        try:
            await self._watch()
        except TimeoutError as error:
            return CallEnd(str(error) or SILENT, is_silent=True)
        except (
            OSError,
            MalformedListError,
            BrokenDocumentError,
            httptools.HttpParserError,
        ) as error:
            return CallEnd(str(error) or type(error).__name__)
        except Exception:
            # An internal error must not end the watch: the gateway would miss drains without any
            # other sign of a failure.
            log.exception("internal error in the watch of the host list")
            return CallEnd("internal error")
        return CallEnd("the connection or the response ended")

    async def _watch(self) -> None:
        """Request the full list if needed, then watch until the connection ends."""
        if self._endpoint_list.needs_full_list:
            await self._request("/discovery/hosts")
            if self._endpoint_list.needs_full_list:
                raise MalformedListError("the answer to the request for the full list has no list")
        await self._request(f"/discovery/hosts?watch=1&from={self._endpoint_list.generation}")

    async def _request(self, target: str) -> None:
        """Send a request and report each document of the response as it arrives."""
        async with asyncio.timeout(min(CONNECT_TIMEOUT_S, self._patience_s)):
            reader, writer = await connect(self._address)
        try:
            response = self._response = ListResponse()
            host = f"{self._address[0]}:{self._address[1]}"
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            has_begun = False
            while not response.ended:
                data = await self._read(reader, has_begun)
                if not data:
                    break
                has_begun = True
                self._feed(response, data)
            if response.ended:
                for document in response.documents.finish():
                    self._report(document)
        finally:
            writer.close()
            self._response.parser = None

    def _feed(self, response: ListResponse, data: bytes) -> None:
        self.received_bytes += len(data)
        if self.list_received:
            self._listener.on_sign_of_life(self)
        body = response.feed(data)
        for document in response.documents.feed(body):
            self._report(document)
        if body and not self.list_received and not response.unread.strip():
            # An empty line: there are no changes since the generation that was asked for.
            self._listener.on_sign_of_life(self)

    def _report(self, document: bytes) -> None:
        try:
            self._listener.on_document(self, document)
        except MalformedListError:
            self.partly_received = True
            raise
        self.list_received = True
        self._listener.on_sign_of_life(self)

    async def _read(self, reader: asyncio.StreamReader, has_begun: bool) -> bytes:
        """Return some bytes, or none at the end. Raises `TimeoutError` if none arrive in time.

        `has_begun`: bytes of this response have arrived, so the service is at work on it.
        """
        timeout_s = SILENCE_S if has_begun or self.list_received else self._patience_s
        try:
            async with asyncio.timeout(timeout_s):
                return await reader.read(READ_BYTES)
        except TimeoutError:
            async with asyncio.timeout(LATE_READ_S):
                return await reader.read(READ_BYTES)
