"""Read barrier that is shared by nodes that connect at the same time."""

import asyncio
from typing import Final, Protocol

from expression import Result
from mustardspur_agreement.ports import ProposalError

# Without a quorum a barrier may never return. After this time the waiting
# nodes receive a state that is marked as not confirmed.
BARRIER_TIMEOUT_S: Final = 1.0


class ReadBarrier(Protocol):
    """Part of `CommittedLog` that confirms that the state is current."""

    async def read_barrier(self) -> Result[int, ProposalError]:
        """Return an index that is current now, once it is applied here."""


class SharedBarrier:
    """Runs one barrier at a time and shares its result.

    Explanation
    ===========

    A barrier is valid for a node only if it starts after the node connected.
    Requests that arrive while one is running share the next one.
    """

    __slots__ = ('_barrier', '_next', '_running')

    def __init__(self, barrier: ReadBarrier) -> None:
        """Initialise without a running barrier."""
        self._barrier = barrier
        self._running: asyncio.Task[bool] | None = None
        self._next: asyncio.Task[bool] | None = None

    async def confirm(self) -> bool:
        """Return whether a barrier that starts after this call succeeds."""
        if self._next is None:
            self._next = asyncio.create_task(self._run(self._running))
        return await asyncio.shield(self._next)

    async def _run(self, earlier: 'asyncio.Task[bool] | None') -> bool:
        if earlier is not None:
            await asyncio.wait({earlier})
        self._running = self._next
        self._next = None
        try:
            async with asyncio.timeout(BARRIER_TIMEOUT_S):
                outcome = await self._barrier.read_barrier()
        except TimeoutError:
            return False
        return outcome.is_ok()
