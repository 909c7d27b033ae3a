"""The service passes each new position once, and the configured one when it stops following."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

from quillroad.balancing.events import GatewayCountChanged
from quillroad.config import Config, Peers
from quillroad.discovery.source import Source
from quillroad.engine.engine import Engine
from quillroad.membership.quota_division import GatewayPosition
from quillroad.membership.service import MembershipService
from testbed.ports import free_port
from tests.net import make_config, on_loop, told_settings


class Follower:
    """Fake of the engine and of a discovery source, which records what it receives."""

    def __init__(self) -> None:
        self.received: list[Any] = []

    def feed(self, event: GatewayCountChanged) -> None:
        self.received.append(event)

    def set_gateway_count(self, gateway_index: int, gateway_count: int) -> None:
        self.received.append((gateway_index, gateway_count))


def config() -> Config:
    base = make_config(1, settings=told_settings(balancers=4, my_number=2))
    addresses = tuple(("127.2.0.1", 7001 + n) for n in range(4))
    return replace(base, peers=Peers(("127.0.0.1", free_port()), addresses))


def make_service(path: Path, engine: Follower, sources: list[Follower]) -> MembershipService:
    membership_service = MembershipService(path, config(), asyncio.get_running_loop())
    membership_service.attach(cast(Engine, engine), lambda: cast(Source, sources[-1]))
    return membership_service


@on_loop
async def test_a_reload_that_turns_following_off_restores_the_configured_count(
    tmp_path: Path,
) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text("[use]\nwindows = true\nrounds = true")
    engine, sources = Follower(), [Follower()]
    service = make_service(path, engine, sources)
    service._notify_followers()
    assert engine.received == sources[0].received == []  # they start with the configured position
    service._followers.position = GatewayPosition(0, 2)
    service._notify_followers()
    service._notify_followers()
    assert engine.received == [GatewayCountChanged(0, 2)] and sources[0].received == [(0, 2)]
    sources.append(
        Follower()
    )  # a discovery source replaced by a reload: it knows only the configured position
    service._notify_followers()
    assert sources[1].received == [(0, 2)] and len(engine.received) == 1
    path.write_text("[use]\nrounds = true")
    service.apply_settings(service.read_settings(config()))
    assert engine.received[1:] == [GatewayCountChanged(2, 4)] and sources[1].received == [(0, 2)]


@on_loop
async def test_a_process_that_no_longer_serves_divides_by_the_configured_count(
    tmp_path: Path,
) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text("[use]\nwindows = true")
    engine = Follower()
    service = make_service(path, engine, [Follower()])
    service.start()
    service._followers.position = GatewayPosition(0, 2)
    service._notify_followers()
    service.is_serving = lambda: False
    service._tick()
    assert (
        engine.received == [GatewayCountChanged(0, 2), GatewayCountChanged(2, 4)]
        and service.core is None
    )
    service.stop()


@on_loop
async def test_a_reload_with_another_gateway_index_changes_only_the_roster(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text("")
    service = make_service(path, Follower(), [Follower()])
    service.start()
    current = config()
    assert current.peers is not None
    longer = (*current.peers.addresses, ("127.2.0.1", 7099))
    other_position = make_config(1, settings=told_settings(balancers=5, my_number=0))
    service.apply_settings(
        service.read_settings(replace(other_position, peers=Peers(current.peers.listen, longer)))
    )
    assert service.core is not None and service.core.number == 2 and len(service.core.roster) == 5
    service.stop()
