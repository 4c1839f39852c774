"""The event loop of mustardspur processes."""

import asyncio
import importlib
import logging
import os
import signal
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager, suppress
from functools import partial
from types import FrameType
from typing import Any, Final, NoReturn, TypeVar

from mustardspur_core.allocator import return_freed_memory

_LOG: Final = logging.getLogger(__name__)
_ReturnT = TypeVar('_ReturnT')
_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class StoppedWhileWaiting(SystemExit):
    """Ends a process that gets a stop signal while its start waits."""

    def __init__(self) -> None:
        """Initialise with the exit code of a process that was stopped."""
        super().__init__(0)


def skip_certificates() -> None:
    """Make `aiohttp` load no certificates of authorities at its import.

    Explanation
    ===========

    No process of mustardspur speaks TLS. The import of `aiohttp` builds a TLS
    context, and reading the certificates takes about a sixth of the processor
    time of a start. The function must be called before that import.
    """
    os.environ['SSL_CERT_FILE'] = os.devnull
    os.environ['SSL_CERT_DIR'] = os.devnull


def run_in_loop(main: Coroutine[Any, Any, _ReturnT]) -> _ReturnT:
    """Run a coroutine in a new uvloop event loop without io_uring.

    Explanation
    ===========

    libuv reads ``UV_USE_IO_URING`` when it creates its first loop, so the
    variable is set before uvloop is imported. Otherwise uvloop 0.22.1 opens
    an io_uring descriptor in every process.

    Parameters
    ----------
    main : coroutine
        The coroutine to run.

    Returns
    -------
    object
        The coroutine's return value.
    """
    return_freed_memory()
    os.environ['UV_USE_IO_URING'] = '0'
    uvloop = importlib.import_module('uvloop')
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)


def handle_signal(number: signal.Signals, on_signal: Callable[[], Any]) -> None:
    """Call a function in the running event loop on each signal.

    Explanation
    ===========

    The event loop's own handlers cannot be replaced by `ignore_signal`: the
    loop restores the action that ends the process when it removes them, also
    when it is closed, and another thread may get a signal at that moment.

    Parameters
    ----------
    number : signal.Signals
        The signal.
    on_signal : callable
        Called without arguments until another function handles the signal or
        it is ignored. Signals after the end of the loop have no effect.
    """
    loop = asyncio.get_running_loop()
    signal.signal(number, lambda *_: _call_in_loop(loop, on_signal))
    # Interrupted system calls of libraries go on.
    signal.siginterrupt(number, False)


def _call_in_loop(
    loop: asyncio.AbstractEventLoop,
    on_signal: Callable[[], Any],
) -> None:
    # A loop that is closed raises where the signal interrupted the program.
    with suppress(RuntimeError):
        loop.call_soon_threadsafe(on_signal)


def ignore_signal(number: signal.Signals) -> None:
    """Ignore a signal from now on."""
    signal.signal(number, signal.SIG_IGN)


def ignore_stop_signals() -> None:
    """Ignore the signals that stop or reload a process, as it has stopped.

    One that arrives later would end the process with the exit code of a
    failure.
    """
    for number in (*_STOP_SIGNALS, signal.SIGHUP):
        ignore_signal(number)


def stop_event() -> asyncio.Event:
    """Return an event that is set on SIGTERM or SIGINT."""
    event = asyncio.Event()
    for number in _STOP_SIGNALS:
        handle_signal(number, event.set)
    return event


@contextmanager
def ended_by_stop_signals(need: str) -> Iterator[None]:
    """End a process that waits on a stop signal, with exit code 0.

    Parameters
    ----------
    need : str
        What the process waits for before it runs the event loop.

    Raises
    ------
    StoppedWhileWaiting
        On SIGTERM or SIGINT.
    """
    stop = partial(_stop, need)
    previous = {number: signal.signal(number, stop) for number in _STOP_SIGNALS}
    try:
        yield
    finally:
        for number, action in previous.items():
            signal.signal(number, action)


def _stop(need: str, number: int, _: FrameType | None) -> NoReturn:
    name = signal.Signals(number).name
    _LOG.info('stopped', extra={'needs': need, 'signal': name})
    raise StoppedWhileWaiting
