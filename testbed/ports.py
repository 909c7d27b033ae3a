"""Ports of 127.0.0.1 for the processes under test.

A process that is killed and started again must find its port free. In between, any other process
of the machine may be given that port, by `bind` with port 0 or by `connect`. So the test keeps the
port with a socket of its own that is bound and never listens: Linux gives such a port to nobody who
asks for any port, and lets the process under test bind it, since both set SO_REUSEADDR (socket(7)).
"""

from __future__ import annotations

import os
import socket
import weakref

LOOPBACK = "127.0.0.1"


class ReservedPort:
    """A TCP port, `number`, that is nobody else's until this object is collected."""

    def __init__(self) -> None:
        with socket.socket() as bound:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound.bind((LOOPBACK, 0))
            self.number: int = bound.getsockname()[1]
            weakref.finalize(self, os.close, bound.detach())


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """A port that was free a moment ago, for a process that starts at once and only once."""
    with socket.socket(type=kind) as bound:
        bound.bind((LOOPBACK, 0))
        port: int = bound.getsockname()[1]
        return port
