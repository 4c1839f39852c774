"""An event loop with a virtual clock that advances when it is idle."""

import asyncio
import functools
import selectors
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

AsyncTest = Callable[..., Coroutine[Any, Any, None]]
Test = Callable[..., None]
_Events = list[tuple[selectors.SelectorKey, int]]


class _VirtualSelector(selectors.DefaultSelector):
    """Selector that advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s: float = 0

    def select(self, timeout: float | None = None) -> _Events:
        events = super().select(0)
        if not events and timeout:
            self.now_s += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on a virtual clock that starts at 0."""

    def __init__(self) -> None:
        """Initialise the loop with a virtual selector."""
        self._clock = _VirtualSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.now_s

    def stall(self, length_s: float) -> None:
        """Advance the clock without running callbacks."""
        self._clock.now_s += length_s


def in_virtual_time(test: AsyncTest) -> Test:
    """Return a synchronous test that runs on a virtual clock."""

    @functools.wraps(test)
    def wrapper(*args: Any, **kwargs: Any) -> None:
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(test(*args, **kwargs))

    return wrapper


async def ticks(count: int, interval_s: float) -> AsyncIterator[int]:
    """Yield `count` numbers from 0 and wait for the interval after each."""
    number = 0
    while number < count:
        yield number
        await asyncio.sleep(interval_s)
        number += 1


def virtual_now_s() -> float:
    """Return the time of the running loop in seconds."""
    return asyncio.get_running_loop().time()
