"""Whether the gateway takes work: ready, drained by an operator, or ending. Free of I/O."""

from __future__ import annotations


class ServingState:
    """Two reasons to drain, each on its own: an operator's call, and the end of the process.

    An operator can take back only the first: without that a call to resume would let a process
    that is about to exit accept connections, and lose them.
    """

    def __init__(self) -> None:
        self.drained_by_operator = False  # drained by an operator
        self.ending = False  # the process is to end

    @property
    def draining(self) -> bool:
        """Whether there is a reason to drain."""
        return self.drained_by_operator or self.ending

    def drain(self) -> bool:
        """An operator drains the gateway; returns whether that changes anything."""
        before = self.draining
        self.drained_by_operator = True
        return not before

    def resume(self) -> bool:
        """An operator takes the drain back; returns whether that changes anything.

        It does not once the process is ending.
        """
        before = self.draining
        self.drained_by_operator = False
        return before and not self.ending

    def end(self) -> bool:
        """The process is to end; returns whether that changes anything."""
        before = self.draining
        self.ending = True
        return not before
