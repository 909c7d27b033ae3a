"""When the report is written, by which process, and how a failing or hanging disk is handled."""

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
MAX_HANG_S = 5.0  # a stop that wrongly writes fails the test instead of blocking it forever


class CountingReport:
    """A report that contains how often it was encoded."""

    def __init__(self) -> None:
        self.encode_count = 0

    def encode(self) -> bytes:
        self.encode_count += 1
        return str(self.encode_count).encode()


def writer_to(
    file: Path | None,
    report: CountingReport,
    is_serving: Callable[[], bool] = lambda: True,
    interval_s: float = INTERVAL_S,
) -> ReportWriter:
    loop = asyncio.get_running_loop()
    return ReportWriter(loop, report.encode, lambda: file, lambda: interval_s, is_serving)


@on_loop
async def test_report_is_written_until_the_stop(tmp_path: Path) -> None:
    report = CountingReport()
    writer = writer_to(tmp_path / "report", report)
    writer.start()
    await until(lambda: report.encode_count > 3)
    writer.stop()
    count_at_stop = report.encode_count
    assert not writer.is_started
    await asyncio.sleep(5 * INTERVAL_S)
    assert report.encode_count == count_at_stop


@on_loop
async def test_stop_writes_a_final_report(tmp_path: Path) -> None:
    """Without a final report, the file would miss the requests since the last interval."""
    file = tmp_path / "report"
    report = CountingReport()
    writer = writer_to(file, report, interval_s=60.0)
    writer.start()
    await until(lambda: file.exists() and not writer._is_writing)
    assert file.read_bytes() == b"1"
    writer.stop()
    assert file.read_bytes() == b"2"


@on_loop
async def test_no_report_is_encoded_without_a_file() -> None:
    report = CountingReport()
    writer = writer_to(None, report)
    writer.start()
    await asyncio.sleep(5 * INTERVAL_S)
    writer.stop()
    assert report.encode_count == 0


@on_loop
async def test_process_that_does_not_serve_writes_no_report(tmp_path: Path) -> None:
    """During an upgrade two processes of one gateway are configured with the same file.

    If both wrote it, its counts would alternate between those of the two processes. The process
    that does not serve must write nothing, not even when it stops, until it serves.
    """
    file = tmp_path / "report"
    report = CountingReport()
    serving = [False]
    writer = writer_to(file, report, lambda: serving[0])
    writer.start()
    await asyncio.sleep(5 * INTERVAL_S)
    assert (report.encode_count, file.exists()) == (0, False)
    serving[0] = True
    await until(file.exists)
    serving[0] = False
    writer.stop()
    never_served = writer_to(tmp_path / "other", report, lambda: False)
    never_served.start()
    never_served.stop()
    assert not (tmp_path / "other").exists()


@on_loop
async def test_hanging_disk_occupies_one_thread_and_does_not_delay_the_stop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A write hangs, as on a disconnected network volume, and then the gateway stops.

    The event loop keeps running and no second write starts meanwhile. The stop must not write a
    final report: that write would block the event loop's thread.
    """
    released = threading.Event()
    writes: list[Path] = []

    def hanging_replace_file(path: Path, data: bytes) -> None:
        writes.append(path)
        released.wait(MAX_HANG_S)

    monkeypatch.setattr(report_writer, "replace_file", hanging_replace_file)
    report = CountingReport()
    writer = writer_to(tmp_path / "report", report)
    writer.start()
    try:
        await until(lambda: bool(writes))
        await asyncio.sleep(5 * INTERVAL_S)
        writer.stop()
        assert len(writes) == 1
        assert report.encode_count == 1
    finally:
        released.set()


@on_loop
async def test_missing_folder_and_its_return_are_each_logged_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The report's folder is renamed while the gateway runs, and created again later.

    Writes fail at every interval meanwhile and would fill the log with the same line. Only the
    first failure and the first success after it must be logged.
    """
    folder = tmp_path / "folder"
    report = CountingReport()
    writer = writer_to(folder / "report", report)
    with caplog.at_level(logging.INFO, "quillroad.zones"):
        writer.start()
        await until(lambda: report.encode_count > 3)
        folder.mkdir()
        await until((folder / "report").exists)
        await until(lambda: len(caplog.messages) > 1)
        writer.stop()
    failure, success = caplog.messages
    assert failure.startswith("the cross-zone report cannot be written: ")
    assert success == "the cross-zone report can be written again"
