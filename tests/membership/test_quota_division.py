"""By how many to divide: it grows late and shrinks at once."""

from __future__ import annotations

from immutables import Map

from quillroad.membership.local_health import HealthState
from quillroad.membership.member_table import MemberState
from quillroad.membership.quota_division import GatewayPosition, QuotaDivision
from quillroad.membership.view import Cause, MemberRecord, View

ALIVE, SUSPECT, GONE, UNKNOWN = (
    MemberState.ALIVE,
    MemberState.SUSPECT,
    MemberState.FAULTY,
    MemberState.UNKNOWN,
)


def view(
    changed: float,
    *standings: MemberState,
    state: HealthState = HealthState.HEALTHY,
    number: int = 2,
) -> View:
    others = [n for n in range(len(standings) + 1) if n != number]
    members = Map(
        {n: MemberRecord(s, 1, 0.0, Cause.HEARD, n) for n, s in zip(others, standings, strict=True)}
    )
    return View(1, number, 1, state, changed, members)


def test_a_quota_grows_only_on_a_view_that_was_settled_for_a_while() -> None:
    division = QuotaDivision(GatewayPosition(2, 4), 5.0)
    seven = view(10.0, ALIVE, GONE, GONE)
    assert division.follow(seven, 10.0) == (2, 4)
    assert division.follow(seven, 14.9) == (2, 4)
    assert division.follow(seven, 15.0) == (1, 2)


def test_a_quota_shrinks_at_once() -> None:
    division = QuotaDivision(GatewayPosition(2, 4), 5.0)
    division.follow(view(0.0, ALIVE, GONE, GONE), 5.0)
    assert division.follow(view(6.0, ALIVE, SUSPECT, GONE), 6.0) == (2, 3)
    assert division.follow(view(6.0, ALIVE, ALIVE, ALIVE), 6.0) == (2, 4)


def test_a_quota_does_not_grow_on_a_view_in_doubt() -> None:
    division = QuotaDivision(GatewayPosition(2, 4), 5.0)
    assert division.follow(view(0.0, ALIVE, SUSPECT, GONE), 100.0) == (2, 4)
    assert division.follow(view(0.0, ALIVE, UNKNOWN, GONE), 100.0) == (2, 4)


def test_a_gateway_that_cannot_judge_goes_back_to_the_configured_position() -> None:
    for state in (HealthState.ISOLATED, HealthState.SLOW):
        division = QuotaDivision(GatewayPosition(2, 4), 5.0)
        assert division.follow(view(0.0, ALIVE, GONE, GONE), 5.0) == (1, 2)
        assert division.follow(view(6.0, ALIVE, GONE, GONE, state=state), 6.0) == (2, 4)


def test_two_processes_of_one_number_halve_its_quota() -> None:
    division = QuotaDivision(GatewayPosition(2, 4), 5.0)
    division.follow(view(0.0, ALIVE, GONE, GONE), 5.0)
    assert division.follow(view(6.0, ALIVE, GONE, GONE, state=HealthState.DUPLICATED), 60.0) == (
        2,
        8,
    )


def test_more_gateways_than_configured_shrink_the_quota_below_the_configured_one() -> None:
    division = QuotaDivision(GatewayPosition(2, 3), 5.0)
    assert division.follow(view(0.0, ALIVE, ALIVE, ALIVE, ALIVE), 0.0) == (2, 5)
