"""Background tasks of one owner: failures are reported, and `close` waits for all tasks."""

from __future__ import annotations

import asyncio

import pytest

from quillroad.upgrade.owned_tasks import OwnedTasks
from tests.net import on_loop, until


async def fail() -> None:
    raise RuntimeError("the disk is full")


async def succeed() -> None:
    await asyncio.sleep(0)


@on_loop
async def test_a_failed_task_is_logged_and_reported_and_a_successful_one_is_not(
    caplog: pytest.LogCaptureFixture,
) -> None:
    faults: list[None] = []
    tasks = OwnedTasks(asyncio.get_running_loop(), lambda: faults.append(None))
    tasks.start(succeed())
    tasks.start(fail())
    await until(lambda: bool(faults))
    await tasks.close()
    assert len(faults) == 1
    assert "a task of the upgrade failed" in caplog.text and "the disk is full" in caplog.text


@on_loop
async def test_close_waits_for_cancelled_tasks_and_reports_no_fault() -> None:
    ended: list[int] = []
    faults: list[None] = []
    tasks = OwnedTasks(asyncio.get_running_loop(), lambda: faults.append(None))

    async def hold(number: int) -> None:
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(0.01)  # cleanup that outlasts the cancellation
            ended.append(number)

    for number in range(3):
        tasks.start(hold(number))
    await asyncio.sleep(0)
    await tasks.close()
    assert sorted(ended) == [0, 1, 2] and not faults
