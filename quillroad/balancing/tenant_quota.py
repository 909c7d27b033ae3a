"""A tenant's rate of requests at this gateway.

Decides whether a request is beyond its tenant's quota; it is served all the same, but queues last.
Inputs: the tenant's quota (requests a second for all gateways), the number of gateways as told in
the settings, and the tenant's requests here. Each gateway has an even part of a quota, in a token
bucket that holds one second of it. Without it one tenant's burst takes the place of all others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState

MICROSECONDS = 1e6
"""In a second: quotas are told by the second, the clock counts microseconds."""


def is_over_quota(state: BalancerState, tenant: int) -> bool:
    """Take one request from the tenant's part; True where none is left.

    Tenants that the settings do not name have none, where the settings name any.
    """
    if not 0 <= tenant < len(state.tenant_buckets):
        return bool(state.tenant_buckets)
    settings = state.settings
    rate = settings.tenant_quotas_per_s[tenant] / settings.gateway_count
    bucket = state.tenant_buckets[tenant]
    bucket.earn(rate / MICROSECONDS * (state.now_us - bucket.filled_us), max(1.0, rate))
    bucket.filled_us = state.now_us
    return not bucket.spend()
