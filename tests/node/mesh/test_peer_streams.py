"""Tests of calls over the stream between two nodes."""

import asyncio
import gc
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from functools import partial
from typing import Any

import pytest
from mustardspur_core.mesh.call_messages import (
    CallAnswer,
    CallOpen,
    CallPart,
    CallReserved,
    NodeHello,
    TargetLoad,
)
from mustardspur_core.metrics import NullMetrics
from mustardspur_core.units import BYTES_PER_MIB
from mustardspur_core.wire import FrameStream, connect_stream, encode_frame
from mustardspur_node.mesh.answer_budget import MAX_HELD_BYTES
from mustardspur_node.mesh.body_parts import PART_BYTES
from mustardspur_node.mesh.calls import PlacementFault, TargetAnswer
from mustardspur_node.mesh.instance import MeshNode
from mustardspur_node.mesh.local_target import LocalTarget
from mustardspur_node.mesh.names import HEADER_NAMES
from mustardspur_node.mesh.peer_connection import SILENCE_S
from mustardspur_node.mesh.peer_link import PeerCallLink
from mustardspur_node.mesh.peer_server import PeerServer
from mustardspur_node.mesh.stop_times import MIN_GAP_S

from tests.node.mesh.builders import call_open, local_target, node_settings
from tests.node.stand_ins.scripted import KEEP, ScriptedTarget, run_scripted
from tests.support.ports import free_address


# Above what sockets and buffers hold.
_UNREAD_BYTES = 64 * BYTES_PER_MIB


class _Pair:
    """A node with a target and the link from another node to it."""

    def __init__(self, address: str, local: LocalTarget) -> None:
        self.address = address
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


async def test_bytes_that_are_not_utf8_cross_a_stream() -> None:
    """Guards against a call that fails after its run, or before it, because a
    header or the path has bytes of another encoding.
    """
    sent = b'HTTP/1.1 200 OK\r\nx-name: caf\xe9\r\ncontent-length: 0\r\n\r\n'
    async with _pair((sent, KEEP)) as (pair, _):
        answer = await pair.run(path='/a\udce9', headers=[['x', 'l\udce9']])
    assert ['x-name', 'caf\udce9'] in answer.headers


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


async def _abandon_call_to_unreachable_node() -> None:
    link = PeerCallLink(free_address(), node_settings(), _ignore_load)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0):
            await link.run(call_open(), _ignore_sent)
    await asyncio.sleep(0.05)
    link.close()


async def test_unreachable_node_logs_no_error(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against an error in the log for each node that could not be
    reached before the calls that waited for it had ended.
    """
    await _abandon_call_to_unreachable_node()
    gc.collect()
    assert 'never retrieved' not in caplog.text


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


class _SilentNode:
    """A node that reserves and confirms calls, then is silent for a while.

    It may also be silent before it reserves a call.
    """

    def __init__(self) -> None:
        self.streams = 0
        self.reserves = True
        self.awake = asyncio.Event()
        self.received = asyncio.Event()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        stream = FrameStream(reader, writer)
        self.streams += 1
        load = local_target('127.0.0.1:1').admission.load
        await stream.receive()
        opened = await stream.receive()
        assert isinstance(opened.body, CallOpen)
        if opened.body.confirm and self.reserves:
            await stream.send(CallReserved(load=load), opened.request_id)
            await stream.receive()
        self.received.set()
        await self.awake.wait()
        answer = CallAnswer(
            status=200,
            reason='OK',
            headers=[],
            body=b'late',
            more=False,
            load=load,
        )
        await stream.send(answer, opened.request_id)
        writer.close()


@asynccontextmanager
async def _silent_node(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[tuple[_SilentNode, PeerCallLink]]:
    """Run a silent node; the link to it takes it for silent at once."""
    monkeypatch.setattr(
        'mustardspur_node.mesh.peer_connection.SILENCE_S', -SILENCE_S
    )
    async with _serving_silent_node() as (node, address):
        link = PeerCallLink(address, node_settings(), _ignore_load)
        try:
            yield node, link
        finally:
            link.close()


@asynccontextmanager
async def _serving_silent_node() -> AsyncIterator[tuple[_SilentNode, str]]:
    node = _SilentNode()
    server = await asyncio.start_server(node.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield node, f'{host}:{port}'
    finally:
        server.close()


async def test_running_call_outlives_the_silence_of_its_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against running work that is given up, or whose answer is lost,
    because its node was only silent for a while.
    """
    async with _silent_node(monkeypatch) as (node, link):
        call = asyncio.create_task(
            link.run(call_open(confirm=True), _ignore_sent)
        )
        await node.received.wait()
        link.check()
        node.awake.set()
        async with asyncio.timeout(5):
            answer = await call
    assert answer.body == b'late'


async def test_call_of_a_stopping_node_outlives_a_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a call that a stopping node gives up, and then answers
    itself, as the node of its target was only silent for a while.
    """
    async with _silent_node(monkeypatch) as (node, link):
        call = asyncio.create_task(link.run(call_open(), _ignore_sent))
        await node.received.wait()
        link.check(keeps_waits=True)
        node.awake.set()
        async with asyncio.timeout(5):
            assert (await call).body == b'late'


async def test_unreserved_call_of_a_stopping_node_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a call that waits at a lost node until the end of the
    grace time, and is then refused, though no target can be at work on it.
    """
    async with _silent_node(monkeypatch) as (node, link):
        node.reserves = False
        call = asyncio.create_task(
            link.run(call_open(confirm=True), _ignore_sent)
        )
        await node.received.wait()
        link.check(keeps_waits=True)
        with pytest.raises(PlacementFault, match='unreachable') as fault:
            async with asyncio.timeout(1):
                await call
        node.awake.set()
    assert fault.value.not_run


async def test_call_that_may_run_again_leaves_a_silent_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an idempotent call that waits for a node that may never
    answer, and against further calls on the silent stream.
    """
    async with _silent_node(monkeypatch) as (node, link):
        call = asyncio.create_task(link.run(call_open(), _ignore_sent))
        await node.received.wait()
        link.check()
        with pytest.raises(PlacementFault, match='broken'):
            await call
        node.awake.set()
        async with asyncio.timeout(5):
            assert (await link.run(call_open(), _ignore_sent)).body == b'late'
        assert node.streams == 2


async def test_pause_of_a_node_is_no_silence_of_others() -> None:
    """Guards against calls that a node ends after a pause of its own, as the
    frames that arrived during it have not been read.
    """
    settings = node_settings()
    assert settings.mesh is not None
    node = MeshNode(settings, settings.mesh, HEADER_NAMES, NullMetrics())
    async with _serving_silent_node() as (silent, address):
        link = node.placer.links.link_to(address)
        call = asyncio.create_task(link.run(call_open(), _ignore_sent))
        await silent.received.wait()
        node.check()
        time.sleep(SILENCE_S + MIN_GAP_S)
        node.check()
        silent.awake.set()
        async with asyncio.timeout(5):
            assert (await call).body == b'late'
        node.placer.links.close()


def _fail(*_: Any) -> None:
    raise KeyError('unexpected')


async def test_unexpected_error_ends_its_call_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one unexpected error that ends the stream with all other
    calls, or that reports a call as not run.
    """
    async with _pair((b'', KEEP)) as (pair, target):
        running = asyncio.create_task(pair.run())
        while not target.requests:
            await asyncio.sleep(0.005)
        monkeypatch.setattr(LocalTarget, 'current_report', _fail)
        with pytest.raises(PlacementFault, match='unexpected') as fault:
            await pair.run()
        assert not fault.value.not_run
        assert not running.done()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


async def test_unfinished_calls_are_bounded() -> None:
    """Guards against a peer that fills the memory of the node with a body
    that never ends.
    """
    async with _pair() as (pair, target):
        async with connect_stream(pair.address, 1) as stream:
            hello = NodeHello(node='n2', data_centre='a', region='b')
            await stream.send(hello)
            await stream.send(call_open(more=True), 1)
            with pytest.raises(OSError):
                while True:
                    part = CallPart(body=bytes(PART_BYTES), more=True)
                    await stream.send(part, 1)
                    await asyncio.sleep(0)
        assert target.requests == 0
        assert (await pair.run()).body == b'good'


async def test_unread_refusals_are_bounded() -> None:
    """Guards against a peer that fills the memory of the node with refusals
    of its calls, which it does not read.
    """
    async with _pair() as (pair, _):
        reader, writer = await asyncio.open_connection(
            *pair.address.split(':'), limit=1
        )
        stream = FrameStream(reader, writer)
        await stream.send(NodeHello(node='n2', data_centre='a', region='b'))
        call = encode_frame(call_open(target='other'), 1)
        frames = (len(call).to_bytes(4, 'big') + call) * 1000
        sent = 0
        with suppress(TimeoutError):
            while sent < _UNREAD_BYTES:
                writer.write(frames)
                sent += len(frames)
                async with asyncio.timeout(2):
                    await writer.drain()
        assert sent < _UNREAD_BYTES
        assert (await pair.run()).body == b'good'
        writer.close()


async def _send_without_end(
    sent: list[int],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    stream = FrameStream(reader, writer)
    await stream.receive()
    opened = await stream.receive()
    while not writer.is_closing():
        part = CallPart(body=bytes(PART_BYTES), more=True)
        sent.append(PART_BYTES)
        await stream.send(part, opened.request_id)


async def test_answer_without_end_is_bounded() -> None:
    """Guards against a node whose answer fills the memory of the caller's
    node.
    """
    sent: list[int] = []
    server = await asyncio.start_server(
        partial(_send_without_end, sent), '127.0.0.1', 0
    )
    host, port = server.sockets[0].getsockname()
    link = PeerCallLink(f'{host}:{port}', node_settings(), _ignore_load)
    async with asyncio.timeout(20):
        with pytest.raises(PlacementFault, match='broken'):
            await link.run(call_open(), _ignore_sent)
    link.close()
    server.close()
    assert sum(sent) < 2 * MAX_HELD_BYTES
