"""The operators' address: metrics, hosts taken out of service, a gateway drained and put back.

Imported only where the configuration tells such an address.
"""

from quillroad.admin.admin import RESERVED, Admin

__all__ = ["RESERVED", "Admin"]
