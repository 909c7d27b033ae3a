"""Admission: what the core can still answer in time waits for its turn, the rest is rejected.

Free of I/O; times are seconds of one clock that never goes back.

Requests that were read wait here until the event loop has time for them. A request is let in where
the wait predicted for it leaves time for its answer within its route's latency objective: the
requests ahead of it, times what one has taken of late, plus what hosts take. Nothing is predicted
from load or lateness. So a core that is slow, shared or rationed shows as a longer time for each
request, and a busy core whose answers meet their objectives rejects nothing.

The request that begins next is the one that must begin soonest (earliest deadline first; Liu and
Layland, J. ACM 1973), so that routes with short objectives pass those with long ones. Priority
weights decide who finds the queue full first, and only while those with more weight need room: then
each lower level keeps a smaller part of it (partial buffer sharing; Kroener et al., IEEE JSAC 1991,
with parts that follow from need). No request that was let in is turned out for a later one, so that
rejections come without a wait.

Only the gateway's own core is judged here. Hosts in trouble are judged by the balancer, and alone
they fill no queue here. Nothing was sent for a request in this queue, so that a rejection is always
harmless to retry.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, NamedTuple

from quillroad.overload.admission_tuning import Tuning
from quillroad.overload.quota_bucket import QuotaBucket
from quillroad.overload.route_queue import QueuedRequest, RouteQueue, retained_fractions

__all__ = ["AdmissionQueue", "LearnedTimes", "QueuedRequest", "RoutePriority"]

# Part of the difference to a new sample that the smoothed time of hosts follows: some dozens of
# answers, since single hosts differ more than the average over them changes.
HOST_TIME_SMOOTHING: Final = 1 / 32
# Load of requests that pass a queue, as a fraction of the core, that is counted at the most: at 1
# the predicted wait would be without end.
MAX_PASSING_LOAD: Final = 0.9
# Shortest time that a slice counts for, so that rates stay finite where the clock did not move.
MIN_COUNTED_SLICE_S: Final = 1e-6
# Stands for "nothing learned yet" where a division needs a time above 0.
NOTHING_LEARNED_S: Final = 1e-9
# Time of a slice's end or of a first arrival that has not been.
NEVER: Final = -1.0


@dataclass(frozen=True, slots=True)
class RoutePriority:
    """What admission knows of a route.

    `priority_weight` is the value of its answers against others. `useful_s` is the time from
    arrival in which an answer has value: the latency objective, or the deadline where there is no
    objective or late answers have value.
    """

    priority_weight: float
    useful_s: float


class LearnedTimes(NamedTuple):
    """What a queue has learned and a successor of its process goes on with.

    `cost_s` is the time of a request, `learned_s` how much time that is the mean of, `host_times_s`
    what hosts take by route, `quotas` the tokens by tenant.
    """

    cost_s: float
    learned_s: float
    host_times_s: dict[str, float]
    quotas: dict[str, tuple[float, float]]


class AdmissionQueue:
    """The queue in front of the core, and who may join it.

    `routes` are in the order of their numbers. A request beyond its tenant's quota counts with
    `over_quota_weight` (0 to 1) of its route's priority weight. `quotas` are the tenants' rates at
    this gateway in requests a second; with none there are no quotas. `cores` is the part of a core
    that the platform allows (above 0). `capacity` is how many requests of all kinds may be in
    flight in the gateway.
    """

    def __init__(
        self,
        routes: Sequence[RoutePriority],
        over_quota_weight: float = 1.0,
        quotas: Sequence[float] = (),
        cores: float = 1.0,
        capacity: int = 1 << 30,
        tuning: Tuning | None = None,
    ) -> None:
        self._tuning = tuning or Tuning()
        self._queues = [RouteQueue(route.useful_s) for route in routes]
        self._retained_fractions = retained_fractions(
            [route.priority_weight for route in routes], over_quota_weight
        )
        self._least_retained = min(self._retained_fractions)
        self._squeezed = 0.0  # how far levels below a contended one are squeezed, 0 to 1
        self._quotas = [QuotaBucket(rate) for rate in quotas]
        self._capacity = max(1, capacity)
        self._cost_s = 0.0  # wall time from one beginning to the next; 0: not known yet
        self._learned_s = NOTHING_LEARNED_S  # how much time that is the mean of
        self._slice_end = NEVER
        # The end of the last slice, or when the first request joined an empty queue after it.
        self._work_since = NEVER
        self._begun = 0  # requests in this slice
        self._cores = cores
        self._cpu_window_start = 0.0
        self._cpu_used_s = 0.0  # by the process, at the start of that window
        self.busy = False  # the process used more than `busy_fraction` of the CPU time allowed
        self.waiting = 0  # requests in the queue
        self.rejected = 0  # requests rejected so far

    @property
    def cost_s(self) -> float:
        """Wall time that the core takes for a request now, rejections and all; 0: not known."""
        return self._cost_s

    def _priority_level(self, now: float, route: int, tenant: int, takes: bool) -> int:
        """Place in `_retained_fractions`: the routes within quota, then the routes beyond it."""
        within = not self._quotas or (
            0 <= tenant < len(self._quotas) and self._quotas[tenant].admits(now, takes)
        )
        return route if within else route + len(self._queues)

    def join(
        self,
        now: float,
        since: float,
        wait_s: float,
        route: int,
        tenant: int,
        in_flight: int,
        item: object,
    ) -> QueuedRequest | None:
        """Let in a request that came at `since` and whose client waits `wait_s` for the answer.

        Returns its entry, or None where it is to be rejected. `in_flight` is how many requests are
        in the gateway, this one included. A `tenant` below 0 or unknown has no quota.
        """
        queue = self._queues[route]
        useful_s = min(queue.useful_s, wait_s)
        useful_until = since + useful_s
        begin_by = self._begin_by(queue, since, useful_s)
        if self._rejects(now, useful_until, begin_by, route, tenant, in_flight, True):
            self.rejected += 1
            return None
        waiting = QueuedRequest(item, begin_by, useful_until)
        queue.entries.append(waiting)
        queue.slack_s = begin_by - since
        if not self.waiting:
            self._work_since = now
        self.waiting += 1
        return waiting

    def resize(self, capacity: int) -> None:
        """Let so many requests be in flight at once from now on (1 at the least)."""
        self._capacity = max(1, capacity)

    def learned(self, routes: Sequence[str], tenants: Sequence[str]) -> LearnedTimes:
        """What would be lost with this process, by the names of routes and tenants."""
        host_times_s = {
            name: queue.host_time_s for name, queue in zip(routes, self._queues, strict=True)
        }
        quotas: dict[str, tuple[float, float]] = {
            name: quota.state() for name, quota in zip(tenants, self._quotas, strict=False)
        }
        return LearnedTimes(self._cost_s, self._learned_s, host_times_s, quotas)

    def learn(
        self,
        cost_s: float,
        learned_s: float,
        host_times_s: Sequence[float],
        quotas: Sequence[tuple[float, float] | None],
    ) -> None:
        """Go on with what another process has learned; by route and tenant, in their order."""
        if cost_s > 0.0:
            self._cost_s = cost_s
            self._learned_s = max(NOTHING_LEARNED_S, min(self._tuning.averaging_s, learned_s))
        for queue, host_time_s in zip(self._queues, host_times_s, strict=True):
            queue.host_time_s = max(0.0, host_time_s)
        for quota, state in zip(self._quotas, quotas, strict=False):
            if state is not None:
                quota.resume(state)

    def rejects_early(
        self, now: float, since: float, wait_s: float, route: int, tenant: int, in_flight: int
    ) -> bool:
        """Whether a request would be rejected, asked before it has cost a connection.

        It counts as rejected then. Its tenant's quota is looked at and not used.
        """
        queue = self._queues[route]
        useful_s = min(queue.useful_s, wait_s)
        begin_by = self._begin_by(queue, since, useful_s)
        rejected = self._rejects(now, since + useful_s, begin_by, route, tenant, in_flight, False)
        self.rejected += rejected
        return rejected

    def _begin_by(self, queue: RouteQueue, since: float, useful_s: float) -> float:
        """The time by which a request that came at `since` has to begin."""
        tuning = self._tuning
        host_time_s = min(queue.host_time_s, tuning.max_host_fraction * useful_s)
        return since + tuning.objective_fraction * useful_s - host_time_s

    def _rejects(
        self,
        now: float,
        useful_until: float,
        begin_by: float,
        route: int,
        tenant: int,
        in_flight: int,
        takes: bool,
    ) -> bool:
        """Whether to reject; uses a token of the tenant's quota if `takes`."""
        tuning = self._tuning
        if now >= useful_until - tuning.min_left_s or in_flight > self._capacity:
            return True
        if not self.waiting and 2 * in_flight <= self._capacity:
            return False
        retained = self._retained_fractions[self._priority_level(now, route, tenant, takes)]
        fraction = 1.0 - self._squeezed * (1.0 - retained)
        available_s = tuning.max_queue_fraction * max(0.0, begin_by - now)
        ahead_s = self._predicted_wait_s(self._queues[route], begin_by)
        contended = tuning.contended_fraction * fraction
        if retained > self._least_retained and (
            ahead_s > contended * available_s or in_flight > contended * self._capacity
        ):
            self._squeezed = min(1.0, self._squeezed + tuning.squeeze_step)
        too_long = ahead_s > 0.0 and ahead_s > fraction * available_s
        return too_long or in_flight > fraction * self._capacity

    def _predicted_wait_s(self, queue: RouteQueue, begin_by: float) -> float:
        """The wait predicted for a request that joins `queue`, in seconds; 0 while not known.

        It waits for those that begin first, and for those of routes with less slack that are going
        to come meanwhile and pass it.
        """
        if self._learned_s < self._tuning.min_known_s:
            return 0.0
        ahead = float(len(queue.entries))
        passing_load = 0.0
        passing = []
        for other in self._queues:
            if other is queue:
                continue
            if other.entries:
                ahead += other.due_before(begin_by)
            if other.slack_s < queue.slack_s and other.rate > 0.0:
                passing_load += other.rate * self._cost_s
                passing.append(other)
        wait_s = ahead * self._cost_s
        if passing and wait_s:
            longest_s = wait_s / (1.0 - min(MAX_PASSING_LOAD, passing_load))
            for other in passing:
                passing_s = min(longest_s, queue.slack_s - other.slack_s)
                wait_s += other.rate * self._cost_s * passing_s
        return wait_s

    def leave(self, waiting: QueuedRequest) -> None:
        """Take out a request whose client has gone before it began."""
        if waiting.item is not None:
            waiting.item = None
            self.waiting -= 1

    def take(self) -> object | None:
        """The item of the request to begin next; None where none waits."""
        first: RouteQueue | None = None
        for queue in self._queues:
            entries = queue.entries
            while entries and entries[0].item is None:
                entries.popleft()
            if entries and (first is None or entries[0].begin_by < first.entries[0].begin_by):
                first = queue
        if first is None:
            return None
        waiting = first.entries.popleft()
        item = waiting.item
        waiting.item = None
        self.waiting -= 1
        self._begun += 1
        first.begun += 1
        return item

    def take_overdue(self, now: float) -> object | None:
        """The item of a request whose answer would have no value any more; None where none is so.

        It is to be rejected though its turn has not come.
        """
        for queue in self._queues:
            entries = queue.entries
            while entries and (entries[0].item is None or entries[0].useful_until <= now):
                waiting = entries.popleft()
                if waiting.item is not None:
                    item = waiting.item
                    waiting.item = None
                    self.waiting -= 1
                    return item
        return None

    def is_hopeless(self, now: float, since: float, wait_s: float, route: int) -> bool:
        """Whether a request whose turn has come can no longer be answered while that has value.

        It waited for longer than was predicted, or hosts have become slower meanwhile.
        """
        tuning = self._tuning
        queue = self._queues[route]
        useful_s = min(queue.useful_s, wait_s)
        if not self.waiting:
            return now >= since + useful_s - tuning.min_left_s
        host_time_s = min(queue.host_time_s, tuning.max_host_fraction * useful_s)
        return now >= since + useful_s - max(tuning.min_left_s, host_time_s)

    def slice_s(self, now: float) -> float:
        """For how many seconds requests may begin now.

        Grows with the time that all else has taken since the last slice. Otherwise a core can be so
        busy with reading and rejecting that it begins nothing (receive livelock; Mogul and
        Ramakrishnan, ACM TOCS 1997).
        """
        tuning = self._tuning
        # Equal where requests were left over by the last slice.
        has_backlog = 0.0 <= self._slice_end == self._work_since
        passed_s = now - self._slice_end if has_backlog else 0.0
        return max(tuning.min_slice_s, tuning.slice_fraction * passed_s)

    def slice_ended(self, now: float) -> None:
        """Learn from a slice that has ended: how fast the queue moves, by route."""
        if self._begun:
            tuning = self._tuning
            passed_s = max(
                MIN_COUNTED_SLICE_S, min(now - self._work_since, tuning.max_counted_slice_s)
            )
            self._squeezed *= math.exp(-passed_s / tuning.squeeze_decay_s)
            # An average over time, not over requests: what is predicted is how fast a queue moves.
            # A plain mean at first: a queue whose requests begin and get no answers yet looks too
            # quick.
            self._learned_s = min(tuning.averaging_s, self._learned_s + passed_s)
            weight = max(
                1.0 - math.exp(-passed_s / tuning.averaging_s),
                min(1.0, passed_s / self._learned_s),
            )
            rate = 1.0 / self._cost_s if self._cost_s else 0.0
            rate += weight * (self._begun / passed_s - rate)
            self._cost_s = 1.0 / rate
            for queue in self._queues:
                queue.rate += weight * (queue.begun / passed_s - queue.rate)
                queue.begun = 0
        self._begun = 0
        self._work_since = now
        self._slice_end = now

    def cpu_used(self, now: float, cpu_s: float) -> None:
        """Take note of how many seconds of CPU time the process has used so far; sets `busy`."""
        tuning = self._tuning
        passed_s = now - self._cpu_window_start
        if passed_s >= tuning.cpu_window_s:
            allowed_s = min(1.0, self._cores) * passed_s
            self.busy = cpu_s - self._cpu_used_s > tuning.busy_fraction * allowed_s
            self._cpu_window_start = now
            self._cpu_used_s = cpu_s

    def host_answered(self, route: int, took_s: float) -> None:
        """Learn from an answer of a host, `took_s` after its request had begun."""
        queue = self._queues[route]
        if queue.host_time_s:
            queue.host_time_s += HOST_TIME_SMOOTHING * (took_s - queue.host_time_s)
        else:
            queue.host_time_s = took_s
