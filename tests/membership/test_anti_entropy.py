"""Anti-entropy: tables that differ become equal by an exchange of digests and chunks."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from quillroad.membership.core import Core
from quillroad.membership.member_table import MemberState, MemberStatus
from quillroad.membership.roster import Roster
from quillroad.membership.timing import Timing
from quillroad.membership.wire import VERSION, Datagram, DropReason, MessageKind, encode
from simulation.fleet import address

SIZE = 300  # more members than fit one TABLE datagram
STATUS = st.builds(
    MemberStatus,
    st.integers(1, 900),
    st.sampled_from([MemberState.ALIVE, MemberState.LEFT]),
    st.just(0),
)


def make(number: int, statuses: dict[int, MemberStatus]) -> Core:
    """Return a member that knows these statuses and has an empty gossip queue."""
    timing = Timing(max_bytes_per_s=10**6, max_datagrams_per_s=10**4)
    core = Core(Roster([address(n) for n in range(SIZE)], number), timing, 0.0, lambda: 0.5, 1)
    for of, status in statuses.items():
        core.table.merge(of, status)
    core.state.gossip_queue.clear()
    return core


def deliver_all(cores: dict[int, Core], now: float) -> None:
    """Deliver the datagrams between the two members until both outboxes are empty."""
    while any(core.outbox for core in cores.values()):
        for number, core in cores.items():
            outbox, core.outbox = core.outbox, []
            for outgoing in outbox:
                if outgoing.target in cores:
                    cores[outgoing.target].receive(address(number), outgoing.data, now)


@given(st.dictionaries(st.integers(2, SIZE - 1), STATUS, max_size=120), STATUS)
def test_tables_that_differ_become_equal(
    statuses: dict[int, MemberStatus], only_other: MemberStatus
) -> None:
    """One member has just started and knows one status that the other may lack."""
    newcomer, settled = make(0, {5: only_other}), make(1, statuses)
    cores = {0: newcomer, 1: settled}
    for second in range(1, 30):
        # One PING each way every two seconds, as probes would send; it carries the table digest.
        now = 2.0 * second
        for number, core in cores.items():
            ping = Datagram(
                VERSION, number, 1, core.incarnation, MessageKind.PING, 1, core.table.digest
            )
            cores[1 - number].receive(address(number), encode(ping), now)
        deliver_all(cores, now)
        if newcomer.table.digest == settled.table.digest:
            break
    assert [newcomer.table[n][:2] for n in range(SIZE)] == [
        settled.table[n][:2] for n in range(SIZE)
    ]


def test_a_table_with_invalid_codes_is_counted_as_malformed() -> None:
    """A datagram that decodes but has invalid state codes is dropped without other effects."""
    core = make(0, {})
    for codes in (b"\xff", b"\x11"):
        bad = Datagram(VERSION, 1, 1, 1, MessageKind.TABLE, 0, 0, codes=codes, exceptions=(9, 1))
        core.receive(address(1), encode(bad), 1.0)
    assert core.dropped[DropReason.MALFORMED] == 2


def test_a_table_with_members_outside_the_roster_is_counted() -> None:
    """During a reload another gateway may already have a longer roster."""
    core = make(0, {})
    longer = Datagram(VERSION, 1, 1, 1, MessageKind.TABLE, 0, 0, (), SIZE - 1, (), b"\x11", 1)
    core.receive(address(1), encode(longer), 1.0)
    assert core.dropped[DropReason.UNKNOWN_MEMBER] == 1
    assert core.table[SIZE - 1] == MemberStatus(1, MemberState.ALIVE)
