"""The task that writes the report: who writes, when, and what a bad disk costs."""

from __future__ import annotations

import asyncio
import logging
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from quillroad.zones import report_writer
from quillroad.zones.report_writer import ReportWriter
from tests.net import on_loop, until

INTERVAL_S = 0.01
HANG_S = 5.0  # so that a stop that does write fails the test instead of hanging it


class CountingReport:
    """A report that says how often it was made."""

    def __init__(self) -> None:
        self.made = 0

    def encode(self) -> bytes:
        self.made += 1
        return str(self.made).encode()


def writer_to(
    file: Path | None,
    report: CountingReport,
    is_serving: Callable[[], bool] = lambda: True,
    interval_s: float = INTERVAL_S,
) -> ReportWriter:
    loop = asyncio.get_running_loop()
    return ReportWriter(loop, report.encode, lambda: file, lambda: interval_s, is_serving)


@on_loop
async def test_the_report_is_written_until_the_stop(tmp_path: Path) -> None:
    report = CountingReport()
    writer = writer_to(tmp_path / "report", report)
    writer.start()
    await until(lambda: report.made > 3)
    writer.stop()
    made = report.made
    assert not writer.is_started
    await asyncio.sleep(5 * INTERVAL_S)
    assert report.made == made


@on_loop
async def test_the_stop_writes_the_last_counts(tmp_path: Path) -> None:
    """A gateway counts until its end; a report of a moment before would miss the last requests."""
    file = tmp_path / "report"
    report = CountingReport()
    writer = writer_to(file, report, interval_s=60.0)
    writer.start()
    await until(lambda: file.exists() and not writer._is_writing)
    assert file.read_bytes() == b"1"
    writer.stop()
    assert file.read_bytes() == b"2"


@on_loop
async def test_without_a_file_no_report_is_made() -> None:
    report = CountingReport()
    writer = writer_to(None, report)
    writer.start()
    await asyncio.sleep(5 * INTERVAL_S)
    writer.stop()
    assert report.made == 0


@on_loop
async def test_a_process_that_does_not_serve_writes_nothing(tmp_path: Path) -> None:
    """During an upgrade two processes of one gateway run with the same file.

    If both wrote it, an operator would see the counts jump between the two. So the one that does
    not serve writes nothing, not even as it stops, and begins to write once it serves.
    """
    file = tmp_path / "report"
    report = CountingReport()
    serving = [False]
    writer = writer_to(file, report, lambda: serving[0])
    writer.start()
    await asyncio.sleep(5 * INTERVAL_S)
    assert (report.made, file.exists()) == (0, False)
    serving[0] = True
    await until(file.exists)
    serving[0] = False
    writer.stop()
    never_served = writer_to(tmp_path / "other", report, lambda: False)
    never_served.start()
    never_served.stop()
    assert not (tmp_path / "other").exists()


@on_loop
async def test_a_disk_that_hangs_takes_one_thread_and_does_not_delay_the_stop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A write to the disk hangs, as on a lost network volume, and then the gateway stops.

    The event loop goes on, no second write is begun beside the first, and the stop does not try a
    last write: that one would hang in the event loop's own thread.
    """
    released = threading.Event()
    writes: list[Path] = []

    def hanging_put(path: Path, data: bytes) -> None:
        writes.append(path)
        released.wait(HANG_S)

    monkeypatch.setattr(report_writer, "replace_file", hanging_put)
    report = CountingReport()
    writer = writer_to(tmp_path / "report", report)
    writer.start()
    try:
        await until(lambda: bool(writes))
        await asyncio.sleep(5 * INTERVAL_S)
        writer.stop()
        assert len(writes) == 1
        assert report.made == 1
    finally:
        released.set()


@on_loop
async def test_a_folder_that_is_gone_is_logged_once_and_its_return_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The folder of the report is renamed under a running gateway, and comes back.

    Writes fail many times meanwhile. Each would fill the log with the same line, so only the first
    failure and the first success after it are logged.
    """
    folder = tmp_path / "folder"
    report = CountingReport()
    writer = writer_to(folder / "report", report)
    with caplog.at_level(logging.INFO, "quillroad.zones"):
        writer.start()
        await until(lambda: report.made > 3)
        folder.mkdir()
        await until((folder / "report").exists)
        await until(lambda: len(caplog.messages) > 1)
        writer.stop()
    failure, success = caplog.messages
    assert failure.startswith("the report cannot be written: ")
    assert success == "the report is written again"
