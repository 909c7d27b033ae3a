"""Dispatch: which rule sees which event. Events go in (`events`), actions come out (`actions`).

A request's path: `admission` → `selection` → `send_gate` → `attempts` → `learning`, and beside it
`request_queue`, `retry`, `hedging` and `final_answer`. The rules that these ask are modules of
their own: `load_shedding`, `tenant_quota`, `subsetting`, `concurrency_limit`, `outlier_detection`,
`overdue`, `slow_start`, `workload_isolation`, `zone_awareness` and `zone_routing`. What they share
is in `state`. Four promises hold over all of them: each request has one final answer in time, no
request takes effect twice, drains are honoured, and hosts that warm up are not overloaded.
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
from quillroad.balancing.state import BalancerState, Request
from quillroad.balancing.timers import TimerPurpose
from quillroad.balancing.zone_awareness import on_cross_zone_bytes


class Balancer(BalancerState):
    """The decisions of one gateway: the shared state, and the dispatch of events to the rules.

    `settings` is what it was told, `seed` that of its random draws; with `crossing` traffic to
    other zones is held to that budget. The same events bring the same actions.
    """

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        """The decisions on events that happened by `now_us`, in their order.

        Raises what a rule raises; `actions` then holds what was decided before that.
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
        # RESUME_QUEUE: `handle` looks at the queue after every event.

    def _on_request_timer(self, purpose: TimerPurpose, request: Request) -> None:
        if purpose is TimerPurpose.HEDGE:
            on_hedge_timer(self, request)
        elif purpose is TimerPurpose.RETRY:
            on_retry_timer(self, request)
        elif purpose is TimerPurpose.QUEUE_TIMEOUT:
            on_queue_timeout(self, request)

    def endpoint(self, number: int) -> Endpoint | None:
        """The entry of the endpoint list with this id; None where there is none."""
        host = self.hosts.get(number)
        return None if host is None else host.endpoint

    def gauges(self, now_us: int) -> dict[str, float]:
        """How the balancer stands, by the names that the log of each second has for it.

        `pace` is the recent arrivals, `ejected` the hosts that are not healthy (ejected, resting or
        silent), and `cold` those that were warming up at the last endpoint update.
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
