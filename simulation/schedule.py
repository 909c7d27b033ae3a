"""Schedules of faults for a fleet in the virtual network: drawn by seed, checked at each step, made smaller.

A schedule is a list of steps, as JSON. While it runs, and once all is whole again, what must hold is checked;
a schedule that breaks something is cut down to the steps that it needs, and can be kept as a test.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from quillroad.membership.core import Core
from quillroad.membership.member_table import MemberState
from quillroad.membership.timing import Timing
from simulation.fleet import EVERYONE, Fleet, Member, Part
from simulation.net import Link, World

START_S, CALM_S, SETTLE_S = 15.0, 5.0, 60.0
SLOW_S = 3.0  # by which each step of a slow member, and each datagram to it, is late at most
LOOK_S = 0.25  # between two looks at what must hold
LEAST_HELD = (
    2  # entries of passing state that a member at rest may have: a probe, an answer on its way
)

Act = Literal[
    "kill", "start", "stop", "go_on", "cut", "deaf", "apart", "whole", "loss", "slow", "quick"
]
LEAST_S, MOST_S = 0.2, 6.0  # between two steps


class Step(Struct, forbid_unknown_fields=True, frozen=True):
    """`after_s` seconds after the one before. `members` are whom it is about; `cut` lets nothing from them to
    the others through, `deaf` nothing from the others to them, `apart` nothing either way; `loss` is for all
    links."""

    after_s: Annotated[float, Meta(ge=0, le=600)]
    act: Act
    members: tuple[int, ...] = ()
    loss: Annotated[float, Meta(ge=0, le=1)] = 0.0


class Schedule(Struct, forbid_unknown_fields=True, frozen=True):
    """With `aloud` members can reach all others by one datagram."""

    seed: int
    size: int
    steps: tuple[Step, ...]
    aloud: bool = False


def read_schedule(text: str) -> Schedule:
    """Raises `msgspec.MsgspecError` for what is none."""
    return msgspec.json.decode(text, type=Schedule)


def write_schedule(schedule: Schedule) -> str:
    return msgspec.json.format(msgspec.json.encode(schedule), indent=1).decode()


def draw(seed: int, size: int, length: int, aloud: bool = False) -> Schedule:
    """A schedule of so many steps by this seed."""
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
                round(random.uniform(LEAST_S, MOST_S), 2),
                act,
                members if act not in ("whole", "loss") else (),
                random.choice((0.0, 0.05, 0.1)) if act == "loss" else 0.0,
            )
        )
    return Schedule(seed, size, tuple(steps), aloud)


class Broken(Exception):
    """Something that must hold did not; the text says what, and when."""


class Run:
    """One schedule. `touched` are members that something was done to: of the others nobody may ever hold
    that they are gone, but for members that were cut off with company, in `_parted`."""

    def __init__(self, schedule: Schedule, timing: Timing | None = None) -> None:
        self._schedule = schedule
        self._fleet = Fleet(
            World(schedule.seed, Link(loss=0.01)),
            schedule.size,
            timing,
            everyone=EVERYONE if schedule.aloud else None,
        )
        self._said = [0] * schedule.size  # the highest incarnation that each ever had
        self._held: dict[tuple[int, int], tuple[int, int]] = {}
        self._cores: list[Part | None] = [None] * schedule.size
        self._read = [0] * schedule.size  # lines of each one's history that were looked at
        self._touched: set[int] = set()
        self._parted: set[int] = set()

    def play(self) -> str:
        """The trace's hash; raises `Broken`."""
        fleet = self._fleet
        fleet.start(within_s=1.0)
        if fleet.until(fleet.agreed, START_S) is None:
            raise Broken("all started, and never agreed")
        self._on(CALM_S)
        for step in self._schedule.steps:
            self._on(step.after_s)
            self._do(step)
        self._mend()
        if fleet.until(lambda: self._look() and fleet.agreed(), SETTLE_S, LOOK_S) is None:
            raise Broken("all is whole again, and views never agreed")
        self._on(CALM_S)
        if not fleet.agreed():
            raise Broken("views agreed, and not for long")
        for member in fleet.members:
            kept = 0 if member.core is None else self._core(member).pending_entries
            if kept > LEAST_HELD:
                raise Broken(f"{member.number} keeps {kept} entries with nothing going on")
        return fleet.world.trace

    def _core(self, member: Member) -> Core:
        assert isinstance(member.core, Core)
        return member.core

    def _on(self, seconds: float) -> None:
        end = self._fleet.world.now + seconds
        while self._fleet.world.now < end:
            self._fleet.world.run(min(end, self._fleet.world.now + LOOK_S))
            self._look()

    def _do(self, step: Step) -> None:
        fleet, some = self._fleet, set(step.members)
        others = set(range(len(fleet.members))) - some
        if step.act not in ("loss", "whole"):
            self._touched |= some
        for number in step.members:
            member = fleet.members[number]
            if step.act == "kill" and member.core is not None:
                member.kill()
            elif step.act == "start" and member.core is None:
                member.start()
            elif step.act == "stop":
                member.stop()
            elif step.act == "go_on" and member.stopped and member.core is not None:
                member.go_on()
            elif step.act == "slow":
                member.lag = partial(self._fleet.world.random.uniform, 0.0, SLOW_S)
            elif step.act == "quick":
                member.lag = lambda: 0.0
        if step.act in ("cut", "apart"):
            fleet.world.cut(some, others)
        if step.act in ("deaf", "apart"):
            fleet.world.cut(others, some)
        if step.act == "apart" and len(some) > 1:
            self._parted |= some
        elif step.act == "whole":
            everybody = set(range(len(fleet.members)))
            fleet.world.cut(everybody, everybody, on=False)
        elif step.act == "loss":
            fleet.world.every.loss = step.loss

    def _mend(self) -> None:
        self._do(Step(0.0, "whole"))
        self._fleet.world.every.loss = 0.01
        for member in self._fleet.members:
            member.lag = lambda: 0.0
            if member.core is None:
                member.start()
            elif member.stopped:
                member.go_on()

    def _look(self) -> bool:
        """What must hold at any moment."""
        fleet = self._fleet
        now = fleet.world.now
        for member in fleet.members:
            if (
                member.core is not self._cores[member.number]
            ):  # another process, that knows nothing yet
                self._cores[member.number] = member.core
                self._held = {
                    key: value for key, value in self._held.items() if key[0] != member.number
                }
            if member.core is not None:
                self._said[member.number] = max(
                    self._said[member.number], self._core(member).incarnation
                )
        for member in fleet.members:
            if member.peak_bytes > fleet.timing.max_bytes_per_s:
                raise Broken(
                    f"{now:.2f}: {member.number} sent {member.peak_bytes} bytes in a second"
                )
            if member.core is None:
                continue
            core = self._core(member)
            for number in range(len(fleet.members)):
                claim = core.table[number]
                if claim.incarnation > self._said[number]:
                    raise Broken(
                        f"{now:.2f}: {member.number} holds an incarnation that {number} never had"
                    )
                key, value = (member.number, number), (claim.incarnation, int(claim.state))
                if value < self._held.get(key, (0, 0)):
                    raise Broken(f"{now:.2f}: what {member.number} holds of {number} went back")
                self._held[key] = value
        self._ends(now)
        return True

    def _ends(self, now: float) -> None:
        """Nobody to whom nothing was done is held for gone: not by the sound, and not by one that is slow, or
        was stopped, or whose network was gone one way or both."""
        gone = MemberState.FAULTY.reported_name
        for member in self._fleet.members:
            since, self._read[member.number] = self._read[member.number], len(member.history)
            for change in member.history[since:]:
                false = change.kind == gone and change.number not in self._touched
                if false and member.number not in self._parted:
                    raise Broken(
                        f"{now:.2f}: {member.number} held {change.number} for gone, a sound one"
                    )


def smaller(schedule: Schedule, breaks: Callable[[Schedule], bool]) -> Schedule:
    """The schedule with as few steps and members in them as still break: halves first, then one by one."""
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
    """What a schedule breaks; empty: nothing."""
    try:
        Run(schedule, timing).play()
    except Broken as what:
        return str(what)
    return ""
