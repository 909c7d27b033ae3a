"""Parts of a gateway that only some configurations have; each is imported only where it is used.

The platform starts gateways with none of them, and without the packages that they need.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from quillroad.config import Config
from quillroad.engine.engine import Engine
from quillroad.managed_gateway import ManagedGateway
from quillroad.upstream.pool import Upstream

if TYPE_CHECKING:
    from quillroad.admin import Admin
    from quillroad.counts import Counts
    from quillroad.discovery.consul.registrar import Registrar
    from quillroad.membership.service import MembershipService
    from quillroad.zones.zones import Zones

# Environment variables that turn a part on.
COUNTS_VARIABLE = "QUILLROAD_COUNTS"
FLEET_VARIABLE = "QUILLROAD_FLEET"


class Part(Protocol):
    """A part that runs beside the requests."""

    def start(self) -> None:
        """Begin."""

    def stop(self) -> None:
        """End, and let go of what it holds."""


def make_admin(gateway: ManagedGateway, config: Config) -> Admin | None:
    """The operators' address, where the configuration tells one."""
    if config.admin is None:
        return None
    from quillroad.admin import Admin  # noqa: PLC0415 - off: not imported

    return Admin(gateway, config.admin)


def admin_descriptors(admin: Admin | None) -> int:
    """How many descriptors the operators' address holds back from clients and hosts."""
    if admin is None:
        return 0
    from quillroad.admin import RESERVED  # noqa: PLC0415 - off: not imported

    return RESERVED


def make_zones(path: Path | None, config: Config, loop: asyncio.AbstractEventLoop) -> Zones | None:
    """The cross-zone budget, where a file tells one; ConfigError for a file that cannot work."""
    if path is None:
        return None
    from quillroad.zones import Zones  # noqa: PLC0415 - off: not imported

    return Zones(path, config, loop)


def make_registrar(config: Config, ready: Callable[[], bool]) -> Registrar | None:
    """The gateway's own entry in Consul, where the configuration asks for one."""
    if config.register is None:
        return None
    from quillroad.discovery.consul.registrar import Registrar  # noqa: PLC0415 - off: not imported

    return Registrar(config.register, config, ready)


def make_counts(
    loop: asyncio.AbstractEventLoop, engine: Engine, upstream: Upstream
) -> Counts | None:
    """The row of counts in the log, where the environment asks for it."""
    if not os.environ.get(COUNTS_VARIABLE):
        return None
    from quillroad.counts import Counts  # noqa: PLC0415 - off: not imported

    return Counts(loop, engine, upstream)


def make_membership(config: Config, loop: asyncio.AbstractEventLoop) -> MembershipService | None:
    """The membership of gateways, where the environment names its file."""
    path = os.environ.get(FLEET_VARIABLE)
    if not path:
        return None
    from quillroad.membership.service import MembershipService  # noqa: PLC0415 - off: not imported

    return MembershipService(Path(path), config, loop)
