"""Running an HTTP application on an address."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Final

from aiohttp import web

from mustardspur_core.descriptors import (
    descriptor_limit,
    max_clients,
    max_refused,
)
from mustardspur_core.http_clients import ClientConnection
from mustardspur_core.inbound_reads import InboundReads
from mustardspur_core.listening import listen
from mustardspur_core.read_turns import ReadTurns
from mustardspur_core.refusals import RefusedConnections
from mustardspur_core.repeated_warning import RepeatedWarning

_LOG: Final = logging.getLogger(__name__)

StopListening = Callable[[], None]

# Open requests are not waited for at shutdown, since their clients retry.
_SHUTDOWN_S: Final = 0.1


@asynccontextmanager
async def serving_app(
    app: web.Application,
    address: str | None,
    shutdown_s: float = _SHUTDOWN_S,
) -> AsyncIterator[StopListening]:
    """Serve an application while the context is active.

    Parameters
    ----------
    app : aiohttp.web.Application
        The application.
    address : str or None
        ``ip:port``; with None no server is started.
    shutdown_s : float, optional
        Longest wait for open requests at the end.

    Yields
    ------
    callable
        Accepts no further connections; those that are open are served on.

    Raises
    ------
    OSError
        If binding to the address fails.
    """
    if address is None:
        yield _nothing
        return
    runner = web.AppRunner(
        app,
        access_log=None,
        shutdown_timeout=shutdown_s,
    )
    await runner.setup()
    async with AsyncExitStack() as stack:
        stack.push_async_callback(runner.cleanup)
        server = runner.server
        assert server is not None
        bounded = _BoundedConnections(server, address)
        listener = await listen(bounded.create, address)
        stack.callback(listener.close)
        yield listener.close


class _BoundedConnections:
    """Creates the connections of an application, up to a limit.

    Explanation
    ===========

    At the limit, the connection whose client has made no progress for the
    longest time is closed in favour of a new one.
    """

    __slots__ = (
        '_closed',
        '_limit',
        '_listener',
        '_refused',
        '_server',
        '_turns',
    )

    def __init__(self, server: web.Server, address: str) -> None:
        self._limit = descriptor_limit()
        self._server = server
        self._listener = address
        self._turns = ReadTurns()
        self._refused = RefusedConnections(address)
        self._closed = RepeatedWarning(_LOG, 'client closed')

    def create(self) -> asyncio.BaseProtocol:
        connections = self._server.connections
        if len(connections) >= max_clients(self._limit):
            if not self._displace(connections):
                return self._refused.create(len(connections))
        connection = ClientConnection(self._server, self._report)
        return InboundReads(connection, self._turns)

    def _displace(self, connections: list[web.RequestHandler]) -> bool:
        """Close a connection; return whether the new one has room."""
        # Closed ones count until their handlers have ended.
        most = max_clients(self._limit) + max_refused(self._limit)
        displaceable = [
            each
            for each in connections
            if isinstance(each, ClientConnection) and each.is_displaceable
        ]
        if not displaceable or len(connections) >= most:
            return False
        min(displaceable, key=_waits_since).abort('displaced')
        return True

    def _report(self, reason: str) -> None:
        self._closed.log(
            listener=self._listener,
            reason=reason,
            connections=len(self._server.connections),
        )


def _waits_since(connection: ClientConnection) -> float:
    return connection.timer.since or 0


def _nothing() -> None:
    """Stand for the end of listening where nothing listens."""
