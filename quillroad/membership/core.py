"""The membership protocol of one gateway: SWIM (Das 2002) with Lifeguard (Dadgar 2018).

Does no I/O: the caller passes in datagrams and the time, sends the resulting datagrams, and reads
the changes of the view and the time of the next tick. Each concern has a module of its own; this
one connects them and dispatches datagrams and ticks.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from quillroad.membership.anti_entropy import AntiEntropy
from quillroad.membership.broadcast import Broadcaster
from quillroad.membership.duplicate_identity import DuplicateIdentity
from quillroad.membership.failure_detector import FailureDetector
from quillroad.membership.gossip import Gossip
from quillroad.membership.indirect_probe import IndirectProbes
from quillroad.membership.member_table import MemberState, MemberStatus, MemberTable
from quillroad.membership.member_updates import MemberUpdates
from quillroad.membership.probe_burst import ProbeBurst
from quillroad.membership.rate_limiter import RateLimiter
from quillroad.membership.refutation import Refutation
from quillroad.membership.rejoin import RejoinProbes
from quillroad.membership.roster import Address, Roster
from quillroad.membership.sender import GOSSIP, DatagramSender, Outgoing, Payload
from quillroad.membership.state import LocalState
from quillroad.membership.suspicions import SuspicionTracker
from quillroad.membership.table_transfer import TableTransfer
from quillroad.membership.timing import Timing
from quillroad.membership.view import Cause, Change, View
from quillroad.membership.wire import (
    Datagram,
    DatagramError,
    DropReason,
    Header,
    MessageKind,
    OtherVersionError,
    decode,
)


class Core:
    """Protocol of one run of a member, from its start to its end.

    `draw` returns a random number in [0, 1); `run_id` is 32 random bits, new with each start. The
    caller has to empty `outbox` and `changes`. All times are seconds of a monotonic clock.
    """

    def __init__(
        self, roster: Roster, timing: Timing, now: float, draw: Callable[[], float], run_id: int
    ) -> None:
        state = self.state = LocalState(roster, timing, now, draw, run_id)
        sender = self._sender = DatagramSender(state)
        tables = TableTransfer(state, sender)
        burst = self._burst = ProbeBurst()
        self._broadcaster = Broadcaster(state, sender, tables, now)
        self._suspicions = SuspicionTracker(state, self._broadcaster, burst)
        refutation = Refutation(state, self._broadcaster)
        updates = MemberUpdates(state, self._broadcaster, self._suspicions, refutation)
        self._updates = updates
        self._detector = FailureDetector(state, sender, updates, self._suspicions, burst, now)
        self._indirect_probes = IndirectProbes(state, sender)
        self._rejoin = RejoinProbes(state, sender, tables, now)
        self._gossip = Gossip(state, sender, tables, burst)
        self._anti_entropy = AntiEntropy(state, sender, tables, updates, now)
        self._duplicates = DuplicateIdentity(state, sender)
        self._receive_limits: dict[int, RateLimiter] = {}  # by member
        self._next_gossip_at = now + draw() * timing.gossip_interval_s
        self._next_tick_at = now
        state.table.merge(state.number, state.own_status)
        self._broadcaster.announce(state.number)

    # Read by the caller.

    @property
    def view(self) -> View:
        """The current view; the same object until something changes."""
        return self.state.view.snapshot(self.state.incarnation)

    @property
    def number(self) -> int:
        """This member's number."""
        return self.state.number

    @property
    def incarnation(self) -> int:
        """This member's incarnation."""
        return self.state.incarnation

    @property
    def roster(self) -> Roster:
        """The members and their addresses."""
        return self.state.roster

    @property
    def table(self) -> MemberTable:
        """The merged status of each member."""
        return self.state.table

    @property
    def dropped(self) -> Counter[DropReason]:
        """Number of received datagrams, or parts of them, that were dropped, by reason."""
        return self.state.dropped

    @property
    def unsent(self) -> int:
        """Number of datagrams not sent for lack of send budget."""
        return self._sender.unsent

    @property
    def outbox(self) -> list[Outgoing]:
        """Datagrams for the caller to send."""
        return self._sender.outbox

    @outbox.setter
    def outbox(self, outgoing: list[Outgoing]) -> None:
        """Replace the outbox, with an empty list once its datagrams are sent."""
        self._sender.outbox = outgoing

    @property
    def changes(self) -> list[Change]:
        """Changes of the view, in order of time."""
        return self.state.view.changes

    @changes.setter
    def changes(self, changes: list[Change]) -> None:
        """Replace the changes, with an empty list once they are read."""
        self.state.view.changes = changes

    def last_heard(self, number: int) -> float | None:
        """Return the time of the latest datagram from a member, or None if there was none."""
        return self.state.last_heard.get(number)

    @property
    def pending_entries(self) -> int:
        """Number of entries of temporary state, which is bounded and empties when all is idle."""
        return (
            len(self.state.suspicions)
            + len(self._indirect_probes)
            + len(self.state.gossip_queue)
            + len(self._detector)
        )

    # Ticks.

    def arm(self, now: float) -> float:
        """Return when `tick` is due next; to be called after each call that may change it.

        A tick that comes later than that counts as a sign of a slow process.
        """
        if self.state.has_left:  # steps that no longer run would stay due and cause a busy loop
            self._next_tick_at = now + self.state.timing.period_s
        else:
            self._next_tick_at = max(min(self._due_times(now)), now)
        return self._next_tick_at

    def _due_times(self, now: float) -> list[float]:
        times = [*self._detector.due_times(), self._rejoin.next_at]
        times += (suspicion.expires_at for suspicion in self.state.suspicions.values())
        if self._has_gossip():
            times.append(self._next_gossip_at)
        if self._burst.is_active(now):
            times.append(self._burst.next_at)
        for due in (self._broadcaster.next_due(), self._indirect_probes.next_due()):
            if due is not None:
                times.append(due)
        return times

    def _has_gossip(self) -> bool:
        return bool(len(self.state.gossip_queue) or self.state.suspicions)

    def tick(self, now: float) -> None:
        """Run all steps that are due."""
        late_s = now - self._next_tick_at
        if late_s > 0 and self.state.health.record_tick(late_s, now):
            self._resume(now)
        self.state.review_health(now)
        self._indirect_probes.step(now)
        self._detector.step(now)
        self._suspicions.step(now)
        if self.state.has_left:
            return
        self._detector.begin_period(now)
        self._rejoin.step(now)
        self._gossip_step(now)
        self._broadcaster.step(now)
        self._detector.step_burst(now)
        self.state.review_health(now)

    def _gossip_step(self, now: float) -> None:
        if self._next_gossip_at > now or not self._has_gossip():
            return
        self._next_gossip_at = now + self.state.timing.gossip_interval_s
        if self.state.suspicions:
            self._detector.probe_suspect(now)
        if len(self.state.gossip_queue):
            self._gossip.round(now)

    def _resume(self, now: float) -> None:
        """Drop probes and pending updates after this process was stopped.

        Answers may still be unread in the socket, and pending updates are out of date. Without
        this, a process that was stopped would suspect all other members when it resumes.
        """
        self._detector.clear()
        self._indirect_probes.clear()
        self._suspicions.restart(now)
        self.state.gossip_queue.clear()
        self._broadcaster.pending.clear()
        self._broadcaster.announce(self.state.number)
        self.state.view.touch(now)

    # Datagrams.

    def receive(self, source: Address, data: bytes, now: float) -> None:
        """Process a datagram with any content; a dropped one is counted by reason."""
        number = self.state.roster.number_of(source)
        if number is None:
            self.state.dropped[DropReason.STRANGER] += 1
            return
        reason = self._drop_reason(number, len(data), now)
        if reason is not None:
            self.state.dropped[reason] += 1
            return
        try:
            datagram = decode(data)
        except DatagramError as error:
            self.state.dropped[error.reason] += 1
            if isinstance(error, OtherVersionError) and error.header.number == number:
                self._heard(error.header, now)
            return
        if datagram.number != number:
            self.state.dropped[DropReason.NUMBER] += 1
            return
        self._process(datagram, now)

    def _drop_reason(self, number: int, size: int, now: float) -> DropReason | None:
        """Return why a datagram from this member is dropped before decoding, or None."""
        if number == self.state.number:
            return DropReason.OWN_ADDRESS
        limit = self._receive_limits.get(number)
        if limit is None:
            timing = self.state.timing
            limit = RateLimiter(timing.max_bytes_per_s, timing.max_datagrams_per_s)
            self._receive_limits[number] = limit
        return None if limit.try_acquire(size, now) else DropReason.FLOOD

    def _process(self, datagram: Datagram, now: float) -> None:
        header = Header(datagram.version, datagram.number, datagram.run_id, datagram.incarnation)
        self._heard(header, now)
        for update in datagram.updates:
            self._updates.apply_gossip(update, datagram.number, now)
        self._dispatch(datagram, now)
        self._anti_entropy.compare(datagram, now)
        self.state.review_health(now)

    def _heard(self, header: Header, now: float) -> None:
        """Record that a datagram shows its sender to be alive in the incarnation of its header."""
        state = self.state
        number = header.number
        state.health.record_heard(now)
        state.last_heard[number] = now
        state.last_incarnation[number] = header.incarnation
        self._duplicates.record_run(header, now)
        self._suspicions.check_report(number, now)
        status = MemberStatus(header.incarnation, MemberState.ALIVE)
        self._updates.apply(number, status, number, Cause.HEARD, now)

    def _dispatch(self, datagram: Datagram, now: float) -> None:
        match datagram.kind:
            case MessageKind.PING:
                payload = Payload(MessageKind.ACK, datagram.sequence)
                self._sender.send(datagram.number, payload, now)
            case MessageKind.PING_REQ:
                self._indirect_probes.request(datagram, now)
            case MessageKind.ACK:
                self._detector.acknowledged(datagram, now)
                self._indirect_probes.acknowledged(datagram, now)
            case MessageKind.NACK:
                self._detector.helper_heard(datagram)
            case MessageKind.DUPLICATE:
                self.state.health.record_duplicate(datagram.number, now)
            case MessageKind.DIGESTS:
                self._anti_entropy.send_differing(datagram, now)
            case MessageKind.TABLE:
                self._anti_entropy.read_table(datagram, now)

    # Leaving and roster changes.

    def leave(self, now: float) -> None:
        """Announce to as many members as the budget allows that this one leaves; stop probing."""
        state = self.state
        state.has_left = True
        state.table.merge(state.number, MemberStatus(state.incarnation, MemberState.LEFT))
        self._broadcaster.announce(state.number)
        self._detector.clear()
        if self._broadcaster.pending:
            self._broadcaster.flush(now)
        for number in state.sample(len(state.roster), state.view.present()):
            if not self._sender.send(number, GOSSIP, now):
                break

    def change_roster(self, roster: Roster, now: float) -> None:
        """Replace the roster by a longer or shorter one, or one with other addresses.

        Each number must stand for the same member as before. Raises `ValueError` if this member's
        own number differs.
        """
        state = self.state
        if roster.number != state.number:
            raise ValueError("the own number in a new roster differs from the present one")
        state.roster = roster
        if len(roster) > len(state.table):
            state.table.grow(len(roster))
        for number in range(len(roster)):
            if number != state.number and number not in state.view.members:
                state.view.add(number, now)
        for number in [n for n in state.view.members if n >= len(roster)]:
            self._remove(number, now)
        self._detector.shrink(len(roster))

    def _remove(self, number: int, now: float) -> None:
        """Drop the state of a member that was removed from the roster."""
        state = self.state
        state.view.remove(number, now)
        state.suspicions.pop(number, None)
        state.last_heard.pop(number, None)
        state.last_incarnation.pop(number, None)
        state.gossip_queue.drop(number)
        # Otherwise the table would always differ from that of a member started with this roster.
        state.table.forget(number)
        self._duplicates.forget(number)
        self._broadcaster.pending.discard(number)
        self._receive_limits.pop(number, None)
