"""Takes connections from the listening socket: in batches, within limits, and never spinning.

The event loop's own server takes one connection a turn, while a turn serves every connection that has
something to say: in a storm those outside wait for as long as those inside keep the loop busy. This takes as
many a turn as fit into a part of the time that turns take, so that a storm is taken in a few turns of a core
that has time, and a core that has none is not filled with connections whose requests it can't read: those
wait in the kernel, where they cost nothing and their age counts.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from functools import partial
from time import monotonic
from typing import Generic, TypeVar

from quillroad.overload.accept_backoff import AcceptBackoff

log = logging.getLogger("quillroad.overload")

BACKLOG = 4096  # connections that wait in the kernel; it holds this to net.core.somaxconn
PART = 0.125  # of the time since the last accepts, for these; coming up takes a connection as long again
# Of it, while those outside wait for long: at five times a core's capacity 99 of 100 refusals came within
# 0.9 s in place of 1.7 s at the same worth. At all times it took the worth at twice from 0.46 to 0.38. Both
# were measured before turning away had a part of its own of the CPU time.
LATE_PART = 0.25
LEAST_S = 0.002  # for accepts in a turn that was short: about 80 of them
BATCH = 256  # accepts a turn at the most
ROOM_S = 0.010  # until the descriptors are looked at again
LAST_SWEEP = 4096  # accepts at most when the listener closes

P = TypeVar("P", bound=asyncio.Protocol)


def open_listener(host: str, port: int, shared: bool = False) -> socket.socket:
    """A listening socket; `shared` with others of the same user that ask for that too (SO_REUSEPORT). Raises
    OSError where the address cannot be used."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.setblocking(False)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


class Acceptor(Generic[P]):
    """One listening socket. `room` is asked before every accept, with no descriptor taken yet: where it says
    no, connections wait in the kernel. `take` makes the protocol of one that was accepted, or has dealt with
    it and closed it (None); `lost` is told of those whose connection never came up, and of no others."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        take: Callable[[socket.socket], P | None],
        room: Callable[[], bool],
        lost: Callable[[P], None],
    ) -> None:
        self._loop, self._make, self._room, self._lost = loop, take, room, lost
        self._listener: socket.socket | None = None
        self._backoff = AcceptBackoff()
        self._pause: asyncio.TimerHandle | None = None
        self._ended = 0.0  # when accepts ended last
        self.late = False  # those outside have waited for long
        self.soon = (
            False  # descriptors are about to be free: no rest where there is no room just now
        )
        self._starting: set[asyncio.Task[object]] = set()

    def listen(self, listener: socket.socket) -> None:
        """Take connections from a socket that listens, which is the acceptor's own from now on."""
        self._listener = listener
        self._loop.add_reader(listener.fileno(), self._take, BATCH)

    def pause(self) -> None:
        """Take nothing until `listen` is called again; connections wait in the kernel, and the socket is the
        caller's."""
        if self._listener is None:
            return
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None
        self._loop.remove_reader(self._listener.fileno())
        self._listener = None

    def _take(self, most: int) -> None:
        if self._listener is None:
            return
        began = monotonic()
        part = LATE_PART if self.late else PART
        end = (
            began + max(LEAST_S, part * min(1.0, began - self._ended))
            if most == BATCH
            else float("inf")
        )
        self._accept(self._listener, most, end)
        self._ended = monotonic()

    def _accept(self, listener: socket.socket, most: int, end: float) -> None:
        self.soon = False
        for _ in range(most):
            if monotonic() >= end:
                return
            if most == BATCH and not self._room():
                # Without a rest the listener, still readable, is looked at in the next turn.
                return None if self.soon else self._rest(ROOM_S)
            try:
                sock, _address = listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue  # the client has gone already
            except OSError as error:
                # EMFILE, ENFILE, ENOBUFS, ENOMEM: the listener stays readable, and is left alone for a while.
                wait_s = self._backoff.failed()
                log.error("accept failed, next in %d ms: %s", wait_s * 1000, error)
                return self._rest(wait_s)
            self._backoff.worked()
            self._start(sock)

    def _start(self, sock: socket.socket) -> None:
        protocol = self._make(sock)
        if protocol is not None:
            self.start(sock, protocol)

    def start(self, sock: socket.socket, protocol: P) -> None:
        """Bring a connection up that was accepted."""
        task: asyncio.Task[object] = self._loop.create_task(
            self._loop.connect_accepted_socket(lambda: protocol, sock)
        )
        self._starting.add(task)
        task.add_done_callback(partial(self._started, sock, protocol))

    def _started(self, sock: socket.socket, protocol: P, task: asyncio.Task[object]) -> None:
        self._starting.discard(task)
        if task.cancelled() or task.exception() is not None:
            sock.close()
            self._lost(protocol)

    def _rest(self, wait_s: float) -> None:
        """Leave the listener alone; what comes waits in the kernel, where its age is counted all the same."""
        if self._listener is not None and self._pause is None:
            self._loop.remove_reader(self._listener.fileno())
            self._pause = self._loop.call_later(wait_s, self._resume)

    def _resume(self) -> None:
        self._pause = None
        if self._listener is not None:
            self._loop.add_reader(self._listener.fileno(), self._take, BATCH)

    def close(self) -> None:
        """Take what the kernel has accepted, with or without room, since closing would reset it, and close
        the listener."""
        if self._listener is None:
            return
        self._take(LAST_SWEEP)
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None
        self._loop.remove_reader(self._listener.fileno())
        self._listener.close()
        self._listener = None
