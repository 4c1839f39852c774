"""Forwarding of admitted calls within their deadline."""

import random
from functools import partial
from http import HTTPStatus

from aiohttp import web

from mustardspur_node.calls import names
from mustardspur_node.calls.attempt_tracker import AttemptTracker
from mustardspur_node.calls.attempts import Attempt, Reply
from mustardspur_node.calls.balancing import UniformRandom
from mustardspur_node.calls.bodies import read_body
from mustardspur_node.calls.calls import Call, call_fault
from mustardspur_node.calls.counters import Counters
from mustardspur_node.calls.error_responses import CallFault
from mustardspur_node.calls.idempotency import IdempotencyStore
from mustardspur_node.calls.in_flight import InFlightCalls
from mustardspur_node.calls.relaying import (
    abort_caller_connection,
    buffer_response,
    relay_response,
)
from mustardspur_node.calls.retry_loop import RetryLoop
from mustardspur_node.views import OutcomeSink


class AdmittedCallForwarder:
    """Forwards admitted calls and returns the responses of their targets.

    Parameters
    ----------
    outcomes : OutcomeSink
        Receives the outcome of each attempt by version.
    counters : Counters
        Counters of the node.
    in_flight : InFlightCalls
        Count of calls; a call with an idempotency key is counted until it
        ends, even if its caller has disconnected.
    uniform : callable
        Returns a random number in [0, 1).
    """

    __slots__ = ('_in_flight', '_retry_loop', 'idempotency_store', 'tracker')

    def __init__(
        self,
        outcomes: OutcomeSink,
        counters: Counters,
        in_flight: InFlightCalls,
        uniform: UniformRandom = random.random,
    ) -> None:
        """Initialise the attempt tracker and an empty idempotency store."""
        self._in_flight = in_flight
        self.tracker = AttemptTracker(outcomes, counters)
        self.idempotency_store = IdempotencyStore()
        self._retry_loop = RetryLoop(self.tracker, uniform)

    async def forward(self, call: Call) -> web.StreamResponse:
        """Return the response to a call.

        Raises
        ------
        CallFault
            If no attempt gives a response before the deadline.
        """
        if names.IDEMPOTENCY_KEY in call.headers and not call.route.idempotent:
            return await self._forward_keyed(call)
        try:
            async with self._in_flight.within(call.deadline_at):
                call.body = await read_body(call.request)
                completed = await self._retry_loop.run(call)
                return await self._relay(*completed)
        except TimeoutError as error:
            if call.response is None:
                raise self._timeout_fault(call) from error
            abort_caller_connection(call.request)
            return call.response

    async def _forward_keyed(self, call: Call) -> web.StreamResponse:
        try:
            async with self._in_flight.within(call.deadline_at):
                call.body = await read_body(call.request)
        except TimeoutError as error:
            raise self._timeout_fault(call) from error
        return await self.idempotency_store.execute_once(
            call.request,
            call.service.name,
            call.body,
            partial(self._run_keyed, call),
        )

    async def _run_keyed(self, call: Call) -> web.Response:
        with self._in_flight.counted():
            try:
                async with self._in_flight.within(call.deadline_at):
                    attempt, reply = await self._retry_loop.run(call)
                    return await self._buffer(attempt, reply)
            except TimeoutError as error:
                raise self._timeout_fault(call) from error

    async def _relay(
        self,
        attempt: Attempt,
        reply: Reply,
    ) -> web.StreamResponse:
        if reply.body is not None:
            return await relay_response(attempt, reply)
        with self.tracker.releasing(attempt):
            return await relay_response(attempt, reply)

    async def _buffer(self, attempt: Attempt, reply: Reply) -> web.Response:
        if reply.body is not None:
            return await buffer_response(attempt, reply)
        with self.tracker.releasing(attempt):
            return await buffer_response(attempt, reply)

    def _timeout_fault(self, call: Call) -> CallFault:
        if not self._in_flight.has_ended:
            return call_fault(
                call,
                HTTPStatus.GATEWAY_TIMEOUT,
                'deadline has passed',
            )
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if call.possible_runs:
            status = HTTPStatus.BAD_GATEWAY
        return call_fault(call, status, 'the node stops')
