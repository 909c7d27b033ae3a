"""An event loop that stood still: what came meanwhile is read before anything is judged late."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from quillroad.overload.event_loop_lag import LATE_S, STALL_S, TICK_S, EventLoopLag
from testbed.account import RequestClass, count_outcomes, total
from testbed.environment import Environment
from testbed.schedule import steady
from tests.net import Message, answer, on_loop, until, world
from tests.overload.support import stand_still

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 0.9, 2.0),
    RequestClass("seat-checkout", 0.75, 0.9, 8.0, keyed=True, body_bytes=200),
]


def test_ticks_lateness_and_stalls_are_told_apart() -> None:
    assert TICK_S < LATE_S < STALL_S


def test_missing_ticks_are_a_stall_until_all_is_read() -> None:
    loop_lag = EventLoopLag(0.0)
    assert loop_lag.begin(10.0)
    assert not loop_lag.begin(10.0)
    for i in range(1, 9):
        loop_lag.tick(10.0 + i * TICK_S)
        assert not loop_lag.late(10.0 + (i + 1) * TICK_S)
        assert not loop_lag.stalled(10.0 + (i + 1) * TICK_S)
    last = 10.0 + 8 * TICK_S
    assert loop_lag.late(last + LATE_S + 0.001)
    assert not loop_lag.stalled(last + STALL_S - 0.001)
    assert loop_lag.stalled(last + 2.0)
    assert loop_lag.clock(last + 2.0) == last  # it stands still
    assert loop_lag.stalled(last + 2.001)
    loop_lag.caught_up(last + 2.002)
    assert not loop_lag.stalled(last + 2.003)
    assert loop_lag.clock(last + 2.003) == last + 2.003
    assert loop_lag.stalls == 1


def test_no_ticks_without_work_are_no_stall() -> None:
    loop_lag = EventLoopLag(0.0)
    assert not loop_lag.stalled(100.0)
    loop_lag.begin(100.0)
    loop_lag.end()
    assert not loop_lag.stalled(200.0)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["tick", "ask", "caught_up", "begin", "end"]), st.floats(0.0, 3.0)
        ),
        max_size=80,
    )
)
def test_the_clock_of_outcomes_stands_still_only_in_stalls(
    steps: list[tuple[str, float]],
) -> None:
    """It is never ahead of the time, either."""
    loop_lag, now = EventLoopLag(0.0), 0.0
    for step, passed in steps:
        now += passed
        if step == "ask":
            stalled = loop_lag.stalled(now)
            assert stalled == loop_lag.catching_up
            assert (loop_lag.clock(now) == now) or stalled
        elif step == "tick" and not loop_lag.catching_up:
            loop_lag.tick(now)
        elif step == "caught_up":
            loop_lag.caught_up(now)
            assert not loop_lag.stalled(now)
        elif step == "begin":
            loop_lag.begin(now)
        elif step == "end":
            loop_lag.end()
        assert loop_lag.clock(now) <= now


@on_loop
async def test_answers_read_late_are_judged_by_when_they_came() -> None:
    """All hosts answer at once, and the gateway stands still past the time-out of the attempts.

    Timers used to run before sockets were read: the attempts timed out, and healthy hosts were
    ejected for it."""
    waiting: list[asyncio.StreamWriter] = []
    holding = False

    async def answer_or_hold(message: Message, writer: asyncio.StreamWriter) -> None:
        if holding:
            waiting.append(writer)
        else:
            writer.write(answer())

    async with world(*[answer_or_hold] * 3) as w:
        clients = [await w.client().__aenter__() for _ in range(6)]
        for client in clients * 4:
            assert (await client.ask(Request_Timeout_Ms="700")).status == 200
        servers = list(w.gateway.engine._balancer.hosts.values())
        holding = True
        for client in clients:
            client.send(Request_Timeout_Ms="700")
        await until(lambda: len(waiting) >= 6)
        for writer in waiting:
            writer.write(answer())
        stand_still(1.0)
        assert {(await client.receive()).status for client in clients} == {504}
        holding = False
        assert (
            min(server.payoff for server in servers) > 0.95
        )  # one outcome of none would leave 0.88
        assert not any(server.ejections for server in servers)
        for client in clients:
            assert (await client.ask()).status == 200
            await client.__aexit__()


@on_loop
async def test_a_stopped_gateway_ejects_no_host(tmp_path: Path) -> None:
    """SIGSTOP for 2 s under load.

    What lay in the kernel is judged by its true age, healthy hosts stay in rotation, and service is
    back at once."""
    async with Environment(tmp_path, REQUEST_CLASSES, hosts=6, delay=0.02) as environment:
        load = environment.load()
        loop = asyncio.get_running_loop()
        stopped: list[float] = []

        def pause() -> None:
            environment.gateway.pause()
            stopped.append(time.monotonic())

        loop.call_later(0.7, pause)
        loop.call_later(2.7, environment.gateway.resume)
        await load.open_loop(steady(150, 4.2))
        whole = total(count_outcomes(load.records, REQUEST_CLASSES).values())
        assert (whole.late, load.unsent) == (0, 0)
        assert environment.violations(load) == []
        after = [r for r in load.records if r.sent > stopped[0] + 3.0]
        assert len(after) > 30
        assert {r.status for r in after} == {200}
    assert "eject server" not in environment.log
    assert "the loop stood still" in environment.log
