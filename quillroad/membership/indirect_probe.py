"""Indirect probes on behalf of others: answers a PING_REQ with an ACK or a NACK. Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from quillroad.membership.sender import DatagramSender, Payload
from quillroad.membership.state import LocalState
from quillroad.membership.wire import Datagram, DropReason, MessageKind

MAX_IN_FLIGHT = 64  # bounds this member's memory under a flood of requests
LIFETIME_PERIODS = 2  # the requester's own probe has ended by then


@dataclass(slots=True)
class _IndirectProbe:
    """A PING sent on behalf of another member. Times in seconds."""

    requester: int
    sequence: int  # of the requester's PING_REQ
    about: int
    nack_at: float
    ends_at: float


class IndirectProbes:
    """Tracks probes in flight on behalf of others, by the sequence number of the own PING."""

    def __init__(self, state: LocalState, sender: DatagramSender) -> None:
        self._state = state
        self._sender = sender
        self._probes: dict[int, _IndirectProbe] = {}

    def __len__(self) -> int:
        return len(self._probes)

    def request(self, datagram: Datagram, now: float) -> None:
        """Process a PING_REQ: probe the member that it names."""
        state = self._state
        if datagram.about >= len(state.roster) or datagram.about == state.number:
            state.dropped[DropReason.UNKNOWN_MEMBER] += 1
            return
        if len(self._probes) >= MAX_IN_FLIGHT:
            state.dropped[DropReason.BUSY] += 1
            return
        sequence = self._sender.ping(datagram.about, now)
        if sequence is not None:
            self._probes[sequence] = _IndirectProbe(
                datagram.number,
                datagram.sequence,
                datagram.about,
                now + state.timing.probe_timeout_s / 2,
                now + LIFETIME_PERIODS * state.timing.period_s,
            )

    def acknowledged(self, datagram: Datagram, now: float) -> None:
        """Process an ACK: forward it to the requester if it answers a probe made for it."""
        probe = self._probes.get(datagram.sequence)
        if probe is not None and probe.about == datagram.number:
            del self._probes[datagram.sequence]
            self._reply(MessageKind.ACK, probe, now)

    def step(self, now: float) -> None:
        """Send a NACK for each probe that is unanswered in time, and drop those that have ended."""
        for sequence, probe in list(self._probes.items()):
            if probe.ends_at <= now:
                del self._probes[sequence]
            elif probe.nack_at <= now:
                probe.nack_at = probe.ends_at
                self._reply(MessageKind.NACK, probe, now)

    def next_due(self) -> float | None:
        """Return when `step` is due next, or None if no probe is in flight."""
        return min((min(p.nack_at, p.ends_at) for p in self._probes.values()), default=None)

    def clear(self) -> None:
        """Drop all probes in flight."""
        self._probes.clear()

    def _reply(self, kind: MessageKind, probe: _IndirectProbe, now: float) -> None:
        payload = Payload(kind, probe.sequence, probe.about)
        self._sender.send(probe.requester, payload, now)
