"""The token bucket."""

from __future__ import annotations

from quillroad.balancing.retry import MAX_TOKENS, TOKENS_EARNED
from quillroad.balancing.token_bucket import TokenBucket


def test_bucket_has_capacity_and_spends_whole_tokens() -> None:
    bucket = TokenBucket(5.0)
    while bucket.spend():
        pass
    assert bucket.tokens < 1
    for _ in range(10_000):
        bucket.earn(TOKENS_EARNED, MAX_TOKENS)
    assert bucket.tokens == MAX_TOKENS
