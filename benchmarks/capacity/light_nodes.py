"""Many light nodes in one process: real streams, no calls."""

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

from benchmarks.capacity.meshes import node_of, service_of, target_of

CONNECT_LIMIT_S: Final = 10.0
HEARTBEAT_S: Final = 1.0
BATCH: Final = 50


class LightNode:
    """A node's end of its stream, answering as a node does.

    Parameters
    ----------
    number : int
        Place of the node, which gives its service.
    stream : FrameStream
        Stream to the control instance.
    """

    __slots__ = ('_number', '_service', 'configs', 'stream', 'targets')

    def __init__(self, number: int, stream: FrameStream) -> None:
        """Introduce the node and its target."""
        self._number = number
        self._service = service_of(number)
        self.stream = stream
        self.configs = 0
        self.targets = 0
        stream.enqueue(
            Hello(
                node=node_of(number),
                data_centre='split-a',
                region='dalmacija',
                incarnation=1,
                services=[self._service],
                held={},
                target_revisions={},
            ),
        )
        self.announce(incarnation=1)

    @property
    def traffic_bytes(self) -> int:
        """Bytes both ways."""
        return self.stream.sent_bytes + self.stream.received_bytes

    def announce(self, incarnation: int) -> None:
        """Announce the node's target."""
        target = target_of(self._number, incarnation)
        self.stream.enqueue(Announce(targets=[target]))

    async def first_answer(self) -> Busy | None:
        """Return the refusal of a control instance that has no place."""
        frame = await self.stream.receive()
        if isinstance(frame.body, Busy):
            return frame.body
        self._take(frame.body)
        return None

    async def receive(self) -> None:
        """Take and acknowledge updates, for ever."""
        while True:
            frame = await self.stream.receive()
            self._take(frame.body)

    async def beat(self) -> None:
        """Send heartbeats, for ever."""
        sequence = 0
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            sequence += 1
            self.stream.enqueue(Heartbeat(sequence=sequence))

    def _take(self, body: Record) -> None:
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


class LightNodes:
    """Connected light nodes of one control instance."""

    __slots__ = ('_address', '_stack', '_tasks', 'nodes')

    def __init__(self, address: str, stack: AsyncExitStack) -> None:
        """Connect to an address."""
        self._address = address
        self._stack = stack
        self._tasks: list[asyncio.Task[None]] = []
        self.nodes: list[LightNode] = []

    async def grow(self, size: int) -> None:
        """Connect more nodes until there are as many as asked for."""
        while len(self.nodes) < size:
            missing = min(BATCH, size - len(self.nodes))
            first = len(self.nodes)
            numbers = range(first, first + missing)
            await asyncio.gather(*map(self._connect, numbers))

    def stop(self) -> None:
        """Cancel the tasks of the nodes."""
        for task in self._tasks:
            task.cancel()

    @property
    def traffic_bytes(self) -> int:
        """Bytes both ways of all nodes."""
        return sum(node.traffic_bytes for node in self.nodes)

    @property
    def configs(self) -> int:
        """Configurations that arrived at all nodes."""
        return sum(node.configs for node in self.nodes)

    async def _connect(self, number: int) -> None:
        node = await self._admitted(number)
        self.nodes.append(node)
        self._tasks.append(asyncio.create_task(_until_closed(node)))
        self._tasks.append(asyncio.create_task(node.beat()))

    async def _admitted(self, number: int) -> LightNode:
        while True:
            stream = await self._stack.enter_async_context(
                connect_stream(self._address, CONNECT_LIMIT_S),
            )
            node = LightNode(number, stream)
            busy = await node.first_answer()
            if busy is None:
                return node
            await asyncio.sleep(busy.retry_after_ms / MS_PER_S)


@asynccontextmanager
async def light_nodes(address: str) -> AsyncIterator[LightNodes]:
    """Give light nodes that end with the block."""
    async with AsyncExitStack() as stack:
        nodes = LightNodes(address, stack)
        stack.callback(nodes.stop)
        yield nodes


async def _until_closed(node: LightNode) -> None:
    with suppress(OSError, EOFError):
        await node.receive()
