"""Constants of the admission queue, each with its unit and its reason.

Which of them were set by a measurement, and by which, is in `docs/design/overload-constants.md`.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tuning:
    """How the admission queue predicts, decides and divides the core's time.

    Fractions are 0 to 1, times are seconds.
    """

    # Fraction of a latency objective that predicted times may fill: the rest is for their errors.
    objective_fraction: float = 0.8
    # Fraction of a latency objective that the time of hosts counts for at the most: slow hosts are
    # no reason to reject, the balancer judges them.
    max_host_fraction: float = 0.5
    # Fraction of the time left that the queue may take. Were it all of it, what waits at the end of
    # the queue would be due at once, and no request with a shorter objective could pass it.
    max_queue_fraction: float = 0.8
    # Fraction of what a priority level may take, from which on requests with less priority make
    # room for it: early enough that the level itself need not be rejected first.
    contended_fraction: float = 0.75
    # How far one request of a contended level squeezes those with less priority: fifty in a row
    # give it all that they may lose.
    squeeze_step: float = 0.02
    # Time in which most of the squeeze is forgotten: lower levels have their room back within
    # seconds after an overload.
    squeeze_decay_s: float = 2.0
    # Time for which requests begin in one turn of the loop, before sockets are read again: a turn
    # stays short, so that answers of hosts are read in time.
    min_slice_s: float = 0.002
    # Fraction of the time since the last slice that the next one may take. Reading answers takes as
    # long as beginning requests, so these get about 40% of the core, however many arrivals there
    # are to reject.
    slice_fraction: float = 0.25
    # Time of work from which on the time of a request counts as known: no request is rejected for
    # a predicted wait before, since the first few tell too little.
    min_known_s: float = 0.05
    # Time over which the time of a request is averaged: several periods of a container's CPU quota,
    # so that the average does not swing with the pauses that the quota makes.
    averaging_s: float = 0.5
    # Time over which the core's share in use is counted.
    cpu_window_s: float = 0.1
    # Fraction of the CPU time allowed, from which on answers of hosts are read late.
    busy_fraction: float = 0.5
    # Longest time that one slice counts for: a process that was stopped says nothing about
    # how long a request takes.
    max_counted_slice_s: float = 0.1
    # Time that a client must still wait for a request to be let in: two turns of a calm loop.
    min_left_s: float = 0.002
