"""A loop that stood still finds a list and requests in the kernel at once: the list comes first."""

from __future__ import annotations

import socket
import time

import pytest

from tests.net import Client, on_loop, serve_ok, until, world

HEAD = b"GET /status-check/k HTTP/1.1\r\nTenant: acme\r\nRequest-Timeout-Ms: 9000\r\nRequest-Id: "


@pytest.mark.parametrize("opened", ["before", "meanwhile"])
@on_loop
async def test_a_drain_from_a_stall_is_heard_before_requests_are_sent(opened: str) -> None:
    """With nothing open no beat tells of the stall. The drain was told when it was written: by now
    the time in which sends to its host may go on is over.
    """
    async with world(serve_ok, serve_ok) as w:
        leaves, stays = w.hosts
        while not (leaves.seen and stays.seen):  # there are connections at hand to both
            async with Client(w.gateway.port) as client:
                assert (await client.ask()).status == 200
        await until(lambda: not len(w.gateway.server.connection_limit))
        address, raws = ("127.0.0.1", w.gateway.port), list[socket.socket]()
        if opened == "before":
            raws = [socket.create_connection(address) for _ in range(12)]
            await until(lambda: len(w.gateway.server.connection_limit) == 12)
        before = len(leaves.seen), len(stays.seen)
        if opened == "meanwhile":
            raws = [socket.create_connection(address) for _ in range(12)]
        for n, raw in enumerate(raws):
            raw.send(HEAD + b"s%d\r\n\r\n" % n)
        w.discovery.tell(leaves.entry(lifecycle="draining"))
        time.sleep(0.6)
        await until(lambda: len(stays.seen) == before[1] + 12)
        assert len(leaves.seen) == before[0]
        for raw in raws:
            raw.close()
