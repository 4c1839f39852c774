"""Background tasks that end with a block."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any


Endless = Coroutine[Any, Any, None]
Tasks = list[asyncio.Task[None]]


@asynccontextmanager
async def background(*coroutines: Endless) -> AsyncIterator[Tasks]:
    """Run coroutines beside a block; they are cancelled at its end."""
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


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
