"""Tests of the engine with a scripted balancer: fallback answers and tracking of open requests."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from time import monotonic
from typing import Any, cast

import pytest

from quillroad.balancing.actions import Action, CancelAttempt, Fail, Reject, SendAttempt, SetTimer
from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import (
    AttemptFinished,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from quillroad.config import RESERVED, Descriptors
from quillroad.engine.client_request import ClientRequest
from quillroad.engine.engine import Engine
from quillroad.engine.reply import FAILED, REJECTED, SERVED, TIMED_OUT, Reply
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.upstream.pool import Upstream
from tests.net import FakeHost, hang, on_loop, until

pytestmark = pytest.mark.plain


class ScriptedBalancer:
    """Returns the actions in `script` for the type of each event, and records the events."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.script: dict[type, Sequence[Action]] = {}
        self.actions: list[Action] = []
        self.queued = 0

    def handle(self, now_us: int, events: list[Event]) -> Sequence[Action]:
        self.events += events
        return self.script.get(type(events[0]), ())


class EngineHarness:
    """An engine with one host, a scripted balancer and the replies to clients."""

    def __init__(self, host: FakeHost) -> None:
        loop = asyncio.get_running_loop()
        self.balancer = ScriptedBalancer()
        self.descriptors = Descriptors(RESERVED + 10)
        upstream = Upstream(loop, self.descriptors, 1.0, 15.0, EventLoopMonitor(loop))
        self.engine = Engine(loop, cast(Balancer, self.balancer), upstream)
        update = EndpointUpdate(UpdateKind.FULL, (Endpoint(1),))
        self.engine.update_endpoints(update, {1: host.name}, {1: host.address})
        self.replies: list[Reply] = []

    def submit(self, left_s: float = 5.0, **changes: Any) -> Any:
        now = monotonic()
        fields: dict[str, Any] = {
            "id": "r-1",
            "route": 0,
            "tenant": -1,
            "key": None,
            "received_at": now,
            "deadline_at": now + left_s,
            "is_retry": False,
            "work_estimate_us": None,
            "head": b"GET / HTTP/1.1\r\nHost: h\r\n",
            "body": b"",
        }
        return self.engine.accept(ClientRequest(**(fields | changes)), self.replies.append)

    def has_no_open_requests(self) -> bool:
        return self.engine.unanswered == 0 and not self.engine._open


@pytest.mark.parametrize(
    ("action", "reply"),
    [
        (Reject(1, 2_000_000), Reply(REJECTED, None, 2_000_000)),
        (Fail(1), Reply(FAILED)),
    ],
)
@on_loop
async def test_final_action_is_sent_as_the_reply(action: Action, reply: Reply) -> None:
    harness = EngineHarness(await FakeHost().start())
    harness.balancer.script[RequestArrived] = [action]
    harness.submit()
    assert harness.replies == [reply]
    assert harness.has_no_open_requests()


@on_loop
async def test_attempt_sends_its_timeout_and_returns_the_answer() -> None:
    host = await FakeHost().start()
    harness = EngineHarness(host)
    harness.balancer.script[RequestArrived] = [SendAttempt(1, 1, timeout_us=300_000)]
    harness.submit()
    await until(lambda: bool(harness.replies))
    assert harness.replies[0].status == SERVED
    assert host.seen[0].headers["request-timeout-ms"] == "300"
    finished = harness.balancer.events[-1]
    assert isinstance(finished, AttemptFinished)
    assert (finished.outcome, finished.answered) == (Outcome.SUCCESS, True)
    assert harness.has_no_open_requests()


@on_loop
async def test_request_times_out_if_the_balancer_decides_nothing() -> None:
    """If the balancer decides nothing, the engine answers with a timeout before the client's
    deadline.
    """
    harness = EngineHarness(await FakeHost().start())
    open_request = harness.submit(left_s=0.2)
    await until(lambda: bool(harness.replies))
    assert monotonic() < open_request.request.deadline_at
    assert harness.replies == [Reply(TIMED_OUT)]
    assert harness.balancer.events[-1] == ClientDisconnected(open_request.number)
    assert harness.has_no_open_requests()


@on_loop
async def test_attempt_to_an_unknown_host_is_reported_as_not_sent() -> None:
    harness = EngineHarness(await FakeHost().start())
    harness.balancer.script[RequestArrived] = [SendAttempt(1, 99)]
    harness.balancer.script[AttemptFinished] = [Fail(1)]
    harness.submit()
    assert AttemptFinished(1, 0, Outcome.NOT_SENT, 0, False) in harness.balancer.events
    assert harness.replies == [Reply(FAILED)]
    assert harness.has_no_open_requests()


@on_loop
async def test_cancelled_attempt_finishes_once_and_request_stays_open() -> None:
    host = await FakeHost(behave=hang).start()
    harness = EngineHarness(host)
    harness.balancer.script[RequestArrived] = [SendAttempt(1, 1)]
    open_request = harness.submit()
    await host.came.get()
    harness.balancer.script[TimerFired] = [CancelAttempt(1, 0)]
    harness.engine.feed(TimerFired(5))
    finished_events = [
        event for event in harness.balancer.events if isinstance(event, AttemptFinished)
    ]
    assert [attempt_end.outcome for attempt_end in finished_events] == [Outcome.CANCELLED]
    assert open_request.attempts == [None] and harness.engine.unanswered == 1
    harness.engine.client_disconnected(open_request)
    assert harness.has_no_open_requests()


@on_loop
async def test_timer_is_reported_as_an_event() -> None:
    harness = EngineHarness(await FakeHost().start())
    harness.balancer.script[RequestArrived] = [SetTimer(1_000, 7), Fail(1)]
    harness.submit()
    await until(lambda: TimerFired(7) in harness.balancer.events)


@on_loop
async def test_answered_request_withdraws_connecting_attempts() -> None:
    """Without this a request could be sent long after its client was answered."""
    host = await FakeHost().start()
    harness = EngineHarness(host)
    harness.balancer.script[RequestArrived] = [SendAttempt(1, 1), Fail(1)]
    harness.submit()
    assert harness.replies == [Reply(FAILED)]
    assert AttemptFinished(1, 0, Outcome.NOT_SENT, 1, True)[:3] in [
        event[:3] for event in harness.balancer.events if isinstance(event, AttemptFinished)
    ]
    assert harness.has_no_open_requests()
    await until(lambda: harness.descriptors.used == 0)
    assert host.seen == []


@on_loop
async def test_disconnected_client_gets_no_answer() -> None:
    """By then the client's connection may carry another request, which would receive this
    request's answer.
    """
    host = await FakeHost(behave=hang).start()
    harness = EngineHarness(host)
    harness.balancer.script[RequestArrived] = [SendAttempt(1, 1)]
    harness.balancer.script[ClientDisconnected] = [CancelAttempt(1, 0)]
    open_request = harness.submit()
    await host.came.get()
    harness.engine.client_disconnected(open_request)
    harness.engine.client_disconnected(open_request)
    assert harness.balancer.events.count(ClientDisconnected(1)) == 1
    assert harness.replies == [] and harness.has_no_open_requests()
