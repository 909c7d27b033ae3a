"""Whether the gateway takes work. No I/O."""

from __future__ import annotations


class ServingState:
    """Two reasons to drain, each on its own: an operator's word, and the end of the process. An operator can
    take back only the first."""

    def __init__(self) -> None:
        self.by_hand = self.ending = False

    @property
    def draining(self) -> bool:
        return self.by_hand or self.ending

    def fail(self) -> bool:
        """Drain by hand; whether that changes anything."""
        before = self.draining
        self.by_hand = True
        return not before

    def ok(self) -> bool:
        """Back to work; whether that changes anything. Never once the process is ending."""
        before = self.draining
        self.by_hand = False
        return before and not self.ending

    def end(self) -> bool:
        """The process is to end; whether that changes anything."""
        before = self.draining
        self.ending = True
        return not before
