"""Outcomes of calls at the versions of a service during its transfer."""

import asyncio
from collections import deque
from typing import Final

from mustardspur_core.mesh.control_messages import (
    MeshEvidence,
    RouteOutcomeCounts,
)

# Length of the window of recent counts. A fault that begins late must not be
# outweighed by earlier successful calls.
WINDOW_S: Final = 3.0
# Minimum retention of the counts of a silent node. No code enforces it: the
# counts are kept until `remove_service`.
_MIN_RETENTION_S: Final = 2 * WINDOW_S

Counts = tuple[int, int, int, float]
VersionRoute = tuple[str, str]
Totals = dict[VersionRoute, Counts]
_History = deque[tuple[float, Totals]]
ZERO_COUNTS: Final[Counts] = (0, 0, 0, 0)


class EvidenceAggregator:
    """Sums the counts of all nodes since the start of each transfer."""

    __slots__ = ('_before_restart', '_by_node', '_history')

    def __init__(self) -> None:
        """Initialise the aggregator without counts."""
        self._by_node: dict[str, MeshEvidence] = {}
        self._before_restart: list[MeshEvidence] = []
        self._history: dict[str, _History] = {}

    def record(self, evidence: MeshEvidence) -> None:
        """Replace the counts of a node; those before its restart are kept."""
        previous = self._by_node.get(evidence.node)
        if (
            previous is not None
            and previous.incarnation != evidence.incarnation
        ):
            self._before_restart.append(previous)
        self._by_node[evidence.node] = evidence

    def totals(self, service: str) -> Totals:
        """Return the counts of a service by version and route."""
        totals: Totals = {}
        for evidence in (*self._before_restart, *self._by_node.values()):
            for row in evidence.rows:
                if row.service == service:
                    key = (row.version, row.route)
                    totals[key] = _added(totals.get(key, ZERO_COUNTS), row)
        return totals

    def recent(self, service: str) -> Totals:
        """Return the counts of the last `WINDOW_S` and record the totals.

        The window starts at the latest call of this method that is at least
        `WINDOW_S` old, or at the first call.
        """
        now_s = asyncio.get_running_loop().time()
        totals = self.totals(service)
        history = self._history.setdefault(service, deque())
        history.append((now_s, totals))
        while len(history) > 1 and history[1][0] <= now_s - WINDOW_S:
            history.popleft()
        before = history[0][1]
        return {
            key: _subtracted(counts, before.get(key, ZERO_COUNTS))
            for key, counts in totals.items()
        }

    def remove_service(self, service: str) -> None:
        """Remove the counts of a service, before its next transfer."""
        self._history.pop(service, None)
        for evidence in (*self._before_restart, *self._by_node.values()):
            evidence.rows = [
                row for row in evidence.rows if row.service != service
            ]


def _added(counts: Counts, added: RouteOutcomeCounts) -> Counts:
    return (
        counts[0] + added.runs,
        counts[1] + added.failed,
        counts[2] + added.timed,
        counts[3] + added.timed_ms,
    )


def _subtracted(counts: Counts, before: Counts) -> Counts:
    return (
        counts[0] - before[0],
        counts[1] - before[1],
        counts[2] - before[2],
        counts[3] - before[3],
    )
