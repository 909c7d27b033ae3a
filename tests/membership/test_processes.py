"""Gateway processes with faults between them: their views, and an account of all requests.

Waits are for the views to say something; a bound on a wait is the test's own, and no timing is
judged.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from quillroad.membership.report import Report, read_report
from testbed.account import RequestClass, count_outcomes, total
from testbed.environment import Environment
from testbed.gateway import GatewayProcess, settings
from testbed.schedule import steady
from tests.net import on_loop, until
from tests.upgrade.quick import FILE

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
USED = '[use]\nwindows = true\nhold = "1 s"'
SIZE = 12


def environment(folder: Path, size: int = SIZE, fleet: str = USED) -> Environment:
    return Environment(folder, REQUEST_CLASSES, 6, delay=0.01, gateways=size, fleet=fleet)


def view(on: Environment, number: int) -> Report | None:
    try:
        return read_report(on.gateways[number].view_file.read_bytes())
    except (OSError, msgspec.MsgspecError):
        return None


def standing(report: Report) -> dict[str, set[int]]:
    found: dict[str, set[int]] = {}
    for line in report.members:
        found.setdefault(line.standing, set()).add(line.number)
    return found


def agreed(
    on: Environment, there: Iterable[int], among: Iterable[int] | None = None
) -> Callable[[], bool]:
    """Whether each of `among` holds just `there` for alive, and nobody for suspect."""
    expected = set(there)
    judges = expected if among is None else set(among)

    def holds() -> bool:
        for number in judges:
            told = view(on, number)
            if told is None:
                return False
            found = standing(told)
            if found.get("alive", set()) != expected - {number} or found.get("suspect"):
                return False
        return True

    return holds


def changes(on: Environment, number: int) -> list[dict[str, Any]]:
    """The view's history as the gateway wrote it."""
    try:
        lines = on.gateways[number].changes_file.read_text().splitlines()
    except OSError:
        return []
    return [json.loads(line) for line in lines]


def ended(on: Environment, numbers: Iterable[int], since: dict[int, int]) -> set[tuple[int, int]]:
    """Who of these held whom for gone, after so many lines of its history."""
    return {
        (n, line["member"])
        for n in numbers
        for line in changes(on, n)[since.get(n, 0) :]
        if line["event"] == "gone"
    }


def marks(on: Environment, numbers: Iterable[int]) -> dict[int, int]:
    return {n: len(changes(on, n)) for n in numbers}


async def accounted(on: Environment, *loads: Any) -> None:
    """Served + refused + failed = sent, by rule, and what hosts received is what was sent."""
    for load in loads:
        await load.settle()
        whole = total(count_outcomes(load.records, REQUEST_CLASSES).values())
        assert (
            whole.sent
            == whole.within_objective + whole.after_objective + whole.rejected + whole.failed
        )
        assert whole.failed == 0 and whole.within_objective > 0.9 * whole.sent
    assert on.violations(*loads) == []


@on_loop
async def test_eight_of_twelve_killed_at_once_under_load(tmp_path: Path) -> None:
    """Eight of twelve gateways are killed under load, and start again.

    The others divide by four, and by twelve once the rest is back; no request is lost.
    """
    async with environment(tmp_path) as on:
        await until(agreed(on, range(SIZE)))
        left = range(8, SIZE)
        loads = [on.load(number) for number in left]
        running = [asyncio.ensure_future(load.open_loop(steady(20.0, 5.0))) for load in loads]
        for number in range(8):
            on.gateways[number].kill()
        await until(agreed(on, left))
        # Their parts are those of four: each has another place, and windows follow.
        await until(lambda: {view(on, n).part for n in left} == {(i, 4) for i in range(4)})  # type: ignore[union-attr]
        await asyncio.gather(*running)
        await accounted(on, *loads)
        await asyncio.gather(*(gateway.stop() for gateway in on.gateways[:8]))
        await asyncio.gather(*(gateway.start() for gateway in on.gateways[:8]))
        await until(agreed(on, range(SIZE)))
        # At once, where a share gets smaller: nobody divides by less than are there.
        assert all(view(on, n).part[1] == SIZE for n in left)  # type: ignore[union-attr]


@on_loop
async def test_a_partition_and_its_heal(tmp_path: Path) -> None:
    """The network is cut in two under load until each side holds the other faulty, and heals.

    Nobody counts as faulty after that, and no request is lost.
    """
    async with environment(tmp_path) as on:
        await until(agreed(on, range(SIZE)))
        one, other = list(range(5)), list(range(5, SIZE))
        load = on.load(0)
        running = asyncio.ensure_future(load.open_loop(steady(20.0, 8.0)))
        await on.relay.apart(one, other)
        await until(lambda: agreed(on, one)() and agreed(on, other)())
        before = marks(on, range(SIZE))
        await on.relay.rule()
        await until(agreed(on, range(SIZE)))
        await running
        await accounted(on, load)
        assert ended(on, range(SIZE), before) == set()


@on_loop
async def test_a_stopped_gateway_is_found_faulty_and_suspects_nobody_afterwards(
    tmp_path: Path,
) -> None:
    """A gateway gets SIGSTOP until all others hold it faulty, then SIGCONT."""
    async with environment(tmp_path) as on:
        await until(agreed(on, range(SIZE)))
        others = set(range(SIZE)) - {4}
        load = on.load(0)
        running = asyncio.ensure_future(load.open_loop(steady(20.0, 5.0)))
        on.gateways[4].pause()
        await until(agreed(on, others))
        before = marks(on, range(SIZE))
        on.gateways[4].resume()
        await until(agreed(on, range(SIZE)))
        await running
        await accounted(on, load)
        assert ended(on, range(SIZE), before) == set()
        assert not [line for line in changes(on, 4)[before[4] :] if line["event"] == "suspect"]


@pytest.mark.parametrize("hears", [True, False])
@on_loop
async def test_a_gateway_cut_off_one_way_doubts_itself_and_goes_on_serving(
    tmp_path: Path, hears: bool
) -> None:
    """A gateway cannot send to the others, or cannot receive from them.

    It says that it is isolated, declares nobody faulty, and divides by the configured count.
    """
    async with environment(tmp_path) as on:
        await until(agreed(on, range(SIZE)))
        others = set(range(SIZE)) - {3}
        loads = [on.load(number) for number in (0, 3)]  # the one in doubt goes on serving
        running = [asyncio.ensure_future(load.open_loop(steady(20.0, 5.0))) for load in loads]
        cut = {"sources": [3], "cut": True} if hears else {"targets": [3], "cut": True}
        await on.relay.rule(cut)
        await until(agreed(on, others))
        await until(lambda: view(on, 3).state == "alone")  # type: ignore[union-attr]
        assert ended(on, {3}, {}) == set()
        assert view(on, 3).part == (3, SIZE)  # type: ignore[union-attr]
        await on.relay.rule()
        await until(agreed(on, range(SIZE)))
        await asyncio.gather(*running)
        await accounted(on, *loads)


@on_loop
async def test_lost_doubled_and_late_datagrams_make_nobody_faulty(tmp_path: Path) -> None:
    """30% of datagrams get lost, 30% are doubled and all are up to 50 ms late for six seconds."""
    async with environment(tmp_path) as on:
        await until(agreed(on, range(SIZE)))
        before = marks(on, range(SIZE))
        await on.relay.rule({"loss": 0.3, "doubled": 0.3, "delay_s": 0.002, "jitter_s": 0.05})
        load = on.load(0)
        await load.open_loop(steady(20.0, 6.0))
        await accounted(on, load)
        await on.relay.rule()
        await until(agreed(on, range(SIZE)))
        assert ended(on, range(SIZE), before) == set()


@on_loop
async def test_garbage_and_a_flood_cost_their_own_sender_only(tmp_path: Path) -> None:
    """Datagrams of no sense and 200 in one moment come under one member's address."""
    async with environment(tmp_path, size=4) as on:
        await until(agreed(on, range(4)))
        for data in (b"\x00", b"\xff" * 256, b"\x9f" * 256, b"x" * 300, bytes(256)):
            await on.relay.send_command(inject=[1, 0, data.hex()])
        # In one moment: a flood is more than may come in a second, whatever the machine's pace.
        await on.relay.send_command(inject=[1, 0, "00"], times=200)
        await until(lambda: {"malformed", "flood", "too long"} <= view(on, 0).dropped.keys())  # type: ignore[union-attr]
        told = view(on, 0)
        assert told is not None and told.dropped["malformed"] >= 4 and told.dropped["too long"] == 1
        load = on.load(0)
        await load.open_loop(steady(20.0, 2.0))
        await accounted(on, load)
        await until(agreed(on, range(4)))


@on_loop
async def test_a_gateway_that_ends_by_sigterm_leaves_and_comes_back(tmp_path: Path) -> None:
    """It ends by SIGTERM, so that nobody has to miss it, and comes back as if it had never been."""
    async with environment(tmp_path, size=4) as on:
        await until(agreed(on, range(4)))
        load = on.load(0)
        running = asyncio.ensure_future(load.open_loop(steady(20.0, 4.0)))
        on.gateways[2].drain()
        await until(lambda: 2 in standing(view(on, 0)).get("left", set()))  # type: ignore[arg-type]
        await until(agreed(on, {0, 1, 3}))
        await on.gateways[2].stop()
        await on.gateways[2].start()
        await until(agreed(on, range(4)))
        await running
        await accounted(on, load)
        assert ended(on, range(4), {}) == set()


@on_loop
async def test_where_talk_is_forbidden_nothing_is_sent(tmp_path: Path) -> None:
    on = Environment(tmp_path, REQUEST_CLASSES, 2, gateways=2, fleet=USED, peers=False)
    async with on:
        load = on.load(0)
        await load.open_loop(steady(20.0, 1.0))
        await accounted(on, load)
        assert (await on.relay.send_command(rules=[]))["counts"] == {}
        assert view(on, 0) is None


@on_loop
async def test_an_upgrade_is_one_member_all_along(tmp_path: Path) -> None:
    async with Environment(
        tmp_path,
        REQUEST_CLASSES,
        6,
        delay=0.01,
        gateways=3,
        fleet=USED,
        upgrades=FILE.replace("least = 20", "least = 5"),
    ) as on:
        await until(agreed(on, range(3)))
        load = on.load(0)
        running = asyncio.ensure_future(load.open_loop(steady(40.0, 6.0)))
        assert (await on.gateways[0].send_command("upgrade"))[-1] == "done"
        await running
        await accounted(on, load)
        await until(agreed(on, range(3)))
        # Neither missed, nor taken for two under one number.
        told = {line["event"] for n in (1, 2) for line in changes(on, n) if line["member"] == 0}
        assert told <= {"alive", "suspect"}
        assert not [line for line in changes(on, 0) if line["event"] == "doubled"]
        # Two processes took part, one after the other: each heard of 1 anew.
        assert sum(line["event"] == "alive" and line["member"] == 1 for line in changes(on, 0)) >= 2


@on_loop
async def test_a_second_process_under_one_number_takes_no_part(tmp_path: Path) -> None:
    """By mistake, on one machine: it serves, logs that, and the others' view stays the same."""
    async with environment(tmp_path, size=3) as on:
        await until(agreed(on, range(3)))
        twin = GatewayProcess(tmp_path, on.discovery.port, settings(REQUEST_CLASSES, peers=True))
        twin.reconfigure(
            **{name: on.gateways[1].config_field(name) for name in ("peer_listen", "peers")}
        )
        twin.fleet = "[use]\nwindows = true"
        await twin.start()
        load = on.load(0)
        await load.open_loop(steady(20.0, 1.0))
        await accounted(on, load)
        assert "another process holds it" in await twin.stop()
        await until(agreed(on, range(3)))
        assert ended(on, range(3), {}) == set()
