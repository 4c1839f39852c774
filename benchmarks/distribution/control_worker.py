"""Process with the control instances of one region."""

import asyncio
from collections import Counter
from contextlib import AbstractAsyncContextManager
from typing import Any

from mustardspur_core.settings import Peer
from mustardspur_core.wire import FrameStream

from benchmarks.distribution.control_instance import BenchControl, run_control
from benchmarks.distribution.counting import counted_stream
from benchmarks.distribution.delay_pipe import DelayPipe
from benchmarks.distribution.topology import (
    control_specs,
    make_config,
    region_name,
)
from benchmarks.distribution.worker import (
    CommandHandler,
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
        """Initialise without listening."""
        self._region = region_name(region)
        self._full_push = full_push
        self._counts: Counter[int] = Counter()
        self._link_counts: Counter[str] = Counter()
        self._pipes: dict[str, str] = {}
        self._controls: list[BenchControl] = []
        self._link_followers: list[BenchControl] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def listen(
        self,
        indexes: dict[str, int],
        addresses: dict[str, str],
    ) -> dict[str, str]:
        """Listen and return the addresses by name.

        Parameters
        ----------
        indexes : dict of int
            Newest index of each service.
        addresses : dict of str
            Addresses before a restart, which are used again.
        """
        self._controls = [
            BenchControl(spec, indexes, self._counts, self._full_push)
            for spec in control_specs()
            if spec.region == self._region
        ]
        addresses_by_control = await asyncio.gather(
            *(
                control.listen(addresses.get(control.spec.name))
                for control in self._controls
            ),
        )
        names = [control.spec.name for control in self._controls]
        return dict(zip(names, addresses_by_control, strict=True))

    async def join(self, peers: list[Peer]) -> None:
        """Start the relays and the feeds from the source."""
        remote_peers = [peer for peer in peers if peer.region != self._region]
        addresses_by_control = await asyncio.gather(
            *(
                DelayPipe(peer.stream, self._link_counts).listen()
                for peer in remote_peers
            ),
        )
        self._pipes = {
            peer.stream: pipe_address
            for peer, pipe_address in zip(
                remote_peers, addresses_by_control, strict=True
            )
        }
        for control in self._controls:
            upstream = self._upstream(control, peers)
            if upstream in self._pipes:
                self._link_followers.append(control)
            run_task = run_control(control, peers, self.connect, upstream)
            self._tasks.append(asyncio.create_task(run_task))

    def connect(
        self,
        address: str,
        timeout_s: float,
    ) -> AbstractAsyncContextManager[FrameStream]:
        """Open a counted stream; to another region, through a delay pipe."""
        pipe_address = self._pipes.get(address, address)
        return counted_stream(pipe_address, timeout_s, self._counts)

    async def change(
        self,
        services: list[str],
        first_index: int,
        interval_s: float,
    ) -> list[tuple[str, int, float]]:
        """Accept changes at the source.

        Returns
        -------
        list of tuple
            Service, index and time of acceptance of each change.
        """
        source = self._controls[0].source
        accepted = []
        index = first_index
        while index < first_index + len(services):
            service = services[index - first_index]
            accepted_s = source.put(make_config(service, index))
            accepted.append((service, index, accepted_s))
            index += 1
            await asyncio.sleep(interval_s)
        return accepted

    async def counters(self) -> dict[str, Any]:
        """Return the counters since the start of the process."""
        return {
            'sent': dict(self._counts),
            'link': dict(self._link_counts),
            'link_batches': sum(
                each.source.received_batches for each in self._link_followers
            ),
            'memory_mib': peak_memory_mib(),
            'processor_s': processor_s(),
            'busy': sum(each.metrics.busy for each in self._controls),
            'peak_handshakes': max(
                each.hub.admission.peak for each in self._controls
            ),
        }

    async def wait_for_targets(self, count: int) -> None:
        """Wait until all instances know all targets of the region."""
        while not all(each.has_targets(count) for each in self._controls):
            await asyncio.sleep(0.02)

    async def wait_for_reports(self, reports: dict[str, int]) -> None:
        """Wait until the leader has the reports of all nodes on an index."""
        leader = self._controls[0].hub
        while not all(
            row.report.index >= index
            for service, index in reports.items()
            for row in leader.applied.rows(service)
        ):
            await asyncio.sleep(0.02)

    def _upstream(
        self,
        control: BenchControl,
        peers: list[Peer],
    ) -> str | None:
        source = peers[0]
        if control.spec.name == source.id:
            return None
        gateway = self._controls[0]
        if self._full_push or control is gateway:
            return source.stream
        return gateway.address


def make_control(region: int, full_push: bool) -> dict[str, CommandHandler]:
    """Return the handlers of the process of a region, by command."""
    control = RegionControl(region, full_push)
    return {
        'listen': control.listen,
        'join': control.join,
        'change': control.change,
        'counters': control.counters,
        'wait_for_targets': control.wait_for_targets,
        'wait_for_reports': control.wait_for_reports,
    }
