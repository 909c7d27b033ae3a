"""What the view costs a gateway where there is no news: `python -m bench.fleet_cost [--gateways 12]`.

So many gateways, without the view and with it, in turn: CPU time a second of one that has nothing to do, and
CPU time a request of one under closed-loop load. Both by the kernel's account of the process; the least of
the repeats counts, for what else runs on the machine only adds.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from pathlib import Path

import uvloop

from testbed.account import RequestClass, total
from testbed.environment import Environment
from testbed.processes import run_load

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
SETTLE_S = 3.0


async def play(view: bool, gateways: int, seconds: float) -> tuple[float, float, int]:
    """Milliseconds of CPU time a second at rest, microseconds a request under load, and requests served."""
    text = '[use]\nhold = "5 s"' if view else ""
    with tempfile.TemporaryDirectory() as folder:
        # Reports are seldom, as in service: ten a second of twelve gateways cost more than the view does.
        async with Environment(
            Path(folder), REQUEST_CLASSES, 6, gateways=gateways, fleet=text, every="10 s"
        ) as environment:
            await asyncio.sleep(SETTLE_S)
            before = [gateway.cpu_s() for gateway in environment.gateways]
            await asyncio.sleep(seconds)
            rest_s = (
                sum(g.cpu_s() - b for g, b in zip(environment.gateways, before, strict=True))
                / gateways
            )
            one, told = environment.gateway, {"connections": 24}
            await run_load(
                one.address, REQUEST_CLASSES, [3, 1], [None], "closed", 1.0, prefix="w", **told
            )
            cpu_s = one.cpu_s()
            result = await run_load(
                one.address, REQUEST_CLASSES, [3, 1], [None], "closed", seconds, **told
            )
            used_s = one.cpu_s() - cpu_s
            whole = total(result.rows.values())
            return (
                1e3 * rest_s / seconds,
                1e6 * used_s / max(1, whole.sent),
                whole.within_objective + whole.served,
            )


async def run(told: argparse.Namespace) -> None:
    print("| view | ms of CPU a second at rest | us a request under load | served |")
    print("| --- | --- | --- | --- |")
    best: dict[bool, tuple[float, float]] = {}
    for i in range(told.repeats):
        for view in (False, True) if i % 2 else (True, False):
            rest, request, served = await play(view, told.gateways, told.seconds)
            print(
                f"| {'on' if view else 'off'} | {rest:.2f} | {request:.1f} | {served} |", flush=True
            )
            before = best.get(view, (rest, request))
            best[view] = (min(rest, before[0]), min(request, before[1]))
    (off, off_us), (on, on_us) = best[False], best[True]
    print(
        f"least: at rest {off:.2f} and {on:.2f} ms a second; a request {off_us:.1f} and {on_us:.1f} us"
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--gateways", type=int, default=12)
    parser.add_argument("--seconds", type=float, default=5.0, help="of each measurement")
    parser.add_argument("--repeats", type=int, default=3)
    uvloop.run(run(parser.parse_args()))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
