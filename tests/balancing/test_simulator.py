"""The simulator's protocol, spoken with a real process."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

from quillroad.balancing.settings import Settings
from quillroad.balancing.simulator import SimulatedGateways

PROFILE: dict[str, Any] = {
    "balancers": 1,
    "discovery": "push",
    "future_key": {"x": 1},
    "lanes": [
        {"name": "c", "semantics": "safe", "goal_time": 200000, "deadline": 900000, "novel": 3}
    ],
    "limits": {"attempts_cap": 3, "cancelling": True},
}
START_MESSAGE = ["provision", 5, PROFILE]
ENDPOINT_MESSAGES = [["ledger", 0, [[51, None, 0, 0, 1, 1, 0], [52]]], ["endpoints", 0, 1, 1]]


def batch(moment: int, *news: list[Any], gateway: int = 0) -> str:
    return json.dumps({"moment": moment, "parts": [{"gateway": gateway, "news": list(news)}]})


def run(*lines: str) -> tuple[int, list[Any], str]:
    done = subprocess.run(
        [sys.executable, "-m", "quillroad.balancing.simulator"],
        input="".join(line + "\n" for line in lines),
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    return done.returncode, [json.loads(line) for line in done.stdout.splitlines()], done.stderr


def test_process_answers_batches_until_end_of_input() -> None:
    status, replies, errors = run(
        '{"moment":1,"parts":[]}',
        batch(1000, START_MESSAGE, *ENDPOINT_MESSAGES),
        batch(2000, ["job_in", 9, 0, 500000, 0, None]),
        batch(3000, ["verdict", 9, 51, True, "success", 0, 900]),
        batch(4000, ["detach"], START_MESSAGE, *ENDPOINT_MESSAGES),
    )
    assert (status, errors) == (0, "")
    assert replies[0] == {"parts": []}
    decision = replies[2]["parts"][0]["decisions"][0]
    assert decision[:2] == ["route", 9] and decision[2] in (51, 52)
    assert replies[3] == {"parts": []}


def test_invalid_line_ends_process_with_one_error_line_and_status_2() -> None:
    start = batch(1000, START_MESSAGE, *ENDPOINT_MESSAGES)
    for bad in [
        "{",
        "[]",
        '{"parts":[]}',
        '{"moment":"x","parts":[]}',
        '{"moment":5}',
        '{"moment":5,"parts":[{"gateway":0}]}',
        batch(2000, ["no_such_event", 1]),
        batch(2000, ["job_in", 9]),
        batch(2000, ["job_in", "nine", 0, 500000]),
        batch(2000, ["verdict", 9, 51, True, "sideways", 0, 900]),
        batch(2000, ["alarm", 1], gateway=4),
        batch(2000, ["endpoints", 9, 0, 1]),
        batch(2000, ["job_in", 9, 77, 500000]),
        batch(2000, ["job_in", 9, -1, 500000]),
        batch(2000, ["job_in", 9, 0, 500000, 0, None, None, 3]),
        batch(2000, ["endpoints", 0, 7, 1]),
        batch(2000, ["ledger", 0, [[51, None, 0, 0, 1, 9, 0]]]),
        batch(2000, ["provision", 5, {"lanes": [{"deadline": 5}]}]),
        batch(2000, ["provision", 5, {**PROFILE, "balancers": -1}]),
    ]:
        status, replies, errors = run(start, bad)
        assert status == 2, bad
        assert len(replies) == 1
        assert errors.startswith("benchlink: line 2: ") and errors.count("\n") == 1, errors


class BrokenBalancer:
    """A balancer whose `handle` always raises an exception.

    It replaces the whole balancer, because a method of a compiled class cannot be replaced.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings

    def handle(self, now_us: int, events: list[Any]) -> list[Any]:
        raise KeyError("broken")


def test_fault_of_one_balancer_does_not_affect_others(monkeypatch: pytest.MonkeyPatch) -> None:
    gateways = SimulatedGateways()
    gateways.reply(json.loads(batch(1000, START_MESSAGE, *ENDPOINT_MESSAGES)))
    gateways.reply(json.loads(batch(1000, START_MESSAGE, *ENDPOINT_MESSAGES, gateway=1)))
    monkeypatch.setitem(gateways.balancers, 0, BrokenBalancer(gateways.balancers[0].settings))
    news = [["job_in", 9, 0, 500000]]
    parts = [{"gateway": g, "news": news} for g in (0, 1)]
    reply = gateways.reply({"moment": 2000, "parts": parts})
    assert reply["parts"][0]["decisions"][0][0] == "bug"
    assert reply["parts"][1]["decisions"][0][:2] == ["route", 9]


def test_route_0_and_tenant_0_are_valid_without_configured_ones() -> None:
    bare = {key: value for key, value in PROFILE.items() if key != "lanes"}
    status, replies, errors = run(
        batch(1000, ["provision", 5, bare], *ENDPOINT_MESSAGES),
        batch(2000, ["job_in", 9, 0, 500000, 0, None, None, 0]),
    )
    assert (status, errors) == (0, "")
    assert replies[1]["parts"][0]["decisions"][0][:2] == ["route", 9]


def test_decisions_do_not_depend_on_grouping_of_gateways_in_batches() -> None:
    def news(moment: int) -> list[list[Any]]:
        if moment == 1000:
            return [START_MESSAGE, *ENDPOINT_MESSAGES]
        return [["job_in", moment + k, 0, moment + 400000] for k in range(3)]

    moments = range(1000, 30000, 1000)
    joined = [
        json.dumps({"moment": m, "parts": [{"gateway": g, "news": news(m)} for g in (0, 1)]})
        for m in moments
    ]
    _, together, _ = run(*joined)
    for g in (0, 1):
        _, alone, _ = run(*[batch(m, *news(m), gateway=g) for m in moments])
        own_parts = [[p for p in reply["parts"] if p["gateway"] == g] for reply in together]
        assert own_parts == [reply["parts"] for reply in alone]
