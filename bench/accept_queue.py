"""What the kernel does with connects that nobody has accepted, when their listener is closed."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator
from typing import NamedTuple

QUEUED = 64  # connects that nobody has accepted yet


class QueueResult(NamedTuple):
    """What became of queued connects when the process that listened had closed its socket."""

    accepted: int  # by the next process
    reset: int


def close_with_queue(reuse_port: bool) -> QueueResult:
    """Close a listener that has `QUEUED` connects in its queue, and accept with the next one.

    The next one has the same socket, or with `reuse_port` one of its own at the same address
    (SO_REUSEPORT, socket(7)).
    """
    first = _listen(reuse_port)
    address = first.getsockname()
    clients = [socket.create_connection(address) for _ in range(QUEUED)]
    for client in clients:
        client.sendall(b"x")
    second = _listen(reuse_port, address) if reuse_port else first.dup()
    first.close()
    accepted = list(_accept_all(second))
    reset = sum(_is_reset(client) for client in clients)
    for opened in (second, *accepted, *clients):
        opened.close()
    return QueueResult(len(accepted), reset)


def _listen(reuse_port: bool, address: tuple[str, int] = ("127.0.0.1", 0)) -> socket.socket:
    listener = socket.socket()
    if reuse_port:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind(address)
    listener.listen(QUEUED)
    listener.setblocking(False)
    return listener


def _accept_all(listener: socket.socket) -> Iterator[socket.socket]:
    with contextlib.suppress(BlockingIOError):  # the queue is empty
        while True:
            yield listener.accept()[0]


def _is_reset(client: socket.socket) -> bool:
    client.setblocking(False)
    try:
        client.recv(1)
    except BlockingIOError:  # open, and nothing was sent
        return False
    except ConnectionError:
        return True
    return False


def print_queues() -> None:
    """Print what becomes of queued connects, with one socket and with two."""
    for reuse_port, name in ((False, "the same socket"), (True, "SO_REUSEPORT")):
        result = close_with_queue(reuse_port)
        print(
            f"{name}: of {QUEUED} connects in the queue {result.accepted} accepted, "
            f"{result.reset} reset"
        )
