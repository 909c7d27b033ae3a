"""State machine for the gateway's own service entry in Consul. No I/O.

It decides which call the agent gets next, and when.

Source: Consul's API, "Service - Agent" (api-docs/agent/service: register, deregister) and "Check -
Agent" (api-docs/agent/check: TTL checks, update). Times are seconds of a monotonic clock.

    UNREGISTERED  the agent does not have the entry: register it, with exponential backoff
    REGISTERED    update the check every third of its TTL, and at once when its status changes; an
                  agent that answers 404 or 500 has lost the entry, which is then registered again
    LEAVING       deregister at once, and retry for `DEREGISTER_TIMEOUT_S`; after that the entry
                  expires by its TTL
    GONE          no further calls
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from urllib.parse import quote

INITIAL_WAIT_S = 0.25  # after the first failed call; doubles with each further failure
MAX_WAIT_S = 8.0
DEREGISTER_TIMEOUT_S = 2.0  # retry limit in a drain, which accepts new connections for 0.55 s of it
DEREGISTER_RETRY_S = 0.1  # between two attempts to deregister
UPDATE_INTERVAL_IN_TTLS = 1 / 3  # of the TTL: two updates in a row may be lost
DEREGISTER_AFTER_TTLS = (
    20  # multiple of the TTL after which Consul removes an entry whose check stays critical
)

PASSING, CRITICAL = "passing", "critical"  # statuses of a check


class RegistrationState(Enum):
    """State of the entry; the module docstring describes each."""

    UNREGISTERED = "out"
    REGISTERED = "in"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Entry:
    """The service entry to register.

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
        """The id of the entry's TTL check."""
        return f"service:{self.id}"


@dataclass(frozen=True, slots=True)
class AgentCall:
    """A PUT to the agent. `status` is the check status that it sets, "" if it sets none."""

    target: str
    body: bytes
    status: str = ""
    deregisters: bool = False


class Registration:
    """One entry at one agent.

    `next_s` returns when the next call is due, `call` returns the call, and `answered` records its
    result.
    """

    def __init__(self, entry: Entry, now: float) -> None:
        self._entry = entry
        self.state = RegistrationState.UNREGISTERED
        self.due = now
        self._wait_s = INITIAL_WAIT_S
        self._status = CRITICAL  # the current status
        self._registered_status = ""  # the status that the agent accepted last
        self._deregister_until = 0.0
        # A call was made, so the agent may have the entry even if it has not answered.
        self._agent_may_have_it = False

    def serves(self, now: float, ready: bool) -> None:
        """Set the check status by whether the gateway has usable hosts."""
        self._status = PASSING if ready else CRITICAL
        is_registered = self.state is RegistrationState.REGISTERED
        if is_registered and self._registered_status != self._status:
            self.due = now

    def leave(self, now: float) -> None:
        """Start to deregister, because the gateway drains."""
        if self.state is RegistrationState.UNREGISTERED and not self._agent_may_have_it:
            self.state = RegistrationState.GONE
        elif self.state in (RegistrationState.UNREGISTERED, RegistrationState.REGISTERED):
            self.state = RegistrationState.LEAVING
            self.due = now
            self._deregister_until = now + DEREGISTER_TIMEOUT_S

    def next_s(self, now: float) -> float | None:
        """Return the seconds until the next call is due, or None if no call will follow."""
        return None if self.state is RegistrationState.GONE else max(0.0, self.due - now)

    def call(self) -> AgentCall:
        """Return the call to make now."""
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
                "DeregisterCriticalServiceAfter": f"{DEREGISTER_AFTER_TTLS * entry.ttl_s:g}s",
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
        """Record the HTTP status of the agent's answer to `call`, 0 if there was no answer.

        Returns a log message if the answer changes the state of the entry or is the first failure
        in a row, otherwise "".
        """
        if self.state is RegistrationState.LEAVING:
            return self._answered_while_leaving(now, call, status)
        if status == 200:
            return self._accepted(now, call)
        if self.state is RegistrationState.REGISTERED and status in (404, 500):
            # Wait first: an agent that accepts the entry but never knows its check would otherwise
            # be called in a tight loop.
            self.state = RegistrationState.UNREGISTERED
            self.due = now + INITIAL_WAIT_S
            return "the agent lost the entry; registering it again"
        return self._failed(now, status)

    def _answered_while_leaving(self, now: float, call: AgentCall, status: int) -> str:
        if not call.deregisters:
            # The drain started while this call was in flight; the call may have registered the
            # entry.
            self.due = now
            return ""
        if status == 200:
            self.state = RegistrationState.GONE
            return "deregistered"
        if status == 404 or now >= self._deregister_until:
            self.state = RegistrationState.GONE
            return f"deregistering failed: {_reason(status)}; the entry expires by its TTL"
        self.due = now + DEREGISTER_RETRY_S
        return ""

    def _accepted(self, now: float, call: AgentCall) -> str:
        was_unregistered = self.state is RegistrationState.UNREGISTERED
        self.state = RegistrationState.REGISTERED
        self._wait_s = INITIAL_WAIT_S
        self._registered_status = call.status or self._status
        is_current = self._registered_status == self._status
        self.due = now + UPDATE_INTERVAL_IN_TTLS * self._entry.ttl_s if is_current else now
        return "registered" if was_unregistered else ""

    def _failed(self, now: float, status: int) -> str:
        is_first = self._wait_s == INITIAL_WAIT_S
        self.due = now + self._wait_s
        self._wait_s = min(MAX_WAIT_S, 2 * self._wait_s)
        if self.state is RegistrationState.REGISTERED:
            self.due = min(self.due, now + UPDATE_INTERVAL_IN_TTLS * self._entry.ttl_s)
        return f"the agent did not accept the entry: {_reason(status)}" if is_first else ""


def _reason(status: int) -> str:
    return f"status {status}" if status else "no answer"
