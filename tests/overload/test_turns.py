"""Fairness between connections on the event loop, and the cost of rejections under pressure."""

from __future__ import annotations

import asyncio
import socket

import pytest

from quillroad.downstream.server import CAPACITY_RECHECK_S, ClientConnection
from quillroad.engine.engine import Reply
from quillroad.overload.admission_queue import QueuedRequest
from tests.net import on_loop, serve_ok, until, world


@pytest.mark.plain
@on_loop
async def test_pipelined_requests_do_not_hold_up_other_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One client pipelines 300 requests, another client sends one.

    When all requests of one read were answered in a single loop iteration, other clients had to
    wait."""
    answered_connections: list[ClientConnection] = []
    original_answer = ClientConnection.answer

    def record_answer(self: ClientConnection, reply: Reply) -> None:
        answered_connections.append(self)
        original_answer(self, reply)

    monkeypatch.setattr(ClientConnection, "answer", record_answer)
    async with world(serve_ok) as w, w.client() as pipelining_client, w.client() as other_client:
        for client in (pipelining_client, other_client):
            assert (await client.ask("/no-such/k")).status == 400
        pipelining_connection, other_connection = answered_connections
        answered_connections.clear()
        for _ in range(300):
            pipelining_client.send("/no-such/k")
        other_client.send("/no-such/k")
        assert (await other_client.receive()).status == 400
        assert answered_connections.index(other_connection) <= 8  # one per loop iteration
        for _ in range(300):
            assert (await pipelining_client.receive()).status == 400
        assert answered_connections.count(pipelining_connection) == 300


@on_loop
async def test_rejections_under_pressure_are_cheap_and_counted_once() -> None:
    """The queue is full, empty and full again; of two requests each time, one takes the fast path.

    Under pressure a rejection must not use the parser, the balancer or a host. It must be counted
    once, have a Retry-After header, and leave the connection open."""
    async with world(serve_ok) as w, w.client() as client:
        assert (await client.ask()).status == 200
        admission = w.gateway.server.admission
        for under_pressure, cost_s, status in (
            (True, 1000.0, 503),
            (False, 0.001, 200),
            (True, 1000.0, 503),
        ):
            admission.waiting = int(under_pressure)  # a simulated request ahead of all others
            w.gateway.server.scheduler.scheduled = (
                under_pressure  # the scheduler must not take it from the queue
            )
            admission._queues[0].entries.extend([QueuedRequest(None, 0.0, 0.0)] * under_pressure)
            admission._cost_s, admission._learned_s = cost_s, 1.0
            requests_before, rejected_before = len(w.hosts[0].seen), admission.rejected
            # The second request has a Connection header, so the fast path leaves it to the parser.
            requests = (("/status-check/k", b"", None), ("/status-check/k", b"", "keep-alive"))
            for path, body, connection_header in requests:
                response = await client.ask(path, body, Connection=connection_header)
                assert response.status == status
                if under_pressure:
                    assert 0.3 <= float(response.headers["retry-after"]) <= 0.6
                    assert response.headers["connection"] == "keep-alive"
            assert len(w.hosts[0].seen) - requests_before == (0 if under_pressure else 2)
            assert admission.rejected - rejected_before == (2 if under_pressure else 0)
            assert (await client.ask("/no-such/k")).status == 400
            assert (await client.ask("/up", method="GET")).status == 200
            admission.waiting, w.gateway.server.scheduler.scheduled = 0, False
        assert not w.gateway.engine._open


@on_loop
async def test_a_short_client_deadline_is_judged_at_arrival() -> None:
    """Half a second of work is queued; one client waits 0.2 s for its answer, another one 9 s.

    Under pressure, admission is decided from the head of a request. Without the client's own
    deadline there, the request was rejected only when its turn came, after its deadline."""
    async with world(serve_ok) as w, w.client() as client:
        admission = w.gateway.server.admission
        for wait_ms, status in (("200", 503), ("9000", 200), ("200", 503)):
            admission.waiting, admission._cost_s, admission._learned_s = 1, 0.5, 1.0
            admission._queues[0].entries.append(
                QueuedRequest(None, 0.0, 0.0)
            )  # half a second of queued work
            response = await client.ask(Request_Timeout_Ms=wait_ms)
            assert response.status == status
            admission.waiting = 0
            admission._queues[0].entries.clear()


@pytest.mark.plain
@on_loop
async def test_slices_that_start_no_request_do_not_multiply(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Twenty requests wait while the hosts have no capacity, so that slices start no request.

    Each such slice set its own timer, and each timer caused another slice."""
    async with world(serve_ok) as w:
        server, slice_ends = w.gateway.server, list[float]()
        is_held = True
        monkeypatch.setattr(server.scheduler, "_holds", lambda: is_held)
        monkeypatch.setattr(server.admission, "slice_ended", slice_ends.append)
        clients = [await w.client().__aenter__() for _ in range(20)]
        for number, client in enumerate(clients):
            client.send()
            await until(lambda number=number: server.admission.waiting == number + 1)  # type: ignore[misc]
        slice_ends.clear()
        await until(lambda: len(slice_ends) > 10)
        assert slice_ends[10] - slice_ends[0] > 5 * CAPACITY_RECHECK_S
        is_held = False
        assert {(await client.receive()).status for client in clients} == {200}
        for client in clients:
            await client.__aexit__()


@on_loop
async def test_an_aborted_connection_is_closed_immediately() -> None:
    """The gateway closes a connection to make room for another one.

    The event loop closes the socket one iteration later. On a busy core, requests that arrived in
    between were lost with a reset."""
    async with world(serve_ok) as w:
        loop = asyncio.get_running_loop()
        with socket.socket() as client:
            client.setblocking(False)
            await loop.sock_connect(client, ("127.0.0.1", w.gateway.port))
            await loop.sock_sendall(client, b"GET /up HTTP/1.1\r\nHost: g\r\n\r\n")
            assert (await loop.sock_recv(client, 4096)).startswith(b"HTTP/1.1 200")
            (connection,) = w.gateway.server.connection_limit.connections()
            connection.abort()
            assert client.recv(1) == b""  # without a loop iteration in between
