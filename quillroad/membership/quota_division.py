"""By how many gateways to divide the quotas that they share. Pure.

The fewer gateways, the larger this one's quota: too many cost capacity that nobody uses, too few
overload hosts. So the count rises at once, and falls only on a view that has been certain for a
while; in doubt it is the configured one.
"""

from __future__ import annotations

from typing import NamedTuple

from quillroad.membership.local_health import HealthState
from quillroad.membership.view import View


class GatewayPosition(NamedTuple):
    """This gateway is number `gateway_index`, from 0, of `gateway_count`."""

    gateway_index: int
    gateway_count: int


class QuotaDivision:
    """`configured` is the position by the settings, `hold_s` how long a view has to be settled."""

    def __init__(self, configured: GatewayPosition, hold_s: float) -> None:
        self._configured = configured
        self._hold_s = hold_s
        self.position = configured

    def follow(self, view: View, now: float) -> GatewayPosition:
        """Return the position to use from now on."""
        configured = self._configured
        if view.self_state is HealthState.DUPLICATED:
            # Without this, two processes under one number each use a whole quota and overload
            # hosts.
            self.position = GatewayPosition(configured.gateway_index, 2 * configured.gateway_count)
        elif view.self_state is not HealthState.HEALTHY:
            self.position = configured
        elif view.live_count > self.position.gateway_count or view.is_settled(now, self._hold_s):
            self.position = GatewayPosition(view.live_index(), view.live_count)
        return self.position
