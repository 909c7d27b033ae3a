"""What a broken document of the endpoint list still tells. No I/O.

A document that broke off or cannot be read whole is not believed as a list. But what it had told by
then counts as notified: a host that it says drains or is gone must get nothing new, whatever became
of the rest. A host of which only the id can be read has changed, and nobody knows how: until the
next list it gets nothing new either.
"""

from __future__ import annotations

import json
import re
from typing import Any, NamedTuple

LONGEST_BYTES = 256 * 1024  # looked at: a list of 1,000 hosts
MOST_UNREADABLE = 64  # places where no entry could be read, before the search ends
NOT_FOUND = -1  # of `str.find`

_decode = json.JSONDecoder().raw_decode
_ID = re.compile(r'"instanceId"\s*:\s*"([^"\\{}]+)"')
_IS_UP = re.compile(r'"lifecycle"\s*:\s*"up"')


class _Found(NamedTuple):
    """What stands at one brace: the id of a host that leaves, or none; and where it ends."""

    name: str | None
    end: int
    readable: bool


def draining_ids(document: bytes) -> list[str]:
    """Ids of the hosts that a broken document says drain or are gone.

    Also those of which it may have been about to say so. They come in the document's order.
    """
    text = document[:LONGEST_BYTES].decode("utf-8", "replace")
    position = text.find('"instances"')
    if position != NOT_FOUND:
        position = text.find("{", position)
    names: list[str] = []
    unreadable = 0
    while position != NOT_FOUND and unreadable < MOST_UNREADABLE:
        found = _entry_at(text, position)
        unreadable += not found.readable
        if found.name is not None:
            names.append(found.name)
        position = text.find("{", found.end)
    return names


def _entry_at(text: str, position: int) -> _Found:
    try:
        entry, end = _decode(text, position)
    except (ValueError, RecursionError):
        return _unreadable_entry_at(text, position)
    return _Found(_leaving_id(entry), end, readable=True)


def _leaving_id(entry: Any) -> str | None:
    name = entry.get("instanceId")
    leaves = entry.get("lifecycle") in ("draining", "removed")
    return name if leaves and isinstance(name, str) else None


def _unreadable_entry_at(text: str, position: int) -> _Found:
    """Past what cannot be read, the next entry may be whole."""
    end = position + 1
    following = text.find("{", end)
    part = text[position : following if following != NOT_FOUND else len(text)]
    named = _ID.search(part)
    name = named[1] if named and not _IS_UP.search(part) else None
    return _Found(name, end, readable=False)
