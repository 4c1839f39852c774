"""Calls that wait for a target."""

import asyncio
import heapq
import itertools
import math
from collections.abc import Iterator

from mustardspur_core.record import Record

from mustardspur_node.mesh.fair_shares import FairShares


class WaitingRequest(Record):
    """What decides the place of a call among those that wait.

    Parameters
    ----------
    rank : int
        Rank of the call; lower ranks go first.
    account : str
        Client account of the call, empty for none.
    cost_ms : float
        Expected time for which the call uses a slot.
    """

    __slots__ = ('rank', 'account', 'cost_ms')
    rank: int
    account: str
    cost_ms: float


class Waiter:
    """A waiting call.

    Attributes
    ----------
    request : WaitingRequest
        What decides its place.
    assigned : asyncio.Future
        Done once the call may start.
    until_s : float
        Time on the event loop's clock until which it waits.
    """

    __slots__ = ('_place', 'assigned', 'request', 'start', 'until_s')

    def __init__(
        self,
        request: WaitingRequest,
        start: float,
        sequence: int,
        until_s: float,
    ) -> None:
        """Initialise a call that waits."""
        self.until_s = until_s
        self.request = request
        self.start = start
        self._place = (request.rank, start, sequence)
        self.assigned: asyncio.Future[None] = asyncio.Future()

    def __lt__(self, other: 'Waiter') -> bool:
        """Return whether this call goes before another one."""
        return self._place < other._place


class WaitingCalls:
    """Waiting calls, by rank, fair share of their account and arrival."""

    __slots__ = ('_sequence', '_shares', '_waiters')

    def __init__(self) -> None:
        """Initialise without calls."""
        self._waiters: list[Waiter] = []
        self._shares = FairShares()
        self._sequence: Iterator[int] = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._waiters)

    def add(
        self,
        request: WaitingRequest,
        until_s: float = math.inf,
    ) -> Waiter:
        """Add a call that waits until a time on the event loop's clock."""
        start = self._shares.reserve(request.account, request.cost_ms)
        waiter = Waiter(request, start, next(self._sequence), until_s)
        heapq.heappush(self._waiters, waiter)
        return waiter

    def record_immediate_start(self, request: WaitingRequest) -> None:
        """Charge a call that starts without a wait to its account."""
        start = self._shares.reserve(request.account, request.cost_ms)
        self._shares.record_start(start)

    def pop(self) -> Waiter:
        """Remove the first call and return it."""
        waiter = heapq.heappop(self._waiters)
        self._shares.record_start(waiter.start)
        return waiter

    def discard(self, waiter: Waiter) -> None:
        """Remove a call if it still waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)
            request = waiter.request
            self._shares.release(request.account, request.cost_ms)

    def behind(self, waiter: Waiter) -> list[tuple[int, Waiter]]:
        """Return the calls after one, each with the number of calls ahead."""
        numbered = enumerate(sorted(self._waiters))
        return [(ahead, each) for ahead, each in numbered if waiter < each]

    def count_ahead(self, rank: int) -> int:
        """Return the number of waiting calls of a rank or a lower one."""
        return sum(1 for each in self._waiters if each.request.rank <= rank)

    def count_before(self, request: WaitingRequest) -> int:
        """Return the number of waiting calls that go before a new one."""
        start = self._shares.start_of_next(request.account)
        place = (request.rank, start)
        return sum(
            1
            for each in self._waiters
            if (each.request.rank, each.start) <= place
        )
