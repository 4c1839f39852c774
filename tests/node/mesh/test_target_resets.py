"""Tests of answers that end with their connection, by an end or a reset."""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from multiprocessing import get_context
from typing import Any, Final

import pytest
import uvloop
from aiohttp.http_parser import RawResponseMessage
from mustardspur_core.inbound_reads import InboundReads
from mustardspur_core.read_turns import ReadTurns
from mustardspur_node.mesh.answer_budget import AnswerBudget
from mustardspur_node.mesh.answer_parser import BrokenAnswer, RawAnswer
from mustardspur_node.mesh.target_connection import TargetConnection

_ANSWER: Final = b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nbegun'
_BODY: Final = bytes(3_000_000)
_HEAD_BYTES: Final = 100
_UPLOADS: Final = 160
_AT_A_TIME: Final = 8

Sockets = tuple[socket.socket, socket.socket]


def _is_own(_: RawResponseMessage) -> bool:
    return True


class _SocketTransport(asyncio.Transport):
    """The transport of a socket, without an event loop."""

    def __init__(self, connected: socket.socket) -> None:
        super().__init__({'socket': connected})

    def write(self, data: Any) -> None:
        """Discard the bytes."""

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def close(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""


@contextmanager
def _connected() -> Iterator[Sockets]:
    """Provide the two ends of a connection."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        address = server.getsockname()
        with socket.create_connection(address) as own:
            target, _ = server.accept()
            with target:
                yield own, target


def _reset(target: socket.socket) -> None:
    linger = struct.pack('ii', 1, 0)
    target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    target.close()


def _reset_after_the_end(target: socket.socket) -> None:
    target.shutdown(socket.SHUT_WR)
    _reset(target)


def _written(own: socket.socket) -> OSError | None:
    """Write, and return the error."""
    try:
        own.sendall(b'x')
    except OSError as error:
        return error
    return None


def _connection(own: socket.socket) -> TargetConnection:
    connection = TargetConnection(asyncio.get_running_loop(), AnswerBudget())
    connection.transport = _SocketTransport(own)
    return connection


async def _end(own: socket.socket, *, writes: bool) -> RawAnswer:
    """Report the end of the stream of an answer, behind a write if it writes.

    Raises
    ------
    BrokenAnswer
        If the answer does not count as complete.
    """
    connection = _connection(own)
    exchange = asyncio.create_task(
        connection.exchange('POST', b'', b'', _is_own),
    )
    await asyncio.sleep(0)
    connection.data_received(_ANSWER)
    lost: OSError | None = None
    if writes:
        lost = _written(own)
    connection.eof_received()
    connection.connection_lost(lost)
    return await exchange


@pytest.mark.parametrize('writes', [False, True])
async def test_reset_reported_as_the_end_is_detected(*, writes: bool) -> None:
    """Guards against a truncated answer that counts as complete, since a write
    was told of the reset before the read.
    """
    with _connected() as (own, target):
        _reset(target)
        with pytest.raises(BrokenAnswer, match='reset'):
            await _end(own, writes=writes)


async def test_health_answer_that_is_reset_is_broken() -> None:
    """Guards against a target that counts as healthy by a part of an answer."""
    with _connected() as (own, target):
        connection = _connection(own)
        check = asyncio.create_task(connection.check(b''))
        await asyncio.sleep(0)
        connection.data_received(_ANSWER)
        _reset(target)
        connection.eof_received()
        with pytest.raises(BrokenAnswer, match='reset'):
            await check


@pytest.mark.parametrize('writes', [False, True])
@pytest.mark.parametrize('end', [_reset_after_the_end, socket.socket.close])
async def test_answer_that_ends_in_order_is_whole(
    end: Callable[[socket.socket], None], *, writes: bool
) -> None:
    """Guards against a complete answer that counts as truncated, since its
    target resets the connection afterwards.
    """
    with _connected() as (own, target):
        end(target)
        answer = await _end(own, writes=writes)
    assert answer.body == b'begun'


def _answer_before_reading(server: socket.socket) -> None:
    """Answer and reset connections while their uploads are written."""
    for _ in range(_UPLOADS):
        target = server.accept()[0]
        target.recv(_HEAD_BYTES)
        target.sendall(_ANSWER)
        _reset(target)


@contextmanager
def _target() -> Iterator[tuple[str, int]]:
    """Provide the address of a target in a process of its own.

    In a thread it would not run while the event loop runs.
    """
    with socket.create_server(('127.0.0.1', 0)) as server:
        process = get_context('fork').Process(
            target=_answer_before_reading, args=(server,), daemon=True
        )
        process.start()
        yield server.getsockname()
        process.kill()
        process.join()


async def _upload(address: tuple[str, int]) -> None:
    loop = asyncio.get_running_loop()
    connection = TargetConnection(loop, AnswerBudget())
    await loop.create_connection(
        lambda: InboundReads(connection, ReadTurns()), *address
    )
    head = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n'
    with pytest.raises(BrokenAnswer):
        await connection.exchange('POST', head % len(_BODY), _BODY, _is_own)


async def _upload_often(address: tuple[str, int]) -> None:
    left = _UPLOADS
    while left:
        await asyncio.gather(*(_upload(address) for _ in range(_AT_A_TIME)))
        left -= _AT_A_TIME


@pytest.mark.parametrize(
    'new_loop', [asyncio.new_event_loop, uvloop.new_event_loop]
)
def test_reset_while_an_upload_is_written(
    new_loop: Callable[[], asyncio.AbstractEventLoop],
) -> None:
    """Guards against a truncated answer that reaches a caller as complete,
    since the connection is reset while the request is being written.
    """
    with _target() as address, asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(_upload_often(address))
