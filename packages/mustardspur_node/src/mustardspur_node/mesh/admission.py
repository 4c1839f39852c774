"""Admission of calls to a target by the node on its instance."""

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from mustardspur_core.mesh.call_messages import TargetLoad
from mustardspur_core.units import MS_PER_S

from mustardspur_node.mesh.balancing import new_run_times
from mustardspur_node.mesh.call_ranks import CallRanks
from mustardspur_node.mesh.call_value import LATE_RANK
from mustardspur_node.mesh.calls import not_sent_fault
from mustardspur_node.mesh.capacity import TargetCapacity
from mustardspur_node.mesh.cold_state import ColdState
from mustardspur_node.mesh.instance_link import InstanceLink
from mustardspur_node.mesh.rate_limit import StatedRateLimit
from mustardspur_node.mesh.run_times import RunTimes
from mustardspur_node.mesh.waiting_calls import (
    Waiter,
    WaitingCalls,
    WaitingRequest,
)

# Waiting calls of the same or a lower rank for each slot; a call behind more
# of them would be late.
MAX_WAITING_PER_SLOT: Final = 6
# Policy of a node whose settings name none.
DEFAULT_BALANCING: Final = 'least_expected'
# Time for which calls are refused after the target refused a connection.
UNREACHABLE_CLOSED_S: Final = 0.3


class AdmissionControl:
    """Admits calls to a target within its slots and rate limits.

    Parameters
    ----------
    cold : ColdState or None
        Whether the target is cold, None for one that never is.
    balancing : str
        Name of the policy that selects targets, see `new_run_times`.

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
        Slots and rate limits of the target, and the calls that use them.
    link : InstanceLink
        Link of the instance, which the bodies of calls cross.
    run_times : RunTimes
        Run times and failure rate of the target.
    ranks : CallRanks
        Ranks of waiting calls.
    """

    __slots__ = (
        '_balancing',
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

    def __init__(
        self,
        cold: ColdState | None = None,
        balancing: str = DEFAULT_BALANCING,
    ) -> None:
        """Initialise closed and without slots."""
        self._balancing = balancing
        self._loop = asyncio.get_running_loop()
        self._waiting = WaitingCalls()
        self.capacity = TargetCapacity(cold)
        self.capacity.cold.on_change = self._apply_limit_change
        self.link = InstanceLink(0)
        self.run_times = new_run_times(self._balancing)
        self.ranks = CallRanks()
        # Runs while a rate limit delays the first waiting call.
        self._timer: asyncio.TimerHandle | None = None
        self._closed_until_s: float = 0
        self.open = False

    @property
    def load(self) -> TargetLoad:
        """Load of the target as other nodes use it to select targets.

        Late calls are not counted as waiting, since calls in time go first.
        """
        reported = self.capacity.reported(self.run_times.reported_ms)
        running = reported.running
        if self.run_times.slow_factor > 1:
            free_slots = _free_slots(self, reported.slots)
            running = max(running, reported.slots - free_slots)
        return TargetLoad(
            running=running,
            waiting=self._waiting.count_ahead(LATE_RANK),
            slots=reported.slots,
            run_ms=round(reported.run_ms, 1),
            failure_rate=round(self.run_times.failure_rate, 2),
            open=self._is_open(),
            link_wait_ms=self.link.admission.wait_ms,
        )

    def close(self, duration_s: float = math.inf) -> None:
        """Refuse all further calls for some time, by default for good."""
        until_s = self._loop.time() + duration_s
        self._closed_until_s = max(self._closed_until_s, until_s)

    def refuse_waiting(self, reason: str) -> int:
        """Refuse all waiting calls as closed and return their number."""
        refused = 0
        while self._waiting:
            assigned = self._waiting.pop().assigned
            if not assigned.done():
                assigned.set_exception(not_sent_fault('closed', reason))
                refused += 1
        return refused

    def resize(self, slots: int) -> None:
        """Change the number of slots and admit calls to new ones."""
        self.capacity.slots = slots
        self._admit_next()

    def apply_rate_limit(self, per_s: float | None, sent_s: float) -> bool:
        """Apply the limit that an answer states, and admit calls within it.

        Returns whether the limit changed; see `StatedRateLimit.record`.
        """
        changed = self.capacity.rate_limit.record(per_s, sent_s)
        if changed:
            self._apply_limit_change()
        return changed

    def reset_statistics(self) -> None:
        """Discard the run times and limit of a target that was replaced."""
        self.run_times = new_run_times(self._balancing)
        self.ranks = CallRanks()
        self.capacity.rate_limit = StatedRateLimit()

    @asynccontextmanager
    async def admitted(
        self,
        request: WaitingRequest,
        max_wait_ms: float,
    ) -> AsyncIterator[None]:
        """Hold a slot for the duration of a block.

        Parameters
        ----------
        request : WaitingRequest
            What decides the place of the call among those that wait.
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
            if not max_wait_ms and not _free_slots(self, self.capacity.slots):
                raise not_sent_fault('busy', 'target is slow')
            self._waiting.record_immediate_start(request)
            self.capacity.start()
        else:
            await self._wait(request, max_wait_ms)
        try:
            yield
        finally:
            self.capacity.finish()
            self._admit_next()

    def _is_open(self) -> bool:
        return self.open and self._loop.time() >= self._closed_until_s

    async def _wait(self, request: WaitingRequest, max_wait_ms: float) -> None:
        ahead = self._waiting.count_before(request)
        expected_ms = self.capacity.expected_wait_ms(
            ahead,
            self.run_times.expected_ms,
        )
        full = ahead >= MAX_WAITING_PER_SLOT * self.capacity.slots
        longest_ms = max_wait_ms
        if ahead:
            longest_ms *= self.run_times.expected_wait_fraction
        if full or expected_ms > longest_ms:
            raise not_sent_fault('busy', f'{len(self._waiting)} calls wait')
        until_s = self._loop.time() + max_wait_ms / MS_PER_S
        waiter = self._waiting.add(request, until_s)
        self._admit_next()
        _refuse_overtaken(self._waiting, waiter, self.capacity, self.run_times)
        try:
            async with asyncio.timeout(max_wait_ms / MS_PER_S):
                await waiter.assigned
        except BaseException as error:
            self._cancel_wait(waiter)
            if isinstance(error, TimeoutError):
                raise not_sent_fault('busy', 'no slot in time') from error
            raise

    def _cancel_wait(self, waiter: Waiter) -> None:
        if _is_slot_assigned(waiter.assigned):
            # The slot was assigned at the same time as the wait was cancelled.
            self.capacity.finish()
            self._admit_next()
        else:
            self._waiting.discard(waiter)

    def _admit_next(self) -> None:
        while self._waiting and self.capacity.can_start:
            assigned = self._waiting.pop().assigned
            if not assigned.done():
                self.capacity.start()
                assigned.set_result(None)
        if self._waiting and self.capacity.has_slot and self._timer is None:
            self._timer = self._loop.call_later(
                self.capacity.delay_s,
                self._admit_after_delay,
            )

    def _apply_limit_change(self) -> None:
        """Compute again when the first waiting call may start."""
        if self._timer is not None:
            self._timer.cancel()
            self._admit_after_delay()

    def _admit_after_delay(self) -> None:
        self._timer = None
        self._admit_next()


def _is_slot_assigned(assigned: asyncio.Future[None]) -> bool:
    if not assigned.done() or assigned.cancelled():
        return False
    return assigned.exception() is None


def _refuse_overtaken(
    waiting: WaitingCalls,
    waiter: Waiter,
    capacity: TargetCapacity,
    run_times: RunTimes,
) -> None:
    """Refuse the calls that find no slot in time behind a new one.

    They would otherwise be held until the end of their wait.
    """
    fraction = run_times.expected_wait_fraction
    if fraction == 1:
        return
    run_ms = run_times.expected_ms
    now_s = asyncio.get_running_loop().time()
    for ahead, each in waiting.behind(waiter):
        expected_ms = fraction * capacity.expected_wait_ms(ahead, run_ms)
        left_ms = (each.until_s - now_s) * MS_PER_S
        if expected_ms > left_ms and not each.assigned.done():
            fault = not_sent_fault('busy', 'overtaken by urgent calls')
            each.assigned.set_exception(fault)


def _free_slots(admission: AdmissionControl, slots: int) -> int:
    """Return the free ones of some slots for calls that do not wait.

    A target that is slow for a short period leaves these calls to others: of
    its slots only as many count as would be in use at its usual speed. Calls
    that wait were refused elsewhere and may use all slots.
    """
    usable = max(int(slots / admission.run_times.slow_factor), 1)
    return max(usable - admission.capacity.running, 0)
