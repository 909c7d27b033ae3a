"""Counts attempts, their results and bytes by route and zone. No I/O.

An attempt counts as sent as soon as it starts. It ends as `NOT_SENT` if the host certainly did not
receive it: the connection could not be established, or closed before the first byte was sent. Sent
attempts minus those that ended as `NOT_SENT` are therefore the attempts that hosts received, except
for attempts in flight and those whose host died before its process read the request from the
kernel's socket buffer (at most the count of `LOST`).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto

from quillroad.balancing.events import Outcome


class AttemptEnd(Enum):
    """Result of an attempt, as counted in the report."""

    ANSWERED = auto()
    """The host answered with status 200."""
    REJECTED = auto()
    """The host answered that it did not start processing the request."""
    CANCELLED = auto()
    """The gateway cancelled it: another attempt was faster, or the client gave up."""
    LOST = auto()
    """The connection was reset, or the attempt timed out."""
    FAILED = auto()
    """The host answered with an error."""
    NOT_SENT = auto()
    """No byte of the request reached the host."""


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
    """Counts of one route's attempts at the hosts of one zone since the start of the process.

    `sent`: attempts started. `ended`: finished attempts by result. `bytes_out`: bytes of whole
    requests, except those that ended as `NOT_SENT`. `bytes_in`: bytes of the bodies of forwarded
    responses.
    """

    sent: int = 0
    ended: dict[AttemptEnd, int] = field(default_factory=lambda: dict.fromkeys(AttemptEnd, 0))
    bytes_out: int = 0
    bytes_in: int = 0

    @property
    def in_flight(self) -> int:
        """Attempts that have started and not ended."""
        return self.sent - sum(self.ended.values())

    @property
    def received(self) -> int:
        """Attempts that hosts received, including those that are lost or in flight."""
        return self.sent - self.ended[AttemptEnd.NOT_SENT]


class TrafficCounters:
    """Traffic counters of each route and zone.

    Routes and zones are given by their index in the settings; zone -1 is for hosts in a zone that
    is not in the settings.
    """

    def __init__(self, route_count: int, zone_count: int) -> None:
        # One more entry than zones: index -1, the last, is the unknown zone.
        self._by_route = [
            [ZoneTraffic() for _ in range(zone_count + 1)] for _ in range(route_count)
        ]

    def traffic(self, route: int, zone: int) -> ZoneTraffic:
        """Return the counts of one route for one zone."""
        return self._by_route[route][zone]

    def count_sent(self, route: int, zone: int, request_bytes: int) -> None:
        """Count the start of an attempt and the bytes of its request."""
        traffic = self._by_route[route][zone]
        traffic.sent += 1
        traffic.bytes_out += request_bytes

    def count_ended(
        self, route: int, zone: int, outcome: Outcome, request_bytes: int, answer_bytes: int
    ) -> int:
        """Count the end of an attempt; return its bytes in both directions.

        For an attempt that was not sent, takes back its request bytes and returns 0.
        """
        traffic = self._by_route[route][zone]
        end = END_BY_OUTCOME[outcome]
        traffic.ended[end] += 1
        if end is AttemptEnd.NOT_SENT:
            traffic.bytes_out -= request_bytes
            return 0
        traffic.bytes_in += answer_bytes
        return request_bytes + answer_bytes
