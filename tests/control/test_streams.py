"""Tests the streams between a control instance and its nodes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgpack
import pytest
from mustardspur_control.admission import MAX_HANDSHAKES
from mustardspur_control.expiry import expiring
from mustardspur_core.messages import (
    Busy,
    ConfigUpdate,
    Heartbeat,
    Hello,
    ProtocolFault,
    Welcome,
)
from mustardspur_core.record import replaced
from mustardspur_core.wire import connect_stream, encode_frame

from tests.support.in_process_network import InProcessNetwork
from tests.support.processes import Control, Node
from tests.support.samples import (
    FakeBarrier,
    FakeConfigSource,
    announcement,
    config,
    control_settings,
    node_settings,
)
from tests.support.virtual_time import in_virtual_time, ticks

# Upper limit for a test that hangs.
HANG_LIMIT_S = 20
HELLO = Hello(
    node='slow',
    data_centre='split-a',
    region='dalmacija',
    incarnation=1,
    services=['forms'],
    config_indexes={},
    target_revisions={},
)


class ServedControl:
    """A control instance with its network and its configuration source."""

    def __init__(self, barrier: FakeBarrier | None = None) -> None:
        """Serve the control instance at address ``c1``."""
        self.source = FakeConfigSource(config(1))
        self.control = Control(
            control_settings(),
            self.source,
            barrier or FakeBarrier(),
        )
        self.network = InProcessNetwork()
        self.network.servers['c1'] = self.control.streams.serve

    @asynccontextmanager
    async def node(self, name: str = 'n1') -> AsyncIterator[Node]:
        """Run a node and the expiry of leases."""
        node = Node(node_settings(name), self.network)
        control = self.control
        async with expiring(control.settings, control.registry):
            async with node.link.running():
                yield node

    def index_of(self, node: str) -> int:
        """Return the index that the node reports."""
        row = self.control.hub.applied.row('forms', node)
        return row.report.index if row else 0


def ready_ids(node: Node) -> list[str]:
    """Return the identifiers of the node's ready targets."""
    view = node.config_store.view('forms')
    assert view is not None
    return [each.id for each in view.targets_by_version['1']]


@in_virtual_time
async def test_change_reaches_node_and_is_reported() -> None:
    """Guards against a change that is not sent or not reported."""
    served = ServedControl()
    async with served.node() as node:
        node.announcements.accept(announcement())
        await asyncio.sleep(0.5)
        assert ready_ids(node) == ['t1']
        served.source.put(config(5))
        await asyncio.sleep(0.5)
        assert served.index_of('n1') == 5


@pytest.mark.parametrize(
    ('changes', 'wait_s'),
    [({'state': 'draining'}, 0.5), ({}, 3.5)],
)
@in_virtual_time
async def test_draining_or_expired_target_is_removed(
    changes: dict[str, Any],
    wait_s: float,
) -> None:
    """Guards against calls to a target that drains or whose lease ended."""
    served = ServedControl()
    async with served.node() as node:
        # The registry of the control instance is settled after 9 s.
        async for _ in ticks(11, 1):
            node.announcements.accept(announcement())
        assert ready_ids(node) == ['t1']
        if changes:
            node.announcements.accept(announcement(**changes))
        await asyncio.sleep(wait_s)
        assert ready_ids(node) == []


@in_virtual_time
async def test_slow_node_delays_no_other() -> None:
    """Guards against one full buffer that delays the other streams."""
    served = ServedControl()
    async with served.network.connect('c1', 1) as slow, served.node() as node:
        node.announcements.accept(announcement())
        slow.enqueue(HELLO)
        await asyncio.sleep(0.5)
        async for index in ticks(3000, 0.001):
            served.source.put(config(index))
            slow.enqueue(Heartbeat(sequence=index))
        await asyncio.sleep(0.5)
        assert served.index_of('n1') == 2999
        session = served.control.hub.sessions.by_node['slow']
        assert len(session.dirty) <= 1
        # 3 s of changes go out in updates at least 0.05 s apart.
        assert slow.received_bytes + session.stream.sent_bytes < 40_000


async def answer_of(served: ServedControl) -> Busy:
    """Return the answer to a refused node."""
    async with served.network.connect('c1', 1) as stream:
        stream.enqueue(HELLO)
        busy = (await stream.receive()).body
        assert isinstance(busy, Busy)
        return busy


@in_virtual_time
async def test_refused_nodes_get_different_delays() -> None:
    """Guards against too many handshakes and equal retry delays."""
    served = ServedControl()
    admission = served.control.hub.admission
    admission.running = MAX_HANDSHAKES
    answers = await asyncio.gather(*(answer_of(served) for _ in range(5)))
    delays = {busy.retry_after_ms for busy in answers}
    assert len(delays) > 1
    admission.running = 0
    async with served.node():
        await asyncio.sleep(0.5)
        assert served.control.hub.sessions.by_node.keys() == {'n1'}


def framed(content: object) -> bytes:
    """Return a frame with its length, from an array or from bytes."""
    encoded = content if isinstance(content, bytes) else msgpack.packb(content)
    return len(encoded).to_bytes(4, 'big') + encoded


def last_frame(sent: bytes) -> bytes:
    """Return the last frame of a stream without its length."""
    while sent:
        end = 4 + int.from_bytes(sent[:4], 'big')
        frame, sent = sent[4:end], sent[end:]
    return frame


PROTOCOL_FAULT = 12
HELLO_BYTES = framed(encode_frame(replaced(HELLO, node='bad')))


@pytest.mark.parametrize(
    ('sent', 'kind'),
    [
        (bytes((0, 80, 0, 0)), 'length'),
        (b'\0\0', 'truncated'),
        (b'\0\0\0\x09abc', 'truncated'),
        (framed(b'\xc1'), 'msgpack'),
        (framed([2, 11, 0, [1]]), 'version'),
        (framed([1, 9999, 0, [1]]), 'type'),
        (framed([1, 11, 0]), 'shape'),
        (framed([1, 11, 0, ['x']]), 'fields'),
        (framed([1, 11, 0, [1]]), 'type'),
        (HELLO_BYTES * 2, 'type'),
        (HELLO_BYTES + framed([1, 9999, 0, [1]]), 'type'),
        (b''.join((HELLO_BYTES, b'\0\0\0\x09abc')), 'truncated'),
    ],
)
@in_virtual_time
async def test_malformed_frame_ends_one_stream(sent: bytes, kind: str) -> None:
    """Guards against uncounted faults and faults that end other streams."""
    served = ServedControl()
    async with served.node() as node:
        node.announcements.accept(announcement())
        await asyncio.sleep(0.5)
        answer = await served.network.exchange('c1', sent)
        assert kind.encode() in answer
        assert msgpack.unpackb(last_frame(answer))[1] == PROTOCOL_FAULT
        assert served.control.metrics.counts[f'malformed.{kind}'] == 1
        served.source.put(config(2))
        await asyncio.sleep(0.5)
        assert served.index_of('n1') == 2
        assert served.network.opened == [(0, 'c1')]


async def test_connection_is_closed_after_a_fault() -> None:
    """Guards against a connection that stays open after a fault."""
    serve = ServedControl().control.streams.serve
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    async with connect_stream(f'{host}:{port}', HANG_LIMIT_S) as bad:
        bad.enqueue_encoded(msgpack.packb([1, 9999, 0, [1]]))
        assert isinstance((await bad.receive()).body, ProtocolFault)
        with pytest.raises(asyncio.IncompleteReadError):
            await asyncio.wait_for(bad.receive(), HANG_LIMIT_S)
    server.close()


@in_virtual_time
async def test_instance_that_is_behind_sends_nothing_older() -> None:
    """Guards against sending an older configuration to a node."""
    served = ServedControl()
    async with served.network.connect('c1', 1) as ahead:
        ahead.enqueue(replaced(HELLO, config_indexes={'forms': 7}))
        received: list[object] = []
        while not received or not isinstance(received[-1], Welcome):
            received.append((await ahead.receive()).body)
    assert not any(isinstance(body, ConfigUpdate) for body in received)
