"""The event loop of every mustardspur process."""

import asyncio
import importlib
import os
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

_ReturnT = TypeVar('_ReturnT')


def run_in_loop(main: Coroutine[Any, Any, _ReturnT]) -> _ReturnT:
    """Run a coroutine in a fresh uvloop without io_uring.

    Explanation
    ===========

    libuv reads ``UV_USE_IO_URING`` when its first loop is made, so the
    variable is set before uvloop is imported. Without it uvloop 0.22.1
    opens an io_uring descriptor in every process.

    Parameters
    ----------
    main : coroutine
        What to run.

    Returns
    -------
    object
        The coroutine's return value.
    """
    os.environ['UV_USE_IO_URING'] = '0'
    uvloop = importlib.import_module('uvloop')
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event
