"""Decides which worker of a gateway serves: upgrades, rollbacks, crashes and shutdown. No I/O.

The supervisor holds the listening socket, starts workers and exchanges messages with them. Only it
grants a worker permission to accept connections, and only after the previous holder has reported
that it yielded, or its process has exited. So at most one worker owns the listener at any time,
whatever fails; while none does, connections wait in the kernel's backlog.

Events are method calls (`message_received`, `worker_ended`, `operator_command`, `tick`), most with
the time in seconds of a monotonic clock. They return commands to be carried out in order.

    STARTING   no worker serves; the candidate starts
    SERVING    the owner serves
    PROBING    the owner serves; a candidate starts and runs its self-test
    PREPARING  the owner serves; the candidate reads its whole state as a rehearsal
    SWITCHING  the owner yields and hands over; the candidate is granted the listener
    CANARY     the candidate is the new owner; the previous owner stands by
    RETURNING  the new owner yields; the previous owner is granted the listener again
    STOPPING   all workers finish their open requests

`supervisor_state` has the state and `supervisor_recovery` the reactions to faults; this module has
the events and the regular course of an upgrade.
"""

from __future__ import annotations

from quillroad.upgrade.canary import RequestCounts
from quillroad.upgrade.messages import (
    VERSION,
    CannotServe,
    DescriptorLimit,
    Ended,
    Hello,
    ListenerGranted,
    ListenerYielded,
    Message,
    Prepared,
    PrepareHandover,
    Ready,
    Report,
    StateAdopted,
    Welcome,
    YieldListener,
)
from quillroad.upgrade.supervisor_commands import (
    CloseListener,
    Command,
    ConnectWorkers,
    ExitSupervisor,
    StopWorker,
)
from quillroad.upgrade.supervisor_recovery import HUNG_REASON, SupervisorRecovery
from quillroad.upgrade.supervisor_state import Limits, Phase, WorkerInfo

__all__ = ["Limits", "Phase", "Supervisor", "WorkerInfo"]

MAX_SHOWN_CHARACTERS = 40  # of an unknown command, in the answer
CHECKS_PER_SILENCE = 4  # checks of the new owner within `Limits.silence_s`


class Supervisor(SupervisorRecovery):
    """State machine of one gateway's supervisor: events in, commands out."""

    __slots__ = ()

    # Events.

    def begin(self, now: float) -> list[Command]:
        """Start the first worker. The listening socket has to be open."""
        self._start_worker(now)
        self._enter_phase(Phase.STARTING, now + self.limits.start_s)
        return self._take_commands()

    def message_received(  # noqa: C901, PLR0912 - one case for each message
        self, now: float, number: int, message: Message
    ) -> list[Command]:
        """Handle a worker's message.

        A message that does not fit the phase is ignored: the worker sent it before it received the
        supervisor's latest decision.
        """
        worker = self.workers.get(number)
        if worker is None or number in self._killed:
            return []
        worker.last_message_at = now
        match message:
            case Hello():
                self._hello(now, worker, message)
            case Ready():
                worker.ready, worker.memory_mb = True, message.memory_mb
                self._candidate_is_ready(now, worker)
            case CannotServe():
                self._unfit(now, number, message.why)
            case Prepared():
                self._worker_prepared(now, worker, message)
            case ListenerYielded():
                self._worker_yielded(now, number, message)
            case StateAdopted():
                worker.has_state = True
                self._grant_to_candidate(now)
            case ListenerGranted():
                if message.grant == self._newest_grant and number in self.granted:
                    self._worker_accepts(now, number)
            case Report():
                self._record_report(now, worker, message)
            case _:
                self._log("not understood", number, type(message).__name__)
        return self._take_commands()

    def worker_ended(self, now: float, number: int, status: int) -> list[Command]:
        """Handle the exit of a worker's process, which has been reaped.

        `status` is its exit status, or the negative signal number.
        """
        if self.workers.pop(number, None) is None:
            return []
        self.granted.discard(number)
        self._killed.discard(number)
        was_retiring = self.retiring.pop(number, None) is not None
        if self.phase is Phase.STOPPING:
            if not self.workers:
                self._commands.append(ExitSupervisor(0))
            return self._take_commands()
        for other in self.workers:
            if other not in self._killed:
                self._send(other, Ended(number))
        if was_retiring:
            self._log("retired", number)
            self._restore_descriptor_limit()
        elif number == self.candidate:
            self._candidate_exited(now, f"it ended with {status}", status)
        elif number == self.standby:
            self._standby_exited(now, number, status)
        elif number == self.owner:
            self._owner_exited(now, status)
        return self._take_commands()

    def channel_lost(self, number: int, why: str) -> list[Command]:
        """Kill a worker whose channel failed: it cannot be reached, or sent malformed packets."""
        if number in self.workers and number not in self._killed:
            self._log("cut off", number, why)
            self._kill(number)
        return self._take_commands()

    def reload(self) -> list[int]:
        """Return the workers to signal so that they reload their configuration.

        A worker that has not yet sent `Hello` has no signal handler, and SIGHUP would end it. Its
        `Welcome` tells it to read the configuration as a reload does.
        """
        self.reloaded = True
        return [number for number, worker in self.workers.items() if worker.welcomed]

    def operator_command(self, now: float, command: str) -> tuple[str, list[Command]]:
        """Handle an operator's command: `upgrade`, `check`, `rollback` or `stop`.

        `check` starts a candidate and ends it once it has passed its self-test. Returns why the
        command is refused (empty if it is not), and the commands to carry out.
        """
        if command == "stop":
            self._stop(now)
            refusal = ""
        elif command in ("upgrade", "check"):
            refusal = self._begin_upgrade(now, check_only=command == "check")
        elif command == "rollback":
            refusal = self._begin_rollback(now)
        else:
            refusal = f"no such command: {command[:MAX_SHOWN_CHARACTERS]!r}"
        return refusal, self._take_commands()

    def tick(self, now: float) -> list[Command]:
        """Handle timeouts, and judge the new owner during the canary phase."""
        for number, kill_at in list(self.retiring.items()):
            if now >= kill_at and number not in self._killed:
                self._log("has not finished", number)
                self._kill(number)
        owner = self.workers.get(self.owner)
        if self.phase is Phase.CANARY and owner is not None:
            if now - owner.last_message_at > self.limits.silence_s:
                self._roll_back(now, HUNG_REASON)
            elif why := self.canary.regression():
                self._roll_back(now, why)
        if self.phase_deadline is not None and now >= self.phase_deadline:
            self.phase_deadline = None
            self._phase_timed_out(now)
        return self._take_commands()

    def next_tick_s(self, now: float) -> float | None:
        """Return the seconds until `tick` is due; None if no timeout is pending."""
        times = [at for number, at in self.retiring.items() if number not in self._killed]
        if self.phase_deadline is not None:
            times.append(self.phase_deadline)
        if self.phase is Phase.CANARY:
            times.append(now + self.limits.silence_s / CHECKS_PER_SILENCE)
        return max(0.0, min(times) - now) if times else None

    # Commands of operators.

    def _begin_upgrade(self, now: float, check_only: bool) -> str:
        if self.phase is not Phase.SERVING:
            return f"not now: {self.phase}"
        if self.retiring.keys() - self._killed:
            return "not now: the process before has not finished yet"
        self._operator_is_waiting, self._check_only = True, check_only
        # Lower the owner's limit first: the candidate holds descriptors as soon as it starts.
        self._send(self.owner, DescriptorLimit(self.limits.owner_descriptors))
        self._start_worker(now)
        self._enter_phase(Phase.PROBING, now + self.limits.start_s)
        return ""

    def _begin_rollback(self, now: float) -> str:
        if self.phase is Phase.CANARY and self.standby:
            self._roll_back(now, "asked for")
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
            # Connections that wait in the kernel's backlog have to be answered.
            self._grant_listener(now, serves)
        self._enter_phase(Phase.STOPPING, now + self.limits.retire_s)
        for number, worker in self.workers.items():
            if number == self.candidate and not (worker.ready and number in self.granted):
                self._kill(number)
            else:
                self._commands.append(StopWorker(number))
        if not self.workers:
            self._commands.append(ExitSupervisor(0))

    # Regular course of an upgrade.

    def _hello(self, now: float, worker: WorkerInfo, message: Hello) -> None:
        if message.version != VERSION:
            why = f"it speaks version {message.version}, this is {VERSION}"
            self._unfit(now, worker.number, why)
            return
        is_alone = self.phase is Phase.STARTING
        descriptors = self.limits.descriptors if is_alone else self.limits.candidate_descriptors
        worker.welcomed = True
        self._send(worker.number, Welcome(descriptors, self.reloaded, self.limits.retire_s))

    def _candidate_is_ready(self, now: float, worker: WorkerInfo) -> None:
        if worker.number != self.candidate:
            return
        if self.phase is Phase.STARTING:
            self._grant_listener(now, worker.number)
        elif self.phase is Phase.PROBING:
            self._candidate_passed(now, worker)

    def _candidate_passed(self, now: float, worker: WorkerInfo) -> None:
        """The candidate passed its self-test: rehearse the hand-over, or end it after a `check`."""
        total_mb = sum(one.memory_mb for one in self.workers.values())
        allowed_mb = self.limits.memory_mb
        if allowed_mb and total_mb > allowed_mb:
            why = f"both processes take {total_mb:.0f} MB, {allowed_mb:.0f} are allowed"
            self._abort(now, why)
            return
        if self._check_only:
            self._log("fit", worker.number)
            self._abort(now, "")
            return
        self.workers[self.owner].prepared = False
        give = PrepareHandover(0, worker.number)
        self._commands.append(ConnectWorkers(self.owner, worker.number, give))
        self._enter_phase(Phase.PREPARING, now + self.limits.prepare_s)

    def _worker_prepared(self, now: float, worker: WorkerInfo, message: Prepared) -> None:
        """One side has finished the rehearsal; once both have, the owner has to yield."""
        worker.prepared = True
        if worker.number == self.candidate:
            for line in message.left:
                self._log("left behind", worker.number, line)
        both = [self.workers.get(self.owner), self.workers.get(self.candidate)]
        if self.phase is Phase.PREPARING and all(one is not None and one.prepared for one in both):
            self._send(self.owner, YieldListener(self._newest_grant))
            self._enter_phase(Phase.SWITCHING, now + self.limits.switch_s)

    def _worker_yielded(self, now: float, number: int, message: ListenerYielded) -> None:
        if message.grant != self._newest_grant:
            return
        self.granted.discard(number)
        if number != self.owner:
            return
        if self.phase is Phase.SWITCHING:
            self._grant_to_candidate(now)
        elif self.phase is Phase.RETURNING:
            self._grant_to_standby(now)

    def _grant_to_candidate(self, now: float) -> None:
        """Grant the candidate the listener once no worker has it and the state is adopted."""
        candidate = self.workers.get(self.candidate)
        may_grant = self.phase is Phase.SWITCHING and not self.granted
        if may_grant and candidate is not None and candidate.has_state:
            self._grant_listener(now, self.candidate)

    def _worker_accepts(self, now: float, number: int) -> None:
        """A worker accepts connections under its grant: enter the phase that follows."""
        self._any_worker_served, self._serving_since = True, now
        if self.phase is Phase.SWITCHING and number == self.candidate:
            self.standby, self.owner, self.candidate = self.owner, number, 0
            self.canary.begin(now)
            if self.standby in self.workers:
                self._enter_phase(Phase.CANARY, now + self.limits.canary_s)
                self._log("serves", number)
                return
            self.standby = 0
        elif self.phase is Phase.RETURNING and number == self.standby:
            previous, self.owner, self.standby = self.owner, number, 0
            if previous in self.workers:
                self._retire(now, previous)
            self._log("serves again", number)
            self._end_upgrade(self.last)
        elif number == self.candidate:
            self.owner, self.candidate = number, 0
        elif number != self.owner:
            return
        self._enter_phase(Phase.SERVING, None)
        self._log("serves", number)
        self._restore_descriptor_limit()

    def _record_report(self, now: float, worker: WorkerInfo, report: Report) -> None:
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
