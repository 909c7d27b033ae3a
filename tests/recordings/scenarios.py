"""The scenarios of the recording: what each is told, its faults, and what must happen in it."""

from __future__ import annotations

from typing import Any

from tests.recordings import adapter
from tests.recordings.world import (
    CACHED_LIST,
    DRAINING,
    FAILED_LIST,
    FULL_LIST,
    GONE,
    READY,
    Fault,
    Gateway,
    Scenario,
    World,
)

SECOND = 1_000_000
Lane = dict[str, Any]

STATUS: Lane = {
    "name": "status",
    "semantics": "safe",
    "goal_time": 300_000,
    "deadline": 1_400_000,
    "importance": 2.0,
}
SEAT: Lane = {
    "name": "seat",
    "semantics": "keyed",
    "goal_time": 400_000,
    "deadline": 1_900_000,
    "importance": 8.0,
    "group": "all",
    "memory_span": 6_000_000,
}
ZONAL: Lane = {
    "name": "zonal",
    "semantics": "keyed",
    "goal_time": 400_000,
    "deadline": 1_200_000,
    "importance": 1.0,
    "group": "zone",
    "memory_span": 2_000_000,
}
CELLULAR: Lane = {
    "name": "cellular",
    "semantics": "keyed",
    "goal_time": 400_000,
    "deadline": 1_200_000,
    "importance": 1.0,
    "group": "cell",
    "memory_span": 300_000,
}
ONCE: Lane = {"name": "once", "semantics": "unsafe", "deadline": 2_500_000, "importance": 1.0}
LATE: Lane = {
    "name": "late",
    "semantics": "safe",
    "goal_time": 200_000,
    "deadline": 2_000_000,
    "importance": 1.0,
    "late_worth": 0.4,
}
REPORT: Lane = {
    "name": "report",
    "semantics": "safe",
    "goal_time": 4_000_000,
    "deadline": 8_000_000,
    "importance": 3.0,
    "aim_stretch": 2.0,
}
FEED: Lane = {
    "name": "feed",
    "semantics": "safe",
    "goal_time": 500_000,
    "deadline": 5_000_000,
    "importance": 1.0,
    "stream": True,
}

LIMITS = {
    "attempts_cap": 4,
    "parallel_tries": True,
    "cancelling": True,
    "retry_after": True,
    "max_retry_after": 600_000,
}
NO_COPIES = {"attempts_cap": 3}
ORGS = [{"quota_per_s": 150.0}, {"quota_per_s": 50.0}]
COLD = {"cold": 3_000_000, "cold_from": 0.2, "fall_multiple": 3.0}


def settings(*lanes: Lane, limits: dict[str, Any] = LIMITS, **others: Any) -> dict[str, Any]:
    return {"lanes": list(lanes), "limits": limits, **others}


# What is particular to a scenario.


def changing_servers(world: World) -> None:
    world.every(150_000, world.change_any)


def changing_gateways(world: World) -> None:
    """A quarter of the gateways goes, then all are there again."""

    def tell(balancers: int) -> None:
        for gateway in world.gateways[:balancers]:
            world.seen["company"] += 1
            world.feed(gateway, adapter.gateways_changed(gateway.number, balancers))
        world.serving = world.gateways[:balancers]

    half = world.half_way_us()
    world.at(half, lambda: tell(len(world.gateways) * 3 // 4))
    world.at(half + SECOND, lambda: tell(len(world.gateways)))


def uneven_gateways(world: World) -> None:
    """From half way on one gateway gets all requests, and is not told so."""

    def turn() -> None:
        world.serving = world.gateways[:1]

    world.at(world.half_way_us(), turn)


def restarting_servers(world: World) -> None:
    def restart() -> None:
        world.change(world.random.randrange(len(world.lines)), READY, restarted=True)

    world.every(400_000, restart)


def drained_zone(world: World) -> None:
    """The own zone is drained and comes back."""

    def change(state: int) -> None:
        for line in world.lines:
            if line.zone == 0:
                world.change(line.number, state)

    world.at(6 * SECOND, lambda: change(DRAINING))
    world.at(8 * SECOND, lambda: change(READY))


def failing_discovery(world: World) -> None:
    """The first list is a cached one. Then calls fail, and every third brings a list."""
    failures = [0] * len(world.gateways)

    def answer(gateway: Gateway) -> None:
        kind = FULL_LIST if failures[gateway.number] >= 2 else FAILED_LIST
        failures[gateway.number] = 0 if kind == FULL_LIST else failures[gateway.number] + 1
        world.seen["failed_lists"] += kind == FAILED_LIST
        world.give_list(gateway, kind, [] if kind == FAILED_LIST else None)

    def change() -> None:
        line = world.lines[world.random.randrange(len(world.lines))]
        line.state = world.random.choice((READY, READY, READY, DRAINING, GONE))
        for gateway in world.gateways:
            answer(gateway)

    for gateway in world.gateways:
        world.give_list(gateway, CACHED_LIST)
    world.every(300_000, change)


def handing_over_work(world: World) -> None:
    """Half way a fresh balancer takes over all that each one knows and has open."""

    def hand_over() -> None:
        for gateway in world.gateways:
            document = adapter.exported(gateway.balancer, work=True)
            fresh = world.new_gateway(gateway.number, seed=500).balancer
            world.hash(document.decode(), adapter.adopted(fresh, document))
            gateway.balancer = fresh
            world.seen["handovers"] += 1
            world.seen["open_at_handover"] += sum(bool(sent.out) for sent in gateway.sent.values())

    for part in (0, SECOND):
        world.at(world.half_way_us() + part, hand_over)


def second_process(world: World) -> None:
    """From half way on each gateway has a second process, which serves while the first ends."""

    def start() -> None:
        for old in list(world.gateways):
            document = adapter.exported(old.balancer, work=False)
            new = world.new_gateway(old.number, seed=500)
            world.gateways.append(new)
            world.give_list(new, FULL_LIST)
            world.hash(document.decode(), adapter.adopted(new.balancer, document))
            pairs.append((old, new))
        world.serving = [new for _, new in pairs]

    def tell() -> None:
        for old, new in pairs:
            world.seen["told_of_the_other"] += 1
            world.feed(old, adapter.other_process(adapter.attempts_out(new.balancer), False))
            world.feed(new, adapter.other_process(adapter.attempts_out(old.balancer), True))

    pairs: list[tuple[Gateway, Gateway]] = []
    world.at(world.half_way_us(), start)
    world.every(50_000, tell)
    restarting_servers(world)


SCENARIOS = (
    Scenario(
        "ordinary",
        settings(STATUS, SEAT, ONCE),
        (6, 3, 1),
        {"retries": 50, "log eject": 3, "lists": 50, "deny": 5, "hangups": 5, "restarts": 10},
        servers=14,
        errors=0.05,
        faults=(
            Fault("failure", (1, 2, 8, 9), 2 * SECOND, 5 * SECOND, 0.9),
            Fault("silent", (5,), 3 * SECOND, 6 * SECOND),
        ),
        script=changing_servers,
    ),
    Scenario(
        "windows_12",
        settings(STATUS, SEAT, LATE),
        (6, 3, 2),
        {"company": 20, "deny": 20, "outcome overloaded": 5, "retries": 20, "sleep": 500},
        gateways=12,
        servers=4,
        per_s=400.0,
        service_us=(20_000,),
        errors=0.06,
        faults=(Fault("unreachable", (0,), 1 * SECOND, 3 * SECOND),),
        script=changing_gateways,
    ),
    Scenario(
        "windows_200",
        settings(STATUS, SEAT),
        (3, 1),
        {"company": 300, "deny": 50, "outcome overloaded": 20, "sleep": 500},
        gateways=200,
        servers=12,
        requests=3_000,
        per_s=900.0,
        service_us=(50_000,),
        hangups=0.05,
        faults=(Fault("silent", (0, 1), 1 * SECOND, 2 * SECOND),),
        script=changing_gateways,
    ),
    Scenario(
        "windows_with_gaps",
        settings(STATUS, ONCE, limits=NO_COPIES),
        (3, 1),
        {"deny": 20, "retries": 50, "restarts": 5, "outcome overloaded": 20},
        gateways=24,
        servers=6,
        kinds=3,
        per_s=300.0,
        errors=0.05,
        faults=(Fault("failure", (2, 3), 1 * SECOND, 4 * SECOND, 0.8),),
        script=changing_servers,
    ),
    Scenario(
        "crowd_of_gateways",
        settings(STATUS, SEAT),
        (3, 1),
        {"hangups": 300, "deny": 100, "outcome overloaded": 20, "outcome timed_out": 5},
        gateways=40,
        servers=6,
        requests=4_000,
        per_s=400.0,
        service_us=(100_000,),
        errors=0.03,
        hangups=0.3,
        hangup_us=200_000,
        faults=(Fault("slow", (1, 3), 3 * SECOND, 8 * SECOND, 0.3),),
        script=uneven_gateways,
    ),
    Scenario(
        "warming",
        settings(STATUS, SEAT, guarantees=COLD),
        (3, 1),
        {"cold_sends": 50, "sends_with_deadline": 50, "restarts": 10, "outcome void": 1},
        script=restarting_servers,
    ),
    Scenario(
        "all_cold_in_windows",
        settings(STATUS, SEAT, guarantees=COLD),
        (3, 1),
        {"cold_sends": 50, "sends_with_deadline": 50, "restarts": 10, "deny": 20},
        gateways=6,
        servers=10,
        warm_start=False,
        script=restarting_servers,
    ),
    Scenario(
        "zones_with_budget",
        settings(STATUS, SEAT, ZONAL, zone=0, prices={"cross_zone": 0.02}),
        (4, 2, 2),
        {
            "crossings": 100,
            "log zone lost": 2,
            "log zone regained": 2,
            "log zone budget passed": 1,
            "deny": 20,
            "retries zonal": 5,
        },
        servers=10,
        zones=2,
        per_s=200.0,
        budget={
            "share": 0.05,
            "classes": ((True, 0.0), (True, 0.3), (False, 0.5)),
            "window_us": 5 * SECOND,
            "per_s": 20.0,
            "bytes_per_s": 100_000.0,
            "lost_below": 0.5,
            "hold_us": SECOND,
        },
        faults=(Fault("unreachable", (0, 2, 4, 6, 8), 2 * SECOND, 4 * SECOND),),
        script=drained_zone,
    ),
    Scenario(
        "zones_lost_without_crossing",
        settings(STATUS, ONCE, zone=0),
        (4, 1),
        {"log zone lost": 2, "log zone regained": 2, "deny": 100},
        servers=6,
        zones=2,
        budget={
            "share": 0.0,
            "classes": ((False, 0.0), (False, 0.0)),
            "window_us": 2 * SECOND,
            "hold_us": SECOND // 2,
        },
        faults=(Fault("unreachable", (0, 2, 4), 2 * SECOND, 3 * SECOND),),
        script=drained_zone,
    ),
    Scenario(
        "zones_warming",
        settings(STATUS, SEAT, zone=0, guarantees=COLD),
        (3, 1),
        {"cold_sends": 20, "crossings": 5, "restarts": 10},
        servers=8,
        zones=2,
        errors=0.03,
        budget={"share": 0.1, "classes": ((True, 0.0), (True, 0.3)), "window_us": 5 * SECOND},
        script=restarting_servers,
    ),
    Scenario(
        "zones_with_copies",
        settings(STATUS, SEAT, zone=0),
        (3, 1),
        {"crossings": 50, "hedges": 20},
        gateways=1,
        servers=4,
        zones=4,
        slow_tail=0.15,
        per_s=30.0,
        service_us=(6_000,),
        budget={
            "share": 0.25,
            "classes": ((True, 0.0), (True, 0.0)),
            "window_us": 2 * SECOND,
            "lost_below": 0.0,
            "hold_us": 0,
        },
    ),
    Scenario(
        "zones_with_price",
        settings(STATUS, ZONAL, zone=0, prices={"cross_zone": 0.15}),
        (3, 1),
        {"crossings": 50, "retries": 10},
        servers=9,
        zones=3,
        kinds=3,
        errors=0.05,
        service_us=(60_000,),
    ),
    Scenario(
        "zones_in_windows",
        settings(STATUS, ZONAL, zone=0, prices={"cross_zone": 0.15}),
        (3, 1),
        {"crossings": 50, "retries": 10, "company": 10},
        gateways=12,
        servers=12,
        zones=2,
        errors=0.05,
        per_s=400.0,
        faults=(Fault("silent", (0, 2, 4), 1 * SECOND, 3 * SECOND),),
        script=changing_gateways,
    ),
    Scenario(
        "hedges",
        settings(STATUS, SEAT),
        (3, 1),
        {"hedges": 30, "revoke": 20},
        slow_tail=0.06,
        kinds=3,
    ),
    Scenario(
        "hedges_without_cancelling",
        settings(STATUS, SEAT, ONCE, limits={"attempts_cap": 3, "parallel_tries": True}),
        (3, 1, 1),
        {"hedges": 30, "retries": 5},
        slow_tail=0.06,
        errors=0.02,
    ),
    Scenario(
        "long_requests",
        settings(STATUS, SEAT, FEED),
        (3, 1, 1),
        {"long": 200, "outcome timed_out": 10, "retries": 10},
        long=0.25,
        errors=0.05,
        servers=20,
        faults=(Fault("silent", (3,), 2 * SECOND, 5 * SECOND),),
    ),
    Scenario(
        "tenant_quotas",
        settings(STATUS, SEAT, over_share_worth=0.05, orgs=ORGS),
        (3, 1),
        {"refused_tenant_1": 50, "refused_tenant_0": 5},
        tenants=(1, 2),
        servers=4,
        per_s=350.0,
        service_us=(40_000,),
    ),
    Scenario(
        "marked_repeats",
        settings(STATUS, SEAT, over_share_worth=0.2, clients={"marks_retry": True}),
        (3, 1),
        {"repeats": 50, "deny": 100},
        clients_retry=0.7,
        servers=4,
        per_s=350.0,
        service_us=(40_000,),
    ),
    Scenario(
        "unmarked_repeats",
        settings(STATUS, LATE),
        (3, 1),
        {"repeats": 50, "deny": 100},
        clients_retry=0.7,
        servers=4,
        per_s=350.0,
        service_us=(40_000,),
    ),
    Scenario(
        "unsafe_and_groups",
        settings(ONCE, ZONAL, CELLULAR),
        (1, 1, 1),
        {"finish_error": 50, "retries once": 5, "retries zonal": 20, "retries cellular": 20},
        zones=2,
        servers=14,
        errors=0.15,
    ),
    Scenario(
        "streams",
        settings(FEED, STATUS),
        (3, 1),
        {"streams": 500, "retries": 10, "hedges": 20},
        errors=0.05,
        slow_tail=0.05,
        servers=14,
        service_us=(40_000,),
    ),
    Scenario(
        "failed_lists",
        settings(STATUS, SEAT, discovery="ask", guarantees={"ask_within": 2 * SECOND}),
        (3, 1),
        {"failed_lists": 20, "stream_changes": 20, "lists": 40},
        listed=False,
        script=failing_discovery,
    ),
    Scenario(
        "blocking_and_sized",
        settings(STATUS, REPORT),
        (12, 1),
        {"sends report": 50, "sends status": 500, "retries": 5},
        service_us=(15_000, 800_000),
        sized=True,
        servers=10,
        errors=0.02,
    ),
    Scenario(
        "overload",
        settings(STATUS, SEAT, ONCE, limits=NO_COPIES),
        (3, 1, 1),
        {"deny": 300, "sends once": 50},
        servers=3,
        per_s=400.0,
        service_us=(60_000,),
    ),
    Scenario(
        "collapse",
        settings(STATUS, LATE, guarantees={"ask_within": SECOND}),
        (3, 1),
        {"deny": 300, "log eject": 5},
        servers=6,
        service_us=(50_000,),
        faults=(Fault("slow", (0, 1, 2, 3, 4, 5), SECOND, 6 * SECOND),),
    ),
    Scenario(
        "handover_of_work",
        settings(STATUS, SEAT, ONCE, orgs=ORGS),
        (3, 1, 1),
        {"handovers": 4, "open_at_handover": 10, "retries": 20, "hedges": 5, "deny": 5},
        tenants=(2, 1),
        kinds=3,
        servers=9,
        errors=0.06,
        slow_tail=0.04,
        service_us=(25_000,),
        script=handing_over_work,
    ),
    Scenario(
        "second_process",
        settings(STATUS, SEAT, guarantees=COLD),
        (3, 1),
        {"told_of_the_other": 50, "cold_sends": 20, "retries": 5, "restarts": 10},
        servers=12,
        errors=0.04,
        service_us=(30_000,),
        script=second_process,
    ),
)
