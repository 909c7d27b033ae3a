"""Account of every request: what clients sent and got, joined with what hosts received.

Free of I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import NamedTuple

# Seconds from the notice of a drain until the host may receive nothing more: time for discovery's
# update to reach the gateway and for attempts that are already on their way.
DRAIN_GRACE_S = 0.5
# Seconds past a deadline that an answer on its way, and a client that reads late, may take.
LATE_READ_TOLERANCE_S = 0.05
MOST_UNKNOWN_REPORTED = 5  # requests that no client sent: the first few show what went wrong
# Answers that promise that the request was not started: Too Many Requests, Service Unavailable.
REJECTIONS = frozenset((HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE))


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests as clients see it. Times in seconds."""

    name: str
    latency_objective: float
    deadline: float
    priority_weight: float = 1.0
    keyed: bool = False
    body_bytes: int = 0  # that a request of this class carries
    key_window: float = 6.0  # for which hosts drop repeats of a key


@dataclass(slots=True)
class Record:
    """One request. Times are of the monotonic clock, in seconds."""

    id: str
    class_index: int  # into the load's classes
    sent: float  # its last byte was written
    client_timeout: float  # for so long the client waits
    tenant: str = ""
    first_on_connection: bool = False
    resent: bool = False  # sent once more: its connection had been closed between two requests
    done: float = 0.0  # last byte of the answer; 0: none came
    status: int = 0  # 0: no answer
    retry_after: float = 0.0
    refused: bool = False  # its connection was not accepted: nobody has taken the request
    answered_for: str | None = None  # the request that the body of a 200 names; None: not read

    @property
    def took(self) -> float:
        """Seconds from the request to its answer; of use only where there is an answer."""
        return self.done - self.sent


@dataclass(slots=True)
class OutcomeCounts:
    """Requests of one class by what became of them; `sent` is the sum of the other counts."""

    sent: int = 0
    within_objective: int = 0  # 200 within the latency objective
    after_objective: int = 0  # 200 after the objective, before the deadline
    late: int = 0  # 200 after the deadline: what must never be
    rejected: int = 0
    failed: int = 0
    unanswered: int = 0  # no answer, or the connection ended first
    value: float = 0.0  # priority weights of what was answered within the objective
    took: list[float] = field(default_factory=list)  # of those answered 200
    rejection_took: list[float] = field(default_factory=list)

    def adds_up(self) -> bool:
        """Whether every request sent is in exactly one column."""
        parts = (
            self.within_objective
            + self.after_objective
            + self.late
            + self.rejected
            + self.failed
            + self.unanswered
        )
        return parts == self.sent


# Columns of `OutcomeCounts` that are numbers; the lists of durations are joined.
SUMMED_COLUMNS = (
    "sent",
    "within_objective",
    "after_objective",
    "late",
    "rejected",
    "failed",
    "unanswered",
    "value",
)


def count_outcomes(
    records: Iterable[Record], request_classes: Sequence[RequestClass]
) -> dict[str, OutcomeCounts]:
    """Count what became of the requests: one row a class, by the class's name.

    A 200 counts as late when it came more than `LATE_READ_TOLERANCE_S` after its client's time was
    over.
    """
    rows = {request_class.name: OutcomeCounts() for request_class in request_classes}
    for record in records:
        request_class = request_classes[record.class_index]
        row = rows[request_class.name]
        row.sent += 1
        if not record.status:
            row.unanswered += 1
        elif record.status in REJECTIONS:
            row.rejected += 1
            row.rejection_took.append(record.took)
        elif record.status != HTTPStatus.OK:
            row.failed += 1
        else:
            row.took.append(record.took)
            if record.took > record.client_timeout + LATE_READ_TOLERANCE_S:
                row.late += 1
            elif record.took <= request_class.latency_objective:
                row.within_objective += 1
                row.value += request_class.priority_weight
            else:
                row.after_objective += 1
    return rows


def total(rows: Iterable[OutcomeCounts]) -> OutcomeCounts:
    """The sum of all rows; durations are joined."""
    whole = OutcomeCounts()
    for row in rows:
        for name in SUMMED_COLUMNS:
            setattr(whole, name, getattr(whole, name) + getattr(row, name))
        whole.took += row.took
        whole.rejection_took += row.rejection_took
    return whole


def percentile(values: Sequence[float], q: float) -> float:
    """The value below which the share `q` (0 to 1) of the values lies; 0 without values."""
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
    """A host that takes no more work, from `announced_at` until the list said otherwise.

    Times are of the monotonic clock, in seconds.
    """

    host: str
    announced_at: float
    until: float = float("inf")
    uninformed: frozenset[int] = frozenset()  # gateways that could not hear of it

    def forbids(self, receipt: Receipt) -> bool:
        """Whether the host got this request after the grace, from a gateway that knew."""
        return (
            receipt.by not in self.uninformed
            and receipt.host == self.host
            and self.announced_at + DRAIN_GRACE_S < receipt.at < self.until
        )


class _FirstSend(NamedTuple):
    """The first send of an idempotency key: of which request, and when.

    `at` is of the monotonic clock, in seconds.
    """

    request_id: str
    at: float


def rule_violations(
    records: Sequence[Record],
    receipts: Iterable[Receipt],
    request_classes: Sequence[RequestClass],
    most_sends: int = 4,
    drains: Sequence[Drain] = (),
) -> list[str]:
    """Violations of what every gateway must keep, one sentence each; empty when there are none.

    Checked elsewhere: that every request has an answer (`OutcomeCounts.unanswered`), and that no
    warming host gets more than its budget (tests of slow start).

    No gateway may report an answer that no host gave, serve a client with the answer to another
    request, send a request that no client asked for, send one request more than `most_sends` times,
    use an idempotency key for two requests or after its window, send anything to a draining host
    after the grace period, or answer 200 after the client's deadline.
    """
    ordered = sorted(receipts, key=lambda receipt: receipt.at)
    sends = Counter(receipt.id for receipt in ordered)
    return [
        *_broken_by_receipts(ordered, request_classes, drains),
        *_broken_by_request_ids(records, ordered, sends),
        *_broken_by_answers(records, sends, most_sends),
        *_broken_by_counters(records, request_classes),
    ]


def _broken_by_receipts(
    ordered: Sequence[Receipt], request_classes: Sequence[RequestClass], drains: Sequence[Drain]
) -> Iterator[str]:
    """Violations that single receipts show, oldest receipt first."""
    first_sends: dict[str, _FirstSend] = {}
    window_s = min(
        (request_class.key_window for request_class in request_classes if request_class.keyed),
        default=0.0,
    )
    for receipt in ordered:
        if receipt.key:
            first = first_sends.setdefault(receipt.key, _FirstSend(receipt.id, receipt.at))
            yield from _broken_by_key(receipt, first, window_s)
        for drain in drains:
            if drain.forbids(receipt):
                late = f"{receipt.at - drain.announced_at:.3f} s after it was told to drain"
                yield f"{receipt.id}: sent to {drain.host} {late}"


def _broken_by_key(receipt: Receipt, first: _FirstSend, window_s: float) -> Iterator[str]:
    """Violations of a receipt with an idempotency key, against that key's first send."""
    if first.request_id != receipt.id:
        yield f"key {receipt.key}: of {first.request_id}, sent with {receipt.id} too"
    if receipt.at > first.at + window_s:
        yield f"key {receipt.key}: sent {receipt.at - first.at:.1f} s after it was sent first"


def _broken_by_request_ids(
    records: Sequence[Record], ordered: Sequence[Receipt], sends: Counter[str]
) -> Iterator[str]:
    """Ids that clients used twice, and requests at hosts that no client sent."""
    asked = {record.id for record in records}
    if len(asked) != len(records):
        yield "a client used an id twice"
    unknown = sorted(sends.keys() - asked)[:MOST_UNKNOWN_REPORTED]
    for request_id in unknown:
        hosts = sorted({receipt.host for receipt in ordered if receipt.id == request_id})
        yield f"{request_id}: sent to {hosts}, asked for by nobody"


def _broken_by_answers(
    records: Sequence[Record], sends: Counter[str], most_sends: int
) -> Iterator[str]:
    """Answers without a send or after the deadline, and requests that were sent too often."""
    for record in records:
        if record.status == HTTPStatus.OK and not sends[record.id]:
            yield f"{record.id}: served, received by no host"
        if record.answered_for not in (None, record.id):
            yield f"{record.id}: served with the answer to {record.answered_for}"
        if (
            record.status == HTTPStatus.OK
            and record.took > record.client_timeout + LATE_READ_TOLERANCE_S
        ):
            late_s = record.took - record.client_timeout
            yield f"{record.id}: served {late_s:.3f} s after its deadline"
        if sends[record.id] > most_sends:
            yield f"{record.id}: sent {sends[record.id]} times"


def _broken_by_counters(
    records: Sequence[Record], request_classes: Sequence[RequestClass]
) -> Iterator[str]:
    """Classes whose columns do not sum to the requests sent: a fault of the account itself."""
    for name, row in count_outcomes(records, request_classes).items():
        if not row.adds_up():
            yield f"{name}: does not add up"
