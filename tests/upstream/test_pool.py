"""Tests of connection reuse, idle connections and descriptor limits, on real sockets."""

from __future__ import annotations

import pytest

from quillroad.balancing.events import Outcome
from quillroad.upstream import pool
from quillroad.upstream.pool import Host
from tests.net import (
    FakeHost,
    answer,
    hang,
    on_loop,
    say,
    serve_ok,
    until,
)
from tests.upstream.helpers import UpstreamHarness


@on_loop
async def test_most_recently_used_connection_is_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    """New connections cost the host work; connections that are not needed should expire idle."""
    monkeypatch.setattr(pool, "REUSE_DELAY_S", -1.0)
    host = await FakeHost(behave=hang).start()
    harness = UpstreamHarness(host.address)
    for number in range(2):
        harness.start()
        await until(lambda number=number: len(host.seen) == number + 1)  # type: ignore[misc]
    for number in (0, 1):
        host.writers[number].write(answer())
        await until(lambda number=number: len(harness.results) == number + 1)  # type: ignore[misc]
    latest = harness.host.idle[-1]
    host.behave = serve_ok
    assert (await harness.run())[0] is Outcome.SUCCESS
    assert harness.host.idle[-1] is latest
    assert len(host.writers) == 2


@on_loop
async def test_idle_connection_closed_by_the_host_is_removed() -> None:
    """When the host closes an idle connection, its descriptor is released and the next request
    gets a new connection.
    """
    host = await FakeHost().start()
    harness = UpstreamHarness(host.address)
    await harness.run()
    host.writers[0].close()
    await until(lambda: not harness.host.idle)
    assert harness.descriptors.used == 0
    assert (await harness.run())[0] is Outcome.SUCCESS
    assert len(host.writers) == 2


@on_loop
async def test_idle_connections_are_closed_before_the_hosts_timeout() -> None:
    """A request that is sent while the host closes the idle connection would be lost."""
    host = await FakeHost().start()
    harness = UpstreamHarness(host.address)
    await harness.run()
    harness.upstream.close_expired()
    assert not harness.host.idle[0].is_closing()
    harness.host.idle[0].idle_since -= 8.0  # hosts close idle connections after 15 s
    harness.upstream.close_expired()
    assert await host.closed.get() == 0
    await until(lambda: not harness.host.idle)


@on_loop
async def test_late_second_answer_is_not_given_to_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A second answer is unread in the kernel when the next request needs the connection; if the
    connection were reused, another client would get that answer. With no reuse delay, only the
    check for unread data guards against it.
    """
    monkeypatch.setattr(pool, "REUSE_DELAY_S", -1.0)
    host = await FakeHost(behave=say(answer(b"first"))).start()
    harness = UpstreamHarness(host.address)
    await harness.run()
    idle_connection = harness.host.idle[0]
    host.writers[0].write(answer(b"copy"))  # sent at once; this event loop has not read it yet
    while not idle_connection.has_unread_data():
        pass
    host.behave = say(answer(b"second"))
    outcome, reply = await harness.run()
    assert (outcome, reply and reply.body) == (Outcome.SUCCESS, b"second")
    assert len(host.writers) == 2


@on_loop
async def test_connection_is_not_reused_before_the_reuse_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Surplus data that arrives shortly after an answer must reach an idle connection, not one
    that carries the next request.
    """
    monkeypatch.setattr(pool, "REUSE_DELAY_S", 1000.0)
    host = await FakeHost().start()
    harness = UpstreamHarness(host.address)
    for number in (1, 2):
        assert (await harness.run())[0] is Outcome.SUCCESS
        assert len(host.writers) == number
    harness.host.idle[0].idle_since -= 1001.0
    assert (await harness.run())[0] is Outcome.SUCCESS
    assert len(host.writers) == 2


@on_loop
async def test_retired_host_loses_its_idle_connections() -> None:
    """When a host drains, its idle connections are closed and no more requests are sent to it."""
    host = await FakeHost().start()
    harness = UpstreamHarness(host.address)
    await harness.run()
    harness.upstream.retire(harness.host)
    assert await host.closed.get() == 0
    assert (await harness.run())[0] is Outcome.NOT_SENT
    await until(lambda: harness.descriptors.used == 0)
    # No new connection was opened either: it would cost the host work.
    assert (len(host.seen), len(host.writers)) == (1, 1)


@on_loop
async def test_attempt_without_a_free_descriptor_is_not_sent() -> None:
    """At the descriptor limit of the process, accepting clients would fail, and those
    clients could not be answered.
    """
    host = await FakeHost(behave=hang).start()
    harness = UpstreamHarness(host.address, descriptor_count=1)
    first = harness.start()
    await host.came.get()
    assert (await harness.run())[0] is Outcome.NOT_SENT
    first.cancel()
    await until(lambda: harness.descriptors.used == 0)


@on_loop
async def test_idle_connection_is_closed_for_another_host() -> None:
    """The only descriptor is used by an idle connection to one host when a request for another
    host needs it.
    """
    host_1, host_2 = await FakeHost().start(), await FakeHost().start()
    harness = UpstreamHarness(host_1.address, descriptor_count=1)
    await harness.run()
    harness.host = Host("s-2", host_2.address)
    assert (await harness.run())[0] is Outcome.SUCCESS
    assert await host_1.closed.get() == 0


@on_loop
async def test_connections_beyond_a_lowered_limit_are_not_kept() -> None:
    """The limit drops, in favour of a sibling process, while each connection carries a request."""
    host = await FakeHost(behave=hang).start()
    harness = UpstreamHarness(host.address, descriptor_count=4)
    for _ in range(4):
        harness.start()
        await host.came.get()
    harness.descriptors.limit = 2
    for writer in host.writers:
        writer.write(answer())
    await until(lambda: len(harness.results) == 4 and harness.descriptors.used <= 2)
    assert [outcome for outcome, _ in harness.results] == [Outcome.SUCCESS] * 4
    assert len(harness.host.idle) == harness.descriptors.used == 2
