"""Count of the calls in a node."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


class InFlight:
    """Counts calls and tells when none is left.

    Parameters
    ----------
    count : int
        Calls in flight now.
    accepting : bool
        Whether new calls are taken; False from the start of a drain.
    """

    __slots__ = ('_idle', 'accepting', 'count')

    def __init__(self) -> None:
        """Start without calls."""
        self._idle = asyncio.Event()
        self.accepting = True
        self.count = 0

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Count a call until the block ends."""
        self.count += 1
        try:
            yield
        finally:
            self._leave()

    async def drain(self, timeout_s: float) -> int:
        """Take no new calls and wait for those in flight.

        Returns
        -------
        int
            Number of calls that are left at the end of the wait.
        """
        self.accepting = False
        try:
            async with asyncio.timeout(timeout_s):
                await self._none_left()
        except TimeoutError:
            return self.count
        return 0

    async def _none_left(self) -> None:
        while self.count:
            self._idle.clear()
            await self._idle.wait()

    def _leave(self) -> None:
        self.count -= 1
        if not self.count:
            self._idle.set()
