"""Which client connection is taken, which ends for another, and who is told that there is no place.

No I/O. Times are seconds of one clock that never goes back. Connections are whatever objects the
caller has; `unread` says of one whether bytes have come that were not read yet. Whoever has sent a
request is never ended for another: its connection is busy, or has bytes unread. Who finds no place
waits in the kernel, where its age counts all the same.

What the constants were measured by is in `docs/design/downstream-constants.md`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import IntEnum
from itertools import islice
from typing import Generic, TypeVar

Connection = TypeVar("Connection")

# After which a first request would have been read here, or a last answer by the client.
UNHEARD_S = 0.2
# Before which none ends for resting long: clients that use their connection ask again sooner.
RESTED_S = 0.02
# Of the places: past it those at rest for longest end, so that new ones find room.
RESTING_PART = 0.4
# After which one that still writes, with nothing new, ends for another: clients may take 2 s.
WRITTEN_S = 2.1
# Of the places, beyond them, for those who write: they need no connection to a host yet, whose half
# of the descriptors is theirs meanwhile.
WRITING_PART = 0.5
# Of the places, beyond them, for those who are told that there is none.
EXTRA_PART = 0.25
# Unclassified connections, beyond those, whose requests cannot be told at a glance: so many, and of
# few places a part, or clients that say nothing would hold the hosts' half of the descriptors.
MOST_UNCLASSIFIED = 32
UNCLASSIFIED_PART = 0.25
# Connections that are looked at for one to end, of each state: a look is a system call.
MOST_LOOKED_AT = 8


class ConnectionState(IntEnum):
    """Where a connection is, as far as it matters for who ends."""

    UNHEARD = 0  # no byte of a request yet
    RESTING = 1  # between two requests
    BUSY = 2  # has a whole request
    LEAVING = 3  # has its last answer, and needs no more than time to read it
    WRITING = 4  # part of a request: nothing is owed for it yet


class ConnectionLimit(Generic[Connection]):
    """The client connections of a gateway with `places` for them (1 or more)."""

    def __init__(self, places: int, unread: Callable[[Connection], bool]) -> None:
        self.resize(places)
        self._unread = unread
        self._states: dict[Connection, ConnectionState] = {}
        # By state: since when each connection is in it, the oldest first.
        self._since: list[dict[Connection, float]] = [{} for _ in ConnectionState]
        self._resting = self._since[ConnectionState.RESTING]
        self._busy = self._since[ConnectionState.BUSY]
        self._writing = self._since[ConnectionState.WRITING]

    def resize(self, places: int) -> None:
        """There are so many places from now on (1 or more); nobody ends for it alone."""
        self.most_connections = places
        self._most = places + int(EXTRA_PART * places)
        self._resting_most = int(RESTING_PART * places)
        self._writing_most = int(WRITING_PART * places)
        self._most_unclassified = min(MOST_UNCLASSIFIED, int(UNCLASSIFIED_PART * places))

    def __len__(self) -> int:
        return len(self._states)

    def count(self, state: ConnectionState) -> int:
        """How many connections are in this state."""
        return len(self._since[state])

    @property
    def busy(self) -> int:
        """How many have a whole request that waits for its answer."""
        return len(self._busy)

    def connections(self) -> list[Connection]:
        """All of them."""
        return list(self._states)

    def state(self, connection: Connection) -> ConnectionState | None:
        """The state of a connection; None once it has left."""
        return self._states.get(connection)

    def set_state(self, connection: Connection, state: ConnectionState, now: float) -> None:
        """It joins, or comes to another state. One that had its last answer changes no more."""
        before = self._states.get(connection)
        if before is ConnectionState.LEAVING:
            return
        if before is not None:
            del self._since[before][connection]
        self._states[connection] = state
        self._since[state][connection] = now

    def remove(self, connection: Connection) -> None:
        """It has ended, or was told to."""
        state = self._states.pop(connection, None)
        if state is not None:
            del self._since[state][connection]

    def has_place(self) -> bool:
        """Whether one more fits without ending another."""
        return self._in_use() < self.most_connections

    def _in_use(self) -> int:
        """Places taken."""
        return len(self._states) - min(len(self._writing), self._writing_most)

    def connection_to_end(self, now: float) -> Connection | None:
        """The connection to end for a new one.

        One that has its last answer, then one that says nothing, then one that does not get on with
        what it began to say, then the one longest between two requests. None: all others are too
        new to tell, or have asked for something.
        """
        settled = now - UNHEARD_S
        leaving = self._since[ConnectionState.LEAVING]
        for connection, since in islice(leaving.items(), 1):
            if since < settled:
                return connection
        unheard = self._since[ConnectionState.UNHEARD]
        one = self._first_read(unheard.items(), settled)
        if one is None:
            one = self._first_read(self._writing.items(), now - WRITTEN_S)
        if one is None:
            one = self._first_read(self._resting.items(), float("inf"))
        return one

    def _first_read(
        self, oldest_first: Iterable[tuple[Connection, float]], before: float
    ) -> Connection | None:
        """A connection with nothing unread, of those in their state since before that time."""
        for connection, since in islice(oldest_first, MOST_LOOKED_AT):
            if since >= before:
                return None
            if not self._unread(connection):
                return connection
        return None

    def may_accept_to_reject(self) -> bool:
        """Whether one more may come beyond the places, to be told that there is none."""
        return self._in_use() < self._most

    def may_accept_unclassified(self) -> bool:
        """Whether one more unclassified connection may be accepted, to be rejected at once.

        Without this, clients whose connections wait in the kernel's queue are held there for longer
        than they wait for an answer.
        """
        return self._in_use() < self._most + self._most_unclassified

    def overstayed(self, now: float) -> Connection | None:
        """A connection to end though nobody is seen to wait.

        Past so many at rest, the one that rested for longest, if that is longer than a client takes
        to ask again. Guards against clients that ask once and stay: those who share their
        connections among few would find none, and nobody would come for whom one could be ended.
        """
        if len(self._resting) <= self._resting_most:
            return None
        for connection, since in islice(self._resting.items(), MOST_LOOKED_AT):
            if since > now - RESTED_S:
                return None
            if not self._unread(connection):
                return connection
        return None
