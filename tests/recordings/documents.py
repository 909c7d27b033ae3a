"""Every kind of document that outlives a process or leaves it, by name.

The modules beside this one are the adapters: what they import and construct follows a rename, and
what they return does not change with it."""

from __future__ import annotations

from tests.recordings import command_line, consul, fleet, operators, rejections, upgrade, zones
from tests.recordings.kinds import Kind

KINDS: dict[str, Kind] = {
    "hand-over messages": Kind(upgrade.messages, upgrade.reencode_message),
    "hand-over packet heads": Kind(upgrade.packet_heads),
    "hand-over sections": Kind(upgrade.sections, upgrade.reencode_section),
    "hand-over sections by a gateway": Kind(upgrade.written_by_a_gateway, upgrade.reencode_section),
    "hand-over documents of older writers": Kind(upgrade.older_documents),
    "upgrade status": Kind(upgrade.status_lines),
    "balancer knowledge": Kind(upgrade.knowledge, upgrade.reencode_knowledge),
    "fleet datagrams": Kind(fleet.datagrams, fleet.reencode_datagram),
    "fleet exchange": Kind(fleet.exchange, fleet.reencode_datagram),
    "fleet reports": Kind(fleet.reports, fleet.reencode_report),
    "fleet changes": Kind(fleet.changes),
    "Consul registration": Kind(consul.registration),
    "metrics": Kind(operators.metrics),
    "operators' answers": Kind(operators.answers),
    "counts": Kind(operators.counts),
    "zones reports": Kind(zones.reports, zones.reencode_report),
    "rejected gateway files": Kind(rejections.gateway_files),
    "rejected fleet files": Kind(rejections.fleet_files),
    "rejected zones files": Kind(rejections.zones_files),
    "rejected upgrades files": Kind(rejections.upgrades_files),
    "rejected platform settings": Kind(rejections.platform_settings),
    "rejected platform files": Kind(rejections.platform_files),
    "rejected module settings": Kind(rejections.module_settings),
    "command line": Kind(command_line.commands),
    "environment": Kind(command_line.environment),
}
