"""What went over the sockets, by route and zone: attempts, how they ended, bytes. No I/O.

An attempt counts as sent once it was started. It ends as `NOT_SENT` where it is certain that the
host never saw it: no connection came up, or the connection ended before the first byte. So the
attempts that were sent less those that ended as `NOT_SENT` are what hosts received, except for
attempts in flight and those whose host died with the request in its kernel (at most the count of
`LOST`).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from quillroad.balancing.events import Outcome


class AttemptEnd(Enum):
    """How an attempt ended, as the report counts it."""

    ANSWERED = auto()
    """With 200."""
    REJECTED = auto()
    """The host answered that it has not started the request."""
    CANCELLED = auto()
    """Here: another attempt was quicker, or the client gave up."""
    LOST = auto()
    """The connection broke, or no answer came in time."""
    FAILED = auto()
    """Answered with an error."""
    NOT_SENT = auto()
    """No byte of it reached the host."""


END_BY_OUTCOME = {
    Outcome.SUCCESS: AttemptEnd.ANSWERED,
    Outcome.REJECTED: AttemptEnd.REJECTED,
    Outcome.CANCELLED: AttemptEnd.CANCELLED,
    Outcome.CONNECT_FAILED: AttemptEnd.NOT_SENT,
    Outcome.NOT_SENT: AttemptEnd.NOT_SENT,
    Outcome.RESET: AttemptEnd.LOST,
    Outcome.TIMEOUT: AttemptEnd.LOST,
    Outcome.ERROR: AttemptEnd.FAILED,
}


@dataclass(slots=True)
class ZoneTraffic:
    """One route's attempts at the hosts of one zone, since the start.

    `sent` attempts were started, `ended` counts them by their end. `bytes_out` are of whole
    requests, `bytes_in` of the bodies of answers that were served.
    """

    sent: int = 0
    ended: dict[AttemptEnd, int] = field(default_factory=lambda: dict.fromkeys(AttemptEnd, 0))
    bytes_out: int = 0
    bytes_in: int = 0

    @property
    def in_flight(self) -> int:
        """Attempts that have not ended."""
        return self.sent - sum(self.ended.values())

    @property
    def received(self) -> int:
        """Attempts that hosts have seen, with those that are lost or in flight."""
        return self.sent - self.ended[AttemptEnd.NOT_SENT]


class TrafficCounters:
    """The traffic of each route to each zone.

    A route and a zone are given as their index in the settings; zone -1 stands for hosts of a zone
    that the settings do not name.
    """

    def __init__(self, route_count: int, zone_count: int) -> None:
        # One entry more than there are zones: the last, at index -1, is the unknown zone's.
        self._by_route = [
            [ZoneTraffic() for _ in range(zone_count + 1)] for _ in range(route_count)
        ]

    def traffic(self, route: int, zone: int) -> ZoneTraffic:
        """Return the counts of one route at one zone."""
        return self._by_route[route][zone]

    def count_sent(self, route: int, zone: int, request_bytes: int) -> None:
        """Count an attempt that was started."""
        traffic = self._by_route[route][zone]
        traffic.sent += 1
        traffic.bytes_out += request_bytes

    def count_ended(
        self, route: int, zone: int, outcome: Outcome, request_bytes: int, answer_bytes: int
    ) -> int:
        """Count the end of an attempt; return the bytes that it carried both ways."""
        traffic = self._by_route[route][zone]
        end = END_BY_OUTCOME[outcome]
        traffic.ended[end] += 1
        if end is AttemptEnd.NOT_SENT:
            traffic.bytes_out -= request_bytes
            return 0
        traffic.bytes_in += answer_bytes
        return request_bytes + answer_bytes
