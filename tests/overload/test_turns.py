"""Who gets a turn of the event loop, and what a rejection under pressure costs; on sockets."""

from __future__ import annotations

import asyncio
import socket

import pytest

from quillroad.downstream.server import HOLD_S, ClientConnection
from quillroad.engine.engine import Reply
from quillroad.overload.admission_queue import QueuedRequest
from tests.net import on_loop, serve_ok, until, world


@pytest.mark.plain
@on_loop
async def test_pipelined_requests_do_not_hold_up_other_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One client sends 300 requests at once, another sends one.

    All requests of one read used to be answered in one turn of the loop, and everyone else waited.
    """
    order: list[ClientConnection] = []
    answer_one = ClientConnection.answer

    def note(self: ClientConnection, reply: Reply) -> None:
        order.append(self)
        answer_one(self, reply)

    monkeypatch.setattr(ClientConnection, "answer", note)
    async with world(serve_ok) as w, w.client() as flood, w.client() as other:
        for client in (flood, other):
            assert (await client.ask("/no-such/k")).status == 400
        first, second = order
        order.clear()
        for _ in range(300):
            flood.send("/no-such/k")
        other.send("/no-such/k")
        assert (await other.receive()).status == 400
        assert order.index(second) <= 8  # one in a turn
        for _ in range(300):
            assert (await flood.receive()).status == 400
        assert order.count(first) == 300


@on_loop
async def test_rejections_under_pressure_are_cheap_and_counted_once() -> None:
    """The queue is full, empty and full again; two requests come each time, one for the cheap path.

    Under pressure a rejection costs no parser, no decision and no host. It is counted once, tells
    a Retry-After, and leaves the connection open."""
    async with world(serve_ok) as w, w.client() as client:
        assert (await client.ask()).status == 200
        admission = w.gateway.server.admission
        for pressed, cost_s, status in (
            (True, 1000.0, 503),
            (False, 0.001, 200),
            (True, 1000.0, 503),
        ):
            admission.waiting = int(pressed)  # one that is not there, ahead of all
            w.gateway.server.scheduler.scheduled = (
                pressed  # an alarm of the module must not take it out
            )
            admission._queues[0].entries.extend([QueuedRequest(None, 0.0, 0.0)] * pressed)
            admission._cost_s, admission._learned_s = cost_s, 1.0
            before, refused = len(w.hosts[0].seen), admission.rejected
            # The second says `Connection`, so the glance leaves it to the parser.
            asked = (("/status-check/k", b"", None), ("/status-check/k", b"", "keep-alive"))
            for path, body, more in asked:
                got = await client.ask(path, body, Connection=more)
                assert got.status == status
                if pressed:
                    assert 0.3 <= float(got.headers["retry-after"]) <= 0.6
                    assert got.headers["connection"] == "keep-alive"
            assert len(w.hosts[0].seen) - before == (0 if pressed else 2)
            assert admission.rejected - refused == (2 if pressed else 0)
            assert (await client.ask("/no-such/k")).status == 400
            assert (await client.ask("/up", method="GET")).status == 200
            admission.waiting, w.gateway.server.scheduler.scheduled = 0, False
        assert not w.gateway.engine._open


@on_loop
async def test_a_short_client_deadline_is_judged_at_arrival() -> None:
    """Half a second of work is ahead; one client waits 0.2 s for its answer, another 9 s.

    Under pressure requests are judged by their head alone, and the client's own deadline was not
    looked at there: it was rejected only at its turn, after its deadline."""
    async with world(serve_ok) as w, w.client() as client:
        admission = w.gateway.server.admission
        for wait, status in (("200", 503), ("9000", 200), ("200", 503)):
            admission.waiting, admission._cost_s, admission._learned_s = 1, 0.5, 1.0
            admission._queues[0].entries.append(
                QueuedRequest(None, 0.0, 0.0)
            )  # half a second of work ahead
            got = await client.ask(Request_Timeout_Ms=wait)
            assert got.status == status
            admission.waiting = 0
            admission._queues[0].entries.clear()


@pytest.mark.plain
@on_loop
async def test_turns_that_begin_nothing_do_not_multiply(monkeypatch: pytest.MonkeyPatch) -> None:
    """Twenty requests wait while the hosts have no room, so that turns of the queue begin nothing.

    Each such turn used to set a timer of its own, and each timer made another such turn."""
    async with world(serve_ok) as w:
        server, turns = w.gateway.server, list[float]()
        held = True
        monkeypatch.setattr(server.scheduler, "_holds", lambda: held)
        monkeypatch.setattr(server.admission, "slice_ended", turns.append)
        clients = [await w.client().__aenter__() for _ in range(20)]
        for number, client in enumerate(clients):
            client.send()
            await until(lambda number=number: server.admission.waiting == number + 1)  # type: ignore[misc]
        turns.clear()
        await until(lambda: len(turns) > 10)
        assert turns[10] - turns[0] > 5 * HOLD_S
        held = False
        assert {(await client.receive()).status for client in clients} == {200}
        for client in clients:
            await client.__aexit__()


@on_loop
async def test_an_aborted_connection_tells_its_client_at_once() -> None:
    """The gateway ends a connection for another one.

    The loop closes it a turn later: on a busy core requests came in that gap, and were lost with a
    reset."""
    async with world(serve_ok) as w:
        loop = asyncio.get_running_loop()
        with socket.socket() as client:
            client.setblocking(False)
            await loop.sock_connect(client, ("127.0.0.1", w.gateway.port))
            await loop.sock_sendall(client, b"GET /up HTTP/1.1\r\nHost: g\r\n\r\n")
            assert (await loop.sock_recv(client, 4096)).startswith(b"HTTP/1.1 200")
            (connection,) = w.gateway.server.connection_limit.connections()
            connection.abort()
            assert client.recv(1) == b""  # with no turn of the loop in between
