"""An independent checker of the balancer's guarantees, based on settings, events and actions only.

Each request gets one final answer in time; no request takes effect twice; drains are honoured;
warming hosts are not overloaded.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from quillroad.balancing.actions import Action, CancelAttempt, Fail, Reject, SendAttempt
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    UpdateKind,
)
from quillroad.balancing.settings import DeduplicationScope, Idempotency, Route, Settings

NEVER_RAN_OUTCOMES = {"full", "connect_failed", "moot"}


@dataclass
class TrackedAttempt:
    at_us: int
    host: Endpoint
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome is None or self.outcome.value not in NEVER_RAN_OUTCOMES


@dataclass
class TrackedRequest:
    route: Route
    client_deadline_us: int
    ended: bool = False
    sent: list[TrackedAttempt] = field(default_factory=list)


class RuleBroken(AssertionError):
    pass


class Checker:
    """Checks each batch of events and its actions; raises RuleBroken at the first violation.

    Call `record_events` with a batch, then `check_actions` with the actions in reply to it.
    """

    def __init__(self, settings: Settings, work_us: int, answer_slack_us: int) -> None:
        self.settings = settings
        # How long after a deadline a final answer may be given.
        self.answer_slack_us = answer_slack_us
        # True work of a request on a core of the warming host's machine type.
        self.work_us = work_us
        self.requests: dict[int, TrackedRequest] = {}
        # Ended in this batch of events; a send in reply to the same batch is not a violation.
        self.reported_ended: list[int] = []
        self.endpoints_by_id: dict[int, Endpoint] = {}
        self.not_ready_since_us: dict[int, int] = {}
        self.warming_sends: dict[tuple[int, int], list[int]] = {}

    def record_events(self, now_us: int, events: list[Event]) -> None:
        for event in events:
            if isinstance(event, EndpointUpdate):
                self._update_endpoints(now_us, event)
            elif isinstance(event, RequestArrived):
                self.requests[event.request] = TrackedRequest(
                    self.settings.routes[event.route], event.deadline_us
                )
            elif isinstance(event, ClientDisconnected):
                self.reported_ended.append(event.request)
            elif isinstance(event, AttemptFinished):
                tracked = self.requests[event.request]
                tracked.sent[event.attempt].outcome = event.outcome
                if event.answered:
                    self.reported_ended.append(event.request)

    def _update_endpoints(self, now_us: int, event: EndpointUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            return
        listed = {listed_endpoint.id: listed_endpoint for listed_endpoint in event.endpoints}
        if event.kind is not UpdateKind.INCREMENTAL:
            for removed_id in set(self.endpoints_by_id) - set(listed):
                self.not_ready_since_us.setdefault(removed_id, now_us)
        for number, listed_endpoint in listed.items():
            self.endpoints_by_id[number] = listed_endpoint
            if listed_endpoint.status is EndpointStatus.READY:
                self.not_ready_since_us.pop(number, None)
            else:
                self.not_ready_since_us.setdefault(number, now_us)

    def check_actions(self, now_us: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                self._check_send(now_us, action)
            elif isinstance(action, Reject | Fail):
                self._check_final_answer(now_us, action)
            elif isinstance(action, CancelAttempt):
                assert action.attempt < len(self.requests[action.request].sent)
        for number in self.reported_ended:
            self.requests[number].ended = True
        self.reported_ended = []
        for number, tracked in self.requests.items():
            if not tracked.ended and now_us > tracked.client_deadline_us + self.answer_slack_us:
                raise RuleBroken(f"one final answer: request {number} has no final answer in time")

    def _check_final_answer(self, now_us: int, action: Reject | Fail) -> None:
        tracked = self.requests[action.request]
        if tracked.ended:
            return
        if isinstance(action, Reject) and any(s.may_have_run for s in tracked.sent):
            request_route = tracked.route
            if request_route.idempotency is Idempotency.NON_IDEMPOTENT or (
                request_route.idempotency is Idempotency.KEYED
                and request_route.deduplication_scope is not DeduplicationScope.ALL
            ):
                raise RuleBroken(
                    f"no effect twice: request {action.request} refused though it may have run"
                )
        tracked.ended = True

    def _check_send(self, now_us: int, action: SendAttempt) -> None:
        tracked, request_route = self.requests[action.request], self.requests[action.request].route
        host = self.endpoints_by_id[action.endpoint]
        if tracked.ended:
            raise RuleBroken(f"one final answer: request {action.request} sent after its end")
        if len(tracked.sent) >= self.settings.max_attempts:
            raise RuleBroken(f"attempts: request {action.request} has more than max_attempts")
        if any(s.outcome is None for s in tracked.sent) and not self.settings.hedging_allowed:
            raise RuleBroken(
                f"no effect twice: request {action.request} has two attempts in flight"
            )
        for earlier in [s for s in tracked.sent if s.may_have_run]:
            if request_route.idempotency is Idempotency.NON_IDEMPOTENT:
                raise RuleBroken(
                    f"no effect twice: non-idempotent request {action.request} sent again"
                )
            if request_route.idempotency is Idempotency.KEYED:
                is_in_scope = {
                    DeduplicationScope.ALL: True,
                    DeduplicationScope.ZONE: earlier.host.zone == host.zone,
                    DeduplicationScope.CELL: earlier.host.cell == host.cell,
                }[request_route.deduplication_scope]
                if (
                    not is_in_scope
                    or now_us >= earlier.at_us + request_route.deduplication_window_us
                ):
                    raise RuleBroken(
                        f"no effect twice: keyed request {action.request} sent outside its "
                        "deduplication scope or window"
                    )
        not_ready_since_us = self.not_ready_since_us.get(action.endpoint)
        if (
            not_ready_since_us is not None
            and now_us > not_ready_since_us + self.settings.drain_grace_us
        ):
            raise RuleBroken(
                f"drain honoured: host {action.endpoint} got an attempt after its drain"
            )
        tracked.sent.append(TrackedAttempt(now_us, host))
        self._check_warm_up_budget(now_us, host)

    def _check_warm_up_budget(self, now_us: int, host: Endpoint) -> None:
        started = host.started_us
        if not started or now_us >= started + self.settings.warm_up_us:
            return
        sends = self.warming_sends.setdefault((host.id, started), [])
        sends.append(now_us)
        window = self.settings.overload_window_us
        work = self.work_us * sum(1 for t in sends if t > now_us - window)
        warm_capacity = (
            self.settings.initial_capacity
            + (1 - self.settings.initial_capacity)
            * max(0, now_us - window - started)
            / self.settings.warm_up_us
        )
        if work > self.settings.overload_multiple * warm_capacity * window:
            raise RuleBroken(f"warm-up budget: one balancer alone overloaded host {host.id}")
