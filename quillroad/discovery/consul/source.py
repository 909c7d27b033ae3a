"""Watches a service in Consul: blocking queries to two agents at once, each with fail-over."""

from __future__ import annotations

import asyncio
import logging
import random
from dataclasses import dataclass
from time import monotonic
from urllib.parse import quote, urlencode

from quillroad.config import Address, Config, ConsulHosts
from quillroad.discovery.consul.agents import Agents, Limits, Verdict, judge
from quillroad.discovery.consul.health import (
    ConsulError,
    HealthReading,
    MetadataKeys,
    read_health,
)
from quillroad.discovery.consul.index import QueryIndex, QueryPace
from quillroad.discovery.consul.merge import MergedViews
from quillroad.discovery.consul.token import token_headers
from quillroad.discovery.fetch import FetchError, Response, fetch
from quillroad.discovery.instance import Instance, Snapshot, SourceListener

log = logging.getLogger("quillroad.discovery.consul")

WATCHES = 2  # agents that are queried at the same time, where there are as many
BODY_LIMIT_BYTES = 32 * 1024 * 1024  # 2,000 instances are about 2 MB
SHOWN_UNREAD = 5  # entries of one answer that could not be read, in the log


class UnusableAnswerError(Exception):
    """No usable answer; the text is one plain line. `denied`: the token has not the rights."""

    def __init__(self, why: str, denied: bool = False) -> None:
        super().__init__(why)
        self.denied = denied


@dataclass(frozen=True, slots=True)
class HealthQuery:
    """Where to query and for what, how often, and how long to wait for agents that fail."""

    hosts: ConsulHosts
    pace: QueryPace
    limits: Limits

    @property
    def metadata_keys(self) -> MetadataKeys:
        """Under which keys the service's metadata tells what."""
        return MetadataKeys(*self.hosts.meta, self.hosts.tagged_address)

    def target(self, index: int) -> str:
        """Path and query of a health query that blocks past `index`; 0 answers at once."""
        hosts = self.hosts
        options = {
            "dc": hosts.datacenter,
            "ns": hosts.namespace,
            "tag": hosts.tag,
            "filter": hosts.filter,
        }
        query = [(name, value) for name, value in options.items() if value]
        if index:
            query += [("index", str(index)), ("wait", f"{round(self.pace.wait_s * 1000)}ms")]
        if hosts.consistency != "default":
            query.append((hosts.consistency, ""))
        return f"/v1/health/service/{quote(hosts.service, safe='')}?{urlencode(query)}"


def query_for(hosts: ConsulHosts) -> HealthQuery:
    """The query that a configuration means."""
    return HealthQuery(
        hosts, QueryPace(wait_s=hosts.wait_s), Limits(most_stale_s=hosts.most_stale_s)
    )


class ConsulSource:
    """One service.

    The listener gets every list that differs from the one before, and never a list that nobody
    told. After `stop` nothing more is told.
    """

    def __init__(self, query: HealthQuery, listener: SourceListener, seed: int) -> None:
        self._query = query
        self._listener = listener
        self._random = random.Random(seed)
        self._views = MergedViews()
        self._version = 0
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to watch."""
        loop, addresses = asyncio.get_running_loop(), self._query.hosts.agents
        count = min(WATCHES, len(addresses))
        for number in range(count):
            agents = Agents(addresses[number::count], self._query.limits, self._random.random())
            self._tasks.append(loop.create_task(self._watch(number, agents)))

    def stop(self) -> None:
        """End all watches."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    @property
    def position(self) -> tuple[str, int]:
        """Indexes of two agents cannot be compared."""
        return "", 0

    def resume(self, position: int) -> None:
        """Each agent is queried from its own index on."""

    def load_known_hosts(self, config: Config) -> None:
        """Nothing is known without asking."""

    def set_gateway_count(self, gateway_index: int, gateway_count: int) -> None:
        """Each gateway queries an agent of its own."""

    def switch_to(self, config: Config) -> None:
        """Watch by another configuration; see `use`."""
        assert isinstance(config.hosts, ConsulHosts)
        self.use(query_for(config.hosts))

    def use(self, query: HealthQuery) -> None:
        """Query other agents or another service; the list stays in use until they answer."""
        self.stop()
        self._query = query
        self._views = MergedViews()
        self.start()

    async def _watch(self, number: int, agents: Agents) -> None:
        """Query forever; whatever goes wrong is one line in the log and a wait."""
        index = QueryIndex(self._query.pace)
        last_reason = ""
        while True:
            try:
                await asyncio.sleep(index.delay_s(monotonic()))
                await self._query_once(number, agents, index)
            except UnusableAnswerError as error:
                wait_s = agents.failed(monotonic(), error.denied)
                reason = str(error)
            except Exception:
                # Without a watch a drain would go unheard while all else seems well: no fault may
                # end it.
                log.exception("the watch of %s failed", self._query.hosts.service)
                wait_s = agents.failed(monotonic())
                reason = "a fault of ours"
            else:
                last_reason = ""
                continue
            index.reset()
            if reason != last_reason:
                log.warning("consul: %s; next in %.1f s at %s:%d", reason, wait_s, *agents.current)
            last_reason = reason
            self._tell(self._views.failed(number, monotonic(), reason))
            await asyncio.sleep(wait_s * (0.5 + self._random.random() / 2))

    async def _query_once(self, number: int, agents: Agents, index: QueryIndex) -> None:
        """One blocking query, whose answer is told. Raises `UnusableAnswerError`."""
        address = agents.current
        where = f"agent {address[0]}:{address[1]}"
        response = await self._fetch(address, where, index)
        reading = self._read(response, where)
        if problem := index.update(response.headers.get("x-consul-index")):
            log.info("consul: %s: %s", where, problem)
        for line in reading.unread[:SHOWN_UNREAD]:
            log.warning("consul: %s: %s", where, line)
        agents.answered()
        self._tell(self._views.update(number, monotonic(), reading.instances))

    async def _fetch(self, address: Address, where: str, index: QueryIndex) -> Response:
        token_file = self._query.hosts.token_file
        try:
            headers = token_headers(token_file)
        except OSError as error:
            raise UnusableAnswerError(
                f"token: cannot read {token_file}: {error.strerror}"
            ) from None
        target = self._query.target(index.value)
        try:
            return await fetch(address, target, headers, index.silence_s(), BODY_LIMIT_BYTES)
        except FetchError as error:
            raise UnusableAnswerError(f"{where}: {error}") from None

    def _read(self, response: Response, where: str) -> HealthReading:
        verdict, reason = judge(response.status, response.headers, self._query.limits)
        if verdict is not Verdict.USE:
            raise UnusableAnswerError(f"{where}: {reason}", verdict is Verdict.DENIED)
        try:
            return read_health(response.body, self._query.metadata_keys)
        except ConsulError as error:
            raise UnusableAnswerError(f"{where}: {error}") from None

    def _tell(self, instances: tuple[Instance, ...] | None) -> None:
        self._listener.on_state(self._views.state)
        if instances is not None:
            self._version += 1
            self._listener.on_snapshot(Snapshot(instances, self._version))
