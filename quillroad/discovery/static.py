"""Hosts that stand in the configuration: told at the start and at each reload."""

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
    """What is listed is what there is; nothing is known of starts."""

    def __init__(self, listener: SourceListener) -> None:
        self._listener = listener
        self._version = 0

    def load_known_hosts(self, config: Config) -> None:
        """Tell the hosts of the configuration."""
        assert isinstance(config.hosts, StaticHosts)
        self._version += 1
        self._listener.on_state(SourceState(SourceHealth.FRESH, monotonic()))
        instances = tuple(_instance(host) for host in config.hosts.hosts)
        self._listener.on_snapshot(Snapshot(instances, self._version))

    @property
    def position(self) -> tuple[str, int]:
        """Versions of two processes cannot be compared."""
        return "", 0

    def resume(self, position: int) -> None:
        """What stands in the file counts."""

    def start(self) -> None:
        """Nothing to watch."""

    def stop(self) -> None:
        """Nothing to end."""

    def set_gateway_count(self, gateway_index: int, gateway_count: int) -> None:
        """Nobody is polled."""

    def switch_to(self, config: Config) -> None:
        """Tell the hosts of another configuration."""
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
