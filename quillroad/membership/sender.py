"""Builds datagrams with piggybacked updates, within the send budget, into an outbox.

Does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from quillroad.membership.member_table import MemberState, MemberStatus, PackedStatuses
from quillroad.membership.rate_limiter import RateLimiter
from quillroad.membership.state import LocalState
from quillroad.membership.wire import (
    MAX_DATAGRAM_BYTES,
    MAX_UPDATES,
    VERSION,
    Datagram,
    MessageKind,
    Update,
    encode,
)

BROADCAST_TARGET = -1  # target number of the broadcast address
# of the send budget, for datagrams that can wait; the rest is for probes and their answers
DEFERRABLE_FRACTION = 0.8
BUSY_FRACTION = (
    DEFERRABLE_FRACTION / 2
)  # of the send budget used, above which probes carry few updates
FEW_UPDATES = 2  # on a probe or answer while the budget is short or many updates are queued
BULK_UPDATES = 16  # with more updates, a part of the table carries more statuses in the same bytes
MAX_UPDATE_BYTES = 11  # encoded size of the longest update; the shortest takes 5
NO_STATUSES = PackedStatuses()


class Outgoing(NamedTuple):
    """A datagram to send; `target` is the number of a member, or `BROADCAST_TARGET`."""

    target: int
    data: bytes


class Payload(NamedTuple):
    """The fields of a datagram besides its header and updates, as in `Datagram`."""

    kind: MessageKind
    sequence: int = 0
    about: int = 0
    digests: tuple[int, ...] = ()
    statuses: PackedStatuses = NO_STATUSES


GOSSIP = Payload(MessageKind.GOSSIP)


class DatagramSender:
    """Owns the outbox, the send budget and the sequence numbers."""

    def __init__(self, state: LocalState) -> None:
        self._state = state
        timing = state.timing
        self._limiter = RateLimiter(timing.max_bytes_per_s, timing.max_datagrams_per_s)
        self._sequence = int(state.draw() * 2**32)
        self.outbox: list[Outgoing] = []
        self.unsent = 0  # datagrams not sent because the budget was spent

    def ping(
        self,
        target: int,
        now: float,
        fraction: float = 1.0,
        updates: tuple[Update, ...] | None = None,
    ) -> int | None:
        """Send a PING; return its sequence number, or None if the budget is spent."""
        self._sequence = (self._sequence + 1) & 0xFFFFFFFF
        payload = Payload(MessageKind.PING, self._sequence)
        sent = self.send(target, payload, now, fraction=fraction, updates=updates)
        return self._sequence if sent else None

    def send(
        self,
        target: int,
        payload: Payload,
        now: float,
        *,
        fraction: float = 1.0,
        updates: tuple[Update, ...] | None = None,
        first: Iterable[int] = (),
    ) -> bool:
        """Put a datagram into the outbox; return False if `fraction` of the budget is spent.

        If `updates` is None it carries as many queued updates as fit, beginning with those of the
        members in `first`.
        """
        state = self._state
        piggybacked: list[int] = []
        if updates is None:
            piggybacked = self._piggyback(target, fraction, first, now)
            updates = tuple(state.update_of(n) for n in piggybacked)
        data, updates = self._fit_updates(payload, updates)
        if not self._limiter.try_acquire(len(data), now, fraction):
            self.unsent += 1
            return False
        state.gossip_queue.mark_sent(piggybacked[: len(updates)], len(state.roster))
        self.outbox.append(Outgoing(target, data))
        return True

    def _piggyback(
        self, target: int, fraction: float, first: Iterable[int], now: float
    ) -> list[int]:
        """Return the members whose updates are sent along with a datagram to this target."""
        state = self._state
        numbers = list(first)
        if target != BROADCAST_TARGET and state.table[target] > MemberStatus(
            state.last_incarnation.get(target, 0), MemberState.ALIVE
        ):
            numbers.insert(0, target)  # only the target itself can refute this status
        # Otherwise updates use up the budget of probes and answers, and healthy members look
        # silent.
        short = fraction == 1.0 and (
            self._limiter.used_fraction(now) > BUSY_FRACTION
            or len(state.gossip_queue) > BULK_UPDATES
        )
        queued = state.gossip_queue.pick(FEW_UPDATES if short else MAX_UPDATES - len(numbers))
        return numbers + [n for n in queued if n not in numbers]

    def _fit_updates(
        self, payload: Payload, updates: tuple[Update, ...]
    ) -> tuple[bytes, tuple[Update, ...]]:
        """Return the encoded datagram, and the updates that fit into it."""
        while True:
            data = encode(self._datagram(payload, updates))
            if len(data) <= MAX_DATAGRAM_BYTES:
                return data, updates
            surplus = max(1, (len(data) - MAX_DATAGRAM_BYTES) // MAX_UPDATE_BYTES)
            updates = updates[:-surplus]

    def _datagram(self, payload: Payload, updates: tuple[Update, ...]) -> Datagram:
        state = self._state
        return Datagram(
            VERSION,
            state.number,
            state.run_id,
            state.incarnation,
            payload.kind,
            payload.sequence,
            state.table.digest,
            updates,
            payload.about,
            payload.digests,
            *payload.statuses,
        )
