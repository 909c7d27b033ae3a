"""SWIM's failure detector: probes members and suspects those that do not answer. Does no I/O.

Each period one member is probed by a PING that is repeated until it is answered, and then also by
indirect probes through other members. When many members are suspected at once, direct-only probes
replace full ones, some of them in bursts (`probe_burst`).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from quillroad.membership.member_table import ABSENT, MemberState, MemberStatus, suspector_slot
from quillroad.membership.member_updates import MemberUpdates
from quillroad.membership.probe_burst import BUDGET_FRACTION, ProbeBurst
from quillroad.membership.probe_targets import ProbeTargets
from quillroad.membership.sender import DatagramSender, Payload
from quillroad.membership.state import LocalState
from quillroad.membership.suspicions import SuspicionTracker
from quillroad.membership.view import Cause, MemberRecord
from quillroad.membership.wire import Datagram, MessageKind, Update

MAX_FULL_PROBES = 8  # in flight at once
MAX_DIRECT_PROBES = 40  # in flight at once
DIRECT_PINGS = 3  # per direct-only probe; with fewer, normal loss makes healthy members suspect
MAX_DIRECT_LOSS = 0.35  # fast loss from which an unanswered direct-only probe proves nothing
FULL_PROBE_PERIODS = 0.85  # duration of a full probe, which ends before the next period starts
# Fraction of a period by which its length varies, so that members do not probe in lockstep.
PERIOD_JITTER = 0.2
SUSPECT_PROBERS = 2  # members, cluster-wide, that probe a suspect in each gossip interval


@dataclass(slots=True)
class Probe:
    """A PING, repeated until it is answered or the probe ends. Times in seconds.

    With `silence_expected`, no answer says nothing about this gateway's own health.
    """

    number: int
    repeat_at: float
    indirect_at: float  # when indirect probes are requested
    ends_at: float
    silence_expected: bool
    direct_only: bool = False  # without indirect probes and piggybacked updates
    repeated: bool = False
    helper_heard: bool = False  # one of the asked members sent a NACK

    @property
    def due_at(self) -> float:
        """The time of the next step of this probe."""
        return min(self.repeat_at, self.indirect_at, self.ends_at)


class FailureDetector:
    """Schedules probes, tracks those in flight and suspects members that do not answer."""

    def __init__(
        self,
        state: LocalState,
        sender: DatagramSender,
        updates: MemberUpdates,
        suspicions: SuspicionTracker,
        burst: ProbeBurst,
        now: float,
    ) -> None:
        self._state = state
        self._sender = sender
        self._updates = updates
        self._suspicions = suspicions
        self._burst = burst
        self._targets = ProbeTargets(state)
        self._probes: dict[int, Probe] = {}
        self._next_at = now + state.draw() * state.timing.period_s

    def __len__(self) -> int:
        return len(self._probes)

    # Starting probes.

    def begin_period(self, now: float) -> None:
        """Probe the next member if the current period has ended."""
        state = self._state
        if self._next_at > now:
            return
        period_s = state.timing.period_s * state.health.multiplier
        self._next_at = now + period_s * (1 - PERIOD_JITTER / 2 + PERIOD_JITTER * state.draw())
        number = self._targets.next(now)
        if number is not None:
            self._begin(number, now)

    def probe_suspect(self, now: float) -> None:
        """Probe a suspect whose suspicion this gateway has not confirmed itself yet.

        About `SUSPECT_PROBERS` members of the whole cluster do so in each gossip interval. If all
        waited for the suspect's turn in their probe order, the suspicion would be confirmed only
        after its maximum timeout.
        """
        state = self._state
        if not state.is_fit_to_suspect(now):
            return
        own_slot = suspector_slot(state.number)
        unconfirmed = {
            n: s.suspector_slots.bit_count()
            for n, s in state.suspicions.items()
            if not s.suspector_slots & own_slot
        }
        if not unconfirmed:
            return
        if state.draw() >= SUSPECT_PROBERS * len(unconfirmed) / len(state.view.present()):
            return
        fewest = min(unconfirmed.values())  # the fewer suspectors, the longer the remaining timeout
        number = state.sample(1, [n for n, count in unconfirmed.items() if count == fewest])[0]
        if all(probe.number != number for probe in self._probes.values()):
            self._begin(number, now)

    def step_burst(self, now: float) -> None:
        """Send the direct-only probes of the next burst step if it is due.

        Sends none unless this gateway is healthy and a probe was answered recently. Otherwise a
        gateway that was cut off would suspect all other members when its network returns.
        """
        state = self._state
        if not self._burst.is_due(now):
            return
        count = self._burst.step(now)
        if not state.is_fit_to_suspect(now) or not state.recent_answer(now):
            return
        candidates = self._unheard(now)
        for number in state.sample(int(count + state.draw()), candidates):
            if not self._begin_direct(number, now, BUDGET_FRACTION, silence_expected=True):
                return

    def _unheard(self, now: float) -> list[int]:
        """Return the present members not heard for a period that this gateway can still probe.

        Leaves out members with a probe in flight and those whose suspicion it has confirmed itself.
        """
        state = self._state
        own_slot = suspector_slot(state.number)
        excluded = {probe.number for probe in self._probes.values()}
        excluded |= {n for n, s in state.suspicions.items() if s.suspector_slots & own_slot}
        since = now - state.timing.period_s
        return [
            n
            for n in state.view.present()
            if state.last_heard.get(n, since) <= since and n not in excluded
        ]

    def _begin(self, number: int, now: float) -> None:
        if self._state.is_mass_failure:
            self._begin_direct(number, now, 1.0, silence_expected=number in self._state.suspicions)
        else:
            self._begin_full(number, now)

    def _begin_full(self, number: int, now: float) -> None:
        state = self._state
        in_flight = sum(not probe.direct_only for probe in self._probes.values())
        if in_flight >= MAX_FULL_PROBES:
            return
        sequence = self._sender.ping(number, now)
        if sequence is None:
            return  # the send budget is used up: without a PING there is no probe to fail
        timing = state.timing
        stretch = state.health.multiplier * state.health.probe_loss_factor
        self._probes[sequence] = Probe(
            number,
            now + timing.retransmit_s,
            now + timing.probe_timeout_s * stretch,
            now + FULL_PROBE_PERIODS * timing.period_s * stretch,
            number in state.suspicions,
        )

    def _begin_direct(
        self, number: int, now: float, fraction: float, silence_expected: bool
    ) -> bool:
        """Start a direct-only probe; return False if the send budget or probe limit is reached."""
        in_flight = sum(probe.direct_only for probe in self._probes.values())
        if in_flight >= MAX_DIRECT_PROBES:
            return False
        sequence = self._sender.ping(number, now, fraction, self._suspicion_update(number))
        if sequence is None:
            return False
        timeout_s = self._state.timing.direct_timeout_s
        ends_at = now + DIRECT_PINGS * timeout_s * self._state.health.multiplier
        self._probes[sequence] = Probe(
            number, now + timeout_s, ends_at, ends_at, silence_expected, direct_only=True
        )
        return True

    def _suspicion_update(self, number: int) -> tuple[Update, ...]:
        """Return the suspicion of a member as an update, which only that member can refute."""
        suspected = number in self._state.suspicions
        return (self._state.update_of(number),) if suspected else ()

    # Probes in flight.

    def step(self, now: float) -> None:
        """Repeat PINGs, request indirect probes and end probes that are due."""
        for sequence, probe in list(self._probes.items()):
            if probe.ends_at <= now:
                del self._probes[sequence]
                self._unanswered(probe, now)
                continue
            if probe.indirect_at <= now:
                probe.indirect_at = probe.ends_at
                self._request_indirect(sequence, probe, now)
            if probe.repeat_at <= now:
                self._repeat(sequence, probe, now)

    def _request_indirect(self, sequence: int, probe: Probe, now: float) -> None:
        state = self._state
        others = [n for n in state.unsuspected() if n != probe.number]
        count = 1 if probe.silence_expected else state.timing.indirect_probe_count
        payload = Payload(MessageKind.PING_REQ, sequence, probe.number)
        for helper in state.sample(count, state.recently_heard(others, now)):
            self._sender.send(helper, payload, now)

    def _repeat(self, sequence: int, probe: Probe, now: float) -> None:
        timing = self._state.timing
        interval_s = timing.direct_timeout_s if probe.direct_only else timing.retransmit_s
        probe.repeat_at = now + interval_s
        probe.repeated = True
        updates = self._suspicion_update(probe.number) if probe.direct_only else None
        payload = Payload(MessageKind.PING, sequence)
        self._sender.send(probe.number, payload, now, updates=updates)

    def acknowledged(self, datagram: Datagram, now: float) -> None:
        """Process an ACK from the probed member or from a helper."""
        probe = self._probes.get(datagram.sequence)
        if probe is None or probe.number not in (datagram.number, datagram.about):
            return
        del self._probes[datagram.sequence]
        if probe.direct_only:
            self._burst.record_result(answered=True)
        self._state.health.record_answer(now, probe.repeated)
        self._suspicions.probe_answered(now)

    def helper_heard(self, datagram: Datagram) -> None:
        """Process a NACK, which shows that the helper is reachable."""
        probe = self._probes.get(datagram.sequence)
        if probe is not None:
            probe.helper_heard = True

    def _unanswered(self, probe: Probe, now: float) -> None:
        state = self._state
        if probe.direct_only:
            self._burst.record_result(answered=False)
            if state.health.fast_loss >= MAX_DIRECT_LOSS:
                self._begin_full(probe.number, now)
                return
        if not probe.silence_expected:
            # A direct-only probe asks no helpers, so a missing NACK is no evidence of an own fault.
            state.health.record_no_answer(probe.helper_heard or probe.direct_only)
        state.review_health(now)
        status = state.table[probe.number]
        if status.state in ABSENT or not state.is_fit_to_suspect(now):
            return
        if status.state is MemberState.UNKNOWN:
            self._missing_at_start(probe.number, now)
            return
        suspicion = MemberStatus(
            status.incarnation, MemberState.SUSPECT, suspector_slot(state.number)
        )
        self._updates.apply(probe.number, suspicion, state.number, Cause.UNANSWERED, now)

    def _missing_at_start(self, number: int, now: float) -> None:
        """Handle an unanswered probe of a member that was never heard of.

        The member may not have started yet, so it is recorded as faulty in the own view only, after
        `join_timeout_s`, and not announced to others.
        """
        state = self._state
        if now - state.started_at >= state.timing.join_timeout_s:
            record = MemberRecord(MemberState.FAULTY, 0, now, Cause.UNANSWERED, state.number)
            state.view.record(number, record, now)

    # Called by the core.

    def due_times(self) -> Iterator[float]:
        """Yield the times at which the next period and the steps of each probe are due."""
        yield self._next_at
        for probe in self._probes.values():
            yield probe.due_at

    def clear(self) -> None:
        """Drop the probes in flight."""
        self._probes.clear()

    def shrink(self, size: int) -> None:
        """Drop the members from number `size` on, after the roster has changed."""
        self._targets.shrink(size)
        self._probes = {s: probe for s, probe in self._probes.items() if probe.number < size}
