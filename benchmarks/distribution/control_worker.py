"""The process with the control instances of one region."""

import asyncio
from collections import Counter
from contextlib import AbstractAsyncContextManager
from typing import Any

from mustardspur_core.settings import Peer
from mustardspur_core.wire import FrameStream

from benchmarks.distribution.counting import counted_stream
from benchmarks.distribution.delay_pipe import DelayPipe
from benchmarks.distribution.served_control import ServedControl, running
from benchmarks.distribution.topology import (
    control_places,
    make_config,
    region_name,
)
from benchmarks.distribution.worker import (
    Handle,
    peak_memory_mib,
    processor_s,
)


class RegionControl:
    """The control instances of a region, and its ends of the paid links.

    Parameters
    ----------
    region : int
        Number of the region.
    full_push : bool
        Whether to run the baseline.
    """

    def __init__(self, region: int, full_push: bool) -> None:
        """Prepare without listening."""
        self._region = region_name(region)
        self._full_push = full_push
        self._counts: Counter[int] = Counter()
        self._link_counts: Counter[str] = Counter()
        self._pipes: dict[str, str] = {}
        self._controls: list[ServedControl] = []
        self._far: list[ServedControl] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def listen(
        self,
        indexes: dict[str, int],
        addresses: dict[str, str],
    ) -> dict[str, str]:
        """Listen, on the same addresses after a restart."""
        self._controls = [
            ServedControl(place, indexes, self._counts, self._full_push)
            for place in control_places()
            if place.region == self._region
        ]
        listened = await asyncio.gather(
            *(
                control.listen(addresses.get(control.place.name))
                for control in self._controls
            ),
        )
        names = [control.place.name for control in self._controls]
        return dict(zip(names, listened, strict=True))

    async def join(self, peers: list[Peer]) -> None:
        """Start the relays and follow the source."""
        far = [peer for peer in peers if peer.region != self._region]
        listened = await asyncio.gather(
            *(
                DelayPipe(peer.stream, self._link_counts).listen()
                for peer in far
            ),
        )
        self._pipes = {
            peer.stream: pipe for peer, pipe in zip(far, listened, strict=True)
        }
        for control in self._controls:
            upstream = self._upstream(control, peers)
            if upstream in self._pipes:
                self._far.append(control)
            run = running(control, peers, self.connect, upstream)
            self._tasks.append(asyncio.create_task(run))

    def connect(
        self,
        address: str,
        timeout_s: float,
    ) -> AbstractAsyncContextManager[FrameStream]:
        """Open a counted stream, through a pipe to another region."""
        pipe = self._pipes.get(address, address)
        return counted_stream(pipe, timeout_s, self._counts)

    async def change(
        self,
        services: list[str],
        first_index: int,
        interval_s: float,
    ) -> list[tuple[str, int, float]]:
        """Accept changes at the source; return when each was accepted."""
        source = self._controls[0].source
        accepted = []
        index = first_index
        while index < first_index + len(services):
            service = services[index - first_index]
            at = source.put(make_config(service, index))
            accepted.append((service, index, at))
            index += 1
            await asyncio.sleep(interval_s)
        return accepted

    async def counters(self) -> dict[str, Any]:
        """Return the counts since the start of the process."""
        return {
            'sent': dict(self._counts),
            'link': dict(self._link_counts),
            'far_feed': sum(each.source.received for each in self._far),
            'memory_mib': peak_memory_mib(),
            'processor_s': processor_s(),
            'busy': sum(each.metrics.busy for each in self._controls),
            'peak_handshakes': max(
                each.hub.admission.peak for each in self._controls
            ),
        }

    async def wait_for_targets(self, count: int) -> None:
        """Wait until every instance knows all targets of the region."""
        while not all(each.knows(count) for each in self._controls):
            await asyncio.sleep(0.02)

    async def wait_for_reports(self, reports: dict[str, int]) -> None:
        """Wait until the leader knows that all nodes have an index."""
        leader = self._controls[0].hub
        while not all(
            row.report.index >= index
            for service, index in reports.items()
            for row in leader.applied.rows(service)
        ):
            await asyncio.sleep(0.02)

    def _upstream(
        self,
        control: ServedControl,
        peers: list[Peer],
    ) -> str | None:
        source = peers[0]
        if control.place.name == source.id:
            return None
        gateway = self._controls[0]
        if self._full_push or control is gateway:
            return source.stream
        return gateway.address


def make_control(region: int, full_push: bool) -> dict[str, Handle]:
    """Return the commands of a region's process."""
    control = RegionControl(region, full_push)
    return {
        'listen': control.listen,
        'join': control.join,
        'change': control.change,
        'counters': control.counters,
        'wait_for_targets': control.wait_for_targets,
        'wait_for_reports': control.wait_for_reports,
    }
