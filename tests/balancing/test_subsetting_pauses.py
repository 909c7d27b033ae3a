"""Pauses between attempts, and what answers say of the load of other gateways."""

from __future__ import annotations

from quillroad.balancing.events import (
    Outcome,
)
from tests.balancing.helpers import (
    AIM_US,
    DEADLINE_US,
    BalancerDriver,
    one_of_many,
    settings,
    three_zones,
    warm_gateway_of_200,
)


def test_a_pause_ends_soon_after_an_attempt_that_timed_out() -> None:
    driver = warm_gateway_of_200(10)  # an eighth of a place: a quarter is the least
    request = driver.arrive()
    driver.pass_time(DEADLINE_US - 1000)
    driver.balancer.congestion_window = 0.0
    driver.done(request, Outcome.TIMEOUT, DEADLINE_US)
    assert 0 < driver.balancer.paused_until_us - driver.now <= 3 * AIM_US
    driver.pass_time(3 * AIM_US)
    assert driver.arrive() in driver.sends


def test_answers_of_warming_hosts_say_nothing_of_the_crowd_at_warm_ones() -> None:
    told = one_of_many(
        gateway_count=40,
        gateway_index=0,
        warm_up_us=10_000_000,
        initial_capacity=0.5,
        overload_multiple=3.0,
    )
    warming = [s._replace(started_us=900_000) for s in three_zones(30)]
    driver = BalancerDriver(told, warming + three_zones(60)[30:])
    driver.balancer.congestion_window = 0.5
    for _ in range(400):
        request = driver.arrive()
        if driver.sends.get(request, [200])[0] < 130:
            congestion_window = driver.balancer.congestion_window
            driver.done(request, Outcome.SUCCESS, 5_000)
            assert driver.balancer.congestion_window == congestion_window
        elif request in driver.sends:
            driver.done(request, Outcome.SUCCESS, 5_000)
        driver.pass_time(20_000)
    assert any(sent[0] < 130 for sent in driver.sends.values())


def test_one_full_host_after_another_brings_a_pause_that_grows_and_ends() -> None:
    """182 gateways were rejected 7,300 times a second by hosts that served 500."""
    driver = warm_gateway_of_200()
    before = len(driver.sends)
    for tick in range(1500):  # 25 requests a second for 3 s, and nobody takes one
        if tick % 20 == 0:
            driver.arrive()
        for waiting in list(driver.balancer.requests.values()):
            if waiting.in_flight:
                driver.done(waiting.id, Outcome.REJECTED, 1000)
        driver.pass_time(2_000)
    tries = sum(len(sent) for sent in list(driver.sends.values())[before:])
    assert tries <= 75 / 2  # 115 with no pause
    assert driver.balancer.paused_until_us - driver.now < 1_000_000
    driver.pass_time(1_000_000)
    request = driver.arrive()
    assert request in driver.sends  # what waits goes on by itself, and one answer ends it
    driver.done(request, Outcome.SUCCESS)
    assert driver.balancer.consecutive_rejections == 0


def test_where_no_subset_is_shared_a_full_host_brings_no_pause() -> None:
    driver = BalancerDriver(settings(), 3)
    for _ in range(20):
        request = driver.arrive()
        if request in driver.sends:
            driver.done(request, Outcome.REJECTED, 1000)
        driver.pass_time(2_000_000)
    assert len(driver.sends) > 3 and driver.balancer.paused_until_us == 0
