"""Runs a gateway by a file."""

from __future__ import annotations

from functools import partial
from pathlib import Path

from quillroad.config.file import load_file
from quillroad.start import start


def run_file(
    path: Path, upgrades: Path | None = None, zones: Path | None = None, fleet: Path | None = None
) -> int:
    """Run one gateway from its start to its end; return the status to exit with.

    SIGHUP reads the file again. `upgrades`, `zones` and `fleet` are the files that turn on upgrades
    without loss, the cross-zone budget and the membership of gateways (None: off).
    """
    read = partial(load_file, path)
    return start(read, read, upgrades, zones, fleet, ["--config", str(path)])
