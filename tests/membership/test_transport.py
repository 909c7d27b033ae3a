"""The UDP socket: reads per event-loop iteration, refused sends, and release of the address."""

from __future__ import annotations

import asyncio
import socket

import pytest

from quillroad.membership.transport import MAX_DATAGRAMS_PER_ITERATION, UdpTransport
from quillroad.membership.wire import MAX_DATAGRAM_BYTES
from testbed.ports import free_port
from tests.net import on_loop


def open_transport(port: int, readable: asyncio.Event | None = None) -> UdpTransport:
    notify = (readable or asyncio.Event()).set
    return UdpTransport(asyncio.get_running_loop(), ("127.0.0.1", port), notify)


@on_loop
async def test_datagrams_arrive_with_their_source_and_long_ones_exceed_the_maximum() -> None:
    readable = asyncio.Event()
    ports = free_port(), free_port()
    one, other = open_transport(ports[0], readable), open_transport(ports[1])
    try:
        assert other.send(b"x" * 1000, ("127.0.0.1", ports[0]))
        await readable.wait()
        ((data, source),) = one.receive()
        assert source == ("127.0.0.1", ports[1]) and len(data) == MAX_DATAGRAM_BYTES + 1
        assert list(one.receive()) == []
    finally:
        one.close()
        other.close()


@on_loop
async def test_a_flood_is_read_in_several_iterations() -> None:
    """Reading all waiting datagrams at once would delay requests on the same event loop."""
    readable = asyncio.Event()
    port = free_port()
    transport = open_transport(port, readable)
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(200):
                sender.sendto(b"x", ("127.0.0.1", port))
        await readable.wait()
        assert len(list(transport.receive())) == MAX_DATAGRAMS_PER_ITERATION
    finally:
        transport.close()


@on_loop
async def test_an_address_in_use_raises_and_a_closed_one_is_free() -> None:
    port = free_port()
    first = open_transport(port)
    with pytest.raises(OSError):
        open_transport(port)
    first.close()
    open_transport(port).close()


@on_loop
async def test_a_datagram_that_the_socket_refuses_is_reported() -> None:
    transport = open_transport(free_port())
    try:
        assert not transport.send(b"x" * 100_000, ("127.0.0.1", 9))
    finally:
        transport.close()
