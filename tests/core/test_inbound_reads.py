"""Tests of bounded reads and their turns."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Any, Final

import pytest
import uvloop
from mustardspur_core.inbound_reads import (
    InboundReads,
    READ_BYTES,
    TURN_BYTES,
)
from mustardspur_core.read_turns import LINES_PER_TURN, ReadTurns

_LINES: Final = b'1\r\nx\r\n' * 20_000
_SECOND_S: Final = 5


class _Receiver(asyncio.Protocol):
    """Keeps the sizes of all reads, and the number of iterations so far."""

    def __init__(self) -> None:
        self.received = b''
        self.sizes: list[int] = []
        self.ended = asyncio.Event()
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, received: bytes) -> None:
        self.sizes.append(len(received))
        self.received += received

    def eof_received(self) -> None:
        self.ended.set()


@asynccontextmanager
async def _connected(
    receiver: _Receiver,
) -> AsyncIterator[asyncio.StreamWriter]:
    loop = asyncio.get_running_loop()
    create = partial(InboundReads, receiver, ReadTurns())
    server = await loop.create_server(create, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        yield writer
    finally:
        writer.close()
        server.close()


async def _send_all(sent: bytes) -> _Receiver:
    receiver = _Receiver()
    async with _connected(receiver) as writer:
        writer.write(sent)
        writer.write_eof()
        async with asyncio.timeout(_SECOND_S):
            await receiver.ended.wait()
    return receiver


async def _pause_and_resume(receiver: _Receiver) -> int:
    async with _connected(receiver) as writer:
        while receiver.transport is None:
            await asyncio.sleep(0)
        receiver.transport.pause_reading()
        writer.write(_LINES)
        await asyncio.sleep(0.05)
        unread = len(receiver.received)
        receiver.transport.resume_reading()
        writer.write_eof()
        async with asyncio.timeout(_SECOND_S):
            await receiver.ended.wait()
    return unread


@pytest.mark.parametrize(
    'new_loop', [asyncio.new_event_loop, uvloop.new_event_loop]
)
@pytest.mark.parametrize(
    ('sent', 'largest'),
    [(bytes(1_000_000), READ_BYTES), (_LINES, TURN_BYTES)],
)
def test_reads_are_small(new_loop: Any, sent: bytes, largest: int) -> None:
    """Guards against one read that carries thousands of requests or chunks,
    and against lost bytes and ends behind those that wait for a turn.
    """
    with asyncio.Runner(loop_factory=new_loop) as runner:
        receiver = runner.run(_send_all(sent))
    assert receiver.received == sent
    assert max(receiver.sizes) <= largest


@pytest.mark.parametrize(
    'new_loop', [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_protocol_pauses_reading_beside_its_turns(new_loop: Any) -> None:
    """Guards against a protocol that receives more than it can hold."""
    receiver = _Receiver()
    with asyncio.Runner(loop_factory=new_loop) as runner:
        unread = runner.run(_pause_and_resume(receiver))
    assert not unread
    assert receiver.received == _LINES


async def test_costly_reads_leave_iterations_to_others() -> None:
    """Guards against a loop that parses the chunks of all connections before
    it serves another one.
    """
    turns = ReadTurns()
    handled: list[int] = []
    for number in range(4):
        turns.wait(LINES_PER_TURN // 2, partial(handled.append, number))
    await asyncio.sleep(0)
    assert not handled
    await asyncio.sleep(0)
    assert handled == [0, 1]
    await asyncio.sleep(0)
    assert handled == [0, 1, 2, 3]
