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
    third = CoreClaims()
    # Shared: with gateways of the own testbed, and by one that has none with whom it may be.
    assert [one.claim(2), one.claim(3), other.claim(2), third.claim(1)] == [6, 4, 5, 5]
    other.release()
    assert [third.claim(1), one.claim(4), one.claim(5)] == [5, 3, 3]
    one.release()
    third.release()
