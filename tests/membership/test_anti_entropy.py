"""Anti-entropy: two tables that differ say the same after an exchange of digests and chunks."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from quillroad.membership.core import Core
from quillroad.membership.member_table import MemberState, MemberStatus
from quillroad.membership.roster import Roster
from quillroad.membership.timing import Timing
from quillroad.membership.wire import VERSION, Datagram, DropReason, MessageKind, encode
from simulation.fleet import address

SIZE = 300  # more than one TABLE datagram has room for
STATUS = st.builds(
    MemberStatus,
    st.integers(1, 900),
    st.sampled_from([MemberState.ALIVE, MemberState.LEFT]),
    st.just(0),
)


def make(number: int, statuses: dict[int, MemberStatus]) -> Core:
    """A member that knows these statuses and has nothing left to pass on by gossip."""
    timing = Timing(max_bytes_per_s=10**6, max_datagrams_per_s=10**4)
    core = Core(Roster([address(n) for n in range(SIZE)], number), timing, 0.0, lambda: 0.5, 1)
    for of, status in statuses.items():
        core.table.merge(of, status)
    core.state.gossip_queue.clear()
    return core


def deliver_all(cores: dict[int, Core], now: float) -> None:
    """Carry what the two members send each other until they have nothing to say."""
    while any(core.outbox for core in cores.values()):
        for number, core in cores.items():
            outbox, core.outbox = core.outbox, []
            for outgoing in outbox:
                if outgoing.target in cores:
                    cores[outgoing.target].receive(address(number), outgoing.data, now)


@given(st.dictionaries(st.integers(2, SIZE - 1), STATUS, max_size=120), STATUS)
def test_two_tables_that_differ_become_one(
    statuses: dict[int, MemberStatus], only_other: MemberStatus
) -> None:
    """One member has just started; the other knows the cluster, and it something of one member."""
    newcomer, settled = make(0, {5: only_other}), make(1, statuses)
    cores = {0: newcomer, 1: settled}
    for second in range(1, 30):
        # A PING each way in every two seconds, as probes give it; digests go with its answer.
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


def test_a_table_that_makes_no_sense_is_counted() -> None:
    """A datagram decodes, and its codes are of no state: its sender costs nobody else anything."""
    core = make(0, {})
    for codes in (b"\xff", b"\x11"):
        bad = Datagram(VERSION, 1, 1, 1, MessageKind.TABLE, 0, 0, codes=codes, exceptions=(9, 1))
        core.receive(address(1), encode(bad), 1.0)
    assert core.dropped[DropReason.MALFORMED] == 2


def test_a_table_of_members_that_are_not_in_the_roster_is_counted() -> None:
    """In the middle of a reload another gateway has the longer roster."""
    core = make(0, {})
    longer = Datagram(VERSION, 1, 1, 1, MessageKind.TABLE, 0, 0, (), SIZE - 1, (), b"\x11", 1)
    core.receive(address(1), encode(longer), 1.0)
    assert core.dropped[DropReason.UNKNOWN_MEMBER] == 1
    assert core.table[SIZE - 1] == MemberStatus(1, MemberState.ALIVE)
