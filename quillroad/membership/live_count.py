"""Updates the gateway count by which the engine and the discovery source divide quotas."""

from __future__ import annotations

from collections.abc import Callable

from quillroad.balancing.events import GatewayCountChanged
from quillroad.discovery.source import Source
from quillroad.engine.engine import Engine
from quillroad.membership.quota_division import GatewayPosition, QuotaDivision
from quillroad.membership.settings import MembershipSettings
from quillroad.membership.view import View


class LiveCountFollowers:
    """The engine (subsets) and the discovery source (polling), each updated if so configured."""

    def __init__(self, configured: GatewayPosition) -> None:
        self._configured = configured
        self.position = configured
        self._division: QuotaDivision | None = None
        self._engine: Engine | None = None
        self._source: Callable[[], Source] | None = None

    def attach(self, engine: Engine, source: Callable[[], Source]) -> None:
        """Set what to update; `source` returns the current source.

        Both must have been started with the configured position.
        """
        self._engine = engine
        self._source = source
        self._known_subset_position = self._configured
        self._known_source = source()
        self._known_polling_position = self._configured

    def begin(self, hold_s: float) -> None:
        """Start deriving the position from the view.

        The gateway count falls only once the view has been settled for `hold_s` seconds.
        """
        self._division = QuotaDivision(self._configured, hold_s)

    def follow(self, view: View, now: float) -> bool:
        """Take the position from the view; return whether it changed."""
        if self._division is None:
            return False
        before = self.position
        self.position = self._division.follow(view, now)
        return self.position != before

    def reset(self) -> None:
        """Return to the configured position, because the view is no longer maintained."""
        self.position = self._configured

    def notify(self, settings: MembershipSettings) -> None:
        """Pass each follower its position, if that differs from the last one passed.

        This also covers a discovery source that a reload replaced, and a follower that a reload of
        the settings returned to the configured position.
        """
        if self._engine is None or self._source is None:
            return
        subset_position = self.position if settings.subset_follows else self._configured
        if subset_position != self._known_subset_position:
            self._known_subset_position = subset_position
            self._engine.feed(
                GatewayCountChanged(subset_position.gateway_index, subset_position.gateway_count)
            )
        source = self._source()
        polling_position = self.position if settings.polling_follows else self._configured
        if (source, polling_position) != (self._known_source, self._known_polling_position):
            self._known_source = source
            self._known_polling_position = polling_position
            source.set_gateway_count(polling_position.gateway_index, polling_position.gateway_count)
