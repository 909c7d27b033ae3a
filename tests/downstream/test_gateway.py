"""The whole gateway in one process between fake hosts, a fake discovery and real clients' sockets."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import pytest

import quillroad.engine.engine
import quillroad.upstream.pool
from quillroad.balancing.events import ClientDisconnected, Event, RequestArrived, TimerFired
from quillroad.discovery.reducer import server_number
from quillroad.downstream import connection_limit, connection_output, time_limits
from quillroad.downstream.connection import ClientConnection
from quillroad.downstream.connection_limit import ConnectionState
from quillroad.downstream.state import PARTIAL
from quillroad.downstream.time_limits import RECEIVE_S, UNREAD_S
from quillroad.engine.engine import ClientRequest, OpenRequest, Reply, Requester
from tests.net import (
    Client,
    FakeHost,
    Message,
    NeverUp,
    World,
    answer,
    break_off,
    hang,
    on_loop,
    say,
    serve_ok,
    told_settings,
    until,
    world,
)


async def at_end(client: Client) -> bytes:
    """All that comes until the gateway ends the connection; nothing if it ends by a reset, as it may where
    the client was still sending."""
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


# Served.


@on_loop
async def test_a_request_goes_on_unchanged_and_its_answer_comes_back() -> None:
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
async def test_hop_by_hop_headers_end_here() -> None:
    async with world(serve_ok) as w, w.client() as client:
        await client.ask(Connection="keep-alive", TE="trailers")
        assert not {"connection", "te"} & set(w.hosts[0].seen[0].headers)


@on_loop
async def test_requests_sent_ahead_are_answered_in_order() -> None:
    """Each of them was taken when its last byte was written: dropping one would lose it."""

    async def echo(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(message.first.split()[1].encode()))

    async with world(echo) as w, w.client() as client:
        for number in range(60):
            client.send(f"/status-check/k{number}")
        got = [(await client.receive()).body for _ in range(60)]
        assert got == [b"/status-check/k%d" % number for number in range(60)]


@on_loop
async def test_a_drain_answers_what_was_sent_ahead() -> None:
    """`Connection: close` on the first answer would drop the rest, which was taken already."""
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
        assert await at_end(client) == b""


# Rule 1: one final answer.


@on_loop
async def test_a_silent_host_costs_one_answer_and_no_more() -> None:
    async with world(hang) as w, w.client() as client:
        got = await client.ask(Request_Timeout_Ms="300")
        assert got.status == 503  # safe to repeat, so a refusal is allowed
        assert (
            0.3 <= float(got.headers["retry-after"]) <= 0.6
        )  # spread, so that not all come back at once
        w.hosts[0].writers[0].write(answer(b"too late"))
        w.hosts[0].behave = serve_ok
        w.gateway.server.draining = True
        assert (
            b"too late" not in (await client.ask(Connection="close", Request_Timeout_Ms="300")).body
        )
        assert await at_end(client) == b""


@on_loop
async def test_an_unsafe_request_that_may_have_run_fails() -> None:
    async with world(hang) as w, w.client() as client:
        got = await client.ask("/audit/k", b"x", Request_Timeout_Ms="300")
        assert got.status == 502
        assert "retry-after" not in got.headers


@on_loop
async def test_half_an_answer_is_never_served() -> None:
    half = say(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", end=True)
    async with world(half) as w, w.client() as client:
        got = await client.ask("/audit/k", b"x")
        assert (got.status, got.body) == (502, b"")


@pytest.mark.plain
@on_loop
async def test_a_module_that_says_nothing_does_not_lose_the_request() -> None:
    async with world(serve_ok) as w, w.client() as client:
        handle = w.gateway.engine._balancer.handle
        w.gateway.engine._balancer.handle = lambda now, events: []  # type: ignore[method-assign, assignment]
        assert (await client.ask(Request_Timeout_Ms="200")).status == 504
        w.gateway.engine._balancer.handle = handle  # type: ignore[method-assign]
        assert (await client.ask()).status == 200


@pytest.mark.plain
@on_loop
async def test_a_fault_in_the_module_fails_its_own_request_only() -> None:
    """People sleep: an exception answers one request and is logged; the gateway stays up."""
    async with world(serve_ok) as w, w.client() as client:
        handle = w.gateway.engine._balancer.handle

        def fault(now: int, events: list[Event]) -> Any:
            if isinstance(events[0], RequestArrived) and events[0].key == "bad":
                raise RuntimeError("a fault")
            return handle(now, events)

        w.gateway.engine._balancer.handle = fault  # type: ignore[method-assign, assignment]
        assert (await client.ask("/status-check/bad")).status == 502
        assert (await client.ask()).status == 200
        assert not w.gateway.engine._open


@pytest.mark.plain
@on_loop
async def test_a_fault_on_an_answer_leaves_nothing_behind() -> None:
    """The client has its answer, so nothing else would ever end the module's record of that request."""
    async with world(serve_ok) as w, w.client() as client:
        balancer = w.gateway.engine._balancer
        learn, balancer.learn = balancer.learn, lambda *_: 1 / 0  # type: ignore[method-assign, assignment]
        assert (await client.ask()).status == 200
        await until(lambda: not balancer.requests and not w.gateway.engine._open)
        balancer.learn = learn  # type: ignore[method-assign]


@on_loop
async def test_answers_quicker_than_the_clock_counts_are_no_fault(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    read: list[float] = []

    def frozen() -> float:
        read.append(now)
        return now

    async with world(serve_ok) as w, w.client() as client:
        now = time.monotonic()
        for module in (quillroad.engine.engine, quillroad.upstream.pool):
            monkeypatch.setattr(module, "monotonic", frozen)
        monkeypatch.setattr(quillroad.upstream.pool, "SETTLE_S", 0.0)
        for _ in range(3):
            assert (await client.ask()).status == 200
        assert read
        assert "the module failed" not in caplog.text


@pytest.mark.plain
@on_loop
async def test_a_fault_in_sending_fails_its_own_request_only() -> None:
    async with world(serve_ok) as w, w.client() as client:
        start = w.gateway.upstream.start
        w.gateway.upstream.start = lambda *_: 1 / 0  # type: ignore[method-assign, assignment]
        assert (await client.ask()).status in (502, 503)
        w.gateway.upstream.start = start  # type: ignore[method-assign]
        assert (await client.ask("/up", method="GET")).status == 200
        assert not w.gateway.engine._open


@on_loop
async def test_a_client_that_goes_takes_its_attempt_along() -> None:
    async with world(hang) as w:
        async with w.client() as client:
            client.send(Request_Timeout_Ms="50000")  # beyond this test's own bound
            await w.hosts[0].came.get()
        await w.hosts[0].closed.get()
        await until(lambda: not w.gateway.engine._open and not w.gateway.engine._ids)


# Rule 2: no effect twice.


@pytest.mark.parametrize(
    "behave", [break_off, say(answer(b"", "500 Error")), say(answer(b"", "503 Busy"))]
)
@on_loop
async def test_an_unsafe_request_is_not_sent_again_once_it_may_have_run(behave: Any) -> None:
    async with world(behave, behave) as w, w.client() as client:
        assert (await client.ask("/audit/k", b"x")).status == 502
        assert sum(len(host.seen) for host in w.hosts) == 1


@on_loop
async def test_an_unsafe_request_turned_away_unseen_is_sent_again() -> None:
    async with world(refuse_unseen, serve_ok) as w:
        for _ in range(200):  # until the pick has met the host that turns away
            async with w.client() as client:
                assert (await client.ask("/audit/k", b"x")).status == 200
            if w.hosts[0].seen:
                break
        assert w.hosts[0].seen[0].headers["request-id"] == w.hosts[1].seen[-1].headers["request-id"]


@on_loop
async def test_a_keyed_request_goes_out_again_with_its_key() -> None:
    # With no second copies: on a busy machine one of an earlier request may have spent the budget.
    alone = told_settings(limits={"parallel_tries": False})
    async with world(break_off, serve_ok, settings=alone) as w:
        for _ in range(200):
            async with w.client() as client:
                assert (await client.ask("/seat-checkout/k", b"x")).status == 200
            if w.hosts[0].seen:
                break
        first, others = w.hosts[0].seen[0], w.hosts[1].seen
        assert first.headers["idempotency-key"] in {
            other.headers["idempotency-key"] for other in others
        }


@on_loop
async def test_a_slow_request_is_hedged_and_the_loser_called_off() -> None:
    async with world(serve_ok, serve_ok) as w, w.client() as client:
        for _ in range(20):  # the module learns what is slow, and earns the token that a copy costs
            await client.ask()
        slow, quick = w.hosts
        slow.seen.clear()
        slow.behave = hang
        while not slow.seen:
            assert (await client.ask()).status == 200
        await slow.closed.get()
        assert slow.seen[0].headers["request-id"] == quick.seen[-1].headers["request-id"]


@on_loop
async def test_the_id_of_an_open_request_is_not_taken_twice() -> None:
    """Two requests under one id would count as copies of each other at the hosts."""
    async with world(hang) as w, w.client() as one, w.client() as other:
        one.send(Request_Id="same")
        await w.hosts[0].came.get()
        assert (await other.ask(Request_Id="same")).status == 400
        assert len(w.hosts[0].seen) == 1


# Rule 3: drains.


@pytest.mark.parametrize("lifecycle", ["draining", "removed"])
@on_loop
async def test_a_drained_host_gets_nothing_new(lifecycle: str) -> None:
    async with world(serve_ok, serve_ok) as w, w.client() as client:
        leaving = w.hosts[0]
        while not leaving.seen:
            await client.ask()
        w.discovery.tell(leaving.entry(lifecycle=lifecycle))
        hosts, number = w.gateway.engine.hosts, server_number(leaving.name)
        await until(lambda: number not in hosts or not hosts[number].ready)
        await client.ask()  # what was on its way has arrived by now
        before = len(leaving.seen)
        for _ in range(30):
            assert (await client.ask()).status == 200
        assert len(leaving.seen) == before


@on_loop
async def test_what_a_drained_host_holds_is_still_answered() -> None:
    async with world(hang) as w, w.client() as client:
        client.send()
        await w.hosts[0].came.get()
        w.discovery.tell(w.hosts[0].entry(lifecycle="draining"))
        await until(lambda: not next(iter(w.gateway.engine.hosts.values())).ready)
        w.hosts[0].writers[0].write(answer(b"finished"))
        assert (await client.receive()).body == b"finished"


@on_loop
async def test_a_drain_in_mid_connect_moves_the_request() -> None:
    dead = NeverUp()
    async with world() as w, w.client() as client:
        stuck = FakeHost("s-stuck")
        stuck.address = dead.address
        w.discovery.tell(stuck.entry())
        await until(lambda: len(w.gateway.engine.hosts) == 1)
        client.send()
        await until(lambda: any(h.connecting for h in w.gateway.engine.hosts.values()))
        good = await FakeHost("s-good").start()
        w.discovery.tell(stuck.entry(lifecycle="draining"), good.entry())
        assert (await client.receive()).status == 200
        assert len(good.seen) == 1
    dead.close()


@on_loop
async def test_a_host_at_a_new_address_is_reached_there() -> None:
    async with world(serve_ok) as w, w.client() as client:
        await client.ask()
        moved = await FakeHost("s-0").start()
        w.discovery.tell(moved.entry())
        await w.hosts[0].closed.get()
        assert (await client.ask()).status == 200
        assert len(moved.seen) == 1


# Rule 4: cold hosts, and the clock that they hang on.


@on_loop
async def test_the_clock_puts_starts_where_they_belong() -> None:
    """A start of a second ago is cold, one of an hour ago is warm, also before this process began."""
    rules = {"cold": 60_000_000, "cold_from": 0.3, "fall_multiple": 3.0}
    async with world(serve_ok, settings=told_settings(guarantees=rules)) as w:
        now_ms = time.time_ns() // 1_000_000
        assert abs(w.gateway.engine.now_us() / 1000 - now_ms) < 60_000
        young, old = await FakeHost("s-young").start(), await FakeHost("s-old").start()
        w.discovery.tell(
            young.entry(startedAtMs=now_ms - 1000), old.entry(startedAtMs=now_ms - 3_600_000)
        )
        await until(lambda: len(w.gateway.engine.hosts) == 3)
        balancer = w.gateway.engine._balancer
        assert [s.spec.id for s in balancer.cold] == [server_number("s-young")]


@on_loop
async def test_a_cold_host_is_not_pushed_over() -> None:
    """Work that costs the told aims at most: the fifty at once may not all go to the cold host."""
    rules = {"cold": 60_000_000, "cold_from": 0.3, "fall_multiple": 1.0}
    async with world(hang, hang, settings=told_settings(guarantees=rules)) as w:
        cold = await FakeHost("s-cold", hang).start()
        w.discovery.tell(cold.entry(startedAtMs=time.time_ns() // 1_000_000))
        await until(lambda: len(w.gateway.engine.hosts) == 3)
        clients = [await w.client().__aenter__() for _ in range(50)]
        for client in clients:
            client.send()
        await until(lambda: len(w.hosts[0].seen) + len(w.hosts[1].seen) >= 6)
        assert len(cold.seen) <= 1
        for client in clients:
            client.writer.close()


# Bad input.


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/no-such-class/k", {"method": "GET"}, 400),
        ("/status-check/k", {"method": "POST"}, 400),
        ("/seat-checkout/k", {"method": "GET"}, 400),
        ("/seat-checkout/k", {"Idempotency_Key": None}, 400),
        ("/audit/k", {"Idempotency_Key": "abc"}, 400),
        ("/status-check/k", {"Request_Id": None}, 400),
        ("/status-check/k", {"Request_Timeout_Ms": None}, 400),
        ("/status-check/k", {"Request_Timeout_Ms": "soon"}, 400),
        ("/status-check/k", {"Request_Timeout_Ms": "-5"}, 400),
        ("/status-check/k", {"Request_Timeout_Ms": "0"}, 400),
        ("/status-check/k", {"Request_Timeout_Ms": "1.5"}, 400),
        ("/status-check/k", {"Request_Timeout_Ms": "9" * 400}, 400),
        ("/", {"method": "GET"}, 404),
        ("/nowhere", {"method": "GET"}, 404),
        ("/up", {"method": "POST"}, 404),
    ],
)
@on_loop
async def test_bad_requests_are_told_so_and_reach_no_host(
    path: str, headers: dict[str, Any], status: int
) -> None:
    async with world(serve_ok) as w, w.client() as client:
        assert (await client.ask(path, **headers)).status == status
        assert (
            await client.ask()
        ).status == 200  # its framing was whole, so the connection serves on
        assert len(w.hosts[0].seen) == 1


GOOD = b"Request-Id: z\r\nTenant: acme\r\nRequest-Timeout-Ms: 900\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"what is this\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 20, 400),
        (b"GET /status-check/k HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"POST /audit/k HTTP/1.1\r\nContent-Length: -4\r\n\r\n", 400),
        (b"POST /audit/k HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy", 400),
        (
            b"POST /audit/k HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST /audit/k HTTP/1.1\r\nTransfer_Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
            400,
        ),
        (b"POST /audit/k HTTP/1.1\r\nContent_Length: 3\r\n\r\n", 400),
        (b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /audit/k HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /audit/k HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
        (b"POST /audit/k HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc", 400),
        (b"POST /audit/k HTTP/2.0\r\nContent-Length: 3\r\n\r\nabc", 400),
        (b"POST /audit/k HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
        (
            b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11000\r\n"
            + b"x" * 0x11000,
            413,
        ),
        (b"GET /status-check/k HTTP/1.1\r\nX: " + b"y" * 20_000, 431),
        (b"GET /" + b"y" * 400_000, 431),
        (b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"e" * 900_000, 413),
        (b"CONNECT a:1 HTTP/1.1\r\n\r\n", 404),
    ],
)
@on_loop
async def test_what_cannot_be_read_costs_its_connection_only(data: bytes, status: int) -> None:
    async with world(serve_ok) as w, w.client() as client, w.client() as other:
        client.writer.write(data)
        assert (await client.receive()).status == status
        assert await at_end(client) == b""
        assert (await other.ask()).status == 200
        assert len(w.hosts[0].seen) == 1


@on_loop
async def test_an_offered_upgrade_is_not_taken_up() -> None:
    """One answer, then the end: the parser can read nothing more on that connection."""
    async with world(serve_ok) as w, w.client() as client:
        head = b"GET /status-check/k HTTP/1.1\r\nUpgrade: x\r\nConnection: upgrade\r\n"
        client.writer.write(head + GOOD + b"\r\n")
        got = await client.receive()
        assert (got.status, got.headers["connection"]) == (200, "close")
        assert await at_end(client) == b""


@on_loop
async def test_an_error_waits_for_the_answer_before_it() -> None:
    async with world(hang) as w, w.client() as client:
        client.send()
        client.writer.write(b"rubbish\r\n\r\n")
        await w.hosts[0].came.get()
        w.hosts[0].writers[0].write(answer(b"first"))
        assert (await client.receive()).body == b"first"
        assert (await client.receive()).status == 400


@on_loop
async def test_a_body_of_the_limit_is_served() -> None:
    async with world(serve_ok) as w, w.client() as client:
        assert (await client.ask("/audit/k", b"x" * 65536)).status == 200
        assert len(w.hosts[0].seen[0].body) == 65536


@on_loop
async def test_a_chunked_request_goes_on_with_a_length() -> None:
    async with world(serve_ok) as w, w.client() as client:
        head = b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + GOOD + b"\r\n"
        client.writer.write(head + b"3\r\nabc\r\n0\r\n\r\n")
        assert (await client.receive()).status == 200
        assert w.hosts[0].seen[0].body == b"abc"


@on_loop
async def test_a_trailer_is_no_header() -> None:
    async with world(serve_ok) as w, w.client() as client:
        head = b"POST /audit/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" + GOOD + b"\r\n"
        client.writer.write(head + b"3\r\nabc\r\n0\r\nRequest-Id: other\r\nX: y\r\n\r\n")
        assert (await client.receive()).status == 200
        seen = w.hosts[0].seen[0].headers
        assert (seen["request-id"], "x" in seen) == ("z", False)


@on_loop
async def test_a_client_in_a_hurry_is_left_time() -> None:
    """The margins before the deadline shrink with it: fixed ones would leave such a client none."""
    async with world(hang) as w:
        before = asyncio.get_running_loop().time()
        head = b"GET / HTTP/1.1\r\n"
        request = ClientRequest("hurry", 0, 0, None, before, before + 0.030, False, None, head, b"")
        opened = w.gateway.engine.accept(request, lambda reply: None)
        assert before + 0.022 < opened.give_up < request.expires


@pytest.mark.parametrize("tenant", ["stranger", None])
@on_loop
async def test_an_unknown_tenant_is_served_as_over_its_share(tenant: str | None) -> None:
    async with world(serve_ok) as w, w.client() as client:
        assert (await client.ask(Tenant=tenant)).status == 200
        assert w.gateway.engine._balancer.over_quota(-1)


# Limits.


@on_loop
async def test_a_request_that_never_gets_whole_is_ended() -> None:
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
        assert await at_end(client) == b""


@on_loop
async def test_a_client_that_takes_no_answers_is_ended() -> None:
    """Unread answers would pile up in memory."""
    async with world(say(answer(b"x" * 60_000))) as w, w.client() as client:
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        room = w.gateway.server.connection_limit
        while not any(c.output_pending for c in room.connections()):
            client.send()
            await asyncio.sleep(0)
        for connection in room.connections():
            connection.last_change -= UNREAD_S + 1
        await until(lambda: not len(room))


@on_loop
async def test_idle_clients_make_room_and_the_rest_is_turned_away() -> None:
    """Counting the descriptors keeps an accept from failing where nobody can be answered."""
    async with world(hang, limits={"sockets": 24 + 8}) as w:
        idle = await w.client().__aenter__()
        assert (await idle.ask("/up", method="GET")).status == 200
        busy = []
        for number in range(4):
            busy.append(await w.client().__aenter__())
            busy[-1].send()
            await until(lambda number=number: len(w.gateway.engine._ids) == number + 1)  # type: ignore[misc]
        assert await at_end(idle) == b""
        async with w.client() as client:
            for _ in range(
                2
            ):  # on one connection: being turned away must not cost a new one each time
                got = await client.ask()
                assert (got.status, got.headers["connection"]) == (503, "keep-alive")
        for client in busy:
            client.writer.close()


@on_loop
async def test_whoever_finds_no_place_hears_so_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """They waited in the kernel until another client left, for longer than they wait for an answer."""
    async with world(hang, limits={"sockets": 24 + 8}) as w:
        server = w.gateway.server
        busy = []
        for number in range(4):
            busy.append(await w.client().__aenter__())
            busy[-1].send()
            await until(lambda number=number: server.connection_limit.busy == number + 1)  # type: ignore[misc]
        # As when the rest of the connections have requests that were not read yet.
        monkeypatch.setattr(server.connection_limit, "may_exceed", lambda: False)
        for body in (b"", b"x" * 200):
            server._acceptor._rest(
                9.0
            )  # their requests are in the kernel before the loop gets round to them
            async with w.client() as client:
                client.send("/seat-checkout/k" if body else "/status-check/k", body)
                await client.writer.drain()
                server._acceptor._resume()
                got = await client.receive()
                assert (got.status, got.headers["connection"]) == (503, "close")
                assert 0.3 <= float(got.headers["retry-after"]) <= 0.6
                assert await client.reader.read() == b""
        assert server.admission.refused == 2
        assert len(server.connection_limit) == 4
        async with w.client() as odd:  # what can't be told at a glance is let in, and answered
            assert (await odd.ask(Connection="keep-alive")).status == 503
        for client in busy:
            client.writer.close()
        await until(lambda: not len(server.connection_limit))


@on_loop
async def test_a_flood_that_says_nothing_makes_room_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections between two requests belong to usual clients: the never-heard go before them."""
    async with world(serve_ok, limits={"sockets": 24 + 16}) as w, w.client() as usual:
        assert (await usual.ask()).status == 200
        monkeypatch.setattr(connection_limit, "UNHEARD_S", -1.0)
        silent = [await w.client().__aenter__() for _ in range(30)]
        assert await at_end(silent[0]) == b""
        assert (await usual.ask()).status == 200
        await until(lambda: len(w.gateway.server.connection_limit) == 8)
        for client in silent:
            client.writer.close()


@on_loop
async def test_a_flood_in_one_moment_stays_within_the_clients_part() -> None:
    """Each may have its first request on the way; but the hosts' part of the descriptors is not theirs."""
    async with world(serve_ok, limits={"sockets": 24 + 16}) as w, w.client() as usual:
        assert (await usual.ask()).status == 200
        silent = [await w.client().__aenter__() for _ in range(30)]
        await at_end(silent[0])
        await until(lambda: w.gateway.server._descriptors.used <= 12)
        async with w.client() as late:
            assert (await late.ask()).status == 200
        for client in silent:
            client.writer.close()


@on_loop
async def test_hundreds_sent_ahead_are_not_parsed_at_once() -> None:
    """Each parsed request costs its checks and its memory, and a client waits for one at a time."""
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


@pytest.mark.parametrize("start", [b"GET /status-check/k HTTP/1.1\r\nX:", b"G", b"\r\n", b""])
@on_loop
async def test_a_client_that_never_gets_to_the_point_is_ended(
    start: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The time counts from the first byte: one that trickles must not gain by each further byte."""
    monkeypatch.setattr(time_limits, "RECEIVE_S", 0.3)
    async with world(serve_ok) as w, w.client() as client:
        end = asyncio.ensure_future(at_end(client))
        while not end.done():
            client.writer.write(start[:1])
            start = start[1:] + start[:1]
            await asyncio.sleep(0.02)
        assert await end == b"" or b" 408 " in await end or b" 400 " in await end


@on_loop
async def test_nothing_is_left_of_a_request() -> None:
    async with world(serve_ok, break_off) as w:
        async with w.client() as client:
            for _ in range(60):
                await client.ask()
        engine = w.gateway.engine
        await until(lambda: not engine._open and not engine._ids and not engine._balancer.requests)
        await until(
            lambda: (
                w.gateway.server._descriptors.used
                == sum(len(host.idle) for host in engine.hosts.values())
            )
        )


# The engine's own.


@on_loop
async def test_departed_and_late_events_are_no_fault() -> None:
    async with world(serve_ok) as w, w.client() as client:
        w.gateway.engine.feed(ClientDisconnected(999))
        w.gateway.engine.feed(TimerFired(999))
        assert (await client.ask()).status == 200


@on_loop
async def test_up_says_whether_it_can_serve() -> None:
    async with world() as w, w.client() as client:
        assert (await client.ask("/up", method="GET")).status == 503
        host = await FakeHost().start()
        w.discovery.tell(host.entry())
        await until(lambda: len(w.gateway.engine.hosts) == 1)
        assert (await client.ask("/up", method="GET")).status == 200
        w.gateway.server.draining = True
        assert (await client.ask("/up", method="GET")).status == 503


@on_loop
async def test_a_client_that_asked_once_and_stays_is_let_go(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """On the churn day 625 of these in a minute held memory and descriptors for good."""
    async with world(serve_ok) as w, w.client() as once, w.client() as usual:
        for _ in range(2):
            assert (await usual.ask()).status == 200
        monkeypatch.setattr(time_limits, "IDLE_ONCE_S", -1.0)
        assert (await once.ask()).status == 200
        assert await at_end(once) == b""
        assert (await usual.ask()).status == 200


@on_loop
async def test_clients_that_linger_over_an_error_make_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bad clients hold their connection for a while after their last answer: usual ones come before them."""
    monkeypatch.setattr(connection_output, "LINGER_S", 1000.0)
    monkeypatch.setattr(connection_limit, "UNHEARD_S", -1.0)
    async with world(serve_ok, limits={"sockets": 24 + 16}) as w:
        bad = [await w.client().__aenter__() for _ in range(8)]
        for client in bad:
            client.writer.write(b"what is this\r\n\r\n")
            assert (await client.receive()).status == 400
        async with w.client() as usual:
            assert (await usual.ask()).status == 200
            await until(lambda: len(w.gateway.server.connection_limit) == 8)
        for client in bad:
            client.writer.close()


@on_loop
async def test_all_counts_return_to_their_base() -> None:
    """Hosts come, hang, restart and go under requests that are answered, time out, are hedged or abandoned.
    Afterwards the module's counts, the engine's records and the descriptors agree with the sockets."""
    async with world(serve_ok, serve_ok, hang, break_off, refuse_unseen) as w:
        engine, balancer = w.gateway.engine, w.gateway.engine._balancer
        for turn in range(6):
            clients = [await w.client().__aenter__() for _ in range(12)]
            for number, client in enumerate(clients):
                wait = "150" if number % 3 else "9000"
                client.send(
                    ("/status-check/k", "/audit/k")[number % 2] + str(turn), Request_Timeout_Ms=wait
                )
            host = w.hosts[turn % 5]
            if turn == 5:
                w.discovery.tell(
                    host.entry(lifecycle="removed"), w.hosts[1].entry(instanceId="s-new")
                )
            else:
                w.discovery.tell(host.entry(startedAtMs=turn + 1, weight=1.0 + turn))
            for number, client in enumerate(clients):
                if number % 3:
                    await client.receive()
                client.writer.close()
        await until(
            lambda: (
                not len(w.gateway.server.connection_limit) and not engine._open and not engine._ids
            )
        )
        await until(
            lambda: not balancer.requests and not w.gateway.upstream._tasks and not balancer.queued
        )
        assert all(s.in_flight == s.overdue == 0 for s in balancer.servers.values())
        assert set(balancer.servers) == set(engine.hosts)
        idle = [c for host in engine.hosts.values() for c in host.idle]
        assert set(w.gateway.upstream._idle) == set(idle)
        await until(lambda: w.gateway.server._descriptors.used == len(w.gateway.upstream._idle))
        assert not any(w.gateway.server.connection_limit.count(stage) for stage in ConnectionState)
        assert w.gateway.server.admission.waiting == 0


@on_loop
async def test_clients_that_ask_once_and_stay_make_place_for_others() -> None:
    """An incident: 128 of these held all the connections that clients may have for 2 s each, and two of three
    requests found none. The longest idle ends as soon as there are many."""
    async with world(serve_ok, limits={"sockets": 24 + 40}) as w, w.client() as usual:
        stayed = [await w.client().__aenter__() for _ in range(15)]
        for client in stayed:
            assert (
                await usual.ask()
            ).status == 200  # in use between them, it is never the longest idle
            assert (await client.ask()).status == 200
        assert await at_end(stayed[0]) == b""
        await until(lambda: len(w.gateway.server.connection_limit) <= 10)
        assert (await usual.ask()).status == 200
        for client in stayed:
            client.writer.close()


@on_loop
async def test_a_connection_with_bytes_unsent_is_not_at_rest() -> None:
    """It would be ended to make room, and the end of its answer be lost."""
    async with world(say(answer(b"x" * 60_000))) as w, w.client() as client:
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        connection = await joined(w)
        while not connection.output_pending:
            client.send()
            await asyncio.sleep(0)
        assert w.gateway.server.connection_limit.stage(connection) is not ConnectionState.RESTING
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        taken = asyncio.ensure_future(at_end(client))
        await until(
            lambda: w.gateway.server.connection_limit.stage(connection) is ConnectionState.RESTING
        )
        taken.cancel()


@pytest.mark.plain
@on_loop
async def test_the_deadline_of_a_request_sent_ahead_counts_from_when_it_came() -> None:
    """It waits unparsed for the answers before it, and its client's time runs all the while."""
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
        assert len({request.expires for request in asked}) == 1
