"""Process with a part of the nodes."""

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
    NodeSpec,
    node_settings,
    node_specs,
)
from benchmarks.distribution.worker import (
    CommandHandler,
    peak_memory_mib,
    processor_s,
)

# Hundreds of concurrent first full copies would delay the heartbeats of all
# nodes in the process. Nodes in separate processes do not have this problem.
MAX_CONNECTING: Final = 16
AppliedChange = tuple[str, str, int, float]


class ProxylessNode:
    """A node with its control stream and without a proxy.

    Parameters
    ----------
    spec : NodeSpec
        Name, location and services.
    control : list of str
        Addresses of control instances in order of preference.
    applied_changes : list
        Receives each index that comes into force, with its time.
    """

    def __init__(
        self,
        spec: NodeSpec,
        control: list[str],
        applied_changes: list[AppliedChange],
    ) -> None:
        """Initialise without a connection."""
        self.spec = spec
        self.control = control
        self._applied_changes = applied_changes
        self._counts: Counter[int] = Counter()
        self._closed_received_bytes = 0
        self._stream: FrameStream | None = None
        self._stack = AsyncExitStack()
        settings = node_settings(spec, control)
        timeline = Timeline(spec.name, spec.data_centre, None)
        self.applied_config = ConfigStore(settings, timeline, NullMetrics())
        # The constant clock keeps the leases of the targets from expiring.
        self._announcements = Announcements(settings, int)
        self.link = ControlLink(
            settings,
            self.applied_config,
            self._announcements,
            timeline,
            NullMetrics(),
            self._connect,
        )
        self._indexes: dict[str, int] = {}
        self.applied_config.on_change(self._record_change)
        self.announce(1)

    @property
    def traffic_bytes(self) -> int:
        """Bytes that the node has received and sent."""
        return self.received_bytes + sum(self._counts.values())

    @property
    def received_bytes(self) -> int:
        """Bytes that the node has received over all its streams."""
        current = self._stream.received_bytes if self._stream else 0
        return self._closed_received_bytes + current

    def announce(self, incarnation: int) -> None:
        """Announce the target of the node, as after its start."""
        host = self.spec.host
        self._announcements.accept(
            {
                'service': self.spec.services[0],
                'version': '1.4.0',
                'address': f'{host}:9000',
                'incarnation': incarnation,
                'slots': 9,
                'state': 'ready',
            },
        )

    def has_indexes(self, indexes: dict[str, int]) -> bool:
        """Return whether the node is connected and has the indexes in force."""
        return self.link.control is not None and all(
            self.applied_config.applied(service).index
            >= indexes.get(service, 1)
            for service in self.spec.services
        )

    async def start(self) -> None:
        """Connect to a control instance."""
        await self._stack.enter_async_context(self.link.running())

    async def stop(self) -> None:
        """Disconnect from the control instance."""
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
                self._closed_received_bytes += stream.received_bytes
                self._stream = None

    def _record_change(self, service: str) -> None:
        now_s = time.monotonic()
        self._record_index(
            service, self.applied_config.applied(service).index, now_s
        )
        view = self.applied_config.view(service)
        if view is not None:
            newest = max(
                (
                    target.incarnation
                    for targets in view.targets_by_version.values()
                    for target in targets
                ),
                default=0,
            )
            self._record_index(f'targets of {service}', newest, now_s)

    def _record_index(self, name: str, index: int, now_s: float) -> None:
        if index > self._indexes.get(name, 0):
            self._indexes[name] = index
            self._applied_changes.append((self.spec.name, name, index, now_s))


class NodeGroup:
    """The nodes whose number modulo the number of processes is a remainder.

    Parameters
    ----------
    remainder, workers : int
        The remainder and the number of processes.
    full_push : bool
        Whether to run the baseline.
    """

    def __init__(self, remainder: int, workers: int, full_push: bool) -> None:
        """Initialise without nodes."""
        self._remainder = remainder
        self._workers = workers
        self._nodes: list[ProxylessNode] = []
        self._applied_changes: list[AppliedChange] = []
        if full_push:
            module = importlib.import_module('mustardspur_node.control_link')
            setattr(module, 'Backoff', FixedBackoff)

    async def grow(self, count: int, control: dict[str, list[str]]) -> None:
        """Start nodes until all processes together have a number of nodes."""
        specs = node_specs(count)[self._remainder :: self._workers]
        while len(self._nodes) < len(specs):
            spec = specs[len(self._nodes)]
            node = ProxylessNode(
                spec, control[spec.data_centre], self._applied_changes
            )
            self._nodes.append(node)
            await node.start()
            await self._wait_for_capacity()

    async def wait_for(self, indexes: dict[str, int]) -> float:
        """Wait until all nodes have the indexes in force; return the time."""
        while not all(node.has_indexes(indexes) for node in self._nodes):
            await asyncio.sleep(0.02)
        return time.monotonic()

    async def take_applied_changes(self) -> list[AppliedChange]:
        """Return and remove the recorded changes that came into force."""
        applied_changes = list(self._applied_changes)
        self._applied_changes.clear()
        return applied_changes

    async def totals(self) -> dict[str, float]:
        """Return traffic, peak memory and processor time of the nodes."""
        return {
            'bytes': sum(node.traffic_bytes for node in self._nodes),
            'memory_mib': peak_memory_mib(),
            'processor_s': processor_s(),
        }

    async def announce(self, incarnations: dict[str, int]) -> float:
        """Announce restarted targets of some nodes; return the time."""
        for node in self._nodes:
            incarnation = incarnations.get(node.spec.name)
            if incarnation is not None:
                node.announce(incarnation)
        return time.monotonic()

    async def disconnect(self, names: list[str]) -> None:
        """Disconnect some nodes."""
        nodes = self._named(names)
        await asyncio.gather(*(node.stop() for node in nodes))

    async def reconnect(
        self,
        names: list[str],
        indexes: dict[str, int],
        lose_state: bool,
    ) -> int:
        """Reconnect some nodes and return the bytes that they receive.

        Parameters
        ----------
        names : list of str
            Names of the nodes.
        indexes : dict of int
            Indexes that they must have in force at the end.
        lose_state : bool
            Whether they start without their state; they are stopped again.
        """
        nodes = [
            ProxylessNode(node.spec, node.control, self._applied_changes)
            if lose_state
            else node
            for node in self._named(names)
        ]
        before = sum(node.received_bytes for node in nodes)
        await asyncio.gather(*(node.start() for node in nodes))
        while not all(node.has_indexes(indexes) for node in nodes):
            await asyncio.sleep(0.02)
        received = sum(node.received_bytes for node in nodes) - before
        if lose_state:
            await asyncio.gather(*(node.stop() for node in nodes))
        return received

    async def _wait_for_capacity(self) -> None:
        while self._connecting_count() >= MAX_CONNECTING:
            await asyncio.sleep(0.01)

    def _connecting_count(self) -> int:
        return sum(node.link.control is None for node in self._nodes)

    def _named(self, names: list[str]) -> list[ProxylessNode]:
        return [node for node in self._nodes if node.spec.name in names]


def make_node_group(
    remainder: int, workers: int, full_push: bool
) -> dict[str, CommandHandler]:
    """Return the handlers of a process with nodes, by command."""
    group = NodeGroup(remainder, workers, full_push)
    return {
        'grow': group.grow,
        'wait_for': group.wait_for,
        'take_applied_changes': group.take_applied_changes,
        'totals': group.totals,
        'announce': group.announce,
        'disconnect': group.disconnect,
        'reconnect': group.reconnect,
    }
