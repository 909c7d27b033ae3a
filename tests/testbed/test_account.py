"""The account of every request: its columns add up, and each broken rule is found."""

from __future__ import annotations

from testbed.account import Drain, Receipt, Record, RequestClass, count_outcomes, rule_violations

REQUEST_CLASS = RequestClass("status-check", 0.5, 1.0, 2.0)


def record(name: str, status: int, took: float = 0.1) -> Record:
    return Record(
        name, 0, 5.0, REQUEST_CLASS.deadline, done=5.0 + took if status else 0.0, status=status
    )


def test_every_request_is_in_one_column() -> None:
    records = [
        record("a", 200),
        record("b", 200, 0.7),
        record("c", 200, 1.2),
        record("d", 503),
        record("e", 504),
        record("f", 0),
    ]
    row = count_outcomes(records, [REQUEST_CLASS])["status-check"]
    assert (
        row.within_objective,
        row.after_objective,
        row.late,
        row.rejected,
        row.failed,
        row.unanswered,
    ) == (1,) * 6
    assert row.adds_up()
    assert row.value == 2.0


def test_what_no_gateway_may_do_is_found() -> None:
    good = [record("a", 200), record("b", 503)]
    assert rule_violations(good, [Receipt("a", "s-1", 5.0)], [REQUEST_CLASS]) == []
    assert "received by no host" in rule_violations(good, [], [REQUEST_CLASS])[0]
    assert (
        "asked for by nobody"
        in rule_violations(good, [Receipt(n, "s", 5.0) for n in "ax"], [REQUEST_CLASS])[0]
    )
    assert "sent 5 times" in rule_violations(good, [Receipt("a", "s", 5.0)] * 5, [REQUEST_CLASS])[0]
    assert (
        "after its deadline"
        in rule_violations([record("a", 200, 1.2)], [Receipt("a", "s", 5.0)], [REQUEST_CLASS])[0]
    )
    seats = [RequestClass("seat-checkout", 0.5, 1.0, keyed=True)]
    copies = [Receipt("a", "s", 5.0, "k"), Receipt("a", "t", 11.1, "k")]
    assert "6.1 s after" in rule_violations(good, copies, seats)[0]
    assert rule_violations(good, copies[:1], seats) == []
    assert (
        "sent with b too"
        in rule_violations(good, [copies[0], Receipt("b", "s", 5.1, "k")], seats)[0]
    )
    drains = [Drain("s", 4.0, 5.2), Drain("s", 6.0)]
    for at, wrong in ((4.4, False), (4.6, True), (5.3, False), (6.4, False), (6.6, True)):
        assert (
            bool(rule_violations(good, [Receipt("a", "s", at)], [REQUEST_CLASS], drains=drains))
            is wrong
        )
    assert "an id twice" in rule_violations([record("a", 503)] * 2, [], [REQUEST_CLASS])[0]


def test_an_answer_to_another_request_is_found() -> None:
    """An account that only counts answers cannot see that two clients got each other's."""
    own, foreign = record("a", 200), record("b", 200)
    own.answered_for = foreign.answered_for = "a"
    receipts = [Receipt("a", "s-1", 5.0), Receipt("b", "s-1", 5.1)]
    assert rule_violations([own], receipts[:1], [REQUEST_CLASS]) == []
    violations = rule_violations([own, foreign], receipts, [REQUEST_CLASS])
    assert violations == ["b: served with the answer to a"]
