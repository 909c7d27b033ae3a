"""Event loop stalls: data received meanwhile is read before any time-out is applied."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.balancing.events import TimerFired
from quillroad.overload.event_loop_lag import LATE_S, STALL_S, TICK_S, EventLoopLag
from testbed.account import RequestClass, count_outcomes, total
from testbed.environment import Environment
from testbed.schedule import steady
from tests.net import Message, answer, hang, on_loop, told_settings, until, world
from tests.overload.support import block_process

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 0.9, 2.0),
    RequestClass("seat-checkout", 0.75, 0.9, 8.0, keyed=True, body_bytes=200),
]


def test_tick_lag_and_stall_thresholds_are_in_ascending_order() -> None:
    assert TICK_S < LATE_S < STALL_S


def test_missing_ticks_are_a_stall_until_the_loop_has_caught_up() -> None:
    loop_lag = EventLoopLag(0.0)
    assert loop_lag.begin(10.0)
    assert not loop_lag.begin(10.0)
    for i in range(1, 9):
        loop_lag.tick(10.0 + i * TICK_S)
        assert not loop_lag.late(10.0 + (i + 1) * TICK_S)
        assert not loop_lag.stalled(10.0 + (i + 1) * TICK_S)
    last_tick = 10.0 + 8 * TICK_S
    assert loop_lag.late(last_tick + LATE_S + 0.001)
    assert not loop_lag.stalled(last_tick + STALL_S - 0.001)
    assert loop_lag.stalled(last_tick + 2.0)
    assert loop_lag.clock(last_tick + 2.0) == last_tick  # the clock is stopped
    assert loop_lag.stalled(last_tick + 2.001)
    loop_lag.caught_up(last_tick + 2.002)
    assert not loop_lag.stalled(last_tick + 2.003)
    assert loop_lag.clock(last_tick + 2.003) == last_tick + 2.003
    assert loop_lag.stalls == 1


def test_missing_ticks_without_work_are_no_stall() -> None:
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
def test_the_outcome_clock_stops_only_during_stalls(
    actions: list[tuple[str, float]],
) -> None:
    """It is also never ahead of the actual time."""
    loop_lag, now = EventLoopLag(0.0), 0.0
    for action, elapsed in actions:
        now += elapsed
        if action == "ask":
            stalled = loop_lag.stalled(now)
            assert stalled == loop_lag.catching_up
            assert (loop_lag.clock(now) == now) or stalled
        elif action == "tick" and not loop_lag.catching_up:
            loop_lag.tick(now)
        elif action == "caught_up":
            loop_lag.caught_up(now)
            assert not loop_lag.stalled(now)
        elif action == "begin":
            loop_lag.begin(now)
        elif action == "end":
            loop_lag.end()
        assert loop_lag.clock(now) <= now


@on_loop
async def test_answers_read_late_are_judged_by_their_arrival_time() -> None:
    """All hosts answer immediately, but the gateway is blocked past the time-out of the attempts.

    When timers ran before sockets were read, the attempts timed out and healthy hosts were ejected.
    """
    held_writers: list[asyncio.StreamWriter] = []
    hold_answers = False

    async def answer_or_hold(message: Message, writer: asyncio.StreamWriter) -> None:
        if hold_answers:
            held_writers.append(writer)
        else:
            writer.write(answer())

    async with world(*[answer_or_hold] * 3) as w:
        clients = [await w.client().__aenter__() for _ in range(6)]
        for client in clients * 4:
            assert (await client.ask(Request_Timeout_Ms="700")).status == 200
        gateway_hosts = list(w.gateway.engine._balancer.hosts.values())
        hold_answers = True
        for client in clients:
            client.send(Request_Timeout_Ms="700")
        await until(lambda: len(held_writers) >= 6)
        for writer in held_writers:
            writer.write(answer())
        block_process(1.0)
        assert {(await client.receive()).status for client in clients} == {504}
        hold_answers = False
        assert (
            min(host.payoff for host in gateway_hosts) > 0.95
        )  # one failed attempt would reduce it to 0.88
        assert not any(host.ejections for host in gateway_hosts)
        for client in clients:
            assert (await client.ask()).status == 200
            await client.__aexit__()


@on_loop
async def test_a_stopped_gateway_ejects_no_host(tmp_path: Path) -> None:
    """SIGSTOP stops the gateway for 2 s under load.

    Data in the socket buffers must be judged by its real age, no healthy host may be ejected, and
    service must recover immediately."""
    async with Environment(tmp_path, REQUEST_CLASSES, hosts=6, delay=0.02) as environment:
        load = environment.load()
        loop = asyncio.get_running_loop()
        paused_at: list[float] = []

        def pause() -> None:
            environment.gateway.pause()
            paused_at.append(time.monotonic())

        loop.call_later(0.7, pause)
        loop.call_later(2.7, environment.gateway.resume)
        await load.open_loop(steady(150, 4.2))
        totals = total(count_outcomes(load.records, REQUEST_CLASSES).values())
        assert (totals.late, load.unsent) == (0, 0)
        assert environment.violations(load) == []
        records_after_stall = [r for r in load.records if r.sent > paused_at[0] + 3.0]
        assert len(records_after_stall) > 30
        assert {r.status for r in records_after_stall} == {200}
    assert "eject server" not in environment.log
    assert "event loop stalled" in environment.log


@on_loop
async def test_no_host_is_ejected_by_the_first_event_after_a_stall() -> None:
    """The stall is in a socket callback, and the next event is fed before any timer runs.

    Answers may be in the kernel: attempts must not be overdue before these have been read.
    """
    settings = told_settings()
    for lane in settings["lanes"]:
        lane["goal_time"] = 100_000
    async with world(*[hang] * 3, settings=settings) as w:
        clients = [await w.client().__aenter__() for _ in range(3)]
        for client in clients:
            client.send()
        await until(lambda: sum(len(host.seen) for host in w.hosts) == len(clients))
        engine = w.gateway.engine
        block_process(1.0)
        engine.feed(TimerFired(0))
        hosts = list(engine._balancer.hosts.values())
        assert [host.overdue for host in hosts] == [0, 0, 0]
        assert not any(host.ejections for host in hosts)
        # Once all sockets have been read, hosts that sent nothing count as silent.
        await until(lambda: not engine._loop_monitor.stalled())
        engine.feed(TimerFired(0))
        assert sum(host.overdue for host in hosts) == len(clients)
        for client in clients:
            await client.__aexit__()


def test_data_read_after_a_late_tick_may_have_waited() -> None:
    """The tick itself comes before the sockets are read that waited for it."""
    loop_lag = EventLoopLag(10.0)
    loop_lag.begin(10.0)
    loop_lag.tick(10.0 + LATE_S + 0.01)
    assert loop_lag.late(10.0 + LATE_S + 0.02)
    loop_lag.tick(10.0 + LATE_S + 0.01 + TICK_S)
    assert not loop_lag.late(10.0 + LATE_S + 0.02 + TICK_S)


def test_total_lag_counts_late_ticks_and_the_current_delay() -> None:
    loop_lag = EventLoopLag(10.0)
    loop_lag.begin(10.0)
    loop_lag.tick(10.0 + TICK_S)
    assert loop_lag.total_lag_s(10.0 + 2 * TICK_S) == 0.0
    late_at = 10.0 + TICK_S + 0.100
    assert loop_lag.total_lag_s(late_at) == pytest.approx(0.100 - TICK_S)
    loop_lag.tick(late_at)
    assert loop_lag.total_lag_s(late_at) == pytest.approx(0.100 - TICK_S)
    assert loop_lag.stalled(late_at + 1.0)
    loop_lag.caught_up(late_at + 1.0)
    assert loop_lag.total_lag_s(late_at + 1.0) == pytest.approx(1.100 - 2 * TICK_S)
