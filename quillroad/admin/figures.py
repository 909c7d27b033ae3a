"""What the gateway reports, in the Prometheus exposition format (text, version 0.0.4).

Ends of requests are counted where they are decided and nowhere else, so that served, refused,
failed and in flight add up to what was taken. Gauges are read off whoever holds what they show, at
the moment of the call.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from enum import IntEnum

from prometheus_client.core import CollectorRegistry, Metric, UnknownMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4, generate_latest

PREFIX = "svc"
CONTENT_TYPE = CONTENT_TYPE_PLAIN_0_0_4
# Names of the gauges, and the help text of each.
GAUGES = {
    "attempts": "Attempts written whole to hosts since the start of the process.",
    "in_flight": "Requests taken and not ended.",
    "hosts_known": "Hosts in the list.",
    "hosts_excluded": "Listed hosts that are avoided now, by hand or by choice.",
    "reloads_ok": "Reloads of the configuration that took effect.",
    "reloads_failed": "Reloads of the configuration that changed nothing, since it could not work.",
}


class RequestOutcome(IntEnum):
    """How a request ended; the label of its metric is the name in lower case."""

    SERVED = 0
    REFUSED = 1
    FAILED = 2

    @property
    def label(self) -> str:
        """The label's value."""
        return self.name.lower()


OUTCOMES = tuple(RequestOutcome)


def outcome(status: int) -> RequestOutcome:
    """The outcome that an answer's status tells (0: no answer)."""
    if status == 200:
        return RequestOutcome.SERVED
    return RequestOutcome.REFUSED if status in (429, 503) else RequestOutcome.FAILED


class Figures:
    """Counts from 0 for each process.

    `routes` are the names of the routes, by their number; `gauges` reads the present values, by the
    names in `GAUGES`.
    """

    def __init__(self, routes: Sequence[str], gauges: Callable[[], dict[str, float]]) -> None:
        self._routes = routes
        self._gauges = gauges
        # Requests ended, by route and in the order of `OUTCOMES`.
        self.counts = [[0 for _ in OUTCOMES] for _ in routes]
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def ended(self, route: int, status: int) -> None:
        """Count a request that has ended with this status; 0 where it ended with no answer."""
        self.counts[route][outcome(status)] += 1

    def collect(self) -> Iterator[Metric]:
        """Everything as it is now, for the library.

        Untyped, since the names are told without the suffixes that typed families would add.
        """
        requests = UnknownMetricFamily(
            f"{PREFIX}_requests",
            "Requests ended since the start of the process.",
            labels=("class", "outcome"),
        )
        for route, counts in zip(self._routes, self.counts, strict=True):
            for kind, count in zip(OUTCOMES, counts, strict=True):
                requests.add_metric((route, kind.label), count)
        yield requests
        values = self._gauges()
        for name, text in GAUGES.items():
            yield UnknownMetricFamily(f"{PREFIX}_{name}", text, value=values[name])

    def text(self) -> bytes:
        """The whole page of metrics."""
        return generate_latest(self._registry)
