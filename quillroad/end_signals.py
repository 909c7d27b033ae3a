"""Signals in the first and last moments of a process, when no handler is installed."""

from __future__ import annotations

import signal

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class EarlyReload:
    """Notes SIGHUP from its creation until the gateway installs its own handler.

    The default action would end the process, and if the signal were ignored, a configuration that
    changed after it was read would not be used.
    """

    def __init__(self) -> None:
        self.is_due = False
        signal.signal(signal.SIGHUP, self._on_signal)

    def _on_signal(self, _number: int, _frame: object) -> None:
        self.is_due = True


def block_signals() -> None:
    """Block the signals that the process handles, once it has nothing left to do but exit.

    Closing the event loop restores their default actions, and a repeated signal would then end the
    process as if it had crashed.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
