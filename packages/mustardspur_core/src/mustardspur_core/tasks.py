"""Background tasks with a limited lifetime."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

BackgroundCoroutine = Coroutine[Any, Any, None]


@asynccontextmanager
async def background(*coroutines: BackgroundCoroutine) -> AsyncIterator[None]:
    """Run coroutines while the context is active, then cancel them.

    Raises
    ------
    Exception
        The first one that a coroutine or the body raises. If a coroutine
        fails, the body is cancelled, so that a process does not continue
        without one of its tasks.
    """
    try:
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(coroutine) for coroutine in coroutines]
            yield
            _cancel(tasks)
    except BaseExceptionGroup as failures:
        raise failures.exceptions[0] from failures


async def run_until_first_end(*coroutines: BackgroundCoroutine) -> None:
    """Run coroutines until one ends, cancel the others, raise its error."""
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
    """Call a function at an interval until cancelled."""
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
