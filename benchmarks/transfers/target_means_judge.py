"""Judge of new versions by the means of their targets.

It is a candidate; no leader uses it.
"""

import asyncio
from collections import deque
from typing import Any, Final

from mustardspur_control.mesh.evaluation import TransferVerdict
from mustardspur_control.mesh.evidence import RunTotals, Totals
from mustardspur_control.mesh.transfers import TransferDriver
from mustardspur_core.mesh import Transfer
from mustardspur_core.record import replaced

from benchmarks.transfers.target_means import (
    MAX_ERRORS,
    Histogram,
    slowdown_errors,
    target_means,
)

# Length of the window of recent counts.
WINDOW_S: Final = 1.0


class TargetMeansDriver(TransferDriver):
    """Takes slow versions back by the means of their targets as well."""

    __slots__ = ('_history',)

    def __init__(self, *components: Any) -> None:
        """Initialise without a window."""
        super().__init__(*components)
        self._history: deque[tuple[float, Totals]] = deque()

    def _verdict(self, transfer: Transfer) -> TransferVerdict:
        verdict = super()._verdict(transfer)
        totals = self._evidence.totals(transfer.service)
        recent = self._recent(totals)
        for counted in (totals, recent):
            routes = {key.route for key in counted}
            if any(
                _is_slow(counted, transfer.version, each) for each in routes
            ):
                return replaced(verdict, is_faulty=True, reason='target means')
        return verdict

    def _recent(self, totals: Totals) -> Totals:
        """Return the counts that became known within `WINDOW_S`."""
        now_s = asyncio.get_running_loop().time()
        self._history.append((now_s, totals))
        while (
            len(self._history) > 1 and self._history[1][0] <= now_s - WINDOW_S
        ):
            self._history.popleft()
        before = self._history[0][1]
        return {
            key: counts.minus(before.get(key, RunTotals()))
            for key, counts in totals.items()
        }


def _is_slow(totals: Totals, version: str, route: str) -> bool:
    histograms: tuple[list[Histogram], list[Histogram]] = ([], [])
    for key, counts in totals.items():
        if key.route == route:
            is_new = key.version == version
            histograms[is_new].append(counts.latency_counts)
    old, new = map(target_means, histograms)
    return slowdown_errors(old, new) > MAX_ERRORS
