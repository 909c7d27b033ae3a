"""Clients of drawn deployments: they keep connections, and some of them misbehave.

A client goes on using its open connections until the gateway closes them. New connections go to
the gateways that the front has in turn.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from testbed.drawn.connection import Connection, Fate, Request
from testbed.drawn.deployment import Deployment, Effect
from testbed.drawn.faults import ClientFault

ANSWER_WAIT_S = 1.0  # after the deadline, before a client gives up on an answer
STOPPED_WAIT_S = 6.0  # for what a gateway does with a client that has stopped
SLOW_WRITE_S = 1.5
UNREAD_S = 6.0  # a client that reads nothing stays so long
RESEND_DELAY_S = 0.05
MAX_IDLE_CONNECTIONS = 40  # that clients keep, of each gateway


class Clients:
    """All clients of a run.

    `addresses` are those of the gateways, `takes_new` tells whether the front sends new connections
    to one now, `chance` how likely each kind of fault is now.
    """

    def __init__(
        self,
        deployment: Deployment,
        addresses: list[tuple[str, int]],
        takes_new: Callable[[int], bool],
        chance: Callable[[ClientFault], float],
        draw: random.Random,
    ) -> None:
        self.requests: list[Request] = []
        self.unsent = 0  # no gateway took new connections, and none was open
        self._deployment = deployment
        self._addresses = addresses
        self._takes_new = takes_new
        self._chance = chance
        self._draw = draw
        self._idle: list[list[Connection]] = [[] for _ in addresses]
        self._tasks: set[asyncio.Task[None]] = set()
        self._crowd: list[Connection] = []
        self._next_id = 0

    async def run(self) -> None:
        """Send requests at random times, until cancelled."""
        rate = self._deployment.rate * self._deployment.gateways
        next_at = time.monotonic()
        while True:
            next_at += self._draw.expovariate(rate)
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            task = asyncio.ensure_future(self._serve_one(self._draw.randrange(len(self._idle))))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def settle(self, seconds: float) -> None:
        """Wait for the answers to what was sent, for so long at most, and close everything."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=seconds)
        for task in list(self._tasks):
            task.cancel()
        for connection in [*self._crowd, *(c for idle in self._idle for c in idle)]:
            connection.close()

    async def crowd(self, count: int) -> None:
        """Open idle connections to all gateways, and keep them."""
        for number in range(count):
            connection = Connection(number % len(self._addresses))
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.2):
                    await connection.open(self._addresses[connection.gateway])
                self._crowd.append(connection)

    async def _connection(self, gateway: int) -> Connection | None:
        """An idle connection to the gateway, or a new one; None where there is none."""
        idle = self._idle[gateway]
        while idle:
            connection = idle.pop()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
            connection.close()
        if not self._takes_new(gateway):
            return None
        connection = Connection(gateway)
        try:
            async with asyncio.timeout(2.0):
                await connection.open(self._addresses[gateway])
        except (OSError, TimeoutError):
            return None
        return connection

    async def _serve_one(self, gateway: int) -> None:
        connection = await self._connection(gateway)
        if connection is None:
            self.unsent += 1
            return
        drawn = [
            kind
            for kind in ClientFault
            if kind is not ClientFault.CROWD and self._draw.random() < self._chance(kind)
        ]
        fault = drawn[0] if drawn else None
        keep = False
        try:
            keep = await self._exchange(connection, fault)
        finally:
            if keep and len(self._idle[gateway]) < MAX_IDLE_CONNECTIONS:
                self._idle[gateway].append(connection)
            else:
                connection.close()

    def _new_request(self, connection: Connection, like: Request | None = None) -> Request:
        """Draw a request; one behind another waits as long, since answers come in order."""
        self._next_id += 1
        number = self._draw.randrange(len(self._deployment.classes))
        if like is not None:
            number = like.class_index
        deadline_s = self._deployment.classes[number].deadline_s
        fraction = 1.0 if self._draw.random() < 0.6 else self._draw.uniform(0.2, 1.0)
        request = Request(
            f"r{self._next_id:x}",
            number,
            connection.gateway,
            max(0.05, round(deadline_s * fraction, 3)) if like is None else like.client_timeout_s,
            first_on_connection=connection.requests == 0,
        )
        self._count(connection, request)
        return request

    def _count(self, connection: Connection, request: Request) -> None:
        connection.requests += 1
        self.requests.append(request)

    def _message(self, request: Request) -> bytes:
        drawn = self._deployment.classes[request.class_index]
        lines = [
            f"{'GET' if drawn.effect is Effect.SAFE else 'POST'} /{drawn.name}/k HTTP/1.1",
            "Host: g",
            f"Request-Id: {request.id}",
            f"Request-Timeout-Ms: {round(request.client_timeout_s * 1000)}",
        ]
        if self._deployment.quotas:
            lines.append(f"Tenant: t{request.class_index % len(self._deployment.quotas)}")
        body = ""
        if drawn.effect is not Effect.SAFE:
            body = "x" * self._draw.choice((0, 100, 3000))
            lines.append(f"Content-Length: {len(body)}")
        if drawn.effect is Effect.KEYED:
            lines.append(f"Idempotency-Key: key-{request.id}")
        return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()

    async def _exchange(self, connection: Connection, fault: ClientFault | None) -> bool:
        """Send a request and read its answer; returns whether the connection can be used again."""
        request = self._new_request(connection)
        message = self._message(request)
        match fault:
            case ClientFault.STOP:
                await self._stop(connection, request, message)
                return False
            case ClientFault.READ_NOTHING:
                await self._read_nothing(connection, request, message)
                return False
            case ClientFault.LEAVE | ClientFault.COME_AGAIN:
                await self._leave(connection, request, message, fault)
                return False
            case ClientFault.WRITE_SLOWLY:
                if not await self._write_slowly(connection, request, message):
                    return False
            case ClientFault.PIPELINE:
                return await self._pipeline(connection, request, message)
            case _:
                self._send(connection, request, message)
        keep = await self._await_answer(connection, request)
        if request.fate is Fate.UNANSWERED and not request.first_on_connection:
            await self._send_again_if_crossed(request, message)
        return keep

    def _send(self, connection: Connection, request: Request, message: bytes) -> None:
        connection.writer.write(message)
        request.sent_at = time.monotonic()

    async def _await_answer(self, connection: Connection, request: Request) -> bool:
        end = request.sent_at + request.client_timeout_s + ANSWER_WAIT_S
        try:
            async with asyncio.timeout(max(0.0, end - time.monotonic())):
                return await connection.read_answer(request)
        except TimeoutError:
            request.fate = Fate.CUT if request.begun else Fate.UNANSWERED
            request.done_at = time.monotonic()
            request.notes.append("waited")
            return False
        except ValueError as error:  # neither a head nor a body of HTTP
            request.fate = Fate.CUT
            request.done_at = time.monotonic()
            request.notes.append(f"unreadable: {error}")
            return False

    async def _send_again_if_crossed(self, request: Request, message: bytes) -> None:
        """Send a request once more whose connection was closed as it was sent."""
        if "waited" in request.notes or request.done_at - request.sent_at > RESEND_DELAY_S:
            return
        request.notes.append("crossed")
        for gateway in self._draw.sample(range(len(self._addresses)), len(self._addresses)):
            if not self._takes_new(gateway):
                continue
            connection = Connection(gateway)
            try:
                await connection.open(self._addresses[gateway])
            except OSError:
                continue
            repeat = Request(
                request.id, request.class_index, gateway, request.client_timeout_s, True, again=True
            )
            self._count(connection, repeat)
            self._send(connection, repeat, message)
            await self._await_answer(connection, repeat)
            connection.close()
            return

    async def _stop(self, connection: Connection, request: Request, message: bytes) -> None:
        connection.writer.write(message[: self._draw.randrange(1, len(message))])
        request.sent_at = time.monotonic()
        request.fate = Fate.STOPPED
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(STOPPED_WAIT_S):
                await connection.reader.readexactly(1)
        request.done_at = time.monotonic()

    async def _read_nothing(self, connection: Connection, request: Request, message: bytes) -> None:
        transport = connection.writer.transport
        transport.pause_reading()  # type: ignore[attr-defined]
        self._send(connection, request, message)
        request.fate = Fate.UNREAD
        await asyncio.sleep(UNREAD_S)
        request.done_at = time.monotonic()

    async def _leave(
        self, connection: Connection, request: Request, message: bytes, fault: ClientFault
    ) -> None:
        self._send(connection, request, message)
        reading = asyncio.ensure_future(connection.read_answer(request))
        stay_s = self._draw.uniform(0.0, min(1.0, request.client_timeout_s))
        await asyncio.wait([reading], timeout=stay_s)
        if reading.done():
            return
        reading.cancel()
        if self._draw.random() < 0.5:
            with contextlib.suppress(OSError):
                connection.writer.write_eof()
        else:
            connection.close()
        request.fate = Fate.LEFT
        request.done_at = time.monotonic()
        if fault is ClientFault.COME_AGAIN:
            await asyncio.sleep(RESEND_DELAY_S)
            await self._come_again(request, message)
        else:
            await asyncio.sleep(0.5)

    async def _come_again(self, left: Request, message: bytes) -> None:
        connection = Connection(left.gateway)
        if not self._takes_new(left.gateway):
            return
        try:
            await connection.open(self._addresses[left.gateway])
        except OSError:
            return
        request = Request(
            left.id, left.class_index, left.gateway, left.client_timeout_s, True, again=True
        )
        self._count(connection, request)
        self._send(connection, request, message)
        await self._await_answer(connection, request)
        connection.close()

    async def _write_slowly(self, connection: Connection, request: Request, message: bytes) -> bool:
        """Write a request in pieces; returns False where the gateway has ended it before."""
        cuts = sorted(self._draw.randrange(1, len(message)) for _ in range(2))
        for begin, end in zip([0, *cuts], [*cuts, len(message)], strict=True):
            if begin:
                await asyncio.sleep(self._draw.uniform(0.0, SLOW_WRITE_S / 2))
            if connection.reader.at_eof() or connection.writer.is_closing():
                request.fate = Fate.STOPPED
                request.sent_at = request.done_at = time.monotonic()
                return False
            connection.writer.write(message[begin:end])
        request.sent_at = time.monotonic()
        return True

    async def _pipeline(self, connection: Connection, request: Request, message: bytes) -> bool:
        requests = [request, *(self._new_request(connection, request) for _ in range(2))]
        messages = [message, *(self._message(one) for one in requests[1:])]
        connection.writer.write(b"".join(messages))
        for one in requests:
            one.sent_at = time.monotonic()
            one.pipelined = True
        keep = True
        for number, one in enumerate(requests):
            keep = await self._await_answer(connection, one)
            if not keep:
                fate = Fate.BEHIND_CUT if one.fate is Fate.CUT else Fate.UNANSWERED
                self._abandon(requests[number + 1 :], fate)
                break
        return keep

    @staticmethod
    def _abandon(requests: list[Request], fate: Fate) -> None:
        """Note the requests behind an answer after which the connection has ended."""
        for request in requests:
            request.fate = fate
            request.done_at = time.monotonic()
            request.notes.append("behind the end of the connection")
