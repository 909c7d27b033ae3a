"""The cores of a measurement: how the command line names them, and the default."""

from __future__ import annotations

import argparse
import os

import pytest

from bench.local_gateway import Cores


def default_cores(monkeypatch: pytest.MonkeyPatch, available: set[int], count: int) -> str:
    """The default of `--cores` on a machine where this process may use the `available` cores."""
    monkeypatch.setattr(os, "sched_getaffinity", lambda pid: available)
    parser = argparse.ArgumentParser()
    Cores.add_option(parser, count, "cores")
    cores: str = parser.parse_args([]).cores
    return cores


def test_the_first_two_cores_are_of_gateway_and_hosts_and_all_others_of_clients() -> None:
    assert Cores.parse("4,5,6") == Cores(gateway=4, hosts=5, clients=(6,))
    assert Cores.parse("7,0,3,1") == Cores(gateway=7, hosts=0, clients=(3, 1))


@pytest.mark.parametrize("text", ["", "1", "1,2", "1,2,", "1,2,x", "1;2;3", "1-3"])
def test_other_texts_than_three_or_more_cores_are_errors(text: str) -> None:
    with pytest.raises(ValueError):
        Cores.parse(text)


def test_two_cores_have_none_for_clients() -> None:
    with pytest.raises(ValueError, match="no core for clients"):
        Cores.parse("0,1")


def test_more_cores_of_clients_than_the_program_uses_are_an_error() -> None:
    assert Cores.parse("0,1,2", max_clients=1).clients == (2,)
    assert Cores.parse("0,1,2,3", max_clients=2).clients == (2, 3)
    with pytest.raises(ValueError, match="2 cores for clients, 1 at the most"):
        Cores.parse("0,1,2,3", max_clients=1)


def test_the_default_is_the_last_cores_that_the_process_may_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert default_cores(monkeypatch, {9, 2, 4, 10, 3}, 3) == "4,9,10"
    assert default_cores(monkeypatch, {0, 1, 2}, 3) == "0,1,2"
    assert default_cores(monkeypatch, {5, 6}, 3) == "5,6"  # which `parse` then rejects
