"""Connection pool of a node for one target."""

import asyncio
from functools import partial
from typing import Any, Final

from aiohttp import ClientRequest, ClientResponse, ClientTimeout, TCPConnector
from aiohttp.connector import Connection
from multidict import CIMultiDict
from mustardspur_core.read_turns import ReadTurns
from yarl import URL

from mustardspur_node.calls.connectors import TargetConnector

CONNECT_TIMEOUT_S: Final = 1.0
# Below the usual idle timeouts of targets, so that the node closes first and
# no call is sent on a connection that the target is closing.
IDLE_TIMEOUT_S: Final = 4.0
_CONNECT_TIMEOUT: Final = ClientTimeout(
    total=None,
    connect=CONNECT_TIMEOUT_S,
    sock_connect=CONNECT_TIMEOUT_S,
)
_READ_BUFFER_BYTES: Final = 65_536
_CONTENT_TYPE: Final = 'Content-Type'


class ForwardedRequest(ClientRequest):
    """A request that sends the given headers unchanged."""

    def update_headers(self, headers: Any) -> None:
        """Set the given headers, which include ``host``."""
        self.headers = headers

    def update_auto_headers(self, skip_auto_headers: Any) -> None:
        """Add no headers that the caller did not send."""
        if _CONTENT_TYPE not in self.headers:
            super().update_auto_headers(skip_auto_headers)

    def update_cookies(self, cookies: Any) -> None:
        """Leave the cookies of the caller unchanged."""


_NO_AUTO_HEADERS: Final = (
    'Accept',
    'Accept-Encoding',
    'User-Agent',
    _CONTENT_TYPE,
)


class _Pool:
    """Connections opened since the pool was last replaced."""

    __slots__ = ('active', 'connector')

    def __init__(self, limit: int, turns: ReadTurns) -> None:
        self.connector = TargetConnector(
            turns,
            limit=limit,
            keepalive_timeout=IDLE_TIMEOUT_S,
            use_dns_cache=False,
        )
        self.active = 0


class TargetChannel:
    """Connections to a target, reused only without unread bytes.

    Parameters
    ----------
    address : str
        ``ip:port`` of the target.
    limit : int
        Maximum number of concurrent connections.
    """

    __slots__ = (
        '_base_url',
        '_closing',
        '_limit',
        '_loop',
        '_pool',
        '_turns',
        'address',
    )

    def __init__(self, address: str, limit: int) -> None:
        """Initialise an empty pool."""
        self.address = address
        self._base_url = f'http://{address}'
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._turns = ReadTurns()
        self._pool = _Pool(limit, self._turns)
        self._closing: set[asyncio.Task[None]] = set()

    def request(
        self,
        method: str,
        path: str,
        headers: CIMultiDict[str],
        body: Any,
    ) -> ForwardedRequest:
        """Return a request to the target without sending it."""
        return ForwardedRequest(
            method,
            URL(f'{self._base_url}{path}', encoded=True),
            headers=headers,
            skip_auto_headers=_NO_AUTO_HEADERS,
            data=body,
            loop=self._loop,
        )

    async def connect(self, request: ForwardedRequest) -> Connection:
        """Return a connection without unread bytes.

        Explanation
        ===========

        The connector reuses an idle connection even if bytes arrived on it
        in the meantime; a late or extra response would be used as the
        response to the next call. Such connections are closed here.

        Raises
        ------
        OSError or aiohttp.ClientConnectionError
            If the target does not accept a connection in time; nothing was
            sent.
        """
        pool = self._pool
        pool.active += 1
        try:
            connection = await _clean_connection(pool.connector, request)
        except BaseException:
            self._release(pool)
            raise
        connection.add_callback(partial(self._release, pool))
        return connection

    def replace_pool(self) -> None:
        """Replace the pool, so that later calls use new connections.

        Calls in flight keep their connections; the old pool is closed after
        the last of them ends.
        """
        pool = self._pool
        self._pool = _Pool(self._limit, self._turns)
        if not pool.active:
            self._close_later(pool)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.connector.close()
        await asyncio.gather(*self._closing)

    def _release(self, pool: _Pool) -> None:
        pool.active -= 1
        if pool is not self._pool and not pool.active:
            self._close_later(pool)

    def _close_later(self, pool: _Pool) -> None:
        task = self._loop.create_task(_close(pool))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


async def send_request(
    request: ForwardedRequest,
    connection: Connection,
) -> ClientResponse:
    """Send a request and return the response with its head received.

    Raises
    ------
    aiohttp.ClientError
        If the connection fails or the response is malformed.
    """
    protocol = connection.protocol
    assert protocol is not None
    protocol.set_response_params(
        skip_payload=request.method == 'HEAD',
        read_until_eof=True,
        auto_decompress=False,
        read_bufsize=_READ_BUFFER_BYTES,
    )
    response = await request.send(connection)
    await response.start(connection)
    failure = response.content.exception()
    if failure is not None:
        # The body failed before the response has registered itself at it, and
        # would refer to it until a garbage collection.
        response.content.set_exception(failure)
    return response


async def _clean_connection(
    connector: TCPConnector,
    request: ForwardedRequest,
) -> Connection:
    while True:
        connection = await connector.connect(request, [], _CONNECT_TIMEOUT)
        protocol = connection.protocol
        if protocol is not None and not protocol.should_close:
            return connection
        connection.close()


async def _close(pool: _Pool) -> None:
    await pool.connector.close()
