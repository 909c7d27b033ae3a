"""What several tests of the client side ask of a client or a connection."""

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


async def at_end(client: Client) -> bytes:
    """All that comes until the gateway ends the connection; nothing if it ends by a reset, as it
    may where the client was still sending.
    """
    try:
        return await client.reader.read()
    except ConnectionResetError:
        return b""


async def joined(w: World) -> ClientConnection:
    """The one connection of a client, once the gateway has it."""
    await until(lambda: len(w.gateway.server.connection_limit) == 1)
    return w.gateway.server.connection_limit.connections()[0]


async def refuse_unseen(message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(b"", "503 Busy", "Not-Started: 1"))
