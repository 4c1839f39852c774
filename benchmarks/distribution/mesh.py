"""Processes of a run: control instances and nodes."""

import time
from collections import Counter
from typing import Final

from mustardspur_core.settings import Peer

from benchmarks.distribution.control_worker import make_control
from benchmarks.distribution.node_worker import make_node_group
from benchmarks.distribution.topology import (
    REGIONS,
    NodeSpec,
    control_names_by_distance,
    control_specs,
    node_specs,
)
from benchmarks.distribution.worker import Worker, call_all

NODE_WORKERS: Final = 4


class DistributionMesh:
    """Control instances in one process per region, and nodes in others.

    Parameters
    ----------
    full_push : bool
        Whether to run the baseline.
    """

    def __init__(self, full_push: bool) -> None:
        """Start the processes without nodes."""
        self._full_push = full_push
        self.indexes: dict[str, int] = {}
        self.size = 0
        self.control: list[Worker] = []
        self._addresses: dict[str, str] = {}
        self.node_workers = [
            Worker(make_node_group, remainder, NODE_WORKERS, full_push)
            for remainder in range(NODE_WORKERS)
        ]
        self.started_at: float = 0
        self.start_control()

    @property
    def specs(self) -> list[NodeSpec]:
        """Specifications of all running nodes."""
        return node_specs(self.size)

    @property
    def next_index(self) -> int:
        """Index of the next change."""
        return max(self.indexes.values(), default=1) + 1

    def start_control(self) -> None:
        """Start all control instances; a restart keeps their addresses."""
        self.control = [
            Worker(make_control, region, self._full_push)
            for region in range(REGIONS)
        ]
        addresses_by_worker = call_all(
            self.control,
            'listen',
            indexes=self.indexes,
            addresses=self._addresses,
        )
        self.started_at = time.monotonic()
        for addresses in addresses_by_worker:
            self._addresses.update(addresses)
        call_all(self.control, 'join', peers=self._peers())

    def kill_control(self) -> None:
        """Kill all control instances."""
        for worker in self.control:
            worker.kill()

    def stop(self) -> None:
        """Kill all processes."""
        self.kill_control()
        for worker in self.node_workers:
            worker.kill()

    def grow(self, size: int) -> None:
        """Start nodes up to a total number and wait until all are current."""
        self.size = size
        for worker in self.node_workers:
            worker.send('grow', count=size, control=self._control_lists())
        for ready_worker in self.node_workers:
            ready_worker.receive()
        self.wait_until_current()

    def wait_until_current(self) -> float:
        """Wait until nodes and registries are up to date; return the time."""
        end_times_s = call_all(
            self.node_workers, 'wait_for', indexes=self.indexes
        )
        counts = Counter(spec.region for spec in self.specs)
        for number, worker in enumerate(self.control):
            worker.send('wait_for_targets', count=counts[f'region-{number}'])
        for ready_worker in self.control:
            ready_worker.receive()
        return max(time.monotonic(), *map(float, end_times_s))

    def change(
        self,
        services: list[str],
        interval_s: float,
    ) -> list[tuple[str, int, float]]:
        """Change services one after another and wait for the nodes.

        Returns
        -------
        list of tuple
            Service, index and time of acceptance of each change.
        """
        accepted: list[tuple[str, int, float]] = self.control[0].call(
            'change',
            services=services,
            first_index=self.next_index,
            interval_s=interval_s,
        )
        for service, index, _ in accepted:
            self.indexes[service] = index
        self.wait_until_current()
        return accepted

    def wait_for_reports(self) -> float:
        """Wait until the leader has all reports; return the time."""
        self.control[0].call('wait_for_reports', reports=self.indexes)
        return time.monotonic()

    def _control_lists(self) -> dict[str, list[str]]:
        return {
            spec.data_centre: [
                self._addresses[name]
                for name in control_names_by_distance(spec)
            ]
            for spec in control_specs()
        }

    def _peers(self) -> list[Peer]:
        return [
            Peer(
                id=spec.name,
                stream=self._addresses[spec.name],
                http='127.0.0.1:1',
                data_centre=spec.data_centre,
                region=spec.region,
                voter=spec.name == 'c00',
            )
            for spec in control_specs()
        ]
