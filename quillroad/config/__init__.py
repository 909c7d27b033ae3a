"""What a gateway is told, as typed values.

`model` has the values, `platform` the platform's form, `file` the form that people write, which
needs more libraries and is imported only where a file is read.
"""

from quillroad.config.model import (
    LONG_BODY,
    RESERVED,
    SHORT_BODY,
    Address,
    Config,
    ConfigError,
    ConsulHosts,
    Descriptors,
    Peers,
    Register,
    StaticHost,
    StaticHosts,
    read_address,
)
from quillroad.config.platform import changed_fields, load, reload

__all__ = [
    "LONG_BODY",
    "RESERVED",
    "SHORT_BODY",
    "Address",
    "Config",
    "ConfigError",
    "ConsulHosts",
    "Descriptors",
    "Peers",
    "Register",
    "StaticHost",
    "StaticHosts",
    "changed_fields",
    "load",
    "read_address",
    "reload",
]
