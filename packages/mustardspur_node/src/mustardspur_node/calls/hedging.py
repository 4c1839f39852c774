"""Second attempt of an idempotent call whose first is late."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from mustardspur_node.calls.accounts import Accounts
from mustardspur_node.calls.attempts import Attempt, AttemptFault, Reply
from mustardspur_node.calls.balancing import Random


class Hedge:
    """Runs a second attempt beside a late first one.

    Explanation
    ===========

    The first attempt runs in the caller's own task, so that a call whose
    answer comes in time costs a timer only. The answer that comes second
    is dropped with its connection.

    Parameters
    ----------
    accounts : Accounts
        Takes down what became of each attempt.
    first : Attempt
        The first attempt.
    uniform : callable
        Returns a random number from 0 to below 1.
    """

    __slots__ = ('_accounts', '_first', '_loop', '_second', '_uniform')

    def __init__(
        self,
        accounts: Accounts,
        first: Attempt,
        uniform: Random,
    ) -> None:
        """Start no second attempt yet."""
        self._accounts = accounts
        self._first = first
        self._uniform = uniform
        self._loop = asyncio.get_running_loop()
        self._second: asyncio.Task[tuple[Attempt, Reply]] | None = None

    async def first_answer(self) -> tuple[Attempt, Reply]:
        """Return the first answer of the two attempts.

        Raises
        ------
        AttemptFault
            If neither has an answer.
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
            self._drop_second()

    async def _wait(self) -> tuple[Attempt, Reply]:
        try:
            reply = await self._accounts.tracked(self._first)
        except AttemptFault:
            second = self._second
            if second is None:
                raise
            answered = await asyncio.shield(second)
            self._second = None
            return answered
        return self._first, reply

    def _start_second(self) -> None:
        first = self._first
        call = first.call
        if not (first.sent and call.chain.left):
            return
        balancer = call.route.choose(self._uniform).balancer
        endpoint = balancer.pick(
            call.route.call_class,
            self._loop.time(),
            (first.endpoint, *call.tried),
        )
        if endpoint is None or endpoint is first.endpoint:
            return
        if not (call.route.budget.withdraw() and call.chain.withdraw()):
            return
        endpoint.enter(call.route.call_class)
        self._accounts.counters.add('hedges')
        second = Attempt(call, endpoint, 0)
        self._second = self._loop.create_task(self._run_second(second))

    async def _run_second(self, second: Attempt) -> tuple[Attempt, Reply]:
        reply = await self._accounts.tracked(second)
        self._first.abandon()
        return second, reply

    def _drop_second(self) -> None:
        second = self._second
        if second is not None:
            second.cancel()
            second.add_done_callback(self._discard)

    def _discard(self, task: asyncio.Task[tuple[Attempt, Reply]]) -> None:
        if not task.cancelled() and task.exception() is None:
            self._accounts.discard(*task.result())
