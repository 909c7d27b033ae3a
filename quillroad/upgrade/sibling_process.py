"""A gateway process that takes over from its predecessor without a supervisor.

Both processes run side by side until the hand-over is complete. `sibling_handover` makes the
decisions. The processes find each other through a socket in a folder that they share
(`rendezvous`). Without such a folder, or if no process answers there, a process serves with a
listener of its own; the kernel lets several processes listen on the same address (SO_REUSEPORT).
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
import sys
from collections.abc import Callable, Mapping
from pathlib import Path

import uvloop

from quillroad import admin
from quillroad.config import RESERVED, Config, ConfigError
from quillroad.end_signals import EarlyReload, block_signals
from quillroad.logs import start_log
from quillroad.overload.acceptor import open_first_listener
from quillroad.upgrade.channel import close_all
from quillroad.upgrade.messages import (
    DescriptorLimit,
    Ended,
    Hello,
    Message,
    Ready,
    Welcome,
    migration_batch_size,
)
from quillroad.upgrade.rendezvous import Rendezvous
from quillroad.upgrade.selftest import SelfTestError, selftest
from quillroad.upgrade.sibling_handover import (
    ANSWER_TIMEOUT_S,
    BUSY_TIMEOUT_S,
    HANDOVER_TIMEOUT_S,
    SIBLING,
    HandoverCommand,
    HandoverPhase,
    HandoverStep,
    SendToSibling,
    SiblingHandover,
    TellWorker,
)
from quillroad.upgrade.worker_process import WorkerProcess
from quillroad.upgrade.worker_state import Step as WorkerStep

log = logging.getLogger("quillroad.upgrade")

SEARCH_INTERVAL_S = 0.05  # between two attempts to reach the serving process
LEND_INTERVAL_S = 0.1  # between two checks for descriptors that can be lent to the sibling
NO_DESCRIPTOR = -1


class SiblingProcess(WorkerProcess):
    """One process without a supervisor, from its start to its end.

    `again` reads the configuration for a reload, `zones` is the file of the cross-zone budget, and
    `folder` the one with the rendezvous socket, if any.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        again: Callable[[], Config],
        zones: Path | None,
        folder: str | None,
    ) -> None:
        super().__init__(loop, again, zones)
        self._config = config
        self._rendezvous = Rendezvous(folder, config.listen[1])
        # The rendezvous socket, while new processes can find this one.
        self._newcomers: socket.socket | None = None
        build = f"{sys.version_info[0]}.{sys.version_info[1]}"
        self._handover = SiblingHandover(config.sockets - admin.RESERVED, build=build)
        self._sibling_pidfd = NO_DESCRIPTOR
        self._started_at = loop.time()

    def begin(self) -> None:
        """Start to search for a serving process; take over from it, or serve alone."""
        self._tasks.start(self._search_for_sibling())

    async def _search_for_sibling(self) -> None:
        until = self._started_at + BUSY_TIMEOUT_S
        while not self._ending:
            if self._handover.phase is HandoverPhase.SEARCHING:
                sock = self._rendezvous.reach() if self._loop.time() < until else None
                if sock is not None:
                    self._open_link(sock)
                if self._sibling is None:
                    self._perform_handover(self._handover.no_sibling_found())
                    return
                self._perform_handover(self._handover.sibling_found())
                self._loop.call_later(ANSWER_TIMEOUT_S, self._welcome_timed_out)
            elif self._handover.phase is not HandoverPhase.AWAITING_WELCOME:
                return
            # A serving process that is busy with another new one closes the link: try again.
            await asyncio.sleep(SEARCH_INTERVAL_S)

    def _welcome_timed_out(self) -> None:
        if self._handover.phase is HandoverPhase.AWAITING_WELCOME:
            log.warning("the serving process did not answer Hello in time: this one serves alone")
            self._perform_handover(self._handover.no_sibling_found())

    # The sibling.

    def _open_link(self, sock: socket.socket) -> None:
        super()._open_link(sock)
        if self._sibling is not None:
            self._watch_process(self._sibling.peer)

    def _watch_process(self, process: int) -> None:
        """Watch for the end of the sibling process, by its pid.

        Once it has ended, this process serves the connections that it offered but did not release.
        """
        self._unwatch_process()
        try:
            self._sibling_pidfd = os.pidfd_open(process)
        except (OSError, AttributeError):
            # Without pidfd, connections whose giver dies before their release are closed.
            return
        self._loop.add_reader(self._sibling_pidfd, self._sibling_ended)

    def _unwatch_process(self) -> None:
        if self._sibling_pidfd != NO_DESCRIPTOR:
            self._loop.remove_reader(self._sibling_pidfd)
            os.close(self._sibling_pidfd)
            self._sibling_pidfd = NO_DESCRIPTOR

    def _sibling_ended(self) -> None:
        self._unwatch_process()
        self._perform_all(self._state.on_supervisor_message(Ended(SIBLING)))

    def _on_sibling_message(self, message: Message, descriptors: list[int]) -> None:
        if not isinstance(message, Hello | Ready | Welcome):
            super()._on_sibling_message(message, descriptors)
            return
        brings_listener = isinstance(message, Welcome) and len(descriptors) == 1
        if brings_listener and self._listener is None:
            self._listener = socket.socket(fileno=descriptors.pop())
            self._listener.setblocking(False)
        close_all(descriptors)
        self._perform_handover(self._handover.on_sibling_message(message))

    def _serve_operators(self, on: bool) -> None:
        """Do nothing: each process has its own admin address, from its start to its end."""

    def _close_link(self) -> None:
        was_linked = self._sibling is not None
        super()._close_link()
        if was_linked:
            self._perform_handover(self._handover.link_lost())

    def _to_supervisor(self, message: Message) -> None:
        self._perform_handover(self._handover.on_worker_message(message))

    # Commands of `sibling_handover`.

    def _perform_handover(self, commands: list[HandoverCommand]) -> None:
        for command in commands:
            try:
                self._perform_handover_command(command)
            except Exception:
                log.exception("error while executing the command %s", command)
                self._fail(1)
                return

    def _perform_handover_command(self, command: HandoverCommand) -> None:
        match command:
            case SendToSibling():
                has_listener = command.listener and self._listener is not None
                descriptors = [self._listener.fileno()] if has_listener and self._listener else []
                self._send_to_sibling(command.message, descriptors)
            case TellWorker():
                if not (isinstance(command.message, DescriptorLimit) and self._gateway is None):
                    self._perform_all(self._state.on_supervisor_message(command.message))
            case HandoverStep.PREPARE:
                self._tasks.start(self._prepare())
            case HandoverStep.OPEN_LISTENER:
                if self._listener is None:
                    self._listener = open_first_listener(*self._config.listen, shared=True)
            case HandoverStep.PUBLISH:
                self._publish()
            case HandoverStep.CLOSE_LINK:
                self._close_link()

    # Serving.

    async def _prepare(self) -> None:
        """Run the self-test if there is a sibling, build the gateway, continue the hand-over."""
        is_linked = self._sibling is not None
        try:
            if is_linked:
                await selftest(self._config)
            self._build_gateway(is_linked)
        except (ConfigError, SelfTestError, OSError) as error:
            print(f"quillroad: {error}", file=sys.stderr)
            self._fail(2 if isinstance(error, ConfigError) else 1)
            return
        self._tasks.start(self._lend_forever())
        is_linked = self._sibling is not None  # it may have been lost during the self-test
        if is_linked:
            self._loop.call_at(self._started_at + HANDOVER_TIMEOUT_S, self._handover_timed_out)
        self._perform_handover(self._handover.preparation_done(is_linked))

    def _build_gateway(self, is_linked: bool) -> None:
        descriptors = self._handover.descriptors
        self._build(self._config, (descriptors // 2 if is_linked else descriptors) - RESERVED)
        # `sibling_handover` reserves descriptors for two batches of this size.
        self._state.batch = migration_batch_size(descriptors)
        operators = self.gateway.admin
        assert operators is not None
        operators.start()
        operators.serves = self._answers_operators

    def _answers_operators(self) -> bool:
        return self._state.accepts or self._handover.phase is HandoverPhase.STANDING_BY

    def _handover_timed_out(self) -> None:
        if self._handover.phase is HandoverPhase.TAKING_OVER:
            log.warning("the sibling process did not hand over in time: this one serves alone")
            self._perform_handover(self._handover.handover_timed_out())

    async def _lend_forever(self) -> None:
        while True:
            await asyncio.sleep(LEND_INTERVAL_S)
            if self._state.yielded:
                self._update_sibling()

    # Accepting new processes.

    def _publish(self) -> None:
        """Listen for new processes at the rendezvous."""
        self._unpublish()
        self._newcomers = self._rendezvous.open()
        if self._newcomers is not None:
            self._loop.add_reader(self._newcomers.fileno(), self._accept_newcomer)

    def _accept_newcomer(self) -> None:
        assert self._newcomers is not None
        try:
            sock, _ = self._newcomers.accept()
        except OSError:  # the new process has closed the connection
            return
        if self._sibling is None and self._handover.accepts_newcomer():
            self._open_link(sock)
        else:
            sock.close()

    def _unpublish(self) -> None:
        if self._newcomers is not None:
            self._loop.remove_reader(self._newcomers.fileno())
            self._newcomers.close()
            self._newcomers = None
            self._rendezvous.close()

    # The end.

    def drain(self) -> None:
        """Answer open requests and end; new processes no longer find this one."""
        self._handover.ending = True
        if self._gateway is not None:
            self._gateway.serving_state.end()
        self._unpublish()
        super().drain()

    def _end(self) -> None:
        stands_by = self._gateway is not None and not self._state.accepts
        if stands_by and self._sibling is not None:
            # Keep the link open: idle connections still migrate.
            self._perform_all([WorkerStep.FINISH])
        else:
            super()._end()

    async def close(self) -> None:
        """Close the rendezvous socket and the link, and wait for the remaining tasks."""
        self._ending = self._handover.ending = True
        self._unpublish()
        self._close_link()
        self._unwatch_process()
        await super().close()


async def serve(
    config: Config,
    again: Callable[[], Config],
    zones: Path | None,
    environment: Mapping[str, str],
    early_reload: EarlyReload | None = None,
) -> int:
    """Run one process until it ends; return its exit status.

    The folder of the rendezvous socket is `TMPDIR` of the environment; `early_reload` tells of a
    SIGHUP before now.
    """
    loop = asyncio.get_running_loop()
    process = SiblingProcess(loop, config, again, zones, environment.get("TMPDIR"))
    if early_reload is not None and early_reload.is_due:
        process.reload()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.drain)
    process.begin()
    await process.end.wait()
    await process.close()
    block_signals()
    return process.status


def run(
    config: Config,
    again: Callable[[], Config],
    zones: Path | None = None,
    early_reload: EarlyReload | None = None,
) -> int:
    """Run one process in an event loop until it ends; return its exit status."""
    start_log()
    return uvloop.run(serve(config, again, zones, os.environ, early_reload))
