"""Background tasks that end with a block."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

Endless = Coroutine[Any, Any, None]


@asynccontextmanager
async def background(*coroutines: Endless) -> AsyncIterator[None]:
    """Run coroutines beside a block; they are cancelled at its end.

    Raises
    ------
    Exception
        The first one, if a coroutine or the block fails. With a coroutine
        that fails the block is cancelled, so that no process goes on
        without one of its tasks.
    """
    try:
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(coroutine) for coroutine in coroutines]
            yield
            _cancel(tasks)
    except BaseExceptionGroup as failures:
        raise failures.exceptions[0] from failures


async def run_until_first_end(*coroutines: Endless) -> None:
    """Run coroutines together until one ends, and raise its exception."""
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    async with _cancelled_at_end(tasks):
        done, _ = await asyncio.wait(
            tasks,
            return_when=asyncio.FIRST_COMPLETED,
        )
    for task in done:
        task.result()


async def run_periodically(
    interval_s: float, action: Callable[[], None]
) -> None:
    """Call a function at an interval, for ever."""
    while True:
        await asyncio.sleep(interval_s)
        action()


@asynccontextmanager
async def _cancelled_at_end(
    tasks: list[asyncio.Task[None]],
) -> AsyncIterator[None]:
    try:
        yield
    finally:
        _cancel(tasks)
        await asyncio.gather(*tasks, return_exceptions=True)


def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
