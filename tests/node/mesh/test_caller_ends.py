"""Tests of the ends of callers' connections."""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from http import HTTPStatus
from typing import Any, Final

import pytest
import uvloop
from aiohttp.http_parser import RawRequestMessage
from mustardspur_node.mesh.caller_answers import (
    CallerAnswer,
    node_answer,
    write_answer,
)
from mustardspur_node.mesh.caller_connection import CallerConnection
from mustardspur_node.mesh.caller_connections import ReadBody

from tests.core.mesh.builders import LIMITS

NewLoop = Callable[[], asyncio.AbstractEventLoop]

_REQUEST: Final = b'GET / HTTP/1.1\r\nhost: forms.example\r\n\r\n'
_LONG_RUNS: Final = 3_000_000
_MAX_READ_BYTES: Final = 65_536
_WRITE_ANSWER: Final = 'mustardspur_node.mesh.caller_connection.write_answer'

in_both_loops: Final = pytest.mark.parametrize(
    'new_loop', [asyncio.new_event_loop, uvloop.new_event_loop]
)


class _Caller:
    """A caller whose socket is read without the event loop."""

    def __init__(self, connected: socket.socket) -> None:
        connected.setblocking(False)  # noqa: FBT003
        self._connected = connected
        self.received = b''
        self.is_ended = False

    def send_request(self) -> None:
        self._connected.send(_REQUEST)

    def look(self) -> None:
        """Read what has arrived, and whether the connection has ended."""
        with suppress(BlockingIOError):
            while not self.is_ended:
                part = self._connected.recv(_MAX_READ_BYTES)
                self.received += part
                self.is_ended = not part

    async def read_answer(self) -> bytes:
        async with asyncio.timeout(5):
            while not self.received:
                await asyncio.sleep(0)
                self.look()
        return self.received

    async def read_to_the_end(self) -> None:
        async with asyncio.timeout(5):
            while not self.is_ended:
                await asyncio.sleep(0)
                self.look()


class _Node:
    """Answers each request with a body, and then closes its connection."""

    def __init__(self, body: str = 'ran') -> None:
        self.limits = LIMITS
        self.is_closing = True
        self.connections: list[CallerConnection] = []
        self._body = body

    def connect(self) -> CallerConnection:
        connection = CallerConnection(
            lambda: self.limits, self.answer, self.is_draining
        )
        self.connections.append(connection)
        return connection

    def is_draining(self) -> bool:
        return self.is_closing

    async def answer(
        self, _: RawRequestMessage, _body: ReadBody
    ) -> CallerAnswer:
        return node_answer(HTTPStatus.OK, self._body)


@asynccontextmanager
async def _connected(node: _Node) -> AsyncIterator[_Caller]:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(node.connect, '127.0.0.1', 0)
    address = server.sockets[0].getsockname()
    try:
        with socket.create_connection(address) as connected:
            yield _Caller(connected)
    finally:
        server.close()


class _LookAtWrite:
    """Writes an answer, then looks at what its caller has of it."""

    def __init__(self, caller: _Caller) -> None:
        self._caller = caller
        self.seen: list[bytes] = []

    def __call__(self, *answer: Any, **options: Any) -> None:
        write_answer(*answer, **options)
        self._caller.look()
        self.seen.append(self._caller.received)


async def _look_at_the_last_write(monkeypatch: pytest.MonkeyPatch) -> None:
    async with _connected(_Node()) as caller:
        write_and_look = _LookAtWrite(caller)
        monkeypatch.setattr(_WRITE_ANSWER, write_and_look)
        caller.send_request()
        answer = await caller.read_answer()
        assert write_and_look.seen == [b'']
        assert answer.startswith(b'HTTP/1.1 200')
        assert caller.is_ended


@in_both_loops
def test_closing_answer_arrives_with_the_end(
    new_loop: NewLoop, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a caller that has the whole answer which closes its
    connection, but not the end, and whose next request is left unanswered for
    as long as that is late.
    """
    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(_look_at_the_last_write(monkeypatch))


async def _read_a_long_answer() -> None:
    async with _connected(_Node(body='ran' * _LONG_RUNS)) as caller:
        caller.send_request()
        await caller.read_to_the_end()
        assert caller.received.count(b'ran') == _LONG_RUNS


@in_both_loops
def test_long_answer_that_closes_arrives_whole(new_loop: NewLoop) -> None:
    """Guards against a part of an answer that is held back for ever."""
    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(_read_a_long_answer())


async def _look_after(
    ask_to_end: Callable[[CallerConnection], None],
) -> None:
    node = _Node()
    node.is_closing = False
    async with _connected(node) as caller:
        caller.send_request()
        assert await caller.read_answer()
        connection = node.connections[0]
        while connection.room.pending:
            await asyncio.sleep(0)
        ask_to_end(connection)
        caller.look()
        assert caller.is_ended


@in_both_loops
@pytest.mark.parametrize(
    'ask_to_end', [CallerConnection.drain, CallerConnection.close_idle]
)
def test_unused_connection_ends_at_once(
    new_loop: NewLoop,
    ask_to_end: Callable[[CallerConnection], None],
) -> None:
    """Guards against a request that arrives while its unused connection ends,
    and is left unanswered for as long as the event loop is late.
    """
    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(_look_after(ask_to_end))
