"""Selection of the Consul agent to query, and checks of its answers. No I/O.

Times are seconds of a monotonic clock. A dead agent can only be recognised by missing answers, so
queries block for a short time only, and another agent is queried as soon as an answer is late. The
last list stays in use meanwhile.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from quillroad.config import Address

SHOWN_CHARACTERS = 20  # of an invalid header, in the reason


class Verdict(Enum):
    """Whether an answer can be used, and if not, whether another agent may help."""

    USE = "use"
    RETRY = "retry"  # another agent may give a usable answer
    DENIED = "denied"  # the token lacks permission: every agent will refuse it


@dataclass(frozen=True, slots=True)
class Limits:
    """Backoff limits for failing agents and the accepted staleness of answers, in seconds.

    `max_period_s` is the longest time from the start of a failed query to the next one of the same
    agent: a query that was open when the agent returned, and the wait after it, hide the return for
    no longer. `max_stale_s` is the longest accepted time since the answering server last heard from
    its leader (X-Consul-LastContact).
    """

    initial_wait_s: float = 0.1
    max_wait_s: float = 5.0
    max_period_s: float = 5.0
    denied_wait_s: float = 5.0  # the token may be granted permission while the gateway runs
    max_stale_s: float = 10.0


def classify_answer(status: int, headers: Mapping[str, str], limits: Limits) -> tuple[Verdict, str]:
    """Classify an answer; returns the verdict and the reason for rejecting it.

    Header names are in lower case.
    """
    if status in (401, 403):
        return Verdict.DENIED, f"status {status}: the token lacks permission"
    if status != 200:
        return Verdict.RETRY, f"status {status}"
    if headers.get("x-consul-knownleader", "true") == "false":
        return Verdict.RETRY, "the Consul servers have no leader"
    contact = headers.get("x-consul-lastcontact", "0")
    if not contact.isdigit() or int(contact) > limits.max_stale_s * 1000:
        return (
            Verdict.RETRY,
            f"{contact[:SHOWN_CHARACTERS]} ms since the last contact with its leader",
        )
    return Verdict.USE, ""


class Agents:
    """Rotation among agents, with a backoff for each.

    An agent that answers stays current; after a failure the next agent that may be queried takes
    its place. `jitter` (0 to 1) varies the first agent and the waits between gateways, so that
    they do not query in step. Raises `ValueError` if `addresses` is empty.
    """

    def __init__(self, addresses: Sequence[Address], limits: Limits, jitter: float) -> None:
        if not addresses:
            raise ValueError("no Consul agent addresses given")
        self.addresses = tuple(addresses)
        self._limits = limits
        self._jitter = jitter
        self._wait_s = [0.0] * len(addresses)
        self._retry_at = [0.0] * len(addresses)
        self._current = int(jitter * len(addresses)) % len(addresses)

    @property
    def current(self) -> Address:
        """The agent to query."""
        return self.addresses[self._current]

    def answered(self) -> None:
        """Record a usable answer of the current agent: its backoff is reset."""
        self._wait_s[self._current] = 0.0

    def failed(self, now: float, began_at: float, denied: bool = False) -> float:
        """Record the end of a query that began at `began_at` and got no usable answer.

        Switches to the agent that may be queried first; returns the seconds until then.
        """
        limits, failing = self._limits, self._current
        if denied:
            self._wait_s[failing] = limits.denied_wait_s
        else:
            doubled_s = max(limits.initial_wait_s, 2 * self._wait_s[failing])
            self._wait_s[failing] = min(limits.max_wait_s, doubled_s)
        backoff_end = now + self._wait_s[failing] * (0.5 + self._jitter / 2)
        latest = max(now + limits.initial_wait_s, began_at + limits.max_period_s)
        self._retry_at[failing] = min(backoff_end, latest)
        count = len(self.addresses)
        order = [(failing + 1 + i) % count for i in range(count)]
        self._current = min(order, key=lambda i: max(now, self._retry_at[i]))
        return max(0.0, self._retry_at[self._current] - now)
