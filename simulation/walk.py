"""All orders of events for a few members: from a state on, whatever may happen next, up to a depth.

A state is a value: the clock, each member's core as bytes, and what is on its way. From each, any
datagram on its way arrives or is lost, the clock goes on to the next timer, a member crashes or
starts from nothing. States that were met before are not walked again; deliveries to different
members commute, so there are far fewer states than orders. After each step the invariants are
checked, and from the states at the end of the walk, with a network that is whole from there on,
that all agree and no passing state is left.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Iterator
from typing import NamedTuple

from quillroad.membership.core import Core
from quillroad.membership.local_health import HealthState
from quillroad.membership.member_table import MemberState
from quillroad.membership.roster import Address, Roster
from quillroad.membership.sender import BROADCAST_TARGET
from quillroad.membership.timing import Timing
from simulation.errors import InvariantError
from simulation.fleet import address

DELAY_S = 0.001  # of what arrives once the network is whole
CLOSING_S = 60.0  # until all agree from there on
MOST_STEPS = 20_000  # of such a time
MOST_PENDING_AT_REST = 2  # entries of passing state: a probe, an answer on its way
REST_S = 5.0  # that all that run must go on agreeing
CHECK_S = 0.5  # between two looks at whether a state is reached
SEEDS_PER_MEMBER = 100  # more than a member is ever started in a walk
WORD_MASK = 0xFFFFFFFFFFFFFFFF  # 64 bits
SEED_FACTOR = 0x9E3779B97F4A7C15  # 2**64 / golden ratio: spreads small seeds over all bits


class Draws:
    """Random numbers from 0 to below 1, in a few bytes: xorshift by Marsaglia, 2003."""

    def __init__(self, seed: int) -> None:
        self._state = (seed * SEED_FACTOR + 1) & WORD_MASK

    def __call__(self) -> float:
        """The next number."""
        x = self._state
        x ^= (x << 13) & WORD_MASK
        x ^= x >> 7
        x ^= (x << 17) & WORD_MASK
        self._state = x
        return (x >> 11) / 2**53


class Flight(NamedTuple):
    """A datagram on its way."""

    source: int
    target: int
    data: bytes


class State(NamedTuple):
    """One state of the whole system.

    `cores` are pickled, None for one that does not run; `due` is when each has something to do;
    `said` the highest incarnation that each ever had; `starts` how often each was started.
    """

    now: float
    cores: tuple[bytes | None, ...]
    due: tuple[float, ...]
    flights: tuple[Flight, ...]
    said: tuple[int, ...]
    starts: tuple[int, ...]


class Step(NamedTuple):
    """One event: `deliver` or `lose` a flight, or `tick`, `crash` or `start` a member by number."""

    act: str  # "deliver", "lose", "tick", "crash", "start"
    which: Flight | int


class _Visit(NamedTuple):
    """A state on a walk, how many more faults may come, and the steps that led there."""

    state: State
    crashes: int
    losses: int
    path: tuple[Step, ...]


class Broken(InvariantError):  # noqa: N818 - tests and bench use the name
    """An invariant does not hold; `path` are the steps that lead there."""

    def __init__(self, what: str, path: tuple[Step, ...] = ()) -> None:
        super().__init__(what)
        self.path = path


class Walk:
    """Walks of `size` members.

    `crashes` (crashes and starts) and `losses` bound the faults of one path; with `everyone`
    members reach all others at that address.
    """

    def __init__(
        self,
        size: int,
        timing: Timing | None = None,
        crashes: int = 1,
        losses: int = 2,
        everyone: Address | None = None,
    ) -> None:
        self._size = size
        self._timing = timing or Timing()
        self._everyone = everyone
        self._crashes = crashes
        self._losses = losses
        self._addresses = [address(n) for n in range(size)]
        self.states = 0  # that were walked
        self.closed = 0  # ends of the walk from which all agreed

    def begin(self) -> State:
        """The state in which all have just started."""
        empty = (None,) * self._size
        state = State(
            0.0, empty, (float("inf"),) * self._size, (), (0,) * self._size, (0,) * self._size
        )
        for number in range(self._size):
            state = self.step(state, Step("start", number))
        return state

    # One step.

    def step(self, state: State, step: Step) -> State:
        """The state after a step; raises `Broken`."""
        if isinstance(step.which, Flight):
            return self._after_flight(state, step.which, lost=step.act == "lose")
        number = step.which
        if step.act == "crash":
            return self._with(state, number, None, float("inf"))
        if step.act == "start":
            return self._after_start(state, number)
        state = state._replace(now=max(state.now, state.due[number]))
        blob = state.cores[number]
        assert blob is not None
        core = pickle.loads(blob)
        core.tick(state.now)
        return self._after(state, number, blob, core)

    def _after_flight(self, state: State, flight: Flight, lost: bool) -> State:
        """The state after a datagram has arrived, or was lost."""
        flights = list(state.flights)
        flights.remove(flight)
        state = state._replace(flights=tuple(flights))
        blob = state.cores[flight.target]
        if lost or blob is None:
            return state
        core = pickle.loads(blob)  # what this walk has pickled itself
        core.receive(self._addresses[flight.source], flight.data, state.now)
        return self._after(state, flight.target, blob, core)

    def _after_start(self, state: State, number: int) -> State:
        """The state after a member has started from nothing."""
        start_count = state.starts[number] + 1
        starts = (*state.starts[:number], start_count, *state.starts[number + 1 :])
        seed = SEEDS_PER_MEMBER * number + start_count
        roster = Roster(self._addresses, number, self._everyone)
        core = Core(roster, self._timing, state.now, Draws(seed), seed)
        return self._after(state._replace(starts=starts), number, None, core)

    def _with(self, state: State, number: int, blob: bytes | None, due: float) -> State:
        cores = (*state.cores[:number], blob, *state.cores[number + 1 :])
        return state._replace(cores=cores, due=(*state.due[:number], due, *state.due[number + 1 :]))

    def _after(self, state: State, number: int, before: bytes | None, core: Core) -> State:
        """The state after a core has run: its datagrams are on their way, and it was checked."""
        flights = list(state.flights)
        for target, data in core.outbox:
            to = (
                [target]
                if target != BROADCAST_TARGET
                else [n for n in range(self._size) if n != number]
            )
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
        """Raise `Broken` for an invariant that does not hold at this core."""
        if core.dropped:
            raise Broken(f"{core.number} cannot take {dict(core.dropped)}")
        for number in range(self._size):
            self._check_claim(core, before, number, said[number])
        if before is not None and core.incarnation < before.incarnation:
            raise Broken(f"the incarnation of {core.number} went back")

    def _check_claim(self, core: Core, before: Core | None, number: int, highest: int) -> None:
        """What a core holds of one member, whose highest incarnation ever was `highest`."""
        claim = core.table[number]
        if claim.incarnation > highest:
            raise Broken(f"{core.number} holds an incarnation that {number} never had")
        if before is not None and claim[:2] < before.table[number][:2]:
            raise Broken(f"what {core.number} holds of {number} went back")
        if number == core.number:
            return
        seen = core.view.members[number]
        if seen.state is MemberState.FAULTY and claim.state is MemberState.ALIVE:
            raise Broken(f"{core.number} holds {number} for gone against its own word")

    # All of them.

    def next(self, state: State) -> Iterator[Step]:
        """All steps without faults that may come next."""
        for flight in dict.fromkeys(state.flights):
            yield Step("deliver", flight)
        running = [n for n, blob in enumerate(state.cores) if blob is not None]
        if running:
            yield Step("tick", min(running, key=lambda n: (state.due[n], n)))

    def faults(self, state: State) -> Iterator[Step]:
        """All faults that may come next."""
        for flight in dict.fromkeys(state.flights):
            yield Step("lose", flight)
        for number, blob in enumerate(state.cores):
            yield Step("start" if blob is None else "crash", number)

    def walk(self, state: State, depth: int, closing: bool = True) -> None:
        """Walk all paths of so many steps from here; raises `Broken` with the path.

        With `closing` each state at an end is closed, too (see `close`).
        """
        seen: dict[tuple[State, int, int], int] = {}
        ends: dict[State, tuple[Step, ...]] = {}
        stack = [_Visit(state, self._crashes, self._losses, ())]
        while stack:
            visit = stack.pop()
            left = depth - len(visit.path)
            key = (visit.state, visit.crashes, visit.losses)
            if seen.get(key, -1) >= left:
                continue
            seen[key] = left
            self.states += 1
            if left:
                stack.extend(self._next_visits(visit))
            else:
                ends.setdefault(visit.state, visit.path)
        if closing:
            self._close_all(ends)

    def _next_visits(self, visit: _Visit) -> Iterator[_Visit]:
        """Whatever may come next, within the bounds on faults; raises `Broken` with the path."""
        for step in (*self.next(visit.state), *self.faults(visit.state)):
            lost = step.act == "lose"
            crashed = step.act in ("crash", "start")
            if (lost and not visit.losses) or (crashed and not visit.crashes):
                continue
            path = (*visit.path, step)
            try:
                after = self.step(visit.state, step)
            except Broken as broken:
                raise Broken(str(broken), path) from None
            yield _Visit(after, visit.crashes - crashed, visit.losses - lost, path)

    def _close_all(self, ends: dict[State, tuple[Step, ...]]) -> None:
        """Close each end of a walk; raises `Broken` with the path to it."""
        for end, path in ends.items():
            self.closed += 1
            try:
                self.close(end)
            except Broken as broken:
                raise Broken(str(broken), path) from None

    def close(self, state: State) -> None:
        """Check that with a whole network from here on all that run agree, and nothing is kept."""
        state = self.play(state, self._agreed, "views never agreed")
        rest = state.now + REST_S
        state = self.play(state, lambda at: at.now >= rest, "the clock stands still")
        if not self._agreed(state):
            raise Broken("views agreed, and not for long")
        for core in self._running(state):
            if (
                core.pending_entries > MOST_PENDING_AT_REST
                and core.view.self_state is HealthState.HEALTHY
            ):
                raise Broken(
                    f"{core.number} keeps {core.pending_entries} entries with nothing going on"
                )

    def scenes(self) -> dict[str, State]:
        """States in which walks begin, by name: moments at which much can still go either way."""
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
        """Run in order, without faults, until something holds.

        Raises `Broken` with `why` where it never does. Datagrams from the first to the second of a
        pair in `cut` are lost. The condition is looked at every `CHECK_S`.
        """
        end = state.now + CLOSING_S
        look = state.now
        for _ in range(MOST_STEPS):
            if state.now >= look:
                if until(state):
                    return state
                look = state.now + CHECK_S
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
        """Whether each that runs holds just those for alive; one alone must be isolated."""
        cores = self._running(state)
        if len(cores) == 1:
            return cores[0].view.self_state is HealthState.ISOLATED
        expected = {core.number for core in cores}
        for core in cores:
            alive = {n for n, seen in core.view.members.items() if seen.state is MemberState.ALIVE}
            if alive != expected - {core.number} or core.view.count(MemberState.SUSPECT):
                return False
        return True
