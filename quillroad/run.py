"""Running one gateway in this process: signal handling, log and exit status."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from time import monotonic

import uvloop

from quillroad.config import Config, ConfigError
from quillroad.end_signals import EarlyReload, block_signals
from quillroad.engine.shutdown_schedule import earliest_kill
from quillroad.gateway import Gateway
from quillroad.inherited_descriptors import count_inherited_descriptors
from quillroad.logs import start_log

log = logging.getLogger("quillroad")

EXIT_OK = 0
EXIT_BAD_CONFIGURATION = 2


async def serve(
    config: Config,
    read: Callable[[], Config],
    zones: Path | None,
    inherited_count: int,
    early_reload: EarlyReload | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT, then drain: answer the requests in flight and return.

    `read` reloads the configuration on SIGHUP. `zones` is the file of the cross-zone budget, or
    None. `inherited_count` is the number of inherited descriptors, which reduce the limit of the
    process; `early_reload` tells of a SIGHUP before now.
    """
    loop = asyncio.get_running_loop()
    stop: asyncio.Future[float] = loop.create_future()

    def on_signal() -> None:
        if not stop.done():
            stop.set_result(earliest_kill(monotonic(), config.longest_deadline_s))

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    gateway = Gateway(config, loop, zones=zones, inherited_count=inherited_count)
    await gateway.start()
    if inherited_count:
        log.info(
            "%d descriptors were open at the start: connection limit reduced by this number",
            inherited_count,
        )
    loop.add_signal_handler(signal.SIGHUP, gateway.reload, read)
    if early_reload is not None and early_reload.is_due:
        gateway.reload(read)
    gc.collect()
    gc.freeze()  # objects created at start-up live on; collections skip them
    kill_at = await stop
    log.info("draining")
    await gateway.drain(kill_at)
    gateway.stop()
    block_signals()
    log.info("drained")


def run(
    config: Config,
    reread: Callable[[], Config],
    zones: Path | None = None,
    early_reload: EarlyReload | None = None,
) -> int:
    """Run one gateway until it has drained and return the exit status.

    `reread` reads the configuration for a reload; `zones` is the file of the cross-zone budget;
    `early_reload` tells of a SIGHUP before now.
    """
    inherited_count = count_inherited_descriptors()
    start_log()
    try:
        uvloop.run(serve(config, reread, zones, inherited_count, early_reload))
    except ConfigError as error:
        print(f"quillroad: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    return EXIT_OK
