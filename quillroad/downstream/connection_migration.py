"""Hand-over of a client connection to another process of this gateway.

Only a connection between two requests is handed over: no answer is due on it, so the other process
needs only a copy of its descriptor and the number of requests it has served. After
`begin_migration` this process reads nothing until `cancel_migration` or `complete_migration`.
"""

from __future__ import annotations

import os

from quillroad.downstream.connection_output import ConnectionOutput
from quillroad.downstream.state import ANSWER_AFTER, AnswerEvent, AnswerState, ReadState


class MigratableConnection(ConnectionOutput):
    """A connection that another process can take over between two requests."""

    # Hooks that the subclass implements.

    def _mark_busy(self) -> None:
        """Tell the server that the connection must not be closed to make room."""
        raise NotImplementedError

    def _mark_resting(self) -> None:
        """Tell the server that the connection is between two requests."""
        raise NotImplementedError

    # Migration to another process of this gateway.

    def idle(self, unparsed: bool = True) -> bool:
        """Whether it is between two requests.

        With `unparsed`, a connection with bytes that were read and not parsed is not idle.
        """
        parser = self._parser
        return (
            self._answering is AnswerState.IDLE
            and parser.state is ReadState.BETWEEN
            and not parser.backlog
            and not (unparsed and parser.unparsed)
        )

    def begin_migration(self) -> int | None:
        """Stop reading, and return a copy of the descriptor to send along with `requests_served`.

        Return None if the connection is not between two requests or the descriptor cannot be
        copied. Bytes that arrive stay in the kernel for the process that reads next.
        """
        if self._transport is None or self.output_pending or not self.idle():
            return None
        try:
            copy = os.dup(self._sock.fileno())
        except OSError:
            return None
        self._pause_reading(True)
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.HOLD]
        self._mark_busy()  # so that it is not closed to make room meanwhile
        return copy

    @property
    def requests_served(self) -> int:
        """Number of requests completed on this connection, in all processes."""
        return self._parser.completed

    def cancel_migration(self) -> None:
        """Resume reading: the connection stays in this process."""
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.RELEASE]
        if self._transport is not None:
            self._pause_reading(False)
            self._mark_resting()

    def complete_migration(self) -> None:
        """Drop this process's copy after the other took over; the client does not notice."""
        self._answering = ANSWER_AFTER[self._answering][AnswerEvent.RELEASE]
        self._parser.end()
        self._mark_closing()
        if self._transport is not None:
            self._transport.abort()

    def restore_requests_served(self, requests_served_before: int) -> None:
        """Set the number of requests completed in the process that handed the connection over."""
        self._parser.completed = requests_served_before
