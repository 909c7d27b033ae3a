"""The parts of a `State`: what one process knows, for another that may be a version older or newer.

Each section is a document of its own under its name. A reader takes those that it knows, and names
the others; fields that it does not know are passed over, those it misses take their defaults.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec import Struct

from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import EndpointUpdate, UpdateKind
from quillroad.config import Config
from quillroad.gateway import Gateway
from quillroad.upgrade.messages import OperatorActions
from quillroad.upgrade.sibling_engine import SiblingEngine
from quillroad.upgrade.state_snapshot import Names, StateSnapshot, adopt, export

KNOWN = ("clock", "hosts", "module", "admission")
OPTIONAL = ("by-hand", "zones")  # of features that may be off on either side
# What operators have done comes before the list, so that no host that they took out is shown ready,
# and before what was learned, which holds only where both processes see the same start of a host.
ORDER = ("by-hand", *KNOWN, "zones")


class Clock(Struct):
    """Both engines count Unix time from one zero, so that no age changes by moving."""

    epoch_us: int


class HostLine(Struct, array_like=True):
    """One host as the list has it."""

    name: str
    address: tuple[str, int]
    id: int
    state: int
    zone: int
    cell: int
    kind: int
    hint: float
    started_us: int | None


class Hosts(Struct):
    """The list that is served by.

    `source` and `position` say whose it is and how far it has come, where its source counts;
    `starts` are starts that were guessed from comings and goings, by name.
    """

    lines: list[HostLine]
    source: str = ""
    position: int = 0
    starts: dict[str, tuple[int, bool]] = {}


class AdmissionEstimates(Struct):
    """What admission has learned: the time of a request, and by class what hosts take."""

    cost_s: float
    learned_s: float
    hosts_s: dict[str, float] = {}
    quotas: dict[
        str, tuple[float, float]
    ] = {}  # a tenant's tokens, and when they were counted (monotonic)


class ZoneWindow(Struct):
    """The window of the budget for other zones.

    First sends, crossings and bytes, at `now_us` of the module's clock.
    """

    firsts: float
    crossed: float
    size: float
    now_us: int


def by_hand(gateway: Gateway) -> OperatorActions | None:
    """What operators have done; None where they have no address."""
    if gateway.admin is None:
        return None
    back = {
        name: (one.went_us, one.came_us)
        for name, one in gateway.admin.host_overrides.returned.items()
    }
    return OperatorActions(
        gateway.admin.host_overrides.out_since_us, back, gateway.serving_state.drained_by_operator
    )


def write(gateway: Gateway) -> dict[str, bytes]:
    """All sections of a gateway's state, by name. Changes nothing."""
    engine, config = _engine(gateway), gateway.config
    routes = [route.name for route in config.settings.routes]
    estimates = gateway.server.admission.learned(routes, config.tenants)
    sections: dict[str, Struct] = {
        "clock": Clock(engine.epoch_us),
        "hosts": _host_list(gateway),
        "module": export(engine.balancer, _names(config)),
        "admission": AdmissionEstimates(*estimates),
    }
    if (done := by_hand(gateway)) is not None:
        sections["by-hand"] = done
    if (zones := gateway.zones) is not None:
        sections["zones"] = ZoneWindow(*zones.cross_zone_budget.window_state())
    return {name: msgspec.msgpack.encode(section) for name, section in sections.items()}


def _host_list(gateway: Gateway) -> Hosts:
    engine = _engine(gateway)
    source, position = gateway.source.position
    lines = [
        HostLine(host.name, host.address, *_line(_listed(gateway, number)))
        for number, host in engine.hosts.items()
        if engine.balancer.endpoint(number) is not None
    ]
    starts = gateway.feed.start_times() if gateway.feed is not None else {}
    return Hosts(lines, source, position, starts)


def read(gateway: Gateway, sections: dict[str, bytes], trial: bool) -> list[str]:
    """Take the sections over; with `trial` on a copy, which shows what would be left behind.

    Returns plain lines of what cannot be used. A section that cannot be read is left out whole: no
    part of it is believed.
    """
    left = [f"section {name!r}: not known" for name in sections if name not in KNOWN + OPTIONAL]
    for name in ORDER:
        if name in sections:
            left += _read_section(gateway, name, sections[name], trial)
        elif name not in OPTIONAL:
            left.append(f"section {name!r}: missing")
    return left


def _read_section(gateway: Gateway, name: str, body: bytes, trial: bool) -> Iterable[str]:
    readers = {
        "by-hand": _read_operator_actions,
        "clock": _read_clock,
        "hosts": _read_hosts,
        "module": _read_module,
        "admission": _read_admission,
        "zones": _read_zones,
    }
    try:
        return readers[name](gateway, body, trial)
    except msgspec.MsgspecError as error:
        return [f"section {name!r}: cannot be read: {error}"]


def _engine(gateway: Gateway) -> SiblingEngine:
    assert isinstance(gateway.engine, SiblingEngine)
    return gateway.engine


def _listed(gateway: Gateway, number: int) -> Endpoint:
    """A host as its source tells it, under whatever operators have done."""
    overridden = (
        gateway.admin.host_overrides.listed_endpoint(number) if gateway.admin is not None else None
    )
    listed = overridden or _engine(gateway).balancer.endpoint(number)
    assert listed is not None  # the caller asks for hosts of the endpoint list only
    return listed


def _names(config: Config) -> Names:
    return Names(config.tenants, config.machine_types)


def _line(spec: Endpoint) -> tuple[int, int, int, int, int, float, int | None]:
    return (
        spec.id,
        spec.status.value,
        spec.zone,
        spec.cell,
        spec.machine_type,
        spec.weight,
        spec.started_us,
    )


def _read_clock(gateway: Gateway, body: bytes, trial: bool) -> Iterable[str]:
    document = msgspec.msgpack.decode(body, type=Clock)
    if not trial:
        _engine(gateway).epoch_us = document.epoch_us
    return ()


def _read_hosts(gateway: Gateway, body: bytes, trial: bool) -> Iterable[str]:
    """Keep the own list, unless there is none yet or the other's is later and of the same source.

    A drain that reached only the other process must not be undone.
    """
    document = msgspec.msgpack.decode(body, type=Hosts)
    if trial:
        return ()
    if gateway.feed is not None:
        gateway.feed.restore_start_times(document.starts)
    source, position = gateway.source.position
    is_same_source = bool(document.source) and document.source == source
    is_later = is_same_source and document.position > position
    if is_later or not gateway.engine.hosts:
        if is_same_source:
            gateway.source.resume(document.position)
        _replace_list(gateway, document)
    return ()


def _replace_list(gateway: Gateway, document: Hosts) -> None:
    endpoints = tuple(
        Endpoint(h.id, EndpointStatus(h.state), h.zone, h.cell, h.kind, h.hint, h.started_us)
        for h in document.lines
    )
    gateway.update_endpoints(
        EndpointUpdate(UpdateKind.FULL, endpoints, document.position),
        {h.id: h.name for h in document.lines},
        {h.id: h.address for h in document.lines},
    )


def _read_module(gateway: Gateway, body: bytes, trial: bool) -> Iterable[str]:
    document = msgspec.msgpack.decode(body, type=StateSnapshot)
    balancer = _engine(gateway).balancer
    if trial:
        balancer = Balancer(gateway.config.settings, gateway.config.seed)
    return adopt(balancer, document, _names(gateway.config))


def _read_admission(gateway: Gateway, body: bytes, trial: bool) -> Iterable[str]:
    document = msgspec.msgpack.decode(body, type=AdmissionEstimates)
    if not trial:
        routes = [route.name for route in gateway.config.settings.routes]
        gateway.server.admission.learn(
            document.cost_s,
            document.learned_s,
            [document.hosts_s.get(name, 0.0) for name in routes],
            [document.quotas.get(name) for name in gateway.config.tenants],
        )
    return ()


def _read_operator_actions(gateway: Gateway, body: bytes, trial: bool) -> Iterable[str]:
    document = msgspec.msgpack.decode(body, type=OperatorActions)
    if gateway.admin is None:
        return ["by-hand: operators have no address here"]
    if not trial:
        gateway.admin.learn(document.out, document.back, document.drained)
    return ()


def _read_zones(gateway: Gateway, body: bytes, trial: bool) -> Iterable[str]:
    document = msgspec.msgpack.decode(body, type=ZoneWindow)
    if gateway.zones is None:
        return ["zones: the budget for other zones is off here"]
    if not trial:
        gateway.zones.cross_zone_budget.resume(
            document.firsts, document.crossed, document.size, document.now_us
        )
    return []
