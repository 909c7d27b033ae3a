"""Watch of a Consul service by blocking queries to two agents at once, each with fail-over."""

from __future__ import annotations

import asyncio
import logging
import random
from dataclasses import dataclass
from time import monotonic
from urllib.parse import quote, urlencode

from quillroad.config import Address, Config, ConsulHosts
from quillroad.discovery.consul.agents import Agents, Limits, Verdict, classify_answer
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

MAX_WATCHES = 2  # agents queried at the same time, if that many are configured
BODY_LIMIT_BYTES = 32 * 1024 * 1024  # 2,000 instances are about 2 MB
MIN_WAIT_FRACTION = 0.85  # of a wait after a failed query; keeps watches from querying in step
SHOWN_UNREAD = 5  # per answer: unreadable entries that are logged


class UnusableAnswerError(Exception):
    """An agent gave no usable answer; the message is a single line.

    `denied` is true if the token lacks permission.
    """

    def __init__(self, why: str, denied: bool = False) -> None:
        super().__init__(why)
        self.denied = denied


@dataclass(frozen=True, slots=True)
class HealthQuery:
    """The agents and service to query, the pace of queries, and the backoff of failing agents."""

    hosts: ConsulHosts
    pace: QueryPace
    limits: Limits

    @property
    def metadata_keys(self) -> MetadataKeys:
        """The metadata keys and the tagged address to read."""
        return MetadataKeys(*self.hosts.meta, self.hosts.tagged_address)

    def target(self, index: int) -> str:
        """Return path and query string of a health query.

        The agent answers once its index is above `index`, or at once if that is 0.
        """
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
    """Return the health query for the configured hosts."""
    return HealthQuery(
        hosts, QueryPace(wait_s=hosts.wait_s), Limits(max_stale_s=hosts.most_stale_s)
    )


class ConsulSource:
    """Source of the hosts of one Consul service.

    The listener gets each merged list that differs from the one before, and no list before an agent
    has answered. It is not called after `stop`.
    """

    def __init__(self, query: HealthQuery, listener: SourceListener, seed: int) -> None:
        self._query = query
        self._listener = listener
        self._random = random.Random(seed)
        self._views = MergedViews()
        self._version = 0
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the watches."""
        loop, addresses = asyncio.get_running_loop(), self._query.hosts.agents
        count = min(MAX_WATCHES, len(addresses))
        for number in range(count):
            agents = Agents(addresses[number::count], self._query.limits, self._random.random())
            self._tasks.append(loop.create_task(self._watch(number, agents)))

    def stop(self) -> None:
        """Cancel all watches."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    @property
    def position(self) -> tuple[str, int]:
        """Always ("", 0): indexes of two agents cannot be compared."""
        return "", 0

    def resume(self, position: int) -> None:
        """Do nothing: each agent is queried from its own index on."""

    def load_known_hosts(self, config: Config) -> None:
        """Do nothing: the configuration lists no hosts of a Consul service."""

    def set_gateway_count(self, gateway_index: int, gateway_count: int) -> None:
        """Do nothing: gateways do not coordinate their queries to agents."""

    def switch_to(self, config: Config) -> None:
        """Watch the agents and service of another configuration; see `use`."""
        assert isinstance(config.hosts, ConsulHosts)
        self.use(query_for(config.hosts))

    def use(self, query: HealthQuery) -> None:
        """Restart the watches with another query; the list stays in use until an agent answers."""
        self.stop()
        self._query = query
        self._views = MergedViews()
        self.start()

    async def _watch(self, number: int, agents: Agents) -> None:
        """Query until cancelled; wait after a failure, log it unless it repeats the last."""
        index = QueryIndex(self._query.pace)
        last_reason = ""
        while True:
            await asyncio.sleep(index.delay_s(monotonic()))
            began_at = monotonic()
            try:
                await self._query_once(number, agents, index)
            except UnusableAnswerError as error:
                wait_s = agents.failed(monotonic(), began_at, error.denied)
                reason = str(error)
            except Exception:
                # An internal error must not end the watch: the gateway would miss drains without
                # any other sign of a failure.
                log.exception(
                    "consul: internal error in the watch of service %s", self._query.hosts.service
                )
                wait_s = agents.failed(monotonic(), began_at)
                reason = "internal error"
            else:
                last_reason = ""
                continue
            index.reset()
            if reason != last_reason:
                log.warning(
                    "consul: %s; next query in %.1f s to agent %s:%d",
                    reason,
                    wait_s,
                    *agents.current,
                )
            last_reason = reason
            self._report(self._views.failed(number, monotonic(), reason))
            await asyncio.sleep(wait_s * self._random.uniform(MIN_WAIT_FRACTION, 1.0))

    async def _query_once(self, number: int, agents: Agents, index: QueryIndex) -> None:
        """Make one blocking query and report its instances. Raises `UnusableAnswerError`."""
        address = agents.current
        agent = f"agent {address[0]}:{address[1]}"
        response = await self._fetch(address, agent, index)
        reading = self._read(response, agent)
        if problem := index.update(response.headers.get("x-consul-index")):
            log.info("consul: %s: %s", agent, problem)
        for line in reading.unread[:SHOWN_UNREAD]:
            log.warning("consul: %s: %s", agent, line)
        agents.answered()
        self._report(self._views.update(number, monotonic(), reading.instances))

    async def _fetch(self, address: Address, agent: str, index: QueryIndex) -> Response:
        token_file = self._query.hosts.token_file
        try:
            headers = token_headers(token_file)
        except OSError as error:
            raise UnusableAnswerError(
                f"cannot read token file {token_file}: {error.strerror}"
            ) from None
        target = self._query.target(index.value)
        try:
            return await fetch(address, target, headers, index.silence_s(), BODY_LIMIT_BYTES)
        except FetchError as error:
            raise UnusableAnswerError(f"{agent}: {error}") from None

    def _read(self, response: Response, agent: str) -> HealthReading:
        verdict, reason = classify_answer(response.status, response.headers, self._query.limits)
        if verdict is not Verdict.USE:
            raise UnusableAnswerError(f"{agent}: {reason}", verdict is Verdict.DENIED)
        try:
            return read_health(response.body, self._query.metadata_keys)
        except ConsulError as error:
            raise UnusableAnswerError(f"{agent}: {error}") from None

    def _report(self, instances: tuple[Instance, ...] | None) -> None:
        self._listener.on_state(self._views.state)
        if instances is not None:
            self._version += 1
            self._listener.on_snapshot(Snapshot(instances, self._version))
