"""Starts the process in its role: gateway, supervisor of upgrades, or worker of a supervisor."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from quillroad.config import Config, ConfigError
from quillroad.end_signals import EarlyReload
from quillroad.run import EXIT_BAD_CONFIGURATION, run

# Environment variables with the paths of the optional parts' settings files. A supervisor's workers
# inherit them.
ZONES_VARIABLE = "QUILLROAD_ZONES"
FLEET_VARIABLE = "QUILLROAD_FLEET"
UPGRADES_VARIABLE = "QUILLROAD_UPGRADES"
# Number of the file descriptor of the socket to the supervisor, which sets it for its workers.
SUPERVISOR_SOCKET_VARIABLE = "QUILLROAD_SEAT"


def start(
    load_config: Callable[[], Config],
    reload_config: Callable[[], Config],
    upgrades: Path | None = None,
    zones: Path | None = None,
    fleet: Path | None = None,
    arguments: Sequence[str] = (),
) -> int:
    """Run the process in its role until it ends; return the exit status.

    `load_config` reads the configuration at the start, `reload_config` at each reload. Three
    optional parts are off unless a parameter or an environment variable names their settings file:
    upgrades (`upgrades`, QUILLROAD_UPGRADES), the cross-zone budget (`zones`, QUILLROAD_ZONES) and
    the membership of gateways (`fleet`, QUILLROAD_FLEET). Their code is imported only if they are
    on.
    `arguments` is the command line with which a supervisor starts its workers.
    """
    if zones is not None:
        os.environ[ZONES_VARIABLE] = str(zones)
    if fleet is not None:
        os.environ[FLEET_VARIABLE] = str(fleet)
    zones_path = os.environ.get(ZONES_VARIABLE)
    zones_file = Path(zones_path) if zones_path else None
    if os.environ.get(SUPERVISOR_SOCKET_VARIABLE):
        from quillroad.upgrade.worker import run as run_worker  # noqa: PLC0415 - imported by workers only

        return run_worker(load_config, reload_config, zones_file)
    upgrades_file = upgrades or os.environ.get(UPGRADES_VARIABLE)
    if upgrades_file:
        from quillroad.upgrade.process import (  # noqa: PLC0415 - only if upgrades are on
            run as run_supervisor,
        )

        return run_supervisor(load_config, Path(upgrades_file), arguments)
    return _run_gateway(load_config, reload_config, zones_file)


def _run_gateway(
    load_config: Callable[[], Config], reload_config: Callable[[], Config], zones_file: Path | None
) -> int:
    """Run a gateway without a supervisor; return the exit status."""
    early_reload = EarlyReload()
    try:
        config = load_config()
    except ConfigError as error:
        print(f"quillroad: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    if config.admin is not None:  # operators can start a sibling process to replace this one
        from quillroad.upgrade.sibling_process import (  # noqa: PLC0415 - only with an admin listener
            run as run_sibling,
        )

        return run_sibling(config, reload_config, zones_file, early_reload)
    return run(config, reload_config, zones_file, early_reload)
