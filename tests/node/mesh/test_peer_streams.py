"""Tests of calls over the stream between two nodes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import pytest
from mustardspur_core.mesh.call_messages import (
    CallOpen,
    CallReserved,
    TargetLoad,
)
from mustardspur_core.wire import FrameStream
from mustardspur_node.mesh.calls import PlaceFault, TargetAnswer
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.peer_link import PeerLink
from mustardspur_node.mesh.peer_server import PeerServer

from tests.node.mesh.builders import call_open, local_target, node_settings
from tests.node.stand_ins.scripted import KEEP, ScriptedTarget, run_scripted
from tests.support.ports import free_address


class _Pair:
    """A node beside a target and the link of another node to it."""

    def __init__(self, address: str, local: LocalTarget) -> None:
        self.local = local
        self.server = PeerServer(local)
        self.loads: list[TargetLoad] = []
        self.sent = 0
        self.link = PeerLink(address, node_settings(), self._note_load)

    async def run(self, **changes: Any) -> TargetAnswer:
        return await self.link.run(call_open(**changes), self._note_sent)

    def _note_load(self, _: str, load: TargetLoad) -> None:
        self.loads.append(load)

    def _note_sent(self) -> None:
        self.sent += 1


def _ignore_load(_: str, load: TargetLoad) -> None:
    assert load.slots


def _ignore_sent() -> None:
    """Take no notice."""


@asynccontextmanager
async def _pair(*steps: Any) -> AsyncIterator[tuple[_Pair, ScriptedTarget]]:
    async with run_scripted(*steps) as (target_address, target):
        address = free_address()
        pair = _Pair(address, local_target(target_address))
        async with pair.server.serving(address):
            yield pair, target
        pair.link.close()


async def test_calls_share_a_stream() -> None:
    """Guards against an answer that goes to another call of the stream."""
    async with _pair() as (pair, _):
        answers = await asyncio.gather(
            pair.run(confirm=True),
            pair.run(),
            pair.run(confirm=True),
        )
    assert [answer.body for answer in answers] == [b'good', b'good', b'good']
    assert pair.sent == 3
    assert pair.loads


async def test_long_bodies_travel_in_parts() -> None:
    """Guards against a body that is cut at the size of a frame."""
    body = bytes(256_000)
    sent = b'HTTP/1.1 200 OK\r\ncontent-length: 256000\r\n\r\n%s' % body
    async with _pair((sent, KEEP)) as (pair, _):
        answer = await pair.run(method='POST', body=body)
    assert answer.body == body


async def test_cancelled_call_reaches_the_target() -> None:
    """Guards against a target that works for a caller that has left."""
    async with _pair((b'', KEEP)) as (pair, target):
        task = asyncio.create_task(pair.run())
        while not target.requests:
            await asyncio.sleep(0.005)
        assert pair.local.gate.load.running == 1
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        async with asyncio.timeout(5):
            while pair.local.gate.load.running:
                await asyncio.sleep(0.005)


async def test_node_without_listener_was_sent_nothing() -> None:
    """Guards against calls that count as run at a node that is gone."""
    link = PeerLink(free_address(), node_settings(), _ignore_load)
    with pytest.raises(PlaceFault) as fault:
        await link.run(call_open(), _ignore_sent)
    assert fault.value.kind == 'unreachable'
    assert fault.value.not_run


async def _serve_and_die(
    asks: bool,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    stream = FrameStream(reader, writer)
    await stream.receive()
    frame = await stream.receive()
    assert isinstance(frame.body, CallOpen)
    if asks:
        load = local_target('127.0.0.1:1').gate.load
        await stream.send(CallReserved(load=load), frame.request_id)
        await stream.receive()
    writer.close()


@asynccontextmanager
async def _node_that_dies(*, asks: bool) -> AsyncIterator[str]:
    """Run a node that ends a stream after a call came over it."""

    server = await asyncio.start_server(
        partial(_serve_and_die, asks),
        '127.0.0.1',
        0,
    )
    host, port = server.sockets[0].getsockname()
    try:
        yield f'{host}:{port}'
    finally:
        server.close()


@pytest.mark.parametrize(
    ('name', 'confirm', 'asks', 'not_run'),
    [
        ('not confirmed yet', True, False, True),
        ('confirmed', True, True, False),
        ('may run more than once', False, False, False),
    ],
)
async def test_lost_stream(
    name: str,
    *,
    confirm: bool,
    asks: bool,
    not_run: bool,
) -> None:
    """Guards against a call that ends as unknown although it never ran, and
    against one that is said not to have run although it may have.
    """
    async with _node_that_dies(asks=asks) as address:
        link = PeerLink(address, node_settings(), _ignore_load)
        with pytest.raises(PlaceFault) as fault:
            await link.run(call_open(confirm=confirm), _ignore_sent)
    assert fault.value.not_run is not_run, name
