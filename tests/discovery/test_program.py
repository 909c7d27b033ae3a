"""Tests of the program with a configuration file: static hosts, Consul, and reloads under load."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from asyncio.subprocess import PIPE, Process
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from testbed.consul import SERVICE, Agent, Catalogue, Registered
from testbed.ports import free_port
from tests.net import Client, FakeHost, on_loop, serve_ok, until

ROOT = Path(__file__).parent.parent.parent
HEAD = """
[gateway]
listen = "127.0.0.1:{port}"
[[classes]]
name = "status-check"
repeat = "safe"
deadline = "9 s"
[hosts]
source = "{source}"
"""


def static_config(port: int, *hosts: FakeHost) -> str:
    entries = "".join(
        f'[[hosts.static]]\nid = "{item.name}"\naddress = "{item.address[0]}:{item.address[1]}"\n'
        for item in hosts
    )
    return HEAD.format(port=port, source="static") + entries


def consul_config(port: int, *agents: Agent) -> str:
    addresses = ", ".join(f'"127.0.0.1:{agent.port}"' for agent in agents)
    section = f'[hosts.consul]\nagents = [{addresses}]\nservice = "{SERVICE}"\nwait = "200 ms"\n'
    return HEAD.format(port=port, source="consul") + section


@asynccontextmanager
async def running_program(path: Path, port: int) -> AsyncIterator[Process]:
    environment = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "QUILLROAD_"))}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "quillroad",
        "--config",
        str(path),
        cwd=ROOT,
        env=environment,
        stderr=PIPE,
    )
    try:
        while True:
            try:
                async with Client(port) as client:
                    if (await client.ask("/up", method="GET")).status == 200:
                        break
            except OSError:
                pass
            assert process.returncode is None
            await asyncio.sleep(0.02)
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.communicate()


@on_loop
async def test_reload_applies_static_hosts_and_ignores_an_invalid_file(tmp_path: Path) -> None:
    first, second = await FakeHost("a", serve_ok).start(), await FakeHost("b", serve_ok).start()
    port, path = free_port(), tmp_path / "gateway.toml"
    path.write_text(static_config(port, first))
    async with running_program(path, port) as process, Client(port) as client:
        assert (await client.ask()).status == 200
        path.write_text(static_config(port, first).replace("9 s", "9 parsecs"))
        process.send_signal(signal.SIGHUP)
        assert (await client.ask()).status == 200
        path.write_text(static_config(port, second))
        process.send_signal(signal.SIGHUP)
        while not second.seen:
            assert (await client.ask()).status == 200
        seen = len(first.seen)
        assert (await client.ask()).status == 200
        assert len(first.seen) == seen
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


@on_loop
async def test_reload_between_static_hosts_and_consul_under_load(tmp_path: Path) -> None:
    """The list, connections and requests in flight stay until Consul has answered, and the replaced
    source reports no further list.
    """
    hosts = [await FakeHost(name, serve_ok).start() for name in ("a", "b")]
    catalogue = Catalogue()
    for host in hosts:
        catalogue.register(Registered("n", host.name, *host.address))
    agents = [await Agent(catalogue).start() for _ in range(2)]
    port, path = free_port(), tmp_path / "gateway.toml"
    path.write_text(static_config(port, hosts[0]))
    async with running_program(path, port) as process, Client(port) as client:
        assert (await client.ask()).status == 200
        path.write_text(consul_config(port, *agents))
        process.send_signal(signal.SIGHUP)
        while not hosts[1].seen:
            assert (await client.ask()).status == 200
        catalogue.change("n", "b", maintenance="service")
        await until(lambda: all("index=" in agent.targets[-1] for agent in agents))
        while True:
            seen = len(hosts[1].seen)
            for _ in range(20):
                assert (await client.ask()).status == 200
            if len(hosts[1].seen) == seen:
                break
        path.write_text(static_config(port, hosts[1]))
        process.send_signal(signal.SIGHUP)
        seen = len(hosts[1].seen)
        while len(hosts[1].seen) == seen:
            assert (await client.ask()).status == 200
        query_counts = [agent.asked for agent in agents]
        catalogue.change("n", "a", status="warning")
        assert (await client.ask()).status == 200
        assert [agent.asked for agent in agents] == query_counts
    for agent in agents:
        agent.stop()
