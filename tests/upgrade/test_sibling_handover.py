"""Hand-over between two processes of a gateway without a supervisor.

The state machines are tested with the loss of each message and the end of either process after each
message. Real processes are tested under load.
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
from quillroad.upgrade.messages import AttemptsInFlight, Hello, Message, State, migration_batch_size
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
    """The state machines of one process, without sockets; messages sent go to `outbox`."""

    name: str
    handover: SiblingHandover = field(default_factory=lambda: SiblingHandover(400))
    worker: WorkerState = field(default_factory=WorkerState)
    outbox: deque[Message] = field(default_factory=deque)
    linked: bool = False
    listens: bool = False  # has a listener, opened or received
    published: bool = False
    prepares: bool = False
    limit: int = -RESERVED  # limit on connections

    @property
    def accepts(self) -> bool:
        return self.worker.accepts

    def perform_handover(self, commands: list[HandoverCommand]) -> None:
        for command in commands:
            match command:
                case SendToSibling():
                    self.outbox.append(command.message)
                case TellWorker():
                    self.perform_worker(self.worker.on_supervisor_message(command.message))
                case HandoverStep.PREPARE:
                    self.prepares = True
                    whole = self.handover.descriptors
                    self.limit = (
                        min(NEWCOMER_DESCRIPTORS, whole // 2) if self.linked else whole
                    ) - RESERVED
                case HandoverStep.OPEN_LISTENER:
                    self.listens = True
                case HandoverStep.PUBLISH:
                    self.published = True
                case HandoverStep.CLOSE_LINK:
                    self.lose_link()

    def perform_worker(self, commands: list[WorkerCommand]) -> None:
        for command in commands:
            match command:
                case ToSupervisor():
                    self.perform_handover(self.handover.on_worker_message(command.message))
                case ToSibling():
                    self.outbox.append(command.message)
                case ExportState():
                    self.outbox.append(State({}, command.final))
                case AdoptState():
                    self.perform_worker(self.worker.adopted(command.state.final, []))
                case WorkerStep.UPDATE_SIBLING:
                    self.outbox.append(AttemptsInFlight([]))
                case WorkerStep.ACCEPT:
                    assert self.listens
                case LimitDescriptors():
                    self.limit = command.descriptors + (self.limit if command.more else -RESERVED)

    def receive(self, message: Message) -> None:
        kind = type(message).__name__
        if kind == "Welcome":
            self.listens = True
        if kind in ("Hello", "Ready", "Welcome"):
            self.perform_handover(self.handover.on_sibling_message(message))
        else:
            self.perform_worker(self.worker.on_sibling_message(message))

    def lose_link(self) -> None:
        if self.linked:
            self.linked = False
            self.perform_worker(self.worker.link_lost())
            self.perform_handover(self.handover.link_lost())


def serving_side() -> Side:
    side = Side("old")
    side.perform_handover(side.handover.no_sibling_found())
    side.perform_handover(side.handover.preparation_done(False))
    assert side.accepts and side.published
    return side


def run_handover(
    old: Side, new: Side, end: tuple[str, int] | None = None, lose: int = -1
) -> list[str]:
    """Run a hand-over and return the types of the messages delivered, in order.

    `end` names the process that ends, and after how many messages. `lose` is the index of the
    message from which on nothing is delivered any more.
    """
    old.linked = new.linked = True
    delivered: list[str] = []
    new.perform_handover(new.handover.sibling_found())
    while True:
        # The new process has descriptors from its start on, and batches of connections in transit
        # use descriptors of both processes.
        both = old.limit + new.limit + 2 * RESERVED
        assert (
            both + 2 * migration_batch_size(old.handover.descriptors) * new.linked
            <= old.handover.descriptors
            or not delivered
        )
        if new.prepares and new.linked:
            new.prepares = False
            new.perform_handover(new.handover.preparation_done(True))
            new.limit = new.handover.descriptors // 2 - RESERVED
        if end is not None and len(delivered) >= end[1]:
            dead, survivor = (old, new) if end[0] == "old" else (new, old)
            dead.worker.accepts = False
            while dead.outbox:  # messages sent before its end are still delivered
                survivor.receive(dead.outbox.popleft())
            survivor.lose_link()
            return delivered
        sender = old if old.outbox else new
        if not sender.outbox or len(delivered) == lose:
            return delivered
        message = sender.outbox.popleft()
        delivered.append(type(message).__name__)
        (new if sender is old else old).receive(message)


def test_new_process_serves_and_old_stands_by() -> None:
    old, new = serving_side(), Side("new")
    delivered = run_handover(old, new)
    assert delivered[:3] == ["Hello", "Welcome", "Ready"]
    assert new.accepts and new.published and not old.accepts
    assert old.handover.phase is HandoverPhase.STANDING_BY


MESSAGE_COUNT = len(run_handover(serving_side(), Side("new")))


@pytest.mark.parametrize("who", ["old", "new"])
@pytest.mark.parametrize("step", range(MESSAGE_COUNT + 1))
def test_surviving_process_serves_after_end_at_any_message(who: str, step: int) -> None:
    """The end of one process during the hand-over must not leave the gateway without a listener."""
    old, new = serving_side(), Side("new")
    run_handover(old, new, (who, step))
    survivor = new if who == "old" else old
    if survivor.prepares:  # its preparation was not complete
        survivor.perform_handover(survivor.handover.preparation_done(False))
    elif survivor.handover.phase is HandoverPhase.SEARCHING:  # its next search finds no process
        survivor.perform_handover(survivor.handover.no_sibling_found())
        survivor.perform_handover(survivor.handover.preparation_done(False))
    assert survivor.accepts and survivor.listens and survivor.published
    assert survivor.handover.accepts_newcomer()


@pytest.mark.parametrize("step", range(MESSAGE_COUNT))
def test_new_process_serves_alone_if_messages_stop_at_any_point(step: int) -> None:
    """A sibling that hangs during the hand-over must not keep the new process from serving."""
    old, new = serving_side(), Side("new")
    run_handover(old, new, lose=step)
    if new.handover.phase is HandoverPhase.AWAITING_WELCOME:
        new.perform_handover(new.handover.no_sibling_found())
    if new.prepares:
        new.perform_handover(new.handover.preparation_done(new.linked))
    new.perform_handover(new.handover.handover_timed_out())
    assert new.accepts
    old.lose_link()  # the new process has closed its end of the link
    assert old.accepts or old.handover.phase is HandoverPhase.STANDING_BY


def test_newcomers_accepted_one_at_a_time_and_not_while_ending() -> None:
    old, new = serving_side(), Side("new")
    assert old.handover.accepts_newcomer()
    old.linked = new.linked = True
    new.perform_handover(new.handover.sibling_found())
    old.receive(new.outbox.popleft())
    assert not old.handover.accepts_newcomer()
    old.lose_link()
    assert old.handover.accepts_newcomer()
    old.handover.ending = True
    assert not old.handover.accepts_newcomer()


def test_hello_of_other_protocol_version_closes_link() -> None:
    old = serving_side()
    old.linked = True
    old.perform_handover(old.handover.on_sibling_message(Hello(99)))
    assert not old.linked and old.accepts and old.handover.accepts_newcomer()


RATE_PER_S = 150.0
REQUEST_CLASSES = [
    RequestClass("status-check", 0.58, 1.4, 2.0),
    RequestClass("seat-checkout", 0.75, 1.9, 8.0, keyed=True, body_bytes=200),
]


@dataclass
class Environment:
    gateway: SiblingGateway
    hosts: list[Host]
    builds: Builds

    def load(self) -> Load:
        return Load(self.gateway.address, REQUEST_CLASSES, (3, 1), prefix="g-", most=200)

    def lost_requests(self, load: Load, ends: list[float], gap: float = 0.0) -> list[Record]:
        """Return the requests left unanswered because processes ended at the times `ends`.

        These are the requests that a process had open, and those sent in the `gap` (seconds) after
        its end in which no process served. Asserts that a process loses no more than arrive in the
        longest time that any answer took, since a busy machine has more requests open.
        """
        max_deadline_s = max(request_class.deadline for request_class in REQUEST_CLASSES)
        max_answer_time_s = max(
            (record.took for record in load.records if record.done), default=0.0
        )
        lost = [
            r
            for r in load.records
            if not r.status and any(e - max_deadline_s < r.sent <= e + gap for e in ends)
        ]
        assert len(lost) <= (20 + RATE_PER_S * (max_answer_time_s + gap)) * len(ends)
        return lost

    def check_records(self, load: Load, ends: list[float] | None = None, lost: int = 0) -> None:
        whole = total(count_outcomes(load.records, REQUEST_CLASSES).values())
        assert whole.adds_up()
        assert (whole.late, whole.failed) == (0, 0)
        assert whole.rejected <= 0.05 * whole.sent
        assert whole.unanswered <= (lost if ends is None else len(self.lost_requests(load, ends)))
        receipts = [receipt for host in self.hosts for receipt in host.receipts]
        assert rule_violations(load.records, receipts, REQUEST_CLASSES, drains=[]) == []
        assert load.refused_connects == 0


@asynccontextmanager
async def gateway_environment(folder: Path) -> AsyncIterator[Environment]:
    hosts = [await Host(f"s-{i}", 0.03, "room").start() for i in range(4)]
    discovery = await Discovery(hosts).start()
    builds = Builds(folder / "build")
    gateway = SiblingGateway(folder, discovery.port, settings(REQUEST_CLASSES), 512)
    gateway.path = builds.folder
    await gateway.start()
    try:
        yield Environment(gateway, hosts, builds)
    finally:
        await gateway.stop()
        discovery.stop()
        for host in hosts:
            host.stop()


@asynccontextmanager
async def under_load(environment: Environment) -> AsyncIterator[Load]:
    """Send steady load of both classes, from before the body of the context until after it."""
    load = environment.load()
    sending = asyncio.ensure_future(load.open_loop(steady(RATE_PER_S, 120.0)))
    await until(lambda: len(load.records) > 30)
    yield load
    count = len(load.records)
    await until(lambda: len(load.records) > count + 30)
    sending.cancel()
    await load.settle()


@on_loop
async def test_repeated_upgrades_lose_no_request(tmp_path: Path) -> None:
    """Clients keep their connections and get all answers while processes hand over."""
    async with gateway_environment(tmp_path) as environment:
        async with under_load(environment) as load:
            for _ in range(4):
                assert await environment.gateway.upgrade()
        environment.check_records(load)
        assert environment.gateway.ended == [0, 0, 0, 0]
        # Clients kept their connections: none had to reconnect.
        assert not any(record.resent for record in load.records)
        assert environment.gateway.process is not None
        modes = [
            path.stat().st_mode & 0o777
            for path in environment.gateway.folder.iterdir()
            if path.is_socket()
        ]
        assert modes == [0o600]
        environment.gateway.process.send_signal(signal.SIGTERM)
        await environment.gateway.process.wait()
        assert list(environment.gateway.folder.iterdir()) == []


NEWCOMER_MESSAGES = [
    "Hello",
    "Ready",
    "StateResult",
    "ReadyForConnections",
    "BatchReceived",
    "AttemptsInFlight",
]
PREDECESSOR_MESSAGES = ["Welcome", "State", "AttemptsInFlight", "Connections", "Release"]


async def end_of(process: asyncio.subprocess.Process) -> float:
    """Wait for the end of a process; return its time on the clock of the records."""
    await process.wait()
    return time.monotonic()


@pytest.mark.parametrize("kinds", [NEWCOMER_MESSAGES[:3], NEWCOMER_MESSAGES[3:]])
def test_old_process_serves_after_new_one_is_killed(tmp_path: Path, kinds: list[str]) -> None:
    """A new process killed before it sends a message of each type costs its own requests only."""

    @on_loop
    async def run_test() -> None:
        async with gateway_environment(tmp_path) as environment:
            ends = []
            async with under_load(environment) as load:
                for kind in kinds:
                    environment.builds.mark_new()
                    environment.builds.fault("new", kind)
                    process, admin = await environment.gateway.start_sibling()
                    await process.wait()
                    ends.append(time.monotonic())
                    environment.builds.no_fault()
                    assert await environment.gateway.call("GET", "/healthcheck") == 200
                    assert await environment.gateway.call("GET", "/healthcheck", admin) == 0
                assert await environment.gateway.upgrade()
            # Only requests that a killed process had open may be lost.
            environment.check_records(load, ends)

    run_test()


@pytest.mark.parametrize("kind", PREDECESSOR_MESSAGES)
def test_new_process_serves_after_old_one_is_killed(tmp_path: Path, kind: str) -> None:
    """An old process killed before it sends a message of this type costs its own requests only."""

    @on_loop
    async def run_test() -> None:
        async with gateway_environment(tmp_path) as environment:
            async with under_load(environment) as load:
                old = environment.gateway.process
                assert old is not None
                environment.builds.fault(old.pid, kind)
                ended = asyncio.ensure_future(end_of(old))
                process, admin = await environment.gateway.start_sibling()
                assert await environment.gateway.wait_until_ready(process, admin)
                serves = time.monotonic()
                environment.gateway.process, environment.gateway.admin = process, admin
                end = await ended
            whole = total(count_outcomes(load.records, REQUEST_CLASSES).values())
            assert (whole.late, whole.failed) == (0, 0)
            assert whole.unanswered <= len(
                environment.lost_requests(load, [end], max(0.0, serves - end))
            )

    run_test()


@on_loop
async def test_new_process_serves_beside_hanging_predecessor(tmp_path: Path) -> None:
    """A process that is stopped does not answer `Hello`; the new one must not wait for it."""
    async with gateway_environment(tmp_path) as environment:
        old = environment.gateway.process
        assert old is not None
        os.kill(old.pid, signal.SIGSTOP)
        process, admin = await environment.gateway.start_sibling()
        assert await environment.gateway.wait_until_ready(process, admin)
        old.kill()
        await old.wait()
        environment.gateway.process, environment.gateway.admin = process, admin


@on_loop
async def test_operator_actions_reach_both_processes(tmp_path: Path) -> None:
    """A host that operators took out of service stays out after an upgrade.

    This holds for actions before the upgrade, and for those at either process during it.
    """
    async with gateway_environment(tmp_path) as environment:
        gateway = environment.gateway
        assert await gateway.call("POST", "/hosts/s-0/maint") == 200
        assert await gateway.upgrade()  # no operator action during this upgrade
        counts, load = [len(host.receipts) for host in environment.hosts], environment.load()
        await load.open_loop(steady(100.0, 0.3))
        await load.settle()
        assert len(environment.hosts[0].receipts) == counts[0]
        assert sum(len(host.receipts) for host in environment.hosts) > sum(counts)
        old, before = gateway.process, gateway.admin
        assert old is not None
        process, admin = await gateway.start_sibling()
        assert await gateway.wait_until_ready(process, admin)
        assert (
            await gateway.call("POST", "/hosts/s-1/maint", before) == 200
        )  # at the process that stands by
        assert await gateway.call("POST", "/hosts/s-2/maint", admin) == 200
        old.send_signal(signal.SIGTERM)
        await old.wait()
        gateway.process, gateway.admin = process, admin
        counts = [len(host.receipts) for host in environment.hosts]
        load = environment.load()
        await load.open_loop(steady(100.0, 0.5))
        await load.settle()
        assert [len(host.receipts) for host in environment.hosts][:3] == counts[:3]
        assert len(environment.hosts[3].receipts) > counts[3]
        for name in ("s-0", "s-1", "s-2"):
            assert await gateway.call("POST", f"/hosts/{name}/ready") == 200
        await load.open_loop(steady(100.0, 1.0))
        await load.settle()
        assert all(
            len(host.receipts) > count
            for host, count in zip(environment.hosts, counts, strict=True)
        )


@pytest.mark.parametrize("broken", ["cannot be imported", "exits at once", "fails its self-test"])
def test_broken_build_leaves_old_process_serving(tmp_path: Path, broken: str) -> None:
    """A new process that fails before it is ready must not affect the serving one."""

    @on_loop
    async def run_test() -> None:
        async with gateway_environment(tmp_path) as environment:
            environment.builds.put(broken)
            process, admin = await environment.gateway.start_sibling()
            assert not await environment.gateway.wait_until_ready(process, admin)
            assert await process.wait() != 0
            load = environment.load()
            await load.open_loop(steady(100.0, 0.3))
            await load.settle()
            environment.check_records(load)

    run_test()
