"""Canary analysis: whether a new process does worse than the old one. No I/O.

Times are seconds of one monotonic clock. Two proportions are compared: requests that failed, and
requests that were not served (rejected or failed). Each proportion is estimated by its Wilson score
interval (J. Am. Stat. Assoc. 1927): the new process is worse when the lower bound of its proportion
exceeds the upper bound of the old one's by more than a margin. The verdict depends on the counts
only, and too few requests give no verdict.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class CanaryTuning:
    """Thresholds of the comparison."""

    z_score: float = 3.0  # standard deviations of the confidence intervals
    failed_margin: float = 0.02  # allowed increase of the proportion of failed requests
    # Allowed increase of the proportion of rejected or failed requests; wider than the margin for
    # failures because load, and rejections with it, differs from one second to the next.
    unserved_margin: float = 0.25
    min_requests: int = 40  # of the new process, before its proportions are compared
    baseline_s: float = 10.0  # the last seconds of the old process that form the baseline
    # A new process without requests is worse once the old rate predicts at least this many.
    min_expected_requests: float = 40.0


@dataclass(slots=True)
class RequestCounts:
    """Numbers of requests by outcome."""

    served: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """Number of requests of all outcomes."""
        return self.served + self.refused + self.failed

    def add(self, other: RequestCounts) -> None:
        """Add the counts of another period."""
        self.served += other.served
        self.refused += other.refused
        self.failed += other.failed


def wilson_interval(count: int, total: int, z_score: float) -> tuple[float, float]:
    """Return the Wilson score interval of a proportion: `count` of `total` were observed.

    The interval is (0, 1) if `total` is 0.
    """
    if not total:
        return 0.0, 1.0
    share, square = count / total, z_score * z_score / total
    middle = share + square / 2
    width = z_score * math.sqrt(share * (1 - share) / total + square / (4 * total))
    return max(0.0, (middle - width) / (1 + square)), min(1.0, (middle + width) / (1 + square))


@dataclass(slots=True)
class Canary:
    """Compares the new process since the switch with the last seconds of the old one."""

    tuning: CanaryTuning = field(default_factory=CanaryTuning)
    _baseline: deque[tuple[float, RequestCounts]] = field(default_factory=deque)
    # Times of the new process's first and last report; its requests outside them are unknown.
    _first_report_at: float | None = None
    _last_report_at: float = 0.0
    _old_rate_per_s: float = 0.0  # requests per second during the baseline
    _old: RequestCounts = field(default_factory=RequestCounts)
    _new: RequestCounts = field(default_factory=RequestCounts)

    def record_old(self, now: float, counts: RequestCounts) -> None:
        """Add the counts that the serving process reports for the time since its last report."""
        self._baseline.append((now, counts))
        while self._baseline and self._baseline[0][0] < now - self.tuning.baseline_s:
            self._baseline.popleft()

    def begin(self, now: float) -> None:
        """Start the comparison: the new process serves from `now` on."""
        self._first_report_at, self._old, self._new = None, RequestCounts(), RequestCounts()
        for _, counts in self._baseline:
            self._old.add(counts)
        elapsed_s = now - self._baseline[0][0] if len(self._baseline) > 1 else 0.0
        self._old_rate_per_s = self._old.total / elapsed_s if elapsed_s > 0 else 0.0
        self._baseline.clear()

    def record_new(self, now: float, counts: RequestCounts) -> None:
        """Add the counts that the new process reports for the time since its last report."""
        if self._first_report_at is None:
            self._first_report_at = now
        self._last_report_at = now
        self._new.add(counts)

    def regression(self) -> str:
        """Return why the new process is worse than the old one; empty if it is not."""
        tuning, old, new = self.tuning, self._old, self._new
        if self._first_report_at is None:
            return ""
        served_s = self._last_report_at - self._first_report_at
        if not new.total and self._old_rate_per_s * served_s >= tuning.min_expected_requests:
            return f"no request in {served_s:.1f} s, {self._old_rate_per_s:.0f} a second before"
        if new.total < tuning.min_requests:
            return ""
        if _is_worse(
            new.failed, new.total, old.failed, old.total, tuning.z_score, tuning.failed_margin
        ):
            return f"failed: {new.failed} of {new.total}, {old.failed} of {old.total} before"
        new_unserved, old_unserved = new.refused + new.failed, old.refused + old.failed
        if _is_worse(
            new_unserved, new.total, old_unserved, old.total, tuning.z_score, tuning.unserved_margin
        ):
            return (
                f"not served: {new_unserved} of {new.total}, {old_unserved} of {old.total} before"
            )
        return ""


def _is_worse(
    new: int, new_total: int, old: int, old_total: int, z_score: float, margin: float
) -> bool:
    """Whether the intervals of the two proportions are more than `margin` apart, the new above."""
    new_lower = wilson_interval(new, new_total, z_score)[0]
    old_upper = wilson_interval(old, old_total, z_score)[1] if old_total else 0.0
    return new_lower > old_upper + margin
