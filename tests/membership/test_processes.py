"""Gateway processes with network and process faults: their views, and all requests accounted for.

The tests wait until views reach a state; the time limit of a wait only ends a stuck test, and no
timing is asserted.
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
    """Return a check that the views of `among` list just `there` as alive, and no suspects."""
    expected = set(there)
    observers = expected if among is None else set(among)

    def views_agree() -> bool:
        for number in observers:
            latest_report = view(on, number)
            if latest_report is None:
                return False
            found = standing(latest_report)
            if found.get("alive", set()) != expected - {number} or found.get("suspect"):
                return False
        return True

    return views_agree


def changes(on: Environment, number: int) -> list[dict[str, Any]]:
    """The view's history as the gateway wrote it."""
    try:
        lines = on.gateways[number].changes_file.read_text().splitlines()
    except OSError:
        return []
    return [json.loads(line) for line in lines]


def ended(on: Environment, numbers: Iterable[int], since: dict[int, int]) -> set[tuple[int, int]]:
    """Return pairs (gateway, member it declared faulty) from the change logs after line `since`."""
    return {
        (n, line["member"])
        for n in numbers
        for line in changes(on, n)[since.get(n, 0) :]
        if line["event"] == "gone"
    }


def marks(on: Environment, numbers: Iterable[int]) -> dict[int, int]:
    return {n: len(changes(on, n)) for n in numbers}


async def accounted(on: Environment, *loads: Any) -> None:
    """Assert that served + rejected + failed = sent, and that hosts received only what was sent."""
    for load in loads:
        await load.settle()
        outcomes = total(count_outcomes(load.records, REQUEST_CLASSES).values())
        assert (
            outcomes.sent
            == outcomes.within_objective
            + outcomes.after_objective
            + outcomes.rejected
            + outcomes.failed
        )
        assert outcomes.failed == 0 and outcomes.within_objective > 0.9 * outcomes.sent
    assert on.violations(*loads) == []


@on_loop
async def test_eight_of_twelve_killed_at_once_under_load(tmp_path: Path) -> None:
    """Eight of twelve gateways are killed under load, and start again.

    The others divide quotas by four, and by twelve once the eight are back; no request is lost.
    """
    async with environment(tmp_path) as on:
        await until(agreed(on, range(SIZE)))
        survivors = range(8, SIZE)
        loads = [on.load(number) for number in survivors]
        running = [asyncio.ensure_future(load.open_loop(steady(20.0, 5.0))) for load in loads]
        for number in range(8):
            on.gateways[number].kill()
        await until(agreed(on, survivors))
        # Quotas are divided by four, and each gateway has an index of its own.
        await until(lambda: {view(on, n).part for n in survivors} == {(i, 4) for i in range(4)})  # type: ignore[union-attr]
        await asyncio.gather(*running)
        await accounted(on, *loads)
        await asyncio.gather(*(gateway.stop() for gateway in on.gateways[:8]))
        await asyncio.gather(*(gateway.start() for gateway in on.gateways[:8]))
        await until(agreed(on, range(SIZE)))
        # The count rises at once, so that no gateway divides by fewer than are present.
        assert all(view(on, n).part[1] == SIZE for n in survivors)  # type: ignore[union-attr]


@on_loop
async def test_a_partition_and_its_heal(tmp_path: Path) -> None:
    """The network is partitioned under load until each side declares the other faulty, and heals.

    No gateway is declared faulty after that, and no request is lost.
    """
    async with environment(tmp_path) as on:
        await until(agreed(on, range(SIZE)))
        first_side, second_side = list(range(5)), list(range(5, SIZE))
        load = on.load(0)
        running = asyncio.ensure_future(load.open_loop(steady(20.0, 8.0)))
        await on.relay.apart(first_side, second_side)
        await until(lambda: agreed(on, first_side)() and agreed(on, second_side)())
        before = marks(on, range(SIZE))
        await on.relay.rule()
        await until(agreed(on, range(SIZE)))
        await running
        await accounted(on, load)
        assert ended(on, range(SIZE), before) == set()


@on_loop
async def test_a_paused_gateway_is_declared_faulty_and_suspects_no_member_on_resuming(
    tmp_path: Path,
) -> None:
    """A gateway gets SIGSTOP until all others have declared it faulty, then SIGCONT.

    On resuming it must not take its own pause for the silence of others.
    """
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
async def test_a_gateway_cut_off_in_one_direction_is_isolated_and_keeps_serving(
    tmp_path: Path, hears: bool
) -> None:
    """A gateway cannot send to the others, or cannot receive from them.

    It reports itself as isolated, declares no member faulty, and divides by the configured count.
    """
    async with environment(tmp_path) as on:
        await until(agreed(on, range(SIZE)))
        others = set(range(SIZE)) - {3}
        loads = [on.load(number) for number in (0, 3)]  # the isolated gateway keeps serving
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
async def test_lost_duplicated_and_late_datagrams_make_no_member_faulty(tmp_path: Path) -> None:
    """For six seconds, 30% of datagrams are lost, 30% duplicated, and all up to 50 ms late."""
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
async def test_garbage_and_a_flood_affect_only_their_sender(tmp_path: Path) -> None:
    """Malformed datagrams, and 200 at once, arrive from the address of one member."""
    async with environment(tmp_path, size=4) as on:
        await until(agreed(on, range(4)))
        for data in (b"\x00", b"\xff" * 256, b"\x9f" * 256, b"x" * 300, bytes(256)):
            await on.relay.send_command(inject=[1, 0, data.hex()])
        # All at once, so that they exceed the limit for one second on a slow machine, too.
        await on.relay.send_command(inject=[1, 0, "00"], times=200)
        await until(lambda: {"malformed", "flood", "too long"} <= view(on, 0).dropped.keys())  # type: ignore[union-attr]
        latest_report = view(on, 0)
        assert (
            latest_report is not None
            and latest_report.dropped["malformed"] >= 4
            and latest_report.dropped["too long"] == 1
        )
        load = on.load(0)
        await load.open_loop(steady(20.0, 2.0))
        await accounted(on, load)
        await until(agreed(on, range(4)))


@on_loop
async def test_a_gateway_that_gets_sigterm_leaves_and_rejoins(tmp_path: Path) -> None:
    """After SIGTERM it announces that it leaves, is not declared faulty, and rejoins later."""
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
async def test_without_peer_addresses_no_datagram_is_sent(tmp_path: Path) -> None:
    on = Environment(tmp_path, REQUEST_CLASSES, 2, gateways=2, fleet=USED, peers=False)
    async with on:
        load = on.load(0)
        await load.open_loop(steady(20.0, 1.0))
        await accounted(on, load)
        assert (await on.relay.send_command(rules=[]))["counts"] == {}
        assert view(on, 0) is None


@on_loop
async def test_an_upgraded_gateway_stays_the_same_member(tmp_path: Path) -> None:
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
        # Neither declared faulty nor taken for two processes with one number.
        events = {line["event"] for n in (1, 2) for line in changes(on, n) if line["member"] == 0}
        assert events <= {"alive", "suspect"}
        assert not [line for line in changes(on, 0) if line["event"] == "doubled"]
        # Two processes were members in turn, and each recorded gateway 1 as alive.
        assert sum(line["event"] == "alive" and line["member"] == 1 for line in changes(on, 0)) >= 2


@on_loop
async def test_a_second_process_with_the_same_number_does_not_join(tmp_path: Path) -> None:
    """A process started by mistake on the same machine serves, logs that its address is in use,
    and leaves the views of the others unchanged.
    """
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
