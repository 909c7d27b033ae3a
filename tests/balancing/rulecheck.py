"""An independent checker of what the decisions promise. It sees settings, events and actions only.

Each request has one final answer in time; no request takes effect twice; drains are honoured; hosts
that warm up are not overloaded.
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

PROVES_NOTHING_RAN = {"full", "connect_failed", "moot"}


@dataclass
class Sent:
    at_us: int
    host: Endpoint
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        return self.outcome is None or self.outcome.value not in PROVES_NOTHING_RAN


@dataclass
class Case:
    route: Route
    give_up_us: int
    ended: bool = False
    sent: list[Sent] = field(default_factory=list)


class RuleBroken(AssertionError):
    pass


class Checker:
    """Feed it every batch, its actions after it; it raises RuleBroken at the first breach."""

    def __init__(self, told: Settings, work_us: int, answer_slack_us: int) -> None:
        self.told = told
        self.answer_slack_us = answer_slack_us  # time that a final answer may come after a deadline
        self.work_us = work_us  # true work of a request, on a core of a warming host's kind
        self.cases: dict[int, Case] = {}
        self.told_ended: list[int] = []  # in this batch; a send in its reply is no breach yet
        self.known: dict[int, Endpoint] = {}
        self.told_off: dict[int, int] = {}
        self.warming_sends: dict[tuple[int, int], list[int]] = {}

    def before(self, now_us: int, events: list[Event]) -> None:
        for event in events:
            if isinstance(event, EndpointUpdate):
                self._list(now_us, event)
            elif isinstance(event, RequestArrived):
                self.cases[event.request] = Case(self.told.routes[event.route], event.deadline_us)
            elif isinstance(event, ClientDisconnected):
                self.told_ended.append(event.request)
            elif isinstance(event, AttemptFinished):
                case = self.cases[event.request]
                case.sent[event.attempt].outcome = event.outcome
                if event.answered:
                    self.told_ended.append(event.request)

    def _list(self, now_us: int, event: EndpointUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            return
        listed = {line.id: line for line in event.endpoints}
        if event.kind is not UpdateKind.INCREMENTAL:
            for gone in set(self.known) - set(listed):
                self.told_off.setdefault(gone, now_us)
        for number, line in listed.items():
            self.known[number] = line
            if line.status is EndpointStatus.READY:
                self.told_off.pop(number, None)
            else:
                self.told_off.setdefault(number, now_us)

    def after(self, now_us: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                self._send(now_us, action)
            elif isinstance(action, Reject | Fail):
                self._end(now_us, action)
            elif isinstance(action, CancelAttempt):
                assert action.attempt < len(self.cases[action.request].sent)
        for number in self.told_ended:
            self.cases[number].ended = True
        self.told_ended = []
        for number, case in self.cases.items():
            if not case.ended and now_us > case.give_up_us + self.answer_slack_us:
                raise RuleBroken(f"one final answer: request {number} has no final answer in time")

    def _end(self, now_us: int, action: Reject | Fail) -> None:
        case = self.cases[action.request]
        if case.ended:
            return
        if isinstance(action, Reject) and any(s.may_have_run for s in case.sent):
            spec = case.route
            if spec.idempotency is Idempotency.NON_IDEMPOTENT or (
                spec.idempotency is Idempotency.KEYED
                and spec.deduplication_scope is not DeduplicationScope.ALL
            ):
                raise RuleBroken(
                    f"no effect twice: request {action.request} refused though it may have run"
                )
        case.ended = True

    def _send(self, now_us: int, action: SendAttempt) -> None:
        case, spec = self.cases[action.request], self.cases[action.request].route
        host = self.known[action.endpoint]
        if case.ended:
            raise RuleBroken(f"one final answer: request {action.request} sent after its end")
        if len(case.sent) >= self.told.max_attempts:
            raise RuleBroken(f"attempts: request {action.request}")
        if any(s.outcome is None for s in case.sent) and not self.told.hedging_allowed:
            raise RuleBroken(f"no effect twice: request {action.request} out twice")
        for earlier in [s for s in case.sent if s.may_have_run]:
            if spec.idempotency is Idempotency.NON_IDEMPOTENT:
                raise RuleBroken(f"no effect twice: unsafe request {action.request} sent again")
            if spec.idempotency is Idempotency.KEYED:
                same = {
                    DeduplicationScope.ALL: True,
                    DeduplicationScope.ZONE: earlier.host.zone == host.zone,
                    DeduplicationScope.CELL: earlier.host.cell == host.cell,
                }[spec.deduplication_scope]
                if not same or now_us >= earlier.at_us + spec.deduplication_window_us:
                    raise RuleBroken(
                        f"no effect twice: keyed request {action.request} sent outside its scope "
                        "or window"
                    )
        told_off = self.told_off.get(action.endpoint)
        if told_off is not None and now_us > told_off + self.told.drain_grace_us:
            raise RuleBroken(f"drain honoured: host {action.endpoint} sent to after its drain")
        case.sent.append(Sent(now_us, host))
        self._warming(now_us, host)

    def _warming(self, now_us: int, host: Endpoint) -> None:
        started = host.started_us
        if not started or now_us >= started + self.told.warm_up_us:
            return
        sends = self.warming_sends.setdefault((host.id, started), [])
        sends.append(now_us)
        window = self.told.overload_window_us
        work = self.work_us * sum(1 for t in sends if t > now_us - window)
        warmth = (
            self.told.initial_capacity
            + (1 - self.told.initial_capacity)
            * max(0, now_us - window - started)
            / self.told.warm_up_us
        )
        if work > self.told.overload_multiple * warmth * window:
            raise RuleBroken(
                f"warm-up budget: host {host.id} sent more than it bears by one balancer alone"
            )
