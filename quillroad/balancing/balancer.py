"""The balancer: dispatches input (`events`) to the rules and returns their output (`actions`).

A request passes through `admission`, `selection`, `send_gate`, `attempts` and `learning`; where
needed also through `request_queue`, `retry`, `hedging` and `final_answer`. These call the other
rules, each in its own module: `load_shedding`, `tenant_quota`, `subsetting`, `concurrency_limit`,
`outlier_detection`, `overdue`, `slow_start`, `workload_isolation`, `zone_awareness` and
`zone_routing`; `shutdown` when the process ends. Their shared data is in `state`. Together the
rules guarantee that each request gets exactly one final answer in time, that no request takes
effect twice, that drains are honoured, and that warming hosts are not overloaded.
"""

from __future__ import annotations

from quillroad.balancing.actions import Action
from quillroad.balancing.admission import on_request_arrived
from quillroad.balancing.attempts import (
    on_attempt_finished,
    on_hedge_timer,
    on_retry_timer,
    on_stream_started,
)
from quillroad.balancing.concurrency_limit import release_permit
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.endpoints import on_endpoint_update, watch_endpoints
from quillroad.balancing.events import (
    AttemptFinished,
    ClientDisconnected,
    CrossZoneBytes,
    DeadlineShortened,
    EndpointUpdate,
    Event,
    GatewayCountChanged,
    RequestArrived,
    SiblingAttempts,
    StreamStarted,
    TimerFired,
)
from quillroad.balancing.final_answer import on_client_disconnected
from quillroad.balancing.gateways import on_gateway_count_changed, on_sibling_attempts
from quillroad.balancing.overdue import count_overdue
from quillroad.balancing.request_queue import drain, on_queue_timeout
from quillroad.balancing.shutdown import on_deadline_shortened
from quillroad.balancing.state import BalancerState, Request
from quillroad.balancing.timers import TimerPurpose
from quillroad.balancing.zone_awareness import on_cross_zone_bytes


class Balancer(BalancerState):
    """The balancer of one gateway: its state, and the dispatch of events to the rules.

    `settings`: its configuration. `seed`: initializes its random number generator. `crossing`: the
    budget for traffic to other zones; None: no limit. Decisions are deterministic: the same
    settings, seed and events produce the same actions.
    """

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """Process the events up to `now_us` in order and return the resulting actions.

        An exception of a rule is passed on; `self.actions` then holds the actions decided before.
        """
        self.now_us = now_us
        self.actions = []
        if self.started_us is None:
            self.started_us = now_us
        count_overdue(self)
        for event in events:
            if isinstance(event, RequestArrived):
                on_request_arrived(self, event)
            elif isinstance(event, AttemptFinished):
                on_attempt_finished(self, event)
            else:
                self._on_rarer_event(event)
        if self.queued:
            drain(self)
        return self.actions

    def _on_rarer_event(self, event: Event) -> None:
        match event:
            case TimerFired():
                self._on_timer(event)
            case EndpointUpdate():
                on_endpoint_update(self, event)
            case ClientDisconnected():
                on_client_disconnected(self, event)
            case DeadlineShortened():
                on_deadline_shortened(self, event)
            case StreamStarted():
                on_stream_started(self, event)
            case SiblingAttempts():
                on_sibling_attempts(self, event)
            case GatewayCountChanged():
                on_gateway_count_changed(self, event)
            case CrossZoneBytes():
                on_cross_zone_bytes(self, event)

    def _on_timer(self, event: TimerFired) -> None:
        timer = self.timers.pop(event.timer_id, None)
        if timer is None:
            return
        if timer.request is not None:
            self._on_request_timer(timer.purpose, timer.request)
        elif timer.purpose is TimerPurpose.WATCH_ENDPOINTS:
            watch_endpoints(self)
        elif timer.purpose is TimerPurpose.RELEASE_PERMIT:
            release_permit(self)
        # RESUME_QUEUE needs no action here: `handle` drains the queue after every batch of events.

    def _on_request_timer(self, purpose: TimerPurpose, request: Request) -> None:
        if purpose is TimerPurpose.HEDGE:
            on_hedge_timer(self, request)
        elif purpose is TimerPurpose.RETRY:
            on_retry_timer(self, request)
        elif purpose is TimerPurpose.QUEUE_TIMEOUT:
            on_queue_timeout(self, request)

    def endpoint(self, number: int) -> Endpoint | None:
        """Return the endpoint with this id, or None if it is not known."""
        host = self.hosts.get(number)
        return None if host is None else host.endpoint

    def gauges(self, now_us: int) -> dict[str, float]:
        """Return the balancer's current values by their field names in the per-second log.

        `queued`: requests in the queue. `admitted`: share of arrivals that is not shed. `width`:
        hosts in the subset. `limit`: concurrency limit per host. `nerve`: congestion window.
        `pace`: recent arrivals. `ejected`: unhealthy hosts (ejected, resting or silent). `cold`:
        hosts that were warming up at the last endpoint update. `hosts`: ready hosts.
        """
        return {
            "queued": self.queued,
            "admitted": round(self.admitted_ratio, 3),
            "width": self.subset_size or len(self.candidates),
            "limit": round(self.concurrency_limit, 2),
            "nerve": round(self.congestion_window, 2),
            "pace": round(self.recent_requests, 1),
            "ejected": sum(not host.is_healthy(now_us) for host in self.candidates),
            "cold": len(self.warming),
            "hosts": len(self.candidates),
        }
