"""Rejections that cost little: made ahead, or sent to a connection that never comes up."""

from __future__ import annotations

import socket
from collections.abc import Callable
from time import process_time
from typing import TYPE_CHECKING

from quillroad.downstream.connection_limit import ConnectionLimit
from quillroad.downstream.request_validation import RequestValidator
from quillroad.downstream.responses import rejection
from quillroad.overload.acceptor import Acceptor
from quillroad.overload.admission_queue import AdmissionQueue
from quillroad.overload.fast_path_parse import MAX_HEAD_BYTES, preview_request
from quillroad.overload.retry_after import RetryAfterJitter
from quillroad.overload.socket_age import data_age

if TYPE_CHECKING:
    from quillroad.downstream.connection import ClientConnection

# Made ahead: a Fibonacci number of golden-ratio steps fills the circle of times evenly.
REJECTIONS = 233
# Age of unread data, in seconds, above which accepts get a larger part of the CPU time: clients
# begin to give up.
OUTSIDE_S = 0.5
# Part of the process's CPU time for rejecting at the accept, and in place of it while clients wait
# for long.
CPU_PART = 0.05
LATE_CPU_PART = 0.15
# CPU time that turning one away is taken to need, and that may be saved up for a crowd.
REJECT_CPU_S = 80e-6
SAVED_CPU_S = 0.005


class Rejections:
    """Whole responses that turn a request away, with `Retry-After` times spread over clients.

    `retry_after_us` is the longest wait told, in microseconds, 0 for none.
    """

    def __init__(self, jitter: RetryAfterJitter, retry_after_us: int) -> None:
        self._jitter = jitter
        self._retry_after_us = retry_after_us
        self._made = [
            rejection(True, jitter.jittered_us(retry_after_us)) for _ in range(REJECTIONS)
        ]
        self._next = 0

    def keep_alive(self) -> bytes:
        """One for a connection that stays open."""
        self._next = (self._next + 1) % len(self._made)
        return self._made[self._next]

    def closing(self) -> bytes:
        """One for a connection that ends with it."""
        return rejection(False, self._jitter.jittered_us(self._retry_after_us))


class EarlyRejection:
    """Rejects at the accept, within a part of the CPU time.

    Where the platform allows only part of a core, rejecting must not use all of it.

    `on_end` is told of each request that is rejected: its route and the status.
    """

    def __init__(
        self,
        validator: RequestValidator,
        admission: AdmissionQueue,
        connection_limit: ConnectionLimit[ClientConnection],
        acceptor: Acceptor[ClientConnection],
        rejections: Rejections,
        on_end: Callable[[int, int], None],
    ) -> None:
        self._validator = validator
        self._admission = admission
        self._connection_limit = connection_limit
        self._acceptor = acceptor
        self._rejections = rejections
        self._on_end = on_end
        self._saved_s = 0.0  # CPU time left for turning away
        self._counted_s = 0.0  # CPU time that the process had used when that was counted

    def has_time(self) -> bool:
        """Whether there is CPU time to turn one away."""
        now_s = process_time()
        part = LATE_CPU_PART if self._acceptor.clients_waited_long else CPU_PART
        self._saved_s = min(SAVED_CPU_S, self._saved_s + part * (now_s - self._counted_s))
        self._counted_s = now_s
        return self._saved_s > 0.0

    def reject(self, sock: socket.socket, now: float, full: bool) -> bool:
        """Reject a connection's one request and close it at once, before it comes up.

        That is done if the request would be rejected, or all is `full`. False, with nothing read,
        where it would not be, or where something else than one request has come. `now` is the
        monotonic time in seconds.
        """
        try:
            sock.setblocking(False)
            data = sock.recv(MAX_HEAD_BYTES, socket.MSG_PEEK)
            if data:
                route = self._rejected_route(sock, data, now, full)
                if route is None:
                    return False
                self._on_end(route, 503)
                sock.recv(MAX_HEAD_BYTES)  # a close on unread bytes would take the answer along
                sock.send(self._rejections.closing())
        except BlockingIOError:
            return False
        except OSError:
            pass  # its client has gone
        sock.close()
        self._saved_s -= REJECT_CPU_S
        return True

    def _rejected_route(
        self, sock: socket.socket, data: bytes, now: float, full: bool
    ) -> int | None:
        """The route of a request that is to be refused; None where it is not, or cannot be told."""
        seen = preview_request(data)
        if seen is None:
            return None
        validator = self._validator
        route = validator.route(seen.route_name)
        if route is None:
            return None
        age_s = data_age(sock)
        self._acceptor.clients_waited_long = age_s > OUTSIDE_S
        wait_s = validator.wait_s(route, seen.wait_ms)
        tenant = validator.tenant(seen.tenant)
        limit = self._connection_limit
        in_use = limit.most_connections + 1 if full else limit.busy + 1
        rejected = self._admission.rejects_early(now, now - age_s, wait_s, route, tenant, in_use)
        return route if rejected else None
