"""The UDP relay of the test bed: fault rules, scripts of rules, one address per gateway pair."""

from __future__ import annotations

import contextlib
import socket

import msgspec
import pytest

from testbed.relay import Relay, Rule, read_script
from tests.net import on_loop, until

SCRIPT = """
seed = 5
[[phases]]
at_s = 0.0
rules = [{ sources = [0], targets = [1], cut = true }]
[[phases]]
at_s = 0.2
rules = [{ doubled = 1.0, jitter_s = 0.01 }]
"""


def gateways(count: int) -> list[socket.socket]:
    opened = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for gateway in opened:
        gateway.bind(("127.0.0.1", 0))
        gateway.setblocking(False)
    return opened


async def read(gateway: socket.socket) -> tuple[bytes, tuple[str, int]]:
    found: list[tuple[bytes, tuple[str, int]]] = []

    def received() -> bool:
        with contextlib.suppress(BlockingIOError):
            found.append(gateway.recvfrom(100))
        return bool(found)

    await until(received)
    return found[0]


def peer(relay: Relay, number: int, other: int) -> tuple[str, int]:
    host, _, port = relay.peers(number)[other].partition(":")
    return host, int(port)


@on_loop
async def test_a_relayed_datagram_has_the_source_address_that_its_receiver_expects() -> None:
    sockets = gateways(3)
    relay = Relay([gateway.getsockname() for gateway in sockets], 1)
    sockets[0].sendto(b"to 1", peer(relay, 0, 1))
    assert await read(sockets[1]) == (b"to 1", peer(relay, 1, 0))
    sockets[2].sendto(b"as 0", peer(relay, 0, 1))  # through the relay address of gateway 0
    await until(lambda: relay.counts["stranger"] == 1)
    relay.rule([Rule(sources=[0], targets=[1], cut=True), Rule(doubled=1.0)])
    sockets[0].sendto(b"lost", peer(relay, 0, 1))
    sockets[1].sendto(
        b"back", peer(relay, 1, 0)
    )  # the cut is one-way; the next rule duplicates this
    for _ in range(2):
        assert (await read(sockets[0]))[0] == b"back"
    await until(lambda: relay.counts["lost"] == 1)
    assert relay.counts == {"sent": 3, "passed": 3, "lost": 1, "stranger": 1}
    relay.close()


@on_loop
async def test_a_script_applies_its_phases_in_order() -> None:
    sockets = gateways(2)
    relay = Relay([gateway.getsockname() for gateway in sockets], 1)
    relay.run(read_script(SCRIPT))
    await until(lambda: bool(relay._rules))
    sockets[0].sendto(b"first", peer(relay, 0, 1))
    await until(lambda: relay.counts["lost"] == 1)
    await until(lambda: relay._rules[0].doubled == 1.0)
    sockets[0].sendto(b"then", peer(relay, 0, 1))
    assert [(await read(sockets[1]))[0] for _ in range(2)] == [b"then", b"then"]
    relay.close()


def test_a_script_with_an_invalid_rule_is_rejected() -> None:
    with pytest.raises(msgspec.ValidationError):
        read_script("[[phases]]\nat_s = 0.0\nrules = [{ loss = 2.0 }]")


@on_loop
async def test_a_broadcast_follows_the_rules_of_each_pair_of_gateways() -> None:
    sockets = gateways(4)
    relay = Relay([gateway.getsockname() for gateway in sockets], 1)
    host, _, port = relay.everyone(0).partition(":")
    relay.rule([Rule(sources=[0], targets=[2], cut=True)])
    sockets[0].sendto(b"to all", (host, int(port)))
    assert await read(sockets[1]) == (b"to all", peer(relay, 1, 0))
    assert await read(sockets[3]) == (b"to all", peer(relay, 3, 0))
    assert (relay.counts["to all"], relay.counts["passed"], relay.counts["lost"]) == (1, 2, 1)
    for gateway in (sockets[0], sockets[2]):
        with pytest.raises(BlockingIOError):
            gateway.recvfrom(100)
    relay.close()
    for gateway in sockets:
        gateway.close()
