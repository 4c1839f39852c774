"""Background tasks with a limited lifetime."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager, suppress
from typing import Any, Final

BackgroundCoroutine = Coroutine[Any, Any, None]

_LOG: Final = logging.getLogger(__name__)

# Delay before a failed task runs again; it bounds the log lines of a task that
# fails each time.
RESTART_DELAY_S: Final = 0.5


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


async def supervised(name: str, run: Callable[[], BackgroundCoroutine]) -> None:
    """Run a task, and run it again after each unexpected error.

    Explanation
    ===========

    An error in one task, for example over a message that nobody expected,
    neither ends the process nor silently the task that others depend on.

    Parameters
    ----------
    name : str
        Name of the task in the log.
    run : callable
        Coroutine function of the task; it must be able to start again.
    """
    while True:
        try:
            return await run()
        except Exception:
            # Without memory the report fails as well.
            with suppress(MemoryError):
                _LOG.exception('task failed', extra={'task': name})
        await asyncio.sleep(RESTART_DELAY_S)


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
