"""Tests of callers that hold all connections of a node."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Final

import pytest
from aiohttp.http_parser import RawRequestMessage
from mustardspur_core.held_bytes import STALL_S, HeldBytes
from mustardspur_core.mesh.model import CallerLimits
from mustardspur_node.mesh.caller_answers import CallerAnswer
from mustardspur_node.mesh.caller_connections import CallerConnections, ReadBody

from tests.core.mesh.builders import LIMITS

_CONNECTIONS: Final = 3
_HANG_LIMIT_S: Final = 5
_POLL_S: Final = 0.01
_GET: Final = b'GET /%b HTTP/1.1\r\nhost: h\r\n\r\n'

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _answer(message: RawRequestMessage, body: ReadBody) -> CallerAnswer:
    if message.path == '/hang':
        await asyncio.Event().wait()
    await body()
    return CallerAnswer(
        status=200, reason='OK', headers=[], body=b'', closes=False
    )


def _limits() -> CallerLimits:
    return LIMITS


@asynccontextmanager
async def _full_node(
    sent: bytes,
    *,
    sends_on: bool = False,
) -> AsyncIterator[tuple[str, int]]:
    """Run a node whose callers hold all connections and send some bytes."""
    connections = CallerConnections('Retry-After', HeldBytes())
    server = await asyncio.get_running_loop().create_server(
        partial(connections.add, _limits, _answer, bool),
        '127.0.0.1',
        0,
    )
    address = server.sockets[0].getsockname()
    opening = (_send(address, sent) for _ in range(_CONNECTIONS))
    held = await asyncio.gather(*opening)
    async with asyncio.timeout(_HANG_LIMIT_S):
        # A busy kernel may complete a connect before the node accepts it.
        while connections.accepted < _CONNECTIONS:
            await asyncio.sleep(_POLL_S)
    sending: list[asyncio.Task[None]] = []
    if sends_on:
        sending = [asyncio.create_task(_send_on(each)) for _, each in held]
    try:
        yield address
    finally:
        _end(held, sending)
        server.close()


async def _send(address: tuple[str, int], sent: bytes) -> Streams:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(sent)
    return reader, writer


def _end(held: list[Streams], sending: list[asyncio.Task[None]]) -> None:
    for each in sending:
        each.cancel()
    for _, writer in held:
        writer.close()


async def _send_on(writer: asyncio.StreamWriter) -> None:
    while True:
        writer.write(b'x')
        await asyncio.sleep(0.1)


async def _status_of_a_call(address: tuple[str, int]) -> bytes:
    reader, writer = await _send(address, _GET % b'')
    async with asyncio.timeout(5):
        line = await reader.readline()
    writer.close()
    return line.split()[1]


@pytest.mark.parametrize(
    'sent',
    [
        b'',
        _GET % b'',
        _GET[:-2] % b'',
        b'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\n',
    ],
    ids=['nothing', 'a request', 'a part of a head', 'no body'],
)
async def test_idle_and_stalled_callers_give_way(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against ordinary callers that are refused, since others hold all
    connections and send nothing.
    """
    monkeypatch.setattr(
        'mustardspur_node.mesh.caller_connections.max_callers',
        lambda _: _CONNECTIONS,
    )
    async with _full_node(sent) as address:
        await asyncio.sleep(STALL_S + 0.1)
        assert await _status_of_a_call(address) == b'200'


async def test_refused_callers_give_way(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against ordinary callers that are refused, since others send on
    after the refusal of a body that is too long.
    """
    monkeypatch.setattr(
        'mustardspur_node.mesh.caller_connections.max_callers',
        lambda _: _CONNECTIONS,
    )
    too_long = b'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9%b\r\n\r\n'
    async with _full_node(too_long % (b'0' * 12), sends_on=True) as address:
        await asyncio.sleep(2 * STALL_S)
        assert await _status_of_a_call(address) == b'200'


async def test_running_calls_do_not_give_way(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls that run and lose their connection to new ones."""
    monkeypatch.setattr(
        'mustardspur_node.mesh.caller_connections.max_callers',
        lambda _: _CONNECTIONS,
    )
    async with _full_node(_GET % b'hang') as address:
        await asyncio.sleep(STALL_S + 0.1)
        assert await _status_of_a_call(address) == b'503'
