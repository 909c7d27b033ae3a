"""Tests of the gateway's own entry in Consul: the state machine, and a gateway with an agent."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quillroad.config import Register, StaticHost, StaticHosts
from quillroad.config.file import load_file
from quillroad.discovery.consul.register import (
    DEREGISTER_TIMEOUT_S,
    Entry,
    Registration,
    RegistrationState,
)
from quillroad.gateway import Gateway
from testbed.consul import Agent, Catalogue
from testbed.gateway import ROOT
from tests.net import make_config, on_loop, until

ENTRY = Entry("q-1", "q", "127.0.0.1", 8080, 15.0)


def call_path(machine: Registration) -> str:
    return machine.call().target.partition("?")[0].rpartition("/")[0].removeprefix("/v1/agent/")


def test_entry_is_registered_updated_reregistered_and_deregistered() -> None:
    machine, now, calls = Registration(ENTRY, 0.0), 0.0, []
    machine.serves(now, False)
    for at, status, ready in (
        (0.0, 200, False),
        (1.0, 200, True),
        (2.0, 200, True),
        (7.0, 404, True),
        (7.25, 200, True),
    ):
        now = at
        machine.serves(now, ready)
        if machine.next_s(now) == 0.0:
            call = machine.call()
            body = json.loads(call.body)
            calls.append((call_path(machine), body.get("Status") or body["Check"]["Status"]))
            machine.answered(now, call, status)
    update = ("check/update", "passing")
    assert calls == [("service", "critical"), update, update, ("service", "passing")]
    machine.leave(now)
    assert machine.next_s(now) == 0.0 and call_path(machine) == "service/deregister"
    assert (
        machine.answered(now, machine.call(), 200) == "deregistered" and machine.next_s(now) is None
    )


def test_drain_during_the_first_call_deregisters_what_it_registered() -> None:
    machine = Registration(ENTRY, 0.0)
    pending_call = machine.call()
    machine.leave(0.1)
    machine.answered(0.2, pending_call, 200)
    assert machine.next_s(0.2) == 0.0 and call_path(machine) == "service/deregister"


@given(
    st.lists(
        st.tuples(st.floats(0, 20), st.sampled_from([0, 200, 403, 404, 429, 500])), max_size=60
    ),
    st.integers(0, 60),
)
def test_call_rate_is_limited_and_deregistering_ends_for_any_answers(
    answers: list[tuple[float, int]], leave: int
) -> None:
    machine, now, called_at = Registration(ENTRY, 0.0), 0.0, []
    for number, (extra, status) in enumerate(answers):
        if number == leave:
            break
        wait_s = machine.next_s(now)
        assert wait_s is not None and wait_s <= 8.0 + 1e-6
        now += wait_s + extra
        machine.serves(now, bool(number // 6 % 2))
        called_at.append(now)
        machine.answered(now, machine.call(), status)
    # At most two calls in quick succession: the second reports a changed status.
    assert all(later - early >= 0.2 for early, later in zip(called_at, called_at[3:], strict=False))
    machine.leave(now)
    end = now + DEREGISTER_TIMEOUT_S + 1.0
    while (wait_s := machine.next_s(now)) is not None:
        now += wait_s
        assert now <= end and call_path(machine) == "service/deregister"
        machine.answered(now, machine.call(), 0)
    assert machine.state is RegistrationState.GONE


RegisteredGateway = tuple[Catalogue, Agent, Gateway, Callable[[], str]]


@asynccontextmanager
async def registered_gateway(ttl_s: float = 0.6) -> AsyncIterator[RegisteredGateway]:
    catalogue = Catalogue()
    agent = await Agent(catalogue).start()
    config = replace(
        make_config(1),
        discovery=None,
        hosts=StaticHosts((StaticHost("a", ("127.0.0.1", 9)),)),
        register=Register(agent.address, "q", ttl_s=ttl_s),
    )
    gateway = Gateway(config, asyncio.get_running_loop())
    await gateway.start()

    def status() -> str:
        return next(
            (entry.status for key, entry in catalogue.instances.items() if key[0] == "own"), "none"
        )

    try:
        yield catalogue, agent, gateway, status
    finally:
        gateway.stop()
        agent.stop()


@on_loop
async def test_gateway_registers_updates_its_check_and_deregisters_on_drain() -> None:
    async with registered_gateway() as (catalogue, agent, gateway, status):
        await until(lambda: status() == "passing")
        calls_before = len(agent.words)
        await until(lambda: len(agent.words) >= calls_before + 4)  # longer than the TTL
        assert status() == "passing"
        await gateway.drain()
        assert status() == "none" and agent.words[-1].startswith("/v1/agent/service/deregister/q-")
        assert not catalogue.instances


@on_loop
async def test_gateway_registers_again_after_the_agent_lost_the_entry_or_hung() -> None:
    async with registered_gateway() as (catalogue, agent, _gateway, status):
        await until(lambda: status() == "passing")
        (entry_id,) = agent.own
        agent.forget(entry_id)
        catalogue.deregister("own", entry_id)
        await until(lambda: status() == "passing")
        agent.fail("silent")
        await until(lambda: status() == "critical")  # by its TTL
        agent.fail("")
        await until(lambda: status() == "passing")
        agent.fail("denied")
        await until(lambda: status() == "critical")


def test_register_section_is_read_and_an_invalid_agent_is_named(tmp_path: Path) -> None:
    file, text = tmp_path / "q.toml", (ROOT / "deploy" / "quillroad.toml").read_text()
    part = text[text.index("# [register]") :]
    file.write_text(
        text.replace(part, "\n".join(line.removeprefix("# ") for line in part.splitlines()))
    )
    assert load_file(file).register == Register(("127.0.0.1", 8500), "quillroad")
    file.write_text(text + '[register]\nagent = "x"\nservice = "q"')
    with pytest.raises(Exception, match=r"register.agent: needs address:port, not 'x'"):
        load_file(file)
