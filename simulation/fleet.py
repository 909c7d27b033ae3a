"""Gateways' membership cores in the virtual network: started, stopped, killed and compared."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from quillroad.membership.core import Core
from quillroad.membership.member_table import MemberState
from quillroad.membership.roster import Address, Roster
from quillroad.membership.sender import BROADCAST_TARGET as TO_ALL
from quillroad.membership.sender import Outgoing
from quillroad.membership.timing import Timing
from quillroad.membership.view import Change, View
from simulation.net import World

PORT = 7946  # of every member's address
# Where a datagram reaches all, in a fleet that has such a place.
BROADCAST_TARGET: Address = ("10.255.255.255", PORT)
BUFFERED = 200  # datagrams that a stopped process's socket holds: the kernel drops what comes then


def address(number: int) -> Address:
    """The address of a member by its number."""
    return (f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", PORT)


class Part(Protocol):
    """What runs in a member: the membership core, or another detector to compare it with."""

    outbox: list[Outgoing]
    changes: list[Change]

    @property
    def view(self) -> View:
        """What it holds of the others."""

    def arm(self, now: float) -> float:
        """When it has something to do next, in seconds, not before `now`."""

    def tick(self, now: float) -> None:
        """Run its timer."""

    def receive(self, source: Address, data: bytes, now: float) -> None:
        """Take a datagram."""


class Member:
    """One process: its core, while it runs, and what the kernel holds for it."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.core: Part | None = None
        self.stopped = False
        self.lag: Callable[[], float] = lambda: 0.0  # seconds by which each of its steps comes late
        self.inbox: deque[tuple[Address, bytes]] = deque(maxlen=BUFFERED)
        self.bytes = 0
        self.datagrams = 0
        self.peak_bytes = 0  # most that went out in any second, whenever that began
        self._second: deque[tuple[float, int]] = deque()
        self._in_second = 0
        self.history: list[Change] = []
        self._woken = 0

    @property
    def running(self) -> bool:
        """Whether its process runs and is not stopped."""
        return self.core is not None and not self.stopped

    def start(self, roster: Roster | None = None) -> None:
        """Start a new process, which knows nothing but the roster."""
        world, fleet = self.fleet.world, self.fleet
        self.core = fleet.make(
            roster or Roster(fleet.addresses, self.number, fleet.everyone),
            fleet.timing,
            world.now,
            world.random.random,
            world.random.getrandbits(32),
        )
        self.inbox.clear()
        self.stopped = False
        self._arm()

    def kill(self) -> None:
        """End the process (SIGKILL)."""
        self.core = None
        self.inbox.clear()
        self._second.clear()  # a process that starts anew has a budget of its own
        self._in_second = 0

    def stop(self) -> None:
        """Stop the process (SIGSTOP)."""
        self.stopped = True

    def go_on(self) -> None:
        """Let it run again (SIGCONT): what the kernel holds is read before any timer runs."""
        self.stopped = False
        self._read()
        self._tick(self._woken)

    def deliver(self, source: Address, data: bytes) -> None:
        """A datagram has come to its socket; lost while no process runs."""
        if self.core is None:
            return
        self.inbox.append((source, data))
        if not self.stopped:
            late = self.lag()
            if late:
                self.fleet.world.at(self.fleet.world.now + late, self._read)
            else:
                self._read()

    def _read(self) -> None:
        core = self.core
        if core is None or self.stopped:
            return
        while self.inbox:
            core.receive(*self.inbox.popleft(), self.fleet.world.now)
        self._flush(core)
        self._arm()

    def _tick(self, woken: int) -> None:
        core = self.core
        if core is None or self.stopped or woken != self._woken:
            return
        core.tick(self.fleet.world.now)
        self._flush(core)
        self._arm()

    def _arm(self) -> None:
        assert self.core is not None
        self._woken += 1
        woken = self._woken
        self.fleet.world.at(
            self.core.arm(self.fleet.world.now) + self.lag(), lambda: self._tick(woken)
        )

    def _flush(self, core: Part) -> None:
        sent = core.outbox
        core.outbox = []
        for number, data in sent:
            self.bytes += len(data)
            self.datagrams += 1
            now = self.fleet.world.now
            self._second.append((now, len(data)))
            self._in_second += len(data)
            while self._second[0][0] <= now - 1.0:
                self._in_second -= self._second.popleft()[1]
            self.peak_bytes = max(self.peak_bytes, self._in_second)
            self.fleet.carry(self.number, number, data)
        self.history += core.changes
        core.changes = []


class _Answer(NamedTuple):
    """Whether a member's view, at this version, held exactly these members for alive."""

    core: Part
    version: int
    expected: frozenset[int]
    holds: bool


class Fleet:
    """So many members, none of them started.

    `make` builds what runs in a member; with `everyone` a datagram to that address reaches all
    others.
    """

    def __init__(
        self,
        world: World,
        size: int,
        timing: Timing | None = None,
        make: Callable[..., Part] = Core,
        everyone: Address | None = None,
    ) -> None:
        self.world = world
        self.timing = timing or Timing()
        self.make = make
        self.everyone = everyone
        self.addresses = [address(n) for n in range(size)]
        self.members = [Member(self, n) for n in range(size)]
        self._answers: dict[int, _Answer] = {}  # of `_holds`, by member
        # Second processes under a number: either may get what comes.
        self.twins: dict[int, Member] = {}

    def start(self, numbers: Iterable[int] | None = None, within_s: float = 0.0) -> None:
        """Start these members, all by default, each at a random time within `within_s`."""
        for n in range(len(self.members)) if numbers is None else numbers:
            self.world.at(
                self.world.now + within_s * self.world.random.random(), self.members[n].start
            )

    def carry(self, source: int, target: int, data: bytes) -> None:
        """Send a datagram from one member to another, or to all others."""
        if target == TO_ALL:
            for number in range(len(self.members)):
                if number != source:
                    self.carry(source, number, data)
        elif target < len(self.members):
            to = self.members[target]
            if target in self.twins and self.world.random.random() < 0.5:
                to = self.twins[target]
            self.world.send(source, target, data, lambda: to.deliver(self.addresses[source], data))

    def running(self) -> list[Member]:
        """The members that run."""
        return [member for member in self.members if member.running]

    def agreed(
        self, among: Iterable[int] | None = None, there: Iterable[int] | None = None
    ) -> bool:
        """Whether each of `among` holds exactly `there` for alive.

        By default both are the members that run. Everyone else in the roster must be faulty, left
        or never heard of.
        """
        numbers = [m.number for m in self.running()] if among is None else list(among)
        if not numbers:
            return False
        expected = frozenset(numbers if there is None else there)
        return all(self._holds(n, expected) for n in numbers)

    def _holds(self, number: int, expected: frozenset[int]) -> bool:
        """Whether this member holds exactly these for alive; kept until its view changes."""
        core = self.members[number].core
        if core is None:
            return False
        view = core.view
        answer = self._answers.get(number)
        if (
            answer is not None
            and answer.core is core
            and answer.version == view.version
            and answer.expected == expected
        ):
            return answer.holds
        alive = {n for n, seen in view.members.items() if seen.state is MemberState.ALIVE}
        holds = alive == expected - {number} and not view.count(MemberState.SUSPECT)
        self._answers[number] = _Answer(core, view.version, expected, holds)
        return holds

    def until(
        self, condition: Callable[[], bool], most_s: float, step_s: float = 0.1
    ) -> float | None:
        """Seconds until a condition holds, checked every `step_s`; None: not within `most_s`."""
        began = self.world.now
        while not condition():
            if self.world.now - began >= most_s:
                return None
            self.world.run(self.world.now + step_s)
        return self.world.now - began
