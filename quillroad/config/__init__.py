"""A gateway's configuration as typed values.

`model` defines the values, `platform` reads the platform's environment variables and JSON file,
`file` reads the TOML file that operators write. `file` needs `msgspec`, which the other two do not,
and is therefore imported only where a TOML file is read.
"""

from quillroad.config.model import (
    LONG_BODY,
    MAX_PEER_MEMORY_BYTES,
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
    "MAX_PEER_MEMORY_BYTES",
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
