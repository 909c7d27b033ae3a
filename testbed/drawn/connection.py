"""One client connection of a drawn deployment, and what its client saw of each request."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from enum import StrEnum


class Fate(StrEnum):
    """What became of a request, as its client saw it."""

    OPEN = "open"
    ANSWERED = "answered"
    CUT = "answer cut"  # an answer that had begun
    UNANSWERED = "no answer"
    LEFT = "left"  # the client closed the connection before the answer
    REFUSED = "not accepted"
    STOPPED = "stopped"  # the client never sent its last byte
    UNREAD = "not read by the client"
    BEHIND_CUT = "behind an answer that was cut"


@dataclass(slots=True)
class Request:
    """One request, and what its client saw. Times are of the monotonic clock, in seconds."""

    id: str
    class_index: int
    gateway: int
    client_timeout_s: float
    first_on_connection: bool = False
    sent_at: float = 0.0  # its last byte was written
    fate: Fate = Fate.OPEN
    status: int = 0
    done_at: float = 0.0  # its answer was whole, the connection had ended, or the client left
    body: str = ""
    again: bool = False  # its id was sent before
    pipelined: bool = False
    begun: bool = False  # the head of its answer has come
    notes: list[str] = field(default_factory=list)


class Connection:
    """One connection of a client to a gateway."""

    def __init__(self, gateway: int) -> None:
        self.gateway = gateway
        self.requests = 0
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self, address: tuple[str, int]) -> None:
        """Connect; raises OSError."""
        self.reader, self.writer = await asyncio.open_connection(*address)

    def close(self) -> None:
        """Close it."""
        self.writer.transport.abort()

    async def read_answer(self, request: Request) -> bool:
        """Read the answer to a request; returns whether the connection stays open."""
        begun = False
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            begun = request.begun = True
            keep_alive, body = await self._read_body(head)
        except (asyncio.IncompleteReadError, OSError) as error:
            partial = getattr(error, "partial", b"")
            request.fate = Fate.CUT if begun or partial else Fate.UNANSWERED
            request.notes.append(type(error).__name__)
            request.done_at = time.monotonic()
            return False
        request.done_at = time.monotonic()
        request.status = int(head.split()[1])
        request.body = body.decode("latin-1")
        request.fate = Fate.ANSWERED
        return keep_alive

    async def _read_body(self, head: str) -> tuple[bool, bytes]:
        lower = head.lower()
        keep_alive = "\r\nconnection: close" not in lower
        if "\r\ntransfer-encoding: chunked" in lower:
            body = b""
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
            return keep_alive, body
        _, found, rest = lower.partition("\r\ncontent-length:")
        if not found:
            return False, await self.reader.read(-1)
        return keep_alive, await self.reader.readexactly(int(rest.split("\r\n")[0]))
