"""Requests to whichever control instance can answer them."""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Final

from mustardspur_core.record import Record

from mustardspur_client.answers import ControlAnswer, final_body
from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.problems import Problem
from mustardspur_client.transport import Request, SendError, Transport

# About the length of an election.
ROUND_PAUSE_S: Final = 0.5

_RETRIED: Final = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.INTERNAL_SERVER_ERROR)
)


class Patience(Record):
    """How long to try, with the clock and the pause that are used."""

    __slots__ = ('timeout_s', 'clock', 'pause')
    timeout_s: float
    clock: Callable[[], float]
    pause: Callable[[float], Awaitable[None]]


def patience_of(timeout_s: float) -> Patience:
    """Return a patience by the process's own clock."""
    return Patience(
        timeout_s=timeout_s,
        clock=time.monotonic,
        pause=asyncio.sleep,
    )


class ControlClient:
    """Sends requests to the control instances in turn.

    Explanation
    ===========

    An instance that is not the leader answers an edit with the leader's
    address, which is tried next. After a lost answer the same request, with
    its edit identifier, is sent again: the log gives it its first answer.

    Parameters
    ----------
    addresses : list of str
        ``ip:port`` of control instances, tried in this order.
    transport : Transport
        What sends a request.
    patience : Patience
        For how long a request is tried again.
    """

    __slots__ = ('_patience', '_transport', 'addresses')

    def __init__(
        self,
        addresses: list[str],
        transport: Transport,
        patience: Patience,
    ) -> None:
        """Keep the addresses in the order of preference."""
        self.addresses = addresses
        self._transport = transport
        self._patience = patience

    async def read(self, path: str) -> dict[str, Any]:
        """Return the body of a read.

        Raises
        ------
        Problem
            If the request was refused or no instance answers.
        """
        return await self._call(Request(method='GET', path=path, body=None))

    async def edit(
        self,
        method: str,
        path: str,
        body: dict[str, Any],
    ) -> dict[str, Any]:
        """Return the body of an accepted edit.

        Raises
        ------
        Problem
            If the edit was refused, not committed, or its result is unknown.
        """
        return await self._call(Request(method=method, path=path, body=body))

    async def read_each(self, path: str) -> dict[str, dict[str, Any]]:
        """Return the body, or the failure, of a read by address."""
        request = Request(method='GET', path=path, body=None)
        bodies = await asyncio.gather(
            *(self._read_one(address, request) for address in self.addresses),
        )
        return dict(zip(self.addresses, bodies, strict=True))

    async def _read_one(
        self,
        address: str,
        request: Request,
    ) -> dict[str, Any]:
        try:
            answer = await self._transport.send(address, request)
        except SendError as error:
            return {'unreachable': str(error)}
        return answer.body

    async def _call(self, request: Request) -> dict[str, Any]:
        attempts = _Attempts(request)
        deadline_s = self._patience.clock() + self._patience.timeout_s
        while True:
            answer = await self._try_each(attempts)
            if answer is not None:
                return final_body(answer)
            if self._patience.clock() + ROUND_PAUSE_S >= deadline_s:
                raise attempts.problem()
            await self._patience.pause(ROUND_PAUSE_S)

    async def _try_each(self, attempts: '_Attempts') -> ControlAnswer | None:
        """Try each address once, a leader that was named next."""
        remaining = deque(self.addresses)
        tried: set[str] = set()
        while remaining:
            address = remaining.popleft()
            if address in tried:
                continue
            tried.add(address)
            answer = await self._try(address, attempts)
            if answer is None:
                continue
            if answer.status not in _RETRIED:
                return answer
            remaining.extendleft(attempts.note_refusal(address, answer))
        return None

    async def _try(
        self,
        address: str,
        attempts: '_Attempts',
    ) -> ControlAnswer | None:
        try:
            return await self._transport.send(address, attempts.request)
        except SendError as error:
            attempts.note_failure(error)
            return None


class _Attempts:
    """What became of the attempts of one request so far."""

    __slots__ = ('last_reason', 'maybe_done', 'request')

    def __init__(self, request: Request) -> None:
        self.request = request
        self.maybe_done = False
        self.last_reason = 'no control instance was tried'

    def note_failure(self, error: SendError) -> None:
        self.maybe_done = self.maybe_done or error.sent
        self.last_reason = str(error)

    def note_refusal(self, address: str, answer: ControlAnswer) -> list[str]:
        """Note a refusal and return the leader's address, if it names one."""
        kind = answer.body.get('kind', 'unknown')
        self.maybe_done = self.maybe_done or kind == 'unknown'
        reason = answer.body.get('reason', 'no reason given')
        self.last_reason = f'{address}: {reason}'
        leader = answer.body.get('leader')
        return [leader] if isinstance(leader, str) else []

    def problem(self) -> Problem:
        edit_id = (self.request.body or {}).get('edit_id')
        if edit_id and self.maybe_done:
            return Problem(
                ExitCode.UNCERTAIN,
                f'not known whether the edit took effect ({self.last_reason});'
                f' ask again with --edit-id {edit_id}',
            )
        return Problem(
            ExitCode.UNAVAILABLE,
            f'no control instance answers ({self.last_reason})',
        )
