"""The client side: parse and check requests, frame the one answer, drain.

Clients are not trusted: heads, bodies, half requests, idle and unread connections are all bounded, and what
cannot be read costs the connection that sent it and nothing else.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from time import monotonic, process_time
from typing import cast
from urllib.parse import unquote

import httptools

from quillroad.balancing.settings import Idempotency, Route
from quillroad.config import RESERVED, SHORT_BODY, Config, Descriptors
from quillroad.downstream.connection_limit import UNHEARD_S, ConnectionLimit, ConnectionState
from quillroad.engine.engine import ClientRequest, Engine, OpenRequest, Reply
from quillroad.framing import FRAMED, BadRequestError, check_framing
from quillroad.overload.acceptor import Acceptor
from quillroad.overload.admission_queue import Admission, Lane, Waiting
from quillroad.overload.body_budget import Buffers
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.overload.fast_path_parse import LONGEST, preview_request
from quillroad.overload.heap import steady
from quillroad.overload.retry_after import Spread
from quillroad.overload.socket_age import data_age, has_ended, unacknowledged
from quillroad.upstream.pool import HEAD_LIMIT, Answer, Rest

log = logging.getLogger("quillroad.downstream.server")

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
SINGLE = frozenset(
    (b"request-id", b"idempotency-key", b"request-timeout-ms")
)  # at most one of each
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect content-length "
    b"request-timeout-ms proxy-authorization proxy-authenticate".split()
)
AHEAD = 2  # requests parsed ahead on one connection: clients send one at a time
SLICE = 2048  # bytes parsed at a time, a few requests: one read can hold hundreds
BODY_SLICE = 64 * 1024  # of a body, which holds no other request
RECEIVE_S = (
    2.0  # for a request to come in whole, from its first byte, and for a first one to begin at all
)
HEAD_S = 2.4  # in place of it for a head, where bodies may be long: clients may take 2 s
RATE = 32 * 1024  # bytes of a body a second at the least, half of what slow clients send
UNREAD_S = 5.0  # for a client to take some bytes of its answer
REFUSALS = 233  # made ahead; a Fibonacci number of steps fills the circle of times evenly
# Connections past the descriptors' limit at the most, for those that end others or are turned away. With what
# is no connection (15 of one process) and the accept at hand they are within RESERVED.
EXCESS = RESERVED // 4
FREED, FREED_S = (
    64,
    0.05,
)  # connections to hosts that make room in a turn at most; after which one does again
OVERSTAYED = (
    2  # connections that end with an answer at the most: with one, their number would never fall
)
HOLD_S = 0.02  # between two looks at whether the core is still too busy for more than it has begun
IDLE_S = 60.0  # connections are worth keeping, and the longest idle make room when room is needed
IDLE_ONCE_S = 2.0  # for one that has asked once only: most such clients never come back
OUTSIDE_S = 0.5  # of waiting in the kernel, from which on accepts get more of the time
AWAY_PART, LATE_AWAY_PART = 0.05, 0.15  # of the process's CPU time, for turning away those outside
AWAY_S, AWAY_MOST_S = 80e-6, 0.005  # that one is taken to need, a guess; that may be saved up
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close by RST, with nothing more sent
AGED_S = (
    0.05  # bytes that waited so long: their client may have left since, which counts after 0.1 s
)
LINGER_S, LINGER_BYTES = (
    1.0,
    1024 * 1024,
)  # after an error, so that a client still sending can read why


class _Pending:
    """A request that is complete, or the error that it got, waiting for its turn on the connection."""

    def __init__(
        self,
        request: ClientRequest | None,
        status: int,
        keep: bool,
        why: str = "",
        version: str = "1.1",
        route: int = -1,
        held: int = 0,
    ) -> None:
        self.request, self.status, self.keep, self.why = request, status, keep, why
        self.version = version
        self.route = route if request is None else request.route  # -1: of no class
        self.held = held  # bytes of its body that are taken from all that may be held


class ClientConnection(asyncio.Protocol):
    """One client connection: one request at a time, those sent ahead in order."""

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self._server, self._sock = server, sock
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._unfed, self._fed = b"", 0  # read, and how much of it is parsed
        self._read_at = (
            monotonic()
        )  # when what is unfed came in, which a client's deadline counts from
        self._heard = False
        self._waiting: Waiting | None = None  # its place in the queue for the core
        self._began = 0.0  # when the core got round to its request
        self._backlog: deque[_Pending] = deque()
        self._serving = False
        self._opened: OpenRequest | None = None
        self._keep, self._version = True, "1.1"
        self._rest: Rest | None = None  # of the long answer on its way
        self._chunked = False  # how that is framed
        self._route = -1  # class of the request that is owed an answer; -1: it has none
        self._advancing = self._paused = self._unread = self._ended = self._partial = False
        self.blind = (
            False  # nothing was read since reading paused: not even that the client has closed
        )
        self._discarded = self._complete = 0
        self._taking = self._held = (
            0  # of such bytes: of the request that comes in, of the one being served
        )
        self._left = 0  # bytes of an answer that its client has not taken, at the last look
        self._bad: BadRequestError | None = None
        self.last_change = monotonic()  # what the limits on time count from
        self._begin()

    def _begin(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._size = self._received = 0
        self._body = bytearray()
        self._head, self._told = True, False

    # The transport's side.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        # With the marks at 0 `_unread` stands for "bytes of an answer left in this process".
        self._transport.set_write_buffer_limits(high=0)
        if self._server.connection_limit.stage(self) is None:
            self._transport.abort()  # it was ended for another while it came up

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._ended = True
        self._held, self._taking = self._held + self._taking, 0
        self._forget_backlog()
        self._let_go()
        if self._rest is not None:
            rest, self._rest = self._rest, None
            self._server.streams -= 1
            rest.abandon()
        self._unfed, self._parser = (
            b"",
            None,
        )  # the parser refers back: a cycle would wait for the collector
        self._server.left(self)
        if self._waiting is not None:
            self._server.admission.leave(self._waiting)
            self._waiting = None
        if self._opened is not None:
            opened, self._opened = self._opened, None
            self._server.engine.depart(opened)

    def pause_writing(self) -> None:
        self._unread = True
        self.last_change = monotonic()

    def resume_writing(self) -> None:
        self._unread = False
        if self._rest is not None:
            self._rest.resume()
            return
        if self._ended and not self._backlog and not self._serving:
            self._server.leaves(self)  # its last answer has left
            return
        self._advance()
        if self.idle():
            self._server.rests(self)

    def data_received(self, data: bytes) -> None:
        if self._ended:
            self._discarded += len(data)
            if self._discarded > LINGER_BYTES:
                self.abort()
            return
        self.blind = False
        if self._unfed:
            self._unfed, self._fed = self._unfed[self._fed :] + data, 0
        else:
            self._unfed, self._fed = data, 0
            self._read_at = monotonic()
            if not self._heard or self._server.loop_monitor.late():
                # It may have lain in the kernel, before its accept or while the loop was busy.
                self._heard = True
                age_s = data_age(self._sock)
                self._read_at -= age_s
                if age_s >= AGED_S and has_ended(self._sock):
                    # Its client sent and left before anybody read: what follows would be work for nobody.
                    self.abort()
                    return
                if age_s >= AGED_S and not self._server.pressed():
                    # The loop stood still, and with little open no beat told of it. A list that came
                    # meanwhile is taken in the next turn: a drain in it counts from when it was written, so
                    # it comes first.
                    self._server.loop.call_soon(self._advance)
                    return
            if self._server.pressed() and self.idle(unfed=False):
                # Whoever is refused has cost no parser; whoever is not waits for it unparsed.
                seen = preview_request(data)
                route = None if seen is None else self._server.route(seen.kind)
                if seen is not None and route is not None:
                    wait_s = self._server.wait_s(route, seen.wait_ms)
                    if not self._line_up(
                        self._read_at, wait_s, route, self._server.tenant(seen.tenant)
                    ):
                        self._unfed = b""
                        self._shed(route)
                    return
        if self._waiting is not None:
            self._pause(
                True
            )  # it asks for more while it waits for its turn: that can wait in the kernel
        else:
            self._advance()

    def _pause(self, wait: bool) -> None:
        if wait != self._paused and self._transport is not None:
            self._paused = wait
            self.blind = self.blind or wait
            (self._transport.pause_reading if wait else self._transport.resume_reading)()

    def _line_up(self, since: float, wait_s: float, route: int, tenant: int) -> bool:
        """Wait for the core's turn; False if there will be none in time."""
        self._waiting = self._server.line_up(self, since, wait_s, route, tenant)
        return self._waiting is not None

    def _feed(self) -> None:
        """Parse what was read, no further ahead than a client needs; the rest waits, as the client must."""
        while (
            self._unfed
            and len(self._backlog) < AHEAD
            and not self._ended
            and self._parser is not None
        ):
            step = BODY_SLICE if self._partial and not self._head else SLICE
            data = self._unfed[self._fed : self._fed + step]
            self._fed += step
            if self._fed >= len(self._unfed):
                self._unfed, self._fed = b"", 0
            complete = self._complete
            try:
                self._parser.feed_data(data)
                if self._partial and complete == self._complete:
                    # A header without end, or an endless extension of a chunk, reaches no callback.
                    self._received += len(data)
                    if self._head and self._received > HEAD_LIMIT:
                        raise BadRequestError(431, "head too long")
                    if self._received > FRAMED * (HEAD_LIMIT + self._size):
                        raise BadRequestError(413, "request too long")
            except httptools.HttpParserUpgrade:
                # The offer is not taken up: the request is served, and what follows is not HTTP any more.
                self._ended, self._backlog[-1].keep = True, False
            except (httptools.HttpParserError, BadRequestError) as error:
                bad = error if isinstance(error, BadRequestError) else self._bad
                bad = bad or BadRequestError(400, f"not HTTP: {error}")
                self._ended = True
                parts = self._url.partition(b"?")[0].split(b"/")
                route = (
                    self._server.route(parts[1]) if bad.status == 503 and len(parts) > 1 else None
                )
                self._backlog.append(
                    self._unfit(bad.status, str(bad), -1 if route is None else route)
                )
        if self._ended:
            self._unfed, self._fed = b"", 0
        elif self._partial and not self._serving:
            self._server.writes(self, not self._head)
            if not (self._head or self._size or self._backlog or self._told) and self._expects():
                self._continue()
        self._pause(bool(self._unfed) and not self._ended)

    def _unfit(self, status: int, why: str, route: int = -1) -> _Pending:
        """What becomes of a request that can't be taken: nothing of it is kept."""
        self._body, held, self._taking = bytearray(), self._taking, 0
        return _Pending(None, status, False, why, route=route, held=held)

    # The parser's side.

    def on_message_begin(self) -> None:
        self._begin()
        self._partial = True
        if not self._serving:
            self.last_change = monotonic()

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._size += len(url)
        if self._size > HEAD_LIMIT:
            self._reject(431, "head too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._head:
            return  # a trailer: it must not stand in for a header that was checked
        self._headers.append((name, value.strip()))
        self._size += len(name) + len(value) + 4
        if self._size > HEAD_LIMIT:
            self._reject(431, "head too long")

    def _reject(self, status: int, why: str) -> None:
        """End the parsing from inside a callback; the parser wraps what is raised here."""
        self._bad = BadRequestError(status, why)
        raise self._bad

    def on_headers_complete(self) -> None:
        self._head, self._size = False, 0
        assert self._parser is not None
        try:
            length = check_framing(self._parser.get_http_version(), self._headers)
            if length > self._server.longest_body:
                raise BadRequestError(413, "body too long")
        except BadRequestError as bad:
            self._reject(bad.status, str(bad))

    def _expects(self) -> bool:
        """Whether the client waits for word that it may send the body."""
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                return self._parser is not None and self._parser.get_http_version() == "1.1"
        return False

    def _continue(self) -> None:
        self._told = True
        if self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > SHORT_BODY:
            if self._size > self._server.longest_body:
                self._reject(413, "body too long")
            before = self._size - len(body)
            if not self._hold(self._size if before <= SHORT_BODY else len(body)):
                self._reject(503, "no memory for a body")
        self._body += body

    def _hold(self, size: int) -> bool:
        """Take so many bytes more of what may be held of long bodies."""
        steady()
        if not self._server.buffers.take(size):
            return False
        self._taking += size
        return True

    def _forget_backlog(self) -> None:
        for pending in self._backlog:
            self._held += pending.held
        self._backlog.clear()

    def _let_go(self) -> None:
        self._server.buffers.give(self._held)
        self._held = 0

    def on_message_complete(self) -> None:
        self._partial, self._complete = False, self._complete + 1
        assert self._parser is not None
        keep = self._parser.should_keep_alive()
        try:
            method = self._parser.get_method()
            path = self._url.partition(b"?")[0]
            if path == b"/up" and method == b"GET":
                pending = _Pending(None, self._server.up_status(), keep)
            else:
                request = self._server.check(
                    method, self._url, self._headers, self._body, self._read_at
                )
                pending = _Pending(request, 200, keep, version=self._parser.get_http_version())
        except BadRequestError as bad:
            pending = _Pending(None, bad.status, keep, str(bad))
        if self._taking:
            # The request's alone now, which has an end.
            self._body, pending.held, self._taking = bytearray(), self._taking, 0
        self._backlog.append(pending)

    def _shed(self, route: int) -> None:
        """Turn away a request that no parser has seen."""
        if self._server.on_end is not None:
            self._server.on_end(route, 503)
        self.last_change = monotonic()
        self._complete += 1
        if self._transport is None:
            return
        self._transport.write(self._server.refusal())
        if self._server.draining:
            self._close()
        elif not self._unread:
            self._server.rests(self)

    # One request after another.

    def _advance(self) -> None:
        """Line up the next request, once the answer before it is on its way and was read. One at a time: the
        other connections have their turns in between."""
        if self._advancing:
            return
        self._advancing = True
        try:
            self._feed()
            if not self._backlog or self._waiting is not None or self._serving or self._unread:
                return
            request = self._backlog[0].request
            if request is None:
                self._serve(self._backlog.popleft())
            elif not self._line_up(
                request.since, request.expires - request.since, request.route, request.tenant
            ):
                pending = self._backlog.popleft()
                self._serving, self._keep, self._route = True, pending.keep, pending.route
                self._held = pending.held
                self._refuse()
        finally:
            self._advancing = False

    def begin(self) -> None:
        """The core has time for the request that was lined up."""
        self._waiting = None
        if self._transport is None:
            return
        self._advancing = True
        try:
            self._feed()
        finally:
            self._advancing = False
        if self._backlog:
            self._serve(self._backlog.popleft())

    def _refuse(self) -> None:
        self.answer(Reply(503, None, self._server.retry_after_us))

    def _serve(self, pending: _Pending) -> None:
        self._serving, self._keep, self._version = True, pending.keep, pending.version
        self._held = pending.held
        if pending.request is None:
            if pending.status >= 400 and pending.status != 503:
                log.info("%d: %s", pending.status, pending.why)
            self._route = pending.route
            self.answer(
                Reply(
                    pending.status, None, self._server.retry_after_us if pending.route >= 0 else 0
                )
            )
            return
        self._route = pending.route
        engine = self._server.engine
        if engine.is_open(pending.request.id):
            log.info("400: the id of an open request")
            self.answer(Reply(400))
            return
        request, self._began = pending.request, monotonic()
        # It lay in the kernel, or waited for the answers before it, until nothing could come in time.
        wait_s = request.expires - request.since
        if self._server.admission.hopeless(self._began, request.since, wait_s, request.route):
            self._refuse()
            return
        try:
            opened = engine.accept(request, partial(self._final, request.route), self)
        except Exception:
            log.exception("request %s failed", request.id)
            if self._serving:
                self.answer(Reply(500))
            return
        if self._serving:  # not answered already
            self._opened = opened

    def _final(self, route: int, reply: Reply) -> None:
        """The end of a request that was taken on."""
        if reply.answer is not None:
            self._server.admission.answered(route, monotonic() - self._began)
        self.answer(reply)

    def answer(self, reply: Reply) -> None:
        """The one place that writes to a client, but for `_shed`."""
        if reply.answer is not None and reply.answer.rest is not None:
            self._begin_rest(reply.answer, reply.answer.rest)
            return
        self._opened, self._serving = None, False
        if self._held:
            self._let_go()
        self.last_change = monotonic()
        if self._route >= 0:
            if self._server.on_end is not None:
                self._server.on_end(self._route, reply.status)
            self._route = -1
        if self._transport is None:
            return
        # What was sent ahead has been taken and is owed an answer: the last one says `close`.
        ahead = bool(self._backlog) or bool(self._unfed) or self._partial
        keep = self._keep and (ahead or not self._server.draining)
        lines = [b"HTTP/1.1 %d %b" % (reply.status, REASONS[reply.status])]
        body = b""
        if reply.answer is not None:
            body = reply.answer.body
            if reply.answer.content_type is not None:
                lines.append(b"Content-Type: " + reply.answer.content_type)
        if reply.retry_after_us:
            lines.append(
                b"Retry-After: %.3f" % (self._server.spread.over(reply.retry_after_us) / 1e6)
            )
        lines.append(b"Content-Length: %d" % len(body))
        lines.append(b"Connection: keep-alive" if keep else b"Connection: close")
        self._transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        self._written(keep, ahead)

    def _written(self, keep: bool, ahead: bool) -> None:
        """The answer is on its way: the next one, rest, or the end."""
        if keep:
            if ahead:
                self._server.loop.call_soon(self._advance)
            elif not self._unread:
                self._server.rests(self)
        else:
            self._close()

    # A long answer, which goes on as it comes.

    def _begin_rest(self, answer: Answer, rest: Rest) -> None:
        self._opened = None
        if self._held:
            self._let_go()
        self.last_change = monotonic()
        if self._transport is None:
            return  # with nobody to take the rest its connection ends
        self._rest = rest
        self._server.streams += 1
        self._chunked = answer.length < 0 and self._version == "1.1"
        lines = [b"HTTP/1.1 200 OK"]
        if answer.content_type is not None:
            lines.append(b"Content-Type: " + answer.content_type)
        if self._chunked:
            lines.append(b"Transfer-Encoding: chunked")
        elif answer.length >= 0:
            lines.append(b"Content-Length: %d" % answer.length)
        else:
            self._keep = False  # it ends with the connection
        if self._server.draining:
            self._keep = False
        lines.append(b"Connection: keep-alive" if self._keep else b"Connection: close")
        self._transport.write(b"\r\n".join(lines) + b"\r\n\r\n")
        rest.on_data, rest.on_end = self._more, self._rest_ended
        if answer.body:
            self._more(answer.body)

    def _more(self, data: bytes) -> None:
        if self._transport is None or self._rest is None:
            return
        self._transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)
        if self._unread:
            self._rest.pause()

    def _rest_ended(self, whole: bool) -> None:
        """The host has given all, or nothing more comes: then the client is to see that it has not all."""
        self._rest, self._serving = None, False
        self._server.streams -= 1
        if self._server.on_end is not None and self._route >= 0:
            self._server.on_end(self._route, 200 if whole else 502)
        self._route = -1
        self.last_change = monotonic()
        if self._transport is None:
            return
        if not whole:
            log.info("a long answer broke off")
            # By a reset: where the end of the body is the connection's an orderly close would look whole.
            with suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self._server.closes(self)
            self._transport.abort()
            return
        if self._chunked:
            self._transport.write(b"0\r\n\r\n")
        ahead = bool(self._backlog) or bool(self._unfed) or self._partial
        self._written(self._keep, ahead)

    def break_off(self) -> None:
        """The process ends: a long answer on its way ends so that its client can tell that it is not whole.
        By an orderly close, as the system makes of it at exit, one whose end is the connection's would look
        so."""
        rest = self._rest
        if rest is not None:
            rest.abandon()
            self._rest_ended(False)

    def _close(self) -> None:
        """End the connection after its last answer. A close on unread bytes would reset it and could take
        the answer along, so the sending side ends first and what still comes is thrown away for a while."""
        self._ended = True
        self._forget_backlog()
        self._unfed = b""
        if self._transport is not None:
            self._pause(False)
            if not self._unread:
                self._server.leaves(self)
            if self._transport.can_write_eof():
                self._transport.write_eof()
            self._server.loop.call_later(LINGER_S, self._linger)

    def _linger(self) -> None:
        """The client had its time to read why; not so while its answer has not even left this process."""
        if self._unread and self._transport is not None:
            self._server.loop.call_later(
                LINGER_S, self._linger
            )  # `sweep` ends one that takes nothing
        else:
            self.abort()

    # Moving to another process of this gateway.

    def hold(self) -> int | None:
        """Read nothing more, and give a copy of the descriptor: `brought` is what goes with it. None where
        the connection is not between two requests. Bytes that come wait in the kernel for whoever reads
        next."""
        if self._transport is None or self._unread or not self.idle():
            return None
        try:
            copy = os.dup(self._sock.fileno())
        except OSError:
            return None
        self._pause(True)
        self._serving = True  # nobody ends it meanwhile
        self._server.awake(self)
        return copy

    @property
    def brought(self) -> int:
        """How many requests it has brought."""
        return self._complete

    def carry_on(self) -> None:
        """It stays here after all."""
        self._serving = False
        if self._transport is not None:
            self._pause(False)
            self._server.rests(self)

    def leave(self) -> None:
        """It is another process's now: its client hears nothing of that."""
        self._serving, self._ended = False, True
        self._server.closes(self)
        if self._transport is not None:
            self._transport.abort()

    def arrives(self, brought: int) -> None:
        """It comes from another process, between two requests."""
        self._complete = brought

    def eof_received(self) -> bool:
        return False  # the client has closed: the transport closes too, and an open request departs

    def abort(self) -> None:
        """End it at once. The loop gets round to the close a turn later only, and turns of a busy core are
        long: a client would go on sending meanwhile, and be reset."""
        self._server.closes(self)
        if self._transport is not None:
            with suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)
            self._transport.abort()

    # What the server asks.

    def idle(self, unfed: bool = True) -> bool:
        """Whether it is between two requests; `unfed` says whether bytes that were read and not parsed
        count."""
        busy = (
            self._serving
            or self._waiting is not None
            or self._backlog
            or self._partial
            or self._ended
        )
        return not (busy or (unfed and self._unfed))

    def gone(self) -> bool:
        """Whether the client has closed, also where that was not read yet; then its connection ends."""
        if self._transport is None:
            return True
        if not has_ended(self._sock):
            return False
        self.abort()
        return True

    def may_end(self) -> bool:
        """Whether it is between two requests with nothing on its way, in either direction, that is known
        of."""
        return self.idle() and not self._unread and not self.unread()

    def unread(self) -> bool:
        """Whether bytes have come that this process has not read yet."""
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _patience(self) -> float:
        """Seconds for what has come of a request to have come."""
        if self._server.longest_body == SHORT_BODY:
            return RECEIVE_S
        return HEAD_S if self._head else HEAD_S + self._size / RATE

    def sweep(self, now: float) -> None:
        """Ends what takes too long. Guards the descriptors against clients that come and say nothing."""
        waited = now - self.last_change
        if self._unread and self._transport is not None:
            left = self._transport.get_write_buffer_size() + unacknowledged(self._sock)
            if left != self._left:
                self._left, self.last_change = left, now
            elif waited > UNREAD_S:
                self.abort()
        elif self._partial and not self._serving and not self._ended and waited > self._patience():
            self._ended = True
            self._backlog.append(self._unfit(408, "request not whole in time"))
            self._advance()
        elif self.idle():
            limits = (RECEIVE_S, IDLE_ONCE_S)  # by the requests that it has brought
            limit = limits[self._complete] if self._complete < len(limits) else IDLE_S
            if (
                waited > limit and not self.unread()
            ):  # a loop that runs late may not have read it yet
                self.abort()


def refusal(end: bytes, retry_after_us: int) -> bytes:
    """A whole 503; `end` is what becomes of the connection."""
    lines = [b"HTTP/1.1 503 Service Unavailable"]
    if retry_after_us:
        lines.append(b"Retry-After: %.3f" % (retry_after_us / 1e6))
    return b"\r\n".join([*lines, b"Content-Length: 0", b"Connection: " + end]) + b"\r\n\r\n"


def _within_us(route: Route) -> int:
    """The time in which an answer has worth."""
    return (
        route.latency_objective_us
        if route.latency_objective_us and not route.late_weight
        else route.deadline_us
    )


def _places(descriptors: Descriptors) -> int:
    """For clients; the other half is the hosts': each request needs one there."""
    return max(1, descriptors.limit // 2)


class Server:
    """All client connections of the gateway."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        engine: Engine,
        descriptors: Descriptors,
        make_room: Callable[[], bool],
        loop_monitor: EventLoopMonitor,
    ) -> None:
        self.loop, self.engine, self.loop_monitor = loop, engine, loop_monitor
        self._descriptors, self._make_room = descriptors, make_room
        places = _places(descriptors)
        self._routes = {route.name: i for i, route in enumerate(config.settings.routes)}
        self._effects = [route.idempotency for route in config.settings.routes]
        self._deadlines = [route.deadline_us / 1e6 for route in config.settings.routes]
        self.retry_after_us = (
            config.settings.max_retry_after_us if config.settings.retry_after_allowed else 0
        )
        self.longest_body = config.longest_body
        self.buffers = Buffers(config.buffers)
        self._tenants = {name: i for i, name in enumerate(config.tenants)}
        told = config.settings
        self.admission = Admission(
            [Lane(route.priority_weight, _within_us(route) / 1e6) for route in told.routes],
            told.over_quota_weight,
            [quota / told.gateway_count for quota in told.tenant_quotas_per_s],
            config.cores,
            places,
        )
        self.spread = Spread(config.seed % 997 / 997)
        # Made ahead, with times spread like those of the answers that are made one by one.
        self._refusals = [
            refusal(b"keep-alive", self.spread.over(self.retry_after_us)) for _ in range(REFUSALS)
        ]
        self._next_refusal = 0
        self.connection_limit: ConnectionLimit[ClientConnection] = ConnectionLimit(
            places, ClientConnection.unread
        )
        engine.on_capacity = self._places
        self._turning = False
        self._hold: asyncio.TimerHandle | None = (
            None  # the one timer of the turns that begin nothing
        )
        self._refused = 0  # of the refusals, those that the log knows of
        self._refusing = False
        self.draining = False
        self.answers_by = float("inf")  # monotonic time by which each answer has to be out
        self.streams = 0  # long answers on their way
        # Told of each request's end, with its class and the status of its answer.
        self.on_end: Callable[[int, int], None] | None = None
        self._away_s = 0.0  # CPU time left for turning away
        self._looked_s = 0.0  # CPU time that the process had used when that was counted
        self._freed, self._freed_at = 1, 0.0  # connections to hosts that made room last, and when
        self._acceptor = Acceptor(loop, self._take, self._may_accept, self.left)

    def listen(self, listener: socket.socket) -> None:
        self._acceptor.listen(listener)

    def pause(self) -> None:
        """Accept nothing more for now; the listener is the caller's."""
        self._acceptor.pause()

    def resize(self) -> None:
        """The number of descriptors has changed."""
        places = _places(self._descriptors)
        self.connection_limit.resize(places)
        self.admission.resize(places)

    def _may_accept(self) -> bool:
        """Whether one more can be taken, if only to be turned away. Where not, connections wait in the
        kernel: one that is taken and ended would lose what it has sent."""
        room = self.connection_limit
        free = room.has_place() or room.may_exceed() or room.to_end(monotonic()) is not None
        if not free and not (room.may_look() and self._may_look()):
            return False
        if self._descriptors.spare() > -EXCESS:
            return True
        if room.has_place():
            self._free()
        elif (one := room.to_end(monotonic())) is not None:
            # Ended at the accept it would need a descriptor more for that moment, which there is not: nobody
            # would come in until those who hold them all go by themselves.
            one.abort()
            self._acceptor.soon = True
        return False

    def _free(self) -> None:
        """Let connections to hosts make room. What they hold is free in the next turn, and no client is taken
        on it before; twice as many go with each turn in which that was too few."""
        now = monotonic()
        self._freed = min(2 * self._freed, FREED) if now - self._freed_at < FREED_S else 1
        self._freed_at = now
        for _ in range(self._freed):
            if not self._make_room():
                break
            self._acceptor.soon = True

    def yields(self) -> bool:
        """End a client's connection that says nothing for one to a host, where clients hold all their places
        and more; its descriptor is free in the next turn. False: there is none to end. Not one between two
        requests: its client counts on it, and is better off with a refusal of another's request."""
        one = (
            None if self.connection_limit.has_place() else self.connection_limit.to_end(monotonic())
        )
        if one is None or self.connection_limit.stage(one) is ConnectionState.RESTING:
            return False
        one.abort()
        return True

    def _take(self, sock: socket.socket) -> ClientConnection | None:
        """One has been accepted. Past the places another ends for it, if there is one to end; else it is
        turned away, if it has asked for something that can be refused."""
        now, one = monotonic(), None
        if not self.connection_limit.has_place():
            one = self.connection_limit.to_end(now)
            # Those who have said nothing yet may never: they are no reason to refuse one who has.
            full = (
                self.connection_limit.busy >= self.connection_limit.places
                and not self.connection_limit.may_exceed()
            )
            if one is None and self._turn_away(sock, now, full):
                return None
        connection = ClientConnection(self, sock)
        self._descriptors.used += 1
        self.connection_limit.moves(connection, ConnectionState.UNHEARD, now)
        if one is not None:
            one.abort()
            self._acceptor.soon = True
        return connection

    def _may_look(self) -> bool:
        """Whether there is time to turn one away: a part of the CPU time that this process had, so that a
        core with a ration is not used up by refusals."""
        now_s = process_time()
        part = LATE_AWAY_PART if self._acceptor.late else AWAY_PART
        self._away_s = min(AWAY_MOST_S, self._away_s + part * (now_s - self._looked_s))
        self._looked_s = now_s
        return self._away_s > 0.0

    def _turn_away(self, sock: socket.socket, now: float, full: bool) -> bool:
        """Answer a connection's one request with a refusal and close it, all at once, if it would be refused
        or all is `full`: it never comes up. False, with nothing read, where it would not, or where something
        else has come."""
        try:
            sock.setblocking(False)
            data = sock.recv(LONGEST, socket.MSG_PEEK)
            if data:
                seen = preview_request(data)
                route = None if seen is None else self.route(seen.kind)
                if seen is None or route is None:
                    return False
                age_s = data_age(sock)
                self._acceptor.late = age_s > OUTSIDE_S
                wait_s, tenant = self.wait_s(route, seen.wait_ms), self.tenant(seen.tenant)
                held = self.connection_limit.places + 1 if full else self.connection_limit.busy + 1
                if not self.admission.turns_away(now, now - age_s, wait_s, route, tenant, held):
                    return False
                if self.on_end is not None:
                    self.on_end(route, 503)
                sock.recv(LONGEST)  # a close on unread bytes would take the answer along
                sock.send(refusal(b"close", self.spread.over(self.retry_after_us)))
        except BlockingIOError:
            return False
        except OSError:
            pass  # its client has gone
        sock.close()
        self._away_s -= AWAY_S
        return True

    def adopt(self, sock: socket.socket, brought: int) -> None:
        """A connection comes from another process of this gateway, between two requests."""
        sock.setblocking(False)
        connection = ClientConnection(self, sock)
        connection.arrives(brought)
        self._descriptors.used += 1
        self.connection_limit.moves(connection, ConnectionState.RESTING, monotonic())
        self._acceptor.start(sock, connection)

    @property
    def in_flight(self) -> int:
        """Requests that were read and wait for their answer."""
        return self.admission.waiting + self.engine.unanswered + self.streams

    def up_status(self) -> int:
        return 200 if self.engine.ready and not self.draining else 503

    def writes(self, connection: ClientConnection, body: bool) -> None:
        """Part of a request has come, of its `body` where that has begun: it gets on. Whoever sends its head
        in pieces does not, and a connection with a request that waits for its turn is busy."""
        stage = self.connection_limit.stage(connection)
        if (
            stage is not None
            and stage is not ConnectionState.BUSY
            and (body or stage is not ConnectionState.WRITING)
        ):
            self.connection_limit.moves(connection, ConnectionState.WRITING, monotonic())

    def awake(self, connection: ClientConnection) -> None:
        """A whole request has come: the connection is not ended to make room."""
        if self.connection_limit.stage(connection) is not None:
            self.connection_limit.moves(connection, ConnectionState.BUSY, monotonic())

    def rests(self, connection: ClientConnection) -> None:
        """It is between two requests."""
        if self.connection_limit.stage(connection) is None:
            return
        now = monotonic()
        self.connection_limit.moves(connection, ConnectionState.RESTING, now)
        for _ in range(OVERSTAYED):
            longest = self.connection_limit.overstayed(now)
            if longest is None or longest is connection:
                return
            longest.abort()

    def leaves(self, connection: ClientConnection) -> None:
        """It has its last answer, and needs no more than time to read it."""
        if self.connection_limit.stage(connection) is not None:
            self.connection_limit.moves(connection, ConnectionState.LEAVING, monotonic())

    def closes(self, connection: ClientConnection) -> None:
        """Ended, though its descriptor is in use until the loop comes round to it."""
        self.connection_limit.left(connection)

    def left(self, connection: ClientConnection) -> None:
        """Its descriptor is free."""
        self._descriptors.used -= 1
        self.closes(connection)

    # The core's time.

    def pressed(self) -> bool:
        """Whether some may have to be refused: then a request is looked at before it costs a parser."""
        return (
            self.admission.waiting > 0
            or 2 * self.connection_limit.busy > self.connection_limit.places
        )

    def route(self, kind: bytes) -> int | None:
        """The class that the first part of a path names."""
        return self._routes.get(
            unquote(kind.decode("latin-1")) if b"%" in kind else kind.decode("latin-1")
        )

    def wait_s(self, route: int, told_ms: int | None) -> float:
        """For how long a client waits: what it told, and its class's deadline at the most."""
        return (
            self._deadlines[route]
            if told_ms is None
            else min(told_ms / 1000, self._deadlines[route])
        )

    def tenant(self, name: bytes) -> int:
        return self._tenants.get(name.decode("latin-1"), -1)

    def line_up(
        self, connection: ClientConnection, since: float, wait_s: float, route: int, tenant: int
    ) -> Waiting | None:
        """Let a request wait for its turn, or None: it is to be refused."""
        now, held = (
            monotonic(),
            self.connection_limit.busy
            + (self.connection_limit.stage(connection) is not ConnectionState.BUSY),
        )
        waiting = self.admission.join(now, since, wait_s, route, tenant, held, connection)
        if waiting is not None:
            self.awake(connection)
            if (
                self._hold is None
            ):  # else it is looked at soon, and by `_places` as soon as there is room
                self._places()
        return waiting

    def _turn(self) -> None:
        """Begin what has waited, for a slice of time; then sockets are read again, answers of hosts among
        them."""
        self._turning = False
        if self._hold is not None:
            self._hold.cancel()
            self._hold = None
        now = monotonic()
        self.admission.used(now, process_time())
        self.loop_monitor.busy = self.admission.busy
        end = now + self.admission.slice_s(now)
        while (
            now < end
            and (held := self._holds()) is False
            and (one := self.admission.take()) is not None
        ):
            self._begin(one)
            now = monotonic()
        self.admission.sliced(now)
        if not self.admission.waiting:
            return
        if held:
            # `_places` comes as soon as there is room; this is for when the core gets less busy meanwhile.
            while (one := self.admission.take_overdue(now)) is not None:
                self._begin(one)
            self._hold = self.loop.call_later(HOLD_S, self._places)
        else:
            self._turning = True
            self.loop.call_soon(self._turn)

    def _begin(self, one: object) -> None:
        assert isinstance(one, ClientConnection)
        try:
            one.begin()
        except Exception:  # one request's fault must not cost the others theirs
            log.exception("a request could not begin")
            one.answer(Reply(500))

    def _holds(self) -> bool:
        """Whether the module is left with what it has. A core that is busy gets round to answers late, so
        places at hosts are taken for longer and requests queue in the module, where each makes all others
        dearer. One a host may wait there, for the places that become free before this loop comes round."""
        return self.admission.busy and self.engine.queued > len(self.engine.hosts)

    def _places(self) -> None:
        """The module may have room for more."""
        if self.admission.waiting and not self._turning:
            self._turning = True
            self.loop.call_soon(self._turn)

    def _tell(self) -> None:
        """One line when refusals begin, and one when they have ended."""
        refused, self._refused = self.admission.refused - self._refused, self.admission.refused
        if (refused > 0) != self._refusing:
            self._refusing = refused > 0
            if self._refusing:
                log.warning(
                    "refusing: %d requests wait, at %.2f ms each",
                    self.admission.waiting,
                    self.admission.cost_s * 1000,
                )
            else:
                log.info("no longer refusing")

    def refusal(self) -> bytes:
        """A whole answer that turns a request away."""
        if self.draining:
            return refusal(b"close", self.spread.over(self.retry_after_us))
        self._next_refusal = (self._next_refusal + 1) % len(self._refusals)
        return self._refusals[self._next_refusal]

    def check(
        self,
        method: bytes,
        url: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytearray,
        since: float,
    ) -> ClientRequest:
        """A request that may go on, or `BadRequestError`."""
        parts = url.partition(b"?")[0].split(b"/")
        if len(parts) < 2 or parts[0] or not parts[1]:
            raise BadRequestError(404, "no such path")
        route = self.route(parts[1])
        if route is None:
            raise BadRequestError(400 if len(parts) == 3 else 404, "no such class")
        single: dict[bytes, bytes] = {}
        kept = [b"%b %b HTTP/1.1" % (method, url)]
        for name, value in headers:
            lower = name.lower()
            if lower in single and lower in SINGLE:
                raise BadRequestError(400, f"two headers {lower.decode()}")
            single[lower] = value
            if lower not in HOP_BY_HOP:
                kept.append(name + b": " + value)
        safe, keyed = (
            self._effects[route] is Idempotency.IDEMPOTENT,
            self._effects[route] is Idempotency.KEYED,
        )
        if method != (b"GET" if safe else b"POST"):
            raise BadRequestError(400, "wrong method for the class")
        if safe and body:
            raise BadRequestError(400, "a body with GET")
        if keyed != bool(single.get(b"idempotency-key")):
            raise BadRequestError(400, "Idempotency-Key and class do not go together")
        request_id = single.get(b"request-id", b"").decode("latin-1")
        if not request_id:
            raise BadRequestError(400, "no Request-Id")
        wait = single.get(b"request-timeout-ms", b"")
        if not wait.isdigit() or len(wait) > 12 or int(wait) == 0:
            raise BadRequestError(400, "bad Request-Timeout-Ms")
        if not safe:
            kept.append(b"Content-Length: %d" % len(body))
        hint = single.get(b"work-hint", b"")
        return ClientRequest(
            id=request_id,
            route=route,
            tenant=self.tenant(single.get(b"tenant", b"")),
            key=unquote(parts[-1].decode("latin-1")) if len(parts) > 2 and parts[-1] else None,
            since=since,
            expires=min(since + self.wait_s(route, int(wait)), self.answers_by),
            repeat=single.get(b"client-retry") == b"1",
            work_us=int(hint) if hint.isdigit() and len(hint) < 12 else None,
            head=b"\r\n".join(kept) + b"\r\n",
            # There is no second copy of a long one.
            body=b"" if safe else body if len(body) > SHORT_BODY else bytes(body),
        )

    def sweep(self) -> None:
        now = monotonic()
        for connection in self.connection_limit.connections():
            connection.sweep(now)
        self._tell()

    def stop_listening(self) -> None:
        """The front has stopped sending connections: no more are taken, and idle ones end."""
        self._acceptor.close()
        self.close_idle()

    def break_off(self) -> None:
        """The time is up: what is still on its way is not going to be whole."""
        for connection in self.connection_limit.connections():
            connection.break_off()

    def close_idle(self) -> None:
        """End what is between two requests. Not one that came a moment ago, whose request is on its way, nor
        one whose answer has not left this process."""
        settled = monotonic() - UNHEARD_S
        for connection in self.connection_limit.connections():
            if connection.may_end() and not (
                self.connection_limit.stage(connection) is ConnectionState.UNHEARD
                and connection.last_change > settled
            ):
                connection.abort()
