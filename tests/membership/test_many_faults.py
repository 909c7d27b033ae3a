"""Twelve gateway processes through the harder faults, with an account of all requests for each.

A bridge that flaps between three parts, a part of a core, a start of all under load, and what a
broadcast changes. As in `test_processes.py` waits are for the views to say something, and no timing
is judged.
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
async def test_a_bridge_that_flaps_between_three_parts_ends_nobody_on_the_own_side(
    tmp_path: Path, broadcast: bool
) -> None:
    """The middle part is heard by one of the others, then by the other, then by none, and again."""
    left, middle, right = PARTS
    async with environment(tmp_path, broadcast) as on:
        await until(agreed(on, range(SIZE)))
        before = marks(on, range(SIZE))
        loads = [on.load(part[0]) for part in PARTS]
        running = [asyncio.ensure_future(load.open_loop(steady(20.0, 12.0))) for load in loads]
        for _ in range(2):
            await on.relay.apart([*left, *middle], right)
            await until(agreed(on, [*left, *middle]))
            await on.relay.apart(left, [*middle, *right])
            await until(agreed(on, [*middle, *right]))
            await until(agreed(on, left))
        await on.relay.apart(*PARTS)
        for part in PARTS:
            await until(agreed(on, part))
        for part in PARTS:
            assert {pair for pair in ended(on, part, before) if pair[1] in part} == set()
        before = marks(on, range(SIZE))
        await on.relay.rule()
        await until(agreed(on, range(SIZE)))
        assert ended(on, range(SIZE), before) == set()
        await asyncio.gather(*running)
        await accounted(on, *loads)


@on_loop
async def test_a_gateway_with_a_fifth_of_a_core_declares_nobody_faulty(tmp_path: Path) -> None:
    """One of twelve gateways gets a fifth of a core for eight seconds under load."""
    async with environment(tmp_path, broadcast=False) as on:
        await until(agreed(on, range(SIZE)))
        before = marks(on, range(SIZE))
        await on.ration(0.2, 4)
        load = on.load(0)  # the others', for the slow one cannot keep aims
        await load.open_loop(steady(20.0, 8.0))
        assert {pair for pair in ended(on, range(SIZE), before) if pair[1] != 4} == set()
        await on.end_rations()
        await until(agreed(on, range(SIZE)))
        await accounted(on, load)


@on_loop
async def test_eight_of_twelve_killed_under_load_with_broadcast(
    tmp_path: Path,
) -> None:
    """Eight of twelve are killed under load where one datagram reaches all, and start again."""
    async with environment(tmp_path, broadcast=True) as on:
        await until(agreed(on, range(SIZE)))
        left = range(8, SIZE)
        loads = [on.load(number) for number in left]
        running = [asyncio.ensure_future(load.open_loop(steady(20.0, 6.0))) for load in loads]
        for number in range(8):
            on.gateways[number].kill()
        await until(agreed(on, left))
        await until(lambda: {view(on, n).part for n in left} == {(i, 4) for i in range(4)})  # type: ignore[union-attr]
        counts = (await on.relay.send_command(rules=[]))["counts"]
        assert counts["to all"] > 0
        await asyncio.gather(*running)
        # All at once again, from nothing, while the others serve.
        again = [on.load(number, prefix=f"b{number}-") for number in left]
        running = [asyncio.ensure_future(load.open_loop(steady(20.0, 6.0))) for load in again]
        await asyncio.gather(*(gateway.stop() for gateway in on.gateways[:8]))
        before = marks(on, left)
        await asyncio.gather(*(gateway.start() for gateway in on.gateways[:8]))
        await until(agreed(on, range(SIZE)))
        assert ended(on, left, before) == set()
        await asyncio.gather(*running)
        await accounted(on, *loads, *again)


@on_loop
async def test_a_killed_gateway_comes_back_with_broadcast_and_nobody_else_is_missed(
    tmp_path: Path,
) -> None:
    """Where one datagram reaches all: what they hold of it changes, and of nobody else."""
    async with environment(tmp_path, broadcast=True) as on:
        await until(agreed(on, range(SIZE)))
        before = marks(on, range(SIZE))
        on.gateways[5].kill()
        await until(agreed(on, set(range(SIZE)) - {5}))
        told = {n: view(on, n) for n in range(SIZE) if n != 5}
        assert all(one is not None and 5 in standing(one)["gone"] for one in told.values())
        assert {number for _, number in ended(on, told, before)} == {5}
        await on.gateways[5].stop()
        await on.gateways[5].start()
        await until(agreed(on, range(SIZE)))
        load = on.load(5)
        await load.open_loop(steady(20.0, 1.0))
        await accounted(on, load)


@on_loop_within(60.0)
async def test_a_roster_that_grows_by_reload_one_gateway_after_the_other(tmp_path: Path) -> None:
    """Four know of four, and a fifth starts while only some have read the longer roster."""
    async with Environment(
        tmp_path, REQUEST_CLASSES, 6, delay=0.01, gateways=5, fleet=USED, broadcast=True, later=1
    ) as on:
        longer = {n: on.relay.peers[n] for n in range(5)}
        for n in range(4):
            on.gateways[n].reconfigure(peers=longer[n][:4])
            on.gateways[n].reload()
        await until(agreed(on, range(4)))
        loads = [on.load(n) for n in range(4)]
        running = [asyncio.ensure_future(load.open_loop(steady(20.0, 8.0))) for load in loads]
        for n in (0, 1):
            on.gateways[n].reconfigure(peers=longer[n])
            on.gateways[n].reload()
        await until(lambda: all(4 in standing(view(on, n)).get("unknown", set()) for n in (0, 1)))  # type: ignore[arg-type]
        await on.start_later()
        # To the others it is a stranger, and what they are told of it is of an unknown member.
        await until(lambda: all(4 in standing(view(on, n)).get("alive", set()) for n in (0, 1)))  # type: ignore[arg-type]
        await until(lambda: view(on, 2).dropped.get("stranger", 0) > 0)  # type: ignore[union-attr]
        before = marks(on, range(5))
        for n in (2, 3):
            on.gateways[n].reconfigure(peers=longer[n])
            on.gateways[n].reload()
        await until(agreed(on, range(5)))
        assert ended(on, range(5), before) == set()
        await asyncio.gather(*running)
        await accounted(on, *loads)
