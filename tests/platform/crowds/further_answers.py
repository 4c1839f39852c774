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
_ENDLESS_PART: Final = bytes(65_536)


def _paced(part: bytes) -> Iterator[bytes]:
    """Return a part every `_PAUSE_S` without end."""
    for each in repeat(part):
        yield each
        time.sleep(_PAUSE_S)


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
        )
    },
)
