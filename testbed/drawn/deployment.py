"""Deployments that the operators' pages allow, drawn from a seed. No I/O.

`SPACE` is the space that is drawn from: what is not in it is not drawn.
"""

from __future__ import annotations

import math
import random
from dataclasses import asdict, dataclass
from enum import StrEnum
from typing import Any, NamedTuple

KILL_DELAY_S = 0.7  # from the longest deadline to SIGKILL, PROTOCOL
MAX_COUNTED_DEADLINE_S = 3.0


class Range(NamedTuple):
    """One setting: what it is, its lowest and its highest value, and the page that allows it."""

    setting: str
    least: float
    most: float
    page: str


class Choices(NamedTuple):
    """One setting that has one of some values."""

    setting: str
    values: tuple[Any, ...]
    page: str


DEADLINE_S = Range("deadline of a class, s", 0.2, 10.0, "acceptance, process-end")
OBJECTIVE = Range("objective of a class, as a part of its deadline", 0.2, 1.0, "WIRE lanes")
REPEAT_WINDOW = Range("window for repeats, as a part of the deadline", 0.4, 3.0, "WIRE, STANDING")
CLASS_COUNT = Range("classes", 1, 4, "WIRE lanes")
EFFECT = Choices("effect of a class", ("safe", "keyed", "unsafe"), "WIRE lanes")
GROUP = Choices("hosts that drop a repeat", ("all", "zone", "cell"), "WIRE lanes")
LATE_WORTH = Choices("worth of a late answer", (0.0, 0.5), "WIRE lanes")
TENANT_COUNT = Range("tenants", 0, 6, "WIRE orgs")
QUOTA = Range("quota of a tenant, as a part of its traffic", 0.5, 3.0, "WIRE orgs")
ATTEMPTS = Range("attempts of a request", 1, 4, "WIRE limits")
CANCELLING = Choices("attempts may be cancelled", (True, False), "WIRE limits")
HEDGES = Choices("two attempts at once", (True, False), "WIRE limits")
RETRY_AFTER = Choices("Retry-After", (True, False), "WIRE limits")
CONNECT_TIMEOUT_S = Range("connect timeout, s", 0.1, 0.5, "WIRE limits")
IDLE_S = Range("idle connections to hosts, s", 1.0, 15.0, "WIRE limits")
DISCOVERY = Choices("lists are pushed or asked for", ("push", "ask"), "WIRE discovery")
MEMORY_MB = Choices("memory, MB", (96, 128, 192), "DEPLOY, issue 66")
SOCKETS = Choices("descriptors", (512, 1024), "DEPLOY, issue 66")
HOST_COUNT = Range("hosts", 2, 200, "STANDING")
ANSWER_S = Range("time of a host to an answer, s", 0.002, 0.3, "PROTOCOL")
GATEWAY_COUNT = Range("gateways", 1, 6, "process-end")
RATE = Range("requests a second at a gateway", 10, 120, "STANDING")
ZONE_COUNT = Range("zones", 1, 3, "STANDING")
UPGRADES = Choices("how a process is replaced", ("restart", "sibling", "worker"), "upgrades.md")
SPACE: tuple[Range | Choices, ...] = (
    DEADLINE_S,
    OBJECTIVE,
    REPEAT_WINDOW,
    CLASS_COUNT,
    EFFECT,
    GROUP,
    LATE_WORTH,
    TENANT_COUNT,
    QUOTA,
    ATTEMPTS,
    CANCELLING,
    HEDGES,
    RETRY_AFTER,
    CONNECT_TIMEOUT_S,
    IDLE_S,
    DISCOVERY,
    MEMORY_MB,
    SOCKETS,
    HOST_COUNT,
    ANSWER_S,
    GATEWAY_COUNT,
    RATE,
    ZONE_COUNT,
    UPGRADES,
)


class Effect(StrEnum):
    """What a second run of a request does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Replacement(StrEnum):
    """How a process of a gateway is replaced."""

    RESTART = "restart"  # SIGTERM, and started again once it has ended
    SIBLING = "sibling"  # a process beside it takes over
    WORKER = "worker"  # a supervisor starts another worker


@dataclass(frozen=True, slots=True)
class DrawnClass:
    """One class of requests; times in seconds."""

    name: str
    effect: Effect
    group: str
    deadline_s: float
    objective_s: float
    window_s: float
    late_worth: float
    importance: float


@dataclass(frozen=True, slots=True)
class DrawnHost:
    """One host: its time to an answer in seconds, its zone and its cell."""

    name: str
    answer_s: float
    zone: int
    cell: int


@dataclass(frozen=True, slots=True)
class Deployment:
    """One deployment; times in seconds, rates in requests a second and gateway."""

    classes: tuple[DrawnClass, ...]
    quotas: tuple[float, ...]
    hosts: tuple[DrawnHost, ...]
    zones: int
    gateways: int
    rate: float
    attempts: int
    cancelling: bool
    hedges: bool
    retry_after: bool
    connect_timeout_s: float
    idle_s: float
    discovery: str
    memory_mb: int
    sockets: int
    replacement: Replacement

    @property
    def kill_s(self) -> float:
        """Seconds from SIGTERM to the earliest SIGKILL."""
        longest_s = max(drawn.deadline_s for drawn in self.classes)
        return min(longest_s, MAX_COUNTED_DEADLINE_S) + KILL_DELAY_S

    def settings(self, gateway: int) -> dict[str, Any]:
        """The settings of one gateway, by their names on the wire."""
        return {
            "balancers": self.gateways,
            "my_number": gateway,
            "lanes": [_lane(drawn) for drawn in self.classes],
            "models": ["two-core"],
            "zones": [f"z{number}" for number in range(self.zones)],
            "zone": gateway % self.zones,
            "orgs": [
                {"name": f"t{number}", "quota_per_s": quota}
                for number, quota in enumerate(self.quotas)
            ],
            "over_share_worth": 0.05,
            "discovery": self.discovery,
            "guarantees": {
                "answer_slack": 20_000,
                "ask_within": 10_000_000,
                "cold": 8_800_000,
                "cold_from": 0.32,
                "drain_grace": 500_000,
                "fall_multiple": 3.0,
                "tip_after": 1_000_000,
            },
            "limits": {
                "attempts_cap": self.attempts,
                "cancelling": self.cancelling,
                "parallel_tries": self.hedges,
                "retry_after": self.retry_after,
                "max_retry_after": 600_000 if self.retry_after else 0,
                "connect_timeout": round(self.connect_timeout_s * 1e6),
                "conn_idle": round(self.idle_s * 1e6),
            },
        }

    def describe(self) -> dict[str, Any]:
        """The deployment in short, as plain values; hosts by their number and speed."""
        values = asdict(self)
        values["hosts"] = {
            "count": len(self.hosts),
            "answer_s": [min(h.answer_s for h in self.hosts), max(h.answer_s for h in self.hosts)],
        }
        return values


def _lane(drawn: DrawnClass) -> dict[str, Any]:
    return {
        "name": drawn.name,
        "semantics": drawn.effect.value,
        "group": drawn.group,
        "memory_span": round(drawn.window_s * 1e6),
        "goal_time": round(drawn.objective_s * 1e6),
        "deadline": round(drawn.deadline_s * 1e6),
        "importance": drawn.importance,
        "late_worth": drawn.late_worth,
    }


def draw_deployment(draw: random.Random) -> Deployment:
    """Draw a deployment; two classes at most have the same deadline."""
    # Few and many hosts are equally likely, as are short and long deadlines.
    zones = _whole(draw, ZONE_COUNT)
    host_count = round(_log_uniform(draw, HOST_COUNT))
    gateways = _whole(draw, GATEWAY_COUNT)
    rate = _uniform(draw, RATE)
    tenants = _whole(draw, TENANT_COUNT)
    replacement = Replacement(draw.choice(UPGRADES.values))
    memory_mb = draw.choice(MEMORY_MB.values)
    if replacement is Replacement.WORKER:
        memory_mb = max(MEMORY_MB.values)  # three processes
    return Deployment(
        classes=tuple(_draw_class(draw, n) for n in range(_whole(draw, CLASS_COUNT))),
        quotas=tuple(rate * gateways / tenants * _uniform(draw, QUOTA) for _ in range(tenants)),
        hosts=tuple(
            DrawnHost(f"s-{n}", _log_uniform(draw, ANSWER_S), n % zones, n // 3)
            for n in range(host_count)
        ),
        zones=zones,
        gateways=gateways,
        rate=rate,
        attempts=_whole(draw, ATTEMPTS),
        cancelling=draw.choice(CANCELLING.values),
        hedges=draw.choice(HEDGES.values),
        retry_after=draw.choice(RETRY_AFTER.values),
        connect_timeout_s=_uniform(draw, CONNECT_TIMEOUT_S),
        idle_s=_uniform(draw, IDLE_S),
        discovery=draw.choice(DISCOVERY.values),
        memory_mb=memory_mb,
        sockets=draw.choice(SOCKETS.values),
        replacement=replacement,
    )


def _draw_class(draw: random.Random, number: int) -> DrawnClass:
    deadline_s = round(_log_uniform(draw, DEADLINE_S), 2)
    return DrawnClass(
        name=f"class-{number}",
        effect=Effect(draw.choice(EFFECT.values)),
        group=draw.choice(GROUP.values),
        deadline_s=deadline_s,
        objective_s=round(deadline_s * _uniform(draw, OBJECTIVE), 3),
        window_s=round(deadline_s * _uniform(draw, REPEAT_WINDOW), 3),
        late_worth=draw.choice(LATE_WORTH.values),
        importance=round(draw.uniform(1.0, 8.0), 1),
    )


def _uniform(draw: random.Random, span: Range) -> float:
    return draw.uniform(span.least, span.most)


def _log_uniform(draw: random.Random, span: Range) -> float:
    return math.exp(draw.uniform(math.log(span.least), math.log(span.most)))


def _whole(draw: random.Random, span: Range) -> int:
    return draw.randint(int(span.least), int(span.most))
