"""A tenant's quota at this gateway, as a token bucket. Free of I/O."""

from __future__ import annotations

from typing import NamedTuple


class BucketState(NamedTuple):
    """What a bucket holds: `tokens` at the time `counted_at` (seconds of the gateway's clock)."""

    tokens: float
    counted_at: float


class QuotaBucket:
    """Tokens at `rate` a second, one for each request within the quota.

    One second's worth of tokens may be used at once, and one token at the least. Times are seconds
    of one clock that never goes back.
    """

    __slots__ = ("_burst", "_counted_at", "_rate", "_tokens")

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._burst = max(1.0, rate)
        self._tokens = self._burst
        self._counted_at = 0.0

    def state(self) -> BucketState:
        """The tokens and when they were counted, for a successor of this process."""
        return BucketState(self._tokens, self._counted_at)

    def resume(self, state: tuple[float, float]) -> None:
        """Go on with the tokens that a predecessor of this process had."""
        self._tokens, self._counted_at = state

    def admits(self, now: float, takes: bool) -> bool:
        """Whether one more request is within the quota; takes a token for it if `takes`."""
        earned = self._rate * (now - self._counted_at)
        self._tokens = min(self._burst, self._tokens + earned)
        self._counted_at = now
        if self._tokens < 1.0:
            return False
        if takes:
            self._tokens -= 1.0
        return True
