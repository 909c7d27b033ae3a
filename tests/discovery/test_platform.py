"""The watch of the host list: whatever happens to it, the last list stands and a new watch
begins.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.discovery import platform
from quillroad.discovery.partial_line_recovery import draining_ids
from quillroad.discovery.platform import PlatformSource
from quillroad.discovery.reducer import endpoint_id
from tests.net import (
    Client,
    FakeDiscovery,
    FakeHost,
    World,
    alone,
    answer,
    hang,
    make_config,
    on_loop,
    say,
    serve_ok,
    until,
    world,
)


def end(d: FakeDiscovery) -> None:
    d.watches[-1].close()


def finish(d: FakeDiscovery) -> None:
    d.watches[-1].write(b"0\r\n\r\n")


BROKEN: list[Callable[[FakeDiscovery], None]] = [
    end,
    finish,
    lambda d: d.watches[-1].write(b"no chunk at all\r\n"),
    lambda d: d.send(b"no JSON\n"),
    lambda d: d.send(b"[1, 2]\n"),
    lambda d: d.send(b'{"generation":9}\n'),
    lambda d: d.send(b'{"generation":9,"reset":true,"instances":[{"instanceId":"s-9"}]}\n'),
    lambda d: d.send(b'{"generation":9,"reset":true,"instances":[7]}\n'),
]


@pytest.mark.parametrize("spoil", BROKEN)
@on_loop
async def test_a_spoilt_watch_begins_again_and_the_list_stands(
    spoil: Callable[[FakeDiscovery], None],
) -> None:
    async with world(serve_ok) as w, w.client() as client:
        spoil(w.discovery)
        assert (await w.discovery.asked.get()).endswith("from=1")
        assert (await client.ask()).status == 200
        new = await FakeHost("s-new").start()
        w.discovery.tell(new.entry())
        await until(lambda: len(w.gateway.engine.hosts) == 2)


@on_loop
async def test_a_silent_watch_begins_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """An agent that is cut off says nothing, and a connection to it stays open for ever."""
    monkeypatch.setattr(platform, "SILENCE_S", 0.2)
    async with world(serve_ok) as w, w.client() as client:
        await w.discovery.asked.get()
        assert (await client.ask()).status == 200


@on_loop
async def test_an_agent_that_swallowed_calls_is_heard_soon_after_its_return() -> None:
    """herd+mass: what the agent has at its return counts as told at once. A call made while it
    is silent is never answered, and a wait of 3 s for that was 3 s in which a host that had left
    was sent to.
    """
    async with world(serve_ok, serve_ok) as w, w.client() as client:
        w.discovery.silent = True
        w.discovery.watches[-1].close()
        for _ in range(3):
            await w.discovery.asked.get()
        w.discovery.generation += 1
        w.discovery.first = w.discovery.line(
            True, w.hosts[0].entry(lifecycle="draining"), w.hosts[1].entry()
        )
        w.discovery.silent = False
        async with asyncio.timeout(1.5):  # half of what one silent call took
            await until(lambda: sum(host.ready for host in w.gateway.engine.hosts.values()) == 1)
        before = len(w.hosts[0].seen)
        assert (await client.ask()).status == 200
        assert len(w.hosts[0].seen) == before


@on_loop
async def test_an_empty_line_is_a_sign_of_life() -> None:
    async with world(serve_ok) as w:
        w.discovery.send(b"\n")
        w.discovery.tell(w.hosts[0].entry(lifecycle="draining"))
        await until(lambda: not next(iter(w.gateway.engine.hosts.values())).ready)
        assert len(w.discovery.watches) == 1


@on_loop
async def test_a_line_may_come_in_pieces() -> None:
    async with world(serve_ok) as w:
        line = w.discovery.line(True, w.hosts[0].entry(lifecycle="draining"))
        for start in range(0, len(line), 7):
            w.discovery.send(line[start : start + 7])
        await until(lambda: not next(iter(w.gateway.engine.hosts.values())).ready)


def indented(discovery: FakeDiscovery, whole: bool, *entries: dict[str, Any]) -> bytes:
    return json.dumps(json.loads(discovery.line(whole, *entries)), indent=2).encode() + b"\n"


@on_loop
async def test_an_indented_list_is_heard_like_any_other() -> None:
    """herd+brink: after SIGHUP the new discovery gave its whole list over many lines. Each line
    for itself is no JSON: the gateway asked again and again, and of no drain it was told by then
    it took any notice.
    """
    async with world(serve_ok, serve_ok) as w, w.client() as client:
        leaves, stays = w.hosts
        new = await FakeDiscovery().start()
        new.generation = 7
        new.first = indented(new, True, leaves.entry(), stays.entry())
        w.gateway.source.switch_to(make_config(new.port))
        assert await new.asked.get() == "/discovery/hosts"
        assert (await new.asked.get()).endswith("from=7")
        new.generation = 8
        new.send(indented(new, False, leaves.entry(lifecycle="draining")))
        await until(lambda: sum(host.ready for host in w.gateway.engine.hosts.values()) == 1)
        new.send(b"\n")
        before = len(leaves.seen)
        for _ in range(10):
            assert (await client.ask()).status == 200
        assert len(leaves.seen) == before
        assert len(new.watches) == 1 and new.asked.empty()  # the one watch still runs


@on_loop
async def test_of_an_indented_list_that_breaks_off_the_leaving_hosts_get_nothing_new() -> None:
    async with world(serve_ok, serve_ok) as w, w.client() as client:
        line = indented(w.discovery, False, w.hosts[0].entry(lifecycle="draining"))
        w.discovery.silent = True  # no whole list comes that could say otherwise
        w.discovery.send(line[: line.rindex(b"}", 0, -2)])
        w.discovery.watches[-1].close()
        await until(lambda: sum(host.ready for host in w.gateway.engine.hosts.values()) == 1)
        before = len(w.hosts[0].seen)
        for _ in range(10):
            assert (await client.ask()).status == 200
        assert len(w.hosts[0].seen) == before


@on_loop
async def test_known_serves_until_discovery_answers() -> None:
    host = await FakeHost("s-known").start()
    known = {"generation": 41, "reset": True, "instances": [host.entry()]}
    silent = await FakeHost("discovery", hang).start()
    async with alone(silent, known) as gateway, Client(gateway.port) as client:
        assert (await client.ask()).status == 200
        assert (await silent.came.get()).first.split()[1].endswith("from=41")


@on_loop
async def test_a_refusing_discovery_is_asked_again() -> None:
    host = await FakeHost("s-known").start()
    known = {"generation": 41, "reset": True, "instances": [host.entry()]}
    busy = await FakeHost("discovery", say(answer(b"", "503 Busy"))).start()
    async with alone(busy, known) as gateway, Client(gateway.port) as client:
        await busy.came.get()
        await busy.came.get()
        assert (await client.ask()).status == 200


def test_numbers_of_hosts_are_the_same_everywhere() -> None:
    assert endpoint_id("s-5be2a07c") == endpoint_id("s-5be2a07c")
    assert endpoint_id("s-5be2a07c") != endpoint_id("s-5be2a07d")


async def successor(w: World, *entries: dict[str, Any]) -> FakeDiscovery:
    """Another discovery, whose generations begin anew, and a gateway told to watch it."""
    new = await FakeDiscovery(*entries).start()
    w.gateway.source.switch_to(make_config(new.port))
    return new


@on_loop
async def test_another_discovery_is_asked_for_its_whole_list() -> None:
    """Its generations may be lower: `from=9` there would leave out what happened up to its
    ninth, and `from=0` what was there before its first.
    """
    async with world(serve_ok) as w, w.client() as client:
        watch = w.gateway.source
        assert isinstance(watch, PlatformSource)
        w.discovery.generation = 8
        w.discovery.tell(w.hosts[0].entry(weight=2.0))
        await until(lambda: watch._endpoint_list.generation == 9)
        other = await FakeHost("s-other").start()
        new = await successor(w, w.hosts[0].entry(lifecycle="draining"), other.entry())
        assert await new.asked.get() == "/discovery/hosts"
        new.first = b"\n"
        assert (await new.asked.get()).endswith("from=1")
        await until(lambda: len(w.gateway.engine.hosts) == 2)
        assert (await client.ask()).status == 200
        assert (len(w.hosts[0].seen), len(other.seen)) == (0, 1)


@on_loop
async def test_the_old_watch_cannot_undo_what_the_new_one_tells() -> None:
    """A line that lies read but not taken at the move, and whatever the old discovery says after
    it.
    """
    async with world(serve_ok) as w, w.client() as client:
        other = await FakeHost("s-other").start()
        broken = json.dumps(w.hosts[0].entry(lifecycle="draining")).encode()
        w.discovery.send(b'{"instances":[' + broken)
        watch = w.gateway.source
        assert isinstance(watch, PlatformSource)
        await until(lambda: bool(watch._answer.unread))
        w.discovery.tell(w.hosts[0].entry(lifecycle="removed"))
        new = await successor(w, w.hosts[0].entry(), other.entry())
        await until(lambda: len(new.watches) == 1)
        assert await w.discovery.ended.get() == 0
        assert all(host.ready for host in w.gateway.engine.hosts.values())
        assert (await client.ask()).status == 200


@on_loop
async def test_the_list_stands_until_another_discovery_answers() -> None:
    async with world(serve_ok) as w, w.client() as client:
        assert (await client.ask()).status == 200
        silent = await FakeHost("discovery", hang).start()
        w.gateway.source.switch_to(make_config(silent.address[1]))
        await silent.came.get()
        assert (await client.ask()).status == 200
        assert w.hosts[0].closed.empty()  # its connection stands too


@pytest.mark.parametrize(
    "rest", ['{"instanceId":"s-9","host', '{"instanceId":"s-9"}]}\n', "\0,,]}\n", ""]
)
@on_loop
async def test_what_a_broken_line_says_is_leaving_gets_nothing_new(rest: str) -> None:
    """join+disco+huge: a list broke off after the entry of a host that drained, and a request
    went there 0.85 s after it was told.
    """
    async with world(serve_ok, serve_ok) as w, w.client() as client:
        leaves = w.hosts[0].entry(lifecycle="draining")
        line = json.dumps({"generation": 5, "reset": False, "instances": [leaves]})
        w.discovery.silent = True  # no whole list comes meanwhile that could say otherwise
        w.discovery.send(line[: line.rindex("}]")].encode() + b"}," + rest.encode())
        w.discovery.watches[-1].close()
        await until(lambda: sum(host.ready for host in w.gateway.engine.hosts.values()) == 1)
        before = len(w.hosts[0].seen)
        for _ in range(10):
            assert (await client.ask()).status == 200
        assert len(w.hosts[0].seen) == before
        # The place in the list is not moved on, and a whole line can say otherwise.
        assert (await w.discovery.asked.get()).endswith("from=1")
        w.discovery.silent = False
        await until(lambda: len(w.discovery.watches) == 2)
        w.discovery.tell(w.hosts[0].entry())
        await until(lambda: all(host.ready for host in w.gateway.engine.hosts.values()))


@on_loop
async def test_what_came_before_a_reset_is_taken() -> None:
    reader = platform._LossTolerantReader()
    reader.feed_data(b"a line\n")
    reader.set_exception(ConnectionResetError())
    assert await reader.read(100) == b"a line\n" and await reader.read(100) == b""


STATES = st.lists(st.sampled_from(["up", "draining", "removed"]), max_size=6)


@given(st.binary(max_size=200), STATES, st.integers(0))
def test_of_a_broken_line_only_whole_entries_count(
    noise: bytes, states: list[str], cut: int
) -> None:
    entries = [{"instanceId": f"s-{i}", "lifecycle": state} for i, state in enumerate(states)]
    line = json.dumps({"generation": 1, "instances": entries}).encode()
    told = [f"s-{i}" for i, state in enumerate(states) if state != "up"]
    assert draining_ids(line) == told
    cut %= len(line) + 1
    part = draining_ids(line[:cut])
    # Whoever's id came whole, and who was not said to stay: wherever the line broke off.
    whole = [
        entry for entry in entries if line.find(entry["instanceId"].encode() + b'"') + 4 <= cut
    ]
    last = whole[-1] if whole else {"instanceId": "", "lifecycle": ""}
    if (
        last["lifecycle"] == "up"
        and b'"up"' not in line[:cut].rpartition(last["instanceId"].encode())[2]
    ):
        assert part.pop() == whole.pop()["instanceId"]
    assert part == [entry["instanceId"] for entry in whole if entry["lifecycle"] != "up"]
    draining_ids(noise)
    spoilt = set(draining_ids(line[:30] + noise + line[30:]))
    assert spoilt <= {entry["instanceId"] for entry in entries}


@pytest.mark.parametrize("rest", ['", "lifecycle": "dr', '"', '", "lifecycle": \0, "cell": 1}]}'])
def test_a_host_of_which_only_the_id_came_gets_nothing_new(rest: str) -> None:
    line = '{"generation": 5, "instances": [{"cell": 1, "instanceId": "s-7' + rest
    assert draining_ids(line.encode()) == ["s-7"]
    assert draining_ids(line.replace("instanceId", "instance").encode()) == []
    assert draining_ids((line + '", "lifecycle": "up"').encode()) == []
