"""Updates about the other gateways, and about the sibling process of this gateway.

Makes no decision; maintains the counts that other rules read. Inputs: the number of gateways and
this gateway's index; the attempts of a sibling process during an upgrade.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillroad.balancing.events import GatewayCountChanged, SiblingAttempts

if TYPE_CHECKING:
    from quillroad.balancing.state import BalancerState


def on_sibling_attempts(state: BalancerState, event: SiblingAttempts) -> None:
    """Add the sibling process's attempts to this gateway's, in place of its previous report.

    Otherwise each process would fill a host up to the limit of the whole gateway, and both would
    use the same slow-start slot.
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
    """Divide the learned concurrency limit of a host among the current number of gateways.

    Otherwise, when three of ten gateways remain, each would use a tenth of the limit until it has
    learned a new one.
    """
    state.concurrency_limit *= state.gateway_count / event.gateway_count
    state.gateway_index = event.gateway_index
    state.gateway_count = event.gateway_count
