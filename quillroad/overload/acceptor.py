"""Takes connections from the listening socket: in batches, within limits, and never spinning.

The event loop's own server accepts one connection a turn, while a turn serves every connection that
has sent something: when many clients connect at once, those outside wait for as long as those
inside keep the loop busy. The acceptor takes as many a turn as fit into a fraction of the time that
turns take. A core with time to spare accepts a crowd within a few turns. A core without is not
filled with connections whose requests it cannot read; those wait in the kernel, where they cost
nothing and where their age is counted all the same (`socket_age`).
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

# Connections that may wait in the kernel; the kernel holds it to net.core.somaxconn.
BACKLOG = 4096
# Fraction of the time since the last accepts that the next ones may take. Bringing a connection up
# takes as long again, so accepting and starting together take a quarter of the core at the most.
TIME_FRACTION = 0.125
# The same while clients outside have waited for long: rejections reach them sooner then. Not used
# at all times, since it leaves less time for the requests that are already inside.
TIME_FRACTION_LATE = 0.25
# Time for accepts after a turn that was short, so that a calm loop accepts without delay.
MIN_TIME_S = 0.002
# Longest time since the last accepts that counts: after a pause accepts do not hold up a whole
# turn.
MAX_PASSED_S = 1.0
# Accepts a turn at the most, however long the last turn took.
MAX_BATCH = 256
# Wait before capacity is asked for again: a descriptor is freed by some other event meanwhile.
NO_CAPACITY_DELAY_S = 0.010
# Accepts at most when the listener closes; at least BACKLOG, so that nobody who waits is reset.
MAX_LAST_ACCEPTS = 4096

P = TypeVar("P", bound=asyncio.Protocol)


def open_listener(host: str, port: int, shared: bool = False) -> socket.socket:
    """A listening socket, not blocking.

    `shared`: other processes of the same user that ask for it too may listen on the same address
    (SO_REUSEPORT). Raises OSError where the address cannot be used.
    """
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
    """Accepts from one listening socket, and brings the connections up on the event loop.

    `make_protocol` gets each accepted socket and returns its protocol, or None where it has dealt
    with the connection and closed it. `has_capacity` is asked before each accept, when no
    descriptor is taken yet; while it says no, connections wait in the kernel. `on_lost` is told of
    protocols whose connection never came up, and of no others.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        make_protocol: Callable[[socket.socket], P | None],
        has_capacity: Callable[[], bool],
        on_lost: Callable[[P], None],
    ) -> None:
        self._loop = loop
        self._make_protocol = make_protocol
        self._has_capacity = has_capacity
        self._on_lost = on_lost
        self._listener: socket.socket | None = None
        self._backoff = AcceptBackoff()
        self._resume_timer: asyncio.TimerHandle | None = None
        self._last_accepts_end = 0.0  # monotonic time
        # Set by the owner: clients outside have waited for long.
        self.clients_waited_long = False
        # Set by the owner: descriptors are about to be free, so that the next turn may accept.
        self.descriptors_freeing = False
        self._starting: set[asyncio.Task[object]] = set()

    def listen(self, listener: socket.socket) -> None:
        """Accept from a socket that listens; the acceptor owns and closes it from now on."""
        self._listener = listener
        self._loop.add_reader(listener.fileno(), self._accept_batch)

    def detach(self) -> None:
        """Accept nothing until `listen` is called again.

        Connections wait in the kernel, and the socket is the caller's.
        """
        self._detach()

    def close(self) -> None:
        """Accept all that the kernel holds, with or without capacity, and close the listener.

        Closing a listener resets the connections that wait in it, also those whose clients have
        sent a whole request: they would get no answer.
        """
        if self._listener is None:
            return
        self._accept_all(self._listener)
        listener = self._detach()
        if listener is not None:
            listener.close()

    def _detach(self) -> socket.socket | None:
        """Let go of the listener, which the loop no longer watches; None where there is none."""
        listener = self._listener
        if listener is None:
            return None
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None
        self._loop.remove_reader(listener.fileno())
        self._listener = None
        return listener

    def _accept_batch(self) -> None:
        """Accept for a fraction of the time since the last accepts, while there is capacity."""
        listener = self._listener
        if listener is None:
            return
        began = monotonic()
        fraction = TIME_FRACTION_LATE if self.clients_waited_long else TIME_FRACTION
        passed_s = min(MAX_PASSED_S, began - self._last_accepts_end)
        end = began + max(MIN_TIME_S, fraction * passed_s)
        self.descriptors_freeing = False
        for _ in range(MAX_BATCH):
            if monotonic() >= end:
                break
            if not self._has_capacity():
                # Without a rest the listener, still readable, is looked at in the next turn.
                if not self.descriptors_freeing:
                    self._rest(NO_CAPACITY_DELAY_S)
                break
            if not self._accept_one(listener):
                break
        self._last_accepts_end = monotonic()

    def _accept_all(self, listener: socket.socket) -> None:
        """Accept whatever the kernel holds, without asking for capacity."""
        for _ in range(MAX_LAST_ACCEPTS):
            if not self._accept_one(listener):
                break

    def _accept_one(self, listener: socket.socket) -> bool:
        """Accept and start one connection; False where no further accept makes sense now."""
        try:
            sock, _address = listener.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except ConnectionAbortedError:
            return True  # this client has gone already; the next one may wait
        except OSError as error:
            # EMFILE, ENFILE, ENOBUFS, ENOMEM: the listener stays readable, so leave it alone.
            delay_s = self._backoff.next_delay_s()
            log.error("accept failed, next in %d ms: %s", delay_s * 1000, error)
            self._rest(delay_s)
            return False
        self._backoff.reset()
        protocol = self._make_protocol(sock)
        if protocol is not None:
            self.bring_up(sock, protocol)
        return True

    def bring_up(self, sock: socket.socket, protocol: P) -> None:
        """Bring up a connection that was accepted; `on_lost` hears of it where that fails."""
        task: asyncio.Task[object] = self._loop.create_task(
            self._loop.connect_accepted_socket(lambda: protocol, sock)
        )
        self._starting.add(task)
        task.add_done_callback(partial(self._started, sock, protocol))

    def _started(self, sock: socket.socket, protocol: P, task: asyncio.Task[object]) -> None:
        self._starting.discard(task)
        if task.cancelled() or task.exception() is not None:
            sock.close()
            self._on_lost(protocol)

    def _rest(self, delay_s: float) -> None:
        """Leave the listener alone for a while; connections wait in the kernel meanwhile."""
        if self._listener is not None and self._resume_timer is None:
            self._loop.remove_reader(self._listener.fileno())
            self._resume_timer = self._loop.call_later(delay_s, self._resume)

    def _resume(self) -> None:
        self._resume_timer = None
        if self._listener is not None:
            self._loop.add_reader(self._listener.fileno(), self._accept_batch)
