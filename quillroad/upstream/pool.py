"""The host side: a pool of connections, and one attempt at a time on each with its exact `Outcome`.

An HTTP client library would resend on a broken kept-alive connection by itself and hide whether the last
byte was written. Either would break the rule on duplicated effects, so this file speaks HTTP itself.

Hosts are not trusted to keep to HTTP: an answer that is too long, does not end or cannot be read is a failed
attempt that may have run, and what comes beside an answer never reaches another request.
"""

from __future__ import annotations

import asyncio
import math
import select
from collections.abc import Callable
from functools import partial
from time import monotonic
from typing import NamedTuple, cast

import httptools

from quillroad.balancing.events import Outcome
from quillroad.config import SHORT_BODY, Address, Descriptors
from quillroad.framing import FRAMED
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.overload.heap import steady
from quillroad.overload.socket_age import data_age

HEAD_LIMIT = 16 * 1024
FOLLOW_S = 0.025  # bulk+slow+pieces, seed 5: 99 of 100 short answers were whole 12 ms after their first byte
REST_S = 10.0  # without a byte of a long answer's rest: longer than hosts pause that still give
INTERIM_LIMIT = 8  # 1xx answers ahead of the one that counts; none or one is usual
SETTLE_S = 0.02  # after an answer, before its connection is used again: time for what comes right behind it
IDLE_PART = 0.5  # part of the hosts' idle time after which a connection is dropped: they must never be first


class Answer(NamedTuple):
    """A host's answer of status 200: whole, or the beginning of a long one and what brings the rest."""

    body: bytes
    content_type: bytes | None
    rest: Rest | None = None
    length: int = -1  # of the whole body in bytes, where the host has told it; -1: it has not


class Rest:
    """The rest of a long answer. Nobody may hold it back: whoever takes it says `pause` while its own side is
    full, and `abandon` when nobody wants it any more. `on_data` gets the bytes, `on_end` whether all of them
    came."""

    def __init__(self, connection: HostConnection) -> None:
        self._connection: HostConnection | None = connection
        self.on_data: Callable[[bytes], None] | None = None
        self.on_end: Callable[[bool], None] | None = None
        self.paused = False
        self.moved = monotonic()  # when it last brought something, or was let go on

    def pause(self) -> None:
        connection = self._connection
        if not self.paused and connection is not None and connection.transport is not None:
            self.paused = True
            connection.transport.pause_reading()

    def resume(self) -> None:
        connection = self._connection
        if self.paused and connection is not None and connection.transport is not None:
            self.paused, self.moved = False, monotonic()
            connection.transport.resume_reading()

    def abandon(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self.on_data = self.on_end = None
            connection.abandon()

    def data(self, data: bytes) -> None:
        self.moved = monotonic()
        if self.on_data is not None and data:
            self.on_data(data)

    def end(self, whole: bool) -> None:
        self._connection = None
        on_end, self.on_data, self.on_end = self.on_end, None, None
        if on_end is not None:
            on_end(whole)


class Host:
    """One host as the list has it, and this gateway's connections to it."""

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address, self.ready = name, address, True
        self.zone = -1  # its place in the settings' list; -1: not in it
        self.started_us: int | None = None
        self.heard = 0.0  # when its last byte was read (monotonic clock)
        self.idle: list[HostConnection] = []  # the most recently used last
        self.connecting: set[Attempt] = set()

    def drop_idle(self) -> None:
        for connection in list(self.idle):
            connection.drop()


Done = Callable[
    [Outcome, Answer | None, float], None
]  # with the monotonic time at which it came about


class Attempt:
    """One copy of a request on its way to one host. `done` is called exactly once, never from `start`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        loop_monitor: EventLoopMonitor,
        host: Host,
        timeout_s: float,
        done: Done,
        vanished_s: float,
        latest: float = math.inf,
    ) -> None:
        self.host, self.began, self._vanished_s = host, monotonic(), vanished_s
        self._loop_monitor = loop_monitor
        self.latest = latest  # monotonic time after which no byte of it may go out
        self._done: Done | None = done
        self._timer = loop.call_at(self.began + max(0.0, timeout_s), self._expire)
        self.connection: HostConnection | None = None
        self.task: asyncio.Task[None] | None = None

    @property
    def over(self) -> bool:
        return self._done is None

    @property
    def connecting(self) -> bool:
        """Whether no byte of it can have gone out, since its connection is not up."""
        return self in self.host.connecting

    def _expire(self) -> None:
        """Its time is up, unless its answer has come and could not be read yet."""
        if self._loop_monitor.stalled():
            self._loop_monitor.hold(self._end, Outcome.TIMEOUT)
        else:
            self._end(Outcome.TIMEOUT)

    def cancel(self) -> None:
        """Stop waiting. The host reads the closed connection as giving up."""
        self._end(Outcome.CANCELLED)

    def _end(self, outcome: Outcome) -> None:
        """Given up from this side: whatever still comes on the connection belongs to nobody, so it goes."""
        if self.over:
            return
        connection, task, connecting = self.connection, self.task, self.connecting
        if connecting:  # no byte went out, whatever the reason to stop
            outcome = Outcome.CONNECT_FAILED if outcome is Outcome.TIMEOUT else Outcome.NOT_SENT
        self.finish(outcome)
        if connection is not None:
            connection.drop()
            long = outcome is Outcome.TIMEOUT or self.began < monotonic() - self._vanished_s
            if long and self.host.heard < self.began:
                # Not a byte from it in all that time: it may have vanished, and then every connection kept to
                # it would hang as long again. A new one tells within the limit for connects. A copy that soon
                # lost to a quicker one says nothing of the kind, and cost a busy host all its connections.
                self.host.drop_idle()
        elif task is not None:
            task.cancel()

    def withdraw(self) -> None:
        """The host has left service, or the client has, while the connection was coming up:
        nothing was sent."""
        self._end(Outcome.NOT_SENT)

    def finish(
        self, outcome: Outcome, answer: Answer | None = None, at: float | None = None
    ) -> None:
        done, self._done = self._done, None
        if done is None:
            return
        self._timer.cancel()
        self.host.connecting.discard(self)
        if self.connection is not None:
            self.connection.attempt = None
            self.connection = None
        done(outcome, answer, monotonic() if at is None else at)


class HostConnection(asyncio.Protocol):
    """One connection to a host: carries one attempt at a time, or is idle."""

    def __init__(self, upstream: Upstream, host: Host) -> None:
        self.upstream, self.host = upstream, host
        self.attempt: Attempt | None = None
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self.counted = True  # holds a descriptor, from the connect on
        self._unsent = False
        self._rest: Rest | None = None  # of the long answer that is coming in
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._poll = select.poll()
        self._stall: asyncio.TimerHandle | None = None
        self._clear()

    def _clear(self) -> None:
        self._received = self._interim = 0
        self._begin()

    def _begin(self) -> None:
        self._headers: dict[bytes, bytes] = {}
        self._size = 0
        self._body = bytearray()
        self._length, self._limit = -1, SHORT_BODY  # told of the body; most of it, in bytes
        self._head = True
        self._partial = self._complete = self._excess = self._keep = False
        self._status = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass of it
        # With the marks at 0 `pause_writing` stands for "bytes left in this process", `resume_writing` for
        # "the kernel has the last byte": what parts a failed connection from a reset.
        self.transport.set_write_buffer_limits(high=0)
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def pause_writing(self) -> None:
        self._unsent = True

    def resume_writing(self) -> None:
        self._unsent = False
        self.upstream.written += 1

    def send(self, attempt: Attempt, request: bytes, body: bytes | bytearray) -> None:
        assert self.transport is not None
        self._clear()
        self.attempt, attempt.connection = attempt, self
        self.transport.write(request)
        if body:
            self.transport.write(body)
        if not self._unsent:
            self.upstream.written += 1

    def drop(self) -> None:
        """Close, also with bytes unsent. Its descriptor is in use until the loop comes round to that."""
        if self.transport is not None:
            self.upstream.closes(self)
            self.transport.abort()

    def closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def unread(self) -> bool:
        """Whether bytes, or the end, have come that this process has not read yet: a close, or more than
        belonged to the last answer, which would be taken for the next one's."""
        return bool(self._poll.poll(0))

    def connection_lost(self, exc: Exception | None) -> None:
        self.upstream.forget(self)
        self._quiet()
        self._parser = None  # it refers back to this: a cycle would wait for the collector
        if self._rest is not None:
            self._end_rest(False)
        if self.attempt is not None:
            self.attempt.finish(Outcome.CONNECT_FAILED if self._unsent else Outcome.RESET)

    def data_received(self, data: bytes) -> None:
        if self._rest is not None:
            self._more(data)
            return
        attempt = self.attempt
        if attempt is None or self._parser is None:
            self.drop()  # bytes that no request asked for: the next answer could not be told from them
            return
        self.host.heard = at = monotonic()
        if self.upstream.loop_monitor.late() and self.transport is not None:
            # Judged by when it came, not by when this process got round to it.
            at -= data_age(self.transport.get_extra_info("socket"))
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._excess = True
        if self._complete:
            self._answered(attempt, at)
        elif self._excess or (self._received > HEAD_LIMIT and self._received > self._most()):
            self._spoilt()
        elif self._status == 200 and not self._head and max(self._size, self._length) > SHORT_BODY:
            self._begin_rest(attempt, at)
        elif self._partial:
            self._quiet()
            if self._open_ended():
                # Whether it is a long one nobody knows: its first bytes are not held back for that.
                self._stall = self.upstream.soon(partial(self._begin_rest, attempt, at))
            else:
                self._stall = self.upstream.later(self._spoilt)

    def _open_ended(self) -> bool:
        """Whether some of an answer has come that may be passed on and does not tell how long it is."""
        return self._status == 200 and self._size > 0 > self._length and self._limit > SHORT_BODY

    def _most(self) -> int:
        """Bytes that may have come for what was understood of the answer so far."""
        return HEAD_LIMIT if self._head else FRAMED * (HEAD_LIMIT + self._size)

    def _answered(self, attempt: Attempt, at: float) -> None:
        """The answer is whole."""
        self._quiet()
        outcome = self._outcome()
        answer = None
        if outcome is Outcome.SUCCESS:
            answer = Answer(bytes(self._body), self._headers.get(b"content-type"))
        self.attempt = attempt.connection = None
        self._done_with(True)
        attempt.finish(outcome, answer, at)

    def _done_with(self, whole: bool) -> None:
        """The answer is over: keep the connection where it can carry another."""
        if whole and self._keep and not self._excess and not self._unsent:
            self.upstream.release(self)
        else:
            self.drop()

    def eof_received(self) -> bool:
        """The host ends its side. An answer that it said would end so is whole then."""
        if self._partial and not self._head and self._length < 0 and self._by_close():
            self._complete, self._partial, self._keep = True, False, False
            if self._rest is not None:
                self._end_rest(True)
            elif self.attempt is not None:
                self._answered(self.attempt, monotonic())
        return False  # the transport closes

    def _by_close(self) -> bool:
        """Whether the answer's end is the connection's. Said in so many words alone: of an answer cut short
        in its head the rest of the body must not pass for the whole."""
        told = self._headers
        if self._status != 200 or b"transfer-encoding" in told or self._parser is None:
            return False
        return (
            told.get(b"connection", b"").lower() == b"close"
            or self._parser.get_http_version() == "1.0"
        )

    # A long answer: the attempt is over with its first bytes, and the rest goes through as it comes.

    def _begin_rest(self, attempt: Attempt, at: float) -> None:
        self._quiet()
        if attempt is not self.attempt or self._complete:
            return  # the rest came after all, while this waited for the loop
        steady()
        self._rest = rest = Rest(self)
        self.upstream.rests.add(self)
        answer = Answer(bytes(self._body), self._headers.get(b"content-type"), rest, self._length)
        self._body.clear()
        self.attempt = attempt.connection = None
        attempt.finish(Outcome.SUCCESS, answer, at)
        if rest.on_end is None:  # nobody waits for it any more
            self.abandon()

    def _more(self, data: bytes) -> None:
        rest = self._rest
        assert rest is not None
        self.host.heard = monotonic()
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._excess = True
        body = bytes(self._body)
        self._body.clear()
        if body:
            rest.data(body)
        if self._rest is None:
            return  # given up by whoever took the bytes
        if self._complete:
            self._end_rest(True)
        elif self._excess:
            self._end_rest(False)

    def _end_rest(self, whole: bool) -> None:
        rest, self._rest = self._rest, None
        self.upstream.rests.discard(self)
        good = whole and not self.closing()
        if good and rest is not None:
            rest.resume()  # its last bytes filled the client's side: the next answer here would go unread
        self._done_with(good)
        if rest is not None:
            rest.end(whole)

    def abandon(self) -> None:
        """Nobody wants the rest."""
        self._rest = None
        self.upstream.rests.discard(self)
        self.drop()

    def sweep(self, oldest: float) -> None:
        """End a long answer whose host has brought nothing since `oldest`, though it might have."""
        rest = self._rest
        if rest is not None and not rest.paused and rest.moved < oldest:
            self._end_rest(False)

    def _spoilt(self) -> None:
        """The answer cannot be read, or does not end: it may have run, and nothing later on this connection
        can be trusted. Hosts write an answer at once; a rest that does not follow never will."""
        if self._complete:
            return  # the rest came after all, while this waited for the loop
        self._quiet()
        if self.attempt is not None:
            self.attempt.finish(Outcome.ERROR)
        self.drop()

    def _quiet(self) -> None:
        if self._stall is not None:
            self._stall.cancel()
            self._stall = None

    def _outcome(self) -> Outcome:
        if self._status == 200:
            return Outcome.SUCCESS
        if self._status in (503, 504) and self._headers.get(b"not-started") == b"1":
            return Outcome.REJECTED
        return Outcome.ERROR

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        if self._complete:
            self._excess = True
        else:
            self._begin()
            self._partial = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._complete or not self._head:
            return  # more than the answer, or a trailer
        self._size += len(name) + len(value)
        if self._size > HEAD_LIMIT:
            raise ValueError("head too long")
        self._headers[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        if self._complete or self._parser is None:
            return
        self._status, self._size, self._head = self._parser.get_status_code(), 0, False
        length = self._headers.get(b"content-length")
        if length is not None and b"transfer-encoding" not in self._headers:
            self._length = int(length)
        if self._status == 200:  # only an answer that is passed on may be long
            self._limit = self.upstream.longest_body
        if self._length > self._limit:
            raise ValueError("body too long")  # known from the head: not a byte of it is waited for

    def on_body(self, body: bytes) -> None:
        if self._complete:
            return
        self._size += len(body)
        if self._size > self._limit:
            raise ValueError("body too long")
        self._body += body

    def on_message_complete(self) -> None:
        if self._complete or self._parser is None:
            return
        self._partial = False
        if 100 <= self._status < 200:  # an interim answer: the one that counts follows
            self._head, self._interim = True, self._interim + 1
            if self._interim > INTERIM_LIMIT:
                raise ValueError("interim answers without end")
            return
        self._complete, self._keep = True, self._parser.should_keep_alive()


class Upstream:
    """Starts attempts on pooled connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: Descriptors,
        connect_timeout_s: float,
        idle_s: float,
        loop_monitor: EventLoopMonitor,
        longest_body: int = SHORT_BODY,
    ) -> None:
        self.loop_monitor, self.longest_body = loop_monitor, longest_body
        self._loop, self._descriptors = loop, descriptors
        self._connect_timeout_s, self._idle_s = connect_timeout_s, idle_s * IDLE_PART
        self._tasks: set[asyncio.Task[None]] = set()
        self.rests: set[HostConnection] = set()  # that bring long answers
        self._idle: dict[HostConnection, None] = {}  # all hosts' idle ones, the longest idle first
        self._closing: set[HostConnection] = set()  # dropped, and not closed yet
        self.clients_yield: Callable[[], bool] = lambda: (
            False
        )  # ends a client's connection past their part
        self.connects = self.failed_connects = 0  # since the start
        self.written = 0  # attempts whose last byte the kernel has, since the start

    def start(
        self,
        host: Host,
        request: bytes,
        timeout_s: float,
        done: Done,
        body: bytes | bytearray = b"",
        latest: float = math.inf,
    ) -> Attempt:
        """Begin an attempt, of a head and a body, on the connection used last that has settled, which is the
        least likely to be closing and brings nothing that belongs to the answer before. On a new one that
        comes up after the monotonic time `latest` nothing is sent."""
        attempt = Attempt(
            self._loop, self.loop_monitor, host, timeout_s, done, self._connect_timeout_s, latest
        )
        settled = attempt.began - SETTLE_S
        for connection in reversed(host.idle.copy()):
            if connection.idle_since > settled:
                continue
            host.idle.remove(connection)
            self._idle.pop(connection, None)
            if connection.closing():
                continue
            if connection.unread():
                connection.drop()
                continue
            connection.send(attempt, request, body)
            return attempt
        if not host.ready or not self._room():
            self._loop.call_soon(attempt.withdraw)
            return attempt
        host.connecting.add(attempt)
        self.connects += 1
        self._descriptors.used += 1
        connection = HostConnection(self, host)
        attempt.task = self._loop.create_task(self._connect(attempt, connection, request, body))
        self._tasks.add(attempt.task)
        attempt.task.add_done_callback(partial(self._connected, connection))
        return attempt

    @property
    def resting(self) -> int:
        """Connections that carry no request."""
        return len(self._idle)

    def later(self, act: Callable[[], None]) -> asyncio.TimerHandle:
        """After the time that a connect may take: the settings' own measure of a network that is stuck."""
        return self._loop.call_at(monotonic() + self._connect_timeout_s, self._unless_stalled, act)

    def soon(self, act: Callable[[], None]) -> asyncio.TimerHandle:
        """After the time in which the rest of a short answer follows its beginning."""
        return self._loop.call_at(monotonic() + FOLLOW_S, self._unless_stalled, act)

    def _unless_stalled(self, act: Callable[[], None]) -> None:
        if self.loop_monitor.stalled():
            self.loop_monitor.hold(act)
        else:
            act()

    def _connected(self, connection: HostConnection, task: asyncio.Task[None]) -> None:
        """The connect is over. In a callback, since a task cancelled before its first step runs no line of
        its own, and its descriptor would count for ever."""
        self._tasks.discard(task)
        if connection.transport is None:
            self.failed_connects += 1
            self.forget(connection)
        elif task.cancelled():
            # Cancelled in the turn in which it came up: uvloop closes the socket and tells nobody.
            connection.drop()
            self.forget(connection)

    def _room(self) -> bool:
        """Whether one may connect: it takes its descriptor a turn later, when those closing are free."""
        if self.coming() <= 0:
            self.drop_oldest_idle()
        # Clients who say nothing may hold what a request needs. One of theirs for one of these: no more are
        # open for it.
        return self.coming() > 0 or self.clients_yield()

    def coming(self) -> int:
        """Descriptors that are free once all that were dropped have closed."""
        return self._descriptors.spare() + len(self._closing)

    def drop_oldest_idle(self) -> bool:
        """Begin to free one descriptor for someone who needs it: it is free in the next turn."""
        for connection in self._idle:
            connection.drop()
            self._idle.pop(connection)
            connection.host.idle.remove(connection)
            return True
        return False

    def closes(self, connection: HostConnection) -> None:
        """It was dropped, and holds its descriptor until it is closed."""
        if connection.counted:
            self._closing.add(connection)

    async def _connect(
        self, attempt: Attempt, connection: HostConnection, request: bytes, body: bytes | bytearray
    ) -> None:
        host = attempt.host
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await self._loop.create_connection(lambda: connection, *host.address)
        except TimeoutError:
            # After a stall of this process nobody knows whether the host would have been there in time.
            attempt.finish(
                Outcome.NOT_SENT if self.loop_monitor.stalled() else Outcome.CONNECT_FAILED
            )
            return
        except OSError:
            attempt.finish(Outcome.CONNECT_FAILED)
            return
        host.connecting.discard(attempt)
        if attempt.over or not host.ready or monotonic() > attempt.latest:
            connection.drop()
            attempt.finish(Outcome.NOT_SENT)
        elif connection.closing():
            attempt.finish(Outcome.CONNECT_FAILED)
        else:
            connection.send(attempt, request, body)

    def release(self, connection: HostConnection) -> None:
        """Keep a connection for the next attempt, unless its host takes none, or there are more than there
        may be since their number was lowered."""
        held = self._descriptors
        if not connection.host.ready or held.used > held.limit + len(self._closing):
            connection.drop()
            return
        connection.idle_since = monotonic()
        connection.host.idle.append(connection)
        self._idle[connection] = None

    def forget(self, connection: HostConnection) -> None:
        """A connection has ended. Its descriptor counts until then, once."""
        connection.transport = None
        self._closing.discard(connection)
        if connection.counted:
            connection.counted = False
            self._descriptors.used -= 1
        if self._idle.pop(connection, connection) is None:
            connection.host.idle.remove(connection)

    def retire(self, host: Host) -> None:
        """The host drains or is gone: attempts whose first byte has not gone out are called back."""
        host.ready = False
        for attempt in list(host.connecting):
            attempt.withdraw()
        host.drop_idle()

    def sweep(self) -> None:
        """Drop what has been idle for long, before the host does and a request crosses its close, and what
        brings nothing of a long answer any more."""
        for connection in list(self.rests):
            connection.sweep(monotonic() - REST_S)
        oldest = monotonic() - self._idle_s
        for connection in list(self._idle):
            if connection.idle_since > oldest:
                break
            connection.drop()
