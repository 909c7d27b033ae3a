"""Every decision. Events go in (`events`), actions come out (`actions`)."""

from __future__ import annotations

import math
import random
import zlib
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import TYPE_CHECKING, Any

from quillroad.balancing.actions import (
    Action,
    CancelAttempt,
    Fail,
    LogMessage,
    Reject,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from quillroad.balancing.endpoint import Endpoint, EndpointStatus
from quillroad.balancing.events import (
    NEVER_RAN,
    AttemptFinished,
    ClientDisconnected,
    CrossZoneBytes,
    EndpointUpdate,
    Event,
    GatewayCountChanged,
    Outcome,
    RequestArrived,
    SiblingAttempts,
    StreamStarted,
    TimerFired,
    UpdateKind,
)
from quillroad.balancing.settings import DeduplicationScope, Idempotency, Route, Settings

if TYPE_CHECKING:
    from quillroad.balancing.zone_routing import Crossing, Reason

UNKNOWN = 0.5  # payoff of a server nothing is known of
EXPLORE = 0.05  # share of picks that go to the lower-scored of the two drawn
SMOOTH = 0.12  # weight of the newest outcome in a payoff: quick to learn against steady
EARN, TOKENS = 0.5, 40.0  # retry budget: tokens a first send earns, and the bucket's cap
SAVED = 0.2  # part of the recent requests that the bucket holds tokens for at most
HEDGE_AT = 0.95  # a request slower than this percentile of its route is hedged
BACKOFF = 1 / 64  # first wait between retry groups, as part of the aim; it doubles from there
OUTLIER = 0.3  # a payoff below this ejects: quick to leave a bad server against patience with an unlucky one
TRIALS = 2.0  # first ejection, in the work of one trial by each balancer sharing: rest against early return
LIMIT = 3.0  # concurrency limit of a server, over all balancers, at first: room for large machines is learned
REST_US = 250_000  # after a first quick failure, doubled with each up to 8 s: early against wrong knowledge
SHARED = 2.5  # LIMIT where more balancers share a server, of which none sees the others. 3.3, 3.0 and 2.5
# gave G of 0.62, 0.67 and 0.68 (churn+huge), 0.72, 0.76 and 0.82 (join+disco+huge), seeds 5
GOLDEN = 0.618  # spreads the fractions of consecutive numbers evenly
SILENT_US = 1_000_000  # after an attempt past its aim: each costs its place for that long
WAITING = 1.0  # requests in a full server that wait for others: a busy machine against jams that no one sees
ROOM = 0.001  # what the limit gains or loses by one answer: quick to learn against steady
TARGET = 0.7  # share of attempts in time at which load shedding holds: use of the fleet against wasted work
STEER = 4.0  # what a memory full of good or bad outcomes would move the share admitted by: speed against calm
LEAST_ADMITTED = (
    0.1  # share still admitted at the worst: finding out that it is over against feeding a jam
)
COLD_SAFETY = 0.5  # part of the told cold-start budget to use: a window can touch two turns in full
LOCAL = 0.5  # local servers take all while one is filled under this part of its limit: crossings or waits
MEMORY = (
    0.25  # part of the told ask-within time that a record lasts: fresh records against wide windows
)
FEWEST = 3  # servers in the smallest window: one bad server must leave a choice
SLOW = 2.5  # an answer that took so many times the uncrowded latency tells of a crowd: calm against notice
LESS, MORE = (
    0.1,
    0.033,
)  # part of the window given up by a slow answer and won by a quick one: 3 outweigh it
# Attempts at a server at once by all that share it, however quick answers are: three servers to choose from
# were three places, and 32 balancers held 8 at each of 12 before an answer told of it. With 6.0, 4.5, 3.5 and
# 3.0 G was 0.33, 0.43, 0.46 and 0.47, with no bound 0.27 (throng+brink of kochi, four draws).
FULLEST = 3.5
LEAST = 0.25  # place of a balancer at the worst: noticing that servers are back against waiting for them
CROWDED = 0.5  # under this nerve servers are taken to be full of what others sent
PACE = 0.3  # weight of the newest in the time between two sends from the queue
FULL_IN_ROW = 3  # doublings of the pause after servers that are full: a try costs them work, too


class TokenBucket:
    """A capped budget. On retries: without one they multiply the load of an outage."""

    def __init__(self, tokens: float) -> None:
        self.tokens, self.filled_us = tokens, 0

    def earn(self, amount: float, cap: float) -> None:
        self.tokens = min(cap, self.tokens + amount)

    def spend(self) -> bool:
        self.tokens -= (allowed := self.tokens >= 1.0)
        return allowed


class LatencyTracker:
    """The latest latencies, at most `most`, in order too: percentiles are asked for with every send."""

    def __init__(self, most: int) -> None:
        self.most, self.latest, self.ordered = most, deque[int](), list[int]()

    def __len__(self) -> int:
        return len(self.latest)

    def append(self, latency: int) -> None:
        if len(self.latest) == self.most:
            del self.ordered[bisect_left(self.ordered, self.latest.popleft())]
        insort(self.ordered, latency)
        self.latest.append(latency)

    def percentile(self, q: float) -> int | None:
        return self.ordered[int(q * len(self.ordered))] if self.ordered else None


class RouteState:
    def __init__(self, spec: Route) -> None:
        self.spec, self.budget, self.latency = spec, TokenBucket(1.0), LatencyTracker(128)
        self.patience_us = spec.latency_objective_us or spec.deadline_us
        self.cost_us = self.patience_us / 4  # uncrowded latency; a cautious guess until learned
        self.samples, self.try_us = 0, 0.0  # answers learned from; how long clients wait, smoothed
        self.due: deque[tuple[int, Attempt]] = deque()  # attempts by the time they are overdue
        self.denied = False  # at the last pick only other zones had room, and their budget said no
        self.queues: tuple[deque[Request], deque[Request]] = (
            deque(),
            deque(),
        )  # within quota, over it


class ServerState:
    def __init__(self, spec: Endpoint) -> None:
        self.spec, self.payoff = spec, UNKNOWN
        self.order = zlib.crc32(b"%d" % spec.id)  # its place in the order common to all balancers
        self.in_flight = self.overdue = 0  # own attempts out, and those of them past their aim
        self.missed_us, self.answered_us = (
            0,
            -1,
        )  # when the newest overdue and the newest answered were sent
        self.heard_us = 0  # when an outcome last told of it
        self.ejections = self.ejected_until_us = 0
        self.failures = 0  # quick ones since the last answer
        self.turn, self.turn_us = (
            -1,
            0.0,
        )  # slow start: our last turn at it, and the work left in that turn
        self.beside = (0, 0)  # of the two counts above, what is another process's of this gateway

    def well(self, now_us: int) -> bool:
        return self.ejected_until_us <= now_us and not (self.overdue and self.silent())

    def silent(self) -> bool:
        """Of one with an overdue attempt: nothing sent later was answered. Where something was, that one got
        lost: guards against a few lost answers that put most servers out."""
        return self.answered_us <= self.missed_us

    def taken(self) -> int:
        """Places taken: what got lost holds none."""
        return (
            self.in_flight if not self.overdue or self.silent() else self.in_flight - self.overdue
        )


class Attempt:
    def __init__(self, server: ServerState, sent_us: int) -> None:
        self.server, self.sent_us = server, sent_us
        self.outcome: Outcome | None = None
        self.alone, self.late, self.lost, self.full = not server.in_flight, False, False, False


class Request:
    """A client's request, kept until its final answer and the last outcome of its attempts."""

    def __init__(self, event: RequestArrived, route: RouteState, now_us: int, over: bool) -> None:
        self.id, self.route, self.number = event.request, route, event.route
        self.cost_us, self.over = float(event.work_estimate_us or route.cost_us), over
        self.useful_us = event.deadline_us  # an answer after this is worth nothing
        if route.spec.latency_objective_us is not None and not route.spec.late_weight:
            aim_us = route.spec.latency_objective_us + int(
                route.spec.objective_stretch * self.cost_us
            )
            self.useful_us = min(self.useful_us, now_us + aim_us)
        self.attempts: list[Attempt] = []
        self.out, self.groups, self.long = 0, 0, event.long_body
        self.closed = self.left = False  # has its final answer, or needs none; its client has gone

    def may_have_run(self) -> list[Attempt]:
        return [a for a in self.attempts if a.outcome not in NEVER_RAN]


def may_refuse(request: Request) -> bool:
    """Rule 2: a refusal says that trying again is harmless, so nothing harmful may have run."""
    spec = request.route.spec
    repeatable = spec.idempotency is Idempotency.IDEMPOTENT or (
        spec.idempotency is Idempotency.KEYED and spec.deduplication_scope is DeduplicationScope.ALL
    )
    return repeatable or not request.may_have_run()


def classify(request: Request, outcome: Outcome) -> bool:
    """Whether an outcome is retryable: unseen work always, any failure where repeats do no harm."""
    return outcome in NEVER_RAN or request.route.spec.idempotency is not Idempotency.NON_IDEMPOTENT


class Balancer:
    """One balancer. The same events bring the same actions; nothing is shared with any other. With `crossing`
    traffic to other zones is held to its budget."""

    def __init__(self, settings: Settings, seed: int, crossing: Crossing | None = None) -> None:
        self.settings, self.random, self.now = settings, random.Random(seed), 0
        self.born_us: int | None = None
        self.crossing = crossing
        self.routes = [RouteState(spec) for spec in settings.routes or (Route(),)]
        self.servers: dict[int, ServerState] = {}
        self.candidates: list[
            ServerState
        ] = []  # the ready ones, in the same order at every balancer
        self.cold: list[ServerState] = []  # those of them that are cold
        self.one_zone = True  # all servers are in the own zone
        # A turn holds one request of the dearest route at the coldest, and is no longer than the told window.
        safe_us = (
            COLD_SAFETY
            * settings.overload_multiple
            * settings.initial_capacity
            * settings.overload_window_us
        )
        turns = max(1, int(safe_us / max(r.cost_us for r in self.routes)))
        self.turn_us = max(
            1, settings.overload_window_us // turns
        )  # a deadline of 1 us makes millions of turns
        self.requests: dict[int, Request] = {}
        self.actions: list[Action] = []
        self.alarms: dict[int, tuple[Callable[[Any], None], Any]] = {}
        self.tags = self.queued = self.failed_calls = 0
        self.quotas = [TokenBucket(q) for q in settings.tenant_quotas_per_s]
        self.span_us, self.mean_payoff = MEMORY * settings.poll_interval_us, UNKNOWN
        self.recent, self.counted_us, self.admitted = (
            0.0,
            0,
            1.0,
        )  # requests of late; share not shed
        self.mean_cost_us = min(r.cost_us for r in self.routes)
        self.guess_us = max(r.cost_us for r in self.routes)  # before anything is learned
        self.shortest_us = min(r.patience_us for r in self.routes)
        self.blocking_share = 0.0  # part of the work asked for that comes in blocking requests
        self.pace: dict[
            int, float
        ] = {}  # of each kind of machine: mean log2 of latency over route cost
        self.number, self.balancers = (
            settings.gateway_index,
            settings.gateway_count,
        )  # as they are now
        # Own share of a server's concurrency limit.
        self.limit = (LIMIT if settings.gateway_count <= LIMIT else SHARED) / settings.gateway_count
        self.crowding = 1.0  # latency in a full server over the uncrowded one, smoothed
        self.owns_slow_start = True  # the turns at cold servers are ours
        self.room = max(1.0, self.limit)  # own places at each server drawn from
        self.width = 0  # servers in the window at the last pick
        self.share = 0.0  # own part of the places at all servers of the window
        self.most = 0.0  # own attempts out at once, however quick answers are
        self.nerve = 1.0  # part of the window's width that answers allow to be out
        self.placed_us, self.gap_us = (
            0,
            0.0,
        )  # the last send from the queue; time between two, smoothed
        self.full_in_row, self.paused_until_us = (
            0,
            0,
        )  # servers that turned us away since the last answer
        self.flying = self.beside = (
            0  # attempts out and not overdue: own, of this gateway's other process
        )
        self.counters: dict[str, int] = {}  # what was refused, and why; copies and ejections

    def handle(self, now_us: int, events: list[Event]) -> list[Action]:
        self.now, self.actions = now_us, []
        if self.born_us is None:
            self.born_us = now_us
        self.count_overdue()
        for event in events:
            if type(event) in HANDLERS:
                HANDLERS[type(event)](self, event)
        if self.queued:
            self.drain()
        return self.actions

    def endpoint(self, number: int) -> Endpoint | None:
        """The entry of the endpoint list with this id; None where there is none."""
        host = self.servers.get(number)
        return None if host is None else host.spec

    def gauges(self, now_us: int) -> dict[str, float]:
        """How the balancer stands, by the names that the log of each second has for it."""
        return {
            "queued": self.queued,
            "admitted": round(self.admitted, 3),
            "width": self.width or len(self.candidates),
            "limit": round(self.limit, 2),
            "nerve": round(self.nerve, 2),
            "pace": round(self.recent, 1),
            "ejected": sum(not s.well(now_us) for s in self.candidates),
            "cold": len(self.cold),
            "hosts": len(self.candidates),
        }

    def count(self, what: str) -> None:
        self.counters[what] = self.counters.get(what, 0) + 1

    def alarm(self, delay_us: float, act: Callable[[Any], None], about: Any = None) -> None:
        self.tags += 1
        self.alarms[self.tags] = (act, about)
        self.actions.append(SetTimer(max(0, int(delay_us)), self.tags))

    def on_alarm(self, event: TimerFired) -> None:
        act, about = self.alarms.pop(event.timer_id, (lambda _: None, None))
        act(about)

    def on_list(self, event: EndpointUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            # Guards against calls piling up on discovery, one service for all: waits grow, with jitter.
            self.failed_calls = min(self.failed_calls + 1, 9)
            wait_us = min(self.settings.poll_interval_us / 4, 100_000 * 2.0**self.failed_calls)
            return self.alarm(wait_us * (0.5 + self.random.random()), self.watch)
        self.failed_calls = 0
        if event.kind is UpdateKind.CACHED and self.settings.discovery_is_polled:
            self.actions.append(WatchEndpoints())
        if event.kind is not UpdateKind.INCREMENTAL:
            self.servers = {i: self.servers[i] for i, *_ in event.endpoints if i in self.servers}
        for line in event.endpoints:
            known = self.servers.get(line.id)
            if line.status is EndpointStatus.REMOVED:
                self.servers.pop(line.id, None)
            elif known is None or (line.started_us or 0) > (known.spec.started_us or 0):
                self.servers[line.id] = ServerState(line)
                self.pace.setdefault(line.machine_type, 0.0)
            else:
                known.spec = line
        self.sort_out(self.now)
        if self.crossing is not None:
            self.look_home(self.crossing)

    def sort_out(self, now_us: int) -> None:
        """What follows from the servers as they are listed. Rule 3: a draining or departed server leaves the
        candidates with the event that tells of it."""
        ready = [s for s in self.servers.values() if s.spec.status is EndpointStatus.READY]
        self.candidates = sorted(ready, key=lambda s: s.order)
        self.cold = [s for s in self.candidates if self.is_cold(s, now_us)]
        # Most fleets: then no pick needs to look at all servers for those of the own zone.
        self.one_zone = all(s.spec.zone == self.settings.zone for s in self.servers.values())

    def watch(self, _: object) -> None:
        self.actions.append(WatchEndpoints())

    def on_beside(self, event: SiblingAttempts) -> None:
        """What another process of this gateway has out counts as ours: guards against two that each fill a
        server's limit, and, by `warms`, against two that use one turn at a cold server."""
        self.owns_slow_start, self.beside = (
            event.owns_slow_start,
            sum(out - late for out, late in event.in_flight.values()),
        )
        for s in self.servers.values():
            out, late = event.in_flight.get(s.spec.id, (0, 0))
            s.in_flight, s.overdue = s.in_flight + out - s.beside[0], s.overdue + late - s.beside[1]
            s.beside = (out, late)

    def on_company(self, event: GatewayCountChanged) -> None:
        """Others came or went: own share of what servers bear together stays what was learned of the whole.
        Guards against windows of a tenth for three that are left of ten, until each has learned it anew."""
        self.limit *= self.balancers / event.gateway_count
        self.number, self.balancers = event.gateway_index, event.gateway_count

    def on_arrived(self, event: RequestArrived) -> None:
        route = self.routes[event.route]
        self.recent = 1.0 + self.recent * math.exp((self.counted_us - self.now) / self.span_us)
        self.counted_us = self.now
        left_us = event.deadline_us - self.now
        route.try_us += (left_us - route.try_us) * (SMOOTH if route.try_us else 1.0)
        request = Request(event, route, self.now, event.is_retry or self.over_quota(event.tenant))
        self.requests[request.id] = request
        self.mean_cost_us += (request.cost_us - self.mean_cost_us) / 64
        weight = min(1.0, request.cost_us / self.mean_cost_us / 256)
        self.blocking_share += (self.blocks(route) - self.blocking_share) * weight
        # With no marks, a try that ends sooner than most by more than the aim is a repeat and has lost it.
        lost = not self.settings.clients_mark_retries and left_us < route.try_us - route.patience_us
        if lost and not route.spec.late_weight:
            self.finish(request, "refused_late")
        elif self.limit >= 1.0 and self.random.random() > self.admitted:
            # In a window what is out is bounded: no jam is fed, and hosts that fail say nothing of one.
            self.finish(request, "refused_share")
        elif self.queued or not self.place(request):
            self.enqueue(request)

    def over_quota(self, tenant: int) -> bool:
        """Whether a tenant is past its share here: an even part of its quota. An unnamed tenant has none."""
        if not 0 <= tenant < len(self.quotas):
            return bool(self.quotas)
        rate, quota = (
            self.settings.tenant_quotas_per_s[tenant] / self.settings.gateway_count,
            self.quotas[tenant],
        )
        quota.earn(rate / 1e6 * (self.now - quota.filled_us), max(1.0, rate))
        quota.filled_us = self.now
        return not quota.spend()

    def enqueue(self, request: Request) -> None:
        """Hold a request in the gateway. Rule 1: its alarm ends it once it can no longer meet its aim."""
        if self.out_of_reach(request):
            return self.finish(request, "refused_crossing")
        due_us = request.useful_us - (request.route.latency.percentile(0.5) or request.cost_us)
        if not self.queued:
            self.placed_us, self.gap_us = self.now, 0.0
        # Only where shares are under one place: elsewhere the limit or the window follows what waits here.
        if self.limit < 1.0 and self.share < 1.0 and self.now + self.wait_us(request) > due_us:
            return self.finish(request, "refused_wait")
        request.route.queues[request.over].append(request)
        self.queued += 1
        self.alarm(due_us - self.now, self.shed, request)

    def wait_us(self, request: Request) -> float:
        """How long one that joins the queue now will wait, by what is ahead of it and the pace at which what
        waited has been sent. Guards against holding for half a second what can't be served then, and others
        behind it. A guess would not do: with nothing learned it refused what could be served."""
        rank = self.rank(request.route, request.over)
        ahead = sum(
            len(queue)
            for route in self.routes
            for over, queue in enumerate(route.queues)
            if queue and self.rank(route, bool(over)) <= rank
        )
        return max(self.paused_until_us - self.now, (ahead + 1) * self.gap_us)

    def rank(self, route: RouteState, over: bool) -> float:
        """The order in which what waits is sent: worth for cost first; over-quota tenants, marked repeats
        last."""
        return (
            (-self.settings.over_quota_weight if over else -1.0)
            * route.spec.priority_weight
            / route.cost_us
        )

    def out_of_reach(self, request: Request) -> bool:
        """Whether nobody at home is well, and no crossing comes free in its time: given up at once."""
        if not request.route.denied or (crossing := self.crossing) is None or not crossing.all_lost:
            return False
        return self.now + crossing.wait_us(self.now, request.number) > request.useful_us

    def shed(self, request: Request) -> None:
        if not request.closed and not request.attempts:
            self.finish(request, "refused_queued")

    def drain(self) -> None:
        """Send what waits as room allows."""
        parts = [(self.rank(r, bool(i)), q) for r in self.routes for i, q in enumerate(r.queues)]
        for _, queue in sorted(parts, key=lambda part: part[0]):
            while queue:
                if not queue[0].closed:
                    if not self.place(queue[0]):
                        break
                    self.gap_us += (self.now - self.placed_us - self.gap_us) * PACE
                    self.placed_us = self.now
                queue.popleft()
                self.queued -= 1

    def finish(self, request: Request, why: str) -> None:
        """Rule 1: the one place that gives a final answer of our own."""
        self.count(why)
        wait_us = self.settings.max_retry_after_us if self.settings.retry_after_allowed else 0
        if request.route.denied and self.crossing is not None and not request.attempts:
            self.crossing.refuse(request.number)
        self.actions.append(
            Reject(request.id, wait_us) if may_refuse(request) else Fail(request.id)
        )
        self.close(request)

    def close(self, request: Request) -> None:
        """Nothing is sent from here on. The first terminal outcome calls off the copies still out."""
        if not request.closed and self.settings.cancellation_allowed:
            self.actions += [
                CancelAttempt(request.id, i)
                for i, a in enumerate(request.attempts)
                if not a.outcome
            ]
        request.closed = True
        if not request.out:
            self.requests.pop(request.id, None)

    def on_departed(self, event: ClientDisconnected) -> None:
        if (request := self.requests.get(event.request)) is not None:
            request.left = True
            self.close(request)

    def place(self, request: Request) -> bool:
        request.route.denied = False
        if (server := self.pick(request)) is not None:
            self.send(request, server)
        return server is not None

    def parallel(self, spec: Route) -> bool:
        return self.settings.hedging_allowed and spec.idempotency is not Idempotency.NON_IDEMPOTENT

    def may_send(self, request: Request, server: ServerState) -> bool:
        """The one gate before every send: rule 2, then 3, then 4."""
        spec = request.route.spec
        spent = len(request.attempts) >= self.settings.max_attempts
        if request.closed or spent or (request.out and not self.parallel(spec)):
            return False
        if spec.idempotency is not Idempotency.IDEMPOTENT and (ran := request.may_have_run()):
            there, here = ran[0].server.spec, server.spec
            same = {
                DeduplicationScope.ALL: True,
                DeduplicationScope.ZONE: there.zone == here.zone,
                DeduplicationScope.CELL: there.cell == here.cell,
            }
            known = (
                same[spec.deduplication_scope]
                and self.now < ran[0].sent_us + spec.deduplication_window_us
            )
            if spec.idempotency is Idempotency.NON_IDEMPOTENT or not known:
                return False
        if server.spec.status is not EndpointStatus.READY or not self.may_warm(request, server):
            return False
        return (
            self.crossing is None
            or not self.abroad(server)
            or self.may_cross(request, self.crossing)
        )

    def abroad(self, s: ServerState) -> bool:
        return not self.one_zone and s.spec.zone != self.settings.zone

    def may_cross(self, request: Request, crossing: Crossing) -> bool:
        if crossing.allows(self.now, request.number, self.why_cross(request, crossing)):
            return True
        request.route.denied = True
        return False

    def why_cross(self, request: Request, crossing: Crossing) -> Reason:
        spec = request.route.spec
        ran = (
            spec.idempotency is Idempotency.KEYED
            and spec.deduplication_scope is not DeduplicationScope.ALL
            and bool(request.may_have_run())
        )
        return crossing.why(ran, bool(request.out))

    def look_home(self, crossing: Crossing) -> None:
        """How the own zone is. What is listed counts as known, drained or not, so that a zone that is drained
        away is lost like one that fails."""
        home = [s for s in self.servers.values() if not self.abroad(s)]
        well = sum(s.spec.status is EndpointStatus.READY and s.well(self.now) for s in home)
        self.tell(crossing.look(self.now, well, len(home)))

    def tell(self, line: str) -> None:
        if line:
            self.actions.append(LogMessage(line))

    def on_carried(self, event: CrossZoneBytes) -> None:
        if self.crossing is not None:
            self.crossing.carried(self.now, event.size)

    def is_cold(self, s: ServerState, now_us: int | None = None) -> bool:
        now_us = self.now if now_us is None else now_us
        return (
            bool(s.spec.started_us) and now_us < (s.spec.started_us or 0) + self.settings.warm_up_us
        )

    def may_warm(self, request: Request, s: ServerState) -> bool:
        """Rule 4, slow start: balancers take turns at a cold server, by its id and start and their numbers.
        Who has the turn may use all that is safe: an even share would be under one request."""
        if not self.is_cold(s):
            return True
        if not self.owns_slow_start:
            return False
        told, since_us = self.settings, max(0, self.now - (s.spec.started_us or 0))
        if (
            (turn := since_us // self.turn_us) + s.order
        ) % told.gateway_count != told.gateway_index:
            return False
        if (s.spec.started_us or 0) + turn * self.turn_us < (self.born_us or 0):
            return False  # guards against a turn that was used up by the process before this one
        warmth = told.initial_capacity + (1.0 - told.initial_capacity) * since_us / told.warm_up_us
        if turn != s.turn:
            s.turn, s.turn_us = turn, COLD_SAFETY * told.overload_multiple * warmth * self.turn_us
        return request.cost_us <= min(s.turn_us, warmth * (request.useful_us - self.now))

    def pick(self, request: Request) -> ServerState | None:
        """The design's pick: of two drawn, higher payoff / (1 + in flight) wins, 1 in 20 the lower."""
        crossing = self.crossing
        if crossing is not None and crossing.due(self.now):
            self.look_home(crossing)
        for s in (
            self.cold
        ):  # a turn unused is lost to all: guards against a fleet left cold by a deploy
            if crossing is not None and self.abroad(s) and not crossing.lost:
                continue  # no work crosses for the sake of a server that its own zone can warm
            if self.is_cold(s) and s.well(self.now) and self.open(request, s):
                return s
        near = self.window()
        # Guards against a window that passes over servers in trouble and so fills one after another.
        if near and self.now < self.paused_until_us:
            return None
        if near and self.flying + self.beside + 1 > max(1.0, self.places()):
            return None
        # In a window no lanes: only a full view tells their share of the work
        lane, part = (self.candidates, 1.0) if near else (self.lane(request.route), LOCAL)
        part = (
            part if crossing is None else 1.0
        )  # a crossing is dearer than a wait at a server with room
        local = near or lane
        if not self.one_zone:
            local = [s for s in local if not self.abroad(s)]
        pool = near or local
        if not (a := self.draw(request, local, part) or (near and self.draw(request, pool, part))):
            pool, part = near or lane, 1.0
            panic = not any(s.well(self.now) for s in pool)  # guards against ejecting a whole fleet
            if not (a := self.draw(request, lane, panic=panic)):
                return None
        elif crossing is not None and not self.abroad(a):
            pool = local  # the second draw must not cross where the first need not
        b = self.draw(request, pool, part, a) or a
        better, worse = (a, b) if self.score(a) >= self.score(b) else (b, a)
        return worse if self.random.random() < EXPLORE else better

    def window(self) -> list[ServerState] | None:
        """The servers that are ours to draw from, from a place in the order set by own number; None: all of
        them. A share of under one place at each server is one place at that part of them. Guards against
        balancers that each put one request on every server, and together many times what it bears. More come
        in where own traffic alone fills those: then others are gone. Who is not well is passed over."""
        if self.limit >= 1.0:
            self.room = self.limit
            return None
        # Cold ones are for whoever's turn it is: guards against windows that hold little else.
        warm = [s for s in self.candidates if not self.is_cold(s)] if self.cold else self.candidates
        warm = warm or self.candidates
        n, told = len(warm), self.settings
        filled = self.recent / self.span_us * min(self.mean_cost_us, self.guess_us)
        places = max(n * self.limit, filled)
        self.room = max(1.0, places / max(1, n))
        # Whole places, dealt out by number: all rounded up they were a tenth more than servers bear.
        part = self.number * GOLDEN % 1.0
        self.width = width = min(n, max(FEWEST, int(places + part)))
        # Under one place each, others are there for certain, however busy this one is with what comes again.
        self.share = n * self.limit if n * self.limit < 1.0 else float(int(places + part))
        self.most = float(int(max(n * FULLEST / self.balancers, filled) + part))
        if width >= n:
            return None
        ring = (warm * 2)[n * self.number // self.balancers :][:n]
        if self.one_zone:
            return list(islice((s for s in ring if s.well(self.now)), width)) or ring[:width]
        ring = [s for s in ring if s.well(self.now)] or ring
        # Local ones come in by the price of a crossing, against the misses that load shedding would bear.
        most = round(width * min(LOCAL, told.cross_zone_cost / (1.0 - TARGET)))
        local = [s for s in ring if s.spec.zone == told.zone][:most]
        return local + [s for s in ring if s not in local][: width - len(local)]

    def places(self) -> float:
        """Own attempts out at once, where others share the window: its width while answers come quickly, but
        no more than servers bear from all that do the same; in a crowd no more than the own share; under one
        means pauses in between. Guards against a choice of servers taken for as many places: 200 balancers
        with three each held 9 requests at each server that bore 3, once a zone was lost."""
        return max(LEAST, self.share, min(self.most, self.nerve * self.width))

    def crowded(self) -> bool:
        return self.limit < 1.0 and self.share < 1.0 and self.nerve < CROWDED

    def sense(self, crowded: bool) -> None:
        """What an answer tells of the crowd that others make: less at once, more by and by."""
        self.nerve = max(0.0, self.nerve - LESS) if crowded else min(1.0, self.nerve + MORE)

    def pause(self, wait_us: float) -> None:
        """Send nothing for a while; what waits goes on with the event that ends it."""
        self.paused_until_us = max(self.paused_until_us, self.now + int(wait_us))
        self.alarm(wait_us, self.go_on)

    def turned_away(self) -> None:
        """A server in the window was full. One may be alone in that; where one after another is, the fleet
        is, and a pause that grows costs less than what each try costs servers. Guards against balancers that
        ask around: 180 were turned away 7,300 times a second by servers that served 500."""
        self.sense(True)
        self.full_in_row += 1
        if self.full_in_row > 1:
            doubled = 2.0 ** min(self.full_in_row - 2, FULL_IN_ROW)
            self.pause(
                min(self.mean_cost_us, self.guess_us) * doubled * (0.5 + self.random.random())
            )

    def go_on(self, _: object) -> None:
        """A pause is over: what waits goes on with this event."""

    def draw(
        self,
        request: Request,
        pool: list[ServerState],
        part: float = 1.0,
        other: ServerState | None = None,
        panic: bool = False,
    ) -> ServerState | None:
        """The first server with room from a random place on; one tried before only if there is no other."""
        n, tried = len(pool), [a.server for a in request.attempts]
        start = int(self.random.random() * n)
        if len(self.pace) > 1 and 0 < n < len(self.candidates):
            # Drawn by the speed of its kind: in a window too few are in flight for the discount to tell.
            start = self.random.choices(
                range(n), [2.0 ** -self.pace[s.spec.machine_type] for s in pool]
            )[0]
        room = max(1.0, part * self.room)
        for i in range(start, start + n):
            s = pool[i % n]
            if s is other or s.taken() + 1 > room or not (panic or s.well(self.now)):
                continue
            fresh = s not in tried or (len(self.candidates) == 1 and not request.out)
            if fresh and self.may_send(request, s):
                return s
        return None

    def open(self, request: Request, s: ServerState) -> bool:
        # In a window nobody else sends to a cold server in our turn: all its places are ours.
        room = max(self.room, SHARED) if self.limit < 1.0 else self.room
        return s.taken() + 1 <= room and self.may_send(request, s)

    def blocks(self, route: RouteState) -> bool:
        """Whether a route's requests run longer than another's aim: short ones behind them miss theirs."""
        return route.samples > 0 and route.cost_us > self.shortest_us

    def lane(self, route: RouteState) -> list[ServerState]:
        """Blocking requests keep to a part of the common order in proportion to their part of the work."""
        n = len(self.candidates)
        k = (
            min(n - 1, max(1, round(n * self.blocking_share)))
            if n > 1 and self.blocking_share > 0.0
            else 0
        )
        if not k:
            return self.candidates
        return self.candidates[:k] if self.blocks(route) else self.candidates[k:]

    def score(self, s: ServerState) -> float:
        crossing = self.settings.cross_zone_cost * self.abroad(s)
        return (self.payoff(s) - crossing) / (1.0 + s.taken() / self.room)

    def send(self, request: Request, server: ServerState) -> None:
        route, attempt = request.route, Attempt(server, self.now)
        if (crossing := self.crossing) is not None:
            if not request.attempts:
                crossing.first(self.now)
            if self.abroad(server):
                self.tell(
                    crossing.spend(self.now, request.number, self.why_cross(request, crossing))
                )
        if not request.attempts:
            # None saves more than it earns of late: guards against many buckets that together hold a storm.
            route.budget.earn(EARN, max(1.0, min(TOKENS, SAVED * self.recent)))
        request.attempts.append(attempt)
        request.out += 1
        self.flying += 1
        server.in_flight += 1
        attempt.full = server.in_flight + 1 > self.room
        server.turn_us -= request.cost_us
        bounded = self.cold or len(request.attempts) > 1  # else neither rule tells of a time
        latest_us = self.latest_us(request, server) if bounded else 0
        self.actions.append(SendAttempt(request.id, server.spec.id, 0, latest_us))
        if request.long:
            return  # guards against a server that reads slowly counting as silent, and against a copy of all
        route.due.append((self.now + route.patience_us, attempt))
        if (
            self.parallel(route.spec)
            and (wait_us := route.latency.percentile(HEDGE_AT)) is not None
        ):
            self.alarm(wait_us, self.hedge, request)

    def latest_us(self, request: Request, server: ServerState) -> int:
        """Until when its first byte may go out: rules 2 and 4 count from when it reaches the server, and a
        connection may come up late. 0: any time will do."""
        ends = []
        if len(request.attempts) > 1 and request.route.spec.idempotency is Idempotency.KEYED:
            ran = [a for a in request.attempts[:-1] if a.outcome not in NEVER_RAN]
            ends += [ran[0].sent_us + request.route.spec.deduplication_window_us] if ran else []
        if self.cold and self.is_cold(server):
            ends.append((server.spec.started_us or 0) + (server.turn + 1) * self.turn_us)
        return min(ends, default=0)

    def hedge(self, request: Request) -> None:
        """A second copy of a slow request; it spends a token, and sheds itself where others wait."""
        wanted = not request.closed and request.out == 1 and not self.queued
        if wanted and (server := self.pick(request)) is not None and request.route.budget.spend():
            self.count("copies")
            self.send(request, server)

    def on_done(self, event: AttemptFinished) -> None:
        request = self.requests.get(event.request)
        if request is None or (attempt := request.attempts[event.attempt]).outcome is not None:
            return
        attempt.outcome = event.outcome
        request.out -= 1
        self.learn(request, attempt, event)
        if event.answered or event.outcome is Outcome.SUCCESS or request.closed:
            self.close(request)
        elif (
            not request.out
        ):  # a retry group ended without an answer: attempts, classifier and budget decide
            left = len(request.attempts) < self.settings.max_attempts
            again = left and classify(request, event.outcome) and request.route.budget.spend()
            self.back_off(request) if again else self.finish(request, "refused_again")

    def back_off(self, request: Request) -> None:
        """Waits grow between retry groups; spent time ends the request."""
        wait_us = (
            request.route.patience_us * BACKOFF * 2.0**request.groups * (0.5 + self.random.random())
        )
        request.groups += 1
        if self.now + wait_us + request.cost_us < request.useful_us:
            self.alarm(wait_us, self.send_again, request)
        else:
            self.finish(request, "refused_time")

    def send_again(self, request: Request) -> None:
        """With no room it waits again, not in the queue, where it could block those that may go anywhere."""
        if not request.closed and not self.place(request):
            self.back_off(request)

    def on_stream(self, event: StreamStarted) -> None:
        if (request := self.requests.get(event.request)) is not None:
            request.closed = True  # the answer is the client's now

    def learn(self, request: Request, attempt: Attempt, event: AttemptFinished) -> None:
        """What an outcome says of its server, its kind and its route."""
        s, outcome, route = attempt.server, event.outcome, request.route
        s.overdue, s.in_flight = s.overdue - attempt.late, s.in_flight - 1
        if not attempt.lost and (self.limit >= 1.0 or not self.haunts(request, attempt, outcome)):
            self.flying -= 1
        if outcome is Outcome.CANCELLED or outcome is Outcome.NOT_SENT:
            return
        shared = self.limit < 1.0 and not self.is_cold(
            s
        )  # in a turn at a cold server nobody else sends
        if shared and outcome is not Outcome.REJECTED and (places := self.places()) < 1.0:
            self.pause(min(event.elapsed_us, route.patience_us) * (1.0 / places - 1.0))
        if request.long and outcome is Outcome.TIMEOUT:
            return
        if outcome is Outcome.SUCCESS:
            s.ejections, s.failures, s.answered_us = 0, 0, max(s.answered_us, attempt.sent_us)
            self.full_in_row = 0
            if request.long:
                return  # guards against slow reading passing for crowding, and for the route's latency
            if shared:
                self.sense(event.elapsed_us > SLOW * route.cost_us)
            pace = math.log2(max(event.elapsed_us / route.cost_us, 0.01))
            self.pace[s.spec.machine_type] += (pace - self.pace[s.spec.machine_type]) * SMOOTH
            route.samples += 1
            if (
                attempt.alone or route.samples < 64
            ):  # slower and slower, lest a jam become the yardstick
                step = (event.elapsed_us - route.cost_us) / min(route.samples, 1024)
                route.cost_us = max(1.0, route.cost_us + step)  # what it divides is never 0
            # In a window it is others that fill a server: own answers tell nothing of how many it bears.
            if attempt.full and route.samples >= 64 and self.limit >= 1.0:
                self.resize(event.elapsed_us / route.cost_us)
            aim_us = (
                route.spec.latency_objective_us or route.latency.percentile(0.5) or event.elapsed_us
            )
            route.latency.append(event.elapsed_us)
            if event.elapsed_us <= aim_us or route.spec.latency_objective_us is None:
                # With no aim half of all answers are slower than the median: no sign of a jam or an outlier.
                return self.credit(
                    s,
                    float(event.elapsed_us <= aim_us),
                    route.spec.latency_objective_us is not None,
                )
        if self.limit < 1.0 and outcome is not Outcome.TIMEOUT:
            self.rest(s, REST_US)
            if outcome is Outcome.REJECTED and shared:
                self.turned_away()
        if not attempt.late:
            # Where nobody listens there is no jam: it says that this server is gone, not to admit less.
            self.blame(s, outcome is not Outcome.CONNECT_FAILED)

    def haunts(self, request: Request, attempt: Attempt, outcome: Outcome) -> bool:
        """Whether what its client gave up early keeps its place for a while: servers may work on, for all
        that they are told. Guards against a crowd that nobody sees: 150 to 210 requests a second were given
        up so at 48 servers that answered 500."""
        given_up = outcome is Outcome.TIMEOUT or (outcome is Outcome.CANCELLED and request.left)
        if not self.crowded() or not given_up or attempt.server.silent():
            return False
        usual_us = request.route.latency.percentile(HEDGE_AT) or request.route.cost_us
        left_us = attempt.sent_us + usual_us - self.now
        if left_us > 0:
            self.alarm(left_us, self.laid)
        return left_us > 0

    def laid(self, _: object) -> None:
        self.flying -= 1

    def count_overdue(self) -> None:
        """An attempt out past its aim counts zero at once; guards against servers that go silent."""
        for route in self.routes:
            while route.due and route.due[0][0] <= self.now:
                attempt = route.due.popleft()[1]
                if attempt.outcome is None:
                    attempt.late = True
                    attempt.server.overdue += 1
                    attempt.server.missed_us = max(attempt.server.missed_us, attempt.sent_us)
                    # In a crowd it is still being worked on, where others are answered, and keeps its place.
                    attempt.lost = not self.crowded() or attempt.server.silent()
                    self.flying -= attempt.lost
                    if not attempt.lost and not self.is_cold(attempt.server):
                        self.sense(True)
                    if self.limit < 1.0 and attempt.server.silent():
                        self.rest(attempt.server, SILENT_US)
                    self.blame(attempt.server)

    def rest(self, s: ServerState, first_us: int) -> None:
        """A server in the window failed, and the next in the ring is as near: a rest that doubles costs less
        than to learn by a dozen failures, at each of many balancers, that it is gone, errs or hangs."""
        s.ejected_until_us = max(
            s.ejected_until_us, self.now + int(first_us * 2.0 ** min(s.failures, 5))
        )
        s.failures += 1

    def resize(self, crowding: float) -> None:
        """Concurrency limit: a full server's latency tells how many of its requests wait for others. Guards
        against crowding machines that lose speed by it long before a request misses its aim."""
        self.crowding += (crowding - self.crowding) / 64
        waiting = self.limit * self.balancers * (1.0 - 1.0 / max(1.0, self.crowding))
        if waiting > WAITING:
            self.limit = max(1.0, self.limit * (1.0 - ROOM))
        elif self.queued:
            self.limit *= 1.0 + ROOM

    def freshness(self, s: ServerState) -> float:
        return math.exp(min(0, s.heard_us - self.now) / self.span_us)

    def payoff(self, s: ServerState) -> float:
        """What is known of a server, less sure with age: it fades to the mean of all, and so does blame."""
        return self.mean_payoff + (s.payoff - self.mean_payoff) * self.freshness(s)

    def credit(self, s: ServerState, worth: float, sheds: bool = True) -> None:
        """One outcome; of a server seen seldom it says much. Load shedding: the share admitted falls while
        too few attempts meet their aim; guards against jams that no limit of one balancer can bound."""
        step = STEER / max(1.0 / SMOOTH, self.recent)
        if sheds or worth > TARGET:
            self.admitted = min(1.0, max(LEAST_ADMITTED, self.admitted + (worth - TARGET) * step))
        known, weight = self.payoff(s), max(SMOOTH, 1.0 - self.freshness(s))
        s.payoff, s.heard_us = known + (worth - known) * weight, self.now
        self.mean_payoff += (worth - self.mean_payoff) * SMOOTH

    def blame(self, s: ServerState, sheds: bool = True) -> None:
        """Count an outcome as zero; outlier ejection of a server that keeps failing, for longer each time."""
        self.credit(s, 0.0, sheds)
        if s.payoff >= OUTLIER or s.ejected_until_us > self.now:
            return
        # Guards against the trials of all that share a server jamming what they test.
        sharing = self.balancers * min(1.0, self.recent / max(1, len(self.candidates)))
        first_us = max(
            TRIALS * sharing * self.mean_cost_us, *(r.spec.deadline_us for r in self.routes)
        )
        wait_us = int(first_us * min(4, 2**s.ejections))
        s.ejections += 1
        self.count("ejections")
        s.ejected_until_us = s.heard_us = self.now + wait_us
        s.payoff = UNKNOWN
        self.actions.append(LogMessage(f"eject server={s.spec.id} for_ms={wait_us // 1000}"))


HANDLERS: dict[type, Callable[[Balancer, Any], None]] = {
    EndpointUpdate: Balancer.on_list,
    RequestArrived: Balancer.on_arrived,
    ClientDisconnected: Balancer.on_departed,
    AttemptFinished: Balancer.on_done,
    StreamStarted: Balancer.on_stream,
    TimerFired: Balancer.on_alarm,
    SiblingAttempts: Balancer.on_beside,
    CrossZoneBytes: Balancer.on_carried,
    GatewayCountChanged: Balancer.on_company,
}
