"""Starts, confirms and ends suspicions. Does no I/O.

A member that another gateway reports as suspect or faulty is only suspect here until it has had
time to refute the report. So neither a healed partition nor a gateway that sends false reports
makes a healthy member faulty, even for a moment.
"""

from __future__ import annotations

from quillroad.membership.broadcast import Broadcaster
from quillroad.membership.member_table import MemberState, MemberStatus
from quillroad.membership.probe_burst import ProbeBurst
from quillroad.membership.state import LOSSY_NETWORK, LocalState
from quillroad.membership.suspicion import Suspicion, min_timeout_s
from quillroad.membership.view import Cause, MemberRecord

# After a partition each side reports every member of the other as faulty, and that many refutations
# take longer than a single one. Without the longer timeout healthy members count as faulty after
# each heal.
FALSE_REPORT_S = 10.0  # duration of the longer timeout after a faulty report proved false
FALSE_REPORT_FACTOR = 3.0  # applied to the minimum timeout during that time
# Maximum timeout as a multiple of the minimum during a mass failure.
MASS_FAILURE_MAX_FACTOR = 2.0
# Applied to the minimum timeout of a suspect whose timeout has expired at another gateway.
CONFIRMED_FRACTION = 0.5


class SuspicionTracker:
    """Maintains the suspicions in the state and the view records of the suspected members."""

    def __init__(self, state: LocalState, broadcaster: Broadcaster, burst: ProbeBurst) -> None:
        self._state = state
        self._broadcaster = broadcaster
        self._burst = burst
        self._false_report_at = float("-inf")

    def suspect(
        self, number: int, status: MemberStatus, reporter: int, cause: Cause, now: float
    ) -> None:
        """Start or confirm a suspicion of a member that is suspect or was reported as faulty."""
        state = self._state
        reported_faulty = status.state is MemberState.FAULTY
        suspicion = state.suspicions.get(number)
        if suspicion is None or suspicion.incarnation != status.incarnation:
            suspicion = self._begin(number, status, cause, now)
            # Other gateways have already probed the members that they report as faulty; after a
            # partition these are half of the cluster.
            if not reported_faulty and state.is_mass_failure:
                self._burst.begin(now)
        suspicion.suspector_slots |= status.suspector_slots
        if reported_faulty:
            self._shorten(suspicion, now)
        record = state.view.members[number]
        if record.state is not MemberState.SUSPECT or record.incarnation != status.incarnation:
            state.view.record(
                number,
                MemberRecord(MemberState.SUSPECT, status.incarnation, now, cause, reporter),
                now,
            )

    def _begin(self, number: int, status: MemberStatus, cause: Cause, now: float) -> Suspicion:
        """Start a suspicion; expects the member's view record not to be updated yet."""
        state = self._state
        scale = state.health.refutation_loss_factor
        min_s = scale * min_timeout_s(
            state.cluster_size, state.timing.period_s, state.timing.suspicion_min_factor
        )
        from_faulty_report = (
            status.state is MemberState.FAULTY
            and state.view.members[number].state is MemberState.ALIVE
        )
        if from_faulty_report and self._reports_were_false(now):
            min_s *= FALSE_REPORT_FACTOR
        suspicion = Suspicion(
            status.incarnation,
            now,
            min_s,
            self._max_factor(now) * min_s,
            status.suspector_slots,
            cause is not Cause.UNANSWERED,
            scale,
            from_faulty_report,
        )
        state.suspicions[number] = suspicion
        return suspicion

    def _max_factor(self, now: float) -> float:
        """Return the maximum timeout of a new suspicion as a multiple of its minimum."""
        state = self._state
        factor = state.timing.suspicion_max_factor if state.timing.lifeguard else 1.0
        if state.is_mass_failure and not self._reports_were_false(now):
            return min(factor, MASS_FAILURE_MAX_FACTOR)
        return factor

    def _shorten(self, suspicion: Suspicion, now: float) -> None:
        """Reduce the timeout to the minimum, since it has expired at another gateway already.

        Half of the minimum is enough for a member that was suspected here before the report. This
        does not hold after a partition: members that the other side still suspected when it healed
        are soon reported as faulty, and healthy ones would not refute that in time.
        """
        if (
            not suspicion.from_faulty_report
            and self._state.health.loss < LOSSY_NETWORK
            and not self._reports_were_false(now)
        ):
            suspicion.min_s *= CONFIRMED_FRACTION
        suspicion.max_s = suspicion.min_s

    def _reports_were_false(self, now: float) -> bool:
        return now - self._false_report_at < FALSE_REPORT_S

    def check_report(self, number: int, now: float) -> None:
        """Check whether a member that sent a datagram was reported as faulty, or counts as faulty.

        If so, faulty reports are treated as false for `FALSE_REPORT_S`, as after a partition, and
        all suspicions that began with one get the longer timeout. In a real mass failure none of
        the members sends anything, so the timeouts stay short.
        """
        state = self._state
        suspicion = state.suspicions.get(number)
        if suspicion is None:
            was_false = state.view.members[number].state is MemberState.FAULTY
        else:
            was_false = suspicion.from_faulty_report
        if not was_false:
            return
        if not self._reports_were_false(now):
            for other in state.suspicions.values():
                if other.from_faulty_report:
                    other.min_s *= FALSE_REPORT_FACTOR
                    other.max_s = other.min_s
        self._false_report_at = now

    def end(self, number: int) -> None:
        """Remove the suspicion of a member, if there is one."""
        self._state.suspicions.pop(number, None)

    def probe_answered(self, now: float) -> None:
        """Start the timeouts of suspicions that no other gateway may have received so far.

        An answered probe shows that this gateway's datagrams arrive. Without this, a gateway whose
        datagrams were all lost would let its suspicions expire before they can be refuted.
        """
        for number, suspicion in self._state.suspicions.items():
            if not suspicion.known_to_others:
                suspicion.known_to_others = True
                suspicion.started_at = now
                self._state.gossip_queue.put(number)

    def restart(self, now: float) -> None:
        """Restart every timeout after this process was stopped.

        Refutations may still be unread in the socket.
        """
        for suspicion in self._state.suspicions.values():
            suspicion.started_at = now

    def step(self, now: float) -> None:
        """Declare the members faulty whose suspicions were not refuted in time."""
        state = self._state
        expired = [n for n, s in state.suspicions.items() if s.expires_at <= now]
        if not expired:
            return
        # During a mass failure timeouts are so short that a gateway that has just been cut off has
        # not detected its own isolation yet.
        can_end = (
            not state.is_mass_failure or state.recent_answer(now)
        ) and state.is_fit_to_suspect(now)
        for number in expired:
            suspicion = state.suspicions[number]
            if not can_end or not suspicion.known_to_others:
                # This gateway's own datagrams may be lost, so it waits for an answered probe.
                suspicion.started_at += state.timing.period_s
            elif not suspicion.rescale(state.health.refutation_loss_factor):
                self._declare_faulty(number, suspicion, now)

    def _declare_faulty(self, number: int, suspicion: Suspicion, now: float) -> None:
        state = self._state
        del state.suspicions[number]
        if state.table.merge(number, MemberStatus(suspicion.incarnation, MemberState.FAULTY)):
            self._broadcaster.announce(number)
        record = MemberRecord(
            MemberState.FAULTY, suspicion.incarnation, now, Cause.TIMEOUT, state.number
        )
        state.view.record(number, record, now)
