"""The buffer that all connections of an event loop read into, one after another."""

from __future__ import annotations


class ReadBuffer:
    """A buffer of `size` bytes for `asyncio.BufferedProtocol`.

    The size of a view bounds how much of its input a connection reads at a time; what exceeds it
    stays in the kernel. The bytes are valid until the next read of any connection.
    """

    def __init__(self, size: int) -> None:
        self.whole = memoryview(bytearray(size))

    def part(self, size: int) -> memoryview:
        """Return a part of the buffer to read up to `size` bytes into."""
        return self.whole[:size]
