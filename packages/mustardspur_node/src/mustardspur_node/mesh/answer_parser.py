"""Parsing of a target's answers."""

import asyncio
from http import HTTPStatus
from typing import Any, Final

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from mustardspur_node.mesh.calls import Headers
from mustardspur_node.mesh.names import HOP_BY_HOP

READ_BUFFER_BYTES: Final = 65_536
MAX_HEADER_BYTES: Final = 65_536
MAX_HEADERS: Final = 256
# Answers are held whole so that a broken one is never passed on as complete.
MAX_ANSWER_BYTES: Final = 67_108_864
_CONNECTION_HEADERS: Final = ('content-length', 'transfer-encoding')
_BODYLESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))

Message = tuple[RawResponseMessage, StreamReader]


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


class AnswerParser:
    """The answers on a connection, from a request to the next one.

    Parameters
    ----------
    protocol : BaseProtocol
        The connection, whose reading the parser can pause.
    """

    __slots__ = (
        '_arrived',
        '_failure',
        '_payload',
        '_protocol',
        '_raw',
        'messages',
        'parser',
    )

    def __init__(self, protocol: BaseProtocol) -> None:
        """Start without a request."""
        self._protocol = protocol
        self._arrived = asyncio.Event()
        self._failure: BaseException | None = None
        self._payload: StreamReader | None = None
        self._raw = b''
        self.messages: list[Message] = []
        self.parser: Any = None

    @property
    def has_more(self) -> bool:
        """Whether anything came behind the answer that was read."""
        return bool(self.messages) or self._failure is not None

    def begin(self, method: str) -> None:
        """Expect the answer to a request."""
        self.messages.clear()
        self._payload = None
        self._raw = b''
        self.parser = self._new_parser(method)

    def feed(self, received: bytes) -> None:
        """Parse bytes; those that are no answer fail the connection."""
        if self._payload is None:
            self._raw += received
        try:
            messages, upgraded, _ = self.parser.feed_data(received)
        except HttpProcessingError as error:
            self._salvage(error)
            return
        if upgraded:
            self.fail(BrokenAnswer('answer switches the protocol'))
            return
        self._take(messages)

    def feed_eof(self) -> None:
        """Note that the target closes; an answer may end with that."""
        if self.parser is None:
            return
        try:
            self.parser.feed_eof()
        except HttpProcessingError as error:
            self.fail(error)

    def fail(self, error: BaseException) -> None:
        """Fail the answer that is not complete."""
        if self._failure is None:
            self._failure = error
        self._arrived.set()
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(BrokenAnswer(f'connection broke: {error!r}'))

    def forget_first(self, payload: StreamReader) -> None:
        """Go on with the next answer after one that was dropped."""
        if self._payload is payload:
            self._payload = None
            self._raw = b''

    async def next_message(self) -> Message:
        """Wait for the head of the next answer.

        Raises
        ------
        BrokenAnswer
            If the connection ends before.
        """
        while not self.messages:
            if self._failure is not None:
                raise BrokenAnswer(
                    f'no answer: {self._failure!r}',
                ) from self._failure
            self._arrived.clear()
            await self._arrived.wait()
        return self.messages.pop(0)

    def _take(self, messages: list[Message]) -> None:
        if messages:
            self._payload = messages[-1][1]
            self.messages.extend(messages)
            self._arrived.set()

    def _salvage(self, error: HttpProcessingError) -> None:
        """Keep a complete answer that arrived together with other bytes.

        The parser drops the answers of a segment in which it finds bytes
        that are none. The first answer is therefore parsed again by itself.
        """
        end = _answer_end(self._raw)
        if self._payload is None and end:
            self.parser = self._new_parser('GET')
            try:
                messages, _, _ = self.parser.feed_data(self._raw[:end])
            except HttpProcessingError as second:
                self.fail(second)
                return
            self._take(messages)
        self.fail(error)

    def _new_parser(self, method: str) -> Any:
        return HttpResponseParser(
            self._protocol,
            asyncio.get_running_loop(),
            READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADERS,
            payload_exception=BrokenAnswer,
            response_with_body=method != 'HEAD',
            read_until_eof=True,
            auto_decompress=False,
        )


async def read_whole(payload: StreamReader) -> bytes:
    """Return the whole body of an answer.

    Raises
    ------
    BrokenAnswer
        If it breaks off or is too long.
    """
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


def check_delimiters(message: RawResponseMessage) -> None:
    """Raise `BrokenAnswer` for an answer that does not state one length."""
    headers: Any = message.headers
    stated = sum(len(headers.getall(name, ())) for name in _CONNECTION_HEADERS)
    if stated > 1:
        raise BrokenAnswer('answer states more than one length')
    if (
        not stated
        and message.code not in _BODYLESS
        and not message.should_close
    ):
        raise BrokenAnswer('answer states no length')
