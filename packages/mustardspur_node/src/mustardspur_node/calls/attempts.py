"""One attempt of a call at one target."""

import asyncio
import time
from http import HTTPStatus
from typing import Final

from aiohttp import ClientConnectionError, ClientError, ClientResponse
from aiohttp.connector import Connection
from aiohttp.http import HttpProcessingError
from mustardspur_core.units import NS_PER_MS

from mustardspur_node.calls import names
from mustardspur_node.calls.calls import Call
from mustardspur_node.calls.channels import ForwardedRequest, send_request
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.waiting import WaitingCall

HELD_ANSWER_BYTES: Final = 65_536
_BODYLESS: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED),
)


class AttemptFault(Exception):
    """An attempt without a usable answer.

    Parameters
    ----------
    reason : str
        What went wrong.
    ran : bool
        False only if the target certainly did not run the call.
    """

    def __init__(self, reason: str, *, ran: bool) -> None:
        """Keep whether the call may have run."""
        super().__init__(reason)
        self.reason = reason
        self.ran = ran


class Unreachable(AttemptFault):
    """The target did not take a connection, so nothing was sent."""

    def __init__(self) -> None:
        """Nothing was sent."""
        super().__init__('target does not take connections', ran=False)


class Refused(AttemptFault):
    """The target refused the call in the documented way."""

    def __init__(self) -> None:
        """A refusing target has not run the call."""
        super().__init__('target refused the call', ran=False)


class Broken(AttemptFault):
    """The connection or the answer broke after the call was sent."""

    def __init__(self, reason: str) -> None:
        """The target may have run the call."""
        super().__init__(reason, ran=True)


class Reply:
    """An answer whose head is checked.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The answer.
    body : bytes or None
        The whole body, checked for its length; None if it is longer than
        `HELD_ANSWER_BYTES` or its length is not known yet.
    """

    __slots__ = ('body', 'response')

    def __init__(self, response: ClientResponse, body: bytes | None) -> None:
        """Keep the answer."""
        self.response = response
        self.body = body


class Attempt:
    """An attempt of a call; its place at the target is taken already.

    Parameters
    ----------
    call : Call
        The call.
    endpoint : Endpoint
        The target.
    passed : int
        Retry budget that goes down with the attempt.
    """

    __slots__ = (
        '_connection',
        '_loop',
        '_started_ns',
        'call',
        'endpoint',
        'passed',
        'sent',
        'started_at',
        'superseded',
    )

    def __init__(self, call: Call, endpoint: Endpoint, passed: int) -> None:
        """Send nothing yet."""
        self._loop = asyncio.get_running_loop()
        self._connection: Connection | None = None
        self.call = call
        self.endpoint = endpoint
        self.passed = passed
        self.sent = False
        self.superseded = False
        self.started_at = self._loop.time()
        # The loop's clock has a resolution of 1 ms only.
        self._started_ns = time.monotonic_ns()

    @property
    def latency_ms(self) -> float:
        """Time since the start of the attempt."""
        return (time.monotonic_ns() - self._started_ns) / NS_PER_MS

    async def exchange(self) -> Reply:
        """Send the call and return the checked answer.

        Raises
        ------
        AttemptFault
            If there is no usable answer.
        """
        call = self.call
        channel = self.endpoint.channel
        request = channel.request(
            call.request.method,
            call.request.raw_path,
            call.attempt_headers(self.started_at, self.passed),
            call.body.payload(),
        )
        try:
            connection = await channel.connect(request)
        except (ClientConnectionError, OSError) as error:
            raise Unreachable from error
        try:
            return await self._exchange_on(connection, request)
        except BaseException:
            connection.close()
            raise

    def abandon(self) -> None:
        """Close the attempt's connection, which ends the attempt."""
        self.superseded = True
        if self._connection is not None:
            self._connection.close()

    async def _exchange_on(
        self,
        connection: Connection,
        request: ForwardedRequest,
    ) -> Reply:
        self._connection = connection
        if self.superseded:
            raise Broken('another attempt answered first')
        self.sent = True
        self.call.possible_runs += 1
        try:
            reply = await self._receive(connection, request)
        except Refused:
            self.call.possible_runs -= 1
            raise
        except (ClientError, HttpProcessingError, OSError) as error:
            raise Broken('connection or answer broke') from error
        return reply

    async def _receive(
        self,
        connection: Connection,
        request: ForwardedRequest,
    ) -> Reply:
        call = self.call
        waiting = WaitingCall(
            self._loop.time(),
            self.abandon,
            movable=call.route.idempotent and call.body.repeatable,
        )
        with self.endpoint.waiting.listed(waiting):
            response = await send_request(request, connection)
        _check_answer(response, call.headers[names.REQUEST_ID])
        if _is_refusal(response):
            await response.read()
            raise Refused
        return Reply(response, await _held_body(response))


async def _held_body(response: ClientResponse) -> bytes | None:
    if response.method == 'HEAD' or response.status in _BODYLESS:
        return await response.read()
    length = response.content_length
    if length is None or length > HELD_ANSWER_BYTES:
        return None
    body = await response.read()
    if len(body) != length:
        raise Broken('answer is shorter than its length')
    return body


def _is_refusal(response: ClientResponse) -> bool:
    return (
        response.status == HTTPStatus.SERVICE_UNAVAILABLE
        and response.headers.get(names.REFUSED) == '1'
    )


def _check_answer(response: ClientResponse, request_id: str) -> None:
    """Raise `Broken` for an answer that cannot be shown to be complete."""
    headers = response.headers
    if headers.get(names.REQUEST_ID, request_id) != request_id:
        raise Broken('answer belongs to another request')
    if response.status < HTTPStatus.OK:
        raise Broken('answer switches the protocol')
    delimiters = len(headers.getall(names.CONTENT_LENGTH, ()))
    delimiters += len(headers.getall(names.TRANSFER_ENCODING, ()))
    if delimiters > 1 or not delimiters and response.status not in _BODYLESS:
        raise Broken('answer does not have one length')
