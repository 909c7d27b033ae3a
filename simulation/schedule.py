"""Schedules of faults for members in the virtual network: drawn by seed, checked, made smaller.

A schedule is a list of steps, as JSON. While it runs, and once all is whole again, invariants are
checked; a schedule that breaks one is cut down to the steps that it needs, and can be kept as a
test.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Annotated, Literal, NamedTuple

import msgspec
from msgspec import Meta, Struct, field

from quillroad.membership.core import Core
from quillroad.membership.member_table import MemberState
from quillroad.membership.timing import Timing
from simulation.errors import InvariantError
from simulation.fleet import BROADCAST_TARGET, Fleet, Member, Part
from simulation.net import Link, World

START_S = 15.0  # from the start of all members until they agree, at most
CALM_S = 5.0  # without faults, before the first step and after all agree again
SETTLE_S = 60.0  # from the last fault until all agree again, at most
SLOW_S = 3.0  # by which each step of a slow member, and each datagram to it, is late at most
CHECK_S = 0.25  # between two checks of the invariants
QUIET_LOSS = 0.01  # part of datagrams that is lost without any fault
# Entries of passing state that a member at rest may have: a probe, and an answer on its way.
MOST_PENDING_AT_REST = 2

Act = Literal[
    "kill", "start", "stop", "go_on", "cut", "deaf", "apart", "whole", "loss", "slow", "quick"
]
SHORTEST_STEP_S = 0.2  # between two steps of a schedule that is drawn
LONGEST_STEP_S = 6.0
DRAWN_LOSSES = (0.0, 0.05, 0.1)


class Step(Struct, forbid_unknown_fields=True, frozen=True):
    """One fault, `after_s` seconds after the one before.

    `members` are whom it is about: `cut` lets nothing from them to the others through, `deaf`
    nothing from the others to them, `apart` nothing either way. `loss` (0 to 1) is for all links.
    """

    after_s: Annotated[float, Meta(ge=0, le=600)]
    act: Act
    members: tuple[int, ...] = ()
    loss: Annotated[float, Meta(ge=0, le=1)] = 0.0


class Schedule(Struct, forbid_unknown_fields=True, frozen=True):
    """Steps for `size` members; with `broadcast` they can reach all others by one datagram.

    Schedules that a run found are kept as files: there the field is `aloud`.
    """

    seed: int
    size: int
    steps: tuple[Step, ...]
    broadcast: bool = field(name="aloud", default=False)


def read_schedule(text: str) -> Schedule:
    """Read a schedule from JSON; raises `msgspec.MsgspecError` where it is not valid."""
    return msgspec.json.decode(text, type=Schedule)


def write_schedule(schedule: Schedule) -> str:
    """The schedule as JSON."""
    return msgspec.json.format(msgspec.json.encode(schedule), indent=1).decode()


def draw(seed: int, size: int, length: int, broadcast: bool = False) -> Schedule:
    """A schedule of `length` steps, by this seed."""
    random = Random(seed)
    acts: tuple[Act, ...] = (
        "kill",
        "start",
        "stop",
        "go_on",
        "cut",
        "deaf",
        "apart",
        "whole",
        "whole",
        "loss",
        "slow",
        "quick",
    )
    steps = []
    for _ in range(length):
        act = random.choice(acts)
        most = size // 2 if act in ("apart", "kill") else 1
        members = tuple(sorted(random.sample(range(size), random.randint(1, most))))
        steps.append(
            Step(
                round(random.uniform(SHORTEST_STEP_S, LONGEST_STEP_S), 2),
                act,
                members if act not in ("whole", "loss") else (),
                random.choice(DRAWN_LOSSES) if act == "loss" else 0.0,
            )
        )
    return Schedule(seed, size, tuple(steps), broadcast)


class _MemberView(NamedTuple):
    """What a member held of another one at the last check; ordered as SWIM orders updates."""

    incarnation: int
    state: int


UNKNOWN_VIEW = _MemberView(0, 0)
FAULTY = MemberState.FAULTY.reported_name


def _no_lag() -> float:
    return 0.0


class Run:
    """One run of a schedule.

    `_touched` are members that something was done to: nobody may ever hold the others faulty, but
    for members that were cut off together with others, which are in `_parted`.
    """

    def __init__(self, schedule: Schedule, timing: Timing | None = None) -> None:
        self._schedule = schedule
        self._fleet = Fleet(
            World(schedule.seed, Link(loss=QUIET_LOSS)),
            schedule.size,
            timing,
            everyone=BROADCAST_TARGET if schedule.broadcast else None,
        )
        self._incarnations = [0] * schedule.size  # the highest that each ever had
        self._views: dict[tuple[int, int], _MemberView] = {}  # by (holder, member)
        self._cores: list[Part | None] = [None] * schedule.size
        self._checked = [0] * schedule.size  # lines of each one's history that were checked
        self._touched: set[int] = set()
        self._parted: set[int] = set()

    def play(self) -> str:
        """Run the schedule; returns the trace's hash, raises `InvariantError`."""
        fleet = self._fleet
        fleet.start(within_s=1.0)
        if fleet.until(fleet.agreed, START_S) is None:
            raise InvariantError("all started, and never agreed")
        self._on(CALM_S)
        for step in self._schedule.steps:
            self._on(step.after_s)
            self._do(step)
        self._mend()
        if fleet.until(self._holds_and_agrees, SETTLE_S, CHECK_S) is None:
            raise InvariantError("all is whole again, and views never agreed")
        self._on(CALM_S)
        if not fleet.agreed():
            raise InvariantError("views agreed, and not for long")
        for member in fleet.members:
            pending = 0 if member.core is None else self._core(member).pending_entries
            if pending > MOST_PENDING_AT_REST:
                raise InvariantError(
                    f"{member.number} keeps {pending} entries with nothing going on"
                )
        return fleet.world.trace

    def _core(self, member: Member) -> Core:
        assert isinstance(member.core, Core)
        return member.core

    def _on(self, seconds: float) -> None:
        end = self._fleet.world.now + seconds
        while self._fleet.world.now < end:
            self._fleet.world.run(min(end, self._fleet.world.now + CHECK_S))
            self._check()

    def _do(self, step: Step) -> None:
        if step.act not in ("loss", "whole"):
            self._touched.update(step.members)
        for number in step.members:
            self._do_to_member(step.act, self._fleet.members[number])
        self._do_to_network(step)

    def _do_to_member(self, act: Act, member: Member) -> None:
        """What a step does to a process; a step that makes no sense for it now does nothing."""
        if act == "slow":
            member.lag = partial(self._fleet.world.random.uniform, 0.0, SLOW_S)
        elif act == "quick":
            member.lag = _no_lag
        elif act == "stop":
            member.stop()
        elif member.core is None:
            if act == "start":
                member.start()
        elif act == "kill":
            member.kill()
        elif act == "go_on" and member.stopped:
            member.go_on()

    def _do_to_network(self, step: Step) -> None:
        """What a step does to the links between its members and the others."""
        world = self._fleet.world
        everybody = set(range(len(self._fleet.members)))
        some = set(step.members)
        others = everybody - some
        if step.act in ("cut", "apart"):
            world.cut(some, others)
        if step.act in ("deaf", "apart"):
            world.cut(others, some)
        if step.act == "apart" and len(some) > 1:
            self._parted |= some
        elif step.act == "whole":
            world.cut(everybody, everybody, on=False)
        elif step.act == "loss":
            world.every.loss = step.loss

    def _mend(self) -> None:
        self._do(Step(0.0, "whole"))
        self._fleet.world.every.loss = QUIET_LOSS
        for member in self._fleet.members:
            member.lag = _no_lag
            if member.core is None:
                member.start()
            elif member.stopped:
                member.go_on()

    def _holds_and_agrees(self) -> bool:
        self._check()
        return self._fleet.agreed()

    def _check(self) -> None:
        """Raise `InvariantError` for an invariant that does not hold now."""
        members = self._fleet.members
        for member in members:
            self._note_incarnation(member)
        for member in members:
            self._check_bandwidth(member)
            if member.core is not None:
                self._check_views(member)
        for member in members:
            self._check_failures(member)

    def _note_incarnation(self, member: Member) -> None:
        number = member.number
        if member.core is not self._cores[number]:  # another process, which knows nothing yet
            self._cores[number] = member.core
            self._views = {key: view for key, view in self._views.items() if key[0] != number}
        if member.core is not None:
            incarnation = self._core(member).incarnation
            self._incarnations[number] = max(self._incarnations[number], incarnation)

    def _check_bandwidth(self, member: Member) -> None:
        """No member sends more bytes in any second than its budget."""
        if member.peak_bytes > self._fleet.timing.max_bytes_per_s:
            raise InvariantError(
                f"{self._now()}: {member.number} sent {member.peak_bytes} bytes in a second"
            )

    def _check_views(self, member: Member) -> None:
        """Nobody holds an incarnation that was never reached, or goes back to an older state."""
        table = self._core(member).table
        for number in range(len(self._fleet.members)):
            claim = table[number]
            if claim.incarnation > self._incarnations[number]:
                raise InvariantError(
                    f"{self._now()}: {member.number} holds an incarnation that {number} never had"
                )
            key = (member.number, number)
            view = _MemberView(claim.incarnation, int(claim.state))
            if view < self._views.get(key, UNKNOWN_VIEW):
                raise InvariantError(
                    f"{self._now()}: what {member.number} holds of {number} went back"
                )
            self._views[key] = view

    def _check_failures(self, member: Member) -> None:
        """Nobody reports a member faulty to which nothing was done.

        That includes reports by a member that is slow, or was stopped, or whose network was gone
        one way or both.
        """
        first = self._checked[member.number]
        self._checked[member.number] = len(member.history)
        for change in member.history[first:]:
            is_false = change.kind == FAULTY and change.number not in self._touched
            if is_false and member.number not in self._parted:
                raise InvariantError(
                    f"{self._now()}: {member.number} held {change.number} for gone, a sound one"
                )

    def _now(self) -> str:
        return f"{self._fleet.world.now:.2f}"


def smaller(schedule: Schedule, breaks: Callable[[Schedule], bool]) -> Schedule:
    """The schedule with as few steps and members as still break an invariant.

    Halves are left out first, then steps and members one by one.
    """
    steps = list(schedule.steps)
    width = max(1, len(steps) // 2)
    while width:
        at = 0
        while at < len(steps):
            fewer = steps[:at] + steps[at + width :]
            if breaks(msgspec.structs.replace(schedule, steps=tuple(fewer))):
                steps = fewer
            else:
                at += width
        width //= 2
    for at, step in enumerate(steps):
        for number in step.members:
            left = tuple(n for n in steps[at].members if n != number)
            if left:
                fewer = [
                    *steps[:at],
                    msgspec.structs.replace(steps[at], members=left),
                    *steps[at + 1 :],
                ]
                if breaks(msgspec.structs.replace(schedule, steps=tuple(fewer))):
                    steps = fewer
    return msgspec.structs.replace(schedule, steps=tuple(steps))


def broken(schedule: Schedule, timing: Timing | None = None) -> str:
    """The invariant that a schedule breaks; empty: none."""
    try:
        Run(schedule, timing).play()
    except InvariantError as error:
        return str(error)
    return ""
