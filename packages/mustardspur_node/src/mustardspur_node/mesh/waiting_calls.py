"""Calls that wait for a target."""

import asyncio
import heapq

# Rank, sequence number and a future that is done once the call may start.
Waiter = tuple[int, int, asyncio.Future[None]]


class WaitingCalls:
    """Waiting calls, by rank and then by arrival."""

    __slots__ = ('_sequence', '_waiters')

    def __init__(self) -> None:
        """Initialise without calls."""
        self._waiters: list[Waiter] = []
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._waiters)

    def add(self, rank: int) -> Waiter:
        """Add a call; lower ranks go first."""
        self._sequence += 1
        waiter = (rank, self._sequence, asyncio.Future[None]())
        heapq.heappush(self._waiters, waiter)
        return waiter

    def pop(self) -> asyncio.Future[None]:
        """Remove the first call and return its future."""
        return heapq.heappop(self._waiters)[2]

    def discard(self, waiter: Waiter) -> None:
        """Remove a call if it still waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)

    def count_ahead(self, rank: int) -> int:
        """Return the number of waiting calls ahead of a new one of a rank."""
        return sum(1 for waiter in self._waiters if waiter[0] <= rank)
