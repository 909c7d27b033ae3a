"""What a process of the gateway is: the gateway itself, or with upgrades a keeper or one of its workers."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from quillroad.config import Config, ConfigError
from quillroad.gateway import run


def start(
    first: Callable[[], Config],
    again: Callable[[], Config],
    upgrades: Path | None = None,
    zones: Path | None = None,
    fleet: Path | None = None,
    arguments: Sequence[str] = (),
) -> int:
    """Run to the end; returns the status to exit with. `first` reads the configuration for the start,
    `again` for a reload. Upgrades are on where `upgrades` or QUILLROAD_UPGRADES names their file, the budget
    for other zones where `zones` or QUILLROAD_ZONES does, the view of the fleet where `fleet` or
    QUILLROAD_FLEET does; only then is any of it imported."""
    if zones is not None:
        os.environ["QUILLROAD_ZONES"] = str(zones)  # for workers, too
    if fleet is not None:
        os.environ["QUILLROAD_FLEET"] = str(fleet)
    told = os.environ.get("QUILLROAD_ZONES")
    file = Path(told) if told else None
    if os.environ.get("QUILLROAD_SEAT"):
        from quillroad.upgrade.worker import run as run_worker  # noqa: PLC0415

        return run_worker(first, again, file)
    named = upgrades or os.environ.get("QUILLROAD_UPGRADES")
    if named:
        from quillroad.upgrade.process import run as run_keeper  # noqa: PLC0415

        return run_keeper(first, Path(named), arguments)
    signal.signal(
        signal.SIGHUP, signal.SIG_IGN
    )  # until there is a gateway that can reload, it would kill
    try:
        config = first()
    except ConfigError as error:
        print(f"quillroad: {error}", file=sys.stderr)
        return 2
    if config.admin is not None:  # operators may start the next process beside this one
        from quillroad.upgrade.sibling_process import run as run_beside  # noqa: PLC0415

        return run_beside(config, again, file)
    return run(config, again, file)
