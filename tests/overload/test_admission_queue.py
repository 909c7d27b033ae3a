"""The admission queue in simulated time, and the request preview for early rejections."""

from __future__ import annotations

from typing import cast

import httptools
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quillroad.overload.admission_queue import AdmissionQueue, RoutePriority
from quillroad.overload.admission_tuning import Tuning
from quillroad.overload.fast_path_parse import RequestPreview, preview_request
from quillroad.overload.quota_bucket import QuotaBucket
from quillroad.overload.retry_after import RetryAfterJitter
from testbed.core import Core, mix

STATUS, CHECKOUT = 0, 1
ROUTES = (RoutePriority(2.0, 0.58), RoutePriority(8.0, 0.75))


def simulated_core(
    routes: tuple[RoutePriority, ...] = ROUTES,
    *,
    quotas: tuple[float, ...] = (),
    over_quota_weight: float = 1.0,
    ration: tuple[float, float] = (1.0, 0.0),
    max_in_flight: int = 1 << 30,
    **core_options: float,
) -> Core:
    admission = AdmissionQueue(
        routes, over_quota_weight, quotas, ration[0] / sum(ration), max_in_flight
    )
    return Core(admission, routes, ration=ration, **core_options)


CAPACITY = 1 / 0.0003


def test_a_core_below_its_capacity_rejects_nothing() -> None:
    simulation = simulated_core()
    simulation.run(5.0, mix(0.8 * CAPACITY))
    assert simulation.share(STATUS) == simulation.share(CHECKOUT) == 1.0


@pytest.mark.parametrize("load", [1.5, 3.0, 5.0])
@pytest.mark.parametrize("ration", [(1.0, 0.0), (0.012, 0.005), (0.010, 0.030)])
def test_overload_is_rejected_at_once_and_the_rest_meets_its_objective(
    load: float, ration: tuple[float, float]
) -> None:
    """1.5 to 5 times the capacity arrive, on a full core and on cores with a CPU quota.

    Without admission control the queue would grow until no answer is in time. A core with a quota
    must behave like a slower core."""
    core_fraction = ration[0] / sum(ration)
    simulation = simulated_core(ration=ration)
    simulation.run(2.0, mix(load * core_fraction * CAPACITY))
    simulation.run(4.0, mix(load * core_fraction * CAPACITY))
    rejection_load = load * core_fraction * CAPACITY * simulation.refusal
    remaining_rate = (core_fraction - rejection_load) * CAPACITY
    assert simulation.total(1) / 4.0 > 0.85 * remaining_rate
    assert simulation.total(2) < 0.02 * simulation.total(1)
    rejection_waits = sorted(simulation.refusal_waits)
    assert rejection_waits[int(0.99 * len(rejection_waits))] < 0.05 + 3 * ration[1]
    assert simulation.share(CHECKOUT) > simulation.share(STATUS)


@pytest.mark.parametrize("clients", [50, 300, 1000])
def test_closed_loop_clients_in_time_are_not_rejected(clients: int) -> None:
    """50 to 1,000 clients keep the core busy while all answers meet their objective.

    Rejections would be useless: a rejected client only sends its request again."""
    simulation = simulated_core(cost=0.00022, hosts=0.005)
    simulation.closed_loop(clients, 2.0)
    assert simulation.total(1) > 2.0 / 0.0006
    assert simulation.total(2) == 0
    # Reading 1,000 simultaneous requests takes longer than serving the first few, so the first
    # estimate of the time per request is too high.
    assert simulation.total(3) <= (0.1 * simulation.total(0) if clients > 300 else 0)


def test_requests_of_lower_priority_weight_are_rejected_first() -> None:
    simulation = simulated_core()
    simulation.run(4.0, mix(2.0 * CAPACITY))
    assert simulation.share(CHECKOUT) > 0.9
    assert simulation.share(STATUS) < 0.3


def test_requests_beyond_a_tenant_quota_are_rejected_first() -> None:
    demand = {(CHECKOUT, 0): 0.4 * CAPACITY, (CHECKOUT, 1): 1.6 * CAPACITY}
    simulation = simulated_core(quotas=(0.5 * CAPACITY, 0.5 * CAPACITY), over_quota_weight=0.05)
    simulation.run(4.0, demand)
    assert simulation.share(CHECKOUT, 0) > 0.85
    assert simulation.share(CHECKOUT, 1) < 0.6


def test_an_unknown_tenant_has_no_quota() -> None:
    simulation = simulated_core(quotas=(CAPACITY,), over_quota_weight=0.05)
    simulation.run(4.0, {(CHECKOUT, 0): 0.7 * CAPACITY, (CHECKOUT, -1): 0.7 * CAPACITY})
    assert simulation.share(CHECKOUT, 0) > simulation.share(CHECKOUT, -1)


def test_a_route_with_a_short_objective_overtakes_one_with_a_long_one() -> None:
    """Routes with objectives of 50 ms and 5 s share a core at twice its capacity.

    In a common FIFO queue, the wait would exceed the short objective and that route's requests
    would be rejected."""
    routes = (RoutePriority(2.0, 5.0), RoutePriority(2.0, 0.05))
    simulation = simulated_core(hosts=0.005, routes=routes)
    simulation.run(4.0, {(0, 0): 2.0 * CAPACITY, (1, 0): 0.2 * CAPACITY})
    assert simulation.share(1) > 0.95
    assert simulation.share(0) > 0.3


def test_nothing_is_rejected_after_an_overload_has_ended() -> None:
    simulation = simulated_core()
    simulation.run(5.0, mix(3.0 * CAPACITY))
    simulation.run(1.0, mix(0.7 * CAPACITY))
    assert simulation.share(STATUS) == simulation.share(CHECKOUT) == 1.0


def test_service_follows_a_square_wave_of_overload() -> None:
    simulation = simulated_core()
    for _ in range(4):
        simulation.run(1.0, mix(0.2 * CAPACITY))
        assert simulation.share(STATUS) == 1.0
        simulation.run(1.0, mix(3.0 * CAPACITY))
        assert simulation.total(2) < 0.02 * simulation.total(1)
        assert simulation.share(CHECKOUT) > 0.5


def test_slow_hosts_alone_cause_no_rejection() -> None:
    """Hosts take one second, and the core is at 0.3 of its capacity.

    The balancer handles slow hosts: admission must not reject anything while the core has time."""
    simulation = simulated_core(hosts=1.0)
    simulation.run(4.0, mix(0.3 * CAPACITY))
    assert simulation.total(3) == 0


def test_the_in_flight_limit_rejects_by_priority() -> None:
    simulation = simulated_core(hosts=0.3, max_in_flight=200)
    simulation.run(4.0, mix(0.5 * CAPACITY))
    assert simulation.open == 0
    assert simulation.share(CHECKOUT) > simulation.share(STATUS)
    assert simulation.total(3) > 0


def test_a_core_busy_with_rejections_still_starts_requests() -> None:
    """1,000 clients retry as soon as they are rejected (receive livelock).

    Rejections used all of the core's time, and no request was served."""
    simulation = simulated_core(cost=0.0008, refusal=0.0001)
    simulation.closed_loop(1000, 3.0)
    assert simulation.total(1) / 3.0 > 0.3 / 0.0008


@settings(max_examples=40, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.0, 8.0), st.floats(0.05, 1.0)), min_size=1, max_size=8),
    st.sampled_from([(1.0, 0.0), (0.01, 0.01), (0.05, 0.05)]),
)
def test_every_request_ends_exactly_once_and_service_recovers(
    loads: list[tuple[float, float]], ration: tuple[float, float]
) -> None:
    simulation = simulated_core(cost=0.001, ration=ration)
    capacity = 1000 * ration[0] / sum(ration)
    for load, seconds in loads:
        simulation.run(seconds, mix(load * capacity))
        assert simulation.total(0) == simulation.total(1) + simulation.total(2) + simulation.total(
            3
        )
        assert simulation.open == simulation.admission.waiting == 0
    simulation.run(2.0, mix(0.2 * capacity))
    assert simulation.total(3) == 0


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["join", "take", "leave", "slice"]),
            st.integers(0, 3),
            st.floats(0.0, 0.3),
        ),
        max_size=120,
    )
)
def test_no_queued_request_is_lost(steps: list[tuple[str, int, float]]) -> None:
    admission, now, queued = AdmissionQueue(ROUTES, 0.05, [5.0]), 1.0, {}
    for number, (step, index, elapsed) in enumerate(steps):
        now += elapsed
        if step == "join":
            entry = admission.join(now, now - elapsed, 1.0, index % 2, index // 2, 1, number)
            if entry is not None:
                queued[number] = entry
        elif step == "take":
            taken = admission.take()
            assert (taken is None) == (not queued)
            if taken is not None:
                queued.pop(cast(int, taken))
        elif step == "leave" and queued:
            admission.leave(queued.pop(sorted(queued)[index % len(queued)]))
        elif step == "slice":
            assert Tuning().min_slice_s <= admission.slice_s(now) <= Tuning().min_slice_s + now
            admission.slice_ended(now)
        assert admission.waiting == len(queued)
        assert 0.0 <= admission.cost_s <= 1000.0


def test_a_quota_is_a_rate_with_a_burst_of_one_second() -> None:
    quota = QuotaBucket(10.0)
    assert sum(quota.admits(50.0, True) for _ in range(30)) == 10
    assert sum(quota.admits(50.5, True) for _ in range(30)) == 5
    assert sum(quota.admits(90.0, True) for _ in range(30)) == 10


@given(st.floats(0, 1), st.integers(1, 10_000_000), st.integers(2, 400))
def test_retry_after_times_are_evenly_spread(seed: float, max_us: int, count: int) -> None:
    jitter = RetryAfterJitter(seed)
    times = [jitter.jittered_us(max_us) for _ in range(count)]
    assert all(max_us // 2 - 1 <= time <= max_us for time in times)
    if max_us > 10_000:
        eighths = [sum(1 for t in times if i <= (t / max_us - 0.5) * 16 < i + 1) for i in range(8)]
        assert max(eighths) <= count / 8 * 2 + 2
    assert jitter.jittered_us(0) == 0


# Request preview.

GET = b"GET /status-check/k HTTP/1.1\r\nHost: h\r\nTenant: acme\r\nRequest-Id: 1\r\n\r\n"
POST = b"POST /seat-checkout/k HTTP/1.1\r\nTenant: acme\r\nContent-Length: 4\r\n\r\nbody"


@pytest.mark.parametrize(
    ("data", "preview"),
    [
        (GET, RequestPreview(b"status-check", b"acme", None)),
        (POST, RequestPreview(b"seat-checkout", b"acme", None)),
        (GET.replace(b"Tenant: acme\r\n", b""), RequestPreview(b"status-check", b"", None)),
        (
            GET.replace(b"Tenant: acme", b"tENANT:acme "),
            RequestPreview(b"status-check", b"acme", None),
        ),
        (
            GET.replace(b"Host: h", b"Request-Timeout-Ms: 70"),
            RequestPreview(b"status-check", b"acme", 70),
        ),
        (
            GET.replace(b"Host: h", b"Request-Timeout-Ms: +7"),
            RequestPreview(b"status-check", b"acme", None),
        ),
        (GET + GET, None),
        (GET[:-1], None),
        (GET[:-2], None),
        (POST[:-1], None),
        (POST + b"x", None),
        (POST.replace(b"Content-Length: 4", b"Content-Length: 4\r\nContent-Length: 4"), None),
        (
            POST.replace(b"Content-Length: 4", b"Content-Length: 4\r\nTransfer-Encoding: chunked"),
            None,
        ),
        (POST.replace(b"Content-Length: 4", b"Content-Length: +4"), None),
        (POST.replace(b"Content-Length: 4", b"Content_Length: 4"), None),
        (GET.replace(b"1.1", b"1.0"), None),
        (GET.replace(b"Host: h", b"Connection: close"), None),
        (GET.replace(b"GET ", b"PUT "), None),
        (b"\r\n" + GET, None),
        (b"", None),
    ],
)
def test_a_preview_is_returned_only_for_exactly_one_complete_request(
    data: bytes, preview: RequestPreview | None
) -> None:
    assert preview_request(data) == preview


class ParserCallbacks:
    def __init__(self) -> None:
        self.urls: list[bytes] = []
        self.complete_messages = 0

    def on_url(self, url: bytes) -> None:
        self.urls.append(url)

    def on_message_complete(self) -> None:
        self.complete_messages += 1


PARTS = st.sampled_from(
    [
        b"GET /a/b HTTP/1.1\r\n",
        b"POST /a HTTP/1.1\r\n",
        b"GET / HTTP/1.0\r\n",
        b"Tenant: t\r\n",
        b"Host: h\r\n",
        b"Content-Length: 0\r\n",
        b"Content-Length: 3\r\n",
        b"content-length : 3\r\n",
        b"\r\n",
        b"abc",
        b"\n",
        b" ",
        b"Transfer-Encoding: x\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"0\r\n\r\n",
    ]
)


@settings(max_examples=400)
@given(st.lists(PARTS | st.binary(max_size=4), max_size=9))
def test_a_preview_agrees_with_the_parser(parts: list[bytes]) -> None:
    """If the parser saw two requests or none in a preview, one would be lost or duplicated."""
    data = b"".join(parts)
    preview = preview_request(data)
    if preview is None:
        return
    callbacks = ParserCallbacks()
    try:
        httptools.HttpRequestParser(callbacks).feed_data(data)
    except httptools.HttpParserError:
        return  # not a valid request: a rejection is an acceptable error answer
    assert callbacks.complete_messages <= 1
    assert not callbacks.urls or callbacks.urls[0].split(b"/")[1] == preview.route_name
