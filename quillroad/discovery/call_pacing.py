"""When the next call to the platform's discovery begins, beside or after the last one. No I/O.

A call that was made while discovery was silent may never be answered, so a call that was open when
discovery came back must not delay the next one. Two pacings differ in whose service it is:

- `AgentPacing`, for the agent on the gateway's own machine: calls overlap. A new one begins every
  `CALL_INTERVAL_S`, whether or not the earlier ones were answered, also while a watch is open,
  because nothing distinguishes a watch that fell silent from one without changes. So a change that
  the agent has is known at most one interval and the time of one answer later, after an outage of
  any length. Each call waits for longer than an interval, so that a slow agent can answer it.
- `SharedPacing`, for one service that all gateways share: one call after another, in rounds
  (`poll_schedule.py`). Overlapping calls would multiply the load on it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from quillroad.discovery.freshness import SILENCE_S, EndpointFreshness
from quillroad.discovery.poll_schedule import PollSchedule

# From one call to the agent to the next. Half of the 500 ms in which a drain must take effect is
# left for the answer and for an event loop that is held up.
CALL_INTERVAL_S = 0.25
# How long a call to the agent waits for the first byte: most calls shortly, so that few are open,
# and one in `PATIENT_CALL_EVERY` for as long as a watch may be silent.
SHORT_PATIENCE_S = 0.75
LONG_PATIENCE_S = SILENCE_S
PATIENT_CALL_EVERY = 3
MAX_OVERLAPPING_CALLS = 8
# Rate of bytes that calls beside an open watch may cost. An agent that answers each call with the
# whole of a long list is called less often while its watch is heard.
RENEWAL_BYTES_PER_S = 16 * 1024


class EndedCall(NamedTuple):
    """What a call brought; times are in seconds of a monotonic clock.

    `is_silent`: it was given up for want of any byte. `broke_off`: a part of a list was left.
    `has_watch`: a watch on another call is open.
    """

    began_at: float
    ended_at: float
    list_received: bool
    broke_off: bool
    is_silent: bool
    has_watch: bool


class CallPacing(Protocol):
    """When calls begin, and how long they wait; all times are in seconds."""

    max_calls: int  # open at the same time

    def start_s(self, now: float) -> float:
        """Return the time until the first call."""

    def patience_s(self) -> float:
        """Return how long the call that begins now waits for its first byte."""

    def overlap_s(self, now: float, has_watch: bool) -> float | None:
        """Return the time from the start of a call to the next; None: not before it ends."""

    def wait_s(self, ended: EndedCall) -> float | None:
        """Return the time from the end of a call to the next; None: as `overlap_s` said."""

    def heard(self, now: float) -> None:
        """Record a sign of life of discovery."""

    def answered(self, now: float, size: int) -> float:
        """Record that a call was answered by `size` bytes; returns the least time to the next."""

    def moved(self, now: float) -> None:
        """Record the switch to another discovery service."""

    def set_gateway_count(self, gateway_index: int, gateway_count: int) -> None:
        """Set the number of gateways that call the service, and this one's index, from 0."""


class AgentPacing:
    """Pacing of overlapping calls to the gateway's own agent.

    `draw` returns a random number from 0 to below 1.
    """

    max_calls = MAX_OVERLAPPING_CALLS

    def __init__(self, draw: Callable[[], float]) -> None:
        self._retries = PollSchedule(1, 0, draw, has_own_agent=True)
        self._calls = 0
        self._excess_bytes = 0.0  # received above `RENEWAL_BYTES_PER_S`, as of `_counted_at`
        self._counted_at = 0.0

    def start_s(self, now: float) -> float:
        """Return 0: no other gateway calls the agent."""
        return 0.0

    def patience_s(self) -> float:
        """Return how long the call that begins now waits for its first byte."""
        is_patient = self._calls % PATIENT_CALL_EVERY == 0
        self._calls += 1
        return LONG_PATIENCE_S if is_patient else SHORT_PATIENCE_S

    def overlap_s(self, now: float, has_watch: bool) -> float:
        """Return the time from the start of a call to the next."""
        excess_s = self.answered(now, 0)
        return max(CALL_INTERVAL_S, excess_s) if has_watch else CALL_INTERVAL_S

    def wait_s(self, ended: EndedCall) -> float | None:
        """Return the time from the end of a call to the next; None: as `overlap_s` said."""
        if ended.list_received:
            self._retries.succeeded(ended.ended_at - ended.began_at)
        if ended.has_watch:
            return None
        if ended.is_silent:
            return 0.0 if ended.list_received else None
        return self._retries.wait_s(0.0, ended.list_received or ended.broke_off)

    def heard(self, now: float) -> None:
        """Do nothing: the next call begins whether or not this one is heard."""

    def answered(self, now: float, size: int) -> float:
        """Record that a call was answered by `size` bytes; returns the least time to the next."""
        spent = RENEWAL_BYTES_PER_S * max(0.0, now - self._counted_at)
        self._excess_bytes = max(0.0, self._excess_bytes - spent) + size
        self._counted_at = now
        return self._excess_bytes / RENEWAL_BYTES_PER_S

    def moved(self, now: float) -> None:
        """Do nothing: calls to a new agent are made as those to the old one."""

    def set_gateway_count(self, gateway_index: int, gateway_count: int) -> None:
        """Do nothing: no other gateway calls the agent."""


class SharedPacing:
    """Pacing of calls to a service that all gateways share: one after another, in rounds.

    While the service is silent two may be open, but a call begins no more often for that.
    """

    max_calls = 2

    def __init__(self, schedule: PollSchedule, now: float) -> None:
        self._schedule = schedule
        self._freshness = EndpointFreshness(now)

    def start_s(self, now: float) -> float:
        """Return the time until this gateway's slot in the round."""
        return self._schedule.start_s(self._freshness.left_s(now))

    def patience_s(self) -> float:
        """Return how long the call that begins now waits for its first byte."""
        return self._schedule.patience_s()

    def overlap_s(self, now: float, has_watch: bool) -> float | None:
        """Return the time from the start of a call to a silent service to the next one."""
        if has_watch or not self._schedule.is_silent:
            return None
        return self._schedule.silent_round_s()

    def wait_s(self, ended: EndedCall) -> float | None:
        """Return the time from the end of a call to this gateway's next one."""
        took_s = ended.ended_at - ended.began_at
        is_silent = ended.is_silent and not ended.list_received
        if ended.list_received:
            self._schedule.succeeded(took_s)
        else:
            self._freshness.failed(ended.began_at)
        if is_silent and self._schedule.is_silent:
            return None
        # Silence usually affects all gateways at once, the end of a watch only this one.
        ended_alone = ended.list_received and not ended.is_silent
        return self._schedule.wait_s(
            self._freshness.left_s(ended.ended_at),
            ended.broke_off or ended_alone,
            0.0 if ended.list_received else took_s,
            is_silent,
        )

    def heard(self, now: float) -> None:
        """Record a sign of life of discovery."""
        self._freshness.heard(now)

    def answered(self, now: float, size: int) -> float:
        """Return 0: the size of a list does not delay calls."""
        return 0.0

    def moved(self, now: float) -> None:
        """Record the switch to another discovery service."""
        self._freshness.moved(now)

    def set_gateway_count(self, gateway_index: int, gateway_count: int) -> None:
        """Set the number of gateways that call the service, and this one's index, from 0."""
        self._schedule.set_gateway_count(gateway_index, gateway_count)
