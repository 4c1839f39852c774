"""Admission of calls to a target by the node on its instance."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.call_ranks import CallRanks
from mustardspur_node.mesh.call_value import LATE_RANK
from mustardspur_node.mesh.calls import not_sent_fault
from mustardspur_node.mesh.capacity import TargetCapacity
from mustardspur_node.mesh.instance_link import InstanceLink
from mustardspur_node.mesh.rate_limit import StatedRateLimit
from mustardspur_node.mesh.run_times import RunTimes
from mustardspur_node.mesh.waiting_calls import Waiter, WaitingCalls

# Waiting calls of the same or a lower rank for each slot; a call behind more
# of them would be late.
MAX_WAITING_PER_SLOT: Final = 6
# Time for which calls are refused after the target refused a connection.
UNREACHABLE_CLOSED_S: Final = 0.3


class AdmissionControl:
    """Admits calls to a target within its slots and its stated rate limit.

    Explanation
    ===========

    All calls to a target pass through the node on its instance, so the counts
    of running and of admitted calls are exact. A call that is refused here has
    certainly not run and can be placed elsewhere at no cost but time.

    Attributes
    ----------
    open : bool
        Whether the target accepts calls, as it reports.
    capacity : TargetCapacity
        Slots and rate limit of the target, and the calls that use them.
    link : InstanceLink
        Link of the instance, which the bodies of calls cross.
    run_times : RunTimes
        Run times and failure rate of the target.
    ranks : CallRanks
        Ranks of waiting calls.
    """

    __slots__ = (
        '_closed_until_s',
        '_loop',
        '_timer',
        '_waiting',
        'capacity',
        'link',
        'open',
        'ranks',
        'run_times',
    )

    def __init__(self) -> None:
        """Initialise closed and without slots."""
        self._loop = asyncio.get_running_loop()
        self._waiting = WaitingCalls()
        self.capacity = TargetCapacity()
        self.link = InstanceLink(0)
        self.run_times = RunTimes()
        self.ranks = CallRanks()
        # Runs while the rate limit delays the first waiting call.
        self._timer: asyncio.TimerHandle | None = None
        self._closed_until_s: float = 0
        self.open = False

    @property
    def load(self) -> TargetLoad:
        """Load of the target as other nodes use it to select targets.

        Late calls are not counted as waiting, since calls in time go first.
        """
        reported = self.capacity.reported(self.run_times.expected_ms)
        return TargetLoad(
            running=reported.running,
            waiting=self._waiting.count_ahead(LATE_RANK),
            slots=reported.slots,
            run_ms=round(reported.run_ms, 1),
            failure_rate=round(self.run_times.failure_rate, 2),
            open=self._is_open(),
            link_wait_ms=self.link.admission.wait_ms,
        )

    def close_permanently(self) -> None:
        """Refuse all further calls, as the node stops."""
        self._closed_until_s = float('inf')

    def resize(self, slots: int) -> None:
        """Change the number of slots and admit calls to new ones."""
        self.capacity.slots = slots
        self._admit_next()

    def apply_rate_limit(self, per_s: float | None, sent_s: float) -> bool:
        """Apply the limit that an answer states, and admit calls within it.

        Returns whether the limit changed; see `StatedRateLimit.record`.
        """
        changed = self.capacity.rate_limit.record(per_s, sent_s)
        if changed and self._timer is not None:
            self._timer.cancel()
            self._admit_after_delay()
        return changed

    def reset_statistics(self) -> None:
        """Discard the run times and limit of a target that was replaced."""
        self.run_times = RunTimes()
        self.ranks = CallRanks()
        self.capacity.rate_limit = StatedRateLimit()

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
        if self.capacity.can_start:
            self.capacity.start()
        else:
            await self._wait(rank, max_wait_ms)
        try:
            yield
        finally:
            self.capacity.finish()
            self._admit_next()

    def _is_open(self) -> bool:
        return self.open and self._loop.time() >= self._closed_until_s

    async def _wait(self, rank: int, max_wait_ms: float) -> None:
        ahead = self._waiting.count_ahead(rank)
        expected_ms = self.capacity.expected_wait_ms(
            ahead,
            self.run_times.expected_ms,
        )
        full = ahead >= MAX_WAITING_PER_SLOT * self.capacity.slots
        if full or expected_ms > max_wait_ms:
            raise not_sent_fault('busy', f'{len(self._waiting)} calls wait')
        waiter = self._waiting.add(rank)
        self._admit_next()
        try:
            async with asyncio.timeout(max_wait_ms / MS_PER_S):
                await waiter[2]
        except BaseException as error:
            self._cancel_wait(waiter)
            if isinstance(error, TimeoutError):
                raise not_sent_fault('busy', 'no slot in time') from error
            raise

    def _cancel_wait(self, waiter: Waiter) -> None:
        assigned = waiter[2]
        if assigned.done() and not assigned.cancelled():
            # The slot was assigned at the same time as the wait was cancelled.
            self.capacity.finish()
            self._admit_next()
        else:
            self._waiting.discard(waiter)

    def _admit_next(self) -> None:
        while self._waiting and self.capacity.can_start:
            assigned = self._waiting.pop()
            if not assigned.done():
                self.capacity.start()
                assigned.set_result(None)
        if self._waiting and self.capacity.has_slot and self._timer is None:
            self._timer = self._loop.call_later(
                self.capacity.rate_limit.delay_s,
                self._admit_after_delay,
            )

    def _admit_after_delay(self) -> None:
        self._timer = None
        self._admit_next()
