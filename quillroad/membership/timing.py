"""Intervals, timeouts and send limits of the protocol. Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass

ISOLATION_PERIODS = 6  # in a cluster of two a member receives a dozen datagrams in that time
# A process that is stopped every one or two periods must not count as recovered in between.
RECOVERY_PERIODS = 4


@dataclass(frozen=True, slots=True)
class Timing:
    """Protocol timing in seconds; without `lifeguard` the protocol is plain SWIM.

    A suspicion lasts at least `suspicion_min_factor` periods times log10 of the number of members,
    and at most `suspicion_max_factor` times that. `max_bytes_per_s` and `max_datagrams_per_s` limit
    what is sent in total and what is read from each other member.
    """

    period_s: float = 0.5  # each member probes one other per period
    probe_timeout_s: float = 0.2  # time until indirect probes start
    retransmit_s: float = 0.15  # between two PINGs of a probe
    join_timeout_s: float = 5.0  # a member not heard of since the start counts as faulty after it
    gossip_interval_s: float = 0.2
    anti_entropy_interval_s: float = 1.0
    gossip_fanout: int = 3  # members that each gossip round is sent to
    indirect_probe_count: int = 3  # helpers asked to probe a member that does not answer
    suspicion_min_factor: float = 1.5
    suspicion_max_factor: float = 3.0
    max_bytes_per_s: int = 2000
    max_datagrams_per_s: int = 80
    rejoin_fleet_interval_s: float = 0.25  # between probes of absent members, cluster-wide
    rejoin_max_interval_s: float = 10.0  # the same by one member, in a cluster of any size
    lifeguard: bool = True

    @property
    def direct_timeout_s(self) -> float:
        """Time for an answer to each PING of a direct-only probe."""
        return self.probe_timeout_s / 2

    @property
    def late_timer_s(self) -> float:
        """Timer delay from which an unread answer cannot be told from a lost one."""
        return self.probe_timeout_s

    @property
    def isolation_s(self) -> float:
        """Time without datagrams from any other member after which this one counts as isolated."""
        return ISOLATION_PERIODS * self.period_s

    @property
    def recovery_s(self) -> float:
        """Time without late timers after which the process counts as healthy again."""
        return RECOVERY_PERIODS * self.period_s
