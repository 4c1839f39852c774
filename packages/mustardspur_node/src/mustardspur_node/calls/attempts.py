"""A single attempt of a call at one target."""

import asyncio
import time
from http import HTTPStatus
from typing import Final

from aiohttp import ClientConnectionError, ClientError, ClientResponse
from aiohttp.connector import Connection
from aiohttp.http import HttpProcessingError
from mustardspur_core.http_statuses import is_final_status
from mustardspur_core.tracebacks import release_frames
from mustardspur_core.units import NS_PER_MS

from mustardspur_node.calls import names
from mustardspur_node.calls.calls import Call
from mustardspur_node.calls.channels import ForwardedRequest, send_request
from mustardspur_node.calls.endpoints import Endpoint
from mustardspur_node.calls.pending_calls import PendingCall

MAX_BUFFERED_RESPONSE_BYTES: Final = 65_536
_BODYLESS: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED),
)


class AttemptError(Exception):
    """An attempt without a usable response.

    Parameters
    ----------
    reason : str
        Description of the error, without anything that was received.
    ran : bool
        False only if the target certainly did not run the call.
    """

    def __init__(self, reason: str, *, ran: bool) -> None:
        """Initialise the reason and whether the call may have run."""
        super().__init__(reason)
        self.reason = reason
        self.ran = ran


class TargetUnreachable(AttemptError):
    """The target did not accept a connection, so nothing was sent."""

    def __init__(self) -> None:
        """Initialise as not run."""
        super().__init__('target does not take connections', ran=False)


class CallRefused(AttemptError):
    """The target refused the call with the refusal header."""

    def __init__(self) -> None:
        """Initialise as not run."""
        super().__init__('target refused the call', ran=False)


class ExchangeBroken(AttemptError):
    """The connection or the response failed after the call was sent."""

    def __init__(self, reason: str) -> None:
        """Initialise as possibly run."""
        super().__init__(reason, ran=True)


class Reply:
    """A response with a validated head.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The response.
    body : bytes or None
        The complete body, of validated length; None if it is longer than
        `MAX_BUFFERED_RESPONSE_BYTES` or its length is not known yet.
    """

    __slots__ = ('body', 'response')

    def __init__(self, response: ClientResponse, body: bytes | None) -> None:
        """Initialise from a response."""
        self.response = response
        self.body = body


class Attempt:
    """An attempt of a call, for which a slot of the target is acquired.

    Parameters
    ----------
    call : Call
        The call.
    endpoint : Endpoint
        The target.
    forwarded_budget : int
        Part of the chain's retry budget that is sent with the attempt.
    """

    __slots__ = (
        '_connection',
        '_loop',
        '_started_ns',
        'call',
        'endpoint',
        'forwarded_budget',
        'sent',
        'started_at',
        'superseded',
    )

    def __init__(
        self, call: Call, endpoint: Endpoint, forwarded_budget: int
    ) -> None:
        """Initialise without a connection."""
        self._loop = asyncio.get_running_loop()
        self._connection: Connection | None = None
        self.call = call
        self.endpoint = endpoint
        self.forwarded_budget = forwarded_budget
        self.sent = False
        self.superseded = False
        self.started_at = self._loop.time()
        # The clock of the event loop has a resolution of only 1 ms.
        self._started_ns = time.monotonic_ns()

    @property
    def latency_ms(self) -> float:
        """Time since the start of the attempt in milliseconds."""
        return (time.monotonic_ns() - self._started_ns) / NS_PER_MS

    async def exchange(self) -> Reply:
        """Send the call and return the validated reply.

        Raises
        ------
        AttemptError
            If there is no usable response.
        """
        call = self.call
        channel = self.endpoint.channel
        request = channel.request(
            call.request.method,
            call.request.raw_path,
            call.attempt_headers(self.started_at, self.forwarded_budget),
            call.body.payload(),
        )
        try:
            connection = await channel.connect(request)
        except (ClientConnectionError, OSError) as error:
            raise TargetUnreachable from error
        try:
            return await self._exchange_on(connection, request)
        except BaseException:
            connection.close()
            raise

    def abort(self) -> None:
        """Close the connection, which ends `exchange` with an error."""
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
            raise ExchangeBroken('another attempt answered first')
        self.sent = True
        self.call.possible_runs += 1
        try:
            reply = await self._receive(connection, request)
        except CallRefused:
            self.call.possible_runs -= 1
            raise
        except (ClientError, HttpProcessingError, OSError) as error:
            release_frames(error)
            raise ExchangeBroken('connection or answer broke') from error
        return reply

    async def _receive(
        self,
        connection: Connection,
        request: ForwardedRequest,
    ) -> Reply:
        call = self.call
        pending = PendingCall(
            self._loop.time(),
            self.abort,
            retryable=call.route.idempotent and call.body.repeatable,
        )
        with self.endpoint.pending.registered(pending):
            response = await send_request(request, connection)
        _check_response(response, call.headers[names.REQUEST_ID])
        if _is_refusal(response):
            await _skip_short_body(response)
            raise CallRefused
        return Reply(response, await _read_short_body(response))


async def _read_short_body(response: ClientResponse) -> bytes | None:
    if response.method == 'HEAD' or response.status in _BODYLESS:
        return await response.read()
    length = response.content_length
    if length is None or length > MAX_BUFFERED_RESPONSE_BYTES:
        return None
    body = await response.read()
    if len(body) != length:
        raise ExchangeBroken('answer is shorter than its length')
    return body


async def _skip_short_body(response: ClientResponse) -> None:
    content = response.content
    size = 0
    while not content.at_eof():
        size += len(await content.readany())
        if size > MAX_BUFFERED_RESPONSE_BYTES:
            raise ExchangeBroken('refusal is too long')


def _is_refusal(response: ClientResponse) -> bool:
    return (
        response.status == HTTPStatus.SERVICE_UNAVAILABLE
        and response.headers.get(names.REFUSED) == '1'
    )


def _check_response(response: ClientResponse, request_id: str) -> None:
    """Raise `ExchangeBroken` if id, status or length cannot be trusted."""
    headers = response.headers
    if headers.get(names.REQUEST_ID, request_id) != request_id:
        raise ExchangeBroken('answer belongs to another request')
    if not is_final_status(response.status):
        # It switches the protocol, or its number is no status.
        raise ExchangeBroken('answer has no final status')
    delimiters = len(headers.getall(names.CONTENT_LENGTH, ()))
    delimiters += len(headers.getall(names.TRANSFER_ENCODING, ()))
    if delimiters > 1 or not delimiters and response.status not in _BODYLESS:
        raise ExchangeBroken('answer does not have one length')
