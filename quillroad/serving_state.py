"""Whether the gateway is serving, drained by an operator, or shutting down. Performs no I/O."""

from __future__ import annotations

from typing import NamedTuple

CALL_UNKNOWN = -1  # time of the latest call to a sibling process of an earlier build


class OperatorDrain(NamedTuple):
    """Whether operators have drained the gateway, by the latest call to either of its processes.

    `called_us` is the time of that call in microseconds of Unix time, 0 if there was none. Of two
    values the greater one wins: the one of the later call.
    """

    called_us: int = 0
    drained: bool = False

    def after_call(self, drained: bool, now_us: int) -> OperatorDrain:
        """Return the drain after a call, which is later than this one even if the clock is not."""
        return OperatorDrain(max(now_us, self.called_us + 1), drained)

    def merge(self, sibling: OperatorDrain) -> OperatorDrain:
        """Return the drain after the report of the sibling process."""
        if sibling.called_us == CALL_UNKNOWN:
            return self._replace(drained=sibling.drained)
        return max(self, sibling)


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
