"""HTTP server for the callers of a node."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Final

from aiohttp import web
from mustardspur_core.listening import listening_socket

from mustardspur_node.calls.call_connections import CallServer
from mustardspur_node.calls.forwarder import CallForwarder
from mustardspur_node.paths import READY_PATH

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

NODE_API_PREFIX: Final = '/mustardspur/'
_BACKLOG: Final = 512
# The drain has already waited for calls; aiohttp would wait 60 s more.
_CLEANUP_S: Final = 0.5


@asynccontextmanager
async def run_forwarder(
    forwarder: CallForwarder,
    address: str,
    drain_s: float,
    own_handlers_by_path: Mapping[str, Handler] | None = None,
) -> AsyncIterator[str]:
    """Serve callers until the end of the block, then drain.

    Parameters
    ----------
    forwarder : CallForwarder
        Forwards the calls.
    address : str
        ``ip:port`` to listen on; port 0 selects a free one.
    drain_s : float
        Maximum wait in seconds for calls in flight at the end.
    own_handlers_by_path : mapping, optional
        Handlers of the node's own paths, which start with `NODE_API_PREFIX`.

    Yields
    ------
    str
        The address that the server is bound to.
    """
    own = {
        READY_PATH: _ready_handler(forwarder),
        **(own_handlers_by_path or {}),
    }
    server = CallServer(_dispatch(forwarder, own))
    runner = web.ServerRunner(server, shutdown_timeout=_CLEANUP_S)
    await runner.setup()
    listening = listening_socket(address)
    await web.SockSite(runner, listening, backlog=_BACKLOG).start()
    maintenance = asyncio.create_task(forwarder.maintenance.run())
    try:
        yield '{}:{}'.format(*runner.addresses[0][:2])
    finally:
        await forwarder.drain(drain_s)
        await _stop(forwarder, runner, maintenance)


async def _stop(
    forwarder: CallForwarder,
    runner: web.ServerRunner,
    maintenance: asyncio.Task[None],
) -> None:
    maintenance.cancel()
    await asyncio.gather(maintenance, return_exceptions=True)
    await runner.cleanup()
    await forwarder.close()


def _dispatch(
    forwarder: CallForwarder,
    own_handlers_by_path: Mapping[str, Handler],
) -> Handler:
    async def factory(request: web.BaseRequest) -> web.StreamResponse:
        if request.raw_path.startswith(NODE_API_PREFIX):
            own = own_handlers_by_path.get(request.path)
            if own is not None:
                return await own(request)
        response = await forwarder.handle(request)
        return response

    return factory


def _ready_handler(forwarder: CallForwarder) -> Handler:
    async def factory(request: web.BaseRequest) -> web.StreamResponse:
        status = (
            HTTPStatus.OK if forwarder.ready else HTTPStatus.SERVICE_UNAVAILABLE
        )
        return web.json_response(
            {'ready': forwarder.ready, 'in_flight': forwarder.in_flight.count},
            status=status,
        )

    return factory
