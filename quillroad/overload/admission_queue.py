"""Admission control: queues requests that the core can answer in time and rejects the rest.

No I/O; times are seconds of a monotonic clock.

Requests that were read wait here until the event loop has time for them. A request is admitted if
its predicted wait leaves time for an answer within its route's latency objective. The prediction is
the number of requests ahead times the recent average time per request, plus the hosts' response
time. It does not use load or lateness: a slow, shared or CPU-limited core shows as a longer time
per request, and a busy core whose answers meet their objectives rejects nothing.

Requests start in the order of their latest start times (earliest deadline first; Liu and Layland,
J. ACM 1973), so that routes with short objectives overtake those with long ones. Priority weights
determine which requests find the queue full first, and only while requests with higher weight need
room: then each lower level retains a smaller part of the queue (partial buffer sharing; Kroener et
al., IEEE JSAC 1991, with thresholds that adapt to demand). An admitted request is never evicted for
a later one, so that rejections are immediate.

This module protects only the gateway's own core. The balancer handles slow or failing hosts; they
alone do not fill this queue. Nothing was sent to a host for a request in this queue, so a rejected
request is always safe to retry.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final, NamedTuple

from quillroad.overload.admission_tuning import Tuning
from quillroad.overload.quota_bucket import QuotaBucket
from quillroad.overload.route_queue import QueuedRequest, RouteQueue, retained_fractions

__all__ = ["AdmissionQueue", "LearnedState", "QueuedRequest", "RoutePriority"]

# Weight of a new sample in the smoothed response time of hosts: averages over some dozens of
# answers, since hosts differ from each other more than their average changes.
HOST_TIME_SMOOTHING: Final = 1 / 32
# Upper bound of the load from requests that overtake a queue, as a fraction of the core: at 1 the
# predicted wait would be infinite.
MAX_OVERTAKING_LOAD: Final = 0.9
# Minimum time that is counted for a slice, so that rates stay finite if the clock did not advance.
MIN_COUNTED_SLICE_S: Final = 1e-6
# Averaging time before the first sample; above 0 because it is a divisor.
INITIAL_LEARNED_S: Final = 1e-9
# Timestamp of an event that has not happened yet.
NEVER: Final = -1.0


@dataclass(frozen=True, slots=True)
class RoutePriority:
    """The properties of a route that admission uses.

    `priority_weight` is the value of its answers relative to other routes. `useful_s` is the time
    from arrival in which an answer has value: the latency objective, or the deadline if there is no
    objective or late answers have value.
    """

    priority_weight: float
    useful_s: float


class LearnedState(NamedTuple):
    """The learned state of a queue that is handed over to the successor of its process.

    `cost_s` is the average time per request, `learned_s` the time over which it was averaged,
    `host_times_s` the response time of hosts by route, and `quotas` the bucket state by tenant
    (tokens, and the time at which they were counted).
    """

    cost_s: float
    learned_s: float
    host_times_s: dict[str, float]
    quotas: dict[str, tuple[float, float]]


class AdmissionQueue:
    """The queue of requests that wait for the core, with its admission control.

    `routes` are in the order of their indexes. A request beyond its tenant's quota counts with
    `over_quota_weight` (0 to 1) times its route's priority weight. `quotas` are the tenants' rates
    at this gateway in requests per second, in the order of their indexes; if empty, there are no
    quotas. `cores` is the number of cores that the platform allows (above 0; more than one counts
    as one). `capacity` is the maximum number of requests in flight in the gateway, over all routes.
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
        self._min_retained_fraction = min(self._retained_fractions)
        self._squeeze = 0.0  # how far lower levels are squeezed, 0 to 1
        self._quotas = [QuotaBucket(rate) for rate in quotas]
        self._capacity = max(1, capacity)
        self._cost_s = 0.0  # average wall time per started request; 0: not known yet
        self._learned_s = INITIAL_LEARNED_S  # time over which `_cost_s` was averaged
        self._slice_end = NEVER
        # End of the last slice, or the time when a request joined the empty queue after it.
        self._work_since = NEVER
        self._begun = 0  # requests started in the current slice
        self._cores = cores
        self._cpu_window_start = 0.0
        self._cpu_used_s = 0.0  # by the process until the start of the window
        self.busy = False  # the process used more than `busy_fraction` of the allowed CPU time
        self.waiting = 0  # requests in the queue
        self.rejected = 0  # requests rejected so far
        self._latest_useful_at = math.inf  # no answer has value after this time

    @property
    def cost_s(self) -> float:
        """Average wall time per started request, including all rejections; 0 if not known."""
        return self._cost_s

    def _priority_level(self, now: float, route: int, tenant: int, consume_token: bool) -> int:
        """Return the index in `_retained_fractions`: routes within quota, then those beyond."""
        within = not self._quotas or (
            0 <= tenant < len(self._quotas) and self._quotas[tenant].admits(now, consume_token)
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
        """Admit a request that arrived at `since` and whose client waits `wait_s` for the answer.

        Returns its entry, or None if it must be rejected. `in_flight` is the number of requests in
        the gateway including this one. A `tenant` index that is negative or unknown has no quota:
        if quotas are configured, its requests count as beyond quota.
        """
        queue = self._queues[route]
        useful_s = min(queue.useful_s, wait_s)
        useful_until = min(since + useful_s, self._latest_useful_at)
        begin_by = self._begin_by(queue, since, useful_s)
        if self._rejects(now, useful_until, begin_by, route, tenant, in_flight, True):
            self.rejected += 1
            return None
        entry = QueuedRequest(item, begin_by, useful_until)
        queue.entries.append(entry)
        queue.slack_s = begin_by - since
        if not self.waiting:
            self._work_since = now
        self.waiting += 1
        return entry

    def resize(self, capacity: int) -> None:
        """Set the maximum number of requests in flight (at least 1)."""
        self._capacity = max(1, capacity)

    def limit_useful_time(self, latest_useful_at: float) -> None:
        """Note that no answer has value after this time: the process ends then."""
        self._latest_useful_at = latest_useful_at
        for queue in self._queues:
            for entry in queue.entries:
                entry.useful_until = min(entry.useful_until, latest_useful_at)

    def learned(self, routes: Sequence[str], tenants: Sequence[str]) -> LearnedState:
        """Return the learned state for hand-over, keyed by the names of routes and tenants."""
        host_times_s = {
            name: queue.host_time_s for name, queue in zip(routes, self._queues, strict=True)
        }
        quotas: dict[str, tuple[float, float]] = {
            name: quota.state() for name, quota in zip(tenants, self._quotas, strict=False)
        }
        return LearnedState(self._cost_s, self._learned_s, host_times_s, quotas)

    def learn(
        self,
        cost_s: float,
        learned_s: float,
        host_times_s: Sequence[float],
        quotas: Sequence[tuple[float, float] | None],
    ) -> None:
        """Adopt the state learned by another process, in the order of routes and tenants."""
        if cost_s > 0.0:
            self._cost_s = cost_s
            self._learned_s = max(INITIAL_LEARNED_S, min(self._tuning.averaging_s, learned_s))
        for queue, host_time_s in zip(self._queues, host_times_s, strict=True):
            queue.host_time_s = max(0.0, host_time_s)
        for quota, state in zip(self._quotas, quotas, strict=False):
            if state is not None:
                quota.resume(state)

    def rejects_early(
        self, now: float, since: float, wait_s: float, route: int, tenant: int, in_flight: int
    ) -> bool:
        """Return whether to reject a request before a connection is set up for it.

        If True, the request is counted as rejected. Checks the tenant's quota without using a
        token.
        """
        queue = self._queues[route]
        useful_s = min(queue.useful_s, wait_s)
        begin_by = self._begin_by(queue, since, useful_s)
        rejected = self._rejects(now, since + useful_s, begin_by, route, tenant, in_flight, False)
        self.rejected += rejected
        return rejected

    def _begin_by(self, queue: RouteQueue, since: float, useful_s: float) -> float:
        """Return the latest start time of a request that arrived at `since`."""
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
        consume_token: bool,
    ) -> bool:
        """Return whether to reject; use a token of the tenant's quota if `consume_token`."""
        tuning = self._tuning
        if now >= useful_until - tuning.min_left_s or in_flight > self._capacity:
            return True
        if not self.waiting and 2 * in_flight <= self._capacity:
            return False
        retained = self._retained_fractions[self._priority_level(now, route, tenant, consume_token)]
        fraction = 1.0 - self._squeeze * (1.0 - retained)
        available_s = tuning.max_queue_fraction * max(0.0, begin_by - now)
        ahead_s = self._predicted_wait_s(self._queues[route], begin_by)
        contended = tuning.contended_fraction * fraction
        if retained > self._min_retained_fraction and (
            ahead_s > contended * available_s or in_flight > contended * self._capacity
        ):
            self._squeeze = min(1.0, self._squeeze + tuning.squeeze_step)
        too_long = ahead_s > 0.0 and ahead_s > fraction * available_s
        return too_long or in_flight > fraction * self._capacity

    def _predicted_wait_s(self, queue: RouteQueue, begin_by: float) -> float:
        """Return the predicted wait of a request that joins `queue`, in seconds; 0 if not known.

        It waits for the requests that start before it, and for later arrivals of routes with less
        slack, which overtake it.
        """
        if self._learned_s < self._tuning.min_known_s:
            return 0.0
        ahead = float(len(queue.entries))
        overtaking_load = 0.0
        overtaking = []
        for other in self._queues:
            if other is queue:
                continue
            if other.entries:
                ahead += other.due_before(begin_by)
            if other.slack_s < queue.slack_s and other.rate > 0.0:
                overtaking_load += other.rate * self._cost_s
                overtaking.append(other)
        wait_s = ahead * self._cost_s
        if overtaking and wait_s:
            longest_s = wait_s / (1.0 - min(MAX_OVERTAKING_LOAD, overtaking_load))
            for other in overtaking:
                overtaking_s = min(longest_s, queue.slack_s - other.slack_s)
                wait_s += other.rate * self._cost_s * overtaking_s
        return wait_s

    def leave(self, entry: QueuedRequest) -> None:
        """Remove a request whose client disconnected before it started."""
        if entry.item is not None:
            entry.item = None
            self.waiting -= 1

    def take(self) -> object | None:
        """Remove the request to start next and return its item; None if the queue is empty."""
        first: RouteQueue | None = None
        for queue in self._queues:
            entries = queue.entries
            while entries and entries[0].item is None:
                entries.popleft()
            if entries and (first is None or entries[0].begin_by < first.entries[0].begin_by):
                first = queue
        if first is None:
            return None
        entry = first.entries.popleft()
        item = entry.item
        entry.item = None
        self.waiting -= 1
        self._begun += 1
        first.begun += 1
        return item

    def take_overdue(self, now: float) -> object | None:
        """Remove a request whose answer has lost its value and return its item; None if none has.

        The caller rejects it without waiting for its turn.
        """
        for queue in self._queues:
            entries = queue.entries
            while entries and (entries[0].item is None or entries[0].useful_until <= now):
                entry = entries.popleft()
                if entry.item is not None:
                    item = entry.item
                    entry.item = None
                    self.waiting -= 1
                    return item
        return None

    def cannot_meet_deadline(self, now: float, since: float, wait_s: float, route: int) -> bool:
        """Return whether a request taken from the queue can no longer be answered in time.

        This happens if it waited longer than predicted, or if hosts became slower meanwhile.
        """
        tuning = self._tuning
        queue = self._queues[route]
        useful_s = min(queue.useful_s, wait_s)
        if not self.waiting:
            return now >= since + useful_s - tuning.min_left_s
        host_time_s = min(queue.host_time_s, tuning.max_host_fraction * useful_s)
        return now >= since + useful_s - max(tuning.min_left_s, host_time_s)

    def slice_s(self, now: float) -> float:
        """Return the length in seconds of the time slice for starting requests.

        It grows with the time that other work took since the last slice. Otherwise a core could be
        so busy with reading and rejecting that it starts no requests (receive livelock; Mogul and
        Ramakrishnan, ACM TOCS 1997).
        """
        tuning = self._tuning
        # The two times are equal if the last slice left requests in the queue.
        has_backlog = 0.0 <= self._slice_end == self._work_since
        elapsed_s = now - self._slice_end if has_backlog else 0.0
        return max(tuning.min_slice_s, tuning.slice_fraction * elapsed_s)

    def slice_ended(self, now: float) -> None:
        """Update the average time per request and the routes' start rates at the end of a slice."""
        if self._begun:
            tuning = self._tuning
            elapsed_s = max(
                MIN_COUNTED_SLICE_S, min(now - self._work_since, tuning.max_counted_slice_s)
            )
            self._squeeze *= math.exp(-elapsed_s / tuning.squeeze_decay_s)
            # The average is over time, not over requests, since it predicts how fast the queue
            # moves. It starts as a plain mean, because the first slices appear too fast: their
            # requests have started, but no answers have had to be processed yet.
            self._learned_s = min(tuning.averaging_s, self._learned_s + elapsed_s)
            weight = max(
                1.0 - math.exp(-elapsed_s / tuning.averaging_s),
                min(1.0, elapsed_s / self._learned_s),
            )
            rate = 1.0 / self._cost_s if self._cost_s else 0.0
            rate += weight * (self._begun / elapsed_s - rate)
            self._cost_s = 1.0 / rate
            for queue in self._queues:
                queue.rate += weight * (queue.begun / elapsed_s - queue.rate)
                queue.begun = 0
        self._begun = 0
        self._work_since = now
        self._slice_end = now

    def cpu_used(self, now: float, cpu_s: float) -> None:
        """Record the CPU seconds used by the process so far, and update `busy`."""
        tuning = self._tuning
        elapsed_s = now - self._cpu_window_start
        if elapsed_s >= tuning.cpu_window_s:
            allowed_s = min(1.0, self._cores) * elapsed_s
            self.busy = cpu_s - self._cpu_used_s > tuning.busy_fraction * allowed_s
            self._cpu_window_start = now
            self._cpu_used_s = cpu_s

    def host_answered(self, route: int, took_s: float) -> None:
        """Record that a host answered `took_s` seconds after its request started."""
        queue = self._queues[route]
        if queue.host_time_s:
            queue.host_time_s += HOST_TIME_SMOOTHING * (took_s - queue.host_time_s)
        else:
            queue.host_time_s = took_s
