"""The service: followers hear of each position once, and of the configured one at the end."""

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
    """In the place of the engine and of a source of hosts."""

    def __init__(self) -> None:
        self.heard: list[Any] = []

    def feed(self, event: GatewayCountChanged) -> None:
        self.heard.append(event)

    def set_gateway_count(self, number: int, balancers: int) -> None:
        self.heard.append((number, balancers))


def config() -> Config:
    told = make_config(1, settings=told_settings(balancers=4, my_number=2))
    addresses = tuple(("127.2.0.1", 7001 + n) for n in range(4))
    return replace(told, peers=Peers(("127.0.0.1", free_port()), addresses))


def fleet(path: Path, engine: Follower, sources: list[Follower]) -> MembershipService:
    made = MembershipService(path, config(), asyncio.get_running_loop())
    made.attach(cast(Engine, engine), lambda: cast(Source, sources[-1]))
    return made


@on_loop
async def test_a_file_that_turns_following_off_restores_the_configured_count(
    tmp_path: Path,
) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text("[use]\nwindows = true\nrounds = true")
    engine, sources = Follower(), [Follower()]
    one = fleet(path, engine, sources)
    one._notify_followers()
    assert engine.heard == sources[0].heard == []  # they know the told number
    one._followers.position = GatewayPosition(0, 2)
    one._notify_followers()
    one._notify_followers()
    assert engine.heard == [GatewayCountChanged(0, 2)] and sources[0].heard == [(0, 2)]
    sources.append(
        Follower()
    )  # another source of hosts, by a reload: it knows the told number only
    one._notify_followers()
    assert sources[1].heard == [(0, 2)] and len(engine.heard) == 1
    path.write_text("[use]\nrounds = true")
    one.apply_settings(one.read_settings(config()))
    assert engine.heard[1:] == [GatewayCountChanged(2, 4)] and sources[1].heard == [(0, 2)]


@on_loop
async def test_a_process_that_steps_aside_divides_by_the_configured_count(
    tmp_path: Path,
) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text("[use]\nwindows = true")
    engine = Follower()
    one = fleet(path, engine, [Follower()])
    one.start()
    one._followers.position = GatewayPosition(0, 2)
    one._notify_followers()
    one.is_serving = lambda: False
    one._tick()
    assert (
        engine.heard == [GatewayCountChanged(0, 2), GatewayCountChanged(2, 4)] and one.core is None
    )
    one.stop()


@on_loop
async def test_a_reload_with_another_number_changes_the_members_only(tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text("")
    one = fleet(path, Follower(), [Follower()])
    one.start()
    now = config()
    assert now.peers is not None
    longer = (*now.peers.addresses, ("127.2.0.1", 7099))
    moved = make_config(1, settings=told_settings(balancers=5, my_number=0))
    one.apply_settings(one.read_settings(replace(moved, peers=Peers(now.peers.listen, longer))))
    assert one.core is not None and one.core.number == 2 and len(one.core.roster) == 5
    one.stop()
