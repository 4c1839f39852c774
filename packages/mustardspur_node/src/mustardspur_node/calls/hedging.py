"""Hedging: a second attempt for a call whose first one is slow."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from mustardspur_node.calls.attempt_tracker import AttemptTracker
from mustardspur_node.calls.attempts import Attempt, AttemptError, Reply
from mustardspur_node.calls.balancing import UniformRandom


class Hedge:
    """Runs a second attempt concurrently with a slow first one.

    Explanation
    ===========

    The first attempt runs in the task of the caller, so that a call whose
    response arrives in time costs only a timer. The later response is
    discarded and its connection closed.

    Parameters
    ----------
    tracker : AttemptTracker
        Runs the attempts and records their outcomes.
    first : Attempt
        The first attempt.
    uniform : callable
        Returns a random number in [0, 1).
    """

    __slots__ = ('_first', '_loop', '_second', '_tracker', '_uniform')

    def __init__(
        self,
        tracker: AttemptTracker,
        first: Attempt,
        uniform: UniformRandom,
    ) -> None:
        """Initialise without a second attempt."""
        self._tracker = tracker
        self._first = first
        self._uniform = uniform
        self._loop = asyncio.get_running_loop()
        self._second: asyncio.Task[tuple[Attempt, Reply]] | None = None

    async def first_reply(self) -> tuple[Attempt, Reply]:
        """Return the first reply and its attempt.

        Raises
        ------
        AttemptError
            If neither attempt gets a reply.
        """
        delay_s = self._first.call.route.hedge_after_s
        with self._second_after(delay_s):
            return await self._wait()

    @contextmanager
    def _second_after(self, delay_s: float) -> Iterator[None]:
        timer = self._loop.call_later(delay_s, self._start_second)
        try:
            yield
        finally:
            timer.cancel()
            self._cancel_second()

    async def _wait(self) -> tuple[Attempt, Reply]:
        try:
            reply = await self._tracker.run(self._first)
        except AttemptError:
            if self._second is None:
                raise
            completed = await asyncio.shield(self._second)
            self._second = None
            return completed
        return self._first, reply

    def _start_second(self) -> None:
        first = self._first
        call = first.call
        if not (first.sent and call.chain_budget.remaining):
            return
        balancer = call.route.choose_pool(self._uniform).balancer
        endpoint = balancer.pick(
            call.route.call_class,
            self._loop.time(),
            (first.endpoint, *call.tried),
        )
        if endpoint is None or endpoint is first.endpoint:
            return
        if not (call.route.budget.withdraw() and call.chain_budget.withdraw()):
            return
        endpoint.acquire(call.route.call_class)
        self._tracker.counters.add('hedges')
        second = Attempt(call, endpoint, 0)
        self._second = self._loop.create_task(self._run_second(second))

    async def _run_second(self, second: Attempt) -> tuple[Attempt, Reply]:
        reply = await self._tracker.run(second)
        self._first.abort()
        return second, reply

    def _cancel_second(self) -> None:
        second = self._second
        # Its exception refers to this object, with all that was received.
        self._second = None
        if second is not None:
            second.cancel()
            second.add_done_callback(self._discard)

    def _discard(self, task: asyncio.Task[tuple[Attempt, Reply]]) -> None:
        if not task.cancelled() and task.exception() is None:
            self._tracker.discard(*task.result())
