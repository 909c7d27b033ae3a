"""JSON documents out of a stream of bytes. No I/O.

Discovery writes one document a line, or one over many lines where it indents them; between two of them come
empty lines, as signs of life. A string of JSON holds no line's end, so of each line only the brackets outside
of its strings count: once none is open the document is whole. Read line by line an indented list was no JSON
from its first line on, and whoever asked again got the same: no drain was heard for the rest of the day.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class BrokenDocument(Exception):
    """What came cannot become a document any more."""


class Documents:
    """Cuts what comes into documents; one that has begun may hold `limit` bytes."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lines: list[bytes] = []  # of the document that has begun
        self._size = self._open = 0  # of these, in bytes; brackets that are open after them
        self._line = b""  # of the line that has begun

    @property
    def rest(self) -> bytes:
        """What has come and is no whole document."""
        return b"\n".join([*self._lines, self._line])

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Each document that is whole with `data`, in order; `BrokenDocument` where one can't become whole.
        To be exhausted before the next call."""
        *lines, self._line = (self._line + data).split(b"\n")
        for line in lines:
            whole = self._take(line)
            if whole is not None:
                yield whole
        if self._size + len(self._line) > self._limit:
            raise BrokenDocument("a document without end")

    def finish(self) -> Iterator[bytes]:
        """The last document, which need not end in a line's end."""
        yield from self.feed(b"\n")
        if self._lines:
            raise BrokenDocument(f"a document broke off: {self.rest[:60]!r}")

    def _take(self, line: bytes) -> bytes | None:
        """One more line; returns the document that it ends."""
        if not line.strip():
            if self._lines:
                # A sign of life inside a document: its rest does not come any more, and must not be waited
                # for while all that comes after it goes unread.
                raise BrokenDocument(f"a document broke off: {self.rest[:60]!r}")
            return None
        self._lines.append(line)
        self._size += len(line)
        bare = _STRING.sub(b"", line)
        if b'"' in bare:
            raise BrokenDocument(f"a string without end: {line[:60]!r}")
        self._open += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
        if self._open > 0:
            return None
        whole, self._lines, self._size, self._open = b"\n".join(self._lines), [], 0, 0
        return whole
