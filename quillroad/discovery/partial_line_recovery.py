"""Recovery of drains from a broken document of the endpoint list. No I/O.

A document that is incomplete or cannot be read as a whole is not used as a list. But the changes in
its readable part count as notified: a host that it reports as draining or removed must get no new
requests. A host of which only the id can be read has changed in an unknown way, so it gets no new
requests either until the next list.
"""

from __future__ import annotations

import json
import re
from typing import Any, NamedTuple

MAX_SCANNED_BYTES = 256 * 1024  # of the document's start are scanned: a list of 1,000 hosts
MAX_UNREADABLE_ENTRIES = 64  # positions without a readable entry after which the scan ends
NOT_FOUND = -1  # result of `str.find`

_decode = json.JSONDecoder().raw_decode
_ID = re.compile(r'"instanceId"\s*:\s*"([^"\\{}]+)"')
_IS_UP = re.compile(r'"lifecycle"\s*:\s*"up"')


class _ScannedEntry(NamedTuple):
    """The entry at an opening brace: the id of a host that leaves, or None, and the entry's end."""

    name: str | None
    end: int
    readable: bool


def draining_ids(document: bytes, only_readable: bool = False) -> list[str]:
    """Return the ids of hosts that a broken document reports as draining or removed.

    Hosts whose entry breaks off before their state are included, unless `only_readable`. The order
    is the document's.
    """
    text = document[:MAX_SCANNED_BYTES].decode("utf-8", "replace")
    position = text.find('"instances"')
    if position != NOT_FOUND:
        position = text.find("{", position)
    names: list[str] = []
    unreadable = 0
    while position != NOT_FOUND and unreadable < MAX_UNREADABLE_ENTRIES:
        scanned = _entry_at(text, position)
        unreadable += not scanned.readable
        if scanned.name is not None and (scanned.readable or not only_readable):
            names.append(scanned.name)
        position = text.find("{", scanned.end)
    return names


def _entry_at(text: str, position: int) -> _ScannedEntry:
    try:
        entry, end = _decode(text, position)
    except (ValueError, RecursionError):
        return _unreadable_entry_at(text, position)
    return _ScannedEntry(_leaving_id(entry), end, readable=True)


def _leaving_id(entry: Any) -> str | None:
    name = entry.get("instanceId")
    leaves = entry.get("lifecycle") in ("draining", "removed")
    return name if leaves and isinstance(name, str) else None


def _unreadable_entry_at(text: str, position: int) -> _ScannedEntry:
    """Return the id in an unreadable entry; the scan goes on after its brace."""
    end = position + 1
    following = text.find("{", end)
    part = text[position : following if following != NOT_FOUND else len(text)]
    named = _ID.search(part)
    name = named[1] if named and not _IS_UP.search(part) else None
    return _ScannedEntry(name, end, readable=False)
