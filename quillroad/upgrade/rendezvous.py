"""The Unix socket by which a new process of a gateway finds the process that serves.

It lies in a folder that both processes share, and only their user can open it. Without such a
folder, processes do not find each other.
"""

from __future__ import annotations

import contextlib
import logging
import os
import socket
from collections.abc import Iterator
from pathlib import Path

log = logging.getLogger("quillroad.upgrade")

MAX_PENDING_CONNECTIONS = 4  # listen(2) backlog: new processes that wait to be accepted
MAX_PATH_BYTES = 100  # of a socket path; the kernel accepts 107
OWNER_ONLY_UMASK = 0o177  # makes the socket accessible to its owner only


class Rendezvous:
    """The socket in `folder` at which a new process finds the one that serves `port`."""

    def __init__(self, folder: str | None, port: int) -> None:
        self._name = f"quillroad-{port}.sock"
        self._folder = Path(folder) if folder else None
        self._inode = 0  # of the socket file that this process made

    @contextlib.contextmanager
    def _path(self, name: str) -> Iterator[Path]:
        """Yield a path to `name` that is short enough for the kernel.

        A long path goes through `/proc/self/fd`.
        """
        assert self._folder is not None
        path = self._folder / name
        if len(os.fsencode(path)) <= MAX_PATH_BYTES:
            yield path
            return
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield Path(f"/proc/self/fd/{folder}/{name}")
        finally:
            os.close(folder)

    def reach(self) -> socket.socket | None:
        """Connect to the process that serves; return None if there is none."""
        if self._folder is None:
            return None
        sock = _local_socket()
        try:
            with self._path(self._name) as path:
                sock.connect(str(path))
        except OSError:  # no file, a stale file, or a full backlog
            sock.close()
            return None
        return sock

    def open(self) -> socket.socket | None:
        """Listen at the rendezvous, replacing the socket of the process before.

        Returns None, and logs a warning, if that fails.
        """
        if self._folder is None:
            return None
        sock = _local_socket()
        mask_before = os.umask(OWNER_ONLY_UMASK)
        try:
            self._bind(sock)
        except OSError as error:
            log.warning(
                "cannot listen for the next process in folder %s, it will not find this one: %s",
                self._folder,
                error,
            )
            sock.close()
            return None
        finally:
            os.umask(mask_before)
        return sock

    def _bind(self, sock: socket.socket) -> None:
        """Listen under a name of this process, then rename it to the common name atomically."""
        own_name = f"{self._name}.{os.getpid()}"
        with self._path(own_name) as path, self._path(self._name) as final:
            path.unlink(missing_ok=True)
            sock.bind(str(path))
            sock.listen(MAX_PENDING_CONNECTIONS)
            path.replace(final)
            self._inode = final.stat().st_ino

    def close(self) -> None:
        """Remove the socket file, unless another process has replaced it."""
        with contextlib.suppress(OSError), self._path(self._name) as path:
            if path.stat().st_ino == self._inode:
                path.unlink()


def _local_socket() -> socket.socket:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    return sock
