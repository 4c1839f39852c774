"""Attempts of a call until one gets a reply."""

from mustardspur_node.calls.attempt_tracker import AttemptTracker
from mustardspur_node.calls.attempts import Attempt, AttemptError, Reply
from mustardspur_node.calls.balancing import UniformRandom
from mustardspur_node.calls.calls import Call
from mustardspur_node.calls.hedging import Hedge
from mustardspur_node.calls.placement import acquire_endpoint
from mustardspur_node.calls.retrying import (
    final_fault,
    may_replace,
    may_retry,
)


class RetryLoop:
    """Attempts a call at targets until one replies or no retry is allowed.

    Parameters
    ----------
    tracker : AttemptTracker
        Runs the attempts and records their outcomes.
    uniform : callable
        Returns a random number in [0, 1).
    """

    __slots__ = ('_tracker', '_uniform')

    def __init__(self, tracker: AttemptTracker, uniform: UniformRandom) -> None:
        """Initialise from the tracker and the source of random numbers."""
        self._tracker = tracker
        self._uniform = uniform

    async def run(self, call: Call) -> tuple[Attempt, Reply]:
        """Return the reply to relay and its attempt.

        Raises
        ------
        CallFault
            If there is no reply; its outcome covers all attempts.
        """
        call.route.budget.deposit()
        completed = None
        while completed is None:
            completed = await self._try_once(call)
        return completed

    async def _try_once(self, call: Call) -> tuple[Attempt, Reply] | None:
        """Return a reply, None if the call is to be retried."""
        endpoint = await acquire_endpoint(call, self._uniform)
        attempt = Attempt(call, endpoint, call.chain_budget.allocate())
        call.tried.append(endpoint)
        try:
            completed = await self._run_attempt(attempt)
        except AttemptError as fault:
            if may_retry(call, fault, attempt.forwarded_budget):
                return None
            raise final_fault(call, fault) from fault
        if may_replace(call, *completed):
            self._tracker.discard(*completed)
            return None
        return completed

    async def _run_attempt(self, attempt: Attempt) -> tuple[Attempt, Reply]:
        call = attempt.call
        if not call.route.hedge_after_s or not call.body.repeatable:
            return attempt, await self._tracker.run(attempt)
        hedge = Hedge(self._tracker, attempt, self._uniform)
        return await hedge.first_reply()
