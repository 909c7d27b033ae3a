"""The admin address: metrics and health, taking hosts out of service, draining the gateway.

Imported only if an admin address is configured.
"""

from quillroad.admin.admin import RESERVED, Admin

__all__ = ["RESERVED", "Admin"]
