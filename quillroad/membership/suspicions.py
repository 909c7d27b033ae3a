"""Beginning, confirming and ending suspicions. Pure.

A member that is suspected, or said to be faulty by another, is only suspect here until it had the
time to refute that. So neither a healed partition nor a liar makes a healthy member faulty even for
a moment.
"""

from __future__ import annotations

from quillroad.membership.broadcast import Broadcaster
from quillroad.membership.member_table import MemberState, MemberStatus
from quillroad.membership.probe_burst import ProbeBurst
from quillroad.membership.state import LOSSY_NETWORK, LocalState
from quillroad.membership.suspicion import Suspicion, min_timeout_s
from quillroad.membership.view import Cause, MemberRecord

# After a partition each side says of the whole other that it is faulty, and so many refutations
# take longer than one does. Without the longer timeout healthy members count as faulty after each
# heal.
FALSE_REPORT_S = 10.0  # for so long after a member spoke that was reported faulty
FALSE_REPORT_FACTOR = 3.0  # on the shortest timeout in that time
MASS_FAILURE_MAX_FACTOR = 2.0  # longest timeout in shortest ones, while many fail and others answer
# of the shortest timeout, for a suspect that another has waited for already
CONFIRMED_FRACTION = 0.5


class SuspicionTracker:
    """Keeps the suspicions of the state, and the records of the suspected members."""

    def __init__(self, state: LocalState, broadcaster: Broadcaster, burst: ProbeBurst) -> None:
        self._state = state
        self._broadcaster = broadcaster
        self._burst = burst
        self._false_report_at = float("-inf")

    def suspect(
        self, number: int, status: MemberStatus, reporter: int, cause: Cause, now: float
    ) -> None:
        """A member is suspected, or reported faulty by another."""
        state = self._state
        reported_faulty = status.state is MemberState.FAULTY
        suspicion = state.suspicions.get(number)
        if suspicion is None or suspicion.incarnation != status.incarnation:
            suspicion = self._begin(number, status, cause, now)
            # Members reported faulty were probed by others: after a partition that is half of the
            # cluster.
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
        """Begin a suspicion; the member's record is still that from before."""
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
        """Return the longest timeout of a new suspicion, in shortest ones."""
        state = self._state
        factor = state.timing.suspicion_max_factor if state.timing.lifeguard else 1.0
        if state.is_mass_failure and not self._reports_were_false(now):
            return min(factor, MASS_FAILURE_MAX_FACTOR)
        return factor

    def _shorten(self, suspicion: Suspicion, now: float) -> None:
        """Another member has waited for a refutation already: the shortest timeout is left.

        Half of that is enough for one suspected here before. Not after a partition: what the other
        side suspected when it healed is reported faulty by it soon, and healthy members would not
        refute in time.
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
        """A member speaks: was it reported faulty, or does it count as that?

        Then reports are false for now, as after a partition, and those like it get the longer
        timeout. Where many are faulty indeed, none of them speaks.
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
        """The member is no longer suspect."""
        self._state.suspicions.pop(number, None)

    def answered_by_anyone(self, now: float) -> None:
        """A probe was answered: what goes out now is heard.

        Of a suspicion that began here nobody may have heard before, so its timeout begins only now.
        Without this, a member that nobody could hear ends its suspicions before anybody can refute
        them.
        """
        for number, suspicion in self._state.suspicions.items():
            if not suspicion.others_know:
                suspicion.others_know = True
                suspicion.started_at = now
                self._state.gossip_queue.put(number)

    def restart(self, now: float) -> None:
        """This process stood still: refutations may lie unread, so every timeout begins anew."""
        for suspicion in self._state.suspicions.values():
            suspicion.started_at = now

    def step(self, now: float) -> None:
        """End the suspicions that were not refuted in time."""
        state = self._state
        expired = [n for n, s in state.suspicions.items() if s.expires_at <= now]
        if not expired:
            return
        # Where timeouts are short, a member that was cut off just now has not had the time to
        # notice.
        can_end = (not state.is_mass_failure or state.recent_answer(now)) and state.can_judge(now)
        for number in expired:
            suspicion = state.suspicions[number]
            if not can_end or not suspicion.others_know:
                # It cannot know whether it is heard itself, and waits until a probe is answered.
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
