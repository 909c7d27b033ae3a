"""Many gateways that poll one discovery service for its list, in simulated time.

The program's own waits (`call_pacing.py`, `poll_schedule.py`) against a service that takes calls
one by one. No sockets, no clock.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from typing import NamedTuple

from quillroad.discovery.call_pacing import EndedCall, SharedPacing
from quillroad.discovery.freshness import SILENCE_S, EndpointFreshness
from quillroad.discovery.poll_schedule import PollSchedule

CALL_TIMEOUT_S = 2.0  # after which the service rejects a call that has waited
FAILURE_S = 0.005  # that a call takes which fails or is turned away at once
LATE_READ_S = 0.05  # that a caller waits longer than its patience
END_S = 60.0  # of the simulated time


class Outcome(NamedTuple):
    """When a call ends, whether it got the list, and whether it was given up without any byte."""

    end_s: float
    listed: bool
    is_silent: bool = False


@dataclass
class Service:
    """A service that takes calls one by one, each for `work_s` seconds.

    A call that would wait for longer than `overbook` times its timeout is turned away at once; one
    that waits for longer than its timeout is rejected then, and costs its work all the same. Until
    `up_s` each call fails at once. A call that was made before `hung_until_s` is never answered.
    Without `rejects_late` the service rejects no call that it took: its caller gives it up.
    """

    work_s: float
    overbook: float = 1.0
    up_s: float = 0.0
    hung_until_s: float = 0.0
    rejects_late: bool = True
    free_s: float = 0.0  # when it has done what it took on
    calls: list[float] = field(default_factory=list)

    def call(self, at: float, patience_s: float) -> Outcome:
        """Make a call at a time, whose caller waits for `patience_s` at most."""
        self.calls.append(at)
        given_up_at = at + patience_s + LATE_READ_S
        if at < self.hung_until_s:
            return Outcome(given_up_at, listed=False, is_silent=True)
        if at < self.up_s:
            return Outcome(at + FAILURE_S, listed=False)
        done = max(self.free_s, at) + self.work_s
        if done - at > self.overbook * CALL_TIMEOUT_S:
            return Outcome(at + FAILURE_S, listed=False)
        self.free_s = done
        if not self.rejects_late:
            return Outcome(min(done, given_up_at), done <= given_up_at, done > given_up_at)
        if done - at <= CALL_TIMEOUT_S:
            return Outcome(done, listed=True)
        return Outcome(at + CALL_TIMEOUT_S, listed=False)


class _Caller:
    """One gateway: its pacing, and the list that it waits for."""

    def __init__(self, pacing: PollSchedule, service: Service) -> None:
        self._schedule = pacing
        self._service = service
        self.pacing = SharedPacing(pacing, 0.0)
        self.next_call_at = END_S + 1.0
        self.listed_at = END_S

    def first_call_at(self, last_sign_at: float, silent: bool, start: bool) -> float:
        """Return when the first call begins; see `lists_after`."""
        self.pacing.heard(last_sign_at)
        freshness = EndpointFreshness(last_sign_at)
        if start:
            return self._schedule.start_s(freshness.left_s(0.0))
        noticed_at = last_sign_at + SILENCE_S if silent else 0.0
        left_s = freshness.left_s(noticed_at)
        return noticed_at + self._schedule.wait_s(left_s, answered=not silent)

    def call(self, at: float) -> EndedCall:
        """Make a call; returns how it ends."""
        outcome = self._service.call(at, self.pacing.patience_s())
        if outcome.listed:
            self.listed_at = min(self.listed_at, outcome.end_s)
        return EndedCall(
            at,
            outcome.end_s,
            list_received=outcome.listed,
            broke_off=False,
            is_silent=outcome.is_silent,
            has_watch=False,
        )


def lists_after(
    gateways: int, service: Service, seed: int, silent: bool = True, start: bool = False
) -> list[float]:
    """Seconds after which each gateway has the list again; `END_S` where it never gets it.

    At 0 all watches fall `silent`, or end; or all gateways `start`.
    """
    rng = random.Random(seed)
    callers = [
        _Caller(PollSchedule(gateways, number, rng.random), service) for number in range(gateways)
    ]
    due: list[tuple[float, int, EndedCall | None]] = []  # a call begins, or the given one ends

    def begin_at(at: float, number: int) -> None:
        if at < callers[number].next_call_at:
            callers[number].next_call_at = at
            heapq.heappush(due, (at, number, None))

    for number, caller in enumerate(callers):
        # An empty line came up to 2 s before.
        last_sign_at = 0.0 if start or not silent else -2.0 * rng.random()
        begin_at(caller.first_call_at(last_sign_at, silent, start), number)
    while due and due[0][0] <= END_S:
        at, number, ended = heapq.heappop(due)
        caller = callers[number]
        if caller.listed_at <= at:
            continue
        if ended is not None:
            wait_s = caller.pacing.wait_s(ended)
        elif at == caller.next_call_at:
            caller.next_call_at = END_S + 1.0
            call = caller.call(at)
            heapq.heappush(due, (call.ended_at, number, call))
            wait_s = caller.pacing.overlap_s(at, has_watch=False)
        else:
            continue
        if wait_s is not None:
            begin_at(at + wait_s, number)
    return [caller.listed_at for caller in callers]


def most_calls(calls: list[float], window_s: float = 1.0) -> int:
    """The most calls in any window of so many seconds."""
    calls = sorted(calls)
    most = first = 0
    for last, at in enumerate(calls):
        while calls[first] < at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
