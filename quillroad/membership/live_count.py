"""Telling the engine and the source of hosts by how many gateways to divide their quotas."""

from __future__ import annotations

from collections.abc import Callable

from quillroad.balancing.events import GatewayCountChanged
from quillroad.discovery.source import Source
from quillroad.engine.engine import Engine
from quillroad.membership.quota_division import GatewayPosition, QuotaDivision
from quillroad.membership.settings import MembershipSettings
from quillroad.membership.view import View


class LiveCountFollowers:
    """The engine's subsets and the source's polling rounds, each if the settings say so."""

    def __init__(self, configured: GatewayPosition) -> None:
        self._configured = configured
        self.position = configured
        self._division: QuotaDivision | None = None
        self._engine: Engine | None = None
        self._source: Callable[[], Source] | None = None

    def attach(self, engine: Engine, source: Callable[[], Source]) -> None:
        """Whom to tell; `source` returns the present one. Both know the configured position."""
        self._engine = engine
        self._source = source
        self._known_subset = self._configured
        self._known_source = source()
        self._known_rounds = self._configured

    def begin(self, hold_s: float) -> None:
        """A view begins, from which `follow` takes the position."""
        self._division = QuotaDivision(self._configured, hold_s)

    def follow(self, view: View, now: float) -> bool:
        """Take the position from the view; return whether it is another."""
        if self._division is None:
            return False
        before = self.position
        self.position = self._division.follow(view, now)
        return self.position != before

    def reset(self) -> None:
        """There is no view: back to the configured position."""
        self.position = self._configured

    def notify(self, settings: MembershipSettings) -> None:
        """Tell each follower what it does not know yet.

        That is another position, or a source that a reload put in the place of the last one, or
        that it follows the configured position again.
        """
        if self._engine is None or self._source is None:
            return
        subset = self.position if settings.subset_follows else self._configured
        if subset != self._known_subset:
            self._known_subset = subset
            self._engine.feed(GatewayCountChanged(subset.gateway_index, subset.gateway_count))
        source = self._source()
        rounds = self.position if settings.polling_follows else self._configured
        if (source, rounds) != (self._known_source, self._known_rounds):
            self._known_source = source
            self._known_rounds = rounds
            source.set_gateway_count(rounds.gateway_index, rounds.gateway_count)
