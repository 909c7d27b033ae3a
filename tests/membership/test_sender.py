"""Datagrams within the send budget, with piggybacked updates."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from quillroad.membership.member_table import MAX_INCARNATION, MemberState, MemberStatus
from quillroad.membership.roster import Roster
from quillroad.membership.sender import (
    BULK_UPDATES,
    FEW_UPDATES,
    GOSSIP,
    DatagramSender,
    Payload,
)
from quillroad.membership.state import LocalState
from quillroad.membership.table_transfer import TableTransfer
from quillroad.membership.timing import Timing
from quillroad.membership.wire import MAX_DATAGRAM_BYTES, Datagram, MessageKind, decode
from simulation.fleet import address

SIZE = 300


def make(statuses: dict[int, MemberStatus] | None = None) -> tuple[LocalState, DatagramSender]:
    """Return a member of a cluster of `SIZE` that knows and gossips these statuses."""
    roster = Roster([address(n) for n in range(SIZE)], 0)
    state = LocalState(roster, Timing(), 0.0, lambda: 0.5, 1)
    for number, status in (statuses or {}).items():
        state.table.merge(number, status)
        state.gossip_queue.put(number)
    return state, DatagramSender(state)


def sent(sender: DatagramSender) -> Datagram:
    """The last datagram in the outbox."""
    return decode(sender.outbox[-1].data)


@given(
    st.dictionaries(
        st.integers(1, SIZE - 1),
        st.builds(
            MemberStatus,
            st.integers(1, MAX_INCARNATION),
            st.sampled_from([MemberState.ALIVE, MemberState.FAULTY, MemberState.LEFT]),
            st.just(0),
        ),
        max_size=60,
    )
)
def test_a_datagram_never_exceeds_the_maximum_size(statuses: dict[int, MemberStatus]) -> None:
    """Updates that do not fit stay queued and are not counted as sent, however long they are."""
    state, sender = make(statuses)
    assert sender.send(1, GOSSIP, 0.0, fraction=0.8)
    datagram = sent(sender)
    assert len(sender.outbox[-1].data) <= MAX_DATAGRAM_BYTES
    carried = {update.number for update in datagram.updates}
    assert carried <= {*statuses, 1}
    assert bool(carried) == bool(statuses)
    assert state.gossip_queue.has_unsent() == bool(set(statuses) - carried)


def test_a_datagram_to_a_faulty_member_carries_its_own_status_first() -> None:
    """Only the member itself can refute a report about it."""
    statuses = {n: MemberStatus(1, MemberState.ALIVE) for n in range(2, 9)}
    state, sender = make(statuses)
    state.table.merge(1, MemberStatus(1, MemberState.FAULTY))
    assert sender.ping(1, 0.0) is not None
    first = sent(sender).updates[0]
    assert (first.number, first.state) == (1, MemberState.FAULTY)


def test_probes_carry_few_updates_while_many_are_queued() -> None:
    """Otherwise updates use up the budget of probes, and healthy members look silent."""
    many = {n: MemberStatus(1, MemberState.ALIVE) for n in range(2, BULK_UPDATES + 3)}
    _, sender = make(many)
    assert sender.ping(200, 0.0) is not None
    assert len(sent(sender).updates) == FEW_UPDATES


def test_datagrams_beyond_the_budget_are_counted_and_not_sent() -> None:
    _, sender = make()
    count = 0
    while sender.ping(1, 0.0) is not None:
        count += 1
    assert len(sender.outbox) == count <= Timing().max_datagrams_per_s
    assert sender.unsent == 1
    assert sender.ping(1, 1.0) is not None


def test_deferrable_datagrams_leave_a_part_of_the_budget_to_probes() -> None:
    _, sender = make()
    payload = Payload(MessageKind.GOSSIP)
    while sender.send(1, payload, 0.0, fraction=0.8):
        pass
    assert sender.ping(1, 0.0) is not None


@given(
    st.integers(0, SIZE - 1),
    st.dictionaries(st.integers(0, SIZE - 1), st.integers(1, MAX_INCARNATION), max_size=SIZE),
)
def test_a_part_of_the_table_fits_one_datagram_and_includes_the_given_member(
    about: int, incarnations: dict[int, int]
) -> None:
    statuses = {n: MemberStatus(i, MemberState.ALIVE) for n, i in incarnations.items()}
    state, sender = make(statuses)
    stop = TableTransfer(state, sender).send(1, about, 0.0)
    datagram = sent(sender)
    assert stop is not None and datagram.about <= about < stop
    assert len(sender.outbox[-1].data) <= MAX_DATAGRAM_BYTES
    assert datagram.statuses() == state.table.pack(range(datagram.about, stop))
