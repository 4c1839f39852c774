"""Execution of attempts: slots, observations and reported outcomes."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mustardspur_core.units import MS_PER_S

from mustardspur_node.calls.attempts import (
    Attempt,
    AttemptError,
    CallRefused,
    Reply,
    TargetUnreachable,
)
from mustardspur_node.calls.caller_registry import CallerRegistry
from mustardspur_node.calls.counters import Counters
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.views import OutcomeSink

# A caller's deadline may be shorter than any target could meet. An attempt
# that times out counts as a failure of the target only if it took at least
# this share of the route's timeout.
_FAILURE_TIMEOUT_SHARE: Final = 0.5
_SERVER_ERROR: Final = 500


class AttemptTracker:
    """Runs attempts and records their outcomes.

    Parameters
    ----------
    outcomes : OutcomeSink
        Receives the outcome of each attempt by version.
    counters : Counters
        Counters of the node.
    """

    __slots__ = ('_caller_registry', '_loop', '_outcomes', 'counters')

    def __init__(self, outcomes: OutcomeSink, counters: Counters) -> None:
        """Initialise with no callers registered."""
        self._caller_registry = CallerRegistry()
        self._outcomes = outcomes
        self._loop = asyncio.get_running_loop()
        self.counters = counters

    async def run(self, attempt: Attempt) -> Reply:
        """Run an attempt, record its outcome and return the reply.

        The slot at the target is released, except for a reply whose body is
        still to be read.
        """
        try:
            reply = await attempt.exchange()
        except AttemptError as fault:
            self.release_slot(attempt)
            self._on_fault(attempt, fault)
            raise
        except asyncio.CancelledError:
            self.release_slot(attempt)
            self._on_cancel(attempt)
            raise
        except BaseException:
            self.release_slot(attempt)
            raise
        self._on_reply(attempt, reply)
        return reply

    def release_slot(self, attempt: Attempt) -> None:
        """Release the slot of an attempt and dispatch queued calls."""
        attempt.endpoint.release(attempt.call.route.call_class)
        queue = attempt.call.service.queue
        if queue.length:
            queue.dispatch()

    @contextmanager
    def releasing(self, attempt: Attempt) -> Iterator[None]:
        """Release the slot of an attempt at the end of the block."""
        try:
            yield
        finally:
            self.release_slot(attempt)

    def discard(self, attempt: Attempt, reply: Reply) -> None:
        """Discard a reply that is not relayed to the caller."""
        reply.response.close()
        if reply.body is None:
            self.release_slot(attempt)

    def eject(
        self,
        endpoint: Endpoint,
        *,
        unreachable: bool,
    ) -> None:
        """Eject a failing target if its ejection policy permits it."""
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
            self.release_slot(attempt)
        endpoint = attempt.endpoint
        latency_ms = attempt.latency_ms
        if reply.response.status >= _SERVER_ERROR:
            self._record_failure(attempt, latency_ms)
            return
        route = attempt.call.route
        route.record_latency(latency_ms)
        endpoint.on_success(route.name, latency_ms, self._loop.time())
        self._report(attempt, 'ok', latency_ms)

    def _on_fault(self, attempt: Attempt, fault: AttemptError) -> None:
        if attempt.superseded:
            latency_ms = attempt.latency_ms
            attempt.endpoint.observations.record_latency(latency_ms)
            if attempt.sent:
                self._report(attempt, 'abandoned', latency_ms)
        elif isinstance(fault, CallRefused):
            latency_ms = attempt.latency_ms
            attempt.endpoint.on_refusal(latency_ms, self._loop.time())
            self.counters.add('refusals')
            self._report(attempt, 'refusal', latency_ms)
        else:
            unreachable = isinstance(fault, TargetUnreachable)
            self._record_failure(
                attempt, attempt.latency_ms, unreachable=unreachable
            )

    def _on_cancel(self, attempt: Attempt) -> None:
        """Distinguish a slow target from a caller that disconnected."""
        call = attempt.call
        late = self._loop.time() >= call.deadline_at
        latency_ms = attempt.latency_ms
        if late and latency_ms > call.route.average_latency_ms:
            call.route.record_latency(latency_ms)
        threshold_ms = call.route.timeout_s * MS_PER_S * _FAILURE_TIMEOUT_SHARE
        if late and attempt.sent and latency_ms >= threshold_ms:
            self._record_failure(attempt, latency_ms)
        elif attempt.sent:
            self._report(attempt, 'abandoned', latency_ms)

    def _record_failure(
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
            self._caller_registry.identify(attempt.call.request),
        )
