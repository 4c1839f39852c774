"""Tests of the failure and cancellation of background tasks."""

import asyncio
import logging
from functools import partial

import pytest
from mustardspur_core.tasks import (
    background,
    run_until_first_end,
    supervised,
)

from tests.support.virtual_time import in_virtual_time


class _BrokenError(Exception):
    """Failure of a task in these tests."""


async def _break() -> None:
    raise _BrokenError


async def _wait_for_ever(ended: list[str]) -> None:
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        ended.append('waiting')
        raise


async def test_failing_task_ends_the_block() -> None:
    """Guards against a process that continues without one of its tasks."""
    ended: list[str] = []
    with pytest.raises(_BrokenError):
        async with background(_break(), _wait_for_ever(ended)):
            await asyncio.Event().wait()
    assert ended == ['waiting']


async def test_failing_block_keeps_its_exception() -> None:
    """Guards against an error wrapped in an exception group."""
    ended: list[str] = []
    with pytest.raises(_BrokenError):
        async with background(_wait_for_ever(ended)):
            await asyncio.sleep(0)
            await _break()
    assert ended == ['waiting']


async def test_end_of_block_cancels_tasks() -> None:
    """Guards against tasks that keep running after the context ends."""
    ended: list[str] = []
    async with background(_wait_for_ever(ended)):
        await asyncio.sleep(0)
    assert ended == ['waiting']


async def test_first_end_raises_and_cancels() -> None:
    """Guards against one task of a stream running on after the other ends."""
    ended: list[str] = []
    with pytest.raises(_BrokenError):
        await run_until_first_end(_break(), _wait_for_ever(ended))


async def _fail_twice(runs: list[int]) -> None:
    runs.append(len(runs))
    if len(runs) <= 2:
        await _break()


@in_virtual_time
async def test_supervised_task_runs_again_after_an_error() -> None:
    """Guards against a process that ends, or goes on without one of its
    tasks, because of one unexpected error.
    """
    runs: list[int] = []
    async with background(supervised('failing', partial(_fail_twice, runs))):
        await asyncio.sleep(10)
    assert len(runs) == 3


async def test_supervised_task_can_be_cancelled() -> None:
    """Guards against a process that cannot stop."""
    ended: list[str] = []
    async with background(
        supervised('waiting', lambda: _wait_for_ever(ended)),
    ):
        await asyncio.sleep(0)
    assert ended == ['waiting']


class _NoMemory(logging.Handler):
    """Handler without memory for a line."""

    def emit(self, record: logging.LogRecord) -> None:
        raise MemoryError


@in_virtual_time
async def test_task_whose_report_fails_runs_again() -> None:
    """Guards against a process that ends, as there is no memory for the line
    about a failed task.
    """
    logger = logging.getLogger('mustardspur_core.tasks')
    no_memory = _NoMemory()
    logger.addHandler(no_memory)
    runs: list[int] = []
    try:
        async with background(
            supervised('failing', partial(_fail_twice, runs)),
        ):
            await asyncio.sleep(10)
    finally:
        logger.removeHandler(no_memory)
    assert len(runs) == 3
