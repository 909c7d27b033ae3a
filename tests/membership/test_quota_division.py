"""The quota of a gateway grows only after a delay and shrinks at once."""

from __future__ import annotations

from immutables import Map

from quillroad.membership.local_health import HealthState
from quillroad.membership.member_table import MemberState
from quillroad.membership.quota_division import GatewayPosition, QuotaDivision
from quillroad.membership.view import Cause, MemberRecord, View

ALIVE, SUSPECT, FAILED, UNKNOWN = (
    MemberState.ALIVE,
    MemberState.SUSPECT,
    MemberState.FAULTY,
    MemberState.UNKNOWN,
)


def view(
    changed_at: float,
    *states: MemberState,
    self_state: HealthState = HealthState.HEALTHY,
    number: int = 2,
) -> View:
    others = [n for n in range(len(states) + 1) if n != number]
    members = Map(
        {n: MemberRecord(s, 1, 0.0, Cause.HEARD, n) for n, s in zip(others, states, strict=True)}
    )
    return View(1, number, 1, self_state, changed_at, members)


def test_a_quota_grows_only_once_the_view_was_settled_for_the_hold_time() -> None:
    division = QuotaDivision(GatewayPosition(2, 4), 5.0)
    two_alive = view(10.0, ALIVE, FAILED, FAILED)
    assert division.follow(two_alive, 10.0) == (2, 4)
    assert division.follow(two_alive, 14.9) == (2, 4)
    assert division.follow(two_alive, 15.0) == (1, 2)


def test_a_quota_shrinks_at_once() -> None:
    division = QuotaDivision(GatewayPosition(2, 4), 5.0)
    division.follow(view(0.0, ALIVE, FAILED, FAILED), 5.0)
    assert division.follow(view(6.0, ALIVE, SUSPECT, FAILED), 6.0) == (2, 3)
    assert division.follow(view(6.0, ALIVE, ALIVE, ALIVE), 6.0) == (2, 4)


def test_a_quota_does_not_grow_while_a_member_is_suspect_or_unknown() -> None:
    division = QuotaDivision(GatewayPosition(2, 4), 5.0)
    assert division.follow(view(0.0, ALIVE, SUSPECT, FAILED), 100.0) == (2, 4)
    assert division.follow(view(0.0, ALIVE, UNKNOWN, FAILED), 100.0) == (2, 4)


def test_an_isolated_or_slow_gateway_returns_to_the_configured_position() -> None:
    for state in (HealthState.ISOLATED, HealthState.SLOW):
        division = QuotaDivision(GatewayPosition(2, 4), 5.0)
        assert division.follow(view(0.0, ALIVE, FAILED, FAILED), 5.0) == (1, 2)
        assert division.follow(view(6.0, ALIVE, FAILED, FAILED, self_state=state), 6.0) == (2, 4)


def test_a_duplicated_gateway_number_halves_its_quota() -> None:
    division = QuotaDivision(GatewayPosition(2, 4), 5.0)
    division.follow(view(0.0, ALIVE, FAILED, FAILED), 5.0)
    assert division.follow(
        view(6.0, ALIVE, FAILED, FAILED, self_state=HealthState.DUPLICATED), 60.0
    ) == (
        2,
        8,
    )


def test_more_gateways_than_configured_shrink_the_quota_below_the_configured_one() -> None:
    division = QuotaDivision(GatewayPosition(2, 3), 5.0)
    assert division.follow(view(0.0, ALIVE, ALIVE, ALIVE, ALIVE), 0.0) == (2, 5)
