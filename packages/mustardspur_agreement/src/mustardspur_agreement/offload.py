"""Blocking file operations outside the event loop."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor


class ThreadOffload:
    """Runs blocking functions in one thread, one after the other.

    Parameters
    ----------
    executor : ThreadPoolExecutor
        The thread.
    """

    __slots__ = ('_executor',)

    def __init__(self, executor: ThreadPoolExecutor) -> None:
        """Initialise with the executor."""
        self._executor = executor

    async def __call__(self, function: Callable[[], None]) -> None:
        """Return once the function has returned."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._executor, function)
