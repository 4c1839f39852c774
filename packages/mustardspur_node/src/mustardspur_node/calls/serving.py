"""HTTP server for the callers of a node."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Final

from aiohttp import web
from mustardspur_core.listening import listen

from mustardspur_node.calls.call_connections import call_connections
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
    # A call is cancelled when its caller disconnects.
    server = web.Server(_dispatch(forwarder, own), handler_cancellation=True)
    create = call_connections(server).create
    listener = await listen(create, address, _BACKLOG)
    maintenance = asyncio.create_task(forwarder.maintenance.run())
    try:
        yield '{}:{}'.format(*listener.sockets[0].getsockname())
    finally:
        await forwarder.drain(drain_s)
        await _stop(forwarder, listener, server, maintenance)


async def _stop(
    forwarder: CallForwarder,
    listener: asyncio.Server,
    server: web.Server,
    maintenance: asyncio.Task[None],
) -> None:
    maintenance.cancel()
    await asyncio.gather(maintenance, return_exceptions=True)
    listener.close()
    server.pre_shutdown()
    await server.shutdown(_CLEANUP_S)
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
