"""A token bucket with a capacity, used for retry budgets and tenant quotas."""

from __future__ import annotations


class TokenBucket:
    """A bucket that is filled up to a capacity and from which tokens are taken one at a time.

    `tokens`: its current content. `filled_us`: time of the last refill, where the caller refills it
    by elapsed time.
    """

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens
        self.filled_us = 0

    def earn(self, amount: float, cap: float) -> None:
        """Add `amount` tokens, but at most up to a content of `cap` tokens."""
        self.tokens = min(cap, self.tokens + amount)

    def spend(self) -> bool:
        """Take one token and return True; return False if the bucket holds less than one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
