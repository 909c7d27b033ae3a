"""By how many to divide: it grows late and shrinks at once."""

from __future__ import annotations

from immutables import Map

from quillroad.membership.claims import Standing
from quillroad.membership.condition import Self
from quillroad.membership.share import Part, Share
from quillroad.membership.view import Seen, View

ALIVE, SUSPECT, GONE, UNKNOWN = Standing.ALIVE, Standing.SUSPECT, Standing.GONE, Standing.UNKNOWN


def view(changed: float, *standings: Standing, state: Self = Self.SOUND, number: int = 2) -> View:
    others = [n for n in range(len(standings) + 1) if n != number]
    members = Map({n: Seen(s, 1, 0.0, "heard", n) for n, s in zip(others, standings, strict=True)})
    return View(1, number, 1, state, changed, members)


def test_a_share_grows_on_a_view_that_held_for_a_while_only() -> None:
    share = Share(Part(2, 4), 5.0)
    seven = view(10.0, ALIVE, GONE, GONE)
    assert share.follow(seven, 10.0) == (2, 4)
    assert share.follow(seven, 14.9) == (2, 4)
    assert share.follow(seven, 15.0) == (1, 2)


def test_a_share_shrinks_at_once() -> None:
    share = Share(Part(2, 4), 5.0)
    share.follow(view(0.0, ALIVE, GONE, GONE), 5.0)
    assert share.follow(view(6.0, ALIVE, SUSPECT, GONE), 6.0) == (2, 3)
    assert share.follow(view(6.0, ALIVE, ALIVE, ALIVE), 6.0) == (2, 4)


def test_a_view_in_doubt_lets_nothing_grow() -> None:
    share = Share(Part(2, 4), 5.0)
    assert share.follow(view(0.0, ALIVE, SUSPECT, GONE), 100.0) == (2, 4)
    assert share.follow(view(0.0, ALIVE, UNKNOWN, GONE), 100.0) == (2, 4)


def test_a_gateway_that_cannot_judge_goes_back_to_the_told_part() -> None:
    for state in (Self.ALONE, Self.SLOW):
        share = Share(Part(2, 4), 5.0)
        assert share.follow(view(0.0, ALIVE, GONE, GONE), 5.0) == (1, 2)
        assert share.follow(view(6.0, ALIVE, GONE, GONE, state=state), 6.0) == (2, 4)


def test_two_of_one_number_halve_its_told_part() -> None:
    share = Share(Part(2, 4), 5.0)
    share.follow(view(0.0, ALIVE, GONE, GONE), 5.0)
    assert share.follow(view(6.0, ALIVE, GONE, GONE, state=Self.DOUBLED), 60.0) == (2, 8)


def test_more_gateways_than_told_of_shrink_it_below_the_told_part() -> None:
    share = Share(Part(2, 3), 5.0)
    assert share.follow(view(0.0, ALIVE, ALIVE, ALIVE, ALIVE), 0.0) == (2, 5)
