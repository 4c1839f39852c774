"""Tests of the reading of callers' bodies within the room of a node."""

import asyncio
import gc
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from io import BytesIO
from typing import Final

import pytest
from aiohttp.http_parser import RawRequestMessage
from mustardspur_core.record import replaced
from mustardspur_core.units import BYTES_PER_MIB
from mustardspur_node.mesh.body_room import BodyRoom
from mustardspur_node.mesh.caller_answers import CallerAnswer, node_answer
from mustardspur_node.mesh.caller_connection import CallerConnection
from mustardspur_node.mesh.caller_uploads import CallerUploads
from mustardspur_node.mesh.request_body import CallerBodyError, RequestBody
from mustardspur_node.mesh.upload import STALL_S
from mustardspur_node.mesh.upload_refusals import UploadTerms

from tests.core.mesh.builders import LIMITS

# The room is 4 MiB, of which callers get 3.2.
_MEMORY_MB: Final = 10
_BODY: Final = 1_000_000
_LIMITS: Final = replaced(LIMITS, body_bytes=8_000_000)


class _Node:
    """Reads bodies within its room, and holds them until `release` is set."""

    def __init__(self, time_s: float = 5.0) -> None:
        self.room = BodyRoom(_MEMORY_MB)
        self.uploads = CallerUploads(self.room)
        self.release = asyncio.Event()
        self.time_s = time_s
        self.bodies: list[bytes] = []

    def connect(self) -> CallerConnection:
        return CallerConnection(lambda: _LIMITS, self.answer, bool)

    async def answer(
        self,
        message: RawRequestMessage,
        body: RequestBody,
    ) -> CallerAnswer:
        deadline_s = asyncio.get_running_loop().time() + self.time_s
        terms = UploadTerms(
            request_id='r',
            route='drafts',
            priority=1,
            deadline_s=deadline_s,
        )
        try:
            self.bodies.append(await self.uploads.read(body, terms))
            if message.method == 'POST':
                await self.release.wait()
        except CallerBodyError as fault:
            return node_answer(fault.status, fault.reason, closes=True)
        finally:
            body.end_read()
        return CallerAnswer(
            status=200, reason='OK', headers=[], body=b'', closes=False
        )


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@asynccontextmanager
async def _serving(node: _Node) -> AsyncIterator[int]:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(node.connect, '127.0.0.1', 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


async def _post(port: int, body: bytes, size: int = _BODY) -> Streams:
    """Start to send a body of a stated size."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    head = f'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: {size}\r\n\r\n'
    writer.write(head.encode() + body)
    return reader, writer


async def _status(streams: Streams) -> int:
    async with asyncio.timeout(5):
        line = await streams[0].readline()
    streams[1].close()
    return int(line.split()[1])


async def _post_all(port: int, body: bytes, count: int) -> list[Streams]:
    posting = (_post(port, body) for _ in range(count))
    return await asyncio.gather(*posting)


async def _assert_answered(posts: list[Streams]) -> None:
    assert set(await asyncio.gather(*map(_status, posts))) == {200}


async def _until_waiting(node: _Node, count: int) -> None:
    async with asyncio.timeout(5):
        while node.uploads.admission.waiting != count:
            await asyncio.sleep(0.005)


async def test_bodies_wait_unread_until_there_is_room() -> None:
    """Guards against bodies that are read beyond the room of a node, and
    against room that is not given back.
    """
    node = _Node()
    body = bytes(range(250)) * 4000
    async with _serving(node) as port:
        posts = await _post_all(port, body, 6)
        await _until_waiting(node, 3)
        assert node.room.held_bytes <= node.room.limit_bytes
        small = await _post(port, b'x', 1)
        await asyncio.sleep(0.05)
        assert b'x' in node.bodies
        node.release.set()
        await _assert_answered(posts)
        assert await _status(small) == 200
    assert node.bodies.count(body) == 6
    assert node.room.held_bytes == 0


async def test_answers_before_a_waiting_body_go_on() -> None:
    """Guards against an earlier answer on the connection that waits for the
    room of a body behind it.
    """
    node = _Node()
    async with _serving(node) as port:
        posts = await _post_all(port, bytes(_BODY), 3)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n')
        head = f'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: {_BODY}\r\n\r\n'
        writer.write(head.encode() + bytes(_BODY))
        await _until_waiting(node, 1)
        async with asyncio.timeout(5):
            assert b'200' in await reader.readuntil(b'\r\n\r\n')
        node.release.set()
        assert await _status((reader, writer)) == 200
        await _assert_answered(posts)


@pytest.mark.parametrize('resets', [True, False])
async def test_caller_that_leaves_frees_its_place(*, resets: bool) -> None:
    """Guards against room for callers that have gone."""
    node = _Node()
    async with _serving(node) as port:
        posts = await _post_all(port, bytes(_BODY), 3)
        waiting = await _post(port, bytes(10))
        await _until_waiting(node, 1)
        if resets:
            waiting[1].transport.abort()
        else:
            waiting[1].close()
        await _until_waiting(node, 0)
        for _, writer in posts:
            writer.close()
        async with asyncio.timeout(5):
            while node.room.held_bytes:
                await asyncio.sleep(0.005)


async def test_room_that_is_freed_is_used_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against room that idles until the next check."""
    interval = 'mustardspur_node.mesh.caller_uploads.CHECK_INTERVAL_S'
    monkeypatch.setattr(interval, 60)
    node = _Node()
    async with _serving(node) as port:
        posts = await _post_all(port, bytes(_BODY), 8)
        await _until_waiting(node, 5)
        node.release.set()
        await _assert_answered(posts)


async def test_stalled_body_ends_while_others_wait() -> None:
    """Guards against a caller that stalls in its body and keeps the room."""
    node = _Node(time_s=30)
    node.release.set()
    async with _serving(node) as port:
        stalled = await _post(port, bytes(100_000), 3_000_000)
        other = await _post(port, bytes(_BODY))
        assert await _status(stalled) == 408
        assert await _status(other) == 200
    assert node.room.held_bytes == 0


@contextmanager
def _without_collections() -> Iterator[None]:
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _large_buffers() -> int:
    buffers = (each for each in gc.get_objects() if isinstance(each, BytesIO))
    return sum(len(each.getbuffer()) >= _BODY for each in buffers)


async def test_refused_body_leaves_the_memory() -> None:
    """Guards against refused bodies that stay in memory, beside those that
    take their room, until a garbage collection.
    """
    node = _Node(time_s=30)
    with _without_collections():
        async with _serving(node) as port:
            stalled = await _post(port, bytes(100_000), 3_000_000)
            other = await _post(port, b'')
            assert await _status(stalled) == 408
            assert not _large_buffers()
            other[1].close()


@pytest.mark.parametrize('sent_in_pause', [0, 200_000])
async def test_body_does_not_stall_while_the_node_is_paused(
    sent_in_pause: int,
) -> None:
    """Guards against a body that is refused, as if its caller had stalled,
    after a time in which the node did not run.
    """
    node = _Node(time_s=30)
    node.release.set()
    async with _serving(node) as port:
        paused = await _post(port, bytes(100_000), 3_000_000)
        other = await _post(port, b'')
        await _until_waiting(node, 1)
        paused[1].write(bytes(sent_in_pause))
        time.sleep(1.5 * STALL_S)
        paused[1].write(bytes(2_900_000 - sent_in_pause))
        assert await _status(paused) == 200
        other[1].write(bytes(_BODY))
        assert await _status(other) == 200
    assert node.room.held_bytes == 0


async def test_refused_caller_reads_its_answer() -> None:
    """Guards against a reset in place of a refusal while the caller sends."""
    node = _Node(time_s=0.2)
    async with _serving(node) as port:
        posts = await _post_all(port, bytes(_BODY), 3)
        await asyncio.sleep(0.1)
        late = await _post(port, b'')
        await _until_waiting(node, 1)
        late[1].write(bytes(_BODY // 2))
        await asyncio.sleep(0.5)
        late[1].write(bytes(_BODY // 2))
        await late[1].drain()
        assert await _status(late) in {408, 503}
        node.release.set()
        await _assert_answered(posts)


async def test_body_without_length_takes_room_by_steps() -> None:
    """Guards against chunked bodies that are not counted."""
    node = _Node()
    async with _serving(node) as port:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'POST /a HTTP/1.1\r\nhost: h\r\n')
        writer.write(b'transfer-encoding: chunked\r\n\r\n')
        writer.write(3 * b'80000\r\n%b\r\n' % ((bytes(524_288),) * 3))
        async with asyncio.timeout(5):
            while node.room.held_bytes < 2 * BYTES_PER_MIB:
                await asyncio.sleep(0.005)
        writer.write(b'0\r\n\r\n')
        node.release.set()
        assert await _status((reader, writer)) == 200
    assert len(node.bodies[0]) == 3 * 524_288
    assert node.room.held_bytes == 0


async def test_part_after_a_stall_is_counted_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against room that is given back twice, so that the limit rises."""
    # The stall is found in the iteration that receives a part.
    limit = 'mustardspur_node.mesh.caller_uploads.MAX_INTERVAL_S'
    monkeypatch.setattr(limit, 60)
    node = _Node(time_s=30)
    node.release.set()
    async with _serving(node) as port:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'POST /a HTTP/1.1\r\nhost: h\r\n')
        writer.write(b'transfer-encoding: chunked\r\n\r\n')
        writer.write(b'100000\r\n%b\r\n' % bytes(BYTES_PER_MIB))
        async with asyncio.timeout(5):
            while node.room.held_bytes < BYTES_PER_MIB:
                await asyncio.sleep(0.005)
        other = await _post(port, b'', 3_000_000)
        await _until_waiting(node, 1)
        # The part arrives while the process does not run.
        writer.write(b'10000\r\n%b\r\n' % bytes(65_536))
        time.sleep(1.5 * STALL_S)
        assert await _status((reader, writer)) == 408
        other[1].close()
        async with asyncio.timeout(5):
            while node.room.held_bytes > 0:
                await asyncio.sleep(0.005)
    assert node.room.held_bytes == 0
