"""Which of a gateway's processes serves: upgrades, ways back, crashes and the end. No I/O.

The supervisor holds the listening socket, starts workers and talks to them. It is the only one that
grants leave to accept, and grants it to nobody while another may still have it: that worker has
said that it yielded, or its end was seen. So there is one owner of the listener at most at every
moment, whatever fails, and with none connections wait in the kernel.

What happens is told by `heard`, `ended`, `ask` and `tick`, each with the time (seconds of one clock
that never goes back); what is to be done comes back as commands, in order.

    STARTING   nobody serves; the candidate is to
    SERVING    the owner serves
    PROBING    ... and a candidate starts and proves itself
    PREPARING  ... and understands, as a rehearsal, all that the owner knows
    SWITCHING  the owner yields and hands over, the candidate is granted the listener
    CANARY     the candidate is the owner; the one before stands by
    RETURNING  the new owner yields, the one before is granted the listener again
    STOPPING   all finish what they have

`supervisor_state` has the state, `supervisor_recovery` what follows on faults; this module has the
events and the way forward.
"""

from __future__ import annotations

from quillroad.upgrade.canary import RequestCounts
from quillroad.upgrade.messages import (
    VERSION,
    DescriptorLimit,
    Ended,
    Give,
    Hello,
    Message,
    Owning,
    Prepared,
    Ready,
    Report,
    StateAdopted,
    Unfit,
    Welcome,
    Yield,
    Yielded,
)
from quillroad.upgrade.supervisor_commands import (
    CloseListener,
    Command,
    ConnectWorkers,
    ExitSupervisor,
    StopWorker,
)
from quillroad.upgrade.supervisor_recovery import HANGS, SupervisorRecovery
from quillroad.upgrade.supervisor_state import Limits, Phase, WorkerInfo

__all__ = ["Limits", "Phase", "Supervisor", "WorkerInfo"]

SHOWN_CHARACTERS = 40  # of a command that is not known, in the answer
REPORTS_IN_SILENCE = 4  # looks at the new owner within the silence after which it counts as hung


class Supervisor(SupervisorRecovery):
    """One gateway's supervisor, as decisions."""

    __slots__ = ()

    # What happens.

    def begin(self, now: float) -> list[Command]:
        """Start the first worker: the listening socket is there."""
        self._start_worker(now)
        self._enter(Phase.STARTING, now + self.limits.start_s)
        return self._take_commands()

    def heard(  # noqa: C901, PLR0912 - a case a message
        self, now: float, number: int, message: Message
    ) -> list[Command]:
        """Take a worker's message.

        What does not fit into the phase is passed over: it crossed a decision on its way.
        """
        worker = self.workers.get(number)
        if worker is None or number in self._killed:
            return []
        worker.heard = now
        match message:
            case Hello():
                self._hello(now, worker, message)
            case Ready():
                worker.ready, worker.memory_mb = True, message.memory_mb
                self._candidate_is_ready(now, worker)
            case Unfit():
                self._unfit(now, number, message.why)
            case Prepared():
                self._is_prepared(now, worker, message)
            case Yielded():
                self._has_yielded(now, number, message)
            case StateAdopted():
                worker.has_state = True
                self._hand_over(now)
            case Owning():
                if message.grant == self._grant and number in self.granted:
                    self._owns(now, number)
            case Report():
                self._take_report(now, worker, message)
            case _:
                self._log("not understood", number, type(message).__name__)
        return self._take_commands()

    def ended(self, now: float, number: int, status: int) -> list[Command]:
        """Note that a process has ended, and was waited for.

        `status` is its exit status, or minus the signal's number.
        """
        if self.workers.pop(number, None) is None:
            return []
        self.granted.discard(number)
        self._killed.discard(number)
        was_leaving = self.leaving.pop(number, None) is not None
        if self.phase is Phase.STOPPING:
            if not self.workers:
                self._commands.append(ExitSupervisor(0))
            return self._take_commands()
        for other in self.workers:
            if other not in self._killed:
                self._send(other, Ended(number))
        if was_leaving:
            self._log("retired", number)
            self._grant_all_descriptors()
        elif number == self.candidate:
            self._lost_candidate(now, f"it ended with {status}", status)
        elif number == self.standby:
            self._lost_standby(now, number, status)
        elif number == self.owner:
            self._lost_owner(now, status)
        return self._take_commands()

    def lost(self, number: int, why: str) -> list[Command]:
        """Kill a worker to which nothing can be said any more, or that makes no sense."""
        if number in self.workers and number not in self._killed:
            self._log("cut off", number, why)
            self._kill(number)
        return self._take_commands()

    def reload(self) -> list[int]:
        """Workers to signal, since they are to read their configuration again.

        A process that has not said `Hello` could not take a signal yet, and would end by it; its
        `Welcome` tells it.
        """
        self.reloaded = True
        return [number for number, worker in self.workers.items() if worker.welcomed]

    def operator_asked(self, now: float, what: str) -> tuple[str, list[Command]]:
        """Take an operator's word: `upgrade`, `check`, `rollback` or `stop`.

        `check` is whether an upgrade would begin. Returns why not, or nothing, and the commands.
        """
        if what == "stop":
            self._stop(now)
            refusal = ""
        elif what in ("upgrade", "check"):
            refusal = self._ask_for_upgrade(now, only_checking=what == "check")
        elif what == "rollback":
            refusal = self._ask_for_rollback(now)
        else:
            refusal = f"no such command: {what[:SHOWN_CHARACTERS]!r}"
        return refusal, self._take_commands()

    def tick(self, now: float) -> list[Command]:
        """Take note that time has passed."""
        for number, kill_at in list(self.leaving.items()):
            if now >= kill_at and number not in self._killed:
                self._log("has not finished", number)
                self._kill(number)
        owner = self.workers.get(self.owner)
        if self.phase is Phase.CANARY and owner is not None:
            if now - owner.heard > self.limits.silence_s:
                self._go_back(now, HANGS)
            elif why := self.canary.regression():
                self._go_back(now, why)
        if self.due is not None and now >= self.due:
            self.due = None
            self._phase_is_late(now)
        return self._take_commands()

    def next_s(self, now: float) -> float | None:
        """Seconds until `tick` is due; None where nothing is waited for."""
        times = [at for number, at in self.leaving.items() if number not in self._killed]
        if self.due is not None:
            times.append(self.due)
        if self.phase is Phase.CANARY:
            times.append(now + self.limits.silence_s / REPORTS_IN_SILENCE)
        return max(0.0, min(times) - now) if times else None

    # What operators ask for.

    def _ask_for_upgrade(self, now: float, only_checking: bool) -> str:
        if self.phase is not Phase.SERVING:
            return f"not now: {self.phase}"
        if self.leaving.keys() - self._killed:
            return "not now: the process before has not finished yet"
        self._operator_waits, self._only_checking = True, only_checking
        # First: a process has descriptors from its start on.
        self._send(self.owner, DescriptorLimit(self.limits.left))
        self._start_worker(now)
        self._enter(Phase.PROBING, now + self.limits.start_s)
        return ""

    def _ask_for_rollback(self, now: float) -> str:
        if self.phase is Phase.CANARY and self.standby:
            self._go_back(now, "asked for")
        elif self.phase in (Phase.PROBING, Phase.PREPARING):
            self._abort(now, "asked for")
        else:
            return f"nothing to go back to: {self.phase}"
        return ""

    def _stop(self, now: float) -> None:
        if self.phase is Phase.STOPPING:
            return
        self._end_upgrade("the gateway ends")
        self._commands.append(CloseListener())
        serves = self.standby or self.owner
        if not self.granted and serves in self.workers:
            # What the kernel has accepted is to be answered.
            self._grant_listener(now, serves)
        self._enter(Phase.STOPPING, now + self.limits.retire_s)
        for number, worker in self.workers.items():
            if number == self.candidate and not (worker.ready and number in self.granted):
                self._kill(number)
            else:
                self._commands.append(StopWorker(number))
        if not self.workers:
            self._commands.append(ExitSupervisor(0))

    # The way forward.

    def _hello(self, now: float, worker: WorkerInfo, message: Hello) -> None:
        if message.version != VERSION:
            why = f"it speaks version {message.version}, this is {VERSION}"
            self._unfit(now, worker.number, why)
            return
        is_alone = self.phase is Phase.STARTING
        descriptors = self.limits.descriptors if is_alone else self.limits.base
        worker.welcomed = True
        self._send(worker.number, Welcome(descriptors, self.reloaded))

    def _candidate_is_ready(self, now: float, worker: WorkerInfo) -> None:
        if worker.number != self.candidate:
            return
        if self.phase is Phase.STARTING:
            self._grant_listener(now, worker.number)
        elif self.phase is Phase.PROBING:
            self._candidate_passed(now, worker)

    def _candidate_passed(self, now: float, worker: WorkerInfo) -> None:
        """The candidate proved itself: rehearse the hand-over, unless it was to be checked only."""
        together_mb = sum(one.memory_mb for one in self.workers.values())
        allowed_mb = self.limits.memory_mb
        if allowed_mb and together_mb > allowed_mb:
            why = f"both processes take {together_mb:.0f} MB, {allowed_mb:.0f} are allowed"
            self._abort(now, why)
            return
        if self._only_checking:
            self._log("fit", worker.number)
            self._abort(now, "")
            return
        self.workers[self.owner].prepared = False
        give = Give(0, worker.number)
        self._commands.append(ConnectWorkers(self.owner, worker.number, give))
        self._enter(Phase.PREPARING, now + self.limits.prepare_s)

    def _is_prepared(self, now: float, worker: WorkerInfo, message: Prepared) -> None:
        """A side of the rehearsal is done; once both are, the owner is to yield."""
        worker.prepared = True
        if worker.number == self.candidate:
            for line in message.left:
                self._log("left behind", worker.number, line)
        both = [self.workers.get(self.owner), self.workers.get(self.candidate)]
        if self.phase is Phase.PREPARING and all(one is not None and one.prepared for one in both):
            self._send(self.owner, Yield(self._grant))
            self._enter(Phase.SWITCHING, now + self.limits.switch_s)

    def _has_yielded(self, now: float, number: int, message: Yielded) -> None:
        if message.grant != self._grant:
            return
        self.granted.discard(number)
        if number != self.owner:
            return
        if self.phase is Phase.SWITCHING:
            self._hand_over(now)
        elif self.phase is Phase.RETURNING:
            self._grant_to_standby(now)

    def _hand_over(self, now: float) -> None:
        """Grant the candidate the listener, once nobody else has it and it holds the state."""
        candidate = self.workers.get(self.candidate)
        is_free = self.phase is Phase.SWITCHING and not self.granted
        if is_free and candidate is not None and candidate.has_state:
            self._grant_listener(now, self.candidate)

    def _owns(self, now: float, number: int) -> None:
        """A worker says that it accepts, as it was granted."""
        self._anyone_served, self._serves_since = True, now
        if self.phase is Phase.SWITCHING and number == self.candidate:
            self.standby, self.owner, self.candidate = self.owner, number, 0
            self.canary.begin(now)
            if self.standby in self.workers:
                self._enter(Phase.CANARY, now + self.limits.canary_s)
                self._log("serves", number)
                return
            self.standby = 0
        elif self.phase is Phase.RETURNING and number == self.standby:
            before, self.owner, self.standby = self.owner, number, 0
            if before in self.workers:
                self._retire(now, before)
            self._log("serves again", number)
            self._end_upgrade(self.last)
        elif number == self.candidate:
            self.owner, self.candidate = number, 0
        elif number != self.owner:
            return
        self._enter(Phase.SERVING, None)
        self._log("serves", number)
        self._grant_all_descriptors()

    def _take_report(self, now: float, worker: WorkerInfo, report: Report) -> None:
        worker.memory_mb, worker.open = report.memory_mb, report.open
        worker.connections = report.connections
        worker.moved += report.moved
        if worker.number != self.owner:
            return
        counts = RequestCounts(report.served, report.refused, report.failed)
        if self.phase is Phase.CANARY:
            self.canary.record_new(now, counts)
        else:
            self.canary.record_old(now, counts)
