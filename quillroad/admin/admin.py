"""Joins the operators' address to a gateway: what each call does, and what it reads."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from quillroad.admin.calls import Act, Call
from quillroad.admin.errors import NoSuchHostError, TooManyOverridesError
from quillroad.admin.figures import CONTENT_TYPE, Figures
from quillroad.admin.host_overrides import EngineUpdate, HostOverrides
from quillroad.admin.listener import MAX_CONNECTIONS, OperatorListener
from quillroad.admin.pages import Page, page
from quillroad.balancing.events import EndpointUpdate
from quillroad.config import Address
from quillroad.managed_gateway import ManagedGateway
from quillroad.overload.acceptor import open_listener

log = logging.getLogger("quillroad.admin")

# Descriptors that clients and hosts cannot have: of the connections, the listener and an accept.
RESERVED = MAX_CONNECTIONS + 2


class Admin:
    """The operators' side of one gateway, at `address`."""

    def __init__(self, gateway: ManagedGateway, address: Address) -> None:
        self._gateway = gateway
        self._address = address
        self.host_overrides = HostOverrides()
        self.figures = Figures(gateway.route_names, self._gauges)
        self.listener = OperatorListener(gateway.loop, self.act)
        self.port = 0  # that operators connect to; 0 until it listens
        self.reloads = [0, 0]  # failed, ok
        # Called after an operator has changed something, for another process of this gateway.
        self.on_change: Callable[[], None] | None = None
        # Whether this process serves, where another process of this gateway may; None: it does.
        self.serves: Callable[[], bool] | None = None

    def start(self) -> None:
        """Take calls from now on. Raises OSError where the address cannot be used."""
        listener = open_listener(*self._address)
        self.port = listener.getsockname()[1]
        self.listener.listen(listener)
        log.info("operators are answered at %s:%d", self._address[0], self.port)

    def pause(self) -> None:
        """Take no new calls, until `start`."""
        self.listener.pause()

    def stop(self) -> None:
        """Take no more calls and end those that are there."""
        self.listener.stop()

    def update_endpoints(
        self, update: EndpointUpdate, names: dict[int, str], addresses: dict[int, Address]
    ) -> None:
        """Go by what a source tells of endpoints, with the overrides laid over it."""
        self._apply(self.host_overrides.apply(update, names, addresses))

    def _apply(self, changed: EngineUpdate | None) -> None:
        if changed is not None:
            self._gateway.apply_endpoints(*changed)

    def learn(self, out: dict[str, int], back: dict[str, tuple[int, int]], drained: bool) -> None:
        """Go by the overrides and the drain that another process of this gateway holds."""
        self._apply(self.host_overrides.learn(out, back))
        self._gateway.set_drained(drained)

    def act(self, call: Call) -> Page:
        """Do what a call asks for; the answer follows what was done."""
        serves = self.serves is None or self.serves()
        if call.act is Act.HEALTH:
            ready = self._gateway.ready and serves
            return page(200, "ready") if ready else page(503, "not ready")
        if call.act is Act.STATS:
            return Page(200, self.figures.text(), CONTENT_TYPE)
        if not serves:  # it would be undone by what the process before holds
            return page(503, "not serving yet")
        try:
            self._change(call)
        except NoSuchHostError:
            return page(404, "no such host")
        except TooManyOverridesError:
            return page(503, "too many hosts are out by hand")
        log.info("by hand: %s %s", call.act.value, call.host)
        if self.on_change is not None:
            self.on_change()
        return page(200)

    def _change(self, call: Call) -> None:
        """Carry out a call that changes something.

        Raises `NoSuchHostError` and `TooManyOverridesError`, with nothing changed.
        """
        match call.act:
            case Act.FAIL:
                self._gateway.set_drained(True)
            case Act.OK:
                self._gateway.set_drained(False)
            case Act.MAINT:
                self._apply(self.host_overrides.take_out(call.host, _unix_us()))
            case Act.READY:
                self._apply(self.host_overrides.put_back(call.host, _unix_us()))

    def _gauges(self) -> dict[str, float]:
        figures = self._gateway.figures()
        return {
            "attempts": figures.attempts_sent,
            "in_flight": figures.requests_open,
            "hosts_known": figures.hosts_known,
            "hosts_excluded": figures.hosts_ejected + self.host_overrides.listed,
            "reloads_ok": self.reloads[1],
            "reloads_failed": self.reloads[0],
        }


def _unix_us() -> int:
    """Unix time in microseconds."""
    return time.time_ns() // 1000
