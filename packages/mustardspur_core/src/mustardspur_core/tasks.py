"""Background tasks that end with a block."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any, Final

from mustardspur_core.wire.codec import MalformedFrame

_LOG: Final = logging.getLogger(__name__)
# How the loss of a peer shows; whoever runs the tasks deals with it.
EXPECTED_ERRORS: Final = (OSError, EOFError, TimeoutError, MalformedFrame)
Endless = Coroutine[Any, Any, None]
Tasks = list[asyncio.Task[None]]


@asynccontextmanager
async def background(*coroutines: Endless) -> AsyncIterator[Tasks]:
    """Run coroutines beside a block; they are cancelled at its end.

    Explanation
    ===========

    A coroutine that fails is logged at once, since the block may go on for
    as long as the process and nobody would miss it.
    """
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    for started in tasks:
        started.add_done_callback(_log_failure)
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _log_failure(task: asyncio.Task[None]) -> None:
    error = None if task.cancelled() else task.exception()
    if error is not None and not isinstance(error, EXPECTED_ERRORS):
        _LOG.error('background task failed', exc_info=error)


async def run_until_first_end(*coroutines: Endless) -> None:
    """Run coroutines together until one ends, and raise its exception."""
    async with background(*coroutines) as tasks:
        done, _ = await asyncio.wait(
            tasks,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            task.result()


async def every(interval_s: float, action: Callable[[], None]) -> None:
    """Call a function at an interval, for ever."""
    while True:
        await asyncio.sleep(interval_s)
        action()
