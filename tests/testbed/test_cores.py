"""Testbeds on one machine take different cores while there are enough, and share then."""

from __future__ import annotations

import os

import pytest

from testbed import cores
from testbed.cores import CoreClaims


def test_two_testbeds_take_no_core_twice_while_there_are_enough(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(cores, "NAME", f"\0quillroad-test-{os.getpid()}-{{}}")
    monkeypatch.setattr(os, "sched_getaffinity", lambda pid: {3, 4, 5, 6})
    one, other = CoreClaims(), CoreClaims()
    assert [one.claim(0), other.claim(0), one.claim(1), other.claim(1)] == [6, 5, 4, 3]
    assert [one.claim(2), other.claim(2), other.claim(5)] == [4, 4, 5]  # shared
    other.release()
    assert [one.claim(3), one.claim(4)] == [5, 3]
    one.release()
