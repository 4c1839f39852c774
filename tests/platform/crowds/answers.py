"""What a faulty target sends in the place of an answer."""

import random
from collections.abc import Callable, Iterator
from itertools import chain, repeat
from types import MappingProxyType
from typing import Final

_PART_BYTES: Final = 65_536
_LINE_BYTES: Final = 15_000
_EXTENSION_BYTES: Final = 4_000
_STATED_BYTES: Final = 900_000_000_000
_LARGE_BYTES: Final = 20_000_000
_SEED: Final = 56
_FOREIGN_ID: Final = 'foreign'
_OK: Final = 'HTTP/1.1 200 OK'
_CHUNKED: Final = 'Transfer-Encoding: chunked'


class Request:
    """A request that the target answers.

    Attributes
    ----------
    id : str
        Its identifier, empty if it has none.
    """

    __slots__ = ('id',)

    def __init__(self, identifier: str) -> None:
        """Initialise with the identifier of the request."""
        self.id = identifier

    def head(self, *lines: str, status: str = _OK) -> bytes:
        """Return a complete head."""
        return self.open_head(*lines, '', '', status=status)

    def open_head(self, *lines: str, status: str = _OK) -> bytes:
        """Return a head without the empty line at its end."""
        return '\r\n'.join(
            (
                status,
                f'Request-Id: {self.id}',
                'Response-Signature: signed',
                *lines,
            ),
        ).encode()

    def whole_answer(self, size: int = 5) -> bytes:
        """Return a complete answer."""
        return self.head(f'Content-Length: {size}') + bytes(size)


Answer = Callable[[Request], Iterator[bytes]]

_by_name: dict[str, Answer] = {}
ANSWERS_BY_NAME: Final = MappingProxyType(_by_name)
# Statuses of calls that get the whole answer which precedes the faulty bytes,
# or whose answer is only large.
_WHOLE: Final = frozenset((200,))
STATUSES_BY_NAME: Final = MappingProxyType(
    {
        'answer_then_letters': _WHOLE,
        'answer_then_foreign_answers': _WHOLE,
        'large_answer': _WHOLE,
        'no_content_then_letters': frozenset((204,)),
    },
)
# Those that a target also sends to health checks.
OF_HEALTH_CHECKS: Final = ('zeros', 'stated_body', 'trailers')


def answer(function: Answer) -> Answer:
    """Register an answer under its name."""
    _by_name[function.__name__] = function
    return function


def _endless(part: bytes) -> Iterator[bytes]:
    """Return repetitions of a part without end."""
    return repeat(part * max(_PART_BYTES // len(part), 1))


def _line(size: int) -> bytes:
    return b''.join((b'a: ', b'b' * (size - 5), b'\r\n'))


def _chunk(part: bytes) -> bytes:
    return b''.join((b'%x\r\n' % len(part), part, b'\r\n'))


@answer
def header_lines(request: Request) -> Iterator[bytes]:
    """Header lines of 15 kB without end."""
    return chain((request.open_head(''),), _endless(_line(_LINE_BYTES)))


@answer
def short_header_lines(request: Request) -> Iterator[bytes]:
    """Header lines of 6 bytes without end."""
    return chain((request.open_head(''),), _endless(_line(6)))


@answer
def endless_line(request: Request) -> Iterator[bytes]:
    """One header line without end."""
    return chain((request.open_head('a: '),), _endless(b'b'))


@answer
def status_line(request: Request) -> Iterator[bytes]:
    """A status line without end."""
    return chain((b'HTTP/1.1 200 ',), _endless(b'b'))


@answer
def empty_lines(request: Request) -> Iterator[bytes]:
    """Empty lines without end before an answer."""
    return _endless(b'\r\n')


@answer
def zeros(request: Request) -> Iterator[bytes]:
    """Zero bytes without end."""
    return _endless(bytes(1))


@answer
def random_bytes(request: Request) -> Iterator[bytes]:
    """Random bytes without end."""
    return _endless(random.Random(_SEED).randbytes(_PART_BYTES))


@answer
def letters(request: Request) -> Iterator[bytes]:
    """Letters without end."""
    return _endless(b'b')


@answer
def interim_answers(request: Request) -> Iterator[bytes]:
    """Interim answers without end."""
    return _endless(b'HTTP/1.1 100 Continue\r\n\r\n')


@answer
def large_interim_answers(request: Request) -> Iterator[bytes]:
    """Interim answers with headers of 15 kB without end."""
    line = _line(_LINE_BYTES)
    return _endless(b'HTTP/1.1 103 Early Hints\r\n%b\r\n' % line)


@answer
def switched_protocol(request: Request) -> Iterator[bytes]:
    """The change to another protocol, and letters without end."""
    head = request.head(
        'Connection: Upgrade',
        'Upgrade: letters',
        status='HTTP/1.1 101 Switching Protocols',
    )
    return chain((head,), _endless(b'b'))


@answer
def stated_body(request: Request) -> Iterator[bytes]:
    """A body of a stated length of 900 GB."""
    head = request.head(f'Content-Length: {_STATED_BYTES}')
    return chain((head,), _endless(bytes(1)))


@answer
def body_to_the_end(request: Request) -> Iterator[bytes]:
    """A body that ends with the connection, which does not end."""
    return chain((request.head('Connection: close'),), _endless(bytes(1)))


@answer
def old_body_to_the_end(request: Request) -> Iterator[bytes]:
    """A body of HTTP/1.0 that ends with the connection."""
    head = request.head(status='HTTP/1.0 200 OK')
    return chain((head,), _endless(bytes(1)))


@answer
def chunks(request: Request) -> Iterator[bytes]:
    """Chunks of 64 kB without end."""
    part = _chunk(bytes(_PART_BYTES))
    return chain((request.head(_CHUNKED),), _endless(part))


@answer
def tiny_chunks(request: Request) -> Iterator[bytes]:
    """Chunks of 1 byte without end."""
    return chain((request.head(_CHUNKED),), _endless(_chunk(b'b')))


@answer
def chunk_extension(request: Request) -> Iterator[bytes]:
    """The extension of a chunk without end."""
    return chain((request.head(_CHUNKED), b'1;a='), _endless(b'b'))


@answer
def chunk_size(request: Request) -> Iterator[bytes]:
    """The size of a chunk, of zeros without end."""
    return chain((request.head(_CHUNKED),), _endless(b'0'))


@answer
def chunk_extensions(request: Request) -> Iterator[bytes]:
    """Chunks of 1 byte, each with an extension of 4 kB, without end."""
    part = b'1;a=%b\r\nb\r\n' % (b'b' * _EXTENSION_BYTES)
    return chain((request.head(_CHUNKED),), _endless(part))


@answer
def trailers(request: Request) -> Iterator[bytes]:
    """Trailers of 15 kB without end."""
    return chain(
        (request.head(_CHUNKED), b'0\r\n'), _endless(_line(_LINE_BYTES))
    )


@answer
def short_trailers(request: Request) -> Iterator[bytes]:
    """Trailers of 6 bytes without end."""
    return chain((request.head(_CHUNKED), b'0\r\n'), _endless(_line(6)))


@answer
def answer_then_letters(request: Request) -> Iterator[bytes]:
    """A whole answer, and letters without end."""
    return chain((request.whole_answer(),), _endless(b'b'))


@answer
def answer_then_foreign_answers(request: Request) -> Iterator[bytes]:
    """A whole answer, and answers to no request without end."""
    foreign = Request(_FOREIGN_ID).whole_answer()
    return chain((request.whole_answer(),), _endless(foreign))


@answer
def foreign_answers(request: Request) -> Iterator[bytes]:
    """Small answers to no request without end."""
    return _endless(Request(_FOREIGN_ID).whole_answer())


@answer
def large_foreign_answers(request: Request) -> Iterator[bytes]:
    """Answers of 64 kB to no request without end."""
    return _endless(Request(_FOREIGN_ID).whole_answer(_PART_BYTES))


@answer
def no_content_then_letters(request: Request) -> Iterator[bytes]:
    """An answer without a body, and letters without end."""
    head = request.head(status='HTTP/1.1 204 No Content')
    return chain((head,), _endless(b'b'))


@answer
def gzip_chunks(request: Request) -> Iterator[bytes]:
    """Chunks of 64 kB without end that are stated to be compressed."""
    head = request.head(_CHUNKED, 'Content-Encoding: gzip')
    return chain((head,), _endless(_chunk(bytes(_PART_BYTES))))


@answer
def large_answer(request: Request) -> Iterator[bytes]:
    """A whole answer of 20 MB."""
    head = request.head(f'Content-Length: {_LARGE_BYTES}')
    count, rest = divmod(_LARGE_BYTES, _PART_BYTES)
    return chain((head,), repeat(bytes(_PART_BYTES), count), (bytes(rest),))
