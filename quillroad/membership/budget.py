"""The bound on what a gateway says, and on what it lets others say to it. No I/O."""

from __future__ import annotations

from collections import deque

WINDOW_S = 1.0


class Budget:
    """At most so many bytes and datagrams in any stretch of a second, whenever it begins."""

    def __init__(self, most_bytes: int, most_datagrams: int) -> None:
        self.most_bytes, self.most_datagrams = most_bytes, most_datagrams
        self._spent: deque[tuple[float, int]] = deque()  # no longer than most_datagrams
        self._bytes = 0

    def spent(self, now: float) -> float:
        """Which part of the last second's bytes or datagrams has gone, whichever is more."""
        self._forget(now)
        return max(self._bytes / self.most_bytes, len(self._spent) / self.most_datagrams)

    def _forget(self, now: float) -> None:
        while self._spent and self._spent[0][0] <= now - WINDOW_S:
            self._bytes -= self._spent.popleft()[1]

    def take(self, size: int, now: float, part: float = 1.0) -> bool:
        """Whether so many bytes may go now, within this part of the budget: what is less urgent leaves the
        rest to answers and probes. They are spent if so."""
        self._forget(now)
        if (
            self._bytes + size > part * self.most_bytes
            or len(self._spent) + 1 > part * self.most_datagrams
        ):
            return False
        self._spent.append((now, size))
        self._bytes += size
        return True

    @property
    def held(self) -> int:
        """Entries kept, `most_datagrams` at most."""
        return len(self._spent)
