"""Who of a gateway's processes serves: upgrades, ways back, crashes and the end. No I/O.

The keeper holds the listening socket, starts workers and talks to them. It is the only one that grants leave
to accept, and grants it to nobody while another may still have it: that worker has said that it yielded, or
its end was seen. So there is one owner of the listener at most at every moment, whatever fails, and with
none connections wait in the kernel.

What happens is told by `heard`, `ended`, `ask` and `tick`, each with the time (seconds of one clock that
never goes back); what is to be done comes back as acts, in order. All else follows from the phase and from
two sets: who was granted and may still accept, and who is on the way out.

    STARTING   nobody serves; the candidate is to
    SERVING    the owner serves
    PROBING    ... and a candidate starts and proves itself
    PREPARING  ... and understands, as a rehearsal, all that the owner knows
    SWITCHING  the owner yields and hands over, the candidate is granted
    CANARY     the candidate is the owner; the one before stands by
    RETURNING  the new owner yields, the one before is granted again
    STOPPING   all finish what they have
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from quillroad.upgrade.canary import Canary, Counts
from quillroad.upgrade.messages import (
    VERSION,
    Ended,
    Give,
    Held,
    Hello,
    Message,
    Own,
    Owning,
    Prepared,
    Ready,
    Report,
    Retire,
    Room,
    Unfit,
    Welcome,
    Yield,
    Yielded,
    batch_of,
)


class Phase(StrEnum):
    STARTING = "starting"
    SERVING = "serving"
    PROBING = "probing"
    PREPARING = "preparing"
    SWITCHING = "switching"
    CANARY = "canary"
    RETURNING = "returning"
    STOPPING = "stopping"


UPGRADING = frozenset(
    {Phase.PROBING, Phase.PREPARING, Phase.SWITCHING, Phase.CANARY, Phase.RETURNING}
)


@dataclass(frozen=True, slots=True)
class Limits:
    """Times in seconds. `docs/operators/upgrades.md` says when to change which."""

    start_s: float = 10.0  # for a new process to be ready
    prepare_s: float = 5.0  # for the rehearsal
    switch_s: float = 2.0  # for each step while nobody accepts
    canary_s: float = 30.0  # in which the process before stands by
    retire_s: float = 10.0  # for a process to finish
    silence_s: float = 2.0  # without a report, after which the new owner counts as hung
    memory_mb: float = 0.0  # for all processes together; 0: no limit
    descriptors: int = 1024  # for all workers together
    base: int = 64  # of them, for one that does not serve yet
    again_s: float = 0.1  # before the next start after a crash; it doubles
    again_most_s: float = 5.0
    calm_s: float = 10.0  # of service after which a crash counts as the first again

    @property
    def left(self) -> int:
        """Descriptors of the one that serves while another starts beside it."""
        return self.descriptors - self.base - 2 * batch_of(self.descriptors)


@dataclass(frozen=True, slots=True)
class Spawn:
    worker: int


@dataclass(frozen=True, slots=True)
class Tell:
    worker: int
    message: Message


@dataclass(frozen=True, slots=True)
class Join:
    """Connect two workers: `Give` goes to the first and `Take` to the second, each with its end of a
    socket."""

    giver: int
    taker: int
    message: Give


@dataclass(frozen=True, slots=True)
class Stop:
    """Ask a process to drain and end (SIGTERM)."""

    worker: int


@dataclass(frozen=True, slots=True)
class Kill:
    worker: int


@dataclass(frozen=True, slots=True)
class Unlisten:
    """Close the keeper's own copy of the listening socket."""


@dataclass(frozen=True, slots=True)
class Say:
    """A line for the log; `why` for an upgrade that failed."""

    event: str
    worker: int = 0
    why: str = ""


@dataclass(frozen=True, slots=True)
class Settled:
    """What became of the upgrade that was asked for: `why` is empty where it holds."""

    why: str


@dataclass(frozen=True, slots=True)
class Exit:
    status: int


Act = Spawn | Tell | Join | Stop | Kill | Unlisten | Say | Settled | Exit


@dataclass(slots=True)
class Worker:
    """What the keeper knows of a process."""

    number: int
    heard: float  # when it said something last
    welcomed: bool = False
    ready: bool = False
    prepared: bool = False
    held: bool = False
    memory_mb: float = 0.0
    open: int = 0
    connections: int = 0
    moved: int = 0


@dataclass(slots=True)
class Keeper:
    """One gateway. `owner` is who serves or did last, `candidate` who is to, `standby` who did before."""

    limits: Limits = field(default_factory=Limits)
    canary: Canary = field(default_factory=Canary)
    phase: Phase = Phase.STARTING
    workers: dict[int, Worker] = field(default_factory=dict)
    owner: int = 0
    candidate: int = 0
    standby: int = 0
    granted: set[int] = field(default_factory=set)
    leaving: dict[int, float] = field(default_factory=dict)  # and when they are killed
    due: float | None = None  # of the phase
    last: str = ""  # what became of the last upgrade
    reloaded: bool = (
        False  # there was a reload: workers that start read their configuration as it read it
    )
    _acts: list[Act] = field(default_factory=list)
    _numbers: int = 0
    _grant: int = 0
    _crashes: int = 0
    _since: float = 0.0  # the owner serves
    _served: bool = False  # anyone ever did
    _asked: bool = False  # somebody waits to hear of the upgrade
    _checking: bool = False  # the candidate is to prove itself, and no more
    _killed: set[int] = field(default_factory=set)

    # What happens.

    def begin(self, now: float) -> list[Act]:
        """The listening socket is there."""
        self._spawn(now)
        self._enter(Phase.STARTING, now + self.limits.start_s)
        return self._done()

    def heard(self, now: float, number: int, message: Message) -> list[Act]:
        """A worker says something. What does not fit into the phase is passed over: it crossed a decision."""
        worker = self.workers.get(number)
        if worker is None or number in self._killed:
            return []
        worker.heard = now
        match message:
            case Hello():
                if message.version != VERSION:
                    self._unfit(
                        now, number, f"it speaks version {message.version}, this is {VERSION}"
                    )
                else:
                    alone = self.phase is Phase.STARTING
                    count = self.limits.descriptors if alone else self.limits.base
                    worker.welcomed = True
                    self._tell(number, Welcome(count, self.reloaded))
            case Ready():
                worker.ready, worker.memory_mb = True, message.memory_mb
                self._ready(now, worker)
            case Unfit():
                self._unfit(now, number, message.why)
            case Prepared():
                worker.prepared = True
                for line in message.left if number == self.candidate else ():
                    self._say("left behind", number, line)
                self._prepared(now)
            case Yielded():
                if message.grant == self._grant:
                    self.granted.discard(number)
                    self._yielded(now, number)
            case Held():
                worker.held = True
                self._handed(now)
            case Owning():
                if message.grant == self._grant and number in self.granted:
                    self._owns(now, number)
            case Report():
                self._report(now, worker, message)
            case _:
                self._say("not understood", number, type(message).__name__)
        return self._done()

    def ended(self, now: float, number: int, status: int) -> list[Act]:
        """A process has ended, and was waited for. `status` is its exit status, or minus the signal's
        number."""
        if self.workers.pop(number, None) is None:
            return []
        self.granted.discard(number)
        self._killed.discard(number)
        left = self.leaving.pop(number, None) is not None
        if self.phase is Phase.STOPPING:
            if not self.workers:
                self._acts.append(Exit(0))
            return self._done()
        for other in self.workers:
            if other not in self._killed:
                self._tell(other, Ended(number))
        if left:
            self._say("retired", number)
            self._room()
        elif number == self.candidate:
            self._lost_candidate(now, f"it ended with {status}", status)
        elif number == self.standby:
            self.standby = 0
            if self.phase is Phase.RETURNING:
                self._no_return(now)
            else:
                self._say("no way back", number, f"it ended with {status}")
                self._room()
        elif number == self.owner:
            self._lost_owner(now, status)
        return self._done()

    def lost(self, now: float, number: int, why: str) -> list[Act]:
        """Nothing can be said to a worker any more, or what it says makes no sense: it has to go."""
        if number in self.workers and number not in self._killed:
            self._say("cut off", number, why)
            self._kill(number)
        return self._done()

    def reload(self) -> list[int]:
        """Workers are to read their configuration again: those to signal. A process that has not said `Hello`
        could not take a signal yet, and would end by it; its `Welcome` tells it."""
        self.reloaded = True
        return [number for number, worker in self.workers.items() if worker.welcomed]

    def ask(self, now: float, what: str) -> tuple[str, list[Act]]:
        """An operator asks for `upgrade`, `check` (whether an upgrade would begin), `rollback` or `stop`.
        Returns why not, or nothing, and the acts."""
        why = ""
        if what == "stop":
            self._stop(now)
        elif what in ("upgrade", "check"):
            if self.phase is not Phase.SERVING:
                why = f"not now: {self.phase}"
            elif self.leaving.keys() - self._killed:
                why = "not now: the process before has not finished yet"
            else:
                self._asked, self._checking = True, what == "check"
                # First: a process has descriptors from its start on.
                self._tell(self.owner, Room(self.limits.left))
                self._spawn(now)
                self._enter(Phase.PROBING, now + self.limits.start_s)
        elif what == "rollback":
            if self.phase is Phase.CANARY and self.standby:
                self._go_back(now, "asked for")
            elif self.phase in (Phase.PROBING, Phase.PREPARING):
                self._abort(now, "asked for")
            else:
                why = f"nothing to go back to: {self.phase}"
        else:
            why = f"no such command: {what[:40]!r}"
        return why, self._done()

    def tick(self, now: float) -> list[Act]:
        """Time has passed."""
        for number, at in list(self.leaving.items()):
            if now >= at and number not in self._killed:
                self._say("has not finished", number)
                self._kill(number)
        owner = self.workers.get(self.owner)
        if self.phase is Phase.CANARY and owner is not None:
            if now - owner.heard > self.limits.silence_s:
                self._go_back(now, "it hangs")
            elif why := self.canary.worse(now):
                self._go_back(now, why)
        if self.due is not None and now >= self.due:
            self.due = None
            self._late(now)
        return self._done()

    def next_s(self, now: float) -> float | None:
        """Seconds until `tick` is due; None where nothing is waited for."""
        times = [at for number, at in self.leaving.items() if number not in self._killed]
        if self.due is not None:
            times.append(self.due)
        if self.phase is Phase.CANARY:
            times.append(now + self.limits.silence_s / 4)
        return max(0.0, min(times) - now) if times else None

    # The way forward.

    def _ready(self, now: float, worker: Worker) -> None:
        if worker.number != self.candidate:
            return
        together = sum(one.memory_mb for one in self.workers.values())
        if self.phase is Phase.STARTING:
            self._give(now, worker.number)
        elif self.phase is Phase.PROBING:
            if self.limits.memory_mb and together > self.limits.memory_mb:
                self._abort(
                    now,
                    f"both processes take {together:.0f} MB, {self.limits.memory_mb:.0f} are allowed",
                )
                return
            if self._checking:
                self._say("fit", worker.number)
                self._abort(now, "")
                return
            self.workers[self.owner].prepared = False
            self._acts.append(Join(self.owner, worker.number, Give(0, worker.number)))
            self._enter(Phase.PREPARING, now + self.limits.prepare_s)

    def _prepared(self, now: float) -> None:
        both = [self.workers.get(self.owner), self.workers.get(self.candidate)]
        if self.phase is Phase.PREPARING and all(one is not None and one.prepared for one in both):
            self._tell(self.owner, Yield(self._grant))
            self._enter(Phase.SWITCHING, now + self.limits.switch_s)

    def _yielded(self, now: float, number: int) -> None:
        if self.phase is Phase.SWITCHING and number == self.owner:
            self._handed(now)
        elif self.phase is Phase.RETURNING and number == self.owner:
            self._return(now)

    def _handed(self, now: float) -> None:
        candidate = self.workers.get(self.candidate)
        if (
            self.phase is Phase.SWITCHING
            and not self.granted
            and candidate is not None
            and candidate.held
        ):
            self._give(now, self.candidate)

    def _give(self, now: float, number: int) -> None:
        """Grant leave to accept."""
        assert not self.granted - {number}, "two would accept"
        self._grant += 1
        self.granted.add(number)
        self._tell(number, Own(self._grant))
        self.due = now + self.limits.switch_s

    def _owns(self, now: float, number: int) -> None:
        self._served, self._since = True, now
        if self.phase is Phase.SWITCHING and number == self.candidate:
            self.standby, self.owner, self.candidate = self.owner, number, 0
            self.canary.begin(now)
            if self.standby in self.workers:
                self._enter(Phase.CANARY, now + self.limits.canary_s)
                self._say("serves", number)
                return
            self.standby = 0
        elif self.phase is Phase.RETURNING and number == self.standby:
            before, self.owner, self.standby = self.owner, number, 0
            if before in self.workers:
                self._retire(now, before)
            self._say("serves again", number)
            self._settle(self.last)
        elif number == self.candidate:
            self.owner, self.candidate = number, 0
        elif number != self.owner:
            return
        self._enter(Phase.SERVING, None)
        self._say("serves", number)
        self._room()

    def _report(self, now: float, worker: Worker, report: Report) -> None:
        worker.memory_mb, worker.open = report.memory_mb, report.open
        worker.connections, worker.moved = report.connections, worker.moved + report.moved
        counts = Counts(report.served, report.refused, report.failed)
        if worker.number != self.owner:
            return
        if self.phase is Phase.CANARY:
            self.canary.told(counts)
        else:
            self.canary.serves(now, counts)

    # What goes wrong.

    def _unfit(self, now: float, number: int, why: str) -> None:
        if number == self.candidate:
            self._say("unfit", number, why)
            if self.phase in UPGRADING:
                self._abort(now, why)
            else:
                self._kill(number)

    def _abort(self, now: float, why: str) -> None:
        """Before the candidate was granted anything: the owner goes on."""
        if self.candidate in self.workers:
            self._kill(self.candidate)
        self.leaving[self.candidate] = now + self.limits.retire_s
        if self.candidate not in self.workers:
            del self.leaving[self.candidate]
        self.candidate = 0
        if self.phase is Phase.SWITCHING:
            self._give(now, self.owner)  # whether it has yielded or not: what it hears last counts
        self._enter(Phase.SERVING, None)
        self._room()
        self._settle(why)

    def _lost_candidate(self, now: float, why: str, status: int) -> None:
        number, self.candidate = self.candidate, 0
        if self.phase is Phase.STARTING:
            self._say("did not start", number, why)
            if status == 2 and not self._served:
                self._acts.append(
                    Exit(2)
                )  # its configuration can't work: nobody is served by trying again
                return
            self._again(now)
        else:  # granted or not, it accepts no more
            self.candidate = number
            self._abort(now, why)

    def _lost_owner(self, now: float, status: int) -> None:
        number = self.owner
        self._say("crashed", number, f"it ended with {status}")
        if self.phase is Phase.CANARY or self.phase is Phase.RETURNING:
            if self.phase is Phase.CANARY:
                self.last = f"it ended with {status}"
            if self.standby:
                if self.standby not in self.granted:
                    self._return(now)
                return
            self._settle(self.last)
        candidate = self.workers.get(self.candidate)
        if candidate is None:
            self._again(now)
            return
        # The one that was to take over does: with what the old one knew, if that has come.
        self._settle("the process before crashed")
        self._enter(Phase.STARTING, now + self.limits.start_s)
        if candidate.ready and candidate.number not in self.granted:
            self._give(now, candidate.number)

    def _go_back(self, now: float, why: str) -> None:
        """The new owner is no good: the one before takes over again."""
        self.last = why
        self._say("goes back", self.owner, why)
        if not self.standby:
            # Nobody to go back to. One that hangs is started anew; one that serves badly serves.
            if why == "it hangs":
                self._kill(self.owner)
            self._enter(Phase.SERVING, None)
            self._settle(why)
            return
        self._enter(Phase.RETURNING, now + self.limits.switch_s)
        self._tell(self.owner, Yield(self._grant))

    def _return(self, now: float) -> None:
        """The new owner accepts no more: the one before may."""
        self._enter(Phase.RETURNING, None)
        self._give(now, self.standby)

    def _no_return(self, now: float) -> None:
        """The process before ended while it was to take over again."""
        self._say("no way back", self.owner)
        if self.owner in self.workers and self.owner not in self._killed:
            self._give(now, self.owner)
            self._enter(Phase.SERVING, None)
            self._settle(self.last)
        elif self.owner not in self.workers:
            self._settle(self.last)
            self._again(now)

    def _late(self, now: float) -> None:
        """A phase has lasted for as long as it may."""
        if self.phase is Phase.STARTING:
            if self.candidate in self.workers:
                self._say("is not ready in time", self.candidate)
                self._kill(self.candidate)
            else:
                self._spawn(now)
                self._enter(Phase.STARTING, now + self.limits.start_s)
        elif self.phase in (Phase.PROBING, Phase.PREPARING):
            self._abort(now, f"{self.phase}: not in time")
        elif self.phase is Phase.SWITCHING:
            if self.candidate in self.granted:
                self._kill(
                    self.candidate
                )  # it may accept: its end has to be seen before another may
            else:
                self._abort(now, "switching: not in time")
        elif self.phase is Phase.CANARY:
            if self.standby:
                self._retire(now, self.standby)
                self.standby = 0
            self._enter(Phase.SERVING, None)
            self._say("holds", self.owner)
            self._settle("")
        elif self.phase is Phase.RETURNING:
            self._kill(self.standby if self.standby in self.granted else self.owner)
        elif self.phase is Phase.STOPPING:
            for number in self.workers:
                self._kill(number)
        else:  # the owner was granted again, and says nothing
            self._kill(self.owner)

    def _again(self, now: float) -> None:
        """Start one anew, later each time: a build that crashes at once must not take the machine with it."""
        if self._since and now - self._since >= self.limits.calm_s:
            self._crashes = 0
        wait_s = 0.0
        if self._crashes:
            wait_s = min(self.limits.again_most_s, self.limits.again_s * 2**self._crashes)
        self._crashes = min(self._crashes + 1, 16)
        self.owner = self.candidate = 0
        if wait_s:
            self._enter(Phase.STARTING, now + wait_s)
        else:
            self._spawn(now)
            self._enter(Phase.STARTING, now + self.limits.start_s)

    def _stop(self, now: float) -> None:
        if self.phase is Phase.STOPPING:
            return
        self._settle("the gateway ends")
        self._acts.append(Unlisten())
        if not self.granted and (self.standby or self.owner) in self.workers:
            self._give(
                now, self.standby or self.owner
            )  # what the kernel has accepted is to be answered
        self._enter(Phase.STOPPING, now + self.limits.retire_s)
        for number, worker in self.workers.items():
            if number == self.candidate and not (worker.ready and number in self.granted):
                self._kill(number)
            else:
                self._acts.append(Stop(number))
        if not self.workers:
            self._acts.append(Exit(0))

    # Small steps.

    def _enter(self, phase: Phase, due: float | None) -> None:
        if phase is not self.phase:
            self.phase = phase
            self._say(phase.value)
        if due is not None or phase is not Phase.SERVING or not self.granted - {self.owner}:
            self.due = due

    def _spawn(self, now: float) -> None:
        self._numbers += 1
        self.candidate = self._numbers
        self.workers[self.candidate] = Worker(self.candidate, now)
        self._acts.append(Spawn(self.candidate))

    def _tell(self, number: int, message: Message) -> None:
        if number in self.workers:
            self._acts.append(Tell(number, message))

    def _kill(self, number: int) -> None:
        if number in self.workers and number not in self._killed:
            self._killed.add(number)
            self._acts.append(Kill(number))

    def _retire(self, now: float, number: int) -> None:
        self.leaving[number] = now + self.limits.retire_s
        self._tell(number, Retire())

    def _room(self) -> None:
        """Who serves alone may hold all descriptors."""
        if self.phase is Phase.SERVING and not self.leaving:
            self._tell(self.owner, Room(self.limits.descriptors))

    def _settle(self, why: str) -> None:
        self.last = why
        if self._asked:
            self._asked = False
            self._acts.append(Settled(why))

    def _say(self, event: str, worker: int = 0, why: str = "") -> None:
        self._acts.append(Say(event, worker, why))

    def _done(self) -> list[Act]:
        acts, self._acts = self._acts, []
        return acts

    def status(self) -> Iterator[str]:
        """Lines for an operator."""
        yield f"phase {self.phase}" + (f", last upgrade: {self.last}" if self.last else "")
        for number, worker in self.workers.items():
            roles = [
                name
                for name, held in (
                    ("serves", number in self.granted),
                    ("candidate", number == self.candidate),
                    ("stands by", number == self.standby),
                    ("leaves", number in self.leaving),
                )
                if held
            ]
            yield (
                f"worker {number}: {', '.join(roles) or 'none'}, {worker.open} open, "
                f"{worker.connections} connections, {worker.memory_mb:.0f} MB"
            )
