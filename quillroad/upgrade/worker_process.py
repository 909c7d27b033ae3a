"""The I/O of one worker process of a gateway; `worker_state` makes the decisions.

Subclasses provide the supervisor: `worker` has a separate supervisor process, `sibling_process`
decides by itself.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import socket
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import assert_never

from quillroad.config import RESERVED, Config
from quillroad.gateway import Gateway
from quillroad.overload.heap import return_free_memory
from quillroad.upgrade.channel import Channel, close_all
from quillroad.upgrade.gateway_control import (
    serve_operators,
    set_descriptor_limit,
    spare_descriptors,
)
from quillroad.upgrade.messages import (
    Connections,
    Message,
    OperatorActions,
    State,
    migration_batch_size,
)
from quillroad.upgrade.migration import MigratingServer, Migrations
from quillroad.upgrade.sections import learn_operator_actions, operator_actions, read, write
from quillroad.upgrade.sibling_engine import SiblingEngine
from quillroad.upgrade.state_snapshot import halve_retry_budgets
from quillroad.upgrade.worker_lifetime import WorkerLifetime
from quillroad.upgrade.worker_state import (
    AdoptState,
    DropBatches,
    ExportState,
    HoldBatch,
    LearnAttempts,
    LimitDescriptors,
    LinkRole,
    ReleaseBatch,
    ServeBatch,
    Step,
    TakeBackBatch,
    ToSibling,
    ToSupervisor,
    WorkerCommand,
)

log = logging.getLogger("quillroad.upgrade")

# How long to wait for the report that the sibling has ended. After that the connections received
# from it, but not released, are left to it.
SIBLING_END_TIMEOUT_S = 1.0
SIBLING_UPDATE_INTERVAL_S = 0.005  # maximum age of what the sibling knows of attempts in flight
MAX_REPORTED_LINES = 20  # lines about state that could not be used, in a `StateResult`


class WorkerProcess(WorkerLifetime):
    """One process of a gateway that can hand over to a sibling, or take over from one.

    `again` reads the configuration for a reload; `zones` is the file of the cross-zone budget.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        again: Callable[[], Config],
        zones: Path | None = None,
    ) -> None:
        super().__init__(loop)
        self._read_again = again
        self._zones = zones
        self._sibling: Channel | None = None
        self._migrations: Migrations | None = None
        self._descriptors: list[int] = []  # received with the message being handled
        self._sibling_update_timer: asyncio.TimerHandle | None = None
        self._reload_due = False  # SIGHUP was received before the gateway was built
        loop.add_signal_handler(signal.SIGHUP, self.reload)

    def _to_supervisor(self, message: Message) -> None:
        """Send a message to the supervisor, or to the code that takes its part."""
        raise NotImplementedError

    @property
    def engine(self) -> SiblingEngine:
        """The engine of the gateway."""
        engine = self.gateway.engine
        assert isinstance(engine, SiblingEngine)
        return engine

    @property
    def migrations(self) -> Migrations:
        """The connections that migrate to the sibling or from it."""
        assert self._migrations is not None
        return self._migrations

    # The link to the sibling.

    def _open_link(self, sock: socket.socket) -> None:
        self._close_link()
        try:
            self._sibling = Channel(self._loop, sock, self._on_sibling_message, self._on_link_lost)
        except PermissionError as error:
            log.error("cannot open the link to the sibling process: %s", error)
        self._divide_memory()

    def _on_sibling_message(self, message: Message, descriptors: list[int]) -> None:
        if isinstance(message, OperatorActions):
            if self._gateway is not None:
                learn_operator_actions(self._gateway, message)
            return
        if isinstance(message, Connections) and len(message.requests_carried) != len(descriptors):
            close_all(descriptors)
            self._on_link_lost("a batch of connections came with a wrong number of descriptors")
            return
        self._descriptors = descriptors
        self._perform_all(self._state.on_sibling_message(message))
        close_all(self._descriptors)
        self._descriptors = []

    def _on_link_lost(self, why: str) -> None:
        if self._state.role is not LinkRole.NONE:
            log.info("lost the link to the sibling process: %s", why)
        self._close_link()

    def _close_link(self) -> None:
        if self._sibling is not None:
            self._sibling.close()
            self._sibling = None
            self._divide_memory()
        if self._sibling_update_timer is not None:
            self._sibling_update_timer.cancel()
            self._sibling_update_timer = None
        if self._gateway is not None:
            self.engine.on_change = None
            self._perform_all(self._state.link_lost())

    def _has_sibling(self) -> bool:
        return self._sibling is not None and not self._sibling.closed

    def _divide_memory(self) -> None:
        """Use half of the memory for what peers make the process hold while there is a sibling."""
        if self._gateway is not None:
            processes = 1 if self._sibling is None else 2
            if processes > 1:
                return_free_memory()  # the sibling needs it
            self._gateway.memory.limit = self._gateway.config.peer_memory_bytes // processes

    def _send_to_sibling(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        if self._sibling is not None:
            self._sibling.send(message, descriptors)

    # The gateway.

    def _build(self, config: Config, descriptors: int) -> None:
        """Build the gateway and start its discovery; it does not accept connections yet.

        `descriptors` is the limit on descriptors. Raises `ConfigError` and `OSError`.
        """
        self._state.batch = migration_batch_size(config.sockets)
        gateway = Gateway(config, self._loop, SiblingEngine, MigratingServer, self._zones)
        self._gateway = gateway
        set_descriptor_limit(gateway, descriptors)
        self._divide_memory()
        server = gateway.server
        assert isinstance(server, MigratingServer)
        self._migrations = Migrations(server)
        # These represent the whole gateway to others, so only the accepting process may use them.
        for part in (gateway.zones, gateway.registrar, gateway.membership):
            if part is not None:
                part.is_serving = self._accepts
        gateway.source.load_known_hosts(config)
        if gateway.admin is not None:
            gateway.admin.on_change = self._operator_acted
        gateway.start_parts()
        if self._reload_due:
            gateway.reload(self._read_again)
        gc.collect()
        gc.freeze()  # these objects live on: later collections need not scan them

    def _operator_acted(self) -> None:
        """Send a change that an operator has made to the sibling, which applies it too."""
        if (actions := operator_actions(self.gateway)) is not None:
            self._send_to_sibling(actions)

    def _serve_operators(self, on: bool) -> None:
        """Start or pause the admin listener; only one process can use its address at a time."""
        serve_operators(self.gateway, on)

    def reload(self) -> None:
        """Handle SIGHUP: reload the configuration, or remember to do so after the start.

        The file may have been read already when the signal arrives during the start.
        """
        if self._gateway is None:
            self._reload_due = True
        else:
            self._gateway.reload(self._read_again)

    def _accepts(self) -> bool:
        return self._state.accepts

    def _owns_slow_start(self) -> bool:
        """Return whether this process owns the slow-start slots: the accepting one does."""
        return self._state.accepts or self._state.role is LinkRole.NONE

    # Commands of the worker state.

    def _perform_all(self, commands: list[WorkerCommand]) -> None:
        for command in commands:
            try:
                self._perform(command)
            except Exception:
                log.exception("error while executing the command %s", command)
                if command is Step.ACCEPT:
                    # No process would accept connections, while the supervisor would assume that
                    # this one does.
                    self._fail(1)
                    return
                if self._sibling is not None:
                    self._on_link_lost("internal error in this process")

    def _perform(  # noqa: C901, PLR0912 - a case a command
        self, command: WorkerCommand
    ) -> None:
        match command:
            case Step():
                self._take_step(command)
            case ToSupervisor():
                self._to_supervisor(command.message)
            case ToSibling():
                self._send_to_sibling(command.message)
            case ExportState():
                self._export_state(command.final)
            case AdoptState():
                self._adopt_state(command.state)
            case LearnAttempts():
                self.engine.learn(command.attempts, self._owns_slow_start())
            case LimitDescriptors():
                more = self.gateway.descriptors.limit if command.more else -RESERVED
                set_descriptor_limit(self.gateway, command.descriptors + more)
            case HoldBatch():
                self.migrations.keep(command.batch, command.request_counts, self._descriptors)
                self._descriptors = []
            case ServeBatch():
                self.migrations.own(command.batch)
            case DropBatches():
                self.migrations.drop()
            case ReleaseBatch():
                # Before closing: even if that fails, a released batch must not be taken back.
                self._state.batch_released(command.batch)
                self.migrations.release(command.batch)
                self._offer_connections()
            case TakeBackBatch():
                self.migrations.take_back(command.batch)
            case _:
                assert_never(command)

    def _take_step(self, step: Step) -> None:
        match step:
            case Step.ACCEPT:
                self._accept()
            case Step.STOP_ACCEPTING:
                self.migrations.set_leaving(True)
                self.gateway.server.pause_accepting()
                self._serve_operators(False)
            case Step.UPDATE_SIBLING:
                self.engine.on_change = self._on_engine_change
                # At once: the sibling needs the spare descriptors of this process to serve.
                self._update_sibling()
            case Step.MIGRATE:
                self.migrations.begin(self._offer_connections)
            case Step.STOP_MIGRATING:
                self.migrations.stop()
            case Step.AWAIT_SIBLING_END:
                waited = self._state.waited
                self._loop.call_later(SIBLING_END_TIMEOUT_S, lambda: self._perform_all(waited()))
            case Step.ALONE:
                self.engine.forget_sibling()
            case Step.FINISH:
                self._tasks.start(self._finish())
            case _:
                assert_never(step)

    def _accept(self) -> None:
        assert self._listener is not None
        self.migrations.set_leaving(False)
        self.gateway.listen(self._listener)
        self._serve_operators(True)

    def _export_state(self, is_final: bool) -> None:
        if is_final:
            halve_retry_budgets(self.engine.balancer)
        self._send_to_sibling(State(write(self.gateway), is_final))

    def _adopt_state(self, state: State) -> None:
        left = read(self.gateway, state.sections, not state.final)
        for line in left if state.final else ():
            log.warning("state from the sibling process that could not be used: %s", line)
        self._perform_all(self._state.adopted(state.final, left[:MAX_REPORTED_LINES]))

    def _offer_connections(self) -> None:
        """Send batches of idle connections to the sibling while the window allows."""
        while (offer := self._state.offer(self.migrations.waiting)) is not None:
            batch, size = offer
            request_counts, descriptors = self.migrations.offer(batch, size)
            if not descriptors:  # another request has arrived on each of them
                del self._state.offered[batch]
                continue
            self._state.offered[batch] = len(descriptors)
            self._send_to_sibling(Connections(batch, request_counts), descriptors)

    def _on_engine_change(self, urgent: bool) -> None:
        if urgent:
            self._report_attempts()
        self._update_sibling_soon()

    def _update_sibling_soon(self) -> None:
        if self._sibling_update_timer is None:
            self._sibling_update_timer = self._loop.call_later(
                SIBLING_UPDATE_INTERVAL_S, self._update_sibling
            )

    def _report_attempts(self) -> None:
        """Report attempts in flight and open requests to the sibling."""
        self.engine.set_slow_start_owner(self._owns_slow_start())
        if (report := self.engine.attempts_in_flight()) is not None:
            self._send_to_sibling(report)

    def _update_sibling(self) -> None:
        """Report attempts in flight to the sibling, and lend it descriptors not needed here."""
        self._sibling_update_timer = None
        if self._sibling is None:
            return
        self._report_attempts()
        if self._state.yielded:
            while self.gateway.upstream.drop_oldest_idle():
                # An idle connection to a host; once it is closed, its descriptor is lent.
                self._update_sibling_soon()
            spare = spare_descriptors(self.gateway, self.engine.open)
            self._perform_all(self._state.lend(spare))
