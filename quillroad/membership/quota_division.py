"""The number of gateways by which shared quotas are divided.

The fewer gateways are counted, the larger this one's quota: a count that is too high leaves
capacity unused, one that is too low overloads hosts. So the count rises at once, and falls only
when the view has been certain for a while. A gateway that is isolated or slow uses the configured
count. Does no I/O.
"""

from __future__ import annotations

from typing import NamedTuple

from quillroad.membership.local_health import HealthState
from quillroad.membership.view import View


class GatewayPosition(NamedTuple):
    """The index of this gateway, from 0, among `gateway_count` gateways."""

    gateway_index: int
    gateway_count: int


class QuotaDivision:
    """Derives this gateway's position from the view.

    `configured` is the position of the settings; `hold_s` is how many seconds the view must have
    been settled before the count may fall.
    """

    def __init__(self, configured: GatewayPosition, hold_s: float) -> None:
        self._configured = configured
        self._hold_s = hold_s
        self.position = configured

    def follow(self, view: View, now: float) -> GatewayPosition:
        """Return the position to use from now on."""
        configured = self._configured
        if view.self_state is HealthState.DUPLICATED:
            # Otherwise two processes with the same number would each use a whole quota and overload
            # hosts.
            self.position = GatewayPosition(configured.gateway_index, 2 * configured.gateway_count)
        elif view.self_state is not HealthState.HEALTHY:
            self.position = configured
        elif view.live_count > self.position.gateway_count or view.is_settled(now, self._hold_s):
            self.position = GatewayPosition(view.live_index(), view.live_count)
        return self.position
