"""Adapter: the gateway's own entry in Consul."""

from __future__ import annotations

import dataclasses

from quillroad.config import Register
from quillroad.discovery.consul.registrar import Registrar
from tests.net import make_config
from tests.recordings.kinds import Documents

FULL = Register(("127.0.0.1", 8500), "quill/road", "own id/1", 2.5)
DEFAULTS = Register(("127.0.0.1", 8500), "quillroad")


def registration() -> Documents:
    """Target and body of every call of an entry's life, in order."""
    told = {}
    for name, register in (("full", FULL), ("defaults", DEFAULTS)):
        config = dataclasses.replace(make_config(1), listen=("127.0.0.2", 8081), register=register)
        machine = Registrar(register, config, lambda: True).registration
        now = 0.0
        for step, ready in (
            ("registered", False),
            ("critical", False),
            ("passing", True),
            ("left", True),
        ):
            machine.serves(now, ready)
            if step == "left":
                machine.leave(now)
            call = machine.call()
            told[f"{name}, {step}"] = f"PUT {call.target}\n{call.body.decode()}"
            machine.answered(now, call, 200)
            now += 100.0
    return told
