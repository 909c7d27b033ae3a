"""All orders for a few members: from a state on, everything that may happen next, up to a depth.

A state is a value: the clock, each member's core as bytes, and what is on its way. From each, any datagram
on its way arrives or is lost, the clock goes on to the next timer, a member crashes or starts from nothing.
States that were met before are not walked again; deliveries to different members commute, so there are far
fewer states than orders. After each step what must hold at any moment is checked, and from the states at the
end of the walk, with a network that is whole from there on, that all agree and nothing is kept.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Iterator
from typing import NamedTuple

from quillroad.membership.core import Core
from quillroad.membership.local_health import HealthState
from quillroad.membership.member_table import MemberState
from quillroad.membership.roster import Address, Roster
from quillroad.membership.sender import EVERYONE
from quillroad.membership.timing import Timing
from simulation.fleet import address

DELAY_S = 0.001  # of what arrives once the network is whole
CLOSING_S = 60.0  # until all agree from there on
MOST_STEPS = 20_000  # of such a time
LEAST_HELD = 2  # entries of passing state at rest: a probe, an answer on its way
LOOK_S = 0.5


class Draws:
    """Random numbers from 0 to below 1, in a few bytes: xorshift by Marsaglia, 2003."""

    def __init__(self, seed: int) -> None:
        self._state = (seed * 0x9E3779B97F4A7C15 + 1) & 0xFFFFFFFFFFFFFFFF

    def __call__(self) -> float:
        x = self._state
        x ^= (x << 13) & 0xFFFFFFFFFFFFFFFF
        x ^= x >> 7
        x ^= (x << 17) & 0xFFFFFFFFFFFFFFFF
        self._state = x
        return (x >> 11) / 2**53


class Flight(NamedTuple):
    """A datagram on its way."""

    source: int
    target: int
    data: bytes


class State(NamedTuple):
    """`cores` are pickled, None for one that does not run; `due` when each has something to do; `said` the
    highest incarnation that each ever had; `lives` how often each was started."""

    now: float
    cores: tuple[bytes | None, ...]
    due: tuple[float, ...]
    flights: tuple[Flight, ...]
    said: tuple[int, ...]
    lives: tuple[int, ...]


class Step(NamedTuple):
    act: str  # "deliver", "lose", "tick", "crash", "start"
    which: Flight | int


class Broken(Exception):
    """What must hold did not; `path` leads there."""

    def __init__(self, what: str, path: tuple[Step, ...] = ()) -> None:
        super().__init__(what)
        self.path = path


class Walk:
    """`size` members, which reach all others at `everyone`, where that is told."""

    def __init__(
        self,
        size: int,
        timing: Timing | None = None,
        crashes: int = 1,
        losses: int = 2,
        everyone: Address | None = None,
    ) -> None:
        self._size, self._timing, self._everyone = size, timing or Timing(), everyone
        self._crashes, self._losses = crashes, losses
        self._addresses = [address(n) for n in range(size)]
        self.states = self.closed = 0

    def begin(self) -> State:
        """All have just started."""
        empty = (None,) * self._size
        state = State(
            0.0, empty, (float("inf"),) * self._size, (), (0,) * self._size, (0,) * self._size
        )
        for number in range(self._size):
            state = self.step(state, Step("start", number))
        return state

    # One step.

    def step(self, state: State, step: Step) -> State:
        """What the state is after it; raises `Broken`."""
        if isinstance(step.which, Flight):
            flights = list(state.flights)
            flights.remove(step.which)
            state = state._replace(flights=tuple(flights))
            blob = state.cores[step.which.target]
            if step.act == "lose" or blob is None:
                return state
            core = pickle.loads(blob)  # what this walk has pickled itself
            core.receive(self._addresses[step.which.source], step.which.data, state.now)
            return self._after(state, step.which.target, blob, core)
        number = step.which
        if step.act == "crash":
            return self._with(state, number, None, float("inf"))
        if step.act == "start":
            life = state.lives[number] + 1
            lives = (*state.lives[:number], life, *state.lives[number + 1 :])
            roster = Roster(self._addresses, number, self._everyone)
            core = Core(
                roster, self._timing, state.now, Draws(100 * number + life), 100 * number + life
            )
            return self._after(state._replace(lives=lives), number, None, core)
        state = state._replace(now=max(state.now, state.due[number]))
        blob = state.cores[number]
        assert blob is not None
        core = pickle.loads(blob)
        core.tick(state.now)
        return self._after(state, number, blob, core)

    def _with(self, state: State, number: int, blob: bytes | None, due: float) -> State:
        cores = (*state.cores[:number], blob, *state.cores[number + 1 :])
        return state._replace(cores=cores, due=(*state.due[:number], due, *state.due[number + 1 :]))

    def _after(self, state: State, number: int, before: bytes | None, core: Core) -> State:
        """Take what the core has to send, and look at it."""
        flights = list(state.flights)
        for target, data in core.outbox:
            to = [target] if target != EVERYONE else [n for n in range(self._size) if n != number]
            flights += [Flight(number, n, data) for n in to]
        core.outbox.clear()
        core.changes.clear()
        said = list(state.said)
        said[number] = max(said[number], core.incarnation)
        self._check(core, None if before is None else pickle.loads(before), said)
        due = core.arm(state.now)
        state = state._replace(flights=tuple(sorted(flights)), said=tuple(said))
        return self._with(state, number, pickle.dumps(core), due)

    def _check(self, core: Core, before: Core | None, said: list[int]) -> None:
        """What must hold at any moment."""
        if core.dropped:
            raise Broken(f"{core.number} cannot take {dict(core.dropped)}")
        for n in range(self._size):
            claim = core.table[n]
            if claim.incarnation > said[n]:
                raise Broken(f"{core.number} holds an incarnation that {n} never had")
            if before is not None and claim[:2] < before.table[n][:2]:
                raise Broken(f"what {core.number} holds of {n} went back")
            if n == core.number:
                continue
            seen = core.view.members[n]
            if seen.state is MemberState.FAULTY and claim.state is MemberState.ALIVE:
                raise Broken(f"{core.number} holds {n} for gone against its own word")
        if before is not None and core.incarnation < before.incarnation:
            raise Broken(f"the incarnation of {core.number} went back")

    # All of them.

    def next(self, state: State) -> Iterator[Step]:
        """All that may happen now."""
        for flight in dict.fromkeys(state.flights):
            yield Step("deliver", flight)
        running = [n for n, blob in enumerate(state.cores) if blob is not None]
        if running:
            yield Step("tick", min(running, key=lambda n: (state.due[n], n)))

    def faults(self, state: State) -> Iterator[Step]:
        for flight in dict.fromkeys(state.flights):
            yield Step("lose", flight)
        for number, blob in enumerate(state.cores):
            yield Step("start" if blob is None else "crash", number)

    def walk(self, state: State, depth: int, closing: bool = True) -> None:
        """Everything up to so many steps from here, of them at most `crashes` crashes or starts and `losses`
        losses; raises `Broken` with the path."""
        seen: dict[tuple[State, int, int], int] = {}
        ends: dict[State, tuple[Step, ...]] = {}
        stack: list[tuple[State, int, int, tuple[Step, ...]]] = [
            (state, self._crashes, self._losses, ())
        ]
        while stack:
            at, crashes, losses, path = stack.pop()
            left = depth - len(path)
            if seen.get((at, crashes, losses), -1) >= left:
                continue
            seen[at, crashes, losses] = left
            self.states += 1
            if not left:
                ends.setdefault(at, path)
                continue
            for step in (*self.next(at), *self.faults(at)):
                lost, crashed = step.act == "lose", step.act in ("crash", "start")
                if (lost and not losses) or (crashed and not crashes):
                    continue
                try:
                    after = self.step(at, step)
                except Broken as broken:
                    raise Broken(str(broken), (*path, step)) from None
                stack.append((after, crashes - crashed, losses - lost, (*path, step)))
        for end, path in ends.items() if closing else ():
            self.closed += 1
            try:
                self.close(end)
            except Broken as broken:
                raise Broken(str(broken), path) from None

    def close(self, state: State) -> None:
        """With a network that is whole from here on: all that run agree, and nothing is kept."""
        state = self.play(state, self._agreed, "views never agreed")
        rest = state.now + 5.0
        state = self.play(state, lambda at: at.now >= rest, "the clock stands still")
        if not self._agreed(state):
            raise Broken("views agreed, and not for long")
        for core in self._running(state):
            if core.pending_entries > LEAST_HELD and core.view.self_state is HealthState.HEALTHY:
                raise Broken(
                    f"{core.number} keeps {core.pending_entries} entries with nothing going on"
                )

    def scenes(self) -> dict[str, State]:
        """Where walks begin: moments at which much can still go either way."""
        last = self._size - 1
        others = set(range(last))
        start = self.begin()
        settled = self.play(start, self._agreed, "never settled")
        crashed = self.step(settled, Step("crash", last))
        suspected = self.play(
            crashed, lambda at: self._holds(at, MemberState.SUSPECT, last), "never suspected"
        )
        gone = self.play(suspected, self._agreed, "never gone")
        cut = frozenset({(last, n) for n in others} | {(n, last) for n in others})
        apart = self.play(
            settled, lambda at: self._holds(at, MemberState.FAULTY, last), "never apart", cut
        )
        return {
            "all start": start,
            "settled": settled,
            "suspected": suspected,
            "gone": gone,
            "back from nothing": self.step(gone, Step("start", last)),
            "apart, and whole again": apart,
        }

    def _holds(self, state: State, standing: MemberState, number: int) -> bool:
        others = [core for core in self._running(state) if core.number != number]
        return all(core.view.members[number].state is standing for core in others)

    def play(
        self,
        state: State,
        until: Callable[[State], bool],
        why: str,
        cut: frozenset[tuple[int, int]] = frozenset(),
    ) -> State:
        """Deliver all in order but what goes from one of a pair in `cut` to the other, and let timers run,
        until something holds; looked at twice a second."""
        end, look = state.now + CLOSING_S, state.now
        for _ in range(MOST_STEPS):
            if state.now >= look:
                if until(state):
                    return state
                look = state.now + LOOK_S
            if state.now > end:
                break
            lost = [flight for flight in state.flights if flight[:2] in cut]
            if lost:
                state = self.step(state, Step("lose", lost[0]))
            elif state.flights:
                state = self.step(
                    state._replace(now=state.now + DELAY_S), Step("deliver", state.flights[0])
                )
            else:
                state = self.step(
                    state, next(step for step in self.next(state) if step.act == "tick")
                )
        raise Broken(why)

    def _running(self, state: State) -> list[Core]:
        return [pickle.loads(blob) for blob in state.cores if blob is not None]

    def _agreed(self, state: State) -> bool:
        """Whether each that runs holds just those for alive; one that is left cannot know, and says so."""
        cores = self._running(state)
        if len(cores) == 1:
            return cores[0].view.self_state is HealthState.ISOLATED
        expected = {core.number for core in cores}
        for core in cores:
            held = {n for n, seen in core.view.members.items() if seen.state is MemberState.ALIVE}
            if held != expected - {core.number} or core.view.count(MemberState.SUSPECT):
                return False
        return True
