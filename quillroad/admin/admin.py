"""Carries out operators' calls on a gateway and reads the values of its metrics."""

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
from quillroad.serving_state import OperatorDrain

log = logging.getLogger("quillroad.admin")

# File descriptors that the admin address reserves, which connections to clients and hosts cannot
# use: its connections, its listener and a connection that is being accepted.
RESERVED = MAX_CONNECTIONS + 2
SHOWN_CHARACTERS = 2000  # of a list of hosts, in the log


class Admin:
    """The admin interface of one gateway, which listens at `address`."""

    def __init__(self, gateway: ManagedGateway, address: Address) -> None:
        self._gateway = gateway
        self._address = address
        self.host_overrides = HostOverrides()
        self.drain = OperatorDrain()
        self.figures = Figures(gateway.route_names, self._gauges)
        self.listener = OperatorListener(gateway.loop, self.act)
        self.port = 0  # port of the listener; 0 until `start`
        self.reloads = [0, 0]  # numbers of failed and of successful configuration reloads
        # Called after each call that changes state, to pass the change on to the sibling process.
        self.on_change: Callable[[], None] | None = None
        # Returns whether this process serves, where its sibling process may serve instead. None if
        # this process always serves.
        self.serves: Callable[[], bool] | None = None

    def start(self) -> None:
        """Start accepting calls. Raise `OSError` if the address cannot be bound."""
        listener = open_listener(*self._address)
        self.port = listener.getsockname()[1]
        self.listener.listen(listener)
        log.info("admin address listens on %s:%d", self._address[0], self.port)

    def pause(self) -> None:
        """Stop accepting new connections until `start` is called again."""
        self.listener.pause()

    def stop(self) -> None:
        """Stop accepting connections and abort the open ones."""
        self.listener.stop()

    def update_endpoints(
        self, update: EndpointUpdate, names: dict[int, str], addresses: dict[int, Address]
    ) -> None:
        """Apply an endpoint update from discovery to the gateway, with the overrides applied."""
        self._apply_to_engine(self.host_overrides.apply(update, names, addresses))

    def _apply_to_engine(self, changed: EngineUpdate | None) -> None:
        if changed is not None:
            self._gateway.apply_endpoints(*changed)

    def learn(
        self,
        out: dict[str, int],
        back: dict[str, tuple[int, int]],
        called: dict[str, int],
        drain: OperatorDrain,
    ) -> None:
        """Merge the overrides and the drain of the sibling process with those of this one.

        `out`, `back` and `called` have the formats that `HostOverrides.learn` describes.
        """
        changed = self.host_overrides.learn(out, back, called)
        if changed is not None:
            names = ", ".join(changed.names.values())
            log.info("calls to the sibling process changed: %s", names[:SHOWN_CHARACTERS])
        self._apply_to_engine(changed)
        self._set_drain(self.drain.merge(drain))

    def _set_drain(self, drain: OperatorDrain) -> None:
        self.drain = drain
        self._gateway.set_drained(drain.drained)

    def act(self, call: Call) -> Page:
        """Carry out a call and return its response, built after the change has taken effect."""
        serves = self.serves is None or self.serves()
        if call.act is Act.HEALTH:
            ready = self._gateway.ready and serves
            return page(200, "ready") if ready else page(503, "not ready")
        if call.act is Act.STATS:
            return Page(200, self.figures.text(), CONTENT_TYPE)
        if not serves:  # the state that the old process hands over would overwrite the change
            return page(503, "not serving yet")
        try:
            self._carry_out(call)
        except NoSuchHostError:
            return page(404, "no such host")
        except TooManyOverridesError:
            return page(503, "too many hosts are out by hand")
        log.info("operator's call carried out: %s %s", call.act.value, call.host)
        if self.on_change is not None:
            self.on_change()
        return page(200)

    def _carry_out(self, call: Call) -> None:
        """Carry out a call that changes state.

        Raise `NoSuchHostError` or `TooManyOverridesError`; in both cases nothing has changed.
        """
        match call.act:
            case Act.FAIL:
                self._set_drain(self.drain.after_call(True, _unix_us()))
            case Act.OK:
                self._set_drain(self.drain.after_call(False, _unix_us()))
            case Act.MAINT:
                self._apply_to_engine(self.host_overrides.take_out(call.host, _unix_us()))
            case Act.READY:
                self._apply_to_engine(self.host_overrides.put_back(call.host, _unix_us()))

    def _gauges(self) -> dict[str, float]:
        """Return the current values of the gauges, keyed by the names in `GAUGES`."""
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
    """Return the current Unix time in microseconds."""
    return time.time_ns() // 1000
