"""The host side on real sockets: every outcome is exact, and no connection is used that should not be."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic

import pytest

from quillroad.balancing.events import Outcome
from quillroad.config import RESERVED, Address, Descriptors
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.upstream import pool
from quillroad.upstream.pool import Answer, Attempt, Host, Upstream
from tests.net import (
    Behaviour,
    FakeHost,
    Message,
    NeverUp,
    answer,
    break_off,
    hang,
    on_loop,
    reset,
    say,
    serve_ok,
    until,
)

REQUEST = b"GET /status-check/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n"
LONG_S = 15.0


class Bench:
    """An upstream and one host of its list."""

    def __init__(self, address: Address, connect_s: float = LONG_S, sockets: int = 100) -> None:
        self.descriptors = Descriptors(RESERVED + sockets)
        loop = asyncio.get_running_loop()
        self.upstream = Upstream(loop, self.descriptors, connect_s, 15.0, EventLoopMonitor(loop))
        self.host = Host("s-1", address)
        self.results: list[tuple[Outcome, Answer | None]] = []

    def start(self, request: bytes = REQUEST, timeout_s: float = LONG_S) -> Attempt:
        return self.upstream.start(
            self.host,
            request,
            timeout_s,
            lambda outcome, got, _: self.results.append((outcome, got)),
        )

    async def run(
        self, request: bytes = REQUEST, timeout_s: float = LONG_S
    ) -> tuple[Outcome, Answer | None]:
        before = len(self.results)
        self.start(request, timeout_s)
        await until(lambda: len(self.results) > before)
        return self.results[-1]


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("behave", "outcome", "body"),
    [
        (say(answer(b"seat 7", "200 OK", "Content-Type: text/plain")), Outcome.SUCCESS, b"seat 7"),
        (say(answer(b"", "200 OK")), Outcome.SUCCESS, b""),
        (say(b"HTTP/1.1 100 Continue\r\n\r\n" + answer(b"late")), Outcome.SUCCESS, b"late"),
        (say(CHUNKED + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"), Outcome.SUCCESS, b"abc"),
        (say(answer(b"x", "500 Internal Server Error")), Outcome.ERROR, None),
        (say(answer(b"", "503 Busy", "Not-Started: 1")), Outcome.REJECTED, None),
        (say(answer(b"", "504 Late", "Not-Started: 1")), Outcome.REJECTED, None),
        (say(answer(b"", "503 Busy")), Outcome.ERROR, None),
        (say(answer(b"", "504 Late")), Outcome.ERROR, None),
        (say(answer(b"", "500 Odd", "Not-Started: 1")), Outcome.ERROR, None),
        (break_off, Outcome.RESET, None),
        (say(b"", end=True), Outcome.RESET, None),
        (say(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", end=True), Outcome.RESET, None),
        (say(CHUNKED + b"5\r\nhalf", end=True), Outcome.RESET, None),
        # With no length told an end cannot be told from a break.
        (say(b"HTTP/1.1 200 OK\r\n\r\nwhole?", end=True), Outcome.RESET, None),
        (say(b"no HTTP at all\r\n\r\n"), Outcome.ERROR, None),
        (say(answer(b"x" * 70_000)), Outcome.ERROR, None),
        (say(b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000 + b"\r\n\r\n"), Outcome.ERROR, None),
        # None of these ends, and the connection stays open.
        (say(b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000), Outcome.ERROR, None),
        (say(b"HTTP/1.1 100 Continue\r\n\r\n" * 20), Outcome.ERROR, None),
        (say(CHUNKED + b"1;" + b"e" * 300_000), Outcome.ERROR, None),
        (say(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"), Outcome.ERROR, None),
        (say(b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n"), Outcome.ERROR, None),
        (
            say(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"),
            Outcome.ERROR,
            None,
        ),
    ],
)
@on_loop
async def test_what_comes_back_is_the_outcome(
    behave: Behaviour, outcome: Outcome, body: bytes | None
) -> None:
    """Guards rule 2 (what may have run must not look unseen) and rule 1 (half an answer is none)."""
    bench = Bench((await FakeHost(behave=behave).start()).address)
    got, reply = await bench.run()
    assert got is outcome
    assert (reply.body if reply else None) == body
    await until(lambda: bench.descriptors.used == len(bench.host.idle))


@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\nConte",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        CHUNKED + b"3\r\nab",
    ],
)
@on_loop
async def test_an_answer_that_stops_half_way_is_not_waited_for(start: bytes) -> None:
    """Hosts write an answer at once. A rest that does not come would hold its request to its deadline."""
    host = await FakeHost(behave=say(start)).start()
    bench = Bench(host.address, connect_s=0.1)
    assert (await bench.run())[0] is Outcome.ERROR
    assert await host.closed.get() == 0


@on_loop
async def test_a_host_that_said_nothing_meanwhile_is_reached_anew() -> None:
    """A machine that vanished leaves its connections open: each of those kept would hang as long again."""
    host = await FakeHost(behave=hang).start()
    bench = Bench(host.address)
    for number in range(2):
        bench.start()
        await until(lambda number=number: len(host.seen) == number + 1)  # type: ignore[misc]
    host.writers[0].write(answer())
    await until(lambda: len(bench.results) == 1)
    bench.host.last_heard_at -= 1.0
    attempt = bench.start(timeout_s=0.05)
    await until(lambda: attempt.over)
    assert not bench.host.idle or all(c.closing() for c in bench.host.idle)


@on_loop
async def test_a_refused_connection_never_ran() -> None:
    host = await FakeHost().start()
    host._server.close()
    await host._server.wait_closed()
    bench = Bench(host.address)
    assert (await bench.run())[0] is Outcome.CONNECT_FAILED
    await until(lambda: bench.descriptors.used == 0)


@on_loop
async def test_a_connection_that_never_comes_up_never_ran() -> None:
    dead = NeverUp()
    bench = Bench(dead.address, connect_s=0.1)
    assert (await bench.run())[0] is Outcome.CONNECT_FAILED
    await until(lambda: bench.descriptors.used == 0)
    dead.close()


@on_loop
async def test_time_up_while_connecting_never_ran() -> None:
    dead = NeverUp()
    bench = Bench(dead.address)
    assert (await bench.run(timeout_s=0.05))[0] is Outcome.CONNECT_FAILED
    await until(lambda: bench.descriptors.used == 0)
    dead.close()


@on_loop
async def test_a_break_before_the_last_byte_never_ran() -> None:
    """The host resets while most of the request is still in this process: it cannot have begun it."""

    async def cut(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(10)
        reset(writer)

    server = await asyncio.start_server(cut, "127.0.0.1", 0)
    bench = Bench(server.sockets[0].getsockname())
    request = b"POST / HTTP/1.1\r\n\r\n" + b"x" * 32 * 1024 * 1024
    assert (await bench.run(request))[0] is Outcome.CONNECT_FAILED
    server.close()


@on_loop
async def test_a_timed_out_attempt_takes_its_connection_along() -> None:
    """The late answer would otherwise meet the next request on that connection."""
    host = await FakeHost(behave=hang).start()
    bench = Bench(host.address)
    assert (await bench.run(timeout_s=0.05))[0] is Outcome.TIMEOUT
    assert await host.closed.get() == 0
    assert not bench.host.idle


@on_loop
async def test_a_cancelled_attempt_takes_its_connection_along() -> None:
    host = await FakeHost(behave=hang).start()
    bench = Bench(host.address)
    attempt = bench.start()
    await host.came.get()
    attempt.cancel()
    attempt.cancel()
    assert [outcome for outcome, _ in bench.results] == [Outcome.CANCELLED]
    assert await host.closed.get() == 0
    host.behave = serve_ok
    assert (await bench.run())[0] is Outcome.SUCCESS
    assert len(host.writers) == 2


@on_loop
async def test_the_most_recent_connection_is_used_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """New connections cost the host work; the least used ones are let go idle."""
    monkeypatch.setattr(pool, "SETTLE_S", -1.0)
    host = await FakeHost(behave=hang).start()
    bench = Bench(host.address)
    for number in range(2):
        bench.start()
        await until(lambda number=number: len(host.seen) == number + 1)  # type: ignore[misc]
    for number in (0, 1):
        host.writers[number].write(answer())
        await until(lambda number=number: len(bench.results) == number + 1)  # type: ignore[misc]
    latest = bench.host.idle[-1]
    host.behave = serve_ok
    assert (await bench.run())[0] is Outcome.SUCCESS
    assert bench.host.idle[-1] is latest
    assert len(host.writers) == 2


@on_loop
async def test_an_idle_connection_that_the_host_closes_goes_at_once() -> None:
    host = await FakeHost().start()
    bench = Bench(host.address)
    await bench.run()
    host.writers[0].close()
    await until(lambda: not bench.host.idle)
    assert bench.descriptors.used == 0
    assert (await bench.run())[0] is Outcome.SUCCESS
    assert len(host.writers) == 2


@on_loop
async def test_idle_connections_are_dropped_before_the_hosts_would() -> None:
    host = await FakeHost().start()
    bench = Bench(host.address)
    await bench.run()
    bench.upstream.sweep()
    assert not bench.host.idle[0].closing()
    bench.host.idle[0].idle_since -= 8.0  # of the 15 s that hosts wait
    bench.upstream.sweep()
    assert await host.closed.get() == 0
    await until(lambda: not bench.host.idle)


@pytest.mark.parametrize("extra", [answer(b"again"), b"noise", b"HTTP/1.1 200 OK\r\n"])
@on_loop
async def test_a_connection_that_brings_too_much_is_not_used_again(extra: bytes) -> None:
    """A second answer that lies in wait would be given to the next client."""
    host = await FakeHost(behave=say(answer(b"mine") + extra)).start()
    bench = Bench(host.address)
    outcome, reply = await bench.run()
    assert outcome is Outcome.SUCCESS
    assert reply is not None
    assert reply.body == b"mine"
    assert await host.closed.get() == 0


@on_loop
async def test_a_late_second_copy_is_no_answer_to_the_next(monkeypatch: pytest.MonkeyPatch) -> None:
    """It lies in the kernel when the connection is wanted again: written to, that connection would give it to
    another client. With no time to settle, only the look at the socket guards against that."""
    monkeypatch.setattr(pool, "SETTLE_S", -1.0)
    host = await FakeHost(behave=say(answer(b"first"))).start()
    bench = Bench(host.address)
    await bench.run()
    waiting = bench.host.idle[0]
    host.writers[0].write(answer(b"copy"))  # leaves at once; this loop has not read it yet
    while not waiting.unread():
        pass
    host.behave = say(answer(b"second"))
    outcome, reply = await bench.run()
    assert (outcome, reply and reply.body) == (Outcome.SUCCESS, b"second")
    assert len(host.writers) == 2


@on_loop
async def test_a_connection_settles_before_it_is_used_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What comes a moment behind an answer must find the connection idle, not in use by another request."""
    monkeypatch.setattr(pool, "SETTLE_S", 1000.0)
    host = await FakeHost().start()
    bench = Bench(host.address)
    for number in (1, 2):
        assert (await bench.run())[0] is Outcome.SUCCESS
        assert len(host.writers) == number
    bench.host.idle[0].idle_since -= 1001.0
    assert (await bench.run())[0] is Outcome.SUCCESS
    assert len(host.writers) == 2


@on_loop
async def test_noise_on_an_idle_connection_ends_it() -> None:
    host = await FakeHost().start()
    bench = Bench(host.address)
    await bench.run()
    host.writers[0].write(answer(b"not asked for"))
    assert await host.closed.get() == 0


@on_loop
async def test_an_answer_with_close_is_not_kept() -> None:
    host = await FakeHost(behave=say(answer(b"", "200 OK", "Connection: close"))).start()
    bench = Bench(host.address)
    assert (await bench.run())[0] is Outcome.SUCCESS
    assert await host.closed.get() == 0


@pytest.mark.parametrize("act", [lambda b, a: b.upstream.retire(b.host), lambda b, a: a.cancel()])
@pytest.mark.parametrize("turns", [0, 3])
@on_loop
async def test_an_attempt_still_connecting_is_called_back_unsent(
    act: Callable[[Bench, Attempt], None], turns: int
) -> None:
    """Rule 3: a drain counts for what has not sent its first byte; the module may place it again. Its
    descriptor comes back also where the connect had not taken its first step."""
    dead = NeverUp()
    bench = Bench(dead.address)
    attempt = bench.start()
    for _ in range(turns):
        await asyncio.sleep(0)
    assert bench.host.connecting
    act(bench, attempt)
    assert [outcome for outcome, _ in bench.results] == [Outcome.NOT_SENT]
    await until(lambda: bench.descriptors.used == 0)
    dead.close()


@on_loop
async def test_a_retired_host_loses_its_idle_connections() -> None:
    host = await FakeHost().start()
    bench = Bench(host.address)
    await bench.run()
    bench.upstream.retire(bench.host)
    assert await host.closed.get() == 0
    assert (await bench.run())[0] is Outcome.NOT_SENT
    await until(lambda: bench.descriptors.used == 0)
    assert (len(host.seen), len(host.writers)) == (
        1,
        1,
    )  # not even a connection: it would cost the host work


@on_loop
async def test_with_no_descriptor_left_nothing_is_sent() -> None:
    """Running into the process's limit would fail at an accept, where nobody can be answered."""
    host = await FakeHost(behave=hang).start()
    bench = Bench(host.address, sockets=1)
    first = bench.start()
    await host.came.get()
    assert (await bench.run())[0] is Outcome.NOT_SENT
    first.cancel()
    await until(lambda: bench.descriptors.used == 0)


@on_loop
async def test_an_idle_connection_makes_room_for_another_host() -> None:
    one, other = await FakeHost().start(), await FakeHost().start()
    bench = Bench(one.address, sockets=1)
    await bench.run()
    bench.host = Host("s-2", other.address)
    assert (await bench.run())[0] is Outcome.SUCCESS
    assert await one.closed.get() == 0


@on_loop
async def test_past_a_lowered_limit_connections_are_not_kept() -> None:
    """Another process of the gateway was given descriptors while each connection was at work."""
    host = await FakeHost(behave=hang).start()
    bench = Bench(host.address, sockets=4)
    for _ in range(4):
        bench.start()
        await host.came.get()
    bench.descriptors.limit = 2
    for writer in host.writers:
        writer.write(answer())
    await until(lambda: len(bench.results) == 4 and bench.descriptors.used <= 2)
    assert [outcome for outcome, _ in bench.results] == [Outcome.SUCCESS] * 4
    assert len(bench.host.idle) == bench.descriptors.used == 2


@on_loop
async def test_an_answer_in_pieces_is_whole() -> None:
    async def dribble(message: Message, writer: asyncio.StreamWriter) -> None:
        for byte in answer(b"in pieces"):
            writer.write(bytes((byte,)))
            await writer.drain()
            await asyncio.sleep(0)

    bench = Bench((await FakeHost(behave=dribble).start()).address)
    outcome, reply = await bench.run()
    assert (outcome, reply and reply.body) == (Outcome.SUCCESS, b"in pieces")


@on_loop
async def test_a_connection_that_comes_up_too_late_for_its_attempt_carries_nothing() -> None:
    """Behind the window in which repeats of a key are dropped, or the own turn at a cold host."""
    host = await FakeHost().start()
    bench = Bench(host.address)
    bench.upstream.start(
        bench.host,
        REQUEST,
        LONG_S,
        lambda outcome, got, _: bench.results.append((outcome, got)),
        latest=monotonic(),
    )
    await until(lambda: bool(bench.results))
    assert bench.results == [(Outcome.NOT_SENT, None)]
    await host.closed.get()
    assert host.seen == []
