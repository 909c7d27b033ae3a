"""Accepting connections: in batches, within the descriptors, through failures and at the end."""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.overload import acceptor
from quillroad.overload.accept_backoff import FIRST_DELAY_S, MAX_DELAY_S, AcceptBackoff
from quillroad.overload.acceptor import MAX_BATCH, Acceptor, open_listener
from tests.net import on_loop, until


class Echo(asyncio.Protocol):
    """Counts the connections that came up."""

    def __init__(self, bench: Bench) -> None:
        self._bench = bench

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._bench.up.append(self._transport)

    def data_received(self, data: bytes) -> None:
        self._transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._bench.used -= 1


class Bench:
    """An acceptor with a count of descriptors."""

    def __init__(self, most: int = 10_000) -> None:
        self.up: list[asyncio.Transport] = []
        self.used, self.most, self.worst = 0, most, 0
        self.acceptor = Acceptor(
            asyncio.get_running_loop(),
            self._take,
            lambda: self.used < self.most,
            lambda _: self._given_up(),
        )
        listener = open_listener("127.0.0.1", 0)
        self.port = listener.getsockname()[1]
        self.acceptor.listen(listener)
        self.clients: list[socket.socket] = []

    def _take(self, _: socket.socket) -> Echo:
        self.used += 1
        self.worst = max(self.worst, self.used)
        return Echo(self)

    def _given_up(self) -> None:
        self.used -= 1

    def connect(self, count: int) -> None:
        """So many connects in one instant; the kernel accepts them, whatever the loop does."""
        for _ in range(count):
            client = socket.create_connection(("127.0.0.1", self.port))
            client.setblocking(False)
            self.clients.append(client)

    def close(self) -> None:
        self.acceptor.close()
        for client in self.clients:
            client.close()
        for transport in self.up:
            transport.abort()


@on_loop
async def test_many_connects_at_once_are_accepted_in_batches() -> None:
    """1,024 clients connect in one instant.

    With one accept a turn their wait grew with the square of their number, since each turn also
    serves all those that are already inside."""
    bench = Bench()
    bench.connect(4 * MAX_BATCH)
    turns = 0
    while len(bench.up) < 4 * MAX_BATCH:
        await asyncio.sleep(0)
        turns += 1
    assert turns < 100  # slices of 2 ms on a slow core; one for each connection would be 1,024
    bench.close()
    await until(lambda: bench.used == 0)


@on_loop
async def test_connections_beyond_the_descriptors_wait_in_the_kernel() -> None:
    """Twelve clients connect to a gateway that has five descriptors.

    Accepting the sixth would fail, or take the descriptor that an answer needs. It waits in the
    kernel, and is accepted when one of the five has ended."""
    bench = Bench(most=5)
    bench.connect(12)
    await until(lambda: len(bench.up) == 5)
    while len(bench.up) < 12:
        bench.up[len(bench.up) - 5].abort()
        seen = len(bench.up)
        await until(lambda seen=seen: len(bench.up) > seen)  # type: ignore[misc]
    assert bench.worst == 5
    bench.close()
    await until(lambda: bench.used == 0)


class FailingListener:
    """A listening socket whose accepts fail in a given way first."""

    def __init__(self, listener: socket.socket, *errors: int) -> None:
        self._listener, self._errors, self.asked = listener, list(errors), 0

    def accept(self) -> tuple[socket.socket, Any]:
        self.asked += 1
        if self._errors:
            raise OSError(self._errors.pop(0), "injected")
        return self._listener.accept()

    def fileno(self) -> int:
        return self._listener.fileno()

    def close(self) -> None:
        self._listener.close()


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
@on_loop
async def test_failed_accepts_back_off_and_the_listener_recovers(number: int) -> None:
    """Accepts fail four times for want of descriptors or memory, then they work.

    The listener stays readable meanwhile: without a wait after each failure the loop would spin.
    With an error that ended it, nobody would be served again."""
    bench = Bench()
    assert bench.acceptor._listener is not None
    failing = FailingListener(bench.acceptor._listener, *[number] * 4)
    bench.acceptor._listener = cast(Any, failing)
    began = time.monotonic()
    bench.connect(3)
    await until(lambda: len(bench.up) == 3)
    assert (
        failing.asked == 4 + 3 + 1
    )  # four failures with a wait after each, three that worked, none left
    assert time.monotonic() - began > (1 + 2 + 4 + 8) * FIRST_DELAY_S / 2
    bench.close()
    await until(lambda: bench.used == 0)


@on_loop
async def test_an_aborted_connection_does_not_delay_the_next() -> None:
    """Two clients go before they are accepted (ECONNABORTED); those behind them come at once."""
    bench = Bench()
    assert bench.acceptor._listener is not None
    failing = FailingListener(bench.acceptor._listener, errno.ECONNABORTED, errno.ECONNABORTED)
    bench.acceptor._listener = cast(Any, failing)
    bench.connect(2)
    await until(lambda: len(bench.up) == 2)
    assert failing.asked == 2 + 2 + 1
    bench.close()


@on_loop
async def test_closing_the_listener_accepts_all_that_wait() -> None:
    """The listener closes while more clients than one batch wait in the kernel with data sent.

    A listener that closes resets what waits in it: whole requests would be lost."""
    bench = Bench()
    bench.connect(MAX_BATCH + 10)
    for client in bench.clients:
        client.send(b"x")
    bench.acceptor.close()
    await until(lambda: len(bench.up) == MAX_BATCH + 10)
    loop = asyncio.get_running_loop()
    assert {await loop.sock_recv(client, 10) for client in bench.clients} == {b"x"}
    bench.close()
    await until(lambda: bench.used == 0)


@given(st.lists(st.booleans(), max_size=60))
def test_accept_backoff_doubles_is_bounded_and_resets(works: list[bool]) -> None:
    backoff, run = AcceptBackoff(), 0
    for worked in works:
        if worked:
            backoff.reset()
            run = 0
        else:
            assert backoff.next_delay_s() == min(MAX_DELAY_S, FIRST_DELAY_S * 2**run)
            run += 1


def test_the_last_accepts_empty_the_backlog() -> None:
    assert acceptor.MAX_LAST_ACCEPTS >= acceptor.BACKLOG
