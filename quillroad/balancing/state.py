"""State that the rules share: hosts, routes, requests, attempts, and the state of one balancer.

This module holds data and keeps it consistent; it makes no decisions. Each rule is a module of
functions over `BalancerState`, where comments name the rule that owns a field. Times are whole
microseconds of the balancer's clock, durations are microseconds.
"""

from __future__ import annotations

import random
import zlib
from collections import deque
from typing import TYPE_CHECKING

from quillroad.balancing import concurrency_limit, slow_start
from quillroad.balancing.actions import Action
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import NEVER_RAN, Outcome, RequestArrived
from quillroad.balancing.latency_tracker import LatencyTracker
from quillroad.balancing.settings import Idempotency, Route, Settings
from quillroad.balancing.timers import Timer
from quillroad.balancing.token_bucket import TokenBucket

if TYPE_CHECKING:
    from quillroad.balancing.zone_routing import CrossZoneBudget

UNKNOWN_PAYOFF = 0.5
"""Payoff (0 to 1) of a host without known outcomes: neither preferred nor avoided."""
LATENCY_SAMPLES = 128
"""Latencies per route that percentiles are computed from: enough for the 95th percentile, and few
enough that old ones soon drop out."""
INITIAL_LATENCY_FRACTION = 0.25
"""Initial estimate of a route's uncrowded latency, as a fraction of its attempt timeout. It is
conservative, since the budgets of warming hosts and the queue order depend on it until the first
answers arrive."""
MEMORY_POLL_FRACTION = 0.25
"""Decay time of what is learned of a host, as a fraction of the poll interval: the endpoint list is
the other source of information on hosts, and what was learned must not outlive several versions of
it."""


class RouteState:
    """State of one route.

    `attempt_timeout_us` is the route's latency objective, or its deadline if it has none: an
    attempt in flight for longer is overdue. `uncrowded_latency_us` is the latency at a host with
    nothing else in flight from this gateway, learned from `samples` answers. `client_wait_us` is
    the smoothed time that clients wait. `overdue_schedule` holds the attempts by the time at which
    they become overdue. `queues` holds the waiting requests: first those within their tenant's
    quota, then those beyond it. `cross_zone_denied`: when a host was last picked, only remote zones
    had room and the cross-zone budget denied the attempt.
    """

    def __init__(self, settings: Route, hedging_allowed: bool) -> None:
        self.settings = settings
        self.hedging_allowed = (
            hedging_allowed and settings.idempotency is not Idempotency.NON_IDEMPOTENT
        )
        self.retry_budget = TokenBucket(1.0)
        self.latency = LatencyTracker(LATENCY_SAMPLES)
        self.attempt_timeout_us = settings.latency_objective_us or settings.deadline_us
        self.uncrowded_latency_us = self.attempt_timeout_us * INITIAL_LATENCY_FRACTION
        self.samples = 0
        self.client_wait_us = 0.0
        self.overdue_schedule: deque[tuple[int, Attempt]] = deque()
        self.cross_zone_denied = False
        self.queues: tuple[deque[Request], deque[Request]] = (deque(), deque())


class HostState:
    """State of one endpoint as seen by this gateway.

    `payoff` is the smoothed share of attempts that met the objective, as of `heard_us`: the time of
    the last outcome or, for an ejected host, of its return. `ring_position` is the host's place in
    an order that all gateways share. `in_flight` and `overdue` count the attempts of this gateway;
    of these, `sibling_in_flight` and `sibling_overdue` belong to the sibling process.
    `newest_overdue_sent_us` and `newest_answered_sent_us` are the latest send times of an overdue
    and of an answered attempt. `slow_start_slot` is the last slot in which the host was used while
    it was warming up, `slot_work_left_us` the work that this slot still allows.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.payoff = UNKNOWN_PAYOFF
        self.heard_us = 0
        self.ring_position = zlib.crc32(b"%d" % endpoint.id)
        self.in_flight = 0
        self.overdue = 0
        self.sibling_in_flight = 0
        self.sibling_overdue = 0
        self.newest_overdue_sent_us = 0
        self.newest_answered_sent_us = -1
        self.ejections = 0
        self.ejected_until_us = 0
        self.consecutive_failures = 0
        self.slow_start_slot = -1
        self.slot_work_left_us = 0.0

    def is_healthy(self, now_us: int) -> bool:
        """Return whether the host is in rotation: not ejected and not silent."""
        return self.ejected_until_us <= now_us and not (self.overdue and self.is_silent())

    def is_silent(self) -> bool:
        """Return whether no attempt sent after the newest overdue one was answered.

        Only meaningful for a host with an overdue attempt. If a later attempt was answered, only
        the overdue one was lost. Without this distinction a few lost answers would take most hosts
        out of rotation at once.
        """
        return self.newest_answered_sent_us <= self.newest_overdue_sent_us

    def permits_taken(self) -> int:
        """Return how many attempts hold a permit: all in flight except lost ones."""
        if not self.overdue or self.is_silent():
            return self.in_flight
        return self.in_flight - self.overdue


class Attempt:
    """One send of a request to a host.

    `alone`: the host had no other attempt from this gateway when this one started. `filled_host`:
    the attempt took the last permit at the host. `overdue`: the attempt exceeded the attempt
    timeout; `permit_released`: its permit was released at that time.
    """

    def __init__(self, host: HostState, sent_us: int) -> None:
        self.host = host
        self.sent_us = sent_us
        self.outcome: Outcome | None = None
        self.alone = not host.in_flight
        self.overdue = False
        self.permit_released = False
        self.filled_host = False


class Request:
    """A client's request, kept until its final answer and the last outcome of its attempts.

    `work_us` is the work that the request is expected to cost a host. An answer after
    `useful_until_us` has no value. `in_flight` counts the attempts without an outcome,
    `retry_groups` the groups of attempts that failed. `closed`: the final answer was sent, or none
    is needed. `client_gone`: the client closed the connection. `shortened_deadline_us`: the
    deadline that the end of the process sets, which is earlier than the client's.
    """

    def __init__(
        self, event: RequestArrived, route: RouteState, now_us: int, over_quota: bool
    ) -> None:
        self.id = event.request
        self.route = route
        self.route_index = event.route
        self.work_us = float(event.work_estimate_us or route.uncrowded_latency_us)
        self.over_quota = over_quota
        self.useful_until_us = event.deadline_us
        settings = route.settings
        if settings.latency_objective_us is not None and not settings.late_weight:
            objective_us = settings.latency_objective_us + int(
                settings.objective_stretch * self.work_us
            )
            self.useful_until_us = min(self.useful_until_us, now_us + objective_us)
        self.attempts: list[Attempt] = []
        self.in_flight = 0
        self.retry_groups = 0
        self.long_body = event.long_body
        self.closed = False
        self.client_gone = False
        self.shortened_deadline_us = event.deadline_us if event.deadline_shortened else None

    def may_have_run(self) -> list[Attempt]:
        """Return the attempts that a host may have started to process, oldest first."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]


class BalancerState:
    """The state of one balancer: every rule reads all of it and changes the fields that it owns.

    A comment above each group of fields names the rule that owns it. Balancers share no state.
    """

    def __init__(
        self, settings: Settings, seed: int, cross_zone_budget: CrossZoneBudget | None = None
    ) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = 0  # time at which the current events are handled
        self.started_us: int | None = None  # time of the first events; None before them
        self.actions: list[Action] = []  # decisions on the current events
        self.counters: dict[str, int] = {}  # by RejectionReason and DecisionCounter
        self.routes = [
            RouteState(route, settings.hedging_allowed) for route in settings.routes or (Route(),)
        ]
        self.requests: dict[int, Request] = {}
        self.timers: dict[int, Timer] = {}
        self.last_timer_id = 0
        self._init_endpoints()
        self._init_admission()
        self._init_limits()
        # zone_awareness
        self.cross_zone = cross_zone_budget  # None: cross-zone traffic is not limited
        # slow_start
        self.owns_slow_start = True  # False: the sibling process uses the slots
        self.slow_start_slot_us = slow_start.slot_length_us(settings, self.initial_work_us)

    def _init_endpoints(self) -> None:
        # endpoints
        self.hosts: dict[int, HostState] = {}
        self.candidates: list[HostState] = []  # ready hosts, by `ring_position`
        self.warming: list[HostState] = []  # candidates warming up at the last refresh
        self.all_hosts_local = True  # no host is in a remote zone
        self.failed_polls = 0  # consecutive
        # outlier_detection
        self.decay_time_us = MEMORY_POLL_FRACTION * self.settings.poll_interval_us
        self.mean_payoff = UNKNOWN_PAYOFF
        # learning: mean log2 of latency over the route's uncrowded latency, by machine type
        self.machine_slowness: dict[int, float] = {}

    def _init_admission(self) -> None:
        latencies = [route.uncrowded_latency_us for route in self.routes]
        # admission, load_shedding
        self.admitted_ratio = 1.0  # fraction of arrivals that load shedding admits
        self.recent_requests = 0.0  # arrivals within `decay_time_us`, decaying exponentially
        self.recent_counted_us = 0  # when `recent_requests` was last updated
        self.mean_work_us = min(latencies)  # mean work of a request
        self.initial_work_us = max(latencies)  # conservative value before any answers
        # tenant_quota
        self.tenant_buckets = [TokenBucket(quota) for quota in self.settings.tenant_quotas_per_s]
        # workload_isolation
        self.shortest_timeout_us = min(route.attempt_timeout_us for route in self.routes)
        self.long_work_ratio = 0.0  # fraction of the requested work in long routes
        # request_queue
        self.queued = 0  # requests in the queues
        self.queue_sent_us = 0  # time of the last send from the queue
        self.queue_interval_us = 0.0  # smoothed time between sends from the queue

    def _init_limits(self) -> None:
        # gateways: the current numbers; `settings` keeps the configured ones
        self.gateway_index = self.settings.gateway_index
        self.gateway_count = self.settings.gateway_count
        # concurrency_limit
        self.concurrency_limit = concurrency_limit.initial_limit(self.gateway_count)
        self.latency_inflation = 1.0  # smoothed: latency at a full host / uncrowded
        # subsetting
        self.permits_per_host = max(1.0, self.concurrency_limit)
        self.subset_size = 0  # hosts in the subset at the last pick
        self.permit_quota = 0.0  # this gateway's share of the permits at all hosts
        self.permit_cap = 0.0  # maximum attempts in flight, however fast the answers
        self.congestion_window = 1.0  # fraction of `subset_size` that may be in flight
        self.consecutive_rejections = 0  # rejections by hosts since the last answer
        self.paused_until_us = 0
        self.in_flight = 0  # attempts of this process that hold a permit
        self.sibling_in_flight = 0  # the same for the sibling process
