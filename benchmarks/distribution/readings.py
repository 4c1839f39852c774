"""Counters of a running mesh."""

from collections import Counter
from typing import Any

from benchmarks.distribution.mesh import Mesh
from benchmarks.distribution.node_worker import Seen
from benchmarks.distribution.worker import call_all


class Readings:
    """Reads what the processes of a mesh have counted.

    Parameters
    ----------
    mesh : Mesh
        The mesh.
    """

    __slots__ = ('_mesh',)

    def __init__(self, mesh: Mesh) -> None:
        """Read from a mesh."""
        self._mesh = mesh

    def take_seen(self) -> list[Seen]:
        """Return and forget what came into force at the nodes."""
        return [
            tuple(entry)
            for seen in call_all(self._mesh.fleets, 'take_seen')
            for entry in seen
        ]

    def counters(self) -> list[dict[str, Any]]:
        """Return the counters of each control process."""
        return call_all(self._mesh.control, 'counters')

    def sent(self) -> Counter[int]:
        """Return the bytes that all control instances sent, by type."""
        total: Counter[int] = Counter()
        for counters in self.counters():
            total.update(counters['sent'])
        return total

    def link_bytes(self) -> int:
        """Return the bytes over all paid links."""
        return sum(
            sum(counters['link'].values()) for counters in self.counters()
        )

    def far_feed(self) -> int:
        """Return the copies of changes that crossed a paid link."""
        return sum(counters['far_feed'] for counters in self.counters())

    def node_totals(self) -> list[dict[str, float]]:
        """Return the totals of each process with nodes."""
        return call_all(self._mesh.fleets, 'totals')
