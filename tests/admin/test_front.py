"""Tests of the admin address over loopback, with clients of the gateway beside it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from time import monotonic

from hypothesis import given, settings
from hypothesis import strategies as st

from quillroad.admin import listener
from quillroad.admin.calls import Call
from quillroad.admin.listener import MAX_CONNECTIONS, OperatorListener
from quillroad.admin.pages import Page, page
from quillroad.overload.acceptor import open_listener
from tests.net import Message, World, answer, hang, on_loop, read_message, serve_ok, until, world

ADMIN = "127.0.0.1:0"


async def send_call(port: int, path: str, method: str = "GET") -> Message:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: g\r\n\r\n".encode())
    try:
        return await read_message(reader)
    finally:
        writer.close()


async def post_call(harness: World, path: str) -> int:
    assert harness.gateway.admin is not None
    return (await send_call(harness.gateway.admin.port, path, "POST")).status


async def read_metrics(harness: World) -> dict[str, float]:
    assert harness.gateway.admin is not None
    text = (await send_call(harness.gateway.admin.port, "/stats")).body.decode()
    lines = [line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#")]
    return {name: float(value) for name, value in lines}


@on_loop
async def test_metrics_add_up_to_the_requests_taken() -> None:
    """Seven requests end with different outcomes and one stays open: each is counted once."""

    async def by_path(message: Message, writer: asyncio.StreamWriter) -> None:
        if "hangs" in message.first:
            await hang(message, writer)
        writer.write(
            answer(b"", "500 Internal Server Error") if "fails" in message.first else answer()
        )

    async with (
        world(by_path, admin_addr=ADMIN) as harness,
        harness.client() as waiting,
        harness.client() as client,
    ):
        waiting.send("/status-check/hangs")
        await harness.hosts[0].came.get()
        for _ in range(5):
            assert (await client.ask()).status == 200
        assert (await client.ask("/seat-checkout/k1", b"x")).status == 200
        assert (await client.ask("/audit/fails", b"x")).status == 502
        metrics = await read_metrics(harness)
        requests = {k: v for k, v in metrics.items() if k.startswith("svc_requests")}
        assert sum(requests.values()) == 7
        assert requests['svc_requests{class="status-check",outcome="served"}'] == 5
        assert requests['svc_requests{class="seat-checkout",outcome="served"}'] == 1
        assert requests['svc_requests{class="audit",outcome="failed"}'] == 1
        assert metrics["svc_in_flight"] == 1
        assert metrics["svc_attempts"] == len(harness.hosts[0].seen)
        assert (metrics["svc_hosts_known"], metrics["svc_hosts_excluded"]) == (1, 0)


@on_loop
async def test_host_out_of_service_gets_no_requests_until_put_back() -> None:
    """An operator takes a host out and restarts it; discovery reports it as up meanwhile.

    A request sent to it then would be lost in the restart.
    """
    async with world(serve_ok, serve_ok, admin_addr=ADMIN) as harness, harness.client() as client:
        first = harness.hosts[0]
        assert await post_call(harness, "/hosts/nobody/maint") == 404
        assert await post_call(harness, f"/hosts/{first.name}/maint") == 200
        assert await post_call(harness, f"/hosts/{first.name}/maint") == 200
        seen = len(first.seen)
        harness.discovery.tell(first.entry(lifecycle="up"))  # does not end the override
        for _ in range(20):
            assert (await client.ask()).status == 200
        assert len(first.seen) == seen  # no request after the 200
        assert (await read_metrics(harness))["svc_hosts_excluded"] == 1
        assert await post_call(harness, f"/hosts/{first.name}/ready") == 200
        for _ in range(200):
            await client.ask()
        assert len(first.seen) > seen
        assert (await read_metrics(harness))["svc_hosts_excluded"] == 0


@on_loop
async def test_clients_are_rejected_with_last_host_out_of_service() -> None:
    """An operator takes out the only host: clients get 503 or 504 rather than no response."""
    async with world(serve_ok, admin_addr=ADMIN) as harness, harness.client() as client:
        assert await post_call(harness, f"/hosts/{harness.hosts[0].name}/maint") == 200
        assert (await client.ask(Request_Timeout_Ms="300")).status in (503, 504)
        assert harness.hosts[0].seen == []
        assert await post_call(harness, f"/hosts/{harness.hosts[0].name}/ready") == 200
        assert (await client.ask()).status == 200


@on_loop
async def test_drained_gateway_closes_connections_until_resumed() -> None:
    """An operator drains a gateway with open connections, and puts it back into service later.

    While draining, requests are answered with `Connection: close` and idle connections are closed;
    afterwards connections are kept alive again.
    """
    async with world(serve_ok, admin_addr=ADMIN) as harness:
        assert harness.gateway.admin is not None
        async with harness.client() as idle, harness.client() as asking:
            assert (await idle.ask()).status == 200
            assert await post_call(harness, "/healthcheck/fail") == 200
            assert (await send_call(harness.gateway.admin.port, "/healthcheck")).status == 503
            last = await asking.ask()  # new connections are still accepted and answered
            assert last.status == 200
            assert last.headers["connection"] == "close"
            async with harness.client() as up:
                assert (await up.ask("/up", method="GET")).status == 503
            assert await idle.reader.read() == b""
        await until(lambda: len(harness.gateway.server.connection_limit) == 0)
        assert await post_call(harness, "/healthcheck/ok") == 200
        assert (await send_call(harness.gateway.admin.port, "/healthcheck")).status == 200
        async with harness.client() as client:
            kept = await client.ask()
            assert kept.headers["connection"] == "keep-alive"


@on_loop
async def test_operator_cannot_resume_during_shutdown() -> None:
    """The gateway gets SIGTERM, then an operator drains it and revokes the drain.

    If it reported itself as ready again, it would get connections that its exit breaks.
    """
    async with world(serve_ok, admin_addr=ADMIN) as harness:
        assert harness.gateway.admin is not None
        ending = asyncio.ensure_future(harness.gateway.drain())
        await until(lambda: harness.gateway.serving_state.ending)
        assert await post_call(harness, "/healthcheck/fail") == 200
        assert await post_call(harness, "/healthcheck/ok") == 200
        assert harness.gateway.server.draining
        assert (await send_call(harness.gateway.admin.port, "/healthcheck")).status == 503
        await ending


@on_loop
async def test_200_incomplete_calls_do_not_lock_out_operators() -> None:
    """200 connections send half a call and stay open; an operator is answered within a second.

    Without replacing the oldest, they would use up the connection limit until they time out.
    """
    async with world(serve_ok, admin_addr=ADMIN) as harness:
        assert harness.gateway.admin is not None
        port, incomplete_calls = harness.gateway.admin.port, []
        for _ in range(200):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /healthcheck HTT")
            incomplete_calls.append((reader, writer))
        began = monotonic()
        assert await post_call(harness, f"/hosts/{harness.hosts[0].name}/maint") == 200
        assert monotonic() - began < 1.0  # operators' calls must be answered within a second
        assert len(harness.gateway.admin.listener) <= MAX_CONNECTIONS
        for _, writer in incomplete_calls:
            writer.close()
        await until(
            lambda: harness.gateway.admin is not None and len(harness.gateway.admin.listener) == 0
        )


@contextlib.asynccontextmanager
async def run_listener() -> AsyncIterator[tuple[OperatorListener, int, list[Call]]]:
    calls: list[Call] = []

    def act(received: Call) -> Page:
        calls.append(received)
        return page(200)

    operator_listener = OperatorListener(asyncio.get_running_loop(), act)
    sock = open_listener("127.0.0.1", 0)
    port = sock.getsockname()[1]
    operator_listener.listen(sock)
    try:
        yield operator_listener, port, calls
    finally:
        operator_listener.stop()


async def send_bytes(port: int, *pieces: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0)
    try:
        return await reader.read()
    finally:
        writer.close()


@on_loop
async def test_bad_call_gets_error_status_and_changes_nothing() -> None:
    """Calls that are not HTTP, ambiguous or too long get an error status and change nothing."""
    async with run_listener() as (operator_listener, port, calls):
        bad: dict[bytes, bytes] = {
            b"nonsense\r\n\r\n": b"400",
            b"GET /no HTTP/1.1\r\nHost: g\r\n\r\n": b"404",
            b"POST /stats HTTP/1.1\r\nHost: g\r\n\r\n": b"405",
            b"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n": b"400",
            b"POST /healthcheck/ok HTTP/1.1\r\nContent-Length: 99999\r\n\r\n": b"413",
            b"GET /healthcheck HTTP/1.1\r\nX: " + b"x" * 20_000: b"431",
        }
        for data, status in bad.items():
            assert (await send_bytes(port, data)).split()[1] == status
        assert calls == []
        assert (await send_bytes(port, b"GET /healthcheck HTTP/1.1\r\n\r\n")).startswith(
            b"HTTP/1.1 200 "
        )
        await until(lambda: len(operator_listener) == 0)


@on_loop
async def test_incomplete_call_gets_408_after_timeout() -> None:
    """A caller sends part of a call and stops; it must not hold its connection for ever."""
    before, listener.CALL_TIMEOUT_S = listener.CALL_TIMEOUT_S, 0.05
    try:
        async with run_listener() as (_, port, calls):
            assert b" 408 " in await send_bytes(port, b"POST /healthcheck/fail HTTP/1.1\r\n")
            assert calls == []
    finally:
        listener.CALL_TIMEOUT_S = before


@settings(max_examples=25, deadline=None)
@given(st.lists(st.integers(0, 60), max_size=8))
def test_call_split_at_any_bytes_is_parsed_the_same(cuts: list[int]) -> None:
    """TCP may deliver a call in any pieces; they must add up to the same call."""
    data = b"POST /hosts/s-1/maint HTTP/1.1\r\nHost: g\r\nContent-Length: 3\r\n\r\nabc"
    split_positions = sorted({0, len(data), *(c for c in cuts if c < len(data))})
    pieces = [data[a:b] for a, b in itertools.pairwise(split_positions)]

    @on_loop
    async def send_pieces() -> None:
        async with run_listener() as (_, port, calls):
            assert (await send_bytes(port, *pieces)).startswith(b"HTTP/1.1 200 ")
            assert [c.host for c in calls] == ["s-1"]

    send_pieces()
