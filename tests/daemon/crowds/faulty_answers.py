"""Answers of a target that sends bytes without end."""

import random
from collections.abc import Callable
from types import MappingProxyType
from typing import Final

# Bytes of one write at least; parts are repeated up to this size.
PART_BYTES: Final = 65_536
_LINE_BYTES: Final = 15_000
_EXTENSION_BYTES: Final = 4_096
_CHUNK_BYTES: Final = 65_536
_STATED_BYTES: Final = 900_000_000_000
_SEED: Final = 56
_STATUS_LINE: Final = b'HTTP/1.1 200 OK\r\n'
_CHUNKED: Final = b'transfer-encoding: chunked\r\n\r\n'
_WHOLE: Final = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood'
_INTERIM: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_NO_CONTENT: Final = b'HTTP/1.1 204 No Content\r\n\r\n'
_TINY_CHUNK: Final = b'1\r\na\r\n'


class FaultyAnswer:
    """Bytes that a target sends for a call.

    Parameters
    ----------
    begin : bytes
        Sent once.
    part : bytes
        Sent again and again behind it.
    is_whole : bool
        Whether a whole answer begins it, which a caller may get.
    """

    __slots__ = ('begin', 'is_whole', 'part')

    def __init__(
        self, begin: bytes, part: bytes, *, is_whole: bool = False
    ) -> None:
        """Initialise from one copy of the part."""
        copies = max(PART_BYTES // len(part), 1)
        self.begin = begin
        self.part = part * copies
        self.is_whole = is_whole


_Build = Callable[[], FaultyAnswer]
_by_name: dict[str, _Build] = {}
ANSWERS_BY_NAME: Final = MappingProxyType(_by_name)


def _answer(function: _Build) -> _Build:
    _by_name[function.__name__] = function
    return function


def _line(size: int) -> bytes:
    return b''.join((b'a: ', b'b' * (size - 5), b'\r\n'))


def _chunk(size: int) -> bytes:
    return b''.join((b'%x\r\n' % size, bytes(size), b'\r\n'))


@_answer
def header_lines() -> FaultyAnswer:
    """Header lines of 15 kB."""
    return FaultyAnswer(_STATUS_LINE, _line(_LINE_BYTES))


@_answer
def legal_header_lines() -> FaultyAnswer:
    """Header lines below the limit of a line."""
    return FaultyAnswer(_STATUS_LINE, _line(8_000))


@_answer
def short_header_lines() -> FaultyAnswer:
    """Header lines of 6 bytes."""
    return FaultyAnswer(_STATUS_LINE, _line(6))


@_answer
def endless_line() -> FaultyAnswer:
    """One header line."""
    return FaultyAnswer(b''.join((_STATUS_LINE, b'a: ')), b'b')


@_answer
def status_line() -> FaultyAnswer:
    """A status line of letters."""
    return FaultyAnswer(b'HTTP/1.1 200 ', b'b')


@_answer
def empty_lines() -> FaultyAnswer:
    """Empty lines before the status line."""
    return FaultyAnswer(b'', b'\r\n')


@_answer
def zeros() -> FaultyAnswer:
    """Zero bytes."""
    return FaultyAnswer(b'', bytes(1))


@_answer
def random_bytes() -> FaultyAnswer:
    """Random bytes."""
    return FaultyAnswer(b'', random.Random(_SEED).randbytes(PART_BYTES))


@_answer
def letters() -> FaultyAnswer:
    """Letters."""
    return FaultyAnswer(b'', b'x')


@_answer
def interim_answers() -> FaultyAnswer:
    """`100 Continue` again and again."""
    return FaultyAnswer(b'', _INTERIM)


@_answer
def early_hints() -> FaultyAnswer:
    """`103 Early Hints` with 15 kB of headers, again and again."""
    line = _line(_LINE_BYTES // 2)
    part = b''.join((b'HTTP/1.1 103 Early Hints\r\n', line, line, b'\r\n'))
    return FaultyAnswer(b'', part)


@_answer
def switched_protocol() -> FaultyAnswer:
    """`101`, then letters."""
    head = (
        b'HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n'
    )
    return FaultyAnswer(head, b'x')


@_answer
def stated_body() -> FaultyAnswer:
    """A body of a stated 900 GB."""
    length = b'content-length: %d\r\n\r\n' % _STATED_BYTES
    return FaultyAnswer(b''.join((_STATUS_LINE, length)), bytes(1))


@_answer
def body_to_the_end() -> FaultyAnswer:
    """A body to the end of the connection."""
    return FaultyAnswer(b''.join((_STATUS_LINE, b'\r\n')), bytes(1))


@_answer
def old_body_to_the_end() -> FaultyAnswer:
    """The same in HTTP/1.0."""
    return FaultyAnswer(b'HTTP/1.0 200 OK\r\n\r\n', bytes(1))


@_answer
def chunks() -> FaultyAnswer:
    """Chunks of 64 kB."""
    begin = b''.join((_STATUS_LINE, _CHUNKED))
    return FaultyAnswer(begin, _chunk(_CHUNK_BYTES))


@_answer
def compressed_chunks() -> FaultyAnswer:
    """Chunks of 64 kB that state gzip and are none."""
    begin = b''.join((_STATUS_LINE, b'content-encoding: gzip\r\n', _CHUNKED))
    return FaultyAnswer(begin, _chunk(_CHUNK_BYTES))


@_answer
def tiny_chunks() -> FaultyAnswer:
    """Chunks of one byte."""
    return FaultyAnswer(b''.join((_STATUS_LINE, _CHUNKED)), _TINY_CHUNK)


@_answer
def extended_chunks() -> FaultyAnswer:
    """Chunks of one byte with extensions of 4 kB."""
    part = b''.join((b'1;a=', b'b' * _EXTENSION_BYTES, b'\r\na\r\n'))
    return FaultyAnswer(b''.join((_STATUS_LINE, _CHUNKED)), part)


@_answer
def chunk_extension() -> FaultyAnswer:
    """An extension of a chunk."""
    begin = b''.join((_STATUS_LINE, _CHUNKED, b'1;a='))
    return FaultyAnswer(begin, b'b')


@_answer
def chunk_size() -> FaultyAnswer:
    """Zeros as the size of a chunk."""
    return FaultyAnswer(b''.join((_STATUS_LINE, _CHUNKED)), b'0')


@_answer
def trailers() -> FaultyAnswer:
    """Trailers of 15 kB."""
    begin = b''.join((_STATUS_LINE, _CHUNKED, b'0\r\n'))
    return FaultyAnswer(begin, _line(_LINE_BYTES))


@_answer
def short_trailers() -> FaultyAnswer:
    """Trailers of 6 bytes."""
    begin = b''.join((_STATUS_LINE, _CHUNKED, b'0\r\n'))
    return FaultyAnswer(begin, _line(6))


@_answer
def refusal() -> FaultyAnswer:
    """The documented refusal with a body without end."""
    head = b'HTTP/1.1 503 Busy\r\nx-mustardspur-refused: 1\r\n'
    return FaultyAnswer(b''.join((head, _CHUNKED)), _chunk(_CHUNK_BYTES))


@_answer
def whole_then_letters() -> FaultyAnswer:
    """A whole answer, then letters."""
    return FaultyAnswer(_WHOLE, b'x', is_whole=True)


@_answer
def whole_then_answers() -> FaultyAnswer:
    """A whole answer, then answers that no call waits for."""
    return FaultyAnswer(_WHOLE, _WHOLE, is_whole=True)


@_answer
def whole_then_large_answers() -> FaultyAnswer:
    """A whole answer, then answers of 64 kB that no call waits for."""
    body = bytes(_CHUNK_BYTES)
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
    return FaultyAnswer(_WHOLE, b''.join((head, body)), is_whole=True)


@_answer
def empty_then_letters() -> FaultyAnswer:
    """`204`, then letters."""
    return FaultyAnswer(_NO_CONTENT, b'x', is_whole=True)
