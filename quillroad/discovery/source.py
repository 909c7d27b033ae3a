"""What the gateway asks of a source of hosts, and which source a configuration names."""

from __future__ import annotations

from typing import Protocol

from quillroad.config import Config, ConsulHosts, StaticHosts
from quillroad.discovery.feed import Feed, Update


class Source(Protocol):
    """Tells of hosts from `start` to `stop`, and nothing after that.

    The list that it told last stays in use whatever becomes of the source.
    """

    def load_known_hosts(self, config: Config) -> None:
        """Tell what is known without asking anybody. Raises `ConfigError` where that is no list."""

    @property
    def position(self) -> tuple[str, int]:
        """Whose list it tells, and how far that is; ("", 0) if lists cannot be compared."""

    def resume(self, position: int) -> None:
        """Go on from this position of the same source, whose list is in use already."""

    def start(self) -> None:
        """Begin to tell of hosts."""

    def stop(self) -> None:
        """Tell nothing more."""

    def set_gateway_count(self, gateway_index: int, gateway_count: int) -> None:
        """So many gateways share the source now, and which of them this is, from 0."""

    def switch_to(self, config: Config) -> None:
        """Use another configuration for the same kind of source.

        What was told stays in use until the source tells more.
        """


def open_source(config: Config, update: Update) -> tuple[Source, Feed | None]:
    """The source that the configuration names, and the feed where lists go through the reducer.

    Each source brings its own libraries: none but the one in use is imported.
    """
    feed = Feed(config.zones, config.machine_types, update)
    if isinstance(config.hosts, StaticHosts):
        from quillroad.discovery.static import StaticSource  # noqa: PLC0415

        return StaticSource(feed.listener()), feed
    if isinstance(config.hosts, ConsulHosts):
        from quillroad.discovery.consul.source import ConsulSource, query_for  # noqa: PLC0415

        return ConsulSource(query_for(config.hosts), feed.listener(), config.seed), feed
    from quillroad.discovery.platform import PlatformSource  # noqa: PLC0415

    return PlatformSource(config, update), None
