"""Parsing of a caller's requests, as far as they can be started."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpProcessingError
from aiohttp.http_exceptions import BadHttpMessage, LineTooLong
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from mustardspur_core.framing_limits import (
    FramingLimits,
    FramingTooLarge,
    HeadTooLarge,
)

_HEAD_END: Final = b'\r\n\r\n'
_LINE_END: Final = b'\n'
# A connection holds up to three times as much of a body that is not read.
READ_BUFFER_BYTES: Final = 16_384
# A name, a colon and the end of the line.
_SHORTEST_LINE_BYTES: Final = 4


class CallerIntake:
    """Parses one request at a time, and the next one once it may start.

    Explanation
    ===========

    What is received meanwhile is kept unparsed, and the connection pauses
    reading. So a read with many pipelined requests starts no more of them than
    may be in flight, and none behind a body that is not read.

    Parameters
    ----------
    protocol : BaseProtocol
        The connection, which the parser pauses within a body.
    header_bytes : int
        Longest head, and most bytes of a body in chunks without payload.
    may_start : callable
        Whether a further request may start.
    start : callable
        Starts a request with its body. The third argument says whether it is
        an upgrade behind which the parser may drop bytes.
    refuse : callable
        Refuses what the parser does not accept.

    Attributes
    ----------
    parser : HttpRequestParser
        The parser.
    body : StreamReader
        Body of the latest request.
    head_lines : int
        Lines of the head that is not complete.
    is_held : bool
        Whether requests may have been received that were not started.
    unparsed : bytes
        What was received meanwhile.
    """

    __slots__ = (
        '_framing',
        '_header_bytes',
        '_is_between',
        '_may_start',
        '_refuse',
        '_start',
        'body',
        'head_lines',
        'is_held',
        'parser',
        'unparsed',
    )

    def __init__(
        self,
        protocol: BaseProtocol,
        header_bytes: int,
        may_start: Callable[[], bool],
        start: Callable[[RawRequestMessage, StreamReader, bool], None],
        refuse: Callable[[HttpProcessingError], None],
    ) -> None:
        """Initialise without requests."""
        self._header_bytes = header_bytes
        self._framing = FramingLimits()
        # Whether the parser is known to have no part of a further request.
        self._is_between = True
        self._may_start = may_start
        self._start = start
        self._refuse = refuse
        self.body: StreamReader = EMPTY_PAYLOAD
        self.head_lines = 0
        self.is_held = False
        self.unparsed = b''
        self.parser: Any = HttpRequestParser(
            protocol,
            asyncio.get_running_loop(),
            READ_BUFFER_BYTES,
            max_line_size=header_bytes,
            max_field_size=header_bytes,
            # Only the length of the whole head is limited.
            max_headers=header_bytes // _SHORTEST_LINE_BYTES,
            payload_exception=ConnectionError,
            auto_decompress=False,
            # The parser pauses behind each request.
            max_msg_queue_size=1,
        )

    @property
    def is_within_body(self) -> bool:
        """Whether a part of the latest body has not been received."""
        return not self.body.is_eof()

    def receive(self, received: bytes) -> bool:
        """Parse received bytes, or keep them until a request may start.

        Returns
        -------
        bool
            Whether they are a part of a head that is not complete.
        """
        if not (self.is_held or self.is_within_body or self._may_start()):
            self.is_held = True
        if not self.is_held:
            return self._parse(received)
        self.unparsed += received
        return False

    def go_on(self) -> None:
        """Parse what was kept if a request may start now."""
        if not self.is_held or not self._may_start():
            return
        self.is_held = False
        unparsed = self.unparsed
        self.unparsed = b''
        self._parse(unparsed)

    def close(self) -> None:
        """Hold nothing of what was received, since nothing is parsed."""
        self.parser = None
        self.unparsed = b''

    def end(self) -> None:
        """Hold nothing of what was received; nothing is parsed any more."""
        self.close()
        self.body = EMPTY_PAYLOAD

    def _parse(self, received: bytes) -> bool:
        """Parse and start requests as far as they may start."""
        try:
            return self._parse_next(received)
        except HttpProcessingError as error:
            self._refuse(error)
        except HeadTooLarge:
            self._refuse(LineTooLong(b'head', self._header_bytes))
        except FramingTooLarge:
            self._refuse(BadHttpMessage('extensions or trailers too long'))
        return False

    def _parse_next(self, received: bytes) -> bool:
        is_complete, has_head = self._parse_one(received, received)
        self._is_between = False
        while is_complete:
            # The parser may hold further requests, also of an earlier read.
            if not self._may_start():
                self.is_held = True
                return has_head
            is_complete, _ = self._parse_one(b'', received)
        # A head that is not complete does not end so, but a body may.
        is_without_body = self.body is EMPTY_PAYLOAD
        self._is_between = is_without_body and received.endswith(_HEAD_END)
        return has_head

    def _parse_one(self, part: bytes, received: bytes) -> tuple[bool, bool]:
        """Parse up to the end of a request.

        Returns
        -------
        tuple of bool
            Whether a request is complete, and whether the part belongs to a
            head that is not.
        """
        within_body = self.is_within_body
        messages, _, _ = self.parser.feed_data(part)
        if messages:
            self._framing.complete_head()
            self.head_lines = 0
        elif within_body:
            payload_bytes = self.body.total_bytes
            self._framing.add_body(len(part), payload_bytes, self._header_bytes)
        else:
            self._framing.add_head(len(part), self._header_bytes)
            self.head_lines += part.count(_LINE_END)
        for message, payload in messages:
            self.body = payload
            is_followed = message.upgrade and not self._is_alone(received)
            self._start(message, payload, is_followed)
        has_parsed = within_body or bool(messages)
        is_complete = has_parsed and not self.is_within_body
        return is_complete, bool(part) and not has_parsed

    def _is_alone(self, received: bytes) -> bool:
        """Return whether a read has one head and nothing else."""
        end = len(received) - len(_HEAD_END)
        return self._is_between and received.find(_HEAD_END) == end
