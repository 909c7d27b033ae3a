"""JSON documents out of a stream of bytes. No I/O.

Discovery writes one document a line, or one over many lines where it indents them. Between two
documents come empty lines, as signs of life. A JSON string holds no line end, so in each line only
the brackets outside of its strings count: once none is open, the document is whole.

Without this, an indented list is no JSON from its first line on, each new watch gets the same, and
no drain is heard for as long as discovery indents.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
SHOWN_BYTES = 60  # of a broken document, in the error


class BrokenDocumentError(Exception):
    """What came cannot become a document any more; the text is one plain line."""


class JsonDocumentStream:
    """Cuts what comes into documents. One that has begun may hold `limit_bytes`."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._lines: list[bytes] = []  # whole ones of the document that has begun
        self._size = 0  # of these, in bytes
        self._open_brackets = 0  # after them
        self._partial_line = b""

    @property
    def rest(self) -> bytes:
        """What has come and is no whole document."""
        return b"\n".join([*self._lines, self._partial_line])

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Each document that is whole with `data`, in order.

        To be exhausted before the next call. Raises `BrokenDocumentError` where one cannot become
        whole.
        """
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            document = self._add_line(line)
            if document is not None:
                yield document
        if self._size + len(self._partial_line) > self._limit_bytes:
            raise BrokenDocumentError("a document without end")

    def finish(self) -> Iterator[bytes]:
        """The last document, which need not end with a line end. Raises as `feed` does."""
        yield from self.feed(b"\n")
        if self._lines:
            raise self._broke_off()

    def _add_line(self, line: bytes) -> bytes | None:
        """One more line; returns the document that it ends."""
        if not line.strip():
            if self._lines:
                # A sign of life inside a document: its rest will not come, and waiting for it would
                # leave unread all that comes after it.
                raise self._broke_off()
            return None
        self._lines.append(line)
        self._size += len(line)
        without_strings = _STRING.sub(b"", line)
        if b'"' in without_strings:
            raise BrokenDocumentError(f"a string without end: {line[:SHOWN_BYTES]!r}")
        self._open_brackets += _opened(without_strings)
        if self._open_brackets > 0:
            return None
        document = b"\n".join(self._lines)
        self._lines, self._size, self._open_brackets = [], 0, 0
        return document

    def _broke_off(self) -> BrokenDocumentError:
        return BrokenDocumentError(f"a document broke off: {self.rest[:SHOWN_BYTES]!r}")


def _opened(line: bytes) -> int:
    """Brackets that a line without strings opens, less those that it closes."""
    opening = line.count(b"{") + line.count(b"[")
    return opening - line.count(b"}") - line.count(b"]")
