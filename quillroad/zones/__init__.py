"""Counts, limits and reports the cross-zone traffic of one gateway.

Disabled unless a zones file is configured; requires `msgspec`.
`quillroad/balancing/zone_routing.py` decides which attempts may leave the zone. In this package,
`settings` reads the zones file, `traffic` counts attempts and bytes, `report` builds a report from
these counts and the budget, `report_writer` writes it to its file, and `zones` connects these parts
with the gateway.
"""

from quillroad.zones.zones import Zones

__all__ = ["Zones"]
