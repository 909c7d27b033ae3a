"""What the polling waits cost and bring: a whole cluster of gateways at one discovery service.

    python -m bench.discovery_calls

For services that take one call from each gateway in 2 to 8 s: the part of the gateways that have
their list later than 6.5 s after the watches fell silent, ended, the gateways started, or the
service came back; the last gateway's time; calls for each gateway; and the most calls in one
second. Simulated time: same figures on every machine.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from itertools import product

from testbed.service import Service, lists_after, most_calls

LATE_S = 6.5  # a change counts as notified after 6 s, and attempts may go on for 0.5 s
SEEDS = range(5)
GATEWAY_COUNTS = (4, 40, 200)
ROUND_TIMES_S = (2.0, 4.0, 5.0, 6.0, 8.0)  # in which a service takes one call from each gateway
OVERBOOKING = (1.0, 3.0)  # calls that a service takes on, as a multiple of their timeout
DOWN_S = 8.0  # for which a service that is down stays down
HEADER = "gateways  service  overbook  event     late  last   calls each  most in 1 s"


class Event(StrEnum):
    """Why all gateways poll at once."""

    SILENT = "silent"  # their watches fall silent
    ENDED = "ended"  # their watches end
    START = "start"  # they start
    DOWN = "down"  # their watches end, and the service is down for a while


@dataclass(frozen=True, slots=True)
class Case:
    """So many gateways at a service that takes one call from each of them in `round_s` seconds."""

    gateways: int
    round_s: float
    overbook: float
    event: Event

    @property
    def up_s(self) -> float:
        """When the service is up, in seconds from the event."""
        return DOWN_S if self.event is Event.DOWN else 0.0

    def run(self, seed: int) -> Run:
        """Simulate the case once; the same seed gives the same run."""
        service = Service(self.round_s / self.gateways, self.overbook, self.up_s)
        listed_at = lists_after(
            self.gateways,
            service,
            seed,
            silent=self.event is Event.SILENT,
            start=self.event is Event.START,
        )
        return Run([at - self.up_s for at in listed_at], service.calls)


@dataclass(frozen=True, slots=True)
class Run:
    """What came of one simulated case."""

    waits_s: list[float]  # of each gateway for its list, from when the service is up
    calls: list[float]  # when each call was made, in seconds from the event

    @property
    def late(self) -> int:
        """How many gateways had their list too late."""
        return sum(wait_s > LATE_S for wait_s in self.waits_s)


def mean_each(totals: list[int], gateways: int) -> float:
    """The mean for one gateway of the totals of some runs."""
    return sum(total / gateways / len(totals) for total in totals)


def print_case(case: Case) -> None:
    """Simulate a case with each seed, and print the means and maxima under `HEADER`."""
    runs = [case.run(seed) for seed in SEEDS]
    late_fraction = mean_each([run.late for run in runs], case.gateways)
    last_s = max(max(run.waits_s) for run in runs)
    calls_each = mean_each([len(run.calls) for run in runs], case.gateways)
    peak_calls = max(most_calls(run.calls) for run in runs)
    print(
        f"{case.gateways:8d}  {case.round_s:5.0f} s  {case.overbook:8.0f}  {case.event:8s}"
        f" {late_fraction:5.2f} {last_s:5.1f} s {calls_each:11.1f} {peak_calls:12d}"
    )


def main() -> None:
    """Print a row for each case."""
    print(HEADER)
    for values in product(GATEWAY_COUNTS, ROUND_TIMES_S, OVERBOOKING, Event):
        print_case(Case(*values))


if __name__ == "__main__":
    main()
