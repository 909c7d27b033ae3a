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
from quillroad.logs import start_log
from quillroad.overload.acceptor import open_listener
from quillroad.upgrade.messages import Ended, Hello, Message, Ready, Room, Welcome, batch_of
from quillroad.upgrade.pair import BUSY_S, FOUND_S, OTHER, TAKEN_S, Act, Do, Pair, Say, Stage, Tell
from quillroad.upgrade.selftest import SelfTestError, selftest
from quillroad.upgrade.supervised_worker import Seated
from quillroad.upgrade.worker_state import Do as SeatDo

log = logging.getLogger("quillroad.upgrade")

WAITING = 4  # newcomers that the kernel holds
LOOK_S = 0.05  # between two looks for one that serves
TELL_S = 0.1  # between two looks at what can be left to the other
LONGEST_PATH = 100  # bytes of a socket's path; the kernel takes 107


class Meeting:
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


class Beside(Seated):
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
        self._meeting = Meeting(folder, config.listen[1])
        self._door: socket.socket | None = None  # where newcomers come
        build = f"{sys.version_info[0]}.{sys.version_info[1]}"
        self._pair = Pair(config.sockets - admin.RESERVED, build=build)
        self._pidfd = -1  # of the other process
        self._began = loop.time()

    def begin(self) -> None:
        """Look for one that serves, and then serve."""
        self._task(self._look())

    async def _look(self) -> None:
        until = self._began + BUSY_S
        while not self._ending:
            if self._pair.stage is Stage.LOOKS:
                sock = self._meeting.reach() if self._loop.time() < until else None
                if sock is not None:
                    self._link(sock)
                if self._other is None:
                    self._pairs(self._pair.nobody())
                    return
                self._pairs(self._pair.found())
                self._loop.call_later(FOUND_S, self._unanswered)
            elif self._pair.stage is not Stage.ASKS:
                return
            # One that is busy with another newcomer ends the link, and may have time later.
            await asyncio.sleep(LOOK_S)

    def _unanswered(self) -> None:
        if self._pair.stage is Stage.ASKS:
            log.warning("the process that serves does not answer")
            self._pairs(self._pair.nobody())

    # The other process.

    def _link(self, sock: socket.socket) -> None:
        super()._link(sock)
        if self._other is not None:
            self._watch(self._other.peer)

    def _watch(self, pid: int) -> None:
        """See the end of the other process: what it had offered and not released is nobody else's then."""
        self._unwatch()
        try:
            self._pidfd = os.pidfd_open(pid)
        except (OSError, AttributeError):
            return  # the batch at hand is closed where its giver dies in the middle of it
        self._loop.add_reader(self._pidfd, self._ended)

    def _unwatch(self) -> None:
        if self._pidfd >= 0:
            self._loop.remove_reader(self._pidfd)
            os.close(self._pidfd)
            self._pidfd = -1

    def _ended(self) -> None:
        self._unwatch()
        self._do(self._seat.told(Ended(OTHER)))

    def _heard(self, message: Message, fds: list[int]) -> None:
        if isinstance(message, Hello | Ready | Welcome):
            if isinstance(message, Welcome) and len(fds) == 1 and self._listener is None:
                self._listener = socket.socket(fileno=fds.pop())
                self._listener.setblocking(False)
            for fd in fds:
                os.close(fd)
            self._pairs(self._pair.heard(message))
        else:
            super()._heard(message, fds)

    def _operators(self, on: bool) -> None:
        """Each process has an address of its own for them, from its start to its end."""

    def _unlink(self) -> None:
        linked = self._other is not None
        super()._unlink()
        if linked:
            self._pairs(self._pair.cut())

    def _to_keeper(self, message: Message) -> None:
        self._pairs(self._pair.seat(message))

    def _pairs(self, acts: list[Act]) -> None:
        for act in acts:
            try:
                self._pair_act(act)
            except Exception:
                log.exception("could not carry out %s", act)
                self._fail(1)
                return

    def _pair_act(self, act: Act) -> None:
        match act:
            case Say():
                if self._other is not None:
                    fds = (
                        [self._listener.fileno()]
                        if act.listener and self._listener is not None
                        else []
                    )
                    self._other.send(act.message, fds)
            case Tell():
                if isinstance(act.message, Room) and self._gateway is None:
                    return
                self._do(self._seat.told(act.message))
            case Do.PREPARE:
                self._task(self._prepare())
            case Do.OPEN:
                if self._listener is None:
                    self._listener = open_listener(*self._config.listen, shared=True)
            case Do.PUBLISH:
                self._publish()
            case Do.CUT:
                self._unlink()

    # Serving.

    async def _prepare(self) -> None:
        linked = self._other is not None
        try:
            if linked:
                await selftest(self._config)
            share = self._pair.descriptors // 2 if linked else self._pair.descriptors
            self._build(self._config, share - RESERVED)
            self._seat.batch = batch_of(self._pair.descriptors)  # as many as `Pair` sets apart for
            assert self._gateway is not None
            assert self._gateway.admin is not None
            self._gateway.admin.start()
            self._gateway.admin.serves = lambda: (
                self._seat.accepts or self._pair.stage is Stage.STANDS_BY
            )
        except (ConfigError, SelfTestError, OSError) as error:
            print(f"quillroad: {error}", file=sys.stderr)
            self._fail(2 if isinstance(error, ConfigError) else 1)
            return
        self._task(self._lends())
        linked = self._other is not None  # it may have gone meanwhile
        if linked:
            self._loop.call_at(self._began + TAKEN_S, self._late)
        self._pairs(self._pair.prepared(linked))

    def _late(self) -> None:
        if self._pair.stage is Stage.TAKES:
            log.warning("the other process did not hand over in time: this one serves alone")
            self._pairs(self._pair.late())

    async def _lends(self) -> None:
        while True:
            await asyncio.sleep(TELL_S)
            if self._seat.yielded:
                self._tell()

    def _publish(self) -> None:
        self._close_door()
        self._door = self._meeting.open()
        if self._door is not None:
            self._loop.add_reader(self._door.fileno(), self._knock)

    def _knock(self) -> None:
        assert self._door is not None
        try:
            sock, _ = self._door.accept()
        except OSError:
            return
        if self._other is None and self._pair.may_come():
            self._link(sock)
        else:
            sock.close()

    def _close_door(self) -> None:
        if self._door is not None:
            self._loop.remove_reader(self._door.fileno())
            self._door.close()
            self._door = None
            self._meeting.close()

    # The end.

    def _fail(self, status: int) -> None:
        self.status = status
        self.end.set()

    def drain(self) -> None:
        self._pair.ending = True
        if self._gateway is not None:
            self._gateway.serving_state.end()
        self._close_door()
        super().drain()

    def _end(self) -> None:
        if self._gateway is not None and not self._seat.accepts and self._other is not None:
            self._do(
                [SeatDo.FINISH]
            )  # the link stays: connections move for as long as there are some
        else:
            super()._end()

    async def close(self) -> None:
        self._ending = self._pair.ending = True
        self._close_door()
        self._unlink()
        self._unwatch()
        await super().close()


async def serve(
    config: Config, again: Callable[[], Config], zones: Path | None, environment: Mapping[str, str]
) -> int:
    """Run one process to its end; returns the status to exit with."""
    loop = asyncio.get_running_loop()
    process = Beside(loop, config, again, zones, environment.get("TMPDIR"))
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
