"""A process with a part of the fleet's nodes."""

import asyncio
import importlib
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Final

from mustardspur_core.metrics import NullMetrics
from mustardspur_core.timeline import Timeline
from mustardspur_core.wire import FrameStream
from mustardspur_node.announcements import Announcements
from mustardspur_node.config_store import ConfigStore
from mustardspur_node.control_link import ControlLink

from benchmarks.distribution.baseline import FixedBackoff
from benchmarks.distribution.counting import counted_stream
from benchmarks.distribution.topology import (
    NodePlace,
    node_places,
    node_settings,
)
from benchmarks.distribution.worker import (
    Handle,
    peak_memory_mib,
    processor_s,
)

# Hundreds of first full copies at once keep one process from its heartbeats,
# which separate processes would not see.
MAX_STARTING: Final = 16
Seen = tuple[str, str, int, float]


class LightNode:
    """A node with its control stream, and no proxy.

    Parameters
    ----------
    place : NodePlace
        Where it runs.
    control : list of str
        Control instances in order.
    seen : list
        Gets each index that comes into force, with its time.
    """

    def __init__(
        self,
        place: NodePlace,
        control: list[str],
        seen: list[Seen],
    ) -> None:
        """Assemble the parts."""
        self.place = place
        self.control = control
        self._seen = seen
        self._counts: Counter[int] = Counter()
        self._received = 0
        self._stream: FrameStream | None = None
        self._stack = AsyncExitStack()
        settings = node_settings(place, control)
        timeline = Timeline(place.name, place.data_centre, None)
        self.held = ConfigStore(settings, timeline, NullMetrics())
        # A clock that stands still, since no target has to renew its lease.
        self._announcements = Announcements(settings, int)
        self.link = ControlLink(
            settings,
            self.held,
            self._announcements,
            timeline,
            NullMetrics(),
            self._connect,
        )
        self._indexes: dict[str, int] = {}
        self.held.on_change(self._note)
        self.announce(1)

    @property
    def bytes_both_ways(self) -> int:
        """Bytes that the node received and sent."""
        return self.received_bytes + sum(self._counts.values())

    @property
    def received_bytes(self) -> int:
        """Bytes that the node received over all its streams."""
        current = self._stream.received_bytes if self._stream else 0
        return self._received + current

    def announce(self, incarnation: int) -> None:
        """Announce the node's target, as after a start."""
        host = self.place.host
        self._announcements.accept(
            {
                'service': self.place.services[0],
                'version': '1.4.0',
                'address': f'{host}:9000',
                'incarnation': incarnation,
                'slots': 9,
                'state': 'ready',
            },
        )

    def holds(self, indexes: dict[str, int]) -> bool:
        """Return whether the node is connected and has some indexes."""
        return self.link.control is not None and all(
            self.held.applied(service).index >= indexes.get(service, 1)
            for service in self.place.services
        )

    async def start(self) -> None:
        """Connect."""
        await self._stack.enter_async_context(self.link.running())

    async def stop(self) -> None:
        """Disconnect."""
        await self._stack.aclose()

    @asynccontextmanager
    async def _connect(
        self,
        address: str,
        timeout_s: float,
    ) -> AsyncIterator[FrameStream]:
        async with counted_stream(address, timeout_s, self._counts) as stream:
            self._stream = stream
            try:
                yield stream
            finally:
                self._received += stream.received_bytes
                self._stream = None

    def _note(self, service: str) -> None:
        now_s = time.monotonic()
        self._see(service, self.held.applied(service).index, now_s)
        view = self.held.view(service)
        if view is not None:
            newest = max(
                (
                    target.incarnation
                    for targets in view.targets_by_version.values()
                    for target in targets
                ),
                default=0,
            )
            self._see(f'targets of {service}', newest, now_s)

    def _see(self, name: str, index: int, now_s: float) -> None:
        if index > self._indexes.get(name, 0):
            self._indexes[name] = index
            self._seen.append((self.place.name, name, index, now_s))


class Fleet:
    """Every node whose number leaves a given rest.

    Parameters
    ----------
    rest, workers : int
        The rest and the number of processes.
    full_push : bool
        Whether to run the baseline.
    """

    def __init__(self, rest: int, workers: int, full_push: bool) -> None:
        """Start without nodes."""
        self._rest = rest
        self._workers = workers
        self._nodes: list[LightNode] = []
        self._seen: list[Seen] = []
        if full_push:
            module = importlib.import_module('mustardspur_node.control_link')
            setattr(module, 'Backoff', FixedBackoff)

    async def grow(self, count: int, control: dict[str, list[str]]) -> None:
        """Start nodes up to a size of the whole fleet."""
        places = node_places(count)[self._rest :: self._workers]
        while len(self._nodes) < len(places):
            place = places[len(self._nodes)]
            node = LightNode(place, control[place.data_centre], self._seen)
            self._nodes.append(node)
            await node.start()
            await self._wait_for_place()

    async def wait_for(self, indexes: dict[str, int]) -> float:
        """Wait until all nodes are connected and hold some indexes."""
        while not all(node.holds(indexes) for node in self._nodes):
            await asyncio.sleep(0.02)
        return time.monotonic()

    async def take_seen(self) -> list[Seen]:
        """Return and forget what came into force."""
        seen = list(self._seen)
        self._seen.clear()
        return seen

    async def totals(self) -> dict[str, float]:
        """Return the bytes of all nodes both ways, and the peak memory."""
        return {
            'bytes': sum(node.bytes_both_ways for node in self._nodes),
            'memory_mib': peak_memory_mib(),
            'processor_s': processor_s(),
        }

    async def announce(self, incarnations: dict[str, int]) -> float:
        """Let the targets of some nodes start again; return the time."""
        for node in self._nodes:
            incarnation = incarnations.get(node.place.name)
            if incarnation is not None:
                node.announce(incarnation)
        return time.monotonic()

    async def leave(self, names: list[str]) -> None:
        """Disconnect some nodes."""
        nodes = self._named(names)
        await asyncio.gather(*(node.stop() for node in nodes))

    async def come_back(
        self,
        names: list[str],
        indexes: dict[str, int],
        forget: bool,
    ) -> int:
        """Connect some nodes; return the bytes that they receive.

        Parameters
        ----------
        names : list of str
            The nodes.
        indexes : dict of int
            What they have to hold in the end.
        forget : bool
            Whether they lost all that they held.
        """
        nodes = [
            LightNode(node.place, node.control, self._seen) if forget else node
            for node in self._named(names)
        ]
        before = sum(node.received_bytes for node in nodes)
        await asyncio.gather(*(node.start() for node in nodes))
        while not all(node.holds(indexes) for node in nodes):
            await asyncio.sleep(0.02)
        received = sum(node.received_bytes for node in nodes) - before
        if forget:
            await asyncio.gather(*(node.stop() for node in nodes))
        return received

    async def _wait_for_place(self) -> None:
        while self._starting() >= MAX_STARTING:
            await asyncio.sleep(0.01)

    def _starting(self) -> int:
        return sum(node.link.control is None for node in self._nodes)

    def _named(self, names: list[str]) -> list[LightNode]:
        return [node for node in self._nodes if node.place.name in names]


def make_fleet(rest: int, workers: int, full_push: bool) -> dict[str, Handle]:
    """Return the commands of a process with nodes."""
    fleet = Fleet(rest, workers, full_push)
    return {
        'grow': fleet.grow,
        'wait_for': fleet.wait_for,
        'take_seen': fleet.take_seen,
        'totals': fleet.totals,
        'announce': fleet.announce,
        'leave': fleet.leave,
        'come_back': fleet.come_back,
    }
