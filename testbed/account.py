"""One account of every request: what clients sent and got, joined with what hosts received. Free of I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

GRACE_S = 0.5  # after a drain was told, for the last request to be received
SLACK_S = 0.05  # past a deadline, for an answer that was on its way and a client that reads late


@dataclass(frozen=True, slots=True)
class Work:
    """One class of requests as clients see it. Times in seconds."""

    name: str
    aim: float
    deadline: float
    worth: float = 1.0
    keyed: bool = False
    body: int = 0  # bytes that a request of this class carries
    window: float = 6.0  # for which hosts drop repeats of a key


@dataclass(slots=True)
class Record:
    """One request. Times are of the monotonic clock, in seconds."""

    id: str
    work: int
    sent: float  # its last byte was written
    wait: float  # for so long the client waits
    tenant: str = ""
    first_on_connection: bool = False
    again: bool = False  # sent once more: its connection had been closed between two requests
    done: float = 0.0  # last byte of the answer; 0: none came
    status: int = 0  # 0: no answer
    retry_after: float = 0.0

    @property
    def took(self) -> float:
        return self.done - self.sent


@dataclass(slots=True)
class Tally:
    """Requests of one class by what became of them; `sent` is the sum of all others but `worth`."""

    sent: int = 0
    in_aim: int = 0  # 200 within the aim
    served: int = 0  # 200 after the aim, before the deadline
    late: int = 0  # 200 after the deadline: what must never be
    refused: int = 0
    failed: int = 0
    unanswered: int = 0  # no answer, or the connection ended first
    worth: float = 0.0
    took: list[float] = field(default_factory=list)  # of those answered 200
    refusal_took: list[float] = field(default_factory=list)

    def adds_up(self) -> bool:
        parts = self.in_aim + self.served + self.late + self.refused + self.failed + self.unanswered
        return parts == self.sent


def tally(records: Iterable[Record], works: Sequence[Work]) -> dict[str, Tally]:
    """What became of the requests, a row a class."""
    rows = {work.name: Tally() for work in works}
    for record in records:
        work, row = works[record.work], rows[works[record.work].name]
        row.sent += 1
        if not record.status:
            row.unanswered += 1
        elif record.status in (429, 503):
            row.refused += 1
            row.refusal_took.append(record.took)
        elif record.status != 200:
            row.failed += 1
        else:
            row.took.append(record.took)
            if record.took > record.wait + SLACK_S:
                row.late += 1
            elif record.took <= work.aim:
                row.in_aim += 1
                row.worth += work.worth
            else:
                row.served += 1
    return rows


def total(rows: Iterable[Tally]) -> Tally:
    """All classes in one row."""
    whole = Tally()
    for row in rows:
        for name in (
            "sent",
            "in_aim",
            "served",
            "late",
            "refused",
            "failed",
            "unanswered",
            "worth",
        ):
            setattr(whole, name, getattr(whole, name) + getattr(row, name))
        whole.took += row.took
        whole.refusal_took += row.refusal_took
    return whole


def percentile(values: Sequence[float], q: float) -> float:
    """The value below which the share `q` of the values lies; 0 where there are none."""
    return sorted(values)[min(len(values) - 1, int(q * len(values)))] if values else 0.0


@dataclass(frozen=True, slots=True)
class Receipt:
    """One request as a host received it: its last byte came at `at` (monotonic clock, seconds)."""

    id: str
    host: str
    at: float
    key: str = ""
    by: int = -1  # the gateway that sent it, where lines go through the relay


@dataclass(frozen=True, slots=True)
class Drain:
    """A host that was told to take no more work, from `told` until it was told otherwise."""

    host: str
    told: float
    until: float = float("inf")
    deaf: frozenset[int] = frozenset()  # gateways that could not hear of it


def broken_rules(
    records: Sequence[Record],
    receipts: Iterable[Receipt],
    works: Sequence[Work],
    most_sends: int = 4,
    drains: Sequence[Drain] = (),
) -> list[str]:
    """What in the account no gateway may do: serve what no host received, send what no client asked for, send
    a request more often than it may, a key after its window or twice for two requests, anything to a host
    that was told to drain for longer than the grace, or serve after the client's deadline. Empty: all is in
    order."""
    broken = []
    sends: Counter[str] = Counter()
    hosts: dict[str, set[str]] = defaultdict(set)
    keys: dict[str, tuple[str, float]] = {}  # the request that first came with it, and when
    window = min((work.window for work in works if work.keyed), default=0.0)
    for receipt in sorted(receipts, key=lambda one: one.at):
        sends[receipt.id] += 1
        hosts[receipt.id].add(receipt.host)
        if receipt.key:
            first, at = keys.setdefault(receipt.key, (receipt.id, receipt.at))
            if first != receipt.id:
                broken.append(f"key {receipt.key}: of {first}, sent with {receipt.id} too")
            if receipt.at > at + window:
                broken.append(
                    f"key {receipt.key}: sent {receipt.at - at:.1f} s after it was sent first"
                )
        for drain in drains:
            heard = receipt.by not in drain.deaf
            if (
                heard
                and drain.host == receipt.host
                and drain.told + GRACE_S < receipt.at < drain.until
            ):
                late = receipt.at - drain.told
                broken.append(
                    f"{receipt.id}: sent to {drain.host} {late:.3f} s after it was told to drain"
                )
    asked = {record.id for record in records}
    if len(asked) != len(records):
        broken.append("a client used an id twice")
    for stray in sorted(sends.keys() - asked)[:5]:
        broken.append(f"{stray}: sent to {sorted(hosts[stray])}, asked for by nobody")
    for record in records:
        if record.status == 200 and not sends[record.id]:
            broken.append(f"{record.id}: served, received by no host")
        if record.status == 200 and record.took > record.wait + SLACK_S:
            broken.append(
                f"{record.id}: served {record.took - record.wait:.3f} s after its deadline"
            )
        if sends[record.id] > most_sends:
            broken.append(f"{record.id}: sent {sends[record.id]} times")
    broken += [
        f"{name}: does not add up"
        for name, row in tally(records, works).items()
        if not row.adds_up()
    ]
    return broken
