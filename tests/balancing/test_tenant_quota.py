"""A tenant's rate of requests at one gateway."""

from __future__ import annotations

import pytest

from quillroad.balancing.tenant_quota import is_over_quota
from tests.balancing.helpers import BalancerDriver, settings


@pytest.mark.parametrize("gateways", [1, 4])
def test_a_tenant_has_an_even_part_of_its_quota_at_each_gateway(gateways: int) -> None:
    """Gateways do not tell each other of tenants: each keeps its own part, and none is exceeded."""
    told = settings(tenant_quotas_per_s=(40.0,), gateway_count=gateways)
    balancer = BalancerDriver(told).balancer
    within = 0
    for tick in range(10_000):  # 1,000 requests a second for 10 s
        balancer.now_us = 1_000_000 + tick * 1_000
        within += not is_over_quota(balancer, 0)
    quota = 40 / gateways
    assert 10 * quota <= within <= 11 * quota  # with one second of it in the bucket at the start


def test_a_tenant_that_the_settings_do_not_name_has_no_quota() -> None:
    named = BalancerDriver(settings(tenant_quotas_per_s=(40.0,))).balancer
    assert is_over_quota(named, 1) and is_over_quota(named, -1)
    nobody_named = BalancerDriver(settings()).balancer
    assert not is_over_quota(nobody_named, 1)
