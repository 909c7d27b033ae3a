"""The simulator's protocol on standard input and output: one balancer for each of its gateways.

No decision is made here. The protocol's words stay in this file. Run as
`python -m quillroad.balancing.simulator`. Input that is no legal batch ends the run with status 2.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import IO, Any

from quillroad.balancing.actions import (
    Action,
    CancelAttempt,
    Fail,
    LogMessage,
    Reject,
    SendAttempt,
    SetTimer,
    StartHealthCheck,
    WatchEndpoints,
)
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    HealthCheckFinished,
    Outcome,
    RequestArrived,
    StreamStarted,
    TimerFired,
    UpdateKind,
)
from quillroad.balancing.platform_settings import read_settings

OUTCOMES = {
    "success": Outcome.SUCCESS,
    "failure": Outcome.ERROR,
    "overloaded": Outcome.REJECTED,
    "timed_out": Outcome.TIMEOUT,
    "unreachable": Outcome.CONNECT_FAILED,
    "broken": Outcome.RESET,
    "withdrawn": Outcome.CANCELLED,
    "void": Outcome.NOT_SENT,
}
"""Outcomes by the protocol's words."""
STATES = {state.value: state for state in EndpointStatus}
"""Endpoint statuses by the protocol's numbers."""
LIST_KINDS = {kind.value: kind for kind in UpdateKind}
"""Kinds of endpoint lists by the protocol's numbers."""


class BatchError(Exception):
    """The line is no legal batch; the text says what is wrong and where."""


HAS_WORK_ESTIMATE = 1
"""Bit of an arrival: its work estimate counts."""
IS_RETRY = 2
"""Bit of an arrival: its client marked it as a retry."""
SHOWN = 80
"""Characters of a bad message that an error line shows."""


def _at(message: list[Any], index: int, default: Any = None) -> Any:
    """A trailing value may be absent, and any absent value is null."""
    value = message[index] if index < len(message) else None
    return default if value is None else value


def _whole(value: Any) -> int:
    if type(value) is not int:
        raise BatchError(f"a whole number is needed, not {value!r}")
    return value


def _endpoint(entry: list[Any]) -> Endpoint:
    return Endpoint(
        id=_whole(entry[0]),
        started_us=_at(entry, 1),
        cell=_at(entry, 2, 0),
        machine_type=_at(entry, 3, 0),
        weight=_at(entry, 4, 1.0),
        status=STATES[_at(entry, 5, 1)],
        zone=_at(entry, 6, 0),
    )


def _arrived(message: list[Any]) -> RequestArrived:
    bits = _at(message, 4, 0)
    return RequestArrived(
        request=_whole(message[1]),
        route=_whole(_at(message, 2, 0)),
        deadline_us=_whole(message[3]),
        key=_at(message, 5),
        work_estimate_us=_at(message, 6) if bits & HAS_WORK_ESTIMATE else None,
        tenant=_at(message, 7, 0),
        is_retry=bool(bits & IS_RETRY),
    )


READERS: dict[str, Callable[[list[Any]], Event]] = {
    "job_in": _arrived,
    "verdict": lambda m: AttemptFinished(
        _whole(m[1]), _whole(m[5]), OUTCOMES[m[4]], _whole(m[6]), bool(m[3]), _at(m, 7)
    ),
    "streaming": lambda m: StreamStarted(_whole(m[1]), _whole(m[2]), _whole(m[4])),
    "hangup": lambda m: ClientDisconnected(_whole(m[1])),
    "alarm": lambda m: TimerFired(_whole(m[1])),
    "ping_result": lambda m: HealthCheckFinished(
        _whole(m[1]), OUTCOMES[m[3]], _whole(m[2]), _at(m, 4)
    ),
}
"""Readers of messages that are events, by the protocol's words."""

WRITERS: dict[type, Callable[[Any], list[Any]]] = {
    SendAttempt: lambda a: ["route", a.request, a.endpoint, a.timeout_us],
    Reject: lambda a: ["deny", a.request, a.retry_after_us],
    Fail: lambda a: ["finish_error", a.request],
    CancelAttempt: lambda a: ["revoke", a.request, a.attempt],
    StartHealthCheck: lambda a: ["test", a.endpoint],
    SetTimer: lambda a: ["sleep", a.delay_us, a.timer_id],
    WatchEndpoints: lambda a: ["stream_changes", a.enabled],
    LogMessage: lambda a: ["log", a.text],
}
"""Writers of actions in the protocol's form."""


class SimulatedGateways:
    """The gateways of one simulator process.

    They share nothing but the endpoint lists, which are the protocol's own.
    """

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, tuple[Endpoint, ...]] = {}

    def reply(self, batch: Any) -> dict[str, Any]:
        """The reply to one batch, an object with 'moment' (us) and 'parts'. Raises `BatchError`."""
        if not isinstance(batch, dict) or type(batch.get("moment")) is not int:
            raise BatchError("a batch is an object with a whole number in 'moment'")
        if not isinstance(batch.get("parts"), list):
            raise BatchError("a batch holds an array in 'parts'")
        parts = []
        for index, part in enumerate(batch["parts"]):
            try:
                number = part["gateway"]
                decisions = self._play(batch["moment"], number, part["news"])
            except BatchError as bad:
                raise BatchError(f"parts[{index}]: {bad}") from None
            except (KeyError, TypeError) as bad:
                raise BatchError(f"parts[{index}]: needs 'gateway' and 'news' ({bad!r})") from None
            if decisions:
                parts.append({"gateway": number, "decisions": decisions})
        return {"parts": parts}

    def _play(self, now_us: int, number: int, messages: list[Any]) -> list[Any]:
        """Feed one balancer its events in order; a start or a stop parts them into runs."""
        decisions: list[Any] = []
        events: list[Event] = []
        for index, message in enumerate(messages):
            try:
                if message[0] in ("provision", "detach"):
                    self._run(now_us, number, events, decisions)
                    events = []
                    self._start_or_stop(number, message)
                else:
                    self._read(number, message, events)
            except BatchError as bad:
                raise BatchError(f"news[{index}]: {bad}") from None
            except (KeyError, IndexError, TypeError, ValueError, AttributeError) as bad:
                shown = json.dumps(message)[:SHOWN]
                raise BatchError(f"news[{index}]: {type(bad).__name__}: {bad} in {shown}") from None
        self._run(now_us, number, events, decisions)
        return decisions

    def _read(self, number: int, message: list[Any], events: list[Event]) -> None:
        """Read one message that is neither a start nor a stop; an event joins `events`."""
        name = message[0]
        reader = READERS.get(name)
        if reader is not None:
            events.append(reader(message))
            self._check(number, events[-1])
        elif name == "ledger":
            self.lists[message[1]] = tuple(map(_endpoint, message[2]))
        elif name == "endpoints":
            kind = LIST_KINDS[message[2]]
            endpoints = () if kind is UpdateKind.FAILED else self.lists[message[1]]
            events.append(EndpointUpdate(kind, endpoints, _at(message, 3, 0)))
        elif name != "peer":
            raise BatchError(f"unknown event {name!r}")

    def _start_or_stop(self, number: int, message: list[Any]) -> None:
        if message[0] == "detach":
            if self.balancers.pop(number, None) is None:
                raise BatchError("detach for an instance that never started")
            return
        seed, data = message[1], message[2]
        if isinstance(seed, dict):  # either order is legal
            seed, data = data, seed
        self.balancers[number] = Balancer(read_settings(data), seed)

    def _started(self, number: int) -> Balancer:
        balancer = self.balancers.get(number)
        if balancer is None:
            raise BatchError(f"event for instance {number}, which never started")
        return balancer

    def _check(self, number: int, event: Event) -> None:
        """A balancer must have started; route and tenant must lie within its settings (0 does)."""
        settings = self._started(number).settings
        if isinstance(event, RequestArrived):
            if not 0 <= event.route < max(1, len(settings.routes)):
                raise BatchError(f"class {event.route} is not in the settings")
            if not 0 <= event.tenant < max(1, len(settings.tenant_quotas_per_s)):
                raise BatchError(f"tenant {event.tenant} is not in the settings")

    def _run(self, now_us: int, number: int, events: list[Event], decisions: list[Any]) -> None:
        if not events:
            return
        balancer = self._started(number)
        try:
            actions: list[Action] = balancer.handle(now_us, events)
        # Any fault of one balancer is reported as its own: the others' batches go on.
        except Exception as error:
            decisions.append(["bug", f"{type(error).__name__}: {error}"])
        else:
            decisions.extend([WRITERS[type(action)](action) for action in actions])


def serve(source: IO[str], sink: IO[str]) -> int:
    """Answer batches, one a line, until the input ends. Returns the exit status."""
    gateways = SimulatedGateways()
    for number, line in enumerate(source, 1):
        try:
            reply = gateways.reply(json.loads(line))
        except (BatchError, ValueError) as bad:
            print(f"benchlink: line {number}: {bad}", file=sys.stderr)
            return 2
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
