"""All orders of delivery, loss and crash for three members, from states with much activity."""

from __future__ import annotations

import pytest

from quillroad.membership.roster import Address
from simulation.fleet import BROADCAST_TARGET
from simulation.walk import Broken, Draws, Flight, State, Step, Walk
from tests.membership.test_schedules import FAULTS

SCENES = (
    "all start",
    "settled",
    "suspected",
    "gone",
    "back from nothing",
    "apart, and whole again",
)


@pytest.fixture(scope="module", params=[None, BROADCAST_TARGET], ids=["one by one", "broadcast"])
def walk(request: pytest.FixtureRequest) -> Walk:
    everyone: Address | None = request.param
    return Walk(3, everyone=everyone)


@pytest.mark.parametrize("scene", SCENES)
def test_invariants_hold_in_every_order_and_views_then_agree(walk: Walk, scene: str) -> None:
    begin = walk.scenes()[scene]
    walk.walk(begin, 3)
    walk.walk(begin, 6, closing=False)
    assert walk.states > 30 and walk.closed > 2


def test_deliveries_to_two_members_commute() -> None:
    """Both orders lead to one state, so that the walk visits it only once."""
    walk = Walk(3)
    at = walk.scenes()["settled"]
    while len({flight.target for flight in at.flights}) < 2:
        at = walk.step(at, next(step for step in walk.next(at) if step.act == "tick"))
    first, second = (
        next(flight for flight in at.flights if flight.target == target)
        for target in sorted({flight.target for flight in at.flights})[:2]
    )

    def both(one: Flight, other: Flight) -> State:
        return walk.step(walk.step(at, Step("deliver", one)), Step("deliver", other))

    assert both(first, second) == both(second, first)


def test_the_only_survivor_is_isolated_and_declares_no_member_faulty() -> None:
    """Two of three members crash; the third cannot tell this from being cut off itself."""
    walk = Walk(3)
    at = walk.scenes()["settled"]
    for number in (1, 2):
        at = walk.step(at, Step("crash", number))
    walk.close(at)


@pytest.mark.parametrize(
    "fault",
    [
        "reports of oneself are not refuted",
        "a suspicion never ends",
        "others bring a member back",
        "indirect probes never end",
        "a refutation keeps its incarnation",
    ],
)
def test_the_walk_finds_an_injected_fault(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    walk = Walk(3)
    scenes = walk.scenes()
    patched, attribute, replacement = FAULTS[fault]
    monkeypatch.setattr(patched, attribute, replacement)
    with pytest.raises(Broken) as caught:
        for begin in scenes.values():
            walk.walk(begin, 3)
    assert isinstance(caught.value.path, tuple)


def test_draws_are_uniform_and_reproducible_by_seed() -> None:
    draws, again = Draws(3), Draws(3)
    numbers = [draws() for _ in range(4000)]
    assert numbers == [again() for _ in range(4000)]
    assert all(0 <= number < 1 for number in numbers)
    assert 0.48 < sum(numbers) / 4000 < 0.52
    assert all(300 < sum(i <= 10 * number < i + 1 for number in numbers) < 500 for i in range(10))
    assert isinstance(Walk(2).begin().cores[0], bytes)
