"""The supervisor's reactions to faults: rollbacks, crashes and timeouts. No I/O.

In each step a worker that may accept connections is replaced only after it has yielded or its
process has exited. Until then connections wait in the kernel's backlog.
"""

from __future__ import annotations

from quillroad.upgrade.messages import YieldListener
from quillroad.upgrade.supervisor_commands import ExitSupervisor
from quillroad.upgrade.supervisor_state import Phase, SupervisorState

UPGRADE_PHASES = frozenset(
    {Phase.PROBING, Phase.PREPARING, Phase.SWITCHING, Phase.CANARY, Phase.RETURNING}
)
HUNG_REASON = "it hangs"  # without a standby, the owner is killed for this reason only
EXIT_BAD_CONFIGURATION = 2  # exit status of a worker with an invalid configuration
# Bounds the exponent of the backoff; `Limits.max_restart_backoff_s` applies long before.
MAX_BACKOFF_DOUBLINGS = 16


class SupervisorRecovery(SupervisorState):
    """The supervisor's state and its reactions to faults."""

    __slots__ = ()

    def _unfit(self, now: float, number: int, why: str) -> None:
        """The candidate reported that it cannot serve: abort the upgrade or kill it."""
        if number == self.candidate:
            self._log("unfit", number, why)
            if self.phase in UPGRADE_PHASES:
                self._abort(now, why)
            else:
                self._kill(number)

    def _abort(self, now: float, why: str) -> None:
        """Abort the upgrade: the owner keeps the listener, the candidate is killed."""
        if self.candidate in self.workers:
            self._kill(self.candidate)
            self.retiring[self.candidate] = now + self.limits.retire_s
        self.candidate = 0
        if self.phase is Phase.SWITCHING:
            # The owner may have yielded or not; the newest grant that it receives counts.
            self._grant_listener(now, self.owner)
        self._enter_phase(Phase.SERVING, None)
        self._restore_descriptor_limit()
        self._end_upgrade(why)

    def _candidate_exited(self, now: float, why: str, status: int) -> None:
        """The candidate's process has exited."""
        number = self.candidate
        if self.phase is not Phase.STARTING:
            self._abort(now, why)  # even if it had been granted the listener, it is dead
            return
        self.candidate = 0
        self._log("did not start", number, why)
        if status == EXIT_BAD_CONFIGURATION and not self._any_worker_served:
            # The configuration is invalid from the start: another attempt would fail the same way.
            self._commands.append(ExitSupervisor(EXIT_BAD_CONFIGURATION))
            return
        self._restart_worker(now)

    def _standby_exited(self, now: float, number: int, status: int) -> None:
        """The standby's process has exited: there is nothing left to roll back to."""
        self.standby = 0
        if self.phase is Phase.RETURNING:
            self._standby_exited_in_rollback(now)
        else:
            self._log("no way back", number, f"it ended with {status}")
            self._restore_descriptor_limit()

    def _owner_exited(self, now: float, status: int) -> None:
        """The owner's process has exited: the standby, the candidate or a new worker serves."""
        self._log("crashed", self.owner, f"it ended with {status}")
        if self.phase in (Phase.CANARY, Phase.RETURNING):
            if self.phase is Phase.CANARY:
                self.last = f"it ended with {status}"
            if self.standby:
                if self.standby not in self.granted:
                    self._grant_to_standby(now)
                return
            self._end_upgrade(self.last)
        candidate = self.workers.get(self.candidate)
        if candidate is None:
            self._restart_worker(now)
            return
        # The candidate takes over, with the old owner's state if it has arrived.
        self._end_upgrade("the process before crashed")
        self._enter_phase(Phase.STARTING, now + self.limits.start_s)
        if candidate.ready and candidate.number not in self.granted:
            self._grant_listener(now, candidate.number)

    def _roll_back(self, now: float, why: str) -> None:
        """Roll back from the new owner to the standby, if there is one."""
        self.last = why
        self._log("goes back", self.owner, why)
        if not self.standby:
            # Without a standby, a hung owner is killed and restarted; one that serves badly stays.
            if why == HUNG_REASON:
                self._kill(self.owner)
            self._enter_phase(Phase.SERVING, None)
            self._end_upgrade(why)
            return
        self._enter_phase(Phase.RETURNING, now + self.limits.switch_s)
        self._send(self.owner, YieldListener(self._newest_grant))

    def _grant_to_standby(self, now: float) -> None:
        """The new owner has stopped accepting: grant the listener to the standby."""
        self._enter_phase(Phase.RETURNING, None)
        self._grant_listener(now, self.standby)

    def _standby_exited_in_rollback(self, now: float) -> None:
        """The standby exited during the rollback: the new owner keeps serving, if it lives."""
        self._log("no way back", self.owner)
        if self.owner in self.workers and self.owner not in self._killed:
            self._grant_listener(now, self.owner)
            self._enter_phase(Phase.SERVING, None)
            self._end_upgrade(self.last)
        elif self.owner not in self.workers:
            self._end_upgrade(self.last)
            self._restart_worker(now)

    def _phase_timed_out(self, now: float) -> None:
        """The deadline of the phase has passed."""
        match self.phase:
            case Phase.STARTING:
                self._start_timed_out(now)
            case Phase.PROBING | Phase.PREPARING:
                self._abort(now, f"{self.phase}: not in time")
            case Phase.SWITCHING:
                if self.candidate in self.granted:
                    # It may accept: it has to be dead before another worker may.
                    self._kill(self.candidate)
                else:
                    self._abort(now, "switching: not in time")
            case Phase.CANARY:
                self._canary_passed(now)
            case Phase.RETURNING:
                self._kill(self.standby if self.standby in self.granted else self.owner)
            case Phase.STOPPING:
                for number in self.workers:
                    self._kill(number)
            case Phase.SERVING:  # the owner was granted the listener again and does not answer
                self._kill(self.owner)

    def _start_timed_out(self, now: float) -> None:
        if self.candidate in self.workers:
            self._log("is not ready in time", self.candidate)
            self._kill(self.candidate)
        else:  # the backoff after a crash has ended
            self._start_worker(now)
            self._enter_phase(Phase.STARTING, now + self.limits.start_s)

    def _canary_passed(self, now: float) -> None:
        """The canary phase ended without a regression: the upgrade has succeeded."""
        if self.standby:
            self._retire(now, self.standby)
            self.standby = 0
        self._enter_phase(Phase.SERVING, None)
        self._log("holds", self.owner)
        self._end_upgrade("")

    def _restart_worker(self, now: float) -> None:
        """Start a new worker after a crash, with exponential backoff.

        Without the backoff, a build that crashes at its start would use up the machine's CPU.
        """
        if self._serving_since and now - self._serving_since >= self.limits.stable_after_s:
            self._consecutive_crashes = 0
        wait_s = 0.0
        if self._consecutive_crashes:
            backoff_s = self.limits.restart_backoff_s * 2**self._consecutive_crashes
            wait_s = min(self.limits.max_restart_backoff_s, backoff_s)
        self._consecutive_crashes = min(self._consecutive_crashes + 1, MAX_BACKOFF_DOUBLINGS)
        self.owner = self.candidate = 0
        if wait_s:
            self._enter_phase(Phase.STARTING, now + wait_s)
        else:
            self._start_worker(now)
            self._enter_phase(Phase.STARTING, now + self.limits.start_s)
