"""Rules of blocking queries: the index and the time of the next query. No I/O.

Source: Consul's API, "Blocking queries" (api-docs/features/blocking): the client resets the
index to 0 when an answer has a lower index than the one before, replaces an answered index below 1
by 1, and limits the rate of its own queries.
"""

from __future__ import annotations

from dataclasses import dataclass

NO_INDEX = "no X-Consul-Index"
MAX_INDEX_DIGITS = 19  # of an index, an unsigned 64-bit number on the server
SHOWN_CHARACTERS = 20  # of an invalid index, in the reason


@dataclass(frozen=True, slots=True)
class QueryPace:
    """How long queries block and how often they are made, in seconds.

    `wait_s` is how long a query may block. It is short because an agent that died can be told from
    an agent without changes only by an answer that does not arrive in time. `slack` is the fraction
    of the wait that an agent adds as jitter (a sixteenth according to Consul's documentation).
    """

    wait_s: float = 2.0
    slack: float = 1 / 16
    grace_s: float = 1.0  # for the answer to arrive after the wait
    burst: int = 10  # queries that may be sent without a delay
    rate: float = 20.0  # queries a second after the burst, if the index changes continuously


class QueryIndex:
    """The index and the rate limit of one blocking query."""

    def __init__(self, pace: QueryPace) -> None:
        self.pace = pace
        self.value = 0  # 0: the agent answers at once with the current state
        self._tokens = float(pace.burst)
        self._filled_at = 0.0

    def reset(self) -> None:
        """Reset the index after a failed query or a change of agent.

        Indexes of two servers cannot be compared.
        """
        self.value = 0

    def update(self, text: str | None) -> str:
        """Set the index from an answer; returns what is wrong with it, or an empty string."""
        if text is None or not (
            text.isascii() and text.isdigit() and len(text) <= MAX_INDEX_DIGITS
        ):
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
        """Take a token of the rate limit; returns the seconds to wait before the next query."""
        pace = self.pace
        refilled = self._tokens + pace.rate * max(0.0, now - self._filled_at)
        self._tokens = min(float(pace.burst), refilled) - 1.0
        self._filled_at = now
        return 0.0 if self._tokens >= 0.0 else -self._tokens / pace.rate

    def silence_s(self) -> float:
        """Return the answer timeout in seconds; an agent that exceeds it counts as dead."""
        blocks_s = self.pace.wait_s * (1.0 + self.pace.slack) if self.value else 0.0
        return blocks_s + self.pace.grace_s
