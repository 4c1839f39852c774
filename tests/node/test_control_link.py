"""Tests the stream of a node to control and its first configuration."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from mustardspur_core.messages import (
    Announce,
    Busy,
    Heartbeat,
    ProtocolFault,
    Welcome,
)
from mustardspur_core.record import Record
from mustardspur_core.wire import FrameStream

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
from tests.support.virtual_time import in_virtual_time, ticks, virtual_now_s

WELCOME = Welcome(control='c1', confirmed=True)


class ScriptedControl:
    """A control instance that sends fixed frames and then nothing."""

    def __init__(self, *frames: Record, last_heartbeat_s: float = 0) -> None:
        """Initialise with the frames and the time of the last heartbeat."""
        self._frames = frames
        self._last_heartbeat_s = last_heartbeat_s
        self.received: list[Record] = []

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a stream."""
        stream = FrameStream(reader, writer)
        for frame in self._frames:
            stream.enqueue(frame)
        heartbeats = asyncio.create_task(self._send_heartbeats(stream))
        while True:
            self.received.append((await stream.receive()).body)
            assert not heartbeats.cancelled()

    async def _send_heartbeats(self, stream: FrameStream) -> None:
        while virtual_now_s() < self._last_heartbeat_s:
            await asyncio.sleep(1)
            stream.enqueue(Heartbeat(sequence=1))


@asynccontextmanager
async def running(
    network: InProcessNetwork, **changes: Any
) -> AsyncIterator[Node]:
    """Run a node whose settings list all servers of the network."""
    fields = {'control': list(network.servers), **changes}
    settings = node_settings(**fields)
    node = Node(settings, network)
    async with node.link.running():
        yield node


def control(newest: int, *, passes: bool) -> Control:
    """Return a control instance with one configuration."""
    return Control(
        control_settings(),
        FakeConfigSource(config(newest)),
        FakeBarrier(passes=passes),
    )


@in_virtual_time
async def test_silent_stream_is_replaced() -> None:
    """Guards against a node that keeps using a silent stream."""
    network = InProcessNetwork()
    script = ScriptedControl(WELCOME, last_heartbeat_s=10)
    network.servers['c1'] = script.serve
    async with running(network) as node:
        await asyncio.sleep(11)
        node.announcements.accept(announcement())
        await asyncio.sleep(1.9)
        assert [at for at, _ in network.opened] == [0]
        await asyncio.sleep(0.35)
        assert len(network.opened) == 2
        # 3 s after the last frame, and a jittered delay of at most 0.1 s.
        assert round(network.opened[1][0]) == 13
        announced = [
            len(frame.targets)
            for frame in script.received
            if isinstance(frame, Announce)
        ]
        assert announced == [0, 1, 1]


@pytest.mark.parametrize(
    'frames',
    [
        (Announce(targets=[]),),
        (ProtocolFault(kind='type', detail=''),),
        (),
    ],
)
@in_virtual_time
async def test_faulty_instance_is_replaced_by_the_next(
    frames: tuple[Record, ...],
) -> None:
    """Guards against one faulty control instance that blocks a node."""
    network = InProcessNetwork()
    network.servers['c0'] = ScriptedControl(*frames).serve
    good = control(1, passes=True)
    network.servers['c1'] = good.streams.serve
    async with running(network) as node:
        await asyncio.sleep(4)
        assert node.link.control == 'c1'


@in_virtual_time
async def test_busy_instance_is_retried_later() -> None:
    """Guards against a refused node that retries at once."""
    network = InProcessNetwork()
    network.servers['c1'] = ScriptedControl(Busy(retry_after_ms=700)).serve
    async with running(network):
        await asyncio.sleep(2)
    assert [round(at, 1) for at, _ in network.opened] == [0, 0.7, 1.4]


@in_virtual_time
async def test_refused_attempts_are_spaced() -> None:
    """Guards against frequent connects while no control instance listens."""
    network = InProcessNetwork()
    async with running(network, control=['c8', 'c9']):
        await asyncio.sleep(10)
    assert 8 < len(network.opened) < 32


@pytest.mark.parametrize(
    ('reachable', 'passes', 'expected'),
    [
        # A confirmed state is current, so it is accepted.
        ({'c1': 7}, True, 7),
        # Without a quorum a single instance may lag behind.
        ({'c1': 7}, False, 0),
        ({'c1': 7, 'c2': 9}, False, 0),
        # Without a quorum, but with all answers: the highest index.
        ({'c1': 7, 'c2': 9, 'c3': 8}, False, 9),
    ],
)
@in_virtual_time
async def test_first_configuration_without_a_disk(
    reachable: dict[str, int],
    passes: bool,
    expected: int,
) -> None:
    """Guards against an older configuration after a restart."""
    network = InProcessNetwork()
    for address, newest in reachable.items():
        served = control(newest, passes=passes)
        network.servers[address] = served.streams.serve
    async with running(network, control=['c1', 'c2', 'c3']) as node:
        await asyncio.sleep(6)
        assert node.config_store.indexes.get('forms', 0) == expected
        if not expected:
            assert node.config_store.waiting['forms']


@in_virtual_time
async def test_instance_that_is_behind_changes_nothing() -> None:
    """Guards against an older configuration from another instance."""
    network = InProcessNetwork()
    ahead = control(9, passes=True)
    network.servers['c1'] = ahead.streams.serve
    async with running(network, control=['c1', 'c2']) as node:
        node.announcements.accept(announcement())
        await asyncio.sleep(0.5)
        network.servers['c2'] = control(5, passes=True).streams.serve
        network.servers.pop('c1')
        session = ahead.hub.sessions.by_node['n1']
        session.stream.close()
        async for _ in ticks(4, 1):
            view = node.config_store.view('forms')
            assert view is not None
            assert view.config.index == 9
        assert network.opened[-1][1] == 'c2'


@in_virtual_time
async def test_service_can_be_added() -> None:
    """Guards against a service on demand without a configuration."""
    network = InProcessNetwork()
    source = FakeConfigSource(config(1), config(3, service='stamps'))
    served = Control(control_settings(), source, FakeBarrier())
    network.servers['c1'] = served.streams.serve
    async with running(network) as node:
        await asyncio.sleep(0.5)
        node.link.subscribe('stamps')
        await asyncio.sleep(0.5)
        assert node.config_store.indexes == {'forms': 1, 'stamps': 3}
        assert len(network.opened) == 1
