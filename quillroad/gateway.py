"""The composition root of one gateway: connects its components; reload, drain and stop."""

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
from quillroad.engine.shutdown_schedule import ShutdownSchedule, earliest_kill
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
from quillroad.overload.acceptor import open_first_listener
from quillroad.overload.event_loop_monitor import EventLoopMonitor
from quillroad.overload.memory_account import MemoryAccount
from quillroad.serving_state import ServingState
from quillroad.upstream.pool import Upstream

log = logging.getLogger("quillroad")

# Interval of the check that closes connections whose time limit has passed.
CHECK_INTERVAL_S = 0.25
# A check that is later than this shows that the event loop was stalled. Data that arrived during
# the stall must be read before a connection is judged to have timed out.
MAX_CHECK_DELAY_S = 0.15
# After SIGTERM, the load balancer in front still sends new connections for up to 0.4 s.
FRONT_DELAY_S = 0.55
# Time after which long responses that are still being streamed are given up. SIGKILL usually comes
# before.
MAX_STREAM_DRAIN_S = 60.0
# Turns of the event loop in which a process that exits answers what it has: each connection may
# hold some more requests behind the one that is answered.
MAX_FINAL_TURNS = 8
# Interval at which a drain checks for open connections.
DRAIN_POLL_S = 0.02


class Gateway:
    """The connected components of one gateway.

    `engine` and `server` are the classes to instantiate; `zones` names the file of the cross-zone
    budget, or is None. `inherited_count` descriptors (0 or more) of the process's limit were
    inherited and are not available. Raises ConfigError if the file of an optional component is
    invalid.
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
        self.shutdown = ShutdownSchedule()
        self.port = 0  # the listening port; 0 until the gateway listens
        self._connection_checks: asyncio.Task[None] | None = None
        self._idle_closing: asyncio.Task[None] | None = None
        self.admin = make_admin(self, config)
        reserved = inherited_count + admin_descriptors(self.admin)
        self.descriptors = Descriptors(config.sockets - reserved)
        self.memory = MemoryAccount(config.peer_memory_bytes)
        loop_monitor = EventLoopMonitor(loop)
        self.upstream = self._make_upstream(loop_monitor)
        self.zones = make_zones(zones, config, loop)
        self.engine = self._make_engine(engine)
        self.server = self._make_server(server, loop_monitor)
        # Discovery reports endpoint updates here. With an admin listener, it applies operators'
        # overrides to them.
        self.update_endpoints: Update = (
            self.engine.update_endpoints if self.admin is None else self.admin.update_endpoints
        )
        self.source, self.feed = open_source(config, self.update_endpoints, self.engine.now_us)
        self._discovery = (config.discovery, config.hosts)
        self.registrar = make_registrar(config, lambda: self.engine.ready)
        self.counts = make_counts(loop, self.engine, self.upstream)
        self.membership = make_membership(config, loop)
        if self.membership is not None:
            self.membership.attach(self.engine, lambda: self.source)
        # In the order in which they are started and stopped.
        optional: list[Part | None] = [self.zones, self.registrar, self.counts, self.membership]
        self._optional_parts = [part for part in optional if part is not None]

    def _make_upstream(self, loop_monitor: EventLoopMonitor) -> Upstream:
        """Return the upstream connection pool."""
        return Upstream(
            self.loop,
            self.descriptors,
            self.config.connect_timeout_s,
            self.config.idle_s,
            loop_monitor,
            self.config.longest_body,
            self.memory,
        )

    def _make_engine(self, engine: type[Engine]) -> Engine:
        """Return an engine with its own balancer, under the cross-zone budget if there is one."""
        budget = None if self.zones is None else self.zones.cross_zone_budget
        balancer = Balancer(self.config.settings, self.config.seed, budget)
        created = engine(self.loop, balancer, self.upstream)
        created.shutdown = self.shutdown
        if self.zones is not None:
            self.zones.attach(created)
        return created

    def _make_server(self, server: type[Server], loop_monitor: EventLoopMonitor) -> Server:
        """Return the downstream server.

        When descriptors run short, server and upstream pool close connections for each other.
        """
        created = server(
            self.loop,
            self.config,
            self.engine,
            self.descriptors,
            self.upstream.drop_oldest_idle,
            loop_monitor,
            self.memory,
        )
        self.upstream.close_silent_client = created.end_silent_connection
        if self.admin is not None:
            created.on_end = self.admin.figures.ended
        return created

    async def start(self) -> None:
        """Start serving with the known hosts. Raises OSError if an address cannot be bound."""
        self.source.load_known_hosts(self.config)
        if self.admin is not None:
            self.admin.start()
        self.listen(open_first_listener(*self.config.listen))
        self.start_parts()

    def listen(self, listener: socket.socket) -> None:
        """Accept connections from a listening socket."""
        self.server.listen(listener)
        self.port = listener.getsockname()[1]
        log.info("%s listens on %s:%d", self.config.name, self.config.listen[0], self.port)

    def start_parts(self) -> None:
        """Start discovery, the optional components and the connection checks."""
        self.source.start()
        for part in self._optional_parts:
            part.start()
        self._connection_checks = self.loop.create_task(self._check_connections())

    def reload(self, read: Callable[[], Config]) -> None:
        """Apply the reloadable settings of a new configuration: discovery, zones and membership.

        The endpoint list, connections and requests in flight are kept, also while draining. An
        invalid configuration changes nothing and is logged.
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
        if restart_only := changed_fields(self.config, config):
            log.warning("these fields change with a restart only: %s", ", ".join(restart_only))
        self._apply_discovery(config)

    def _apply_discovery(self, config: Config) -> None:
        """Switch to the discovery source of this configuration if it has changed."""
        discovery = (config.discovery, config.hosts)
        if discovery == self._discovery:
            return
        log.info("discovery source changed to %s", config.hosts or config.discovery)
        if type(config.hosts) is type(self._discovery[1]):
            self.source.switch_to(config)
        else:
            self.source.stop()
            self.source, self.feed = open_source(config, self.update_endpoints, self.engine.now_us)
            self.source.load_known_hosts(config)
            self.source.start()
        self._discovery = discovery

    def _count_reload(self, ok: bool) -> None:
        if self.admin is not None:
            self.admin.reloads[ok] += 1

    # Methods for operators (the `ManagedGateway` protocol).

    @property
    def route_names(self) -> Sequence[str]:
        """The names of the routes, indexed by route number."""
        return [route.name for route in self.config.settings.routes]

    @property
    def ready(self) -> bool:
        """Whether the engine is ready and the gateway is not draining."""
        return self.engine.ready and not self.serving_state.draining

    def figures(self) -> GatewayFigures:
        """Return the current figures for operators."""
        return GatewayFigures(
            attempts_sent=self.upstream.requests_written,
            requests_open=self.server.in_flight,
            hosts_known=len(self.engine.hosts),
            hosts_ejected=self.engine.gauges["ejected"],
        )

    def apply_endpoints(
        self, update: EndpointUpdate, names: dict[int, str], addresses: dict[int, Address]
    ) -> None:
        """Apply an update with operators' overrides included; maps are by endpoint number."""
        self.engine.update_endpoints(update, names, addresses)

    def set_drained(self, on: bool) -> None:
        """Start or cancel a drain by an operator.

        While drained, the gateway is not ready and closes idle client connections; the process
        keeps running. Has no effect once the process is shutting down.
        """
        if not (self.serving_state.drain() if on else self.serving_state.resume()):
            return
        log.info("drained by operator" if on else "drain cancelled by operator")
        self.server.draining = self.serving_state.draining
        if self._idle_closing is not None:
            self._idle_closing.cancel()
        self._idle_closing = self.loop.create_task(self._close_idle_connections()) if on else None

    async def _close_idle_connections(self) -> None:
        """Close idle client connections while the gateway is drained by an operator.

        Waits until the load balancer in front has noticed the drain: a request sent while the
        gateway closes the connection would be lost.
        """
        await asyncio.sleep(FRONT_DELAY_S)
        while self.serving_state.drained_by_operator:
            self.server.close_idle()
            await asyncio.sleep(DRAIN_POLL_S)

    @staticmethod
    async def _read_sockets() -> None:
        """Let the event loop read every socket that was readable when this was called."""
        for _ in range(2):
            await asyncio.sleep(0)

    async def _check_connections(self) -> None:
        """Close connections whose time limit has passed, every `CHECK_INTERVAL_S`."""
        while True:
            expected_at = monotonic() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            if monotonic() > expected_at + MAX_CHECK_DELAY_S:
                await self._read_sockets()
            try:
                self.server.enforce_time_limits()
                self.upstream.close_expired()
            except Exception:  # an error in one connection must not end the checks of all others
                log.exception("closing expired connections failed")

    def begin_shutdown(self, kill_at: float | None = None) -> None:
        """Have every request answered before the process ends, from now on.

        `kill_at` is the earliest time (monotonic, s) at which the process may be killed; by
        default, that after a SIGTERM received now. Of several times the earliest counts.
        """
        if kill_at is None:
            kill_at = earliest_kill(monotonic(), self.config.longest_deadline_s)
        if self.shutdown.end_by(kill_at):
            self.server.admission.limit_useful_time(self.shutdown.last_answer_at)
            self.engine.shorten_deadlines()

    async def answer_all(self) -> None:
        """Answer whatever is unanswered when the process exits."""
        for _ in range(MAX_FINAL_TURNS):
            await asyncio.sleep(0)  # read what has arrived
            self.server.reject_partial_requests()
            self.server.answer_waiting_requests()
            unanswered = self.engine.answer_all()
            if unanswered:
                log.warning("%d requests answered as the process exits", unanswered)
            if not self.server.has_unanswered():
                return

    async def finish_streams(self) -> None:
        """Wait until long responses have left the process, and reset those that do not end.

        A host may write them for longer than the longest deadline, and nothing is gained by cutting
        them off before the process is killed.
        """
        end = monotonic() + MAX_STREAM_DRAIN_S
        while self.server.has_output() and monotonic() < end:
            await asyncio.sleep(DRAIN_POLL_S)
            self.server.reject_partial_requests()
            self.server.close_idle()
        self.server.reset_streams()

    async def drain(self, kill_at: float | None = None) -> None:
        """Answer the accepted requests, then close all client connections.

        `kill_at` is as for `begin_shutdown`.
        Responses carry `Connection: close` from the start. The listener and idle connections stay
        open while the load balancer in front may still send: closing them earlier would lose
        requests already on their way.
        """
        self.begin_shutdown(kill_at)
        self.serving_state.end()
        self.server.draining = True
        if self.membership is not None:
            self.membership.leave()
        deregistration = (
            None if self.registrar is None else self.loop.create_task(self.registrar.leave())
        )
        await asyncio.sleep(FRONT_DELAY_S)
        self.server.stop_listening()
        while self.server.has_connections() and monotonic() < self.shutdown.exit_at:
            await asyncio.sleep(DRAIN_POLL_S)
            self.server.close_idle()
            if monotonic() >= self.shutdown.last_answer_at:
                self.server.reject_partial_requests()
        await self.answer_all()
        await self.finish_streams()
        if deregistration is not None:
            await deregistration

    def stop(self) -> None:
        """Stop immediately: the listener, discovery and the optional components."""
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
