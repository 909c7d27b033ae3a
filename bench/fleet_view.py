"""How fast views agree, and what that costs: `python -m bench.fleet_view [--seeds 50] [--jobs 8]`.

Failure detectors run on the same simulated network with the same seeds. The table has a row for
each fleet size, event and detector:

    members        fleet size
    event          what happens to the fleet, which agreed before (but for the start)
    way            the failure detector, see below
    median s, worst s  seconds from the event until all views agree, over the seeds that converged;
                   0 for slow members, since no view should change
    never          seeds whose views never converged (in 60 s after the event)
    false ends     false positives: pairs of which one held the other for faulty, which ran; the
                   sum of all seeds
    B/s, most B/s  bytes that a member sends a second: mean, and the most of any member and seed
    datagrams/s    datagrams that a member sends a second
    us a datagram  CPU time of this machine for a datagram sent, simulation included

The detectors, by their names in the column and in `--ways`:

    own            the gateway's: SWIM with Lifeguard (quillroad.membership)
    own aloud      the same, with a broadcast address besides
    plain SWIM     the same without Lifeguard
    heartbeats     heartbeats from all to all
    phi-accrual    heartbeats from all to all, judged by the distribution of their intervals
    cut detection  many observers of each member that vote on who has failed (Rapid)

`--jobs` runs go side by side. `--json FILE` keeps the figures, `--plot FILE` draws the times.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from itertools import product
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from bench.fleet_events import DATAGRAM_LOSS, EVENTS, HEAL, JOIN, PARTITION, SETTLE_S, START
from bench.fleet_groups import partition_sides
from bench.tables import header, row
from quillroad.membership.core import Core
from quillroad.membership.roster import Address
from quillroad.membership.timing import Timing
from quillroad.membership.view import ChangeKind
from simulation.cuts import Cuts
from simulation.fleet import BROADCAST_TARGET, Fleet, Part
from simulation.heartbeats import Heartbeats
from simulation.net import Link, World
from simulation.phi import Phi

if TYPE_CHECKING:
    from matplotlib.axes import Axes

START_TIMEOUT_S = 20.0  # for the agreement that comes before every event but the start
LEAST_MEASURED_S = 0.1  # divisor of rates where the views agreed at once
PLOT_INCHES = (6, 4)  # of one size's panel: width, height
BAR_WIDTH, BAR_STEP = 0.25, 0.27  # of a detector's bars, where 1 is the space of an event


class Detector(NamedTuple):
    """A failure detector: what runs in each member, and the broadcast address if there is one."""

    make: Callable[..., Part]
    timing: Timing = Timing()
    broadcast_address: Address | None = None


# The printed names are those of the journal: the docstring explains them.
DETECTORS = {
    "own": Detector(Core),
    "own aloud": Detector(Core, broadcast_address=BROADCAST_TARGET),
    "plain SWIM": Detector(Core, replace(Timing(), lifeguard=False)),
    "heartbeats": Detector(Heartbeats),
    "phi-accrual": Detector(Phi),
    "cut detection": Detector(Cuts),
}


@dataclass(frozen=True)
class Run:
    """One event in one fleet with one seed; rates are those of the members that run after it.

    `agreed_s`: seconds from the event until all views agreed, None: not in time.
    `false_failures`: pairs of whom one held the other, which ran, for faulty.
    """

    agreed_s: float | None
    false_failures: int
    mean_bytes_per_s: float
    most_bytes_per_s: float
    datagrams_per_s: float
    cpu_us_per_datagram: float


class _Traffic(NamedTuple):
    """What a member has sent since its start."""

    size_bytes: int
    datagrams: int


def play(detector_name: str, event: str, size: int, seed: int) -> Run:
    """Let one event happen to a fleet of `size` members, and measure it."""
    fleet = _started_fleet(DETECTORS[detector_name], event, size, seed)
    began_s, before = fleet.world.now, _traffic(fleet)
    cpu_began_s = time.process_time()
    agreed_s = EVENTS[event](fleet)
    cpu_s = time.process_time() - cpu_began_s
    measured_s = max(LEAST_MEASURED_S, fleet.world.now - began_s)
    sent = [
        _Traffic(after.size_bytes - old.size_bytes, after.datagrams - old.datagrams)
        for after, old in zip(_traffic(fleet), before, strict=True)
    ]
    of_running = [sent[member.number] for member in fleet.running()]
    return Run(
        agreed_s=agreed_s,
        false_failures=_false_failures(fleet, event, began_s),
        mean_bytes_per_s=statistics.mean(t.size_bytes / measured_s for t in of_running),
        most_bytes_per_s=max(t.size_bytes / measured_s for t in of_running),
        datagrams_per_s=statistics.mean(t.datagrams / measured_s for t in of_running),
        cpu_us_per_datagram=1e6 * cpu_s / max(1, sum(t.datagrams for t in sent)),
    )


def _started_fleet(detector: Detector, event: str, size: int, seed: int) -> Fleet:
    """A fleet as it is before the event: all agree and have done so for a while.

    Before the start nothing runs, and before a join the last member does not run.
    """
    world = World(seed, Link(loss=DATAGRAM_LOSS))
    fleet = Fleet(world, size, detector.timing, detector.make, detector.broadcast_address)
    fleet.start(range(size - 1 if event == JOIN else size), within_s=1.0)
    if event != START:
        fleet.until(fleet.agreed, START_TIMEOUT_S)
        world.run(world.now + SETTLE_S)
    return fleet


def _traffic(fleet: Fleet) -> list[_Traffic]:
    return [_Traffic(member.bytes, member.datagrams) for member in fleet.members]


def _false_failures(fleet: Fleet, event: str, since_s: float) -> int:
    """Pairs of whom one held the other for faulty after `since_s`, though both ran.

    Across a partition that is no mistake and does not count.
    """
    running = {member.number for member in fleet.running()}
    is_partitioned = event in (PARTITION, HEAL)
    sides = partition_sides(len(fleet.members)) if is_partitioned else (running,)
    pairs = set(_held_for_faulty(fleet, since_s))
    return sum(
        faulty in running and any({observer, faulty} <= side for side in sides)
        for observer, faulty in pairs
    )


def _held_for_faulty(fleet: Fleet, since_s: float) -> Iterator[tuple[int, int]]:
    """Observer and member, each time that one came to hold the other for faulty after `since_s`."""
    for observer in fleet.members:
        for change in observer.history:
            # Without an incarnation the member was never heard of: it did not start in time.
            is_failure = change.kind is ChangeKind.FAULTY and change.incarnation > 0
            if is_failure and change.at > since_s:
                yield observer.number, change.number


@dataclass(frozen=True)
class Summary:
    """The runs of one event, fleet size and detector over all seeds, rounded for the table.

    Times are seconds, None where no run agreed; rates and CPU time are means of the runs, but
    `most_bytes_per_s`; counts are sums.
    """

    median_s: float | None
    worst_s: float | None
    never_agreed: int
    false_failures: int
    mean_bytes_per_s: int
    most_bytes_per_s: int
    datagrams_per_s: float
    cpu_us_per_datagram: int

    def figures(self) -> dict[str, float | None]:
        """All figures by their names in the JSON file, in the order of the table's columns."""
        return {
            "median": self.median_s,
            "worst": self.worst_s,
            "never": self.never_agreed,
            "false": self.false_failures,
            "bytes": self.mean_bytes_per_s,
            "most": self.most_bytes_per_s,
            "datagrams": self.datagrams_per_s,
            "cpu_us": self.cpu_us_per_datagram,
        }


COLUMNS = (
    "members",
    "event",
    "way",
    "median s",
    "worst s",
    "never",
    "false ends",
    "B/s",
    "most B/s",
    "datagrams/s",
    "us a datagram",
)


def summarize(runs: Sequence[Run]) -> Summary:
    """Put the runs of all seeds (at least one) together."""
    times_s = sorted(run.agreed_s for run in runs if run.agreed_s is not None)
    return Summary(
        median_s=round(statistics.median(times_s), 1) if times_s else None,
        worst_s=round(times_s[-1], 1) if times_s else None,
        never_agreed=len(runs) - len(times_s),
        false_failures=sum(run.false_failures for run in runs),
        mean_bytes_per_s=round(statistics.mean(run.mean_bytes_per_s for run in runs)),
        most_bytes_per_s=round(max(run.most_bytes_per_s for run in runs)),
        datagrams_per_s=round(statistics.mean(run.datagrams_per_s for run in runs), 1),
        cpu_us_per_datagram=round(statistics.mean(run.cpu_us_per_datagram for run in runs)),
    )


BySize = dict[int, dict[str, dict[str, Summary]]]
"""Summaries by fleet size, detector and event."""


def draw(results: BySize, file: Path) -> None:
    """Draw a panel for each fleet size: the events that all detectors played, a bar for each."""
    import matplotlib as mpl  # noqa: PLC0415 - only needed with --plot

    mpl.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    played = [by_event for by_detector in results.values() for by_event in by_detector.values()]
    events = [event for event in EVENTS if all(event in by_event for by_event in played)]
    width, height = PLOT_INCHES
    size_inches = (width * len(results), height)
    figure, axes = pyplot.subplots(1, len(results), figsize=size_inches, squeeze=False)
    for axis, (size, by_detector) in zip(axes[0], results.items(), strict=True):
        for index, (name, by_event) in enumerate(by_detector.items()):
            summaries = [by_event[event] for event in events]
            _draw_bars(axis, name, index * BAR_STEP, summaries)
        axis.set_title(f"{size} members, 5% loss: seconds until all agree (bar: worst seed)")
        axis.set_xticks(range(len(events)), events, rotation=30, ha="right")
        axis.legend()
    figure.tight_layout()
    figure.savefig(file)


def _draw_bars(axis: Axes, label: str, offset: float, summaries: Sequence[Summary]) -> None:
    """Draw one detector's medians, with an error bar up to the worst; no bar where none agreed."""
    medians = [summary.median_s or 0.0 for summary in summaries]
    above = [
        (summary.worst_s or 0.0) - median
        for summary, median in zip(summaries, medians, strict=True)
    ]
    below = [0.0] * len(summaries)
    positions = [position + offset for position in range(len(summaries))]
    axis.bar(positions, medians, BAR_WIDTH, yerr=[below, above], label=label)


def measure(
    sizes: Iterable[int],
    events: Iterable[str],
    detectors: Iterable[str],
    seeds: range,
    jobs: int,
    file: Path | None,
) -> BySize:
    """Play all combinations, `jobs` at once; print a row for each as it is done.

    All that is known so far is written to `file` (JSON) after each row.
    """
    results: BySize = {}
    print(header(*COLUMNS))
    with ProcessPoolExecutor(jobs) as pool:
        for size, event, detector in product(sizes, events, detectors):
            summary = summarize(list(pool.map(partial(play, detector, event, size), seeds)))
            results.setdefault(size, {}).setdefault(detector, {})[event] = summary
            print(row(size, event, detector, *summary.figures().values()), flush=True)
            if file is not None:
                file.write_text(json.dumps(results, default=Summary.figures, indent=1))
    return results


def main() -> int:
    """Run the program; returns its exit status."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--sizes", default="5,40", help="fleet sizes (default 5,40)")
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds (default 10)")
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--jobs", type=int, default=1, help="runs at once (default 1)")
    parser.add_argument(
        "--ways",
        dest="detectors",
        default=",".join(DETECTORS),
        help="failure detectors (default all)",
    )
    parser.add_argument("--events", default=",".join(EVENTS), help="events (default all)")
    parser.add_argument("--json", type=Path, help="file to write the figures to")
    parser.add_argument("--plot", type=Path, help="file to draw the times into")
    args = parser.parse_args()
    results = measure(
        sizes=[int(size) for size in args.sizes.split(",")],
        events=args.events.split(","),
        detectors=args.detectors.split(","),
        seeds=range(args.first, args.first + args.seeds),
        jobs=args.jobs,
        file=args.json,
    )
    if args.plot:
        draw(results, args.plot)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
