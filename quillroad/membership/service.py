"""Membership in a running gateway: its lifetime, its clock, and who follows the view."""

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
from quillroad.membership.sender import EVERYONE, Outgoing
from quillroad.membership.settings import MembershipSettings, load_fleet
from quillroad.membership.transport import UdpTransport
from quillroad.membership.wire import DropReason

log = logging.getLogger("quillroad.membership")

BIND_RETRY_S = 0.2  # until an address that another process uses is tried again
BIND_LOG_S = 10.0  # between two log lines about it


class MembershipService:
    """One gateway's part in the membership, from `start` to `stop`.

    Where the platform forbids talk between gateways there is no roster, and it does nothing. Raises
    `ConfigError` for a file that makes no sense.
    """

    def __init__(self, path: Path, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self._path = path
        self._config = config
        self._loop = loop
        self.settings: MembershipSettings | None = load_fleet(path, config)
        self.core: Core | None = None
        # Of the two processes of an upgrade only the one that serves takes part.
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
            log.info("the settings allow no talk between gateways: the told number counts")

    def attach(self, engine: Engine, source: Callable[[], Source]) -> None:
        """Whom the live count is told to; `source` returns the present source of hosts."""
        self._followers.attach(engine, source)

    # Lifetime.

    def start(self) -> None:
        """Take part from now on, or as soon as the address is free."""
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
            self._transport = UdpTransport(self._loop, settings.listen, self._readable)
        except OSError as error:
            # In an upgrade the process that ends still has it; else two run under one number.
            self._log_bind_error(settings, error)
            self._timer = self._loop.call_later(BIND_RETRY_S, self._join)
            return
        run_id = int.from_bytes(os.urandom(4), "big")
        draw = random.Random(self._config.seed ^ run_id).random
        self.core = Core(settings.roster, settings.timing, monotonic(), draw, run_id)
        self._followers.begin(settings.hold_s)
        self._arm()
        self._report()

    def _log_bind_error(self, settings: MembershipSettings, error: OSError) -> None:
        now = monotonic()
        if now - self._bind_logged_at < BIND_LOG_S:
            return
        self._bind_logged_at = now
        in_use = error.errno == errno.EADDRINUSE
        why = "another process holds it" if in_use else error.strerror
        log.error("no part in the fleet's view: %s:%d: %s", *settings.listen, why)

    def leave(self) -> None:
        """Tell the others that this gateway leaves, so that nobody has to find it faulty."""
        if self.core is not None:
            self.core.leave(monotonic())
            self._flush(self.core)

    def stop(self) -> None:
        """Take no part any more.

        Without `leave` before it the others take it for crashed, or for the process that comes next
        under its number.
        """
        self._close()
        self._files.close()
        self.core = None

    def _step_aside(self) -> None:
        """The other process of this gateway takes over: the same member, another run."""
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
        """Read the file again, for `take`; raises `ConfigError`.

        This gateway's number and the configured count are those of the start.
        """
        return load_fleet(self._path, replace(config, settings=self._config.settings))

    def apply_settings(self, settings: MembershipSettings | None) -> None:
        """Take another roster, followers and reports; times and the address need a restart."""
        if settings is None or self.settings is None:
            return
        if settings.listen != self.settings.listen or settings.timing != self.settings.timing:
            log.warning("these change with a restart only: members.listen, talk")
        self.settings = settings
        if self.core is not None:
            self.core.change_roster(settings.roster, monotonic())
            self._after_core(self.core)
        self._notify_followers()

    # The clock, and what the core has to say.

    def _readable(self) -> None:
        """Read what has come, and do what is due."""
        core = self.core
        if core is None:
            return
        try:
            self._receive(core)
            self._after_core(core)
        except Exception:  # logged with its trace: a fault here may cost the view, and no request
            log.exception("the fleet's view failed on a datagram")

    def _tick(self) -> None:
        core = self.core
        self._timer = None
        if core is None:
            return
        if not self.is_serving():
            self._step_aside()
            return
        try:
            # Read first: in a process that stood still, the answer that a probe waits for may lie
            # here.
            self._receive(core)
            core.tick(monotonic())
            self._follow_view(core)  # a quota may grow by the time alone
            self._after_core(core)
        except Exception:  # logged with its trace: a fault here may cost the view, and no request
            log.exception("the fleet's view failed")
            self._arm()

    def _receive(self, core: Core) -> None:
        if self._transport is not None:
            for data, source in self._transport.receive():
                core.receive(source, data, monotonic())

    def _after_core(self, core: Core) -> None:
        self._flush(core)
        if core.changes:
            self._record_changes(core)
            self._follow_view(core)
        self._arm()

    def _record_changes(self, core: Core) -> None:
        changes = core.changes
        core.changes = []
        self._change_log.record_changes(changes, core.number)

    def _arm(self) -> None:
        core = self.core
        if core is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        now = monotonic()
        self._timer = self._loop.call_later(max(0.0, core.arm(now) - now), self._tick)

    def _flush(self, core: Core) -> None:
        """Send what lies in the outbox."""
        if self._transport is None:
            return
        outbox = core.outbox
        core.outbox = []
        for outgoing in outbox:
            if not self._transport.send(outgoing.data, _address(core, outgoing)):
                core.dropped[DropReason.NOT_SENT] += 1

    # What follows from the view.

    def _follow_view(self, core: Core) -> None:
        """Divide quotas by the live count where the settings say so."""
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
    """Return where a datagram goes."""
    everyone = core.roster.everyone
    if outgoing.target == EVERYONE and everyone is not None:
        return everyone
    return core.roster.addresses[outgoing.target]
