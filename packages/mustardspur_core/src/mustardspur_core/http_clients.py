"""Connections of the clients of an HTTP interface, within limits."""

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.http_parser import HttpRequestParser
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestPayloadError

from mustardspur_core.connection_end import end_writing, hold_last_segment
from mustardspur_core.framing_limits import (
    DEFAULT_FRAMING_BYTES,
    FramingLimits,
    FramingTooLarge,
    HeadTooLarge,
)
from mustardspur_core.http_client_timer import ClientTimer
from mustardspur_core.refusals import LINGER_S, plain_answer

_LOG: Final = logging.getLogger(__name__)

# Longest head with the empty lines before it.
MAX_HEAD_BYTES: Final = 16_384
MAX_HEADERS: Final = 128
# A connection may hold three times as much of a body that is not read.
_READ_BUFFER_BYTES: Final = 16_384
# From the first byte of a head to its end.
HEAD_S: Final = 10.0
# Without a request.
IDLE_S: Final = 300.0
# For the rest of a body that its request did not need.
_REST_S: Final = 3.0

_TOO_LARGE: Final = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
_REFUSAL: Final = plain_answer(_TOO_LARGE, text=_TOO_LARGE.phrase)

OnClose = Callable[[str], None]


class HeadLimits:
    """Limits on the head of a request.

    Parameters
    ----------
    head_bytes : int, optional
        Longest head, with the empty lines before it.
    line_bytes : int, optional
        Longest line of it.
    headers : int, optional
        Most headers.
    refusal : bytes, optional
        Answer to a request whose head is longer.
    """

    __slots__ = ('head_bytes', 'headers', 'line_bytes', 'refusal')

    def __init__(
        self,
        head_bytes: int = MAX_HEAD_BYTES,
        line_bytes: int = MAX_HEAD_BYTES,
        headers: int = MAX_HEADERS,
        refusal: bytes = _REFUSAL,
    ) -> None:
        """Initialise from the limits."""
        self.head_bytes = head_bytes
        self.line_bytes = line_bytes
        self.headers = headers
        self.refusal = refusal


_DEFAULT_LIMITS: Final = HeadLimits()


class ClientConnection(web.RequestHandler):
    """Connection of a client, with one request at a time.

    Explanation
    ===========

    The parser of aiohttp limits lines and their number, not a whole head nor
    the framing of a body, and would parse further requests, with their
    bodies, behind one that is not answered.

    Parameters
    ----------
    server : web.Server
        Server of the application.
    on_close : callable
        Called with the reason before a connection is closed at a limit.
    limits : HeadLimits, optional
        Limits on the head of a request.

    Attributes
    ----------
    timer : ClientTimer
        Time that the client takes.
    """

    __slots__ = (
        '_body',
        '_framing',
        '_is_closed',
        '_is_handling',
        '_limits',
        '_on_close',
        '_unparsed',
        'timer',
    )

    def __init__(
        self,
        server: web.Server,
        on_close: OnClose,
        limits: HeadLimits = _DEFAULT_LIMITS,
    ) -> None:
        """Initialise without a connection."""
        loop = asyncio.get_running_loop()
        super().__init__(
            server,
            loop=loop,
            # aiohttp accepts None for no access log.
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=IDLE_S,
            lingering_time=_REST_S,
            read_bufsize=_READ_BUFFER_BYTES,
        )
        parser: Any = HttpRequestParser(
            self,
            loop,
            _READ_BUFFER_BYTES,
            max_line_size=limits.line_bytes,
            max_field_size=limits.line_bytes,
            max_headers=limits.headers,
            payload_exception=RequestPayloadError,
            auto_decompress=False,
            # The parser pauses behind each request.
            max_msg_queue_size=1,
        )
        self._parser = parser
        self._limits = limits
        self._on_close = on_close
        self._framing = FramingLimits()
        self._body: StreamReader = EMPTY_PAYLOAD
        # From the end of a head to the end of the answer.
        self._is_handling = False
        self._is_closed = False
        # Received behind a request that is not answered.
        self._unparsed = b''
        self.timer = ClientTimer(self.abort)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the handling of the connection."""
        self._is_closed = True
        self.timer.stop()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, but none behind an open request."""
        if self._is_closed or self._close or self._force_close:
            return
        if self._is_handling:
            self._receive_body(data)
        else:
            self._receive_head(data)

    def pause_writing(self) -> None:
        """Bound the time in which a client reads nothing."""
        super().pause_writing()
        if self.transport is not None:
            self.timer.limit_reading(self.transport)

    def resume_writing(self) -> None:
        """Go on with an answer."""
        super().resume_writing()
        self.timer.stop()

    @property
    def is_displaceable(self) -> bool:
        """Whether the connection waits for its client, and for nothing else."""
        return not self._reading_paused and self.timer.since is not None

    def abort(self, reason: str) -> None:
        """Close the connection at a limit."""
        self._is_closed = True
        self.timer.stop()
        if self.transport is not None:
            self._on_close(reason)
            self.transport.abort()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send an answer, then go on with what was received behind it."""
        if self._close:
            resp.force_close()
        finished = await super().finish_response(request, resp, start_time)
        # Not before the rest of the body is discarded.
        self._loop.call_soon(self._go_on)
        return finished

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a request that is malformed or has failed."""
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            _LOG.error('request failed unexpectedly', exc_info=exc)
        if request.writer.output_size > 0:
            raise ConnectionError('response has already been started')
        if isinstance(exc, LineTooLong):
            status = _TOO_LARGE
        # The message of the error contains what was received.
        response = web.Response(status=status, text=HTTPStatus(status).phrase)
        response.force_close()
        return response

    def _receive_head(self, received: bytes) -> None:
        requests = self._request_count
        web.RequestHandler.data_received(self, received)
        if self._request_count != requests:
            self._start_request()
            return
        try:
            self._framing.add_head(len(received), self._limits.head_bytes)
        except HeadTooLarge:
            self._refuse_head()
            return
        if self._framing.head_bytes and not self.timer.is_running:
            self.timer.limit(HEAD_S, 'head not complete in time')

    def _start_request(self) -> None:
        self._framing.complete_head()
        self._is_handling = True
        self.timer.stop()
        self._body = self._messages[-1][1]
        if not self._body.is_eof():
            self.timer.wait()
        if getattr(self._messages[-1][0], 'upgrade', False):
            # Another protocol is not spoken here, and what follows in it is no
            # request.
            self.close()

    def _receive_body(self, received: bytes) -> None:
        if self._body.is_eof():
            if received:
                self._unparsed += received
                self._pause_reading_for_buffer()
            return
        web.RequestHandler.data_received(self, received)
        if self._body.is_eof():
            self.timer.stop()
            return
        self.timer.wait()
        try:
            self._framing.add_body(
                len(received),
                self._body.total_bytes,
                DEFAULT_FRAMING_BYTES,
            )
        except FramingTooLarge:
            self.abort('framing of a body')

    def _go_on(self) -> None:
        """Parse what was received behind a request that is answered."""
        if self._is_closed or self._close or self._force_close:
            return
        if not self._body.is_eof():
            # The rest of the body is read for a moment, then the connection
            # is closed.
            self._loop.call_later(_REST_S, self._go_on)
            return
        self._is_handling = False
        self.timer.wait()
        unparsed = self._unparsed
        self._unparsed = b''
        # The parser may hold a further request as well.
        self._receive_head(unparsed)
        if self._buffer_paused:
            self._resume_reading_for_buffer()

    def _refuse_head(self) -> None:
        """Answer a request that is not parsed, and close."""
        if self.transport is None:
            return
        self._on_close(_TOO_LARGE.phrase)
        self._is_closed = True
        transport = self.transport
        hold_last_segment(transport)
        transport.write(self._limits.refusal)
        end_writing(transport)
        # What arrives meanwhile is ignored; unread, it would reset the
        # connection before the client has read the answer.
        self.timer.stop()
        # The first one that is closed for a new connection.
        self.timer.since = float('-inf')
        self._loop.call_later(LINGER_S, transport.abort)
