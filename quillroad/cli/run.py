"""Runs a gateway that is configured by a file."""

from __future__ import annotations

from functools import partial
from pathlib import Path

from quillroad.config.file import load_file
from quillroad.start import start


def run_file(
    path: Path, upgrades: Path | None = None, zones: Path | None = None, fleet: Path | None = None
) -> int:
    """Run a gateway until it ends; return the exit status.

    SIGHUP reloads the file. `upgrades`, `zones` and `fleet` are the settings files that turn on
    upgrades without loss of requests, the cross-zone budget and the membership of gateways. Where
    one is None, its environment variable counts (see `quillroad.start`).
    """
    load_config = partial(load_file, path)
    return start(load_config, load_config, upgrades, zones, fleet, ["--config", str(path)])
