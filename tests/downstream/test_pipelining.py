"""Pipelining: requests that a client sends before the responses to earlier ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from quillroad.engine.engine import ClientRequest, OpenRequest, Reply, Requester
from tests.downstream.clients import read_until_closed
from tests.net import (
    Message,
    answer,
    hang,
    on_loop,
    serve_ok,
    until,
    world,
)


@on_loop
async def test_pipelined_requests_are_answered_in_order() -> None:
    """The client has sent each of them completely: a dropped one would be lost."""

    async def echo(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(message.first.split()[1].encode()))

    async with world(echo) as w, w.client() as client:
        for number in range(60):
            client.send(f"/status-check/k{number}")
        got = [(await client.receive()).body for _ in range(60)]
        assert got == [b"/status-check/k%d" % number for number in range(60)]


@on_loop
async def test_a_draining_gateway_answers_pipelined_requests() -> None:
    """`Connection: close` on the first response would drop the rest, already received."""
    async with world(hang) as w, w.client() as client:
        client.send()
        client.send()
        await w.hosts[0].came.get()
        w.gateway.server.draining = True
        w.hosts[0].behave = serve_ok
        w.hosts[0].writers[0].write(answer(b"first"))
        first, second = await client.receive(), await client.receive()
        assert (first.body, first.headers["connection"]) == (b"first", "keep-alive")
        assert (second.status, second.headers["connection"]) == (200, "close")
        assert await read_until_closed(client) == b""


@on_loop
async def test_an_error_waits_for_the_answer_before_it() -> None:
    """An error written at once would look like the response to the previous request."""
    async with world(hang) as w, w.client() as client:
        client.send()
        client.writer.write(b"rubbish\r\n\r\n")
        await w.hosts[0].came.get()
        w.hosts[0].writers[0].write(answer(b"first"))
        assert (await client.receive()).body == b"first"
        assert (await client.receive()).status == 400


@on_loop
async def test_hundreds_of_pipelined_requests_are_not_parsed_at_once() -> None:
    """Each parsed request costs time and memory, and only one is served at a time."""
    async with world(hang) as w, w.client() as client:
        for _ in range(300):
            client.send()
        await w.hosts[0].came.get()
        await until(
            lambda: all(c.reading_paused for c in w.gateway.server.connection_limit.connections())
        )
        (connection,) = w.gateway.server.connection_limit.connections()
        assert len(connection._parser.backlog) < 20
        assert connection._parser.unparsed


@pytest.mark.plain
@on_loop
async def test_the_deadline_of_a_pipelined_request_counts_from_its_arrival() -> None:
    """It waits unparsed behind earlier responses, and its client's timeout runs meanwhile."""
    async with world(hang) as w, w.client() as client:
        engine, asked = w.gateway.engine, list[ClientRequest]()
        accept = engine.accept

        def record(
            request: ClientRequest, reply: Callable[[Reply], None], client: Requester | None = None
        ) -> OpenRequest:
            asked.append(request)
            return accept(request, reply, client)

        engine.accept = record  # type: ignore[method-assign]
        head = b"GET /status-check/k HTTP/1.1\r\nTenant: acme\r\nRequest-Timeout-Ms: 300\r\n"
        client.writer.write(b"".join(b"%bRequest-Id: a%d\r\n\r\n" % (head, n) for n in range(60)))
        for _ in range(60):
            assert (await client.receive()).status in (503, 504)
        assert len({request.deadline_at for request in asked}) == 1
