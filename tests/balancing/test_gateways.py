"""Changes of the number of gateways."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.balancing.balancer import Balancer
from quillroad.balancing.endpoint import Endpoint
from quillroad.balancing.events import (
    EndpointUpdate,
    GatewayCountChanged,
    UpdateKind,
)
from quillroad.balancing.subsetting import (
    update_subset,
)
from tests.balancing.helpers import (
    route,
    settings,
)


@given(st.integers(1, 200), st.lists(st.integers(1, 200), max_size=6))
def test_total_concurrency_limit_is_kept_when_the_gateway_count_changes(
    configured_count: int, later_counts: list[int]
) -> None:
    balancer = Balancer(
        settings(route(), gateway_count=configured_count, gateway_index=configured_count - 1), 1
    )
    total_limit = balancer.concurrency_limit * configured_count
    for gateway_count_now in later_counts:
        balancer.handle(0, [GatewayCountChanged(gateway_count_now - 1, gateway_count_now)])
        assert balancer.concurrency_limit * gateway_count_now == pytest.approx(total_limit)
    assert (
        balancer.settings.gateway_count == configured_count
    )  # tenant quotas and slow-start slots use the configured number


def test_subsets_use_the_current_gateway_count_and_slow_start_slots_the_configured_one() -> None:
    hosts = tuple(Endpoint(n, started_us=1) for n in range(60))
    balancer = Balancer(
        settings(route(), gateway_count=40, gateway_index=39, warm_up_us=8_000_000), 1
    )
    balancer.handle(20_000_000, [EndpointUpdate(UpdateKind.FULL, hosts)])
    before = update_subset(balancer)
    assert before is not None and len(before) <= 4
    balancer.handle(20_000_000, [GatewayCountChanged(3, 4)])
    after = update_subset(balancer)
    assert after is None or len(after) >= 5 * len(
        before
    )  # with four of forty gateways left, each has ten times its share
    assert (balancer.settings.gateway_index, balancer.settings.gateway_count) == (39, 40)
