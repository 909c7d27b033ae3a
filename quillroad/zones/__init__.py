"""Cross-zone traffic of one gateway: counted, held to a budget and reported.

Off unless a file turns it on; needs `msgspec`. The decisions are in
`quillroad/balancing/zone_routing.py`. Here `traffic` counts what went over the sockets, `report`
joins both into one document, `report_writer` puts it on the disk, and `zones` holds these parts
together for the gateway.
"""

from quillroad.zones.zones import Zones

__all__ = ["Zones"]
