"""Tests of the limits on clients of an HTTP interface."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing
from random import Random
from typing import Final

import pytest
from aiohttp import web
from mustardspur_core.http_bodies import read_body
from mustardspur_core.http_serving import serving_app

from tests.platform.mesh_processes import HANG_LIMIT_S, reserved_ports

_HOST: Final = '127.0.7.201'
_GET: Final = b'GET /slow HTTP/1.1\r\nhost: a\r\n\r\n'
_CHUNKED: Final = (
    b'PUT / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
)
_SIZED: Final = b'PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n'
_CLOSE: Final = b'connection: close\r\n'
_CLOSING: Final = b'\r\n%s\r\n' % _CLOSE
_LINE: Final = b'a: %s\r\n' % (b'b' * 1000)
_BODY_BYTES: Final = 1_000_000
# Far above what the buffers of a loopback connection take.
_FLOOD_BYTES: Final = 50_000_000
_RUN_S: Final = 0.05

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class _Interface:
    """An interface on an address."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def read(self, request: web.Request) -> web.Response:
        body = await read_body(request, _BODY_BYTES)
        return web.Response(text=str(len(body)))

    async def run(self, _: web.Request) -> web.Response:
        await asyncio.sleep(_RUN_S)
        return web.Response(text='slow')

    async def connect(self) -> Streams:
        return await asyncio.open_connection(_HOST, self.port)

    async def answer(self, request: bytes) -> bytes:
        """Return all that is received until the connection ends."""
        reader, writer = await self.connect()
        with closing(writer):
            writer.write(request)
            return await _until_end(reader)


@asynccontextmanager
async def _serving() -> AsyncIterator[_Interface]:
    with reserved_ports() as ports:
        interface = _Interface(ports[0])
        app = web.Application()
        app.router.add_put('/', interface.read)
        app.router.add_get('/slow', interface.run)
        async with serving_app(app, f'{_HOST}:{ports[0]}'):
            async with asyncio.timeout(HANG_LIMIT_S):
                yield interface


async def _until_end(reader: asyncio.StreamReader) -> bytes:
    received = b''
    try:
        while not reader.at_eof():
            received += await reader.read(_BODY_BYTES)
    except ConnectionError:
        # Closed with unread bytes.
        return received
    return received


async def _flood(interface: _Interface, start: bytes, part: bytes) -> int:
    """Send parts until the connection ends; return the bytes sent."""
    reader, writer = await interface.connect()
    ended = asyncio.create_task(_until_end(reader))
    writer.write(start)
    sent = 0
    try:
        while sent < _FLOOD_BYTES and not ended.done():
            writer.write(part)
            sent += len(part)
            await writer.drain()
    except ConnectionError:
        return sent
    finally:
        ended.cancel()
        writer.close()
    return sent


@pytest.mark.parametrize(
    ('start', 'part'),
    [
        (b'GET / HTTP/1.1\r\n', _LINE),
        (b'', b'\r\n' * 500),
        (b'%s1;' % _CHUNKED, b'e' * 1000),
        (b'%s0\r\n' % _CHUNKED, _LINE),
    ],
    ids=['head', 'empty lines', 'extension', 'trailers'],
)
async def test_bytes_without_payload_are_bounded(
    start: bytes,
    part: bytes,
) -> None:
    """Guards against an interface that reads heads, empty lines, extensions
    and trailers without end.
    """
    async with _serving() as interface:
        assert await _flood(interface, start, part) < _FLOOD_BYTES


async def test_whole_head_is_limited() -> None:
    """Guards against heads of many long lines, up to a megabyte each."""
    async with _serving() as interface:
        head = b'GET /slow HTTP/1.1\r\n%s' % (100 * _LINE)
        answer = await interface.answer(head)
    assert answer.startswith(b'HTTP/1.1 431')


async def test_requests_behind_another_are_answered_in_order() -> None:
    """Guards against requests that are lost or held whole behind one that is
    not answered.
    """
    last = b'%s%s\r\n' % (_SIZED % _BODY_BYTES, _CLOSE)
    requests = b''.join((_GET, _GET, _GET, last, bytes(_BODY_BYTES)))
    async with _serving() as interface:
        answer = await interface.answer(requests)
    assert answer.count(b'HTTP/1.1 200') == 4
    assert answer.endswith(str(_BODY_BYTES).encode())


async def _write_in_parts(
    writer: asyncio.StreamWriter, sent: bytes, random: Random
) -> None:
    while sent:
        size = random.choice([10, 100, 1000, len(sent)])
        writer.write(sent[:size])
        sent = sent[size:]
        await asyncio.sleep(random.choice([0, 0.002]))


async def _read_answers(reader: asyncio.StreamReader, count: int) -> list[int]:
    answered: list[int] = []
    while len(answered) < count:
        head = await reader.readuntil(b'\r\n\r\n')
        length = int(head.lower().split(b'content-length: ')[1].split()[0])
        answered.append(int(await reader.readexactly(length)))
    return answered


async def _answers(interface: _Interface, seed: int) -> bool:
    """Send requests behind one another; return whether all are answered."""
    random = Random(seed)
    sizes = random.choices([0, 1, 900, 40_000], k=30)
    requests = [b'%s\r\n' % (_SIZED % size) + bytes(size) for size in sizes]
    reader, writer = await interface.connect()
    with closing(writer):
        writing = asyncio.create_task(
            _write_in_parts(writer, b''.join(requests), random)
        )
        answered = await _read_answers(reader, len(sizes))
        await writing
    return answered == sizes


async def test_requests_are_answered_however_they_are_cut() -> None:
    """Guards against a request that waits for further bytes of its client,
    since it was received together with a part of another one.
    """
    async with _serving() as interface:
        plays = (_answers(interface, seed) for seed in range(20))
        assert all(await asyncio.gather(*plays))


async def test_stalled_client_gives_way_to_a_new_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against clients that hold all connections of an interface and
    send nothing, so that nobody else is answered.
    """
    monkeypatch.setattr(
        'mustardspur_core.http_serving.max_clients',
        lambda _: 3,
    )
    async with _serving() as interface:
        stalled = await asyncio.gather(
            *(interface.connect() for _ in range(6)),
        )
        answer = await interface.answer(
            _GET.replace(b'host', b'connection: close\r\nhost'),
        )
        for _, writer in stalled:
            writer.close()
    assert answer.startswith(b'HTTP/1.1 200')


async def test_refused_client_gives_way_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against clients that are refused again and again, and keep all
    others out or cost them their connections.
    """
    monkeypatch.setattr('mustardspur_core.http_serving.max_clients', _two)
    refused = b'GET /slow HTTP/1.1\r\n%s' % (100 * _LINE)
    async with _serving() as interface:
        reader, writer = await interface.connect()
        writer.write(_GET)
        assert await reader.readline() == b'HTTP/1.1 200 OK\r\n'
        held = await interface.connect()
        held[1].write(refused)
        await held[0].readline()
        answer = await interface.answer(_GET.replace(b'\r\n\r\n', _CLOSING))
        writer.write(_GET)
        await reader.readuntil(b'HTTP/1.1 200 OK')
        writer.close()
        held[1].close()
    assert answer.startswith(b'HTTP/1.1 200')


def _two(_: int) -> int:
    return 2


async def test_encoded_body_is_not_expanded() -> None:
    """Guards against a small body that takes the memory of the process once
    it is decompressed.
    """
    async with _serving() as interface:
        head = b'%scontent-encoding: gzip\r\n%s\r\n' % (_SIZED % 4, _CLOSE)
        answer = await interface.answer(b'%sabcd' % head)
    assert answer.startswith(b'HTTP/1.1 415')


async def test_announced_body_is_refused_unread() -> None:
    """Guards against a body over the limit that is read and then refused."""
    async with _serving() as interface:
        answer = await interface.answer(b'%s\r\n' % (_SIZED % 10**12))
    assert answer.startswith(b'HTTP/1.1 413')
