"""Processor cores for gateways, so that testbeds on one machine do not pin theirs to the same ones.

A core is claimed by the name of a Unix socket in the abstract namespace (unix(7)): the kernel frees
the name with the process that holds it, however that ends.
"""

from __future__ import annotations

import os
import socket

NAME = "\0quillroad-testbed-core-{}"  # of the socket that claims a core, by the core's number


class CoreClaims:
    """The cores that one testbed holds, until `release`."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []
        self._held: list[int] = []

    def claim(self, number: int) -> int:
        """The core for gateway `number`: the last of this process's that no testbed holds.

        Where all are held it is shared: one of those held here, if there are any.
        """
        cores = sorted(os.sched_getaffinity(0), reverse=True)
        for core in cores:
            if self._hold(core):
                return core
        shared = self._held or cores
        return shared[number % len(shared)]

    def _hold(self, core: int) -> bool:
        claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            claim.bind(NAME.format(core))
        except OSError:  # it is held already
            claim.close()
            return False
        self._sockets.append(claim)
        self._held.append(core)
        return True

    def release(self) -> None:
        """Let other testbeds have all that were claimed here."""
        for claim in self._sockets:
            claim.close()
        self._sockets, self._held = [], []
