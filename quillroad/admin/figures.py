"""The gateway's metrics in the Prometheus text exposition format, version 0.0.4.

Each request is counted exactly once, where its outcome is decided, so that served, refused, failed
and in-flight requests add up to the requests accepted. Gauges are read from the component that owns
the value at the time of the scrape.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from enum import IntEnum

from prometheus_client.core import CollectorRegistry, Metric, UnknownMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4, generate_latest

PREFIX = "svc"
CONTENT_TYPE = CONTENT_TYPE_PLAIN_0_0_4
# Help text of each gauge, by its name without the prefix.
GAUGES = {
    "attempts": "Attempts written whole to hosts since the start of the process.",
    "in_flight": "Requests taken and not ended.",
    "hosts_known": "Hosts in the list.",
    "hosts_excluded": "Listed hosts that are avoided now, by hand or by choice.",
    "reloads_ok": "Reloads of the configuration that took effect.",
    "reloads_failed": "Reloads of the configuration that changed nothing, since it could not work.",
}


class RequestOutcome(IntEnum):
    """How a request ended."""

    SERVED = 0
    REFUSED = 1
    FAILED = 2

    @property
    def label(self) -> str:
        """The value of the metric's `outcome` label: the member's name in lower case."""
        return self.name.lower()


OUTCOMES = tuple(RequestOutcome)


def outcome(status: int) -> RequestOutcome:
    """Return the outcome that a response status stands for; 0 means that no response was sent."""
    if status == 200:
        return RequestOutcome.SERVED
    return RequestOutcome.REFUSED if status in (429, 503) else RequestOutcome.FAILED


class Figures:
    """Request counters, which start from 0 in each process, and the page of metrics.

    `routes` holds the route names, indexed by route number. `gauges` returns the current values,
    keyed by the names in `GAUGES`.
    """

    def __init__(self, routes: Sequence[str], gauges: Callable[[], dict[str, float]]) -> None:
        self._route_names = routes
        self._read_gauges = gauges
        # Number of requests ended, by route number and then by outcome, in the order of `OUTCOMES`.
        self.counts = [[0 for _ in OUTCOMES] for _ in routes]
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def ended(self, route: int, status: int) -> None:
        """Count a request that ended with this status; 0 means that no response was sent."""
        self.counts[route][outcome(status)] += 1

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics with their current values; `prometheus_client` calls this.

        The metrics are untyped because the library adds a suffix such as `_total` to the names of
        typed families, and the published names have none.
        """
        requests = UnknownMetricFamily(
            f"{PREFIX}_requests",
            "Requests ended since the start of the process.",
            labels=("class", "outcome"),
        )
        for route, counts in zip(self._route_names, self.counts, strict=True):
            for request_outcome, count in zip(OUTCOMES, counts, strict=True):
                requests.add_metric((route, request_outcome.label), count)
        yield requests
        values = self._read_gauges()
        for name, help_text in GAUGES.items():
            yield UnknownMetricFamily(f"{PREFIX}_{name}", help_text, value=values[name])

    def text(self) -> bytes:
        """Return the page of metrics in the text exposition format."""
        return generate_latest(self._registry)
