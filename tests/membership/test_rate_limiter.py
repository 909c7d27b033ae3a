"""The bound on bytes and datagrams in any second."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from quillroad.membership.rate_limiter import RateLimiter


@given(st.lists(st.tuples(st.floats(0, 0.4), st.integers(1, 256)), max_size=150))
def test_no_second_holds_more_than_the_budget(asked: list[tuple[float, int]]) -> None:
    limiter, now, went = RateLimiter(2000, 20), 0.0, list[tuple[float, int]]()
    for wait_s, size in asked:
        now += wait_s
        if limiter.try_acquire(size, now):
            went.append((now, size))
        assert limiter.entries <= 20
    for began, _ in went:
        inside = [size for at, size in went if began <= at < began + 1.0]
        assert sum(inside) <= 2000 and len(inside) <= 20
    assert limiter.try_acquire(256, now + 1.0)  # and it comes back
