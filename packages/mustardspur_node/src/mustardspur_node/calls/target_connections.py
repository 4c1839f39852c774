"""Connections to targets, whose answers are bounded."""

import asyncio
from http import HTTPStatus
from typing import Any, Final

from aiohttp import ClientPayloadError, StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import EMPTY_BODY_STATUS_CODES
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD
from mustardspur_core.framing_limits import (
    DEFAULT_FRAMING_BYTES,
    FramingLimits,
    FramingTooLarge,
    HeadTooLarge,
    LengthTooLarge,
    parse_length,
)

# Head of an answer with all that comes before it: empty lines and interim
# answers. The parser limits lines and their number only.
MAX_HEAD_BYTES: Final = 65_536
_HEAD_END: Final = b'\r\n\r\n'

_Message = tuple[RawResponseMessage, StreamReader]


class TargetConnection(ResponseHandler):
    """Connection to a target that carries one call at a time.

    Explanation
    ===========

    The connection of aiohttp parses all that it receives, keeps each message
    until it is read, and states what was received in the text of its errors.
    Here bytes are counted before they are parsed, interim answers are
    discarded, and errors state a reason only. Bytes that belong to no call are
    not parsed and end the connection.

    Parameters
    ----------
    loop : AbstractEventLoop
        The running event loop.
    """

    __slots__ = ('_awaits_head', '_body_left', '_framing', '_has_failed')

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Initialise without a call."""
        super().__init__(loop)
        self._framing = FramingLimits()
        self._awaits_head = False
        # Bytes of a body of a stated length that were not received.
        self._body_left: int | None = None
        self._has_failed = False

    @property
    def stated_bytes(self) -> int:
        """Bytes that a body of a stated length lacks, 0 without one."""
        return self._body_left or 0 if self._is_within_body else 0

    def set_response_params(self, **options: Any) -> None:
        """Begin a call, with the options of its parser."""
        self._framing.complete_head()
        self._awaits_head = True
        super().set_response_params(**options)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; none resume a paused parser."""
        left = data
        while left and self._awaits_head and not self._has_failed:
            left = self._receive_head(left)
        if self._has_failed:
            return
        if self._is_within_body:
            self._receive_body(left)
        elif left:
            self._fail('bytes belong to no call')

    def close(self) -> None:
        """Close the connection, without the rest of an answer."""
        self._end_body('connection closed')
        super().close()

    @property
    def _is_within_body(self) -> bool:
        payload = self._payload
        return payload is not None and not payload.is_eof()

    def _receive_head(self, received: bytes) -> bytes:
        """Parse up to the end of a head; return what follows it."""
        part, end, left = received.partition(_HEAD_END)
        try:
            self._framing.add_head(len(part) + len(end), MAX_HEAD_BYTES)
        except HeadTooLarge:
            self._fail('head of the answer is too long')
            return b''
        for message, payload in self._parse(b''.join((part, end))):
            if _is_final(message):
                self._awaits_head = False
                self._add_message(message, payload)
            elif payload is not EMPTY_PAYLOAD:
                self._fail('interim answer has a body')
        return left

    def _receive_body(self, received: bytes) -> None:
        """Parse a part of a body, or go on with a paused parser."""
        part = received[: self._body_left]
        if self._body_left is not None:
            self._body_left -= len(part)
        surplus = len(received) > len(part)
        if self._parse(part) or surplus:
            self._should_close = True
            # A paused parser has not passed on the end of the body yet.
            if not self._is_within_body:
                self._fail('bytes belong to no call')
        elif self._is_within_body and not self._reading_paused:
            self._count_framing(len(part))

    def _count_framing(self, size: int) -> None:
        payload = self._payload
        assert payload is not None
        try:
            self._framing.add_body(
                size, payload.total_bytes, DEFAULT_FRAMING_BYTES
            )
        except FramingTooLarge:
            self._fail('extensions or trailers of the answer are too long')

    def _parse(self, received: bytes) -> list[_Message]:
        parser = self._parser
        assert parser is not None
        try:
            messages, upgraded, _ = parser.feed_data(received)
        except Exception:
            # The text of the parser's error contains what was received.
            self._fail('answer is malformed')
            return []
        self._upgraded = upgraded
        return list(messages)

    def _add_message(
        self, message: RawResponseMessage, payload: StreamReader
    ) -> None:
        if message.should_close:
            self._should_close = True
        self._payload = payload
        stated = message.headers.get('content-length')
        try:
            self._body_left = None if stated is None else parse_length(stated)
        except LengthTooLarge:
            self._fail('length of the answer is too large')
            return
        body = payload
        if self._skip_payload or message.code in EMPTY_BODY_STATUS_CODES:
            body = EMPTY_PAYLOAD
        self.feed_data((message, body), 0)

    def _fail(self, reason: str) -> None:
        """End the connection, and the answer unless it is complete."""
        self._has_failed = True
        self._end_body(reason)
        self.set_exception(ClientPayloadError(reason))
        if self.transport is not None:
            self.transport.abort()

    def _end_body(self, reason: str) -> None:
        payload = self._payload
        if payload is not None and self._is_within_body:
            payload.set_exception(ClientPayloadError(reason))


def _is_final(message: RawResponseMessage) -> bool:
    """Return whether no further answer of the same call follows."""
    code = message.code
    is_interim = HTTPStatus.CONTINUE <= code < HTTPStatus.OK
    return not is_interim or code == HTTPStatus.SWITCHING_PROTOCOLS
