"""A process that runs beside the one before it, for as long as that takes to hand over; `pair.py` decides.

The two meet at a socket in a folder that both have (`$TMPDIR`), which only their user can open. Without such
a folder, or with nobody there that answers, a process serves by a listener of its own, which the kernel lets
several processes have side by side.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import socket
import sys
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path

import uvloop

from quillroad import admin
from quillroad.config import RESERVED, Config, ConfigError
from quillroad.gateway import start_log
from quillroad.overload.acceptor import open_listener
from quillroad.upgrade.messages import Ended, Hello, Message, Ready, Room, Welcome, batch_of
from quillroad.upgrade.selftest import SelfTestError, selftest
from quillroad.upgrade.sibling_handover import (
    ANSWER_TIMEOUT_S,
    BUSY_TIMEOUT_S,
    HANDOVER_TIMEOUT_S,
    SIBLING,
    HandoverCommand,
    HandoverStage,
    HandoverStep,
    SendToSibling,
    SiblingHandover,
    TellWorker,
)
from quillroad.upgrade.worker_process import WorkerProcess
from quillroad.upgrade.worker_state import Step as WorkerStep

log = logging.getLogger("quillroad.upgrade")

WAITING = 4  # newcomers that the kernel holds
LOOK_S = 0.05  # between two looks for one that serves
TELL_S = 0.1  # between two looks at what can be left to the other
LONGEST_PATH = 100  # bytes of a socket's path; the kernel takes 107


class Rendezvous:
    """The place in a folder where a newcomer finds who serves at an address."""

    def __init__(self, folder: str | None, port: int) -> None:
        self._name = f"quillroad-{port}.sock"
        self._folder = Path(folder) if folder else None
        self._inode = 0  # of the own file there

    @contextlib.contextmanager
    def _path(self, name: str) -> Iterator[str]:
        """A path that the kernel takes, however long the folder's is."""
        assert self._folder is not None
        path = str(self._folder / name)
        if len(os.fsencode(path)) <= LONGEST_PATH:
            yield path
            return
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{folder}/{name}"
        finally:
            os.close(folder)

    def reach(self) -> socket.socket | None:
        """A link to whoever serves; None where nobody does."""
        if self._folder is None:
            return None
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        try:
            with self._path(self._name) as path:
                sock.connect(path)
        except OSError:  # no file, a stale one, or too many newcomers
            sock.close()
            return None
        return sock

    def open(self) -> socket.socket | None:
        """Be found there, in place of whoever was; None, with a line of the log, where that can't be."""
        if self._folder is None:
            return None
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        sock.setblocking(False)
        own = f"{self._name}.{os.getpid()}"
        before = os.umask(0o177)
        try:
            with self._path(own) as path, self._path(self._name) as final:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)
                sock.bind(path)
                sock.listen(WAITING)
                os.replace(path, final)
                self._inode = os.stat(final).st_ino
        except OSError as error:
            log.warning("the next process will not find this one: %s: %s", self._folder, error)
            sock.close()
            return None
        finally:
            os.umask(before)
        return sock

    def close(self) -> None:
        """Be found no more; a file that is another's by now stays."""
        with contextlib.suppress(OSError), self._path(self._name) as path:
            if os.stat(path).st_ino == self._inode:
                os.unlink(path)


class SiblingProcess(WorkerProcess):
    """One process, from its start on."""

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
        self._listening: socket.socket | None = None  # where newcomers come
        build = f"{sys.version_info[0]}.{sys.version_info[1]}"
        self._handover = SiblingHandover(config.sockets - admin.RESERVED, build=build)
        self._pidfd = -1  # of the other process
        self._started_at = loop.time()

    def begin(self) -> None:
        """Look for one that serves, and then serve."""
        self._own_task(self._look_for_sibling())

    async def _look_for_sibling(self) -> None:
        until = self._started_at + BUSY_TIMEOUT_S
        while not self._ending:
            if self._handover.stage is HandoverStage.LOOKS:
                sock = self._rendezvous.reach() if self._loop.time() < until else None
                if sock is not None:
                    self._open_link(sock)
                if self._sibling is None:
                    self._perform_handover(self._handover.nobody())
                    return
                self._perform_handover(self._handover.found())
                self._loop.call_later(ANSWER_TIMEOUT_S, self._sibling_is_silent)
            elif self._handover.stage is not HandoverStage.ASKS:
                return
            # One that is busy with another newcomer ends the link, and may have time later.
            await asyncio.sleep(LOOK_S)

    def _sibling_is_silent(self) -> None:
        if self._handover.stage is HandoverStage.ASKS:
            log.warning("the process that serves does not answer")
            self._perform_handover(self._handover.nobody())

    # The other process.

    def _open_link(self, sock: socket.socket) -> None:
        super()._open_link(sock)
        if self._sibling is not None:
            self._watch_process(self._sibling.peer)

    def _watch_process(self, pid: int) -> None:
        """See the end of the other process: what it had offered and not released is nobody else's then."""
        self._unwatch_process()
        try:
            self._pidfd = os.pidfd_open(pid)
        except (OSError, AttributeError):
            return  # the batch at hand is closed where its giver dies in the middle of it
        self._loop.add_reader(self._pidfd, self._sibling_ended)

    def _unwatch_process(self) -> None:
        if self._pidfd >= 0:
            self._loop.remove_reader(self._pidfd)
            os.close(self._pidfd)
            self._pidfd = -1

    def _sibling_ended(self) -> None:
        self._unwatch_process()
        self._perform_all(self._state.told(Ended(SIBLING)))

    def _on_sibling_message(self, message: Message, fds: list[int]) -> None:
        if isinstance(message, Hello | Ready | Welcome):
            if isinstance(message, Welcome) and len(fds) == 1 and self._listener is None:
                self._listener = socket.socket(fileno=fds.pop())
                self._listener.setblocking(False)
            for fd in fds:
                os.close(fd)
            self._perform_handover(self._handover.heard(message))
        else:
            super()._on_sibling_message(message, fds)

    def _serve_operators(self, on: bool) -> None:
        """Each process has an address of its own for them, from its start to its end."""

    def _close_link(self) -> None:
        linked = self._sibling is not None
        super()._close_link()
        if linked:
            self._perform_handover(self._handover.cut())

    def _to_supervisor(self, message: Message) -> None:
        self._perform_handover(self._handover.seat(message))

    def _perform_handover(self, acts: list[HandoverCommand]) -> None:
        for act in acts:
            try:
                self._perform_handover_command(act)
            except Exception:
                log.exception("could not carry out %s", act)
                self._fail(1)
                return

    def _perform_handover_command(self, act: HandoverCommand) -> None:
        match act:
            case SendToSibling():
                if self._sibling is not None:
                    fds = (
                        [self._listener.fileno()]
                        if act.listener and self._listener is not None
                        else []
                    )
                    self._sibling.send(act.message, fds)
            case TellWorker():
                if isinstance(act.message, Room) and self._gateway is None:
                    return
                self._perform_all(self._state.told(act.message))
            case HandoverStep.PREPARE:
                self._own_task(self._prepare())
            case HandoverStep.OPEN:
                if self._listener is None:
                    self._listener = open_listener(*self._config.listen, shared=True)
            case HandoverStep.PUBLISH:
                self._publish()
            case HandoverStep.CUT:
                self._close_link()

    # Serving.

    async def _prepare(self) -> None:
        linked = self._sibling is not None
        try:
            if linked:
                await selftest(self._config)
            share = self._handover.descriptors // 2 if linked else self._handover.descriptors
            self._build(self._config, share - RESERVED)
            self._state.batch = batch_of(
                self._handover.descriptors
            )  # as many as `Pair` sets apart for
            assert self._gateway is not None
            assert self._gateway.admin is not None
            self._gateway.admin.start()
            self._gateway.admin.serves = lambda: (
                self._state.accepts or self._handover.stage is HandoverStage.STANDS_BY
            )
        except (ConfigError, SelfTestError, OSError) as error:
            print(f"quillroad: {error}", file=sys.stderr)
            self._fail(2 if isinstance(error, ConfigError) else 1)
            return
        self._own_task(self._lend_forever())
        linked = self._sibling is not None  # it may have gone meanwhile
        if linked:
            self._loop.call_at(self._started_at + HANDOVER_TIMEOUT_S, self._handover_is_late)
        self._perform_handover(self._handover.prepared(linked))

    def _handover_is_late(self) -> None:
        if self._handover.stage is HandoverStage.TAKES:
            log.warning("the other process did not hand over in time: this one serves alone")
            self._perform_handover(self._handover.late())

    async def _lend_forever(self) -> None:
        while True:
            await asyncio.sleep(TELL_S)
            if self._state.yielded:
                self._share_attempts()

    def _publish(self) -> None:
        self._stop_listening_for_newcomers()
        self._listening = self._rendezvous.open()
        if self._listening is not None:
            self._loop.add_reader(self._listening.fileno(), self._newcomer)

    def _newcomer(self) -> None:
        assert self._listening is not None
        try:
            sock, _ = self._listening.accept()
        except OSError:
            return
        if self._sibling is None and self._handover.may_come():
            self._open_link(sock)
        else:
            sock.close()

    def _stop_listening_for_newcomers(self) -> None:
        if self._listening is not None:
            self._loop.remove_reader(self._listening.fileno())
            self._listening.close()
            self._listening = None
            self._rendezvous.close()

    # The end.

    def _fail(self, status: int) -> None:
        self.status = status
        self.end.set()

    def drain(self) -> None:
        self._handover.ending = True
        if self._gateway is not None:
            self._gateway.serving_state.end()
        self._stop_listening_for_newcomers()
        super().drain()

    def _end(self) -> None:
        if self._gateway is not None and not self._state.accepts and self._sibling is not None:
            self._perform_all(
                [WorkerStep.FINISH]
            )  # the link stays: connections move for as long as there are some
        else:
            super()._end()

    async def close(self) -> None:
        self._ending = self._handover.ending = True
        self._stop_listening_for_newcomers()
        self._close_link()
        self._unwatch_process()
        await super().close()


async def serve(
    config: Config, again: Callable[[], Config], zones: Path | None, environment: Mapping[str, str]
) -> int:
    """Run one process to its end; returns the status to exit with."""
    loop = asyncio.get_running_loop()
    process = SiblingProcess(loop, config, again, zones, environment.get("TMPDIR"))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, process.drain)
    process.begin()
    await process.end.wait()
    await process.close()
    return process.status


def run(config: Config, again: Callable[[], Config], zones: Path | None = None) -> int:
    """One process from its start to its end; returns the status to exit with."""
    start_log()
    return uvloop.run(serve(config, again, zones, os.environ))
