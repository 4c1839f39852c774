"""All processes of a run, and what is measured over them."""

import time
from collections import Counter
from typing import Final

from mustardspur_core.settings import Peer

from benchmarks.distribution.control_worker import make_control
from benchmarks.distribution.node_worker import make_fleet
from benchmarks.distribution.topology import (
    REGIONS,
    NodePlace,
    control_places,
    nearest_names,
    node_places,
)
from benchmarks.distribution.worker import Worker, call_all

NODE_WORKERS: Final = 4


class Mesh:
    """Control instances in one process a region, nodes in a few more.

    Parameters
    ----------
    full_push : bool
        Whether to run the baseline.
    """

    def __init__(self, full_push: bool) -> None:
        """Start the processes, with no node yet."""
        self._full_push = full_push
        self.indexes: dict[str, int] = {}
        self.size = 0
        self.control: list[Worker] = []
        self._addresses: dict[str, str] = {}
        self.fleets = [
            Worker(make_fleet, rest, NODE_WORKERS, full_push)
            for rest in range(NODE_WORKERS)
        ]
        self.started_at: float = 0
        self.start_control()

    @property
    def places(self) -> list[NodePlace]:
        """Places of all nodes that run."""
        return node_places(self.size)

    @property
    def next_index(self) -> int:
        """Index of the next change."""
        return max(self.indexes.values(), default=1) + 1

    def start_control(self) -> None:
        """Start every control instance, on the same addresses as before."""
        self.control = [
            Worker(make_control, region, self._full_push)
            for region in range(REGIONS)
        ]
        listened = call_all(
            self.control,
            'listen',
            indexes=self.indexes,
            addresses=self._addresses,
        )
        self.started_at = time.monotonic()
        for addresses in listened:
            self._addresses.update(addresses)
        call_all(self.control, 'join', peers=self._peers())

    def kill_control(self) -> None:
        """End every control instance at once."""
        for worker in self.control:
            worker.kill()

    def end(self) -> None:
        """End all processes."""
        self.kill_control()
        for worker in self.fleets:
            worker.kill()

    def grow(self, size: int) -> None:
        """Start nodes up to a size and wait until all are up to date."""
        self.size = size
        for worker in self.fleets:
            worker.send('grow', count=size, control=self._control_lists())
        for started in self.fleets:
            started.receive()
        self.wait()

    def wait(self) -> float:
        """Wait for nodes and registries; return the time of the last."""
        ends = call_all(self.fleets, 'wait_for', indexes=self.indexes)
        counts = Counter(place.region for place in self.places)
        for number, worker in enumerate(self.control):
            worker.send('wait_for_targets', count=counts[f'region-{number}'])
        for waiting in self.control:
            waiting.receive()
        return max(time.monotonic(), *map(float, ends))

    def change(
        self,
        services: list[str],
        interval_s: float,
    ) -> list[tuple[str, int, float]]:
        """Change services one after the other; return when each was."""
        accepted: list[tuple[str, int, float]] = self.control[0].call(
            'change',
            services=services,
            first_index=self.next_index,
            interval_s=interval_s,
        )
        for service, index, _ in accepted:
            self.indexes[service] = index
        self.wait()
        return accepted

    def wait_for_reports(self) -> float:
        """Wait until the leader has every report; return the time."""
        self.control[0].call('wait_for_reports', reports=self.indexes)
        return time.monotonic()

    def _control_lists(self) -> dict[str, list[str]]:
        return {
            place.data_centre: [
                self._addresses[name] for name in nearest_names(place)
            ]
            for place in control_places()
        }

    def _peers(self) -> list[Peer]:
        return [
            Peer(
                id=place.name,
                stream=self._addresses[place.name],
                http='127.0.0.1:1',
                data_centre=place.data_centre,
                region=place.region,
                voter=place.name == 'c00',
            )
            for place in control_places()
        ]
