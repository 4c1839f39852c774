"""Answers of faulty targets that are played by hand only."""

import time
from collections.abc import Iterator
from itertools import chain, repeat
from types import MappingProxyType
from typing import Final

from tests.platform.crowds.answers import Request

_PAUSE_S: Final = 0.1
_SLOW_PART_BYTES: Final = 500_000
_SLOW_BODY_BYTES: Final = 900_000_000
_LARGE_BYTES: Final = 16_000_000
_LONG_BYTES: Final = 60_000
_DIGITS: Final = 5_000
_HEADERS: Final = 240
_HEADER_BYTES: Final = 500
_BATCH: Final = 6_000
_ERROR: Final = 'HTTP/1.1 500 Error'
_ENDLESS_PART: Final = bytes(65_536)


def _paced(part: bytes) -> Iterator[bytes]:
    """Return a part every `_PAUSE_S` without end."""
    for each in repeat(part):
        yield each
        time.sleep(_PAUSE_S)


def _parts(whole: bytes) -> Iterator[bytes]:
    """Return the parts of an answer."""
    starts = range(0, len(whole), len(_ENDLESS_PART))
    return (whole[each : each + len(_ENDLESS_PART)] for each in starts)


def slow_body(request: Request) -> Iterator[bytes]:
    """A body of 900 MB, 0.5 MB every 0.1 s."""
    head = request.head(f'Content-Length: {_SLOW_BODY_BYTES}')
    return chain((head,), _paced(bytes(_SLOW_PART_BYTES)))


def trickle(request: Request) -> Iterator[bytes]:
    """A body of 900 MB, one byte every 0.1 s."""
    head = request.head(f'Content-Length: {_SLOW_BODY_BYTES}')
    return chain((head,), _paced(bytes(1)))


def trickled_head(request: Request) -> Iterator[bytes]:
    """A header line without end, one byte every 0.1 s."""
    return chain((request.open_head('a: '),), _paced(b'b'))


def http2_preface(request: Request) -> Iterator[bytes]:
    """Settings frames of HTTP/2 without end."""
    frame = b'\x00\x00\x00\x04\x00\x00\x00\x00\x00'
    return repeat(frame * 1_000)


def tls_records(request: Request) -> Iterator[bytes]:
    """Handshake records of TLS without end."""
    return chain.from_iterable(repeat((b'\x16\x03\x03\x40\x00', bytes(16_384))))


def endless_refusal(request: Request) -> Iterator[bytes]:
    """A refusal of the call with a body without end."""
    head = request.head(
        'Not-Executed: 1',
        'Retry-After: 1',
        'Transfer-Encoding: chunked',
        status='HTTP/1.1 503 Service Unavailable',
    )
    chunk = b'10000\r\n%b\r\n' % _ENDLESS_PART
    return chain((head,), repeat(chunk))


def small_chunks(request: Request) -> Iterator[bytes]:
    """Chunks of 6 bytes without end, whose framing is less than that."""
    head = request.head('Transfer-Encoding: chunked')
    return chain((head,), repeat(b'6\r\nbbbbbb\r\n' * _BATCH))


def largest_answer(request: Request) -> Iterator[bytes]:
    """A whole answer of nearly 16 MiB."""
    return _parts(request.whole_answer(_LARGE_BYTES))


def largest_error(request: Request) -> Iterator[bytes]:
    """A whole answer of nearly 16 MiB with a server error."""
    head = request.head(f'Content-Length: {_LARGE_BYTES}', status=_ERROR)
    return _parts(head + bytes(_LARGE_BYTES))


def long_reason(request: Request) -> Iterator[bytes]:
    """A whole answer with a reason of 60 kB."""
    status = 'HTTP/1.1 200 {0}'.format('b' * _LONG_BYTES)
    return iter((request.head('Content-Length: 0', status=status),))


def long_numbers(request: Request) -> Iterator[bytes]:
    """A whole answer whose headers have numbers of 5,000 digits."""
    digits = '9' * _DIGITS
    lines = [
        f'{name}: {digits}'
        for name in ('Retry-After', 'Server-Limit', 'Cold-Ms', 'Server-Leaving')
    ]
    keep_alive = f'Keep-Alive: timeout={digits}'
    return iter((request.head('Content-Length: 0', keep_alive, *lines),))


def many_headers(request: Request) -> Iterator[bytes]:
    """A whole answer with 240 headers of 500 bytes."""
    lines = repeat('a: {0}'.format('b' * _HEADER_BYTES), _HEADERS)
    return iter((request.head('Content-Length: 0', *lines),))


FURTHER_BY_NAME: Final = MappingProxyType(
    {
        function.__name__: function
        for function in (
            slow_body,
            trickle,
            trickled_head,
            http2_preface,
            tls_records,
            endless_refusal,
            small_chunks,
            largest_answer,
            largest_error,
            long_reason,
            long_numbers,
            many_headers,
        )
    },
)
