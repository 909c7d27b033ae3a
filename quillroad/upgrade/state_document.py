"""The format of the state snapshot: what a balancer has learned, field by field.

The names and positions of fields are part of the format: they must stay as older versions wrote
them. `state_snapshot` and `state_adoption` map them to the fields of `BalancerState`. Where a field
has another name in the document, `field(name=...)` gives it; `array_like` classes store positions
only. Times are microseconds of the balancer's clock.

To add a field, give it a default that means "not present". Increase `VERSION` only when the meaning
of an existing field changes. `docs/design/upgrades.md` has the table of versions.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct, field

VERSION = 1
"""Version of the format. A later document is read as this version, and the reader reports that."""


class HostRecord(Struct, array_like=True):
    """One host: its entry in the endpoint list, and what was learned about it.

    `state` is the number of its `EndpointStatus`, `kind` its machine type, `hint` its weight,
    `missed_us` and `answered_us` when its newest overdue and newest answered attempts were sent,
    `failures` its consecutive failures, `slow_start_slot` and `slot_work_left_us` its last
    slow-start slot and the work left in that. `listed` is false for a host that is no longer in the
    endpoint list, but has an attempt of an open request.
    """

    id: int
    state: int
    zone: int
    cell: int
    kind: int
    hint: float
    started_us: int | None
    payoff: float
    heard_us: int
    in_flight: int = 0
    overdue: int = 0
    missed_us: int = 0
    answered_us: int = -1
    ejections: int = 0
    ejected_until_us: int = 0
    slow_start_slot: int = -1
    slot_work_left_us: float = 0.0
    listed: bool = True
    failures: int = 0


class RouteRecord(Struct):
    """One route.

    `tokens` are the tokens of its retry budget, `cost_us` is its uncrowded latency, learned from
    `samples` answers, `try_us` how long its clients wait, `latency` its latest latencies (us).
    """

    name: str
    tokens: float
    cost_us: float
    samples: int
    try_us: float
    latency: list[int] = []


class AttemptRecord(Struct, array_like=True):
    """One attempt of an open request.

    `server` is an index into the document's `servers`. `alone`: its host had no other attempt when
    it was sent; `late`: it is overdue; `full`: it took the last permit of its host.
    """

    server: int
    sent_us: int
    outcome: str | None
    alone: bool
    late: bool
    full: bool


class RequestRecord(Struct, array_like=True):
    """One open request.

    `cost_us` is its expected work; an answer after `useful_us` has no value; `over` says that it
    exceeds its tenant's quota; `out` counts its attempts in flight, `groups` its retry groups;
    `long` marks a long body. `registered`: it is in the balancer's table of requests, not only in a
    queue or referenced by a timer.
    """

    id: int
    route: int
    cost_us: float
    useful_us: int
    over: bool
    out: int
    groups: int
    closed: bool
    registered: bool
    attempts: list[AttemptRecord] = []
    long: bool = False


class Work(Struct):
    """Open requests, queues and timers.

    Requests are referenced by their index in `requests`. `queues` has two lists for each route: the
    requests within quota and those beyond it. `due` has for each route the time at which an attempt
    becomes overdue, its request and its number in that request. `alarms` are the timers: id, value
    of the purpose, and request or -1. `tags` is the last timer id.
    """

    requests: list[RequestRecord]
    queues: list[tuple[list[int], list[int]]]
    due: list[list[tuple[int, int, int]]]
    alarms: list[tuple[int, str, int]]
    tags: int
    queued: int


class StateSnapshot(Struct):
    """Everything that a balancer has learned.

    `limit` is the concurrency limit of this gateway, one of `balancers` gateways that share the
    hosts. `quotas` has each tenant's tokens and when they were last updated, `paces` the slowness
    of each machine type, both by name. `recent` is the decaying count of requests, updated at
    `counted_us`; `admitted` the fraction of requests that load shedding admits; `long_work_ratio`
    the fraction of work in long requests; `crowding` the latency inflation at full hosts;
    `failed_calls` the consecutive failed polls of discovery. `chance` is the state of Python's
    `random.Random`. `born_us` is the time of the first decision of this gateway, over all its
    processes: from then on the slow-start slots of hosts that start are its own.
    """

    now_us: int
    servers: list[HostRecord]
    routes: list[RouteRecord]
    balancers: int = 1
    version: int = VERSION
    quotas: dict[str, tuple[float, int]] = {}
    paces: dict[str, float] = {}
    mean_payoff: float | None = None
    recent: float = 0.0
    counted_us: int = 0
    admitted: float = 1.0
    mean_cost_us: float | None = None
    long_work_ratio: float = field(name="blocking_share", default=0.0)
    limit: float | None = None
    crowding: float = 1.0
    failed_calls: int = 0
    chance: tuple[int, tuple[int, ...], float | None] | None = None
    work: Work | None = None
    born_us: int | None = None


class Names(Struct):
    """The names of tenants and machine types, indexed by the numbers that the balancer uses."""

    tenants: Sequence[str] = ()
    kinds: Sequence[str] = ()

    def kind(self, number: int) -> str:
        """Return the name of a machine type by its number; "" if it has none."""
        return self.kinds[number] if 0 <= number < len(self.kinds) else ""
