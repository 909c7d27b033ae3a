"""Twelve gateway processes under combined faults, with every request accounted for.

Covers a flapping partition into three parts, a gateway with little CPU time, crashes and restarts
under load, and a growing roster, partly with broadcast. As in `test_processes.py` the tests wait
for the views to reach a state and check no timing.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from testbed.environment import Environment
from testbed.schedule import steady
from tests.membership.test_processes import (
    REQUEST_CLASSES,
    SIZE,
    USED,
    accounted,
    agreed,
    ended,
    marks,
    standing,
    view,
)
from tests.net import on_loop, on_loop_within, until

PARTS = [list(range(4)), list(range(4, 8)), list(range(8, 12))]


def environment(folder: Path, broadcast: bool) -> Environment:
    return Environment(
        folder, REQUEST_CLASSES, 6, delay=0.01, gateways=SIZE, fleet=USED, broadcast=broadcast
    )


@pytest.mark.parametrize("broadcast", [False, True], ids=["one by one", "broadcast"])
@on_loop_within(60.0)
async def test_a_flapping_partition_makes_no_member_of_the_own_part_faulty(
    tmp_path: Path, broadcast: bool
) -> None:
    """The middle of three parts is connected to one, then to the other, twice; then to none."""
    left, middle, right = PARTS
    async with environment(tmp_path, broadcast) as env:
        await until(agreed(env, range(SIZE)))
        before = marks(env, range(SIZE))
        loads = [env.load(part[0]) for part in PARTS]
        running = [asyncio.ensure_future(load.open_loop(steady(20.0, 12.0))) for load in loads]
        for _ in range(2):
            await env.relay.apart([*left, *middle], right)
            await until(agreed(env, [*left, *middle]))
            await env.relay.apart(left, [*middle, *right])
            await until(agreed(env, [*middle, *right]))
            await until(agreed(env, left))
        await env.relay.apart(*PARTS)
        for part in PARTS:
            await until(agreed(env, part))
        for part in PARTS:
            assert {pair for pair in ended(env, part, before) if pair[1] in part} == set()
        before = marks(env, range(SIZE))
        await env.relay.rule()
        await until(agreed(env, range(SIZE)))
        assert ended(env, range(SIZE), before) == set()
        await asyncio.gather(*running)
        await accounted(env, *loads)


@on_loop
async def test_a_gateway_with_a_fifth_of_a_core_declares_no_member_faulty(tmp_path: Path) -> None:
    """One of twelve gateways gets a fifth of a core for eight seconds under load."""
    async with environment(tmp_path, broadcast=False) as env:
        await until(agreed(env, range(SIZE)))
        before = marks(env, range(SIZE))
        await env.ration(0.2, 4)
        load = env.load(0)  # of another gateway, as the slow one cannot meet latency objectives
        await load.open_loop(steady(20.0, 8.0))
        assert {pair for pair in ended(env, range(SIZE), before) if pair[1] != 4} == set()
        await env.end_rations()
        await until(agreed(env, range(SIZE)))
        await accounted(env, load)


@on_loop
async def test_eight_of_twelve_killed_under_load_with_broadcast(
    tmp_path: Path,
) -> None:
    """Eight of twelve gateways with broadcast are killed under load and started again."""
    async with environment(tmp_path, broadcast=True) as env:
        await until(agreed(env, range(SIZE)))
        left = range(8, SIZE)
        loads = [env.load(number) for number in left]
        running = [asyncio.ensure_future(load.open_loop(steady(20.0, 6.0))) for load in loads]
        for number in range(8):
            env.gateways[number].kill()
        await until(agreed(env, left))
        await until(lambda: {view(env, n).part for n in left} == {(i, 4) for i in range(4)})  # type: ignore[union-attr]
        counts = (await env.relay.send_command(rules=[]))["counts"]
        assert counts["to all"] > 0
        await asyncio.gather(*running)
        # Restart all eight at once, without their state, while the others serve requests.
        again = [env.load(number, prefix=f"b{number}-") for number in left]
        running = [asyncio.ensure_future(load.open_loop(steady(20.0, 6.0))) for load in again]
        await asyncio.gather(*(gateway.stop() for gateway in env.gateways[:8]))
        before = marks(env, left)
        await asyncio.gather(*(gateway.start() for gateway in env.gateways[:8]))
        await until(agreed(env, range(SIZE)))
        assert ended(env, left, before) == set()
        await asyncio.gather(*running)
        await accounted(env, *loads, *again)


@on_loop
async def test_a_killed_gateway_rejoins_with_broadcast_and_no_other_is_declared_faulty(
    tmp_path: Path,
) -> None:
    """With broadcast the others change their status of the killed gateway and of no other."""
    async with environment(tmp_path, broadcast=True) as env:
        await until(agreed(env, range(SIZE)))
        before = marks(env, range(SIZE))
        env.gateways[5].kill()
        await until(agreed(env, set(range(SIZE)) - {5}))
        views = {n: view(env, n) for n in range(SIZE) if n != 5}
        assert all(one is not None and 5 in standing(one)["gone"] for one in views.values())
        assert {number for _, number in ended(env, views, before)} == {5}
        await env.gateways[5].stop()
        await env.gateways[5].start()
        await until(agreed(env, range(SIZE)))
        load = env.load(5)
        await load.open_loop(steady(20.0, 1.0))
        await accounted(env, load)


@on_loop_within(60.0)
async def test_a_roster_that_grows_by_reloads_at_different_times(tmp_path: Path) -> None:
    """A fifth gateway starts while only two of the other four have read the longer roster."""
    async with Environment(
        tmp_path, REQUEST_CLASSES, 6, delay=0.01, gateways=5, fleet=USED, broadcast=True, later=1
    ) as env:
        longer = {n: env.relay.peers[n] for n in range(5)}
        for n in range(4):
            env.gateways[n].reconfigure(peers=longer[n][:4])
            env.gateways[n].reload()
        await until(agreed(env, range(4)))
        loads = [env.load(n) for n in range(4)]
        running = [asyncio.ensure_future(load.open_loop(steady(20.0, 8.0))) for load in loads]
        for n in (0, 1):
            env.gateways[n].reconfigure(peers=longer[n])
            env.gateways[n].reload()
        await until(lambda: all(4 in standing(view(env, n)).get("unknown", set()) for n in (0, 1)))  # type: ignore[arg-type]
        await env.start_later()
        # Gateways 2 and 3 drop its datagrams (stranger) and updates about it (unknown member).
        await until(lambda: all(4 in standing(view(env, n)).get("alive", set()) for n in (0, 1)))  # type: ignore[arg-type]
        await until(lambda: view(env, 2).dropped.get("stranger", 0) > 0)  # type: ignore[union-attr]
        before = marks(env, range(5))
        for n in (2, 3):
            env.gateways[n].reconfigure(peers=longer[n])
            env.gateways[n].reload()
        await until(agreed(env, range(5)))
        assert ended(env, range(5), before) == set()
        await asyncio.gather(*running)
        await accounted(env, *loads)
