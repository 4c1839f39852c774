"""One control instance of the benchmark."""

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
    follow_always,
)
from benchmarks.distribution.topology import ControlPlace, control_settings


class BusyCounter:
    """Metrics that keep the number of refused nodes."""

    def __init__(self) -> None:
        """Start at 0."""
        self.busy = 0

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to the counter."""
        if stat == 'busy':
            self.busy += count

    def gauge(self, stat: str, value: float) -> None:
        """Drop a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Drop a duration."""


class PassingBarrier:
    """A read barrier that always passes; the log is not part of this."""

    async def read_barrier(self) -> Result[int, ProposalError]:
        """Pass."""
        return Ok(1)


class ServedControl:
    """Hub, registry and streams of an instance, with counted bytes."""

    def __init__(
        self,
        place: ControlPlace,
        indexes: dict[str, int],
        counts: Counter[int],
        full_push: bool,
    ) -> None:
        """Assemble the parts."""
        self.place = place
        self.address = ''
        self.metrics = BusyCounter()
        self.source = FeedSource(indexes)
        self._counts = counts
        settings = control_settings(place, '', [])
        self.registry = Registry(settings)
        make_hub = FullPushHub if full_push else Hub
        self.hub = make_hub(
            settings,
            self.source,
            self.registry,
            PassingBarrier(),
            Timeline(place.name, place.data_centre, None),
            self.metrics,
        )
        self.streams = node_streams(self.hub)
        self.streams.add(FeedHello, self.source.serve)

    async def listen(self, address: str | None) -> str:
        """Listen and return the address."""
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

    def knows(self, count: int) -> bool:
        """Return whether all targets of the region are known."""
        region = self.place.region
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


async def running(
    control: ServedControl,
    peers: list[Peer],
    connect: Connect,
    upstream: str | None,
) -> None:
    """Run an instance's relay, and its feed from another instance."""
    settings = control_settings(control.place, control.address, peers)
    leader = peers[0].id
    relay = Relay(settings, control.hub, lambda: leader, connect)
    control.streams.add(RelayHello, relay.serve)
    async with expiring(settings, control.registry), relay.running():
        if upstream is None:
            await asyncio.Event().wait()
            return
        await follow_always(
            control.source,
            control.place.name,
            partial(connect, upstream, 5),
        )
