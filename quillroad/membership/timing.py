"""How fast a fleet of gateways talks, and the bounds on it. No I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Times in seconds. `suspicion_rounds` periods for each tenfold of members are the shortest wait of a
    suspicion, `suspicion_most` times that the longest. `most_bytes` and `most_datagrams` go out in a second
    at most; as many are taken in a second from one member. `lifeguard` off is plain SWIM."""

    period_s: float = 0.5
    answer_s: float = 0.2
    again_s: float = 0.15
    join_s: float = 5.0
    gossip_s: float = 0.2
    sync_s: float = 1.0
    fanout: int = 3
    helpers: int = 3
    suspicion_rounds: float = 1.5
    suspicion_most: float = 3.0
    most_bytes: int = 2000
    most_datagrams: int = 80
    gone_fleet_s: float = 0.25  # one of those that are gone is asked so often, by the whole fleet
    gone_most_s: float = 10.0  # and by each member, however large the fleet
    lifeguard: bool = True

    @property
    def light_s(self) -> float:
        """For an answer to each question of a light probe."""
        return self.answer_s / 2

    @property
    def late_s(self) -> float:
        """A timer that comes so late leaves no time to tell a lost answer from one that lies unread."""
        return self.answer_s

    @property
    def alone_s(self) -> float:
        """Silence of everyone: six periods, in which a member of a pair meets a dozen datagrams."""
        return 6 * self.period_s

    @property
    def steady_s(self) -> float:
        return 4 * self.period_s
