"""What clients that keep to no limits send on a connection."""

import random
from collections.abc import Callable, Iterator
from itertools import chain, repeat
from types import MappingProxyType
from typing import Final

from tests.platform.crowds.limited_mesh import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
)
from tests.platform.mesh_processes import HOST

# Of one client; those of a crowd are twice what the process may use.
FLOOD_BYTES: Final = 8_388_608
_PART_BYTES: Final = 65_536
_LINE_BYTES: Final = 15_000
_SMALL_PIECE_BYTES: Final = 100_000
_PIPELINED_BODIES: Final = 200
_PIPELINED_BYTES: Final = 60_000
_TINY_CHUNKS: Final = 60_000
_REQUESTS: Final = 2_000
_NESTED_BYTES: Final = 2_000_000
_STATED_BYTES: Final = 900_000_000_000


class Client:
    """A hostile client of a listener.

    Attributes
    ----------
    method, path : str
        Its request.
    number : int
        Distinguishes the clients of a crowd.
    """

    __slots__ = ('method', 'number', 'path')

    def __init__(self, method: str, path: str, number: int) -> None:
        """Initialise with the request that the client makes."""
        self.method = method
        self.path = path
        self.number = number

    def head(self, *lines: str) -> bytes:
        """Return a complete head."""
        return self.open_head(*lines, '', '')

    def open_head(self, *lines: str) -> bytes:
        """Return a head without the empty line at its end."""
        return '\r\n'.join(
            (
                f'{self.method} {self.path} HTTP/1.1',
                f'Host: {HOST}',
                f'Request-Id: hostile-{self.number}',
                'Deadline-Ms: 6000',
                'If-Match: r1',
                'Content-Type: application/json',
                *lines,
            ),
        ).encode()

    def sized(self, size: int) -> bytes:
        """Return the head of a request with a body of a size."""
        return self.head(f'Content-Length: {size}')

    def chunked(self) -> bytes:
        """Return the head of a request with a body in chunks."""
        return self.head('Transfer-Encoding: chunked')


Flood = Callable[[Client], Iterator[bytes]]

_by_name: dict[str, Flood] = {}
FLOODS_BY_NAME: Final = MappingProxyType(_by_name)
# Whose clients read no answer.
UNREAD: Final = frozenset(('unread_answers',))
# Only bodies that are parsed.
PARSED: Final = frozenset(('nested_lists', 'blanks'))


def flood(function: Flood) -> Flood:
    """Register a flood under its name."""
    _by_name[function.__name__] = function
    return function


def _endless(part: bytes) -> Iterator[bytes]:
    """Return repetitions of a part, up to the bytes of a client."""
    copies = max(_PART_BYTES // len(part), 1)
    return repeat(part * copies, FLOOD_BYTES // (len(part) * copies) + 1)


def _line(size: int) -> bytes:
    return b''.join((b'a: ', b'b' * (size - 5), b'\r\n'))


@flood
def header_lines(client: Client) -> Iterator[bytes]:
    """Header lines of nearly the size of a legal head, without end."""
    return chain((client.open_head(''),), _endless(_line(_LINE_BYTES)))


@flood
def short_header_lines(client: Client) -> Iterator[bytes]:
    """Header lines of 6 bytes without end."""
    return chain((client.open_head(''),), _endless(_line(6)))


@flood
def endless_line(client: Client) -> Iterator[bytes]:
    """One header line without end."""
    return chain((client.open_head('a: '),), _endless(b'b'))


@flood
def empty_lines(client: Client) -> Iterator[bytes]:
    """Empty lines without end before a request."""
    return _endless(b'\r\n')


@flood
def open_head(client: Client) -> Iterator[bytes]:
    """A legal head that is not completed."""
    line = _line(_LINE_BYTES // 2)
    return iter((client.open_head(''), line, line))


@flood
def open_head_of_short_lines(client: Client) -> Iterator[bytes]:
    """A legal head of lines of 6 bytes that is not completed."""
    begin = client.open_head('')
    count = (MAX_HEADER_BYTES - len(begin)) // 6
    return iter((begin, _line(6) * count))


@flood
def short_body(client: Client) -> Iterator[bytes]:
    """A body of legal size without its last byte."""
    return iter((client.sized(MAX_BODY_BYTES), bytes(MAX_BODY_BYTES - 1)))


@flood
def short_body_in_pieces(client: Client) -> Iterator[bytes]:
    """A body of legal size in pieces, without its last byte."""
    count, rest = divmod(MAX_BODY_BYTES - 1, _SMALL_PIECE_BYTES)
    return chain(
        (client.sized(MAX_BODY_BYTES),),
        repeat(bytes(_SMALL_PIECE_BYTES), count),
        (bytes(rest),),
    )


@flood
def announced_body(client: Client) -> Iterator[bytes]:
    """The announcement of a body far above the limit."""
    return iter((client.sized(_STATED_BYTES),))


@flood
def oversized_body(client: Client) -> Iterator[bytes]:
    """A body far above the limit, announced and sent."""
    return chain((client.sized(_STATED_BYTES),), _endless(bytes(1)))


@flood
def chunks(client: Client) -> Iterator[bytes]:
    """Chunks without end."""
    part = b''.join((b'10000\r\n', bytes(_PART_BYTES), b'\r\n'))
    return chain((client.chunked(),), _endless(part))


@flood
def tiny_chunks(client: Client) -> Iterator[bytes]:
    """Many chunks of one byte."""
    batch = 1_000
    part = b'1\r\na\r\n' * batch
    return chain((client.chunked(),), repeat(part, _TINY_CHUNKS // batch))


@flood
def chunk_extension(client: Client) -> Iterator[bytes]:
    """The extension of a chunk without end."""
    return chain((client.chunked(), b'1;a='), _endless(b'b'))


@flood
def trailers(client: Client) -> Iterator[bytes]:
    """Trailers without end."""
    return chain((client.chunked(), b'0\r\n'), _endless(_line(_LINE_BYTES)))


@flood
def unread_answers(client: Client) -> Iterator[bytes]:
    """Many requests whose answers are not read."""
    request = Client('GET', client.path, client.number).head()
    return repeat(request, _REQUESTS)


@flood
def pipelined_bodies(client: Client) -> Iterator[bytes]:
    """Many requests with bodies, without a wait for answers."""
    body = bytes(_PIPELINED_BYTES)
    return repeat(client.sized(len(body)) + body, _PIPELINED_BODIES)


@flood
def random_bytes(client: Client) -> Iterator[bytes]:
    """Random bytes."""
    numbers = random.Random(client.number)
    return _endless(numbers.randbytes(_PART_BYTES))


@flood
def nested_lists(client: Client) -> Iterator[bytes]:
    """A document of lists in lists that are not closed."""
    return iter((client.sized(_NESTED_BYTES), b'[' * _NESTED_BYTES))


@flood
def blanks(client: Client) -> Iterator[bytes]:
    """A document of blanks, without its last byte."""
    return iter((client.sized(MAX_BODY_BYTES), b' ' * (MAX_BODY_BYTES - 1)))
