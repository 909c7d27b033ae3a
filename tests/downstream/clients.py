"""Helpers that several tests of client connections share."""

from __future__ import annotations

import asyncio

from quillroad.downstream.connection import ClientConnection
from tests.net import (
    Client,
    Message,
    World,
    answer,
    until,
)


async def read_until_closed(client: Client) -> bytes:
    """Return all bytes up to the end of the connection; none if it is reset, which is possible
    while the client is still sending.
    """
    try:
        return await client.reader.read()
    except ConnectionResetError:
        return b""


async def only_connection(w: World) -> ClientConnection:
    """Wait until the gateway has one client connection, and return it."""
    await until(lambda: len(w.gateway.server.connection_limit) == 1)
    return w.gateway.server.connection_limit.connections()[0]


async def reject_not_started(message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(b"", "503 Busy", "Not-Started: 1"))
