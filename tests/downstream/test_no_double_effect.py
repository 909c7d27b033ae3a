"""No request takes effect twice: which requests may be retried or hedged."""

from __future__ import annotations

from typing import Any

import pytest

from tests.downstream.clients import reject_not_started
from tests.net import (
    answer,
    break_off,
    hang,
    on_loop,
    say,
    serve_ok,
    told_settings,
    world,
)


@pytest.mark.parametrize(
    "behave", [break_off, say(answer(b"", "500 Error")), say(answer(b"", "503 Busy"))]
)
@on_loop
async def test_a_non_idempotent_request_is_not_sent_again_once_it_may_have_run(behave: Any) -> None:
    """The host resets the connection, or answers 500 or 503 without `Not-Started`: the request may
    have taken effect.
    """
    async with world(behave, behave) as w, w.client() as client:
        assert (await client.ask("/audit/k", b"x")).status == 502
        assert sum(len(host.seen) for host in w.hosts) == 1


@on_loop
async def test_a_non_idempotent_request_that_was_not_started_is_sent_again() -> None:
    """The host answers `Not-Started`: a retry cannot repeat an effect."""
    async with world(reject_not_started, serve_ok) as w:
        for _ in range(200):  # until the host that rejects was selected
            async with w.client() as client:
                assert (await client.ask("/audit/k", b"x")).status == 200
            if w.hosts[0].seen:
                break
        assert w.hosts[0].seen[0].headers["request-id"] == w.hosts[1].seen[-1].headers["request-id"]


@on_loop
async def test_a_keyed_request_is_sent_again_with_its_key() -> None:
    # Without hedging: on a busy machine a hedge of an earlier request may have used the budget.
    """Hosts deduplicate by key: a retry with another key would take effect twice."""
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
async def test_a_slow_request_is_hedged_and_the_slower_attempt_cancelled() -> None:
    """Without the cancellation the slow host would go on with a request already answered."""
    async with world(serve_ok, serve_ok) as w, w.client() as client:
        for _ in range(20):  # learn the latency, and earn the token for a hedge
            await client.ask()
        slow, quick = w.hosts
        slow.seen.clear()
        slow.behave = hang
        while not slow.seen:
            assert (await client.ask()).status == 200
        await slow.closed.get()
        assert slow.seen[0].headers["request-id"] == quick.seen[-1].headers["request-id"]


@on_loop
async def test_the_id_of_an_open_request_is_not_accepted_twice() -> None:
    """Hosts would take two requests with one id for attempts of the same request."""
    async with world(hang) as w, w.client() as one, w.client() as other:
        one.send(Request_Id="same")
        await w.hosts[0].came.get()
        assert (await other.ask(Request_Id="same")).status == 400
        assert len(w.hosts[0].seen) == 1
