"""Which client connection is taken, which ends for another, and who is told that there is no room.
No I/O.

Times are seconds of one clock that never goes back. Connections are whatever objects the caller
has; `unread` says of one whether bytes have come that were not read yet. Whoever has sent a request
is never ended for another: its connection is busy, or has bytes unread. Who finds no place waits in
the kernel, where its age counts all the same.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from itertools import islice
from typing import Generic, TypeVar

Connection = TypeVar("Connection")

UNHEARD_S = (
    0.2  # after which a first request would have been read here, or a last answer by the client
)
RESTED_S = 0.02  # before which none ends for resting long: with 0.2 s incident re32883 fell from 0.96 to 0.78
RESTING_PART = 0.4  # of the places: past it those at rest for longest end, for new ones to come
WRITTEN_S = 2.1  # after which one that still writes, with nothing new, ends for another: clients may take 2 s
# Of the places, beyond them, for those who write: they need no connection to a host yet, whose half
# of the descriptors is theirs meanwhile. crowd+term+scrape: 16 a second that never ended held 48 of
# 75 places.
WRITING_PART = 0.5
EXTRA_PART = 0.25  # of the places, beyond them: for those who are told that there is none
# Connections beyond those, whose requests can't be told at a glance: 32 at most, and of few places
# a part, or clients who say nothing would hold the hosts' half of the descriptors.
STRAYS, STRAYS_PART = 32, 0.25
LOOKED_AT = 8  # connections at most, of each kind, for one to end


class ConnectionState(IntEnum):
    """Where a connection is. Only BUSY ones have a whole request."""

    UNHEARD = 0  # no byte of a request yet
    RESTING = 1  # between two requests
    BUSY = 2
    LEAVING = 3  # has its last answer, and needs no more than time to read it
    WRITING = 4  # part of a request: nothing is owed for it yet


class ConnectionLimit(Generic[Connection]):
    """The client connections of a gateway with `places` for them (1 or more)."""

    def __init__(self, places: int, unread: Callable[[Connection], bool]) -> None:
        self.resize(places)
        self._unread = unread
        self._stages: dict[Connection, ConnectionState] = {}
        self._since: list[dict[Connection, float]] = [
            {} for _ in ConnectionState
        ]  # by stage, the oldest first
        self._resting, self._busy = (
            self._since[ConnectionState.RESTING],
            self._since[ConnectionState.BUSY],
        )
        self._writing = self._since[ConnectionState.WRITING]

    def resize(self, places: int) -> None:
        """There are so many places from now on (1 or more); nobody ends for it alone."""
        self.places = places
        self._most = places + int(EXTRA_PART * places)
        self._resting_most = int(RESTING_PART * places)
        self._writing_most = int(WRITING_PART * places)
        self._strays = min(STRAYS, int(STRAYS_PART * places))

    def __len__(self) -> int:
        return len(self._stages)

    def count(self, stage: ConnectionState) -> int:
        return len(self._since[stage])

    @property
    def busy(self) -> int:
        return len(self._busy)

    def connections(self) -> list[Connection]:
        return list(self._stages)

    def stage(self, connection: Connection) -> ConnectionState | None:
        """None once it has left."""
        return self._stages.get(connection)

    def moves(self, connection: Connection, stage: ConnectionState, now: float) -> None:
        """It joins, or comes to another stage. One that had its last answer moves no more."""
        before = self._stages.get(connection)
        if before is ConnectionState.LEAVING:
            return
        if before is not None:
            del self._since[before][connection]
        self._stages[connection] = stage
        self._since[stage][connection] = now

    def left(self, connection: Connection) -> None:
        """It has ended, or was told to."""
        stage = self._stages.pop(connection, None)
        if stage is not None:
            del self._since[stage][connection]

    def has_place(self) -> bool:
        """Whether one more fits without ending another."""
        return self._held() < self.places

    def _held(self) -> int:
        """Places taken."""
        return len(self._stages) - min(len(self._writing), self._writing_most)

    def to_end(self, now: float) -> Connection | None:
        """The connection to end for a new one: one that has its last answer, then one that says
        nothing, then one that does not get on with what it began to say, then the one longest
        between two requests. None: all others are too new to tell, or have asked for something.
        """
        settled = now - UNHEARD_S
        for connection, since in islice(self._since[ConnectionState.LEAVING].items(), 1):
            if since < settled:
                return connection
        for connection, since in islice(self._since[ConnectionState.UNHEARD].items(), LOOKED_AT):
            if since >= settled:
                break
            if not self._unread(connection):
                return connection
        for connection, since in islice(self._writing.items(), LOOKED_AT):
            if since >= now - WRITTEN_S:
                break
            if not self._unread(connection):
                return connection
        for connection in islice(self._resting, LOOKED_AT):
            if not self._unread(connection):
                return connection
        return None

    def may_exceed(self) -> bool:
        """Whether one more may come beyond the places, to be told that there is none."""
        return self._held() < self._most

    def may_look(self) -> bool:
        """Whether one more may be taken to see whether it can be told at once that there is no
        place, before it is one of the connections. Guards those outside: a queue that nobody leaves
        would hold them for longer than they wait for an answer.
        """
        return self._held() < self._most + self._strays

    def overstayed(self, now: float) -> Connection | None:
        """A connection to end though nobody is seen to wait: past so many at rest, the one that
        rested for longest, if that is longer than a client takes to ask again. Guards against
        clients that ask once and stay: those who share their connections among few would find none,
        and nobody would come for whom one could be ended.
        """
        if len(self._resting) <= self._resting_most:
            return None
        settled = now - RESTED_S
        for connection, since in islice(self._resting.items(), LOOKED_AT):
            if since > settled:
                return None
            if not self._unread(connection):
                return connection
        return None
