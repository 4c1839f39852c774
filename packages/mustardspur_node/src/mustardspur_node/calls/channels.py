"""Pooled connections of a node to one target."""

import asyncio
from functools import partial
from typing import Any, Final

from aiohttp import ClientRequest, ClientResponse, ClientTimeout, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from multidict import CIMultiDict
from yarl import URL

CONNECT_TIMEOUT_S: Final = 1.0
# Below the usual idle time-outs of targets, so that the node closes first
# and no call meets a connection that its target is closing.
IDLE_TIMEOUT_S: Final = 4.0
_CONNECT_TIMEOUT: Final = ClientTimeout(
    total=None,
    connect=CONNECT_TIMEOUT_S,
    sock_connect=CONNECT_TIMEOUT_S,
)
_READ_BUFFER_BYTES: Final = 65_536
_CONTENT_TYPE: Final = 'Content-Type'


class ForwardedRequest(ClientRequest):
    """A request that takes its headers as they are."""

    def update_headers(self, headers: Any) -> None:
        """Use the given headers, which include ``host``."""
        self.headers = headers

    def update_auto_headers(self, skip_auto_headers: Any) -> None:
        """Add nothing that the caller did not send."""
        if _CONTENT_TYPE not in self.headers:
            super().update_auto_headers(skip_auto_headers)

    def update_cookies(self, cookies: Any) -> None:
        """Leave the caller's cookies alone."""


_NO_AUTO_HEADERS: Final = (
    'Accept',
    'Accept-Encoding',
    'User-Agent',
    _CONTENT_TYPE,
)


class _Connector(TCPConnector):
    """Connector whose new connections are completed when a call is cancelled.

    Explanation
    ===========

    A cancellation in the middle of a connect leaves uvloop with a transport
    whose descriptor is closed. The next socket gets the same number, its
    connect fails, and the process can end. The connect is therefore
    completed in a task of its own and its connection closed.
    """

    async def _create_connection(
        self,
        req: ClientRequest,
        traces: Any,
        timeout: ClientTimeout,
    ) -> ResponseHandler:
        creation = super()._create_connection(req, traces, timeout)
        task = asyncio.get_running_loop().create_task(creation)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_close_unused)
            raise


class _Pool:
    """Connections that were opened since the last renewal."""

    __slots__ = ('connector', 'users')

    def __init__(self, limit: int) -> None:
        self.connector = _Connector(
            limit=limit,
            keepalive_timeout=IDLE_TIMEOUT_S,
            use_dns_cache=False,
        )
        self.users = 0


class Channel:
    """Connections to a target, reused only when they are clean.

    Parameters
    ----------
    address : str
        ``ip:port`` of the target.
    limit : int
        Connections at a time.
    """

    __slots__ = (
        '_base',
        '_limit',
        '_loop',
        '_pool',
        '_retired',
        'address',
    )

    def __init__(self, address: str, limit: int) -> None:
        """Open nothing yet."""
        self.address = address
        self._base = f'http://{address}'
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._pool = _Pool(limit)
        self._retired: set[asyncio.Task[None]] = set()

    def request(
        self,
        method: str,
        path: str,
        headers: CIMultiDict[str],
        body: Any,
    ) -> ForwardedRequest:
        """Return a request to the target; nothing is sent yet."""
        return ForwardedRequest(
            method,
            URL(f'{self._base}{path}', encoded=True),
            headers=headers,
            skip_auto_headers=_NO_AUTO_HEADERS,
            data=body,
            loop=self._loop,
        )

    async def connect(self, request: ForwardedRequest) -> Connection:
        """Lend a connection on which no byte waits.

        Explanation
        ===========

        The connector lends an idle connection again even when bytes arrived
        on it in the meantime; the next call would take a late or extra
        answer for its own. Such connections are closed here.

        Raises
        ------
        OSError or aiohttp.ClientConnectionError
            If the target takes no connection in time; nothing was sent.
        """
        pool = self._pool
        pool.users += 1
        try:
            connection = await _clean_connection(pool.connector, request)
        except BaseException:
            self._leave(pool)
            raise
        connection.add_callback(partial(self._leave, pool))
        return connection

    def renew(self) -> None:
        """Use only new connections from now on.

        Calls in flight keep theirs; these are closed after the last of them.
        """
        pool = self._pool
        self._pool = _Pool(self._limit)
        if not pool.users:
            self._retire(pool)

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.connector.close()
        await asyncio.gather(*self._retired)

    def _leave(self, pool: _Pool) -> None:
        pool.users -= 1
        if pool is not self._pool and not pool.users:
            self._retire(pool)

    def _retire(self, pool: _Pool) -> None:
        task = self._loop.create_task(_close(pool))
        self._retired.add(task)
        task.add_done_callback(self._retired.discard)


async def send_request(
    request: ForwardedRequest,
    connection: Connection,
) -> ClientResponse:
    """Send a request and return the answer's head.

    Raises
    ------
    aiohttp.ClientError
        If the connection or the answer is broken.
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
    return await response.start(connection)


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


def _close_unused(task: asyncio.Task[ResponseHandler]) -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()


async def _close(pool: _Pool) -> None:
    await pool.connector.close()
