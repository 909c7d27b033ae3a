"""Runs a gateway by a file."""

from __future__ import annotations

from functools import partial
from pathlib import Path

from quillroad.config.file import load_file
from quillroad.start import start


def run_file(
    path: Path, upgrades: Path | None = None, zones: Path | None = None, fleet: Path | None = None
) -> int:
    """One gateway from its start to its end; SIGHUP reads the file again. `upgrades`, `zones` and
    `fleet` are the files that turn upgrades, the budget for other zones and the view of the fleet on."""
    read = partial(load_file, path)
    return start(read, read, upgrades, zones, fleet, ["--config", str(path)])
