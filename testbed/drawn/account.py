"""What the records of clients and hosts say about the rules; the gateways' word does not count.

No I/O. Times are of the monotonic clock, in seconds.
"""

from __future__ import annotations

import bisect
import itertools
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus

from testbed.drawn.connection import Fate, Request
from testbed.drawn.deployment import Deployment, DrawnClass, Effect
from testbed.drawn.hosts import Receipt, answer_body

ANSWER_GRACE_S = 0.5  # after a request's time, until its final answer
DEPARTURE_GRACE_S = 0.1  # after a client has left, until the last attempt for it begins
DRAIN_GRACE_S = 0.5  # after a change is told
TOLD_SLACK_S = 0.15  # of the deadline that a host is told
STOPPED_GRACE_S = 3.0  # until a client that stopped within a request gets its error or close
CROSSING_S = 0.05  # a connection that is closed so soon after a request may not have read it
READ_SLACK_S = 0.05  # of this process, which reads after bytes have come


@dataclass(slots=True)
class Ending:
    """The planned end of one process of a gateway, which has ended at `ended_at`."""

    gateway: int
    told_at: float
    kill_s: float  # from then to the earliest SIGKILL
    ended_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class Kill:
    """A SIGKILL of a gateway without a planned end: what it had is its clients' to repeat."""

    gateway: int
    at: float


@dataclass(frozen=True, slots=True)
class ToldDrain:
    """A host that is told to take nothing more, from `told_at` to `until`."""

    host: str
    told_at: float
    until: float


@dataclass(slots=True)
class Lags:
    """When and how much this process was late: it then read late what came in time."""

    at: list[float] = field(default_factory=list)
    lag_s: list[float] = field(default_factory=list)

    def add(self, at: float, lag_s: float) -> None:
        """Note that a timer due at `at - lag_s` fired at `at`."""
        self.at.append(at)
        self.lag_s.append(lag_s)

    def slack_s(self, begin: float, end: float) -> float:
        """How late records between two times may be."""
        first = bisect.bisect_left(self.at, begin)
        last = bisect.bisect_right(self.at, end + 0.1)
        return READ_SLACK_S + max(self.lag_s[first:last], default=0.0)


@dataclass(slots=True)
class Records:
    """All that one run has recorded."""

    deployment: Deployment
    requests: list[Request]
    receipts: list[Receipt]
    endings: list[Ending]
    kills: list[Kill]
    drains: list[ToldDrain]
    lags: Lags
    crowded: bool = False  # idle clients filled the descriptors


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule, and the request that shows it; its id is empty where there is none."""

    rule: str
    request_id: str
    text: str


class Judge:
    """Judges the records of one run."""

    def __init__(self, records: Records) -> None:
        self._records = records
        self._receipts: defaultdict[str, list[Receipt]] = defaultdict(list)
        for receipt in sorted(records.receipts, key=lambda one: one.at):
            self._receipts[receipt.id].append(receipt)
        self._by_id: defaultdict[str, list[Request]] = defaultdict(list)
        for request in records.requests:
            self._by_id[request.id].append(request)

    def _receipts_of(self, request_id: str) -> list[Receipt]:
        return self._receipts.get(request_id, [])

    def violations(self) -> list[Violation]:
        """All violations, in no special order."""
        found: list[Violation] = []
        for request in self._records.requests:
            found += self._judge_request(request)
        for request_id, receipts in self._receipts.items():
            found += self._judge_receipts(request_id, receipts)
        return found

    def counts(self) -> Counter[str]:
        """How many requests had which fate; answered ones by status, others by the excuse."""
        return Counter(self._outcome(request) for request in self._records.requests)

    def _outcome(self, request: Request) -> str:
        match request.fate:
            case Fate.ANSWERED:
                return str(request.status)
            case Fate.UNANSWERED:
                return self._excuse(request) or request.fate.value
        return request.fate.value

    def story(self, request_id: str) -> list[str]:
        """What clients and hosts recorded of one request, in order of time."""
        if request_id not in self._by_id:
            return []
        rows = []
        for request in self._by_id[request_id]:
            drawn = self._records.deployment.classes[request.class_index]
            rows.append(
                (
                    request.sent_at,
                    f"sent to gateway {request.gateway}, {drawn.effect.value}, waits"
                    f" {request.client_timeout_s} s"
                    f"{', first on its connection' if request.first_on_connection else ''}"
                    f"{', pipelined' if request.pipelined else ''}"
                    f"{', again' if request.again else ''}",
                )
            )
            notes = " ".join(request.notes)
            rows.append((request.done_at, f"{request.fate.value} {request.status or ''} {notes}"))
        for receipt in self._receipts_of(request_id):
            text = f"{receipt.host} has it, told {receipt.told_s} s, {receipt.what or 'answers'}"
            rows.append((receipt.at, text))
            rows.append((receipt.ended_at, f"{receipt.host}: answered, or connection ended"))
        gateways = {request.gateway for request in self._by_id[request_id]}
        rows += [(e.told_at, "SIGTERM") for e in self._records.endings if e.gateway in gateways]
        rows += [(k.at, "SIGKILL") for k in self._records.kills if k.gateway in gateways]
        rows.sort()
        begin = self._by_id[request_id][0].sent_at
        return [f"{at - begin:+.3f} {text}" for at, text in rows]

    # One request.

    def _judge_request(self, request: Request) -> Iterator[Violation]:
        records = self._records
        slack_s = records.lags.slack_s(request.sent_at, request.done_at)
        match request.fate:
            case Fate.ANSWERED:
                yield from self._judge_answer(request, slack_s)
            case Fate.UNANSWERED | Fate.OPEN:
                if not self._excuse(request):
                    waited_s = request.done_at - request.sent_at
                    yield Violation("lost", request.id, f"no answer after {waited_s:.3f} s")
            case Fate.STOPPED:
                took_s = request.done_at - request.sent_at
                if took_s > STOPPED_GRACE_S + slack_s:
                    text = f"a client that stopped was kept for {took_s:.3f} s"
                    yield Violation("stopped", request.id, text)

    def _judge_answer(self, request: Request, slack_s: float) -> Iterator[Violation]:
        late_s = request.done_at - request.sent_at - request.client_timeout_s
        if late_s > ANSWER_GRACE_S + slack_s:
            yield Violation("late", request.id, f"{request.status} {late_s:.3f} s after its time")
        if request.status == HTTPStatus.OK:
            bodies = {
                answer_body(request.id, receipt.host).decode()
                for receipt in self._receipts_of(request.id)
            }
            if request.body not in bodies:
                text = f"served with {request.body[:40]!r}, which no host made for it"
                yield Violation("wrong answer", request.id, text)
        elif request.status < HTTPStatus.INTERNAL_SERVER_ERROR and not request.again:
            text = f"answered {request.status} to a sound request"
            yield Violation("wrong answer", request.id, text)

    def _excuse(self, request: Request) -> str:
        """Why a request may stay unanswered: its gateway was killed, or nobody had read it."""
        if any(
            kill.gateway == request.gateway
            and request.sent_at - READ_SLACK_S <= kill.at <= request.done_at + READ_SLACK_S
            for kill in self._records.kills
        ):
            return "no answer: killed"
        if any(receipt.at < request.done_at for receipt in self._receipts_of(request.id)):
            return ""
        if request.first_on_connection:
            return "no answer: descriptors full" if self._records.crowded else ""
        crossed = request.done_at - request.sent_at <= CROSSING_S and "waited" not in request.notes
        return "no answer: crossed a close" if crossed else ""

    # The attempts of one request.

    def _judge_receipts(self, request_id: str, receipts: list[Receipt]) -> Iterator[Violation]:
        requests = self._by_id.get(request_id)
        if requests is None:
            yield Violation("unknown", request_id, f"at {receipts[0].host}, sent by no client")
            return
        yield from self._judge_effects(requests, receipts)
        yield from self._judge_departure(requests, receipts)
        for receipt in receipts:
            if not receipt.read_late:
                yield from self._judge_told_deadline(requests, receipt)
                yield from self._judge_drain(receipt)

    def _judge_effects(
        self, requests: list[Request], receipts: list[Receipt]
    ) -> Iterator[Violation]:
        drawn = self._records.deployment.classes[requests[0].class_index]
        request_id = requests[0].id
        ran = [receipt for receipt in receipts if receipt.may_have_run]
        if self._killed_meanwhile(requests, receipts):
            return
        if self._may_have_been_answered(requests, receipts):
            return
        if drawn.effect is Effect.UNSAFE and len(ran) > 1:
            hosts = [receipt.host for receipt in ran]
            yield Violation("duplicate", request_id, f"unsafe, ran at {hosts}")
        if drawn.effect is Effect.KEYED:
            yield from self._judge_repeats(request_id, drawn, ran)
        is_new_try = drawn.effect is Effect.SAFE and len(requests) > 1
        may_overlap = self._records.deployment.hedges and drawn.effect is not Effect.UNSAFE
        if not is_new_try and not may_overlap:
            yield from self._judge_overlaps(request_id, receipts)
        if len(receipts) > self._records.deployment.attempts * len(requests):
            yield Violation("attempts", request_id, f"{len(receipts)} attempts")

    def _killed_meanwhile(self, requests: list[Request], receipts: list[Receipt]) -> bool:
        """Whether a gateway was killed that had the request: its client repeats it."""
        gateways = {request.gateway for request in requests}
        begin = min(request.sent_at for request in requests) - READ_SLACK_S
        end = max(receipt.at for receipt in receipts) + READ_SLACK_S
        return any(
            kill.gateway in gateways and begin <= kill.at <= end for kill in self._records.kills
        )

    def _judge_overlaps(self, request_id: str, receipts: list[Receipt]) -> Iterator[Violation]:
        """Judge the attempts of a request that may have one out at a time."""
        for first, second in itertools.pairwise(receipts):
            slack_s = self._records.lags.slack_s(first.at, second.at)
            if second.at + slack_s < first.ended_at and first.may_have_run:
                text = f"two attempts out, at {first.host} and {second.host}"
                yield Violation("two attempts", request_id, text)

    def _judge_repeats(
        self, request_id: str, drawn: DrawnClass, ran: list[Receipt]
    ) -> Iterator[Violation]:
        """Judge the attempts of a keyed request that may have run."""
        for receipt in ran[1:]:
            first = ran[0]
            slack_s = self._records.lags.slack_s(first.at, receipt.at)
            late_s = receipt.at - first.at - drawn.window_s
            if late_s > slack_s and not receipt.read_late:
                text = f"keyed, again {receipt.at - first.at:.3f} s after the first"
                yield Violation("duplicate", request_id, text)
            if (drawn.group == "zone" and receipt.zone != first.zone) or (
                drawn.group == "cell" and receipt.cell != first.cell
            ):
                text = f"keyed by {drawn.group}, at {first.host} and {receipt.host}"
                yield Violation("duplicate", request_id, text)

    def _may_have_been_answered(self, requests: list[Request], receipts: list[Receipt]) -> bool:
        """Whether an id came again whose first answer was on its way when its client left."""
        left = requests[0]
        return (
            left.fate is Fate.LEFT
            and len(requests) > 1
            and any(
                receipt.answered and receipt.ended_at < left.done_at + DEPARTURE_GRACE_S
                for receipt in receipts
            )
        )

    def _judge_departure(
        self, requests: list[Request], receipts: list[Receipt]
    ) -> Iterator[Violation]:
        if any(request.fate is not Fate.LEFT for request in requests):
            return
        left_at = max(request.done_at for request in requests)
        for receipt in receipts:
            slack_s = self._records.lags.slack_s(left_at, receipt.at)
            if not receipt.read_late and receipt.at > left_at + DEPARTURE_GRACE_S + slack_s:
                text = f"sent to {receipt.host} {receipt.at - left_at:.3f} s after its client left"
                yield Violation("left", requests[0].id, text)

    def _judge_told_deadline(
        self, requests: list[Request], receipt: Receipt
    ) -> Iterator[Violation]:
        slack_s = TOLD_SLACK_S + self._records.lags.slack_s(receipt.at - 0.5, receipt.at)
        ends_at = max(request.sent_at + request.client_timeout_s for request in requests)
        excess_s = receipt.at + receipt.told_s - ends_at
        if excess_s > slack_s:
            text = f"{receipt.host} was told {excess_s:.3f} s more than its client had left"
            yield Violation("told deadline", requests[0].id, text)
        for ending in self._records.endings:
            if ending.gateway not in {request.gateway for request in requests}:
                continue
            since_s = receipt.at - ending.told_at
            if slack_s < since_s and receipt.at < ending.ended_at:
                excess_s = since_s + receipt.told_s - ending.kill_s
                if excess_s > slack_s:
                    text = f"{receipt.host} was told {excess_s:.3f} s more than its gateway had"
                    yield Violation("told deadline", requests[0].id, text)

    def _judge_drain(self, receipt: Receipt) -> Iterator[Violation]:
        for drain in self._records.drains:
            slack_s = DRAIN_GRACE_S + self._records.lags.slack_s(drain.told_at, receipt.at)
            if drain.host == receipt.host and drain.told_at + slack_s < receipt.at < drain.until:
                late_s = receipt.at - drain.told_at
                text = f"sent to {receipt.host} {late_s:.3f} s after it was told to drain"
                yield Violation("drain", receipt.id, text)


def by_rule(violations: Sequence[Violation]) -> dict[str, int]:
    """How many violations there are of each rule."""
    return dict(Counter(violation.rule for violation in violations))
