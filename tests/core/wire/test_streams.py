"""Tests of frame streams: closed transports, silence and stalls."""

import asyncio
import socket
from unittest.mock import MagicMock

import pytest
from mustardspur_core.event_loop import run_in_loop
from mustardspur_core.messages import Heartbeat
from mustardspur_core.tasks import run_until_first_end
from mustardspur_core.wire import (
    MAX_FRAME_BYTES,
    FrameStream,
    connect_stream,
    encode_frame,
    raise_on_silence,
)
from mustardspur_core.wire.streams import FRAMES_PER_TURN, LENGTH_BYTES

from tests.support.virtual_time import VirtualLoop, in_virtual_time

HEARTBEAT = Heartbeat(sequence=1)
# More than the kernel's socket buffers can hold.
UNREAD_FRAMES = 8
# Upper bound for a hanging test.
HANG_LIMIT_S = 30


async def connected_pair() -> tuple[FrameStream, FrameStream]:
    """Return both ends of a connected stream."""
    ends = socket.socketpair()
    local = await asyncio.open_connection(sock=ends[0])
    peer = await asyncio.open_connection(sock=ends[1])
    return FrameStream(*local), FrameStream(*peer)


async def _send_after_close() -> int:
    local, peer = await connected_pair()
    local.close()
    with pytest.raises(asyncio.IncompleteReadError):
        await peer.receive()
    local.enqueue(HEARTBEAT)
    assert local.peer_address == 'unknown'
    return local.sent_bytes


def test_send_after_close_is_dropped() -> None:
    """Guards against uvloop's RuntimeError on a send after close."""
    assert run_in_loop(_send_after_close()) == 0


async def _receive(stream: FrameStream) -> None:
    while True:
        await stream.receive()


@in_virtual_time
async def test_silence_ends_a_stream_in_time() -> None:
    """Guards against a silent stream that stays open past its timeout."""
    local, peer = await connected_pair()
    loop = asyncio.get_running_loop()
    loop.call_at(2.4, peer.enqueue, HEARTBEAT)
    with pytest.raises(TimeoutError):
        await run_until_first_end(_receive(local), raise_on_silence(local, 3))
    # The last frame arrives at 2.4 s and the timeout is 3 s, checked six times
    # per timeout.
    assert 49 <= round(loop.time() * 10) <= 54


@in_virtual_time
async def test_stall_ends_no_stream() -> None:
    """Guards against closing every stream after a stall of the process."""
    local, peer = await connected_pair()
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    peer.enqueue(HEARTBEAT)
    loop.call_at(1, loop.stall, 60)
    loop.call_at(62, peer.enqueue, HEARTBEAT)
    with pytest.raises(TimeoutError):
        await run_until_first_end(_receive(local), raise_on_silence(local, 3))
    assert loop.time() > 64


async def _never_read(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await asyncio.Event().wait()


async def _leave_unread_peer() -> bool:
    server = await asyncio.start_server(_never_read, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    async with connect_stream(f'{host}:{port}', HANG_LIMIT_S) as stream:
        for _ in range(UNREAD_FRAMES):
            stream.enqueue_encoded(bytes(MAX_FRAME_BYTES))
    server.close()
    return True


def test_peer_that_takes_no_bytes_is_left() -> None:
    """Guards against waiting without end for a peer that reads nothing."""
    leaving = asyncio.wait_for(_leave_unread_peer(), HANG_LIMIT_S)
    assert run_in_loop(leaving)


async def test_many_small_frames_leave_turns_to_others() -> None:
    """Guards against a peer that holds up all calls of a process with small
    frames, which are read faster than they are handled.
    """
    reader = asyncio.StreamReader()
    writer = MagicMock(spec=asyncio.StreamWriter)
    stream = FrameStream(reader, writer)
    encoded = encode_frame(HEARTBEAT)
    frame = len(encoded).to_bytes(LENGTH_BYTES, 'big') + encoded
    frames = 10 * FRAMES_PER_TURN
    reader.feed_data(frame * frames)
    receiving = asyncio.create_task(_receive(stream))
    read = []
    while stream.received_bytes < frames * len(frame):
        read.append(stream.received_bytes // len(frame))
        await asyncio.sleep(0)
    receiving.cancel()
    assert len(read) >= 10
