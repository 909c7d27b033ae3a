"""What the view is worth: `python -m bench.fleet_worth [--seeds 3] [--gateways 12] [--rate 25]`.

Seven in ten of the gateways are killed at once, and their clients come to those that are left. Counted are
the worth in aim and the refusals of the 10 s from the kill on, with windows that follow the live number and
with the told one, in turns on the same machine. Hosts take the same time however many requests they have.
Each request is accounted for.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from pathlib import Path

import uvloop

from testbed.account import RequestClass, count_outcomes, total
from testbed.environment import Environment
from testbed.schedule import poisson

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
CALM_S, AFTER_S = 5.0, 10.0


async def play(
    used: bool, gateways: int, rate: float, delay_s: float, seed: int
) -> tuple[float, int, int, list[str]]:
    """Worth in aim, refusals and requests of the 10 s from the kill on, and the rules that broke."""
    text = f'[use]\nwindows = {"true" if used else "false"}\nhold = "1 s"'
    dead = 7 * gateways // 10
    with tempfile.TemporaryDirectory() as folder:
        async with Environment(
            Path(folder), REQUEST_CLASSES, 6, delay=delay_s, gateways=gateways, fleet=text
        ) as environment:
            left = range(dead, gateways)
            calm = [environment.load(n, seed=seed, prefix=f"a{n}-") for n in left]
            share = rate / len(left)
            await asyncio.gather(
                *(
                    load.open_loop(poisson(share, CALM_S, seed * 100 + n))
                    for n, load in zip(left, calm, strict=True)
                )
            )
            for gateway in environment.gateways[:dead]:
                gateway.kill()
            loads = [environment.load(n, seed=seed, prefix=f"b{n}-") for n in left]
            await asyncio.gather(
                *(
                    load.open_loop(poisson(gateways / len(left) * share, AFTER_S, seed * 200 + n))
                    for n, load in zip(left, loads, strict=True)
                )
            )
            for load in [*calm, *loads]:
                await load.settle()
            rows = [total(count_outcomes(load.records, REQUEST_CLASSES).values()) for load in loads]
            assert all(
                r.sent == r.within_objective + r.served + r.rejected + r.failed for r in rows
            )
            return (
                sum(r.value for r in rows),
                sum(r.rejected for r in rows),
                sum(r.sent for r in rows),
                environment.broken(*calm, *loads),
            )


async def run(told: argparse.Namespace) -> None:
    print("| seed | windows by | worth in aim | refused | sent | rules broken |")
    print("| --- | --- | --- | --- | --- | --- |")
    for seed in range(1, told.seeds + 1):
        for used in (False, True) if seed % 2 else (True, False):
            worth, refused, sent, broken = await play(
                used, told.gateways, told.rate, told.delay, seed
            )
            by = "the live number" if used else "the told number"
            print(
                f"| {seed} | {by} | {worth:.0f} | {refused} | {sent} | {len(broken)} |", flush=True
            )


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--gateways", type=int, default=12)
    parser.add_argument(
        "--rate", type=float, default=25.0, help="requests a second of those left, before"
    )
    parser.add_argument(
        "--delay", type=float, default=0.1, help="seconds that a host takes for a request"
    )
    uvloop.run(run(parser.parse_args()))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
