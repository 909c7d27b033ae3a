"""Hosts listed in the configuration, reported at start and at each reload."""

from __future__ import annotations

from time import monotonic

from quillroad.config import Config, StaticHost, StaticHosts
from quillroad.discovery.instance import (
    Instance,
    InstanceStatus,
    Snapshot,
    SourceHealth,
    SourceListener,
    SourceState,
)


class StaticSource:
    """Source of the hosts listed in the configuration; their start times are unknown."""

    def __init__(self, listener: SourceListener) -> None:
        self._listener = listener
        self._version = 0

    def load_known_hosts(self, config: Config) -> None:
        """Report the hosts of the configuration."""
        assert isinstance(config.hosts, StaticHosts)
        self._version += 1
        self._listener.on_state(SourceState(SourceHealth.FRESH, monotonic()))
        instances = tuple(_instance(host) for host in config.hosts.hosts)
        self._listener.on_snapshot(Snapshot(instances, self._version))

    @property
    def position(self) -> tuple[str, int]:
        """Always ("", 0): versions of two processes cannot be compared."""
        return "", 0

    def resume(self, position: int) -> None:
        """Do nothing: the list of the configuration file is used."""

    def start(self) -> None:
        """Do nothing: there is nothing to watch."""

    def stop(self) -> None:
        """Do nothing: there is no watch to end."""

    def set_gateway_count(self, gateway_index: int, gateway_count: int) -> None:
        """Do nothing: no discovery service is polled."""

    def switch_to(self, config: Config) -> None:
        """Report the hosts of another configuration."""
        self.load_known_hosts(config)


def _instance(host: StaticHost) -> Instance:
    return Instance(
        host.id,
        host.address,
        InstanceStatus.DRAINING if host.draining else InstanceStatus.UP,
        host.zone,
        host.kind,
        host.cell,
        host.weight,
    )
