"""Two processes of a gateway that hand over without a keeper: the machines alone, every
message's loss and every end walked, and processes under load.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from quillroad.config import RESERVED
from quillroad.upgrade.messages import AttemptsInFlight, Hello, Message, State, batch_of
from quillroad.upgrade.sibling_handover import (
    NEWCOMER_DESCRIPTORS,
    HandoverCommand,
    HandoverPhase,
    HandoverStep,
    SendToSibling,
    SiblingHandover,
    TellWorker,
)
from quillroad.upgrade.worker_state import (
    AdoptState,
    ExportState,
    LimitDescriptors,
    ToSibling,
    ToSupervisor,
    WorkerCommand,
    WorkerState,
)
from quillroad.upgrade.worker_state import Step as WorkerStep
from testbed.account import Record, RequestClass, count_outcomes, rule_violations, total
from testbed.builds import Builds
from testbed.clients import Load
from testbed.gateway import settings
from testbed.hosts import Discovery, Host
from testbed.schedule import steady
from testbed.sibling import SiblingGateway
from tests.net import on_loop, until


@dataclass
class Side:
    """A machine with a seat and no sockets. What it says goes to `wire`."""

    name: str
    pair: SiblingHandover = field(default_factory=lambda: SiblingHandover(400))
    seat: WorkerState = field(default_factory=WorkerState)
    wire: deque[Message] = field(default_factory=deque)
    linked: bool = False
    listens: bool = False  # has a listener, its own or one that it was given
    published: bool = False
    prepares: bool = False
    limit: int = -RESERVED  # connections that it may hold

    @property
    def accepts(self) -> bool:
        return self.seat.accepts

    def carry(self, acts: list[HandoverCommand]) -> None:
        for act in acts:
            match act:
                case SendToSibling():
                    self.wire.append(act.message)
                case TellWorker():
                    self.do(self.seat.supervisor_said(act.message))
                case HandoverStep.PREPARE:
                    self.prepares = True
                    whole = self.pair.descriptors
                    self.limit = (
                        min(NEWCOMER_DESCRIPTORS, whole // 2) if self.linked else whole
                    ) - RESERVED
                case HandoverStep.OPEN:
                    self.listens = True
                case HandoverStep.PUBLISH:
                    self.published = True
                case HandoverStep.CUT:
                    self.cut()

    def do(self, acts: list[WorkerCommand]) -> None:
        for act in acts:
            match act:
                case ToSupervisor():
                    self.carry(self.pair.worker_said(act.message))
                case ToSibling():
                    self.wire.append(act.message)
                case ExportState():
                    self.wire.append(State({}, act.final))
                case AdoptState():
                    self.do(self.seat.adopted(act.state.final, []))
                case WorkerStep.UPDATE_SIBLING:
                    self.wire.append(AttemptsInFlight([]))
                case WorkerStep.ACCEPT:
                    assert self.listens
                case LimitDescriptors():
                    self.limit = act.descriptors + (self.limit if act.more else -RESERVED)

    def hear(self, message: Message) -> None:
        kind = type(message).__name__
        if kind == "Welcome":
            self.listens = True
        if kind in ("Hello", "Ready", "Welcome"):
            self.carry(self.pair.sibling_said(message))
        else:
            self.do(self.seat.sibling_said(message))

    def cut(self) -> None:
        if self.linked:
            self.linked = False
            self.do(self.seat.link_lost())
            self.carry(self.pair.link_lost())


def serving() -> Side:
    one = Side("old")
    one.carry(one.pair.nobody())
    one.carry(one.pair.prepared(False))
    assert one.accepts and one.published
    return one


def play(old: Side, new: Side, end: tuple[str, int] | None = None, lose: int = -1) -> list[str]:
    """Hand over; `end` names who ends, and after how many messages, `lose` the message that
    hangs with all that follow. Returns the kinds of messages in order.
    """
    old.linked = new.linked = True
    said: list[str] = []
    new.carry(new.pair.found())
    while True:
        # From its start on a newcomer has descriptors, and batches on their way cost some of both.
        both = old.limit + new.limit + 2 * RESERVED
        assert (
            both + 2 * batch_of(old.pair.descriptors) * new.linked <= old.pair.descriptors
            or not said
        )
        if new.prepares and new.linked:
            new.prepares = False
            new.carry(new.pair.prepared(True))
            new.limit = new.pair.descriptors // 2 - RESERVED
        if end is not None and len(said) >= end[1]:
            dead, left = (old, new) if end[0] == "old" else (new, old)
            dead.seat.accepts = False
            while dead.wire:  # what it said before its end is still read
                left.hear(dead.wire.popleft())
            left.cut()
            return said
        sender = old if old.wire else new
        if not sender.wire or len(said) == lose:
            return said
        message = sender.wire.popleft()
        said.append(type(message).__name__)
        (new if sender is old else old).hear(message)


def test_the_newcomer_serves_and_the_other_stands_by() -> None:
    old, new = serving(), Side("new")
    said = play(old, new)
    assert said[:3] == ["Hello", "Welcome", "Ready"]
    assert new.accepts and new.published and not old.accepts
    assert old.pair.phase is HandoverPhase.STANDS_BY


STEPS = len(play(serving(), Side("new")))


@pytest.mark.parametrize("who", ["old", "new"])
@pytest.mark.parametrize("step", range(STEPS + 1))
def test_whoever_ends_at_any_step_the_other_serves(who: str, step: int) -> None:
    old, new = serving(), Side("new")
    play(old, new, (who, step))
    left = new if who == "old" else old
    if left.prepares:  # it was about to
        left.carry(left.pair.prepared(False))
    elif left.pair.phase is HandoverPhase.LOOKS:  # its next look finds nobody
        left.carry(left.pair.nobody())
        left.carry(left.pair.prepared(False))
    assert left.accepts and left.listens and left.published
    assert left.pair.may_come()


@pytest.mark.parametrize("step", range(STEPS))
def test_a_message_that_hangs_at_any_step_keeps_nobody(step: int) -> None:
    old, new = serving(), Side("new")
    play(old, new, lose=step)
    if new.pair.phase is HandoverPhase.AWAITS_WELCOME:
        new.carry(new.pair.nobody())
    if new.prepares:
        new.carry(new.pair.prepared(new.linked))
    new.carry(new.pair.late())
    assert new.accepts
    old.cut()  # the newcomer's end of the link is closed by then
    assert old.accepts or old.pair.phase is HandoverPhase.STANDS_BY


def test_one_newcomer_at_a_time_and_none_at_the_end() -> None:
    old, new = serving(), Side("new")
    assert old.pair.may_come()
    old.linked = new.linked = True
    new.carry(new.pair.found())
    old.hear(new.wire.popleft())
    assert not old.pair.may_come()
    old.cut()
    assert old.pair.may_come()
    old.pair.ending = True
    assert not old.pair.may_come()


def test_another_builds_version_is_not_served() -> None:
    old = serving()
    old.linked = True
    old.carry(old.pair.sibling_said(Hello(99)))
    assert not old.linked and old.accepts and old.pair.may_come()


RATE = 150.0  # requests a second
REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]


@dataclass
class Scene:
    gateway: SiblingGateway
    hosts: list[Host]
    builds: Builds

    def load(self) -> Load:
        return Load(self.gateway.address, REQUEST_CLASSES, (3, 1), prefix="g-", most=200)

    def lost_with(self, load: Load, ends: list[float], gap: float = 0.0) -> list[Record]:
        """The requests without an answer that processes took along which ended then: what each
        had open, and that is no more than came in the longest time that any answer took (a busy
        machine has more open), and what came in the `gap` in seconds after it in which nobody
        served.
        """
        patience = max(request_class.deadline for request_class in REQUEST_CLASSES)
        took = max((record.took for record in load.records if record.done), default=0.0)
        lost = [
            r
            for r in load.records
            if not r.status and any(e - patience < r.sent <= e + gap for e in ends)
        ]
        assert len(lost) <= (20 + RATE * (took + gap)) * len(ends)
        return lost

    def accounted(self, load: Load, ends: list[float] | None = None, lost: int = 0) -> None:
        whole = total(count_outcomes(load.records, REQUEST_CLASSES).values())
        assert whole.adds_up()
        assert (whole.late, whole.failed) == (0, 0)
        assert whole.rejected <= 0.05 * whole.sent
        assert whole.unanswered <= (lost if ends is None else len(self.lost_with(load, ends)))
        receipts = [receipt for host in self.hosts for receipt in host.receipts]
        assert rule_violations(load.records, receipts, REQUEST_CLASSES, drains=[]) == []
        assert load.refused_connects == 0


@asynccontextmanager
async def scene(folder: Path) -> AsyncIterator[Scene]:
    hosts = [await Host(f"s-{i}", 0.03, "room").start() for i in range(4)]
    discovery = await Discovery(hosts).start()
    builds = Builds(folder / "build")
    gateway = SiblingGateway(folder, discovery.port, settings(REQUEST_CLASSES), 512)
    gateway.path = builds.folder
    await gateway.start()
    try:
        yield Scene(gateway, hosts, builds)
    finally:
        await gateway.stop()
        discovery.stop()
        for host in hosts:
            host.stop()


@asynccontextmanager
async def under_load(here: Scene) -> AsyncIterator[Load]:
    """Steady load of both classes, from before what is done meanwhile until after it."""
    load = here.load()
    sending = asyncio.ensure_future(load.open_loop(steady(RATE, 120.0)))
    await until(lambda: len(load.records) > 30)
    yield load
    count = len(load.records)
    await until(lambda: len(load.records) > count + 30)
    sending.cancel()
    await load.settle()


@on_loop
async def test_upgrades_beside_each_other_lose_nothing(tmp_path: Path) -> None:
    async with scene(tmp_path) as here:
        async with under_load(here) as load:
            for _ in range(4):
                assert await here.gateway.upgrade()
        here.accounted(load)
        assert here.gateway.ended == [0, 0, 0, 0]
        # Clients kept their connections: none had to connect anew.
        assert not any(record.resent for record in load.records)
        assert here.gateway.process is not None
        modes = [
            path.stat().st_mode & 0o777
            for path in here.gateway.folder.iterdir()
            if path.is_socket()
        ]
        assert modes == [0o600]
        here.gateway.process.send_signal(signal.SIGTERM)
        await here.gateway.process.wait()
        assert list(here.gateway.folder.iterdir()) == []


KINDS = ["Hello", "Ready", "StateResult", "Come", "BatchReceived", "AttemptsInFlight"]
GIVERS = ["Welcome", "State", "AttemptsInFlight", "Connections", "Release"]


async def end_of(process: asyncio.subprocess.Process) -> float:
    """When its end is seen, by the clock of the records."""
    await process.wait()
    return time.monotonic()


@pytest.mark.parametrize("kinds", [KINDS[:3], KINDS[3:]])
def test_a_newcomer_that_dies_at_any_step_leaves_the_other_serving(
    tmp_path: Path, kinds: list[str]
) -> None:
    @on_loop
    async def play() -> None:
        async with scene(tmp_path) as here:
            ends = []
            async with under_load(here) as load:
                for kind in kinds:
                    here.builds.mark_new()
                    here.builds.fault("new", kind)
                    process, admin = await here.gateway.start_sibling()
                    await process.wait()
                    ends.append(time.monotonic())
                    here.builds.no_fault()
                    assert await here.gateway.call("GET", "/healthcheck") == 200
                    assert await here.gateway.call("GET", "/healthcheck", admin) == 0
                assert await here.gateway.upgrade()
            # What a killed process had taken is lost with it, and with it alone.
            here.accounted(load, ends)

    play()


@pytest.mark.parametrize("kind", GIVERS)
def test_a_predecessor_that_dies_at_any_step_leaves_the_newcomer_serving(
    tmp_path: Path, kind: str
) -> None:
    @on_loop
    async def play() -> None:
        async with scene(tmp_path) as here:
            async with under_load(here) as load:
                old = here.gateway.process
                assert old is not None
                here.builds.fault(old.pid, kind)
                ended = asyncio.ensure_future(end_of(old))
                process, admin = await here.gateway.start_sibling()
                assert await here.gateway.wait_until_ready(process, admin)
                serves = time.monotonic()
                here.gateway.process, here.gateway.admin = process, admin
                end = await ended
            whole = total(count_outcomes(load.records, REQUEST_CLASSES).values())
            assert (whole.late, whole.failed) == (0, 0)
            assert whole.unanswered <= len(here.lost_with(load, [end], max(0.0, serves - end)))

    play()


@on_loop
async def test_a_predecessor_that_hangs_is_passed_over(tmp_path: Path) -> None:
    async with scene(tmp_path) as here:
        old = here.gateway.process
        assert old is not None
        os.kill(old.pid, signal.SIGSTOP)
        process, admin = await here.gateway.start_sibling()
        assert await here.gateway.wait_until_ready(process, admin)
        old.kill()
        await old.wait()
        here.gateway.process, here.gateway.admin = process, admin


@on_loop
async def test_what_is_done_by_hand_goes_along_and_both_ways(tmp_path: Path) -> None:
    async with scene(tmp_path) as here:
        gateway = here.gateway
        assert await gateway.call("POST", "/hosts/s-0/maint") == 200
        assert await gateway.upgrade()  # with nothing called meanwhile
        counts, load = [len(host.receipts) for host in here.hosts], here.load()
        await load.open_loop(steady(100.0, 0.3))
        await load.settle()
        assert len(here.hosts[0].receipts) == counts[0]
        assert sum(len(host.receipts) for host in here.hosts) > sum(counts)
        old, before = gateway.process, gateway.admin
        assert old is not None
        process, admin = await gateway.start_sibling()
        assert await gateway.wait_until_ready(process, admin)
        assert (
            await gateway.call("POST", "/hosts/s-1/maint", before) == 200
        )  # at the one that stands by
        assert await gateway.call("POST", "/hosts/s-2/maint", admin) == 200
        old.send_signal(signal.SIGTERM)
        await old.wait()
        gateway.process, gateway.admin = process, admin
        counts = [len(host.receipts) for host in here.hosts]
        load = here.load()
        await load.open_loop(steady(100.0, 0.5))
        await load.settle()
        assert [len(host.receipts) for host in here.hosts][:3] == counts[:3]
        assert len(here.hosts[3].receipts) > counts[3]
        for name in ("s-0", "s-1", "s-2"):
            assert await gateway.call("POST", f"/hosts/{name}/ready") == 200
        await load.open_loop(steady(100.0, 1.0))
        await load.settle()
        assert all(
            len(host.receipts) > count for host, count in zip(here.hosts, counts, strict=True)
        )


@pytest.mark.parametrize("broken", ["cannot be imported", "exits at once", "fails its self-test"])
def test_a_broken_build_changes_nothing(tmp_path: Path, broken: str) -> None:
    @on_loop
    async def play() -> None:
        async with scene(tmp_path) as here:
            here.builds.put(broken)
            process, admin = await here.gateway.start_sibling()
            assert not await here.gateway.wait_until_ready(process, admin)
            assert await process.wait() != 0
            load = here.load()
            await load.open_loop(steady(100.0, 0.3))
            await load.settle()
            here.accounted(load)

    play()
