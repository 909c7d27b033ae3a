"""What an upgrade costs those who are served meanwhile: `python -m bench.upgrade`.

A gateway under steady open-loop load of both classes is upgraded again and again, broken builds among them.
Printed: time in each step, p99 and what was not served in a window round each switch against the seconds
before, connections kept, descriptors and memory of both processes, and the account of every request.
`--cold` lets the new process begin with nothing, for the routing in the first seconds with and without what
the old one knew: one host of six hangs. Needs three cores; about a minute."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import re
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from testbed.account import Record, RequestClass, count_outcomes, percentile, total
from testbed.builds import BROKEN, Builds
from testbed.clients import Load
from testbed.environment import Environment
from testbed.schedule import steady

REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]
FILE = """
[times]
start = "4 s"
[canary]
time = "{canary}"
silence = "500 ms"
[limits]
memory_mb = 250.0
"""
QUEUED = 64  # connects that nobody has accepted yet
WINDOW_S = 0.5  # on each side of a switch
LINE = re.compile(r"^(\d\d):(\d\d):(\d\d\.\d\d\d) quillroad\.upgrade: (\w+)", re.MULTILINE)
# With no section told, everything is learned anew.
COLD = """
    import quillroad.upgrade.worker_process as w
    w.read = lambda gateway, sections, trial: []"""


@dataclass
class Seen:
    """What was watched while upgrades ran."""

    switches: list[float] = field(default_factory=list)
    most_descriptors: int = 0
    most_mb: float = 0.0
    became: dict[str, list[str]] = field(default_factory=dict)


def memory_mb(pids: list[int]) -> float:
    whole = 0
    for pid in pids:
        try:
            whole += int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        except OSError:  # it has just ended
            continue
    return whole * os.sysconf("SC_PAGE_SIZE") / 2**20


async def watch(environment: Environment, seen: Seen, over: asyncio.Event) -> None:
    """Look at the gateway's processes every few milliseconds."""
    serving = ""
    while not over.is_set():
        held = environment.gateway.processes()
        seen.most_descriptors = max(seen.most_descriptors, sum(held.values()))
        seen.most_mb = max(seen.most_mb, memory_mb(list(held)))
        lines = await environment.gateway.send_command("status")
        now_serving = next((line for line in lines if ": serves" in line), "").partition(":")[0]
        if now_serving != serving and now_serving:
            if serving:
                seen.switches.append(time.monotonic())
            serving = now_serving
        await asyncio.sleep(0.004)


def steps(log: str) -> dict[str, list[float]]:
    """Milliseconds from each phase of the keeper to the next, by the phase that began."""
    found: dict[str, list[float]] = {}
    before, at = "", 0.0
    for hours, minutes, seconds, word in LINE.findall(log):
        now = (int(hours) * 60 + int(minutes)) * 60 + float(seconds)
        if word in ("probing", "preparing", "switching", "canary", "returning", "serving"):
            if before and before != "serving":
                found.setdefault(before, []).append((now - at) * 1000)
            before, at = word, now
    return found


def window(records: list[Record], at: float, low: float, high: float) -> list[Record]:
    return [record for record in records if at + low <= record.sent < at + high]


def line(name: str, records: list[Record]) -> str:
    whole = total(count_outcomes(records, REQUEST_CLASSES).values())
    return (
        f"| {name} | {whole.sent} | {whole.within_objective} | {whole.rejected} | {whole.failed} "
        f"| {whole.unanswered} "
        f"| {percentile(whole.took, 0.5) * 1e3:.0f} / {percentile(whole.took, 0.99) * 1e3:.0f} |"
    )


async def measure(count: int, rate: float, broken: list[str], canary: str) -> int:
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        builds = Builds(folder / "build")
        async with Environment(
            folder,
            REQUEST_CLASSES,
            hosts=6,
            delay=0.02,
            sockets=1024,
            upgrades=FILE.format(canary=canary),
            path=builds.folder,
        ) as environment:
            seen, over = Seen(), asyncio.Event()
            load = environment.load(weights=(3, 1), most=400)
            sending = asyncio.ensure_future(load.open_loop(steady(rate, 3600.0)))
            watching = asyncio.ensure_future(watch(environment, seen, over))
            await asyncio.sleep(1.0)
            connects = len(load.records) and sum(
                record.first_on_connection for record in load.records
            )
            for number in range(count):
                kind = broken[number % len(broken)]
                builds.put(kind)
                answer = await environment.gateway.send_command("upgrade")
                seen.became.setdefault(kind or "a good build", []).append(answer[-1])
                while len(await environment.gateway.send_command("status")) > 2:
                    await asyncio.sleep(0.02)
            await asyncio.sleep(1.0)
            over.set()
            await watching
            sending.cancel()
            await load.settle()
            again = sum(record.resent for record in load.records)
            new = sum(record.first_on_connection for record in load.records) - connects
        report(load, seen, steps(environment.log), environment.broken(load), again, new)
        return 1 if environment.broken(load) else 0


def report(
    load: Load, seen: Seen, took: dict[str, list[float]], broken: list[str], again: int, new: int
) -> None:
    print("| step | times | p50 ms | max ms |\n| --- | --- | --- | --- |")
    for name, values in took.items():
        print(f"| {name} | {len(values)} | {percentile(values, 0.5):.0f} | {max(values):.0f} |")
    print("\n| build | became |\n| --- | --- |")
    for kind, answers in seen.became.items():
        print(f"| {kind} | {len(answers)} times: {', '.join(sorted(set(answers)))[:120]} |")
    print("\n| requests | sent | in aim | refused | failed | no answer | p50 / p99 ms |")
    print("| --- " * 7 + "|")
    near = [r for at in seen.switches for r in window(load.records, at, -WINDOW_S, WINDOW_S)]
    before = [r for at in seen.switches for r in window(load.records, at, -3 * WINDOW_S, -WINDOW_S)]
    print(line("all", load.records))
    print(line(f"within {WINDOW_S} s of {len(seen.switches)} switches", near))
    print(line("in the second before that", before))
    print(
        f"\nconnects refused {load.refused_connects}, connections opened anew {new}, requests sent again "
        f"{again}\nall processes together: {seen.most_descriptors} descriptors and "
        f"{seen.most_mb:.0f} MB at most"
    )
    for text in broken[:10]:
        print(f"broken: {text}")


async def learning(rate: float, seconds: float, told: str) -> None:
    """Requests sent to a host that hangs, in the first seconds after a switch in which the new process is
    told `all` or `nothing`, or without one (`no upgrade`)."""
    with tempfile.TemporaryDirectory() as text:
        folder = Path(text)
        builds = Builds(folder / "build")
        async with Environment(
            folder,
            REQUEST_CLASSES,
            hosts=6,
            delay=0.02,
            sockets=1024,
            upgrades=FILE.format(canary="500 ms"),
            path=builds.folder,
        ) as environment:
            load = environment.load(weights=(3, 1), most=400)
            sending = asyncio.ensure_future(load.open_loop(steady(rate, 3600.0)))
            environment.hosts[0].hangs = True
            await asyncio.sleep(4.0)
            if told == "nothing":
                (builds.folder / "sitecustomize.py").write_text(
                    (builds.folder / "sitecustomize.py").read_text() + COLD + "\n"
                )
            say, switches = environment.gateway.send_command, told != "no upgrade"
            asking = asyncio.ensure_future(say("upgrade" if switches else "status"))
            while switches and not any("stands by" in row for row in await say("status")):
                await asyncio.sleep(0.002)
            at = time.monotonic()
            await asyncio.sleep(seconds)
            await asking
            wrong = [r for r in environment.hosts[0].receipts if at <= r.at < at + seconds]
            sent = window(load.records, at, 0.0, seconds)
            sending.cancel()
            await load.settle()
            took = [record.took for record in sent if record.status == 200]
            print(
                f"| {told} | {len(sent)} | {len(wrong)} "
                f"| {percentile(took, 0.5) * 1e3:.0f} / {percentile(took, 0.99) * 1e3:.0f} |",
                flush=True,
            )


def _listener(reuse: bool) -> socket.socket:
    listener = socket.socket()
    if reuse:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(QUEUED)
    listener.setblocking(False)
    return listener


def queues(reuse: bool) -> tuple[int, int]:
    """Connects that lie in the kernel's queue when the process that listened closes its socket: how many the
    next one accepts, and how many clients are reset. The next one has the same socket, or with `reuse` one of
    its own at the same address (SO_REUSEPORT, socket(7))."""
    first = _listener(reuse)
    clients = [socket.create_connection(first.getsockname()) for _ in range(QUEUED)]
    for client in clients:
        client.sendall(b"x")
    if reuse:
        second = socket.socket()
        second.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        second.bind(first.getsockname())
        second.listen(QUEUED)
        second.setblocking(False)
    else:
        second = first.dup()
    first.close()
    accepted = []
    with contextlib.suppress(BlockingIOError):
        while True:
            accepted.append(second.accept()[0])
    resets = 0
    for client in clients:
        client.setblocking(False)
        try:
            client.recv(1)
        except BlockingIOError:
            continue
        except ConnectionError:
            resets += 1
    for sock in (second, *accepted, *clients):
        sock.close()
    return len(accepted), resets


async def run(told: argparse.Namespace) -> int:
    if told.queues:
        for reuse, name in ((False, "the same socket"), (True, "SO_REUSEPORT")):
            accepted, resets = queues(reuse)
            print(f"{name}: of {QUEUED} connects in the queue {accepted} accepted, {resets} reset")
        return 0
    if told.cold:
        print(
            f"| told | requests in {told.seconds:g} s | sent to the host that hangs | p50 / p99 ms |"
        )
        print("| --- " * 4 + "|")
        for name in ("no upgrade", "all", "nothing") * told.count:
            await learning(told.rate, told.seconds, name)
        return 0
    broken = ["", *(kind for kind in BROKEN if kind)] if told.broken else [""]
    return await measure(told.count, told.rate, broken, told.canary)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--count", type=int, default=20, help="upgrades (default 20); runs with --cold"
    )
    parser.add_argument("--rate", type=float, default=300.0, help="requests a second (default 300)")
    parser.add_argument(
        "--canary", default="500 ms", help="time for which the old process stands by"
    )
    parser.add_argument(
        "--broken", action="store_true", help="every kind of broken build among them"
    )
    parser.add_argument(
        "--cold", action="store_true", help="compare with a new process that is told nothing"
    )
    parser.add_argument("--queues", action="store_true", help="what the kernel's queue loses")
    parser.add_argument(
        "--seconds", type=float, default=5.0, help="watched after a switch, with --cold"
    )
    return uvloop.run(run(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
