"""Watches a service in Consul: blocking queries to two agents at once, each with fail-over of its own."""

from __future__ import annotations

import asyncio
import logging
import random
from dataclasses import dataclass
from time import monotonic
from urllib.parse import quote, urlencode

from quillroad.config import Config, ConsulHosts
from quillroad.discovery.consul.agents import Agents, Limits, Verdict, judge
from quillroad.discovery.consul.health import ConsulError, Mapping, read_health
from quillroad.discovery.consul.index import Index, Pace
from quillroad.discovery.consul.merge import Views
from quillroad.discovery.fetch import FetchError, fetch
from quillroad.discovery.instance import Instance, Listener, Snapshot

log = logging.getLogger("quillroad.discovery.consul")

WATCHES = 2  # agents that are asked at the same time, where there are as many
BODY_LIMIT = 32 * 1024 * 1024  # 2,000 instances are about 2 MB


@dataclass(frozen=True, slots=True)
class Told:
    """Where to ask and for what, and how patiently. The token is read from its file with each query, so that
    it can be replaced while we run."""

    hosts: ConsulHosts
    pace: Pace
    limits: Limits

    @property
    def mapping(self) -> Mapping:
        return Mapping(*self.hosts.meta, self.hosts.tagged_address)

    def target(self, index: int) -> str:
        """Path and query of a health query that blocks past `index`; 0 answers at once."""
        hosts = self.hosts
        asked = {
            "dc": hosts.datacenter,
            "ns": hosts.namespace,
            "tag": hosts.tag,
            "filter": hosts.filter,
        }
        query = [(name, value) for name, value in asked.items() if value]
        if index:
            query += [("index", str(index)), ("wait", f"{round(self.pace.wait_s * 1000)}ms")]
        if hosts.consistency != "default":
            query.append((hosts.consistency, ""))
        return f"/v1/health/service/{quote(hosts.service, safe='')}?{urlencode(query)}"


def told_by(hosts: ConsulHosts) -> Told:
    """What a configuration means."""
    return Told(hosts, Pace(wait_s=hosts.wait_s), Limits(most_stale_s=hosts.most_stale_s))


class ConsulSource:
    """One service. The listener gets every list that differs from the one before, and is never told of a list
    that nobody told. After `stop` nothing more is said."""

    def __init__(self, told: Told, listener: Listener, seed: int) -> None:
        self._told, self._listener = told, listener
        self._chance = random.Random(seed)
        self._views, self._version = Views(), 0
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        loop, told = asyncio.get_running_loop(), self._told
        count = min(WATCHES, len(told.hosts.agents))
        for number in range(count):
            agents = Agents(told.hosts.agents[number::count], told.limits, self._chance.random())
            self._tasks.append(loop.create_task(self._watch(number, agents)))

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    @property
    def position(self) -> tuple[str, int]:
        return "", 0  # indexes of two agents can't be compared

    def resume(self, position: int) -> None:
        """Each agent is asked from its own index on."""

    def begin(self, config: Config) -> None:
        """Nothing is known without asking."""

    def divide(self, number: int, balancers: int) -> None:
        """Each gateway asks an agent of its own."""

    def follow(self, config: Config) -> None:
        assert isinstance(config.hosts, ConsulHosts)
        self.follow_told(told_by(config.hosts))

    def follow_told(self, told: Told) -> None:
        """Ask other agents or for another service from now on; what was told stands until they answer."""
        self.stop()
        self._told = told
        self._views = Views()
        self.start()

    async def _watch(self, number: int, agents: Agents) -> None:
        """Ask for ever; whatever goes wrong is one line in the log and a wait."""
        index = Index(self._told.pace)
        before = ""
        while True:
            try:
                await asyncio.sleep(index.delay_s(monotonic()))
                await self._ask(number, agents, index)
                before = ""
                continue
            except _Unusable as error:
                wait_s, why = agents.failed(monotonic(), error.denied), str(error)
            except Exception:
                # With no watch a drain would go unheard while all else seems well: no fault may end it.
                log.exception("the watch of %s failed", self._told.hosts.service)
                wait_s, why = agents.failed(monotonic()), "a fault of ours"
            index.reset()
            if why != before:
                log.warning("consul: %s; next in %.1f s at %s:%d", why, wait_s, *agents.current)
            before = why
            self._say(self._views.failed(number, monotonic(), why))
            await asyncio.sleep(wait_s * (0.5 + self._chance.random() / 2))

    async def _ask(self, number: int, agents: Agents, index: Index) -> None:
        told, address = self._told, agents.current
        where = f"agent {address[0]}:{address[1]}"
        try:
            token = told.hosts.token_file
            headers = {"X-Consul-Token": token.read_text().strip()} if token else {}
            response = await fetch(
                address, told.target(index.value), headers, index.silence_s(), BODY_LIMIT
            )
        except FetchError as error:
            raise _Unusable(f"{where}: {error}") from None
        except OSError as error:
            raise _Unusable(
                f"token: cannot read {told.hosts.token_file}: {error.strerror}"
            ) from None
        verdict, why = judge(response.status, response.headers, told.limits)
        if verdict is not Verdict.USE:
            raise _Unusable(f"{where}: {why}", verdict is Verdict.DENIED)
        try:
            reading = read_health(response.body, told.mapping)
        except ConsulError as error:
            raise _Unusable(f"{where}: {error}") from None
        if odd := index.told(response.headers.get("x-consul-index")):
            log.info("consul: %s: %s", where, odd)
        for line in reading.unread[:5]:
            log.warning("consul: %s: %s", where, line)
        agents.answered()
        self._say(self._views.told(number, monotonic(), reading.instances))

    def _say(self, instances: tuple[Instance, ...] | None) -> None:
        self._listener.on_state(self._views.state)
        if instances is not None:
            self._version += 1
            self._listener.on_snapshot(Snapshot(instances, self._version))


class _Unusable(Exception):
    """No usable answer; the text is one plain line."""

    def __init__(self, why: str, denied: bool = False) -> None:
        super().__init__(why)
        self.denied = denied
