"""Accounts of attempts: places at targets, observations, evidence."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_core.units import MS_PER_S

from mustardspur_node.calls.attempts import (
    Attempt,
    AttemptFault,
    Refused,
    Reply,
    Unreachable,
)
from mustardspur_node.calls.callers import Callers
from mustardspur_node.calls.counters import Counters
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.views import OutcomeSink

# A caller's deadline may be shorter than any target could meet; an attempt
# that had this part of the route's timeout counts as the target's failure.
_FAIR_SHARE: Final = 0.5
_SERVER_ERROR: Final = 500


class Accounts:
    """Takes down what became of each attempt.

    Parameters
    ----------
    outcomes : OutcomeSink
        Takes the evidence on versions.
    counters : Counters
        Counters of the node.
    """

    __slots__ = ('_callers', '_loop', '_outcomes', 'counters')

    def __init__(self, outcomes: OutcomeSink, counters: Counters) -> None:
        """Start without attempts."""
        self._callers = Callers()
        self._outcomes = outcomes
        self._loop = asyncio.get_running_loop()
        self.counters = counters

    async def tracked(self, attempt: Attempt) -> Reply:
        """Run an attempt and take down how it ended."""
        try:
            reply = await attempt.exchange()
        except AttemptFault as fault:
            self.release(attempt)
            self._on_fault(attempt, fault)
            raise
        except asyncio.CancelledError:
            self.release(attempt)
            self._on_cancel(attempt)
            raise
        except BaseException:
            self.release(attempt)
            raise
        self._on_reply(attempt, reply)
        return reply

    def release(self, attempt: Attempt) -> None:
        """Give the attempt's place at its target to another call."""
        attempt.endpoint.leave(attempt.call.route.call_class)
        queue = attempt.call.service.queue
        if queue.length:
            queue.dispatch()

    @contextmanager
    def held_place(self, attempt: Attempt) -> Iterator[None]:
        """Give the place up at the end of the block."""
        try:
            yield
        finally:
            self.release(attempt)

    def discard(self, attempt: Attempt, reply: Reply) -> None:
        """Drop an answer that no caller gets."""
        reply.response.close()
        if reply.body is None:
            self.release(attempt)

    def eject(
        self,
        endpoint: Endpoint,
        *,
        unreachable: bool,
    ) -> None:
        """Eject a failing target where its bounds permit it."""
        policy = endpoint.ejection.policy
        now = self._loop.time()
        if policy is not None and policy.on_failure(
            endpoint,
            now,
            unreachable=unreachable,
        ):
            self.counters.add('ejections')

    def _on_reply(self, attempt: Attempt, reply: Reply) -> None:
        if reply.body is not None:
            self.release(attempt)
        endpoint = attempt.endpoint
        latency_ms = attempt.latency_ms
        if reply.response.status >= _SERVER_ERROR:
            self._failure(attempt, latency_ms)
            return
        route = attempt.call.route
        route.observe(latency_ms)
        endpoint.on_success(route.name, latency_ms, self._loop.time())
        self._report(attempt, 'ok', latency_ms)

    def _on_fault(self, attempt: Attempt, fault: AttemptFault) -> None:
        if attempt.superseded:
            attempt.endpoint.seen.latency(attempt.latency_ms)
        elif isinstance(fault, Refused):
            latency_ms = attempt.latency_ms
            attempt.endpoint.on_refusal(latency_ms, self._loop.time())
            self.counters.add('refusals')
            self._report(attempt, 'refusal', latency_ms)
        else:
            unreachable = isinstance(fault, Unreachable)
            self._failure(attempt, attempt.latency_ms, unreachable=unreachable)

    def _on_cancel(self, attempt: Attempt) -> None:
        """Tell a target that is too slow from a caller that is gone."""
        call = attempt.call
        late = self._loop.time() >= call.deadline_at
        latency_ms = attempt.latency_ms
        if late and latency_ms > call.route.usual_ms:
            call.route.observe(latency_ms)
        fair_ms = call.route.timeout_s * MS_PER_S * _FAIR_SHARE
        if late and attempt.sent and latency_ms >= fair_ms:
            self._failure(attempt, latency_ms)

    def _failure(
        self,
        attempt: Attempt,
        latency_ms: float,
        *,
        unreachable: bool = False,
    ) -> None:
        attempt.endpoint.on_failure(latency_ms, self._loop.time())
        self.counters.add('failures')
        self._report(attempt, 'failure', latency_ms)
        self.eject(
            attempt.endpoint,
            unreachable=unreachable,
        )

    def _report(
        self,
        attempt: Attempt,
        outcome: str,
        latency_ms: float,
    ) -> None:
        route = attempt.call.route
        self._outcomes.record_outcome(
            route.view,
            route.name,
            attempt.endpoint.target,
            outcome,
            latency_ms,
            self._callers.known(attempt.call.request),
        )
