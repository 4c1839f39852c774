"""Number of calls in flight in a node."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager


class InFlightCalls:
    """Counts calls and waits until none is in flight.

    Attributes
    ----------
    count : int
        Number of calls in flight.
    accepting : bool
        Whether new calls are accepted; False from the start of a drain.
    has_ended : bool
        Whether a drain has ended the calls that were left.
    """

    __slots__ = ('_deadlines', '_idle', 'accepting', 'count', 'has_ended')

    def __init__(self) -> None:
        """Initialise without calls."""
        self._idle = asyncio.Event()
        self._deadlines: set[asyncio.Timeout] = set()
        self.accepting = True
        self.has_ended = False
        self.count = 0

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Count a call until the end of the block."""
        self.count += 1
        try:
            yield
        finally:
            self._decrement()

    @asynccontextmanager
    async def within(self, deadline_at: float) -> AsyncIterator[None]:
        """Run the block until a time, or until the end of a drain.

        Raises
        ------
        TimeoutError
            If the block has not ended by then.
        """
        async with asyncio.timeout_at(deadline_at) as deadline:
            self._deadlines.add(deadline)
            try:
                yield
            finally:
                self._deadlines.discard(deadline)

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
            left = self.count
            self._end_all()
            return left
        return 0

    def _end_all(self) -> None:
        """Let the calls end, so that their callers get answers."""
        self.has_ended = True
        now_at = asyncio.get_running_loop().time()
        for deadline in self._deadlines:
            if not deadline.expired():
                deadline.reschedule(now_at)

    async def _wait_until_idle(self) -> None:
        while self.count:
            self._idle.clear()
            await self._idle.wait()

    def _decrement(self) -> None:
        self.count -= 1
        if not self.count:
            self._idle.set()
