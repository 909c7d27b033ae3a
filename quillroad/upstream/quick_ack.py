"""Immediate acknowledgement of an answer (`TCP_QUICKACK`, tcp(7)).

A host without TCP_NODELAY holds a small write back until the bytes before it are acknowledged
(Nagle's algorithm, RFC 9293, 3.7.4), and the kernel of this side delays the acknowledgement by 40
to 200 ms (RFC 9293, 3.8.6.3), or until it can travel with the next request. A second answer would
then stay in the host's kernel while the connection is idle, and arrive right after the next
request as if it were the answer to it.
"""

from __future__ import annotations

import socket


class BorrowedSocket(socket.socket):
    """A socket object for a descriptor that a transport owns; it never closes the descriptor.

    It must not be used after the transport has closed. The event loop's own socket object
    duplicates the descriptor for each call, which takes two more system calls.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)

    def __del__(self) -> None:
        self.detach()

    def acknowledge_received(self) -> None:
        """Let the kernel acknowledge all data that was read, if it has not done so yet.

        The option does not last: the kernel delays acknowledgements again once it has sent data.
        """
        try:
            self.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)
        except OSError:  # not TCP, or already reset by the host: there is nothing to acknowledge
            return
