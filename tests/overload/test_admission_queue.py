"""The admission queue in simulated time, and the preview for cheap rejections."""

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
LANES = (RoutePriority(2.0, 0.58), RoutePriority(8.0, 0.75))


def core(
    lanes: tuple[RoutePriority, ...] = LANES,
    *,
    quotas: tuple[float, ...] = (),
    over: float = 1.0,
    ration: tuple[float, float] = (1.0, 0.0),
    places: int = 1 << 30,
    **told: float,
) -> Core:
    admission = AdmissionQueue(lanes, over, quotas, ration[0] / sum(ration), places)
    return Core(admission, lanes, ration=ration, **told)


CAPACITY = 1 / 0.0003


def test_a_core_below_its_capacity_rejects_nothing() -> None:
    some = core()
    some.run(5.0, mix(0.8 * CAPACITY))
    assert some.share(STATUS) == some.share(CHECKOUT) == 1.0


@pytest.mark.parametrize("load", [1.5, 3.0, 5.0])
@pytest.mark.parametrize("ration", [(1.0, 0.0), (0.012, 0.005), (0.010, 0.030)])
def test_overload_is_rejected_at_once_and_the_rest_meets_its_objective(
    load: float, ration: tuple[float, float]
) -> None:
    """1.5 to 5 times the capacity, on a whole core and on ones with a CPU quota.

    Without admission the queue grows until nothing in it is in time. A core with a quota is a
    slower core, and no more."""
    part = ration[0] / sum(ration)
    some = core(ration=ration)
    some.run(2.0, mix(load * part * CAPACITY))
    some.run(4.0, mix(load * part * CAPACITY))
    refusals = load * part * CAPACITY * some.refusal
    left = (part - refusals) * CAPACITY
    assert some.total(1) / 4.0 > 0.85 * left
    assert some.total(2) < 0.02 * some.total(1)
    waits = sorted(some.refusal_waits)
    assert waits[int(0.99 * len(waits))] < 0.05 + 3 * ration[1]
    assert some.share(CHECKOUT) > some.share(STATUS)


@pytest.mark.parametrize("clients", [50, 300, 1000])
def test_closed_loop_clients_in_time_are_not_rejected(clients: int) -> None:
    """50 to 1,000 clients keep a core busy whose answers all meet their objective.

    There is nothing to reject: whoever is rejected only asks again."""
    some = core(cost=0.00022, hosts=0.005)
    some.closed_loop(clients, 2.0)
    assert some.total(1) > 2.0 / 0.0006
    assert some.total(2) == 0
    # A thousand in one instant are read for longer than a few of them take: the first guess is too
    # high.
    assert some.total(3) <= (0.1 * some.total(0) if clients > 300 else 0)


def test_priority_weight_decides_who_finds_the_queue_full() -> None:
    some = core()
    some.run(4.0, mix(2.0 * CAPACITY))
    assert some.share(CHECKOUT) > 0.9
    assert some.share(STATUS) < 0.3


def test_requests_beyond_a_tenant_quota_go_last() -> None:
    demand = {(CHECKOUT, 0): 0.4 * CAPACITY, (CHECKOUT, 1): 1.6 * CAPACITY}
    some = core(quotas=(0.5 * CAPACITY, 0.5 * CAPACITY), over=0.05)
    some.run(4.0, demand)
    assert some.share(CHECKOUT, 0) > 0.85
    assert some.share(CHECKOUT, 1) < 0.6


def test_an_unknown_tenant_has_no_quota() -> None:
    some = core(quotas=(CAPACITY,), over=0.05)
    some.run(4.0, {(CHECKOUT, 0): 0.7 * CAPACITY, (CHECKOUT, -1): 0.7 * CAPACITY})
    assert some.share(CHECKOUT, 0) > some.share(CHECKOUT, -1)


def test_a_route_with_a_short_objective_passes_one_with_a_long_one() -> None:
    """Objectives of 50 ms and 5 s share a core at twice its capacity.

    In one line for both, the short one would find a wait longer than its objective and be rejected.
    """
    lanes = (RoutePriority(2.0, 5.0), RoutePriority(2.0, 0.05))
    some = core(hosts=0.005, lanes=lanes)
    some.run(4.0, {(0, 0): 2.0 * CAPACITY, (1, 0): 0.2 * CAPACITY})
    assert some.share(1) > 0.95
    assert some.share(0) > 0.3


def test_rejections_end_at_once_after_an_overload() -> None:
    some = core()
    some.run(5.0, mix(3.0 * CAPACITY))
    some.run(1.0, mix(0.7 * CAPACITY))
    assert some.share(STATUS) == some.share(CHECKOUT) == 1.0


def test_service_follows_a_square_wave_of_overload() -> None:
    some = core()
    for _ in range(4):
        some.run(1.0, mix(0.2 * CAPACITY))
        assert some.share(STATUS) == 1.0
        some.run(1.0, mix(3.0 * CAPACITY))
        assert some.total(2) < 0.02 * some.total(1)
        assert some.share(CHECKOUT) > 0.5


def test_slow_hosts_alone_cause_no_rejection_here() -> None:
    """Hosts take a second, the core is at 0.3 of its capacity.

    Slow hosts are the balancer's to judge: the core has time, and rejects nothing for them."""
    some = core(hosts=1.0)
    some.run(4.0, mix(0.3 * CAPACITY))
    assert some.total(3) == 0


def test_the_limit_of_requests_in_flight_rejects_by_priority() -> None:
    some = core(hosts=0.3, places=200)
    some.run(4.0, mix(0.5 * CAPACITY))
    assert some.open == 0
    assert some.share(CHECKOUT) > some.share(STATUS)
    assert some.total(3) > 0


def test_a_core_busy_with_rejections_still_begins_requests() -> None:
    """1,000 clients that ask again as soon as they are rejected (receive livelock).

    Rejections took all of the core's time, and nothing was served."""
    some = core(cost=0.0008, refusal=0.0001)
    some.closed_loop(1000, 3.0)
    assert some.total(1) / 3.0 > 0.3 / 0.0008


@settings(max_examples=40, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0.0, 8.0), st.floats(0.05, 1.0)), min_size=1, max_size=8),
    st.sampled_from([(1.0, 0.0), (0.01, 0.01), (0.05, 0.05)]),
)
def test_every_request_ends_once_and_service_recovers(
    loads: list[tuple[float, float]], ration: tuple[float, float]
) -> None:
    some = core(cost=0.001, ration=ration)
    capacity = 1000 * ration[0] / sum(ration)
    for load, seconds in loads:
        some.run(seconds, mix(load * capacity))
        assert some.total(0) == some.total(1) + some.total(2) + some.total(3)
        assert some.open == some.admission.waiting == 0
    some.run(2.0, mix(0.2 * capacity))
    assert some.total(3) == 0


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
def test_no_request_in_the_queue_is_forgotten(steps: list[tuple[str, int, float]]) -> None:
    admission, now, inside = AdmissionQueue(LANES, 0.05, [5.0]), 1.0, {}
    for number, (step, which, passed) in enumerate(steps):
        now += passed
        if step == "join":
            waiting = admission.join(now, now - passed, 1.0, which % 2, which // 2, 1, number)
            if waiting is not None:
                inside[number] = waiting
        elif step == "take":
            taken = admission.take()
            assert (taken is None) == (not inside)
            if taken is not None:
                inside.pop(cast(int, taken))
        elif step == "leave" and inside:
            admission.leave(inside.pop(sorted(inside)[which % len(inside)]))
        elif step == "slice":
            assert Tuning().min_slice_s <= admission.slice_s(now) <= Tuning().min_slice_s + now
            admission.slice_ended(now)
        assert admission.waiting == len(inside)
        assert 0.0 <= admission.cost_s <= 1000.0


def test_a_quota_is_a_rate_with_a_burst_of_one_second() -> None:
    quota = QuotaBucket(10.0)
    assert sum(quota.admits(50.0, True) for _ in range(30)) == 10
    assert sum(quota.admits(50.5, True) for _ in range(30)) == 5
    assert sum(quota.admits(90.0, True) for _ in range(30)) == 10


@given(st.floats(0, 1), st.integers(1, 10_000_000), st.integers(2, 400))
def test_retry_after_times_are_evenly_spread(seed: float, most: int, count: int) -> None:
    spread = RetryAfterJitter(seed)
    times = [spread.jittered_us(most) for _ in range(count)]
    assert all(most // 2 - 1 <= time <= most for time in times)
    if most > 10_000:
        eighths = [sum(1 for t in times if i <= (t / most - 0.5) * 16 < i + 1) for i in range(8)]
        assert max(eighths) <= count / 8 * 2 + 2
    assert spread.jittered_us(0) == 0


# The request preview.

GET = b"GET /status-check/k HTTP/1.1\r\nHost: h\r\nTenant: acme\r\nRequest-Id: 1\r\n\r\n"
POST = b"POST /seat-checkout/k HTTP/1.1\r\nTenant: acme\r\nContent-Length: 4\r\n\r\nbody"


@pytest.mark.parametrize(
    ("data", "seen"),
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
def test_a_preview_reads_only_what_is_plainly_one_request(
    data: bytes, seen: RequestPreview | None
) -> None:
    assert preview_request(data) == seen


class Parsed:
    def __init__(self) -> None:
        self.urls: list[bytes] = []
        self.whole = 0

    def on_url(self, url: bytes) -> None:
        self.urls.append(url)

    def on_message_complete(self) -> None:
        self.whole += 1


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
    """A preview of what the parser takes for two requests, or none, would lose or double one."""
    data = b"".join(parts)
    seen = preview_request(data)
    if seen is None:
        return
    parsed = Parsed()
    try:
        httptools.HttpRequestParser(parsed).feed_data(data)
    except httptools.HttpParserError:
        return  # no request: an error answer is owed, and a refusal is one
    assert parsed.whole <= 1
    assert not parsed.urls or parsed.urls[0].split(b"/")[1] == seen.route_name
