"""Outcomes of calls at the versions of a service during its transfer."""

import asyncio
import time
from collections import deque
from typing import Final, NamedTuple

from mustardspur_core.mesh.control_messages import (
    MeshEvidence,
    RouteOutcomeCounts,
)
from mustardspur_moves.histogram import add_counts

# Length of the window of recent counts. A fault that begins late must not be
# outweighed by earlier successful calls.
WINDOW_S: Final = 3.0
# Minimum retention of the counts of a silent node. No code enforces it: the
# counts are kept until `remove_service`.
_MIN_RETENTION_S: Final = 2 * WINDOW_S
# Sums of the counts before restarts. A node may state any names, and restart
# with each message; 2,800 nodes that all restart have 10 routes each.
MAX_SUMS: Final = 32_768


class RunTotals:
    """Sums of the counts of runs, see `RouteOutcomeCounts`."""

    __slots__ = (
        'failed',
        'latency_counts',
        'runs',
        'timed',
        'timed_ms',
        'unanswered',
    )

    def __init__(
        self,
        runs: int = 0,
        failed: int = 0,
        timed: int = 0,
        timed_ms: float = 0,
        unanswered: int = 0,
    ) -> None:
        """Initialise without latencies."""
        self.runs = runs
        self.failed = failed
        self.timed = timed
        self.timed_ms = timed_ms
        self.unanswered = unanswered
        self.latency_counts: dict[int, int] = {}

    def add_message(self, row: RouteOutcomeCounts) -> None:
        """Add the counts of a node, in place."""
        self.runs += row.runs
        self.failed += row.failed
        self.timed += row.timed
        self.timed_ms += row.timed_ms
        self.unanswered += row.unanswered
        histogram = zip(row.latency_buckets, row.latency_counts, strict=False)
        for bucket, count in histogram:
            # A damaged frame may hold any number.
            if count > 0:
                known = self.latency_counts.get(bucket, 0)
                self.latency_counts[bucket] = known + count

    def add(self, other: 'RunTotals') -> None:
        """Add other sums, in place."""
        self.runs += other.runs
        self.failed += other.failed
        self.timed += other.timed
        self.timed_ms += other.timed_ms
        self.unanswered += other.unanswered
        add_counts(self.latency_counts, other.latency_counts)

    def minus(self, before: 'RunTotals') -> 'RunTotals':
        """Return the counts since earlier ones."""
        since = RunTotals(
            runs=self.runs - before.runs,
            failed=self.failed - before.failed,
            timed=self.timed - before.timed,
            timed_ms=self.timed_ms - before.timed_ms,
            unanswered=self.unanswered - before.unanswered,
        )
        for bucket, count in self.latency_counts.items():
            added = count - before.latency_counts.get(bucket, 0)
            if added > 0:
                since.latency_counts[bucket] = added
        return since


class RunKey(NamedTuple):
    """Dimensions by which runs are counted; a node has one target."""

    version: str
    route: str
    node: str


Totals = dict[RunKey, RunTotals]
_History = deque[tuple[float, Totals]]


class _SumsBeforeRestarts:
    """Counts of the earlier incarnations of all nodes, added up."""

    __slots__ = ('_by_service', '_size')

    def __init__(self) -> None:
        self._by_service: dict[str, Totals] = {}
        self._size = 0

    def add(self, evidence: MeshEvidence) -> None:
        """Add the counts of a node, as far as there is room for them."""
        for row in evidence.rows:
            key = RunKey(row.version, row.route, evidence.node)
            totals = self._by_service.get(row.service, {})
            if key not in totals:
                if self._size == MAX_SUMS:
                    continue
                self._size += 1
                self._by_service[row.service] = totals
            totals.setdefault(key, RunTotals()).add_message(row)

    def totals(self, service: str) -> Totals:
        """Return a copy of the counts of a service."""
        totals: Totals = {}
        for key, counts in self._by_service.get(service, {}).items():
            totals[key] = RunTotals()
            totals[key].add(counts)
        return totals

    def remove_service(self, service: str) -> None:
        """Remove the counts of a service."""
        self._size -= len(self._by_service.pop(service, {}))

    def clear(self) -> None:
        """Remove all counts."""
        self._by_service.clear()
        self._size = 0


class EvidenceAggregator:
    """Sums the counts of all nodes since the start of each transfer."""

    __slots__ = ('_before_restart', '_by_node', '_history', '_received_s')

    def __init__(self) -> None:
        """Initialise the aggregator without counts."""
        self._by_node: dict[str, MeshEvidence] = {}
        self._received_s: dict[str, float] = {}
        self._before_restart = _SumsBeforeRestarts()
        self._history: dict[str, _History] = {}

    def record(self, evidence: MeshEvidence) -> None:
        """Replace the counts of a node; those before its restart are kept."""
        previous = self._by_node.get(evidence.node)
        if (
            previous is not None
            and previous.incarnation != evidence.incarnation
        ):
            self._before_restart.add(previous)
        self._by_node[evidence.node] = evidence
        self._received_s[evidence.node] = time.monotonic()

    def report_ages_s(self, service: str) -> list[float]:
        """Return the ages of the reports with counts of a service, sorted."""
        now_s = time.monotonic()
        return sorted(
            now_s - self._received_s[node]
            for node, evidence in self._by_node.items()
            if any(row.service == service for row in evidence.rows)
        )

    def totals(self, service: str) -> Totals:
        """Return the counts of a service by version, route and node."""
        totals = self._before_restart.totals(service)
        for evidence in self._by_node.values():
            for row in evidence.rows:
                if row.service == service:
                    key = RunKey(row.version, row.route, evidence.node)
                    totals.setdefault(key, RunTotals()).add_message(row)
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
            key: counts.minus(before.get(key, RunTotals()))
            for key, counts in totals.items()
        }

    def other_runs(self, service: str, version: str, window_s: float) -> int:
        """Return the runs of other versions that became known in a window.

        The window ends with the latest call of `recent` and is at most
        `WINDOW_S` long.
        """
        history = self._history[service]
        now_s, totals = history[-1]
        before = next(
            counts for at_s, counts in history if at_s >= now_s - window_s
        )
        return _other_runs(totals, version) - _other_runs(before, version)

    def remove_service(self, service: str) -> None:
        """Remove the counts of a service, before its next transfer."""
        self._history.pop(service, None)
        self._before_restart.remove_service(service)
        for evidence in self._by_node.values():
            evidence.rows = [
                row for row in evidence.rows if row.service != service
            ]

    def clear(self) -> None:
        """Remove all counts; nodes report theirs to the next leader."""
        self._by_node.clear()
        self._received_s.clear()
        self._before_restart.clear()
        self._history.clear()


def _other_runs(totals: Totals, version: str) -> int:
    return sum(
        counts.runs for key, counts in totals.items() if key.version != version
    )
