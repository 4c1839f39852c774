"""Servers of a control instance."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web
from mustardspur_core.settings import Settings

from mustardspur_control.control_stream import ControlStreams
from mustardspur_control.operators_api import (
    OperatorsContext,
    build_operators_app,
)


@asynccontextmanager
async def serving_streams(
    settings: Settings,
    streams: ControlStreams,
) -> AsyncIterator[None]:
    """Serve nodes and peers on the stream address."""
    host, port = _host_and_port(settings.listen.stream or '')
    server = await asyncio.start_server(streams.serve, host, port)
    try:
        yield
    finally:
        server.close()


@asynccontextmanager
async def serving_operators(
    settings: Settings,
    context: OperatorsContext,
) -> AsyncIterator[None]:
    """Serve operators on the HTTP address."""
    runner = web.AppRunner(build_operators_app(context), access_log=None)
    await runner.setup()
    host, port = _host_and_port(settings.listen.http)
    try:
        await web.TCPSite(runner, host, port).start()
        yield
    finally:
        await runner.cleanup()


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
