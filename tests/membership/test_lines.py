"""Fault rules for TCP connections to hosts and discovery: the relay alone, and with gateways."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest

from testbed.account import count_outcomes, total
from testbed.environment import Environment
from testbed.hosts import Host, answer_to
from testbed.lines import LineRule, Lines, address_of, gateway_at
from testbed.schedule import steady
from tests.membership.test_processes import REQUEST_CLASSES, SIZE, USED, agreed, ended, marks
from tests.net import on_loop, on_loop_within, until

ASK = b"GET / HTTP/1.1\r\nRequest-Id: %b\r\n\r\n"


async def ask(
    lines: Lines, host: Host, gateway: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(address_of(gateway), host.port)


@on_loop
async def test_a_cut_connection_stalls_and_delivers_pending_data_once_restored() -> None:
    host = await Host("s-0").start()
    lines = await Lines(2, {"s-0": host.port}).start()
    reader, writer = await ask(lines, host, 1)
    writer.write(ASK % b"a")
    assert await reader.readexactly(len(answer_to("a"))) == answer_to("a")
    assert [(one.id, one.by) for one in host.receipts] == [("a", 1)]
    lines.rule([LineRule(gateways=[1], cut=["there"])])
    writer.write(ASK % b"b")
    other, to = await ask(lines, host, 0)  # the connection of another gateway still works
    to.write(ASK % b"c")
    assert await other.readexactly(len(answer_to("c"))) == answer_to("c")
    assert [one.id for one in host.receipts] == ["a", "c"]
    lines.rule([LineRule(gateways=[1], cut=["back"])])  # requests pass now, responses do not
    await until(lambda: len(host.receipts) == 3)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await reader.readexactly(1)
    lines.rule([])
    assert await reader.readexactly(len(answer_to("b"))) == answer_to("b")
    lines.rule([LineRule(gateways=[1], reset=True)])
    with pytest.raises(ConnectionResetError):
        await reader.read()
    refused, _ = await ask(lines, host, 1)
    with pytest.raises(ConnectionResetError):
        await refused.read()
    to.close()
    await until(lambda: lines.open == 0)
    lines.close()
    host.stop()


def test_the_gateway_of_a_connection_is_derived_from_its_address() -> None:
    assert [gateway_at(address_of(n)) for n in (0, 11, 199)] == [0, 11, 199]
    assert gateway_at("127.0.0.1") == -1
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert({"cut": ["sideways"]}, LineRule)


@on_loop_within(60.0)
async def test_gateways_without_discovery_and_a_third_of_the_hosts_lose_no_request(
    tmp_path: Path,
) -> None:
    """Five gateways lose the others' datagrams, discovery and two of six hosts at the same time."""
    async with Environment(
        tmp_path,
        REQUEST_CLASSES,
        6,
        delay=0.01,
        gateways=SIZE,
        fleet=USED,
        broadcast=True,
        lines=True,
    ) as on:
        await until(agreed(on, range(SIZE)))
        first_side, second_side = list(range(5)), list(range(5, SIZE))
        loads = [on.load(number) for number in (0, 5)]
        running = [asyncio.ensure_future(load.open_loop(steady(20.0, 12.0))) for load in loads]
        before = marks(on, range(SIZE))
        await on.relay.lines(
            {
                "gateways": first_side,
                "targets": ["discovery", "s-0", "s-1"],
                "cut": ["there", "back"],
            }
        )
        await on.relay.apart(first_side, second_side)
        on.uninformed = frozenset(first_side)
        on.tell(on.hosts[3], lifecycle="draining")
        await until(lambda: agreed(on, first_side)() and agreed(on, second_side)())
        for part in (first_side, second_side):
            assert {pair for pair in ended(on, part, before) if pair[1] in part} == set()
        on.uninformed = frozenset()
        await on.relay.lines()
        await on.relay.rule()
        await until(agreed(on, range(SIZE)))
        await asyncio.gather(*running)
        # Hosts received requests only from the two gateways that got load.
        assert {one.by for one in on.receipts()} == {0, 5}
        late_loads = [on.load(number, prefix=f"b{number}-") for number in (0, 5)]
        on.tell(on.hosts[4], lifecycle="draining")  # all gateways receive this from discovery again
        await asyncio.gather(*(load.open_loop(steady(20.0, 2.0)) for load in late_loads))
        for load in (*loads, *late_loads):
            await load.settle()
        outcomes = total(
            count_outcomes(
                [r for load in (*loads, *late_loads) for r in load.records], REQUEST_CLASSES
            ).values()
        )
        assert (
            outcomes.sent
            == outcomes.within_objective
            + outcomes.after_objective
            + outcomes.rejected
            + outcomes.failed
        )
        assert outcomes.within_objective > 0.9 * outcomes.sent
        assert on.violations(*loads, *late_loads) == []


@on_loop
async def test_a_gateway_that_no_host_answers_is_still_a_member(tmp_path: Path) -> None:
    """Responses of all hosts to one gateway are cut.

    Each of its requests still gets exactly one response, rejected or failed. It is not declared
    faulty, and declares no other member faulty.
    """
    async with Environment(
        tmp_path, REQUEST_CLASSES, 6, delay=0.01, gateways=4, fleet=USED, lines=True
    ) as on:
        await until(agreed(on, range(4)))
        before = marks(on, range(4))
        loads = [on.load(number) for number in (0, 1)]
        await on.relay.lines(
            {"gateways": [1], "targets": [h.name for h in on.hosts], "cut": ["back"]}
        )
        await asyncio.gather(*(load.open_loop(steady(20.0, 4.0)) for load in loads))
        await loads[1].settle()
        cut_off = total(count_outcomes(loads[1].records, REQUEST_CLASSES).values())
        assert cut_off.sent == cut_off.rejected + cut_off.failed and cut_off.unanswered == 0
        await on.relay.lines()
        await until(agreed(on, range(4)))
        assert ended(on, range(4), before) == set()
        await loads[0].settle()
        unaffected = total(count_outcomes(loads[0].records, REQUEST_CLASSES).values())
        assert unaffected.within_objective > 0.9 * unaffected.sent and unaffected.failed == 0
        assert on.violations(*loads) == []
