"""Splits a byte stream into JSON documents. No I/O.

Discovery writes each document on one line, or on many lines if it indents them. Empty lines between
documents are signs of life. A JSON string contains no line break, so counting the brackets outside
of strings line by line finds the end of a document: it is complete when no bracket is open.

Reading line by line would reject an indented list at its first line, on each new watch again, and
the gateway would miss all drains for as long as discovery indents.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
SHOWN_BYTES = 60  # of a broken document, in the error


class BrokenDocumentError(Exception):
    """The received bytes cannot become a complete document; the message is a single line."""


class JsonDocumentStream:
    """Splits received bytes into documents of at most `limit_bytes` each."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._lines: list[bytes] = []  # complete lines of the current document
        self._size = 0  # of these lines, in bytes
        self._open_brackets = 0  # at the end of these lines
        self._partial_line = b""

    @property
    def rest(self) -> bytes:
        """The received bytes that are not part of a complete document."""
        return b"\n".join([*self._lines, self._partial_line])

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield each document that `data` completes, in order.

        The iterator must be exhausted before the next call. Raises `BrokenDocumentError` if a
        document cannot be completed any more or is too long.
        """
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            document = self._add_line(line)
            if document is not None:
                yield document
        if self._size + len(self._partial_line) > self._limit_bytes:
            raise BrokenDocumentError("a document is too long")

    def finish(self) -> Iterator[bytes]:
        """Yield the last document, which needs no line break at its end. Raises as `feed` does."""
        yield from self.feed(b"\n")
        if self._lines:
            raise self._incomplete_error()

    def _add_line(self, line: bytes) -> bytes | None:
        """Add a line; returns the document that it completes, or None."""
        if not line.strip():
            if self._lines:
                # A sign of life inside a document: its rest will not arrive, and waiting for it
                # would leave the documents after it unread.
                raise self._incomplete_error()
            return None
        self._lines.append(line)
        self._size += len(line)
        without_strings = _STRING.sub(b"", line)
        if b'"' in without_strings:
            raise BrokenDocumentError(f"a string is not terminated: {line[:SHOWN_BYTES]!r}")
        self._open_brackets += _net_open_brackets(without_strings)
        if self._open_brackets > 0:
            return None
        document = b"\n".join(self._lines)
        self._lines, self._size, self._open_brackets = [], 0, 0
        return document

    def _incomplete_error(self) -> BrokenDocumentError:
        return BrokenDocumentError(f"a document is incomplete: {self.rest[:SHOWN_BYTES]!r}")


def _net_open_brackets(line: bytes) -> int:
    """Return the number of opening minus closing brackets in a line without its strings."""
    opening = line.count(b"{") + line.count(b"[")
    return opening - line.count(b"}") - line.count(b"]")
