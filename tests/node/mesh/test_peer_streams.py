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
from mustardspur_node.mesh.calls import PlacementFault, TargetAnswer
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.peer_link import PeerCallLink
from mustardspur_node.mesh.peer_server import PeerServer

from tests.node.mesh.builders import call_open, local_target, node_settings
from tests.node.stand_ins.scripted import KEEP, ScriptedTarget, run_scripted
from tests.support.ports import free_address


class _Pair:
    """A node with a target and the link from another node to it."""

    def __init__(self, address: str, local: LocalTarget) -> None:
        self.local = local
        self.server = PeerServer(local)
        self.loads: list[TargetLoad] = []
        self.sent = 0
        self.link = PeerCallLink(address, node_settings(), self._record_load)

    async def run(self, **changes: Any) -> TargetAnswer:
        return await self.link.run(call_open(**changes), self._record_sent)

    def _record_load(self, _: str, load: TargetLoad) -> None:
        self.loads.append(load)

    def _record_sent(self) -> None:
        self.sent += 1


def _ignore_load(_: str, load: TargetLoad) -> None:
    assert load.slots


def _ignore_sent() -> None:
    """Do nothing."""


@asynccontextmanager
async def _pair(*steps: Any) -> AsyncIterator[tuple[_Pair, ScriptedTarget]]:
    async with run_scripted(*steps) as (target_address, target):
        address = free_address()
        pair = _Pair(address, local_target(target_address))
        async with pair.server.serving(address):
            yield pair, target
        pair.link.close()


async def test_calls_share_a_stream() -> None:
    """Guards against an answer that is returned for another call."""
    async with _pair() as (pair, _):
        answers = await asyncio.gather(
            pair.run(confirm=True),
            pair.run(),
            pair.run(confirm=True),
        )
    assert [answer.body for answer in answers] == [b'good', b'good', b'good']
    assert pair.sent == 3
    assert pair.loads


async def test_long_bodies_are_sent_in_parts() -> None:
    """Guards against a body that is truncated to the size of a frame."""
    body = bytes(256_000)
    sent = b'HTTP/1.1 200 OK\r\ncontent-length: 256000\r\n\r\n%s' % body
    async with _pair((sent, KEEP)) as (pair, _):
        answer = await pair.run(method='POST', body=body)
    assert answer.body == body


async def test_cancelled_call_reaches_the_target() -> None:
    """Guards against calls that continue to run after their cancellation."""
    async with _pair((b'', KEEP)) as (pair, target):
        task = asyncio.create_task(pair.run())
        while not target.requests:
            await asyncio.sleep(0.005)
        assert pair.local.admission.load.running == 1
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        async with asyncio.timeout(5):
            while pair.local.admission.load.running:
                await asyncio.sleep(0.005)


async def test_unreachable_node_has_not_run_the_call() -> None:
    """Guards against a call that counts as run at an unreachable node."""
    link = PeerCallLink(free_address(), node_settings(), _ignore_load)
    with pytest.raises(PlacementFault) as fault:
        await link.run(call_open(), _ignore_sent)
    assert fault.value.kind == 'unreachable'
    assert fault.value.not_run


async def _serve_and_disconnect(
    asks_confirmation: bool,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    stream = FrameStream(reader, writer)
    await stream.receive()
    frame = await stream.receive()
    assert isinstance(frame.body, CallOpen)
    if asks_confirmation:
        load = local_target('127.0.0.1:1').admission.load
        await stream.send(CallReserved(load=load), frame.request_id)
        await stream.receive()
    writer.close()


@asynccontextmanager
async def _disconnecting_node(*, asks_confirmation: bool) -> AsyncIterator[str]:
    """Run a node that closes a stream after it receives a call."""
    server = await asyncio.start_server(
        partial(_serve_and_disconnect, asks_confirmation),
        '127.0.0.1',
        0,
    )
    host, port = server.sockets[0].getsockname()
    try:
        yield f'{host}:{port}'
    finally:
        server.close()


@pytest.mark.parametrize(
    ('name', 'confirm', 'asks_confirmation', 'not_run'),
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
    asks_confirmation: bool,
    not_run: bool,
) -> None:
    """Guards against a call reported as possibly run although it never ran,
    and against one reported as not run although it may have run.
    """
    async with _disconnecting_node(
        asks_confirmation=asks_confirmation
    ) as address:
        link = PeerCallLink(address, node_settings(), _ignore_load)
        with pytest.raises(PlacementFault) as fault:
            await link.run(call_open(confirm=confirm), _ignore_sent)
    assert fault.value.not_run is not_run, name
