"""What goes into the balancer and what comes out: settings, events, actions. Types only, no decisions.

All times are whole microseconds of one clock that the host program chooses; it only has to advance.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SUCCESS = "success"
    ERROR = "error"  # the server answered with an error; it may have run
    FULL = "full"  # turned away unseen
    TIMEOUT = "timeout"  # no answer in time; it may have run or still run
    CONNECT_FAILED = "connect_failed"  # never reached the server
    RESET = "reset"  # the connection broke while the attempt was out
    CANCELLED = "cancelled"  # called off by us; it may have run
    MOOT = "moot"  # not sent at all


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


class Effect(Enum):
    """What a second run of the same request would do."""

    SAFE = "safe"
    KEYED = "keyed"  # repeats are dropped by a group of servers, for a time
    UNSAFE = "unsafe"


class Group(Enum):
    """The servers that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """What discovery says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """How a server list relates to the one held."""

    FULL = 0
    CACHED = 1
    CHANGES = 2
    FAILED = 3


def _need(condition: bool, field: str, why: str) -> None:
    if not condition:
        raise ValueError(f"{field}: {why}")


@dataclass(frozen=True, slots=True)
class Route:
    """One class of request. With no aim told, `aim_us` is None."""

    name: str = ""
    effect: Effect = Effect.UNSAFE
    aim_us: int | None = None
    deadline_us: int = 30_000_000
    worth: float = 1.0
    late_worth: float = 0.0
    group: Group = Group.ALL
    memory_span_us: int = 0
    stream: bool = False
    aim_stretch: float = 0.0

    def __post_init__(self) -> None:
        _need(self.aim_us is None or self.aim_us > 0, "route.aim_us", "must be above 0")
        _need(self.deadline_us > 0, "route.deadline_us", "must be above 0")
        _need(self.worth >= 0, "route.worth", "must not be negative")
        _need(0 <= self.late_worth <= 1, "route.late_worth", "must lie between 0 and 1")
        _need(self.memory_span_us >= 0, "route.memory_span_us", "must not be negative")
        _need(self.aim_stretch >= 0, "route.aim_stretch", "must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """All a balancer is told before its first event. No routes: one route, all of it unsafe."""

    routes: tuple[Route, ...] = ()
    balancers: int = 1
    number: int = 0  # which of them this is, from 0
    zone: int = 0
    discovery_asks: bool = False
    tenant_quotas_per_s: tuple[float, ...] = ()
    over_quota_worth: float = 1.0
    max_attempts: int = 3
    parallel_tries: bool = False
    cancelling: bool = False
    probing: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    ask_within_us: int = 10_000_000
    drain_grace_us: int = 0
    cold_us: int = 0
    cold_from: float = 1.0
    fall_multiple: float = 1.0
    fall_window_us: int = 1_000_000
    answer_slack_us: int = 0
    price_cross_zone: float = 0.0
    warm_keys: bool = False
    hints_are_sizes: bool = False
    clients_mark_repeats: bool = False
    weight_whole: float = 1.0
    weight_worst_class: float = 0.0

    def __post_init__(self) -> None:
        _need(self.balancers >= 1, "balancers", "must be at least 1")
        _need(0 <= self.number < self.balancers, "number", "must lie from 0 to below balancers")
        _need(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        _need(0 < self.cold_from <= 1, "cold_from", "must lie above 0, and be 1 at most")
        _need(self.fall_multiple > 0, "fall_multiple", "must be above 0")
        _need(self.fall_window_us > 0, "fall_window_us", "must be above 0")
        _need(self.ask_within_us > 0, "ask_within_us", "must be above 0")
        for field in (
            "zone",
            "over_quota_worth",
            "max_retry_after_us",
            "drain_grace_us",
            "cold_us",
        ):
            _need(getattr(self, field) >= 0, field, "must not be negative")
        _need(
            all(q >= 0 for q in self.tenant_quotas_per_s),
            "tenant_quotas_per_s",
            "must not be negative",
        )


class Server(NamedTuple):
    """One line of a server list. `started_us` None or 0: long ago."""

    id: int
    state: State = State.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    hint: float = 1.0
    started_us: int | None = None


class ServerList(NamedTuple):
    """Event: the list of servers, whole or in changes; or a failed call for it."""

    kind: ListKind
    servers: tuple[Server, ...] = ()
    version: int = 0


class Arrived(NamedTuple):
    """Event: a client's request. The balancer now owes one final answer before `give_up_us`."""

    request: int
    route: int
    give_up_us: int
    key: str | None = None
    work_us: int | None = None
    tenant: int = 0
    repeat: bool = False
    long: bool = (
        False  # its body is: the time of an attempt tells how fast that is taken, not of load
    )


class StreamStarted(NamedTuple):
    """Event: a streamed answer has begun; the attempt belongs to the client from now on."""

    request: int
    attempt: int
    elapsed_us: int


class AttemptDone(NamedTuple):
    """Event: what became of a send. `closed`: the client has its final answer already."""

    request: int
    attempt: int
    outcome: Outcome
    elapsed_us: int
    closed: bool = False
    load: Mapping[str, float] | None = None


class Departed(NamedTuple):
    """Event: the client has gone; no answer is owed."""

    request: int


class Alarm(NamedTuple):
    """Event: an alarm set by `SetAlarm` is due."""

    tag: int


class ProbeDone(NamedTuple):
    """Event: the result of a probe."""

    server: int
    outcome: Outcome
    elapsed_us: int
    load: Mapping[str, float] | None = None


class Beside(NamedTuple):
    """Event: another process of this same gateway is at work, while one takes over from the other. `out`
    tells of each server it has attempts at how many are out, and how many of those are overdue; it replaces
    what was told before. `warms`: the turns at cold servers are ours and not the other's."""

    out: Mapping[int, tuple[int, int]] = MappingProxyType({})
    warms: bool = True


class Company(NamedTuple):
    """Event: so many balancers share the servers now, and which of them this is, from 0. Windows and limits
    follow it; turns at cold servers and quotas stay by the told number."""

    number: int
    balancers: int


class Carried(NamedTuple):
    """Event: attempts at other zones carried so many bytes, both ways."""

    size: int


Event = (
    Carried
    | Company
    | ServerList
    | Arrived
    | StreamStarted
    | AttemptDone
    | Departed
    | Alarm
    | ProbeDone
    | Beside
)


class Send(NamedTuple):
    """Action: start an attempt. Attempts of a request count from 0. Time-out 0: until the client gives up.
    `latest_us`, on the balancer's clock: after it no byte of this attempt may go out, however late its
    connection came up; 0: any time will do."""

    request: int
    server: int
    timeout_us: int = 0
    latest_us: int = 0


class Refuse(NamedTuple):
    """Action: final answer; tells the client that trying again is harmless."""

    request: int
    retry_after_us: int = 0


class Fail(NamedTuple):
    """Action: final answer that promises nothing."""

    request: int


class Cancel(NamedTuple):
    """Action: stop waiting for an attempt."""

    request: int
    attempt: int


class Probe(NamedTuple):
    """Action: check a server."""

    server: int


class SetAlarm(NamedTuple):
    """Action: ask for an `Alarm` after a delay."""

    delay_us: int
    tag: int


class Watch(NamedTuple):
    """Action: subscribe to changes of the server list (or end that)."""

    on: bool = True


class Log(NamedTuple):
    """Action: a line for the people on call."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | SetAlarm | Watch | Log
