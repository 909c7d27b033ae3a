"""Which agent to ask, and what its answers say of the agent itself. No I/O.

Times are seconds of one clock that never goes back. An agent's death shows as silence alone, so queries block
for a short time only, and another agent is asked as soon as one is late. What the last one told stands
meanwhile.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from quillroad.config import Address


class Verdict(Enum):
    """What an answer is good for."""

    USE = "use"
    RETRY = "retry"  # another agent may do better
    DENIED = "denied"  # the token is not enough: all agents will say so


@dataclass(frozen=True, slots=True)
class Limits:
    """`most_stale_s` bounds how far behind its leader the server that answered may be
    (X-Consul-LastContact)."""

    first_wait_s: float = 0.1
    most_wait_s: float = 5.0
    denied_wait_s: float = 5.0  # a token may be given its rights while we run
    most_stale_s: float = 10.0


def judge(status: int, headers: dict[str, str], limits: Limits) -> tuple[Verdict, str]:
    """What to make of an answer by its status and headers (names in small letters), with the reason."""
    if status in (401, 403):
        return Verdict.DENIED, f"status {status}: the token has not the rights"
    if status != 200:
        return Verdict.RETRY, f"status {status}"
    if headers.get("x-consul-knownleader", "true") == "false":
        return Verdict.RETRY, "its servers have no leader"
    contact = headers.get("x-consul-lastcontact", "0")
    if not contact.isdigit() or int(contact) > limits.most_stale_s * 1000:
        return Verdict.RETRY, f"{contact[:20]} ms behind its leader"
    return Verdict.USE, ""


class Agents:
    """Takes turns among agents: the one that answers is kept, one that fails is left for the next, and each
    has a wait of its own that doubles while it fails."""

    def __init__(self, addresses: Sequence[Address], limits: Limits, jitter: float) -> None:
        """`jitter` (0 to 1) sets where in the waits this gateway lies, so that many do not ask in step."""
        if not addresses:
            raise ValueError("no agents")
        self.addresses, self._limits, self._jitter = tuple(addresses), limits, jitter
        self._wait_s = [0.0] * len(addresses)
        self._free_at = [0.0] * len(addresses)
        self._current = int(jitter * len(addresses)) % len(addresses)

    @property
    def current(self) -> Address:
        return self.addresses[self._current]

    def answered(self) -> None:
        self._wait_s[self._current] = 0.0

    def failed(self, now: float, denied: bool = False) -> float:
        """The current one is of no use now; turns to the one that may be asked first, and returns in how many
        seconds."""
        limits, one = self._limits, self._current
        wait_s = min(limits.most_wait_s, max(limits.first_wait_s, 2 * self._wait_s[one]))
        self._wait_s[one] = limits.denied_wait_s if denied else wait_s
        self._free_at[one] = now + self._wait_s[one] * (0.5 + self._jitter / 2)
        order = [(one + 1 + i) % len(self.addresses) for i in range(len(self.addresses))]
        self._current = min(order, key=lambda i: max(now, self._free_at[i]))
        return max(0.0, self._free_at[self._current] - now)
