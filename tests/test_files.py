"""The file writer: a background thread, newest content only, a bounded number of pending lines."""

from __future__ import annotations

import asyncio
import os
import threading
from pathlib import Path

import pytest

from quillroad import files
from quillroad.files import MAX_PENDING_LINES, FileWriter
from tests.net import on_loop, until


@on_loop
async def test_stalled_disk_does_not_block_the_event_loop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The disk stalls while 1000 replacements and more than 10 000 lines are submitted.

    The event loop must not block, memory must stay bounded, and the newest content and the pending
    lines must be written once the disk resumes.
    """
    disk_resumed, written = threading.Event(), list[bytes]()

    def replace_when_resumed(path: Path, data: bytes) -> None:
        disk_resumed.wait()
        written.append(data)

    monkeypatch.setattr(files, "replace_file", replace_when_resumed)
    writer = FileWriter(asyncio.get_running_loop())
    for number in range(1000):
        writer.replace(tmp_path / "view", b"%d" % number)
    for number in range(MAX_PENDING_LINES + 5):
        writer.append(tmp_path / "changes", f"line {number}")
    assert writer.dropped_lines == 5
    disk_resumed.set()
    await until(lambda: written[-1:] == [b"999"])
    assert written == [b"0", b"999"]
    await until((tmp_path / "changes").exists)
    disk_resumed.clear()
    writer.replace(tmp_path / "view", b"slow")
    # Submitted while the disk is stalled, just before the writer is closed.
    writer.append(tmp_path / "changes", "last")
    writer.close()
    disk_resumed.set()
    await until(lambda: (tmp_path / "changes").read_text().endswith("last\n"))
    assert len((tmp_path / "changes").read_text().splitlines()) == MAX_PENDING_LINES + 1


@on_loop
async def test_missing_directory_is_logged_and_other_files_are_written(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The directory of one file does not exist: the error is logged, other files are written."""
    writer = FileWriter(asyncio.get_running_loop())
    writer.replace(tmp_path / "gone" / "view", b"x")
    await until(lambda: "cannot write" in caplog.text)
    writer.replace(tmp_path / "view", b"x")
    await until((tmp_path / "view").exists)
    assert os.listdir(tmp_path) == ["view"]
    writer.close()
