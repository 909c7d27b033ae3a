"""Tasks of one owner: a fault is told, and a close waits for all of them."""

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
async def test_a_fault_is_logged_and_told_and_a_good_end_is_not(
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
async def test_a_close_waits_until_each_task_has_ended_and_is_no_fault() -> None:
    ended: list[int] = []
    faults: list[None] = []
    tasks = OwnedTasks(asyncio.get_running_loop(), lambda: faults.append(None))

    async def hold(number: int) -> None:
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(0.01)  # an end that takes its time
            ended.append(number)

    for number in range(3):
        tasks.start(hold(number))
    await asyncio.sleep(0)
    await tasks.close()
    assert sorted(ended) == [0, 1, 2] and not faults
