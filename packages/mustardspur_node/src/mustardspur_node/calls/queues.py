"""Bounded queues of calls that wait for a target with capacity."""

import asyncio
from collections import deque
from typing import Final

from mustardspur_node.calls.balancing import Balancer
from mustardspur_node.calls.call_classes import CompiledCallClass
from mustardspur_node.calls.endpoints import Endpoint

# Calls of one priority may wait for different versions. The first calls up
# to this number are tried, so that one version does not block another.
_MAX_DISPATCH_SCAN: Final = 8


class QueueFull(Exception):
    """The queue limit of the call class is reached."""


class DeadlineTooClose(Exception):
    """A call can no longer be completed before its deadline."""


class _Waiter:
    __slots__ = ('assigned', 'balancer', 'call_class', 'tried')

    def __init__(
        self,
        balancer: Balancer,
        call_class: CompiledCallClass,
        tried: list[Endpoint],
        assigned: asyncio.Future[Endpoint | None],
    ) -> None:
        self.balancer = balancer
        self.call_class = call_class
        self.tried = tried
        self.assigned = assigned


class CallQueue:
    """Queue of the calls of one service, lowest priority number first.

    Explanation
    ===========

    A call leaves the queue when a slot of a target is acquired for it, or at
    the latest time at which a target could still complete it.
    """

    __slots__ = ('_loop', '_waiters_by_priority', 'length')

    def __init__(self) -> None:
        """Initialise an empty queue."""
        self._loop = asyncio.get_running_loop()
        self._waiters_by_priority: dict[int, deque[_Waiter]] = {}
        self.length = 0

    async def wait(
        self,
        balancer: Balancer,
        call_class: CompiledCallClass,
        tried: list[Endpoint],
        latest_at: float,
    ) -> Endpoint:
        """Wait for a target with capacity and acquire a slot of it.

        Parameters
        ----------
        balancer : Balancer
            Balancer of the call's version.
        call_class : CompiledCallClass
            Class of the call, with its queue limit.
        tried : list of Endpoint
            Targets that failed this call.
        latest_at : float
            Time of the event loop in seconds at which the wait ends.

        Raises
        ------
        QueueFull
            At once, if the queue limit of the class is reached.
        DeadlineTooClose
            At once, if the expected wait ends after `latest_at`, otherwise
            when `latest_at` is reached.
        """
        waiters = self._waiters(call_class.priority)
        same_class = sum(one.call_class is call_class for one in waiters)
        if same_class >= call_class.queue_limit:
            raise QueueFull
        if self._expected_wait_s(balancer, call_class) > (
            latest_at - self._loop.time()
        ):
            raise DeadlineTooClose
        assigned: asyncio.Future[Endpoint | None] = self._loop.create_future()
        waiter = _Waiter(balancer, call_class, tried, assigned)
        waiters.append(waiter)
        self.length += 1
        self.dispatch()
        timer = self._loop.call_at(latest_at, _expire, assigned)
        try:
            endpoint = await assigned
        except asyncio.CancelledError:
            _release_assigned(waiter)
            raise
        finally:
            timer.cancel()
            self._remove(waiter)
        if endpoint is None:
            raise DeadlineTooClose
        return endpoint

    def dispatch(self) -> None:
        """Assign targets with capacity to queued calls, by priority."""
        now = self._loop.time()
        for priority in sorted(self._waiters_by_priority):
            waiters = self._waiters_by_priority[priority]
            for waiter in list(waiters)[:_MAX_DISPATCH_SCAN]:
                _assign(waiter, now)

    def must_wait(self, priority: int) -> bool:
        """Return whether calls of the same or a higher priority wait."""
        return any(
            waiters and queued_priority <= priority
            for queued_priority, waiters in self._waiters_by_priority.items()
        )

    def _waiters(self, priority: int) -> deque[_Waiter]:
        return self._waiters_by_priority.setdefault(priority, deque())

    def _expected_wait_s(
        self,
        balancer: Balancer,
        call_class: CompiledCallClass,
    ) -> float:
        ahead = sum(
            len(waiters)
            for priority, waiters in self._waiters_by_priority.items()
            if priority <= call_class.priority
        )
        return ahead * balancer.seconds_per_call()

    def _remove(self, waiter: _Waiter) -> None:
        self.length -= 1
        self._waiters(waiter.call_class.priority).remove(waiter)


def _assign(waiter: _Waiter, now: float) -> None:
    if waiter.assigned.done():
        return
    endpoint = waiter.balancer.pick(waiter.call_class, now, waiter.tried)
    if endpoint is not None:
        endpoint.acquire(waiter.call_class)
        waiter.assigned.set_result(endpoint)


def _expire(assigned: asyncio.Future[Endpoint | None]) -> None:
    if not assigned.done():
        assigned.set_result(None)


def _release_assigned(waiter: _Waiter) -> None:
    assigned = waiter.assigned
    if assigned.cancelled() or not assigned.done():
        return
    endpoint = assigned.result()
    if endpoint is not None:
        endpoint.release(waiter.call_class)
