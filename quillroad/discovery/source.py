"""Interface of host sources, and the choice of the source that a configuration names."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from quillroad.config import Config, ConsulHosts, StaticHosts
from quillroad.discovery.feed import Feed, Update


class Source(Protocol):
    """A source of hosts. It reports lists from `start` until `stop` and none after that.

    Its last list stays in use even if the source fails.
    """

    def load_known_hosts(self, config: Config) -> None:
        """Report the hosts that the configuration itself lists.

        Raises `ConfigError` if they are not a valid list.
        """

    @property
    def position(self) -> tuple[str, int]:
        """The identity of the list and its version; ("", 0) if lists cannot be compared."""

    def resume(self, position: int) -> None:
        """Continue from this position of the same source, whose list is already in use."""

    def start(self) -> None:
        """Start to report hosts."""

    def stop(self) -> None:
        """Stop reporting."""

    def set_gateway_count(self, gateway_index: int, gateway_count: int) -> None:
        """Set the number of gateways that share the source, and this one's index, from 0."""

    def switch_to(self, config: Config) -> None:
        """Use another configuration for the same kind of source.

        The last list stays in use until the source reports the next.
        """


def open_source(
    config: Config, update: Update, now_us: Callable[[], int]
) -> tuple[Source, Feed | None]:
    """Return the source that the configuration names, and its feed.

    `now_us` is the engine's clock, see `Feed`.
    The feed is None for the platform's source, whose lists bypass the reducer. Only the module of
    the source in use is imported, because each source has dependencies of its own.
    """
    feed = Feed(config.zones, config.machine_types, update, now_us)
    if isinstance(config.hosts, StaticHosts):
        from quillroad.discovery.static import StaticSource  # noqa: PLC0415

        return StaticSource(feed.listener()), feed
    if isinstance(config.hosts, ConsulHosts):
        from quillroad.discovery.consul.source import ConsulSource, query_for  # noqa: PLC0415

        return ConsulSource(query_for(config.hosts), feed.listener(), config.seed), feed
    from quillroad.discovery.platform import PlatformSource  # noqa: PLC0415

    return PlatformSource(config, update), None
