"""Limit on client connections: which are accepted, closed to make room, or accepted to be rejected.

No I/O. Times are seconds of a monotonic clock. Connections are opaque objects of the caller;
`unread` tells whether the kernel holds bytes of a connection that were not read. A connection whose
client has sent a request is never closed to make room: it is busy, or has unread bytes. Clients
beyond the limit wait in the kernel's accept queue, and the age of their requests includes that
wait.

The measurements behind the constants are in `docs/design/downstream-constants.md`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import IntEnum
from itertools import islice
from typing import Generic, TypeVar

Connection = TypeVar("Connection")

# A silent or leaving connection is not closed to make room before this time: within it, a first
# request would have been read here, or a last response by the client.
MIN_SILENT_S = 0.2
# A connection that has rested for less is not closed as the longest resting one: clients that reuse
# their connection send the next request sooner.
MIN_REST_S = 0.02
# Fraction of the places: with more resting connections the longest resting ones are closed, to
# leave room for new ones.
RESTING_FRACTION = 0.4
# Time without progress after which a connection that is still receiving a request may be closed to
# make room: clients may take 2 s.
RECEIVE_STALL_S = 2.1
# Fraction of the places, added for connections that are receiving a request: they need no
# connection to a host yet, so they may use descriptors of the hosts' half until then.
RECEIVING_FRACTION = 0.5
# Fraction of the places, added for connections whose requests are rejected.
REJECTION_FRACTION = 0.25
# Unclassified connections, accepted beyond all of these although the fast path may not be able to
# reject their request: at most this number and this fraction of the places, as otherwise silent
# clients would hold the hosts' half of the descriptors.
MAX_UNCLASSIFIED_CONNECTIONS = 32
UNCLASSIFIED_FRACTION = 0.25
# Connections of each state that are checked for unread bytes in a search for one to close: each
# check is a system call.
MAX_CHECKED_CONNECTIONS = 8


class ConnectionState(IntEnum):
    """State of a connection, as needed to choose which one to close."""

    SILENT = 0  # no byte of a request yet
    RESTING = 1  # between two requests
    BUSY = 2  # a complete request was received and is not answered
    LEAVING = 3  # last response written; open only for the client to read it
    RECEIVING = 4  # part of a request was received; no answer is due yet


class ConnectionLimit(Generic[Connection]):
    """The client connections of a gateway, with a limit of `places` (1 or more)."""

    def __init__(self, places: int, unread: Callable[[Connection], bool]) -> None:
        self.resize(places)
        self._unread = unread
        self._states: dict[Connection, ConnectionState] = {}
        # By state: the time at which each connection entered it, the longest in the state first.
        self._since: list[dict[Connection, float]] = [{} for _ in ConnectionState]
        self._resting = self._since[ConnectionState.RESTING]
        self._busy = self._since[ConnectionState.BUSY]
        self._receiving = self._since[ConnectionState.RECEIVING]

    def resize(self, places: int) -> None:
        """Set the limit to `places` (1 or more); no connection is closed by this alone."""
        self.max_connections = places
        self._max_with_rejections = places + int(REJECTION_FRACTION * places)
        self._max_resting = int(RESTING_FRACTION * places)
        self._max_receiving = int(RECEIVING_FRACTION * places)
        self._max_unclassified = min(
            MAX_UNCLASSIFIED_CONNECTIONS, int(UNCLASSIFIED_FRACTION * places)
        )

    def __len__(self) -> int:
        return len(self._states)

    def count(self, state: ConnectionState) -> int:
        """Return the number of connections in this state."""
        return len(self._since[state])

    @property
    def busy(self) -> int:
        """Number of connections with a complete request that is not answered."""
        return len(self._busy)

    def connections(self) -> list[Connection]:
        """Return all connections, in the order in which they were added."""
        return list(self._states)

    def state(self, connection: Connection) -> ConnectionState | None:
        """Return the state of a connection; None if it was removed or never added."""
        return self._states.get(connection)

    def set_state(self, connection: Connection, state: ConnectionState, now: float) -> None:
        """Add a connection or change its state; LEAVING is final."""
        before = self._states.get(connection)
        if before is ConnectionState.LEAVING:
            return
        if before is not None:
            del self._since[before][connection]
        self._states[connection] = state
        self._since[state][connection] = now

    def remove(self, connection: Connection) -> None:
        """Remove a connection that was closed or is being closed."""
        state = self._states.pop(connection, None)
        if state is not None:
            del self._since[state][connection]

    def has_place(self) -> bool:
        """Whether one more connection fits without closing another."""
        return self._in_use() < self.max_connections

    def _in_use(self) -> int:
        """Return the number of places in use."""
        return len(self._states) - min(len(self._receiving), self._max_receiving)

    def connection_to_end(self, now: float) -> Connection | None:
        """Return the connection to close to make room for a new one.

        In order of preference: one that has its last response, a silent one, one whose partial
        request makes no progress, and the one that rested longest between two requests. None if
        every connection is too new to judge or has sent a request.
        """
        settled_before = now - MIN_SILENT_S
        leaving = self._since[ConnectionState.LEAVING]
        for connection, since in islice(leaving.items(), 1):
            if since < settled_before:
                return connection
        silent = self._since[ConnectionState.SILENT]
        candidate = self._first_without_unread(silent.items(), settled_before)
        if candidate is None:
            candidate = self._first_without_unread(self._receiving.items(), now - RECEIVE_STALL_S)
        if candidate is None:
            candidate = self._first_without_unread(self._resting.items(), float("inf"))
        return candidate

    def _first_without_unread(
        self, oldest_first: Iterable[tuple[Connection, float]], before: float
    ) -> Connection | None:
        """Return a connection without unread bytes that entered its state before `before`."""
        for connection, since in islice(oldest_first, MAX_CHECKED_CONNECTIONS):
            if since >= before:
                return None
            if not self._unread(connection):
                return connection
        return None

    def may_accept_to_reject(self) -> bool:
        """Whether one more connection may be accepted beyond the places, to reject its request."""
        return self._in_use() < self._max_with_rejections

    def may_accept_unclassified(self) -> bool:
        """Whether one more unclassified connection may be accepted, to be rejected at once.

        Without this, connections would wait in the kernel's accept queue for longer than their
        clients wait for an answer.
        """
        return self._in_use() < self._max_with_rejections + self._max_unclassified

    def longest_resting_to_end(self, now: float) -> Connection | None:
        """Return a resting connection to close although no new connection is known to wait.

        With more resting connections than `RESTING_FRACTION` of the places, this is the one that
        rested longest, if it rested for longer than a client takes to send its next request. Guards
        against clients that send one request and stay connected: they would fill the places,
        clients that share a few connections would find none, and no accept would occur that could
        close one.
        """
        if len(self._resting) <= self._max_resting:
            return None
        for connection, since in islice(self._resting.items(), MAX_CHECKED_CONNECTIONS):
            if since > now - MIN_REST_S:
                return None
            if not self._unread(connection):
                return connection
        return None
