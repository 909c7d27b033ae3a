"""What the tables' columns mean: module docstrings explain all, and rows have what they say."""

from __future__ import annotations

import re
from types import ModuleType

import pytest

from bench import fleet_view, overload, upgrade, upgrade_successors, zones
from bench.overload import Capacity, Measurement, print_measurement
from bench.request_classes import SEAT_CHECKOUT, STATUS_CHECK
from bench.tables import row
from quillroad.balancing.zone_routing import CrossZoneReason
from testbed.account import OutcomeCounts
from testbed.processes import Result

EXPLAINED = [
    (overload, overload.COLUMNS),
    (fleet_view, (*fleet_view.COLUMNS, *fleet_view.DETECTORS)),
    (zones, (*zones.BUDGET_COLUMNS, "told", "the own zone", "CLASS in aim / refused", "crossed")),
    (upgrade, ("step", "times", "p50 ms", "max ms", "in aim", "refused", "failed", "no answer")),
    (upgrade_successors, ("told", "requests in 5 s", "sent to the host that hangs")),
]
LOG = """
12:00:00.000 quillroad.upgrade: probing 1
12:00:00.500 quillroad.upgrade: preparing 1
12:00:00.520 quillroad.upgrade: another line
12:00:00.530 quillroad.upgrade: switching 1
12:00:00.541 quillroad.upgrade: serving 2
12:00:07.000 quillroad.upgrade: probing 2
12:00:07.700 quillroad.upgrade: serving 2
"""


def explained_terms(module: ModuleType) -> set[str]:
    """What the indented lists of a module's docstring explain; a line may explain several."""
    lines = re.findall(r"^    (\S.*?)  +\S", module.__doc__ or "", re.MULTILINE)
    return {term for line in lines for term in (line, *line.split(", "))}


@pytest.mark.parametrize(
    ("module", "terms"), EXPLAINED, ids=[module.__name__ for module, _ in EXPLAINED]
)
def test_the_module_docstring_explains_each_column(
    module: ModuleType, terms: tuple[str, ...]
) -> None:
    assert [term for term in terms if term not in explained_terms(module)] == []


def test_a_row_of_overload_has_what_its_columns_say(capsys: pytest.CaptureFixture[str]) -> None:
    checks = OutcomeCounts(
        sent=60,
        within_objective=30,
        after_objective=10,
        late=1,
        rejected=12,
        failed=4,
        unanswered=3,
        value=30 * STATUS_CHECK.priority_weight,
        took=[0.1] * 41,
        rejection_took=[0.0015] * 12,
    )
    checkouts = OutcomeCounts(
        sent=40, within_objective=40, value=40 * SEAT_CHECKOUT.priority_weight, took=[0.2] * 40
    )
    rows = {STATUS_CHECK.name: checks, SEAT_CHECKOUT.name: checkouts}
    measured = Measurement(Result(rows, unsent=5, lag=0.08), seconds=2.0, gateway_cpu_s=1.6)
    print_measurement("1.5", measured, Capacity(rate=100.0, cpu_s=0.01))
    expected = {
        "load": "1.5",
        "sent/s": "50",  # (60 + 40) / 2 s
        "worth/s": "190",  # (30 * 2 + 40 * 8) / 2 s
        "of offered": "0.86",  # 380 of 60 * 2 + 40 * 8
        "in aim": "70",
        "after it": "10",
        "late": "1",
        "refused": "12",
        "failed": "4",
        "none": "3",
        "p50 / p99 ms": "100 / 200",
        "refused p50 / p99 ms": "1.5 / 1.5",
        "CPU, part not for served": "0.80, 0.50",  # 80 answers of 10 ms in 1.6 s
    }
    assert tuple(expected) == overload.COLUMNS
    remark = " and 5 not sent (clients 80 ms late)"
    assert capsys.readouterr().out == f"{row(*expected.values())}{remark}\n"


def test_the_reasons_for_crossing_are_in_the_order_of_their_columns() -> None:
    reasons = tuple(reason.name.lower() for reason in CrossZoneReason)
    assert zones.BUDGET_COLUMNS[3 : 3 + len(reasons)] == reasons


def test_a_phase_lasts_until_the_next_and_serving_is_none() -> None:
    durations_ms = upgrade.phase_durations_ms(LOG)
    assert list(durations_ms) == ["probing", "preparing", "switching"]
    assert durations_ms["probing"] == pytest.approx([500, 700])
    assert durations_ms["preparing"] == pytest.approx([30])
    assert durations_ms["switching"] == pytest.approx([11])


def test_phases_are_printed_with_their_count_median_and_maximum(
    capsys: pytest.CaptureFixture[str],
) -> None:
    upgrade.print_phases(LOG)
    assert capsys.readouterr().out.splitlines() == [
        "| step | times | p50 ms | max ms |",
        "| --- | --- | --- | --- |",
        "| probing | 2 | 700 | 700 |",
        "| preparing | 1 | 30 | 30 |",
        "| switching | 1 | 11 | 11 |",
    ]
