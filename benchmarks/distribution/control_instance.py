"""Control instance of the benchmark."""

import asyncio
from collections import Counter
from functools import partial
from typing import Any

from expression import Ok, Result
from mustardspur_agreement.ports import ProposalError
from mustardspur_control.expiry import expiring
from mustardspur_control.hub import Hub
from mustardspur_control.node_stream import node_streams
from mustardspur_control.registry import Registry
from mustardspur_control.relay import Relay, RelayHello
from mustardspur_control.relay.peer_link import Connect
from mustardspur_core.settings import Peer
from mustardspur_core.timeline import Timeline

from benchmarks.distribution.baseline import FullPushHub
from benchmarks.distribution.counting import CountingWriter
from benchmarks.distribution.feed import (
    FeedHello,
    FeedSource,
    follow_with_retry,
)
from benchmarks.distribution.topology import ControlSpec, control_settings


class BusyCounter:
    """Metrics that count only the refused nodes."""

    def __init__(self) -> None:
        """Initialise at 0."""
        self.busy = 0

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to the number of refused nodes; ignore other counters."""
        if stat == 'busy':
            self.busy += count

    def gauge(self, stat: str, value: float) -> None:
        """Ignore a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Ignore a duration."""


class PassThroughBarrier:
    """Read barrier that always passes, since there is no replicated log."""

    async def read_barrier(self) -> Result[int, ProposalError]:
        """Return index 1."""
        return Ok(1)


class BenchControl:
    """Hub, registry and streams of a control instance, with counted bytes.

    Parameters
    ----------
    spec : ControlSpec
        Name and location.
    indexes : dict of int
        Newest index of each service.
    counts : Counter
        Sent bytes by type code.
    full_push : bool
        Whether to use the hub of the baseline.
    """

    def __init__(
        self,
        spec: ControlSpec,
        indexes: dict[str, int],
        counts: Counter[int],
        full_push: bool,
    ) -> None:
        """Initialise without listening."""
        self.spec = spec
        self.address = ''
        self.metrics = BusyCounter()
        self.source = FeedSource(indexes)
        self._counts = counts
        settings = control_settings(spec, '', [])
        self.registry = Registry(settings)
        hub_class = FullPushHub if full_push else Hub
        self.hub = hub_class(
            settings,
            self.source,
            self.registry,
            PassThroughBarrier(),
            Timeline(spec.name, spec.data_centre, None),
            self.metrics,
        )
        self.streams = node_streams(self.hub)
        self.streams.add(FeedHello, self.source.serve)

    async def listen(self, address: str | None) -> str:
        """Listen on an address, or on a free port; return the address."""
        port = int(address.rpartition(':')[2]) if address else 0
        server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            port,
            backlog=4096,
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self.address

    def has_targets(self, count: int) -> bool:
        """Return whether a number of targets of the region are known."""
        region = self.spec.region
        known = sum(
            target.region == region
            for service in self.registry.known_targets.services
            for target in self.registry.targets(service)
        )
        return known >= count

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        counted: Any = CountingWriter(writer, self._counts)
        await self.streams.serve(reader, counted)


async def run_control(
    control: BenchControl,
    peers: list[Peer],
    connect: Connect,
    upstream: str | None,
) -> None:
    """Run the relay of an instance and its feed from another instance."""
    settings = control_settings(control.spec, control.address, peers)
    leader = peers[0].id
    relay = Relay(settings, control.hub, lambda: leader, connect)
    control.streams.add(RelayHello, relay.serve)
    async with expiring(settings, control.registry), relay.running():
        if upstream is None:
            await asyncio.Event().wait()
            return
        await follow_with_retry(
            control.source,
            control.spec.name,
            partial(connect, upstream, 5),
        )
