"""Optional components of a gateway; each is imported only if the configuration enables it.

The platform starts gateways with none of them, and without the packages that they require.
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

# Environment variables that enable a component.
COUNTS_VARIABLE = "QUILLROAD_COUNTS"
FLEET_VARIABLE = "QUILLROAD_FLEET"


class Part(Protocol):
    """A component that runs in the background, independently of requests."""

    def start(self) -> None:
        """Start the background work."""

    def stop(self) -> None:
        """Stop the background work and release its resources."""


def make_admin(gateway: ManagedGateway, config: Config) -> Admin | None:
    """Return the admin listener, or None if the configuration has no admin address."""
    if config.admin is None:
        return None
    from quillroad.admin import Admin  # noqa: PLC0415 - imported only if enabled

    return Admin(gateway, config.admin)


def admin_descriptors(admin: Admin | None) -> int:
    """Return how many descriptors are reserved for the admin listener."""
    if admin is None:
        return 0
    from quillroad.admin import RESERVED  # noqa: PLC0415 - imported only if enabled

    return RESERVED


def make_zones(path: Path | None, config: Config, loop: asyncio.AbstractEventLoop) -> Zones | None:
    """Return the cross-zone budget, or None without a file.

    Raises ConfigError if the file is invalid.
    """
    if path is None:
        return None
    from quillroad.zones import Zones  # noqa: PLC0415 - imported only if enabled

    return Zones(path, config, loop)


def make_registrar(config: Config, ready: Callable[[], bool]) -> Registrar | None:
    """Return the component that registers the gateway in Consul, or None if not configured."""
    if config.register is None:
        return None
    from quillroad.discovery.consul.registrar import Registrar  # noqa: PLC0415 - imported only if enabled

    return Registrar(config.register, config, ready)


def make_counts(
    loop: asyncio.AbstractEventLoop, engine: Engine, upstream: Upstream
) -> Counts | None:
    """Return the component that logs counts, or None unless `QUILLROAD_COUNTS` is set."""
    if not os.environ.get(COUNTS_VARIABLE):
        return None
    from quillroad.counts import Counts  # noqa: PLC0415 - imported only if enabled

    return Counts(loop, engine, upstream)


def make_membership(config: Config, loop: asyncio.AbstractEventLoop) -> MembershipService | None:
    """Return the membership service, or None unless `QUILLROAD_FLEET` names its file."""
    path = os.environ.get(FLEET_VARIABLE)
    if not path:
        return None
    from quillroad.membership.service import MembershipService  # noqa: PLC0415 - imported only if enabled

    return MembershipService(Path(path), config, loop)
