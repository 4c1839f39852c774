"""Connections of the callers of a node, within limits."""

import logging
from http import HTTPStatus
from typing import Final

from aiohttp import web
from mustardspur_core.bounded_connections import BoundedConnections
from mustardspur_core.descriptors import descriptor_limit, max_callers
from mustardspur_core.http_clients import (
    ClientConnection,
    HeadLimits,
    OnClose,
)
from mustardspur_core.refusals import RefusedConnections, plain_answer
from mustardspur_core.units import BYTES_PER_KIB

from mustardspur_node.calls import names
from mustardspur_node.calls.error_responses import (
    CallFault,
    Outcome,
    fault_response,
    not_run,
    unknown,
)

_LOG: Final = logging.getLogger(__name__)

# The whole head, with the empty lines before it.
MAX_HEAD_BYTES: Final = 65_536
MAX_HEADER_BYTES: Final = 8 * BYTES_PER_KIB
MAX_HEADERS: Final = 100
_NOT_RUN: Final = f'{names.OUTCOME}: {Outcome.NOT_RUN}'


def _head_limits() -> HeadLimits:
    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    response = fault_response(not_run(status, 'head is too long'), '')
    refusal = plain_answer(
        status,
        _NOT_RUN,
        text=response.text or '',
        content_type=response.content_type,
    )
    return HeadLimits(MAX_HEAD_BYTES, MAX_HEADER_BYTES, MAX_HEADERS, refusal)


_LIMITS: Final = _head_limits()


class CallConnection(ClientConnection):
    """Connection of a caller; reports malformed requests as not run.

    Parameters
    ----------
    server : web.Server
        Server of the node.
    on_close : callable
        Called with the reason before a connection is closed at a limit.
    """

    __slots__ = ()

    def __init__(self, server: web.Server, on_close: OnClose) -> None:
        """Initialise with the limits of calls."""
        super().__init__(server, on_close, _LIMITS)

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


def call_connections(server: web.Server) -> BoundedConnections:
    """Return the connections of callers, up to the limit of descriptors.

    Parameters
    ----------
    server : web.Server
        Server of the node.
    """
    return BoundedConnections(
        server,
        'callers',
        max_callers(descriptor_limit()),
        RefusedConnections('callers', headers=(_NOT_RUN,)),
        CallConnection,
    )


def _error_fault(status: int, error: BaseException | None) -> CallFault:
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return not_run(HTTPStatus(status), 'request is malformed')
    _LOG.error('call failed inside the node', exc_info=error)
    return unknown(HTTPStatus(status), 'call failed inside the node')
