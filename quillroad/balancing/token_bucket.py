"""A capped token bucket: the budget of retries, and the rate of a tenant."""

from __future__ import annotations


class TokenBucket:
    """Tokens that are earned up to a cap and spent one at a time.

    `tokens` is what it holds now, `filled_us` the time of the last refill where tokens are earned
    by the passing of time.
    """

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens
        self.filled_us = 0

    def earn(self, amount: float, cap: float) -> None:
        """Add `amount` tokens; the bucket holds at most `cap` after it."""
        self.tokens = min(cap, self.tokens + amount)

    def spend(self) -> bool:
        """Take one token; False, and nothing is taken, where there is no whole one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
