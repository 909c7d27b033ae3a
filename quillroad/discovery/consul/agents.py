"""Which agent to query, and what its answers say of the agent itself. No I/O.

Times are seconds of one clock that never goes back. An agent's death shows as silence alone, so
queries block for a short time only, and another agent is queried as soon as one is late. What the
last one told stays in use meanwhile.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from quillroad.config import Address

SHOWN_CHARACTERS = 20  # of a header that makes no sense, in the reason


class Verdict(Enum):
    """What an answer is good for."""

    USE = "use"
    RETRY = "retry"  # another agent may do better
    DENIED = "denied"  # the token is not enough: all agents will say so


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on agents that fail, in seconds.

    `most_stale_s` bounds how far behind its leader the server that answered may be
    (X-Consul-LastContact).
    """

    first_wait_s: float = 0.1
    most_wait_s: float = 5.0
    denied_wait_s: float = 5.0  # a token may be given its rights while we run
    most_stale_s: float = 10.0


def judge(status: int, headers: Mapping[str, str], limits: Limits) -> tuple[Verdict, str]:
    """What to make of an answer, with the reason; header names are in lower case."""
    if status in (401, 403):
        return Verdict.DENIED, f"status {status}: the token has not the rights"
    if status != 200:
        return Verdict.RETRY, f"status {status}"
    if headers.get("x-consul-knownleader", "true") == "false":
        return Verdict.RETRY, "its servers have no leader"
    contact = headers.get("x-consul-lastcontact", "0")
    if not contact.isdigit() or int(contact) > limits.most_stale_s * 1000:
        return Verdict.RETRY, f"{contact[:SHOWN_CHARACTERS]} ms behind its leader"
    return Verdict.USE, ""


class Agents:
    """Rotates among agents.

    The one that answers is kept, one that fails is left for the next, and each has a backoff of its
    own. `jitter` (0 to 1) sets where in the waits this gateway lies, so that many do not query in
    step. Raises `ValueError` where there are no addresses.
    """

    def __init__(self, addresses: Sequence[Address], limits: Limits, jitter: float) -> None:
        if not addresses:
            raise ValueError("no agents")
        self.addresses = tuple(addresses)
        self._limits = limits
        self._jitter = jitter
        self._wait_s = [0.0] * len(addresses)
        self._free_at = [0.0] * len(addresses)
        self._current = int(jitter * len(addresses)) % len(addresses)

    @property
    def current(self) -> Address:
        """The agent to query."""
        return self.addresses[self._current]

    def answered(self) -> None:
        """Note that the current agent is of use: its backoff starts anew."""
        self._wait_s[self._current] = 0.0

    def failed(self, now: float, denied: bool = False) -> float:
        """Turn to the agent that may be queried first; returns in how many seconds."""
        limits, failing = self._limits, self._current
        if denied:
            self._wait_s[failing] = limits.denied_wait_s
        else:
            doubled = max(limits.first_wait_s, 2 * self._wait_s[failing])
            self._wait_s[failing] = min(limits.most_wait_s, doubled)
        self._free_at[failing] = now + self._wait_s[failing] * (0.5 + self._jitter / 2)
        count = len(self.addresses)
        order = [(failing + 1 + i) % count for i in range(count)]
        self._current = min(order, key=lambda i: max(now, self._free_at[i]))
        return max(0.0, self._free_at[self._current] - now)
