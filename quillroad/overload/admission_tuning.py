"""Constants of the admission queue, with their units and reasons.

`docs/design/overload-constants.md` describes the measurements behind them.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tuning:
    """Parameters of the admission queue's wait prediction, admission decisions and time slices.

    Fractions are 0 to 1, times are seconds.
    """

    # Fraction of a latency objective that predicted times may use; the rest is a margin for
    # prediction errors.
    objective_fraction: float = 0.8
    # Maximum fraction of a latency objective that is reserved for the hosts' response time: slow
    # hosts are no reason to reject here, the balancer handles them.
    max_host_fraction: float = 0.5
    # Fraction of the remaining time that the predicted wait may use. With all of it, a request at
    # the end of the queue would have no slack, and none with a shorter objective could overtake it.
    max_queue_fraction: float = 0.8
    # Fraction of a priority level's share above which the level counts as contended and lower
    # levels are squeezed: early enough that the level's own requests are not rejected first.
    contended_fraction: float = 0.75
    # Amount by which one request of a contended level squeezes the lower levels: after fifty
    # consecutive requests the squeeze is at its maximum.
    squeeze_step: float = 0.02
    # Time constant of the exponential decay of the squeeze: lower levels regain their share within
    # seconds after an overload.
    squeeze_decay_s: float = 2.0
    # Minimum time for starting requests in one loop iteration, before sockets are read again.
    # Iterations stay short, so that answers of hosts are read in time.
    min_slice_s: float = 0.002
    # Fraction of the time since the last slice that the next one may take. Reading answers takes as
    # long as starting requests, so both together get about 40% of the core, however many arrivals
    # have to be rejected.
    slice_fraction: float = 0.25
    # Minimum observed working time for a valid estimate of the time per request. Before that, no
    # request is rejected for its predicted wait, since the first few samples are unreliable.
    min_known_s: float = 0.05
    # Averaging period of the time per request: several periods of a container's CPU quota, so that
    # the average does not oscillate with the throttling pauses.
    averaging_s: float = 0.5
    # Window over which CPU utilization is measured.
    cpu_window_s: float = 0.1
    # Fraction of the allowed CPU time above which answers of hosts may be read late.
    busy_fraction: float = 0.5
    # Maximum time that is counted for one slice: the time in which the process was stopped says
    # nothing about the time per request.
    max_counted_slice_s: float = 0.1
    # Minimum time that must be left until a request's answer loses its value, for the request to be
    # admitted: two iterations of a lightly loaded loop.
    min_left_s: float = 0.002
