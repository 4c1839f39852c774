"""Admission of calls to a target by the node on its instance."""

import asyncio
import heapq
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.call_ranks import CallRanks
from mustardspur_node.mesh.call_value import LATE_RANK
from mustardspur_node.mesh.calls import not_sent_fault
from mustardspur_node.mesh.rate_limit import StatedRateLimit
from mustardspur_node.mesh.run_times import RunTimes

# Waiting calls of the same or a lower rank for each slot; a call behind more
# of them would be late.
MAX_WAITING_PER_SLOT: Final = 6
# Time for which calls are refused after the target refused a connection.
UNREACHABLE_CLOSED_S: Final = 0.3

# Rank, sequence number and a future that is done once a slot is assigned.
_Waiter = tuple[int, int, asyncio.Future[None]]


class AdmissionControl:
    """Admits as many concurrent calls to a target as it has slots.

    Explanation
    ===========

    All calls to a target pass through the node on its instance, so the count
    of running calls is exact. A call that is refused here has certainly not run
    and can be placed elsewhere at no cost but time.

    Attributes
    ----------
    open : bool
        Whether the target accepts calls, as it reports.
    slots : int
        Number of calls that may run at a time.
    run_times : RunTimes
        Run times and failure rate of the target.
    ranks : CallRanks
        Ranks of waiting calls.
    rate_limit : StatedRateLimit
        Rate limit that the target states.
    admitted_count : int
        Calls that were admitted since the start of the node.
    """

    __slots__ = (
        '_closed_until_s',
        '_loop',
        '_running',
        '_sequence',
        '_waiters',
        'admitted_count',
        'open',
        'ranks',
        'rate_limit',
        'run_times',
        'slots',
    )

    def __init__(self) -> None:
        """Initialise closed and without slots."""
        self._loop = asyncio.get_running_loop()
        self._waiters: list[_Waiter] = []
        self._sequence = 0
        self._running = 0
        self.run_times = RunTimes()
        self.ranks = CallRanks()
        self.rate_limit = StatedRateLimit()
        self.admitted_count = 0
        self._closed_until_s: float = 0
        self.open = False
        self.slots = 0

    @property
    def load(self) -> TargetLoad:
        """Load of the target as other nodes use it to select targets.

        Late calls are not counted as waiting, since calls in time go first.
        """
        return TargetLoad(
            running=self._running,
            waiting=self._count_ahead(LATE_RANK),
            slots=self.slots,
            run_ms=round(self.run_times.expected_ms, 1),
            failure_rate=round(self.run_times.failure_rate, 2),
            open=self._is_open(),
        )

    def close_permanently(self) -> None:
        """Refuse all further calls, as the node stops."""
        self._closed_until_s = float('inf')

    def resize(self, slots: int) -> None:
        """Change the number of slots and admit calls to new ones."""
        self.slots = slots
        self._admit_next()

    def reset_statistics(self) -> None:
        """Discard the run times and limit of a target that was replaced."""
        self.run_times = RunTimes()
        self.ranks = CallRanks()
        self.rate_limit = StatedRateLimit()

    def close_temporarily(self) -> None:
        """Refuse calls for `UNREACHABLE_CLOSED_S`.

        Used while the target refuses connections.
        """
        until_s = self._loop.time() + UNREACHABLE_CLOSED_S
        self._closed_until_s = max(self._closed_until_s, until_s)

    @asynccontextmanager
    async def admitted(
        self,
        rank: int,
        max_wait_ms: float,
    ) -> AsyncIterator[None]:
        """Hold a slot for the duration of a block.

        Parameters
        ----------
        rank : int
            Rank among the waiting calls; lower ranks go first.
        max_wait_ms : float
            Longest useful wait for a slot.

        Raises
        ------
        PlacementFault
            If the target is closed, or no slot is free within that wait.
        """
        if not self._is_open():
            raise not_sent_fault('closed', 'target takes no calls')
        if self._running < self.slots:
            self._running += 1
        else:
            await self._wait(rank, max_wait_ms)
        self.admitted_count += 1
        try:
            yield
        finally:
            self._running -= 1
            self._admit_next()

    def _is_open(self) -> bool:
        return self.open and self._loop.time() >= self._closed_until_s

    def _expected_wait_ms(self, rank: int) -> float:
        ahead = self._count_ahead(rank)
        run_ms = self.run_times.expected_ms
        return (ahead + 1) * run_ms / max(self.slots, 1)

    def _count_ahead(self, rank: int) -> int:
        """Return the number of waiting calls ahead of a new one of a rank."""
        return sum(1 for waiter in self._waiters if waiter[0] <= rank)

    async def _wait(self, rank: int, max_wait_ms: float) -> None:
        full = self._count_ahead(rank) >= MAX_WAITING_PER_SLOT * self.slots
        if full or self._expected_wait_ms(rank) > max_wait_ms:
            raise not_sent_fault('busy', f'{len(self._waiters)} calls wait')
        self._sequence += 1
        assigned: asyncio.Future[None] = self._loop.create_future()
        waiter = (rank, self._sequence, assigned)
        heapq.heappush(self._waiters, waiter)
        try:
            async with asyncio.timeout(max_wait_ms / MS_PER_S):
                await assigned
        except BaseException as error:
            self._cancel_wait(waiter)
            if isinstance(error, TimeoutError):
                raise not_sent_fault('busy', 'no slot in time') from error
            raise

    def _cancel_wait(self, waiter: _Waiter) -> None:
        assigned = waiter[2]
        if assigned.done() and not assigned.cancelled():
            # The slot was assigned at the same time as the wait was cancelled.
            self._running -= 1
            self._admit_next()
        elif waiter in self._waiters:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)

    def _admit_next(self) -> None:
        while self._waiters and self._running < self.slots:
            assigned = heapq.heappop(self._waiters)[2]
            if not assigned.done():
                self._running += 1
                assigned.set_result(None)
