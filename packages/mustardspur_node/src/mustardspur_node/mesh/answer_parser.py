"""Parser for the HTTP answers of a target."""

import asyncio
import re
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError
from aiohttp.http_exceptions import LineTooLong
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from mustardspur_core.framing_limits import MAX_LENGTH_CHARS

from mustardspur_node.mesh.answer_budget import AnswerTooLong, HeldAnswer
from mustardspur_node.mesh.answer_limits import AnswerLimits, announced_bytes
from mustardspur_node.mesh.calls import Headers
from mustardspur_node.mesh.names import HOP_BY_HOP

READ_BUFFER_BYTES: Final = 65_536
MAX_HEADER_BYTES: Final = 65_536
MAX_HEADERS: Final = 256
CONNECTION_CLOSED: Final = 'connection closed'
CONNECTION_RESET: Final = 'connection reset'
_CONNECTION_HEADERS: Final = ('content-length', 'transfer-encoding')
_STATUSES_WITHOUT_BODY: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)
_BODILESS_HEAD: Final = re.compile(rb'HTTP/1\.\d (204|304) ')

Message = tuple[RawResponseMessage, StreamReader]


class BrokenAnswer(Exception):
    """The connection or answer is broken; the call may have run.

    Its text is one of a fixed set and carries nothing that was received.
    """


# Returns whether an answer is the one to the request; raises `BrokenAnswer` if
# none can be.
IsWanted = Callable[[RawResponseMessage], bool]


class RawAnswer:
    """A completely read answer without hop-by-hop headers."""

    __slots__ = ('body', 'headers', 'reason', 'status')

    def __init__(self, message: RawResponseMessage, body: bytes) -> None:
        """Initialise the answer with the end-to-end headers."""
        self.status = int(message.code)
        self.reason = message.reason
        self.body = body
        self.headers: Headers = [
            [name, text]
            for name, text in message.headers.items()
            if name.lower() not in HOP_BY_HOP
        ]

    @property
    def failed(self) -> bool:
        """Whether the target failed the request."""
        return self.status >= HTTPStatus.INTERNAL_SERVER_ERROR

    def header(self, name: str) -> str | None:
        """Return the value of a header, None if it is absent."""
        wanted_name = name.lower()
        for stored_name, text in self.headers:
            if stored_name.lower() == wanted_name:
                return text
        return None


class ExpectedAnswer:
    """What the answer to a request has to be.

    Parameters
    ----------
    is_wanted : callable
        Whether an answer is the one to the request.
    limits : AnswerLimits
        Limits on the answer.
    held : HeldAnswer or None
        Holds the body; None to discard it.
    """

    __slots__ = ('held', 'is_wanted', 'limits')

    def __init__(
        self,
        is_wanted: IsWanted,
        limits: AnswerLimits,
        held: HeldAnswer | None,
    ) -> None:
        """Initialise the expectation."""
        self.is_wanted = is_wanted
        self.limits = limits
        self.held = held


class AnswerParser:
    """Receives the answer to one request at a time.

    Explanation
    ===========

    Each read is parsed, counted against the limits and kept or discarded as it
    arrives. Nothing is parsed once the answer is complete or has failed, and
    nothing that was received is held after `end`.

    Parameters
    ----------
    protocol : BaseProtocol
        The connection.

    Attributes
    ----------
    failure : str
        Why there is no answer, empty if nothing failed.
    has_more : bool
        Whether anything followed the answer.
    """

    __slots__ = (
        '_answer',
        '_changed',
        '_expected',
        '_message',
        '_payload',
        '_protocol',
        '_raw',
        'failure',
        'has_more',
        'parser',
    )

    def __init__(self, protocol: BaseProtocol) -> None:
        """Initialise the parser without a request."""
        self._protocol = protocol
        self._changed = asyncio.Event()
        self._answer: RawAnswer | None = None
        self._expected: ExpectedAnswer | None = None
        # The wanted answer while its body is open.
        self._message: RawResponseMessage | None = None
        self._payload: StreamReader | None = None
        # What was received since the latest answer, up to the next head.
        self._raw = b''
        self.failure = ''
        self.has_more = False
        self.parser: Any = None

    def begin(self, method: str, expected: ExpectedAnswer) -> None:
        """Prepare to receive the answer to a request."""
        if not self.failure:
            self._changed.clear()
        self.has_more = False
        self._expected = expected
        self.parser = self._new_parser(method)

    def end(self) -> None:
        """Hold nothing of what was received."""
        self._answer = None
        self._expected = None
        self._message = None
        self._payload = None
        self._raw = b''
        self.parser = None

    def feed(self, received: bytes) -> None:
        """Parse received bytes; fail if they are not a valid answer."""
        if self._is_over or self._expected is None:
            self.has_more = self.has_more or bool(received)
            return
        try:
            self._receive(received, self._expected)
        except HttpProcessingError as error:
            if not self._recover_answer(self._expected):
                self.fail(_fault_of(error, is_head=self._payload is None))
        except (AnswerTooLong, BrokenAnswer) as error:
            self.fail(str(error))

    def feed_eof(self) -> None:
        """Handle the end of the stream, which may complete an answer."""
        if self._is_over or self._expected is None:
            return
        try:
            self._receive_eof(self._expected)
        except HttpProcessingError:
            self.fail(CONNECTION_CLOSED)
        except AnswerTooLong as error:
            self.fail(str(error))

    def fail(self, reason: str) -> None:
        """Fail the incomplete answer; only the first reason is stored."""
        if not self._is_over:
            stage = 'no answer' if self._payload is None else 'answer broke off'
            self.failure = f'{stage}: {reason}'
            self._changed.set()

    async def next_answer(self) -> RawAnswer:
        """Wait for the answer.

        Raises
        ------
        BrokenAnswer
            If there is no complete one.
        """
        await self._changed.wait()
        if self._answer is None:
            raise BrokenAnswer(self.failure)
        return self._answer

    @property
    def _is_over(self) -> bool:
        return self._answer is not None or bool(self.failure)

    def _receive(self, received: bytes, expected: ExpectedAnswer) -> None:
        payload = self._payload
        if payload is None:
            self._raw += received
        messages, upgraded, _ = self.parser.feed_data(received)
        if upgraded:
            raise BrokenAnswer('answer switches the protocol')
        if payload is not None:
            self._receive_body(payload, len(received), expected)
        self._begin_answers(messages, expected)
        if payload is None and self._payload is None and not self._is_over:
            expected.limits.add_head(len(received))

    def _receive_eof(self, expected: ExpectedAnswer) -> None:
        self.parser.feed_eof()
        if self._payload is not None:
            self._receive_body(self._payload, 0, expected)
        self.fail(CONNECTION_CLOSED)

    def _begin_answers(
        self, messages: list[Message], expected: ExpectedAnswer
    ) -> None:
        for message, payload in messages:
            if self._is_over:
                self.has_more = True
                return
            self._raw = b''
            # The parser passes on no body if the length is too large for it.
            announced_bytes(message)
            is_wanted = expected.is_wanted(message)
            self._message = message if is_wanted else None
            self._payload = payload
            if not payload.is_eof():
                expected.limits.begin_body(message)
            self._receive_body(payload, 0, expected)

    def _receive_body(
        self,
        payload: StreamReader,
        size: int,
        expected: ExpectedAnswer,
    ) -> None:
        """Keep or discard what was received of a body."""
        part = b'' if payload is EMPTY_PAYLOAD else payload.read_nowait()
        expected.limits.add_body(max(size, len(part)), len(part))
        message = self._message
        held = None if message is None else expected.held
        if held is not None and part:
            held.add(part)
        if not payload.is_eof():
            return
        self._payload = None
        if message is not None:
            self._answer = RawAnswer(message, held.take() if held else b'')
            self._changed.set()

    def _recover_answer(self, expected: ExpectedAnswer) -> bool:
        """Recover a complete answer that is followed by invalid bytes.

        The parser discards all answers of a segment that contains invalid
        bytes, so the first answer is parsed again on its own. Of an answer
        that began in an earlier segment it has received the rest.

        Returns
        -------
        bool
            Whether it is the one to the request.
        """
        end = _answer_end(self._raw)
        try:
            if self._payload is not None:
                self._receive_body(self._payload, 0, expected)
            elif end:
                self.parser = self._new_parser('GET')
                self._begin_answers(
                    self.parser.feed_data(self._raw[:end])[0], expected
                )
        except (HttpProcessingError, AnswerTooLong, BrokenAnswer):
            return False
        self.has_more = True
        return self._answer is not None

    def _new_parser(self, method: str) -> Any:
        return HttpResponseParser(
            self._protocol,
            asyncio.get_running_loop(),
            READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADERS,
            response_with_body=method != 'HEAD',
            read_until_eof=True,
            auto_decompress=False,
        )


def _fault_of(error: HttpProcessingError, *, is_head: bool) -> str:
    """Return where an error lies; its text carries what was received."""
    part = 'head' if is_head else 'body'
    if isinstance(error, LineTooLong):
        return f'{part} has too long a line'
    return f'malformed {part}'


def _answer_end(raw: bytes) -> int:
    """Return the end offset of an answer by its length, 0 if unknown."""
    head, separator, rest = raw.partition(b'\r\n\r\n')
    if separator and _BODILESS_HEAD.match(head):
        return len(head) + len(separator)
    for line in head.split(b'\r\n')[1:]:
        name, _, stated = line.partition(b':')
        if name.strip().lower() == b'content-length':
            digits = stated.strip()[:MAX_LENGTH_CHARS]
            if separator and digits.isdigit() and int(digits) <= len(rest):
                return len(head) + len(separator) + int(digits)
    return 0


def check_delimiters(message: RawResponseMessage) -> None:
    """Raise `BrokenAnswer` unless the body has exactly one delimiter."""
    headers: Any = message.headers
    stated = sum(len(headers.getall(name, ())) for name in _CONNECTION_HEADERS)
    if stated > 1:
        raise BrokenAnswer('answer states more than one length')
    if (
        not stated
        and message.code not in _STATUSES_WITHOUT_BODY
        and not message.should_close
    ):
        raise BrokenAnswer('answer states no length')
