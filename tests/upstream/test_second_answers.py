"""Faulty hosts that write an answer twice must not have the second one given to another client."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

import pytest

from quillroad.balancing.events import Outcome
from quillroad.config import SHORT_BODY
from quillroad.upstream.pool import REUSE_DELAY_S, Answer
from tests.net import FakeHost, Message, answer, on_loop, until
from tests.upstream.helpers import UpstreamHarness

MAX_BODY_BYTES = 4 * SHORT_BODY
# The kernel acknowledges the first answers on a connection at once, and delays later ones.
PLAIN_ANSWERS = 3
TWICE = "twice"
# The event loop passes what is written in one of its iterations on in one system call.
WRITE_PAUSE_S = 0.001
LAST_PIECE_BYTES = 10
ROUNDS = 3
# Between a client's answer and its next request: the reuse delay is over, and the delay of an
# acknowledgement (40 ms at least) is not.
PAUSE_S = REUSE_DELAY_S + 0.005


@dataclass(frozen=True)
class SecondAnswers:
    """How a host writes its second answers."""

    nodelay: bool  # TCP_NODELAY is set on its connections
    late_s: float  # from the answer to the second one
    body_bytes: int = 0  # minimum length of a body


class EchoingHost:
    """Answers with the target of each request, and answers a target that ends in `TWICE` twice."""

    def __init__(self, kind: SecondAnswers) -> None:
        self._kind = kind
        self.fake = FakeHost(behave=self._behave)
        self.second_answer_written = asyncio.Event()

    def body(self, target: str) -> bytes:
        """Return the body of the answer to a request for this target."""
        return target.encode().ljust(self._kind.body_bytes, b".")

    async def _behave(self, message: Message, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, self._kind.nodelay)
        target = message.first.split()[1]
        whole_answer = answer(self.body(target))
        if self._kind.body_bytes:  # a long answer ends with a short write of its own
            writer.write(whole_answer[:-LAST_PIECE_BYTES])
            await asyncio.sleep(WRITE_PAUSE_S)
            writer.write(whole_answer[-LAST_PIECE_BYTES:])
        else:
            writer.write(whole_answer)
        if not target.endswith(TWICE):
            return
        await asyncio.sleep(max(WRITE_PAUSE_S, self._kind.late_s))
        writer.write(answer(target.encode()))  # short, as a full segment is never held back
        asyncio.get_running_loop().call_later(WRITE_PAUSE_S, self.second_answer_written.set)


class ReceivedBody:
    """The body of an answer, streamed or not; like a client connection, it takes data at once."""

    def __init__(self, reply: Answer) -> None:
        self._pieces = [reply.body]
        self._ends = [] if reply.stream is not None else [True]
        if reply.stream is not None:
            reply.stream.on_data = self._pieces.append
            reply.stream.on_end = self._ends.append

    async def whole(self) -> bytes:
        """Return the whole body."""
        await until(lambda: bool(self._ends))
        assert self._ends == [True]
        return b"".join(self._pieces)


class StreamingHarness(UpstreamHarness):
    """Requests one after another, each with a target of its own."""

    async def ask(self, target: str) -> bytes:
        """Return the body that the request for this target is answered with."""
        bodies: list[ReceivedBody] = []

        def done(outcome: Outcome, reply: Answer | None, _: float) -> None:
            assert outcome is Outcome.SUCCESS
            assert reply is not None
            bodies.append(ReceivedBody(reply))

        request = f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
        self.upstream.start(self.host, request, 15.0, done)
        await until(lambda: bool(bodies))
        return await bodies[0].whole()


@pytest.mark.parametrize(
    "kind",
    [
        SecondAnswers(nodelay=False, late_s=0.0),
        SecondAnswers(nodelay=False, late_s=0.012),
        SecondAnswers(nodelay=True, late_s=0.0),
        SecondAnswers(nodelay=True, late_s=0.012),
        SecondAnswers(nodelay=False, late_s=0.0, body_bytes=SHORT_BODY + 1),
        SecondAnswers(nodelay=False, late_s=0.012, body_bytes=SHORT_BODY + 1),
    ],
    ids=str,
)
@on_loop
async def test_second_answer_held_back_by_the_hosts_kernel_is_not_given_to_the_next_request(
    kind: SecondAnswers,
) -> None:
    """Without TCP_NODELAY a host's kernel holds a second answer back until the first one is
    acknowledged. If that waited for the next request, its client would get the second answer.
    """
    host = EchoingHost(kind)
    await host.fake.start()
    harness = StreamingHarness(host.fake.address, max_body_bytes=MAX_BODY_BYTES)
    for round_number in range(ROUNDS):
        for number in range(PLAIN_ANSWERS):
            await harness.ask(f"/{round_number}/{number}")
            await asyncio.sleep(PAUSE_S)
        target = f"/{round_number}/{TWICE}"
        assert await harness.ask(target) == host.body(target)
        await asyncio.gather(host.second_answer_written.wait(), asyncio.sleep(PAUSE_S))
        host.second_answer_written.clear()
        next_target = f"/{round_number}/next"
        assert await harness.ask(next_target) == host.body(next_target)
        assert len(host.fake.writers) == round_number + 2  # the next one is on a new connection
