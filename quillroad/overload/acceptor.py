"""Accepts connections from the listening socket in batches, within a time and capacity limit.

The event loop's own server accepts one connection per loop iteration, while an iteration serves
every connection that has sent data: when many clients connect at once, the connections in the
backlog wait for as long as the accepted ones keep the loop busy. The acceptor accepts as many
connections per iteration as fit into a fraction of the time since its last batch. An idle core
accepts a burst within a few iterations. A busy core does not accept connections whose requests it
has no time to read: they stay in the kernel's backlog, where they cost nothing and where the kernel
still records the age of their data (`socket_age`).
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable
from enum import Enum
from functools import partial
from time import monotonic, sleep
from typing import Generic, TypeVar

from quillroad.overload.accept_backoff import AcceptBackoff
from quillroad.overload.socket_age import backlog_length

log = logging.getLogger("quillroad.overload")

# Maximum length of the kernel's accept queue; the kernel limits it to net.core.somaxconn.
BACKLOG = 4096
# Fraction of the time since the last batch that the next batch may take. Setting up the transport
# of a connection takes about as long as accepting it, so both together use at most a quarter of
# the core.
TIME_FRACTION = 0.125
# The same while clients in the backlog have waited for long, so that they are rejected sooner. Not
# used at other times, since it leaves less time for requests that were already accepted.
TIME_FRACTION_LATE = 0.25
# Minimum duration of a batch, so that a lightly loaded loop accepts without delay.
MIN_BATCH_S = 0.002
# Upper bound of the time since the last batch that is counted: after a pause, a batch must not
# block the loop for a whole iteration.
MAX_COUNTED_INTERVAL_S = 1.0
# Maximum number of accepts per loop iteration, however long the last iteration took.
MAX_BATCH = 256
# Delay before the capacity is checked again; other events free descriptors in the meantime.
NO_CAPACITY_DELAY_S = 0.010
# Maximum number of accepts when the listener closes; at least BACKLOG, so that no connection in the
# backlog is reset.
MAX_ACCEPTS_ON_CLOSE = 4096
# Duration of a batch of these in one iteration of the event loop.
CLOSING_BATCH_S = 0.010

# How long, and how often, opening a listener is tried again while the system is short of something.
OPEN_RETRY_S = 3.0
OPEN_RETRY_INTERVAL_S = 0.02
SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Maximum number of connections closed at a time while a listener that closes cannot accept.
MAX_FREED_ON_CLOSE = 64


class AcceptResult(Enum):
    """What one accept has led to."""

    ACCEPTED = 1
    ABORTED = 2  # the client has disconnected meanwhile; others may be in the backlog
    NONE_WAITING = 3
    FAILED = 4  # for lack of descriptors or memory


# Results after which a batch goes on.
CONTINUING = (AcceptResult.ACCEPTED, AcceptResult.ABORTED)

P = TypeVar("P", bound=asyncio.BaseProtocol)


def open_listener(host: str, port: int, shared: bool = False) -> socket.socket:
    """Return a non-blocking listening socket.

    With `shared`, other processes of the same user that also set SO_REUSEPORT may listen on the
    same address. Raises OSError if the address cannot be bound.
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


def open_first_listener(host: str, port: int, shared: bool = False) -> socket.socket:
    """Return a listening socket as `open_listener` does, at the start of a process.

    A lack of descriptors or memory is waited out for `OPEN_RETRY_S`. This blocks the process, which
    serves nobody yet.
    """
    retry_until = monotonic() + OPEN_RETRY_S
    while True:
        try:
            return open_listener(host, port, shared)
        except OSError as error:
            if error.errno not in SHORTAGES or monotonic() >= retry_until:
                raise
            log.warning("opening the listener failed, it will be tried again: %s", error)
            sleep(OPEN_RETRY_INTERVAL_S)


class Acceptor(Generic[P]):
    """Accepts connections from one listening socket and attaches them to the event loop.

    `make_protocol` is called with each accepted socket and returns its protocol, or None if it has
    handled and closed the connection itself. `has_capacity` is called before each accept, before a
    descriptor is allocated; while it returns False, connections wait in the kernel's backlog.
    `on_lost` is called only with protocols whose transport could not be set up.
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
        self._closing: socket.socket | None = None  # a listener whose backlog is being accepted
        self._left_on_close = -1  # connections of its backlog to accept; -1: not known yet
        self._backoff = AcceptBackoff()
        self._resume_timer: asyncio.TimerHandle | None = None
        self._last_batch_end = 0.0  # monotonic time
        # Set by the owner: clients in the backlog have waited for long.
        self.clients_waited_long = False
        # Set by the owner: descriptors are being closed, so the next iteration can accept.
        self.descriptors_freeing = False
        self._bring_up_tasks: set[asyncio.Task[object]] = set()

    def listen(self, listener: socket.socket) -> None:
        """Start accepting from a listening socket, which the acceptor now owns and closes."""
        self._listener = listener
        self._loop.add_reader(listener.fileno(), self._accept_batch)

    def detach(self) -> None:
        """Stop accepting until `listen` is called again.

        The caller owns the socket again; connections wait in the kernel's backlog.
        """
        self._detach()

    def close(self) -> None:
        """Accept the connections that are in the backlog now, and close the listener after them.

        Closing a listening socket resets the connections in its backlog, including those whose
        clients have sent a complete request and would then get no answer. They are accepted
        regardless of capacity, in batches: clients that connect again and again would occupy the
        event loop otherwise. While accepts fail, as they do without a free descriptor, connections
        are closed to make room, and the rest of the backlog waits. A second call closes the
        listener at once.
        """
        if self._closing is not None:
            self._left_on_close = 0
        self._closing = self._detach() or self._closing
        if self._closing is not None:
            if self._left_on_close < 0:
                self._left_on_close = min(MAX_ACCEPTS_ON_CLOSE, backlog_length(self._closing))
            self._accept_closing_batch()

    @property
    def closing(self) -> bool:
        """Whether the listener is being closed, so that capacity does not count."""
        return self._closing is not None

    def _accept_closing_batch(self) -> None:
        """Accept a batch of the backlog, and close the listener after the last one."""
        listener = self._closing
        if listener is None:
            return
        batch_end = monotonic() + CLOSING_BATCH_S
        result = AcceptResult.ACCEPTED
        while self._left_on_close > 0 and monotonic() < batch_end:
            result = self._accept_one(listener)
            if result is AcceptResult.FAILED:
                break
            if result is AcceptResult.ACCEPTED:
                self._left_on_close -= 1
            elif result is AcceptResult.NONE_WAITING:
                self._left_on_close = 0
        if result is AcceptResult.FAILED:
            self._free_descriptors()
            self._loop.call_later(self._backoff.next_delay_s(), self._accept_closing_batch)
            return
        if self._left_on_close > 0:
            self._loop.call_soon(self._accept_closing_batch)
            return
        self._closing = None
        listener.close()

    def _free_descriptors(self) -> None:
        """Have the owner close connections, so that their descriptors are free next time."""
        for _ in range(MAX_FREED_ON_CLOSE):
            self.descriptors_freeing = False
            if self._has_capacity() or not self.descriptors_freeing:
                return

    def _detach(self) -> socket.socket | None:
        """Stop watching the listener and return it; None if there is none."""
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
        """Accept for a fraction of the time since the last batch, while there is capacity."""
        listener = self._listener
        if listener is None:
            return
        batch_start = monotonic()
        fraction = TIME_FRACTION_LATE if self.clients_waited_long else TIME_FRACTION
        elapsed_s = min(MAX_COUNTED_INTERVAL_S, batch_start - self._last_batch_end)
        batch_end = batch_start + max(MIN_BATCH_S, fraction * elapsed_s)
        self.descriptors_freeing = False
        for _ in range(MAX_BATCH):
            if monotonic() >= batch_end:
                break
            if not self._has_capacity():
                # Without a pause the next iteration polls the listener, which is still readable.
                if not self.descriptors_freeing:
                    self._pause_accepting(NO_CAPACITY_DELAY_S)
                break
            result = self._accept_one(listener)
            if result is AcceptResult.FAILED:
                # The listener stays readable, so back off.
                self._pause_accepting(self._backoff.next_delay_s())
            if result not in CONTINUING:
                break
        self._last_batch_end = monotonic()

    def _accept_one(self, listener: socket.socket) -> AcceptResult:
        """Accept and set up one connection."""
        try:
            sock, _address = listener.accept()
        except BlockingIOError:
            return AcceptResult.NONE_WAITING
        except (ConnectionAbortedError, InterruptedError):
            return AcceptResult.ABORTED
        except OSError as error:  # EMFILE, ENFILE, ENOBUFS, ENOMEM
            log.error("accept failed, it will be tried again: %s", error)
            return AcceptResult.FAILED
        self._backoff.reset()
        sock.setblocking(False)  # its owner may read from it before the transport is set up
        protocol = self._make_protocol(sock)
        if protocol is not None:
            self.set_up_connection(sock, protocol)
        return AcceptResult.ACCEPTED

    def set_up_connection(self, sock: socket.socket, protocol: P) -> None:
        """Set up the transport of an accepted connection; call `on_lost` if that fails."""
        task: asyncio.Task[object] = self._loop.create_task(
            self._loop.connect_accepted_socket(lambda: protocol, sock)
        )
        self._bring_up_tasks.add(task)
        task.add_done_callback(partial(self._on_bring_up_done, sock, protocol))

    def _on_bring_up_done(
        self, sock: socket.socket, protocol: P, task: asyncio.Task[object]
    ) -> None:
        self._bring_up_tasks.discard(task)
        if task.cancelled() or task.exception() is not None:
            sock.close()
            self._on_lost(protocol)

    def _pause_accepting(self, delay_s: float) -> None:
        """Stop accepting for `delay_s`; connections wait in the kernel's backlog meanwhile."""
        if self._listener is not None and self._resume_timer is None:
            self._loop.remove_reader(self._listener.fileno())
            self._resume_timer = self._loop.call_later(delay_s, self._resume)

    def _resume(self) -> None:
        self._resume_timer = None
        if self._listener is not None:
            self._loop.add_reader(self._listener.fileno(), self._accept_batch)
