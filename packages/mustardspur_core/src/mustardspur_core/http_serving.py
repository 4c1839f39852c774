"""Running an HTTP application on an address."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Final

from aiohttp import web

from mustardspur_core.descriptors import descriptor_limit, max_clients
from mustardspur_core.listening import listen
from mustardspur_core.refusals import RefusedConnections

StopListening = Callable[[], None]

# Open requests are not waited for at shutdown, since their clients retry.
_SHUTDOWN_S: Final = 0.1
# A connection may hold twice as much of a body that its handler does not read.
_READ_BYTES: Final = 16_384


@asynccontextmanager
async def serving_app(
    app: web.Application,
    address: str | None,
) -> AsyncIterator[StopListening]:
    """Serve an application while the context is active.

    Parameters
    ----------
    app : aiohttp.web.Application
        The application.
    address : str or None
        ``ip:port``; with None no server is started.

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
        shutdown_timeout=_SHUTDOWN_S,
        read_bufsize=_READ_BYTES,
    )
    await runner.setup()
    async with AsyncExitStack() as stack:
        stack.push_async_callback(runner.cleanup)
        bounded = _BoundedConnections(runner, address)
        listener = await listen(bounded.create, address)
        stack.callback(listener.close)
        yield listener.close


class _BoundedConnections:
    """Creates the connections of an application, up to a limit."""

    __slots__ = ('_max_open', '_refused', '_runner')

    def __init__(self, runner: web.AppRunner, address: str) -> None:
        self._runner = runner
        self._max_open = max_clients(descriptor_limit())
        self._refused = RefusedConnections(address)

    def create(self) -> asyncio.BaseProtocol:
        server = self._runner.server
        assert server is not None
        connections = len(server.connections)
        if connections >= self._max_open:
            return self._refused.create(connections)
        return server()


def _nothing() -> None:
    """Stand for the end of listening where nothing listens."""
