"""The gateway's own entry in Consul: what to say to the agent next, and when. No I/O.

Source: Consul's API, "Service - Agent" (api-docs/agent/service: register, deregister) and "Check -
Agent" (api-docs/agent/check: TTL checks, update). Times are seconds of one clock that never goes
back.

    UNREGISTERED  the agent does not have it: register, with a backoff that doubles while that fails
    REGISTERED    update the check every third of its TTL, and at once when its status changes; an
                  agent that does not know the check any more (404, 500) has lost it, so it is
                  registered anew
    LEAVING       deregister at once, and again for a while; then it is left to the TTL
    GONE          nothing more is said
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from urllib.parse import quote

FIRST_WAIT_S = 0.25  # before the second call, while the agent does not answer; it doubles
LONGEST_WAIT_S = 8.0
LEAVE_S = 2.0  # in which a drain tries to deregister: new connections are taken for 0.55 s of it
LEAVE_AGAIN_S = 0.1  # between two attempts to deregister
UPDATE_INTERVAL = 1 / 3  # of the TTL: two updates may get lost
DEREGISTER_AFTER = 20  # times the TTL, after which Consul drops an entry that nobody updates

PASSING, CRITICAL = "passing", "critical"  # statuses of a check


class RegistrationState(Enum):
    """Where the entry stands; the module's docstring explains each."""

    UNREGISTERED = "out"
    REGISTERED = "in"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Entry:
    """What is registered.

    `ttl_s` is the time without an update after which Consul counts the check as critical.
    """

    id: str
    service: str
    address: str
    port: int
    ttl_s: float
    meta: tuple[tuple[str, str], ...] = ()

    @property
    def check(self) -> str:
        """The id of its TTL check."""
        return f"service:{self.id}"


@dataclass(frozen=True, slots=True)
class AgentCall:
    """A PUT to the agent. `status` is what it says of the check, if anything."""

    target: str
    body: bytes
    status: str = ""
    deregisters: bool = False


class Registration:
    """One entry at one agent: `next_s` says when `call` is due, `answered` takes the result."""

    def __init__(self, entry: Entry, now: float) -> None:
        self._entry = entry
        self.state = RegistrationState.UNREGISTERED
        self.due = now
        self._wait_s = FIRST_WAIT_S
        self._status = CRITICAL  # as it is
        self._registered_status = ""  # as the agent has it
        self._leaves_until = 0.0
        # Something was said, so that the agent may have the entry though it has not answered.
        self._agent_may_have_it = False

    def serves(self, now: float, ready: bool) -> None:
        """Note whether the gateway has hosts to serve by."""
        self._status = PASSING if ready else CRITICAL
        is_registered = self.state is RegistrationState.REGISTERED
        if is_registered and self._registered_status != self._status:
            self.due = now

    def leave(self, now: float) -> None:
        """The gateway drains: deregister from now on."""
        if self.state is RegistrationState.UNREGISTERED and not self._agent_may_have_it:
            self.state = RegistrationState.GONE
        elif self.state in (RegistrationState.UNREGISTERED, RegistrationState.REGISTERED):
            self.state = RegistrationState.LEAVING
            self.due = now
            self._leaves_until = now + LEAVE_S

    def next_s(self, now: float) -> float | None:
        """Seconds until something is to be said; None: nothing any more."""
        return None if self.state is RegistrationState.GONE else max(0.0, self.due - now)

    def call(self) -> AgentCall:
        """What to say now."""
        self._agent_may_have_it = True
        if self.state is RegistrationState.UNREGISTERED:
            return self._register()
        if self.state is RegistrationState.REGISTERED:
            return self._update()
        target = f"/v1/agent/service/deregister/{quote(self._entry.id, safe='')}"
        return AgentCall(target, b"", deregisters=True)

    def _register(self) -> AgentCall:
        entry = self._entry
        document = {
            "ID": entry.id,
            "Name": entry.service,
            "Address": entry.address,
            "Port": entry.port,
            "Meta": dict(entry.meta),
            "Check": {
                "CheckID": entry.check,
                "Name": "quillroad serves",
                "TTL": f"{entry.ttl_s:g}s",
                "Status": self._status,
                "DeregisterCriticalServiceAfter": f"{DEREGISTER_AFTER * entry.ttl_s:g}s",
            },
        }
        target = "/v1/agent/service/register?replace-existing-checks=true"
        return AgentCall(target, json.dumps(document).encode())

    def _update(self) -> AgentCall:
        output = "has hosts" if self._status == PASSING else "has no hosts to serve by"
        target = f"/v1/agent/check/update/{quote(self._entry.check, safe='')}"
        body = json.dumps({"Status": self._status, "Output": output}).encode()
        return AgentCall(target, body, self._status)

    def answered(self, now: float, call: AgentCall, status: int) -> str:
        """Take the agent's answer to `call`, 0 for none.

        Returns a line for the log where that is news, else nothing.
        """
        if self.state is RegistrationState.LEAVING:
            return self._answered_while_leaving(now, call, status)
        if status == 200:
            return self._accepted(now, call)
        if self.state is RegistrationState.REGISTERED and status in (404, 500):
            # Not at once: an agent that takes the entry and never knows it must not be called in a
            # storm.
            self.state = RegistrationState.UNREGISTERED
            self.due = now + FIRST_WAIT_S
            return "the agent has lost the entry: it is registered anew"
        return self._failed(now, status)

    def _answered_while_leaving(self, now: float, call: AgentCall, status: int) -> str:
        if not call.deregisters:
            # The drain came while something else was on its way: that may have registered it.
            self.due = now
            return ""
        if status == 200:
            self.state = RegistrationState.GONE
            return "deregistered"
        if status == 404 or now >= self._leaves_until:
            self.state = RegistrationState.GONE
            return f"could not deregister: {_reason(status)}; the TTL will"
        self.due = now + LEAVE_AGAIN_S
        return ""

    def _accepted(self, now: float, call: AgentCall) -> str:
        was_unregistered = self.state is RegistrationState.UNREGISTERED
        self.state = RegistrationState.REGISTERED
        self._wait_s = FIRST_WAIT_S
        self._registered_status = call.status or self._status
        is_current = self._registered_status == self._status
        self.due = now + UPDATE_INTERVAL * self._entry.ttl_s if is_current else now
        return "registered" if was_unregistered else ""

    def _failed(self, now: float, status: int) -> str:
        is_first = self._wait_s == FIRST_WAIT_S
        self.due = now + self._wait_s
        self._wait_s = min(LONGEST_WAIT_S, 2 * self._wait_s)
        if self.state is RegistrationState.REGISTERED:
            self.due = min(self.due, now + UPDATE_INTERVAL * self._entry.ttl_s)
        return f"the agent does not take it: {_reason(status)}" if is_first else ""


def _reason(status: int) -> str:
    return f"status {status}" if status else "no answer"
