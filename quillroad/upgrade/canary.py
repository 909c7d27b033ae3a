"""Whether a new process does worse than the one before it. No I/O; times are seconds of one clock.

Two shares are compared: of requests that failed, and of those that were not served at all. A share
is only believed as far as its count goes (Wilson's score interval, J. Am. Stat. Assoc. 1927): the
new process is worse when the least that its share can be lies above the most that the old one's can
have been, by more than a margin. That is the same verdict for the same counts, and few requests say
nothing.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class CanaryTuning:
    """Chosen, not tuned: false and missed alarms at these figures were not counted."""

    sure: float = 3.0  # standard deviations
    failed: float = 0.02  # part of requests by which failures may be more
    # Part by which rejections and failures may be more: load differs from one second to the next.
    unserved: float = 0.25
    least: int = 40  # requests of the new process before it is judged
    memory_s: float = 10.0  # of the old process's service that it is compared with
    silent: float = 40.0  # requests that the old one would have had, without one at the new


@dataclass(slots=True)
class RequestCounts:
    """What became of requests."""

    served: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def whole(self) -> int:
        """All of them."""
        return self.served + self.refused + self.failed

    def add(self, other: RequestCounts) -> None:
        """Count those of another span of time, too."""
        self.served += other.served
        self.refused += other.refused
        self.failed += other.failed


def wilson_interval(part: int, whole: int, sure: float) -> tuple[float, float]:
    """The least and the most that a share can be of which `part` of `whole` were seen.

    0 and 1 with none.
    """
    if not whole:
        return 0.0, 1.0
    share, square = part / whole, sure * sure / whole
    middle = share + square / 2
    width = sure * math.sqrt(share * (1 - share) / whole + square / (4 * whole))
    return max(0.0, (middle - width) / (1 + square)), min(1.0, (middle + width) / (1 + square))


@dataclass(slots=True)
class Canary:
    """The last service of the old process, and all of the new one's so far."""

    tuning: CanaryTuning = field(default_factory=CanaryTuning)
    _before: deque[tuple[float, RequestCounts]] = field(default_factory=deque)
    # Times of the new process's first and last report: of what lies outside nothing is known.
    _reports_from: float | None = None
    _reports_until: float = 0.0
    _rate: float = 0.0  # of the old process, requests a second
    _old: RequestCounts = field(default_factory=RequestCounts)
    _new: RequestCounts = field(default_factory=RequestCounts)

    def count_old(self, now: float, counts: RequestCounts) -> None:
        """The process that serves tells what it did since it told last."""
        self._before.append((now, counts))
        while self._before and self._before[0][0] < now - self.tuning.memory_s:
            self._before.popleft()

    def begin(self, now: float) -> None:
        """Another process serves from now on."""
        self._reports_from, self._old, self._new = None, RequestCounts(), RequestCounts()
        for _, counts in self._before:
            self._old.add(counts)
        spent_s = now - self._before[0][0] if len(self._before) > 1 else 0.0
        self._rate = self._old.whole / spent_s if spent_s > 0 else 0.0
        self._before.clear()

    def count_new(self, now: float, counts: RequestCounts) -> None:
        """The new process tells what it did since it told last."""
        if self._reports_from is None:
            self._reports_from = now
        self._reports_until = now
        self._new.add(counts)

    def worse(self) -> str:
        """Why the new process has to go, or nothing."""
        tuning, old, new = self.tuning, self._old, self._new
        if self._reports_from is None:
            return ""
        served_s = self._reports_until - self._reports_from
        if not new.whole and self._rate * served_s >= tuning.silent:
            return f"no request in {served_s:.1f} s, {self._rate:.0f} a second before"
        if new.whole < tuning.least:
            return ""
        if _is_worse(new.failed, new.whole, old.failed, old.whole, tuning.sure, tuning.failed):
            return f"failed: {new.failed} of {new.whole}, {old.failed} of {old.whole} before"
        now_is, was = new.refused + new.failed, old.refused + old.failed
        if _is_worse(now_is, new.whole, was, old.whole, tuning.sure, tuning.unserved):
            return f"not served: {now_is} of {new.whole}, {was} of {old.whole} before"
        return ""


def _is_worse(
    new: int, new_whole: int, old: int, old_whole: int, sure: float, margin: float
) -> bool:
    """Whether the new share certainly lies above the old one by more than the margin."""
    least = wilson_interval(new, new_whole, sure)[0]
    most = wilson_interval(old, old_whole, sure)[1] if old_whole else 0.0
    return least > most + margin
