"""Admission by aims: what the gateway's core can still answer in time waits its turn, the rest is refused at
once.

No I/O; times are seconds of one clock that never goes back.

Requests that were read wait here until the loop has time for them. A request is let in when the wait
predicted for it leaves time for its answer within its class's aim: the requests ahead of it, times what one
has taken of late, plus what hosts take. Nothing is predicted from load or lateness, so a core that is slow,
shared or rationed looks like what it is, a longer time for each request, and a busy core whose answers are in
aim refuses nothing.

What begins next is the request whose time to begin ends first (earliest deadline first; Liu and Layland, J.
ACM 1973), so that classes with short aims pass those with long ones. Worth decides who finds the queue full
first, and only while those with more worth need room: then each lower level keeps a smaller part of it
(partial buffer sharing; Kroener et al., IEEE JSAC 1991, with parts that follow from need). Nobody who was let
in is turned out for one who came later, so refusals cost no waiting.

It judges only the gateway's core. Hosts in trouble are the policy's own to judge, and alone they fill no
queue here. Only requests that nothing was sent for come here, so a refusal is always harmless.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tuning:
    """The controller's constants. `docs/design/overload.md` says which were set by a measurement, and by
    which."""

    use: float = (
        0.8  # part of an aim that the times predicted may take up: the rest is for their errors
    )
    hosts_most: float = (
        0.5  # part of an aim that hosts need at the most: slow ones are no reason to refuse
    )
    full: float = (
        0.8  # part of the time left that the queue may take: what waits at the end of one that took
    )
    # all of it would be due at once, and nobody with a shorter aim could pass
    tight: float = (
        0.75  # part of what a level may take from which on it needs room of those with less worth
    )
    squeeze: float = 0.02  # that one such request takes from those with less
    relax_s: float = 2.0  # in which that is forgotten
    slice_s: float = (
        0.002  # for which requests begin in a turn of the loop, before sockets are read again
    )
    slice_part: float = (
        0.25  # of the time since the last slice, for the next one: reading answers takes as
    )
    # long as beginning requests, so these have 40% of the core however many refusals want it
    known_s: float = 0.05  # of work until that time is known: nothing is refused for a wait before
    memory_s: float = (
        0.5  # over which the time of a request is averaged: five periods of a usual ration
    )
    busy_over_s: float = 0.1  # over which the share of the core in use is counted
    busy: float = 0.5  # share of what is allowed from which on answers are read late
    longest_step_s: float = (
        0.1  # that one slice may count for: a process that was stopped tells nothing
    )
    least_left_s: float = (
        0.002  # of a client's time, for a request to be taken on: two turns of a calm loop
    )


@dataclass(frozen=True, slots=True)
class Lane:
    """A class of requests. `within_s` is the time in which an answer has worth: the aim, or the deadline
    where there is no aim or late answers have worth too."""

    worth: float
    within_s: float


class Quota:
    """A tenant's share here, in requests a second; one second's worth may come at once."""

    __slots__ = ("_filled", "_rate", "_tokens")

    def __init__(self, rate: float) -> None:
        self._rate, self._tokens, self._filled = rate, max(1.0, rate), 0.0

    @property
    def state(self) -> tuple[float, float]:
        """Tokens, and when they were counted."""
        return self._tokens, self._filled

    @state.setter
    def state(self, state: tuple[float, float]) -> None:
        self._tokens, self._filled = state

    def within(self, now: float, takes: bool) -> bool:
        """Whether one more request is inside the share; takes it if so, where `takes`."""
        self._tokens = min(max(1.0, self._rate), self._tokens + self._rate * (now - self._filled))
        self._filled = now
        if self._tokens < 1.0:
            return False
        self._tokens -= takes
        return True


class Waiting:
    """One request in the queue. `item` is None once it has left or begun."""

    __slots__ = ("by", "end", "item")

    def __init__(self, item: object, by: float, end: float) -> None:
        self.item: object | None = item
        self.by, self.end = by, end  # the times by which it has to begin, and to be answered


class _Queue:
    """The requests of one class, in the order in which they came."""

    __slots__ = ("begun", "entries", "hosts_s", "patience_s", "rate", "within_s")

    def __init__(self, within_s: float) -> None:
        self.entries: deque[Waiting] = deque()
        self.within_s = within_s
        self.hosts_s = 0.0  # from a request's beginning to its answer, smoothed
        self.patience_s = within_s  # that the last one had from its coming to its beginning
        self.begun, self.rate = 0, 0.0  # in this slice; a second while there was a queue, smoothed

    def due_before(self, by: float) -> float:
        """About how many have to begin before `by`: times are taken to lie evenly between first and last."""
        entries = self.entries
        if not entries or by <= (first := entries[0].by):
            return 0.0
        last = entries[-1].by
        return (
            len(entries) * min(1.0, (by - first) / (last - first))
            if last > first
            else float(len(entries))
        )


class Admission:
    """The queue in front of the core, and who may join it.

    `lanes` are the classes; what is beyond its tenant's share counts `over_worth` (0 to 1) of its class's
    worth. `quotas` are the tenants' shares at this gateway in requests a second; with none told there are no
    shares. `cores` is the part of a core that the platform allows (above 0). `places` is how many requests
    there may be at once, of all kinds.
    """

    def __init__(
        self,
        lanes: Sequence[Lane],
        over_worth: float = 1.0,
        quotas: Sequence[float] = (),
        cores: float = 1.0,
        places: int = 1 << 30,
        tuning: Tuning | None = None,
    ) -> None:
        self._tuning = tuning or Tuning()
        self._queues = [_Queue(lane.within_s) for lane in lanes]
        worths = [lane.worth for lane in lanes]
        levels = [*worths, *(worth * over_worth for worth in worths)]
        distinct = sorted(set(levels), reverse=True)
        # What each level keeps of `full` when squeezed: even steps, equal for equal worth.
        self._keeps = [1.0 - distinct.index(level) / len(distinct) for level in levels]
        self._least = min(self._keeps)
        self._squeezed = 0.0  # 0 to 1
        self._quotas = [Quota(rate) for rate in quotas]
        self._places = max(1, places)
        self._cost_s = 0.0  # wall time from one beginning to the next; 0: not known yet
        self._learned_s = 1e-9  # how much time that is the mean of
        self._turned = (
            -1.0
        )  # the end of the last slice, or when the first request joined an empty queue
        self._sliced = -1.0  # the end of the last slice
        self._begun = 0  # in this slice
        self._cores, self._counted, self._cpu_s, self.busy = cores, 0.0, 0.0, False
        self.waiting = 0
        self.refused = 0

    @property
    def cost_s(self) -> float:
        """Wall time that the core takes for a request now, refusals and all."""
        return self._cost_s

    def _level(self, now: float, route: int, tenant: int, takes: bool) -> int:
        within = not self._quotas or (
            0 <= tenant < len(self._quotas) and self._quotas[tenant].within(now, takes)
        )
        return route if within else route + len(self._queues)

    def join(
        self,
        now: float,
        since: float,
        wait_s: float,
        route: int,
        tenant: int,
        held: int,
        item: object,
    ) -> Waiting | None:
        """Let a request in that came at `since` and waits `wait_s` for its answer, or None: it is to be
        refused.

        `held` is how many of the places are taken, with its own. A tenant below 0 or unknown has no share."""
        queue = self._queues[route]
        within_s = min(queue.within_s, wait_s)
        end, by = since + within_s, self._by(queue, since, within_s)
        if self._refuses(now, end, by, route, tenant, held, True):
            self.refused += 1
            return None
        waiting = Waiting(item, by, end)
        queue.entries.append(waiting)
        queue.patience_s = by - since
        if not self.waiting:
            self._turned = now
        self.waiting += 1
        return waiting

    def resize(self, places: int) -> None:
        """There may be so many requests at once from now on."""
        self._places = max(1, places)

    def learned(
        self, routes: Sequence[str], tenants: Sequence[str]
    ) -> tuple[float, float, dict[str, float], dict[str, tuple[float, float]]]:
        """What would be lost with this process: the time of a request, how long that was watched, what hosts
        take by class, and the tenants' tokens."""
        hosts = {name: queue.hosts_s for name, queue in zip(routes, self._queues, strict=True)}
        quotas = {name: quota.state for name, quota in zip(tenants, self._quotas, strict=False)}
        return self._cost_s, self._learned_s, hosts, quotas

    def learn(
        self,
        cost_s: float,
        learned_s: float,
        hosts_s: Sequence[float],
        quotas: Sequence[tuple[float, float] | None],
    ) -> None:
        """Go on with what another process has learned."""
        if cost_s > 0.0:
            self._cost_s, self._learned_s = cost_s, max(1e-9, min(self._tuning.memory_s, learned_s))
        for queue, took_s in zip(self._queues, hosts_s, strict=True):
            queue.hosts_s = max(0.0, took_s)
        for quota, state in zip(self._quotas, quotas, strict=False):
            if state is not None:
                quota.state = state

    def turns_away(
        self, now: float, since: float, wait_s: float, route: int, tenant: int, held: int
    ) -> bool:
        """Whether a request would be refused, asked before it has cost a connection. It counts as refused
        then; a tenant's share is looked at and not used."""
        queue = self._queues[route]
        within_s = min(queue.within_s, wait_s)
        by = self._by(queue, since, within_s)
        refused = self._refuses(now, since + within_s, by, route, tenant, held, False)
        self.refused += refused
        return refused

    def _by(self, queue: _Queue, since: float, within_s: float) -> float:
        """When it has to begin."""
        told = self._tuning
        return since + told.use * within_s - min(queue.hosts_s, told.hosts_most * within_s)

    def _refuses(
        self, now: float, end: float, by: float, route: int, tenant: int, held: int, takes: bool
    ) -> bool:
        told = self._tuning
        if now >= end - told.least_left_s or held > self._places:
            return True
        if not self.waiting and 2 * held <= self._places:
            return False
        keeps = self._keeps[self._level(now, route, tenant, takes)]
        part = 1.0 - self._squeezed * (1.0 - keeps)
        room_s, ahead_s = told.full * max(0.0, by - now), self._wait_s(self._queues[route], by)
        tight = told.tight * part
        if keeps > self._least and (ahead_s > tight * room_s or held > tight * self._places):
            self._squeezed = min(1.0, self._squeezed + told.squeeze)
        return (ahead_s > 0.0 and ahead_s > part * room_s) or held > part * self._places

    def _wait_s(self, queue: _Queue, by: float) -> float:
        """The wait predicted for one that joins: for those who begin first, and those with less patience who
        are going to come and pass it."""
        if self._learned_s < self._tuning.known_s:
            return 0.0
        ahead, load, passing = float(len(queue.entries)), 0.0, []
        for other in self._queues:
            if other is queue:
                continue
            if other.entries:
                ahead += other.due_before(by)
            if other.patience_s < queue.patience_s and other.rate > 0.0:
                load += other.rate * self._cost_s
                passing.append(other)
        wait_s = ahead * self._cost_s
        if passing and wait_s:
            longest_s = wait_s / (1.0 - min(0.9, load))
            for other in passing:
                wait_s += (
                    other.rate * self._cost_s * min(longest_s, queue.patience_s - other.patience_s)
                )
        return wait_s

    def leave(self, waiting: Waiting) -> None:
        """Its client has gone before it began."""
        if waiting.item is not None:
            waiting.item = None
            self.waiting -= 1

    def take(self) -> object | None:
        """The request to begin next; None where none waits."""
        first: _Queue | None = None
        for queue in self._queues:
            entries = queue.entries
            while entries and entries[0].item is None:
                entries.popleft()
            if entries and (first is None or entries[0].by < first.entries[0].by):
                first = queue
        if first is None:
            return None
        waiting = first.entries.popleft()
        item, waiting.item = waiting.item, None
        self.waiting -= 1
        self._begun += 1
        first.begun += 1
        return item

    def take_overdue(self, now: float) -> object | None:
        """A request that can no longer be answered with worth, to be refused though its turn has not come."""
        for queue in self._queues:
            while queue.entries and (queue.entries[0].item is None or queue.entries[0].end <= now):
                waiting = queue.entries.popleft()
                if waiting.item is not None:
                    item, waiting.item = waiting.item, None
                    self.waiting -= 1
                    return item
        return None

    def hopeless(self, now: float, since: float, wait_s: float, route: int) -> bool:
        """Whether a request whose turn has come can no longer be answered with worth: it waited for longer
        than was predicted, or hosts have become slower."""
        told, queue = self._tuning, self._queues[route]
        within_s = min(queue.within_s, wait_s)
        needs_s = max(told.least_left_s, min(queue.hosts_s, told.hosts_most * within_s))
        return now >= since + within_s - (needs_s if self.waiting else told.least_left_s)

    def slice_s(self, now: float) -> float:
        """For how long requests may begin now. Grows with the time that all else has taken since the last
        slice, so that the core does not get so busy reading and refusing that it begins nothing (receive
        livelock; Mogul and Ramakrishnan, ACM TOCS 1997)."""
        told, backlog = self._tuning, 0.0 <= self._sliced == self._turned
        passed = now - self._sliced if backlog else 0.0
        return max(told.slice_s, told.slice_part * passed)

    def sliced(self, now: float) -> None:
        """A slice has ended."""
        if self._begun:
            passed = max(1e-6, min(now - self._turned, self._tuning.longest_step_s))
            # An average over time, not over requests: what is predicted is how fast a queue moves.
            self._squeezed *= math.exp(-passed / self._tuning.relax_s)
            # A plain mean at first: a queue that began beginning and got no answers yet looks too quick.
            self._learned_s = min(self._tuning.memory_s, self._learned_s + passed)
            weight = max(
                1.0 - math.exp(-passed / self._tuning.memory_s), min(1.0, passed / self._learned_s)
            )
            rate = 1.0 / self._cost_s if self._cost_s else 0.0
            rate += weight * (self._begun / passed - rate)
            self._cost_s = 1.0 / rate
            for queue in self._queues:
                queue.rate += weight * (queue.begun / passed - queue.rate)
                queue.begun = 0
        self._begun, self._turned, self._sliced = 0, now, now

    def used(self, now: float, cpu_s: float) -> None:
        """Told now and then how much CPU time the process has used so far."""
        if (passed := now - self._counted) >= self._tuning.busy_over_s:
            self.busy = cpu_s - self._cpu_s > self._tuning.busy * min(1.0, self._cores) * passed
            self._counted, self._cpu_s = now, cpu_s

    def answered(self, route: int, took_s: float) -> None:
        """An answer of a host came `took_s` after its request had begun."""
        queue = self._queues[route]
        queue.hosts_s += (took_s - queue.hosts_s) / 32 if queue.hosts_s else took_s
