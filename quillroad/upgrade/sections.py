"""The sections of a `State` message: the learned state that one process hands over to another.

Each section is a separate MessagePack document under its name. The two processes may be of
different versions: a reader uses the sections that it knows and reports the others, ignores unknown
fields, and gives missing fields their defaults.
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

REQUIRED_SECTIONS = ("clock", "hosts", "module", "admission")
OPTIONAL_SECTIONS = ("by-hand", "zones")  # their features may be off in either process
# The order in which sections are read. Operators' actions come before the endpoint list, so that no
# host that an operator took out of service appears as ready, and before the learned state, which is
# valid only if both processes have the same start time for a host.
SECTION_ORDER = ("by-hand", *REQUIRED_SECTIONS, "zones")


class Clock(Struct):
    """The zero of the engine's clock as Unix time, shared so that ages stay the same."""

    epoch_us: int


class HostLine(Struct, array_like=True):
    """One host of the endpoint list.

    `state` is the number of its `EndpointStatus`, `kind` its machine type, `hint` its weight.
    """

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
    """The endpoint list that the process uses.

    `source` names the discovery source of the list, `position` its generation there; they are ""
    and 0 if lists of the source cannot be compared. `starts` has the start times that were inferred
    from status changes of hosts, by host name: Unix time in microseconds (0: long ago), and whether
    the host was reported as unhealthy or missing.
    """

    lines: list[HostLine]
    source: str = ""
    position: int = 0
    starts: dict[str, tuple[int, bool]] = {}


class AdmissionEstimates(Struct):
    """What admission has learned: the cost of a request, and the host time of each route.

    `learned_s` is how long `cost_s` has been averaged.
    """

    cost_s: float
    learned_s: float
    hosts_s: dict[str, float] = {}
    # By tenant: tokens, and when they were last updated (monotonic clock).
    quotas: dict[str, tuple[float, float]] = {}


class ZoneWindow(Struct):
    """The averaging window of the cross-zone budget.

    First attempts, cross-zone attempts and their bytes, at `now_us` of the balancer's clock.
    """

    firsts: float
    crossed: float
    size: float
    now_us: int


def operator_actions(gateway: Gateway) -> OperatorActions | None:
    """Return what operators have done; None if the gateway has no admin address."""
    if gateway.admin is None:
        return None
    overrides, drain = gateway.admin.host_overrides, gateway.admin.drain
    back = {name: (one.went_us, one.came_us) for name, one in overrides.returned.items()}
    return OperatorActions(
        overrides.out_since_us, back, drain.drained, overrides.called_us, drain.called_us
    )


def learn_operator_actions(gateway: Gateway, actions: OperatorActions) -> None:
    """Merge what operators have done at the sibling; nothing if there is no admin address here."""
    if gateway.admin is not None:
        gateway.admin.learn(actions.out, actions.back, actions.called, actions.drain)


def write(gateway: Gateway) -> dict[str, bytes]:
    """Return all sections of a gateway's state, encoded, by name. Changes nothing."""
    engine, config = _engine(gateway), gateway.config
    routes = [route.name for route in config.settings.routes]
    estimates = gateway.server.admission.learned(routes, config.tenants)
    sections: dict[str, Struct] = {
        "clock": Clock(engine.epoch_us),
        "hosts": _host_list(gateway),
        "module": export(engine.balancer, _names(config)),
        "admission": AdmissionEstimates(*estimates),
    }
    if (actions := operator_actions(gateway)) is not None:
        sections["by-hand"] = actions
    if (zones := gateway.zones) is not None:
        sections["zones"] = ZoneWindow(*zones.cross_zone_budget.window_state())
    return {name: msgspec.msgpack.encode(section) for name, section in sections.items()}


def _host_list(gateway: Gateway) -> Hosts:
    engine = _engine(gateway)
    source, position = gateway.source.position
    lines = [
        HostLine(host.name, host.address, *_line_fields(_listed_endpoint(gateway, number)))
        for number, host in engine.hosts.items()
        if engine.balancer.endpoint(number) is not None
    ]
    starts = gateway.feed.start_times() if gateway.feed is not None else {}
    return Hosts(lines, source, position, starts)


def read(gateway: Gateway, sections: dict[str, bytes], trial: bool) -> list[str]:
    """Adopt the sections; with `trial` only check them, on a copy.

    Returns one line of text for each thing that cannot be used. A section that cannot be decoded is
    ignored as a whole.
    """
    unusable = [
        f"section {name!r}: not known"
        for name in sections
        if name not in REQUIRED_SECTIONS + OPTIONAL_SECTIONS
    ]
    for name in SECTION_ORDER:
        if name in sections:
            unusable += _read_section(gateway, name, sections[name], trial)
        elif name not in OPTIONAL_SECTIONS:
            unusable.append(f"section {name!r}: missing")
    return unusable


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


def _listed_endpoint(gateway: Gateway, number: int) -> Endpoint:
    """Return a host as its discovery source lists it, without any operator override."""
    overridden = (
        gateway.admin.host_overrides.listed_endpoint(number) if gateway.admin is not None else None
    )
    listed = overridden or _engine(gateway).balancer.endpoint(number)
    assert listed is not None  # callers pass only hosts of the endpoint list
    return listed


def _names(config: Config) -> Names:
    return Names(config.tenants, config.machine_types)


def _line_fields(entry: Endpoint) -> tuple[int, int, int, int, int, float, int | None]:
    return (
        entry.id,
        entry.status.value,
        entry.zone,
        entry.cell,
        entry.machine_type,
        entry.weight,
        entry.started_us,
    )


def _read_clock(gateway: Gateway, body: bytes, trial: bool) -> Iterable[str]:
    document = msgspec.msgpack.decode(body, type=Clock)
    if not trial:
        _engine(gateway).epoch_us = document.epoch_us
    return ()


def _read_hosts(gateway: Gateway, body: bytes, trial: bool) -> Iterable[str]:
    """Adopt the list if this process has none, or if it is a later one of the same source.

    Otherwise this process keeps its own list. A drain that only the other process has heard of must
    not be undone.
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
        return ["section 'by-hand': not used: no admin address is configured here"]
    if not trial:
        learn_operator_actions(gateway, document)
    return ()


def _read_zones(gateway: Gateway, body: bytes, trial: bool) -> Iterable[str]:
    document = msgspec.msgpack.decode(body, type=ZoneWindow)
    if gateway.zones is None:
        return ["section 'zones': not used: the cross-zone budget is off here"]
    if not trial:
        gateway.zones.cross_zone_budget.resume(
            document.firsts, document.crossed, document.size, document.now_us
        )
    return []
