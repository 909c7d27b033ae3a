"""Source for the platform's discovery service, which watches the endpoint list over HTTP.

The last list stays in use even if the watch fails (static stability), because a discovery outage
says nothing about the hosts. A watch that breaks off, falls silent or sends malformed data is
replaced by one from the last generation that was read; `call_pacing.py` has when.
"""

from __future__ import annotations

import logging
import math
import random
from time import monotonic

from quillroad.balancing.events import UpdateKind
from quillroad.config import Config, ConfigError
from quillroad.discovery.call_pacing import AgentPacing, CallPacing, SharedPacing
from quillroad.discovery.feed import Update
from quillroad.discovery.list_call import ListCall
from quillroad.discovery.open_calls import OpenCalls
from quillroad.discovery.platform_list import (
    ListChange,
    MalformedListError,
    OutdatedListError,
    PlatformList,
)
from quillroad.discovery.poll_schedule import PollSchedule

log = logging.getLogger("quillroad.discovery.platform")

SHOWN_CHARACTERS = 2000  # of a list, in the log


class PlatformSource:
    """Source that watches the endpoint list, by one call after another or by overlapping ones.

    `update` is called with each change.
    """

    def __init__(self, config: Config, update: Update) -> None:
        assert config.discovery is not None
        self.address = config.discovery
        self._update = update
        self._endpoint_list = PlatformList(config.zones, config.machine_types)
        self._changed_at = -math.inf  # when the list changed last
        self._changed_by: ListCall | None = None  # the call that brought that change
        self._calls: OpenCalls | None = None
        self._pacing = _pacing_for(config)

    def set_gateway_count(self, gateway_index: int, gateway_count: int) -> None:
        """Set the number of gateways that poll this service, and this one's index, from 0."""
        self._pacing.set_gateway_count(gateway_index, gateway_count)

    def load_known_hosts(self, config: Config) -> None:
        """Use the configuration's known list until discovery's first answer.

        Raises `ConfigError` if it is malformed.
        """
        if config.known_hosts:
            try:
                self._apply(self._endpoint_list.read(config.known_hosts, UpdateKind.CACHED))
            except MalformedListError as error:
                raise ConfigError(f"known: {error}") from None

    @property
    def position(self) -> tuple[str, int]:
        """The service's address and the last generation; ("", 0) until a new service answers."""
        if self._endpoint_list.needs_full_list:
            return "", 0
        host, port = self.address
        return f"{host}:{port}", self._endpoint_list.generation

    def resume(self, position: int) -> None:
        """Continue from this generation of the same service, whose list is already in use."""
        if position > self._endpoint_list.generation and not self._endpoint_list.needs_full_list:
            self._endpoint_list.resume_at(position)
            if self._calls is not None:
                self.stop()
                self._start_calls(0.0)  # only this gateway polls: no round is needed

    def start(self) -> None:
        """Start the watch, in this gateway's slot of the round."""
        self._start_calls(self._pacing.start_s(monotonic()))

    def _start_calls(self, wait_s: float) -> None:
        self._calls = OpenCalls(self._pacing, self._make_call, self._on_call_end)
        self._calls.start(wait_s)

    def _make_call(self, patience_s: float) -> ListCall:
        return ListCall(self.address, self._endpoint_list, patience_s, self)

    def stop(self) -> None:
        """Close all calls; no change is reported after that."""
        if self._calls is not None:
            self._calls.stop()
            self._calls = None

    def switch_to(self, config: Config) -> None:
        """Watch another discovery service; the list stays in use until its first answer.

        The old watch is cancelled, so that bytes left in its buffers cannot undo changes from the
        new one. Generations of two services cannot be compared, so the full list of the new service
        is requested. (Changes since generation 0 would lack the hosts that were there at
        generation 0.)
        """
        assert config.discovery is not None
        self.address = config.discovery
        self._endpoint_list.needs_full_list = True
        self._pacing.moved(monotonic())
        if self._calls is not None:
            self.stop()
            self.start()

    # Methods for the calls (the `CallListener` protocol).

    def on_document(self, call: ListCall, document: bytes) -> None:
        """Apply a document that a call received. Raises `MalformedListError`."""
        try:
            change = self._endpoint_list.read_document(document, self._known_before(call))
        except OutdatedListError:
            call.is_outdated = True
            return
        except MalformedListError:
            self._apply_recovered_drains(call, document)
            raise
        call.is_outdated = False
        if change is not None:
            self._apply(change)
            self._record_change(call)

    def on_sign_of_life(self, call: ListCall) -> None:
        """Record that all changes that discovery sent on this call before now have arrived."""
        if call.is_outdated:
            return
        self._pacing.heard(monotonic())
        if self._calls is not None:
            self._calls.heard(call)

    def _on_call_end(self, call: ListCall) -> None:
        # A call that was closed in favour of another does not get here, so its unread bytes are not
        # used.
        if call.unread.strip():
            call.partly_received = True
            self._apply_recovered_drains(call, call.unread)

    def _known_before(self, call: ListCall) -> int | None:
        """Return the generation that documents of a call must exceed; None if there is none.

        A call that began before another one changed the list may bring a document that is older
        than this change. Any generation counts on a call that began later: it is lower if the
        service started anew.
        """
        if call is self._changed_by or call.began_at > self._changed_at:
            return None
        return self._endpoint_list.generation

    def _record_change(self, call: ListCall) -> None:
        self._changed_at = monotonic()
        self._changed_by = call

    def _apply(self, change: ListChange) -> None:
        update, names, _ = change
        shown = ", ".join(
            f"{names[endpoint.id]} ({endpoint.id}) {endpoint.status.name.lower()}"
            for endpoint in update.endpoints
        )
        log.info(
            "list %d (%s): %s",
            update.version,
            update.kind.name.lower(),
            shown[:SHOWN_CHARACTERS] or "no hosts",
        )
        self._update(*change)

    def _apply_recovered_drains(self, call: ListCall, document: bytes) -> None:
        """Apply the drains of a document that is incomplete or malformed.

        While the watch is open on another call, an entry without a readable state is no reason to
        drain its host: the watch or the next call brings the state.
        """
        has_other_watch = self._calls is not None and self._calls.watch not in (None, call)
        change = self._endpoint_list.recover_drains(document, only_readable=has_other_watch)
        if change is None:
            return
        shown = ", ".join(change.names[endpoint.id] for endpoint in change.update.endpoints)
        log.warning("from an incomplete or malformed list: %s draining", shown[:SHOWN_CHARACTERS])
        self._update(*change)
        self._record_change(call)


def _pacing_for(config: Config) -> CallPacing:
    """Return the pacing: if lists are pushed, each gateway has an agent of its own."""
    draw = random.Random(config.seed).random
    settings = config.settings
    if not settings.discovery_is_polled:
        return AgentPacing(draw)
    schedule = PollSchedule(settings.gateway_count, settings.gateway_index, draw)
    return SharedPacing(schedule, monotonic())
