"""Serving an HTTP application on an address."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from aiohttp import web

# Requests that are open at the end belong to callers that come back.
_SHUTDOWN_S: Final = 0.1


@asynccontextmanager
async def serving_app(
    app: web.Application,
    address: str | None,
) -> AsyncIterator[None]:
    """Serve an application for the length of a block.

    Parameters
    ----------
    address : str or None
        ``ip:port``; None serves nothing.

    Raises
    ------
    OSError
        If the address cannot be listened on.
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
    host, _, port = address.rpartition(':')
    try:
        await web.TCPSite(runner, host, int(port)).start()
        yield
    finally:
        await runner.cleanup()
