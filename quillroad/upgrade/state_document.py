"""The state snapshot as a document: what one process's decisions have learned, field by field.

Names and positions of fields are stored and handed over: they stay as older versions wrote them,
and `state_snapshot` maps them to the fields of `BalancerState`. Where a field has another name here
than in the document, `field(name=...)` has the stored one; of `array_like` classes only positions
are stored. Times are microseconds of the balancer's clock.

Adding a field: give it a default that means "not told", and count `VERSION` up only when the
meaning of a field that was there changes. `docs/design/upgrades.md` has the table of versions.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct, field

VERSION = 1
"""Of the meaning of the fields; a document of a later one is read as this one, and that is told."""


class ServerKnown(Struct, array_like=True):
    """One host: its entry of the endpoint list, and what was learned of it.

    `state` is the number of its `EndpointStatus`, `kind` its machine type, `hint` its weight,
    `missed_us` and `answered_us` when its newest overdue and newest answered attempts were sent,
    `slow_start_slot` and `slot_work_left_us` its last slow-start slot and the work left in that.
    Not `listed`: only an open request still knows of it.
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


class RouteKnown(Struct):
    """One route.

    `tokens` are its retry tokens, `cost_us` its uncrowded latency, learned from `samples` answers,
    `try_us` how long its clients wait, `latency` its latest latencies (us).
    """

    name: str
    tokens: float
    cost_us: float
    samples: int
    try_us: float
    latency: list[int] = []


class AttemptKnown(Struct, array_like=True):
    """One attempt of an open request.

    `server` is a place in the document's list of hosts. `late`: it is overdue; `full`: it took the
    last permit of its host.
    """

    server: int
    sent_us: int
    outcome: str | None
    alone: bool
    late: bool
    full: bool


class RequestKnown(Struct, array_like=True):
    """One open request.

    `cost_us` is its expected work, `useful_us` until when an answer has value, `over` that it is
    beyond its tenant's quota, `out` its attempts in flight, `groups` its retry groups. It is
    `registered` where it is among the balancer's requests, not only in its queue or behind a timer.
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
    attempts: list[AttemptKnown] = []
    long: bool = False


class Work(Struct):
    """What is open.

    Requests are told by their places in `requests`, timers (`alarms`) by their purpose's value.
    `queues` has a pair of lists for each route: within quota, and beyond it. `due` has for each
    route when an attempt is overdue, its request and its number. An alarm is its id, its purpose
    and its request, or -1. `tags` is the last timer id.
    """

    requests: list[RequestKnown]
    queues: list[tuple[list[int], list[int]]]
    due: list[list[tuple[int, int, int]]]
    alarms: list[tuple[int, str, int]]
    tags: int
    queued: int


class StateSnapshot(Struct):
    """All that a balancer has learned.

    `limit` is this gateway's part of what `balancers` gateways share. `quotas` has a tenant's
    tokens and when they were counted, `paces` the slowness of each machine type, by name. `chance`
    is the state of Python's `random.Random`, `long_work_ratio` the part (0 to 1) of long requests
    in the work. `born_us` is when this gateway first decided, over all its processes: slow-start
    slots are its own from then on.
    """

    now_us: int
    servers: list[ServerKnown]
    routes: list[RouteKnown]
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
    """The names of tenants and machine types, in the order of the balancer's numbers for them."""

    tenants: Sequence[str] = ()
    kinds: Sequence[str] = ()

    def kind(self, number: int) -> str:
        """The name of a machine type by its number; an empty one where it has none."""
        return self.kinds[number] if 0 <= number < len(self.kinds) else ""
