"""What is told of the other gateways, and of this gateway's other process.

Decides nothing; keeps the counts right that other rules go by. Inputs: the number of gateways and
this one's index; the attempts of a sibling process during an upgrade.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.events import GatewayCountChanged, SiblingAttempts

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState


def on_sibling_attempts(state: BalancerState, event: SiblingAttempts) -> None:
    """Count the attempts of the sibling process as ours, in place of what was told before.

    Without it both processes fill a host's limit each, and both use the same slow-start slot.
    """
    state.owns_slow_start = event.owns_slow_start
    state.sibling_in_flight = sum(
        in_flight - overdue for in_flight, overdue in event.in_flight.values()
    )
    for host in state.hosts.values():
        in_flight, overdue = event.in_flight.get(host.endpoint.id, (0, 0))
        host.in_flight += in_flight - host.sibling_in_flight
        host.overdue += overdue - host.sibling_overdue
        host.sibling_in_flight = in_flight
        host.sibling_overdue = overdue


def on_gateway_count_changed(state: BalancerState, event: GatewayCountChanged) -> None:
    """Divide what was learned of a host's limit among the gateways that there are now.

    Without it three gateways that are left of ten use a tenth each until they have learned anew.
    """
    state.concurrency_limit *= state.gateway_count / event.gateway_count
    state.gateway_index = event.gateway_index
    state.gateway_count = event.gateway_count
