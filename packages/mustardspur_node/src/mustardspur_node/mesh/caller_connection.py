"""HTTP/1.1 connection of a caller."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from functools import partial
from http import HTTPStatus
from typing import Any, Final

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError
from aiohttp.http_exceptions import LineTooLong
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from mustardspur_core.mesh.model import CallerLimits

from mustardspur_node.mesh.caller_answers import (
    CallerAnswer,
    node_answer,
    write_answer,
)
from mustardspur_node.mesh.caller_linger import LINGER_S, Linger
from mustardspur_node.mesh.caller_timers import CallerTimers
from mustardspur_node.mesh.request_body import RequestBody
from mustardspur_node.mesh.socket_state import has_arrived

_LOG: Final = logging.getLogger(__name__)

_HEAD_END: Final = b'\r\n\r\n'
READ_BUFFER_BYTES: Final = 65_536
MAX_HEADERS: Final = 256
# Requests in flight on one connection; at this limit reading pauses until
# answers have been written.
MAX_REQUESTS_IN_FLIGHT: Final = 32
# Time after the connect within which a caller sends its first request.
FIRST_REQUEST_S: Final = 0.5
# Why the call of a caller is cancelled.
CALLER_LEFT: Final = 'the caller left'

_Message = tuple[RawRequestMessage, StreamReader]
Answer = Callable[
    [RawRequestMessage, RequestBody],
    Coroutine[Any, Any, CallerAnswer],
]


class _Pending:
    """A request whose answer has not been written."""

    __slots__ = ('answer', 'body', 'is_written', 'keep_alive', 'method')

    def __init__(
        self,
        method: str,
        answer: 'asyncio.Future[CallerAnswer]',
        body: RequestBody | None = None,
        *,
        keep_alive: bool,
    ) -> None:
        self.method = method
        self.keep_alive = keep_alive
        self.answer = answer
        self.body = body
        # The answer may still wait for the caller to read it.
        self.is_written = False

    @property
    def within_body(self) -> bool:
        """Whether a part of the request's body has not been received."""
        return self.body is not None and self.body.is_incomplete

    def end(self) -> None:
        """Hold the answer no longer."""
        if self.body is not None:
            self.body.end_answer()


class CallerConnection(BaseProtocol):
    """Handles pipelined requests concurrently and answers them in order.

    Parameters
    ----------
    limits : callable
        Returns the limits in force on the size and time of requests.
    answer : callable
        Coroutine function that answers a request.
    node_is_draining : callable
        Whether connections are closed after the last pending answer.
    """

    __slots__ = (
        '_answer',
        '_body',
        '_connected_s',
        '_has_head_part',
        '_header_bytes',
        '_is_closing',
        '_is_ending',
        '_limits',
        '_linger',
        '_node_is_draining',
        '_pending',
        '_pending_added',
        '_received_any',
        '_timers',
        '_writer',
    )

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        answer: Answer,
        node_is_draining: Callable[[], bool],
    ) -> None:
        """Initialise the connection without requests."""
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        self._limits = limits
        self._answer = answer
        self._node_is_draining = node_is_draining
        self._pending: deque[_Pending] = deque()
        self._pending_added = asyncio.Event()
        # What is received is ignored.
        self._is_closing = False
        # No further request is started; the last answer closes the connection.
        self._is_ending = False
        # Body of the latest request.
        self._body: StreamReader = EMPTY_PAYLOAD
        self._connected_s: float = loop.time()
        self._received_any = False
        # Whether a part of a head arrived before the answer to a request.
        self._has_head_part = False
        self._linger: Linger | None = None
        self._writer: asyncio.Task[None] | None = None
        self._timers = CallerTimers(
            limits,
            partial(
                self._refuse_with,
                HTTPStatus.REQUEST_TIMEOUT,
                'request head did not arrive in time',
            ),
            self.close_idle,
        )
        # Fixed in the parser.
        self._header_bytes = limits().header_bytes
        self._parser: Any = HttpRequestParser(
            self,
            loop,
            READ_BUFFER_BYTES,
            max_line_size=self._header_bytes,
            max_field_size=self._header_bytes,
            max_headers=MAX_HEADERS,
            payload_exception=ConnectionError,
            auto_decompress=False,
        )

    @property
    def is_answered(self) -> bool:
        """Whether the last answer was written, and the caller could read it."""
        return self._linger is not None and self._linger.is_sufficient

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start writing answers and the idle timer."""
        super().connection_made(transport)
        self._writer = self._loop.create_task(self._write_answers())
        self._writer.add_done_callback(partial(_end_if_failed, transport))
        self._timers.restart_idle()

    def data_received(self, received: bytes) -> None:
        """Start the requests whose heads are complete."""
        if self._is_closing:
            if self._linger is not None:
                self._linger.receive()
            return
        self._received_any = True
        is_within_body = not self._body.is_eof()
        try:
            messages, _, _ = self._parser.feed_data(received)
        except HttpProcessingError as error:
            self._refuse_malformed(error)
            return
        for message, payload in messages:
            self._start(message, payload)
        if messages and messages[-1][0].upgrade and _goes_on(received):
            # The parser has dropped what follows, which the caller sends
            # again, since the answer closes.
            self._is_ending = True
        if not received or messages or is_within_body:
            return
        if self._pending:
            self._has_head_part = True
        else:
            self._timers.start_head()

    def eof_received(self) -> bool:
        """Cancel all requests and close when the caller closes its side."""
        self._is_closing = True
        _cancel(self._pending)
        return False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel all requests, since their answers cannot be sent."""
        self._is_closing = True
        self._timers.cancel()
        _cancel(self._pending)
        if self._writer is not None:
            self._writer.cancel()
        super().connection_lost(exc)

    def close_idle(self) -> None:
        """Close the connection if no request is in flight or has arrived."""
        if self._pending or self._is_closing:
            return
        if has_arrived(self.transport):
            self._timers.restart_idle()
            return
        self._close_gracefully()

    def drain(self) -> None:
        """Accept no further requests; close now if none is in flight.

        A new connection is left open for `FIRST_REQUEST_S`, since its first
        request is on its way, and one whose caller is sending a head until it
        is complete or late.
        """
        age_s = self._loop.time() - self._connected_s
        if not self._received_any and age_s < FIRST_REQUEST_S:
            return
        if self._timers.is_receiving_head:
            return
        if self._pending and self._pending[-1].is_written:
            # That answer may not have said that it closes. The next call of
            # this method finds the connection idle or another request.
            return
        if self._pending:
            self._is_ending = True
        else:
            # If a request has arrived, the next call finds it in flight, or
            # answered. It is started, as the connection is not ending yet.
            self.close_idle()

    def _start(self, message: RawRequestMessage, payload: StreamReader) -> None:
        if self._is_closing or self._is_ending:
            # The caller sends it again, since the answer before it closes.
            self._is_closing = True
            return
        self._timers.start_request()
        self._has_head_part = False
        self._body = payload
        limit = self._limits().body_bytes
        body = RequestBody(message, payload, limit, self.transport)
        task = self._loop.create_task(
            _answer_unless_left(self._answer, message, body)
        )
        keep_alive = not message.should_close
        self._pending.append(
            _Pending(message.method, task, body, keep_alive=keep_alive)
        )
        self._pending_added.set()
        if len(self._pending) >= MAX_REQUESTS_IN_FLIGHT:
            self._pause_reading_for_buffer()

    def _refuse_malformed(self, error: HttpProcessingError) -> None:
        is_behind = self._body.is_eof()
        if is_behind and self._is_ending and self._pending:
            # The last answer closes, and this belongs to none.
            self._is_closing = True
            return
        if is_behind:
            is_outdated = self._header_bytes < self._limits().header_bytes
            self._refuse_with(
                *_malformed_request(error, is_outdated=is_outdated),
            )
            return
        # The answer to the request of this body says that it is malformed.
        self._is_closing = True
        self._is_ending = True
        self._body.set_exception(error)
        if not self._pending:
            self._close_gracefully()

    def _refuse_with(self, status: HTTPStatus, reason: str) -> None:
        self._is_closing = True
        self._is_ending = True
        self._timers.cancel()
        refusal: asyncio.Future[CallerAnswer] = self._loop.create_future()
        refusal.set_result(node_answer(status, reason, closes=True))
        self._pending.append(_Pending('GET', refusal, keep_alive=False))
        self._pending_added.set()

    async def _write_answers(self) -> None:
        while True:
            while not self._pending:
                self._pending_added.clear()
                if self._has_head_part:
                    self._timers.start_head()
                else:
                    self._timers.restart_idle()
                await self._pending_added.wait()
            await self._write_first()
            self._pending.popleft().end()
            if (
                self._buffer_paused
                and len(self._pending) < MAX_REQUESTS_IN_FLIGHT
            ):
                self._resume_reading_for_buffer()

    async def _write_first(self) -> None:
        first = self._pending[0]
        answer = await first.answer
        transport = self.transport
        if transport is None:
            return
        # Nobody reads the rest of a body, nor a request behind it.
        if answer.closes or not first.keep_alive or first.within_body:
            self._is_ending = True
        # Calls of later requests may be running at targets, so their answers
        # go first; their callers would otherwise make them again.
        is_last = len(self._pending) == 1
        closes = is_last and (self._is_ending or self._node_is_draining())
        if closes:
            self._is_closing = True
        write_answer(transport, answer, first.method, closes=closes)
        first.is_written = True
        await self._drain_helper()
        if closes:
            self._close_gracefully()
            # Requests received after this answer are not processed.
            await asyncio.sleep(LINGER_S)

    def _close_gracefully(self) -> None:
        """Close the write side, and the connection once the caller is quiet."""
        self._is_closing = True
        self._timers.cancel()
        transport = self.transport
        if transport is None:
            return
        if transport.can_write_eof():
            transport.write_eof()
        # Reading may be paused within a body whose rest is discarded.
        self._resume_transport_reading()
        within_body = bool(self._pending) and self._pending[0].within_body
        self._linger = Linger(transport, within_body=within_body)


def _malformed_request(
    error: HttpProcessingError,
    *,
    is_outdated: bool,
) -> tuple[HTTPStatus, str]:
    """Return the status and reason of the refusal of a malformed request.

    Parameters
    ----------
    error : HttpProcessingError
        What is wrong with its head.
    is_outdated : bool
        Whether a new connection would allow longer headers.
    """
    if is_outdated and isinstance(error, LineTooLong):
        return (
            HTTPStatus.SERVICE_UNAVAILABLE,
            'the limit of headers was raised after the connection',
        )
    status = HTTPStatus.BAD_REQUEST
    if isinstance(error, LineTooLong):
        status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    # The message of the error contains the line, which may have a key.
    return status, f'request is malformed: {type(error).__name__}'


async def _answer_unless_left(
    answer: Answer,
    message: RawRequestMessage,
    body: RequestBody,
) -> CallerAnswer:
    # After a delay of the loop, the close of a caller that gave up can wait
    # behind its request. It is read in the next iteration.
    await asyncio.sleep(0)
    try:
        return await answer(message, body)
    except Exception:
        # Whether a target has run it is unknown, so the answer promises
        # nothing.
        _LOG.exception('request failed unexpectedly')
        return node_answer(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            'unexpected error of the node',
        )


def _goes_on(received: bytes) -> bool:
    """Return whether bytes follow the first head."""
    return bool(received.partition(_HEAD_END)[2])


def _end_if_failed(
    transport: asyncio.BaseTransport,
    writer: 'asyncio.Task[None]',
) -> None:
    """End a connection on which no answer can be written any more."""
    if not writer.cancelled() and writer.exception() is not None:
        _LOG.error('answers are not written', exc_info=writer.exception())
        transport.close()


def _cancel(requests: Iterable[_Pending]) -> None:
    for request in requests:
        request.answer.cancel(CALLER_LEFT)
        request.end()
