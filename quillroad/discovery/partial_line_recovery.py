"""What a broken line of the list still tells. No I/O.

A line that broke off or can't be read whole is not believed as a list. But what it had told by then is told:
a host that it says drains or is gone must get nothing new, whatever became of the rest. A host of which only
the id can be read has changed, and nobody knows how: until the next list it gets nothing new either.
"""

from __future__ import annotations

import json
import re
from typing import Any

LONGEST, MOST_UNREADABLE = 256 * 1024, 64  # bytes looked at; places where no entry could be read
_decode = json.JSONDecoder().raw_decode
_named = re.compile(r'"instanceId"\s*:\s*"([^"\\{}]+)"')
_up = re.compile(r'"lifecycle"\s*:\s*"up"')


def leaving(line: bytes) -> list[str]:
    """Ids of the hosts that a broken line says, or may have been about to say, drain or are gone, in their
    order."""
    text = line[:LONGEST].decode("utf-8", "replace")
    at = text.find('"instances"')
    at = text.find("{", at) if at >= 0 else -1
    names: list[str] = []
    unreadable = 0
    while at >= 0 and unreadable < MOST_UNREADABLE:
        entry: Any
        try:
            entry, end = _decode(text, at)
        except (ValueError, RecursionError):
            unreadable += 1
            end = at + 1  # past what can't be read, the next entry may be whole
            after = text.find("{", end)
            part = text[at : after if after >= 0 else len(text)]
            named = _named.search(part)
            if named and not _up.search(part):
                names.append(named[1])
        else:
            if entry.get("lifecycle") in ("draining", "removed") and isinstance(
                entry.get("instanceId"), str
            ):
                names.append(entry["instanceId"])
        at = text.find("{", end)
    return names
