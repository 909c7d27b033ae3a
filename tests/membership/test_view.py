"""The view: snapshots, versions, and the changes kept until the caller fetches them."""

from __future__ import annotations

from quillroad.membership.local_health import HealthState
from quillroad.membership.member_table import MemberState
from quillroad.membership.view import MAX_CHANGES, Cause, ChangeKind, MemberRecord, ViewBuilder


def record(state: MemberState, incarnation: int = 1, since: float = 1.0) -> MemberRecord:
    return MemberRecord(state, incarnation, since, Cause.HEARD, 2)


def test_every_member_state_and_health_state_has_a_kind_of_change() -> None:
    """A state without a name in the change log would raise an exception when a member enters it."""
    assert {ChangeKind(state.reported_name) for state in MemberState} == {
        ChangeKind.UNKNOWN,
        ChangeKind.ALIVE,
        ChangeKind.SUSPECT,
        ChangeKind.FAULTY,
        ChangeKind.LEFT,
    }
    assert {ChangeKind(state.value) for state in HealthState} == {
        ChangeKind.HEALTHY,
        ChangeKind.SLOW,
        ChangeKind.ISOLATED,
        ChangeKind.DUPLICATED,
    }


def test_only_a_new_state_is_recorded_as_a_change() -> None:
    builder = ViewBuilder(0, 4, 0.0)
    builder.record(2, record(MemberState.ALIVE), 1.0)
    first = builder.snapshot(1)
    assert builder.snapshot(1) is first
    builder.record(2, record(MemberState.ALIVE, incarnation=2), 2.0)
    second = builder.snapshot(1)
    assert second.version == first.version and second.members[2].incarnation == 2
    assert first.members[2].incarnation == 1  # a snapshot never changes
    builder.record(2, record(MemberState.LEFT, incarnation=2), 3.0)
    assert [change.kind for change in builder.changes] == [ChangeKind.ALIVE, ChangeKind.LEFT]
    assert builder.snapshot(1).version > second.version
    assert builder.present() == [] and builder.absent() == [2]


def test_a_difference_of_tables_makes_the_view_unsettled() -> None:
    builder = ViewBuilder(0, 2, 0.0)
    builder.record(1, record(MemberState.ALIVE), 1.0)
    builder.set_self_state(HealthState.HEALTHY, 1, 1.0)
    assert builder.snapshot(1).is_settled(6.0, 5.0)
    builder.mark_unsettled(5.0)
    assert not builder.snapshot(1).is_settled(6.0, 5.0)


def test_changes_that_are_not_fetched_are_bounded() -> None:
    builder = ViewBuilder(0, 2, 0.0)
    for i in range(MAX_CHANGES + 10):
        state = MemberState.ALIVE if i % 2 else MemberState.FAULTY
        builder.record(1, record(state), float(i))
    assert len(builder.changes) == MAX_CHANGES
