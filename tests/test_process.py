"""The program as it is started in service: its configuration, its readiness and its end."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from asyncio.subprocess import PIPE, Process
from functools import partial
from pathlib import Path
from typing import Any

import pytest

import quillroad.gateway
from quillroad.config import ConfigError, load, reload
from testbed.ports import free_port
from tests.net import (
    Client,
    FakeDiscovery,
    FakeHost,
    answer,
    config_data,
    hang,
    on_loop,
    serve_ok,
    told_settings,
    until,
    world,
)

ROOT = Path(__file__).parent.parent


async def program(folder: Path, data: Any, *leaks: int) -> Process:
    """A gateway by this configuration, started with these descriptors open, too."""
    path = folder / "config.json"
    path.write_text(data if isinstance(data, str) else json.dumps(data))
    environment = {k: v for k, v in os.environ.items() if not k.startswith("GW_")} | {
        "GW_CONFIG": str(path)
    }
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "quillroad",
        cwd=ROOT,
        env=environment,
        stdout=PIPE,
        stderr=PIPE,
        pass_fds=leaks,
    )


async def started(folder: Path, host: FakeHost) -> tuple[Process, int]:
    """A gateway that has answered `/up` with 200."""
    discovery = await FakeDiscovery(host.entry()).start()
    port = free_port()
    process = await program(folder, config_data(discovery.port, listen=f"127.0.0.1:{port}"))
    while True:
        try:
            async with Client(port) as client:
                if (await client.ask("/up", method="GET")).status == 200:
                    return process, port
        except OSError:
            pass
        await asyncio.sleep(0.02)


async def ended(process: Process) -> tuple[int, str]:
    assert process.stderr is not None
    text = (await process.stderr.read()).decode()
    return await process.wait(), text


@on_loop
async def test_sigterm_answers_open_requests(tmp_path: Path) -> None:
    """SIGTERM while one request is open and another connection is idle.

    A restart loses nothing that is open, also when its answer comes after all idle connections
    ended."""
    host = await FakeHost(behave=hang).start()
    process, port = await started(tmp_path, host)
    async with Client(port) as busy, Client(port) as idle:
        busy.send()
        await host.came.get()
        assert (await idle.ask("/up", method="GET")).status == 200
        process.send_signal(signal.SIGTERM)
        assert await idle.reader.read() == b""
        host.writers[0].write(answer(b"at last"))
        got = await busy.receive()
        assert (got.body, got.headers["connection"]) == (b"at last", "close")
    code, _ = await ended(process)
    assert code == 0


@on_loop
async def test_a_drain_serves_what_the_front_still_sends(monkeypatch: pytest.MonkeyPatch) -> None:
    """The front learns of the end late: until then it opens and uses connections as before."""
    monkeypatch.setattr(quillroad.gateway, "FRONT_DELAY_S", 1000.0)
    async with world(serve_ok) as w, w.client() as before:
        assert (await before.ask()).status == 200
        drain = asyncio.ensure_future(w.gateway.drain())
        await until(lambda: w.gateway.server.draining)
        async with w.client() as late:
            for client in (late, before):
                got = await client.ask()
                assert (got.status, got.headers["connection"]) == (200, "close")
                assert await client.reader.read() == b""
        drain.cancel()


@on_loop
async def test_sigterm_ends_idle_connections_and_the_process(tmp_path: Path) -> None:
    """SIGTERM with nothing to do: the idle connection ends, and so does the process."""
    process, port = await started(tmp_path, await FakeHost().start())
    async with Client(port) as idle:
        assert (await idle.ask()).status == 200
        process.send_signal(signal.SIGTERM)
        assert await idle.reader.read() == b""
        code, _ = await ended(process)
    assert code == 0
    with pytest.raises(OSError):
        await Client(port).__aenter__()


BAD: list[tuple[Any, str]] = [
    ("{", "GW_CONFIG"),
    ("[]", "GW_CONFIG"),
    (config_data(1, settings=None), "settings"),
    (config_data(1, settings=told_settings(balancers=0)), "balancers"),
    (
        config_data(1, settings=told_settings(lanes=[{"name": "a", "semantics": "safe"}])),
        "deadline",
    ),
    (config_data(1, settings=told_settings(lanes=[{"name": "a", "deadline": 5}])), "semantics"),
    (config_data(1, settings=told_settings(lanes=[3])), "settings"),
    (config_data(1, settings=told_settings(limits={"conn_idle": -1})), "conn_idle"),
    (config_data(1, listen="nowhere"), "GW_LISTEN"),
    (config_data(1, discovery=None), "GW_DISCOVERY"),
    (config_data(1, limits={"sockets": 0}), "limits.sockets"),
    (config_data(1, limits={"sockets": "many"}), "limits.sockets"),
    (config_data(1, known=[]), "known"),
]


@pytest.mark.parametrize(("data", "field"), BAD)
def test_a_bad_configuration_names_the_field(tmp_path: Path, data: Any, field: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(data if isinstance(data, str) else json.dumps(data))
    with pytest.raises(ConfigError, match=field) as caught:
        load({"GW_CONFIG": str(path)})
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("data", "field"),
    [BAD[0], BAD[3], (config_data(1, known={"generation": 1, "instances": [3]}), "known")],
)
@on_loop
async def test_a_bad_configuration_ends_the_program_with_one_line(
    tmp_path: Path, data: Any, field: str
) -> None:
    code, text = await ended(await program(tmp_path, data))
    assert code == 2
    assert len(text.splitlines()) == 1
    assert field in text


def test_a_missing_configuration_names_its_variable() -> None:
    with pytest.raises(ConfigError, match="GW_CONFIG"):
        load({})
    with pytest.raises(ConfigError, match="GW_CONFIG"):
        load({"GW_CONFIG": "/nonexistent/config.json"})


def test_the_environment_comes_before_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_data(1)))
    config = load({"GW_CONFIG": str(path), "GW_NAME": "n7", "GW_LISTEN": "127.0.0.9:80"})
    assert (config.name, config.listen, config.discovery) == (
        "n7",
        ("127.0.0.9", 80),
        ("127.0.0.1", 1),
    )


@on_loop
async def test_sighup_moves_the_watch_and_keeps_all_else(tmp_path: Path) -> None:
    """The platform's address changes by SIGHUP while a request is open.

    SIGHUP used to end the process. What is open is answered on the connections that were open."""
    host = await FakeHost(behave=hang).start()
    process, port = await started(tmp_path, host)
    successor = await FakeDiscovery(host.entry()).start()
    async with Client(port) as client:
        client.send()
        await host.came.get()
        data = config_data(successor.port, listen=f"127.0.0.1:{port}")
        (tmp_path / "config.json").write_text(json.dumps(data))
        process.send_signal(signal.SIGHUP)
        assert await successor.asked.get() == "/discovery/hosts"
        host.writers[0].write(answer(b"still here"))
        assert (await client.receive()).body == b"still here"
        host.behave = serve_ok
        assert (await client.ask()).status == 200
        assert host.closed.empty()
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)  # harmless while draining
    assert (await ended(process))[0] == 0


@on_loop
async def test_a_reload_with_a_bad_file_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Three bad files, then a good one that moves discovery, then the same again.

    A bad file is said in one line of the log and the gateway goes on; a good one moves the watch
    without a request lost; the same file again changes nothing."""
    path = tmp_path / "config.json"
    async with world(serve_ok) as w, w.client() as client:
        environment = {"GW_CONFIG": str(path), "GW_DISCOVERY": f"127.0.0.1:{w.discovery.port}"}
        for bad in ("{", json.dumps(config_data(1, discovery="nowhere")), "[" * 200_000):
            path.write_text(bad)
            caplog.clear()
            with caplog.at_level("INFO", "quillroad"):
                w.gateway.reload(partial(reload, environment))
            assert len(caplog.records) == 1
            assert "old configuration stands" in caplog.text
        assert (await client.ask()).status == 200
        successor = await FakeDiscovery(w.hosts[0].entry()).start()
        path.write_text(json.dumps(config_data(successor.port, limits={"sockets": 99})))
        with caplog.at_level("INFO", "quillroad"):
            w.gateway.reload(partial(reload, environment))
        assert "with a restart only: sockets" in caplog.text
        await until(lambda: len(successor.watches) == 1)
        w.gateway.reload(partial(reload, environment))  # nothing new: the watch goes on
        assert (await client.ask()).status == 200
        assert len(successor.watches) == 1
