"""What the gateway asks of a source of hosts, and which one a configuration means."""

from __future__ import annotations

from typing import Protocol

from quillroad.config import Config, ConsulHosts, StaticHosts
from quillroad.discovery.feed import Feed, Update


class Source(Protocol):
    """Tells of hosts from `start` to `stop`, and says nothing after that. The list that it told last stands
    whatever becomes of it."""

    def begin(self, config: Config) -> None:
        """Tell what is known without asking anybody."""

    @property
    def position(self) -> tuple[str, int]:
        """Whose list it tells, and how far that has come; no name where two lists can't be compared."""

    def resume(self, position: int) -> None:
        """The list at this position of the same source is held: go on from there."""

    def start(self) -> None: ...

    def stop(self) -> None: ...

    def divide(self, number: int, balancers: int) -> None:
        """So many gateways share the source now, and which of them this is, from 0."""

    def follow(self, config: Config) -> None:
        """The same kind of source by another configuration: what it told stands until it tells more."""


def open_source(config: Config, update: Update) -> tuple[Source, Feed | None]:
    """The source that the configuration names, and what reduces its lists where the source tells no starts.
    Each brings its libraries: none but the one in use is imported."""
    feed = Feed(config.zones, config.kinds, update)
    if isinstance(config.hosts, StaticHosts):
        from quillroad.discovery.static import StaticSource  # noqa: PLC0415

        return StaticSource(feed.listener()), feed
    if isinstance(config.hosts, ConsulHosts):
        from quillroad.discovery.consul.source import ConsulSource, told_by  # noqa: PLC0415

        return ConsulSource(told_by(config.hosts), feed.listener(), config.seed), feed
    from quillroad.discovery.platform import Discovery  # noqa: PLC0415

    return Discovery(config, update), None
