"""The channel over a real local socket, and the decoding of malformed packets."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.upgrade.channel import Channel, pair
from quillroad.upgrade.messages import (
    MAX_CHUNK_BYTES,
    MAX_DESCRIPTORS_PER_MESSAGE,
    AttemptsInFlight,
    BadPacketError,
    Connections,
    Hello,
    Message,
    Reader,
    Release,
    Report,
    State,
    Unknown,
    YieldListener,
    decode,
    packets,
)
from tests.net import on_loop, until

MESSAGES = st.one_of(
    st.builds(Hello, st.integers(0, 99), st.text(max_size=9)),
    st.builds(
        State,
        st.dictionaries(st.text(max_size=5), st.binary(max_size=3 * MAX_CHUNK_BYTES), max_size=2),
        st.booleans(),
    ),
    st.builds(
        AttemptsInFlight,
        st.lists(st.tuples(*[st.integers(0, 2**48)] * 3), max_size=5),
        st.lists(st.text(), max_size=3),
    ),
    st.builds(Report, st.integers(0, 10**9)),
)


@given(st.lists(MESSAGES, max_size=6))
def test_packets_are_reassembled_into_the_sent_messages(messages: list[Message]) -> None:
    reader, got = Reader(), []
    for number, message in enumerate(messages):
        for packet in packets(message, number):
            assert len(packet) <= MAX_CHUNK_BYTES + 32
            if (whole := reader.read(packet)) is not None:
                got.append(whole)
    assert got == messages


@given(st.data())
def test_a_corrupted_lost_duplicated_or_truncated_packet_raises_an_error(
    data: st.DataObject,
) -> None:
    messages: list[Message] = [Hello(1, "x"), State({"a": b"y" * 40_000}, True), YieldListener(7)]
    sent = [
        packet for number, message in enumerate(messages) for packet in packets(message, number)
    ]
    at = data.draw(st.integers(0, len(sent) - 1))
    how = data.draw(st.sampled_from(["corrupted", "lost", "duplicated", "truncated"]))
    if how == "corrupted":
        place = data.draw(st.integers(0, len(sent[at]) - 1))
        changed = bytearray(sent[at])
        changed[place] ^= data.draw(st.integers(1, 255))
        sent[at] = bytes(changed)
        if place == 5:
            return  # the flags byte: no flag is defined, and readers ignore it
    elif how == "lost":
        if at == len(sent) - 1:
            return  # no later packet that would be out of sequence
        del sent[at]
    elif how == "duplicated":
        sent.insert(at, sent[at])
    else:
        sent[at] = sent[at][: data.draw(st.integers(0, len(sent[at]) - 1))]
    reader = Reader()
    with pytest.raises(BadPacketError):
        for packet in sent:
            reader.read(packet)


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_at_most_a_one_line_error(junk: bytes) -> None:
    for read in (Reader().read, decode):
        try:
            read(junk)
        except BadPacketError as error:
            assert "\n" not in str(error)


def test_messages_of_another_version_decode_with_defaults_and_without_unknown_fields() -> None:
    assert decode(b"\x92\xa5hello\x02") == Hello(2)  # an older sender lacks the second field
    # A newer sender has a third field.
    assert decode(b"\x94\xa5hello\x02\xa1x\x09") == Hello(2, "x")
    assert decode(b"\x92\xaainvented-x\x01") == Unknown("invented-x")
    with pytest.raises(BadPacketError, match=r"^hello: "):
        decode(b"\x92\xa5hello\xa1x")


class RecordingEnd:
    """A channel that records the messages, descriptors and end reasons it received."""

    def __init__(self, sock: socket.socket) -> None:
        self.received: list[Message] = []
        self.fds: list[int] = []
        self.why: list[str] = []
        self.channel = Channel(asyncio.get_running_loop(), sock, self._record, self.why.append)

    def _record(self, message: Message, fds: list[int]) -> None:
        self.received.append(message)
        self.fds += fds


@on_loop
async def test_descriptors_are_passed_with_a_message_and_none_leaks() -> None:
    before = len(os.listdir("/proc/self/fd"))
    one, other = (RecordingEnd(sock) for sock in pair())
    pipes = [os.pipe() for _ in range(MAX_DESCRIPTORS_PER_MESSAGE)]
    one.channel.send(Connections(3, [0] * MAX_DESCRIPTORS_PER_MESSAGE), [out for out, _ in pipes])
    await until(lambda: len(other.fds) == MAX_DESCRIPTORS_PER_MESSAGE)
    for (out, into), copy in zip(pipes, other.fds, strict=True):
        os.write(into, b"x")
        assert os.read(copy, 1) == b"x"
        for fd in (out, into, copy):
            os.close(fd)
    one.channel.close()
    await until(lambda: other.why == ["the peer closed the socket"])
    assert len(os.listdir("/proc/self/fd")) == before


@on_loop
async def test_the_last_messages_are_received_when_the_peer_closes_with_unread_data() -> None:
    """The kernel reports ECONNRESET before it delivers the peer's last packets. A channel that
    stopped there lost the last `Release`, and client connections with it.
    """
    one, other = (RecordingEnd(sock) for sock in pair())
    other.channel.send(YieldListener(1))  # never read
    one.channel.send(Release(1, 16))
    one.channel.close()
    other.channel.send(YieldListener(2))
    await until(lambda: bool(other.why))
    assert other.received == [Release(1, 16)] and other.why == ["the peer closed the socket"]


@on_loop
async def test_a_slow_reader_gets_all_messages_and_a_peer_that_never_reads_is_dropped() -> None:
    one, other = (RecordingEnd(sock) for sock in pair())
    big = State({"module": b"x" * (4 * 1024 * 1024)}, False)
    one.channel.send(big)
    one.channel.send(YieldListener(1))
    await until(lambda: len(other.received) == 2)
    assert other.received == [big, YieldListener(1)]
    unread_pair = pair()
    sender = RecordingEnd(unread_pair[0])
    for number in range(5000):
        sender.channel.send(YieldListener(number))
    assert (
        sender.why == ["the peer does not read, too many packets are queued"]
        and sender.channel.closed
    )
    unread_pair[1].close()


@on_loop
async def test_a_malformed_packet_ends_the_channel_with_its_reason() -> None:
    for junk, why in (
        (b"junk", "packet of 4 bytes is shorter than its header"),
        (b"x" * 40, "packet does not begin with the magic number of upgrade packets"),
    ):
        near, far = pair()
        end = RecordingEnd(near)
        far.send(junk)
        await until(lambda end=end: bool(end.why))  # type: ignore[misc]
        assert end.why == [why] and not end.received
        far.close()
