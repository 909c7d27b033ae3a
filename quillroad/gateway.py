"""The composition root of one gateway: wires its parts, and carries out reload, drain and end."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Sequence
from pathlib import Path
from time import monotonic

from quillroad.balancing.balancer import Balancer
from quillroad.balancing.events import EndpointUpdate
from quillroad.config import Address, Config, ConfigError, Descriptors, changed_fields
from quillroad.discovery.feed import Update
from quillroad.discovery.source import open_source
from quillroad.downstream.server import Server
from quillroad.engine.engine import Engine
from quillroad.managed_gateway import GatewayFigures
from quillroad.optional_parts import (
    Part,
    admin_descriptors,
    make_admin,
    make_counts,
    make_membership,
    make_registrar,
    make_zones,
)
from quillroad.overload.acceptor import open_listener
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.serving_state import ServingState
from quillroad.upstream.pool import Upstream

log = logging.getLogger("quillroad")

# Between two looks at the connections for those that have waited for too long.
CHECK_INTERVAL_S = 0.25
# A look that comes later than this shows that the process stood still: it is left out, since what
# came meanwhile has to be read before anyone is judged to be late.
MAX_CHECK_DELAY_S = 0.15
# After SIGTERM: the front sends new connections for up to 0.4 s more.
FRONT_DELAY_S = 0.55
# For the last answers to leave.
ANSWERS_FLUSH_S = 0.1
# After SIGTERM and the longest deadline; SIGKILL comes 0.7 s after these at the earliest, and the
# process needs some of that to end.
DRAIN_MARGIN_S = 0.6
# Between two looks at what a drain still waits for.
DRAIN_POLL_S = 0.02


class Gateway:
    """The parts of one gateway, wired.

    `engine` and `server` are the kinds of these parts; `zones` names the file that holds traffic to
    other zones to a budget, if there is one. `inherited_count` descriptors of the process's limit
    are somebody else's (0 or more). Raises ConfigError where a file of an optional part cannot
    work.
    """

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        engine: type[Engine] = Engine,
        server: type[Server] = Server,
        zones: Path | None = None,
        inherited_count: int = 0,
    ) -> None:
        self.config = config
        self.loop = loop
        self.serving_state = ServingState()
        self.port = 0  # that clients connect to; 0 until the gateway listens
        self._connection_checks: asyncio.Task[None] | None = None
        self._idle_closing: asyncio.Task[None] | None = None
        self.admin = make_admin(self, config)
        reserved = inherited_count + admin_descriptors(self.admin)
        self.descriptors = Descriptors(config.sockets - reserved)
        loop_monitor = EventLoopMonitor(loop)
        self.upstream = self._make_upstream(loop_monitor)
        self.zones = make_zones(zones, config, loop)
        self.engine = self._make_engine(engine)
        self.server = self._make_server(server, loop_monitor)
        # Where sources of endpoints tell of them: operators' overrides are laid over what they
        # tell.
        self.update_endpoints: Update = (
            self.engine.update_endpoints if self.admin is None else self.admin.update_endpoints
        )
        self.source, self.feed = open_source(config, self.update_endpoints)
        self._discovery = (config.discovery, config.hosts)
        self.registrar = make_registrar(config, lambda: self.engine.ready)
        self.counts = make_counts(loop, self.engine, self.upstream)
        self.membership = make_membership(config, loop)
        if self.membership is not None:
            self.membership.attach(self.engine, lambda: self.source)
        # In the order in which they start and stop.
        optional: list[Part | None] = [self.zones, self.registrar, self.counts, self.membership]
        self._optional_parts = [part for part in optional if part is not None]

    def _make_upstream(self, loop_monitor: EventLoopMonitor) -> Upstream:
        """The hosts' side."""
        return Upstream(
            self.loop,
            self.descriptors,
            self.config.connect_timeout_s,
            self.config.idle_s,
            loop_monitor,
            self.config.longest_body,
        )

    def _make_engine(self, engine: type[Engine]) -> Engine:
        """The engine round a balancer of its own, under the cross-zone budget if there is one."""
        budget = None if self.zones is None else self.zones.cross_zone_budget
        balancer = Balancer(self.config.settings, self.config.seed, budget)
        made = engine(self.loop, balancer, self.upstream)
        if self.zones is not None:
            self.zones.attach(made)
        return made

    def _make_server(self, server: type[Server], loop_monitor: EventLoopMonitor) -> Server:
        """The clients' side; each side frees a descriptor for the other one where it is short."""
        made = server(
            self.loop,
            self.config,
            self.engine,
            self.descriptors,
            self.upstream.drop_oldest_idle,
            loop_monitor,
        )
        self.upstream.close_silent_client = made.end_silent_connection
        if self.admin is not None:
            made.on_end = self.admin.figures.ended
        return made

    async def start(self) -> None:
        """Serve by the known list at once. Raises OSError where an address cannot be used."""
        self.source.load_known_hosts(self.config)
        if self.admin is not None:
            self.admin.start()
        self.listen(open_listener(*self.config.listen))
        self.start_parts()

    def listen(self, listener: socket.socket) -> None:
        """Accept from a listening socket."""
        self.server.listen(listener)
        self.port = listener.getsockname()[1]
        log.info("%s listens on %s:%d", self.config.name, self.config.listen[0], self.port)

    def start_parts(self) -> None:
        """Hear of endpoints, and look after connections, from now on."""
        self.source.start()
        for part in self._optional_parts:
            part.start()
        self._connection_checks = self.loop.create_task(self._check_connections())

    def reload(self, read: Callable[[], Config]) -> None:
        """Go by what a new configuration changes: where endpoints are told of.

        List, connections and open requests stay as they are, also while draining. A configuration
        that cannot work changes nothing and is said in the log.
        """
        try:
            config = read()
            members = None if self.membership is None else self.membership.read_settings(config)
            if self.zones is not None:
                self.zones.reload()
        except ConfigError as error:
            log.error("the old configuration stands: %s", error)
            self._count_reload(False)
            return
        self._count_reload(True)
        if self.membership is not None:
            self.membership.apply_settings(members)
        if left := changed_fields(self.config, config):
            log.warning("these fields change with a restart only: %s", ", ".join(left))
        self._follow_discovery(config)

    def _follow_discovery(self, config: Config) -> None:
        """Hear of endpoints where this configuration says, if that is elsewhere than so far."""
        discovery = (config.discovery, config.hosts)
        if discovery == self._discovery:
            return
        log.info("hosts are now told by %s", config.hosts or config.discovery)
        if type(config.hosts) is type(self._discovery[1]):
            self.source.switch_to(config)
        else:
            self.source.stop()
            self.source, self.feed = open_source(config, self.update_endpoints)
            self.source.load_known_hosts(config)
            self.source.start()
        self._discovery = discovery

    def _count_reload(self, ok: bool) -> None:
        if self.admin is not None:
            self.admin.reloads[ok] += 1

    # What operators see and do (`ManagedGateway`).

    @property
    def route_names(self) -> Sequence[str]:
        """The names of the routes, by their number."""
        return [route.name for route in self.config.settings.routes]

    @property
    def ready(self) -> bool:
        """Whether it can serve, and is to."""
        return self.engine.ready and not self.serving_state.draining

    def figures(self) -> GatewayFigures:
        """The present figures, for operators."""
        return GatewayFigures(
            attempts_sent=self.upstream.requests_written,
            requests_open=self.server.in_flight,
            hosts_known=len(self.engine.hosts),
            hosts_ejected=self.engine.gauges["ejected"],
        )

    def apply_endpoints(
        self, update: EndpointUpdate, names: dict[int, str], addresses: dict[int, Address]
    ) -> None:
        """Go by these endpoints, operators' overrides included; maps are by endpoint number."""
        self.engine.update_endpoints(update, names, addresses)

    def set_drained(self, on: bool) -> None:
        """Serve no new connection and keep none, until an operator takes it back.

        The process runs on meanwhile. Without effect once the process is ending.
        """
        if not (self.serving_state.drain() if on else self.serving_state.resume()):
            return
        log.info("drained by hand" if on else "back to work")
        self.server.draining = self.serving_state.draining
        if self._idle_closing is not None:
            self._idle_closing.cancel()
        self._idle_closing = self.loop.create_task(self._close_idle()) if on else None

    async def _close_idle(self) -> None:
        """While drained by an operator: end connections between two requests.

        Not before the front has learned of the drain: what crosses the close would be lost.
        """
        await asyncio.sleep(FRONT_DELAY_S)
        while self.serving_state.drained_by_operator:
            self.server.close_idle()
            await asyncio.sleep(DRAIN_POLL_S)

    async def _check_connections(self) -> None:
        """Look for connections that have waited for too long, again and again."""
        while True:
            due = monotonic() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            if monotonic() > due + MAX_CHECK_DELAY_S:
                continue
            try:
                self.server.enforce_time_limits()
                self.upstream.close_expired()
            except Exception:  # one connection's fault must not end the checks of all others
                log.exception("a sweep failed")

    async def drain(self) -> None:
        """Answer what was taken, and end.

        Answers say `Connection: close` at once. The listener and idle connections stay while the
        front may still send: ending them first would lose what crosses the close.
        """
        began = monotonic()
        end = began + self.config.longest_deadline_s + DRAIN_MARGIN_S
        self.serving_state.end()
        self.server.draining = True
        # A request that was taken late, half of it before the drain, has no longer than the
        # process.
        self.server.latest_deadline_at = end - ANSWERS_FLUSH_S
        if self.membership is not None:
            self.membership.leave()
        leaving = None if self.registrar is None else self.loop.create_task(self.registrar.leave())
        await asyncio.sleep(FRONT_DELAY_S)
        self.server.stop_listening()
        while len(self.server.connection_limit) and monotonic() < end:
            await asyncio.sleep(DRAIN_POLL_S)
            self.server.close_idle()
        self.server.reset_streams()
        if leaving is not None:
            await leaving

    def stop(self) -> None:
        """End at once: no new connection, no news of endpoints, no part running."""
        self.server.stop_listening()
        self.source.stop()
        for part in self._optional_parts:
            part.stop()
        if self._idle_closing is not None:
            self._idle_closing.cancel()
        if self.admin is not None:
            self.admin.stop()
        if self._connection_checks is not None:
            self._connection_checks.cancel()
