"""What the supervisor does when a worker fails: ways back, crashes and late steps. No I/O.

The rule behind each step: a worker that may accept is only replaced once it has yielded, or its end
was seen. Until then connections wait in the kernel.
"""

from __future__ import annotations

from quillroad.upgrade.messages import Yield
from quillroad.upgrade.supervisor_commands import ExitSupervisor
from quillroad.upgrade.supervisor_state import Phase, SupervisorState

UPGRADING = frozenset(
    {Phase.PROBING, Phase.PREPARING, Phase.SWITCHING, Phase.CANARY, Phase.RETURNING}
)
HANGS = "it hangs"  # the reason for which a worker is killed and not only replaced
BAD_CONFIGURATION = 2  # exit status of a worker whose configuration cannot work
MOST_DOUBLINGS = 16  # of the wait after crashes; it is bounded by `Limits.again_most_s` long before


class SupervisorRecovery(SupervisorState):
    """The state, with the steps that follow on faults."""

    __slots__ = ()

    def _unfit(self, now: float, number: int, why: str) -> None:
        """The candidate found itself unfit to serve."""
        if number == self.candidate:
            self._log("unfit", number, why)
            if self.phase in UPGRADING:
                self._abort(now, why)
            else:
                self._kill(number)

    def _abort(self, now: float, why: str) -> None:
        """Give up before the candidate was granted anything: the owner goes on."""
        if self.candidate in self.workers:
            self._kill(self.candidate)
            self.leaving[self.candidate] = now + self.limits.retire_s
        self.candidate = 0
        if self.phase is Phase.SWITCHING:
            # Whether it has yielded or not: the grant that it hears last counts.
            self._grant_listener(now, self.owner)
        self._enter(Phase.SERVING, None)
        self._grant_all_descriptors()
        self._end_upgrade(why)

    def _lost_candidate(self, now: float, why: str, status: int) -> None:
        """The candidate's process has ended."""
        number = self.candidate
        if self.phase is not Phase.STARTING:
            self._abort(now, why)  # granted or not, it accepts no more
            return
        self.candidate = 0
        self._log("did not start", number, why)
        if status == BAD_CONFIGURATION and not self._anyone_served:
            # Its configuration cannot work: nobody is served by another attempt.
            self._commands.append(ExitSupervisor(BAD_CONFIGURATION))
            return
        self._start_again(now)

    def _lost_standby(self, now: float, number: int, status: int) -> None:
        """The process that stood by for a way back has ended."""
        self.standby = 0
        if self.phase is Phase.RETURNING:
            self._cannot_return(now)
        else:
            self._log("no way back", number, f"it ended with {status}")
            self._grant_all_descriptors()

    def _lost_owner(self, now: float, status: int) -> None:
        """The process that serves has ended."""
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
            self._start_again(now)
            return
        # The one that was to take over does: with what the old one knew, if that has come.
        self._end_upgrade("the process before crashed")
        self._enter(Phase.STARTING, now + self.limits.start_s)
        if candidate.ready and candidate.number not in self.granted:
            self._grant_listener(now, candidate.number)

    def _go_back(self, now: float, why: str) -> None:
        """The new owner is no good: the one before takes over again."""
        self.last = why
        self._log("goes back", self.owner, why)
        if not self.standby:
            # Nobody to go back to. One that hangs is started anew; one that serves badly serves.
            if why == HANGS:
                self._kill(self.owner)
            self._enter(Phase.SERVING, None)
            self._end_upgrade(why)
            return
        self._enter(Phase.RETURNING, now + self.limits.switch_s)
        self._send(self.owner, Yield(self._grant))

    def _grant_to_standby(self, now: float) -> None:
        """The new owner accepts no more: the one before may."""
        self._enter(Phase.RETURNING, None)
        self._grant_listener(now, self.standby)

    def _cannot_return(self, now: float) -> None:
        """The process before ended while it was to take over again."""
        self._log("no way back", self.owner)
        if self.owner in self.workers and self.owner not in self._killed:
            self._grant_listener(now, self.owner)
            self._enter(Phase.SERVING, None)
            self._end_upgrade(self.last)
        elif self.owner not in self.workers:
            self._end_upgrade(self.last)
            self._start_again(now)

    def _phase_is_late(self, now: float) -> None:
        """A phase has lasted for as long as it may."""
        match self.phase:
            case Phase.STARTING:
                self._start_is_late(now)
            case Phase.PROBING | Phase.PREPARING:
                self._abort(now, f"{self.phase}: not in time")
            case Phase.SWITCHING:
                if self.candidate in self.granted:
                    # It may accept: its end has to be seen before another may.
                    self._kill(self.candidate)
                else:
                    self._abort(now, "switching: not in time")
            case Phase.CANARY:
                self._canary_holds(now)
            case Phase.RETURNING:
                self._kill(self.standby if self.standby in self.granted else self.owner)
            case Phase.STOPPING:
                for number in self.workers:
                    self._kill(number)
            case Phase.SERVING:  # the owner was granted leave again, and says nothing
                self._kill(self.owner)

    def _start_is_late(self, now: float) -> None:
        if self.candidate in self.workers:
            self._log("is not ready in time", self.candidate)
            self._kill(self.candidate)
        else:  # the wait after a crash is over
            self._start_worker(now)
            self._enter(Phase.STARTING, now + self.limits.start_s)

    def _canary_holds(self, now: float) -> None:
        """The new owner served well for long enough: the upgrade holds."""
        if self.standby:
            self._retire(now, self.standby)
            self.standby = 0
        self._enter(Phase.SERVING, None)
        self._log("holds", self.owner)
        self._end_upgrade("")

    def _start_again(self, now: float) -> None:
        """Start a worker anew, later each time.

        Without the backoff, a build that crashes at once takes the machine's CPU with it.
        """
        if self._serves_since and now - self._serves_since >= self.limits.calm_s:
            self._crashes = 0
        wait_s = 0.0
        if self._crashes:
            doubled_s = self.limits.again_s * 2**self._crashes
            wait_s = min(self.limits.again_most_s, doubled_s)
        self._crashes = min(self._crashes + 1, MOST_DOUBLINGS)
        self.owner = self.candidate = 0
        if wait_s:
            self._enter(Phase.STARTING, now + wait_s)
        else:
            self._start_worker(now)
            self._enter(Phase.STARTING, now + self.limits.start_s)
