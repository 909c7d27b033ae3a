"""Keeper and seats together in one simulated machine: any process may end at any message, and
one at most accepts.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quillroad.config import RESERVED
from quillroad.upgrade import supervisor_commands as commands
from quillroad.upgrade.canary import Canary, CanaryTuning, RequestCounts, wilson_interval
from quillroad.upgrade.messages import (
    VERSION,
    Connections,
    DescriptorLimit,
    Give,
    Hello,
    Message,
    Owning,
    Prepared,
    Ready,
    Report,
    State,
    StateAdopted,
    Take,
    Unfit,
    Welcome,
    Yielded,
)
from quillroad.upgrade.supervisor import Limits, Phase, Supervisor
from quillroad.upgrade.worker_state import (
    AdoptState,
    DropBatches,
    ExportState,
    KeepBatch,
    LimitDescriptors,
    LinkRole,
    OwnBatch,
    ReleaseBatch,
    Step,
    TakeBackBatch,
    ToSibling,
    ToSupervisor,
    WorkerCommand,
    WorkerState,
)

LIMITS = Limits(
    start_s=5.0, prepare_s=2.0, switch_s=1.0, canary_s=10.0, retire_s=3.0, silence_s=2.0
)
IDLE = frozenset(range(40))  # client connections


@dataclass
class Process:
    seat: WorkerState = field(default_factory=WorkerState)
    other: int = 0
    ready: bool = False
    finishing: bool = False
    mute: bool = False
    waits: float = 0.0
    holds: set[int] = field(default_factory=set)  # client connections it reads from
    waiting: set[int] = field(default_factory=set)
    batches: dict[int, set[int]] = field(default_factory=dict)
    kept: dict[int, set[int]] = field(default_factory=dict)
    stopping: bool = False
    limit: int = 0  # connections that it may hold

    def limited(self, act: LimitDescriptors) -> None:
        self.limit = act.descriptors + (self.limit if act.more else -RESERVED)

    def descriptors(self) -> int:
        """The most that it may hold: what is no connection, connections, copies of those on
        their way.
        """
        copies = [*self.batches.values(), *self.kept.values()]
        return RESERVED + max(0, self.limit) + sum(map(len, copies))


@dataclass
class Machine:
    """What lies between processes is in order for each pair, and in any order between pairs."""

    supervisor: Supervisor = field(default_factory=lambda: Supervisor(LIMITS))
    now: float = 0.0
    processes: dict[int, Process] = field(default_factory=dict)
    wires: dict[tuple[int, int], deque[tuple[Message, set[int]]]] = field(default_factory=dict)
    settled: list[str] = field(default_factory=list)
    status: int | None = None
    said: list[tuple[str, int]] = field(default_factory=list)  # what each process sent, in order
    kill_at: tuple[str, int, int] | None = None  # kind of message, sender, who ends
    did: list[tuple[str, int]] = field(
        default_factory=list
    )  # what each process carried out, in order
    fail_at: tuple[str, int] | None = None  # what cannot be carried out, once, and by whom
    lost: set[int] = field(
        default_factory=set
    )  # client connections that a process may have taken along
    closed: set[int] = field(
        default_factory=set
    )  # that one ended between two requests, as it finished

    def post(
        self, sender: int, to: int, message: Message, connections: set[int] | None = None
    ) -> None:
        if sender and sender not in self.processes:
            return
        kind = type(message).__name__
        if sender:
            self.said.append((kind, sender))
        fault = self.kill_at
        if fault is not None and fault[:2] == (kind, sender):
            self.kill_at = None
            self.end(fault[2])
            if fault[2] == sender:
                return
        self.wires.setdefault((sender, to), deque()).append((message, connections or set()))

    def end(self, number: int, status: int = -9) -> None:
        """A process is gone; what it sent before may still be read."""
        process = self.processes.pop(number, None)
        if process is None:
            return
        self.closed |= process.holds
        if status < 0:
            other = self.processes.get(process.other)
            for batch, held in process.kept.items():  # of which some the other one still offers
                self.lost |= set() if other is not None and batch in other.seat.offered else held
            for batch, held in process.batches.items():  # of which some the other one has
                self.lost |= set() if other is not None and batch in other.kept else held
            self.lost |= process.holds
        for (sender, to), wire in list(self.wires.items()):
            if to == number:
                wire.clear()
            if sender == number and to == 0:
                while wire:
                    self.carry(self.supervisor.heard(self.now, number, wire.popleft()[0]))
        if process.other in self.processes:
            wire = self.wires.get((number, process.other), deque())
            while wire:
                self.deliver(number, process.other)
            if process.other in self.processes:
                self.act(process.other, self.processes[process.other].seat.link_lost())
        self.carry(self.supervisor.ended(self.now, number, status))

    def carry(self, acts: list[commands.Command]) -> None:
        for act in acts:
            match act:
                case commands.StartWorker():
                    self.processes[act.worker] = Process()
                    self.post(act.worker, 0, Hello(VERSION))
                case commands.SendMessage():
                    self.post(0, act.worker, act.message)
                case commands.ConnectWorkers():
                    for one, other, message in (
                        (act.giver, act.taker, act.message),
                        (act.taker, act.giver, Take()),
                    ):
                        if one in self.processes:
                            self.processes[one].other = other
                            self.post(0, one, Take(other) if isinstance(message, Take) else message)
                case commands.StopWorker():
                    if act.worker in self.processes:
                        self.processes[act.worker].stopping = True
                case commands.KillWorker():
                    self.end(act.worker)
                case commands.UpgradeEnded():
                    self.settled.append(act.why)
                case commands.ExitSupervisor():
                    self.status = act.status
        self.check()

    def act(self, number: int, acts: list[WorkerCommand]) -> None:
        process = self.processes[number]
        for act in acts:
            step = (act.name if isinstance(act, Step) else type(act).__name__, number)
            self.did.append(step)
            if step == self.fail_at:
                self.fail_at = None
                if isinstance(act, LimitDescriptors):  # set first, whatever fails then
                    process.limited(act)
                if act is Step.ACCEPT:
                    self.end(number, 1)
                elif isinstance(act, OwnBatch):  # those that it can't serve it ends
                    self.closed |= process.kept.pop(act.batch)
                else:
                    if isinstance(act, ReleaseBatch):
                        process.seat.batch_released(act.batch)
                        process.batches.pop(act.batch, None)  # copies are closed first
                    self.part(number)
                if number not in self.processes:
                    return
                continue
            match act:
                case ToSupervisor():
                    self.post(number, 0, act.message)
                case ToSibling():
                    if process.seat.role is not LinkRole.NONE:
                        self.post(number, process.other, act.message)
                case ExportState():
                    self.post(number, process.other, State({}, act.final))
                case AdoptState():
                    self.act(number, process.seat.adopted(act.state.final, []))
                case Step.MIGRATE:
                    process.waiting = set(process.holds)
                    self.offer(number)
                case Step.STOP_MIGRATING:
                    process.waiting = set()
                case Step.FINISH:
                    process.finishing = True
                case LimitDescriptors():
                    process.limited(act)
                case KeepBatch():
                    process.kept[act.batch] = self.carried
                case OwnBatch():
                    process.holds |= process.kept.pop(act.batch, set())
                case Step.AWAIT_SIBLING_END:
                    process.waits = self.now + 1.0
                case DropBatches():
                    process.kept.clear()
                case ReleaseBatch():
                    process.batches.pop(act.batch, None)
                    process.seat.batch_released(act.batch)
                    self.offer(number)
                case TakeBackBatch():
                    process.holds |= process.batches.pop(act.batch, set())
            if number not in self.processes:
                return
        self.check()

    carried: set[int] = field(default_factory=set)

    def part(self, number: int) -> None:
        """The link of a worker is cut, as after a fault of its own: what was sent before is
        still read.
        """
        other = self.processes[number].other
        self.wires.get((other, number), deque()).clear()
        self.act(number, self.processes[number].seat.link_lost())
        wire = self.wires.get((number, other), deque())
        while wire and other in self.processes:
            self.deliver(number, other)
        if other in self.processes and self.processes[other].other == number:
            self.act(other, self.processes[other].seat.link_lost())

    def offer(self, number: int) -> None:
        process = self.processes[number]
        while (offer := process.seat.offer(len(process.waiting))) is not None:
            batch, size = offer
            chosen = set(sorted(process.waiting)[:size])
            process.waiting -= chosen
            process.holds -= chosen
            process.batches[batch] = chosen
            self.post(number, process.other, Connections(batch, [0] * size), set(chosen))
            if number not in self.processes:
                return

    def deliver(self, sender: int, to: int) -> None:
        message, self.carried = self.wires[(sender, to)].popleft()
        if to == 0:
            self.carry(self.supervisor.heard(self.now, sender, message))
            return
        process = self.processes.get(to)
        if process is None or process.mute:
            return
        if sender == 0 and isinstance(message, Welcome):
            process.limit = message.descriptors - RESERVED
            self.post(to, 0, Ready())
        else:
            told = process.seat.supervisor_said if sender == 0 else process.seat.sibling_said
            self.act(to, told(message))

    def run(self, choose: st.DataObject | None = None, until: float = 60.0) -> None:
        """Deliver what there is, then let time pass, until nothing happens any more."""
        while self.now < until and self.status is None:
            while open_wires := sorted(w for w, queue in self.wires.items() if queue):
                at = choose.draw(st.integers(0, len(open_wires) - 1)) if choose is not None else 0
                self.deliver(*open_wires[at])
            self.now += 0.1
            for number, process in list(self.processes.items()):
                if process.waits and self.now >= process.waits:
                    process.waits = 0.0
                    self.act(number, process.seat.waited())
                if process.finishing or process.stopping:
                    self.end(number, 0)
                elif process.seat.accepts and not process.mute:
                    self.post(number, 0, Report(served=10))
            self.carry(self.supervisor.tick(self.now))

    def check(self) -> None:
        accepting = [n for n, p in self.processes.items() if p.seat.accepts]
        assert len(accepting) <= 1, "two accept"
        assert set(accepting) <= self.supervisor.granted
        readers = [c for p in self.processes.values() for c in p.holds]
        assert len(readers) == len(set(readers)), "a connection with two readers"
        told = [message for wire in self.wires.values() for message, _ in wire]
        if not any(
            isinstance(message, DescriptorLimit) for message in told
        ):  # what is told is heard in some turns
            held = sum(process.descriptors() for process in self.processes.values())
            assert held <= LIMITS.descriptors, "more descriptors than there are"

    def serving(self) -> int:
        accepting = [n for n, p in self.processes.items() if p.seat.accepts]
        assert len(accepting) == 1
        return accepting[0]


def started() -> Machine:
    machine = Machine()
    machine.carry(machine.supervisor.begin(0.0))
    machine.run(until=3.0)
    assert machine.serving() == 1
    machine.processes[1].holds = set(IDLE)
    return machine


def upgrade(machine: Machine, choose: st.DataObject | None = None, seconds: float = 40.0) -> None:
    why, acts = machine.supervisor.operator_asked(machine.now, "upgrade")
    assert not why
    machine.carry(acts)
    machine.run(choose, machine.now + seconds)


def test_an_upgrade_hands_everything_over() -> None:
    machine = started()
    upgrade(machine)
    assert machine.settled == [""] and machine.serving() == 2 and list(machine.processes) == [2]
    assert machine.processes[2].holds == IDLE
    upgrade(machine)
    assert machine.serving() == 3 and machine.processes[3].holds == IDLE


def steps() -> list[tuple[str, int]]:
    """Every message that a worker sends in an upgrade, from the machines' own run."""
    machine = started()
    machine.said.clear()
    upgrade(machine)
    return sorted({(kind, sender) for kind, sender in machine.said if kind not in ("Report",)})


@pytest.mark.parametrize("victim", [1, 2])
@pytest.mark.parametrize(("kind", "sender"), steps())
def test_whoever_ends_at_any_step_somebody_serves(kind: str, sender: int, victim: int) -> None:
    machine = started()
    machine.kill_at = (kind, sender, victim)
    upgrade(machine)
    assert machine.kill_at is None, "the step was never reached"
    assert len(machine.settled) == 1
    survivor = machine.serving()
    assert machine.supervisor.phase is Phase.SERVING and machine.supervisor.granted == {survivor}
    if victim == 2:
        assert survivor == 1 and machine.settled[0]
    # Only what was the dead process's own is gone: nothing that the other one held a copy of.
    assert IDLE - machine.lost <= machine.processes[survivor].holds
    moving = ("Come", "BatchReceived", "Connections", "Release", "AttemptsInFlight", "Owning")
    assert not machine.lost or victim == 1 or kind in moving
    upgrade(machine)  # and the next one works
    assert machine.settled[-1] == "" and machine.serving() > survivor


@pytest.mark.parametrize(("kind", "sender"), [s for s in steps() if s[1] == 2])
def test_a_new_process_that_hangs_at_any_step_does_not_keep_the_gateway(
    kind: str, sender: int
) -> None:
    machine = started()
    post = machine.post

    def hang(at: int, to: int, message: Message, connections: set[int] | None = None) -> None:
        if at == 2 and type(message).__name__ == kind:
            machine.processes[2].mute = True
        if not (at == 2 and machine.processes.get(2) is not None and machine.processes[2].mute):
            post(at, to, message, connections)

    machine.post = hang  # type: ignore[assignment, method-assign]
    upgrade(machine)
    assert machine.settled and machine.settled[0] and machine.serving() == 1


def acts() -> list[tuple[str, int]]:
    """All that workers carry out in an upgrade and on the way back, from the machines' own run."""
    machine = started()
    machine.did.clear()
    machine.carry(machine.supervisor.operator_asked(machine.now, "upgrade")[1])
    machine.run(until=machine.now + 1.0)
    machine.carry(machine.supervisor.operator_asked(machine.now, "rollback")[1])
    machine.run(until=machine.now + 5.0)
    upgrade(machine)
    return sorted({step for step in machine.did if step[1] < 3})


@pytest.mark.parametrize("back", [False, True])
@pytest.mark.parametrize(("what", "who"), acts())
def test_whatever_cannot_be_carried_out_somebody_serves(what: str, who: int, back: bool) -> None:
    """A fault inside a step, on either side, on the way forward and on the way back."""
    machine = started()
    machine.fail_at = (what, who)
    machine.carry(machine.supervisor.operator_asked(machine.now, "upgrade")[1])
    machine.run(until=machine.now + 1.0)
    if back:
        machine.carry(machine.supervisor.operator_asked(machine.now, "rollback")[1])
    machine.run(until=machine.now + 40.0)
    assert len(machine.settled) == 1
    survivor = machine.serving()
    assert machine.supervisor.phase is Phase.SERVING and machine.supervisor.granted == {survivor}
    # Nobody was killed: each connection is served, or its client saw it end between two requests.
    assert machine.processes[survivor].holds | machine.closed == IDLE
    machine.fail_at = None
    upgrade(machine)
    assert machine.settled[-1] == "" and machine.serving() > survivor


@settings(max_examples=60, deadline=None)
@given(st.data())
def test_any_order_and_any_ends(data: st.DataObject) -> None:
    machine = started()
    kinds = steps()
    for _ in range(data.draw(st.integers(1, 3))):
        if data.draw(st.booleans()):
            kind, sender = data.draw(st.sampled_from(kinds))
            base = machine.supervisor.owner - 1
            machine.kill_at = (kind, sender + base, data.draw(st.integers(1, 2)) + base)
        upgrade(machine, data, 25.0)
        machine.kill_at = None
        machine.serving()
    why, acts = machine.supervisor.operator_asked(machine.now, "stop")
    machine.carry(acts)
    machine.run(until=machine.now + 5.0)
    assert not why and machine.status == 0 and not machine.processes


def test_a_bad_new_process_hands_back() -> None:
    machine = started()
    machine.carry(machine.supervisor.operator_asked(machine.now, "upgrade")[1])
    machine.run(until=machine.now + 1.0)
    assert machine.serving() == 2
    machine.carry(machine.supervisor.heard(machine.now, 2, Report(served=10, failed=90)))
    machine.run(until=machine.now + 10.0)
    assert (
        machine.serving() == 1 and list(machine.processes) == [1] and "failed" in machine.settled[0]
    )
    assert machine.processes[1].holds == IDLE


def test_a_rollback_by_command_and_a_second_upgrade_meanwhile() -> None:
    machine = started()
    machine.carry(machine.supervisor.operator_asked(machine.now, "upgrade")[1])
    assert machine.supervisor.operator_asked(machine.now, "upgrade")[0] == "not now: probing"
    machine.run(until=machine.now + 1.0)
    assert machine.serving() == 2
    why, acts = machine.supervisor.operator_asked(machine.now, "rollback")
    machine.carry(acts)
    machine.run(until=machine.now + 5.0)
    assert not why and machine.serving() == 1 and machine.settled == ["asked for"]
    assert (
        machine.supervisor.operator_asked(machine.now, "rollback")[0]
        == "nothing to go back to: serving"
    )


def test_an_unfit_or_too_large_candidate_changes_nothing() -> None:
    for message, limit, why in (
        (Unfit("self-test: status-check: no answer"), 0.0, "self-test: status-check: no answer"),
        (Hello(VERSION + 1), 0.0, f"it speaks version {VERSION + 1}, this is {VERSION}"),
        (Ready(150.0), 192.0, "both processes take 210 MB, 192 are allowed"),
    ):
        supervisor = Supervisor(Limits(memory_mb=limit))
        supervisor.begin(0.0)
        supervisor.heard(0.0, 1, Hello(VERSION))
        supervisor.heard(0.0, 1, Ready(60.0))
        supervisor.heard(0.0, 1, Owning(1))
        _, acts = supervisor.operator_asked(1.0, "upgrade")
        acts = supervisor.heard(1.1, 2, message)
        assert commands.UpgradeEnded(why) in acts and commands.KillWorker(2) in acts
        assert supervisor.granted == {1} and not any(
            isinstance(a, commands.SendMessage) and a.worker == 1 and isinstance(a.message, Give)
            for a in acts
        )


def test_a_check_proves_the_build_and_changes_nothing() -> None:
    machine = started()
    why, acts = machine.supervisor.operator_asked(machine.now, "check")
    machine.said.clear()
    machine.carry(acts)
    machine.run(until=machine.now + 5.0)
    assert not why and machine.settled == [""] and machine.serving() == 1
    assert list(machine.processes) == [1]
    assert {kind for kind, _ in machine.said} == {"Hello", "Ready", "Report"}


def test_who_starts_after_a_reload_reads_what_the_reload_read() -> None:
    supervisor = Supervisor()
    supervisor.begin(0.0)
    assert supervisor.heard(0.0, 1, Hello(VERSION))[-1] == commands.SendMessage(1, Welcome(1024))
    supervisor.heard(0.0, 1, Ready())
    supervisor.heard(0.0, 1, Owning(1))
    assert supervisor.reload() == [1]
    supervisor.operator_asked(1.0, "upgrade")
    assert supervisor.reload() == [1]  # the new one could not take a signal yet
    assert supervisor.heard(1.0, 2, Hello(VERSION))[-1] == commands.SendMessage(
        2, Welcome(64, reloaded=True)
    )
    assert supervisor.reload() == [1, 2]


def test_crashes_back_off_and_calm_forgets_them() -> None:
    supervisor, now, waits = Supervisor(Limits(again_s=0.1, again_most_s=1.0, calm_s=10.0)), 0.0, []
    acts = supervisor.begin(now)
    for served_s in (0.1,) * 7 + (20.0, 0.1):
        (worker,) = (act.worker for act in acts if isinstance(act, commands.StartWorker))
        for message in (Hello(VERSION), Ready()):
            supervisor.heard(now, worker, message)
        supervisor.heard(now, worker, Owning(supervisor._grant))
        assert supervisor.phase is Phase.SERVING
        now += served_s
        acts, wait_s = supervisor.ended(now, worker, -11), 0.0
        if not any(isinstance(act, commands.StartWorker) for act in acts):
            wait_s = supervisor.next_s(now) or 0.0
            now += wait_s
            acts = supervisor.tick(now)
        waits.append(round(wait_s, 3))
    assert waits == [0.0, 0.2, 0.4, 0.8, 1.0, 1.0, 1.0, 0.0, 0.2]


def test_a_configuration_that_cannot_work_ends_the_keeper_and_not_the_gateway() -> None:
    supervisor = Supervisor()
    supervisor.begin(0.0)
    supervisor.heard(0.0, 1, Hello(VERSION))
    assert commands.ExitSupervisor(2) in supervisor.ended(0.1, 1, 2)


@given(st.integers(0, 500), st.integers(0, 500), st.floats(0.5, 4.0))
def test_bounds_hold_the_share_and_narrow(part: int, more: int, sure: float) -> None:
    whole = part + more
    least, most = wilson_interval(part, whole, sure)
    assert 0.0 <= least <= most <= 1.0
    if whole:
        assert least <= part / whole + 1e-9 and most >= part / whole - 1e-9
        wide = most - least
        least, most = wilson_interval(4 * part, 4 * whole, sure)
        assert most - least <= wide + 1e-9


@pytest.mark.parametrize(
    ("new", "worse"),
    [
        (RequestCounts(100, 0, 0), False),
        (RequestCounts(97, 0, 3), False),
        (RequestCounts(50, 50, 0), True),
        (RequestCounts(70, 0, 30), True),
        (RequestCounts(0, 0, 30), False),
        (RequestCounts(0, 0, 60), True),
    ],
)
def test_the_canary_is_sure_before_it_speaks(new: RequestCounts, worse: bool) -> None:
    canary = Canary(CanaryTuning())
    for i in range(20):
        canary.record_old(i / 10, RequestCounts(10, 0, 0))
    canary.begin(2.0)
    canary.record_new(3.0, new)
    assert bool(canary.regression()) is worse


def test_a_new_process_to_which_nobody_comes() -> None:
    canary = Canary(CanaryTuning())
    for i in range(20):
        canary.record_old(i / 10, RequestCounts(10, 0, 0))
    canary.begin(2.0)
    canary.record_new(2.0, RequestCounts())
    canary.record_new(2.1, RequestCounts())
    assert not canary.regression()
    canary.record_new(3.0, RequestCounts())
    assert canary.regression().startswith("no request in 1.0 s")


@pytest.mark.parametrize("reports", [[], [2.058]])
def test_a_new_process_without_a_second_report_is_not_said_to_have_no_requests(
    reports: list[float],
) -> None:
    """It may be slow to tell: a report that is due is no report of nothing."""
    supervisor = Supervisor(Limits(silence_s=2.0))
    supervisor.begin(0.0)
    supervisor.heard(0.0, 1, Hello(VERSION))
    supervisor.heard(0.0, 1, Ready(30.0))
    supervisor.heard(0.0, 1, Owning(1))
    for i in range(1, 20):
        supervisor.heard(i / 10, 1, Report(served=108))
    supervisor.operator_asked(1.9, "upgrade")
    supervisor.heard(1.9, 2, Hello(VERSION))
    supervisor.heard(1.9, 2, Ready(30.0))
    supervisor.heard(1.9, 1, Prepared())
    supervisor.heard(1.9, 2, Prepared())
    supervisor.heard(2.0, 2, StateAdopted())
    supervisor.heard(2.0, 1, Yielded(1))
    supervisor.heard(2.0, 2, Owning(2))
    for at in reports:
        supervisor.heard(at, 2, Report())
    supervisor.tick(2.705)
    assert not supervisor.last
    supervisor.heard(2.71, 2, Report())
    supervisor.heard(2.81, 2, Report())
    supervisor.tick(2.82)
    assert supervisor.phase is Phase.RETURNING and "no request" in supervisor.last
