"""Number of calls in flight in a node."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


class InFlightCalls:
    """Counts calls and waits until none is in flight.

    Attributes
    ----------
    count : int
        Number of calls in flight.
    accepting : bool
        Whether new calls are accepted; False from the start of a drain.
    """

    __slots__ = ('_idle', 'accepting', 'count')

    def __init__(self) -> None:
        """Initialise without calls."""
        self._idle = asyncio.Event()
        self.accepting = True
        self.count = 0

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Count a call until the end of the block."""
        self.count += 1
        try:
            yield
        finally:
            self._decrement()

    async def drain(self, timeout_s: float) -> int:
        """Stop accepting calls and wait for those in flight.

        Parameters
        ----------
        timeout_s : float
            Maximum wait in seconds.

        Returns
        -------
        int
            Number of calls still in flight at the end of the wait.
        """
        self.accepting = False
        try:
            async with asyncio.timeout(timeout_s):
                await self._wait_until_idle()
        except TimeoutError:
            return self.count
        return 0

    async def _wait_until_idle(self) -> None:
        while self.count:
            self._idle.clear()
            await self._idle.wait()

    def _decrement(self) -> None:
        self.count -= 1
        if not self.count:
            self._idle.set()
