"""Connections of the callers of a node, within limits."""

import logging
from http import HTTPStatus
from typing import Any, Final

from aiohttp import web
from mustardspur_core.http_clients import (
    ClientConnection,
    HeadLimits,
    OnClose,
)
from mustardspur_core.inbound_reads import InboundReads
from mustardspur_core.read_turns import ReadTurns
from mustardspur_core.refusals import plain_answer
from mustardspur_core.repeated_warning import RepeatedWarning
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


def _head_limits() -> HeadLimits:
    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    response = fault_response(not_run(status, 'head is too long'), '')
    refusal = plain_answer(
        status,
        f'{names.OUTCOME}: {Outcome.NOT_RUN}',
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


class CallServer(web.Server):
    """Server that cancels a call when its caller disconnects."""

    def __init__(self, handler: Any) -> None:
        """Initialise without connections."""
        super().__init__(handler, handler_cancellation=True)
        self._turns = ReadTurns()
        self._closed = RepeatedWarning(_LOG, 'caller closed')

    def __call__(self) -> Any:
        """Return the protocol of a new connection."""
        return InboundReads(CallConnection(self, self._report), self._turns)

    def _report(self, reason: str) -> None:
        self._closed.log(reason=reason, connections=len(self.connections))


def _error_fault(status: int, error: BaseException | None) -> CallFault:
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return not_run(HTTPStatus(status), 'request is malformed')
    _LOG.error('call failed inside the node', exc_info=error)
    return unknown(HTTPStatus(status), 'call failed inside the node')
