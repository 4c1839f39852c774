"""Waiting for a condition on shared state of one event loop."""

import asyncio
from collections.abc import Callable


class Signal:
    """Wakes tasks that wait for a change of state.

    Explanation
    ===========

    Unlike `asyncio.Condition` it needs no lock, since the state changes
    only between two awaits of one event loop.
    """

    __slots__ = ('_waiters',)

    def __init__(self) -> None:
        """Initialise without waiters."""
        self._waiters: list[asyncio.Future[None]] = []

    def notify(self) -> None:
        """Wake all waiting tasks, which check their conditions again."""
        waiters = self._waiters
        self._waiters = []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        while not condition():
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter

    async def wait_until(
        self,
        condition: Callable[[], bool],
        timeout_s: float,
    ) -> bool:
        """Wait until a condition holds or ``timeout_s`` seconds have passed.

        Returns
        -------
        bool
            Whether the condition holds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.wait_for(condition)
        except TimeoutError:
            return condition()
        return True
