"""Several gateway processes and one host that has just started; two of the processes are killed and
restarted while it warms up. The requests that the host receives from all of them together stay
within its budget plus a statistical margin."""

from __future__ import annotations

import asyncio
import math
import time
from pathlib import Path

import pytest

from testbed.account import RequestClass, count_outcomes, total
from testbed.environment import Environment
from testbed.schedule import poisson
from tests.net import on_loop_within

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
GATEWAYS, RATE, DELAY_S = 6, 35.0, 0.02
WARM_UP_S, INITIAL_CAPACITY, OVERLOAD_MULTIPLE, WINDOW_S = 4.0, 0.3, 2.0, 1.0


@pytest.mark.parametrize("killed", [0, 2])
@on_loop_within(60.0)
async def test_requests_from_all_gateways_to_a_starting_host_stay_within_its_budget(
    tmp_path: Path, killed: int
) -> None:
    guarantees = {
        "drain_grace": 500_000,
        "cold": round(WARM_UP_S * 1e6),
        "cold_from": INITIAL_CAPACITY,
        "fall_multiple": OVERLOAD_MULTIPLE,
        "tip_after": round(WINDOW_S * 1e6),
    }
    environment = Environment(
        tmp_path, REQUEST_CLASSES, 3, delay=DELAY_S, gateways=GATEWAYS, guarantees=guarantees
    )
    async with environment:
        loads = [environment.load(number) for number in range(GATEWAYS)]
        running = asyncio.gather(
            *(
                load.open_loop(poisson(RATE, WARM_UP_S + 2.0, seed))
                for seed, load in enumerate(loads)
            )
        )
        await asyncio.sleep(1.0)
        cold = environment.hosts[0]
        cold.stop()  # it restarts at the same address
        await cold.start(cold.port)
        started_at = time.monotonic()
        environment.tell(cold, startedAtMs=round(time.time() * 1000))
        await asyncio.sleep(0.4)
        restart_tasks = []
        for gateway in environment.gateways[:killed]:
            gateway.kill()
            await gateway.stop()
            restart_tasks.append(asyncio.ensure_future(gateway.start()))
        await running
        await asyncio.gather(*restart_tasks)
        for load in loads:
            await load.settle()
        loads_not_killed = loads[killed:]
        total_counts = total(
            count_outcomes(
                [r for load in loads_not_killed for r in load.records], REQUEST_CLASSES
            ).values()
        )
        assert total_counts.adds_up()
        assert (total_counts.late, total_counts.unanswered) == (0, 0)
        assert environment.violations(*loads) == []
        # The budget applies only within the warm-up time (`cold`) after the start of the host.
        times = [
            receipt.at
            for receipt in cold.receipts
            if started_at < receipt.at < started_at + WARM_UP_S
        ]
        assert len(times) > 20  # the host is used while it warms up
        for at in times:
            capacity_now = (
                INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * (at - started_at) / WARM_UP_S
            )
            budget = OVERLOAD_MULTIPLE * capacity_now * WINDOW_S / DELAY_S
            received = sum(at <= other < at + WINDOW_S for other in times)
            assert received <= budget + 2 * math.sqrt(budget) + 2
