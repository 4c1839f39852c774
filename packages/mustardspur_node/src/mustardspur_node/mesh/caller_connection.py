"""A caller's connection."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
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
    encode_answer,
    own_answer,
)
from mustardspur_node.mesh.caller_timers import CallerTimers

READ_BUFFER_BYTES: Final = 65_536
MAX_HEADERS: Final = 256
# Requests of one connection that are worked on at a time; a caller that
# sends more is not read until answers have gone out.
MAX_PENDING: Final = 32
# Time in which a caller reads the last answer and closes its side. Closing
# with unread bytes would reset the connection and lose the answer.
LINGER_S: Final = 1.0
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'

_Message = tuple[RawRequestMessage, StreamReader]
ReadBody = Callable[[], Awaitable[bytes]]
Answer = Callable[
    [RawRequestMessage, ReadBody],
    Coroutine[Any, Any, CallerAnswer],
]


class BodyFault(Exception):
    """A request body that is too long or broken."""

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        """Keep what the caller is told."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


class _Pending:
    """A request whose answer has not gone out."""

    __slots__ = ('answer', 'keeps', 'method')

    def __init__(
        self,
        method: str,
        answer: 'asyncio.Future[CallerAnswer]',
        *,
        keeps: bool,
    ) -> None:
        self.method = method
        self.keeps = keeps
        self.answer = answer


class CallerConnection(BaseProtocol):
    """Reads requests, works on them together and answers them in order.

    Parameters
    ----------
    limits : CallerLimits
        What the caller may send.
    answer : callable
        Answers a request.
    closing : callable
        Whether the node wants its callers to leave.
    """

    __slots__ = (
        '_answer',
        '_closing',
        '_ended',
        '_limits',
        '_pending',
        '_refusing',
        '_timers',
        '_wake',
        '_writer',
    )

    def __init__(
        self,
        limits: CallerLimits,
        answer: Answer,
        closing: Callable[[], bool],
    ) -> None:
        """Start without requests."""
        loop = asyncio.get_running_loop()
        super().__init__(loop)
        self._limits = limits
        self._answer = answer
        self._closing = closing
        self._pending: deque[_Pending] = deque()
        self._wake = asyncio.Event()
        self._ended = False
        self._refusing = False
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
        self._parser: Any = HttpRequestParser(
            self,
            loop,
            READ_BUFFER_BYTES,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=MAX_HEADERS,
            payload_exception=ConnectionError,
            auto_decompress=False,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to answer."""
        super().connection_made(transport)
        self._writer = self._loop.create_task(self._write_answers())
        self._timers.restart_idle()

    def data_received(self, received: bytes) -> None:
        """Start to work on the requests that are complete up to the body."""
        if self._ended:
            return
        try:
            messages, _, _ = self._parser.feed_data(received)
        except HttpProcessingError as error:
            self._refuse(error)
            return
        for message, payload in messages:
            self._start(message, payload)
        if received and not messages and not self._pending:
            self._timers.start_head()

    def eof_received(self) -> bool:
        """Take the end of a caller's side for its leaving."""
        return False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel everything, as nobody waits for the answers."""
        self._ended = True
        self._timers.cancel()
        for pending in self._pending:
            pending.answer.cancel()
        if self._writer is not None:
            self._writer.cancel()
        super().connection_lost(exc)

    def close_idle(self) -> None:
        """Close the connection if no request is open on it."""
        if not self._pending and not self._ended:
            self._finish()

    def leave(self) -> None:
        """Take no further request; close after the last open one."""
        self._refusing = True
        self.close_idle()

    def _start(self, message: RawRequestMessage, payload: StreamReader) -> None:
        if self._ended or self._refusing:
            return
        self._timers.cancel()

        read_body = partial(self._read_body, message, payload)
        task = self._loop.create_task(self._answer(message, read_body))
        keeps = not message.should_close
        self._pending.append(_Pending(message.method, task, keeps=keeps))
        self._wake.set()
        if len(self._pending) >= MAX_PENDING:
            self._pause_reading_for_buffer()

    async def _read_body(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
    ) -> bytes:
        expected = message.headers.get('expect', '')
        if expected.lower() == '100-continue' and self.transport:
            self.transport.write(_CONTINUE)
        return await _read_whole(payload, self._limits.body_bytes)

    def _refuse(self, error: HttpProcessingError) -> None:
        status = HTTPStatus.BAD_REQUEST
        if isinstance(error, LineTooLong):
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        self._refuse_with(status, f'request is malformed: {error.message}')

    def _refuse_with(self, status: HTTPStatus, reason: str) -> None:
        self._ended = True
        self._timers.cancel()
        refusal: asyncio.Future[CallerAnswer] = self._loop.create_future()
        refusal.set_result(own_answer(status, reason, closes=True))
        self._pending.append(_Pending('GET', refusal, keeps=False))
        self._wake.set()

    async def _write_answers(self) -> None:
        while True:
            while not self._pending:
                self._wake.clear()
                self._timers.restart_idle()
                await self._wake.wait()
            await self._write_first()
            self._pending.popleft()
            if self._buffer_paused and len(self._pending) < MAX_PENDING:
                self._resume_reading_for_buffer()

    async def _write_first(self) -> None:
        first = self._pending[0]
        answer = await first.answer
        transport = self.transport
        if transport is None:
            return
        last = len(self._pending) == 1
        closes = answer.closes or not first.keeps
        closes = closes or (last and self._closing())
        if closes:
            self._ended = True
        transport.write(encode_answer(answer, first.method, closes=closes))
        await self._drain_helper()
        if closes:
            self._finish()
            # Whatever was sent behind counts as not read.
            await asyncio.sleep(LINGER_S)

    def _finish(self) -> None:
        """End the own side; close once the caller has, or after a while."""
        self._ended = True
        self._timers.cancel()
        for pending in list(self._pending)[1:]:
            pending.answer.cancel()
        transport = self.transport
        if transport is None:
            return
        if transport.can_write_eof():
            transport.write_eof()
        self._loop.call_later(LINGER_S, transport.close)


async def _read_whole(payload: StreamReader, limit: int) -> bytes:
    if payload is EMPTY_PAYLOAD:
        return b''
    parts: list[bytes] = []
    size = 0
    while not payload.at_eof():
        try:
            part = await payload.readany()
        except (HttpProcessingError, OSError) as error:
            raise BodyFault(
                HTTPStatus.BAD_REQUEST,
                'request body is malformed',
            ) from error
        size += len(part)
        if size > limit:
            raise BodyFault(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'request body is over {limit} bytes',
            )
        parts.append(part)
    return b''.join(parts)
