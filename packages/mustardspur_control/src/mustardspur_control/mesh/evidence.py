"""Outcomes of calls at the versions of a service that is being moved."""

import asyncio
from collections import deque
from typing import Final

from mustardspur_core.mesh.control_messages import (
    EvidenceRow,
    MeshEvidence,
)

# Time that the recent evidence covers. A fault that begins late must not be
# outweighed by the good answers before it.
WINDOW_S: Final = 3.0
# Counts of a node that has been silent for this long are still used.
_KEPT_S: Final = 2 * WINDOW_S

Counts = tuple[int, int, int, float]
Key = tuple[str, str]
Totals = dict[Key, Counts]
_History = deque[tuple[float, Totals]]
ZERO: Final[Counts] = (0, 0, 0, 0)


class EvidenceBook:
    """Counts of all nodes since the start of each transfer."""

    __slots__ = ('_by_node', '_ended', '_history')

    def __init__(self) -> None:
        """Start without counts."""
        self._by_node: dict[str, MeshEvidence] = {}
        self._ended: list[MeshEvidence] = []
        self._history: dict[str, _History] = {}

    def take(self, evidence: MeshEvidence) -> None:
        """Replace the counts of a node; those before a restart stay."""
        known = self._by_node.get(evidence.node)
        if known is not None and known.incarnation != evidence.incarnation:
            self._ended.append(known)
        self._by_node[evidence.node] = evidence

    def totals(self, service: str) -> Totals:
        """Return the counts of a service by version and route."""
        totals: Totals = {}
        for evidence in (*self._ended, *self._by_node.values()):
            for row in evidence.rows:
                if row.service == service:
                    key = (row.version, row.route)
                    totals[key] = _added(totals.get(key, ZERO), row)
        return totals

    def recent(self, service: str) -> Totals:
        """Return the counts of the last seconds, and note those of now."""
        now_s = asyncio.get_running_loop().time()
        totals = self.totals(service)
        history = self._history.setdefault(service, deque())
        history.append((now_s, totals))
        while len(history) > 1 and history[1][0] <= now_s - WINDOW_S:
            history.popleft()
        before = history[0][1]
        return {
            key: _subtracted(counts, before.get(key, ZERO))
            for key, counts in totals.items()
        }

    def forget(self, service: str) -> None:
        """Drop the counts of a service, before its next transfer."""
        self._history.pop(service, None)
        for evidence in (*self._ended, *self._by_node.values()):
            evidence.rows = [
                row for row in evidence.rows if row.service != service
            ]


def _added(counts: Counts, row: EvidenceRow) -> Counts:
    return (
        counts[0] + row.runs,
        counts[1] + row.failed,
        counts[2] + row.timed,
        counts[3] + row.busy_ms,
    )


def _subtracted(counts: Counts, before: Counts) -> Counts:
    return (
        counts[0] - before[0],
        counts[1] - before[1],
        counts[2] - before[2],
        counts[3] - before[3],
    )
