"""Whether the gateway is serving, drained by an operator, or shutting down. Performs no I/O."""

from __future__ import annotations


class ServingState:
    """The two independent reasons to drain: an operator's call, and the shutdown of the process.

    An operator can revoke only the first. Otherwise a call to resume would make a process that is
    about to exit accept connections, which would be lost when it exits.
    """

    def __init__(self) -> None:
        self.drained_by_operator = False
        self.ending = False  # the process is shutting down

    @property
    def draining(self) -> bool:
        """Whether the gateway drains, for either reason."""
        return self.drained_by_operator or self.ending

    def drain(self) -> bool:
        """Drain on an operator's call; return whether `draining` has changed."""
        was_draining = self.draining
        self.drained_by_operator = True
        return not was_draining

    def resume(self) -> bool:
        """Revoke the operator's drain; return whether `draining` has changed.

        It does not change while the process is shutting down.
        """
        was_draining = self.draining
        self.drained_by_operator = False
        return was_draining and not self.ending

    def end(self) -> bool:
        """Drain because the process shuts down; return whether `draining` has changed."""
        was_draining = self.draining
        self.ending = True
        return not was_draining
