"""Tests of attempts that end without an answer: timed out, cancelled, withdrawn, too late."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic

import pytest

from quillroad.balancing.events import Outcome
from quillroad.upstream.pool import Attempt
from tests.net import (
    FakeHost,
    UnacceptingHost,
    answer,
    hang,
    on_loop,
    serve_ok,
    until,
)
from tests.upstream.helpers import LONG_TIMEOUT_S, REQUEST, UpstreamHarness


@on_loop
async def test_timeout_at_a_silent_host_closes_its_idle_connections() -> None:
    """A machine that went down leaves its connections open. Each further request on one of them
    would hang until its timeout.
    """
    host = await FakeHost(behave=hang).start()
    harness = UpstreamHarness(host.address)
    for number in range(2):
        harness.start()
        await until(lambda number=number: len(host.seen) == number + 1)  # type: ignore[misc]
    host.writers[0].write(answer())
    await until(lambda: len(harness.results) == 1)
    harness.host.last_heard_at -= 1.0
    attempt = harness.start(timeout_s=0.05)
    await until(lambda: attempt.is_over)
    assert not harness.host.idle or all(c.is_closing() for c in harness.host.idle)


@on_loop
async def test_timed_out_attempt_closes_its_connection() -> None:
    """Otherwise the late answer would be taken for the answer to the next request."""
    host = await FakeHost(behave=hang).start()
    harness = UpstreamHarness(host.address)
    assert (await harness.run(timeout_s=0.05))[0] is Outcome.TIMEOUT
    assert await host.closed.get() == 0
    assert not harness.host.idle


@on_loop
async def test_cancelled_attempt_closes_its_connection() -> None:
    """An attempt that is cancelled twice, because another attempt answered first, ends once, and
    the next request gets a new connection.
    """
    host = await FakeHost(behave=hang).start()
    harness = UpstreamHarness(host.address)
    attempt = harness.start()
    await host.came.get()
    attempt.cancel()
    attempt.cancel()
    assert [outcome for outcome, _ in harness.results] == [Outcome.CANCELLED]
    assert await host.closed.get() == 0
    host.behave = serve_ok
    assert (await harness.run())[0] is Outcome.SUCCESS
    assert len(host.writers) == 2


@pytest.mark.parametrize("act", [lambda b, a: b.upstream.retire(b.host), lambda b, a: a.cancel()])
@pytest.mark.parametrize("loop_turns", [0, 3])
@on_loop
async def test_connecting_attempt_is_withdrawn_unsent(
    act: Callable[[UpstreamHarness, Attempt], None], loop_turns: int
) -> None:
    """A draining host must not receive attempts whose first byte was not sent; the balancer may
    send them to another host. The descriptor is released even if the connect task never ran.
    """
    unreachable_host = UnacceptingHost()
    harness = UpstreamHarness(unreachable_host.address)
    attempt = harness.start()
    for _ in range(loop_turns):
        await asyncio.sleep(0)
    assert harness.host.connecting
    act(harness, attempt)
    assert [outcome for outcome, _ in harness.results] == [Outcome.NOT_SENT]
    await until(lambda: harness.descriptors.used == 0)
    unreachable_host.close()


@on_loop
async def test_nothing_is_sent_on_a_connection_established_too_late() -> None:
    """A request sent after its `send_by` time could be executed twice, because the deduplication
    window of its key is over, or could reach a warming-up host outside its slot.
    """
    host = await FakeHost().start()
    harness = UpstreamHarness(host.address)
    harness.upstream.start(
        harness.host,
        REQUEST,
        LONG_TIMEOUT_S,
        lambda outcome, received_answer, _: harness.results.append((outcome, received_answer)),
        send_by=monotonic(),
    )
    await until(lambda: bool(harness.results))
    assert harness.results == [(Outcome.NOT_SENT, None)]
    await host.closed.get()
    assert host.seen == []
