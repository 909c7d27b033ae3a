"""The limit on bytes and datagrams in any second."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from quillroad.membership.rate_limiter import RateLimiter


@given(st.lists(st.tuples(st.floats(0, 0.4), st.integers(1, 256)), max_size=150))
def test_no_second_exceeds_the_limits(requested: list[tuple[float, int]]) -> None:
    limiter, now, accepted = RateLimiter(2000, 20), 0.0, list[tuple[float, int]]()
    for wait_s, size in requested:
        now += wait_s
        if limiter.try_acquire(size, now):
            accepted.append((now, size))
        assert limiter.entries <= 20
    for start, _ in accepted:
        inside = [size for at, size in accepted if start <= at < start + 1.0]
        assert sum(inside) <= 2000 and len(inside) <= 20
    assert limiter.try_acquire(256, now + 1.0)  # the budget is available again
