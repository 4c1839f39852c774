"""Bounded queues of calls that wait for a target with room."""

import asyncio
from collections import deque
from typing import Final

from mustardspur_node.calls.balancing import Balancer
from mustardspur_node.calls.call_classes import LimitedClass
from mustardspur_node.calls.endpoints import Endpoint

# Calls of one priority wait for targets of several versions; a few of the
# first are tried, so that a wait for one version does not hold up another.
_MAX_TRIED: Final = 8


class QueueFull(Exception):
    """The class of a call has no place left in the queue."""


class DeadlineTooClose(Exception):
    """A call cannot be completed before its deadline any more."""


class _Waiter:
    __slots__ = ('balancer', 'call_class', 'placed', 'tried')

    def __init__(
        self,
        balancer: Balancer,
        call_class: LimitedClass,
        tried: list[Endpoint],
        placed: asyncio.Future[Endpoint | None],
    ) -> None:
        self.balancer = balancer
        self.call_class = call_class
        self.tried = tried
        self.placed = placed


class CallQueue:
    """Calls of one service that wait, lowest priority number first.

    Explanation
    ===========

    A call leaves the queue with a target, counted as entered, or at the
    last moment at which a target could still complete it.
    """

    __slots__ = ('_loop', '_waiters_by_priority', 'length')

    def __init__(self) -> None:
        """Start empty."""
        self._loop = asyncio.get_running_loop()
        self._waiters_by_priority: dict[int, deque[_Waiter]] = {}
        self.length = 0

    async def wait(
        self,
        balancer: Balancer,
        call_class: LimitedClass,
        tried: list[Endpoint],
        latest_at: float,
    ) -> Endpoint:
        """Wait for a target with room.

        Parameters
        ----------
        balancer : Balancer
            Targets that fit the call.
        call_class : LimitedClass
            Class of the call, with its queue's limit.
        tried : list of Endpoint
            Targets that failed this call.
        latest_at : float
            Loop's clock at which waiting is pointless.

        Raises
        ------
        QueueFull
            At once, if the class has no place left.
        DeadlineTooClose
            When `latest_at` is reached.
        """
        waiters = self._waiters(call_class.priority)
        same_class = sum(one.call_class is call_class for one in waiters)
        if same_class >= call_class.queue_limit:
            raise QueueFull
        if self._expected_wait_s(balancer, call_class) > (
            latest_at - self._loop.time()
        ):
            raise DeadlineTooClose
        placed: asyncio.Future[Endpoint | None] = self._loop.create_future()
        waiter = _Waiter(balancer, call_class, tried, placed)
        waiters.append(waiter)
        self.length += 1
        self.dispatch()
        timer = self._loop.call_at(latest_at, _expire, placed)
        try:
            endpoint = await placed
        except asyncio.CancelledError:
            _return_place(waiter)
            raise
        finally:
            timer.cancel()
            self._remove(waiter)
        if endpoint is None:
            raise DeadlineTooClose
        return endpoint

    def dispatch(self) -> None:
        """Give targets with room to waiting calls, by priority."""
        now = self._loop.time()
        for priority in sorted(self._waiters_by_priority):
            waiters = self._waiters_by_priority[priority]
            for waiter in list(waiters)[:_MAX_TRIED]:
                _place(waiter, now)

    def must_wait(self, priority: int) -> bool:
        """Return whether calls of the same or a better priority wait."""
        return any(
            waiters and waiting <= priority
            for waiting, waiters in self._waiters_by_priority.items()
        )

    def _waiters(self, priority: int) -> deque[_Waiter]:
        return self._waiters_by_priority.setdefault(priority, deque())

    def _expected_wait_s(
        self,
        balancer: Balancer,
        call_class: LimitedClass,
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


def _place(waiter: _Waiter, now: float) -> None:
    if waiter.placed.done():
        return
    endpoint = waiter.balancer.pick(waiter.call_class, now, waiter.tried)
    if endpoint is not None:
        endpoint.enter(waiter.call_class)
        waiter.placed.set_result(endpoint)


def _expire(placed: asyncio.Future[Endpoint | None]) -> None:
    if not placed.done():
        placed.set_result(None)


def _return_place(waiter: _Waiter) -> None:
    placed = waiter.placed
    if placed.cancelled() or not placed.done():
        return
    endpoint = placed.result()
    if endpoint is not None:
        endpoint.leave(waiter.call_class)
