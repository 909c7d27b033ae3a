"""The whole gateway in one process, with fake hosts, fake discovery and clients on real sockets."""

from __future__ import annotations

from quillroad.balancing.events import ClientDisconnected, TimerFired
from quillroad.downstream.connection_limit import ConnectionState
from tests.downstream.clients import reject_not_started
from tests.net import (
    FakeHost,
    answer,
    break_off,
    hang,
    on_loop,
    say,
    serve_ok,
    until,
    world,
)


@on_loop
async def test_a_request_reaches_its_host_unchanged_and_the_response_comes_back() -> None:
    async with (
        world(say(answer(b"seat 7", "200 OK", "Content-Type: text/seat"))) as w,
        w.client() as client,
    ):
        got = await client.ask(
            "/seat-checkout/k%201?x=1", b"take", Idempotency_Key="abc", Work_Hint="900"
        )
        seen = w.hosts[0].seen[0]
        assert (got.status, got.body, got.headers["content-type"]) == (200, b"seat 7", "text/seat")
        assert (seen.first, seen.body) == ("POST /seat-checkout/k%201?x=1 HTTP/1.1", b"take")
        assert seen.headers["idempotency-key"] == "abc"
        assert seen.headers["work-hint"] == "900"
        assert 0 < int(seen.headers["request-timeout-ms"]) < 9000
        assert (await client.ask()).status == 200  # on the same connection


@on_loop
async def test_hop_by_hop_headers_are_not_forwarded() -> None:
    """A forwarded `Connection` or `TE` would apply to the wrong connection, the one to the host."""
    async with world(serve_ok) as w, w.client() as client:
        await client.ask(Connection="keep-alive", TE="trailers")
        assert not {"connection", "te"} & set(w.hosts[0].seen[0].headers)


@on_loop
async def test_finished_requests_leave_no_records_or_descriptors() -> None:
    """A leaked record would hold memory for ever, a leaked descriptor a place."""
    async with world(serve_ok, break_off) as w:
        async with w.client() as client:
            for _ in range(60):
                await client.ask()
        engine = w.gateway.engine
        await until(
            lambda: (
                not engine._open and not engine._unanswered_ids and not engine._balancer.requests
            )
        )
        await until(
            lambda: (
                w.gateway.server._descriptors.used
                == sum(len(host.idle) for host in engine.hosts.values())
            )
        )


@on_loop
async def test_events_of_finished_requests_are_ignored() -> None:
    """A timer or disconnect event may follow the removal of a request; it must have no effect."""
    async with world(serve_ok) as w, w.client() as client:
        w.gateway.engine.feed(ClientDisconnected(999))
        w.gateway.engine.feed(TimerFired(999))
        assert (await client.ask()).status == 200


@on_loop
async def test_the_health_check_says_whether_the_gateway_can_serve() -> None:
    async with world() as w, w.client() as client:
        assert (await client.ask("/up", method="GET")).status == 503
        host = await FakeHost().start()
        w.discovery.tell(host.entry())
        await until(lambda: len(w.gateway.engine.hosts) == 1)
        assert (await client.ask("/up", method="GET")).status == 200
        w.gateway.server.draining = True
        assert (await client.ask("/up", method="GET")).status == 503


@on_loop
async def test_all_counts_return_to_zero_after_host_and_client_failures() -> None:
    """Hosts join, hang, restart and leave while requests are answered, time out, are hedged or
    abandoned. Afterwards the balancer's counts, the engine's records and the descriptors match the
    open sockets.
    """
    async with world(serve_ok, serve_ok, hang, break_off, reject_not_started) as w:
        engine, balancer = w.gateway.engine, w.gateway.engine._balancer
        for iteration in range(6):
            clients = [await w.client().__aenter__() for _ in range(12)]
            for number, client in enumerate(clients):
                wait = "150" if number % 3 else "9000"
                client.send(
                    ("/status-check/k", "/audit/k")[number % 2] + str(iteration),
                    Request_Timeout_Ms=wait,
                )
            host = w.hosts[iteration % 5]
            if iteration == 5:
                w.discovery.tell(
                    host.entry(lifecycle="removed"), w.hosts[1].entry(instanceId="s-new")
                )
            else:
                w.discovery.tell(host.entry(startedAtMs=iteration + 1, weight=1.0 + iteration))
            for number, client in enumerate(clients):
                if number % 3:
                    await client.receive()
                client.writer.close()
        await until(
            lambda: (
                not len(w.gateway.server.connection_limit)
                and not engine._open
                and not engine._unanswered_ids
            )
        )
        await until(
            lambda: not balancer.requests and not w.gateway.upstream._tasks and not balancer.queued
        )
        assert all(s.in_flight == s.overdue == 0 for s in balancer.hosts.values())
        assert set(balancer.hosts) == set(engine.hosts)
        idle = [c for host in engine.hosts.values() for c in host.idle]
        assert set(w.gateway.upstream._idle) == set(idle)
        await until(lambda: w.gateway.server._descriptors.used == len(w.gateway.upstream._idle))
        assert not any(w.gateway.server.connection_limit.count(state) for state in ConnectionState)
        assert w.gateway.server.admission.waiting == 0
