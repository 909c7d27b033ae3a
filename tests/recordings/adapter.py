"""Every name of the program that the recordings use: the one file to edit when such a name changes.

Settings are given as the platform's object, actions are read in the simulator's wire form, and
events that the wire has are built from it. Neither form changes with the names of classes and
fields, so a digest taken before a renaming holds after it. `bench.decisions` has the names that
both use.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from bench.decisions import hidden_deadline_us, wire_form
from quillroad.balancing.actions import Action
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import (
    CrossZoneBytes,
    EndpointUpdate,
    Event,
    GatewayCountChanged,
    SiblingAttempts,
)
from quillroad.balancing.platform_settings import read_settings
from quillroad.balancing.simulator import ENDPOINT_STATUSES, EVENT_DECODERS, UPDATE_KINDS
from quillroad.balancing.zone_routing import CrossZoneBudget, CrossZoneLimits, RouteAllowance
from quillroad.upgrade import state_snapshot

__all__ = [
    "Action",
    "Balancer",
    "Event",
    "adopted",
    "alarm",
    "arrived",
    "attempt_done",
    "attempts_out",
    "cross_zone_bytes",
    "departed",
    "exported",
    "gateways_changed",
    "handle",
    "hidden_deadline_us",
    "new_balancer",
    "other_process",
    "server_line",
    "server_list",
    "stream_started",
    "wire_form",
]

KINDS = ("small", "medium", "large")
TENANTS = ("first", "second")
NAMES = state_snapshot.Names(tenants=TENANTS, kinds=KINDS)


def new_balancer(
    settings: Mapping[str, Any], seed: int, budget: Mapping[str, Any] | None
) -> Balancer:
    """A balancer, with a limit on cross-zone traffic where `budget` is given."""
    told = read_settings(settings)
    if budget is None:
        return Balancer(told, seed)
    classes = tuple(RouteAllowance(spends, keep) for spends, keep in budget["classes"])
    return Balancer(told, seed, CrossZoneBudget(CrossZoneLimits(**{**budget, "classes": classes})))


def handle(balancer: Balancer, now_us: int, events: Sequence[Event]) -> list[Action]:
    return balancer.handle(now_us, list(events))


def arrived(
    request: int,
    route: int,
    give_up_us: int,
    *,
    work_us: int | None = None,
    tenant: int = 0,
    repeat: bool = False,
    long: bool = False,
) -> Event:
    bits = (work_us is not None) + 2 * repeat
    event = EVENT_DECODERS["job_in"](
        ["job_in", request, route, give_up_us, bits, None, work_us, tenant]
    )
    return event._replace(long_body=True) if long else event  # type: ignore[call-arg] # not on the wire


def attempt_done(request: int, attempt: int, outcome: str, elapsed_us: int, closed: bool) -> Event:
    """`outcome` by the wire's word for it."""
    return EVENT_DECODERS["verdict"](
        ["verdict", request, None, closed, outcome, attempt, elapsed_us]
    )


def stream_started(request: int, attempt: int, elapsed_us: int) -> Event:
    return EVENT_DECODERS["streaming"](["streaming", request, attempt, None, elapsed_us])


def departed(request: int) -> Event:
    return EVENT_DECODERS["hangup"](["hangup", request])


def alarm(tag: int) -> Event:
    return EVENT_DECODERS["alarm"](["alarm", tag])


def server_line(
    number: int, state: int, zone: int, cell: int, kind: int, started_us: int | None
) -> Endpoint:
    """`state` by the wire's number for it."""
    return Endpoint(number, ENDPOINT_STATUSES[state], zone, cell, kind, 1.0, started_us)


def server_list(kind: int, lines: Sequence[Endpoint]) -> Event:
    """`kind` by the wire's number for it."""
    return EndpointUpdate(UPDATE_KINDS[kind], tuple(lines))


def other_process(out: Mapping[int, tuple[int, int]], warms: bool) -> Event:
    return SiblingAttempts(out, warms)


def attempts_out(balancer: Balancer) -> dict[int, tuple[int, int]]:
    """What `other_process` tells the other process."""
    return state_snapshot.attempts_in_flight(balancer)


def gateways_changed(number: int, balancers: int) -> Event:
    return GatewayCountChanged(number, balancers)


def cross_zone_bytes(size: int) -> Event:
    return CrossZoneBytes(size)


def exported(balancer: Balancer, work: bool) -> bytes:
    """What a balancer knows, as the document that a new process gets; without `work` the retry
    budgets are halved, as in an upgrade."""
    if not work:
        state_snapshot.halve_retry_budgets(balancer)
    return msgspec.json.encode(state_snapshot.export(balancer, NAMES, work=work))


def adopted(balancer: Balancer, document: bytes) -> list[str]:
    """Give the document to a fresh balancer; returns what it could not use."""
    return state_snapshot.adopt(
        balancer, msgspec.json.decode(document, type=state_snapshot.StateSnapshot), NAMES
    )
