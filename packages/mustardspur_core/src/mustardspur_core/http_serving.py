"""Running an HTTP application on an address."""

from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Final

from aiohttp import web

from mustardspur_core.listening import listen

StopListening = Callable[[], None]

# Open requests are not waited for at shutdown, since their clients retry.
_SHUTDOWN_S: Final = 0.1


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
    )
    await runner.setup()
    async with AsyncExitStack() as stack:
        stack.push_async_callback(runner.cleanup)
        server = await listen(_protocols(runner), address)
        stack.callback(server.close)
        yield server.close


def _protocols(runner: web.AppRunner) -> web.Server:
    if runner.server is None:
        raise RuntimeError('the runner is not set up')
    return runner.server


def _nothing() -> None:
    """Stand for the end of listening where nothing listens."""
