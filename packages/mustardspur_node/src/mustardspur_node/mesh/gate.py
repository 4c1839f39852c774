"""Admission of calls to one target by the node beside it."""

import asyncio
import heapq
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.call_value import LATE_RANK
from mustardspur_node.mesh.calls import never_sent
from mustardspur_node.mesh.run_costs import RunCosts
from mustardspur_node.mesh.run_times import RunTimes

# Waiting calls of the same or a better rank for each slot; what waits behind
# more would be late anyway.
WAITING_PER_SLOT: Final = 6
# A target that refuses connections is tried again after this time.
CLOSED_S: Final = 0.3

_Waiter = tuple[int, int, asyncio.Future[None]]


class Gate:
    """Lets as many calls to a target at a time as it has slots.

    Explanation
    ===========

    All calls to a target pass through the node beside it, so the number of
    calls at the target is exact here. A call that is refused here has
    certainly not run and can be placed elsewhere at no cost but time.
    """

    __slots__ = (
        '_closed_until_s',
        '_loop',
        '_running',
        '_sequence',
        '_waiters',
        'costs',
        'open',
        'runs',
        'slots',
    )

    def __init__(self) -> None:
        """Start closed."""
        self._loop = asyncio.get_running_loop()
        self._waiters: list[_Waiter] = []
        self._sequence = 0
        self._running = 0
        self.runs = RunTimes()
        self.costs = RunCosts()
        self._closed_until_s: float = 0
        self.open = False
        self.slots = 0

    @property
    def load(self) -> TargetLoad:
        """State of the target for the nodes that choose."""
        return TargetLoad(
            running=self._running,
            waiting=self._ahead_of(LATE_RANK),
            slots=self.slots,
            run_ms=round(self.runs.expected_ms, 1),
            failure_rate=round(self.runs.failure_rate, 2),
            open=self._is_open(),
        )

    def shut(self) -> None:
        """Refuse calls for good, as the node stops."""
        self._closed_until_s = float('inf')

    def resize(self, slots: int) -> None:
        """Use another number of slots."""
        self.slots = slots
        self._admit_next()

    def renew(self) -> None:
        """Forget the runs of the target before this one."""
        self.runs = RunTimes()
        self.costs = RunCosts()

    def close_for_a_while(self) -> None:
        """Refuse calls for a moment, as the target takes no connections."""
        until_s = self._loop.time() + CLOSED_S
        self._closed_until_s = max(self._closed_until_s, until_s)

    @asynccontextmanager
    async def admitted(
        self,
        rank: int,
        patience_ms: float,
    ) -> AsyncIterator[None]:
        """Hold a slot for the length of a block.

        Parameters
        ----------
        rank : int
            Rank among the waiting calls, 0 goes first.
        patience_ms : float
            Longest useful wait.

        Raises
        ------
        PlaceFault
            If the target is closed, or the wait would be longer.
        """
        if not self._is_open():
            raise never_sent('closed', 'target takes no calls')
        if self._running < self.slots:
            self._running += 1
        else:
            await self._wait(rank, patience_ms)
        try:
            yield
        finally:
            self._running -= 1
            self._admit_next()

    def _is_open(self) -> bool:
        return self.open and self._loop.time() >= self._closed_until_s

    def _expected_wait_ms(self, rank: int) -> float:
        ahead = self._ahead_of(rank)
        run_ms = self.runs.expected_ms
        return (ahead + 1) * run_ms / max(self.slots, 1)

    def _ahead_of(self, rank: int) -> int:
        """Return the calls that get a slot before a new one of a rank."""
        return sum(1 for waiter in self._waiters if waiter[0] <= rank)

    async def _wait(self, rank: int, patience_ms: float) -> None:
        full = self._ahead_of(rank) >= WAITING_PER_SLOT * self.slots
        if full or self._expected_wait_ms(rank) > patience_ms:
            raise never_sent('busy', f'{len(self._waiters)} calls wait')
        self._sequence += 1
        turn: asyncio.Future[None] = self._loop.create_future()
        waiter = (rank, self._sequence, turn)
        heapq.heappush(self._waiters, waiter)
        try:
            async with asyncio.timeout(patience_ms / MS_PER_S):
                await turn
        except BaseException as error:
            self._leave(waiter)
            if isinstance(error, TimeoutError):
                raise never_sent('busy', 'no slot in time') from error
            raise

    def _leave(self, waiter: _Waiter) -> None:
        turn = waiter[2]
        if turn.done() and not turn.cancelled():
            # The slot was handed over at the moment of the cancellation.
            self._running -= 1
            self._admit_next()
        elif waiter in self._waiters:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)

    def _admit_next(self) -> None:
        while self._waiters and self._running < self.slots:
            turn = heapq.heappop(self._waiters)[2]
            if not turn.done():
                self._running += 1
                turn.set_result(None)
