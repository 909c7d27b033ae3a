"""Traffic that crosses zones: counted, held to a budget, reported. Off unless a file turns it on; needs
`msgspec`. The decisions are the module's (`quillroad/balancing/zone_routing.py`); `ledger` counts
what went over the
sockets, `report` joins both, `zones` is the side towards loop and disk."""

from quillroad.zones.zones import Zones

__all__ = ["Zones"]
