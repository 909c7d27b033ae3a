"""Tenant quotas at one gateway."""

from __future__ import annotations

import pytest

from quillroad.balancing.tenant_quota import is_over_quota
from tests.balancing.helpers import BalancerDriver, settings


@pytest.mark.parametrize("gateways", [1, 4])
def test_tenant_has_equal_share_of_quota_at_each_gateway(gateways: int) -> None:
    """Gateways do not share tenant state: each enforces its own share, so that the sum of all stays
    within the quota."""
    quota_settings = settings(tenant_quotas_per_s=(40.0,), gateway_count=gateways)
    balancer = BalancerDriver(quota_settings).balancer
    within = 0
    for tick in range(10_000):  # 1,000 requests per second for 10 s
        balancer.now_us = 1_000_000 + tick * 1_000
        within += not is_over_quota(balancer, 0)
    quota = 40 / gateways
    assert 10 * quota <= within <= 11 * quota  # the bucket starts with one second of the quota


def test_unlisted_tenant_is_over_quota_only_if_settings_have_quotas() -> None:
    with_quotas = BalancerDriver(settings(tenant_quotas_per_s=(40.0,))).balancer
    assert is_over_quota(with_quotas, 1) and is_over_quota(with_quotas, -1)
    without_quotas = BalancerDriver(settings()).balancer
    assert not is_over_quota(without_quotas, 1)
