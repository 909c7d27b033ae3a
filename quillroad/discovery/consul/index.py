"""The rules of blocking queries: which index to query from next, and how soon. No I/O.

Source: Consul's API, "Blocking queries" (api-docs/features/blocking): the index goes back to 0 when
the one of an answer is lower than the one before, is never below 1, and a client limits the rate of
its own queries.
"""

from __future__ import annotations

from dataclasses import dataclass

NO_INDEX = "no X-Consul-Index"
LONGEST_DIGITS = 19  # of an index, which is an unsigned 64-bit number at the server
SHOWN_CHARACTERS = 20  # of an index that makes no sense, in the reason


@dataclass(frozen=True, slots=True)
class QueryPace:
    """How long queries block and how often they are made, in seconds.

    `wait_s` is what a query may block for: short, since a blocking query is silent by nature, and
    an agent that died is told from one with nothing to say by its silence alone. `slack` is the
    part of the wait that an agent adds by itself (a sixteenth, by its documentation).
    """

    wait_s: float = 2.0
    slack: float = 1 / 16
    grace_s: float = 1.0  # for the answer to come back after that
    burst: int = 10  # queries that may follow each other at once
    rate: float = (
        20.0  # queries a second beyond that: an index that runs away must not become a storm
    )


class QueryIndex:
    """The index of one query at one agent."""

    def __init__(self, pace: QueryPace) -> None:
        self.pace = pace
        self.value = 0  # 0: the agent answers at once with what there is
        self._tokens = float(pace.burst)
        self._filled_at = 0.0

    def reset(self) -> None:
        """Another agent, or a failed query: indexes of two servers cannot be compared."""
        self.value = 0

    def update(self, text: str | None) -> str:
        """Take over the index of an answer; returns what was wrong with it, or an empty line."""
        if text is None or not (text.isascii() and text.isdigit() and len(text) <= LONGEST_DIGITS):
            self.value = 0
            return NO_INDEX if text is None else f"X-Consul-Index is {text[:SHOWN_CHARACTERS]!r}"
        index = int(text)
        if index < 1:
            self.value = 1
            return "X-Consul-Index below 1"
        if index < self.value:
            before, self.value = self.value, 0
            return f"X-Consul-Index went back from {before} to {index}"
        self.value = index
        return ""

    def delay_s(self, now: float) -> float:
        """Seconds to wait before the next query; takes a token of the rate limit."""
        pace = self.pace
        refilled = self._tokens + pace.rate * max(0.0, now - self._filled_at)
        self._tokens = min(float(pace.burst), refilled) - 1.0
        self._filled_at = now
        return 0.0 if self._tokens >= 0.0 else -self._tokens / pace.rate

    def silence_s(self) -> float:
        """How long an answer may take, in seconds; after that the agent counts as dead."""
        blocks_s = self.pace.wait_s * (1.0 + self.pace.slack) if self.value else 0.0
        return blocks_s + self.pace.grace_s
