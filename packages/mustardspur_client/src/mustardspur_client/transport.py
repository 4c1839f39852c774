"""One request to one control instance."""

from typing import Any, Final, Protocol

import aiohttp
from mustardspur_core.readers import describe
from mustardspur_core.record import Record

from mustardspur_client.answers import ControlAnswer

# Longer than a control instance waits for a commit (10 s).
REQUEST_TIMEOUT_S: Final = 12
CONNECT_TIMEOUT_S: Final = 2

_NEVER_SENT: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_FAILED: Final = (aiohttp.ClientError, OSError, ValueError)


class Request(Record):
    """A request of a verb; a `body` of None has none."""

    __slots__ = ('method', 'path', 'body')
    method: str
    path: str
    body: dict[str, Any] | None


class SendError(Exception):
    """No usable answer came.

    Parameters
    ----------
    sent : bool
        Whether the request may have reached the control instance.
    detail : str
        What happened.
    """

    def __init__(self, sent: bool, detail: str) -> None:
        """Keep whether the request may have had an effect."""
        super().__init__(detail)
        self.sent = sent


class Transport(Protocol):
    """Sends a request to a control instance."""

    async def send(self, address: str, request: Request) -> ControlAnswer:
        """Return the answer, or raise `SendError`."""


class HttpTransport:
    """Sends requests over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that the caller closes.
    """

    __slots__ = ('_session',)

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Use a session."""
        self._session = session

    async def send(self, address: str, request: Request) -> ControlAnswer:
        """Send a request and return the answer.

        Raises
        ------
        SendError
            If no usable answer came.
        """
        try:
            return await self._exchange(address, request)
        except _NEVER_SENT as refused:
            raise SendError(False, f'{address}: {refused}') from refused
        except _FAILED as error:
            raise SendError(True, f'{address}: {error!r}') from error

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
            body = await response.json(content_type=None)
            if isinstance(body, dict):
                return ControlAnswer(status=response.status, body=body)
        raise ValueError(f'expected an object, found {describe(body)}')
