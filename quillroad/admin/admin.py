"""Joins the operators' address to a gateway: what each call does, and what it reads."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from quillroad.admin.calls import Act, Call
from quillroad.admin.figures import CONTENT_TYPE, Figures
from quillroad.admin.front import PLACES, Front, Page, page
from quillroad.admin.hands import Hands, NoSuchHostError, Told, TooManyError
from quillroad.balancing.events import EndpointUpdate
from quillroad.config import Address
from quillroad.managed_gateway import ManagedGateway
from quillroad.overload.acceptor import open_listener

log = logging.getLogger("quillroad.admin")

RESERVED = (
    PLACES + 2
)  # descriptors that clients and hosts can't have: its places, its listener, an accept


class Admin:
    """One for each gateway that is told an operators' address."""

    def __init__(self, gateway: ManagedGateway, address: Address) -> None:
        self._gateway, self._address = gateway, address
        self.hands = Hands()
        self.figures = Figures(gateway.route_names, self._gauges)
        self.front = Front(gateway.loop, self.act)
        self.port = 0
        self.reloads = [0, 0]  # failed, ok
        # Told of a change by hand, for another process of this gateway.
        self.on_change: Callable[[], None] | None = None
        self.serves: Callable[[], bool] | None = (
            None  # whether this process serves, where another may
        )

    def start(self) -> None:
        """Take calls from now on. Raises OSError where the address cannot be used."""
        listener = open_listener(*self._address)
        self.port = listener.getsockname()[1]
        self.front.listen(listener)
        log.info("operators are answered at %s:%d", self._address[0], self.port)

    def pause(self) -> None:
        """Take no new calls, until `start`."""
        self.front.pause()

    def stop(self) -> None:
        self.front.stop()

    def told(
        self, servers: EndpointUpdate, names: dict[int, str], addresses: dict[int, Address]
    ) -> None:
        """A source tells of hosts."""
        self._update(self.hands.lay(servers, names, addresses))

    def _update(self, told: Told | None) -> None:
        if told is not None:
            self._gateway.apply_endpoints(*told)

    def learn(self, out: dict[str, int], back: dict[str, tuple[int, int]], drained: bool) -> None:
        """What another process of this gateway holds by hand counts here too."""
        self._update(self.hands.learn(out, back))
        self._gateway.drain_by_hand(drained)

    def act(self, call: Call) -> Page:
        """Do what a call asks for; the answer follows what was done."""
        gateway = self._gateway
        serves = self.serves is None or self.serves()
        match call.act:
            case Act.HEALTH:
                ready = gateway.ready and serves
                return page(200, "ready") if ready else page(503, "not ready")
            case Act.STATS:
                return Page(200, self.figures.text(), CONTENT_TYPE)
            case _ if not serves:  # it would be undone by what the process before holds by hand
                return page(503, "not serving yet")
            case Act.FAIL:
                gateway.drain_by_hand(True)
            case Act.OK:
                gateway.drain_by_hand(False)
            case Act.MAINT | Act.READY:
                now_us = time.time_ns() // 1000
                try:
                    if call.act is Act.MAINT:
                        self._update(self.hands.maint(call.host, now_us))
                    else:
                        self._update(self.hands.ready(call.host, now_us))
                except NoSuchHostError:
                    return page(404, "no such host")
                except TooManyError:
                    return page(503, "too many hosts are out by hand")
        log.info("by hand: %s %s", call.act.value, call.host)
        if self.on_change is not None:
            self.on_change()
        return page(200)

    def _gauges(self) -> dict[str, float]:
        figures = self._gateway.figures()
        return {
            "attempts": figures.attempts_sent,
            "in_flight": figures.requests_open,
            "hosts_known": figures.hosts_known,
            "hosts_excluded": figures.hosts_ejected + self.hands.listed,
            "reloads_ok": self.reloads[1],
            "reloads_failed": self.reloads[0],
        }
