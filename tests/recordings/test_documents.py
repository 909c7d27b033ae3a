"""Every document that outlives a process or leaves it, compared with `documents.json` byte by byte.

A renamed class, field or module must not change what is written, sent or printed: other processes,
older and newer ones, and people's tools read it.

`python -m tests.recordings.test_documents --record` writes the recording anew. That is allowed only
for an intended change of a document, whose commit names the document and why it changes, never to
get a refactoring through.
"""

from __future__ import annotations

import functools
import json
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.recordings import upgrade
from tests.recordings.documents import KINDS
from tests.recordings.kinds import from_text, to_text

FILE = Path(__file__).parent / "documents.json"
READ_AGAIN = [name for name, kind in KINDS.items() if kind.reencode is not None]


@functools.cache
def recorded() -> dict[str, dict[str, str]]:
    told: dict[str, dict[str, str]] = json.loads(FILE.read_text(encoding="utf-8"))
    return told


def built(name: str) -> dict[str, str]:
    return {instance: to_text(document) for instance, document in KINDS[name].build().items()}


def test_every_kind_is_recorded() -> None:
    assert list(recorded()) == list(KINDS)


@pytest.mark.parametrize("name", KINDS)
def test_documents_are_as_recorded(name: str) -> None:
    now, before = built(name), recorded()[name]
    assert sorted(now) == sorted(before)
    for instance, document in before.items():
        assert now[instance] == document, instance


@pytest.mark.parametrize("name", READ_AGAIN)
def test_recorded_bytes_are_read_and_written_again(name: str) -> None:
    reencode = KINDS[name].reencode
    assert reencode is not None
    for instance, document in recorded()[name].items():
        data = from_text(document)
        assert reencode(instance, data) == data, instance


def test_every_message_is_recorded_full_and_with_defaults() -> None:
    for instances in (upgrade.FULL_MESSAGES, upgrade.DEFAULT_MESSAGES):
        assert {type(message) for message in instances} == upgrade.MESSAGE_KINDS
        assert len(instances) == len(upgrade.MESSAGE_KINDS)


@pytest.mark.parametrize("struct", upgrade.FULL_STRUCTS, ids=lambda struct: type(struct).__name__)
def test_a_full_document_has_a_value_of_its_own_in_each_field(struct: Any) -> None:
    assert upgrade.distinct(struct)


def test_a_fresh_balancer_that_takes_recorded_knowledge_writes_it_again() -> None:
    """With the open work to the byte; without it what is recorded of the one that took it over."""
    known = recorded()["balancer knowledge"]
    whole, learned = from_text(known["seeded, with work"]), from_text(known["seeded, without work"])
    assert upgrade.adopt_and_export(whole, work=True) == whole
    adopted = upgrade.adopt_and_export(learned, work=False)
    assert adopted == from_text(known["adopted without work"])
    assert upgrade.adopt_and_export(adopted, work=False) == adopted


def test_every_meaning_of_an_alarm_is_taken_over() -> None:
    told, taken = upgrade.alarms_after_adoption()
    assert told == taken


def record() -> None:
    told = {name: built(name) for name in KINDS}
    FILE.write_text(json.dumps(told, indent=1, ensure_ascii=False) + "\n", encoding="utf-8")


if __name__ == "__main__":
    if sys.argv[1:] != ["--record"]:
        sys.exit("usage: python -m tests.recordings.test_documents --record")
    record()
