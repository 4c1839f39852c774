"""Server of a control instance for operators."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web
from mustardspur_core.listening import listening_socket
from mustardspur_core.settings import Settings

from mustardspur_control.operators_api import (
    OperatorsContext,
    build_operators_app,
)


@asynccontextmanager
async def serving_operators(
    settings: Settings,
    context: OperatorsContext,
) -> AsyncIterator[None]:
    """Serve operators on the HTTP address."""
    runner = web.AppRunner(build_operators_app(context), access_log=None)
    await runner.setup()
    address = settings.listen.http
    try:
        await web.SockSite(runner, listening_socket(address)).start()
        yield
    finally:
        await runner.cleanup()
