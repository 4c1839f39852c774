"""HTTP server for the callers of a node."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import Final

from aiohttp import web
from mustardspur_core.listening import listening_socket
from mustardspur_core.units import BYTES_PER_KIB

from mustardspur_node.calls.error_responses import (
    CallFault,
    fault_response,
    not_run,
    unknown,
)
from mustardspur_node.calls.forwarder import CallForwarder
from mustardspur_node.paths import READY_PATH

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

NODE_API_PREFIX: Final = '/mustardspur/'
MAX_HEADER_BYTES: Final = 8 * BYTES_PER_KIB
MAX_HEADERS: Final = 100
# Time for a caller to read an early error response while it sends its body.
_LINGERING_S: Final = 1.0
_BACKLOG: Final = 512
# The drain has already waited for calls; aiohttp would wait 60 s more.
_CLEANUP_S: Final = 0.5

_logger = logging.getLogger(__name__)


class CallProtocol(web.RequestHandler):
    """Connection of a caller; reports malformed requests as not run."""

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response for an error outside of the handler."""
        if request.writer.output_size > 0:
            raise ConnectionError('response has already been started')
        response = fault_response(_error_fault(status, exc), '')
        response.force_close()
        return response


class CallServer(web.Server):
    """Server that cancels a call when its caller disconnects."""

    def __call__(self) -> CallProtocol:
        """Return the protocol of a new connection."""
        return CallProtocol(
            self,
            loop=asyncio.get_running_loop(),
            # aiohttp accepts None for no access log.
            access_log=None,  # type: ignore[arg-type]
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADERS,
            lingering_time=_LINGERING_S,
        )


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
    server = CallServer(_dispatch(forwarder, own), handler_cancellation=True)
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


def _error_fault(status: int, error: BaseException | None) -> CallFault:
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return not_run(HTTPStatus(status), 'request is malformed')
    _logger.error('call failed inside the node', exc_info=error)
    return unknown(HTTPStatus(status), 'call failed inside the node')
