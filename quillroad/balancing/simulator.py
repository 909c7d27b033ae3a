"""The simulator's wire on standard input and output: decode, one Balancer for each instance, encode.

No decision is made here. The dialect's words stay in this file; the library speaks of servers and attempts.
Run as `python -m quillroad.balancing.simulator`. Input that is no legal batch ends the run with status 2.
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
STATES = {state.value: state for state in EndpointStatus}
LIST_KINDS = {kind.value: kind for kind in UpdateKind}


class BadInput(Exception):
    """The line is no legal batch; the text says what is wrong and where."""


def _at(message: list[Any], index: int, default: Any = None) -> Any:
    """A trailing value may be absent, and any absent value is null."""
    value = message[index] if index < len(message) else None
    return default if value is None else value


def _whole(value: Any) -> int:
    if type(value) is not int:
        raise BadInput(f"a whole number is needed, not {value!r}")
    return value


def _server(entry: list[Any]) -> Endpoint:
    return Endpoint(
        id=_whole(entry[0]),
        started_us=_at(entry, 1),
        cell=_at(entry, 2, 0),
        machine_type=_at(entry, 3, 0),
        weight=_at(entry, 4, 1.0),
        status=STATES[_at(entry, 5, 1)],
        zone=_at(entry, 6, 0),
    )


def _arrived(m: list[Any]) -> RequestArrived:
    bits = _at(m, 4, 0)
    work = _at(m, 6) if bits & 1 else None
    tenant, repeat = _at(m, 7, 0), bool(bits & 2)
    return RequestArrived(
        _whole(m[1]), _whole(_at(m, 2, 0)), _whole(m[3]), _at(m, 5), work, tenant, repeat
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


class Host:
    """The instances of one process. They share nothing but the lists, which are the wire's own."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.ledgers: dict[int, tuple[Endpoint, ...]] = {}

    def reply(self, batch: Any) -> dict[str, Any]:
        """The reply to one batch."""
        if not isinstance(batch, dict) or type(batch.get("moment")) is not int:
            raise BadInput("a batch is an object with a whole number in 'moment'")
        if not isinstance(batch.get("parts"), list):
            raise BadInput("a batch holds an array in 'parts'")
        parts = []
        for index, part in enumerate(batch["parts"]):
            try:
                number, news = part["gateway"], part["news"]
                decisions = self._play(batch["moment"], number, news)
            except BadInput as bad:
                raise BadInput(f"parts[{index}]: {bad}") from None
            except (KeyError, TypeError) as bad:
                raise BadInput(f"parts[{index}]: needs 'gateway' and 'news' ({bad!r})") from None
            if decisions:
                parts.append({"gateway": number, "decisions": decisions})
        return {"parts": parts}

    def _play(self, now_us: int, number: int, news: list[Any]) -> list[Any]:
        """Feed one instance its events in order; a start or a stop parts them into runs."""
        decisions: list[Any] = []
        events: list[Event] = []
        for index, message in enumerate(news):
            try:
                name = message[0]
                reader = READERS.get(name)
                if reader is not None:
                    events.append(reader(message))
                    self._check(number, events[-1])
                elif name == "ledger":
                    self.ledgers[message[1]] = tuple(map(_server, message[2]))
                elif name == "endpoints":
                    kind = LIST_KINDS[message[2]]
                    lines = () if kind is UpdateKind.FAILED else self.ledgers[message[1]]
                    events.append(EndpointUpdate(kind, lines, _at(message, 3, 0)))
                elif name in ("provision", "detach"):
                    self._run(now_us, number, events, decisions)
                    events = []
                    if name == "detach":
                        if self.instances.pop(number, None) is None:
                            raise BadInput("detach for an instance that never started")
                    else:
                        seed, data = self._start_values(message)
                        self._start(number, seed, data, decisions)
                elif name != "peer":
                    raise BadInput(f"unknown event {name!r}")
            except BadInput as bad:
                raise BadInput(f"news[{index}]: {bad}") from None
            except (KeyError, IndexError, TypeError, ValueError, AttributeError) as bad:
                shown = json.dumps(message)[:80]
                raise BadInput(f"news[{index}]: {type(bad).__name__}: {bad} in {shown}") from None
        self._run(now_us, number, events, decisions)
        return decisions

    def _started(self, number: int) -> Balancer:
        balancer = self.instances.get(number)
        if balancer is None:
            raise BadInput(f"event for instance {number}, which never started")
        return balancer

    def _check(self, number: int, event: Event) -> None:
        """An instance must have started, and a class or tenant lie within its settings; 0 always does."""
        told = self._started(number).settings
        if isinstance(event, RequestArrived):
            if not 0 <= event.route < max(1, len(told.routes)):
                raise BadInput(f"class {event.route} is not in the settings")
            if not 0 <= event.tenant < max(1, len(told.tenant_quotas_per_s)):
                raise BadInput(f"tenant {event.tenant} is not in the settings")

    @staticmethod
    def _start_values(message: list[Any]) -> tuple[int, dict[str, Any]]:
        seed, data = message[1], message[2]
        if isinstance(seed, dict):
            seed, data = data, seed
        return seed, data

    def _start(self, number: int, seed: int, data: dict[str, Any], decisions: list[Any]) -> None:
        self.instances[number] = Balancer(read_settings(data), seed)

    def _run(self, now_us: int, number: int, events: list[Event], decisions: list[Any]) -> None:
        if not events:
            return
        balancer = self._started(number)
        try:
            actions: list[Action] = balancer.handle(now_us, events)
        except (
            Exception
        ) as error:  # one instance's fault is reported as its own; the wire stays whole
            decisions.append(["bug", f"{type(error).__name__}: {error}"])
        else:
            decisions.extend([WRITERS[type(action)](action) for action in actions])


def serve(source: IO[str], sink: IO[str]) -> int:
    """Answer batches until the input ends; the exit status."""
    host = Host()
    for number, line in enumerate(source, 1):
        try:
            reply = host.reply(json.loads(line))
        except (BadInput, ValueError) as bad:
            print(f"benchlink: line {number}: {bad}", file=sys.stderr)
            return 2
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
