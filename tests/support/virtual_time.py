"""An event loop whose clock moves only when nothing is left to do."""

import asyncio
import functools
import selectors
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

AsyncTest = Callable[..., Coroutine[Any, Any, None]]
Test = Callable[..., None]
_Events = list[tuple[selectors.SelectorKey, int]]


class _VirtualSelector(selectors.DefaultSelector):
    """Moves the clock on instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 0

    def select(self, timeout: float | None = None) -> _Events:
        events = super().select(0)
        if not events and timeout:
            self.now_s += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop over a virtual clock that starts at 0."""

    def __init__(self) -> None:
        """Replace the selector and the clock."""
        self._clock = _VirtualSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.now_s

    def stall(self, length_s: float) -> None:
        """Let time pass without running anything."""
        self._clock.now_s += length_s


def in_virtual_time(test: AsyncTest) -> Test:
    """Run an asynchronous test on a virtual clock."""

    @functools.wraps(test)
    def wrapper(*args: Any, **kwargs: Any) -> None:
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(test(*args, **kwargs))

    return wrapper


async def ticks(count: int, interval_s: float) -> AsyncIterator[int]:
    """Yield numbers from 0 with a wait after each."""
    number = 0
    while number < count:
        yield number
        await asyncio.sleep(interval_s)
        number += 1


def virtual_now_s() -> float:
    """Return the time of the running loop, a monotonic clock for tests."""
    return asyncio.get_running_loop().time()
