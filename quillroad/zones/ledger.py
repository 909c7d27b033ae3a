"""What went over the sockets, by class and zone: attempts, how they ended, bytes. Free of I/O.

An attempt counts as sent once it was started, and as `unsent` if it ended with the proof that the host never
saw it (no connection came up, or the host left before the first byte). So `sent - unsent` is what hosts
received, but for those that are open or whose host died with the request in its kernel (`lost` bounds them).
"""

from __future__ import annotations

from dataclasses import dataclass

from quillroad.balancing.events import Outcome


@dataclass(slots=True)
class Cell:
    """One class at one zone, since the start."""

    sent: int = 0
    unsent: int = 0
    answered: int = 0  # with 200
    turned_away: int = 0  # by the host, unseen
    cancelled: int = 0  # called off here: another copy was quicker, or the client has gone
    lost: int = 0  # the connection broke, or no answer came in time
    failed: int = 0  # answered with an error
    bytes_out: int = 0  # of requests, whole
    bytes_in: int = 0  # of the bodies of answers that were served

    @property
    def open(self) -> int:
        ended = (
            self.unsent
            + self.answered
            + self.turned_away
            + self.cancelled
            + self.lost
            + self.failed
        )
        return self.sent - ended

    @property
    def received(self) -> int:
        """Attempts that hosts have seen, and those that broke or are open."""
        return self.sent - self.unsent


ENDS = {
    Outcome.SUCCESS: "answered",
    Outcome.REJECTED: "turned_away",
    Outcome.CANCELLED: "cancelled",
    Outcome.CONNECT_FAILED: "unsent",
    Outcome.NOT_SENT: "unsent",
    Outcome.RESET: "lost",
    Outcome.TIMEOUT: "lost",
    Outcome.ERROR: "failed",
}


class Ledger:
    """Cells by class and zone. Zones are places in a list; -1 is one that is not in it."""

    def __init__(self, classes: int, zones: int) -> None:
        self._cells = [
            [Cell() for _ in range(zones + 1)] for _ in range(classes)
        ]  # the last is zone -1

    def cell(self, route: int, zone: int) -> Cell:
        return self._cells[route][zone]

    def sent(self, route: int, zone: int, size: int) -> None:
        """An attempt begins, of so many bytes."""
        cell = self._cells[route][zone]
        cell.sent += 1
        cell.bytes_out += size

    def ended(self, route: int, zone: int, outcome: Outcome, size: int, answer: int) -> int:
        """It has ended, with so many bytes of an answer. Returns the bytes that it carried."""
        cell, end = self._cells[route][zone], ENDS[outcome]
        setattr(cell, end, getattr(cell, end) + 1)
        if end == "unsent":
            cell.bytes_out -= size
            return 0
        cell.bytes_in += answer
        return size + answer
