"""Costs of a node against the targets that it holds."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientSession
from mustardspur_core.messages import Announce, Heartbeat, Hello
from mustardspur_core.record import Record
from mustardspur_core.state import Target, TargetState
from mustardspur_core.tasks import background
from mustardspur_core.wire import FrameStream, connect_stream

from benchmarks.capacity.fitting import Costs, Slope
from benchmarks.capacity.meshes import (
    VERSION,
    Editor,
    MeasuredControl,
    free_address,
    running_control,
)
from benchmarks.capacity.processes import daemon, usage_of

TARGET_SIZES: Final = (15, 60, 150, 600)
SERVICE: Final = 'measured'
PROFILE: Final = 'measured'
SETTLE_S: Final = 4.0
IDLE_S: Final = 5.0
CHURN_CHANGES: Final = 50
CHURN_GAP_S: Final = 0.06
CONNECT_LIMIT_S: Final = 10.0


class TargetFeed:
    """A light node that announces many targets of one service."""

    __slots__ = ('_incarnations', '_stream')

    def __init__(self, stream: FrameStream) -> None:
        """Introduce the light node."""
        self._stream = stream
        self._incarnations: list[int] = []
        stream.enqueue(
            Hello(
                node='feed',
                data_centre='split-a',
                region='dalmacija',
                incarnation=1,
                services=[],
                held={},
                target_revisions={},
            ),
        )

    def grow(self, size: int) -> None:
        """Announce so many targets."""
        missing = size - len(self._incarnations)
        self._incarnations.extend(1 for _ in range(missing))
        self._announce()

    def change_one(self, place: int) -> None:
        """Announce a restart of one target."""
        self._incarnations[place % len(self._incarnations)] += 1
        self._announce()

    async def beat(self) -> None:
        """Send heartbeats, for ever."""
        while True:
            await asyncio.sleep(1)
            self._stream.enqueue(Heartbeat(sequence=0))

    async def drain(self) -> None:
        """Read what the control instance sends, for ever."""
        while True:
            await self._stream.receive()

    def _announce(self) -> None:
        targets = [
            _target(place, incarnation)
            for place, incarnation in enumerate(self._incarnations)
        ]
        self._stream.enqueue(Announce(targets=targets))


class _Counted(Record):
    """What a node has spent so far."""

    __slots__ = ('cpu_s', 'traffic_bytes')
    cpu_s: float
    traffic_bytes: int


class _MeasuredNode:
    """A running node, its counters and the points measured so far."""

    __slots__ = ('_process_id', '_session', '_url', 'costs')

    def __init__(
        self,
        process_id: int,
        address: str,
        session: ClientSession,
    ) -> None:
        """Read the counters of a process and of its status page."""
        self._process_id = process_id
        self._url = f'http://{address}/mustardspur/v1/status'
        self._session = session
        self.costs = Costs()

    async def measure_idle(self, size: int) -> None:
        """Measure while nothing changes."""
        before = await self._counted()
        await asyncio.sleep(IDLE_S)
        after = await self._counted()
        percent = (after.cpu_s - before.cpu_s) / IDLE_S * 100
        traffic = (after.traffic_bytes - before.traffic_bytes) / IDLE_S
        resident = usage_of(self._process_id).resident_mib
        self.costs.add('resident memory', 'MiB', size, resident)
        self.costs.add('idle processor time', '% of a core', size, percent)
        self.costs.add('idle traffic', 'bytes/s', size, traffic)

    async def measure_churn(self, size: int, feed: TargetFeed) -> None:
        """Measure while targets restart one after another."""
        before = await self._counted()
        for place in range(CHURN_CHANGES):
            feed.change_one(place)
            await asyncio.sleep(CHURN_GAP_S)
        await asyncio.sleep(1)
        after = await self._counted()
        took_s = CHURN_CHANGES * CHURN_GAP_S + 1
        idle_s = self.costs.newest('idle processor time') / 100 * took_s
        idle_bytes = self.costs.newest('idle traffic') * took_s
        spent_s = after.cpu_s - before.cpu_s - idle_s
        spent_bytes = after.traffic_bytes - before.traffic_bytes - idle_bytes
        self.costs.add(
            'processor time a target change',
            'ms',
            size,
            spent_s / CHURN_CHANGES * 1000,
        )
        self.costs.add(
            'traffic a target change',
            'bytes',
            size,
            spent_bytes / CHURN_CHANGES,
        )

    async def _counted(self) -> _Counted:
        async with self._session.get(self._url) as response:
            status: dict[str, Any] = await response.json()
        sent = status['control_bytes_sent']
        return _Counted(
            cpu_s=usage_of(self._process_id).cpu_s,
            traffic_bytes=sent + status['control_bytes_received'],
        )


async def measure_node(folder: Path) -> list[Slope]:
    """Measure a node at several numbers of targets."""
    async with running_control(folder) as control, ClientSession() as session:
        editor = Editor(session, control.http)
        await editor.put_profile(PROFILE, 0)
        await editor.follow(SERVICE, PROFILE)
        async with _feeding(control) as feed, _node(control, session) as node:
            for size in TARGET_SIZES:
                feed.grow(size)
                await asyncio.sleep(SETTLE_S)
                await node.measure_idle(size)
                await node.measure_churn(size, feed)
            return node.costs.slopes('node', 'targets held')


@asynccontextmanager
async def _feeding(control: MeasuredControl) -> AsyncIterator[TargetFeed]:
    async with connect_stream(control.stream, CONNECT_LIMIT_S) as stream:
        feed = TargetFeed(stream)
        async with background(feed.beat(), feed.drain()):
            yield feed


@asynccontextmanager
async def _node(
    control: MeasuredControl,
    session: ClientSession,
) -> AsyncIterator[_MeasuredNode]:
    address = free_address()
    folder = control.folder / 'node'
    folder.mkdir()
    document = {
        'role': 'node',
        'id': 'measured-node',
        'data_centre': 'split-a',
        'region': 'dalmacija',
        'listen': {'http': address},
        'control': [control.stream],
        'service': SERVICE,
    }
    async with daemon(folder, document) as process_id:
        yield _MeasuredNode(process_id, address, session)


def _target(place: int, incarnation: int) -> Target:
    host = socket.inet_ntoa((0x7F020000 + place).to_bytes(4, 'big'))
    return Target(
        id=f'target-{place}',
        service=SERVICE,
        version=VERSION,
        address=f'{host}:9000',
        incarnation=incarnation,
        slots=9,
        state=str(TargetState.READY),
        node='feed',
        data_centre='split-a',
        region='dalmacija',
    )
