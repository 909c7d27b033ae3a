"""What is told of the other gateways."""

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
def test_what_was_learned_of_all_gateways_stays_as_others_come_and_go(
    told: int, live: list[int]
) -> None:
    module = Balancer(settings(route(), gateway_count=told, gateway_index=told - 1), 1)
    whole = module.concurrency_limit * told
    for balancers in live:
        module.handle(0, [GatewayCountChanged(balancers - 1, balancers)])
        assert module.concurrency_limit * balancers == pytest.approx(whole)
    assert (
        module.settings.gateway_count == told
    )  # quotas and turns at warming hosts stay by the told number


def test_subsets_follow_the_live_number_and_slow_start_slots_the_told_one() -> None:
    hosts = tuple(Endpoint(n, started_us=1) for n in range(60))
    module = Balancer(
        settings(route(), gateway_count=40, gateway_index=39, warm_up_us=8_000_000), 1
    )
    module.handle(20_000_000, [EndpointUpdate(UpdateKind.FULL, hosts)])
    before = update_subset(module)
    assert before is not None and len(before) <= 4
    module.handle(20_000_000, [GatewayCountChanged(3, 4)])
    after = update_subset(module)
    assert after is None or len(after) >= 5 * len(
        before
    )  # four that are left of forty: ten times the part
    assert (module.settings.gateway_index, module.settings.gateway_count) == (39, 40)
