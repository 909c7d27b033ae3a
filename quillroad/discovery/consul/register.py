"""The gateway's own entry in Consul: what to say to the agent next, and when. No I/O.

Source: Consul's API, "Service - Agent" (api-docs/agent/service: register, deregister) and "Check - Agent"
(api-docs/agent/check: TTL checks, update). Times are seconds of one clock that never goes back.

    OUT      the agent does not have it: register, with waits that double while that fails
    IN       tell the check's state every third of its TTL, and at once when it changes; an agent that does
             not know the check any more (404, 500) has lost it, so it is registered anew
    LEAVING  deregister at once, and again for a while; then it is left to the TTL
    GONE     nothing more is said
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from urllib.parse import quote

FIRST_WAIT_S, MOST_WAIT_S = 0.25, 8.0  # between two tries while the agent does not answer
LEAVE_S = 2.0  # in which a drain tries to deregister: new connections are taken for 0.55 s of it
LEAVE_AGAIN_S = 0.1
PART = 1 / 3  # of the TTL between two words: two may get lost
LEFT_AFTER = 20  # times the TTL, after which Consul drops an entry that nobody cares for


class Where(Enum):
    OUT = "out"
    IN = "in"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Entry:
    """What is registered. `ttl_s` is the time without a word after which Consul counts it as critical."""

    id: str
    service: str
    address: str
    port: int
    ttl_s: float
    meta: tuple[tuple[str, str], ...] = ()

    @property
    def check(self) -> str:
        return f"service:{self.id}"


@dataclass(frozen=True, slots=True)
class Call:
    """A PUT to the agent."""

    target: str
    body: bytes


class Registration:
    """One entry at one agent. `next_s` says when `call` is due, `answered` what came of it."""

    def __init__(self, entry: Entry, now: float) -> None:
        self._entry = entry
        self.where = Where.OUT
        self.due = now
        self._wait_s = FIRST_WAIT_S
        self._status, self._told = "critical", ""
        self._until = 0.0
        self._said = (
            False  # anything, so that the agent may have the entry though it has not answered
        )

    def serves(self, now: float, ready: bool) -> None:
        """Whether the gateway has hosts to serve by."""
        self._status = "passing" if ready else "critical"
        if self.where is Where.IN and self._told != self._status:
            self.due = now

    def leave(self, now: float) -> None:
        """The gateway drains."""
        if self.where is Where.OUT and not self._said:
            self.where = Where.GONE
        elif self.where in (Where.OUT, Where.IN):
            self.where, self.due, self._until = Where.LEAVING, now, now + LEAVE_S

    def next_s(self, now: float) -> float | None:
        """Seconds until something is to be said; None: nothing any more."""
        return None if self.where is Where.GONE else max(0.0, self.due - now)

    def call(self) -> Call:
        """What to say now."""
        one, self._said = self._entry, True
        if self.where is Where.OUT:
            return Call(
                "/v1/agent/service/register?replace-existing-checks=true",
                json.dumps(
                    {
                        "ID": one.id,
                        "Name": one.service,
                        "Address": one.address,
                        "Port": one.port,
                        "Meta": dict(one.meta),
                        "Check": {
                            "CheckID": one.check,
                            "Name": "quillroad serves",
                            "TTL": f"{one.ttl_s:g}s",
                            "Status": self._status,
                            "DeregisterCriticalServiceAfter": f"{LEFT_AFTER * one.ttl_s:g}s",
                        },
                    }
                ).encode(),
            )
        if self.where is Where.IN:
            why = "has hosts" if self._status == "passing" else "has no hosts to serve by"
            return Call(
                f"/v1/agent/check/update/{quote(one.check, safe='')}",
                json.dumps({"Status": self._status, "Output": why}).encode(),
            )
        return Call(f"/v1/agent/service/deregister/{quote(one.id, safe='')}", b"")

    def answered(self, now: float, asked: Call, status: int) -> str:
        """The agent's answer to `asked`, 0 for none. Returns a line for people where that is news."""
        good = status == 200
        leaves = "/deregister/" in asked.target
        if self.where is Where.LEAVING and not leaves:
            self.due = (
                now  # it drained while something else was on its way: that may have registered it
            )
            return ""
        if self.where is Where.LEAVING:
            if good or status == 404 or now >= self._until:
                self.where = Where.GONE
                return (
                    "deregistered"
                    if good
                    else f"could not deregister: {self._why(status)}; the TTL will"
                )
            self.due = now + LEAVE_AGAIN_S
            return ""
        if good:
            before, self.where = self.where, Where.IN
            self._wait_s, self._told = (
                FIRST_WAIT_S,
                json.loads(asked.body).get("Status", self._status),
            )
            self.due = now if self._told != self._status else now + PART * self._entry.ttl_s
            return "registered" if before is Where.OUT else ""
        if self.where is Where.IN and status in (404, 500):
            # Not at once: an agent that takes the entry and never knows it must not be asked in a storm.
            self.where, self.due = Where.OUT, now + FIRST_WAIT_S
            return "the agent has lost the entry: it is registered anew"
        first, self.due = self._wait_s == FIRST_WAIT_S, now + self._wait_s
        self._wait_s = min(MOST_WAIT_S, 2 * self._wait_s)
        if self.where is Where.IN:
            self.due = min(self.due, now + PART * self._entry.ttl_s)
        return f"the agent does not take it: {self._why(status)}" if first else ""

    @staticmethod
    def _why(status: int) -> str:
        return f"status {status}" if status else "no answer"
