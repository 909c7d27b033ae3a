"""The TOML configuration file: the example is valid, and each error names its field."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from quillroad.balancing.settings import Idempotency
from quillroad.config import ConfigError, ConsulHosts, StaticHosts
from quillroad.config.file import load_file

ROOT = Path(__file__).parent.parent.parent
VALID = """
[gateway]
listen = "127.0.0.1:0"
[[classes]]
name = "status-check"
repeat = "safe"
deadline = "1.4 s"
aim = "580 ms"
[[classes]]
name = "seat-checkout"
repeat = "keyed"
deadline = "1.9 s"
remembers = "6 s"
[[tenants]]
name = "acme"
per_second = 10.0
[hosts]
source = "static"
[[hosts.static]]
id = "a"
address = "127.0.0.1:9001"
"""
VALID_CONSUL = (
    VALID[: VALID.index("[hosts]")]
    + """
[hosts]
source = "consul"
[hosts.consul]
agents = ["127.0.0.1:8500", "127.0.0.1:8501"]
service = "licence-node"
"""
)


def write_config(folder: Path, text: str) -> Path:
    path = folder / "gateway.toml"
    path.write_text(text)
    return path


def test_example_file_is_valid_and_shows_the_defaults(tmp_path: Path) -> None:
    """Guards against an example file that is invalid or differs from the defaults in the code."""
    config = load_file(ROOT / "deploy" / "quillroad.toml")
    assert [route.idempotency for route in config.settings.routes] == [
        Idempotency.IDEMPOTENT,
        Idempotency.KEYED,
    ]
    assert config.settings.routes[0].latency_objective_us == 580_000
    assert isinstance(config.hosts, StaticHosts)
    minimal = load_file(write_config(tmp_path, VALID))
    for name in (
        "max_attempts",
        "hedging_allowed",
        "max_retry_after_us",
        "warm_up_us",
        "overload_window_us",
    ):
        assert getattr(minimal.settings, name) == getattr(config.settings, name), name
    assert (minimal.sockets, minimal.connect_timeout_s, minimal.idle_s) == (1024, 1.0, 15.0)


def test_consul_section_sets_the_source_of_hosts(tmp_path: Path) -> None:
    """Guards against fields of `[hosts.consul]` that are accepted but not used."""
    config = load_file(
        write_config(
            tmp_path, VALID_CONSUL + 'wait = "500 ms"\n[hosts.consul.meta]\nzone = "room"\n'
        )
    )
    hosts = config.hosts
    assert isinstance(hosts, ConsulHosts)
    assert (hosts.agents[1], hosts.wait_s, hosts.meta[0]) == (("127.0.0.1", 8501), 0.5, "room")


INVALID_FILE_VALUES = [  # text to replace, its replacement, start of the error message
    ("listen = ", "listens = ", "gateway.listens: no such field"),
    ('listen = "127.0.0.1:0"', "", "gateway.listen: missing"),
    ('listen = "127.0.0.1:0"', "listen = 80", "gateway.listen: "),
    ('listen = "127.0.0.1:0"', 'listen = "nowhere"', "gateway.listen: "),
    ('listen = "127.0.0.1:0"', 'listen = "h:99999"', "gateway.listen: "),
    ('listen = "127.0.0.1:0"', 'listen = ""', "gateway.listen: "),
    ('listen = "127.0.0.1:0"', 'listen = "h:1"\nname = ""', "gateway.name: "),
    ('listen = "127.0.0.1:0"', 'listen = "h:1"\nseed = "x"', "gateway.seed: "),
    ('listen = "127.0.0.1:0"', 'listen = "h:1"\nzone = "north"', "gateway.zone: "),
    ("[gateway]", "[gateways]", "gateways: no such field"),
    ("[gateway]", "gateway = 3\n[limits]", "gateway: "),
    ('name = "status-check"', "", "classes[0].name: missing"),
    ('name = "status-check"', 'name = "seat-checkout"', "classes: 'seat-checkout'"),
    ('name = "status-check"', "name = 7", "classes[0].name: "),
    ('repeat = "safe"', 'repeat = "never"', "classes[0].repeat: "),
    ('repeat = "safe"', "", "classes[0].repeat: missing"),
    ('deadline = "1.4 s"', "", "classes[0].deadline: missing"),
    ('deadline = "1.4 s"', "deadline = 1.4", "classes[0].deadline: "),
    ('deadline = "1.4 s"', 'deadline = "1.4"', "classes[0].deadline: "),
    ('deadline = "1.4 s"', 'deadline = "-1 s"', "classes[0].deadline: "),
    ('deadline = "1.4 s"', 'deadline = "0 s"', "classes[0].deadline: "),
    ('aim = "580 ms"', 'aim = "580 parsecs"', "classes[0].aim: "),
    ('aim = "580 ms"', 'aim = "3 s"', "classes[0].aim: "),
    ('aim = "580 ms"', 'aim = "0 ms"', "classes[0].aim: "),
    ('aim = "580 ms"', "worth = -1.0", "classes[0].worth: "),
    ('aim = "580 ms"', 'worth = "much"', "classes[0].worth: "),
    ('aim = "580 ms"', "late_worth = 2.0", "classes[0].late_worth: "),
    ('remembers = "6 s"', "", "classes[1].remembers: "),
    ('remembers = "6 s"', 'remembered_by = "some"', "classes[1].remembered_by: "),
    ("per_second = 10.0", "", "tenants[0].per_second: missing"),
    ("per_second = 10.0", "per_second = -1", "tenants[0].per_second: "),
    (
        "per_second = 10.0",
        'per_second = 1\n[[tenants]]\nname = "acme"\nper_second = 2',
        "tenants: 'acme'",
    ),
    ("[hosts]\n", "[limits]\nsockets = 3\n[hosts]\n", "limits.sockets: "),
    ("[hosts]\n", "[limits]\ncores = 0\n[hosts]\n", "limits.cores: "),
    ("[hosts]\n", "[limits]\ncores = 2\n[hosts]\n", "limits.cores: "),
    ("[hosts]\n", "[tries]\nattempts = 0\n[hosts]\n", "tries.attempts: "),
    ("[hosts]\n", '[tries]\nretry_after = "soon"\n[hosts]\n', "tries.retry_after: "),
    ("[hosts]\n", '[connections]\nconnect = "0 s"\n[hosts]\n', "connections: "),
    ("[hosts]\n", "[starts]\ncold_from = 0.0\n[hosts]\n", "starts.cold_from: "),
    ("[hosts]\n", '[starts]\nfall_window = "0 s"\n[hosts]\n', "starts.fall_window: "),
    ("[hosts]\n", "[peers]\ngateways = 2\nnumber = 2\n[hosts]\n", "peers.number: "),
    ('source = "static"', "", "hosts.source: missing"),
    ('source = "static"', 'source = "dns"', "hosts.source: "),
    ('source = "static"', 'source = "consul"', "hosts.consul: missing"),
    ('id = "a"', "", "hosts.static[0].id: missing"),
    ('address = "127.0.0.1:9001"', 'address = "127.0.0.1:0"', "hosts.static[0].address: "),
    ('address = "127.0.0.1:9001"', 'address = "127.0.0.1"', "hosts.static[0].address: "),
    ('address = "127.0.0.1:9001"', 'address = "h:1"\nstate = "gone"', "hosts.static[0].state: "),
    ('address = "127.0.0.1:9001"', 'address = "h:1"\nweight = 0', "hosts.static[0].weight: "),
    ('id = "a"\n', 'id = "a"\naddress = "h:2"\n[[hosts.static]]\nid = "a"\n', "hosts.static: 'a'"),
]
INVALID_CONSUL_VALUES = [
    ('agents = ["127.0.0.1:8500", "127.0.0.1:8501"]', "agents = []", "hosts.consul.agents: "),
    ('agents = ["127.0.0.1:8500", "127.0.0.1:8501"]', 'agents = ["x"]', "hosts.consul.agents[0]: "),
    (
        'agents = ["127.0.0.1:8500", "127.0.0.1:8501"]',
        'agents = ["h:1", "h:1"]',
        "hosts.consul.agents: ",
    ),
    ('service = "licence-node"', "", "hosts.consul.service: missing"),
    ('service = "licence-node"', 'service = "s"\nwait = "1 us"', "hosts.consul.wait: "),
    (
        'service = "licence-node"',
        'service = "s"\nconsistency = "some"',
        "hosts.consul.consistency: ",
    ),
    (
        'service = "licence-node"',
        'service = "s"\ntoken = "secret"',
        "hosts.consul.token: no such field",
    ),
]


@pytest.mark.parametrize(
    ("base", "old", "new", "message_start"),
    [(VALID, *case) for case in INVALID_FILE_VALUES]
    + [(VALID_CONSUL, *case) for case in INVALID_CONSUL_VALUES],
)
def test_invalid_value_is_rejected_with_one_line_that_names_the_field(
    tmp_path: Path, base: str, old: str, new: str, message_start: str
) -> None:
    """Guards against invalid values that are accepted, or whose error does not name the field."""
    assert old in base
    with pytest.raises(ConfigError) as caught:
        load_file(write_config(tmp_path, base.replace(old, new, 1)))
    assert str(caught.value).startswith(message_start)
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize("text", ["[", "a = ", "\x00", "classes = []\n" + VALID])
def test_file_that_is_missing_or_not_toml_is_rejected(tmp_path: Path, text: str) -> None:
    """Guards against errors of the file system or the parser that are no `ConfigError`."""
    with pytest.raises(ConfigError):
        load_file(write_config(tmp_path, text))
    with pytest.raises(ConfigError, match="cannot read"):
        load_file(tmp_path / "none.toml")


@pytest.mark.parametrize(
    ("arguments", "exit_status", "expected_output"),
    [
        (("check", "good.toml"), 0, "in order: 2 classes, 1 hosts"),
        (("check", "bad.toml"), 2, "classes[0].aim: "),
        (("--config", "bad.toml"), 2, "classes[0].aim: "),
        (("--config", "none.toml"), 2, "cannot read"),
        (("--no-such",), 2, "--no-such"),
    ],
)
def test_command_line_reports_configuration_errors_in_one_line_with_status_2(
    tmp_path: Path, arguments: tuple[str, ...], exit_status: int, expected_output: str
) -> None:
    """Guards against a traceback or a wrong exit status for an invalid configuration file."""
    (tmp_path / "good.toml").write_text(VALID)
    (tmp_path / "bad.toml").write_text(VALID.replace("580 ms", "580"))
    environment = {k: v for k, v in os.environ.items() if not k.startswith(("GW_", "QUILLROAD_"))}
    completed = subprocess.run(
        [sys.executable, "-m", "quillroad", *arguments],
        cwd=tmp_path,
        timeout=20,
        capture_output=True,
        text=True,
        env=environment | {"PYTHONPATH": str(ROOT)},
        check=False,
    )
    assert completed.returncode == exit_status
    assert expected_output in completed.stdout + completed.stderr
    if exit_status == 2 and arguments[0] != "--no-such":
        assert completed.stderr.count("\n") == 1
