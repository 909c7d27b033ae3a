"""What an environment refuses before anything is started."""

from __future__ import annotations

from pathlib import Path

import pytest

from testbed.account import RequestClass
from testbed.environment import Environment


def test_lines_without_a_fleet_are_an_error(tmp_path: Path) -> None:
    """There is no relay then: such a test would cut lines that do not exist, and pass."""
    request_classes = [RequestClass("status-check", 0.58, 1.4)]
    with pytest.raises(ValueError, match="only the relay of a fleet"):
        Environment(tmp_path, request_classes, 1, lines=True)
