"""Tenant quotas: rate limits for the requests of each tenant at this gateway.

Decides whether a request is over its tenant's quota. Such a request is still served, but has a
lower rank in the queue. Inputs: the tenant's quota (requests per second at all gateways together),
the number of gateways in the settings, and the tenant's requests at this gateway. Each gateway has
an equal share of a quota, in a token bucket that holds at most one second of it. Without quotas a
burst of one tenant would delay the requests of all others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState

MICROSECONDS_PER_SECOND = 1e6
"""Quotas are per second, the clock counts microseconds."""


def is_over_quota(state: BalancerState, tenant: int) -> bool:
    """Take a token for a request of the tenant; return True if there was none.

    If the settings have quotas, a tenant that they do not list has a quota of 0. If they have none,
    no request is over its quota.
    """
    if not 0 <= tenant < len(state.tenant_buckets):
        return bool(state.tenant_buckets)
    settings = state.settings
    rate = settings.tenant_quotas_per_s[tenant] / settings.gateway_count
    bucket = state.tenant_buckets[tenant]
    bucket.earn(rate / MICROSECONDS_PER_SECOND * (state.now_us - bucket.filled_us), max(1.0, rate))
    bucket.filled_us = state.now_us
    return not bucket.spend()
