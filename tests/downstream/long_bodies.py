"""Long bodies for tests, and hosts that send them."""

from __future__ import annotations

import asyncio
import hashlib
from typing import Any

from tests.net import Message, World

LONG_BODY_SETTINGS = {"admin_addr": "127.0.0.1:0"}  # long bodies are allowed with an admin address
SIZE = 6 * 1024 * 1024
BODY = b"".join(hashlib.blake2b(b"%d" % i).digest() for i in range(SIZE // 64))


def with_length(body: bytes) -> list[bytes]:
    return [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body]


def with_chunks(body: bytes) -> list[bytes]:
    parts = [body[i : i + 50_000] for i in range(0, len(body), 50_000)]
    chunks = [b"%x;note=x\r\n%b\r\n" % (len(part), part) for part in parts]
    hints = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n"
    return [hints, head, *chunks, b"0\r\nSum: 1\r\n\r\n"]


def until_close(body: bytes) -> list[bytes]:
    return [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body]


def host(pieces: list[bytes], end: bool = False) -> Any:
    async def behave(message: Message, writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        if end:
            writer.close()

    return behave


def all_released(w: World) -> bool:
    gateway = w.gateway
    held = len(gateway.server.connection_limit) + gateway.upstream.idle_connections
    return (
        not gateway.upstream.streaming
        and not gateway.server.streams
        and gateway.descriptors.used == held
    )
