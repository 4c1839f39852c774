"""Tests of what a node holds for callers that keep to all limits."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from aiohttp.http_parser import RawRequestMessage
from mustardspur_core.held_bytes import HeldBytes
from mustardspur_core.record import replaced
from mustardspur_node.mesh.caller_answers import CallerAnswer
from mustardspur_node.mesh.caller_connections import CallerConnections, ReadBody
from mustardspur_node.mesh.caller_payload import MAX_UNREAD_BYTES
from mustardspur_node.mesh.caller_room import REQUEST_BYTES

from tests.core.mesh.builders import LIMITS

_BODY: Final = 9_000
_REQUESTS: Final = 20
# The account holds 10 requests.
_MEMORY_MB: Final = 1.9625
_BUFFER_BYTES: Final = 4096
_ANSWER: Final = bytes(15_000)
_POST: Final = (
    b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n%b'
    % (
        _BODY,
        bytes(_BODY),
    )
)
_LONG_BODY: Final = 60_000
_LONG_POST: Final = (
    b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n' % _LONG_BODY
)
_LIMITS: Final = replaced(LIMITS, body_bytes=_LONG_BODY)
_GET: Final = b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n'


class _Node:
    """Reads bodies and answers once `release` is set."""

    def __init__(self, memory_mb: float = 300) -> None:
        self.started = 0
        self.most_held = 0
        self.release = asyncio.Event()
        self.held = HeldBytes(memory_mb)
        self.connections = CallerConnections('Retry-After', self.held)

    def connect(self) -> asyncio.BaseProtocol:
        return self.connections.add(lambda: _LIMITS, self.answer, bool)

    async def answer(
        self,
        _: RawRequestMessage,
        body: ReadBody,
    ) -> CallerAnswer:
        self.started += 1
        await self.release.wait()
        await body()
        self.most_held = max(self.most_held, self.held.held_bytes)
        return CallerAnswer(
            status=200, reason='OK', headers=[], body=_ANSWER, closes=False
        )


@asynccontextmanager
async def _serving(node: _Node) -> AsyncIterator[tuple[str, int]]:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(node.connect, '127.0.0.1', 0)
    try:
        yield server.sockets[0].getsockname()
    finally:
        server.close()


async def _read_answers(reader: asyncio.StreamReader, count: int) -> None:
    async with asyncio.timeout(5):
        for _ in range(count):
            await reader.readuntil(b'\r\n\r\n')  # noqa: WPS476
            await reader.readexactly(len(_ANSWER))  # noqa: WPS476


async def test_pipelined_bodies_are_not_read_ahead() -> None:
    """Guards against a node that is killed for bodies that wait behind each
    other on connections of callers.
    """
    node = _Node()
    async with _serving(node) as address:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(_POST * _REQUESTS)
        await asyncio.sleep(0.1)
        started = node.started
        node.release.set()
        await _read_answers(reader, _REQUESTS)
        writer.close()
    assert started == 1
    assert node.started == _REQUESTS


async def test_requests_start_as_far_as_they_can_be_held() -> None:
    """Guards against a node that is killed for the requests that many callers
    have in flight, and against requests that are forgotten meanwhile.
    """
    node = _Node(_MEMORY_MB)
    async with _serving(node) as address:
        opening = (asyncio.open_connection(*address) for _ in range(6))
        callers = await asyncio.gather(*opening)
        for _, writer in callers:
            writer.write(_GET * _REQUESTS)
        await asyncio.sleep(0.1)
        started = node.started
        node.release.set()
        reading = (_read_answers(each, _REQUESTS) for each, _ in callers)
        await asyncio.gather(*reading)
        for _, writer in callers:
            writer.close()
    # The last one that starts may exceed the account.
    most = node.held.limit_bytes / REQUEST_BYTES + 1
    assert len(callers) <= started <= most
    assert node.started == len(callers) * _REQUESTS


async def test_unread_answers_start_no_further_requests() -> None:
    """Guards against a node that is killed for answers that callers read
    slowly.
    """
    node = _Node(_MEMORY_MB)
    node.release.set()
    async with _serving(node) as address:
        callers = [socket.socket() for _ in range(8)]
        for caller in callers:
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
            )
            caller.setblocking(False)  # noqa: FBT003
            await asyncio.get_running_loop().sock_connect(  # noqa: WPS476
                caller, address
            )
            caller.send(_GET * 1000)
        await asyncio.sleep(0.5)
        held = node.held.held_bytes
        for caller in callers:
            caller.close()
        await asyncio.sleep(0.1)
        assert 0 < held <= node.held.limit_bytes + REQUEST_BYTES
        assert not node.held.held_bytes


async def test_started_requests_have_room_for_their_bodies() -> None:
    """Guards against a node that is killed for the bodies of requests that it
    has started, of which only what had arrived was counted.
    """
    node = _Node(_MEMORY_MB)
    async with _serving(node) as address:
        opening = (asyncio.open_connection(*address) for _ in range(10))
        callers = await asyncio.gather(*opening)
        for _, writer in callers:
            writer.write(_LONG_POST)
        await asyncio.sleep(0.1)
        for _, writer in callers:
            writer.write(bytes(_LONG_BODY))
        await asyncio.sleep(0.1)
        held = node.held.held_bytes
        node.release.set()
        reading = (_read_answers(each, 1) for each, _ in callers)
        await asyncio.gather(*reading)
        for _, writer in callers:
            writer.close()
    most = node.held.limit_bytes + REQUEST_BYTES + MAX_UNREAD_BYTES
    assert 0 < held <= most
    assert node.most_held <= most
    assert node.started == len(callers)
