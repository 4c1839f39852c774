"""Client that sends requests to the available control instances."""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Final

from mustardspur_core.record import Record

from mustardspur_client.answers import ControlAnswer, successful_body
from mustardspur_client.exit_codes import ExitCode
from mustardspur_client.transport import Request, SendError, Transport
from mustardspur_client.verb_errors import VerbError

# Delay before all addresses are tried again, about the time of an election.
ROUND_DELAY_S: Final = 0.5

_RETRIED_STATUSES: Final = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.INTERNAL_SERVER_ERROR)
)


class RetryTiming(Record):
    """How long to retry, with the clock and the sleep function."""

    __slots__ = ('timeout_s', 'clock', 'sleep')
    timeout_s: float
    clock: Callable[[], float]
    sleep: Callable[[float], Awaitable[None]]


def retry_timing_of(timeout_s: float) -> RetryTiming:
    """Return a retry timing that uses the clock of the process."""
    return RetryTiming(
        timeout_s=timeout_s,
        clock=time.monotonic,
        sleep=asyncio.sleep,
    )


class ControlClient:
    """Sends a request to the control instances in turn until one answers.

    Explanation
    ===========

    A control instance that is not the leader answers an edit with the
    leader's address, which is tried next. If an answer is lost, the same
    request is sent again with the same edit identifier, and the log returns
    the answer of the first attempt.

    Parameters
    ----------
    addresses : list of str
        Addresses ``ip:port`` of control instances, in the order of attempts.
    transport : Transport
        Sends a request to one address.
    retry_timing : RetryTiming
        How long a request is retried.
    """

    __slots__ = ('_retry_timing', '_transport', 'addresses')

    def __init__(
        self,
        addresses: list[str],
        transport: Transport,
        retry_timing: RetryTiming,
    ) -> None:
        """Initialise without a connection."""
        self.addresses = addresses
        self._transport = transport
        self._retry_timing = retry_timing

    async def read(self, path: str) -> dict[str, Any]:
        """Return the body of a read.

        Raises
        ------
        VerbError
            If the request was rejected or no control instance answers.
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
        VerbError
            If the edit was rejected, not committed, or its result is unknown.
        """
        return await self._call(Request(method=method, path=path, body=body))

    async def read_each(self, path: str) -> dict[str, dict[str, Any]]:
        """Return the body or the error of a read from each address."""
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
        deadline_s = self._retry_timing.clock() + self._retry_timing.timeout_s
        while True:
            answer = await self._try_each(attempts)
            if answer is not None:
                return successful_body(answer)
            if self._retry_timing.clock() + ROUND_DELAY_S >= deadline_s:
                raise attempts.error()
            await self._retry_timing.sleep(ROUND_DELAY_S)

    async def _try_each(self, attempts: '_Attempts') -> ControlAnswer | None:
        """Try each address once; the leader of a refusal is tried next."""
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
            if answer.status not in _RETRIED_STATUSES:
                return answer
            remaining.extendleft(attempts.record_refusal(address, answer))
        return None

    async def _try(
        self,
        address: str,
        attempts: '_Attempts',
    ) -> ControlAnswer | None:
        try:
            return await self._transport.send(address, attempts.request)
        except SendError as error:
            attempts.record_failure(error)
            return None


class _Attempts:
    """Result of the attempts of one request so far."""

    __slots__ = ('last_reason', 'may_have_taken_effect', 'request')

    def __init__(self, request: Request) -> None:
        self.request = request
        self.may_have_taken_effect = False
        self.last_reason = 'no control instance was tried'

    def record_failure(self, error: SendError) -> None:
        self.may_have_taken_effect = self.may_have_taken_effect or error.sent
        self.last_reason = str(error)

    def record_refusal(self, address: str, answer: ControlAnswer) -> list[str]:
        """Record a refusal; return the leader's address if it is named."""
        kind = answer.body.get('kind', 'unknown')
        self.may_have_taken_effect = (
            self.may_have_taken_effect or kind == 'unknown'
        )
        reason = answer.body.get('reason', 'no reason given')
        self.last_reason = f'{address}: {reason}'
        leader = answer.body.get('leader')
        return [leader] if isinstance(leader, str) else []

    def error(self) -> VerbError:
        edit_id = (self.request.body or {}).get('edit_id')
        if edit_id and self.may_have_taken_effect:
            return VerbError(
                ExitCode.UNCERTAIN,
                f'not known whether the edit took effect ({self.last_reason});'
                f' ask again with --edit-id {edit_id}',
            )
        return VerbError(
            ExitCode.UNAVAILABLE,
            f'no control instance answers ({self.last_reason})',
        )
