"""Descriptors: discovery, health checks and host connections keep working while idle clients fill
every place.
"""

from __future__ import annotations

import asyncio
import os
import re
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from time import monotonic

import pytest

from quillroad.config import RESERVED
from quillroad.downstream import connection_limit, server, time_limits
from testbed.gateway import ROOT
from testbed.ports import free_port
from tests.net import (
    Client,
    FakeDiscovery,
    FakeHost,
    Message,
    World,
    config_data,
    on_loop,
    on_loop_within,
    read_message,
    serve_ok,
    until,
    world,
)
from tests.test_process import ended, program

DESCRIPTOR_LIMIT, IDLE_CLIENTS = 64, 150


async def served(port: int) -> bool:
    """Send a request, with retries on new connections, and return whether it was served."""
    for _ in range(200):
        try:
            async with asyncio.timeout(2.0), Client(port) as client:
                return (await client.ask()).status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.02)
    return False


@pytest.mark.parametrize("away", ["silent", "closed"])
@on_loop_within(40.0)
async def test_idle_clients_in_every_place_do_not_block_discovery_and_hosts(
    tmp_path: Path, away: str
) -> None:
    """The discovery watch, `/up` and requests need descriptors that idle clients could hold."""
    hosts = [await FakeHost(f"s-{i}").start() for i in range(2)]
    discovery = await FakeDiscovery(*(host.entry() for host in hosts)).start()
    port = free_port()
    data = config_data(
        discovery.port, listen=f"127.0.0.1:{port}", limits={"sockets": DESCRIPTOR_LIMIT}
    )
    process = await program(tmp_path, data)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))
    assert await served(port)
    discovery.silent = True
    discovery.watches[-1].close()
    if away == "closed":
        discovery._server.close()
        await discovery._server.wait_closed()
    idle = []
    for _ in range(IDLE_CLIENTS):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", port))
        idle.append(sock)

    def held() -> int:
        return len(os.listdir(f"/proc/{process.pid}/fd"))

    await until(lambda: held() > DESCRIPTOR_LIMIT // 2)
    assert await served(port) and held() <= DESCRIPTOR_LIMIT
    async with asyncio.timeout(5.0), Client(port) as client:
        assert (await client.ask("/up", method="GET")).status == 200
    # Discovery is back, and one host is draining meanwhile.
    discovery.generation += 1
    discovery.first = discovery.line(True, hosts[0].entry(lifecycle="draining"), hosts[1].entry())
    discovery.silent = False
    if away == "closed":
        discovery._server = await asyncio.start_server(
            discovery._serve, "127.0.0.1", discovery.port
        )
    watches = len(discovery.watches)
    await until(lambda: len(discovery.watches) > watches)
    assert await served(port)
    before = len(hosts[0].seen)
    for _ in range(10):
        assert await served(port)
    assert len(hosts[0].seen) == before and held() <= DESCRIPTOR_LIMIT
    process.terminate()
    code, log = await ended(process)
    assert code == 0 and "Traceback" not in log, log
    for sock in idle:
        sock.close()


@on_loop_within(40.0)
async def test_a_burst_of_clients_with_a_full_host_pool_stays_within_the_limit(
    tmp_path: Path,
) -> None:
    """Host connections are closed for clients, but hold their descriptors until the next iteration
    of the event loop. Accepts in the same iteration must not count on these descriptors, nor on
    those that the process inherited.
    """
    hosts = [await FakeHost(f"s-{i}").start() for i in range(4)]
    discovery = await FakeDiscovery(*(host.entry() for host in hosts)).start()
    port = free_port()
    data = config_data(
        discovery.port, listen=f"127.0.0.1:{port}", limits={"sockets": DESCRIPTOR_LIMIT}
    )
    leaks = os.pipe()
    process = await program(tmp_path, data, *leaks)
    for leak in leaks:
        os.close(leak)
    assert process.stderr is not None
    while (
        found := re.search(rb" (\d+) descriptors were open", await process.stderr.readline())
    ) is None:
        pass
    assert int(found[1]) >= len(leaks)
    places = DESCRIPTOR_LIMIT - RESERVED - int(found[1])
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT))

    def held() -> int:
        return len(os.listdir(f"/proc/{process.pid}/fd"))

    # Few clients whose requests follow each other so fast that nearly each one needs a new host
    # connection, until the pool is full.
    assert await served(port)
    base = held()
    fast_clients = [await Client(port).__aenter__() for _ in range(4)]
    while held() < base + places - 4:
        assert {
            reply.status for reply in await asyncio.gather(*(one.ask() for one in fast_clients))
        } == {200}
    for one in fast_clients:
        await one.__aexit__()
    await until(lambda: held() <= base + places - 4)
    # As many clients as places connect while the process is stopped.
    os.kill(process.pid, signal.SIGSTOP)
    clients = [await Client(port).__aenter__() for _ in range(places // 2)]
    os.kill(process.pid, signal.SIGCONT)
    replies = await asyncio.gather(*(client.ask() for client in clients))
    assert {reply.status for reply in replies} == {200}
    for client in clients:
        await client.__aexit__()
    process.terminate()
    code, log = await ended(process)
    assert code == 0 and "Traceback" not in log and "accept failed" not in log, log


async def connect_silent_clients(w: World, enough: Callable[[], bool]) -> list[Client]:
    """Connect silent clients one by one until `enough` returns True."""
    silent = list[Client]()
    while not enough():
        silent.append(await w.client().__aenter__())
        await asyncio.sleep(0)
    return silent


@pytest.mark.parametrize(("closes", "leaks"), [("", 0), ("", 4), ("os.close(0)", 0)])
def test_inherited_descriptors_are_counted(closes: str, leaks: int) -> None:
    code = (
        f"import os\n{closes}\nimport quillroad.inherited_descriptors as inherited\n"
        "print(inherited.count_inherited_descriptors())"
    )
    leaked = [os.dup(2) for _ in range(leaks)]
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
        pass_fds=leaked,
        timeout=20,
    )
    for leak in leaked:
        os.close(leak)
    assert int(done.stdout) == leaks


@pytest.mark.plain
@on_loop
async def test_silent_clients_past_the_limit_are_closed_for_a_new_client(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With all descriptors in use none is left for an accept: unless a silent connection is closed
    first, no client is accepted until silent ones disconnect by themselves.
    """
    monkeypatch.setattr(time_limits, "RECEIVE_S", 3600.0)
    async with world(serve_ok, serve_ok, limits={"sockets": RESERVED + 16}) as w:
        fast_clients = [await w.client().__aenter__() for _ in range(2)]
        # Requests follow each other so fast that nearly each one needs a new host connection.
        while w.gateway.upstream.idle_connections < 14:
            assert {
                reply.status for reply in await asyncio.gather(*(one.ask() for one in fast_clients))
            } == {200}
        held = w.gateway.server._descriptors
        silent = await connect_silent_clients(
            w, lambda: held.spare() <= -server.MAX_EXCESS_DESCRIPTORS
        )
        async with w.client() as late:
            assert (await late.ask()).status == 200
        for client in (*fast_clients, *silent):
            client.writer.close()
        await until(lambda: not len(w.gateway.server.connection_limit))


@pytest.mark.plain
@on_loop
async def test_a_silent_client_is_closed_for_a_host_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Beyond the places, clients hold descriptors of the hosts' half, and an accepted request needs
    one of these.
    """
    monkeypatch.setattr(time_limits, "RECEIVE_S", 3600.0)
    free = asyncio.Event()

    async def hold(message: Message, writer: asyncio.StreamWriter) -> None:
        if "/held" in message.first:
            await free.wait()
        await serve_ok(message, writer)

    async with world(hold, hold, hold, limits={"sockets": RESERVED + 16}) as w:
        asking = [await w.client().__aenter__() for _ in range(6)]
        for client in asking:
            client.send("/status-check/held")
        await until(lambda: sum(len(host.seen) for host in w.hosts) == len(asking))
        held = w.gateway.server._descriptors
        silent = await connect_silent_clients(w, lambda: held.spare() < 0)
        # Wait until one is no longer too new to be closed.
        await until(
            lambda: w.gateway.server.connection_limit.connection_to_end(monotonic()) is not None
        )
        async with w.client() as late:
            assert (await late.ask()).status == 200
        free.set()
        assert {(await client.receive()).status for client in asking} == {200}
        for client in (*asking, *silent):
            client.writer.close()


@pytest.mark.plain
@on_loop
async def test_a_request_is_not_rejected_because_of_silent_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Silent clients too new to be closed hold every place, and those reserved for rejections."""
    monkeypatch.setattr(connection_limit, "MIN_SILENT_S", 3600.0)
    async with world(serve_ok, limits={"sockets": RESERVED + 32}) as w:
        silent = await connect_silent_clients(
            w, lambda: not w.gateway.server.connection_limit.may_accept_to_reject()
        )
        # This request arrives before the accept.
        raw = socket.create_connection(("127.0.0.1", w.gateway.port))
        raw.send(
            b"GET /status-check/k HTTP/1.1\r\nRequest-Timeout-Ms: 9000\r\nRequest-Id: 1\r\n\r\n"
        )
        reader, writer = await asyncio.open_connection(sock=raw)
        assert (await read_message(reader)).status == 200
        writer.close()
        for client in silent:
            client.writer.close()
