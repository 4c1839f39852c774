"""Running an HTTP application on an address."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from aiohttp import web

from mustardspur_core.listening import listening_socket

# Open requests are not waited for at shutdown, since their clients retry.
_SHUTDOWN_S: Final = 0.1


@asynccontextmanager
async def serving_app(
    app: web.Application,
    address: str | None,
) -> AsyncIterator[None]:
    """Serve an application while the context is active.

    Parameters
    ----------
    app : aiohttp.web.Application
        The application.
    address : str or None
        ``ip:port``; with None no server is started.

    Raises
    ------
    OSError
        If binding to the address fails.
    """
    if address is None:
        yield
        return
    runner = web.AppRunner(
        app,
        access_log=None,
        shutdown_timeout=_SHUTDOWN_S,
    )
    await runner.setup()
    try:
        await web.SockSite(runner, listening_socket(address)).start()
        yield
    finally:
        await runner.cleanup()
