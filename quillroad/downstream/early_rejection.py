"""Cheap rejections: prebuilt responses, and rejection at the accept without a transport."""

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

# Number of prebuilt responses. The jitter advances in golden-ratio steps, and a Fibonacci number of
# such steps spreads the `Retry-After` times evenly.
PREBUILT_REJECTIONS = 233
# Age of unread data above which rejections at the accept get a larger fraction of the CPU time:
# clients begin to give up.
LONG_WAIT_S = 0.5
# Fraction of the process's CPU time for rejections at the accept: usually, and while clients wait
# for longer than `LONG_WAIT_S`.
CPU_FRACTION = 0.05
LONG_WAIT_CPU_FRACTION = 0.15
# CPU time charged for one rejection, and the most that may be saved up for a burst.
REJECT_CPU_S = 80e-6
MAX_CPU_CREDIT_S = 0.005


class Rejections:
    """Complete 503 responses whose `Retry-After` times are spread by jitter.

    `retry_after_us` is the longest `Retry-After` in microseconds; 0 sends none.
    """

    def __init__(self, jitter: RetryAfterJitter, retry_after_us: int) -> None:
        self._jitter = jitter
        self._retry_after_us = retry_after_us
        self._responses = [
            rejection(True, jitter.jittered_us(retry_after_us)) for _ in range(PREBUILT_REJECTIONS)
        ]
        self._next = 0

    def keep_alive(self) -> bytes:
        """Return a rejection for a connection that stays open."""
        self._next = (self._next + 1) % len(self._responses)
        return self._responses[self._next]

    def closing(self) -> bytes:
        """Return a rejection for a connection that is closed after it."""
        return rejection(False, self._jitter.jittered_us(self._retry_after_us))


class EarlyRejection:
    """Rejects requests at the accept, within a fraction of the CPU time.

    Without that limit, rejections could use all CPU time on a platform that grants the process only
    part of a core. `on_end` is called with the route and the status of each rejected request.
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
        self._cpu_credit_s = 0.0  # CPU time (s) available for rejections
        self._last_cpu_s = 0.0  # CPU time (s) of the process at the last update

    def has_cpu_time(self) -> bool:
        """Whether there is CPU time for a rejection; updates the credit."""
        now_s = process_time()
        fraction = LONG_WAIT_CPU_FRACTION if self._acceptor.clients_waited_long else CPU_FRACTION
        self._cpu_credit_s = min(
            MAX_CPU_CREDIT_S, self._cpu_credit_s + fraction * (now_s - self._last_cpu_s)
        )
        self._last_cpu_s = now_s
        return self._cpu_credit_s > 0.0

    def reject(self, sock: socket.socket, now: float, full: bool) -> bool:
        """Reject the one request on an accepted socket and close it, without a transport.

        Return True if the socket was closed: admission rejected the request, or the client had
        disconnected. Return False, with nothing read, if admission would accept the request or
        the received data is not exactly one request. With `full`, admission counts all places as
        in use. `now` is the monotonic time in seconds.
        """
        try:
            data = sock.recv(MAX_HEAD_BYTES, socket.MSG_PEEK)
            if data:
                route = self._rejected_route(sock, data, now, full)
                if route is None:
                    return False
                self._on_end(route, 503)
                # A close with unread bytes would send RST, and the client could lose the response.
                sock.recv(MAX_HEAD_BYTES)
                sock.send(self._rejections.closing())
        except BlockingIOError:
            return False
        except OSError:
            pass  # the client has disconnected
        sock.close()
        self._cpu_credit_s -= REJECT_CPU_S
        return True

    def _rejected_route(
        self, sock: socket.socket, data: bytes, now: float, full: bool
    ) -> int | None:
        """Return the route of a request to reject; None to accept it or if `data` is unclear."""
        preview = preview_request(data)
        if preview is None:
            return None
        validator = self._validator
        route = validator.route(preview.route_name)
        if route is None:
            return None
        age_s = data_age(sock)
        self._acceptor.clients_waited_long = age_s > LONG_WAIT_S
        wait_s = validator.wait_s(route, preview.wait_ms)
        tenant = validator.tenant(preview.tenant)
        limit = self._connection_limit
        in_use = limit.max_connections + 1 if full else limit.busy + 1
        rejected = self._admission.rejects_early(now, now - age_s, wait_s, route, tenant, in_use)
        return route if rejected else None
