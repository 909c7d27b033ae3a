"""Intervals, timeouts and send bounds of the protocol. Pure."""

from __future__ import annotations

from dataclasses import dataclass

ISOLATION_PERIODS = 6  # a member of a pair receives a dozen datagrams in that time
RECOVERY_PERIODS = 4  # a stop that repeats each period or two must not count as recovered


@dataclass(frozen=True, slots=True)
class Timing:
    """Times in seconds; `lifeguard` off is plain SWIM.

    A suspicion lasts at least `suspicion_min_factor` periods for each tenfold of members and at
    most `suspicion_max_factor` times that. `max_bytes_per_s` and `max_datagrams_per_s` bound what
    is sent; as much is read from each other member.
    """

    period_s: float = 0.5  # one member is probed in each
    probe_timeout_s: float = 0.2  # until indirect probes begin
    retransmit_s: float = 0.15  # between two PINGs of one probe
    join_timeout_s: float = 5.0  # a member never heard of counts as faulty after that
    gossip_interval_s: float = 0.2
    anti_entropy_interval_s: float = 1.0
    gossip_fanout: int = 3  # members that each round of gossip goes to
    indirect_probe_count: int = 3  # members that are asked to probe one that stays silent
    suspicion_min_factor: float = 1.5
    suspicion_max_factor: float = 3.0
    max_bytes_per_s: int = 2000
    max_datagrams_per_s: int = 80
    rejoin_fleet_interval_s: float = 0.25  # between two probes of absent members by all together
    rejoin_max_interval_s: float = 10.0  # and by one member, however many there are
    lifeguard: bool = True

    @property
    def direct_timeout_s(self) -> float:
        """For an answer to each PING of a direct-only probe."""
        return self.probe_timeout_s / 2

    @property
    def late_timer_s(self) -> float:
        """A timer this late leaves no time to tell a lost answer from one that was not read yet."""
        return self.probe_timeout_s

    @property
    def isolation_s(self) -> float:
        """Silence of all other members, after which this one takes itself for cut off."""
        return ISOLATION_PERIODS * self.period_s

    @property
    def recovery_s(self) -> float:
        """How long timers have to be in time again for the process to count as healthy."""
        return RECOVERY_PERIODS * self.period_s
