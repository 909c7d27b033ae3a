"""What the rules share: hosts, routes, requests, attempts, and the state of one balancer.

Data and what keeps it consistent, no decision. Each rule is a module of functions over
`BalancerState`; it says there which of these fields are its own. Times are whole microseconds of
the balancer's clock, durations microseconds.
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
"""Payoff (0 to 1) of a host nothing is known of: neither preferred nor passed over."""
LATENCY_SAMPLES = 128
"""Latencies of a route that percentiles are taken from: enough for a 95th, soon forgotten."""
INITIAL_LATENCY_PART = 0.25
"""Guess of a route's uncrowded latency, as a part of its attempt timeout: a cautious one, since
budgets of warming hosts and queue order count with it before the first answers."""
POLLS_REMEMBERED = 0.25
"""How long a host's record lasts, as a part of the poll interval: the endpoint list is the other
source on hosts, and a record must not outlive several of its versions."""


class RouteState:
    """What is known of one route.

    `attempt_timeout_us` is its objective, or its deadline where it has none: an attempt that is in
    flight for longer is overdue. `uncrowded_latency_us` is learned from `samples` answers,
    `client_wait_us` is how long clients wait, smoothed. `overdue_schedule` holds the attempts by
    the time at which they become overdue. `queues` holds the waiting requests: those within their
    tenant's quota, then those beyond it. `cross_zone_denied`: at its last pick only remote zones
    had room, and the cross-zone budget refused.
    """

    def __init__(self, settings: Route, hedging_allowed: bool) -> None:
        self.settings = settings
        self.hedging_allowed = (
            hedging_allowed and settings.idempotency is not Idempotency.NON_IDEMPOTENT
        )
        self.retry_budget = TokenBucket(1.0)
        self.latency = LatencyTracker(LATENCY_SAMPLES)
        self.attempt_timeout_us = settings.latency_objective_us or settings.deadline_us
        self.uncrowded_latency_us = self.attempt_timeout_us * INITIAL_LATENCY_PART
        self.samples = 0
        self.client_wait_us = 0.0
        self.overdue_schedule: deque[tuple[int, Attempt]] = deque()
        self.cross_zone_denied = False
        self.queues: tuple[deque[Request], deque[Request]] = (deque(), deque())


class HostState:
    """What this gateway knows of one endpoint.

    `payoff` is its smoothed share of attempts within the objective, as of `heard_us`: when it was
    last heard of, or, for an ejected host, when it returns.
    `ring_position` is its place in an order that all gateways have in common. `in_flight` and
    `overdue` count attempts of this gateway; of them `sibling_in_flight` and `sibling_overdue` are
    of another process of the same gateway. `slow_start_slot` is the last slot in which it was
    used while warming up, `slot_work_left_us` the work that this slot still allows.
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
        """Whether it is in rotation: not ejected and not silent."""
        return self.ejected_until_us <= now_us and not (self.overdue and self.is_silent())

    def is_silent(self) -> bool:
        """Of a host with an overdue attempt: whether nothing sent after it was answered.

        Where something was, that one attempt got lost. Without the distinction a few lost answers
        take most hosts out of rotation at once.
        """
        return self.newest_answered_sent_us <= self.newest_overdue_sent_us

    def permits_taken(self) -> int:
        """Attempts that take a permit: all in flight, but for those that got lost."""
        if not self.overdue or self.is_silent():
            return self.in_flight
        return self.in_flight - self.overdue


class Attempt:
    """One send of a request to a host.

    `alone`: the host had no other attempt of ours. `filled_host`: it took the last permit there.
    `overdue`: it passed the attempt timeout; `permit_released`: its permit was given back then.
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

    `work_us` is the work that it is expected to cost a host. An answer after `useful_until_us` has
    no value. `in_flight` counts its attempts without an outcome, `retry_groups` the groups of
    attempts that failed. `closed`: it has its final answer, or needs none. `client_gone`: its
    client has left.
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

    def may_have_run(self) -> list[Attempt]:
        """The attempts whose work a host may have started, oldest first."""
        return [a for a in self.attempts if a.outcome not in NEVER_RAN]


class BalancerState:
    """The state of one balancer, which all rules read and each rule changes its part of.

    The groups below are named by the rule that owns them. Nothing is shared between balancers.
    """

    def __init__(
        self, settings: Settings, seed: int, crossing: CrossZoneBudget | None = None
    ) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now_us = 0  # time of the events being handled
        self.started_us: int | None = None  # time of the first events; None: there were none yet
        self.actions: list[Action] = []  # what was decided on the events being handled
        self.counters: dict[str, int] = {}  # by RejectionReason and DecisionCounter
        self.routes = [
            RouteState(route, settings.hedging_allowed) for route in settings.routes or (Route(),)
        ]
        self.requests: dict[int, Request] = {}
        self.timers: dict[int, Timer] = {}
        self.last_timer_id = 0
        self._set_endpoints()
        self._set_admission()
        self._set_limits()
        # zone_awareness
        self.cross_zone = crossing  # None: traffic to other zones is not limited
        # slow_start
        self.owns_slow_start = True  # False: the slots are the sibling process's
        self.slot_us = slow_start.slot_length_us(settings, self.initial_work_us)

    def _set_endpoints(self) -> None:
        # endpoints
        self.hosts: dict[int, HostState] = {}
        self.candidates: list[HostState] = []  # ready hosts, in the order common to all gateways
        self.warming: list[HostState] = []  # candidates that were warming up at the last update
        self.all_local = True  # no host is in a remote zone
        self.failed_polls = 0  # in a row
        # outlier_detection
        self.memory_us = POLLS_REMEMBERED * self.settings.poll_interval_us
        self.mean_payoff = UNKNOWN_PAYOFF
        # learning: mean log2 of latency over the route's uncrowded latency, by machine type
        self.machine_slowness: dict[int, float] = {}

    def _set_admission(self) -> None:
        latencies = [route.uncrowded_latency_us for route in self.routes]
        # admission, load_shedding
        self.admitted_ratio = 1.0  # share of arrivals not shed
        self.recent_requests = 0.0  # arrivals within `memory_us`, fading
        self.recent_counted_us = 0  # when they were counted last
        self.mean_work_us = min(latencies)  # of one request
        self.initial_work_us = max(latencies)  # the same before anything is learned, cautiously
        # tenant_quota
        self.tenant_buckets = [TokenBucket(quota) for quota in self.settings.tenant_quotas_per_s]
        # workload_isolation
        self.shortest_timeout_us = min(route.attempt_timeout_us for route in self.routes)
        self.long_work_ratio = 0.0  # part of the work asked for that comes in long requests
        # request_queue
        self.queued = 0  # requests that wait
        self.queue_sent_us = 0  # the last send from the queue
        self.queue_interval_us = 0.0  # time between two of them, smoothed

    def _set_limits(self) -> None:
        # gateways: the numbers as they are now; the settings have them as they were told
        self.gateway_index = self.settings.gateway_index
        self.gateway_count = self.settings.gateway_count
        # concurrency_limit
        self.concurrency_limit = concurrency_limit.initial_limit(self.gateway_count)
        self.latency_inflation = 1.0  # latency in a full host over the uncrowded one, smoothed
        # subsetting
        self.permits_per_host = max(1.0, self.concurrency_limit)
        self.subset_size = 0  # hosts in the subset at the last pick
        self.permit_quota = 0.0  # this gateway's part of the permits at all hosts of the subset
        self.permit_cap = 0.0  # own attempts in flight at most, however quick answers are
        self.congestion_window = 1.0  # part of the subset's size that answers allow in flight
        self.consecutive_rejections = 0  # by hosts since the last answer
        self.paused_until_us = 0
        self.in_flight = 0  # own attempts that hold a permit
        self.sibling_in_flight = 0  # the same of this gateway's other process
