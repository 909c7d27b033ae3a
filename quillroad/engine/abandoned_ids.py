"""Ids of requests whose clients have left, and which must not be sent again. No I/O.

A client may close its connection and send the request again with the same id, here or at the other
process of an upgrade, while a host still works on the first one: its effect would happen twice.
"""

from __future__ import annotations

from hashlib import blake2b

# Time (s) for which an id is remembered: longer than hosts work on a request whose client has left.
HOLD_S = 10.0
MAX_IDS = 8192
# Longer ids are remembered by a digest, so that the size of the table has a bound.
MAX_ID_CHARACTERS = 64


def table_key(request_id: str) -> str:
    """Return what is remembered of an id: the id itself, or the digest of a long one.

    The key of a key is the key itself.
    """
    if len(request_id) <= MAX_ID_CHARACTERS:
        return request_id
    return blake2b(request_id.encode("latin-1", "replace"), digest_size=16).hexdigest()


class AbandonedIds:
    """A bounded set of ids that forgets each after `HOLD_S`, and the oldest beyond `MAX_IDS`.

    Times are seconds of the monotonic clock. `forget_at` has the ids, the oldest first.
    """

    def __init__(self) -> None:
        self.forget_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self.forget_at)

    def remember(self, request_id: str, now: float) -> None:
        """Remember an id from now on, also if it is remembered already."""
        key = table_key(request_id)
        self.forget_at.pop(key, None)
        self.forget_at[key] = now + HOLD_S
        while len(self.forget_at) > MAX_IDS:
            del self.forget_at[next(iter(self.forget_at))]

    def contains(self, request_id: str, now: float) -> bool:
        """Return whether an id is remembered."""
        self._forget(now)
        return bool(self.forget_at) and table_key(request_id) in self.forget_at

    def ids(self, now: float) -> list[str]:
        """Return all ids that are remembered, long ones as their digests."""
        self._forget(now)
        return list(self.forget_at)

    def _forget(self, now: float) -> None:
        while self.forget_at:
            oldest = next(iter(self.forget_at))
            if self.forget_at[oldest] > now:
                return
            del self.forget_at[oldest]
