"""Simulated nodes in one process, with real streams and without calls."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from typing import Final

from mustardspur_core.messages import (
    Announce,
    Applied,
    Busy,
    ConfigUpdate,
    Heartbeat,
    Hello,
    TargetUpdate,
)
from mustardspur_core.record import Record
from mustardspur_core.units import MS_PER_S
from mustardspur_core.wire import FrameStream, connect_stream

from benchmarks.capacity.meshes import make_target, node_name, service_name

CONNECT_TIMEOUT_S: Final = 10.0
HEARTBEAT_S: Final = 1.0
CONNECT_BATCH_SIZE: Final = 50


class SimulatedNode:
    """A simulated node, which acknowledges configurations as a node does.

    Parameters
    ----------
    number : int
        Number of the node, which determines its service.
    stream : FrameStream
        Stream to the control instance.
    """

    __slots__ = ('_number', '_service', 'configs', 'stream', 'targets')

    def __init__(self, number: int, stream: FrameStream) -> None:
        """Send the hello of the node and announce its target."""
        self._number = number
        self._service = service_name(number)
        self.stream = stream
        self.configs = 0
        self.targets = 0
        stream.enqueue(
            Hello(
                node=node_name(number),
                data_centre='split-a',
                region='dalmacija',
                incarnation=1,
                services=[self._service],
                config_indexes={},
                target_revisions={},
            ),
        )
        self.announce(incarnation=1)

    @property
    def traffic_bytes(self) -> int:
        """Bytes sent and received."""
        return self.stream.sent_bytes + self.stream.received_bytes

    def announce(self, incarnation: int) -> None:
        """Announce the target of the node."""
        target = make_target(self._number, incarnation)
        self.stream.enqueue(Announce(targets=[target]))

    async def receive_first_answer(self) -> Busy | None:
        """Return the refusal of a busy control instance, None if admitted."""
        frame = await self.stream.receive()
        if isinstance(frame.body, Busy):
            return frame.body
        self._count(frame.body)
        return None

    async def receive(self) -> None:
        """Receive and acknowledge updates until the stream ends."""
        while True:
            frame = await self.stream.receive()
            self._count(frame.body)

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        sequence = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            sequence += 1
            self.stream.enqueue(Heartbeat(sequence=sequence))

    def _count(self, body: Record) -> None:
        if isinstance(body, ConfigUpdate):
            self.configs += 1
            self._acknowledge(body)
        elif isinstance(body, TargetUpdate):
            self.targets += 1

    def _acknowledge(self, update: ConfigUpdate) -> None:
        self.stream.enqueue(
            Applied(
                service=update.service,
                index=update.index,
                pending_index=update.index,
                reason='',
            ),
        )


class SimulatedNodes:
    """Simulated nodes that are connected to a control instance.

    Parameters
    ----------
    address : str
        Address of the control instance for streams.
    stack : AsyncExitStack
        Closes the streams.
    """

    __slots__ = ('_address', '_stack', '_tasks', 'nodes')

    def __init__(self, address: str, stack: AsyncExitStack) -> None:
        """Initialise without nodes."""
        self._address = address
        self._stack = stack
        self._tasks: list[asyncio.Task[None]] = []
        self.nodes: list[SimulatedNode] = []

    async def grow(self, size: int) -> None:
        """Connect nodes until there are `size` of them."""
        while len(self.nodes) < size:
            missing = min(CONNECT_BATCH_SIZE, size - len(self.nodes))
            first = len(self.nodes)
            numbers = range(first, first + missing)
            await asyncio.gather(*map(self._connect, numbers))

    def stop(self) -> None:
        """Cancel the tasks of the nodes."""
        for task in self._tasks:
            task.cancel()

    @property
    def traffic_bytes(self) -> int:
        """Bytes sent and received by all nodes."""
        return sum(node.traffic_bytes for node in self.nodes)

    @property
    def configs(self) -> int:
        """Number of configurations that all nodes together received."""
        return sum(node.configs for node in self.nodes)

    async def _connect(self, number: int) -> None:
        node = await self._connect_until_admitted(number)
        self.nodes.append(node)
        self._tasks.append(asyncio.create_task(_receive_until_closed(node)))
        self._tasks.append(asyncio.create_task(node.send_heartbeats()))

    async def _connect_until_admitted(self, number: int) -> SimulatedNode:
        while True:
            stream = await self._stack.enter_async_context(
                connect_stream(self._address, CONNECT_TIMEOUT_S),
            )
            node = SimulatedNode(number, stream)
            busy = await node.receive_first_answer()
            if busy is None:
                return node
            await asyncio.sleep(busy.retry_after_ms / MS_PER_S)


@asynccontextmanager
async def simulated_nodes(address: str) -> AsyncIterator[SimulatedNodes]:
    """Yield simulated nodes; disconnect them at the end of the block."""
    async with AsyncExitStack() as stack:
        nodes = SimulatedNodes(address, stack)
        stack.callback(nodes.stop)
        yield nodes


async def _receive_until_closed(node: SimulatedNode) -> None:
    with suppress(OSError, EOFError):
        await node.receive()
