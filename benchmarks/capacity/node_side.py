"""Costs of a node by number of known targets."""

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
from benchmarks.capacity.processes import read_usage, running_daemon

TARGET_SIZES: Final = (15, 60, 150, 600)
SERVICE: Final = 'measured'
PROFILE: Final = 'measured'
SETTLE_S: Final = 4.0
IDLE_S: Final = 5.0
CHURN_CHANGES: Final = 50
CHURN_INTERVAL_S: Final = 0.06
CONNECT_TIMEOUT_S: Final = 10.0


class TargetAnnouncer:
    """Simulated node that announces many targets of one service.

    Parameters
    ----------
    stream : FrameStream
        Stream to the control instance.
    """

    __slots__ = ('_incarnations', '_stream')

    def __init__(self, stream: FrameStream) -> None:
        """Send the hello of the simulated node."""
        self._stream = stream
        self._incarnations: list[int] = []
        stream.enqueue(
            Hello(
                node='feed',
                data_centre='split-a',
                region='dalmacija',
                incarnation=1,
                services=[],
                config_indexes={},
                target_revisions={},
            ),
        )

    def grow(self, size: int) -> None:
        """Announce `size` targets."""
        missing = size - len(self._incarnations)
        self._incarnations.extend(1 for _ in range(missing))
        self._announce()

    def restart_target(self, number: int) -> None:
        """Announce the restart of a target."""
        self._incarnations[number % len(self._incarnations)] += 1
        self._announce()

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await asyncio.sleep(1)
            self._stream.enqueue(Heartbeat(sequence=0))

    async def discard_received(self) -> None:
        """Receive and discard messages until the stream ends."""
        while True:
            await self._stream.receive()

    def _announce(self) -> None:
        targets = [
            _target(number, incarnation)
            for number, incarnation in enumerate(self._incarnations)
        ]
        self._stream.enqueue(Announce(targets=targets))


class _NodeCounters(Record):
    """Processor time and control traffic of a node since its start."""

    __slots__ = ('cpu_s', 'traffic_bytes')
    cpu_s: float
    traffic_bytes: int


class _MeasuredNode:
    """A running node and its measured costs.

    Parameters
    ----------
    process_id : int
        Identifier of its process.
    address : str
        HTTP address of its status page.
    session : ClientSession
        Session for the status page.
    """

    __slots__ = ('_process_id', '_session', '_url', 'costs')

    def __init__(
        self,
        process_id: int,
        address: str,
        session: ClientSession,
    ) -> None:
        """Initialise without measured costs."""
        self._process_id = process_id
        self._url = f'http://{address}/mustardspur/v1/status'
        self._session = session
        self.costs = Costs()

    async def measure_idle(self, size: int) -> None:
        """Measure the costs without changes."""
        before = await self._read_counters()
        await asyncio.sleep(IDLE_S)
        after = await self._read_counters()
        percent = (after.cpu_s - before.cpu_s) / IDLE_S * 100
        traffic = (after.traffic_bytes - before.traffic_bytes) / IDLE_S
        resident = read_usage(self._process_id).resident_mib
        self.costs.add('resident memory', 'MiB', size, resident)
        self.costs.add('idle processor time', '% of a core', size, percent)
        self.costs.add('idle traffic', 'bytes/s', size, traffic)

    async def measure_churn(
        self, size: int, announcer: TargetAnnouncer
    ) -> None:
        """Measure the additional costs of target restarts."""
        before = await self._read_counters()
        for number in range(CHURN_CHANGES):
            announcer.restart_target(number)
            await asyncio.sleep(CHURN_INTERVAL_S)
        await asyncio.sleep(1)
        after = await self._read_counters()
        duration_s = CHURN_CHANGES * CHURN_INTERVAL_S + 1
        idle_s = self.costs.last('idle processor time') / 100 * duration_s
        idle_bytes = self.costs.last('idle traffic') * duration_s
        cpu_s = after.cpu_s - before.cpu_s - idle_s
        added_bytes = after.traffic_bytes - before.traffic_bytes - idle_bytes
        self.costs.add(
            'processor time a target change',
            'ms',
            size,
            cpu_s / CHURN_CHANGES * 1000,
        )
        self.costs.add(
            'traffic a target change',
            'bytes',
            size,
            added_bytes / CHURN_CHANGES,
        )

    async def _read_counters(self) -> _NodeCounters:
        async with self._session.get(self._url) as response:
            status: dict[str, Any] = await response.json()
        sent = status['control_bytes_sent']
        return _NodeCounters(
            cpu_s=read_usage(self._process_id).cpu_s,
            traffic_bytes=sent + status['control_bytes_received'],
        )


async def measure_node(folder: Path) -> list[Slope]:
    """Measure a node with several numbers of targets."""
    async with running_control(folder) as control, ClientSession() as session:
        editor = Editor(session, control.http)
        await editor.put_profile(PROFILE, 0)
        await editor.follow(SERVICE, PROFILE)
        async with (
            _running_announcer(control) as announcer,
            _running_node(control, session) as node,
        ):
            for size in TARGET_SIZES:
                announcer.grow(size)
                await asyncio.sleep(SETTLE_S)
                await node.measure_idle(size)
                await node.measure_churn(size, announcer)
            return node.costs.slopes('node', 'targets held')


@asynccontextmanager
async def _running_announcer(
    control: MeasuredControl,
) -> AsyncIterator[TargetAnnouncer]:
    async with connect_stream(control.stream, CONNECT_TIMEOUT_S) as stream:
        announcer = TargetAnnouncer(stream)
        async with background(
            announcer.send_heartbeats(), announcer.discard_received()
        ):
            yield announcer


@asynccontextmanager
async def _running_node(
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
    async with running_daemon(folder, document) as process_id:
        yield _MeasuredNode(process_id, address, session)


def _target(number: int, incarnation: int) -> Target:
    host = socket.inet_ntoa((0x7F020000 + number).to_bytes(4, 'big'))
    return Target(
        id=f'target-{number}',
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
