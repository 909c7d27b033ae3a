"""No attempt, first or retry, begins for a client that has disconnected, however it disconnected
and for whatever reason the gateway had not read that.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable

import pytest

from quillroad.balancing.rejection import DecisionCounter
from tests.net import (
    Client,
    FakeHost,
    Message,
    UnacceptingHost,
    World,
    answer,
    hang,
    on_loop,
    reset,
    serve_ok,
    told_settings,
    until,
    world,
)

HEAD = b"GET /status-check/k HTTP/1.1\r\nTenant: acme\r\nRequest-Timeout-Ms: 9000\r\nRequest-Id: "
# More requests than the gateway parses ahead: it pauses reading while the first is at a host.
REQUESTS = 120
# After so many, the latency of a route is known and there is a token for a hedged attempt.
ANSWERS_BEFORE_A_HEDGE = 20
CLIENTS = 2
ANSWER_S = 0.1  # of these, so that a hedged attempt is due that much later

Disconnect = Callable[[Client], None]


def close(client: Client) -> None:
    client.writer.close()


def half_close(client: Client) -> None:
    """The gateway treats a half close as a close, whether or not it is reading the connection."""
    client.writer.write_eof()


def reset_connection(client: Client) -> None:
    reset(client.writer)


async def wait_until_released(w: World) -> None:
    """Wait until no client connection is open, and check that no request is left."""
    gateway = w.gateway
    await until(lambda: not len(gateway.server.connection_limit) and not gateway.engine._open)
    assert not gateway.engine._balancer.requests


async def ask_once(w: World) -> None:
    """Send one request on a connection of its own; it is served."""
    async with w.client() as client:
        assert (await client.ask()).status == 200


class HeldResponses:
    """Host that sends a response only when the test calls `answer`, while `holds` is set."""

    def __init__(self) -> None:
        self.waiting: list[asyncio.StreamWriter] = []
        self.holds = True

    async def __call__(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if not self.holds:
            await asyncio.sleep(ANSWER_S)
            writer.write(answer())
            return
        self.waiting.append(writer)
        await asyncio.Event().wait()

    def answer(self, data: bytes) -> None:
        self.waiting.pop(0).write(data)


@pytest.mark.parametrize("disconnect", [close, half_close, reset_connection])
@pytest.mark.parametrize(
    "outcome", [answer(), answer(b"", "500 Error"), answer(b"", "503 Busy", "Not-Started: 1")]
)
@on_loop
async def test_no_further_attempt_after_a_pipelining_client_disconnects(
    disconnect: Disconnect, outcome: bytes
) -> None:
    """Reading is paused for clients that pipeline many requests, so their disconnect was not
    noticed: the next request, or the next attempt of the first, went to a host.
    """
    held = HeldResponses()
    async with world(held, held) as w:
        async with Client(w.gateway.port) as client:
            client.writer.write(b"".join(HEAD + b"a%d\r\n\r\n" % n for n in range(REQUESTS)))
            await until(lambda: len(held.waiting) == 1)
            connection = w.gateway.server.connection_limit.connections()[0]
            await until(lambda: connection.reading_paused)
            disconnect(client)
            await until(lambda: client.writer.transport.is_closing() or disconnect is half_close)
            await asyncio.sleep(0)  # the loop closes the socket one iteration later
            await asyncio.sleep(0)
            held.answer(outcome)
            await wait_until_released(w)
        assert sum(len(host.seen) for host in w.hosts) == 1


@pytest.mark.parametrize("late", ["accept", "read"])
@pytest.mark.parametrize("linger", [False, True])
@on_loop
async def test_no_attempt_for_a_client_that_left_before_its_request_was_read(
    late: str, linger: bool
) -> None:
    """Both the request and the close wait in the kernel before the event loop reads them, and an
    idle host connection is available for an attempt.
    """
    async with world(serve_ok) as w:
        async with w.client() as client:
            assert (await client.ask()).status == 200
        await until(
            lambda: (
                not len(w.gateway.server.connection_limit)
                and w.gateway.upstream.idle_connections == 1
            )
        )
        raw = socket.create_connection(("127.0.0.1", w.gateway.port))
        if linger:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if late == "read":
            await until(lambda: len(w.gateway.server.connection_limit) == 1)
        raw.send(HEAD + b"b1\r\n\r\n")
        raw.close()
        time.sleep(0.12)
        await until(lambda: not len(w.gateway.server.connection_limit))
        await wait_until_released(w)
        assert len(w.hosts[0].seen) == 1


@pytest.mark.parametrize("cancelling", [True, False])
@on_loop
async def test_a_host_connection_is_not_used_after_its_client_disconnected(
    cancelling: bool,
) -> None:
    """Also if the settings forbid cancelling attempts: this attempt has not begun."""
    limits = told_settings()["limits"] | {"cancelling": cancelling}
    slow = UnacceptingHost()
    try:
        async with world(settings=told_settings(limits=limits)) as w:
            entry = {
                "instanceId": "s-slow",
                "hostPort": f"127.0.0.1:{slow.address[1]}",
                "zone": "room",
                "machineType": "two-core",
                "lifecycle": "up",
            }
            w.discovery.tell(entry)
            await until(lambda: len(w.gateway.engine.hosts) == 1)
            host = next(iter(w.gateway.engine.hosts.values()))
            async with w.client() as client:
                client.send()
                await until(lambda: len(host.connecting) == 1)
            await wait_until_released(w)
            assert not host.connecting
            await until(lambda: not w.gateway.upstream._tasks)  # the connect is cancelled, too
    finally:
        slow.close()


@pytest.mark.parametrize("disconnect", [close, half_close, reset_connection])
@pytest.mark.parametrize("path", ["/status-check/k", "/seat-checkout/k", "/audit/k"])
@pytest.mark.parametrize("cancelling", [True, False])
@on_loop
async def test_no_request_is_sent_on_a_connection_that_came_up_after_its_client_left(
    disconnect: Disconnect, path: str, cancelling: bool
) -> None:
    """Guards against the failure of review case 7: reading was paused for a client that had sent
    ahead, so its disconnect was not noticed while a connection to the host was being established.
    """
    limits = told_settings()["limits"] | {"cancelling": cancelling}
    unaccepting, late = UnacceptingHost(), FakeHost("s-late")
    late.address = unaccepting.address
    try:
        async with world(settings=told_settings(limits=limits)) as w:
            w.discovery.tell(late.entry())
            await until(lambda: len(w.gateway.engine.hosts) == 1)
            host = next(iter(w.gateway.engine.hosts.values()))
            async with w.client() as client:
                for _ in range(REQUESTS):
                    client.send(path)
                await until(lambda: len(host.connecting) == 1)
                connection = w.gateway.server.connection_limit.connections()[0]
                await until(lambda: connection.reading_paused)
                disconnect(client)
                await asyncio.sleep(0.05)
                assert len(host.connecting) == 1
                unaccepting.close_fillers()
                server = await asyncio.start_server(late._serve, sock=unaccepting.listener)
                # The kernel repeats the connect after a second.
                await until(lambda: not w.gateway.upstream._tasks)
                await wait_until_released(w)
            await asyncio.sleep(0.05)
            assert late.seen == []
            server.close()
    finally:
        unaccepting.close()


@pytest.mark.parametrize("stays", [True, False])
@on_loop
async def test_no_hedged_attempt_after_a_pipelining_client_disconnects(stays: bool) -> None:
    """The first attempt hangs, and the client leaves before the hedged one is due."""
    settings = told_settings()
    settings["lanes"][0]["goal_time"] = 200_000
    held = HeldResponses()
    async with world(held, held, settings=settings) as w, w.client() as client:
        held.holds = False
        for _ in range(ANSWERS_BEFORE_A_HEDGE // CLIENTS):
            await asyncio.gather(*(ask_once(w) for _ in range(CLIENTS)))
        await asyncio.sleep(ANSWER_S)  # these may have been hedged, too
        held.holds = True
        hedges_before = w.gateway.engine.counters.get(DecisionCounter.HEDGES, 0)
        seen_before = sum(len(host.seen) for host in w.hosts)
        for _ in range(REQUESTS):
            client.send()
        await until(lambda: len(held.waiting) == 1)
        connection = w.gateway.server.connection_limit.connections()[0]
        await until(lambda: connection.reading_paused)
        if not stays:
            close(client)
            await asyncio.sleep(1.0)
            assert sum(len(host.seen) for host in w.hosts) == seen_before + 1
        else:
            await until(lambda: sum(len(host.seen) for host in w.hosts) == seen_before + 2)
            assert w.gateway.engine.counters[DecisionCounter.HEDGES] == hedges_before + 1


@pytest.mark.parametrize("stays", [True, False])
@on_loop
async def test_no_further_attempt_after_a_disconnect_behind_more_input_than_the_kernel_takes(
    stays: bool,
) -> None:
    """The end of the connection is still at the client's kernel, behind input that is not read."""
    held = HeldResponses()
    async with world(held, held) as w:
        client = await w.client().__aenter__()
        client.writer.write(b"".join(HEAD + b"a%d\r\n\r\n" % n for n in range(20_000)))
        await until(lambda: len(held.waiting) == 1)
        await asyncio.sleep(0.2)  # what the kernels take
        if not stays:
            # Its kernel goes on sending what the client has written.
            sock = client.writer.get_extra_info("socket").dup()
            client.writer.transport.abort()
            sock.close()
        await asyncio.sleep(0.2)
        held.answer(answer(b"", "503 Busy", "Not-Started: 1"))
        if stays:
            assert (await client.receive()).status in (502, 503)
        else:
            await wait_until_released(w)
        assert sum(len(host.seen) for host in w.hosts) <= (2 if stays else 1)


@pytest.mark.parametrize("path", ["/seat-checkout/k", "/audit/k"])
@on_loop
async def test_an_id_that_comes_again_after_its_client_left_is_not_sent_again(path: str) -> None:
    """The host may still work on the first request: its effect would happen twice."""
    async with world(hang) as w:
        async with w.client() as first:
            request_id = first.send(path)
            await until(lambda: len(w.hosts[0].seen) == 1)
        await wait_until_released(w)
        async with w.client() as second:
            again = await second.ask(path, Request_Id=request_id)
            assert again.status == 400
        assert len(w.hosts[0].seen) == 1
