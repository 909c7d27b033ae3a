"""Test with 18 gateways and one discovery service for all of them.

A drain in an incomplete line takes effect in time, although 17 gateways start at the same time.
"""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path

import pytest

from testbed.account import RequestClass, count_outcomes, total
from testbed.environment import Environment
from testbed.hosts import CrowdedDiscovery
from testbed.schedule import steady
from tests.net import on_loop, until

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
MIN_REQUESTS_IN_USE = 20  # a host with more requests counts as in use


@pytest.mark.parametrize("last_text", ['"instances": [', '"instanceId": "{}"'])
@on_loop
async def test_drain_in_an_incomplete_line_is_honoured_while_gateways_start(
    tmp_path: Path, last_text: str
) -> None:
    """Scenario join+disco+huge, seed 51: the poll after an incomplete line queued behind the polls
    of starting gateways. `test_polls_at_start_are_spread_over_the_round` checks the spread.
    """
    discovery_factory = partial(CrowdedDiscovery, work_s=0.05, wait_timeout_s=0.4)
    environment = Environment(
        tmp_path,
        REQUEST_CLASSES,
        6,
        delay=0.01,
        gateways=18,
        later=17,
        registry=discovery_factory,
        discovery="ask",
        guarantees={"drain_grace": 500_000, "ask_within": 10_000_000},
    )
    async with environment:
        registry = environment.discovery
        assert isinstance(registry, CrowdedDiscovery)
        load = environment.load()
        load_task = asyncio.ensure_future(load.open_loop(steady(150.0, 5.0)))
        await environment.start_later()
        # The host that leaves must be in use first: on a fast machine the other gateways have
        # started before it is.
        await until(
            lambda: any(len(host.receipts) > MIN_REQUESTS_IN_USE for host in environment.hosts)
        )
        leaving = max(
            environment.hosts, key=lambda host: len(host.receipts)
        )  # one of the three hosts of the subset
        # Break off only the watch of the gateway with load: the others with a watch would all
        # poll again at the same moment.
        environment.break_off(leaving, last_text.format(leaving.name), 1, lifecycle="draining")
        await load_task
        await load.settle()
        totals = total(count_outcomes(load.records, REQUEST_CLASSES).values())
        assert totals.sent == totals.within_objective + totals.after_objective + totals.rejected
        assert environment.violations(load) == []
        assert len(leaving.receipts) > MIN_REQUESTS_IN_USE
        assert registry.turned_away <= 1
