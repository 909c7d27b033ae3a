"""The simulator's protocol on standard input and output, with one balancer for each gateway.

This module makes no decisions; it is the only one that knows the protocol's names. Run it as
`python -m quillroad.balancing.simulator`. It exits with status 2 if a line is not a valid batch.
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
"""Outcomes by their names in the protocol."""
ENDPOINT_STATUSES = {state.value: state for state in EndpointStatus}
"""Endpoint statuses by their numbers in the protocol."""
UPDATE_KINDS = {kind.value: kind for kind in UpdateKind}
"""Kinds of endpoint updates by their numbers in the protocol."""


class BatchError(Exception):
    """A line is not a valid batch; the message says what is wrong and where."""


HAS_WORK_ESTIMATE = 1
"""Flag bit of an arrival: the message has a work estimate."""
IS_RETRY = 2
"""Flag bit of an arrival: the client marked the request as a retry."""
MAX_SHOWN_CHARS = 80
"""Length to which an invalid message is truncated in an error line."""


def _value_or_default(message: list[Any], index: int, default: Any = None) -> Any:
    """Return the value at an index, or the default if it is null or the message is too short."""
    value = message[index] if index < len(message) else None
    return default if value is None else value


def _require_int(value: Any) -> int:
    if type(value) is not int:
        raise BatchError(f"expected an integer, found {value!r}")
    return value


def _endpoint(entry: list[Any]) -> Endpoint:
    return Endpoint(
        id=_require_int(entry[0]),
        started_us=_value_or_default(entry, 1),
        cell=_value_or_default(entry, 2, 0),
        machine_type=_value_or_default(entry, 3, 0),
        weight=_value_or_default(entry, 4, 1.0),
        status=ENDPOINT_STATUSES[_value_or_default(entry, 5, 1)],
        zone=_value_or_default(entry, 6, 0),
    )


def _arrived(message: list[Any]) -> RequestArrived:
    flags = _value_or_default(message, 4, 0)
    return RequestArrived(
        request=_require_int(message[1]),
        route=_require_int(_value_or_default(message, 2, 0)),
        deadline_us=_require_int(message[3]),
        key=_value_or_default(message, 5),
        work_estimate_us=_value_or_default(message, 6) if flags & HAS_WORK_ESTIMATE else None,
        tenant=_value_or_default(message, 7, 0),
        is_retry=bool(flags & IS_RETRY),
    )


EVENT_DECODERS: dict[str, Callable[[list[Any]], Event]] = {
    "job_in": _arrived,
    "verdict": lambda m: AttemptFinished(
        _require_int(m[1]),
        _require_int(m[5]),
        OUTCOMES[m[4]],
        _require_int(m[6]),
        bool(m[3]),
        _value_or_default(m, 7),
    ),
    "streaming": lambda m: StreamStarted(
        _require_int(m[1]), _require_int(m[2]), _require_int(m[4])
    ),
    "hangup": lambda m: ClientDisconnected(_require_int(m[1])),
    "alarm": lambda m: TimerFired(_require_int(m[1])),
    "ping_result": lambda m: HealthCheckFinished(
        _require_int(m[1]), OUTCOMES[m[3]], _require_int(m[2]), _value_or_default(m, 4)
    ),
}
"""Functions that convert a message into an event, by the message's name in the protocol."""

ACTION_ENCODERS: dict[type, Callable[[Any], list[Any]]] = {
    SendAttempt: lambda a: ["route", a.request, a.endpoint, a.timeout_us],
    Reject: lambda a: ["deny", a.request, a.retry_after_us],
    Fail: lambda a: ["finish_error", a.request],
    CancelAttempt: lambda a: ["revoke", a.request, a.attempt],
    StartHealthCheck: lambda a: ["test", a.endpoint],
    SetTimer: lambda a: ["sleep", a.delay_us, a.timer_id],
    WatchEndpoints: lambda a: ["stream_changes", a.enabled],
    LogMessage: lambda a: ["log", a.text],
}
"""Functions that convert an action into a message of the protocol."""


class SimulatedGateways:
    """The balancers of all gateways that one simulator process runs.

    They share only the endpoint lists, which the protocol sends once for all gateways.
    """

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}

    def reply(self, batch: Any) -> dict[str, Any]:
        """Return the reply to a batch, which is an object with 'moment' (us) and 'parts'.

        Raises `BatchError` if the batch is not valid.
        """
        if not isinstance(batch, dict) or type(batch.get("moment")) is not int:
            raise BatchError("batch: expected an object with an integer in 'moment'")
        if not isinstance(batch.get("parts"), list):
            raise BatchError("batch: expected an array in 'parts'")
        parts = []
        for index, part in enumerate(batch["parts"]):
            try:
                gateway_number = part["gateway"]
                decisions = self._handle_messages(batch["moment"], gateway_number, part["news"])
            except BatchError as cause:
                raise BatchError(f"parts[{index}]: {cause}") from None
            except (KeyError, TypeError) as cause:
                raise BatchError(
                    f"parts[{index}]: expected 'gateway' and 'news' ({cause!r})"
                ) from None
            if decisions:
                parts.append({"gateway": gateway_number, "decisions": decisions})
        return {"parts": parts}

    def _handle_messages(self, now_us: int, gateway_number: int, messages: list[Any]) -> list[Any]:
        """Pass one gateway's messages to its balancer in order and return the decisions.

        Consecutive events are handled together; a start or stop message separates them.
        """
        decisions: list[Any] = []
        events: list[Event] = []
        for index, message in enumerate(messages):
            try:
                if message[0] in ("provision", "detach"):
                    self._handle_events(now_us, gateway_number, events, decisions)
                    events = []
                    self._start_or_stop(gateway_number, message)
                else:
                    self._read(gateway_number, message, events)
            except BatchError as cause:
                raise BatchError(f"news[{index}]: {cause}") from None
            except (KeyError, IndexError, TypeError, ValueError, AttributeError) as cause:
                shown = json.dumps(message)[:MAX_SHOWN_CHARS]
                raise BatchError(
                    f"news[{index}]: {type(cause).__name__}: {cause} in {shown}"
                ) from None
        self._handle_events(now_us, gateway_number, events, decisions)
        return decisions

    def _read(self, gateway_number: int, message: list[Any], events: list[Event]) -> None:
        """Process a message that is no start or stop; append its event, if any, to `events`."""
        name = message[0]
        reader = EVENT_DECODERS.get(name)
        if reader is not None:
            events.append(reader(message))
            self._check_references(gateway_number, events[-1])
        elif name == "ledger":
            self.endpoint_lists[message[1]] = tuple(map(_endpoint, message[2]))
        elif name == "endpoints":
            kind = UPDATE_KINDS[message[2]]
            endpoints = () if kind is UpdateKind.FAILED else self.endpoint_lists[message[1]]
            events.append(EndpointUpdate(kind, endpoints, _value_or_default(message, 3, 0)))
        elif name != "peer":
            raise BatchError(f"unknown event {name!r}")

    def _start_or_stop(self, gateway_number: int, message: list[Any]) -> None:
        if message[0] == "detach":
            if self.balancers.pop(gateway_number, None) is None:
                raise BatchError("detach: the gateway was never provisioned")
            return
        seed, data = message[1], message[2]
        if isinstance(seed, dict):  # the protocol allows either order
            seed, data = data, seed
        self.balancers[gateway_number] = Balancer(read_settings(data), seed)

    def _started_balancer(self, gateway_number: int) -> Balancer:
        balancer = self.balancers.get(gateway_number)
        if balancer is None:
            raise BatchError(f"event for gateway {gateway_number}, which was never provisioned")
        return balancer

    def _check_references(self, gateway_number: int, event: Event) -> None:
        """Raise `BatchError` if the event's balancer, route or tenant does not exist.

        Route 0 and tenant 0 are valid even if the settings have no routes or tenants.
        """
        settings = self._started_balancer(gateway_number).settings
        if isinstance(event, RequestArrived):
            if not 0 <= event.route < max(1, len(settings.routes)):
                raise BatchError(f"route {event.route} is not in the settings")
            if not 0 <= event.tenant < max(1, len(settings.tenant_quotas_per_s)):
                raise BatchError(f"tenant {event.tenant} is not in the settings")

    def _handle_events(
        self, now_us: int, gateway_number: int, events: list[Event], decisions: list[Any]
    ) -> None:
        if not events:
            return
        balancer = self._started_balancer(gateway_number)
        try:
            actions: list[Action] = balancer.handle(now_us, events)
        # A fault of one balancer is reported for its gateway only; the others continue.
        except Exception as error:
            decisions.append(["bug", f"{type(error).__name__}: {error}"])
        else:
            decisions.extend([ACTION_ENCODERS[type(action)](action) for action in actions])


def serve(source: IO[str], sink: IO[str]) -> int:
    """Reply to batches, one per line, until the input ends; return the exit status."""
    gateways = SimulatedGateways()
    for line_number, line in enumerate(source, 1):
        try:
            reply = gateways.reply(json.loads(line))
        except (BatchError, ValueError) as cause:
            print(f"benchlink: line {line_number}: {cause}", file=sys.stderr)
            return 2
        sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
