"""Connections of the callers of a node, within limits."""

import logging
from functools import partial
from http import HTTPStatus
from typing import Final

from aiohttp import web
from mustardspur_core.bounded_connections import BoundedConnections
from mustardspur_core.descriptors import descriptor_limit, max_callers
from mustardspur_core.held_bytes import HeldBytes, HeldShare
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
# Bytes that a byte of an open head takes in memory.
_HEAD_FACTOR: Final = 3
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
    held : HeldBytes
        Account of the heads that are not complete, of all callers.
    """

    __slots__ = ('_share',)

    def __init__(
        self, server: web.Server, on_close: OnClose, held: HeldBytes
    ) -> None:
        """Initialise with the limits of calls."""
        super().__init__(server, on_close, _LIMITS)
        self._share = HeldShare(held, self._end, _has_progressed)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and count an open head."""
        super().data_received(data)
        size = self._framing.head_bytes * _HEAD_FACTOR
        if size and not self._is_closed:
            self._share.owe(has_progressed=True)
            self._share.resize(size)
        elif self._share.size:
            self._share.release()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Hold nothing for the connection."""
        self._share.release()
        super().connection_lost(exc)

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

    def _end(self) -> None:
        self.abort('no room for heads')


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
        partial(CallConnection, held=HeldBytes()),
    )


def _has_progressed() -> bool:
    """Return False, since callers with an open head have no answer to read."""
    return False


def _error_fault(status: int, error: BaseException | None) -> CallFault:
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return not_run(HTTPStatus(status), 'request is malformed')
    _LOG.error('call failed inside the node', exc_info=error)
    return unknown(HTTPStatus(status), 'call failed inside the node')
