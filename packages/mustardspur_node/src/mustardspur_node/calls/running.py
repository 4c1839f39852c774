"""Attempts of a call until one gives the answer."""

from mustardspur_node.calls.accounts import Accounts
from mustardspur_node.calls.attempts import Attempt, AttemptFault, Reply
from mustardspur_node.calls.balancing import Random
from mustardspur_node.calls.calls import Call
from mustardspur_node.calls.hedging import Hedge
from mustardspur_node.calls.placing import place
from mustardspur_node.calls.retrying import (
    final_fault,
    may_replace,
    may_retry,
)


class CallRunner:
    """Places a call at targets until it has an answer.

    Parameters
    ----------
    accounts : Accounts
        Takes down what became of each attempt.
    uniform : callable
        Returns a random number from 0 to below 1.
    """

    __slots__ = ('_accounts', '_uniform')

    def __init__(self, accounts: Accounts, uniform: Random) -> None:
        """Start without calls."""
        self._accounts = accounts
        self._uniform = uniform

    async def run(self, call: Call) -> tuple[Attempt, Reply]:
        """Return the answer and the attempt that got it.

        Raises
        ------
        CallFault
            If there is no answer; its outcome takes all attempts together.
        """
        call.route.budget.deposit()
        answered = None
        while answered is None:
            answered = await self._attempt(call)
        return answered

    async def _attempt(self, call: Call) -> tuple[Attempt, Reply] | None:
        """Return an answer, None if the call is to be sent again."""
        endpoint = await place(call, self._uniform)
        attempt = Attempt(call, endpoint, call.chain.pass_down())
        call.tried.append(endpoint)
        try:
            answered = await self._answer(attempt)
        except AttemptFault as fault:
            if may_retry(call, fault, attempt.passed):
                return None
            raise final_fault(call, fault) from fault
        if may_replace(call, *answered):
            self._accounts.discard(*answered)
            return None
        return answered

    async def _answer(self, attempt: Attempt) -> tuple[Attempt, Reply]:
        call = attempt.call
        if not call.route.hedge_after_s or not call.body.repeatable:
            return attempt, await self._accounts.tracked(attempt)
        hedge = Hedge(self._accounts, attempt, self._uniform)
        return await hedge.first_answer()
