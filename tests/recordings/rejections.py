"""Adapter: the line that each wrong file or settings object is rejected with.

The cases are those of the tests of each reader, so a case added there has to be recorded here."""

from __future__ import annotations

import copy
import json
import tempfile
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import Any

from quillroad.balancing.platform_settings import read_settings
from quillroad.balancing.settings import Route, Settings
from quillroad.config import Config, ConfigError, load
from quillroad.config.file import load_file
from quillroad.membership.settings import load_fleet
from quillroad.upgrade.settings import load_upgrades
from quillroad.zones.settings import load_zones
from tests.balancing import test_platform_settings
from tests.config import test_file as test_config_file
from tests.config import test_platform as test_platform_config
from tests.membership import test_settings as test_fleet_settings
from tests.net import config_data, make_config, told_settings
from tests.recordings.kinds import Documents, parameters
from tests.upgrade import test_upgrades
from tests.zones import test_zones

ACCEPTED = "accepted"
REGISTER = (
    'agent = "x"\nservice = "q"',
    'agent = "h:1"\nservice = "q"\nttl = "1 us"',
    'service = "q"',
)
NO_FILE = "there is no such file"
WRONG_DATA: tuple[dict[str, Any], ...] = (
    {"settings": None},
    {"settings": []},
    {"limits": 3},
    {"limits": {"sockets": 0}},
    {"limits": {"sockets": "x"}},
    {"limits": {"cores": 0}},
    {"limits": {"cores": "x"}},
    {"limits": {"memory_mb": -1}},
    {"known": 3},
    {"listen": None},
    {"discovery": 7},
    {"admin_addr": "x"},
)
WRONG_PEERS: tuple[dict[str, Any], ...] = (
    {"peer_listen": "x"},
    {"peer_listen": "h:1", "peers": 3},
    {"peer_listen": "h:1", "peers": ["h:1", "h"]},
    {"peer_listen": "h:1", "peers": [], "peers_all": "h"},
)
WRONG_NAMES: tuple[dict[str, Any], ...] = (
    {"limits": {"connect_timeout": 0}},
    {"limits": {"conn_idle": "x"}},
    {"orgs": {"a": 1}},
    {"models": 3},
    {"zones": "x"},
)


def _line(read: Callable[[], object], error: type[Exception] = ConfigError) -> str:
    """The line of the error that `read` raises."""
    try:
        read()
    except error as caught:
        return str(caught)
    return ACCEPTED


def _of_file(load_path: Callable[[Path], object], text: str) -> str:
    """The line for a file that holds `text`, without the folder's path."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "file.toml"
        if text != NO_FILE:
            path.write_text(text)
        return _line(lambda: load_path(path)).replace(folder, "FOLDER")


def gateway_files() -> Documents:
    told = {}
    cases = [
        ("static", test_config_file.VALID, *case) for case in test_config_file.INVALID_FILE_VALUES
    ]
    cases += [
        ("Consul", test_config_file.VALID_CONSUL, *case)
        for case in test_config_file.INVALID_CONSUL_VALUES
    ]
    for name, base, old, new, _ in cases:
        told[f"{name}: {old!r} is {new!r}"] = _of_file(load_file, base.replace(old, new, 1))
    for text in (
        *parameters(test_config_file.test_file_that_is_missing_or_not_toml_is_rejected),
        NO_FILE,
    ):
        told[repr(text)] = _of_file(load_file, text)
    for section in REGISTER:
        told[f"register: {section!r}"] = _of_file(
            load_file, f"{test_config_file.VALID}\n[register]\n{section}"
        )
    return told


def fleet_files() -> Documents:
    config = test_fleet_settings.config()
    cases = parameters(test_fleet_settings.test_a_file_that_cannot_work_names_the_field)
    return {
        repr(text): _of_file(lambda path: load_fleet(path, config), text)
        for text, _ in (*cases, (NO_FILE, ""))
    }


def zones_files() -> Documents:
    lanes = told_settings()["lanes"][:2]
    config = make_config(1, settings=told_settings(lanes=lanes))
    outside = make_config(1, settings=told_settings(zones=[], lanes=lanes))
    cases = parameters(test_zones.test_invalid_zones_file_is_reported_in_one_line)
    told = {
        repr(text): _of_file(lambda path: load_zones(path, config), text)
        for text, _ in (*cases, (NO_FILE, ""))
    }
    told["a zone that is not told"] = _of_file(
        lambda path: load_zones(path, outside), "[budget]\nshare = 0.1"
    )
    return told


def upgrades_files() -> Documents:
    cases = parameters(test_upgrades.test_a_file_that_cannot_work_is_one_line)
    told = {repr(text): _of_file(load_upgrades, text) for text, _ in (*cases, (NO_FILE, ""))}
    told["a name that is no part of a path"] = _of_file(
        lambda path: load_upgrades(path, name="a/b"), 'control = "/run/{name}.sock"'
    )
    return told


def _load(folder: Path, data: Any, environment: Mapping[str, str]) -> Config:
    file = folder / "config.json"
    file.write_text(data if isinstance(data, str) else json.dumps(data))
    return load({"GW_CONFIG": str(file)} | dict(environment))


def _of_platform(data: Any, **environment: str) -> str:
    with tempfile.TemporaryDirectory() as folder:
        return _line(lambda: _load(Path(folder), data, environment)).replace(folder, "FOLDER")


def platform_settings() -> Documents:
    """Settings of the platform with one value replaced by what makes no sense, or that contradict
    themselves."""
    told = {}
    for path in parameters(
        test_platform_settings.test_a_value_that_cannot_work_is_named_in_one_line
    ):
        for junk in test_platform_settings.INVALID_VALUES:
            settings = copy.deepcopy(test_platform_settings.COMPLETE_SETTINGS)
            part: Any = settings
            for key in path[:-1]:
                part = part[key]
            part[path[-1]] = junk
            name = f"{'.'.join(map(str, path))} is {junk!r}"
            told[name] = _of_platform(config_data(1, settings=settings))
    for changes, _ in parameters(
        test_platform_settings.test_settings_that_contradict_themselves_name_the_field
    ):
        told[repr(changes)] = _of_platform(config_data(1, settings=told_settings(**changes)))
    return told


def platform_files() -> Documents:
    """What the platform tells beside the settings."""
    told = {
        "no GW_CONFIG": _line(lambda: load({})),
        "a file that is not there": _line(lambda: load({"GW_CONFIG": "/no/such/file"})),
        "GW_LISTEN": _of_platform(config_data(1), GW_LISTEN="x"),
        "GW_DISCOVERY": _of_platform(config_data(1), GW_DISCOVERY="h:99999"),
        "GW_ADMIN_ADDR": _of_platform(config_data(1), GW_ADMIN_ADDR="h"),
    }
    for text in ("{", "[]"):
        told[f"file: {text}"] = _of_platform(text)
    for changes in WRONG_DATA:
        told[repr(changes)] = _of_platform(config_data(1, **changes))
    for changes in WRONG_PEERS:
        settings = told_settings(limits={"peers": True})
        told[f"peers: {changes}"] = _of_platform(config_data(1, settings=settings, **changes))
    for changes in WRONG_NAMES:
        settings = told_settings(**changes)
        told[f"settings: {changes}"] = _of_platform(config_data(1, settings=settings))
    return told


def module_settings() -> Documents:
    """The decision package's own checks of its settings."""
    told = {}
    for _, values in parameters(
        test_platform_config.test_invalid_setting_raises_error_that_names_the_field
    ):
        told[f"settings {values}"] = _line(partial(Settings, **values), ValueError)
    for values in parameters(
        test_platform_config.test_invalid_route_raises_error_that_names_the_field
    ):
        told[f"route {values}"] = _line(partial(Route, **values), ValueError)
    told["a class without semantics"] = _line(
        lambda: read_settings({"lanes": [{"deadline": 5}]}), ValueError
    )
    return told
