"""Blocking file operations outside the event loop."""

import asyncio
import errno
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import Final

from mustardspur_core.start_wait import StartWait

_held: Final[list[ThreadPoolExecutor]] = []


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


def hold_thread(wait: StartWait) -> None:
    """Start the thread for file operations before the process serves.

    Explanation
    ===========

    An executor starts its thread with its first function. If the machine allows
    no further thread by then, the replicated log cannot write, and the executor
    keeps the function to run it with a later one.

    Raises
    ------
    OSError
        If the thread cannot be started.
    """
    if not _held:
        executor = wait.obtain(
            'a thread for file operations', _start_thread, _is_temporary
        )
        _held.append(executor)


@contextmanager
def offloading() -> Iterator[ThreadOffload]:
    """Yield the held thread, or a new one; it ends with the block."""
    with _held.pop() if _held else _start_thread() as executor:
        yield ThreadOffload(executor)


def _start_thread() -> ThreadPoolExecutor:
    executor = ThreadPoolExecutor(max_workers=1)
    try:
        executor.submit(_nothing).result()
    except RuntimeError as error:
        raise OSError(errno.EAGAIN, str(error)) from error
    return executor


def _is_temporary(error: OSError) -> bool:
    return error.errno == errno.EAGAIN


def _nothing() -> None:
    """Make an executor start its thread."""
