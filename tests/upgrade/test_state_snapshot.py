"""What the module knows, moved at any point: the same events bring the same decisions."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quillroad.balancing.actions import Action, SendAttempt
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import (
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    SiblingAttempts,
    UpdateKind,
)
from quillroad.upgrade.state_snapshot import (
    VERSION,
    Knowledge,
    Names,
    adopt,
    export,
    out_at,
    share_budgets,
)
from tests.balancing.helpers import Stage, route
from tests.balancing.helpers import settings as told_settings
from tests.balancing.test_property import World

NAMES = Names(("acme", "zeta"), ("two-core", "three-core"))


def moved(balancer: Balancer, seed: int, work: bool = True) -> Balancer:
    """The same balancer in another process: out, over the wire, and in."""
    wire = msgspec.msgpack.encode(export(balancer, NAMES, work))
    other = Balancer(balancer.settings, seed)
    assert adopt(other, msgspec.msgpack.decode(wire, type=Knowledge), NAMES) == []
    return other


class Twice(World):
    """A history in which the balancer is moved after each so many steps, beside one that is not."""

    def __init__(self, seed: int, parallel: bool, every: int) -> None:
        super().__init__(seed, parallel, 6_000_000, 0.3)
        self.kept = Balancer(self.told, seed)
        self.every, self.steps = every, 0
        self.compared: list[tuple[list[Action], list[Action]]] = []

    def step(self, events: list[Event]) -> None:
        self.steps += 1
        if self.steps % self.every == 0:
            self.balancer = moved(self.balancer, self.steps)
        handle = self.balancer.handle

        def both(now_us: int, told: list[Event]) -> list[Action]:
            actions = handle(now_us, list(told))
            self.compared.append((list(actions), list(self.kept.handle(now_us, list(told)))))
            return actions

        self.balancer.handle = both  # type: ignore[assignment, method-assign]
        try:
            super().step(events)
        finally:
            del self.balancer.handle


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 10_000), st.booleans(), st.integers(1, 60))
def test_a_history_split_at_any_point_brings_the_same_decisions(
    seed: int, parallel: bool, every: int
) -> None:
    history = Twice(seed, parallel, every)
    history.play(400)
    assert len(history.compared) > 100
    for after_move, kept in history.compared:
        assert after_move == kept


def test_nothing_is_younger_or_healthier_after_the_move() -> None:
    stage = Stage(told_settings(route()))
    stage.warm_up(60)
    bad = next(iter(stage.balancer.servers))
    for _ in range(200):
        request = stage.arrive()
        stage.pass_time(10_000)
        if request in stage.sends:
            server = stage.sends[request][-1]
            stage.done(request, Outcome.ERROR if server == bad else Outcome.SUCCESS)
    before = stage.balancer
    after = moved(before, 99, work=False)
    assert {
        n: (s.payoff, s.heard_us, s.ejections, s.ejected_until_us) for n, s in after.servers.items()
    } == {
        n: (s.payoff, s.heard_us, s.ejections, s.ejected_until_us)
        for n, s in before.servers.items()
    }
    assert before.servers[bad].ejections > 0
    assert after.routes[0].latency.ordered == before.routes[0].latency.ordered
    assert (after.limit, after.admitted, after.recent) == (
        before.limit,
        before.admitted,
        before.recent,
    )


def test_open_work_stays_and_its_places_are_told_apart() -> None:
    stage = Stage(told_settings(route()))
    requests = [stage.arrive() for _ in range(3)]
    before = stage.balancer
    tokens = before.routes[0].budget.tokens
    share_budgets(before)
    after = moved(before, 1, work=False)
    assert not after.requests and all(s.in_flight == 0 for s in after.servers.values())
    assert after.routes[0].budget.tokens == tokens / 2 == before.routes[0].budget.tokens
    told = out_at(before)
    assert sum(out for out, _ in told.values()) == 3
    after.handle(stage.now, [SiblingAttempts(told)])
    assert {n: s.in_flight for n, s in after.servers.items() if s.in_flight} == {
        n: out for n, (out, _) in told.items()
    }
    assert out_at(after) == {}  # the other's are not told back
    for request in requests:
        stage.done(request, Outcome.SUCCESS)
    after.handle(stage.now, [SiblingAttempts(out_at(before))])
    assert all(s.in_flight == s.overdue == 0 for s in after.servers.values())


def test_a_window_stays_one_after_the_move_and_is_full_for_both() -> None:
    stage = Stage(told_settings(route(), gateway_count=40, gateway_index=3), servers=60)
    while stage.arrive() in stage.sends:
        pass
    before = stage.balancer
    whole = moved(before, 1)
    assert (whole.limit, whole.flying) == (before.limit, before.flying)
    after = moved(before, 1, work=False)
    actions = after.handle(
        stage.now, [SiblingAttempts(out_at(before)), RequestArrived(10**6, 0, stage.now + 900_000)]
    )
    assert not any(isinstance(a, SendAttempt) for a in actions)


def test_a_full_server_is_full_for_both() -> None:
    stage = Stage(told_settings(route()), servers=1)
    limit = int(stage.balancer.limit)
    stage.feed(SiblingAttempts({100: (limit, 0)}))
    assert stage.arrive() not in stage.sends
    assert any(isinstance(a, SendAttempt) for a in stage.feed(SiblingAttempts({100: (0, 0)})))


def test_turns_at_a_cold_server_belong_to_one_process() -> None:
    told = told_settings(
        route(),
        warm_up_us=5_000_000,
        initial_capacity=0.5,
        overload_multiple=3.0,
        overload_window_us=1_000_000,
    )
    stage = Stage(
        told, [Endpoint(100, started_us=1_000_000)]
    )  # not before the balancer: the turn is its own
    stage.feed(SiblingAttempts({}, owns_slow_start=False))
    assert stage.arrive(work_estimate_us=5_000) not in stage.sends
    assert any(
        isinstance(a, SendAttempt) for a in stage.feed(SiblingAttempts({}, owns_slow_start=True))
    )


def test_a_list_that_changed_meanwhile_stands() -> None:
    """A drain, a restart and a removal that the taker heard of itself are not undone."""
    stage = Stage(told_settings(route()), [Endpoint(n) for n in (1, 2, 3, 4)])
    stage.warm_up(80)
    known = export(stage.balancer, NAMES)
    other = Balancer(stage.told, 5)
    listed = (Endpoint(1), Endpoint(2, EndpointStatus.DRAINING), Endpoint(3, started_us=7))
    other.handle(stage.now, [EndpointUpdate(UpdateKind.FULL, listed)])
    assert adopt(other, known, NAMES) == [
        "2 servers: not in the list held"
    ]  # 3 restarted, 4 is gone
    assert {s.spec.id for s in other.candidates} == {1, 3}
    assert other.servers[1].payoff == stage.balancer.servers[1].payoff
    assert other.servers[3].heard_us == 0


@pytest.mark.parametrize(
    ("change", "left"),
    [
        (
            {"version": VERSION + 1},
            f"knowledge of version {VERSION + 1}: read as version {VERSION}",
        ),
        ({"quotas": {"nobody": (1.0, 0)}}, "tenant 'nobody': not configured"),
    ],
)
def test_another_version_is_taken_as_far_as_it_goes(change: dict[str, object], left: str) -> None:
    stage = Stage(told_settings(route(), tenant_quotas_per_s=(5.0, 5.0)))
    stage.warm_up(20)
    known = msgspec.structs.replace(export(stage.balancer, NAMES), **change)
    wire = msgspec.json.decode(msgspec.json.encode(known)) | {"invented later": [1, 2, 3]}
    for missing in ("random", "crowding", "paces"):
        wire.pop(missing, None)
    other = Balancer(stage.told, 5)
    assert adopt(other, msgspec.convert(wire, Knowledge), NAMES) == [left]
    assert other.routes[0].samples == stage.balancer.routes[0].samples
