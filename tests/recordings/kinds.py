"""What a recording is made of: kinds of documents, and the text form in which they are kept."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

HEX = "hex:"  # before the bytes of a document that is no text

Documents = Mapping[str, bytes | str]


class Kind(NamedTuple):
    """One kind of document. `build` encodes its instances, by name, as the program does. `reencode`
    decodes an instance as a later process would and encodes it again; None where the program has no
    decoder."""

    build: Callable[[], Documents]
    reencode: Callable[[str, bytes], bytes] | None = None


def to_text(document: bytes | str) -> str:
    """A document as it stands in the recording: text as it is, other bytes as hexadecimal."""
    return document if isinstance(document, str) else HEX + document.hex()


def from_text(text: str) -> bytes:
    """The bytes of a recorded document."""
    return bytes.fromhex(text.removeprefix(HEX)) if text.startswith(HEX) else text.encode()


def parameters(test: Any) -> list[Any]:
    """The cases that a test of the suite is parametrized with."""
    for mark in test.pytestmark:
        if mark.name == "parametrize":
            return list(mark.args[1])
    raise ValueError(f"{test.__name__}: not parametrized")
