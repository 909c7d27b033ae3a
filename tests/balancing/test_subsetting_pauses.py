"""Pauses between attempts, and the congestion window."""

from __future__ import annotations

from quillroad.balancing.events import (
    Outcome,
)
from tests.balancing.helpers import (
    DEADLINE_US,
    OBJECTIVE_US,
    BalancerDriver,
    one_of_many,
    settings,
    three_zones,
    warm_gateway_of_200,
)


def test_pause_after_a_timeout_is_bounded_by_the_attempt_timeout() -> None:
    driver = warm_gateway_of_200(10)  # an eighth of a permit, raised to the minimum of a quarter
    request = driver.arrive()
    driver.pass_time(DEADLINE_US - 1000)
    driver.balancer.congestion_window = 0.0
    driver.done(request, Outcome.TIMEOUT, DEADLINE_US)
    assert 0 < driver.balancer.paused_until_us - driver.now <= 3 * OBJECTIVE_US
    driver.pass_time(3 * OBJECTIVE_US)
    assert driver.arrive() in driver.sends


def test_answers_of_warming_hosts_do_not_change_the_congestion_window() -> None:
    gateway_settings = one_of_many(
        gateway_count=40,
        gateway_index=0,
        warm_up_us=10_000_000,
        initial_capacity=0.5,
        overload_multiple=3.0,
    )
    warming = [host._replace(started_us=900_000) for host in three_zones(30)]
    driver = BalancerDriver(gateway_settings, warming + three_zones(60)[30:])
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


def test_consecutive_rejections_cause_a_growing_pause_that_one_answer_ends() -> None:
    """Without a pause full hosts spend their time on rejections: 182 gateways were rejected 7,300
    times a second by hosts that served 500 requests a second."""
    driver = warm_gateway_of_200()
    before = len(driver.sends)
    for tick in range(1500):  # 25 requests a second for 3 s, all rejected by the hosts
        if tick % 20 == 0:
            driver.arrive()
        for waiting in list(driver.balancer.requests.values()):
            if waiting.in_flight:
                driver.done(waiting.id, Outcome.REJECTED, 1000)
        driver.pass_time(2_000)
    attempt_count = sum(len(sent) for sent in list(driver.sends.values())[before:])
    assert attempt_count <= 75 / 2  # 115 without the pause
    assert driver.balancer.paused_until_us - driver.now < 1_000_000
    driver.pass_time(1_000_000)
    request = driver.arrive()
    assert request in driver.sends  # the queue resumes by itself; one answer resets the count
    driver.done(request, Outcome.SUCCESS)
    assert driver.balancer.consecutive_rejections == 0


def test_rejections_cause_no_pause_without_a_subset() -> None:
    driver = BalancerDriver(settings(), 3)
    for _ in range(20):
        request = driver.arrive()
        if request in driver.sends:
            driver.done(request, Outcome.REJECTED, 1000)
        driver.pass_time(2_000_000)
    assert len(driver.sends) > 3 and driver.balancer.paused_until_us == 0
