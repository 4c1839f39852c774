"""Transport of a request to one control instance."""

import json
from typing import Any, Final, Protocol

import aiohttp
from mustardspur_core.readers import describe
from mustardspur_core.record import Record
from mustardspur_core.texts import describe_error

from mustardspur_client.answers import ControlAnswer

# Longer than a control instance waits for a commit, which is 10 s.
REQUEST_TIMEOUT_S: Final = 12
CONNECT_TIMEOUT_S: Final = 2
# A control instance has 256 MiB, of which its answers take a part.
MAX_ANSWER_BYTES: Final = 67_108_864

_NOT_SENT_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_EXCHANGE_ERRORS: Final = (aiohttp.ClientError, OSError, ValueError)


class Request(Record):
    """Request to a control instance, without a body if `body` is None."""

    __slots__ = ('method', 'path', 'body')
    method: str
    path: str
    body: dict[str, Any] | None


class SendError(Exception):
    """No usable answer was received.

    Parameters
    ----------
    sent : bool
        Whether the request may have reached the control instance.
    detail : str
        Address and cause of the failure.
    """

    def __init__(self, sent: bool, detail: str) -> None:
        """Initialise with the detail as message."""
        super().__init__(detail)
        self.sent = sent


class Transport(Protocol):
    """Sends a request to a control instance."""

    async def send(self, address: str, request: Request) -> ControlAnswer:
        """Return the answer.

        Raises
        ------
        SendError
            If no usable answer was received.
        """


class HttpTransport:
    """Sends requests over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session, closed by the caller.
    """

    __slots__ = ('_session',)

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Initialise with a session."""
        self._session = session

    async def send(self, address: str, request: Request) -> ControlAnswer:
        """Send a request and return the answer.

        Raises
        ------
        SendError
            If no usable answer was received.
        """
        try:
            return await self._exchange(address, request)
        except _NOT_SENT_ERRORS as error:
            raise SendError(False, f'{address}: {error}') from error
        except _EXCHANGE_ERRORS as error:
            detail = describe_error(error)
            raise SendError(True, f'{address}: {detail}') from error

    async def _exchange(self, address: str, request: Request) -> ControlAnswer:
        timeout = aiohttp.ClientTimeout(
            total=REQUEST_TIMEOUT_S,
            sock_connect=CONNECT_TIMEOUT_S,
        )
        async with self._session.request(
            request.method,
            f'http://{address}{request.path}',
            json=request.body,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            body = json.loads(await _read(response.content))
            if isinstance(body, dict):
                return ControlAnswer(status=response.status, body=body)
        raise ValueError(f'expected an object, found {describe(body)}')


async def _read(content: aiohttp.StreamReader) -> bytes:
    """Return the body of an answer.

    Raises
    ------
    ValueError
        If it has more than `MAX_ANSWER_BYTES`.
    """
    received = bytearray()
    async for part in content.iter_any():
        received += part
        if len(received) > MAX_ANSWER_BYTES:
            raise ValueError(f'answer of more than {MAX_ANSWER_BYTES} bytes')
    return bytes(received)
