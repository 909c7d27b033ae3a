"""Tests of the outcome of each end of an attempt: the table, and its rows on real sockets."""

from __future__ import annotations

import asyncio

import pytest

from quillroad.balancing.events import NEVER_RAN, Outcome
from quillroad.upstream.outcome import ATTEMPT_RESULTS, AttemptEnd, outcome_of_answer
from tests.net import (
    Behaviour,
    FakeHost,
    UnacceptingHost,
    answer,
    break_off,
    on_loop,
    reset,
    say,
    until,
)
from tests.upstream.helpers import CHUNKED, UpstreamHarness


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
        # Without a declared length, a complete answer and a lost connection look the same.
        (say(b"HTTP/1.1 200 OK\r\n\r\nwhole?", end=True), Outcome.RESET, None),
        (say(b"no HTTP at all\r\n\r\n"), Outcome.ERROR, None),
        (say(answer(b"x" * 70_000)), Outcome.ERROR, None),
        (say(b"HTTP/1.1 200 OK\r\nX: " + b"y" * 20_000 + b"\r\n\r\n"), Outcome.ERROR, None),
        # These answers are never completed, and the connection stays open.
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
async def test_answer_determines_the_outcome(
    behave: Behaviour, outcome: Outcome, body: bytes | None
) -> None:
    """A request that may have been executed must not be reported as not started, and an incomplete
    answer must not be reported as a success.
    """
    harness = UpstreamHarness((await FakeHost(behave=behave).start()).address)
    actual_outcome, reply = await harness.run()
    assert actual_outcome is outcome
    assert (reply.body if reply else None) == body
    await until(lambda: harness.descriptors.used == len(harness.host.idle))


@on_loop
async def test_refused_connect_is_connect_failed() -> None:
    """The host process is down and its machine refuses the connection: nothing was executed."""
    host = await FakeHost().start()
    host._server.close()
    await host._server.wait_closed()
    harness = UpstreamHarness(host.address)
    assert (await harness.run())[0] is Outcome.CONNECT_FAILED
    await until(lambda: harness.descriptors.used == 0)


@on_loop
async def test_connect_timeout_is_connect_failed() -> None:
    """The accept backlog of the host is full, so it never accepts: nothing was executed."""
    unreachable_host = UnacceptingHost()
    harness = UpstreamHarness(unreachable_host.address, connect_timeout_s=0.1)
    assert (await harness.run())[0] is Outcome.CONNECT_FAILED
    await until(lambda: harness.descriptors.used == 0)
    unreachable_host.close()


@on_loop
async def test_attempt_timeout_while_connecting_is_connect_failed() -> None:
    """The attempt times out before the connect does: nothing was executed."""
    unreachable_host = UnacceptingHost()
    harness = UpstreamHarness(unreachable_host.address)
    assert (await harness.run(timeout_s=0.05))[0] is Outcome.CONNECT_FAILED
    await until(lambda: harness.descriptors.used == 0)
    unreachable_host.close()


@on_loop
async def test_reset_before_the_last_byte_is_connect_failed() -> None:
    """The host resets the connection while most of the request is unsent, so it cannot have
    started the request.
    """

    async def reset_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(10)
        reset(writer)

    server = await asyncio.start_server(reset_early, "127.0.0.1", 0)
    harness = UpstreamHarness(server.sockets[0].getsockname())
    request = b"POST / HTTP/1.1\r\n\r\n" + b"x" * 32 * 1024 * 1024
    assert (await harness.run(request))[0] is Outcome.CONNECT_FAILED
    server.close()


def test_each_attempt_end_has_a_result() -> None:
    assert set(ATTEMPT_RESULTS) == set(AttemptEnd)


@pytest.mark.parametrize("end", list(AttemptEnd))
def test_outcome_is_never_ran_only_if_request_cannot_have_run(end: AttemptEnd) -> None:
    """If a request may have run and is retried as if it had not, it can take effect twice."""
    result = ATTEMPT_RESULTS[end]
    assert result.may_have_run is (result.outcome not in NEVER_RAN)


@pytest.mark.parametrize(
    ("status", "promise", "end"),
    [
        (200, None, AttemptEnd.ANSWER_200),
        (200, b"1", AttemptEnd.ANSWER_200),
        (503, b"1", AttemptEnd.ANSWER_NOT_STARTED),
        (504, b"1", AttemptEnd.ANSWER_NOT_STARTED),
        (503, None, AttemptEnd.ANSWER_OTHER),
        (503, b"0", AttemptEnd.ANSWER_OTHER),
        (500, b"1", AttemptEnd.ANSWER_OTHER),
        (404, None, AttemptEnd.ANSWER_OTHER),
        (201, None, AttemptEnd.ANSWER_OTHER),
    ],
)
def test_only_503_and_504_with_not_started_header_are_rejected(
    status: int, promise: bytes | None, end: AttemptEnd
) -> None:
    """A 503 may come from a proxy behind which the request is still running; it must not count as
    a request that was never started.
    """
    headers = {} if promise is None else {b"not-started": promise}
    assert outcome_of_answer(status, headers) is ATTEMPT_RESULTS[end].outcome
