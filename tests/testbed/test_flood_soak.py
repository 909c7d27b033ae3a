"""Short seeded runs of the soak with floods.

`python -m testbed flood-soak '{"seeds": [1, 2, 3]}'` makes more of them.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from testbed.flood_soak import flood_soak
from tests.net import on_loop_within


@pytest.mark.parametrize("seed", [2, 3, 5, 8, 13, 21])
@on_loop_within(60.0)
async def test_floods_signals_and_early_kills_lose_no_request(tmp_path: Path, seed: int) -> None:
    (result,) = await flood_soak(tmp_path, [seed])
    assert result.violations == [], result.report()
    assert result.outcomes.sent > 200
