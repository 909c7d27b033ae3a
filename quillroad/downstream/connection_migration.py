"""How a client connection is handed to another process of this gateway.

Only a connection between two requests is handed over: nothing is owed on it, so a copy of its
descriptor and the number of requests that it has brought are all that the other process needs. From
`begin_migration` on nothing is read here, until one of `cancel_migration` and `complete_migration`.
"""

from __future__ import annotations

import os

from quillroad.downstream.connection_output import ConnectionOutput
from quillroad.downstream.state import ANSWER_AFTER, AnswerEvent, AnswerState, ReadState


class MigratableConnection(ConnectionOutput):
    """A connection that another process may take over between two requests."""

    # What the other half does.

    def _mark_busy(self) -> None:
        """Tell the server that the connection must not end for another."""
        raise NotImplementedError

    def _mark_resting(self) -> None:
        """Tell the server that the connection is between two requests."""
        raise NotImplementedError

    # Moving to another process of this gateway.

    def idle(self, unparsed: bool = True) -> bool:
        """Whether it is between two requests.

        `unparsed` says whether bytes that were read and not parsed count.
        """
        parser = self._parser
        return (
            self._answering is AnswerState.IDLE
            and parser.state is ReadState.BETWEEN
            and not parser.backlog
            and not (unparsed and parser.unparsed)
        )

    def begin_migration(self) -> int | None:
        """Read nothing more; returns a copy of the descriptor, with which `requests_served` goes.

        None where the connection is not between two requests. Bytes that come wait in the kernel
        for whoever reads next.
        """
        if self._transport is None or self.output_pending or not self.idle():
            return None
        try:
            copy = os.dup(self._sock.fileno())
        except OSError:
            return None
        self._pause_reading(True)
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.HOLD]
        self._mark_busy()  # nobody ends it meanwhile
        return copy

    @property
    def requests_served(self) -> int:
        """How many requests it has brought."""
        return self._parser.completed

    def cancel_migration(self) -> None:
        """It stays here after all."""
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.RELEASE]
        if self._transport is not None:
            self._pause_reading(False)
            self._mark_resting()

    def complete_migration(self) -> None:
        """It is another process's now: its client hears nothing of that."""
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.RELEASE]
        self._parser.end()
        self._mark_closing()
        if self._transport is not None:
            self._transport.abort()

    def arrives(self, brought: int) -> None:
        """It comes from another process, between two requests, of which it has brought so many."""
        self._parser.completed = brought
