"""Probing on behalf of others: a PING_REQ is answered by an ACK or a NACK. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from quillroad.membership.sender import DatagramSender, Payload
from quillroad.membership.state import LocalState
from quillroad.membership.wire import Datagram, DropReason, MessageKind

MAX_IN_FLIGHT = 64  # a flood of requests must not grow this member's state
LIFETIME_PERIODS = 2  # the requester has given up by then


@dataclass(slots=True)
class _IndirectProbe:
    """A PING sent for another member. Times in seconds."""

    requester: int
    sequence: int  # the requester's
    about: int
    nack_at: float
    ends_at: float


class IndirectProbes:
    """Probes in flight on behalf of others, by their own sequence number."""

    def __init__(self, state: LocalState, sender: DatagramSender) -> None:
        self._state = state
        self._sender = sender
        self._probes: dict[int, _IndirectProbe] = {}

    def __len__(self) -> int:
        return len(self._probes)

    def request(self, datagram: Datagram, now: float) -> None:
        """Take a PING_REQ: probe the member that it is about."""
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
        """Take an ACK: pass it on to the requester where it answers such a probe."""
        probe = self._probes.get(datagram.sequence)
        if probe is not None and probe.about == datagram.number:
            del self._probes[datagram.sequence]
            self._reply(MessageKind.ACK, probe, now)

    def step(self, now: float) -> None:
        """Send a NACK for each probe that stays unanswered, and forget those that are over."""
        for sequence, probe in list(self._probes.items()):
            if probe.ends_at <= now:
                del self._probes[sequence]
            elif probe.nack_at <= now:
                probe.nack_at = probe.ends_at
                self._reply(MessageKind.NACK, probe, now)

    def next_due(self) -> float | None:
        """Return when `step` has something to do; None: never."""
        return min((min(p.nack_at, p.ends_at) for p in self._probes.values()), default=None)

    def clear(self) -> None:
        """Forget all of them."""
        self._probes.clear()

    def _reply(self, kind: MessageKind, probe: _IndirectProbe, now: float) -> None:
        payload = Payload(kind, probe.sequence, probe.about)
        self._sender.send(probe.requester, payload, now)
