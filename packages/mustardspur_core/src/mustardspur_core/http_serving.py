"""Running an HTTP application on an address."""

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Final

from aiohttp import web

from mustardspur_core.bounded_connections import BoundedConnections
from mustardspur_core.descriptors import descriptor_limit, max_clients
from mustardspur_core.listening import listen
from mustardspur_core.refusals import RefusedConnections

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
        bounded = BoundedConnections(
            server,
            address,
            max_clients(descriptor_limit()),
            RefusedConnections(address),
        )
        listener = await listen(bounded.create, address)
        stack.callback(listener.close)
        yield listener.close


def _nothing() -> None:
    """Stand for the end of listening where nothing listens."""
