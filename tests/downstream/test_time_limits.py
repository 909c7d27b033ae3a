"""Clients that exceed a time limit: to send a request, to read a response, to stay idle."""

from __future__ import annotations

import asyncio

import pytest

from quillroad.downstream import time_limits
from quillroad.downstream.connection_limit import ConnectionState
from quillroad.downstream.state import PARTIAL
from quillroad.downstream.time_limits import OUTPUT_STALL_S, RECEIVE_S
from tests.downstream.clients import only_connection, read_until_closed
from tests.net import (
    answer,
    on_loop,
    say,
    serve_ok,
    until,
    world,
)


@on_loop
async def test_an_incomplete_request_gets_408() -> None:
    """Without a limit a client with a partial head could hold a descriptor for ever."""
    async with world(serve_ok) as w, w.client() as client:
        client.writer.write(b"GET /status-check/k HTTP/1.1\r\nX:")
        await until(
            lambda: any(
                c._parser.state in PARTIAL for c in w.gateway.server.connection_limit.connections()
            )
        )
        for connection in w.gateway.server.connection_limit.connections():
            connection.last_change -= RECEIVE_S + 1
        assert (await client.receive()).status == 408
        assert await read_until_closed(client) == b""


@on_loop
async def test_a_client_that_reads_no_responses_is_disconnected() -> None:
    """Unread responses would accumulate in memory."""
    async with world(say(answer(b"x" * 60_000))) as w, w.client() as client:
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        limit = w.gateway.server.connection_limit
        while not any(c.output_pending for c in limit.connections()):
            client.send()
            await asyncio.sleep(0)
        for connection in limit.connections():
            connection.last_change -= OUTPUT_STALL_S + 1
        await until(lambda: not len(limit))


@pytest.mark.parametrize("start", [b"GET /status-check/k HTTP/1.1\r\nX:", b"G", b"\r\n", b""])
@on_loop
async def test_a_client_that_trickles_bytes_is_disconnected(
    start: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The limit counts from the first byte: further bytes must not extend it."""
    monkeypatch.setattr(time_limits, "RECEIVE_S", 0.3)
    async with world(serve_ok) as w, w.client() as client:
        end = asyncio.ensure_future(read_until_closed(client))
        while not end.done():
            client.writer.write(start[:1])
            start = start[1:] + start[:1]
            await asyncio.sleep(0.02)
        assert await end == b"" or b" 408 " in await end or b" 400 " in await end


@on_loop
async def test_a_client_that_asked_once_and_stays_is_disconnected_early(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """In a churn scenario, 625 such clients in a minute held memory and descriptors for ever."""
    async with world(serve_ok) as w, w.client() as once, w.client() as usual:
        for _ in range(2):
            assert (await usual.ask()).status == 200
        monkeypatch.setattr(time_limits, "IDLE_AFTER_ONE_REQUEST_S", -1.0)
        assert (await once.ask()).status == 200
        assert await read_until_closed(once) == b""
        assert (await usual.ask()).status == 200


@on_loop
async def test_a_connection_with_unsent_bytes_is_not_idle() -> None:
    """It would be closed to make room, and the end of its response would be lost."""
    async with world(say(answer(b"x" * 60_000))) as w, w.client() as client:
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        connection = await only_connection(w)
        while not connection.output_pending:
            client.send()
            await asyncio.sleep(0)
        assert w.gateway.server.connection_limit.state(connection) is not ConnectionState.RESTING
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        taken = asyncio.ensure_future(read_until_closed(client))
        await until(
            lambda: w.gateway.server.connection_limit.state(connection) is ConnectionState.RESTING
        )
        taken.cancel()
