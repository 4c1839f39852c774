"""Reads the counters of a running mesh."""

from collections import Counter
from typing import Any

from benchmarks.distribution.mesh import DistributionMesh
from benchmarks.distribution.node_worker import AppliedChange
from benchmarks.distribution.worker import call_all


class MeshCounters:
    """Reads the counters of the processes of a mesh.

    Parameters
    ----------
    mesh : DistributionMesh
        Running mesh.
    """

    __slots__ = ('_mesh',)

    def __init__(self, mesh: DistributionMesh) -> None:
        """Initialise for a running mesh."""
        self._mesh = mesh

    def take_applied_changes(self) -> list[AppliedChange]:
        """Return and remove the changes that came into force at the nodes."""
        return [
            tuple(entry)
            for applied_changes in call_all(
                self._mesh.node_workers, 'take_applied_changes'
            )
            for entry in applied_changes
        ]

    def counters(self) -> list[dict[str, Any]]:
        """Return the counters of each control process."""
        return call_all(self._mesh.control, 'counters')

    def sent_by_type(self) -> Counter[int]:
        """Return the bytes sent by all control instances, by type code."""
        total: Counter[int] = Counter()
        for counters in self.counters():
            total.update(counters['sent'])
        return total

    def link_bytes(self) -> int:
        """Return the bytes sent over all paid links."""
        return sum(
            sum(counters['link'].values()) for counters in self.counters()
        )

    def link_batches(self) -> int:
        """Return the number of batches of changes sent over paid links."""
        return sum(counters['link_batches'] for counters in self.counters())

    def node_totals(self) -> list[dict[str, float]]:
        """Return the totals of each process with nodes."""
        return call_all(self._mesh.node_workers, 'totals')
