"""What the gateway reports, in the exposition format (text, version 0.0.4).

Ends of requests are counted where they are decided and nowhere else, so that served, refused, failed and in
flight add up to what was taken. Gauges are read off whoever holds what they show, at the moment of the call.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from prometheus_client.core import CollectorRegistry, Metric, UnknownMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4, generate_latest

PREFIX = "svc"
CONTENT_TYPE = CONTENT_TYPE_PLAIN_0_0_4
OUTCOMES = ("served", "refused", "failed")
GAUGES = {
    "attempts": "Attempts written whole to hosts since the start of the process.",
    "in_flight": "Requests taken and not ended.",
    "hosts_known": "Hosts in the list.",
    "hosts_excluded": "Listed hosts that are avoided now, by hand or by choice.",
    "reloads_ok": "Reloads of the configuration that took effect.",
    "reloads_failed": "Reloads of the configuration that changed nothing, since it could not work.",
}


def outcome(status: int) -> int:
    """Place in `OUTCOMES` of an answer's status (0: no answer)."""
    if status == 200:
        return 0
    return 1 if status in (429, 503) else 2


class Figures:
    """Counts from 0 for each process. `gauges` reads the present values, by the names in `GAUGES`."""

    def __init__(self, classes: Sequence[str], gauges: Callable[[], dict[str, float]]) -> None:
        self._classes, self._gauges = classes, gauges
        self.counts = [[0, 0, 0] for _ in classes]  # by class, in the order of `OUTCOMES`
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def ended(self, route: int, status: int) -> None:
        """A request has ended with this answer; 0 where it ended with none."""
        self.counts[route][outcome(status)] += 1

    def collect(self) -> Iterator[Metric]:
        """For the library: everything as it is now. The names are told without the suffixes that typed
        families would add, so these go out untyped."""
        requests = UnknownMetricFamily(
            f"{PREFIX}_requests",
            "Requests ended since the start of the process.",
            labels=("class", "outcome"),
        )
        for name, counts in zip(self._classes, self.counts, strict=True):
            for kind, count in zip(OUTCOMES, counts, strict=True):
                requests.add_metric((name, kind), count)
        yield requests
        values = self._gauges()
        for name, text in GAUGES.items():
            yield UnknownMetricFamily(f"{PREFIX}_{name}", text, value=values[name])

    def text(self) -> bytes:
        """The whole page."""
        return generate_latest(self._registry)
