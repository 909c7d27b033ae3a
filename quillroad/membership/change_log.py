"""The change log, a file with one JSON object per line, and the log lines about changes."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import structlog

from quillroad.files import FileWriter
from quillroad.membership.quota_division import GatewayPosition
from quillroad.membership.view import Change, ChangeKind

log = logging.getLogger("quillroad.membership")


class _LineFile:
    """The output that structlog writes lines to."""

    def __init__(self, files: FileWriter, path: Path) -> None:
        self._files = files
        self._path = path

    def info(self, line: str) -> None:
        """Append a line."""
        self._files.append(self._path, line)


class ChangeLog:
    """Writes changes to the file `path`; if None, to the log only.

    Each line of the file contains `gateway_index`.
    """

    def __init__(self, files: FileWriter, path: Path | None, gateway_index: int) -> None:
        self._gateway_index = gateway_index
        self._events: Any = None  # structlog's logger
        if path is not None:
            self._events = structlog.wrap_logger(
                _LineFile(files, path),
                processors=[
                    structlog.processors.TimeStamper(),
                    structlog.processors.JSONRenderer(),
                ],
            )

    def record_position(self, position: GatewayPosition, self_state: str) -> None:
        """Record the new position by which this gateway divides quotas."""
        self._write(
            "part", number=position.gateway_index, of=position.gateway_count, state=self_state
        )

    def record_changes(self, changes: Iterable[Change], own_number: int) -> None:
        """Record changes of the view, and log those that an operator should see."""
        for change in changes:
            self._write(
                change.kind.value,
                member=change.number,
                incarnation=change.incarnation,
                cause=str(change.cause),
                by=change.reporter,
                clock=round(change.at, 3),
            )
            self._log(change, own_number)

    def _write(self, event: str, **facts: object) -> None:
        if self._events is not None:
            self._events.info(event, gateway=self._gateway_index, **facts)

    def _log(self, change: Change, own_number: int) -> None:
        if change.number == own_number and change.kind is not ChangeKind.REFUTED:
            duplicated = change.kind is ChangeKind.DUPLICATED
            level = logging.ERROR if duplicated else logging.INFO
            log.log(level, "this gateway is %s", change.kind)
        elif change.kind in (ChangeKind.FAULTY, ChangeKind.DUPLICATED):
            log.info(
                "gateway %d is %s (%s, by %d)",
                change.number,
                change.kind,
                change.cause,
                change.reporter,
            )
