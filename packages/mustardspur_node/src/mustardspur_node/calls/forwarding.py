"""Forwarding of admitted calls within their deadline."""

import asyncio
import random
from functools import partial
from http import HTTPStatus

from aiohttp import web

from mustardspur_node.calls import names
from mustardspur_node.calls.accounts import Accounts
from mustardspur_node.calls.answers import CallFault
from mustardspur_node.calls.attempts import Attempt, Reply
from mustardspur_node.calls.balancing import Random
from mustardspur_node.calls.bodies import read_body
from mustardspur_node.calls.calls import Call, call_fault
from mustardspur_node.calls.counters import Counters
from mustardspur_node.calls.idempotency import KeyedAnswers
from mustardspur_node.calls.in_flight import InFlight
from mustardspur_node.calls.relaying import abort_caller, hold, relay
from mustardspur_node.calls.running import CallRunner
from mustardspur_node.views import OutcomeSink


class Forwarding:
    """Runs calls and brings their answers to the callers.

    Parameters
    ----------
    outcomes : OutcomeSink
        Takes the evidence on versions.
    counters : Counters
        Counters of the node.
    in_flight : InFlight
        Count of calls; a keyed call counts until its own end.
    uniform : callable
        Returns a random number from 0 to below 1.
    """

    __slots__ = ('_in_flight', '_runner', 'accounts', 'keyed')

    def __init__(
        self,
        outcomes: OutcomeSink,
        counters: Counters,
        in_flight: InFlight,
        uniform: Random = random.random,
    ) -> None:
        """Start without calls."""
        self._in_flight = in_flight
        self.accounts = Accounts(outcomes, counters)
        self.keyed = KeyedAnswers()
        self._runner = CallRunner(self.accounts, uniform)

    async def forward(self, call: Call) -> web.StreamResponse:
        """Return the answer to a call.

        Raises
        ------
        CallFault
            If there is no answer.
        """
        if names.IDEMPOTENCY_KEY in call.headers and not call.route.idempotent:
            return await self._forward_keyed(call)
        try:
            async with asyncio.timeout_at(call.deadline_at):
                call.body = await read_body(call.request)
                answered = await self._runner.run(call)
                return await self._relay(*answered)
        except TimeoutError as error:
            if call.answer is None:
                raise _timeout_fault(call) from error
            abort_caller(call.request)
            return call.answer

    async def _forward_keyed(self, call: Call) -> web.StreamResponse:
        try:
            async with asyncio.timeout_at(call.deadline_at):
                call.body = await read_body(call.request)
        except TimeoutError as error:
            raise _timeout_fault(call) from error
        return await self.keyed.answer(
            call.request,
            call.service.name,
            call.body,
            partial(self._run_keyed, call),
        )

    async def _run_keyed(self, call: Call) -> web.Response:
        with self._in_flight.counted():
            try:
                async with asyncio.timeout_at(call.deadline_at):
                    attempt, reply = await self._runner.run(call)
                    return await self._hold(attempt, reply)
            except TimeoutError as error:
                raise _timeout_fault(call) from error

    async def _relay(
        self,
        attempt: Attempt,
        reply: Reply,
    ) -> web.StreamResponse:
        if reply.body is not None:
            return await relay(attempt, reply)
        with self.accounts.held_place(attempt):
            return await relay(attempt, reply)

    async def _hold(self, attempt: Attempt, reply: Reply) -> web.Response:
        if reply.body is not None:
            return await hold(attempt, reply)
        with self.accounts.held_place(attempt):
            return await hold(attempt, reply)


def _timeout_fault(call: Call) -> CallFault:
    return call_fault(call, HTTPStatus.GATEWAY_TIMEOUT, 'deadline has passed')
