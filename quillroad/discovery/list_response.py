"""Connection and HTTP response of one call to the platform's discovery service."""

from __future__ import annotations

import asyncio

import httptools

from quillroad.config import Address
from quillroad.discovery.json_stream import JsonDocumentStream
from quillroad.discovery.platform_list import MalformedListError

LIST_LIMIT_BYTES = 4 * 1024 * 1024  # of one document: a list of 10,000 hosts is about 2 MB


class LossTolerantReader(asyncio.StreamReader):
    """A stream reader that also returns the bytes received before a connection reset.

    Their changes count as notified, but asyncio's reader discards them.
    """

    def set_exception(self, exc: BaseException) -> None:
        """Treat a lost connection as the end of the stream."""
        self.feed_eof()


async def connect(address: Address) -> tuple[LossTolerantReader, asyncio.StreamWriter]:
    """Open a connection to discovery. Raises `OSError`."""
    loop = asyncio.get_running_loop()
    reader = LossTolerantReader(loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, *address)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


class ListResponse:
    """State of one HTTP response, filled in by callbacks of the HTTP parser.

    `parser` refers back to this object: unless it is set to None at the end of the call, both stay
    in memory until the garbage collector runs.
    """

    def __init__(self) -> None:
        self.status = 0  # 0: the head has not arrived yet
        self.ended = False
        self.body = b""  # bytes not yet split into documents
        self.documents = JsonDocumentStream(LIST_LIMIT_BYTES)
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> bytes:
        """Parse `data` and return the body bytes in it.

        Raises `MalformedListError` for any status other than 200.
        """
        assert self.parser is not None
        self.parser.feed_data(data)
        if self.status not in (0, 200):
            raise MalformedListError(f"status {self.status}")
        body, self.body = self.body, b""
        return body

    @property
    def unread(self) -> bytes:
        """The received bytes that are not part of a complete document."""
        return self.documents.rest + self.body

    # Callbacks of the parser.

    def on_headers_complete(self) -> None:
        """Store the status."""
        assert self.parser is not None
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Buffer body bytes."""
        self.body += body

    def on_message_complete(self) -> None:
        """Record that the response is complete."""
        self.ended = True
