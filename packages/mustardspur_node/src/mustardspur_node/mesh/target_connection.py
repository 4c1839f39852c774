"""Connections to the target beside the node."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError
from aiohttp.http_exceptions import TransferEncodingError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from mustardspur_core.units import BYTES_PER_MIB

from mustardspur_node.mesh.calls import Headers
from mustardspur_node.mesh.names import HOP_BY_HOP

READ_BUFFER_BYTES: Final = 65_536
MAX_HEADER_BYTES: Final = 65_536
MAX_HEADERS: Final = 256
# Answers are held whole so that a broken one is never passed on as complete.
MAX_ANSWER_BYTES: Final = 64 * BYTES_PER_MIB
# A connection without a stated idle time-out is closed after this time,
# before most targets close it themselves.
DEFAULT_IDLE_S: Final = 2.5
# A stated time-out is in whole seconds and counts from the target's side.
IDLE_MARGIN_S: Final = 0.6
# Answers to earlier requests that may come before the one that is due.
MAX_STRAY_ANSWERS: Final = 4
_CONNECTION_HEADERS: Final = ('content-length', 'transfer-encoding')
_BODYLESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))

_Message = tuple[RawResponseMessage, StreamReader]


class BrokenAnswer(Exception):
    """The connection or the answer broke; the call may have run."""


class RawAnswer:
    """An answer that is read whole."""

    __slots__ = ('body', 'headers', 'reason', 'status')

    def __init__(self, message: RawResponseMessage, body: bytes) -> None:
        """Keep the end-to-end headers."""
        self.status = int(message.code)
        self.reason = message.reason
        self.body = body
        self.headers: Headers = [
            [name, text]
            for name, text in message.headers.items()
            if name.lower() not in HOP_BY_HOP
        ]

    def header(self, name: str) -> str | None:
        """Return a header, None if it is absent."""
        wanted = name.lower()
        for known, text in self.headers:
            if known.lower() == wanted:
                return text
        return None


class TargetConnection(BaseProtocol):
    """One connection to the target; carries one request at a time."""

    __slots__ = (
        '_arrived',
        '_failure',
        '_idle_s',
        '_messages',
        '_payload',
        '_raw',
        '_waiting',
        'idle_since_s',
        'reusable',
    )

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without a request."""
        super().__init__(loop)
        self._messages: list[_Message] = []
        self._arrived = asyncio.Event()
        self._failure: BaseException | None = None
        self._payload: StreamReader | None = None
        self._raw = b''
        self._waiting = False
        self._idle_s = DEFAULT_IDLE_S
        self.idle_since_s = 0.0
        self.reusable = True

    @property
    def is_fresh(self) -> bool:
        """Whether the connection can carry another request."""
        idle_s = self._loop.time() - self.idle_since_s
        transport = self.transport
        return (
            self.reusable
            and transport is not None
            and not transport.is_closing()
            and idle_s < self._idle_s
        )

    def data_received(self, received: bytes) -> None:
        """Parse what the target sent; bytes without a request break it."""
        if not self._waiting or self._parser is None:
            if received:
                self.reusable = False
                self.abort()
            return
        if self._payload is None:
            self._raw += received
        try:
            messages, upgraded, _ = self._parser.feed_data(received)
        except HttpProcessingError as error:
            self._salvage(error)
            return
        if upgraded:
            self._fail(BrokenAnswer('answer switches the protocol'))
            return
        self._take(messages)

    def eof_received(self) -> None:
        """Note that the target closes; an answer may end with that."""
        self.reusable = False
        if self._parser is not None:
            try:
                self._parser.feed_eof()
            except (HttpProcessingError, TransferEncodingError) as error:
                self._fail(error)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail what waits for an answer."""
        self.reusable = False
        self._fail(exc or BrokenAnswer('connection closed'))
        super().connection_lost(exc)

    def abort(self) -> None:
        """Drop the connection, which makes the target drop its request."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    async def exchange(
        self,
        method: str,
        head: bytes,
        body: bytes,
        is_own: Callable[[RawResponseMessage], bool],
    ) -> RawAnswer:
        """Send a request and return its whole answer.

        Parameters
        ----------
        is_own : callable
            Whether an answer belongs to the request. Another one, which is
            late or an extra, is read and dropped.

        Raises
        ------
        BrokenAnswer
            If there is no complete answer; the call may have run.
        """
        self._begin(method)
        transport = self.transport
        if transport is None:
            raise BrokenAnswer('connection closed')
        transport.write(head + body if body else head)
        try:
            answer = await self._own_answer(is_own)
        except BaseException:
            self.abort()
            raise
        self._end(transport)
        return answer

    def _take(self, messages: list[_Message]) -> None:
        if messages:
            self._payload = messages[-1][1]
            self._messages.extend(messages)
            self._arrived.set()

    def _salvage(self, error: HttpProcessingError) -> None:
        """Keep a complete answer that arrived together with other bytes.

        The parser drops the answers of a segment in which it finds bytes
        that are none. The first answer is therefore parsed again by itself.
        """
        end = _answer_end(self._raw)
        if self._payload is None and end:
            first = self._raw[:end]
            self._parser = self._new_parser('GET')
            try:
                messages, _, _ = self._parser.feed_data(first)
            except HttpProcessingError:
                self._fail(error)
                return
            self._take(messages)
        self._fail(error)

    def _begin(self, method: str) -> None:
        self._messages.clear()
        self._payload = None
        self._raw = b''
        self._waiting = True
        self._parser = self._new_parser(method)

    def _new_parser(self, method: str) -> Any:
        return HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADERS,
            payload_exception=BrokenAnswer,
            response_with_body=method != 'HEAD',
            read_until_eof=True,
            auto_decompress=False,
        )

    def _end(self, transport: asyncio.Transport) -> None:
        self._waiting = False
        if self._messages or transport.get_write_buffer_size():
            self.reusable = False
        self.idle_since_s = self._loop.time()
        if not self.reusable:
            transport.close()

    async def _own_answer(
        self,
        is_own: Callable[[RawResponseMessage], bool],
    ) -> RawAnswer:
        for _ in range(MAX_STRAY_ANSWERS):
            message, payload = await self._next_message()
            body = await _read_whole(payload)
            self._note_closing(message)
            if message.code >= HTTPStatus.OK and is_own(message):
                _check_delimiters(message)
                return RawAnswer(message, body)
            if message.code >= HTTPStatus.OK:
                self.reusable = False
            self._forget_first(payload)
        raise BrokenAnswer('answers belong to other requests')

    def _forget_first(self, payload: StreamReader) -> None:
        if self._payload is payload:
            self._payload = None
            self._raw = b''

    async def _next_message(self) -> _Message:
        while not self._messages:
            if self._failure is not None:
                raise BrokenAnswer(
                    f'no answer: {self._failure!r}',
                ) from self._failure
            self._arrived.clear()
            await self._arrived.wait()
        return self._messages.pop(0)

    def _note_closing(self, message: RawResponseMessage) -> None:
        if message.should_close:
            self.reusable = False
        stated = message.headers.get('keep-alive', '')
        for part in stated.split(','):
            name, _, digits = part.strip().partition('=')
            if name.lower() == 'timeout' and digits.isdigit():
                self._idle_s = max(int(digits) - IDLE_MARGIN_S, 0.0)

    def _fail(self, error: BaseException) -> None:
        if self._failure is None:
            self._failure = error
        self.reusable = False
        self._arrived.set()
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(BrokenAnswer(f'connection broke: {error!r}'))


async def _read_whole(payload: StreamReader) -> bytes:
    if payload is EMPTY_PAYLOAD:
        return b''
    parts: list[bytes] = []
    size = 0
    while not payload.at_eof():
        try:
            part = await payload.readany()
        except (BrokenAnswer, HttpProcessingError, OSError) as error:
            raise BrokenAnswer(f'answer broke off: {error!r}') from error
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise BrokenAnswer('answer is too long')
        parts.append(part)
    return b''.join(parts)


def _answer_end(raw: bytes) -> int:
    """Return where an answer with a stated length ends, 0 if unknown."""
    head, separator, rest = raw.partition(b'\r\n\r\n')
    for line in head.split(b'\r\n')[1:]:
        name, _, stated = line.partition(b':')
        if name.strip().lower() == b'content-length':
            digits = stated.strip()
            if separator and digits.isdigit() and int(digits) <= len(rest):
                return len(head) + len(separator) + int(digits)
    return 0


def _check_delimiters(message: RawResponseMessage) -> None:
    headers: Any = message.headers
    stated = sum(
        len(headers.getall(name, ())) for name in _CONNECTION_HEADERS
    )
    if stated > 1:
        raise BrokenAnswer('answer states more than one length')
    if not stated and message.code not in _BODYLESS and not message.should_close:
        raise BrokenAnswer('answer states no length')
