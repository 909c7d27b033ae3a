"""Hosts that stand in the configuration: told at the start, and again when the file is read again."""

from __future__ import annotations

from time import monotonic

from quillroad.config import Config, StaticHosts
from quillroad.discovery.instance import (
    Health,
    Instance,
    Listener,
    Snapshot,
    SourceState,
    Standing,
)


class StaticSource:
    """What is listed is what there is; nothing is known of starts."""

    def __init__(self, listener: Listener) -> None:
        self._listener, self._version = listener, 0

    def begin(self, config: Config) -> None:
        assert isinstance(config.hosts, StaticHosts)
        self._version += 1
        self._listener.on_state(SourceState(Health.FRESH, monotonic()))
        self._listener.on_snapshot(
            Snapshot(
                tuple(
                    Instance(
                        host.id,
                        host.address,
                        Standing.DRAINING if host.draining else Standing.UP,
                        host.zone,
                        host.kind,
                        host.cell,
                        host.weight,
                    )
                    for host in config.hosts.hosts
                ),
                self._version,
            )
        )

    @property
    def position(self) -> tuple[str, int]:
        return "", 0

    def resume(self, position: int) -> None:
        """What stands in the file counts."""

    def start(self) -> None:
        pass

    def stop(self) -> None:
        pass

    def divide(self, number: int, balancers: int) -> None:
        """Nobody is asked."""

    def follow(self, config: Config) -> None:
        self.begin(config)
