"""Which kind of process this is: a gateway, a supervisor of upgrades, or one of its workers."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from quillroad.config import Config, ConfigError
from quillroad.run import EXIT_BAD_CONFIGURATION, run

# Environment variables that name the files of optional parts; workers inherit them.
ZONES_VARIABLE = "QUILLROAD_ZONES"
FLEET_VARIABLE = "QUILLROAD_FLEET"
UPGRADES_VARIABLE = "QUILLROAD_UPGRADES"
# Set by a supervisor for its workers: the descriptor of the socket between them.
WORKER_VARIABLE = "QUILLROAD_SEAT"


def start(
    first: Callable[[], Config],
    again: Callable[[], Config],
    upgrades: Path | None = None,
    zones: Path | None = None,
    fleet: Path | None = None,
    arguments: Sequence[str] = (),
) -> int:
    """Run to the end; returns the status to exit with.

    `first` reads the configuration for the start, `again` for a reload. Upgrades are on where
    `upgrades` or QUILLROAD_UPGRADES names their file, the budget for other zones where `zones` or
    QUILLROAD_ZONES does, the membership of gateways where `fleet` or QUILLROAD_FLEET does; only
    then is any of it imported. `arguments` are those with which workers are started.
    """
    if zones is not None:
        os.environ[ZONES_VARIABLE] = str(zones)
    if fleet is not None:
        os.environ[FLEET_VARIABLE] = str(fleet)
    named_zones = os.environ.get(ZONES_VARIABLE)
    zones_file = Path(named_zones) if named_zones else None
    if os.environ.get(WORKER_VARIABLE):
        from quillroad.upgrade.worker import run as run_worker  # noqa: PLC0415 - off: not imported

        return run_worker(first, again, zones_file)
    upgrades_file = upgrades or os.environ.get(UPGRADES_VARIABLE)
    if upgrades_file:
        from quillroad.upgrade.process import (  # noqa: PLC0415 - off: not imported
            run as run_supervisor,
        )

        return run_supervisor(first, Path(upgrades_file), arguments)
    return _run_gateway(first, again, zones_file)


def _run_gateway(
    first: Callable[[], Config], again: Callable[[], Config], zones_file: Path | None
) -> int:
    """Run a gateway that no supervisor watches; returns the status to exit with."""
    # Until there is a gateway that can reload, SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = first()
    except ConfigError as error:
        print(f"quillroad: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    if config.admin is not None:  # operators may start the next process beside this one
        from quillroad.upgrade.sibling_process import (  # noqa: PLC0415 - off: not imported
            run as run_sibling,
        )

        return run_sibling(config, again, zones_file)
    return run(config, again, zones_file)
