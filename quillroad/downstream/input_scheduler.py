"""Scheduler of connections whose received input was not parsed in full.

A read of a few kilobytes can take a millisecond to parse, if it consists of very short fields or
chunks, or of many requests. A connection parses a small part at once and the rest here: in turn
with the others, in one time slice in each iteration of the event loop. So clients that send costly
input delay each other, and not the answers of other clients.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from time import monotonic
from typing import Protocol

log = logging.getLogger("quillroad.downstream")

# Time in which deferred input is parsed in one iteration of the event loop.
SLICE_S = 0.004


class InputConnection(Protocol):
    """A connection with input that was not parsed."""

    def continue_parsing(self) -> None:
        """Parse a bounded part of the input; calls `InputScheduler.add` if more is left."""

    def abort(self) -> None:
        """Close the connection at once."""


class InputScheduler:
    """Lets connections parse their deferred input, first come, first served."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: deque[InputConnection] = deque()
        self._members: set[InputConnection] = set()
        self._scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, connection: InputConnection) -> None:
        """Let a connection parse more in a later iteration; does nothing if it waits already."""
        if connection in self._members:
            return
        self._members.add(connection)
        self._waiting.append(connection)
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        """Let each waiting connection parse once at most, for one time slice."""
        self._scheduled = False
        slice_end = monotonic() + SLICE_S
        for _ in range(len(self._waiting)):
            connection = self._waiting.popleft()
            self._members.discard(connection)
            self._continue(connection)
            if monotonic() >= slice_end:
                break
        if self._waiting and not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run)

    def _continue(self, connection: InputConnection) -> None:
        try:
            connection.continue_parsing()
        except Exception:  # an error in one connection must not affect the others
            log.exception("parsing deferred input raised an exception: closing the connection")
            connection.abort()
