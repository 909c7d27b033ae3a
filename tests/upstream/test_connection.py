"""Tests of how one connection to a host handles answers and unexpected data."""

from __future__ import annotations

import asyncio

import pytest

from quillroad.balancing.events import Outcome
from tests.net import (
    FakeHost,
    Message,
    answer,
    on_loop,
    say,
)
from tests.upstream.helpers import CHUNKED, UpstreamHarness


@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\nConte",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        CHUNKED + b"3\r\nab",
    ],
)
@on_loop
async def test_incomplete_answer_fails_after_the_connect_timeout(start: bytes) -> None:
    """Hosts write an answer at once. If the rest never arrives, the request would otherwise wait
    until its deadline.
    """
    host = await FakeHost(behave=say(start)).start()
    harness = UpstreamHarness(host.address, connect_timeout_s=0.1)
    assert (await harness.run())[0] is Outcome.ERROR
    assert await host.closed.get() == 0


@pytest.mark.parametrize("extra", [answer(b"again"), b"noise", b"HTTP/1.1 200 OK\r\n"])
@on_loop
async def test_connection_with_surplus_data_is_not_reused(extra: bytes) -> None:
    """A second answer after the first would be given to the next client."""
    host = await FakeHost(behave=say(answer(b"mine") + extra)).start()
    harness = UpstreamHarness(host.address)
    outcome, reply = await harness.run()
    assert outcome is Outcome.SUCCESS
    assert reply is not None
    assert reply.body == b"mine"
    assert await host.closed.get() == 0


@on_loop
async def test_unrequested_data_closes_an_idle_connection() -> None:
    """An unrequested answer of a host would be taken for the answer to the next request."""
    host = await FakeHost().start()
    harness = UpstreamHarness(host.address)
    await harness.run()
    host.writers[0].write(answer(b"not asked for"))
    assert await host.closed.get() == 0


@on_loop
async def test_answer_with_connection_close_is_not_kept() -> None:
    """After `Connection: close`, another request on that connection would be lost."""
    host = await FakeHost(behave=say(answer(b"", "200 OK", "Connection: close"))).start()
    harness = UpstreamHarness(host.address)
    assert (await harness.run())[0] is Outcome.SUCCESS
    assert await host.closed.get() == 0


@on_loop
async def test_answer_in_pieces_is_complete() -> None:
    """An answer that arrives byte by byte on a slow network is assembled completely."""

    async def send_byte_by_byte(message: Message, writer: asyncio.StreamWriter) -> None:
        for byte in answer(b"in pieces"):
            writer.write(bytes((byte,)))
            await writer.drain()
            await asyncio.sleep(0)

    harness = UpstreamHarness((await FakeHost(behave=send_byte_by_byte).start()).address)
    outcome, reply = await harness.run()
    assert (outcome, reply and reply.body) == (Outcome.SUCCESS, b"in pieces")
