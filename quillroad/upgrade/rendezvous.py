"""Where a process of a gateway finds the one that serves: a socket in a folder that both have.

Only their user can open it. Without a folder nobody is found, and nobody finds.
"""

from __future__ import annotations

import contextlib
import logging
import os
import socket
from collections.abc import Iterator
from pathlib import Path

log = logging.getLogger("quillroad.upgrade")

MOST_WAITING = 4  # newcomers that the kernel holds
LONGEST_PATH_BYTES = 100  # of a socket; the kernel takes 107
ONLY_OWNER = 0o177  # mask of the socket's permissions


class Rendezvous:
    """The place in `folder` where a newcomer finds who serves at `port`."""

    def __init__(self, folder: str | None, port: int) -> None:
        self._name = f"quillroad-{port}.sock"
        self._folder = Path(folder) if folder else None
        self._inode = 0  # of the own file there

    @contextlib.contextmanager
    def _path(self, name: str) -> Iterator[Path]:
        """A path that the kernel takes, however long the folder's is."""
        assert self._folder is not None
        path = self._folder / name
        if len(os.fsencode(path)) <= LONGEST_PATH_BYTES:
            yield path
            return
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield Path(f"/proc/self/fd/{folder}/{name}")
        finally:
            os.close(folder)

    def reach(self) -> socket.socket | None:
        """A link to whoever serves; None where nobody does."""
        if self._folder is None:
            return None
        sock = _local_socket()
        try:
            with self._path(self._name) as path:
                sock.connect(str(path))
        except OSError:  # no file, a stale one, or too many newcomers
            sock.close()
            return None
        return sock

    def open(self) -> socket.socket | None:
        """Be found there, in place of whoever was; None, and a log line, where that fails."""
        if self._folder is None:
            return None
        sock = _local_socket()
        mask_before = os.umask(ONLY_OWNER)
        try:
            self._bind(sock)
        except OSError as error:
            log.warning("the next process will not find this one: %s: %s", self._folder, error)
            sock.close()
            return None
        finally:
            os.umask(mask_before)
        return sock

    def _bind(self, sock: socket.socket) -> None:
        """Listen under a name of its own, then replace the common one in one step."""
        own = f"{self._name}.{os.getpid()}"
        with self._path(own) as path, self._path(self._name) as final:
            path.unlink(missing_ok=True)
            sock.bind(str(path))
            sock.listen(MOST_WAITING)
            path.replace(final)
            self._inode = final.stat().st_ino

    def close(self) -> None:
        """Be found no more; a file that is another's by now stays."""
        with contextlib.suppress(OSError), self._path(self._name) as path:
            if path.stat().st_ino == self._inode:
                path.unlink()


def _local_socket() -> socket.socket:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    return sock
