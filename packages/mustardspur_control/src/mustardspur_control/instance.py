"""A control instance put together from its parts."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

from aiohttp import web
from mustardspur_core.metrics import Metrics
from mustardspur_core.settings import Settings
from mustardspur_core.timeline import Timeline

from mustardspur_control.control_stream import ControlStreams
from mustardspur_control.expiry import expiring
from mustardspur_control.hub import Hub
from mustardspur_control.local_log import LocalLog
from mustardspur_control.operator_sources import (
    HubNodes,
    HubStatus,
    RegistryTargets,
)
from mustardspur_control.operators_api import (
    OperatorsContext,
    build_operators_app,
)
from mustardspur_control.registry import Registry
from mustardspur_control.store import Store


class _NoReports:
    __slots__ = ()

    def report(self, move: str) -> dict[str, Any]:
        return {}


@asynccontextmanager
async def running_control(
    settings: Settings,
    timeline: Timeline,
    metrics: Metrics,
) -> AsyncIterator[Hub]:
    """Run a control instance for the length of a block.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    timeline : Timeline
        Receives the events.
    metrics : Metrics
        Receives the metrics.

    Raises
    ------
    OSError
        If an address cannot be listened on or the data folder not used.
    """
    store = Store()
    log = LocalLog(settings.id, store)
    registry = Registry(settings)
    hub = Hub(settings, store, registry, log, timeline, metrics)
    context = OperatorsContext(
        log=log,
        store=store,
        nodes=HubNodes(hub),
        targets=RegistryTargets(hub),
        moves=_NoReports(),
        status=HubStatus(settings, hub),
        http_addresses={peer.id: peer.http for peer in settings.peers},
        clock=time.time,
    )
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(expiring(settings, registry))
        await stack.enter_async_context(
            _serving_streams(settings, ControlStreams(hub)),
        )
        await stack.enter_async_context(_serving_operators(settings, context))
        yield hub


@asynccontextmanager
async def _serving_streams(
    settings: Settings,
    streams: ControlStreams,
) -> AsyncIterator[None]:
    host, port = _host_and_port(settings.listen.stream or '')
    server = await asyncio.start_server(streams.serve, host, port)
    try:
        yield
    finally:
        server.close()


@asynccontextmanager
async def _serving_operators(
    settings: Settings,
    context: OperatorsContext,
) -> AsyncIterator[None]:
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
