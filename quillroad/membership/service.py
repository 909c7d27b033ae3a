"""Runs the membership protocol in a gateway: start and stop, reload, timers, use of the view."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import random
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from time import monotonic

from quillroad.config import Config
from quillroad.discovery.source import Source
from quillroad.engine.engine import Engine
from quillroad.files import FileWriter
from quillroad.membership.change_log import ChangeLog
from quillroad.membership.core import Core
from quillroad.membership.live_count import LiveCountFollowers
from quillroad.membership.quota_division import GatewayPosition
from quillroad.membership.report import make_report, write_report
from quillroad.membership.sender import BROADCAST_TARGET, Outgoing
from quillroad.membership.settings import MembershipSettings, load_fleet
from quillroad.membership.transport import UdpTransport
from quillroad.membership.wire import DropReason

log = logging.getLogger("quillroad.membership")

BIND_RETRY_S = 0.2  # between two attempts to bind an address that is in use
BIND_LOG_INTERVAL_S = 10.0  # between two log lines about a failed bind


class MembershipService:
    """Runs one gateway's membership, from `start` to `stop`.

    If the platform forbids traffic between gateways there is no roster, and the service does
    nothing. Raises `ConfigError` for an invalid file.
    """

    def __init__(self, path: Path, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self._path = path
        self._config = config
        self._loop = loop
        self.settings: MembershipSettings | None = load_fleet(path, config)
        self.core: Core | None = None
        # During an upgrade, only the one of the two processes that serves is a member.
        self.is_serving: Callable[[], bool] = lambda: True
        configured = config.settings
        self._followers = LiveCountFollowers(
            GatewayPosition(configured.gateway_index, configured.gateway_count)
        )
        self._transport: UdpTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._report_timer: asyncio.TimerHandle | None = None
        self._bind_logged_at = float("-inf")
        self._files = FileWriter(loop)
        self._change_log = ChangeLog(self._files, None, configured.gateway_index)
        if self.settings is None:
            log.info(
                "membership is off: the settings give no peer addresses; "
                "the configured gateway count is used"
            )

    def attach(self, engine: Engine, source: Callable[[], Source]) -> None:
        """Set what receives the live count; `source` returns the current discovery source."""
        self._followers.attach(engine, source)

    # Lifetime.

    def start(self) -> None:
        """Join the membership now, or as soon as the address can be bound."""
        settings = self.settings
        if settings is None:
            return
        self._open_change_log(settings)
        self._join()

    def _open_change_log(self, settings: MembershipSettings) -> None:
        index = self._config.settings.gateway_index
        self._change_log = ChangeLog(self._files, settings.change_log_path, index)

    def _join(self) -> None:
        settings = self.settings
        assert settings is not None
        self._timer = None
        if not self.is_serving():
            self._timer = self._loop.call_later(BIND_RETRY_S, self._join)
            return
        try:
            self._transport = UdpTransport(self._loop, settings.listen, self._on_readable)
        except OSError as error:
            # During an upgrade the old process still has the address bound; otherwise two
            # processes were started with the same number.
            self._log_bind_error(settings, error)
            self._timer = self._loop.call_later(BIND_RETRY_S, self._join)
            return
        run_id = int.from_bytes(os.urandom(4), "big")
        draw = random.Random(self._config.seed ^ run_id).random
        self.core = Core(settings.roster, settings.timing, monotonic(), draw, run_id)
        self._followers.begin(settings.hold_s)
        self._schedule_tick()
        self._report()

    def _log_bind_error(self, settings: MembershipSettings, error: OSError) -> None:
        now = monotonic()
        if now - self._bind_logged_at < BIND_LOG_INTERVAL_S:
            return
        self._bind_logged_at = now
        in_use = error.errno == errno.EADDRINUSE
        why = "another process holds it" if in_use else error.strerror
        log.error("membership not joined: cannot bind %s:%d: %s", *settings.listen, why)

    def leave(self) -> None:
        """Announce that this gateway leaves, so that the others need not detect its failure."""
        if self.core is not None:
            self.core.leave(monotonic())
            self._send_outbox(self.core)

    def stop(self) -> None:
        """Stop the protocol and close the socket.

        Without a preceding `leave`, the other members detect a crash, or take the next process with
        this number for the same member.
        """
        self._close()
        self._files.close()
        self.core = None

    def _yield_to_other_process(self) -> None:
        """Stop until this process serves again: the other process of the upgrade takes over.

        That is the same member with another `run_id`.
        """
        self._close()
        self.core = None
        self._followers.reset()
        self._notify_followers()
        self._timer = self._loop.call_later(BIND_RETRY_S, self._join)

    def _close(self) -> None:
        for timer in (self._timer, self._report_timer):
            if timer is not None:
                timer.cancel()
        self._timer = None
        self._report_timer = None
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    # Reload.

    def read_settings(self, config: Config) -> MembershipSettings | None:
        """Read the file again, for `apply_settings`; raises `ConfigError`.

        This gateway's number and the configured gateway count stay those of the start.
        """
        return load_fleet(self._path, replace(config, settings=self._config.settings))

    def apply_settings(self, settings: MembershipSettings | None) -> None:
        """Apply a new roster, quota and report settings; `listen` and `talk` need a restart."""
        if settings is None or self.settings is None:
            return
        if settings.listen != self.settings.listen or settings.timing != self.settings.timing:
            log.warning("changes of members.listen and talk are ignored until the gateway restarts")
        self.settings = settings
        if self.core is not None:
            self.core.change_roster(settings.roster, monotonic())
            self._process_output(self.core)
        self._notify_followers()

    # Timers, datagrams, and output of the core.

    def _on_readable(self) -> None:
        """Process the received datagrams and the resulting output of the core."""
        core = self.core
        if core is None:
            return
        try:
            self._receive(core)
            self._process_output(core)
        except Exception:  # logged with its trace: a fault here may cost the view, and no request
            log.exception("membership: processing received datagrams failed")

    def _tick(self) -> None:
        core = self.core
        self._timer = None
        if core is None:
            return
        if not self.is_serving():
            self._yield_to_other_process()
            return
        try:
            # Read first: after a pause of this process, the answer to a probe may be waiting in
            # the socket, and the probe must not time out.
            self._receive(core)
            core.tick(monotonic())
            self._follow_view(core)  # a quota may grow once the view has been settled long enough
            self._process_output(core)
        except Exception:  # logged with its trace: a fault here may cost the view, and no request
            log.exception("membership: the timer failed")
            self._schedule_tick()

    def _receive(self, core: Core) -> None:
        if self._transport is not None:
            for data, source in self._transport.receive():
                core.receive(source, data, monotonic())

    def _process_output(self, core: Core) -> None:
        self._send_outbox(core)
        if core.changes:
            self._record_changes(core)
            self._follow_view(core)
        self._schedule_tick()

    def _record_changes(self, core: Core) -> None:
        changes = core.changes
        core.changes = []
        self._change_log.record_changes(changes, core.number)

    def _schedule_tick(self) -> None:
        core = self.core
        if core is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        now = monotonic()
        self._timer = self._loop.call_later(max(0.0, core.arm(now) - now), self._tick)

    def _send_outbox(self, core: Core) -> None:
        """Send the datagrams in the outbox."""
        if self._transport is None:
            return
        outbox = core.outbox
        core.outbox = []
        for outgoing in outbox:
            if not self._transport.send(outgoing.data, _address(core, outgoing)):
                core.dropped[DropReason.NOT_SENT] += 1

    # Use of the view: quotas and reports.

    def _follow_view(self, core: Core) -> None:
        """Derive this gateway's position from the view, and pass it to the followers."""
        if self._followers.follow(core.view, monotonic()):
            position = self._followers.position
            self._change_log.record_position(position, core.view.self_state.value)
        self._notify_followers()

    def _notify_followers(self) -> None:
        if self.settings is not None:
            self._followers.notify(self.settings)

    def _report(self) -> None:
        settings = self.settings
        core = self.core
        if settings is None or core is None:
            return
        if settings.report_path is not None:
            used = settings.subset_follows or settings.polling_follows
            position = self._followers.position
            report = make_report(core, self._config.name, position, used, monotonic(), time.time())
            self._files.replace(settings.report_path, write_report(report))
        self._report_timer = self._loop.call_later(settings.report_interval_s, self._report)


def _address(core: Core, outgoing: Outgoing) -> tuple[str, int]:
    """Return the address to send a datagram to."""
    everyone = core.roster.everyone
    if outgoing.target == BROADCAST_TARGET and everyone is not None:
        return everyone
    return core.roster.addresses[outgoing.target]
