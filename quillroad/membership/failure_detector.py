"""SWIM's failure detector: direct and indirect probes, and what silence leads to. Pure.

Each period one member is probed: a PING, repeated until it is answered, then through other members.
When many are suspected at once, direct-only probes take the place of full ones, some of them in
bursts (`probe_burst`).
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
DIRECT_PINGS = 3  # of a direct-only probe: with fewer, usual loss makes healthy members suspect
MAX_DIRECT_LOSS = 0.35  # fast loss from where on a direct-only probe without an answer says nothing
FULL_PROBE_PERIODS = 0.85  # length of a full probe: it ends before the next period begins
# part of a period by which its length varies, so that members do not act in step
PERIOD_JITTER = 0.2
SUSPECT_PROBERS = 2  # members of the whole cluster that probe a suspect in each gossip interval


@dataclass(slots=True)
class Probe:
    """A PING, repeated until it is answered or the probe ends. Times in seconds.

    Of a member already `doubted`, silence says nothing about this gateway's own health.
    """

    number: int
    repeat_at: float
    indirect_at: float  # when other members are asked
    ends_at: float
    doubted: bool
    direct_only: bool = False  # without indirect probes and piggybacked updates
    repeated: bool = False
    helper_heard: bool = False  # one of the asked members sent a NACK

    @property
    def due_at(self) -> float:
        """When the next step of it is due."""
        return min(self.repeat_at, self.indirect_at, self.ends_at)


class FailureDetector:
    """Probes in flight, by sequence number, and when the next ones begin."""

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

    # Beginning probes.

    def begin_period(self, now: float) -> None:
        """Probe the next member, if a period is over."""
        state = self._state
        if self._next_at > now:
            return
        period_s = state.timing.period_s * state.health.multiplier
        self._next_at = now + period_s * (1 - PERIOD_JITTER / 2 + PERIOD_JITTER * state.draw())
        number = self._targets.next(now)
        if number is not None:
            self._begin(number, now)

    def probe_suspect(self, now: float) -> None:
        """Probe a member that others suspect, and this one has not found silent yet.

        Of the whole cluster a few do so in each gossip interval: where all wait for its turn in
        their order, confirming the suspicion takes longer than its longest timeout.
        """
        state = self._state
        if not state.can_judge(now):
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
        fewest = min(unconfirmed.values())  # the fewer suspectors, the longer its timeout still is
        number = state.sample(1, [n for n, count in unconfirmed.items() if count == fewest])[0]
        if all(probe.number != number for probe in self._probes.values()):
            self._begin(number, now)

    def step_burst(self, now: float) -> None:
        """Take a step of a burst of direct-only probes, if one is due.

        Only while others answer: a member that is cut off would come back with a suspicion of
        everybody.
        """
        state = self._state
        if not self._burst.is_due(now):
            return
        count = self._burst.step(now)
        if not state.can_judge(now) or not state.recent_answer(now):
            return
        candidates = self._unheard(now)
        for number in state.sample(int(count + state.draw()), candidates):
            if not self._begin_direct(number, now, BUDGET_FRACTION, doubted=True):
                return

    def _unheard(self, now: float) -> list[int]:
        """Return the present members not heard for a period, nor probed or found silent here."""
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
            self._begin_direct(number, now, 1.0, doubted=number in self._state.suspicions)
        else:
            self._begin_full(number, now)

    def _begin_full(self, number: int, now: float) -> None:
        state = self._state
        in_flight = sum(not probe.direct_only for probe in self._probes.values())
        if in_flight >= MAX_FULL_PROBES:
            return
        sequence = self._sender.ping(number, now)
        if sequence is None:
            return  # a member that was not probed cannot be found silent
        timing = state.timing
        stretch = state.health.multiplier * state.health.probe_loss_factor
        self._probes[sequence] = Probe(
            number,
            now + timing.retransmit_s,
            now + timing.probe_timeout_s * stretch,
            now + FULL_PROBE_PERIODS * timing.period_s * stretch,
            number in state.suspicions,
        )

    def _begin_direct(self, number: int, now: float, fraction: float, doubted: bool) -> bool:
        """Begin a direct-only probe; return False where the budget or the bound is reached."""
        in_flight = sum(probe.direct_only for probe in self._probes.values())
        if in_flight >= MAX_DIRECT_PROBES:
            return False
        sequence = self._sender.ping(number, now, fraction, self._accusation(number))
        if sequence is None:
            return False
        timeout_s = self._state.timing.direct_timeout_s
        ends_at = now + DIRECT_PINGS * timeout_s * self._state.health.multiplier
        self._probes[sequence] = Probe(
            number, now + timeout_s, ends_at, ends_at, doubted, direct_only=True
        )
        return True

    def _accusation(self, number: int) -> tuple[Update, ...]:
        """Return what is said of a suspect, which only it can refute."""
        suspected = number in self._state.suspicions
        return (self._state.update_of(number),) if suspected else ()

    # Probes in flight.

    def step(self, now: float) -> None:
        """Repeat PINGs, ask other members, and end probes, each as it is due."""
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
        count = 1 if probe.doubted else state.timing.indirect_probe_count
        payload = Payload(MessageKind.PING_REQ, sequence, probe.number)
        for helper in state.sample(count, state.recently_heard(others, now)):
            self._sender.send(helper, payload, now)

    def _repeat(self, sequence: int, probe: Probe, now: float) -> None:
        timing = self._state.timing
        interval_s = timing.direct_timeout_s if probe.direct_only else timing.retransmit_s
        probe.repeat_at = now + interval_s
        probe.repeated = True
        updates = self._accusation(probe.number) if probe.direct_only else None
        payload = Payload(MessageKind.PING, sequence)
        self._sender.send(probe.number, payload, now, updates=updates)

    def acknowledged(self, datagram: Datagram, now: float) -> None:
        """Take an ACK, from the probed member or from a helper."""
        probe = self._probes.get(datagram.sequence)
        if probe is None or probe.number not in (datagram.number, datagram.about):
            return
        del self._probes[datagram.sequence]
        if probe.direct_only:
            self._burst.record_result(answered=True)
        self._state.health.record_answer(now, probe.repeated)
        self._suspicions.answered_by_anyone(now)

    def helper_heard(self, datagram: Datagram) -> None:
        """Take a NACK: the helper is reachable, whatever became of the probed member."""
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
        if not probe.doubted:
            # With no helpers asked, their silence says nothing either.
            state.health.record_no_answer(probe.helper_heard or probe.direct_only)
        state.review_health(now)
        status = state.table[probe.number]
        if status.state in ABSENT or not state.can_judge(now):
            return
        if status.state is MemberState.UNKNOWN:
            self._missing_at_start(probe.number, now)
            return
        suspicion = MemberStatus(
            status.incarnation, MemberState.SUSPECT, suspector_slot(state.number)
        )
        self._updates.apply(probe.number, suspicion, state.number, Cause.UNANSWERED, now)

    def _missing_at_start(self, number: int, now: float) -> None:
        """A member never heard of is silent: it may not have started, so others are not told."""
        state = self._state
        if now - state.started_at >= state.timing.join_timeout_s:
            record = MemberRecord(MemberState.FAULTY, 0, now, Cause.UNANSWERED, state.number)
            state.view.record(number, record, now)

    # For the core.

    def due_times(self) -> Iterator[float]:
        """Yield when a step or a period is due."""
        yield self._next_at
        for probe in self._probes.values():
            yield probe.due_at

    def clear(self) -> None:
        """Forget the probes in flight."""
        self._probes.clear()

    def shrink(self, size: int) -> None:
        """The roster has this many members now."""
        self._targets.shrink(size)
        self._probes = {s: probe for s, probe in self._probes.items() if probe.number < size}
