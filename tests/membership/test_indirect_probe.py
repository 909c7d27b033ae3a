"""Indirect probes on behalf of other members."""

from __future__ import annotations

from quillroad.membership.indirect_probe import MAX_IN_FLIGHT, IndirectProbes
from quillroad.membership.roster import Roster
from quillroad.membership.sender import DatagramSender
from quillroad.membership.state import LocalState
from quillroad.membership.timing import Timing
from quillroad.membership.wire import VERSION, Datagram, DropReason, MessageKind, decode
from simulation.fleet import address

REQUESTER, TARGET = 1, 2


def make() -> tuple[LocalState, DatagramSender, IndirectProbes]:
    roster = Roster([address(n) for n in range(4)], 0)
    state = LocalState(
        roster, Timing(max_bytes_per_s=10**6, max_datagrams_per_s=10**4), 0.0, lambda: 0.5, 1
    )
    sender = DatagramSender(state)
    return state, sender, IndirectProbes(state, sender)


def message(kind: MessageKind, source: int, sequence: int, about: int = 0) -> Datagram:
    return Datagram(VERSION, source, 1, 1, kind, sequence, 0, about=about)


def request(about: int = TARGET) -> Datagram:
    return message(MessageKind.PING_REQ, REQUESTER, 77, about)


def test_an_ack_is_forwarded_with_the_requesters_sequence() -> None:
    _, sender, probes = make()
    probes.request(request(), 0.0)
    ping = decode(sender.outbox[-1].data)
    assert (sender.outbox[-1].target, ping.kind) == (TARGET, MessageKind.PING)
    probes.acknowledged(
        message(MessageKind.ACK, 3, ping.sequence), 0.1
    )  # from a member that was not probed
    assert len(probes) == 1
    probes.acknowledged(message(MessageKind.ACK, TARGET, ping.sequence), 0.1)
    answer = decode(sender.outbox[-1].data)
    assert (sender.outbox[-1].target, answer.kind) == (REQUESTER, MessageKind.ACK)
    assert (answer.sequence, answer.about) == (77, TARGET)
    assert not len(probes) and probes.next_due() is None


def test_an_unanswered_probe_leads_to_one_nack_and_is_dropped() -> None:
    """The NACK shows the requester that its own network works."""
    _, sender, probes = make()
    probes.request(request(), 0.0)
    while len(probes):
        due = probes.next_due()
        assert due is not None
        probes.step(due)
    kinds = [decode(outgoing.data).kind for outgoing in sender.outbox]
    assert kinds == [MessageKind.PING, MessageKind.NACK]


def test_requests_beyond_the_limit_are_dropped_and_counted() -> None:
    """A member requests a thousand indirect probes; the state must not grow with them."""
    state, _, probes = make()
    for _ in range(1000):
        probes.request(request(), 0.0)
    assert len(probes) == MAX_IN_FLIGHT
    assert state.dropped[DropReason.BUSY] == 1000 - MAX_IN_FLIGHT


def test_a_request_about_an_unknown_member_or_the_receiver_is_counted() -> None:
    state, sender, probes = make()
    probes.request(request(about=9), 0.0)
    probes.request(request(about=0), 0.0)
    assert state.dropped[DropReason.UNKNOWN_MEMBER] == 2 and not sender.outbox
