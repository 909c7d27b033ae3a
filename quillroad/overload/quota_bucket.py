"""Token bucket for a tenant's request quota at this gateway. No I/O."""

from __future__ import annotations

from typing import NamedTuple


class BucketState(NamedTuple):
    """The state of a bucket: `tokens` at time `counted_at` (monotonic clock, seconds)."""

    tokens: float
    counted_at: float


class QuotaBucket:
    """A token bucket that is refilled at `rate` tokens per second; each request uses one token.

    The burst is one second's worth of tokens, at least one token. Times are seconds of a monotonic
    clock.
    """

    __slots__ = ("_burst", "_counted_at", "_rate", "_tokens")

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._burst = max(1.0, rate)
        self._tokens = self._burst
        self._counted_at = 0.0

    def state(self) -> BucketState:
        """Return the state for hand-over to the successor of this process."""
        return BucketState(self._tokens, self._counted_at)

    def resume(self, state: tuple[float, float]) -> None:
        """Restore the state that the predecessor of this process handed over."""
        self._tokens, self._counted_at = state

    def admits(self, now: float, consume_token: bool) -> bool:
        """Return whether one more request is within the quota; use a token if `consume_token`."""
        refill = self._rate * (now - self._counted_at)
        self._tokens = min(self._burst, self._tokens + refill)
        self._counted_at = now
        if self._tokens < 1.0:
            return False
        if consume_token:
            self._tokens -= 1.0
        return True
